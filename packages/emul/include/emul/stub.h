/*
 * Stub of the users' platform for tests and the demo: a key-value store with watches, and engines.
 * It runs in its own thread; all functions are thread-safe.
 */
#ifndef EMUL_STUB_H
#define EMUL_STUB_H

#include "model/pub.h"

#include "base/err.h"

struct stub;

enum stub_kind {
	STUB_PLAIN,  /* a single response after work_ms */
	STUB_STREAM, /* a stream of server-sent events */
	STUB_POOL,   /* batches of pieces of a stage, one batch at a time */
};

/* How an engine treats requests until another fault is set. */
enum stub_fault {
	STUB_FAULT_NONE,
	STUB_FAULT_SHED,       /* 503, not executed */
	STUB_FAULT_SHED_NO_ID, /* the same without an attempt id */
	STUB_FAULT_CLOSE,      /* executes, then closes without a response */
	STUB_FAULT_HANG,       /* executes, then leaves the connection open without a response */
	STUB_FAULT_ERROR,      /* executes, then answers 500 */
	STUB_FAULT_TRUNCATE,   /* resets in the middle of the response */
	STUB_FAULT_NO_LENGTH,  /* response without a length, ended by a close */
	STUB_FAULT_NO_LENGTH_RESET, /* response without a length, reset in the middle */
	STUB_FAULT_NO_LENGTH_CUT,   /* stream without a length, closed inside its second event */
	STUB_FAULT_WRONG_ATTEMPT,   /* response headers carry another attempt id */
	STUB_FAULT_DUPLICATE,	    /* not implemented; acts as STUB_FAULT_NONE */
	STUB_FAULT_MISDIRECTED,	    /* 421, not executed */
};

struct stub_engine_options {
	const char *id;
	const char *service;
	const char *zone;
	enum stub_kind kind;
	int64_t work_ms;      /* time until the response, or until the first event of a stream */
	int64_t gap_ms;	      /* between events of a stream */
	uint32_t events;      /* number of events in a stream */
	uint32_t results_max; /* number of results that a pool engine can store */
	/*
	 * Runs at a time; further requests are refused, and a brittle engine that refuses more in a
	 * second than it bears crashes. 0: any.
	 */
	uint32_t room;
	const char *version; /* of its software, as its entry and its events say; NULL: "v1" */
	/* engine that ends, whose entry stays, and whose address this one takes; NULL: none */
	const char *address_of;
};

/* How an engine answers requests for its report. */
enum stub_report {
	STUB_REPORT_GIVEN,
	STUB_REPORT_MISSING, /* 404 */
	STUB_REPORT_SILENT,
};

/* Counters of an engine. */
struct stub_stats {
	uint32_t arrivals; /* requests for its report left out */
	uint32_t reports;  /* requests for it */
	uint32_t runs;
	uint32_t most_runs; /* highest number of runs of one attempt */
	uint32_t bad;  /* requests with a missing, wrong or forbidden header; 0 for pool engines */
	uint32_t held; /* stored results that have not been freed */
	uint32_t open; /* runs in progress whose client is connected */
	uint32_t foreign; /* inputs that it was given and that are results of another request */
};

/* How the store treats requests until another fault is set. */
enum stub_store_fault {
	STUB_STORE_OK,
	STUB_STORE_UNAVAILABLE, /* answers 503 */
	STUB_STORE_HANG,	/* never answers */
	STUB_STORE_COMPACTED	/* answers 410 to the next watch, then acts as STUB_STORE_OK */
};

/* What the store says in its answers about its epoch, which rises when it returns from a copy. */
enum stub_epoch_header {
	STUB_EPOCH_SENT,
	STUB_EPOCH_MISSING,
	STUB_EPOCH_MALFORMED,
};

/* Starts a stub; NULL with *error set on failure. Stop with stub_free(). */
struct stub *stub_new(GError **error);
void stub_free(struct stub *s);

/* Returns the store's address as host:port; borrowed. */
const char *stub_store_address(const struct stub *s);

/*
 * Opens the next link of a node to the platform, counted from 0, and returns the store's address
 * for it, borrowed; NULL with *error set on failure. A node that reads the store there gets
 * addresses of upstreams that are its link's own: it reaches the same upstreams, and can be cut off
 * from them alone. An upstream that is down accepts and resets its connections instead of refusing
 * them. A node that has read its upstreams from another node uses that node's link.
 */
const char *stub_open_link(struct stub *s, GError **error);

/* From now on, the store leaves calls that come by the link unanswered, or answers new ones. */
void stub_hang_store(struct stub *s, uint32_t link, bool hangs);

/*
 * From now on, each per-th response to requests with the target is sent a second time, where the
 * response to the next such request on its connection is due; of upstreams that nodes reach by
 * links. target: borrowed. per 0: none.
 */
void stub_repeat_responses(struct stub *s, const char *target, uint32_t per);

/* How a link treats connections to upstreams; those to the store always work. */
enum stub_cut {
	STUB_CUT_NONE,
	STUB_CUT_REFUSE, /* new ones are refused, open ones hang */
	STUB_CUT_RESET,	 /* new ones are refused, open ones are reset */
	STUB_CUT_HANG,	 /* new ones aren't answered, open ones hang */
	STUB_CUT_NEW,	 /* new ones are refused, open ones work */
};

