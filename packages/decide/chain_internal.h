/* Types and functions shared by the files of the chain scheduler. */
#ifndef DECIDE_CHAIN_INTERNAL_H
#define DECIDE_CHAIN_INTERNAL_H

#include "decide/chain.h"
#include "decide/pace.h"
#include "decide/policy.h"

#include "chain_estimate_internal.h"

/* Duration of one stage under load, including the wait in the pool's queue. */
#define CHAIN_STAGE_TIME_MS 600
/* Added to a chain's sort key in the queue for each step of rank: the duration of one stage. */
#define CHAIN_RANK_STEP_MS 600

/* Calls. */

/*
 * A call is overdue after CHAIN_CALL_TIMEOUT_FACTOR times its expected duration plus
 * CHAIN_CALL_TIMEOUT_MARGIN_MS; its pieces are then queued again for other upstreams. Durations
 * vary by 20%; the margin covers a round trip between regions in which a packet is lost.
 */
#define CHAIN_CALL_TIMEOUT_FACTOR 2
#define CHAIN_CALL_TIMEOUT_MARGIN_MS 200
/* Time after sending a call until the upstream has its inputs: two round trips between regions. */
#define CHAIN_INPUT_FETCH_MS 60
/*
 * Weight of the latest call in an upstream's slowdown; a slow upstream is recognised after three
 * calls.
 */
#define CHAIN_SLOWDOWN_GAIN 0.3
/* Weight of the latest call in a pool's time per piece; averages over 1 s in a pool under load. */
#define CHAIN_PIECE_TIME_GAIN 0.1
/*
 * Weight, 0..1, of the measured time per piece in admission estimates of pools that aren't large.
 * The rest is the time per piece of full calls, since longer queues make calls fuller.
 */
#define CHAIN_MEASURED_TIME_WEIGHT 0.5
/* Cost of a megabyte of inputs or results that crosses data centres, as a wait. */
#define CHAIN_CROSSING_MS_PER_MB 40.0
/* Least cost of running a stage elsewhere: its call takes a round trip more. */
#define CHAIN_CROSSING_MIN_MS 20.0
/* Cost of an upstream whose storage is all in use, as a wait. */
#define CHAIN_STORAGE_MS 100.0

/* Upstreams that are slow, reject calls or fail. */

/*
 * An upstream is slow when the ratio of measured to expected duration reaches this; load alone
 * doesn't cause a larger ratio.
 */
#define CHAIN_SLOW_FACTOR 2.5
/*
 * Minimum interval between calls to a slow upstream; slow periods last at least this long. If all
 * of a pool are slow, each gets one call at a time instead: there is none to prefer to them.
 */
#define CHAIN_SLOW_PROBE_MS 3000
/*
 * An upstream gets no call for this long after it rejected one; a fifth of the duration of a call.
 */
#define CHAIN_REJECTED_BACKOFF_MS 60
/*
 * An upstream gets no call for this long after one whose results all found no room there; most of
 * the duration of a call.
 */
#define CHAIN_NO_ROOM_BACKOFF_MS 200
/* Backoff after a failed call; doubles with each consecutive failure. */
#define CHAIN_FAILURE_BACKOFF_MS 500
/*
 * Maximum of the backoff after failed calls; an upstream that died leaves the view after three
 * heartbeats, about 4 s.
 */
#define CHAIN_FAILURE_BACKOFF_MAX_MS 4000
/*
 * An upstream counts as shared for this long after it reported another owner's call; a handoff
 * between owners takes less.
 */
#define CHAIN_SHARED_UPSTREAM_MS 2000

/* Storage for results at the upstreams. */

/* Fraction of the storage that may be used: all, as results have exactly their announced sizes. */
#define CHAIN_STORAGE_SHARE 1.0
/* Storage that can't hold the results of this many full calls of a stage counts as scarce. */
#define CHAIN_STORAGE_CALLS 2
/*
 * Storage counts as low when more than this fraction of it is used; results are then released as
 * soon as they have been fetched. The results of one full call take about this fraction.
 */
#define CHAIN_STORAGE_LOW_SHARE 0.4
/*
 * Results of a stage that together take less than this fraction of a storage are never released
 * early: a hundred such stages would fill it.
 */
#define CHAIN_EARLY_RELEASE_SHARE 0.01
/*
 * A chain is refused this long before one of its results expires: the call that fetches the result
 * needs that time.
 */
#define CHAIN_RESULT_EXPIRY_MARGIN_MS 400

