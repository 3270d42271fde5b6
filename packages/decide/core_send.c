/* Attempts: sending, the final check before the bytes are sent, and cancelling. */
#include "core_int.h"

#include "decide/eligible.h"

#include <string.h>

#define SLOW_PCT 95 /* an attempt cancelled after this latency percentile counts as a failure */
#define US_PER_MS 1000

guint core_inflight_hash(gconstpointer key)
{
	const struct core_inflight *flight = key;

	return g_int64_hash(&flight->req) * 31 + flight->stage * REQ_ATTEMPTS_MAX + flight->attempt;
}

gboolean core_inflight_equal(gconstpointer a, gconstpointer b)
{
	const struct core_inflight *x = a;
	const struct core_inflight *y = b;

	return x->req == y->req && x->stage == y->stage && x->attempt == y->attempt;
}

struct core_inflight *core_find_inflight(const struct core_state *d, uint64_t req, uint32_t stage,
					 uint32_t attempt)
{
	const struct core_inflight key = {.req = req, .stage = stage, .attempt = attempt};

	return g_hash_table_lookup(d->inflight_attempts, &key);
}

static void fill_request(const struct req *req, int64_t now_ms, struct route_request *request)
{
	memset(request, 0, sizeof(*request));
	request->service = req->stages[req->stage].service;
	request->left_ms = req->deadline_at_ms - now_ms;
	request->body_bytes = req->body_bytes;
	request->prefix_hash = req->prefix_hash;
	for (uint32_t i = 0; i < req->n_attempts && request->n_tried < ROUTE_TRIED_MAX; i++)
		request->tried[request->n_tried++] = req->attempts[i].upstream;
}

bool core_keeps_body(const struct req *req)
{
	return req->has_ticket &&
	       (req->stage + 1 == req->n_stages || !req->stages[req->stage].idempotent);
}

static void push_send(const struct bb *bb, struct req *req, const struct bb_upstream *up,
		      int64_t now_ms, struct core_out *out)
{
	const struct req_stage *stage = &req->stages[req->stage];
	struct core_cmd *cmd = core_push(out, CORE_CMD_SEND, req->id);

	cmd->stage = req->stage;
	cmd->attempt = req->n_attempts - 1;
	cmd->upstream = up->id;
	g_strlcpy(cmd->address, up->address, sizeof(cmd->address));
	g_strlcpy(cmd->service, stage->service->name, sizeof(cmd->service));
	g_strlcpy(cmd->call, stage->call, sizeof(cmd->call));
	cmd->cross_region = strcmp(bb_region(bb, bb->self_dc), bb_upstream_region(bb, up)) != 0;
	cmd->idempotent = stage->idempotent;
	/* with a ticket, the answer is not streamed but stored as a whole for repeats */
	cmd->stream = stage->stream && !req->has_ticket;
	cmd->resume = req->stream_open;
	cmd->offset = req->relayed_bytes;
	cmd->hedge = req->attempts[req->n_attempts - 1].hedge;
	cmd->keep_body = core_keeps_body(req);
	cmd->rank = req->rank;
	cmd->timeout_ms = req->deadline_at_ms - now_ms;
}

static void add_inflight(struct core_state *d, const struct req *req, const struct bb_upstream *up,
			 int64_t now_ms)
{
	const struct core_inflight flight = {
		.req = req->id,
		.stage = req->stage,
		.attempt = req->n_attempts - 1,
		.upstream = up->id,
		.service = req->stages[req->stage].service,
		.rank_index = bb_rank_index(req->rank),
		.sent_at_ms = now_ms,
		.resumed = req->stream_open,
	};

	g_hash_table_add(d->inflight_attempts, g_memdup2(&flight, sizeof(flight)));
}

static struct bb_upstream *pick(struct core_state *d, const struct req *req, bool hedge,
				int64_t now_ms)
{
	struct bb_upstream *up;
	struct route_request request;

	fill_request(req, now_ms, &request);
	up = d->policy.route->pick(&d->bb, d->policy.slots, &request, now_ms);
	if (up || hedge || request.n_tried == 0)
		return up;
	/* allow upstreams that were tried, or the retry would block the queue behind it */
	request.n_tried = 0;
	return d->policy.route->pick(&d->bb, d->policy.slots, &request, now_ms);
}

