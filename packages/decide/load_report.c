#include "decide/load_report.h"

#include "decide/slot.h"

void load_report_apply(struct bb *bb, struct bb_upstream *up,
		       const struct load_report_sample *report, int64_t now_ms)
{
	if (up->report_at_ms != BB_NEVER && report->taken_ms <= up->report_at_ms)
		return;
	if (up->incarnation != report->incarnation) {
		up->window = 1;
		up->window_at_ms = now_ms;
		up->last_success_ms = BB_NEVER;
	}
	up->incarnation = report->incarnation;
	up->report_warm = report->warm;
	up->report_running = report->running;
	up->report_queued = report->queued;
	up->report_at_ms = report->taken_ms;
	up->sent_since_report = 0;
	/* Unresolved attempts that still run are included in the reported load. */
	if (report->taken_ms > up->unresolved_since_ms)
		up->unresolved = MIN(up->unresolved, report->running + report->queued);
	if (report->running == 0 && report->queued == 0) {
		up->idle_at_ms = report->taken_ms;
		slot_release_idle(bb, up);
	}
}

static int64_t period_ms(const struct bb *bb)
{
	int64_t per_s = bb->polled->len <= LOAD_REPORT_FEW_UPSTREAMS ? LOAD_REPORT_FEW_UPSTREAMS
								     : LOAD_REPORT_POLLS_PER_S;
	int64_t cycle_ms = (int64_t)bb->polled->len * 1000 / per_s;

	return cycle_ms > LOAD_REPORT_INTERVAL_MS ? cycle_ms : LOAD_REPORT_INTERVAL_MS;
}

bool load_report_is_due(const struct bb *bb, struct bb_upstream *up, int64_t now_ms)
{
	if (now_ms < up->poll_at_ms)
		return false;
	up->poll_at_ms = now_ms + period_ms(bb);
	return true;
}