/* Admission. */

/*
 * Upper bound on the estimated time until the first token of a late chain; above it the chain is
 * refused. Must stay below the time for which upstreams keep results (about 4 s), or the chain's
 * first results expire before they are used.
 */
#define CHAIN_LATE_MAX_MS 3000
/*
 * Factor on the estimated time of a late chain when it is compared with the deadline; covers the
 * estimation error of nine chains in ten.
 */
#define CHAIN_LATE_FACTOR 1.5
/* A deadline is far if it is more than this many times the time for which results are kept away. */
#define CHAIN_FAR_DEADLINE_RESULTS 2
/* Parts of the results' time, as percentages, to which the wait has to fall before chains begin. */
#define CHAIN_FAR_WAIT_PCT 33
#define CHAIN_NEAR_WAIT_PCT 66
/* Added to the estimate of a late chain to get its due time: the duration of one call. */
#define CHAIN_ESTIMATE_MARGIN_MS 300
/* Interval between reviews of held late chains. */
#define CHAIN_LATE_REVIEW_MS 100
/*
 * A held chain is refused when so many reviews in a row find that it can't be served: all upstreams
 * of a pool may pause for up to CHAIN_NO_ROOM_BACKOFF_MS at once.
 */
#define CHAIN_LATE_REVIEWS 3
/* Time reserved before the deadline for the first token and for the response to travel back. */
#define CHAIN_DEADLINE_MARGIN_MS 250
/*
 * A chain is refused when one of its pieces has failed this many times. Calls that were rejected or
 * overdue, and results that found no room, don't count as failures.
 */
#define CHAIN_PIECE_FAILURES_MAX 4
/*
 * Bounds of the retry-after time of refusals: about the duration of one call, and a time after
 * which few callers can still retry before their deadline.
 */
#define CHAIN_RETRY_AFTER_MIN_MS 250
#define CHAIN_RETRY_AFTER_MAX_MS 5000
/* Upper bound of the retry-after time that follows from the rate at which a backlog falls. */
#define CHAIN_RETRY_AFTER_LIMIT_MS 60000

/* At a limited upstream, calls wait for the release of results of this many full calls. */
#define CHAIN_RELEASE_CALLS 8
/* They also do once these results take this fraction of the storage. */
#define CHAIN_RELEASE_SHARE 0.5
/* Interval between reviews of the admitted chains while an upstream limits its calls. */
#define CHAIN_REVIEW_MS 200

enum piece_state { PIECE_WAITING, PIECE_RUNNING, PIECE_DONE };

struct piece {
	enum piece_state state;
	uint32_t n_failures;
	uint64_t call; /* id of the call that runs the piece */
	char *handle;
	struct upstream *producer; /* upstream that stores the result; NULL once it is removed */
	int64_t done_ms;
	bool freed; /* the result was released at the upstream */
};

struct stage {
	struct pool *pool; /* NULL until the pool is published */
	char *service;
	uint32_t after; /* bit i is set when the stage needs the results of stage i */
	int64_t result_bytes;
	struct piece *pieces;
	uint32_t n_pieces;
	uint32_t n_done;
	uint32_t n_running;
	struct chain_share *share; /* of the chain's account in the pool; NULL without a pool */
	bool open;		   /* pieces of the stage may start */
	bool held;		   /* has waited as its results would have expired */
	bool reported;		   /* the stage's results were reported to the requesting node */
	bool terminal;		   /* no other stage uses its results */
	uint32_t depth;		   /* number of stages on the longest path of predecessors */
};

/* A submitted chain. */
struct job {
	uint64_t id;
	char *asker;
	char *account;	  /* client account; NULL: unknown */
	char *share_name; /* account, or a name for all chains of the asker without one */
	char *attempt;
	char *key;
	char *data_centre;
	char *region; /* of data_centre; NULL: that of every owner */
	char **regions;
	struct chain_prompt prompt; /* owns the service */
	struct stage *stages;
	uint32_t n_stages;
	int64_t aim_at_ms;
	int64_t deadline_at_ms;
	int32_t rank;
	bool late;		  /* expected to miss the latency target */
	bool held;		  /* late, and none of its pieces may start yet */
	struct pool *binding;	  /* the pool with the longest wait at admission; NULL: none */
	struct chain_bound bound; /* what decided on admission */
	uint32_t n_hopeless;	  /* reviews in a row that found that it can't be served */
	bool returned;		  /* came again after a refusal */
	int64_t expect_at_ms;	  /* time of the first token, as estimated at admission */
	int64_t due_at_ms;	  /* latency target, or a late chain's estimate plus a margin */
	bool delivered;		  /* READY was reported; results stay until the chain is dropped */
	int64_t delivered_ms;
	bool fetched; /* the engine should have fetched the results */
};

