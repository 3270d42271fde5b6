/*
 * Scheduler for chains: the stages of pool work that precede a request at a model engine. A stage
 * consists of pieces, and an upstream of a pool works on a batch of pieces per call. One node at a
 * time, the owner, schedules the chains of the whole fleet: it holds the queues of all pools, fills
 * calls with pieces of many requests, tracks the storage that results take at the upstreams, and
 * refuses chains that can't be served in time. The module does no I/O: callers pass in events and
 * the current time and carry out the commands that it appends to their list.
 */
#ifndef DECIDE_CHAIN_H
#define DECIDE_CHAIN_H

#include "model/pub.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time from the last result to the first token: the prefill of a prompt of mean length. */
#define CHAIN_FIRST_TOKEN_MS 150

struct chain_sched;

struct chain_stage_spec {
	char *service;
	uint32_t after;	 /* bit i: needs the results of stage i */
	uint32_t pieces; /* 0 skips the stage */
	int64_t result_bytes;
};

/* The chain of one request. Times are on the owner's clock. */
struct chain_job_spec {
	uint64_t id;	   /* unique in the fleet */
	const char *asker; /* node that holds the request */
	const char *attempt;
	const char *key; /* passed to stages without predecessors */
	const struct chain_stage_spec *stages;
	uint32_t n_stages;
	int64_t aim_at_ms; /* latency target for the first token */
	int64_t deadline_at_ms;
	int32_t rank; /* 0 is the most urgent */
	const char *data_centre;
	char *const *regions; /* where its pieces may run; NULL: anywhere */
};

struct chain_upstream_info {
	const char *id;
	const char *service;
	const char *address;
	const char *data_centre;
	const char *region;
	bool usable; /* false: receives no new calls */
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
	CHAIN_CALL_REJECTED,	   /* the upstream was full and ran nothing */
	CHAIN_CALL_WRONG_UPSTREAM, /* another upstream has the address */
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
	int64_t left_ms; /* until the deadline */
	char *key;
	char **inputs; /* handles; NULL for stages without predecessors */
};

/* A finished piece whose result is stored at an upstream; survives a change of owner. */
struct chain_stored_result {
	uint32_t stage;
	uint32_t index;
	char *upstream;
	char *handle;
};

struct chain_cmd {
	enum chain_cmd_kind kind;
	uint64_t call; /* CALL only */
	char *upstream;
	char *address;
	struct chain_piece *pieces;
	uint32_t n_pieces;
	int64_t expect_ms; /* expected duration of the call */
	char **handles;	   /* FREE and READY */
	uint64_t job;	   /* all but CALL and FREE */
	char *asker;
	char *attempt;	   /* id of the caller's attempt, for the log */
	char *data_centre; /* READY: stores most bytes of the results; NULL: no preference */
	int64_t retry_after_ms;
	const char *reason;	   /* REFUSE: static string */
	bool late;		   /* ADMIT, READY and REFUSE: it will miss its latency target */
	int64_t expect_in_ms;	   /* ADMIT, READY and REFUSE: until the estimated first token */
	int64_t aim_in_ms;	   /* ADMIT and READY: until the latency target */
	struct chain_job_spec doc; /* HANDOFF: owned by the command */
	/* HANDOFF and PROGRESS */
	struct chain_stored_result *done;
	uint32_t n_done;
};

/* State of one pool's queue, for logs, metrics and the dump. */
struct chain_pool_stats {
	const char *service;
	uint32_t upstreams; /* usable */
	uint32_t busy;
	uint32_t waiting; /* pieces that are ready to start */
	uint32_t pending; /* unfinished pieces of admitted chains */
	int64_t backlog_ms;
};

struct chain_sched *chain_sched_new(void);
void chain_sched_free(struct chain_sched *c);

/* Applies the published pools and upstreams. Upstreams no longer listed are removed once idle. */
void chain_set_pools(struct chain_sched *c, const struct pub_doc *doc);
void chain_set_upstreams(struct chain_sched *c, const struct chain_upstream_info *docs, uint32_t n,
			 int64_t now_ms);

/*
 * Submits a chain; a chain with a known id is left unchanged. done: results stored under a previous
 * owner. Such a chain was already admitted there and is not refused here. out: GArray of
 * struct chain_cmd.
 */
void chain_submit(struct chain_sched *c, const struct chain_job_spec *doc,
		  const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms,
		  GArray *out);

/*
 * During handoff no call is sent, and each chain is handed off as soon as none of its pieces runs.
 * Used by an owner that stops or has lost its ownership.
 */
void chain_set_handoff(struct chain_sched *c, bool handing);

/*
 * The upstream that runs the request should have fetched the results by now. They are released
 * where storage is low; elsewhere they stay until chain_release() in case of a retry.
 */
void chain_mark_fetched(struct chain_sched *c, uint64_t job, int64_t now_ms, GArray *out);

/* Releases the results: the request has begun to run or has ended. */
void chain_release(struct chain_sched *c, uint64_t job, int64_t now_ms, GArray *out);

/* others: calls of other owners that the upstream reports in its response. */
void chain_complete_call(struct chain_sched *c, uint64_t call,
			 const struct chain_piece_result *results, uint32_t n, uint32_t others,
			 int64_t now_ms, GArray *out);
void chain_fail_call(struct chain_sched *c, uint64_t call, enum chain_call_error fault,
		     int64_t now_ms, GArray *out);

/* Must be called every CHAIN_TICK_MS. */
#define CHAIN_TICK_MS 20
void chain_run_timers(struct chain_sched *c, int64_t now_ms, GArray *out);

bool chain_contains(const struct chain_sched *c, uint64_t job);
uint32_t chain_count_jobs(const struct chain_sched *c);

/* Fills up to capacity entries; returns how many. */
uint32_t chain_get_pool_stats(const struct chain_sched *c, struct chain_pool_stats *states,
			      uint32_t capacity);

void chain_cmd_clear(struct chain_cmd *cmd);

/* An empty command list, which clears its commands when freed. */
GArray *chain_cmd_list_new(void);

#ifdef __cplusplus
}
#endif

#endif
