/* Load reports of upstreams: which of them this node reads, and what a report changes. */
#ifndef DECIDE_REP_H
#define DECIDE_REP_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define REP_PERIOD_MS 500
#define REP_POLLERS 2	   /* nodes that read an upstream's reports */
#define REP_POLLS_PER_S 12 /* of a node that reads more than REP_FEW upstreams */
#define REP_FEW 24	   /* upstreams that a node reads at up to REP_FEW a second */

struct rep_report {
	uint64_t incarnation;
	bool warm;
	int32_t running;
	int32_t queued;
	int64_t taken_ms;
};

/* Takes a report, read by this node or relayed; one older than the last is dropped. */
void rep_take(struct bb *bb, struct bb_upstream *up, const struct rep_report *report,
	      int64_t now_ms);

/* True when an upstream's report is to be read now; plans the next time. */
bool rep_is_due(const struct bb *bb, struct bb_upstream *up, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
