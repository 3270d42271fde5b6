/*
 * Stand-in of the users' platform for tests and the demo: its store, which can be read and
 * watched, and its engines. It runs in a thread of its own; every call is safe from any thread.
 */
#ifndef EMUL_STUB_H
#define EMUL_STUB_H

#include "model/pub.h"

#include "base/err.h"

struct stub;

enum stub_kind {
	STUB_PLAIN,  /* answers a request after its work */
	STUB_STREAM, /* answers with a series of events */
	STUB_POOL,   /* works on pieces of stages */
};

/* What an engine does with requests from now on. */
enum stub_fault {
	STUB_FAULT_NONE,
	STUB_FAULT_SHED,	    /* refuses as full */
	STUB_FAULT_CLOSE,	    /* runs it and closes without an answer */
	STUB_FAULT_HANG,	    /* runs it and says nothing */
	STUB_FAULT_ERROR,	    /* runs it and answers 500 */
	STUB_FAULT_TRUNCATE,	    /* breaks off in the middle of the answer */
	STUB_FAULT_NO_LENGTH,	    /* answers without a length, and closes */
	STUB_FAULT_NO_LENGTH_RESET, /* the same, and resets in the middle */
	STUB_FAULT_WRONG_ATTEMPT,   /* gives the answer of another request first */
	STUB_FAULT_DUPLICATE,	    /* gives its answer twice */
	STUB_FAULT_MISDIRECTED,	    /* says that another engine has the address */
};

struct stub_engine_options {
	const char *id;
	const char *service;
	const char *zone;
	enum stub_kind kind;
	int64_t work_ms;      /* of a request, of a call, or before the first event */
	int64_t gap_ms;	      /* between events */
	uint32_t events;      /* of a stream */
	uint32_t results_max; /* that a pool's engine has room for */
};

/* What an engine has seen. */
struct stub_stats {
	uint32_t arrivals;
	uint32_t runs;
	uint32_t most_runs; /* of one attempt */
	uint32_t bad;  /* requests that the rules don't allow: no id, a key passed on, a time over
			  the caller's */
	uint32_t held; /* results that were not given up */
};

enum stub_store_fault {
	STUB_STORE_OK,
	STUB_STORE_UNAVAILABLE,
	STUB_STORE_HANG,
	STUB_STORE_COMPACTED
};

/* NULL with *error set. The caller frees with stub_free(). */
struct stub *stub_new(GError **error);
void stub_free(struct stub *p);

/* host:port of the store; borrowed. */
const char *stub_store_address(const struct stub *p);

/* Writes an item; value NULL deletes it. */
void stub_put(struct stub *p, const char *key, const char *value);

/* Starts an engine, and publishes it as ready. */
void stub_add_engine(struct stub *p, const struct stub_engine_options *options);

/* Publishes a configuration, and starts an engine of each service in each zone (ends with NULL). */
void stub_deploy(struct stub *p, const struct pub_doc *doc, const char *const *zones);

/* Publishes an engine in that state; NULL takes its entry away. The engine itself goes on. */
void stub_publish(struct stub *p, const char *id, const char *state);
void stub_set_fault(struct stub *p, const char *id, enum stub_fault fault);
void stub_set_store_fault(struct stub *p, enum stub_store_fault fault);

/* Runs of an attempt at all engines together, those of pieces not counted. */
uint32_t stub_count_runs(struct stub *p, const char *attempt);
void stub_get_stats(struct stub *p, const char *id, struct stub_stats *seen);

#endif
