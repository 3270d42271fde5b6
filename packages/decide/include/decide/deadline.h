/* Deadlines: how what is left of one is shared among the stages that are still to be done. */
#ifndef DECIDE_DEADLINE_H
#define DECIDE_DEADLINE_H

#include "decide/req.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Time that the current stage and all after it take in three of four cases, in ms; services
 * without figures count as 0.
 */
int64_t deadline_expected_ms(const struct req *req);

/*
 * Latest time at which the current stage may end so that the stages after it, each at its 10th
 * percentile, still end by the deadline.
 */
int64_t deadline_stage_end_ms(const struct req *req);

/*
 * Share of the time left that falls to the current stage, in proportion to the 95th percentiles
 * of the stages to be done; -1 when the current service has none yet.
 */
int64_t deadline_stage_share_ms(const struct req *req, int64_t now_ms);

/* Time until a service has served n requests more, width at a time, in ms, at its usual pace. */
int64_t deadline_drain_ms(const struct bb_service *service, int32_t n, int64_t width);

#ifdef __cplusplus
}
#endif

#endif
