/*
 * Requests that wait: a queue for each service, in the policy's order, and one queue of the times
 * at which requests are looked at again. Each request stands in the second exactly once.
 */
#include "dec_int.h"

#include "decide/eligible.h"

#define PEAK_HALF_MS 2000
#define HEDGE_TOKENS_KEPT 5.0
#define REFRESH_PER_TICK 32 /* upstreams of a service looked at for its capacity */

static gint compare_waiting(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct dec *d = data;
	const struct req *x = a;
	const struct req *y = b;
	int order = d->policy.admit->compare(x, y);

	return order ? order : (x->id > y->id) - (x->id < y->id);
}

static gint compare_wake(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct req *x = a;
	const struct req *y = b;

	if (x->wake_at_ms != y->wake_at_ms)
		return x->wake_at_ms < y->wake_at_ms ? -1 : 1;
	return (x->id > y->id) - (x->id < y->id);
}

void dec_plan_wake(struct dec *d, struct req *req, int64_t now_ms)
{
	int64_t at_ms = d->policy.admit->give_up_at_ms(req);

	if (!req->waiting && req->hedge_at_ms != BB_NEVER)
		at_ms = MIN(at_ms, req->hedge_at_ms);
	req->wake_at_ms = MIN(MAX(at_ms, now_ms + 1), MAX(req->deadline_at_ms, now_ms + 1));
	if (req->wake)
		g_sequence_sort_changed(req->wake, compare_wake, NULL);
	else
		req->wake = g_sequence_insert_sorted(d->wakes, req, compare_wake, NULL);
}

static void enqueue(struct dec *d, struct req *req, int64_t now_ms)
{
	struct bb_service *service = req->stages[req->stage].service;

	req->hedge_at_ms = BB_NEVER;
	req->waiting = g_sequence_insert_sorted(service->waiting, req, compare_waiting, d);
	dec_plan_wake(d, req, now_ms);
}

static void dequeue(struct req *req)
{
	if (req->waiting)
		g_sequence_remove(req->waiting);
	req->waiting = NULL;
}

static bool try_send(struct dec *d, struct req *req, int64_t now_ms, struct dec_out *out)
{
	const struct req_stage *stage = &req->stages[req->stage];
	int64_t wait_ms;

	if (!dec_send_attempt(d, req, false, now_ms, out) && !dec_hand_over(d, req, now_ms, out))
		return false;
	dequeue(req);
	if (req->n_attempts == 1)
		d->policy.retry->first(&d->bb, &stage->service->budget);
	wait_ms = d->policy.retry->hedge_after_ms(&d->bb, req, now_ms);
	req->hedge_at_ms = stage->idempotent && !req->stream_open && wait_ms >= 0 ? now_ms + wait_ms
										  : BB_NEVER;
	dec_plan_wake(d, req, now_ms);
	return true;
}

void dec_start_stage(struct dec *d, struct req *req, int64_t now_ms, struct dec_out *out)
{
	struct bb_service *service = req->stages[req->stage].service;

	/* whoever waits already goes first */
	if (g_sequence_get_length(service->waiting) == 0 && try_send(d, req, now_ms, out))
		return;
	if (req->handed && service->capacity == 0) {
		/* its node knows of others that may hold a slot */
		dec_refuse(d, req, ERR_NO_UPSTREAM, adm_retry_after_ms(&d->bb, req), now_ms, out);
		return;
	}
	enqueue(d, req, now_ms);
	dec_run_queue(d, service, now_ms, out);
}

void dec_run_queue(struct dec *d, struct bb_service *service, int64_t now_ms, struct dec_out *out)
{
	while (g_sequence_get_length(service->waiting) > 0) {
		struct req *req = g_sequence_get(g_sequence_get_begin_iter(service->waiting));
		struct adm_verdict verdict = d->policy.admit->wait(&d->bb, req, now_ms);

		if (verdict.code != ERR_NONE)
			dec_refuse(d, req, verdict.code, verdict.retry_after_ms, now_ms, out);
		else if (!try_send(d, req, now_ms, out))
			return;
	}
}

