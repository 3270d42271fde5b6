/*
 * The blackboard (bb): a structure with all that a node knows about services, upstreams, links and
 * other nodes. The modules of the decision core share it; each reads and writes it directly. It has
 * no lock of its own; the decision lock of the node guards all of it. Times are clock_now_ms()
 * values that the caller passes in.
 */
#ifndef DECIDE_BB_H
#define DECIDE_BB_H

#include "base/prng.h"
#include "decide/quantile.h"
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
/* limit of the slots of an upstream, also when its cold limit is higher */
#define BB_COLD_SLOTS_MAX 16

struct bb_service;
struct slot_map;

/* An upstream. It keeps its id if it is removed and configured again; ids are not reused. */
struct bb_upstream {
	uint32_t id;
	char *name;
	char *vm;
	char address[BB_ADDRESS_BYTES];
	struct bb_service *service; /* borrowed */
	uint32_t dc;		    /* index into cfg.places.data_centres */
	bool in_config;
	bool in_list; /* its VM is in the VM list */
	bool leaving; /* the VM list marks its VM as leaving */

	/* from its load reports */
	uint64_t incarnation; /* identifies the start of its process; 0: no report yet */
	bool report_warm;
	int32_t report_running;
	int32_t report_queued;
	int64_t report_at_ms; /* when the upstream measured the report; BB_NEVER: none */
	int64_t idle_at_ms;   /* time of the last report with no request; BB_NEVER: none */

	/* as seen by this node */
	int32_t in_flight;	   /* attempts */
	int32_t sent_since_report; /* attempts */
	int32_t window;	       /* slow start: concurrent requests that this node allows itself */
	int64_t window_at_ms;  /* last change of window */
	int64_t latency_us;    /* moving average of successful attempts; 0: none yet */
	int64_t latency_at_ms; /* last change of latency_us */
	int32_t failures;      /* consecutive failed attempts */
	int64_t ejected_until_ms;
	int32_t ejections;     /* consecutive ejections, without a success in between */
	int32_t counted_limit; /* the part of its service's capacity that it contributes */
	uint64_t completions;
	int64_t last_success_ms; /* end of the last successful attempt; BB_NEVER: none */
	int32_t unresolved;	 /* attempts sent that ended without an answer and may still run */
	int64_t unresolved_since_ms; /* when the count was last increased */
	int64_t unresolved_until_ms; /* by then all of them have certainly ended */

	/* computed by slot_recompute() after each change of the list or the configuration */
	int32_t n_slots; /* slots of the upstream while it is cold, over all nodes */
	/* when this node acquired slot k; BB_NEVER: not held */
	int64_t slot_since_ms[BB_COLD_SLOTS_MAX];
	int32_t warm_share; /* concurrent requests: this node's share of the warm limit */
	bool polled;	    /* this node polls its load reports */
	int64_t poll_at_ms; /* time of the next poll */
};

/* Tokens for retries and hedges; each first attempt of a stage adds a fraction of a token. */
struct retry_budget {
	double retry_tokens;
	double hedge_tokens;
};

#define BB_RANKS 16 /* ranks with a reservation of their own; higher ranks share the last one */

/* Use of a service by the requests of one rank. */
struct bb_rank_use {
	int32_t in_flight; /* attempts */
	double peak;	   /* decaying maximum of in_flight */
};

/* A service and the queue of requests for it. */
struct bb_service {
	uint32_t id;
	char *name;
	int kind; /* enum cfg_kind */
	bool checks_fencing;
	int32_t cold_limit;
	int32_t warm_limit;
	int64_t cost_cents_per_k; /* per 1,000 requests */
	GPtrArray *upstreams; /* struct bb_upstream, borrowed; only those in the configuration */
	GSequence *waiting;   /* queue of struct req, borrowed, first to be served first */
	int64_t latency_us;   /* moving average of complete attempts; 0: none yet */
	struct quantile_sketch latencies; /* of complete attempts, in us */
	struct retry_budget budget;
	GPtrArray **by_dc; /* upstreams by data centre, n_dcs arrays, owned */
	uint32_t n_dcs;
	int32_t in_flight;		   /* attempts at its upstreams */
	int32_t handed_off;		   /* attempts handed off to other nodes and not ended */
	struct bb_rank_use uses[BB_RANKS]; /* by bb_rank_index() */
	int32_t capacity; /* concurrent requests that this node may have at it, as last computed */
	/* index into upstreams of the last one whose counted_limit a tick updated */
	uint32_t refresh_index;
};

/* Link from this node to a data centre. */
struct bb_link {
	int64_t latency_ms; /* one way; 0 within the region */
	int64_t price_per_gb_cents;
};

