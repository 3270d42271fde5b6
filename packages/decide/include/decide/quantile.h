/*
 * Quantile sketch of durations: counts in logarithmic buckets. All counts are halved whenever their
 * total reaches a limit, so that old values lose weight. Zeroed memory is an empty sketch.
 */
#ifndef DECIDE_QUANTILE_H
#define DECIDE_QUANTILE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define QUANTILE_BUCKETS 96
#define QUANTILE_BUCKETS_PER_OCTAVE 4 /* buckets for each doubling of the duration */
#define QUANTILE_MIN_SAMPLES 8	      /* with fewer samples quantile_get() returns 0 */

struct quantile_sketch {
	uint32_t counts[QUANTILE_BUCKETS];
	uint32_t total; /* sum of counts */
};

void quantile_add(struct quantile_sketch *q, int64_t value_us);

/*
 * Returns the upper bound, in us, of the bucket of percentile pct (1..100); 0 with fewer than
 * QUANTILE_MIN_SAMPLES values.
 */
int64_t quantile_get(const struct quantile_sketch *q, uint32_t pct);

#ifdef __cplusplus
}
#endif

#endif
