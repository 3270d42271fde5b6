#include "decide/lb.h"

#include <string.h>
#include <xxhash.h>

/* Costs are in ms of the caller's latency. */
#define LB_REGION_RTT_MS 24.0
#define LB_DATA_CENTRE_RTT_MS 3.0
#define LB_FAILURE_PENALTY_MS 2000.0 /* at a failure rate of 1 */
#define LB_BLOCKED_PENALTY_MS 20000.0
/* Inputs that are fetched from another data centre; includes the price of the traffic. */
#define LB_REMOTE_INPUTS_MS 60.0
/* For each request of this node in flight there; engines run many generations at a time. */
#define LB_IN_FLIGHT_MS 40.0
#define LB_STREAM_IN_FLIGHT_MS 5.0
/* Factor on the prefill time that a cache miss costs; above 1 because it also costs money. */
#define LB_SESSION_WEIGHT 4.0
/* Below 1: a prefix that many sessions share is soon cached by every engine. */
#define LB_PREFIX_WEIGHT 0.3
/* Spreads equal candidates, in the same way on all nodes. */
#define LB_TIE_BREAK_MS 4.0

/* Hash of key and id, uniform in 0..1. */
static double unit_hash(uint64_t key, const char *id)
{
	return (double)(XXH64(id, strlen(id), key) >> 11) / (double)(1ULL << 53);
}

static double distance_ms(enum lb_distance distance)
{
	static const double costs[] = {0, LB_DATA_CENTRE_RTT_MS, LB_REGION_RTT_MS};

	return costs[distance];
}

/*
 * Rendezvous hash over the usable candidates: all nodes pick the same one, whatever its distance.
 * -1 without a key.
 */
static int pick_home(uint64_t key, const struct lb_candidate *candidates, uint32_t n)
{
	double best = 0;
	int home = -1;

	for (uint32_t i = 0; key != 0 && i < n; i++) {
		const struct lb_candidate *c = &candidates[i];
		double at;
		if (c->tried || c->cold || c->full || c->blocked)
			continue;
		at = unit_hash(key, c->id);
		if (home < 0 || at < best) {
			best = at;
			home = (int)i;
		}
	}
	return home;
}

static double cost_ms(const struct lb_request *r, const struct lb_candidate *c, bool is_home)
{
	double ms = distance_ms(c->distance);

	ms += (r->is_generation ? LB_STREAM_IN_FLIGHT_MS : LB_IN_FLIGHT_MS) * c->in_flight;
	ms += LB_FAILURE_PENALTY_MS * c->failed;
	if (c->blocked)
		ms += LB_BLOCKED_PENALTY_MS;
	if (r->has_inputs && !c->near_inputs)
		ms += LB_REMOTE_INPUTS_MS;
	if (r->prefix)
		ms += LB_PREFIX_WEIGHT * r->prefix_ms * unit_hash(r->prefix, c->id);
	if (r->session && !is_home)
		ms += LB_SESSION_WEIGHT * r->session_ms;
	return ms + LB_TIE_BREAK_MS * unit_hash(0, c->id);
}

int lb_pick(const struct lb_request *request, const struct lb_candidate *candidates, uint32_t n)
{
	int home = pick_home(request->session, candidates, n);
	double best_ms = 0;
	int best = -1;

	for (uint32_t i = 0; i < n; i++) {
		const struct lb_candidate *c = &candidates[i];
		double ms;
		if (c->tried || c->cold || c->full)
			continue;
		ms = cost_ms(request, c, (int)i == home);
		if (best < 0 || ms < best_ms) {
			best = (int)i;
			best_ms = ms;
		}
	}
	return best;
}
