/*
 * Quantile sketch of durations: counts in logarithmic buckets, halved now and then so that old
 * values fade. Zeroed memory is an empty sketch.
 */
#ifndef DECIDE_QNT_H
#define DECIDE_QNT_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define QNT_BUCKETS 96
#define QNT_PER_OCTAVE 4
#define QNT_MIN_SAMPLES 8 /* below this a sketch gives no quantile */

struct qnt {
	uint32_t counts[QNT_BUCKETS];
	uint32_t total;
};

void qnt_add(struct qnt *q, int64_t value_us);

/* Upper bound of the bucket that holds quantile pct (1..100), in us; 0 below QNT_MIN_SAMPLES. */
int64_t qnt_get(const struct qnt *q, uint32_t pct);

#ifdef __cplusplus
}
#endif

#endif