void dec_sort_queues(struct dec *d)
{
	for (uint32_t i = 0; i < d->bb.services->len; i++) {
		struct bb_service *service = g_ptr_array_index(d->bb.services, i);
		g_sequence_sort(service->waiting, compare_waiting, d);
	}
}

bool dec_shed(struct dec *d, const struct req *req, int64_t now_ms, struct dec_out *out)
{
	struct req *last = NULL;

	for (uint32_t i = 0; i < d->bb.services->len; i++) {
		const struct bb_service *service = g_ptr_array_index(d->bb.services, i);
		GSequenceIter *end = g_sequence_get_end_iter(service->waiting);

		if (g_sequence_iter_is_begin(end))
			continue;
		struct req *waits = g_sequence_get(g_sequence_iter_prev(end));
		if (waits->rank > req->rank && (!last || waits->rank > last->rank))
			last = waits;
	}
	if (!last)
		return false;
	dec_refuse(d, last, ERR_OVERLOADED, adm_retry_after_ms(&d->bb, last), now_ms, out);
	return true;
}

/* Low classes leave the last tokens to the first one. */
static void hedge(struct dec *d, struct req *req, int64_t now_ms, struct dec_out *out)
{
	struct rty_budget *budget = &req->stages[req->stage].service->budget;
	double kept = req->rank > 0 ? HEDGE_TOKENS_KEPT : 0;

	req->hedge_at_ms = BB_NEVER;
	if (budget->hedge_tokens >= 1.0 + kept && dec_send_attempt(d, req, true, now_ms, out))
		d->policy.retry->may_hedge(&d->bb, budget);
}

static void wake(struct dec *d, struct req *req, int64_t now_ms, struct dec_out *out)
{
	bool due = req->hedge_at_ms != BB_NEVER && now_ms >= req->hedge_at_ms;
	struct adm_verdict verdict = req->waiting ? d->policy.admit->wait(&d->bb, req, now_ms)
						  : d->policy.admit->run(&d->bb, req, now_ms);

	if (verdict.code != ERR_NONE) {
		dec_refuse(d, req, verdict.code, verdict.retry_after_ms, now_ms, out);
		return;
	}
	if (due && !req->waiting)
		hedge(d, req, now_ms, out);
	dec_plan_wake(d, req, now_ms);
}

/* Peaks halve over PEAK_HALF_MS; linear for the short steps between ticks. */
static void fade_peaks(struct bb_service *service, int64_t passed_ms)
{
	double keep = 1.0 - (double)MIN(passed_ms, PEAK_HALF_MS) / 2 / PEAK_HALF_MS;

	for (uint32_t i = 0; i < BB_RANKS; i++) {
		struct bb_use *use = &service->uses[i];
		use->peak = MAX(use->peak * keep, use->in_flight);
	}
}

static void refresh_capacity(struct dec *d, struct bb_service *service, int64_t now_ms)
{
	uint32_t n = MIN(service->upstreams->len, REFRESH_PER_TICK);

	for (uint32_t i = 0; i < n; i++) {
		service->refreshed = (service->refreshed + 1) % service->upstreams->len;
		rte_limit(&d->bb, d->policy.slots,
			  g_ptr_array_index(service->upstreams, service->refreshed), now_ms);
	}
}

void dec_tick_requests(struct dec *d, int64_t now_ms, struct dec_out *out)
{
	int64_t passed_ms = now_ms - d->peaks_at_ms;

	d->peaks_at_ms = now_ms;
	while (g_sequence_get_length(d->wakes) > 0) {
		struct req *req = g_sequence_get(g_sequence_get_begin_iter(d->wakes));

		if (req->wake_at_ms > now_ms)
			break;
		wake(d, req, now_ms, out);
	}
	for (uint32_t i = 0; i < d->bb.services->len; i++) {
		struct bb_service *service = g_ptr_array_index(d->bb.services, i);
		fade_peaks(service, passed_ms);
		refresh_capacity(d, service, now_ms);
		dec_run_queue(d, service, now_ms, out);
	}
}
