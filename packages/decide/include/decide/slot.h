/*
 * Slots: how many concurrent requests this node may have at an upstream, so that all nodes
 * together stay within the upstream's limit. Nodes exchange no messages for this: slot k of a cold
 * upstream belongs to the node with the highest rendezvous hash over the VM list, and the limit of
 * a warm upstream is divided among the listed nodes.
 */
#ifndef DECIDE_SLOT_H
#define DECIDE_SLOT_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Maximum time that an upstream counts as warm after a warm report or a later success. */
#define SLOT_WARM_FRESH_MS 1000
#define SLOT_TRANSIT_MS 100 /* bound on the time that a request is in transit */
/* The hold-off is list_lag_ms + view_age_ms + longest_ms + this margin. */
#define SLOT_HOLD_OFF_MARGIN_MS 500

/* How an attempt ended. */
struct slot_outcome {
	bool healthy;
	int64_t latency_us;
};

struct slot_ops {
	const char *name;
	/* Returns how many concurrent requests this node may have at the upstream now. */
	int32_t (*limit)(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms);
	/* An attempt ended; called before the upstream's averages include it. */
	void (*ended)(struct bb *bb, struct bb_upstream *up, const struct slot_outcome *end,
		      int64_t now_ms);
};

extern const struct slot_ops
	slot_ops_rendezvous; /* slots by rendezvous hash, warm window by slow start */
extern const struct slot_ops slot_ops_equal; /* an equal share of the cold limit, at least one */
extern const struct slot_ops slot_ops_unlimited; /* baseline: the warm limit for every node */

/* Returns the owner of slot k of a cold upstream; NULL when no node is listed. */
const struct bb_node *slot_owner(const struct bb *bb, const struct bb_upstream *up, uint32_t k);

/* map may be NULL. */
void slot_map_free(struct slot_map *map);

/*
 * Determines the slots, warm shares and load reports assigned to this node. Call after each change
 * of VM list or configuration, and at bb.recompute_at_ms. A lost slot is given up at once, a new
 * one is used only after a hold-off.
 */
void slot_recompute(struct bb *bb, int64_t now_ms);

/*
 * Returns the time after a change of VM list from which no node can still use a slot that it owned
 * before.
 */
int64_t slot_hold_off_ms(const struct bb *bb);

/*
 * Records that an attempt was sent and ended without a complete response. The upstream may still be
 * running it, so its slot stays in use until a later report shows fewer requests or the longest
 * request time has passed.
 */
void slot_mark_unresolved(struct bb *bb, struct bb_upstream *up, int64_t now_ms);

/*
 * True while an upstream counts as warm: its last report said so, failures haven't changed that
 * since, and the report or a later completion is recent.
 */
bool slot_is_warm(const struct bb_upstream *up, int64_t now_ms);

/* True while this node's view of the fleet is fresh enough to use the slots that it owns. */
bool slot_view_ok(const struct bb *bb, int64_t now_ms);

/* Ends hold-offs early when the upstream reported idle after all nodes had the VM list. */
void slot_release_idle(struct bb *bb, struct bb_upstream *up);

#ifdef __cplusplus
}
#endif

#endif
