/* Progress of a request through its stages: first bytes, results and retries. */
#include "core_int.h"

#include "decide/eject.h"

#define EWMA_SHIFT 3 /* a new value has a weight of 1/8 */

static int64_t ewma(int64_t mean, int64_t value)
{
	return mean == 0 ? value : mean + ((value - mean) >> EWMA_SHIFT);
}

static void record_latency(struct bb_upstream *up, struct bb_service *service, int64_t latency_us,
			   int64_t now_ms)
{
	up->completions++;
	up->latency_at_ms = now_ms;
	up->latency_us = ewma(up->latency_us, latency_us);
	service->latency_us = ewma(service->latency_us, latency_us);
	quantile_add(&service->latencies, latency_us);
}

/* True for a failure after which the upstream may still be running the attempt. */
static bool may_still_run(int code)
{
	return code == ERR_UPSTREAM_TIMEOUT || code == ERR_STREAM_CUT || code == ERR_IO;
}

/*
 * Updates the upstream after an attempt. A failure does not count against the upstream when the
 * attempt was cancelled early, was never sent, or ended with ERR_OVERLOADED or ERR_NO_RESUME.
 */
static void record_result(struct core_state *d, const struct core_inflight *flight,
			  const struct core_ev_attempt *ev, int64_t now_ms)
{
	struct bb_upstream *up = bb_upstream(&d->bb, flight->upstream);
	bool healthy = ev->code == ERR_NONE;
	const struct slot_outcome end = {.healthy = healthy, .latency_us = ev->latency_us};

	if (flight->upstream == CORE_HANDED_OFF) {
		flight->service->handed_off--;
		return;
	}
	bb_count_attempt(up, flight->service, flight->rank_index, -1);
	if (ev->sent && may_still_run(ev->code))
		slot_mark_unresolved(&d->bb, up, now_ms);
	if (!healthy && (flight->cancelled || flight->withheld || ev->code == ERR_OVERLOADED ||
			 ev->code == ERR_NO_RESUME))
		return;
	d->policy.slots->ended(&d->bb, up, &end, now_ms);
	if (healthy && !flight->resumed)
		record_latency(up, flight->service, ev->latency_us, now_ms);
	/* a refusal means overload; ejection would only move the load to the other upstreams */
	if (ev->code != ERR_UPSTREAM_REFUSED)
		eject_record_result(&d->bb, up, healthy, now_ms);
}

/* Moves an attempt in flight to *ended; false when it is not in flight. */
static bool end_inflight(struct core_state *d, const struct core_ev_attempt *ev,
			 struct core_inflight *ended)
{
	struct core_inflight *flight = core_find_inflight(d, ev->req, ev->stage, ev->attempt);

	if (!flight)
		return false;
	*ended = *flight;
	g_hash_table_remove(d->inflight_attempts, flight);
	return true;
}

/* Returns the attempt if its result is still needed, otherwise NULL. */
static struct req_attempt *find_attempt(struct req *req, const struct core_ev_attempt *ev)
{
	struct req_attempt *attempt;

	if (!req || ev->stage != req->stage || ev->attempt >= req->n_attempts)
		return NULL;
	attempt = &req->attempts[ev->attempt];
	return attempt->state == REQ_ATTEMPT_SENT ? attempt : NULL;
}

static uint32_t count_outstanding(const struct req *req)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < req->n_attempts; i++)
		n += req->attempts[i].state == REQ_ATTEMPT_SENT;
	return n;
}

/* Keeps the result of a non-idempotent stage, so that a repeat can run only the later stages. */
static void save_checkpoint(struct req *req, GBytes *body)
{
	if (req->stages[req->stage].idempotent)
		return;
	if (req->checkpoint)
		g_bytes_unref(req->checkpoint);
	req->checkpoint = NULL;
	if (!body || g_bytes_get_size(body) > TICKET_CHECKPOINT_BYTES_MAX)
		return;
	req->checkpoint = g_bytes_ref(body);
	req->checkpoint_stage = req->stage + 1;
}

