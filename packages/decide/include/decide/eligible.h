/* Eligibility: whether new work may be sent to an upstream now. Checked before every send. */
#ifndef DECIDE_ELIGIBLE_H
#define DECIDE_ELIGIBLE_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ELIGIBLE_TICK_GAP_MS 1500 /* a longer gap between ticks counts as a pause */

enum eligible_reason {
	ELIGIBLE_OK,
	ELIGIBLE_NOT_IN_CONFIG,
	ELIGIBLE_NOT_LISTED,
	ELIGIBLE_LEAVING,
	ELIGIBLE_DATA_CENTRE_OUT,
	ELIGIBLE_VIEW_STALE, /* VM list or configuration not confirmed recently */
	ELIGIBLE_EJECTED,
	ELIGIBLE_FULL, /* this node's limit at the upstream is in use */
};

/*
 * True when there is a VM list and a configuration and, if the process was paused, both were
 * confirmed since.
 */
bool eligible_is_confirmed(const struct bb *bb, int64_t now_ms);

/*
 * True while this node may act on its VM list and configuration: it ticks, and the platform or a
 * peer confirmed the list since the last pause and within the view age. The view age doesn't apply
 * to a node that is the only one listed: it has no peer that could confirm the list, and continues
 * to serve through an outage of the platform.
 */
bool eligible_view_ok(const struct bb *bb, int64_t now_ms);

const char *eligible_reason_name(enum eligible_reason reason);
enum eligible_reason eligible_check(const struct bb *bb, const struct bb_upstream *up,
				    int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
