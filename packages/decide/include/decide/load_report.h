/* Load reports of upstreams: when this node polls them, and the effect of a report. */
#ifndef DECIDE_LOAD_REPORT_H
#define DECIDE_LOAD_REPORT_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LOAD_REPORT_INTERVAL_MS 500 /* shortest interval between polls of an upstream */
#define LOAD_REPORT_POLLERS 2	    /* nodes that poll an upstream */
/*
 * Limit on the polls that a node sends in a second: LOAD_REPORT_FEW_UPSTREAMS when it polls at most
 * that many upstreams, else LOAD_REPORT_POLLS_PER_S.
 */
#define LOAD_REPORT_POLLS_PER_S 12
#define LOAD_REPORT_FEW_UPSTREAMS 24

struct load_report_sample {
	uint64_t incarnation;
	bool warm;
	int32_t running;
	int32_t queued;
	int64_t taken_ms;
};

/* Applies a report, polled by this node or relayed. Ignored unless newer than the last one. */
void load_report_apply(struct bb *bb, struct bb_upstream *up,
		       const struct load_report_sample *report, int64_t now_ms);

/* True when an upstream is to be polled now; schedules its next poll. */
bool load_report_is_due(const struct bb *bb, struct bb_upstream *up, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
