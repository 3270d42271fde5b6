/*
 * Brittle upstreams, which crash when they refuse too many requests in a second. One refusal, which
 * any node may hear, closes the gate at all nodes; then permits let single requests through.
 */
#include "gate_internal.h"

#include <math.h>

/* Returns for how long nothing is sent after a refusal. */
static int64_t hold_ms(const struct gate_record *r)
{
	double refusals_per_s = r->brittle.refusals_per_s * GATE_REFUSALS_SHARE;

	if (refusals_per_s <= 0)
		return GATE_FULL_MAX_MS;
	return (int64_t)CLAMP(GATE_MS_PER_S / refusals_per_s, GATE_FULL_MIN_MS, GATE_FULL_MAX_MS);
}

static bool has_refused(const struct gate_record *r)
{
	return r->brittle.refusals_per_s >= 0 && r->brittle.refused_ms > 0;
}

int64_t gate_full_until_ms(const struct gate_record *r, int64_t now_ms)
{
	int64_t until_ms = r->brittle.refused_ms + hold_ms(r);

	return has_refused(r) && now_ms < until_ms ? until_ms : 0;
}

double gate_recovery_per_s(const struct gate_record *r, int64_t now_ms)
{
	int64_t step_ms = hold_ms(r);
	int64_t open_ms = now_ms - r->brittle.refused_ms - step_ms;

	if (!has_refused(r) || open_ms >= GATE_RECOVERY_STEPS * step_ms)
		return -1;
	if (open_ms < 0)
		return 0;
	return GATE_MS_PER_S / (double)step_ms * exp2((double)open_ms / (double)step_ms);
}

/* An answer that doesn't say so ends it only if its request was sent after the last that did. */
static bool is_news(const struct gate_record *r, double per_s, int64_t as_of_ms)
{
	if (per_s < 0 && r->brittle.refusals_per_s >= 0)
		return as_of_ms >= r->brittle.said_ms + GATE_ORDER_MARGIN_MS;
	return as_of_ms > r->brittle.said_ms;
}

bool gate_note_brittle(struct gate *g, struct gate_run run, double per_s, int64_t sent_ms,
		       int64_t now_ms)
{
	bool is_said = per_s >= 0;
	int64_t as_of_ms = is_said ? now_ms : sent_ms;
	struct gate_record *r;
	bool is_changed;

	if (!is_said && !gate_find(g, run))
		return false;
	r = gate_find_or_add(g, run, now_ms);
	if (!r || !is_news(r, per_s, as_of_ms))
		return false;
	is_changed = is_said != (r->brittle.refusals_per_s >= 0) ||
		     (is_said && per_s != r->brittle.refusals_per_s);
	r->brittle.refusals_per_s = is_said ? per_s : -1;
	r->brittle.said_ms = as_of_ms;
	return is_changed;
}

/* What was granted before a refusal is void. */
static void set_refused(struct gate *g, struct gate_record *r, int64_t at_ms, int64_t now_ms)
{
	gate_cut_room(g, r, now_ms);
	r->brittle.refused_ms = at_ms;
	r->bucket.tokens = 0;
	for (int i = 0; i < GATE_BATCHES_MAX; i++)
		r->batches[i].n = 0;
}

bool gate_note_refusal(struct gate *g, struct gate_run run, int64_t now_ms)
{
	struct gate_record *r = gate_find(g, run);

	if (!r || r->brittle.refusals_per_s < 0)
		return false;
	set_refused(g, r, now_ms, now_ms);
	return true;
}

bool gate_merge_brittle(struct gate *g, struct gate_record *r, const struct gate_notice *notice,
			int64_t now_ms)
{
	bool is_changed = false;

	if (notice->brittle_ms != 0 && is_news(r, notice->brittle_per_s, notice->brittle_ms)) {
		is_changed = notice->brittle_per_s != r->brittle.refusals_per_s;
		r->brittle.refusals_per_s = notice->brittle_per_s;
		r->brittle.said_ms = notice->brittle_ms;
	}
	if (notice->refused_ms > r->brittle.refused_ms) {
		is_changed = true;
		set_refused(g, r, notice->refused_ms, now_ms);
	}
	return is_changed;
}
