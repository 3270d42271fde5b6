/*
 * Requests that wait for a permit of a limited upstream. The wait is a trip to the limit's owner;
 * without a reply the request goes elsewhere.
 */
#include "srv_gate.h"
#include "srv_req_int.h"

#include "base/clock.h"

#include <string.h>

/* Longest wait for a limited upstream of a request on which work has been done. */
#define HOLD_MAX_MS 1000

static uint32_t count_waiting(const struct srv *s, const char *id)
{
	uint32_t n = 0;

	for (const GList *at = s->permit_waiters.head; at; at = at->next)
		n += strcmp(((const struct srv_req *)at->data)->permit_for, id) == 0;
	return n;
}

void srv_permit_wait(struct srv_req *r, struct srv_upstream *u, int64_t now_ms)
{
	struct srv *s = r->s;
	struct gate_run run = srv_gate_run_of(s, u->id);
	struct gate_verdict verdict;

	srv_permit_stop_waiting(r);
	r->permit_for = g_strdup(u->id);
	g_queue_push_tail(&s->permit_waiters, r);
	gate_check(s->gate, run, srv_req_is_urgent(r), now_ms, &verdict);
	if (verdict.state == GATE_UNPERMITTED)
		srv_gate_ask(s, run, count_waiting(s, u->id), srv_req_is_urgent(r));
	r->send_at_ms = now_ms + GATE_ASK_TIMEOUT_MS;
	srv_req_arm_timer(r);
}

void srv_permit_stop_waiting(struct srv_req *r)
{
	r->send_at_ms = INT64_MAX;
	if (!r->permit_for)
		return;
	g_queue_remove(&r->s->permit_waiters, r);
	g_clear_pointer(&r->permit_for, g_free);
}

void srv_permit_wake(struct srv *s, const char *id)
{
	GPtrArray *woken = g_ptr_array_new();

	for (const GList *at = s->permit_waiters.head; at; at = at->next) {
		struct srv_req *r = at->data;
		if (strcmp(r->permit_for, id) == 0)
			g_ptr_array_add(woken, r);
	}
	for (guint i = 0; i < woken->len; i++) {
		struct srv_req *r = g_ptr_array_index(woken, i);
		srv_permit_stop_waiting(r);
		srv_req_send(r); /* may free the request */
	}
	g_ptr_array_unref(woken);
}

bool srv_permit_is_needed(const struct srv_req *r, const struct srv_upstream *u, int64_t now_ms)
{
	struct gate_verdict verdict;

	gate_check(r->s->gate, srv_gate_run_of(r->s, u->id), srv_req_is_urgent(r), now_ms,
		   &verdict);
	return verdict.state != GATE_OPEN;
}

bool srv_permit_wait_until_open(struct srv_req *r, int64_t now_ms)
{
	bool has_begun = r->handles || r->response_started;

	if (!has_begun || !srv_req_is_held_back(r))
		return false;
	if (r->held_ms == 0)
		r->held_ms = now_ms;
	r->send_at_ms = MAX(r->pick.open_at_ms, now_ms + GATE_HOLD_MIN_MS);
	if (r->send_at_ms > MIN(r->held_ms + HOLD_MAX_MS, r->end_at_ms - SEND_TIME_MIN_MS)) {
		r->send_at_ms = INT64_MAX;
		return false;
	}
	srv_req_arm_timer(r);
	return true;
}
