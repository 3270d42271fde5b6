/*
 * Scheduler for chains: the stages of pool work that precede a request at a model engine. A stage
 * consists of pieces, and an upstream of a pool works on a batch of pieces per call. One node at a
 * time, the owner of a region, schedules the chains placed in that region: it holds the queues of
 * the pools' upstreams there, fills calls with pieces of many requests, tracks the storage that
 * results take at the upstreams, and refuses chains that can't be served in time. The code calls a
 * submitted chain a job. The module does no I/O: callers pass in events and the current time and
 * carry out the commands that it appends to their list.
 */
#ifndef DECIDE_CHAIN_H
#define DECIDE_CHAIN_H

#include "model/pub.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time from the last result to the first token: the prefill of a prompt of mean length. */
#define CHAIN_FIRST_TOKEN_MS 150

/*
 * Bounds on the pieces of a stage and of a request: real requests have at most 25 in a stage, and
 * each piece takes memory at the owner.
 */
#define CHAIN_STAGE_PIECES_MAX 256
#define CHAIN_PIECES_MAX 1024
/* Longest name of a client account. */
#define CHAIN_ACCOUNT_BYTES_MAX 200

struct chain_sched;

struct chain_stage_spec {
	char *service;
	uint32_t after;	      /* bit i is set when the stage needs the results of stage i */
	uint32_t pieces;      /* number of pieces; 0: the stage is skipped */
	int64_t result_bytes; /* size of one piece's result */
};

/* The prompt of the chain's request, by which its owner proposes an engine. */
struct chain_prompt {
	uint64_t session;    /* id of the last shared part; 0: no engine is proposed */
	uint32_t work_us;    /* time to read the prompt's own part */
	uint32_t session_us; /* time to read the session's part */
	const char *service; /* that the request goes to; NULL: unknown */
};

/* A chain to be submitted: the pool work of one request. Times are on the owner's clock. */
struct chain_job_spec {
	uint64_t id;	   /* unique in the fleet */
	const char *asker; /* node that holds the request */
	/*
	 * Client account of the request, at most CHAIN_ACCOUNT_BYTES_MAX bytes; NULL, "" or a
	 * longer one: unknown. Chains without one share an account for each asker.
	 */
	const char *account;
	const char *attempt; /* id of the caller's attempt, for the log */
	const char *key;     /* passed to stages without predecessors */
	const struct chain_stage_spec *stages;
	uint32_t n_stages;
	int64_t aim_at_ms; /* latency target for the first token */
	int64_t deadline_at_ms;
	int32_t rank;		 /* 0 is the most urgent */
	const char *data_centre; /* preferred: the request will probably be served there */
	const char *region;	 /* of data_centre; NULL: that of every owner */
	char *const *regions;	 /* where pieces of the chain may run; NULL: anywhere */
	struct chain_prompt prompt;
	bool is_moved; /* comes from another owner, and isn't moved on to a third */
};

struct chain_upstream_info {
	const char *id;
	const char *service;
	const char *address;
	const char *data_centre;
	const char *region;
	bool usable;	 /* false: receives no new calls */
	int64_t born_ms; /* identifies the upstream's run; 0: unknown */
};

enum chain_piece_status {
	CHAIN_PIECE_OK,
	CHAIN_PIECE_EXPIRED,	/* the deadline passed before the upstream ran it */
	CHAIN_PIECE_INPUT_LOST, /* an input is no longer stored */
	CHAIN_PIECE_NO_ROOM,	/* no storage left for its result */
	CHAIN_PIECE_FAILED,
};

struct chain_piece_result {
	enum chain_piece_status fault;
	const char *handle; /* copied */
};

enum chain_call_error {
	CHAIN_CALL_REJECTED,	   /* the upstream was at capacity and ran no piece */
	CHAIN_CALL_WRONG_UPSTREAM, /* the address now belongs to another upstream */
	CHAIN_CALL_FAILED,	   /* connection error, timeout or malformed response */
};

enum chain_cmd_kind {
	CHAIN_CMD_CALL,	    /* send pieces to an upstream */
	CHAIN_CMD_FREE,	    /* release results at the upstream that stores them */
	CHAIN_CMD_READY,    /* all results of a chain are available */
	CHAIN_CMD_REFUSE,   /* the chain is dropped; its request has not run and may be retried */
	CHAIN_CMD_ADMIT,    /* the chain was admitted; only logged */
	CHAIN_CMD_HANDOFF,  /* pass the chain and its stored results to another owner */
	CHAIN_CMD_PROGRESS, /* a stage is done: report its stored results to the requesting node */
};

