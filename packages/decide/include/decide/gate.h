/*
 * The gate before upstreams: decides whether this node may send an upstream one more request now,
 * from what the upstream said about itself in its answers. All requests to upstreams pass it.
 *
 * A limit is the number of requests a second that an upstream accepts from all nodes together. One
 * node, the limit's owner, fills a token bucket at that rate and grants permits to the nodes that
 * ask; each request spends one. So the fleet keeps the limit whatever its size, and the permits go
 * where the requests are. The module does no I/O: the caller carries asks, replies and notices
 * between nodes. Times are monotonic milliseconds of this node.
 */
#ifndef DECIDE_GATE_H
#define DECIDE_GATE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define GATE_ID_BYTES 96
#define GATE_RECORDS_MAX 8192 /* more than a fleet has upstreams */

/* Higher limits never bind. */
#define GATE_UNBINDING_PER_S 10000.0
/* Lower limits count as this one: a fleet that sends nothing never learns that a limit has ended.
 */
#define GATE_PROBE_PER_S 0.2
/* Size of the owner's bucket: so many tokens, and those of this time. */
#define GATE_BURST 2.0
#define GATE_BURST_MS 100
/* A permit is void this long after it was asked for. */
#define GATE_PERMIT_MS 500
/* An ask without a reply for this long counts as refused. */
#define GATE_ASK_TIMEOUT_MS 150
/* Bounds of the time after a refusal in which a node doesn't ask again. */
#define GATE_HOLD_MIN_MS 50
#define GATE_HOLD_MAX_MS 1000
#define GATE_WANT_MAX 32 /* permits in one ask */
/*
 * A new owner, whose predecessor may still grant, uses this share of the limit for this time; by
 * then all nodes have heard of the change.
 */
#define GATE_TAKEOVER_SHARE 0.5
#define GATE_TAKEOVER_MS 3000
/* The bucket's last token is kept for urgent requests while others have waited for less than this.
 */
#define GATE_RESERVE_MS 2000
/* An answer that names no limit ends one that was named this long before its request was sent. */
#define GATE_ORDER_MARGIN_MS 100
/* Other nodes are told of a limit that has changed by this share. */
#define GATE_TELL_SHARE 0.1
#define GATE_TICK_MS 500
/*
 * Refusals that a brittle upstream is risked in a second, as a share of those that it bears: the
 * time for which it gets nothing after one follows from it, within these bounds.
 */
#define GATE_REFUSALS_SHARE 0.5
#define GATE_FULL_MIN_MS 250
#define GATE_FULL_MAX_MS 1000
/* After that time it is tried at a rate that doubles as often as this before it is open again. */
#define GATE_RECOVERY_STEPS 7
/*
 * A brittle upstream with this share of its room in use is crowded: each further request needs a
 * permit, so that what is in progress there from all nodes together stays within its room.
 */
#define GATE_CROWDED_SHARE 0.25
#define GATE_CROWDED_MS 3000	  /* for which nodes take it for crowded */
#define GATE_CROWDED_TELL_MS 1000 /* how often they are told while it is */
#define GATE_USE_KEEP_MS 2000	  /* for which a node's use counts that isn't told again */
#define GATE_USE_TELL_MS 500	  /* how often a use that hasn't changed is told again */
#define GATE_NODE_BYTES 64
/* After a refusal the room counts as this share of what was in progress; it grows back by one in
 * each of these times. */
#define GATE_ROOM_CUT 0.75
#define GATE_ROOM_GROW_MS 1000
/* Time after which a request that found no room may find some. */
#define GATE_ROOM_WAIT_MS 200
/* Longest time that an upstream may be left alone; it is then asked again. */
#define GATE_BACKOFF_MAX_MS 3600000
/*
 * Records of upstreams that aren't published are kept for this long: one that leaves may serve on
 * for a while, and its entry may come back.
 */
#define GATE_KEEP_MS 600000

/* One run of an upstream's process, which may start again under its id. */
struct gate_run {
	const char *id;
	int64_t born_ms; /* of the run, as published; 0: unknown */
};

enum gate_state {
	GATE_OPEN,
	GATE_UNPERMITTED, /* a permit has to be asked for */
	GATE_PENDING,	  /* a permit was asked for */
	GATE_LIMITED,	  /* no permit is to be had until until_ms */
	GATE_FULL,	  /* it is brittle and has refused a request: nothing until until_ms */
	GATE_BACKOFF,	  /* it wants nothing from this node until until_ms */
	GATE_LEAVING,	  /* the run ends soon and gets nothing more */
};

/* Returns the state's name in logs. */
const char *gate_state_name(enum gate_state state);

struct gate_verdict {
	enum gate_state state;
	int64_t until_ms;   /* when it may change without news */
	int64_t told_ms;    /* when the upstream said what decided; 0: it said nothing */
	double per_s;	    /* its limit; below 0: none */
	bool is_overloaded; /* brittle, and has refused a request a short time ago */
};

/* What an upstream has said about itself, as nodes tell each other. */
struct gate_notice {
	struct gate_run run;
	double limit_per_s; /* below 0: its answers no longer name one */
	int64_t limit_ms;   /* as of when; 0: it has never named one */
	int64_t leaving_ms; /* when it first said that it leaves; 0: it hasn't */
	/* refusals a second that it bears without a crash; below 0: it doesn't say that it is
	 * brittle */
	double brittle_per_s;
	int64_t brittle_ms; /* as of when; 0: it has never said so */
	int64_t refused_ms; /* when it last refused a request while brittle; 0: never */
	int64_t crowded_ms; /* when it was last known to be crowded; 0: never */
};

