#include "decide/route.h"

#include "decide/eligible.h"

#include <stdlib.h>

#define ROUTE_SCORED_MAX 3   /* upstreams of a data centre that are scored for an attempt */
#define ROUTE_CHECKED_MAX 16 /* upstreams of a data centre that are checked for free capacity */
#define ROUTE_PREFIX_SAVING_PCT 30 /* latency saved where the prompt's prefix may be cached */
/* limit of the attempts in flight at a preferred upstream, in percent of (mean + 1) */
#define ROUTE_LOAD_BOUND_PCT 125
#define ROUTE_REPORT_VALID_MS 3000 /* older load reports are ignored */
/* an idle upstream whose latency is older counts as no slower than the median */
#define ROUTE_LATENCY_VALID_MS 10000
#define ROUTE_US_PER_MS 1000

static bool was_tried(const struct route_request *request, uint32_t upstream)
{
	for (uint32_t i = 0; i < request->n_tried; i++) {
		if (request->tried[i] == upstream)
			return true;
	}
	return false;
}

int32_t route_limit(struct bb *bb, const struct slot_ops *slots, struct bb_upstream *up,
		    int64_t now_ms)
{
	int32_t limit =
		eligible_check(bb, up, now_ms) == ELIGIBLE_OK ? slots->limit(bb, up, now_ms) : 0;

	up->service->capacity += limit - up->counted_limit;
	up->counted_limit = limit;
	return limit;
}

static bool may_take(struct bb *bb, const struct slot_ops *slots,
		     const struct route_request *request, struct bb_upstream *up, int64_t now_ms)
{
	return !was_tried(request, up->id) && up->in_flight < route_limit(bb, slots, up, now_ms);
}

static struct bb_upstream *round_robin_pick(struct bb *bb, const struct slot_ops *slots,
					    const struct route_request *request, int64_t now_ms)
{
	const GPtrArray *ups = request->service->upstreams;

	if (ups->len == 0)
		return NULL;
	uint32_t start = (uint32_t)prng_below(&bb->prng, ups->len);
	for (uint32_t i = 0; i < ups->len; i++) {
		struct bb_upstream *up = g_ptr_array_index(ups, (start + i) % ups->len);

		if (may_take(bb, slots, request, up, now_ms))
			return up;
	}
	return NULL;
}

static int64_t latency_us(const struct bb_upstream *up, int64_t now_ms)
{
	int64_t median_us = quantile_get(&up->service->latencies, 50);
	int64_t own_us = up->latency_us;

	/* so that an idle upstream with an outdated latency gets a request that measures it again
	 */
	bool outdated = now_ms - up->latency_at_ms > ROUTE_LATENCY_VALID_MS && up->in_flight == 0;

	if (own_us == 0 || (outdated && median_us > 0 && median_us < own_us))
		own_us = median_us;
	return own_us > 0 ? own_us : 1;
}

/*
 * Returns the number of requests at the upstream: those in a fresh report plus those that this node
 * sent since, but at least those in flight from this node.
 */
static int64_t load_of(const struct bb_upstream *up, int64_t now_ms)
{
	int64_t reported = up->report_running + up->report_queued + up->sent_since_report;
	bool fresh =
		up->report_at_ms != BB_NEVER && now_ms - up->report_at_ms < ROUTE_REPORT_VALID_MS;

	return fresh && reported > up->in_flight ? reported : up->in_flight;
}

/* Returns the upstream's latency times (1 + load / concurrency limit), plus the link both ways. */
static int64_t expected_us(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms)
{
	int64_t concurrency = up->report_warm ? up->service->warm_limit : MAX(up->window, 1);
	int64_t unloaded_us = latency_us(up, now_ms);

	return unloaded_us + unloaded_us * load_of(up, now_ms) / concurrency +
	       2 * bb->links[up->dc].latency_ms * ROUTE_US_PER_MS;
}

