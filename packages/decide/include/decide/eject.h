/* Outlier ejection: excludes an upstream for a time after consecutive failures. */
#ifndef DECIDE_EJECT_H
#define DECIDE_EJECT_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Records the end of an attempt. Ejects the upstream after routing.eject_failures consecutive
 * failures, unless that would leave less than half of the service's upstreams available. The
 * ejection lasts routing.eject_ms, doubled with each consecutive ejection up to a limit. An ejected
 * upstream restarts at its cold limit.
 */
void eject_record_result(struct bb *bb, struct bb_upstream *up, bool healthy, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
