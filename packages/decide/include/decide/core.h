/*
 * Decision core of a node: takes typed events and returns typed commands. It does no I/O, reads no
 * clock and draws random numbers only from the generator in bb. It has no lock; the node
 * serialises all calls.
 */
#ifndef DECIDE_CORE_H
#define DECIDE_CORE_H

#include "decide/admit.h"
#include "decide/bb.h"
#include "decide/member.h"
#include "decide/quota.h"
#include "decide/req.h"
#include "decide/retry.h"
#include "decide/route.h"
#include "decide/slot.h"
#include "decide/ticket.h"

#ifdef __cplusplus
extern "C" {
#endif

enum core_event_type {
	CORE_EV_REQUEST,
	CORE_EV_FIRST_BYTE,	  /* first byte of an attempt's result */
	CORE_EV_RESULT,		  /* end of an attempt */
	CORE_EV_DISCONNECT,	  /* the caller no longer waits for the answer */
	CORE_EV_REPORT,		  /* load report of an upstream */
	CORE_EV_CONFIG,		  /* new configuration */
	CORE_EV_LIST,		  /* VM list read from the platform */
	CORE_EV_LIST_CONFIRMED,	  /* the platform has no newer VM list */
	CORE_EV_TICK,		  /* periodic timer */
	CORE_EV_DRAIN,		  /* a planned stop begins: the node is no longer ready */
	CORE_EV_CLOSE,		  /* planned stop: refuse new requests of callers from now on */
	CORE_EV_CONFIG_CONFIRMED, /* the configuration service has no newer configuration */
	CORE_EV_DIGEST,		  /* gossip digest of another node */
	CORE_EV_DEMAND,		  /* quota request or quota lease of another node */
};

struct core_ev_request {
	uint64_t id;
	struct cfg *cfg; /* configuration of the indices below, borrowed; NULL: the one in force */
	int pipeline;	 /* index into cfg.pipelines; -1: the request calls a service */
	int service;	 /* index into cfg.services; not used with a pipeline */
	char call[BB_NAME_BYTES]; /* of the service; empty: "run" */
	int account;		  /* index into cfg.accounts */
	/* time until the deadline, at most that of the pipeline; 0: that of the pipeline, or
	 * capacity.longest_ms without one */
	int64_t wait_ms;
	uint64_t body_bytes;
	uint64_t prefix_hash;
	bool has_ticket;
	struct ticket_id ticket;
	bool forwarded;	 /* sent by another node to the owner of the ticket; not forwarded again */
	bool handed_off; /* a single stage from a node without a slot; not handed off again */
	int64_t now_wall_ms; /* wall-clock time, to check the expiry of the ticket */
};

struct core_ev_attempt {
	uint64_t req;
	uint32_t stage;
	uint32_t attempt;
	int code;	    /* error code; ERR_NONE: the result is complete */
	bool sent;	    /* the first byte was written, so the attempt may have run */
	int64_t latency_us; /* from sending the attempt to the end of its result */
	uint64_t bytes;	    /* size of the result; for a stream, the bytes received */
	GBytes *body;	    /* borrowed; NULL unless the command had keep_body */
};

struct core_ev_report {
	uint32_t upstream;
	uint64_t incarnation;
	bool warm;
	int32_t running;
	int32_t queued;
	int64_t age_ms; /* time since the upstream measured the report */
};

struct core_event {
	enum core_event_type type;
	/* CONFIG, CONFIG_CONFIRMED, LIST: when it was the newest; 0 means now in CONFIG and LIST */
	int64_t at_ms;
	union {
		struct core_ev_request request;	    /* REQUEST */
		struct core_ev_attempt attempt;	    /* FIRST_BYTE and RESULT */
		uint64_t req;			    /* DISCONNECT */
		struct core_ev_report report;	    /* REPORT */
		struct cfg *cfg;		    /* CONFIG; the caller keeps its reference */
		struct vmlist *list;		    /* LIST; the core takes ownership */
		const struct member_digest *digest; /* DIGEST; borrowed */
		const struct quota_message *demand; /* DEMAND; borrowed */
		int64_t asked_ms; /* LIST_CONFIRMED: when the platform was queried */
	} u;
};

enum core_cmd_type {
	CORE_CMD_SEND,	     /* send an attempt of a stage */
	CORE_CMD_CANCEL,     /* cancel an attempt at its upstream */
	CORE_CMD_INPUT,	     /* use body, a stored result, as the input of the stage */
	CORE_CMD_ACCEPT,     /* use the result of the attempt as that of the stage */
	CORE_CMD_DISCARD,    /* ignore the result of the attempt, which is no longer needed */
	CORE_CMD_STREAM,     /* relay the bytes of the attempt to the caller from now on */
	CORE_CMD_FINISH,     /* answer with the last accepted result */
	CORE_CMD_REFUSE,     /* answer with an error; the request has ended */
	CORE_CMD_REPLAY,     /* answer with body, the stored answer of the ticket */
	CORE_CMD_FORWARD,    /* forward the request to the owner of its ticket */
	CORE_CMD_HANDOFF,    /* hand an attempt of a stage to the node vm at address */
	CORE_CMD_POLL,	     /* read the load report of an upstream */
	CORE_CMD_PROBE,	     /* send a digest to the node vm at address */
	CORE_CMD_FETCH_LIST, /* request the VM list of the node vm at address */
	CORE_CMD_DEMAND,     /* send the quota message demand to the node vm at address */
};

struct core_cmd {
	enum core_cmd_type type;
	uint64_t req;
	uint32_t stage;
	uint32_t attempt;
	uint32_t upstream;
	char address[BB_ADDRESS_BYTES];
	char service[BB_NAME_BYTES];
	char call[BB_NAME_BYTES];
	char vm[BB_NAME_BYTES];	 /* FORWARD, HANDOFF, PROBE, FETCH_LIST, DEMAND */
	struct ticket_id ticket; /* FORWARD */
	bool idempotent;
	bool stream;
	bool resume;	 /* continues the stream that an earlier attempt began */
	uint64_t offset; /* with resume: bytes already relayed to the caller */
	bool hedge;
	bool cross_region;	      /* SEND: the upstream is in another region */
	bool keep_body;		      /* the result is stored in the ticket table */
	int64_t rank;		      /* of the request; 0 is served first */
	int64_t timeout_ms;	      /* time until the deadline of the request */
	int code;		      /* REFUSE: error code */
	enum err_outcome outcome;     /* REFUSE */
	int64_t retry_after_ms;	      /* REFUSE: delay that the caller is told; 0: none */
	GBytes *body;		      /* INPUT, REPLAY; owned by the command */
	struct quota_message *demand; /* DEMAND; owned by the command */
};

/* Commands of one call. core_out_clear() frees the data that they own. */
struct core_out {
	GArray *cmds; /* struct core_cmd */
};

void core_out_init(struct core_out *out);
void core_out_clear(struct core_out *out); /* empties it for reuse */
void core_out_free(struct core_out *out);

/* Algorithms in which the adaptive and the baseline policy differ. */
struct core_policy {
	const struct slot_ops *slots;
	const struct route_ops *route;
	const struct admit_ops *admit;
	const struct retry_ops *retry;
	const struct quota_ops *quotas;
};

extern const struct core_policy core_policy_adaptive;
extern const struct core_policy core_policy_baseline;

struct core_state {
	struct bb bb;
	struct core_policy policy;
	struct ticket_table *tickets;
	struct quota *shares;	  /* this node's shares of the quotas of the accounts */
	bool closing;		  /* refuses new requests of callers; serves those of other nodes */
	GHashTable *reqs;	  /* id -> struct req, owned */
	GSequence *wake_queue;	  /* struct req, borrowed, ordered by wake_at_ms */
	int64_t peaks_decayed_ms; /* last decay of the peaks in bb_rank_use */
	GHashTable *inflight_attempts; /* set of struct core_inflight, owned */
	GHashTable *waiters;	       /* running request id -> GArray of struct core_waiter */
	int64_t waiters_wake_ms;       /* earliest deadline of a waiter; INT64_MAX: none */
};

struct core_state *core_new(const char *vm, const char *data_centre, uint64_t incarnation,
			    uint64_t seed, int64_t now_ms);
void core_free(struct core_state *d);

/* Handles one event at now_ms and appends the resulting commands to out. */
void core_handle(struct core_state *d, int64_t now_ms, const struct core_event *ev,
		 struct core_out *out);

/*
 * Final check before the bytes of an attempt are sent. False when the attempt was cancelled, the
 * deadline has passed, or the upstream is no longer eligible or has no free capacity. The node then
 * reports a result with sent = false.
 */
bool core_may_send(struct core_state *d, int64_t now_ms, uint64_t req, uint32_t stage,
		   uint32_t attempt);

/* True when a configuration and a VM list are in force and the node is not draining. */
bool core_is_ready(const struct core_state *d);

#ifdef __cplusplus
}
#endif

#endif
