/* State of the chains' owner, shared by the files of the module. */
#ifndef DECIDE_CHAIN_INTERNAL_H
#define DECIDE_CHAIN_INTERNAL_H

#include "decide/chain.h"

/* Order of the queues. */
#define CHAIN_STAGE_TIME_MS 600 /* a stage with its wait under load, as the users' days show */
#define CHAIN_RANK_STEP_MS 600	/* that one rank is worth: a stage */

/* Calls. */
#define CHAIN_CALL_TIMEOUT_FACTOR                                                                  \
	2 /* times the expected time, then pieces go elsewhere: calls vary by 20% */
#define CHAIN_CALL_TIMEOUT_MARGIN_MS                                                               \
	200			  /* besides: there and back between regions, and a lost packet */
#define CHAIN_INPUT_FETCH_MS 60	  /* until inputs are fetched: two ways between regions */
#define CHAIN_SLOWDOWN_GAIN 0.3	  /* of the newest call: three calls tell a slow upstream */
#define CHAIN_PIECE_TIME_GAIN 0.1 /* of the newest call: a second of a pool under load */
#define CHAIN_MEASURED_TIME_WEIGHT                                                                 \
	0.5			 /* of the measured cost of a piece: calls fill up as queues grow */
#define CHAIN_REMOTE_PENALTY 2.0 /* of an upstream in another data centre; a slow one has 2.5 */
#define CHAIN_LOCAL_UPSTREAMS_MIN                                                                  \
	3 /* upstreams of which one ends its call soon: a third of a call */

/* Upstreams that are slow, refuse or fail. */
#define CHAIN_SLOW_FACTOR 2.5	 /* of the expected time: beyond what load explains */
#define CHAIN_SLOW_PROBE_MS 3000 /* between two calls to a slow one: the shortest slowness seen */
#define CHAIN_REJECTED_BACKOFF_MS 60 /* after a refusal: a fifth of a call */
#define CHAIN_NO_ROOM_BACKOFF_MS 200 /* after a call without room for any piece: most of a call */
#define CHAIN_FAILURE_BACKOFF_MS 500 /* after a failure; doubles with each in a row */
#define CHAIN_FAILURE_BACKOFF_MAX_MS 4000 /* an entry lapses after three heartbeats, some 4 s */
#define CHAIN_SHARED_UPSTREAM_MS 2000	  /* since another owner's call: longer than a hand-over */

/* Room for results. */
#define CHAIN_STORAGE_SHARE 1.0 /* of what is announced: sizes are announced as they are */
#define CHAIN_STORAGE_CALLS                                                                        \
	2 /* full calls: the results of as many fit where there is enough room */
#define CHAIN_STORAGE_LOW_SHARE                                                                    \
	0.4 /* in use, from which inputs are given up early: a call's results */
#define CHAIN_RESULT_EXPIRY_MARGIN_MS 400 /* before a result runs out: the call that fetches it */

/* Admission. */
#define CHAIN_LATE_MAX_MS 3000	     /* for a late chain: its first results are kept for some 4 s */
#define CHAIN_LATE_FACTOR 1.5	     /* of the time foretold: its error at nine in ten */
#define CHAIN_ESTIMATE_MARGIN_MS 300 /* beyond the time foretold: a call */
#define CHAIN_DEADLINE_MARGIN_MS 250 /* for the way back and the first token */
#define CHAIN_PIECE_ATTEMPTS_MAX 4   /* failures of one piece: each costs a call */
#define CHAIN_RETRY_AFTER_MIN_MS 250 /* told to callers: a call */
#define CHAIN_RETRY_AFTER_MAX_MS 5000 /* beyond it, few have time left to come back */

enum piece_state { PIECE_WAITING, PIECE_RUNNING, PIECE_DONE };

struct piece {
	enum piece_state state;
	uint32_t tries;
	uint64_t call; /* that it runs in */
	char *handle;
	struct upstream *maker; /* NULL once the upstream is gone */
	int64_t done_ms;
	bool freed;
};

struct stage {
	struct pool *pool; /* NULL: not published yet */
	char *service;
	uint32_t after;
	int64_t result_bytes;
	struct piece *pieces;
	uint32_t n_pieces;
	uint32_t n_done;
	bool open;     /* its pieces may start */
	bool told;     /* the asker knows its results */
	bool terminal; /* no other stage needs it */
	uint32_t depth;
};

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
	bool late;	       /* it can't be in time any more */
	int64_t expect_at_ms;  /* when it was expected to be ready, at admission */
	int64_t promise_at_ms; /* until when it is to be ready: its aim, or later if it was taken as
				  late */
	bool delivered; /* its results were handed over; they are held until chain_release() */
	int64_t delivered_ms;
	bool fetched; /* they should have been fetched */
};

