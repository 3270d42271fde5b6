/*
 * Slots: how many concurrent requests this node may have at an upstream, so that all nodes
 * together stay within what the upstream bears. No message is exchanged for it: slot k of a cold
 * upstream belongs to the first node by rendezvous hash over the VM list, and a warm upstream's
 * limit is divided among the listed nodes.
 */
#ifndef DECIDE_SLOT_H
#define DECIDE_SLOT_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SLOT_WARM_FRESH_MS 1000	    /* a warm report, or a completion since, counts for so long */
#define SLOT_TRANSIT_MS 100	    /* bytes on their way when a node loses a slot have arrived */
#define SLOT_HOLD_OFF_MARGIN_MS 500 /* above list lag, view age and longest request */

/* How an attempt ended. */
struct slot_outcome {
	bool healthy;
	int64_t latency_us;
};

struct slot_ops {
	const char *name;
	/* Concurrent requests allowed to this node now; 0 when it holds no slot. */
	int32_t (*limit)(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms);
	/* A request ended; called before the means of the upstream take it up. */
	void (*ended)(struct bb *bb, struct bb_upstream *up, const struct slot_outcome *end,
		      int64_t now_ms);
};

extern const struct slot_ops
	slot_ops_rendezvous;		     /* slots by rendezvous hash, window by slow start */
extern const struct slot_ops slot_ops_equal; /* an equal share of the cold limit, at least one */
extern const struct slot_ops slot_ops_unlimited; /* baseline: the warm limit for every node */

/* Holder of slot k among the listed nodes; NULL when none is listed. */
const struct bb_node *slot_owner(const struct bb *bb, const struct bb_upstream *up, uint32_t k);

/* NULL is allowed. */
void slot_map_free(struct slot_map *map);

/*
 * Works out which slots, shares and load reports fall to this node. To be called after each
 * change of list or configuration, and at bb.recompute_at_ms. A slot lost is lost at once.
 */
void slot_recompute(struct bb *bb, int64_t now_ms);

/* Time after which nobody can work on a slot that it held under an older list. */
int64_t slot_hold_off_ms(const struct bb *bb);

/*
 * An attempt was sent and ended without a whole answer: the upstream may run on, so its slot
 * stays taken until a later report speaks against it or the longest request has passed.
 */
void slot_mark_unresolved(struct bb *bb, struct bb_upstream *up, int64_t now_ms);

/* True when the upstream said so lately and nothing since speaks against it. */
bool slot_is_warm(const struct bb_upstream *up, int64_t now_ms);

/* True while this node's view of the fleet allows it to use the slots that it holds. */
bool slot_view_ok(const struct bb *bb, int64_t now_ms);

/* Ends hold-offs early when the upstream showed nothing running after all nodes knew the list. */
void slot_release_idle(struct bb *bb, struct bb_upstream *up);

#ifdef __cplusplus
}
#endif

#endif