struct chain_piece {
	uint64_t job;
	char *attempt;
	uint32_t stage;
	uint32_t index;
	int64_t left_ms; /* time left until the deadline */
	char *key;
	char **inputs; /* handles of the input results; NULL for stages without predecessors */
};

/* A finished piece and the upstream that stores its result; passed on to the next owner. */
struct chain_stored_result {
	uint32_t stage;
	uint32_t index;
	char *upstream;
	char *handle;
};

/* What decided on the admission of a chain, for the log. */
struct chain_bound {
	const char *rule; /* "target": in time; "fixed" or "error": a bound for late chains */
	const char *pool; /* the one with the longest wait; NULL: none */
	bool late;	  /* class of the chain when it was decided on */
	bool by_error;	  /* the rule is "error" */
	uint32_t samples; /* errors of late chains that are known for the pool */
	int64_t age_ms;	  /* of the newest one; -1: there is none */
	int64_t error_ms; /* p90 of the errors; 0: too few are known */
};

struct chain_cmd {
	enum chain_cmd_kind kind;
	uint64_t call; /* CALL only */
	char *upstream;
	char *address;
	struct chain_piece *pieces;
	uint32_t n_pieces;
	int64_t expect_ms; /* expected duration of the call */
	/* CALL: pace believed of the upstream, and the age of its report; -1: it reports none */
	int32_t pace_pct;
	int64_t pace_age_ms;
	char **handles; /* FREE: results to release; READY: results for the engine */
	uint64_t job;	/* all but CALL and FREE */
	char *asker;
	char *attempt;	   /* id of the caller's attempt, for the log */
	char *data_centre; /* READY: the one that stores most bytes of the results; NULL: unknown */
	int64_t retry_after_ms;
	const char *reason; /* REFUSE: static string */
	bool late; /* ADMIT, READY and REFUSE: the chain is expected to miss its latency target */
	int64_t expect_in_ms; /* ADMIT, READY and REFUSE: time until the estimated first token */
	int64_t aim_in_ms;    /* ADMIT and READY: time until the latency target */
	struct chain_bound bound; /* ADMIT, READY and REFUSE */
	char *account;	   /* ADMIT and REFUSE: under which the chain takes its shares of pools */
	double lead_calls; /* of the account, in the chain's pool where it is most ahead */
	struct chain_job_spec doc; /* owned; HANDOFF: all of it, READY: prompt and regions */
	/* HANDOFF and PROGRESS */
	struct chain_stored_result *done;
	uint32_t n_done;
};

/* State of one pool's queue, for logs, metrics and the dump. */
struct chain_pool_stats {
	const char *service;
	uint32_t upstreams; /* number of usable upstreams */
	uint32_t busy;	    /* number of upstreams with calls in progress */
	uint32_t waiting;   /* pieces that are ready to start */
	uint32_t pending;   /* unfinished pieces of admitted chains */
	int64_t backlog_ms; /* estimated time to finish the pending pieces */
};

/* With fewer samples the error of estimates counts as unknown. */
#define CHAIN_ERROR_SAMPLES_MIN 20

/* Errors of the estimates for chains whose longest wait was in the pool, by class. */
struct chain_error_stats {
	const char *service;
	bool late;	  /* class at admission */
	uint32_t samples; /* that count: the newest of the last 10 s */
	int64_t age_ms;	  /* of the newest one; -1: there is none */
	int64_t p10_ms;	  /* quantiles of the actual less the estimated time; 0: too few samples */
	int64_t p50_ms;
	int64_t p90_ms;
};

/* Counts of late chains and refusals since the start, and chains that are held now. */
struct chain_late_stats {
	uint32_t n_held;
	uint64_t n_late_fixed;	    /* admitted as late by the fixed bound */
	uint64_t n_late_error;	    /* admitted as late by the measured error */
	uint64_t n_refused_fixed;   /* refused on arrival by the fixed bound */
	uint64_t n_refused_error;   /* refused on arrival by the measured error */
	uint64_t n_refused_waiting; /* refused while they were held */
	uint64_t n_expired;	    /* refused as a stored result was about to expire */
	uint64_t n_returned;	    /* came again after a refusal */
	uint64_t n_returned_admitted;
	uint64_t n_returned_served;
};

/* An account with unfinished pieces in a pool in which pieces wait. */
struct chain_account_stats {
	const char *service;
	const char *account;
	uint32_t waiting;
	uint32_t running;
	double share;	   /* of the pool's work of the last seconds, 0..1 */
	double lead_calls; /* full calls that the account has had beyond its share, of late */
	double given_elsewhere_ms; /* work of the last seconds that other owners gave it */
};

