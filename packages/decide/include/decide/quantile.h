/*
 * Quantile sketch of durations: counts in logarithmic buckets, halved now and then so that old
 * values fade. Zeroed memory is an empty sketch.
 */
#ifndef DECIDE_QUANTILE_H
#define DECIDE_QUANTILE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define QUANTILE_BUCKETS 96
#define QUANTILE_PER_OCTAVE 4
#define QUANTILE_MIN_SAMPLES 8 /* below this a sketch gives no quantile */

struct quantile_sketch {
	uint32_t counts[QUANTILE_BUCKETS];
	uint32_t total;
};

void quantile_add(struct quantile_sketch *q, int64_t value_us);

/* Upper bound of the bucket that holds quantile pct (1..100), in us; 0 below QUANTILE_MIN_SAMPLES.
 */
int64_t quantile_get(const struct quantile_sketch *q, uint32_t pct);

#ifdef __cplusplus
}
#endif

#endif
