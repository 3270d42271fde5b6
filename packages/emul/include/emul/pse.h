/*
 * Stand-in of the users' platform for tests and the demo: its store, which can be read and
 * watched, and its engines. It runs in a thread of its own; every call is safe from any thread.
 */
#ifndef EMUL_PSE_H
#define EMUL_PSE_H

#include "model/pub.h"

#include "base/err.h"

struct pse;

enum pse_kind {
	PSE_PLAIN,  /* answers a request after its work */
	PSE_STREAM, /* answers with a series of events */
	PSE_POOL,   /* works on pieces of stages */
};

/* What an engine does with requests from now on. */
enum pse_fault {
	PSE_SOUND,
	PSE_SHED,	    /* refuses as full */
	PSE_LOSE,	    /* runs it and closes without an answer */
	PSE_MUTE,	    /* runs it and says nothing */
	PSE_FAIL,	    /* runs it and answers 500 */
	PSE_CUT,	    /* breaks off in the middle of the answer */
	PSE_UNFRAMED,	    /* answers without a length, and closes */
	PSE_UNFRAMED_RESET, /* the same, and resets in the middle */
	PSE_OTHER,	    /* gives the answer of another request first */
	PSE_TWICE,	    /* gives its answer twice */
	PSE_WRONG,	    /* says that another engine has the address */
};

struct pse_engine_options {
	const char *id;
	const char *service;
	const char *zone;
	enum pse_kind kind;
	int64_t work_ms;      /* of a request, of a call, or before the first event */
	int64_t gap_ms;	      /* between events */
	uint32_t events;      /* of a stream */
	uint32_t results_max; /* that a pool's engine has room for */
};

/* What an engine has seen. */
struct pse_seen {
	uint32_t arrivals;
	uint32_t runs;
	uint32_t most_runs; /* of one attempt */
	uint32_t bad;  /* requests that the rules don't allow: no id, a key passed on, a time over
			  the caller's */
	uint32_t held; /* results that were not given up */
};

enum pse_store_fault { PSE_STORE_SOUND, PSE_STORE_BUSY, PSE_STORE_SILENT, PSE_STORE_FORGOT };

/* NULL with *error set. The caller frees with pse_free(). */
struct pse *pse_new(GError **error);
void pse_free(struct pse *p);

/* host:port of the store; borrowed. */
const char *pse_store_address(const struct pse *p);

/* Writes an item; value NULL deletes it. */
void pse_put(struct pse *p, const char *key, const char *value);

/* Starts an engine, and publishes it as ready. */
void pse_add_engine(struct pse *p, const struct pse_engine_options *options);

/* Publishes a configuration, and starts an engine of each service in each zone (ends with NULL). */
void pse_add_site(struct pse *p, const struct pub_doc *doc, const char *const *zones);

/* Publishes an engine in that state; NULL takes its entry away. The engine itself goes on. */
void pse_publish(struct pse *p, const char *id, const char *state);
void pse_set_fault(struct pse *p, const char *id, enum pse_fault fault);
void pse_set_store_fault(struct pse *p, enum pse_store_fault fault);

/* Runs of an attempt at all engines together, those of pieces not counted. */
uint32_t pse_count_runs(struct pse *p, const char *attempt);
void pse_look(struct pse *p, const char *id, struct pse_seen *seen);

#endif
