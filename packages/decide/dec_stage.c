/* A request's way through its stages: results, retries and what a stream's first byte decides. */
#include "dec_int.h"

#include "decide/ejc.h"

#define MEAN_SHIFT 3 /* moving means weigh a new value by 1/8 */

static int64_t moving_mean(int64_t mean, int64_t value)
{
	return mean == 0 ? value : mean + ((value - mean) >> MEAN_SHIFT);
}

static void book_latency(struct bb_upstream *up, struct bb_service *service, int64_t latency_us,
			 int64_t now_ms)
{
	up->completions++;
	up->latency_at_ms = now_ms;
	up->latency_us = moving_mean(up->latency_us, latency_us);
	service->latency_us = moving_mean(service->latency_us, latency_us);
	qnt_add(&service->latencies, latency_us);
}

/* True for a failure that leaves the upstream at work, as far as this node can know. */
static bool may_run_on(int code)
{
	return code == ERR_UPSTREAM_TIMEOUT || code == ERR_STREAM_CUT || code == ERR_IO;
}

/* What an end says of the upstream: nothing when this node or its caller gave the attempt up. */
static void book_result(struct dec *d, const struct dec_flight *flight,
			const struct dec_ev_attempt *ev, int64_t now_ms)
{
	struct bb_upstream *up = bb_upstream(&d->bb, flight->upstream);
	bool healthy = ev->code == ERR_NONE;
	const struct slot_outcome end = {.healthy = healthy, .latency_us = ev->latency_us};

	if (flight->upstream == DEC_HANDED) {
		flight->service->handed--;
		return;
	}
	bb_count(up, flight->service, flight->rank, -1);
	if (ev->sent && may_run_on(ev->code))
		slot_mark_unresolved(&d->bb, up, now_ms);
	if (!healthy && (flight->cancelled || flight->withheld || ev->code == ERR_OVERLOADED ||
			 ev->code == ERR_NO_RESUME))
		return;
	d->policy.slots->ended(&d->bb, up, &end, now_ms);
	if (healthy && !flight->resumed)
		book_latency(up, flight->service, ev->latency_us, now_ms);
	/* a refusal tells of load, and an ejection would only move that to the others */
	if (ev->code != ERR_UPSTREAM_REFUSED)
		ejc_note(&d->bb, up, healthy, now_ms);
}

/* Takes an attempt out of the outstanding ones; false when it was not among them. */
static bool end_flight(struct dec *d, const struct dec_ev_attempt *ev, struct dec_flight *ended)
{
	struct dec_flight *flight = dec_find_flight(d, ev->req, ev->stage, ev->attempt);

	if (!flight)
		return false;
	*ended = *flight;
	g_hash_table_remove(d->flights, flight);
	return true;
}

/* The request's attempt when its result still matters, else NULL. */
static struct req_attempt *find_attempt(struct req *req, const struct dec_ev_attempt *ev)
{
	struct req_attempt *attempt;

	if (!req || ev->stage != req->stage || ev->attempt >= req->n_attempts)
		return NULL;
	attempt = &req->attempts[ev->attempt];
	return attempt->state == REQ_ATTEMPT_SENT ? attempt : NULL;
}

static uint32_t outstanding(const struct req *req)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < req->n_attempts; i++)
		n += req->attempts[i].state == REQ_ATTEMPT_SENT;
	return n;
}

/* What can't be run again is kept, so that the stages after it can be. */
static void hold_result(struct req *req, GBytes *body)
{
	if (req->stages[req->stage].idempotent)
		return;
	if (req->held)
		g_bytes_unref(req->held);
	req->held = NULL;
	if (!body || g_bytes_get_size(body) > TKT_HELD_BYTES_MAX)
		return;
	req->held = g_bytes_ref(body);
	req->held_stage = req->stage + 1;
}