/* True when the first queued request has the same or a better rank, so that a hedge has to wait. */
static bool must_yield(const struct bb_service *service, const struct req *req)
{
	const struct req *first;

	if (g_sequence_get_length(service->waiting) == 0)
		return false;
	first = g_sequence_get(g_sequence_get_begin_iter(service->waiting));
	return first->rank <= req->rank;
}

bool core_send_attempt(struct core_state *d, struct req *req, bool hedge, int64_t now_ms,
		       struct core_out *out)
{
	struct bb_service *service = req->stages[req->stage].service;
	struct bb_upstream *up;

	if (req->n_attempts == REQ_ATTEMPTS_MAX || (hedge && must_yield(service, req)) ||
	    !d->policy.admit->may_start(&d->bb, req))
		return false;
	up = pick(d, req, hedge, now_ms);
	if (!up)
		return false;
	req->attempts[req->n_attempts++] = (struct req_attempt){
		.state = REQ_ATTEMPT_SENT,
		.upstream = up->id,
		.sent_at_ms = now_ms,
		.hedge = hedge,
	};
	add_inflight(d, req, up, now_ms);
	bb_count_attempt(up, service, bb_rank_index(req->rank), 1);
	up->sent_since_report++;
	push_send(&d->bb, req, up, now_ms, out);
	return true;
}

bool core_may_send(struct core_state *d, int64_t now_ms, uint64_t id, uint32_t stage,
		   uint32_t attempt)
{
	struct req *req = g_hash_table_lookup(d->reqs, &id);
	struct core_inflight *flight = core_find_inflight(d, id, stage, attempt);
	const struct bb_upstream *up;

	if (flight)
		flight->withheld = true;
	if (!flight || !req || req->stage != stage || attempt >= req->n_attempts ||
	    req->attempts[attempt].state != REQ_ATTEMPT_SENT || now_ms >= req->deadline_at_ms)
		return false;
	if (flight->upstream == CORE_HANDED_OFF) {
		/* the other node checks its own upstream */
		flight->withheld = false;
		req->attempts[attempt].may_have_run = true;
		return true;
	}
	/* a slot may have been lost since the upstream was selected */
	up = bb_upstream(&d->bb, flight->upstream);
	if (eligible_check(&d->bb, up, now_ms) != ELIGIBLE_OK ||
	    up->in_flight > d->policy.slots->limit(&d->bb, up, now_ms))
		return false;
	flight->withheld = false;
	req->attempts[attempt].may_have_run = true;
	return true;
}

/* True for an attempt that is so slow that it counts as a failure even when it is cancelled. */
static bool is_slow(const struct core_inflight *flight, int64_t now_ms)
{
	int64_t slow_us = quantile_get(&flight->service->latencies, SLOW_PCT);

	return slow_us > 0 && (now_ms - flight->sent_at_ms) * US_PER_MS > slow_us;
}

void core_cancel_attempts(struct core_state *d, struct req *req, uint32_t keep, int64_t now_ms,
			  struct core_out *out)
{
	for (uint32_t i = 0; i < req->n_attempts; i++) {
		struct req_attempt *attempt = &req->attempts[i];
		struct core_inflight *flight;

		if (i == keep || attempt->state != REQ_ATTEMPT_SENT)
			continue;
		attempt->state = REQ_ATTEMPT_ENDED;
		flight = core_find_inflight(d, req->id, req->stage, i);
		flight->cancelled = !is_slow(flight, now_ms);
		if (flight->upstream == CORE_HANDED_OFF)
			continue; /* not cancelled: the other node ends it at its deadline */
		struct core_cmd *cmd = core_push(out, CORE_CMD_CANCEL, req->id);
		cmd->stage = req->stage;
		cmd->attempt = i;
		cmd->upstream = attempt->upstream;
		g_strlcpy(cmd->address, bb_upstream(&d->bb, attempt->upstream)->address,
			  sizeof(cmd->address));
	}
}
