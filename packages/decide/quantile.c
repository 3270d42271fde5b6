#include "decide/quantile.h"

#include <math.h>

#define QUANTILE_FIRST_US 32.0	/* lower bound of the first bucket */
#define QUANTILE_COUNT_MAX 1024 /* total at which all counts are halved */

static uint32_t bucket_of(int64_t value_us)
{
	double octaves =
		value_us > QUANTILE_FIRST_US ? log2((double)value_us / QUANTILE_FIRST_US) : 0;
	uint32_t bucket = (uint32_t)(octaves * QUANTILE_BUCKETS_PER_OCTAVE);

	return bucket < QUANTILE_BUCKETS ? bucket : QUANTILE_BUCKETS - 1;
}

static void decay(struct quantile_sketch *q)
{
	q->total = 0;
	for (uint32_t i = 0; i < QUANTILE_BUCKETS; i++) {
		q->counts[i] /= 2;
		q->total += q->counts[i];
	}
}

void quantile_add(struct quantile_sketch *q, int64_t value_us)
{
	q->counts[bucket_of(value_us)]++;
	q->total++;
	if (q->total >= QUANTILE_COUNT_MAX)
		decay(q);
}

int64_t quantile_get(const struct quantile_sketch *q, uint32_t pct)
{
	uint64_t below = 0;

	if (q->total < QUANTILE_MIN_SAMPLES)
		return 0;
	for (uint32_t i = 0; i < QUANTILE_BUCKETS; i++) {
		below += q->counts[i];
		if (below * 100 >= (uint64_t)q->total * pct)
			return (int64_t)(QUANTILE_FIRST_US *
					 exp2((i + 1.0) / QUANTILE_BUCKETS_PER_OCTAVE));
	}
	return INT64_MAX;
}
