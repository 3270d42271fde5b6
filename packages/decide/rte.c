#include "decide/rte.h"

#include "decide/elg.h"

#include <stdlib.h>

#define RTE_SAMPLES 4 /* candidates scored for one attempt */

static bool was_tried(const struct rte_ask *ask, uint32_t upstream)
{
	for (uint32_t i = 0; i < ask->n_tried; i++) {
		if (ask->tried[i] == upstream)
			return true;
	}
	return false;
}

int32_t rte_limit(struct bb *bb, const struct slt_ops *slots, struct bb_upstream *up,
		  int64_t now_ms)
{
	int32_t limit = elg_check(bb, up, now_ms) == ELG_OK ? slots->limit(bb, up, now_ms) : 0;

	up->service->capacity += limit - up->limit_seen;
	up->limit_seen = limit;
	return limit;
}

static bool may_take(struct bb *bb, const struct slt_ops *slots, const struct rte_ask *ask,
		     struct bb_upstream *up, int64_t now_ms)
{
	return !was_tried(ask, up->id) && up->in_flight < rte_limit(bb, slots, up, now_ms);
}

static struct bb_upstream *round_robin_pick(struct bb *bb, const struct slt_ops *slots,
					    const struct rte_ask *ask, int64_t now_ms)
{
	const GPtrArray *ups = ask->service->upstreams;

	if (ups->len == 0)
		return NULL;
	uint32_t start = (uint32_t)rnd_below(&bb->rnd, ups->len);
	for (uint32_t i = 0; i < ups->len; i++) {
		struct bb_upstream *up = g_ptr_array_index(ups, (start + i) % ups->len);

		if (may_take(bb, slots, ask, up, now_ms))
			return up;
	}
	return NULL;
}

/* Expected time to finish: the mean latency times what stands before and beside it. */
static int64_t expected_us(const struct bb_upstream *up)
{
	int64_t latency_us = up->latency_us > 0 ? up->latency_us : 1;
	int64_t load = up->in_flight + up->report_running + up->report_queued + 1;

	return latency_us * load;
}

static struct bb_upstream *score_pick(struct bb *bb, const struct slt_ops *slots,
				      const struct rte_ask *ask, int64_t now_ms)
{
	const GPtrArray *ups = ask->service->upstreams;
	struct bb_upstream *best = NULL;
	uint32_t samples = 0;

	if (ups->len == 0)
		return NULL;
	uint32_t start = (uint32_t)rnd_below(&bb->rnd, ups->len);
	for (uint32_t i = 0; i < ups->len && samples < RTE_SAMPLES; i++) {
		struct bb_upstream *up = g_ptr_array_index(ups, (start + i) % ups->len);

		if (!may_take(bb, slots, ask, up, now_ms))
			continue;
		samples++;
		if (!best || expected_us(up) < expected_us(best))
			best = up;
	}
	return best;
}

const struct rte_ops rte_round_robin = {.name = "round_robin", .pick = round_robin_pick};
const struct rte_ops rte_score = {.name = "score", .pick = score_pick};