/* A batch of pieces sent to one upstream. */
struct call {
	uint64_t id;
	struct upstream *upstream;
	int64_t sent_ms;
	int64_t expect_ms;
	double pace_factor; /* believed of the upstream when the call was sent */
	bool overdue;	    /* the call timed out and its pieces were queued again */
	struct call_piece {
		uint64_t job;
		uint32_t stage;
		uint32_t index;
	} * pieces;
	uint32_t n;
	int64_t room_bytes; /* storage reserved for the results of the call */
};

struct upstream {
	char *id;
	char *address;
	char *data_centre;
	char *region;
	struct pool *pool;
	bool usable;	 /* may receive new calls */
	bool listed;	 /* is in the published view */
	bool keeps_room; /* leaves room to small results even by stages that have started */
	uint32_t calls;	 /* number of calls in progress */
	int64_t backoff_until_ms;
	double limit_per_s; /* requests that it accepts; below 0: any, without permits */
	bool is_held;	    /* the gate is closed */
	int64_t open_at_ms; /* when the gate may open */
	uint32_t failures;  /* number of consecutive failed calls */
	/*
	 * Moving average of the ratio of measured to expected duration, without the part that the
	 * reported pace explains.
	 */
	double slowdown;
	struct pace pace;
	int64_t last_call_ms;
	int64_t busy_until_ms; /* expected end of the last call */
	int64_t shared_ms;  /* when the upstream last reported calls of another owner; 0: never */
	int64_t used_bytes; /* storage in use or reserved by this owner, in bytes */
	int64_t foreign_bytes; /* used by a previous owner's results, inferred from NO_ROOM */
	int64_t foreign_ms; /* when foreign_bytes was set; the estimate then falls to 0 within the
			       pool's handle_ms, as those results expire */
	GPtrArray *pending_frees;   /* handles of results to release */
	int64_t pending_free_bytes; /* of these results */
};

/* What waits in a pool, as of the last refresh. */
struct chain_room {
	uint32_t n_accounts;   /* accounts with unfinished pieces */
	uint32_t ready;	       /* pieces that wait to be started now or are running */
	int64_t waiting_bytes; /* results of pieces that wait */
	int64_t in_time_bytes; /* of these, results of chains that aren't late */
	int64_t small_bytes;   /* largest result of late that doesn't fill the storage */
	int64_t small_at_ms;   /* when there was such a result last */
};

struct pool {
	char *service;
	struct pub_pool doc;
	GPtrArray *upstreams;
	bool only_slow; /* at the last dispatch, all upstreams that it might call were slow */
	/* moving average of a call's time per piece at pace 1; 0: no call so far */
	double piece_time_ms;
	struct pace_usual usual_pace;
	struct chain_errors errors[2]; /* of estimates: of chains in time, of late chains */
	struct chain_backlog backlog;
	/* Counts of a review of late chains: pieces that precede the next held chain. */
	uint32_t ahead;
	double piece_wait_ms;
	double closed_wait_ms;
	struct chain_share_pool *shares;
	struct chain_room room;
};

/* An open stage with waiting pieces. */
struct chain_ready_stage {
	struct job *job;
	struct stage *stage;
	bool late;
	bool holds_storage; /* part of the stage has started, and its results take scarce storage */
	uint32_t waiting;   /* pieces that wait when the stage is listed */
	int64_t due_ms;
	double tag_ms; /* virtual start time within the pool */
	uint64_t turn; /* full calls from the pool's virtual time to the tag */
};

/* Refused chains that are remembered; a newer one replaces an older one with the same remainder. */
#define CHAIN_REFUSED_MAX 1024

/* A refused chain, which its caller may send again. */
struct chain_refused {
	uint64_t hash;
	int64_t until_ms; /* later it isn't recognised */
};

/* Owners of other regions whose sums of accounts' work are kept. */
#define CHAIN_SHARE_OWNERS_MAX 8

struct chain_share_owner {
	char address[128];
	uint64_t incarnation;
	uint64_t run; /* differs for each incarnation that is heard; 0: unused */
	int64_t heard_ms;
};

