/* Types and functions shared by the files of the chain scheduler. */
#ifndef DECIDE_CHAIN_INTERNAL_H
#define DECIDE_CHAIN_INTERNAL_H

#include "decide/chain.h"

/* Time of one stage under load, its wait in the queue included. */
#define CHAIN_STAGE_TIME_MS 600
/* Each rank moves a chain back in the queue by the time of one stage. */
#define CHAIN_RANK_STEP_MS 600

/* Calls. */

/*
 * A call is overdue after this many times its expected duration plus the margin; its pieces are
 * then given to other upstreams. Durations vary by 20%, and the margin covers a round trip between
 * regions with a lost packet.
 */
#define CHAIN_CALL_TIMEOUT_FACTOR 2
#define CHAIN_CALL_TIMEOUT_MARGIN_MS 200
/* From sending a call until its inputs are fetched: two round trips between regions. */
#define CHAIN_INPUT_FETCH_MS 60
/* Weight of the latest call in an upstream's slowdown: three calls reveal a slow one. */
#define CHAIN_SLOWDOWN_GAIN 0.3
/* Weight of the latest call in a pool's time per piece: averages over 1 s of a pool under load. */
#define CHAIN_PIECE_TIME_GAIN 0.1
/* Weight of the measured time per piece against that of full calls, which longer queues lead to. */
#define CHAIN_MEASURED_TIME_WEIGHT 0.5
/* Added to the score of an upstream in another data centre; below the slowdown of a slow one. */
#define CHAIN_REMOTE_PENALTY 2.0
/* With so many upstreams, one of them ends its call within a third of a call. */
#define CHAIN_LOCAL_UPSTREAMS_MIN 3

/* Upstreams that are slow, reject calls or fail. */

/* Measured over expected duration; load alone doesn't explain more. */
#define CHAIN_SLOW_FACTOR 2.5
/* Between calls to a slow upstream; slow periods last at least this long. */
#define CHAIN_SLOW_PROBE_MS 3000
/* After a rejected call: a fifth of a call. */
#define CHAIN_REJECTED_BACKOFF_MS 60
/* After a call that had no room for any of its results: most of a call. */
#define CHAIN_NO_ROOM_BACKOFF_MS 200
/* After a failed call; doubles with each consecutive failure. */
#define CHAIN_FAILURE_BACKOFF_MS 500
/* The entry of a dead upstream expires after three heartbeats, some 4 s. */
#define CHAIN_FAILURE_BACKOFF_MAX_MS 4000
/* An upstream counts as shared this long after another owner's call; a handoff takes less. */
#define CHAIN_SHARED_UPSTREAM_MS 2000

/* Storage for results at the upstreams. */

/* Usable part of the storage; all of it, because results have exactly their announced sizes. */
#define CHAIN_STORAGE_SHARE 1.0
/* Storage that holds the results of fewer full calls than this is short. */
#define CHAIN_STORAGE_CALLS 2
/* Fill level above which inputs are released early: about the results of one full call. */
#define CHAIN_STORAGE_LOW_SHARE 0.4
/* Before a result expires: time for the call that fetches it. */
#define CHAIN_RESULT_EXPIRY_MARGIN_MS 400

/* Admission. */

/* Longest estimate with which a late chain is admitted; its first results are kept for some 4 s. */
#define CHAIN_LATE_MAX_MS 3000
/* Safety factor on the estimate; covers the estimation error of nine chains in ten. */
#define CHAIN_LATE_FACTOR 1.5
/* Added to the estimate of a late chain to get its due time: one call. */
#define CHAIN_ESTIMATE_MARGIN_MS 300
/* Time for the response to travel back, and for the first token. */
#define CHAIN_DEADLINE_MARGIN_MS 250
/* Failures of one piece before its chain is refused; each costs a call. */
#define CHAIN_PIECE_ATTEMPTS_MAX 4
/* Retry-after of refusals: from one call up to where few callers have time left to retry. */
#define CHAIN_RETRY_AFTER_MIN_MS 250
#define CHAIN_RETRY_AFTER_MAX_MS 5000

enum piece_state { PIECE_WAITING, PIECE_RUNNING, PIECE_DONE };

struct piece {
	enum piece_state state;
	uint32_t attempts;
	uint64_t call; /* id of the call that runs it */
	char *handle;
	struct upstream *producer; /* stores the result; NULL once the upstream is removed */
	int64_t done_ms;
	bool freed;
};

struct stage {
	struct pool *pool; /* NULL until the pool is published */
	char *service;
	uint32_t after;
	int64_t result_bytes;
	struct piece *pieces;
	uint32_t n_pieces;
	uint32_t n_done;
	bool open;	/* its pieces may start */
	bool reported;	/* its results were reported to the requesting node */
	bool terminal;	/* no other stage uses its results */
	uint32_t depth; /* longest path of predecessors */
};