struct call {
	uint64_t id;
	struct upstream *upstream;
	int64_t sent_ms;
	int64_t expect_ms;
	bool abandoned; /* its pieces were given to others */
	struct call_piece {
		uint64_t job;
		uint32_t stage;
		uint32_t index;
	} * pieces;
	uint32_t n;
	int64_t room_bytes;
};

struct upstream {
	char *id;
	char *address;
	char *data_centre;
	char *region;
	struct pool *pool;
	bool usable;
	bool listed;
	uint32_t calls; /* in progress */
	int64_t bad_until_ms;
	uint32_t fails; /* in a row */
	double ratio;	/* measured time over expected time */
	int64_t last_call_ms;
	int64_t shared_ms; /* when it last had calls of another owner; 0: never */
	int64_t room_used;
	int64_t room_foreign; /* held there by what another owner left, as refusals for room show */
	int64_t foreign_ms; /* when it was noted: it runs out with the time that results are kept */
	GPtrArray *frees;   /* handles to be given up */
};

struct pool {
	char *service;
	struct pub_pool doc;
	GPtrArray *upstreams;
	double cost_ms; /* of an upstream's time for a piece, as calls lately took; 0: none yet */
};

struct chain_sched {
	GHashTable *pools;     /* service -> struct pool */
	GHashTable *upstreams; /* id -> struct upstream */
	GHashTable *jobs;      /* id -> struct job */
	GPtrArray *order;      /* jobs in the order of their coming */
	GHashTable *calls;     /* id -> struct call */
	uint64_t next_call;
	bool handing;
};

/* chn_job.c */
struct job *chain_job_new(struct chain_sched *c, const struct chain_job_spec *doc);
void chain_job_free(struct job *job);

/* Opens the stages whose predecessors are done; true when all stages are done. */
bool chain_open_stages(struct job *job);

/* Shortest time, in ms, from now until the first token, with no wait in any queue. */
int64_t chain_job_remaining_ms(const struct job *job);

/* Orders chains: by what they were promised, the less urgent later. */
int64_t chain_job_sort_key_ms(const struct job *job);

/* When a stage has to start so that its chain keeps its promise, with usual waits. */
int64_t chain_stage_due_ms(const struct job *job, const struct stage *stage);

/* chain_admit.c: whether a chain is taken; sets job->late. NULL, or the reason of a refusal. */
const char *chain_admit(const struct chain_sched *c, struct job *job, int64_t now_ms,
			int64_t *retry_ms);
double chain_pool_piece_ms(const struct pool *pool, int64_t now_ms);

/* chn_hand.c */
void chain_hand_off_jobs(struct chain_sched *c, int64_t now_ms, GArray *out);
void chain_clear_handoff(struct chain_cmd *cmd);
void chain_adopt_results(struct chain_sched *c, struct job *job,
			 const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms);
void chain_report_progress(const struct job *job, GArray *out);

/* chn.c */
void chain_free_stage_results(struct stage *s);
void chain_drop_job(struct chain_sched *c, struct job *job);
void chain_refuse(struct chain_sched *c, struct job *job, const char *reason, int64_t retry_ms,
		  int64_t now_ms, GArray *out);

/* chain_piece_result.c: a piece that has to be done again; all pieces of a call. */
void chain_requeue_piece(struct stage *s, struct piece *piece);
void chain_requeue_call(struct chain_sched *c, const struct call *call, bool is_failure);

/* chn_ups.c */
struct pool *chain_add_pool(struct chain_sched *c, const char *service);

/* chn.c */
void chain_advance_job(struct job *job, int64_t now_ms, GArray *out);

/* chn_call.c: gives pieces to idle upstreams of all pools. */
void chain_dispatch(struct chain_sched *c, int64_t now_ms, GArray *out);
bool chain_upstream_is_idle(const struct upstream *u, int64_t now_ms);

/* Room for results that this owner may plan with, in bytes. */
int64_t chain_storage_left(const struct upstream *u, int64_t now_ms);

/* The room is scarce where results of the stage lie; of any stage of the chain. */
bool chain_stage_storage_is_low(const struct stage *s);
bool chain_job_storage_is_low(const struct job *job);

/* Gives up a result. */
void chain_free_result(struct stage *stage, struct piece *piece);

#endif
