/*
 * Chains of stages: work on pieces that precedes a request at a model engine. One node at a time
 * owns the chains of the fleet; this module is its brain. It holds the queues of all pools, forms
 * calls of pieces of many requests, keeps account of the room that results take, and refuses what
 * can't be served. It does no I/O: it is handed events and the time, and yields commands.
 */
#ifndef DECIDE_CHAIN_H
#define DECIDE_CHAIN_H

#include "model/pub.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time left for the first token once all results are there, in ms: read of a mean prompt. */
#define CHAIN_FIRST_TOKEN_MS 150

struct chain_sched;

struct chain_stage_spec {
	char *service;
	uint32_t after;	 /* bit i: needs the results of stage i */
	uint32_t pieces; /* 0: the stage is left out */
	int64_t result_bytes;
};

/* A request's chain. Times are of the owner's clock. */
struct chain_job_spec {
	uint64_t id;	   /* unique over the fleet */
	const char *asker; /* node that holds the request */
	const char *attempt;
	const char *key; /* given to stages without predecessors */
	const struct chain_stage_spec *stages;
	uint32_t n_stages;
	int64_t aim_at_ms;
	int64_t deadline_at_ms;
	int32_t rank; /* 0 is the most urgent */
	const char *data_centre;
	char *const *regions; /* where it may be worked on; NULL: anywhere */
};

struct chain_upstream_info {
	const char *id;
	const char *service;
	const char *address;
	const char *data_centre;
	const char *region;
	bool usable; /* false: no new call */
};

enum chain_piece_status {
	CHAIN_PIECE_OK,
	CHAIN_PIECE_EXPIRED,	/* its time had passed at the upstream */
	CHAIN_PIECE_INPUT_LOST, /* an input is no longer held */
	CHAIN_PIECE_NO_ROOM,	/* no room for its result */
	CHAIN_PIECE_FAILED,	/* it failed */
};

struct chain_piece_result {
	enum chain_piece_status fault;
	const char *handle; /* copied */
};

enum chain_call_error {
	CHAIN_CALL_REJECTED,	   /* refused: nothing ran */
	CHAIN_CALL_WRONG_UPSTREAM, /* another upstream has the address */
	CHAIN_CALL_FAILED,	   /* broken, silent or malformed */
};

enum chain_cmd_kind {
	CHAIN_CMD_CALL,	    /* send pieces to an upstream */
	CHAIN_CMD_FREE,	    /* give up results at their maker */
	CHAIN_CMD_READY,    /* all results of a chain stand */
	CHAIN_CMD_REFUSE,   /* the chain is given up; its request has not run and may come back */
	CHAIN_CMD_ADMIT,    /* the chain was taken; for the log alone */
	CHAIN_CMD_HANDOFF,  /* the chain goes to another owner, with the results that stand */
	CHAIN_CMD_PROGRESS, /* a stage is done: the asker is told which results stand */
};

struct chain_piece {
	uint64_t job;
	char *attempt;
	uint32_t stage;
	uint32_t index;
	int64_t left_ms;
	char *key;
	char **inputs; /* NULL for stages without predecessors */
};

/* A result that stands when a chain changes its owner. */
struct chain_stored_result {
	uint32_t stage;
	uint32_t index;
	char *upstream;
	char *handle;
};

struct chain_cmd {
	enum chain_cmd_kind kind;
	uint64_t call; /* of CALL */
	char *upstream;
	char *address;
	struct chain_piece *pieces;
	uint32_t n_pieces;
	int64_t expect_ms; /* that the call takes */
	char **handles;	   /* of FREE and READY */
	uint64_t job;	   /* of READY and REFUSE */
	char *asker;
	char *attempt;	   /* of the caller, for the log */
	char *data_centre; /* of READY: where most bytes of the results lie; NULL: anywhere */
	int64_t retry_after_ms;
	const char *reason;   /* of REFUSE: a constant */
	bool late;	      /* of ADMIT and READY: it can't be in time */
	int64_t expect_in_ms; /* of ADMIT, READY and REFUSE: the time that was foretold for it */
	int64_t aim_in_ms;    /* of ADMIT and READY: left until its aim */
	struct chain_job_spec doc; /* of HAND: owned by the command */
	/* of HAND and PROGRESS */
	struct chain_stored_result *done;
	uint32_t n_done;
};

/* What the queues look like, for logs, metrics and the dump. */
struct chain_pool_stats {
	const char *service;
	uint32_t upstreams; /* usable */
	uint32_t busy;
	uint32_t waiting; /* pieces that could start now */
	uint32_t pending; /* pieces of admitted chains that aren't done */
	int64_t backlog_ms;
};

struct chain_sched *chain_sched_new(void);
void chain_sched_free(struct chain_sched *c);

/* Pools and upstreams as published; what isn't named any more is dropped when idle. */
void chain_set_pools(struct chain_sched *c, const struct pub_doc *doc);
void chain_set_upstreams(struct chain_sched *c, const struct chain_upstream_info *docs, uint32_t n,
			 int64_t now_ms);

/*
 * A chain that is known already is left as it is. done: results that stand from an owner before;
 * such a chain was admitted there and is not refused here. out: GArray of struct chain_cmd.
 */
void chain_submit(struct chain_sched *c, const struct chain_job_spec *doc,
		  const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms,
		  GArray *out);

/*
 * While handing, no call is sent: each chain is handed over as soon as none of its pieces runs.
 * For an owner that stops, or that is the owner no longer.
 */
void chain_set_handoff(struct chain_sched *c, bool handing);

/*
 * The upstream that runs the request should have fetched its results by now. They are given up
 * where room is scarce; elsewhere they stay until chain_release(), for another try.
 */
void chain_mark_fetched(struct chain_sched *c, uint64_t job, int64_t now_ms, GArray *out);

/* The request no longer needs its results: it has begun to run or has ended. */
void chain_release(struct chain_sched *c, uint64_t job, int64_t now_ms, GArray *out);

/* others: calls of other owners that the upstream had besides, as its answer says. */
void chain_complete_call(struct chain_sched *c, uint64_t call,
			 const struct chain_piece_result *results, uint32_t n, uint32_t others,
			 int64_t now_ms, GArray *out);
void chain_fail_call(struct chain_sched *c, uint64_t call, enum chain_call_error fault,
		     int64_t now_ms, GArray *out);

/* To be called every CHAIN_TICK_MS. */
#define CHAIN_TICK_MS 20
void chain_run_timers(struct chain_sched *c, int64_t now_ms, GArray *out);

bool chain_contains(const struct chain_sched *c, uint64_t job);
uint32_t chain_count_jobs(const struct chain_sched *c);
uint32_t chain_get_pool_stats(const struct chain_sched *c, struct chain_pool_stats *states,
			      uint32_t room);

void chain_cmd_clear(struct chain_cmd *cmd);
GArray *chain_cmd_list_new(void);

#ifdef __cplusplus
}
#endif

#endif