struct chain_sched {
	GHashTable *pools;     /* service -> struct pool */
	GHashTable *upstreams; /* id -> struct upstream */
	GHashTable *jobs;      /* id -> struct job */
	GPtrArray *order;      /* jobs in order of arrival */
	GHashTable *calls;     /* id -> struct call */
	uint64_t next_call;
	int64_t reviewed_ms; /* when admitted chains were last reviewed */
	int64_t room_at_ms;  /* when the room of the pools was last refreshed; 0: never */
	char **owned;	     /* regions that this node owns; NULL: all */
	uint32_t off;	     /* policies that are switched off */
	uint32_t n_held;     /* late chains that are held */
	int64_t late_reviewed_ms;
	struct chain_late_stats late;
	struct chain_refused refused[CHAIN_REFUSED_MAX];
	struct chain_counters *counters;
	GHashTable *loads; /* region -> struct region_load: of other owners */
	struct chain_share_owner owners[CHAIN_SHARE_OWNERS_MAX];
	uint64_t owner_runs; /* number of the last one */
};

/* Load of the pools in another owner's region. */
struct region_load {
	char *region;
	int64_t heard_ms;
	GHashTable *pools; /* service -> struct chain_pool_load */
};

/* chain_balance.c */
GHashTable *chain_region_loads_new(void);

/*
 * Places a job that has just arrived in another region if it would be served sooner there. Returns
 * whether it was; the caller hands it off.
 */
bool chain_move_job(struct chain_sched *c, struct job *job, int64_t now_ms);

/* Returns the region that it would be placed in, and the age of its load; NULL if it would stay. */
const char *chain_better_region(const struct chain_sched *c, const struct job *job, int64_t now_ms,
				int64_t *age_ms);

/* chain_job.c */
struct job *chain_job_new(struct chain_sched *c, const struct chain_job_spec *doc);
void chain_job_free(struct job *job);

/* The same for a job that isn't submitted: its pools and their accounts stay as they are. */
struct job *chain_job_new_preview(struct chain_sched *c, const struct chain_job_spec *doc);
void chain_job_free_preview(struct job *job);

/*
 * Opens the stages that may start and closes all others. Returns whether all stages of the chain
 * are done.
 */
bool chain_open_stages(struct job *job);

/* Returns the minimum time until the first token, without any wait in a queue. */
int64_t chain_job_remaining_ms(const struct job *job);

/*
 * Returns the time by which chains are ordered in the queue, earliest first: the due time plus
 * CHAIN_RANK_STEP_MS for each step of rank.
 */
int64_t chain_job_sort_key_ms(const struct job *job);

/*
 * Returns the latest time at which the stage should start for its chain to be in time, if this and
 * each later stage take CHAIN_STAGE_TIME_MS. Includes the rank of the chain.
 */
int64_t chain_stage_due_ms(const struct job *job, const struct stage *stage);

/*
 * chain_admit.c: decides on admission and sets late, expect_at_ms and due_at_ms of the job. Returns
 * NULL when the chain is admitted; otherwise the reason, and *retry_ms is set.
 */
const char *chain_admit(const struct chain_sched *c, struct job *job, int64_t now_ms,
			int64_t *retry_ms);

/* Returns the number of unfinished pieces of admitted chains in the pool. */
uint32_t chain_count_pending(const struct chain_sched *c, const struct pool *pool);

/* Returns the time that one more piece adds to the wait in the pool's queue. */
double chain_pool_piece_ms(const struct chain_sched *c, const struct pool *pool, int64_t now_ms);

/*
 * Returns how many upstreams of the pool work; one counts in part under a limit, and by its speed
 * if it reports its pace.
 */
double chain_usable_upstreams(const struct chain_sched *c, const struct pool *pool, int64_t now_ms);

/* Returns the job's wait in the pool's queue; all: it precedes no other chain. */
double chain_pool_wait_ms(const struct chain_sched *c, const struct job *job,
			  const struct pool *pool, bool all, int64_t now_ms);

/* Returns how long until an upstream of the pool is open; 0 if one is, or needs just a permit. */
int64_t chain_pool_closed_ms(const struct pool *pool, int64_t now_ms);

/* chain_late.c */

/* Returns whether a piece of the chain runs or is done. */
bool chain_has_begun(const struct job *job);

/* Returns how long the chain's results, stored or still to come, will be kept by upstreams. */
int64_t chain_results_left_ms(const struct job *job, int64_t now_ms);

/* Holds a chain that has just been admitted as late if its first results would expire unused. */
void chain_hold_if_late(struct chain_sched *c, struct job *job, int64_t now_ms);
void chain_unhold(struct chain_sched *c, struct job *job);

