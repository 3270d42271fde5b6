/* Outlier ejection: an upstream that fails in a row is left out for a while. */
#ifndef DECIDE_EJECT_H
#define DECIDE_EJECT_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Notes the end of an attempt. Ejects after routing.eject_failures failures in a row, for
 * routing.eject_ms doubled with each ejection in a row; never when that would leave less than
 * half of the service's upstreams. The ejected one starts again at its cold limit.
 */
void eject_record_result(struct bb *bb, struct bb_upstream *up, bool healthy, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
