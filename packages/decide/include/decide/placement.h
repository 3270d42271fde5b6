/*
 * Placement: which engine is to hold which model, and who tells it. The wanted placement is a
 * function of the configuration in force alone, so nodes that disagree about the fleet still give
 * the same orders. The fencing number of an order is the revision of the models section.
 */
#ifndef DECIDE_PLACEMENT_H
#define DECIDE_PLACEMENT_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define PLACEMENT_ORDER_AGE_MAX_MS 2000 /* an order in hand for longer is not given */
#define PLACEMENT_TURN_MS 3000		/* after which the next node in turn may give an order */
#define PLACEMENT_LOADS_MAX 2		/* concurrent loads of a model in a data centre */

struct placement_order {
	char engine[BB_NAME_BYTES];
	char address[BB_ADDRESS_BYTES];
	char model[BB_NAME_BYTES];
	char version[BB_NAME_BYTES];
	char role[BB_NAME_BYTES];
	int64_t fence;
	bool checks_fencing;
	uint32_t dc;
	int64_t engine_queried_ms; /* when the engine was asked what it holds */
	const struct cfg *cfg;	   /* that asks for it; whoever keeps the order keeps a reference */
};

/* An engine and what it is to hold; both borrowed from the configuration. */
struct placement_pair {
	const struct cfg_model *model;
	const struct cfg_upstream *up;
};

/*
 * How long this node has had its part in the orders of a model in a data centre, without a break.
 */
struct placement_claim {
	int64_t fence;
	int64_t wanted_ms;    /* since when the order is wanted */
	int64_t first_ms;     /* since when this node is first in turn; BB_NEVER: it is not */
	int64_t seen_ms;      /* last placement_update_claim() */
	int turn;	      /* as placement_turn() gave it for list_version; -1: none */
	int64_t list_version; /* 0: turn is to be worked out; set so when the configuration changes
			       */
};

/* GArray of struct placement_pair, one for each engine that a model names; the caller unrefs. */
GArray *placement_pairs(const struct cfg *cfg);

/* Writes the order of a pair of the same configuration. */
void placement_fill_order(const struct cfg *cfg, const struct placement_pair *pair,
			  struct placement_order *order);

/* GArray of struct placement_order, one for each engine that a model names; the caller unrefs. */
GArray *placement_wanted_orders(const struct cfg *cfg);

/*
 * Turn of this node in giving orders of a model in a data centre, 0 first, by rendezvous hash over
 * the listed nodes there, of all where none is; -1 when this node is not listed or leaves.
 */
int placement_turn(const struct bb *bb, const char *model, uint32_t dc);

/* Brings a claim up to date; a gap in the calls, a stale list or a new order restarts it. */
void placement_update_claim(const struct bb *bb, const struct placement_order *order,
			    struct placement_claim *claim, int64_t now_ms);

/*
 * False when placement_may_send() would refuse by the claim alone, as it does for all but a few
 * orders.
 */
bool placement_is_due(const struct placement_claim *claim, bool checks_fencing, int64_t now_ms);

/*
 * May the order be given now? Asked again right before its bytes leave. An engine that checks
 * fencing numbers is told by the first in turn, and by the next ones when that one is silent; one
 * that ignores them by the first in turn alone, after every earlier one has given up.
 */
bool placement_may_send(const struct bb *bb, const struct placement_order *order,
			const struct placement_claim *claim, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