/* A request for permits, to the limit's owner. */
struct gate_ask {
	struct gate_notice notice;
	uint32_t want;
	bool is_urgent;
	int64_t asked_ms; /* by the asker's clock; returned in the reply */
};

struct gate_reply {
	struct gate_run run;
	uint32_t n_granted;
	int64_t wait_ms; /* if none was granted: until one may be */
	int64_t asked_ms;
};

/* What the gate has to know of the fleet. */
struct gate_fleet {
	/*
	 * Returns the share of the upstream's limit that this node may grant as the limit's owner:
	 * 1 if it is in touch with most nodes, otherwise the share of those that it is in touch
	 * with. 0: another node is the owner.
	 */
	double (*owned_share)(void *arg, const char *id);
	/* Returns whether the upstream is published. */
	bool (*is_published)(void *arg, const char *id);
	/* Returns how many requests it runs at a time; 0: unknown. */
	uint32_t (*slots)(void *arg, const char *id);
	/* Returns how many requests this node has in progress there. */
	uint32_t (*in_flight)(void *arg, const char *id);
	void *arg;
};

struct gate;

struct gate *gate_new(const struct gate_fleet *fleet, int64_t now_ms);
void gate_free(struct gate *g);

/*
 * Notes the limit in an answer to a request sent at sent_ms; per_s below 0: it names none. Returns
 * whether other nodes should be told.
 */
bool gate_note_limit(struct gate *g, struct gate_run run, double per_s, int64_t sent_ms,
		     int64_t now_ms);

/* Notes that the upstream wants nothing from this node for wait_ms. */
void gate_note_backoff(struct gate *g, struct gate_run run, int64_t wait_ms, int64_t now_ms);

/*
 * Notes that an answer says that the upstream leaves. Only another run of it ends that. Returns
 * whether it was news, which other nodes should be told.
 */
bool gate_note_leaving(struct gate *g, struct gate_run run, int64_t now_ms);

/*
 * Notes whether an answer to a request sent at sent_ms says that the upstream is brittle: that it
 * crashes when it refuses more than per_s requests in a second; per_s below 0: it doesn't. Returns
 * whether other nodes should be told.
 */
bool gate_note_brittle(struct gate *g, struct gate_run run, double per_s, int64_t sent_ms,
		       int64_t now_ms);

/*
 * Notes that the upstream refused a request for want of room. A brittle one gets nothing from any
 * node for a while, then single requests by permits of its limit's owner, and more and more of
 * them. Returns whether other nodes should be told.
 */
bool gate_note_refusal(struct gate *g, struct gate_run run, int64_t now_ms);

/*
 * Returns whether the owner of the run's limit has to be told how many requests this node has in
 * progress there, which is written to n_in_flight: it has changed, or was last told long ago.
 */
bool gate_is_use_due(struct gate *g, struct gate_run run, int64_t now_ms, uint32_t *n_in_flight);

/*
 * Notes, at the owner, what a node has in progress there; node: its address, at most
 * GATE_NODE_BYTES - 1 long. Returns whether all nodes should be told that it is crowded.
 */
bool gate_note_use(struct gate *g, struct gate_run run, const char *node, uint32_t n_in_flight,
		   int64_t now_ms);

/* The same for what this node itself has in progress. */
bool gate_note_own_use(struct gate *g, struct gate_run run, int64_t now_ms);

/* Applies another node's notice. Returns whether it was news. */
bool gate_merge(struct gate *g, const struct gate_notice *notice, int64_t now_ms);

/* Calls fn for everything that nodes should know. */
void gate_foreach(struct gate *g, void (*fn)(void *arg, const struct gate_notice *notice),
		  void *arg);

/* Fills *notice with what is known of the run; returns false if nothing is. */
bool gate_get_notice(const struct gate *g, struct gate_run run, struct gate_notice *notice);

/* Decides about one more request; spends nothing. */
void gate_check(struct gate *g, struct gate_run run, bool is_urgent, int64_t now_ms,
		struct gate_verdict *verdict);

/* The same, without bringing buckets and asks up to date. */
void gate_peek(struct gate *g, struct gate_run run, bool is_urgent, int64_t now_ms,
	       struct gate_verdict *verdict);

/* Called for each request before it is sent. Returns false if it must not be sent. */
bool gate_take(struct gate *g, struct gate_run run, bool is_urgent, int64_t now_ms);

/* Fills *ask for n_waiting requests; called after the verdict GATE_UNPERMITTED. */
void gate_begin_ask(struct gate *g, struct gate_run run, uint32_t n_waiting, bool is_urgent,
		    int64_t now_ms, struct gate_ask *ask);

/* Applies the owner's reply. */
void gate_note_reply(struct gate *g, const struct gate_reply *reply, int64_t now_ms);

/* Handles an ask of another node, by its address, as the limit's owner. */
void gate_handle_ask(struct gate *g, const struct gate_ask *ask, const char *node, int64_t now_ms,
		     struct gate_reply *reply);

/* Must be called every GATE_TICK_MS. */
void gate_tick(struct gate *g, int64_t now_ms);

/*
 * Plans when a refused caller may come back, so that callers come as fast as the limits allow:
 * returns the time until then. next_ms is the time planned for the last one; per_s the sum of the
 * limits that n_nodes nodes share.
 */
int64_t gate_plan_return(int64_t *next_ms, double per_s, uint32_t n_nodes, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