/*
 * Returns the price of sending the bytes over the link, in us to be added to a latency: each cent
 * counts as routing.cost_weight_pct / 100 ms.
 */
static int64_t price_us(const struct bb *bb, const struct bb_upstream *up, uint64_t bytes)
{
	double cents = (double)bytes / 1e9 * (double)bb->links[up->dc].price_per_gb_cents;

	return (int64_t)(cents * (double)bb->cfg->routing.cost_weight_pct / 100.0 *
			 ROUTE_US_PER_MS);
}

struct choice {
	struct bb_upstream *best;
	bool in_time;
	int64_t score_us;
	uint32_t samples; /* upstreams of the current data centre considered so far */
};

/*
 * Replaces the choice if the upstream is better. One that meets the deadline is better than any
 * that does not; otherwise the lower score is better. saving_pct: expected reduction of the
 * latency.
 */
static void consider(const struct bb *bb, const struct route_request *request,
		     struct bb_upstream *up, int64_t saving_pct, int64_t now_ms,
		     struct choice *choice)
{
	int64_t needed_us = expected_us(bb, up, now_ms) * (100 - saving_pct) / 100;
	int64_t score_us = needed_us + price_us(bb, up, request->body_bytes);
	bool in_time = needed_us <= request->left_ms * ROUTE_US_PER_MS;

	choice->samples++;
	if (choice->best && (choice->in_time > in_time ||
			     (choice->in_time == in_time && choice->score_us <= score_us)))
		return;
	choice->best = up;
	choice->in_time = in_time;
	choice->score_us = score_us;
}

/*
 * Considers the upstream of a data centre that is preferred for this prompt prefix, unless its load
 * is too far above the mean ("Consistent hashing with bounded loads", Mirrokni, Thorup,
 * Zadimoghaddam, 2018).
 */
static void consider_prefix(struct bb *bb, const struct slot_ops *slots,
			    const struct route_request *request, const GPtrArray *ups,
			    int64_t now_ms, struct choice *choice)
{
	struct bb_upstream *up = g_ptr_array_index(ups, request->prefix_hash % ups->len);
	int64_t mean = request->service->in_flight / request->service->upstreams->len;

	if (up->in_flight * 100 > (mean + 1) * ROUTE_LOAD_BOUND_PCT ||
	    !may_take(bb, slots, request, up, now_ms))
		return;
	consider(bb, request, up, ROUTE_PREFIX_SAVING_PCT, now_ms, choice);
}

static void consider_data_centre(struct bb *bb, const struct slot_ops *slots,
				 const struct route_request *request, const GPtrArray *ups,
				 int64_t now_ms, struct choice *choice)
{
	uint32_t probes = MIN(ups->len, ROUTE_CHECKED_MAX);

	choice->samples = 0;
	if (ups->len == 0)
		return;
	if (request->prefix_hash)
		consider_prefix(bb, slots, request, ups, now_ms, choice);
	uint32_t start = (uint32_t)prng_below(&bb->prng, ups->len);
	for (uint32_t i = 0; i < probes && choice->samples < ROUTE_SCORED_MAX; i++) {
		struct bb_upstream *up = g_ptr_array_index(ups, (start + i) % ups->len);

		if (may_take(bb, slots, request, up, now_ms))
			consider(bb, request, up, 0, now_ms, choice);
	}
}

static struct bb_upstream *score_pick(struct bb *bb, const struct slot_ops *slots,
				      const struct route_request *request, int64_t now_ms)
{
	struct choice choice = {0};

	for (uint32_t dc = 0; dc < request->service->n_dcs; dc++)
		consider_data_centre(bb, slots, request, request->service->by_dc[dc], now_ms,
				     &choice);
	return choice.best;
}

const struct route_ops route_round_robin = {.name = "round_robin", .pick = round_robin_pick};
const struct route_ops route_score = {.name = "score", .pick = score_pick};
