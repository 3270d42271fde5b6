/*
 * Queues. Each service has a queue of the requests that wait for an upstream, in the order of the
 * policy. The wake queue holds each request exactly once, in the order of their next checks.
 */
#include "core_int.h"

#include "decide/eligible.h"

#define PEAK_HALF_LIFE_MS 2000
#define HEDGE_TOKENS_RESERVED 5.0 /* hedge tokens that only rank 0 may spend */
#define REFRESH_PER_TICK 32	  /* number of upstreams per service whose limit a tick updates */

static gint compare_waiting(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct core_state *d = data;
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

void core_schedule_wake(struct core_state *d, struct req *req, int64_t now_ms)
{
	int64_t at_ms = d->policy.admit->expires_at_ms(req);

	if (!req->waiting && req->hedge_at_ms != BB_NEVER)
		at_ms = MIN(at_ms, req->hedge_at_ms);
	req->wake_at_ms = MIN(MAX(at_ms, now_ms + 1), MAX(req->deadline_at_ms, now_ms + 1));
	if (req->wake)
		g_sequence_sort_changed(req->wake, compare_wake, NULL);
	else
		req->wake = g_sequence_insert_sorted(d->wake_queue, req, compare_wake, NULL);
}

static void enqueue(struct core_state *d, struct req *req, int64_t now_ms)
{
	struct bb_service *service = req->stages[req->stage].service;

	req->hedge_at_ms = BB_NEVER;
	req->waiting = g_sequence_insert_sorted(service->waiting, req, compare_waiting, d);
	core_schedule_wake(d, req, now_ms);
}

static void dequeue(struct req *req)
{
	if (req->waiting)
		g_sequence_remove(req->waiting);
	req->waiting = NULL;
}

static bool try_send(struct core_state *d, struct req *req, int64_t now_ms, struct core_out *out)
{
	const struct req_stage *stage = &req->stages[req->stage];
	int64_t wait_ms;

	if (!core_send_attempt(d, req, false, now_ms, out) && !core_hand_off(d, req, now_ms, out))
		return false;
	dequeue(req);
	if (req->n_attempts == 1)
		d->policy.retry->on_first_attempt(&d->bb, &stage->service->budget);
	wait_ms = d->policy.retry->hedge_after_ms(&d->bb, req, now_ms);
	req->hedge_at_ms = stage->idempotent && !req->stream_open && wait_ms >= 0 ? now_ms + wait_ms
										  : BB_NEVER;
	core_schedule_wake(d, req, now_ms);
	return true;
}

void core_start_stage(struct core_state *d, struct req *req, int64_t now_ms, struct core_out *out)
{
	struct bb_service *service = req->stages[req->stage].service;

	/* requests that are already queued are sent first */
	if (g_sequence_get_length(service->waiting) == 0 && try_send(d, req, now_ms, out))
		return;
	if (req->handed_off && service->capacity == 0) {
		/* the node that handed the stage off can try other slot holders */
		core_refuse(d, req, ERR_NO_UPSTREAM, admit_retry_after_ms(&d->bb, req), now_ms,
			    out);
		return;
	}
	enqueue(d, req, now_ms);
	core_run_queue(d, service, now_ms, out);
}

void core_run_queue(struct core_state *d, struct bb_service *service, int64_t now_ms,
		    struct core_out *out)
{
	while (g_sequence_get_length(service->waiting) > 0) {
		struct req *req = g_sequence_get(g_sequence_get_begin_iter(service->waiting));
		struct admit_verdict verdict = d->policy.admit->wait(&d->bb, req, now_ms);

		if (verdict.code != ERR_NONE)
			core_refuse(d, req, verdict.code, verdict.retry_after_ms, now_ms, out);
		else if (!try_send(d, req, now_ms, out))
			return;
	}
}

void core_sort_queues(struct core_state *d)
{
	for (uint32_t i = 0; i < d->bb.services->len; i++) {
		struct bb_service *service = g_ptr_array_index(d->bb.services, i);
		g_sequence_sort(service->waiting, compare_waiting, d);
	}
}

bool core_shed(struct core_state *d, const struct req *req, int64_t now_ms, struct core_out *out)
{
	struct req *victim = NULL;

	for (uint32_t i = 0; i < d->bb.services->len; i++) {
		const struct bb_service *service = g_ptr_array_index(d->bb.services, i);
		GSequenceIter *end = g_sequence_get_end_iter(service->waiting);

		if (g_sequence_iter_is_begin(end))
			continue;
		struct req *tail = g_sequence_get(g_sequence_iter_prev(end));
		if (tail->rank > req->rank && (!victim || tail->rank > victim->rank))
			victim = tail;
	}
	if (!victim)
		return false;
	core_refuse(d, victim, ERR_OVERLOADED, admit_retry_after_ms(&d->bb, victim), now_ms, out);
	return true;
}

/* Sends a hedge. Ranks other than 0 leave the last HEDGE_TOKENS_RESERVED tokens unspent. */
static void hedge(struct core_state *d, struct req *req, int64_t now_ms, struct core_out *out)
{
	struct retry_budget *budget = &req->stages[req->stage].service->budget;
	double reserved = req->rank > 0 ? HEDGE_TOKENS_RESERVED : 0;

	req->hedge_at_ms = BB_NEVER;
	if (budget->hedge_tokens >= 1.0 + reserved && core_send_attempt(d, req, true, now_ms, out))
		d->policy.retry->spend_hedge(&d->bb, budget);
}

static void wake(struct core_state *d, struct req *req, int64_t now_ms, struct core_out *out)
{
	bool hedge_due = req->hedge_at_ms != BB_NEVER && now_ms >= req->hedge_at_ms;
	struct admit_verdict verdict = req->waiting ? d->policy.admit->wait(&d->bb, req, now_ms)
						    : d->policy.admit->run(&d->bb, req, now_ms);

	if (verdict.code != ERR_NONE) {
		core_refuse(d, req, verdict.code, verdict.retry_after_ms, now_ms, out);
		return;
	}
	if (hedge_due && !req->waiting)
		hedge(d, req, now_ms, out);
	core_schedule_wake(d, req, now_ms);
}

/* Halves peaks over PEAK_HALF_LIFE_MS; linearly, as the intervals between ticks are short. */
static void decay_peaks(struct bb_service *service, int64_t elapsed_ms)
{
	double factor = 1.0 - (double)MIN(elapsed_ms, PEAK_HALF_LIFE_MS) / 2 / PEAK_HALF_LIFE_MS;

	for (uint32_t i = 0; i < BB_RANKS; i++) {
		struct bb_rank_use *use = &service->uses[i];
		use->peak = MAX(use->peak * factor, use->in_flight);
	}
}

static void refresh_capacity(struct core_state *d, struct bb_service *service, int64_t now_ms)
{
	uint32_t n = MIN(service->upstreams->len, REFRESH_PER_TICK);

	for (uint32_t i = 0; i < n; i++) {
		service->refresh_index = (service->refresh_index + 1) % service->upstreams->len;
		route_limit(&d->bb, d->policy.slots,
			    g_ptr_array_index(service->upstreams, service->refresh_index), now_ms);
	}
}

void core_tick_requests(struct core_state *d, int64_t now_ms, struct core_out *out)
{
	int64_t elapsed_ms = now_ms - d->peaks_decayed_ms;

	d->peaks_decayed_ms = now_ms;
	while (g_sequence_get_length(d->wake_queue) > 0) {
		struct req *req = g_sequence_get(g_sequence_get_begin_iter(d->wake_queue));

		if (req->wake_at_ms > now_ms)
			break;
		wake(d, req, now_ms, out);
	}
	for (uint32_t i = 0; i < d->bb.services->len; i++) {
		struct bb_service *service = g_ptr_array_index(d->bb.services, i);
		decay_peaks(service, elapsed_ms);
		refresh_capacity(d, service, now_ms);
		core_run_queue(d, service, now_ms, out);
	}
}
