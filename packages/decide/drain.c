#include "decide/drain.h"

#define DRAIN_OFFER_TIMEOUT_MS 4000 /* limit on the wait for a successor */
/* limit on the wait for the successor's acknowledgement, including retries of the release */
#define DRAIN_RELEASE_TIMEOUT_MS 4000
#define DRAIN_SETTLE_TIMEOUT_MS 12000 /* above the listener's timeout of a stalled caller */

struct phase_info {
	const char *name;
	const char *waits_for;
	int64_t timeout_ms; /* 0: no limit */
	bool (*is_over)(const struct drain_input *in, int64_t spent_ms);
	enum drain_phase_id next;
};

static bool never(const struct drain_input *in, int64_t spent_ms)
{
	return false;
}

static bool has_address_expired(const struct drain_input *in, int64_t spent_ms)
{
	return in->hurry || spent_ms >= in->linger_ms;
}

static bool is_idle(const struct drain_input *in, int64_t spent_ms)
{
	return in->hurry || in->requests == 0;
}

static bool has_offer_ended(const struct drain_input *in, int64_t spent_ms)
{
	return in->offer_taken || !in->has_successor;
}

static bool is_released(const struct drain_input *in, int64_t spent_ms)
{
	return in->released;
}

static const struct phase_info phases[] = {
	[DRAIN_SERVING] = {"serving", "", 0, never, DRAIN_SERVING},
	[DRAIN_LEAVING] = {"leaving", "callers' cached addresses to expire", 0, has_address_expired,
			   DRAIN_FINISHING},
	[DRAIN_FINISHING] = {"finishing", "requests to end", 0, is_idle, DRAIN_OFFERING},
	[DRAIN_OFFERING] = {"offering", "a successor to accept the tickets", DRAIN_OFFER_TIMEOUT_MS,
			    has_offer_ended, DRAIN_RELEASING},
	[DRAIN_RELEASING] = {"releasing", "the successor's acknowledgement",
			     DRAIN_RELEASE_TIMEOUT_MS, is_released, DRAIN_SETTLING},
	[DRAIN_SETTLING] = {"settling", "responses to be sent", DRAIN_SETTLE_TIMEOUT_MS, is_idle,
			    DRAIN_DONE},
	[DRAIN_DONE] = {"done", "", 0, never, DRAIN_DONE},
};

static void enter(struct drain *drain, enum drain_phase_id phase, int64_t now_ms)
{
	drain->phase = phase;
	drain->since_ms = now_ms;
}

void drain_begin(struct drain *drain, int64_t now_ms)
{
	if (drain->phase == DRAIN_SERVING)
		enter(drain, DRAIN_LEAVING, now_ms);
}

enum drain_phase_id drain_step(struct drain *drain, const struct drain_input *in)
{
	const struct phase_info *info = &phases[drain->phase];
	int64_t spent_ms = in->now_ms - drain->since_ms;
	bool timed_out = info->timeout_ms > 0 && spent_ms >= info->timeout_ms;
	enum drain_phase_id next = info->next;

	if (!timed_out && !info->is_over(in, spent_ms))
		return drain->phase;
	/* Tickets may be released only to a node that accepted the offer. */
	if (drain->phase == DRAIN_OFFERING && !in->offer_taken) {
		drain->offer_failed = true;
		next = DRAIN_SETTLING;
	}
	enter(drain, next, in->now_ms);
	return next;
}

const char *drain_phase_name(enum drain_phase_id phase)
{
	return phases[phase].name;
}

const char *drain_waits_for(enum drain_phase_id phase)
{
	return phases[phase].waits_for;
}
