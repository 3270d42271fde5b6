#include "decide/drn.h"

#define DRN_OFFER_MS 4000   /* to find a successor */
#define DRN_RELEASE_MS 4000 /* for its word, repeats included */
#define DRN_SETTLE_MS 12000 /* above the listener's timeout of a caller that takes nothing */

struct phase_info {
	const char *name;
	const char *waits_for;
	int64_t most_ms; /* 0: no bound of its own */
	bool (*is_over)(const struct drn_input *in, int64_t spent_ms);
	enum drn_phase next;
};

static bool never(const struct drn_input *in, int64_t spent_ms)
{
	return false;
}

static bool is_forgotten(const struct drn_input *in, int64_t spent_ms)
{
	return in->hurry || spent_ms >= in->linger_ms;
}

static bool is_idle(const struct drn_input *in, int64_t spent_ms)
{
	return in->hurry || in->requests == 0;
}

static bool has_offer_ended(const struct drn_input *in, int64_t spent_ms)
{
	return in->offer_taken || !in->has_successor;
}

static bool is_released(const struct drn_input *in, int64_t spent_ms)
{
	return in->released;
}

static const struct phase_info phases[] = {
	[DRN_SERVING] = {"serving", "", 0, never, DRN_SERVING},
	[DRN_LEAVING] = {"leaving", "callers to forget the address", 0, is_forgotten,
			 DRN_FINISHING},
	[DRN_FINISHING] = {"finishing", "requests to end", 0, is_idle, DRN_OFFERING},
	[DRN_OFFERING] = {"offering", "a successor for the tickets", DRN_OFFER_MS, has_offer_ended,
			  DRN_RELEASING},
	[DRN_RELEASING] = {"releasing", "the successor's word", DRN_RELEASE_MS, is_released,
			   DRN_SETTLING},
	[DRN_SETTLING] = {"settling", "answers to leave", DRN_SETTLE_MS, is_idle, DRN_DONE},
	[DRN_DONE] = {"done", "", 0, never, DRN_DONE},
};

static void enter(struct drn *drn, enum drn_phase phase, int64_t now_ms)
{
	drn->phase = phase;
	drn->since_ms = now_ms;
}

void drn_begin(struct drn *drn, int64_t now_ms)
{
	if (drn->phase == DRN_SERVING)
		enter(drn, DRN_LEAVING, now_ms);
}

enum drn_phase drn_step(struct drn *drn, const struct drn_input *in)
{
	const struct phase_info *info = &phases[drn->phase];
	int64_t spent_ms = in->now_ms - drn->since_ms;
	bool late = info->most_ms > 0 && spent_ms >= info->most_ms;
	enum drn_phase next = info->next;

	if (!late && !info->is_over(in, spent_ms))
		return drn->phase;
	/* nothing may be released to a node that did not take the offer */
	if (drn->phase == DRN_OFFERING && !in->offer_taken) {
		drn->offer_over = true;
		next = DRN_SETTLING;
	}
	enter(drn, next, in->now_ms);
	return next;
}

const char *drn_phase_name(enum drn_phase phase)
{
	return phases[phase].name;
}

const char *drn_waits_for(enum drn_phase phase)
{
	return phases[phase].waits_for;
}