/*
 * Lets held chains begin, in order of their due times, once their results would last. Refuses those
 * that can no longer be served. Also samples the pools' backlogs.
 */
void chain_review_late(struct chain_sched *c, int64_t now_ms, GArray *out);

/* chain_return.c */
void chain_note_refused(struct chain_sched *c, const struct job *job, int64_t retry_ms,
			int64_t now_ms);

/* Returns whether the chain was refused shortly before, and forgets the refusal. */
bool chain_is_return(struct chain_sched *c, const struct job *job, int64_t now_ms);

/* chain_handoff.c */
bool chain_owns_region(const struct chain_sched *c, const char *region);
void chain_hand_off(struct chain_sched *c, struct job *job, GArray *out);
void chain_hand_off_jobs(struct chain_sched *c, int64_t now_ms, GArray *out);
void chain_clear_handoff(struct chain_cmd *cmd);
void chain_adopt_results(struct chain_sched *c, struct job *job,
			 const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms);
void chain_report_progress(const struct job *job, GArray *out);

/* chain_cmd.c */
void chain_fill_pool_stats(const struct chain_sched *c, const struct pool *pool,
			   struct chain_pool_stats *state);

/* chain.c */
#define CHAIN_TOO_MANY_PIECES "too many pieces"
bool chain_has_too_many_pieces(const struct chain_job_spec *doc);
void chain_free_stage_results(struct stage *s);
void chain_drop_job(struct chain_sched *c, struct job *job);
void chain_refuse(struct chain_sched *c, struct job *job, const char *reason, int64_t retry_ms,
		  int64_t now_ms, GArray *out);

/*
 * Adds to the estimate of storage that results unknown to this owner take. The estimate declines as
 * those results expire.
 */
void chain_add_foreign_bytes(struct upstream *u, int64_t bytes, int64_t now_ms);

/*
 * chain_result.c: queue a piece again, or all pieces of a call that are still running. is_failure
 * counts a failure for each of them.
 */
void chain_requeue_piece(struct stage *s, struct piece *piece);

/*
 * chain_result.c: queues released results again that a waiting piece needs as inputs. To be called
 * whenever a piece has to run again: its inputs may have been released early, after it had fetched
 * them.
 */
void chain_requeue_inputs(struct job *job);
void chain_requeue_call(struct chain_sched *c, const struct call *call, bool is_failure);

/* chain_upstream.c */

/* Returns whether the pool has a usable upstream in the regions that this node owns. */
bool chain_pool_has_owned(const struct chain_sched *c, const struct pool *pool);
struct pool *chain_add_pool(struct chain_sched *c, const char *service);

/* chain_room.c: room for results, see docs/design/account-shares.md. */
bool chain_room_applies(const struct chain_sched *c, const struct pool *pool);

/* Sums up what waits in the pools, at most once in CHAIN_TICK_MS. */
void chain_room_refresh(struct chain_sched *c, int64_t now_ms);

/* Returns the storage that the stage leaves to small results at the upstream. */
int64_t chain_room_reserved_bytes(const struct chain_sched *c, const struct upstream *u,
				  const struct stage *s);

/* Returns whether the stage's results will probably be used before they expire. */
bool chain_room_may_start(const struct chain_sched *c, const struct job *job, struct stage *s,
			  int64_t now_ms);

/* Returns the wait for room in the pool, as a number of pieces that take this long. */
uint32_t chain_room_pieces_ahead(const struct chain_sched *c, const struct job *job,
				 const struct pool *pool, bool all, int64_t now_ms);

/*
 * chain.c: opens stages, releases results that no stage needs any more, and appends commands that
 * report finished stages or the finished chain.
 */
void chain_advance_job(struct chain_sched *c, struct job *job, int64_t now_ms, GArray *out);

/* Returns the number of pieces of the stage that wait. */
static inline uint32_t chain_count_waiting(const struct stage *s)
{
	return s->n_pieces - s->n_done - s->n_running;
}

/* chain_ready.c */

/*
 * Returns the stages of the pool that have pieces to start, in the order in which they are served;
 * n_idle is the number of idle upstreams. An array of struct chain_ready_stage.
 */
GArray *chain_list_ready_stages(const struct chain_sched *c, struct pool *pool, uint32_t n_idle,
				int64_t now_ms);
bool chain_has_started(const struct stage *s);

