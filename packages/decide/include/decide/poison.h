/*
 * Requests that crash the upstreams that run them (poison requests). A request is known by a digest
 * of what it asks, so that it is the same request at each node and each time it comes. Nodes tell
 * each other of upstreams that ended under a request and of good answers to it; the verdict is a
 * function of this evidence alone. Once an upstream has ended under a request, the fleet runs it
 * one at a time: the node that owns the digest grants the runs.
 *
 * The module does no I/O. Times are monotonic milliseconds of this node; the caller converts those
 * of other nodes. Digests and hashes of upstreams are not 0.
 */
#ifndef DECIDE_POISON_H
#define DECIDE_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define POISON_REQUESTS_MAX 1024
#define POISON_ENDS_MAX 8 /* kept of one request: the first ones and the latest */
#define POISON_ALIVE_MAX 256
/* A request is refused after so many ends of upstreams, in so many steps at least. */
#define POISON_UPSTREAMS 3
#define POISON_STEPS 2
/* With so many, a run that has ended isn't followed by another for the same attempt. */
#define POISON_DOUBT_UPSTREAMS 2
#define POISON_HOLD_MS 20000 /* a good answer outweighs ends until this long after it */
/* An upstream that answers what was sent this soon after its end hasn't ended: none restarts so
 * fast. */
#define POISON_ALIVE_MS 1000
#define POISON_KEEP_MS 600000		/* for ends of requests that aren't refused */
#define POISON_KEEP_REFUSED_MS 86400000 /* for the others; counted from the last end */
#define POISON_TRIAL_MS 60000		/* from the last end until the one trial */
#define POISON_TRIAL_SLACK_MS 5000	/* nodes' times of an end differ by less */
#define POISON_TRIAL_END_MS 30000	/* a trial without a result for this long wasn't made */
#define POISON_RUN_MS 2000		/* a run that was granted counts as ended after this */
#define POISON_ASK_TIMEOUT_MS 150	/* for the reply of the node that grants runs */
#define POISON_RETRY_MIN_MS 100

/* What a request asks; without a body, its prompt tells it apart. NULL strings count as empty. */
struct poison_request {
	const char *method;
	const char *host;
	const char *target;  /* path and query */
	const char *account; /* client account; NULL: none */
	const void *body;
	size_t len;
	const uint64_t *parts; /* ids of the prompt's parts */
	uint32_t n_parts;
};

/*
 * Returns a digest that is the same at all nodes and in all builds, and for which nobody can make a
 * request that collides with another's.
 */
uint64_t poison_digest(const struct poison_request *request);

/* An upstream ended while it ran the request. */
struct poison_end {
	uint64_t request;
	uint64_t upstream; /* hash of its id and start: one run of its process, which ends once */
	int64_t sent_ms;   /* when the request was sent there */
	int64_t at_ms;
};

/* Latest good answer to the request: its upstream didn't end. */
struct poison_good {
	uint64_t request;
	int64_t at_ms;
};

/* An upstream that answered a request sent after its presumed end. */
struct poison_alive {
	uint64_t upstream;
	int64_t sent_ms; /* when that request was sent */
};

enum poison_state {
	POISON_CLEAR,
	POISON_SUSPECTED, /* runs have to be granted */
	POISON_REFUSED,
	POISON_TRIAL, /* as suspected; call poison_note_trial() when it is sent */
};

struct poison_verdict {
	enum poison_state state;
	uint32_t n_upstreams; /* that ended under it */
	uint32_t n_steps;     /* ends of runs that were sent after the step before */
	int64_t first_ms;     /* of these ends */
	int64_t last_ms;
	int64_t retry_after_ms; /* POISON_REFUSED: until the trial, or until it is forgotten */
};

/* A request is refused from now on, or no longer. */
struct poison_change {
	uint64_t request;
	bool is_refused;
	struct poison_verdict verdict;
	uint64_t upstreams[POISON_ENDS_MAX];
	int64_t end_ms[POISON_ENDS_MAX];
	uint32_t n;
};

struct poison_grant {
	bool is_granted;
	int64_t wait_ms;    /* if not: until it may be */
	int64_t granted_ms; /* if it is: identifies the grant */
};

struct poison_size {
	uint32_t requests;
	uint32_t refused;
};

struct poison;

struct poison *poison_new(void);
void poison_free(struct poison *p);

/* Returns whether nothing is known of any request, so that digests need not be computed. */
bool poison_is_empty(const struct poison *p);

/*
 * Merge evidence of this node and of others; return whether it is new and counts. All reports of
 * one run of an upstream under one request tell of one end; the earliest counts.
 */
bool poison_merge_end(struct poison *p, const struct poison_end *end, int64_t now_ms);
bool poison_merge_good(struct poison *p, const struct poison_good *good, int64_t now_ms);
bool poison_merge_alive(struct poison *p, const struct poison_alive *alive, int64_t now_ms);

/* Returns whether an answer of the upstream to a request sent at sent_ms withdraws an end. */
bool poison_contradicts(const struct poison *p, uint64_t upstream, int64_t sent_ms);

/* may_try: whether this node makes the fleet's trial of the request. */
void poison_check(const struct poison *p, uint64_t request,
		  bool (*may_try)(void *arg, uint64_t request), void *arg, int64_t now_ms,
		  struct poison_verdict *verdict);
void poison_note_trial(struct poison *p, uint64_t request, int64_t now_ms);

/* At the node that owns the digest: grants a run unless another is in progress. */
void poison_grant_run(struct poison *p, uint64_t request, int64_t now_ms,
		      struct poison_grant *grant);

/* At the same node: the granted run was not made, so another may be granted. */
void poison_return_run(struct poison *p, uint64_t request, int64_t granted_ms);

/* Drops what has expired; call about once a second. */
void poison_tick(struct poison *p, int64_t now_ms);

/* Call fn for all evidence, for a node that joins or from time to time. fn must not change it. */
void poison_foreach_end(const struct poison *p, void (*fn)(void *arg, const struct poison_end *end),
			void *arg);
void poison_foreach_good(const struct poison *p,
			 void (*fn)(void *arg, const struct poison_good *good), void *arg);
void poison_foreach_alive(const struct poison *p,
			  void (*fn)(void *arg, const struct poison_alive *alive), void *arg);

/* Returns the next change of a verdict since the last call, for the log; false: there is none. */
bool poison_next_change(struct poison *p, struct poison_change *change);
void poison_measure(const struct poison *p, struct poison_size *size);

#ifdef __cplusplus
}
#endif

#endif
