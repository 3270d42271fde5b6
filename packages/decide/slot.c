/* Limit on this node's concurrent requests to an upstream; slot_map.c assigns the slots. */
#include "decide/slot.h"

#include "decide/eligible.h"

#include <string.h>

#define SLOT_OPEN (BB_NEVER + 1)  /* slot_since_ms of a slot whose hold-off has ended */
#define COLD_FAILURES 2		  /* in a row, after which an upstream no longer counts as warm */
#define LATENCY_JUMP_FACTOR 4	  /* of the mean latency; a jump exceeds both bounds */
#define LATENCY_JUMP_MIN_US 50000 /* above the mean latency */

int64_t slot_hold_off_ms(const struct bb *bb)
{
	const struct cfg_capacity *capacity = &bb->cfg->capacity;

	return capacity->list_lag_ms + capacity->view_age_ms + capacity->longest_ms +
	       SLOT_HOLD_OFF_MARGIN_MS;
}

bool slot_is_warm(const struct bb_upstream *up, int64_t now_ms)
{
	return up->report_warm && up->report_at_ms != BB_NEVER &&
	       now_ms - MAX(up->report_at_ms, up->last_success_ms) <= SLOT_WARM_FRESH_MS;
}

bool slot_view_ok(const struct bb *bb, int64_t now_ms)
{
	int64_t confirmed_ms = MAX(bb->view_ms, bb->list_near_peer_confirmed_ms);

	if (!eligible_view_ok(bb, now_ms) || bb->newest_list_version > bb->list->version)
		return false;
	if (bb->resumed_at_ms != BB_NEVER && confirmed_ms <= bb->resumed_at_ms)
		return false;
	return bb->others->len == 0 || now_ms - confirmed_ms <= bb->cfg->capacity.view_age_ms;
}

static bool is_open(const struct bb *bb, int64_t since_ms, int64_t now_ms)
{
	if (since_ms == BB_NEVER)
		return false;
	return since_ms == SLOT_OPEN || now_ms - since_ms >= slot_hold_off_ms(bb);
}

/* Number of cold-start slots that may be used now. */
static int32_t open_slots(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms)
{
	int32_t open = 0;

	if (!slot_view_ok(bb, now_ms))
		return 0;
	for (int32_t k = 0; k < up->n_slots; k++)
		open += is_open(bb, up->slot_since_ms[k], now_ms);
	return open;
}

static int32_t rendezvous_limit(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms)
{
	int32_t limit = open_slots(bb, up, now_ms);

	if (slot_is_warm(up, now_ms))
		limit = MAX(limit, MIN(up->window, up->warm_share));
	if (now_ms < up->unresolved_until_ms)
		limit -= up->unresolved;
	return MAX(limit, 0);
}

void slot_release_idle(struct bb *bb, struct bb_upstream *up)
{
	for (int32_t k = 0; k < up->n_slots; k++) {
		int64_t since_ms = up->slot_since_ms[k];

		if (since_ms == BB_NEVER || since_ms == SLOT_OPEN || bb->converged_ms == BB_NEVER)
			continue;
		if (up->idle_at_ms >= MAX(since_ms, bb->converged_ms) + SLOT_TRANSIT_MS)
			up->slot_since_ms[k] = SLOT_OPEN;
	}
}

void slot_mark_unresolved(struct bb *bb, struct bb_upstream *up, int64_t now_ms)
{
	if (now_ms >= up->unresolved_until_ms)
		up->unresolved = 0;
	up->unresolved++;
	up->unresolved_since_ms = now_ms;
	up->unresolved_until_ms = now_ms + bb->cfg->capacity.longest_ms;
}

static bool is_latency_jump(const struct bb_upstream *up, int64_t latency_us)
{
	return up->latency_us > 0 && latency_us > up->latency_us * LATENCY_JUMP_FACTOR &&
	       latency_us > up->latency_us + LATENCY_JUMP_MIN_US;
}

static void rendezvous_ended(struct bb *bb, struct bb_upstream *up,
			     const struct slot_outcome *outcome, int64_t now_ms)
{
	if (outcome->healthy && !is_latency_jump(up, outcome->latency_us)) {
		up->window = MIN(up->window + 1, up->service->warm_limit);
		up->last_success_ms = now_ms;
	} else {
		up->window = 1;
		if (outcome->healthy || up->failures + 1 >= COLD_FAILURES)
			up->report_warm = false;
	}
	up->window_at_ms = now_ms;
}

static int32_t equal_limit(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms)
{
	int32_t nodes = (int32_t)bb->others->len + 1;
	int32_t total =
		slot_is_warm(up, now_ms) ? up->service->warm_limit : up->service->cold_limit;

	return MAX(total / nodes, 1);
}

static int32_t unlimited_limit(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms)
{
	return up->service->warm_limit;
}

static void ignore_outcome(struct bb *bb, struct bb_upstream *up,
			   const struct slot_outcome *outcome, int64_t now_ms)
{
}

const struct slot_ops slot_ops_rendezvous = {
	.name = "rendezvous",
	.limit = rendezvous_limit,
	.ended = rendezvous_ended,
};

const struct slot_ops slot_ops_equal = {
	.name = "shares",
	.limit = equal_limit,
	.ended = ignore_outcome,
};

const struct slot_ops slot_ops_unlimited = {
	.name = "unlimited",
	.limit = unlimited_limit,
	.ended = ignore_outcome,
};
