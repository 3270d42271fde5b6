/*
 * The decisions of a node: typed events in, typed commands out. No I/O, no clock, no randomness
 * of its own, no lock: the node serialises calls.
 */
#ifndef DECIDE_CORE_H
#define DECIDE_CORE_H

#include "decide/admit.h"
#include "decide/bb.h"
#include "decide/mem.h"
#include "decide/req.h"
#include "decide/retry.h"
#include "decide/route.h"
#include "decide/shr.h"
#include "decide/slt.h"
#include "decide/ticket.h"

#ifdef __cplusplus
extern "C" {
#endif

enum core_event_type {
	CORE_EV_REQUEST,	  /* a request arrived */
	CORE_EV_FIRST_BYTE,	  /* an attempt's first byte of result came */
	CORE_EV_RESULT,		  /* an attempt ended */
	CORE_EV_DISCONNECT,	  /* nobody waits for the answer any more */
	CORE_EV_REPORT,		  /* an upstream's load report */
	CORE_EV_CONFIG,		  /* a configuration to put in force */
	CORE_EV_LIST,		  /* a VM list read from the platform */
	CORE_EV_LIST_CONFIRMED,	  /* the platform said that the list in hand is still the newest */
	CORE_EV_TICK,		  /* time passed */
	CORE_EV_DRAIN,		  /* planned stop begins */
	CORE_EV_CLOSE,		  /* planned stop: new work is refused from here on */
	CORE_EV_CONFIG_CONFIRMED, /* the configuration service holds nothing newer */
	CORE_EV_DIGEST,		  /* what another node said of itself and of what it saw */
	CORE_EV_DEMAND, /* another node asks for a part of an account's limit, or lends one */
};

struct core_ev_request {
	uint64_t id;
	struct cfg *cfg; /* that the indices refer to, borrowed; NULL: the one in force */
	int pipeline;	 /* index, or -1 */
	int service;	 /* index, or -1 */
	char call[BB_NAME_BYTES];
	int account;	 /* index */
	int64_t wait_ms; /* the caller's deadline; 0: the pipeline's */
	uint64_t body_bytes;
	uint64_t prefix_hash;
	bool has_ticket;
	struct ticket_id ticket;
	bool forwarded;	     /* by another node: not handed on again */
	bool handed_off;     /* one stage, by a node without a slot: not handed on again */
	int64_t now_wall_ms; /* for the ticket's expiry */
};

struct core_ev_attempt {
	uint64_t req;
	uint32_t stage;
	uint32_t attempt;
	int code;	    /* ERR_NONE: whole result */
	bool sent;	    /* the first byte was written: it may have run */
	int64_t latency_us; /* of the whole attempt */
	uint64_t bytes;	    /* of the result; of a stream as far as it was taken */
	GBytes *body;	    /* when the command said keep_body, borrowed; else NULL */
};

struct core_ev_report {
	uint32_t upstream;
	uint64_t incarnation;
	bool warm;
	int32_t running;
	int32_t queued;
	int64_t age_ms; /* since it was taken */
};

struct core_event {
	enum core_event_type type;
	int64_t at_ms; /* CONFIG, CONFIG_SAME, LIST: it was the newest then; 0: now */
	union {
		struct core_ev_request request;
		struct core_ev_attempt attempt; /* FIRST_BYTE and RESULT */
		uint64_t req;			/* CALLER_GONE */
		struct core_ev_report report;
		struct cfg *cfg;  /* CONFIG; the event's reference stays the caller's */
		struct vml *list; /* LIST; ownership passes */
		const struct mem_digest *digest;
		const struct shr_message *demand;
		int64_t asked_ms; /* LIST_CONFIRMED: when the platform was asked */
	} u;
};

enum core_cmd_type {
	CORE_CMD_SEND,	     /* send an attempt of a stage */
	CORE_CMD_CANCEL,     /* tell an upstream to drop an attempt */
	CORE_CMD_INPUT,	     /* the stage's input is a result stored before */
	CORE_CMD_ACCEPT,     /* the attempt's result is the stage's */
	CORE_CMD_DISCARD,    /* the attempt's result is late or second */
	CORE_CMD_STREAM,     /* pass this attempt's bytes to the caller from now on */
	CORE_CMD_FINISH,     /* the last accepted result is the answer */
	CORE_CMD_REFUSE,     /* answer with an error; final */
	CORE_CMD_REPLAY,     /* answer with a stored body */
	CORE_CMD_FORWARD,    /* hand the request to the owner of its ticket */
	CORE_CMD_HANDOFF,    /* hand an attempt of a stage to the node vm at address */
	CORE_CMD_POLL,	     /* read an upstream's load report */
	CORE_CMD_PROBE,	     /* send a digest to the node vm at address */
	CORE_CMD_FETCH_LIST, /* ask the node vm at address for its VM list */
	CORE_CMD_DEMAND,     /* send demand to the node vm at address */
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
	char vm[BB_NAME_BYTES];	 /* FORWARD, HAND, PROBE, ASK_LIST, DEMAND */
	struct ticket_id ticket; /* FORWARD */
	bool idempotent;
	bool stream;
	bool resume;	 /* goes on with the stream that an earlier attempt began */
	uint64_t offset; /* of the resume: bytes that were passed on already */
	bool hedge;
	bool crosses;	/* SEND: over a paid link to another region */
	bool keep_body; /* the result goes into the ticket table */
	int64_t rank;
	int64_t timeout_ms;
	int code;		    /* REFUSE */
	enum err_outcome outcome;   /* REFUSE */
	int64_t retry_after_ms;	    /* REFUSE; 0: none */
	GBytes *body;		    /* INPUT, REPLAY; owned by the command */
	struct shr_message *demand; /* DEMAND; owned by the command */
};

/* Commands of one call; core_out_clear() frees what they own. */
struct core_out {
	GArray *cmds; /* struct core_cmd */
};

void core_out_init(struct core_out *out);
void core_out_clear(struct core_out *out); /* empties it for reuse */
void core_out_free(struct core_out *out);

/* What varies between the policy and its baseline. */
struct core_policy {
	const struct slt_ops *slots;
	const struct route_ops *route;
	const struct admit_ops *admit;
	const struct retry_ops *retry;
	const struct shr_ops *share;
};

extern const struct core_policy core_policy_adaptive;
extern const struct core_policy core_policy_baseline;

struct core_state {
	struct bb bb;
	struct core_policy policy;
	struct ticket_table *tickets;
	struct shr *shares;
	bool closing;		  /* refuses new work of callers; that of other nodes goes on */
	GHashTable *reqs;	  /* id -> struct req, owned */
	GSequence *wakes;	  /* struct req, borrowed, by wake_at_ms */
	int64_t peaks_decayed_ms; /* when the peaks of use last faded */
	GHashTable
		*inflight_attempts; /* set of struct core_inflight, owned: attempts not yet ended */
	GHashTable *joins; /* running id -> GArray of struct core_waiter that wait for its answer */
	int64_t join_wake_ms; /* when the first of them is given up; INT64_MAX: never */
};

struct core_state *core_new(const char *vm, const char *data_centre, uint64_t incarnation,
			    uint64_t seed, int64_t now_ms);
void core_free(struct core_state *d);

/* Handles one event at now_ms; commands are appended to out. */
void core_handle(struct core_state *d, int64_t now_ms, const struct core_event *ev,
		 struct core_out *out);

/*
 * The last question before an attempt's bytes leave: still wanted, and its upstream still
 * eligible? False for an attempt that has been given up meanwhile; the node then reports its
 * result as not sent.
 */
bool core_may_send(struct core_state *d, int64_t now_ms, uint64_t req, uint32_t stage,
		   uint32_t attempt);

/* True when a configuration and a VM list are in force and it is not draining. */
bool core_is_ready(const struct core_state *d);

#ifdef __cplusplus
}
#endif

#endif