/* One submitted chain. */
struct job {
	uint64_t id;
	char *asker;
	char *attempt;
	char *key;
	char *data_centre;
	char **regions;
	struct stage *stages;
	uint32_t n_stages;
	int64_t aim_at_ms;
	int64_t deadline_at_ms;
	int32_t rank;
	bool late;	      /* it will miss its latency target */
	int64_t expect_at_ms; /* first token, as estimated at admission */
	int64_t due_at_ms;    /* latency target, or later for a chain admitted as late */
	bool delivered;	      /* its results were reported; they are stored until chain_release() */
	int64_t delivered_ms;
	bool fetched; /* the engine should have fetched the results */
};

/* A batch of pieces sent to one upstream. */
struct call {
	uint64_t id;
	struct upstream *upstream;
	int64_t sent_ms;
	int64_t expect_ms;
	bool overdue; /* its pieces were queued again */
	struct call_piece {
		uint64_t job;
		uint32_t stage;
		uint32_t index;
	} * pieces;
	uint32_t n;
	int64_t room_bytes; /* storage reserved for its results */
};

struct upstream {
	char *id;
	char *address;
	char *data_centre;
	char *region;
	struct pool *pool;
	bool usable;	/* receives new calls */
	bool listed;	/* in the published view */
	uint32_t calls; /* in progress */
	int64_t backoff_until_ms;
	uint32_t failures; /* consecutive */
	double slowdown;   /* moving average of measured over expected duration */
	int64_t last_call_ms;
	int64_t shared_ms;     /* when it last reported calls of another owner; 0: never */
	int64_t used_bytes;    /* storage in use or reserved by this owner, in bytes */
	int64_t foreign_bytes; /* used by a previous owner's results, inferred from refusals */
	int64_t foreign_ms;    /* when foreign_bytes was set; they decline to 0 as results expire */
	GPtrArray *pending_frees; /* handles of results to release */
};

struct pool {
	char *service;
	struct pub_pool doc;
	GPtrArray *upstreams;
	double piece_time_ms; /* moving average of a call's time per piece; 0: no call so far */
};

struct chain_sched {
	GHashTable *pools;     /* service -> struct pool */
	GHashTable *upstreams; /* id -> struct upstream */
	GHashTable *jobs;      /* id -> struct job */
	GPtrArray *order;      /* jobs in order of arrival */
	GHashTable *calls;     /* id -> struct call */
	uint64_t next_call;
	bool handing_off; /* chains are being handed off */
};

/* chain_job.c */
struct job *chain_job_new(struct chain_sched *c, const struct chain_job_spec *doc);
void chain_job_free(struct job *job);

/* Opens the stages whose predecessors are done; true when all stages are done. */
bool chain_open_stages(struct job *job);

/* Least time in ms from now until the first token, without any wait in a queue. */
int64_t chain_job_remaining_ms(const struct job *job);

/* Queue position of a chain: its due time, moved back by its rank. */
int64_t chain_job_sort_key_ms(const struct job *job);

/* Latest start of a stage with which its chain is still in time, given usual waits. */
int64_t chain_stage_due_ms(const struct job *job, const struct stage *stage);

/* chain_admit.c: NULL when the chain is admitted, else why not; sets job->late. */
const char *chain_admit(const struct chain_sched *c, struct job *job, int64_t now_ms,
			int64_t *retry_ms);
double chain_pool_piece_ms(const struct pool *pool, int64_t now_ms);

/* chain_handoff.c */
void chain_hand_off_jobs(struct chain_sched *c, int64_t now_ms, GArray *out);
void chain_clear_handoff(struct chain_cmd *cmd);
void chain_adopt_results(struct chain_sched *c, struct job *job,
			 const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms);
void chain_report_progress(const struct job *job, GArray *out);

/* chain.c */
void chain_free_stage_results(struct stage *s);
void chain_drop_job(struct chain_sched *c, struct job *job);
void chain_refuse(struct chain_sched *c, struct job *job, const char *reason, int64_t retry_ms,
		  int64_t now_ms, GArray *out);

/* chain_result.c: queues a piece again, or all pieces of a call. */
void chain_requeue_piece(struct stage *s, struct piece *piece);
void chain_requeue_call(struct chain_sched *c, const struct call *call, bool is_failure);

/* chain_upstream.c */
struct pool *chain_add_pool(struct chain_sched *c, const char *service);

/* chain.c: opens stages, releases inputs that are used up and reports what is done. */
void chain_advance_job(struct job *job, int64_t now_ms, GArray *out);

/* chain_dispatch.c: sends waiting pieces of all pools to idle upstreams. */
void chain_dispatch(struct chain_sched *c, int64_t now_ms, GArray *out);
bool chain_upstream_is_idle(const struct upstream *u, int64_t now_ms);

/* Free result storage of the upstream, in bytes, as far as this owner knows. */
int64_t chain_storage_left(const struct upstream *u, int64_t now_ms);

/* True when storage is low at an upstream that holds results of the stage, or of the chain. */
bool chain_stage_storage_is_low(const struct stage *s);
bool chain_job_storage_is_low(const struct job *job);

/* Releases the result of a piece. */
void chain_free_result(struct stage *stage, struct piece *piece);

#endif