/* An entry node; there is one for this node as well. */
struct bb_node {
	char *vm;
	char *data_centre;
	char peer_address[BB_ADDRESS_BYTES];
	char caller_address[BB_ADDRESS_BYTES];
	bool in_list;
	bool leaving;		   /* the VM list marks its VM as leaving */
	uint64_t incarnation;	   /* identifies the start of its process; 0: no digest yet */
	int64_t last_seen_ms;	   /* last digest; BB_NEVER: none */
	int64_t list_version;	   /* VM list version in its last digest; 0: none */
	int64_t delisted_ms;	   /* when it was removed from the list; BB_NEVER: it is listed */
	int64_t draining_until_ms; /* end of its announced drain; each of its digests renews it */
};

struct bb {
	struct prng prng;
	char *self_vm;
	char *self_dc;
	uint64_t incarnation; /* identifies this start of the process */
	int64_t started_ms;
	bool draining;
	int32_t stage_workers; /* threads of the pool of each service; 0: unlimited */

	struct cfg *cfg;		  /* NULL until a configuration is in force */
	int64_t cfg_confirmed_ms;	  /* last confirmation by the configuration service */
	int64_t places_peer_confirmed_ms; /* last digest of a peer with the same places section */
	struct vmlist *list;		  /* NULL until the first list is read */
	int64_t list_at_ms; /* when list was put in force or last confirmed by the platform */
	int64_t view_ms; /* latest time at which list is known to have been the platform's newest */
	int64_t list_peer_confirmed_ms;	     /* last digest of a peer with the same list version */
	int64_t list_near_peer_confirmed_ms; /* the same, of one of the nearest peers */
	int64_t newest_list_version;	     /* highest version seen in any digest or list */
	int64_t newer_since_ms; /* when a version newer than list was first seen; BB_NEVER: none */
	int64_t converged_ms;	/* when all nodes were known to have list; BB_NEVER: not yet */
	int64_t last_tick_ms;	/* to detect pauses of the process */
	int64_t resumed_at_ms;	/* end of the last detected pause; BB_NEVER: none */
	uint64_t pauses;	/* detected so far */

	struct slot_map *map;	    /* owned; NULL before the first list */
	int64_t recompute_at_ms;    /* when slot_recompute() is due again; BB_NEVER: never */
	int64_t probe_at_ms;	    /* time of the next digest */
	int64_t next_list_fetch_ms; /* earliest time of the next list fetch from a peer */
	uint32_t probes;	    /* digests sent so far */
	uint32_t next_report_index; /* index into polled of the first report in the next digest */
	GPtrArray *others;	    /* struct bb_node, borrowed: the other listed nodes, shuffled */
	GPtrArray *near;	    /* the nearest of others, shuffled */
	GPtrArray *polled;	    /* struct bb_upstream, borrowed, polled by this node */

	GPtrArray *upstreams;	      /* struct bb_upstream by id, owned */
	GHashTable *upstream_by_name; /* borrowed values */
	GPtrArray *services;	      /* struct bb_service by id, owned */
	GHashTable *service_by_name;  /* borrowed values */
	struct bb_link *links;	      /* by index of the data centre, owned */
	GHashTable *nodes;	      /* vm -> struct bb_node, owned */
};

void bb_init(struct bb *bb, const char *vm, const char *data_centre, uint64_t incarnation,
	     uint64_t seed, int64_t now_ms);
void bb_clear(struct bb *bb);

/* Puts cfg in force, with a reference of its own. now_ms: when it was the newest. */
void bb_set_config(struct bb *bb, struct cfg *cfg, int64_t now_ms);

/*
 * Puts list in force and takes ownership of it. view_ms is a time at which it was the platform's
 * newest list. Returns false and frees the list when its version is not newer than that in force.
 */
bool bb_set_list(struct bb *bb, struct vmlist *list, int64_t view_ms, int64_t now_ms);

/* Returns the index of a rank in bb_service.uses. */
uint32_t bb_rank_index(int64_t rank);

/* Adds n (1 or -1) to the attempts in flight at up and service; rank is an index into its uses. */
void bb_count_attempt(struct bb_upstream *up, struct bb_service *service, uint32_t rank, int32_t n);

/* Records that the list was the platform's newest at asked_ms; never lowers a later time. */
void bb_confirm_list(struct bb *bb, int64_t asked_ms);

/* Return NULL when there is no such upstream, service or node. */
struct bb_upstream *bb_upstream(const struct bb *bb, uint32_t id);
struct bb_service *bb_service(const struct bb *bb, const char *name);
struct bb_node *bb_node(const struct bb *bb, const char *vm);

/* Return the region of a data centre or an upstream; "" when it is not in the configuration. */
const char *bb_region(const struct bb *bb, const char *data_centre);
const char *bb_upstream_region(const struct bb *bb, const struct bb_upstream *up);

#ifdef __cplusplus
}
#endif

#endif
