/*
 * Blackboard: what a node knows, read and written by the controllers of this package. It holds no
 * lock; the node guards the whole of it by its decision lock. Times are clk_now_ms() values that
 * were handed in.
 */
#ifndef DECIDE_BB_H
#define DECIDE_BB_H

#include "base/rnd.h"
#include "decide/qnt.h"
#include "model/cfg.h"
#include "model/vmlist.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BB_ADDRESS_BYTES 64
#define BB_NAME_BYTES 64
#define BB_NEVER INT64_MIN
#define BB_COLD_SLOTS_MAX 16 /* a larger cold limit counts as this */

struct bb_service;
struct slt_map;

/* An upstream. Its id is never reused, also when the configuration drops and brings it back. */
struct bb_upstream {
	uint32_t id;
	char *name;
	char *vm;
	char address[BB_ADDRESS_BYTES];
	struct bb_service *service; /* borrowed */
	uint32_t dc;		    /* index into the current data centres */
	bool in_config;
	bool in_list; /* its VM is in the VM list */
	bool leaving;

	/* what it said of itself */
	uint64_t incarnation; /* 0: never heard */
	bool report_warm;
	int32_t report_running;
	int32_t report_queued;
	int64_t report_at_ms; /* when it was taken; BB_NEVER: none */
	int64_t idle_at_ms;   /* last report taken that showed nothing running; BB_NEVER: none */

	/* what this node does with it */
	int32_t in_flight;
	int32_t sent_since_report;
	int32_t window;	       /* concurrent requests that this node allows itself; slow start */
	int64_t window_at_ms;  /* last change of window */
	int64_t latency_us;    /* moving mean of healthy completions; 0: none yet */
	int64_t latency_at_ms; /* last change of latency_us */
	int32_t failures;      /* in a row */
	int64_t ejected_until_ms;
	int32_t ejections;  /* in a row, without a healthy completion between */
	int32_t limit_seen; /* what it counts for in its service's capacity */
	uint64_t completions;
	int64_t proof_ms;	/* last healthy completion; BB_NEVER: none */
	int32_t doubtful;	/* sent attempts without a whole answer, which may run on */
	int64_t doubt_at_ms;	/* since when the last of them is */
	int64_t doubt_until_ms; /* when the last of them has ended for certain */

	/* computed by slt_recompute() whenever list or configuration change */
	int32_t n_slots;			  /* slots of a cold start */
	int64_t slot_since_ms[BB_COLD_SLOTS_MAX]; /* held since; BB_NEVER: not held */
	int32_t warm_share;			  /* of the warm limit, for this node */
	bool polled;				  /* this node reads its load reports */
	int64_t poll_at_ms;			  /* when to read the next one */
};

/* Tokens that retries and hedges cost; each first try earns a fraction of one. */
struct rty_budget {
	double retry_tokens;
	double hedge_tokens;
};

#define BB_RANKS 16 /* ranks told apart in what is reserved; later ones count as the last */

/* What requests of one rank use of a service. */
struct bb_use {
	int32_t in_flight;
	double peak; /* of in_flight, fading */
};

/* A service and the requests that wait for one of its upstreams. */
struct bb_service {
	uint32_t id;
	char *name;
	int kind; /* enum cfg_kind */
	bool checks_fencing;
	int32_t cold_limit;
	int32_t warm_limit;
	int64_t cost_cents_per_k;
	GPtrArray *upstreams; /* struct bb_upstream, borrowed, those in the configuration */
	GSequence *waiting;   /* struct req, borrowed, in the order of service */
	int64_t latency_us;   /* moving mean of a stage on it; 0: none yet */
	struct qnt latencies; /* of whole attempts */
	struct rty_budget budget;
	GPtrArray **by_dc; /* upstreams by data centre, n_dcs arrays, owned */
	uint32_t n_dcs;
	int32_t in_flight;
	int32_t handed; /* attempts that run at other nodes */
	struct bb_use uses[BB_RANKS];
	int32_t capacity;   /* requests that this node may have at it, as last seen */
	uint32_t refreshed; /* upstreams up to here were looked at for capacity */
};

/* The way from this node to a data centre. */
struct bb_link {
	int64_t latency_ms; /* one way; 0 within the region */
	int64_t price_per_gb_cents;
};

