#include "decide/rte.h"

#include "decide/elg.h"

#include <stdlib.h>

#define RTE_SAMPLES 3		/* candidates scored in each data centre for one attempt */
#define RTE_PROBES 16		/* upstreams of a data centre asked for room for one attempt */
#define RTE_PREFIX_SAVES_PCT 30 /* of the time, where the prompt's prefix may be cached */
#define RTE_BOUND_PCT 125	/* of the mean load, above which a preferred upstream is passed */
#define RTE_REPORT_MS 3000	/* older load reports count for nothing */
#define RTE_LATENCY_FADES_MS 10000
#define RTE_US_PER_MS 1000

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
	uint32_t start = (uint32_t)prng_below(&bb->prng, ups->len);
	for (uint32_t i = 0; i < ups->len; i++) {
		struct bb_upstream *up = g_ptr_array_index(ups, (start + i) % ups->len);

		if (may_take(bb, slots, ask, up, now_ms))
			return up;
	}
	return NULL;
}

static int64_t latency_us(const struct bb_upstream *up, int64_t now_ms)
{
	int64_t usual_us = qnt_get(&up->service->latencies, 50);
	int64_t own_us = up->latency_us;

	/* one at a time finds out whether it still is as slow */
	bool faded = now_ms - up->latency_at_ms > RTE_LATENCY_FADES_MS && up->in_flight == 0;

	if (own_us == 0 || (faded && usual_us > 0 && usual_us < own_us))
		own_us = usual_us;
	return own_us > 0 ? own_us : 1;
}

/* Requests at the upstream: its report and what was sent since, or what this node knows alone. */
static int64_t load_of(const struct bb_upstream *up, int64_t now_ms)
{
	int64_t reported = up->report_running + up->report_queued + up->sent_since_report;
	bool fresh = up->report_at_ms != BB_NEVER && now_ms - up->report_at_ms < RTE_REPORT_MS;

	return fresh && reported > up->in_flight ? reported : up->in_flight;
}

/* Mean latency, stretched by the load against what the upstream bears, and the way there and back.
 */
static int64_t finish_us(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms)
{
	int64_t bears = up->report_warm ? up->service->warm_limit : MAX(up->window, 1);
	int64_t alone_us = latency_us(up, now_ms);

	return alone_us + alone_us * load_of(up, now_ms) / bears +
	       2 * bb->links[up->dc].latency_ms * RTE_US_PER_MS;
}

/* What the bytes cost on the way, as time by the weight that the operators set. */
static int64_t price_us(const struct bb *bb, const struct bb_upstream *up, uint64_t bytes)
{
	double cents = (double)bytes / 1e9 * (double)bb->links[up->dc].price_per_gb_cents;

	return (int64_t)(cents * (double)bb->cfg->routing.cost_weight_pct / 100.0 * RTE_US_PER_MS);
}

struct choice {
	struct bb_upstream *best;
	bool in_time;
	int64_t score_us;
	uint32_t samples; /* of the data centre that is looked at */
};

/* The later of two equal ones is dropped; one in time goes before any that is not. */
static void weigh(const struct bb *bb, const struct rte_ask *ask, struct bb_upstream *up,
		  int64_t saved_pct, int64_t now_ms, struct choice *choice)
{
	int64_t needs_us = finish_us(bb, up, now_ms) * (100 - saved_pct) / 100;
	int64_t score_us = needs_us + price_us(bb, up, ask->body_bytes);
	bool in_time = needs_us <= ask->left_ms * RTE_US_PER_MS;

	choice->samples++;
	if (choice->best && (choice->in_time > in_time ||
			     (choice->in_time == in_time && choice->score_us <= score_us)))
		return;
	choice->best = up;
	choice->in_time = in_time;
	choice->score_us = score_us;
}

/*
 * The data centre's upstream that requests with this prefix prefer, unless it has more than its
 * share ("Consistent hashing with bounded loads", Mirrokni, Thorup, Zadimoghaddam, 2018).
 */
static void weigh_prefix(struct bb *bb, const struct slt_ops *slots, const struct rte_ask *ask,
			 const GPtrArray *ups, int64_t now_ms, struct choice *choice)
{
	struct bb_upstream *up = g_ptr_array_index(ups, ask->prefix_hash % ups->len);
	int64_t mean = ask->service->in_flight / ask->service->upstreams->len;

	if (up->in_flight * 100 > (mean + 1) * RTE_BOUND_PCT ||
	    !may_take(bb, slots, ask, up, now_ms))
		return;
	weigh(bb, ask, up, RTE_PREFIX_SAVES_PCT, now_ms, choice);
}

static void weigh_data_centre(struct bb *bb, const struct slt_ops *slots, const struct rte_ask *ask,
			      const GPtrArray *ups, int64_t now_ms, struct choice *choice)
{
	uint32_t probes = MIN(ups->len, RTE_PROBES);

	choice->samples = 0;
	if (ups->len == 0)
		return;
	if (ask->prefix_hash)
		weigh_prefix(bb, slots, ask, ups, now_ms, choice);
	uint32_t start = (uint32_t)prng_below(&bb->prng, ups->len);
	for (uint32_t i = 0; i < probes && choice->samples < RTE_SAMPLES; i++) {
		struct bb_upstream *up = g_ptr_array_index(ups, (start + i) % ups->len);

		if (may_take(bb, slots, ask, up, now_ms))
			weigh(bb, ask, up, 0, now_ms, choice);
	}
}

static struct bb_upstream *score_pick(struct bb *bb, const struct slt_ops *slots,
				      const struct rte_ask *ask, int64_t now_ms)
{
	struct choice choice = {0};

	for (uint32_t dc = 0; dc < ask->service->n_dcs; dc++)
		weigh_data_centre(bb, slots, ask, ask->service->by_dc[dc], now_ms, &choice);
	return choice.best;
}

const struct rte_ops rte_round_robin = {.name = "round_robin", .pick = round_robin_pick};
const struct rte_ops rte_score = {.name = "score", .pick = score_pick};
