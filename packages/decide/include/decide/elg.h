/* Eligibility: may new work go to an upstream at this moment? Asked at every send. */
#ifndef DECIDE_ELG_H
#define DECIDE_ELG_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ELG_GAP_MS 1500 /* without a tick: the process was paused */

enum elg_reason {
	ELG_OK,
	ELG_NOT_IN_CONFIG,
	ELG_NOT_LISTED,
	ELG_LEAVING,
	ELG_DATA_CENTRE_OUT,
	ELG_VIEW_STALE, /* what this node holds is too old to act on */
	ELG_EJECTED,
	ELG_FULL, /* its limit for this node is used up */
};

/* True unless the process was paused and nobody confirmed since what it holds. */
bool elg_is_sure(const struct bb *bb, int64_t now_ms);

/*
 * True while what this node holds may be acted on: it ticks, and since its last pause, and not
 * longer than the view age ago, the platform or a peer confirmed the VM list. A node that is the
 * only one listed has nobody to ask and goes on through an outage of the platform.
 */
bool elg_view_ok(const struct bb *bb, int64_t now_ms);

const char *elg_reason_name(enum elg_reason reason);
enum elg_reason elg_check(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
