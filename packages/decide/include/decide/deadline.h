/* Splits the time left until a deadline between the remaining stages of a request. */
#ifndef DECIDE_DEADLINE_H
#define DECIDE_DEADLINE_H

#include "decide/req.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Returns the sum of the 75th latency percentiles of the current stage and all later ones, in ms.
 * A service without a percentile yet counts as 0.
 */
int64_t deadline_expected_ms(const struct req *req);

/*
 * Returns the latest time at which the current stage can end such that the later stages, each at
 * its 10th latency percentile, still meet the deadline.
 */
int64_t deadline_stage_end_ms(const struct req *req);

/*
 * Returns the current stage's share of the time left, in proportion to the 95th latency
 * percentiles of the remaining stages; -1 when the current service has no percentile yet.
 */
int64_t deadline_stage_share_ms(const struct req *req, int64_t now_ms);

/* Returns the time to serve n requests at the median latency, concurrency at a time. */
int64_t deadline_time_to_serve_ms(const struct bb_service *service, int32_t n, int64_t concurrency);

#ifdef __cplusplus
}
#endif

#endif
