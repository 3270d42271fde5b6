#include "decide/qnt.h"

#include <math.h>

#define QNT_FIRST_US 32.0
#define QNT_FADE_AT 1024 /* samples after which all counts are halved */

static uint32_t bucket_of(int64_t value_us)
{
	double octaves = value_us > QNT_FIRST_US ? log2((double)value_us / QNT_FIRST_US) : 0;
	uint32_t bucket = (uint32_t)(octaves * QNT_PER_OCTAVE);

	return bucket < QNT_BUCKETS ? bucket : QNT_BUCKETS - 1;
}

static void fade(struct qnt *q)
{
	q->total = 0;
	for (uint32_t i = 0; i < QNT_BUCKETS; i++) {
		q->counts[i] /= 2;
		q->total += q->counts[i];
	}
}

void qnt_add(struct qnt *q, int64_t value_us)
{
	q->counts[bucket_of(value_us)]++;
	q->total++;
	if (q->total >= QNT_FADE_AT)
		fade(q);
}

int64_t qnt_get(const struct qnt *q, uint32_t pct)
{
	uint64_t below = 0;

	if (q->total < QNT_MIN_SAMPLES)
		return 0;
	for (uint32_t i = 0; i < QNT_BUCKETS; i++) {
		below += q->counts[i];
		if (below * 100 >= (uint64_t)q->total * pct)
			return (int64_t)(QNT_FIRST_US * exp2((i + 1.0) / QNT_PER_OCTAVE));
	}
	return INT64_MAX;
}