struct chain_counters {
	uint64_t shared_rounds; /* times that work was assigned by shares of accounts */
	uint64_t room_waits;	/* estimates in which the wait for room was the longest of a pool */
	uint64_t held_stages;	/* stages that waited as their results would have expired */
	uint64_t owner_sums;	/* sums of accounts' work that other owners told and that count */
};

/* Work that waits in a pool, as owners tell each other. */
struct chain_pool_load {
	const char *service;
	uint32_t pending;  /* unfinished pieces of admitted chains */
	uint32_t piece_us; /* time that one more piece adds to the wait */
};

/* Accounts of a pool in a message between owners. */
#define CHAIN_ACCOUNT_WORK_MAX 64

/* Work that an owner has given an account in a pool, in ms of upstream time. */
struct chain_account_work {
	const char *account;
	uint64_t given_ms;
};

/* An owner of another region. */
struct chain_owner {
	const char *address;
	uint64_t incarnation;
};

struct chain_sched *chain_sched_new(void);
void chain_sched_free(struct chain_sched *c);

/* Sets the mechanisms that are switched off, see policy_is_on(). */
void chain_set_policies(struct chain_sched *c, uint32_t off);

/* Applies the published pools. Pools that are no longer published are kept. */
void chain_set_pools(struct chain_sched *c, const struct pub_doc *doc);

/*
 * Applies the published upstreams. Those that are no longer listed are removed once idle. One with
 * another address was started again: the pieces of its calls and results run again.
 */
void chain_set_upstreams(struct chain_sched *c, const struct chain_upstream_info *docs, uint32_t n,
			 int64_t now_ms);

/* Whether the gate before an upstream lets requests through. */
struct chain_hold {
	bool is_held;	    /* no call or release of results may go there */
	int64_t open_at_ms; /* when that may change */
	/* requests that it accepts; each takes a permit, so calls go first; below 0: no limit */
	double limit_per_s;
};

void chain_hold_upstream(struct chain_sched *c, const char *id, const struct chain_hold *hold);

bool chain_has_upstream(const struct chain_sched *c, const char *id);

/* Returns whether a request would be sent to the upstream if it weren't held. */
bool chain_needs_upstream(const struct chain_sched *c, const char *id);

/*
 * Submits a chain; does nothing when its id is already known. A chain with more pieces than the
 * bounds allow is refused, whatever it brings. done lists results that are stored
 * from a previous owner. A chain with such results was admitted by that owner and is not refused
 * again. out is a command list of chain_cmd_list_new(), to which commands are appended.
 */
void chain_submit(struct chain_sched *c, const struct chain_job_spec *doc,
		  const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms,
		  GArray *out);

/*
 * Sets the regions that this node owns; until the first call it owns all. Calls go to upstreams of
 * owned regions; a pool that has none there borrows those of others. Chains placed in a region that
 * isn't owned are handed off, each as soon as none of its pieces is running.
 */
void chain_set_regions(struct chain_sched *c, const char *const *owned, uint32_t n);

/*
 * Notes that the upstream that runs the request should have fetched the chain's results by now. If
 * storage is low at an upstream that holds some of them, all are released at once or on a later
 * tick; otherwise they are kept for a retry until chain_release().
 */
void chain_mark_fetched(struct chain_sched *c, uint64_t job, int64_t now_ms, GArray *out);

/* Drops the chain and releases its results, once the request has begun to run or has ended. */
void chain_release(struct chain_sched *c, uint64_t job, int64_t now_ms, GArray *out);

/*
 * Applies the outcome of a call. results has n entries, in the order of the call's pieces.
 * other_owner_calls is the number of calls of other owners that the upstream reports.
 */
void chain_complete_call(struct chain_sched *c, uint64_t call,
			 const struct chain_piece_result *results, uint32_t n,
			 uint32_t other_owner_calls, int64_t now_ms, GArray *out);
/*
 * Returns whether the handles of the results are distinct and none is that of another piece of the
 * same chain. If not, they are another response, and the call is to be failed.
 */
bool chain_accepts_results(const struct chain_sched *c, uint64_t call,
			   const struct chain_piece_result *results, uint32_t n);
void chain_fail_call(struct chain_sched *c, uint64_t call, enum chain_call_error fault,
		     int64_t now_ms, GArray *out);

/*
 * Applies the pace that an upstream reports in any answer, before the outcome of the call. born_ms
 * is of the run that the call was sent to. Returns whether the belief about the upstream changed.
 */
