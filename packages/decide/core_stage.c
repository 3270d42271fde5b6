/* A request's way through its stages: results, retries and what a stream's first byte decides. */
#include "core_int.h"

#include "decide/eject.h"

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
	quantile_add(&service->latencies, latency_us);
}

/* True for a failure that leaves the upstream at work, as far as this node can know. */
static bool may_run_on(int code)
{
	return code == ERR_UPSTREAM_TIMEOUT || code == ERR_STREAM_CUT || code == ERR_IO;
}

/* What an end says of the upstream: nothing when this node or its caller gave the attempt up. */
static void book_result(struct core_state *d, const struct core_inflight *flight,
			const struct core_ev_attempt *ev, int64_t now_ms)
{
	struct bb_upstream *up = bb_upstream(&d->bb, flight->upstream);
	bool healthy = ev->code == ERR_NONE;
	const struct slt_end end = {.healthy = healthy, .latency_us = ev->latency_us};

	if (flight->upstream == CORE_HANDED_OFF) {
		flight->service->handed_off--;
		return;
	}
	bb_count_attempt(up, flight->service, flight->rank, -1);
	if (ev->sent && may_run_on(ev->code))
		slt_doubt(&d->bb, up, now_ms);
	if (!healthy && (flight->cancelled || flight->withheld || ev->code == ERR_OVERLOADED ||
			 ev->code == ERR_NO_RESUME))
		return;
	d->policy.slots->ended(&d->bb, up, &end, now_ms);
	if (healthy && !flight->resumed)
		book_latency(up, flight->service, ev->latency_us, now_ms);
	/* a refusal tells of load, and an ejection would only move that to the others */
	if (ev->code != ERR_UPSTREAM_REFUSED)
		eject_record_result(&d->bb, up, healthy, now_ms);
}

/* Takes an attempt out of the outstanding ones; false when it was not among them. */
static bool end_flight(struct core_state *d, const struct core_ev_attempt *ev,
		       struct core_inflight *ended)
{
	struct core_inflight *flight = core_find_inflight(d, ev->req, ev->stage, ev->attempt);

	if (!flight)
		return false;
	*ended = *flight;
	g_hash_table_remove(d->inflight_attempts, flight);
	return true;
}

/* The request's attempt when its result still matters, else NULL. */
static struct req_attempt *find_attempt(struct req *req, const struct core_ev_attempt *ev)
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
	if (!body || g_bytes_get_size(body) > TICKET_CHECKPOINT_BYTES_MAX)
		return;
	req->held = g_bytes_ref(body);
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
	hold_result(req, ev->body);
	req->ran = true;
	req->stage++;
	req->n_attempts = 0;
	req->hedge_at_ms = BB_NEVER;
	req->body_bytes = ev->bytes;
	core_start_stage(d, req, now_ms, out);
}

/*
 * A stage may run again when it is idempotent or the failed attempt was never sent. Of a stream
 * that is open the next attempt makes what is missing.
 */
static bool may_run_again(const struct req *req, const struct core_ev_attempt *ev)
{
	return req->stages[req->stage].idempotent || !ev->sent;
}

/* A hand-over that another node refused put no load on any upstream: it costs no budget. */
static bool is_free(const struct req *req, const struct core_ev_attempt *ev)
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
	if (outstanding(req) > 0)
		return;
	if (may_run_again(req, ev) && now_ms < req->deadline_at_ms &&
	    req->n_attempts < REQ_ATTEMPTS_MAX &&
	    (is_free(req, ev) || d->policy.retry->spend_retry(&d->bb, budget))) {
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

static void push_drop(const struct core_ev_attempt *ev, struct core_out *out)
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
	core_run_queue(d, flight.service, now_ms, out);
}
