/* Eligibility: may new work go to an upstream at this moment? Asked at every send. */
#ifndef DECIDE_ELIGIBLE_H
#define DECIDE_ELIGIBLE_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ELIGIBLE_TICK_GAP_MS 1500 /* without a tick: the process was paused */

enum eligible_reason {
	ELIGIBLE_OK,
	ELIGIBLE_NOT_IN_CONFIG,
	ELIGIBLE_NOT_LISTED,
	ELIGIBLE_LEAVING,
	ELIGIBLE_DATA_CENTRE_OUT,
	ELIGIBLE_VIEW_STALE, /* what this node holds is too old to act on */
	ELIGIBLE_EJECTED,
	ELIGIBLE_FULL, /* its limit for this node is used up */
};

/* True unless the process was paused and nobody confirmed since what it holds. */
bool eligible_is_confirmed(const struct bb *bb, int64_t now_ms);

/*
 * True while what this node holds may be acted on: it ticks, and since its last pause, and not
 * longer than the view age ago, the platform or a peer confirmed the VM list. A node that is the
 * only one listed has nobody to ask and goes on through an outage of the platform.
 */
bool eligible_view_ok(const struct bb *bb, int64_t now_ms);

const char *eligible_reason_name(enum eligible_reason reason);
enum eligible_reason eligible_check(const struct bb *bb, const struct bb_upstream *up,
				    int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