bool chain_note_pace(struct chain_sched *c, const char *upstream, int64_t born_ms, int32_t pace_pct,
		     int64_t now_ms);

/* Returns false, without any output, if the upstream is unknown or its run reports no pace. */
bool chain_get_pace(const struct chain_sched *c, const char *upstream, int64_t now_ms,
		    int32_t *pace_pct, int64_t *age_ms);

/* Must be called every CHAIN_TICK_MS. */
#define CHAIN_TICK_MS 20
void chain_run_timers(struct chain_sched *c, int64_t now_ms, GArray *out);

bool chain_contains(const struct chain_sched *c, uint64_t job);
uint32_t chain_count_jobs(const struct chain_sched *c);

/*
 * Returns whether each of n_regions should have an owner of its own: an owner there is near its
 * upstreams, but queues for few of them grow long. was_split keeps the answer from alternating.
 */
bool chain_should_split(const struct chain_sched *c, uint32_t n_regions, bool was_split);

/* Applies the load of another owner's pools. The load is used for a short time only. */
void chain_set_region_load(struct chain_sched *c, const char *region,
			   const struct chain_pool_load *pools, uint32_t n, int64_t now_ms);

/* Writes the load of up to capacity pools that have upstreams here; returns the number written. */
uint32_t chain_get_pool_loads(const struct chain_sched *c, struct chain_pool_load *loads,
			      uint32_t capacity, int64_t now_ms);

/*
 * Writes the sums of up to capacity accounts of the pool that have changed since the last call,
 * those that changed most first, and returns the number written. Names are borrowed.
 */
uint32_t chain_take_account_work(struct chain_sched *c, const char *service,
				 struct chain_account_work *work, uint32_t capacity);

/* Applies the sums that another owner tells of a pool. */
void chain_note_account_work(struct chain_sched *c, const struct chain_owner *from,
			     const char *service, const struct chain_account_work *work, uint32_t n,
			     int64_t now_ms);

/* Writes the state of up to capacity pools and returns the number written. */
uint32_t chain_get_pool_stats(const struct chain_sched *c, struct chain_pool_stats *states,
			      uint32_t capacity);

/* Writes the errors of up to capacity pools and classes and returns the number written. */
uint32_t chain_get_error_stats(const struct chain_sched *c, struct chain_error_stats *stats,
			       uint32_t capacity, int64_t now_ms);

struct chain_late_stats chain_get_late_stats(const struct chain_sched *c);
/* Writes the state of up to capacity accounts in shared pools and returns the number written. */
uint32_t chain_get_account_stats(const struct chain_sched *c, struct chain_account_stats *states,
				 uint32_t capacity, int64_t now_ms);

/* What the admission of a chain knows of one of its pools. */
struct chain_pool_estimate {
	struct chain_pool_stats stats;
	uint32_t pieces;	  /* of the chain */
	uint32_t idle;		  /* upstreams that may get a call now */
	double working_upstreams; /* by their limits, paces and failures */
	int64_t wait_ms;	  /* in the pool's queue */
	int64_t closed_ms;	  /* until an upstream is open; part of wait_ms */
	struct chain_error_stats errors;
	bool is_shared; /* accounts get shares of it; account is set */
	struct chain_account_stats account;
};

/* What would be decided on a chain if it were submitted now. Strings are borrowed. */
struct chain_explanation {
	const char *moved_to; /* region to which it would be handed off; NULL: none */
	int64_t moved_age_ms; /* of that region's load */
	bool is_admitted;
	bool is_late;
	bool is_held;	    /* it would wait before its first piece */
	const char *reason; /* of a refusal, static; NULL: admitted */
	int64_t retry_after_ms;
	int64_t expect_in_ms; /* estimated first token */
	int64_t aim_in_ms;
	int64_t deadline_in_ms;
	struct chain_bound bound;
	struct chain_pool_estimate pools[PUB_STAGES_MAX];
	uint32_t n_pools;
};

/*
 * Decides on a chain as chain_submit() would, at an owner that has no chain of this id, and leaves
 * everything as it was.
 */
void chain_explain(struct chain_sched *c, const struct chain_job_spec *doc, int64_t now_ms,
		   struct chain_explanation *explanation);

void chain_get_counters(const struct chain_sched *c, struct chain_counters *counters);

void chain_cmd_clear(struct chain_cmd *cmd);

/* Returns an empty GArray of struct chain_cmd that clears its commands when it is freed. */
GArray *chain_cmd_list_new(void);

#ifdef __cplusplus
}
#endif

#endif