static void accept_result(struct core_state *d, struct req *req, const struct core_ev_attempt *ev,
			  int64_t now_ms, struct core_out *out)
{
	struct core_cmd *cmd = core_push(out, CORE_CMD_ACCEPT, req->id);

	cmd->stage = ev->stage;
	cmd->attempt = ev->attempt;
	core_cancel_attempts(d, req, REQ_ATTEMPTS_MAX, now_ms, out);
	if (req->stage + 1 == req->n_stages) {
		core_finish(d, req, ev->body, out);
		return;
	}
	save_checkpoint(req, ev->body);
	req->ran = true;
	req->stage++;
	req->n_attempts = 0;
	req->hedge_at_ms = BB_NEVER;
	req->body_bytes = ev->bytes;
	core_start_stage(d, req, now_ms, out);
}

/*
 * A stage may run again when it is idempotent or the failed attempt was never sent. If its stream
 * is open, the next attempt continues it after the bytes already relayed.
 */
static bool may_run_again(const struct req *req, const struct core_ev_attempt *ev)
{
	return req->stages[req->stage].idempotent || !ev->sent;
}

/* True for a handoff that was refused: it put no load on any upstream, so its retry is free. */
static bool costs_no_budget(const struct req *req, const struct core_ev_attempt *ev)
{
	return !ev->sent && req->attempts[ev->attempt].upstream == CORE_HANDED_OFF;
}

static void handle_failure(struct core_state *d, struct req *req, const struct core_ev_attempt *ev,
			   int64_t now_ms, struct core_out *out)
{
	struct retry_budget *budget = &req->stages[req->stage].service->budget;

	req->last_code = ev->code;
	if (req->stream_open)
		req->relayed_bytes += ev->bytes;
	if (count_outstanding(req) > 0)
		return;
	if (may_run_again(req, ev) && now_ms < req->deadline_at_ms &&
	    req->n_attempts < REQ_ATTEMPTS_MAX &&
	    (costs_no_budget(req, ev) || d->policy.retry->spend_retry(&d->bb, budget))) {
		core_start_stage(d, req, now_ms, out);
		return;
	}
	core_refuse(d, req, now_ms < req->deadline_at_ms ? ev->code : ERR_DEADLINE_EXPIRED,
		    admit_retry_after_ms(&d->bb, req), now_ms, out);
}

void core_handle_first_byte(struct core_state *d, int64_t now_ms, const struct core_ev_attempt *ev,
			    struct core_out *out)
{
	struct req *req = g_hash_table_lookup(d->reqs, &ev->req);

	if (!find_attempt(req, ev) || req->stream_open || !req->stages[req->stage].stream)
		return;
	req->stream_open = true;
	req->hedge_at_ms = BB_NEVER;
	struct core_cmd *cmd = core_push(out, CORE_CMD_STREAM, req->id);
	cmd->stage = ev->stage;
	cmd->attempt = ev->attempt;
	core_cancel_attempts(d, req, ev->attempt, now_ms, out);
	core_schedule_wake(d, req, now_ms);
}

static void push_discard(const struct core_ev_attempt *ev, struct core_out *out)
{
	struct core_cmd *cmd = core_push(out, CORE_CMD_DISCARD, ev->req);

	cmd->stage = ev->stage;
	cmd->attempt = ev->attempt;
}

void core_handle_result(struct core_state *d, int64_t now_ms, const struct core_ev_attempt *ev,
			struct core_out *out)
{
	struct req *req = g_hash_table_lookup(d->reqs, &ev->req);
	struct core_inflight flight;
	struct req_attempt *attempt;

	if (!end_inflight(d, ev, &flight)) {
		push_discard(ev, out);
		return;
	}
	record_result(d, &flight, ev, now_ms);
	attempt = find_attempt(req, ev);
	if (attempt) {
		attempt->state = REQ_ATTEMPT_ENDED;
		attempt->may_have_run = ev->sent;
	}
	if (!attempt)
		push_discard(ev, out);
	else if (ev->code == ERR_NONE)
		accept_result(d, req, ev, now_ms, out);
	else
		handle_failure(d, req, ev, now_ms, out);
	core_run_queue(d, flight.service, now_ms, out);
}
