/*
 * Chains of stages: work on pieces that precedes a request at a model engine. One node at a time
 * owns the chains of the fleet; this module is its brain. It holds the queues of all pools, forms
 * calls of pieces of many requests, keeps account of the room that results take, and refuses what
 * can't be served. It does no I/O: it is handed events and the time, and yields commands.
 */
#ifndef DECIDE_CHN_H
#define DECIDE_CHN_H

#include "model/pub.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time left for the first token once all results are there, in ms: read of a mean prompt. */
#define CHN_FIRST_TOKEN_MS 150

struct chn;

struct chn_stage_doc {
	char *service;
	uint32_t after;	 /* bit i: needs the results of stage i */
	uint32_t pieces; /* 0: the stage is left out */
	int64_t result_bytes;
};

/* A request's chain. Times are of the owner's clock. */
struct chn_job_doc {
	uint64_t id;	   /* unique over the fleet */
	const char *asker; /* node that holds the request */
	const char *attempt;
	const char *key; /* given to stages without predecessors */
	const struct chn_stage_doc *stages;
	uint32_t n_stages;
	int64_t aim_at_ms;
	int64_t deadline_at_ms;
	int32_t rank; /* 0 is the most urgent */
	const char *data_centre;
	char *const *regions; /* where it may be worked on; NULL: anywhere */
};

struct chn_upstream_doc {
	const char *id;
	const char *service;
	const char *address;
	const char *data_centre;
	const char *region;
	bool usable; /* false: no new call */
};

enum chn_fault {
	CHN_OK,
	CHN_LATE,  /* its time had passed at the upstream */
	CHN_GONE,  /* an input is no longer held */
	CHN_ROOM,  /* no room for its result */
	CHN_ERROR, /* it failed */
};

struct chn_result {
	enum chn_fault fault;
	const char *handle; /* copied */
};

enum chn_call_fault {
	CHN_CALL_FULL,	 /* refused: nothing ran */
	CHN_CALL_WRONG,	 /* another upstream has the address */
	CHN_CALL_FAILED, /* broken, silent or malformed */
};

enum chn_cmd_kind {
	CHN_CMD_CALL,	  /* send pieces to an upstream */
	CHN_CMD_FREE,	  /* give up results at their maker */
	CHN_CMD_READY,	  /* all results of a chain stand */
	CHN_CMD_REFUSE,	  /* the chain is given up; its request has not run and may come back */
	CHN_CMD_ADMIT,	  /* the chain was taken; for the log alone */
	CHN_CMD_HAND,	  /* the chain goes to another owner, with the results that stand */
	CHN_CMD_PROGRESS, /* a stage is done: the asker is told which results stand */
};

struct chn_piece {
	uint64_t job;
	char *attempt;
	uint32_t stage;
	uint32_t index;
	int64_t left_ms;
	char *key;
	char **inputs; /* NULL for stages without predecessors */
};

/* A result that stands when a chain changes its owner. */
struct chn_done {
	uint32_t stage;
	uint32_t index;
	char *upstream;
	char *handle;
};

struct chn_cmd {
	enum chn_cmd_kind kind;
	uint64_t call; /* of CALL */
	char *upstream;
	char *address;
	struct chn_piece *pieces;
	uint32_t n_pieces;
	int64_t expect_ms; /* that the call takes */
	char **handles;	   /* of FREE and READY */
	uint64_t job;	   /* of READY and REFUSE */
	char *asker;
	char *attempt;	   /* of the caller, for the log */
	char *data_centre; /* of READY: where most bytes of the results lie; NULL: anywhere */
	int64_t retry_after_ms;
	const char *reason;	/* of REFUSE: a constant */
	bool late;		/* of ADMIT and READY: it can't be in time */
	int64_t expect_in_ms;	/* of ADMIT, READY and REFUSE: the time that was foretold for it */
	int64_t aim_in_ms;	/* of ADMIT and READY: left until its aim */
	struct chn_job_doc doc; /* of HAND: owned by the command */
	/* of HAND and PROGRESS */
	struct chn_done *done;
	uint32_t n_done;
};

/* What the queues look like, for logs, metrics and the dump. */
struct chn_pool_state {
	const char *service;
	uint32_t upstreams; /* usable */
	uint32_t busy;
	uint32_t waiting; /* pieces that could start now */
	uint32_t pending; /* pieces of admitted chains that aren't done */
	int64_t backlog_ms;
};

struct chn *chn_new(void);
void chn_free(struct chn *c);

/* Pools and upstreams as published; what isn't named any more is dropped when idle. */
void chn_set_pools(struct chn *c, const struct pub_doc *doc);
void chn_set_upstreams(struct chn *c, const struct chn_upstream_doc *docs, uint32_t n,
		       int64_t now_ms);

/*
 * A chain that is known already is left as it is. done: results that stand from an owner before;
 * such a chain was admitted there and is not refused here. out: GArray of struct chn_cmd.
 */
void chn_submit(struct chn *c, const struct chn_job_doc *doc, const struct chn_done *done,
		uint32_t n_done, int64_t now_ms, GArray *out);

/*
 * While handing, no call is sent: each chain is handed over as soon as none of its pieces runs.
 * For an owner that stops, or that is the owner no longer.
 */
void chn_set_handing(struct chn *c, bool handing);

/*
 * The upstream that runs the request should have fetched its results by now. They are given up
 * where room is scarce; elsewhere they stay until chn_end(), for another try.
 */
void chn_fetched(struct chn *c, uint64_t job, int64_t now_ms, GArray *out);

/* The request no longer needs its results: it has begun to run or has ended. */
void chn_end(struct chn *c, uint64_t job, int64_t now_ms, GArray *out);

/* others: calls of other owners that the upstream had besides, as its answer says. */
void chn_call_done(struct chn *c, uint64_t call, const struct chn_result *results, uint32_t n,
		   uint32_t others, int64_t now_ms, GArray *out);
void chn_call_failed(struct chn *c, uint64_t call, enum chn_call_fault fault, int64_t now_ms,
		     GArray *out);

/* To be called every CHN_TICK_MS. */
#define CHN_TICK_MS 20
void chn_tick(struct chn *c, int64_t now_ms, GArray *out);

bool chn_has(const struct chn *c, uint64_t job);
uint32_t chn_count_jobs(const struct chn *c);
uint32_t chn_pool_states(const struct chn *c, struct chn_pool_state *states, uint32_t room);

void chn_cmd_clear(struct chn_cmd *cmd);
GArray *chn_out_new(void);

#ifdef __cplusplus
}
#endif

#endif
