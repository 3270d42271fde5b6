/* State of the chains' owner, shared by the files of the module. */
#ifndef DECIDE_CHN_INT_H
#define DECIDE_CHN_INT_H

#include "decide/chn.h"

/* Order of the queues. */
#define CHN_STAGE_SHARE_MS 600 /* a stage with its wait under load, as the users' days show */
#define CHN_RANK_MS 600	       /* that one rank is worth: a stage */

/* Calls. */
#define CHN_OVERDUE_FACTOR                                                                         \
	2 /* times the expected time, then pieces go elsewhere: calls vary by 20% */
#define CHN_OVERDUE_MS 200 /* besides: there and back between regions, and a lost packet */
#define CHN_FETCHED_MS 60  /* until inputs are fetched: two ways between regions */
#define CHN_RATIO_GAIN 0.3 /* of the newest call: three calls tell a slow upstream */
#define CHN_COST_GAIN 0.1  /* of the newest call: a second of a pool under load */
#define CHN_COST_SHARE 0.5 /* of the measured cost of a piece: calls fill up as queues grow */
#define CHN_FAR_SCORE 2.0  /* of an upstream in another data centre; a slow one has 2.5 */
#define CHN_NEAR_MIN 3	   /* upstreams of which one ends its call soon: a third of a call */

/* Upstreams that are slow, refuse or fail. */
#define CHN_SLOW_RATIO 2.5	  /* of the expected time: beyond what load explains */
#define CHN_SLOW_PROBE_MS 3000	  /* between two calls to a slow one: the shortest slowness seen */
#define CHN_FULL_PAUSE_MS 60	  /* after a refusal: a fifth of a call */
#define CHN_ROOM_PAUSE_MS 200	  /* after a call without room for any piece: most of a call */
#define CHN_BAD_PAUSE_MS 500	  /* after a failure; doubles with each in a row */
#define CHN_BAD_PAUSE_MAX_MS 4000 /* an entry lapses after three heartbeats, some 4 s */
#define CHN_SHARED_MS 2000	  /* since another owner's call: longer than a hand-over */

/* Room for results. */
#define CHN_ROOM_SHARE 1.0   /* of what is announced: sizes are announced as they are */
#define CHN_ROOM_CALLS 2     /* full calls: the results of as many fit where there is enough room */
#define CHN_SCARCE_SHARE 0.4 /* in use, from which inputs are given up early: a call's results */
#define CHN_EXPIRY_MARGIN_MS 400 /* before a result runs out: the call that fetches it */

/* Admission. */
#define CHN_LATE_MAX_MS 3000	   /* for a late chain: its first results are kept for some 4 s */
#define CHN_LATE_FACTOR 1.5	   /* of the time foretold: its error at nine in ten */
#define CHN_PROMISE_MARGIN_MS 300  /* beyond the time foretold: a call */
#define CHN_DEADLINE_MARGIN_MS 250 /* for the way back and the first token */
#define CHN_TRIES_MAX 4		   /* failures of one piece: each costs a call */
#define CHN_RETRY_MIN_MS 250	   /* told to callers: a call */
#define CHN_RETRY_MAX_MS 5000	   /* beyond it, few have time left to come back */

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
	bool delivered;	       /* its results were handed over; they are held until chn_end() */
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

struct chn {
	GHashTable *pools;     /* service -> struct pool */
	GHashTable *upstreams; /* id -> struct upstream */
	GHashTable *jobs;      /* id -> struct job */
	GPtrArray *order;      /* jobs in the order of their coming */
	GHashTable *calls;     /* id -> struct call */
	uint64_t next_call;
	bool handing;
};

/* chn_job.c */
struct job *chn_job_new(struct chn *c, const struct chn_job_doc *doc);
void chn_job_free(struct job *job);

/* Opens the stages whose predecessors are done; true when all stages are done. */
bool chn_job_advance(struct job *job);

/* Shortest time, in ms, from now until the first token, with no wait in any queue. */
int64_t chn_job_rest_ms(const struct job *job);

/* Orders chains: by what they were promised, the less urgent later. */
int64_t chn_job_order(const struct job *job);

/* When a stage has to start so that its chain keeps its promise, with usual waits. */
int64_t chn_job_due_ms(const struct job *job, const struct stage *stage);

/* chn_admit.c: whether a chain is taken; sets job->late. NULL, or the reason of a refusal. */
const char *chn_admit(const struct chn *c, struct job *job, int64_t now_ms, int64_t *retry_ms);
double chn_pool_unit_ms(const struct pool *pool, int64_t now_ms);

/* chn_hand.c */
void chn_hand_over(struct chn *c, int64_t now_ms, GArray *out);
void chn_hand_clear(struct chn_cmd *cmd);
void chn_adopt_results(struct chn *c, struct job *job, const struct chn_done *done, uint32_t n_done,
		       int64_t now_ms);
void chn_tell_progress(const struct job *job, GArray *out);

/* chn.c */
void chn_free_stage(struct stage *s);
void chn_drop_job(struct chn *c, struct job *job);
void chn_refuse(struct chn *c, struct job *job, const char *reason, int64_t retry_ms,
		int64_t now_ms, GArray *out);

/* chn_result.c: a piece that has to be done again; all pieces of a call. */
void chn_put_back(struct stage *s, struct piece *piece);
void chn_put_back_call(struct chn *c, const struct call *call, bool is_failure);

/* chn_ups.c */
struct pool *chn_add_pool(struct chn *c, const char *service);

/* chn.c */
void chn_advance(struct job *job, int64_t now_ms, GArray *out);

/* chn_call.c: gives pieces to idle upstreams of all pools. */
void chn_dispatch(struct chn *c, int64_t now_ms, GArray *out);
bool chn_upstream_is_idle(const struct upstream *u, int64_t now_ms);

/* Room for results that this owner may plan with, in bytes. */
int64_t chn_room_left(const struct upstream *u, int64_t now_ms);

/* The room is scarce where results of the stage lie; of any stage of the chain. */
bool chn_is_scarce(const struct stage *s);
bool chn_job_is_scarce(const struct job *job);

/* Gives up a result. */
void chn_free_piece(struct stage *stage, struct piece *piece);

#endif