static void accept_result(struct dec *d, struct req *req, const struct dec_ev_attempt *ev,
			  int64_t now_ms, struct dec_out *out)
{
	struct dec_cmd *cmd = dec_push(out, DEC_CMD_ACCEPT, req->id);

	cmd->stage = ev->stage;
	cmd->attempt = ev->attempt;
	dec_cancel_attempts(d, req, REQ_ATTEMPTS_MAX, now_ms, out);
	if (req->stage + 1 == req->n_stages) {
		dec_finish(d, req, ev->body, out);
		return;
	}
	hold_result(req, ev->body);
	req->ran = true;
	req->stage++;
	req->n_attempts = 0;
	req->hedge_at_ms = BB_NEVER;
	req->body_bytes = ev->bytes;
	dec_start_stage(d, req, now_ms, out);
}

/*
 * A stage may run again when it is idempotent or the failed attempt was never sent. Of a stream
 * that is open the next attempt makes what is missing.
 */
static bool may_run_again(const struct req *req, const struct dec_ev_attempt *ev)
{
	return req->stages[req->stage].idempotent || !ev->sent;
}

/* A hand-over that another node refused put no load on any upstream: it costs no budget. */
static bool is_free(const struct req *req, const struct dec_ev_attempt *ev)
{
	return !ev->sent && req->attempts[ev->attempt].upstream == DEC_HANDED;
}

static void handle_failure(struct dec *d, struct req *req, const struct dec_ev_attempt *ev,
			   int64_t now_ms, struct dec_out *out)
{
	struct rty_budget *budget = &req->stages[req->stage].service->budget;

	req->last_code = ev->code;
	if (req->stream_open)
		req->passed_bytes += ev->bytes;
	if (outstanding(req) > 0)
		return;
	if (may_run_again(req, ev) && now_ms < req->deadline_at_ms &&
	    req->n_attempts < REQ_ATTEMPTS_MAX &&
	    (is_free(req, ev) || d->policy.retry->may_retry(&d->bb, budget))) {
		dec_start_stage(d, req, now_ms, out);
		return;
	}
	dec_refuse(d, req, now_ms < req->deadline_at_ms ? ev->code : ERR_DEADLINE_EXPIRED,
		   adm_retry_after_ms(&d->bb, req), now_ms, out);
}

void dec_handle_first_byte(struct dec *d, int64_t now_ms, const struct dec_ev_attempt *ev,
			   struct dec_out *out)
{
	struct req *req = g_hash_table_lookup(d->reqs, &ev->req);

	if (!find_attempt(req, ev) || req->stream_open || !req->stages[req->stage].stream)
		return;
	req->stream_open = true;
	req->hedge_at_ms = BB_NEVER;
	struct dec_cmd *cmd = dec_push(out, DEC_CMD_STREAM, req->id);
	cmd->stage = ev->stage;
	cmd->attempt = ev->attempt;
	dec_cancel_attempts(d, req, ev->attempt, now_ms, out);
	dec_plan_wake(d, req, now_ms);
}

static void push_drop(const struct dec_ev_attempt *ev, struct dec_out *out)
{
	struct dec_cmd *cmd = dec_push(out, DEC_CMD_DROP, ev->req);

	cmd->stage = ev->stage;
	cmd->attempt = ev->attempt;
}

void dec_handle_result(struct dec *d, int64_t now_ms, const struct dec_ev_attempt *ev,
		       struct dec_out *out)
{
	struct req *req = g_hash_table_lookup(d->reqs, &ev->req);
	struct dec_flight flight;
	struct req_attempt *attempt;

	if (!end_flight(d, ev, &flight)) {
		push_drop(ev, out);
		return;
	}
	book_result(d, &flight, ev, now_ms);
	attempt = find_attempt(req, ev);
	if (attempt) {
		attempt->state = REQ_ATTEMPT_ENDED;
		attempt->may_have_run = ev->sent;
	}
	if (!attempt)
		push_drop(ev, out);
	else if (ev->code == ERR_NONE)
		accept_result(d, req, ev, now_ms, out);
	else
		handle_failure(d, req, ev, now_ms, out);
	dec_run_queue(d, flight.service, now_ms, out);
}
