/*
 * Placement: which engine is to load which model, and which node sends it the order. The wanted
 * placement is a function of the configuration in force alone, so nodes with different views of the
 * fleet still send the same orders. The fencing number of an order is the revision of the models
 * section.
 */
#ifndef DECIDE_PLACEMENT_H
#define DECIDE_PLACEMENT_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define PLACEMENT_ORDER_AGE_MAX_MS 2000 /* from the query of the engine's state to the order */
#define PLACEMENT_TURN_MS 3000		/* delay between the turns of consecutive nodes */
#define PLACEMENT_LOADS_MAX 2 /* engines per data centre that load the same model at once */

struct placement_order {
	char engine[BB_NAME_BYTES];
	char address[BB_ADDRESS_BYTES];
	char model[BB_NAME_BYTES];
	char version[BB_NAME_BYTES];
	char role[BB_NAME_BYTES];
	int64_t fence;
	bool checks_fencing;
	uint32_t dc;
	int64_t engine_queried_ms; /* when the engine's state was requested */
	const struct cfg *cfg; /* source of the order; whoever stores the order holds a reference */
};

/* An engine and the model that it is to load, both borrowed from the configuration. */
struct placement_pair {
	const struct cfg_model *model;
	const struct cfg_upstream *up;
};

/*
 * Whether and since when this node is the one that sends the orders of a model to its engines in a
 * data centre.
 */
struct placement_claim {
	int64_t fence;
	int64_t wanted_ms;    /* when the order became wanted */
	int64_t first_ms;     /* when this node became first in turn; BB_NEVER: it is not first */
	int64_t updated_ms;   /* time of the last update */
	int turn;	      /* placement_turn() for list_version; -1: none */
	int64_t list_version; /* 0: turn is invalid; set to 0 when the configuration changes */
};

/* GArray of struct placement_pair, one per engine that a model names; the caller unrefs. */
GArray *placement_pairs(const struct cfg *cfg);

/* Writes the order for a pair of the same configuration. */
void placement_fill_order(const struct cfg *cfg, const struct placement_pair *pair,
			  struct placement_order *order);

/* GArray of struct placement_order, one per engine that a model names; the caller unrefs. */
GArray *placement_wanted_orders(const struct cfg *cfg);

/*
 * Position of this node (0: first) among the nodes that may send the orders of a model in a data
 * centre: the listed nodes there, or all listed nodes when there are none, by rendezvous hash. -1
 * when this node isn't among them.
 */
int placement_turn(const struct bb *bb, const char *model, uint32_t dc);

/*
 * Updates a claim. The time as first in turn starts over after a gap between calls, with a stale VM
 * list or when another node is first; the time that the order is wanted, with a new fencing number.
 */
void placement_update_claim(const struct bb *bb, const struct placement_order *order,
			    struct placement_claim *claim, int64_t now_ms);

/*
 * Cheap check before placement_may_send(). False when placement_may_send() would refuse because of
 * the claim, which is the case for all but a few orders.
 */
bool placement_is_due(const struct placement_claim *claim, bool checks_fencing, int64_t now_ms);

/*
 * True when the order may be sent now; checked again right before its bytes are written. An engine
 * that checks fencing numbers gets orders from the first node in turn and, after a delay, from the
 * next ones. An engine that ignores them gets orders only from the first node in turn, and only
 * once every node that was first before can no longer send.
 */
bool placement_may_send(const struct bb *bb, const struct placement_order *order,
			const struct placement_claim *claim, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