/* Returns whether results of CHAIN_STORAGE_CALLS full calls of the stage exceed the storage. */
bool chain_fills_storage(const struct chain_sched *c, const struct pool *pool,
			 const struct stage *s);

/* chain_share*.c: shares of a pool among accounts, see docs/design/account-shares.md. */
struct chain_share_pool *chain_share_pool_new(void);
void chain_share_pool_free(struct chain_share_pool *p);

/* Enters the stage in its pool under the job's account. */
void chain_share_join(const struct job *job, struct stage *s);
void chain_share_leave(struct stage *s);

/* For a preview: gives the stage its account's share, or one that isn't in the pool's table. */
void chain_share_lend(const struct job *job, struct stage *s);
void chain_share_return(struct job *job);

/* Keep what chain_share_add_bytes() changes. The second function frees the array. */
GArray *chain_share_save_bytes(const struct pool *pool);
void chain_share_restore_bytes(struct pool *pool, GArray *saved);

/* Returns the number of upstreams of the pool in owned regions that may get a call now. */
uint32_t chain_share_count_idle(const struct chain_sched *c, const struct pool *pool,
				int64_t now_ms);

/* Writes the state of the job's account in a pool that the job needs. */
void chain_share_get_stats(const struct chain_sched *c, const struct job *job,
			   const struct pool *pool, int64_t now_ms,
			   struct chain_account_stats *stats);

/* Returns whether the pool has so many upstreams that a running call is a short delay. */
bool chain_share_is_large(const struct pool *pool);

/* Returns whether accounts may get shares of the pool. */
bool chain_share_applies(const struct chain_sched *c, const struct pool *pool);

/*
 * Sets the virtual start time and the turn of stages that are listed in the order of each account.
 * Returns the number of accounts that have such stages.
 */
uint32_t chain_share_set_tags(struct pool *pool, GArray *ready);

/*
 * Sums of the results that an account waits for. chain_share_add_bytes() returns whether they are
 * the first since the last clear.
 */
void chain_share_clear_bytes(struct pool *pool);
bool chain_share_add_bytes(struct chain_share *share, int64_t bytes, bool is_late);
int64_t chain_share_get_bytes(const struct chain_share *share, bool all);

/* Charges a call that is being sent to the accounts of its pieces. */
void chain_share_charge_call(struct chain_sched *c, const struct call *call, int64_t now_ms);

/* Advances the pool's virtual time after pieces of listed stages have started. */
void chain_share_advance(struct chain_sched *c, struct pool *pool, const GArray *ready);

/*
 * Returns the number of full calls that the job's account is ahead of its share, in the pool of the
 * job where that is most.
 */
double chain_share_lead_calls(const struct job *job);

/*
 * Returns the number of unfinished pieces of other chains in the pool that precede the job's: in
 * time, or of all chains if it is late (all).
 */
uint32_t chain_share_pieces_ahead(const struct chain_sched *c, const struct job *job,
				  const struct pool *pool, bool all, int64_t now_ms);

/*
 * chain_pace.c: the factor by which a call that starts at from_ms takes longer for the reported
 * pace of its upstream, and the part of ratio, of its measured to its usual duration, that the
 * pace explains. Both are exactly 1 if the upstream reports none.
 */
double chain_pace_factor(const struct upstream *u, int64_t from_ms, double call_ms);
double chain_pace_explained(const struct call *call, double ratio, int64_t now_ms);

static inline bool chain_upstream_is_limited(const struct upstream *u)
{
	return u->limit_per_s >= 0;
}

/*
 * chain_free.c: adds the commands that release results. They precede the calls, so that the storage
 * is free when the calls arrive; those that have to wait for a permit that no call takes follow
 * them.
 */
void chain_send_frees(struct chain_sched *c, bool is_after_calls, GArray *out);

/* chain_dispatch.c: sends waiting pieces of all pools to idle upstreams. */
void chain_dispatch(struct chain_sched *c, int64_t now_ms, GArray *out);
bool chain_upstream_is_idle(const struct upstream *u, int64_t now_ms);

/* Returns the free storage of the upstream in bytes, as far as this owner knows. */
int64_t chain_storage_left(const struct upstream *u, int64_t now_ms);

/* Return whether storage is low at an upstream that holds results of the stage or of the chain. */
bool chain_stage_storage_is_low(const struct stage *s);
bool chain_job_storage_is_low(const struct job *job);

/* Releases the result of a finished piece; does nothing if it was released before. */
void chain_free_result(struct stage *stage, struct piece *piece);

#endif