/* Another entry node, or this one. */
struct bb_node {
	char *vm;
	char *data_centre;
	char peer_address[BB_ADDRESS_BYTES];
	char caller_address[BB_ADDRESS_BYTES];
	bool in_list;
	bool leaving;
	uint64_t incarnation;	   /* 0: never heard */
	int64_t heard_at_ms;	   /* BB_NEVER: never */
	int64_t list_version;	   /* of the VM list that it said to have applied; 0: never heard */
	int64_t gone_ms;	   /* when it went from the list; BB_NEVER: it is listed */
	int64_t draining_until_ms; /* it said that it stops; lapses unless it says so again */
};

struct bb {
	struct rnd rnd;
	char *self_vm;
	char *self_dc;
	uint64_t incarnation;
	int64_t started_ms;
	bool draining;
	int32_t stage_workers; /* threads of each service's pool; 0: without bound */

	struct cfg *cfg;	  /* NULL until a configuration is in force */
	int64_t cfg_confirmed_ms; /* when the service last confirmed it */
	int64_t cfg_peer_ms;	  /* when a peer last held the same places */
	struct vmlist *list;	  /* NULL until read */
	int64_t list_at_ms;	  /* when it was last read from the platform */
	int64_t view_ms;	  /* the list was the platform's newest then */
	int64_t peer_ms;	  /* a peer last held the same list */
	int64_t near_ms;	  /* a peer that is nearest to this node did */
	int64_t newest_version;	  /* highest list version heard of */
	int64_t newer_since_ms;	  /* when one higher than the own was first heard of; BB_NEVER */
	int64_t agreed_ms;	  /* since when all nodes have applied the own; BB_NEVER: not all */
	int64_t last_tick_ms;	  /* to notice pauses of the process */
	int64_t woken_ms;	  /* last pause noticed; BB_NEVER: none */
	uint64_t pauses;	  /* noticed so far */

	struct slt_map *map;	 /* owned; NULL before the first list */
	int64_t recompute_at_ms; /* when shares change without a new list; BB_NEVER: never */
	int64_t probe_at_ms;	 /* when to send the next digest */
	int64_t ask_list_at_ms;	 /* not before */
	uint32_t probes;	 /* sent so far */
	uint32_t next_news;	 /* place in polled from which the next digest tells */
	GPtrArray *others;	 /* struct bb_node, borrowed: listed, but not this one; shuffled */
	GPtrArray *near;	 /* those of them nearest to this node; shuffled */
	GPtrArray *polled;	 /* struct bb_upstream, borrowed, whose reports this node reads */

	GPtrArray *upstreams;	      /* struct bb_upstream by id, owned */
	GHashTable *upstream_by_name; /* borrowed values */
	GPtrArray *services;	      /* struct bb_service by id, owned */
	GHashTable *service_by_name;  /* borrowed values */
	struct bb_link *links;	      /* by data centre, owned */
	GHashTable *nodes;	      /* vm -> struct bb_node, owned */
};

void bb_init(struct bb *bb, const char *vm, const char *data_centre, uint64_t incarnation,
	     uint64_t seed, int64_t now_ms);
void bb_clear(struct bb *bb);

/* Takes a reference to cfg and puts it in force. */
void bb_set_config(struct bb *bb, struct cfg *cfg, int64_t now_ms);

/*
 * Takes ownership of list, which was the platform's newest at view_ms. A list of a lower version
 * than the one in force is dropped; false then, and for one already in force.
 */
bool bb_set_list(struct bb *bb, struct vmlist *list, int64_t view_ms, int64_t now_ms);

/* Place of a rank in bb_service.uses. */
uint32_t bb_rank(int64_t rank);

/* Counts an attempt of a rank at an upstream and its service in (1) or out (-1). */
void bb_count(struct bb_upstream *up, struct bb_service *service, uint32_t rank, int32_t n);

/* The list in hand was the newest at asked_ms; what was known later stays. */
void bb_confirm_list(struct bb *bb, int64_t asked_ms);

/* NULL when there is none. */
struct bb_upstream *bb_upstream(const struct bb *bb, uint32_t id);
struct bb_service *bb_service(const struct bb *bb, const char *name);
struct bb_node *bb_node(const struct bb *bb, const char *vm);

/* Region of a data centre; "" when it is not in the configuration. */
const char *bb_region(const struct bb *bb, const char *data_centre);
const char *bb_upstream_region(const struct bb *bb, const struct bb_upstream *up);

#ifdef __cplusplus
}
#endif

#endif
