/* Load reports of upstreams: which of them this node reads, and what a report changes. */
#ifndef DECIDE_LOAD_REPORT_H
#define DECIDE_LOAD_REPORT_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define LOAD_REPORT_INTERVAL_MS 500
#define LOAD_REPORT_POLLERS 2 /* nodes that read an upstream's reports */
#define LOAD_REPORT_POLLS_PER_S                                                                    \
	12 /* of a node that reads more than LOAD_REPORT_FEW_UPSTREAMS upstreams */
#define LOAD_REPORT_FEW_UPSTREAMS                                                                  \
	24 /* upstreams that a node reads at up to LOAD_REPORT_FEW_UPSTREAMS a second */

struct load_report_sample {
	uint64_t incarnation;
	bool warm;
	int32_t running;
	int32_t queued;
	int64_t taken_ms;
};

/* Takes a report, read by this node or relayed; one older than the last is dropped. */
void load_report_apply(struct bb *bb, struct bb_upstream *up,
		       const struct load_report_sample *report, int64_t now_ms);

/* True when an upstream's report is to be read now; plans the next time. */
bool load_report_is_due(const struct bb *bb, struct bb_upstream *up, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
