/*
 * The decisions of a node: typed events in, typed commands out. No I/O, no clock, no randomness
 * of its own, no lock: the node serialises calls.
 */
#ifndef DECIDE_DEC_H
#define DECIDE_DEC_H

#include "decide/adm.h"
#include "decide/bb.h"
#include "decide/mem.h"
#include "decide/req.h"
#include "decide/rte.h"
#include "decide/rty.h"
#include "decide/shr.h"
#include "decide/slt.h"
#include "decide/tkt.h"

#ifdef __cplusplus
extern "C" {
#endif

enum dec_event_type {
	DEC_EV_REQUEST,	       /* a request arrived */
	DEC_EV_FIRST_BYTE,     /* an attempt's first byte of result came */
	DEC_EV_RESULT,	       /* an attempt ended */
	DEC_EV_CALLER_GONE,    /* nobody waits for the answer any more */
	DEC_EV_REPORT,	       /* an upstream's load report */
	DEC_EV_CONFIG,	       /* a configuration to put in force */
	DEC_EV_LIST,	       /* a VM list read from the platform */
	DEC_EV_LIST_CONFIRMED, /* the platform said that the list in hand is still the newest */
	DEC_EV_TICK,	       /* time passed */
	DEC_EV_DRAIN,	       /* planned stop begins */
	DEC_EV_CLOSE,	       /* planned stop: new work is refused from here on */
	DEC_EV_CONFIG_SAME,    /* the configuration service holds nothing newer */
	DEC_EV_DIGEST,	       /* what another node said of itself and of what it saw */
	DEC_EV_DEMAND, /* another node asks for a part of an account's limit, or lends one */
};

struct dec_ev_request {
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
	struct tkt_id ticket;
	bool forwarded;	     /* by another node: not handed on again */
	bool handed;	     /* one stage, by a node without a slot: not handed on again */
	int64_t now_wall_ms; /* for the ticket's expiry */
};

struct dec_ev_attempt {
	uint64_t req;
	uint32_t stage;
	uint32_t attempt;
	int code;	    /* ERR_NONE: whole result */
	bool sent;	    /* the first byte was written: it may have run */
	int64_t latency_us; /* of the whole attempt */
	uint64_t bytes;	    /* of the result; of a stream as far as it was taken */
	GBytes *body;	    /* when the command said keep_body, borrowed; else NULL */
};

struct dec_ev_report {
	uint32_t upstream;
	uint64_t incarnation;
	bool warm;
	int32_t running;
	int32_t queued;
	int64_t age_ms; /* since it was taken */
};

struct dec_event {
	enum dec_event_type type;
	int64_t at_ms; /* CONFIG, CONFIG_SAME, LIST: it was the newest then; 0: now */
	union {
		struct dec_ev_request request;
		struct dec_ev_attempt attempt; /* FIRST_BYTE and RESULT */
		uint64_t req;		       /* CALLER_GONE */
		struct dec_ev_report report;
		struct cfg *cfg;     /* CONFIG; the event's reference stays the caller's */
		struct vmlist *list; /* LIST; ownership passes */
		const struct mem_digest *digest;
		const struct shr_message *demand;
		int64_t asked_ms; /* LIST_CONFIRMED: when the platform was asked */
	} u;
};

enum dec_cmd_type {
	DEC_CMD_SEND,	  /* send an attempt of a stage */
	DEC_CMD_CANCEL,	  /* tell an upstream to drop an attempt */
	DEC_CMD_INPUT,	  /* the stage's input is a result stored before */
	DEC_CMD_ACCEPT,	  /* the attempt's result is the stage's */
	DEC_CMD_DROP,	  /* the attempt's result is late or second */
	DEC_CMD_STREAM,	  /* pass this attempt's bytes to the caller from now on */
	DEC_CMD_FINISH,	  /* the last accepted result is the answer */
	DEC_CMD_REFUSE,	  /* answer with an error; final */
	DEC_CMD_REPLAY,	  /* answer with a stored body */
	DEC_CMD_FORWARD,  /* hand the request to the owner of its ticket */
	DEC_CMD_HAND,	  /* hand an attempt of a stage to the node vm at address */
	DEC_CMD_POLL,	  /* read an upstream's load report */
	DEC_CMD_PROBE,	  /* send a digest to the node vm at address */
	DEC_CMD_ASK_LIST, /* ask the node vm at address for its VM list */
	DEC_CMD_DEMAND,	  /* send demand to the node vm at address */
};

struct dec_cmd {
	enum dec_cmd_type type;
	uint64_t req;
	uint32_t stage;
	uint32_t attempt;
	uint32_t upstream;
	char address[BB_ADDRESS_BYTES];
	char service[BB_NAME_BYTES];
	char call[BB_NAME_BYTES];
	char vm[BB_NAME_BYTES]; /* FORWARD, HAND, PROBE, ASK_LIST, DEMAND */
	struct tkt_id ticket;	/* FORWARD */
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

/* Commands of one call; dec_out_clear() frees what they own. */
struct dec_out {
	GArray *cmds; /* struct dec_cmd */
};

void dec_out_init(struct dec_out *out);
void dec_out_clear(struct dec_out *out); /* empties it for reuse */
void dec_out_free(struct dec_out *out);

/* What varies between the policy and its baseline. */
struct dec_policy {
	const struct slt_ops *slots;
	const struct rte_ops *route;
	const struct adm_ops *admit;
	const struct rty_ops *retry;
	const struct shr_ops *share;
};

extern const struct dec_policy dec_adaptive;
extern const struct dec_policy dec_baseline;

struct dec {
	struct bb bb;
	struct dec_policy policy;
	struct tkt_table *tickets;
	struct shr *shares;
	bool closing;	      /* refuses new work of callers; that of other nodes goes on */
	GHashTable *reqs;     /* id -> struct req, owned */
	GSequence *wakes;     /* struct req, borrowed, by wake_at_ms */
	int64_t peaks_at_ms;  /* when the peaks of use last faded */
	GHashTable *flights;  /* set of struct dec_flight, owned: attempts not yet ended */
	GHashTable *joins;    /* running id -> GArray of struct dec_join that wait for its answer */
	int64_t join_wake_ms; /* when the first of them is given up; INT64_MAX: never */
};

struct dec *dec_new(const char *vm, const char *data_centre, uint64_t incarnation, uint64_t seed,
		    int64_t now_ms);
void dec_free(struct dec *d);

/* Handles one event at now_ms; commands are appended to out. */
void dec_handle(struct dec *d, int64_t now_ms, const struct dec_event *ev, struct dec_out *out);

/*
 * The last question before an attempt's bytes leave: still wanted, and its upstream still
 * eligible? False for an attempt that has been given up meanwhile; the node then reports its
 * result as not sent.
 */
bool dec_may_send(struct dec *d, int64_t now_ms, uint64_t req, uint32_t stage, uint32_t attempt);

/* True when a configuration and a VM list are in force and it is not draining. */
bool dec_ready(const struct dec *d);

#ifdef __cplusplus
}
#endif

#endif