/*
 * Cuts a link until it is set again: for the upstreams of one service, or of all (NULL). Bytes on
 * open connections that hang arrive after it.
 */
void stub_cut_link(struct stub *s, uint32_t link, enum stub_cut cut, const char *service);

/* Writes a key; value NULL deletes it. */
void stub_put(struct stub *s, const char *key, const char *value);

/* Starts an engine and publishes it as ready. */
void stub_add_engine(struct stub *s, const struct stub_engine_options *options);

/*
 * Publishes a configuration and starts an engine of each service in each zone; zones ends with
 * NULL.
 */
void stub_deploy(struct stub *s, const struct pub_doc *doc, const char *const *zones);

/* Publishes the state of an engine; NULL deletes its entry. The engine itself keeps running. */
void stub_publish(struct stub *s, const char *id, const char *state);
void stub_set_fault(struct stub *s, const char *id, enum stub_fault fault);

/*
 * The engine sends nothing for a time: it reads requests, begins no answer, and holds its events
 * back. Then all goes on.
 */
void stub_pause_engine(struct stub *s, const char *id, int64_t for_ms);

/* Header fields that an engine adds to all its answers, as sent; NULL: left out. */
struct stub_advice {
	const char *limit;	 /* requests a second that it accepts from all nodes together */
	const char *leaving;	 /* set when it is about to leave */
	const char *retry_after; /* in answers with status 503 alone */
	const char *brittle;	 /* refusals a second that it bears without a crash */
	const char *load; /* running, waiting, slots and, on some platforms, the pace in percent */
};

/* Copies the texts. NULL: the engine adds nothing. */
void stub_set_advice(struct stub *s, const char *id, const struct stub_advice *advice);

/* Returns when an answer first carried what was set last; 0: none has, so no node was told. */
int64_t stub_advised_ms(struct stub *s, const char *id);

/*
 * Returns the number of requests that the engine received in [from_ms, to_ms), without those that
 * it answered with 421: they were for another one.
 */
uint32_t stub_count_arrivals(struct stub *s, const char *id, int64_t from_ms, int64_t to_ms);

/* Returns the most requests that it received in any span_ms of [from_ms, to_ms). */
uint32_t stub_most_arrivals(struct stub *s, const char *id, int64_t from_ms, int64_t to_ms,
			    int64_t span_ms);

/*
 * Gives an engine another version of its software under its id, and publishes it as ready. If it
 * restarts, it breaks off its runs, answers nothing for a moment and has a new time of start.
 * If not, runs in progress end at the version that they began with.
 */
void stub_set_version(struct stub *s, const char *id, const char *version, bool restarts);

void stub_set_report(struct stub *s, const char *id, enum stub_report report);

/* As stub_set_version() for a restart whose entry isn't written yet: the former one stands. */
void stub_restart_unpublished(struct stub *s, const char *id, const char *version);
void stub_set_store_fault(struct stub *s, enum stub_store_fault fault);

/* From now on, the store cuts each watch that has waited for so long; 0: none. */
void stub_cut_watches(struct stub *s, int64_t after_ms);

/*
 * Returns the store to the state that it had copy_age_ms ago: its revision goes back, and its epoch
 * rises. What was written since then is written again after rewrite_ms.
 */
void stub_restore_store(struct stub *s, int64_t copy_age_ms, int64_t rewrite_ms);
void stub_set_epoch_header(struct stub *s, enum stub_epoch_header header);

/*
 * From now on, each stream engine that begins an answer to a request with this prompt part (any but
 * the last) crashes some tens of ms later: its answers are reset, in part in the middle of an
 * event, and connections to it are refused for down_ms. Then it starts at the same address with a
 * new id or a new time of birth and is published again; the entry of its former start lapses some
 * seconds after the crash. Engines keep the ids they were added with in all functions here. While a
 * part is set, some streams have neither a length nor chunks. part 0: engines no longer crash.
 */
void stub_set_crash_part(struct stub *s, uint64_t part, int64_t down_ms);

/*
 * The same for engines, except pool engines, that begin to run a request with this path and query:
 * they crash some tens of ms after it has arrived, before they answer it. NULL: engines no longer
 * crash.
 */
void stub_set_crash_target(struct stub *s, const char *target, int64_t down_ms);

/* Number of requests with a crash target, the present one or a former, that engines began to run.
 */
uint32_t stub_count_target_runs(struct stub *s);
/* Time of the run number k of them, from 0; 0: there were fewer. */
int64_t stub_target_run_ms(struct stub *s, uint32_t k);

/* Has an engine crash now, whatever it runs; it starts again as after other crashes. */
void stub_crash_engine(struct stub *s, const char *id, int64_t down_ms);

/* Time of the crash number k, from 0, of all engines; 0: there were fewer. */
int64_t stub_crash_ms(struct stub *s, uint32_t k);

/* Number of requests with this prompt part (any but the last) that stream engines began to run. */
uint32_t stub_count_part_runs(struct stub *s, uint64_t part);
/* Time of the run number k of them, from 0; 0: there were fewer. */
int64_t stub_part_run_ms(struct stub *s, uint64_t part, uint32_t k);

/* Number of runs of an attempt on all engines except pool engines. */
uint32_t stub_count_runs(struct stub *s, const char *attempt);
void stub_get_stats(struct stub *s, const char *id, struct stub_stats *stats);

#endif
