/* Attempts: sending, the last question before the bytes leave, and cancelling. */
#include "dec_int.h"

#include "decide/eligible.h"

#include <string.h>

#define SLOW_PCT 95 /* an attempt cancelled later than this quantile counts as a failure */
#define US_PER_MS 1000

guint dec_flight_hash(gconstpointer key)
{
	const struct dec_flight *flight = key;

	return g_int64_hash(&flight->req) * 31 + flight->stage * REQ_ATTEMPTS_MAX + flight->attempt;
}

gboolean dec_flight_equal(gconstpointer a, gconstpointer b)
{
	const struct dec_flight *x = a;
	const struct dec_flight *y = b;

	return x->req == y->req && x->stage == y->stage && x->attempt == y->attempt;
}

struct dec_flight *dec_find_flight(const struct dec *d, uint64_t req, uint32_t stage,
				   uint32_t attempt)
{
	const struct dec_flight key = {.req = req, .stage = stage, .attempt = attempt};

	return g_hash_table_lookup(d->flights, &key);
}

static void fill_ask(const struct req *req, int64_t now_ms, struct rte_ask *ask)
{
	memset(ask, 0, sizeof(*ask));
	ask->service = req->stages[req->stage].service;
	ask->left_ms = req->deadline_at_ms - now_ms;
	ask->body_bytes = req->body_bytes;
	ask->prefix_hash = req->prefix_hash;
	for (uint32_t i = 0; i < req->n_attempts && ask->n_tried < RTE_TRIED_MAX; i++)
		ask->tried[ask->n_tried++] = req->attempts[i].upstream;
}

bool dec_keeps_body(const struct req *req)
{
	return req->has_ticket &&
	       (req->stage + 1 == req->n_stages || !req->stages[req->stage].idempotent);
}

static void push_send(const struct bb *bb, struct req *req, const struct bb_upstream *up,
		      int64_t now_ms, struct dec_out *out)
{
	const struct req_stage *stage = &req->stages[req->stage];
	struct dec_cmd *cmd = dec_push(out, DEC_CMD_SEND, req->id);

	cmd->stage = req->stage;
	cmd->attempt = req->n_attempts - 1;
	cmd->upstream = up->id;
	g_strlcpy(cmd->address, up->address, sizeof(cmd->address));
	g_strlcpy(cmd->service, stage->service->name, sizeof(cmd->service));
	g_strlcpy(cmd->call, stage->call, sizeof(cmd->call));
	cmd->crosses = strcmp(bb_region(bb, bb->self_dc), bb_upstream_region(bb, up)) != 0;
	cmd->idempotent = stage->idempotent;
	/* a ticket's answer is kept whole for repeats */
	cmd->stream = stage->stream && !req->has_ticket;
	cmd->resume = req->stream_open;
	cmd->offset = req->passed_bytes;
	cmd->hedge = req->attempts[req->n_attempts - 1].hedge;
	cmd->keep_body = dec_keeps_body(req);
	cmd->rank = req->rank;
	cmd->timeout_ms = req->deadline_at_ms - now_ms;
}

static void add_flight(struct dec *d, const struct req *req, const struct bb_upstream *up,
		       int64_t now_ms)
{
	const struct dec_flight flight = {
		.req = req->id,
		.stage = req->stage,
		.attempt = req->n_attempts - 1,
		.upstream = up->id,
		.service = req->stages[req->stage].service,
		.rank = bb_rank(req->rank),
		.sent_at_ms = now_ms,
		.resumed = req->stream_open,
	};

	g_hash_table_add(d->flights, g_memdup2(&flight, sizeof(flight)));
}

static struct bb_upstream *pick(struct dec *d, const struct req *req, bool hedge, int64_t now_ms)
{
	struct bb_upstream *up;
	struct rte_ask ask;

	fill_ask(req, now_ms, &ask);
	up = d->policy.route->pick(&d->bb, d->policy.slots, &ask, now_ms);
	if (up || hedge || ask.n_tried == 0)
		return up;
	/* a retry may go where it failed before, or it would block all who wait behind it */
	ask.n_tried = 0;
	return d->policy.route->pick(&d->bb, d->policy.slots, &ask, now_ms);
}

/* A hedge goes before those that wait only when its class does. */
static bool yields(const struct bb_service *service, const struct req *req)
{
	const struct req *first;

	if (g_sequence_get_length(service->waiting) == 0)
		return false;
	first = g_sequence_get(g_sequence_get_begin_iter(service->waiting));
	return first->rank <= req->rank;
}

bool dec_send_attempt(struct dec *d, struct req *req, bool hedge, int64_t now_ms,
		      struct dec_out *out)
{
	struct bb_service *service = req->stages[req->stage].service;
	struct bb_upstream *up;

	if (req->n_attempts == REQ_ATTEMPTS_MAX || (hedge && yields(service, req)) ||
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
	add_flight(d, req, up, now_ms);
	bb_count(up, service, bb_rank(req->rank), 1);
	up->sent_since_report++;
	push_send(&d->bb, req, up, now_ms, out);
	return true;
}

bool dec_may_send(struct dec *d, int64_t now_ms, uint64_t id, uint32_t stage, uint32_t attempt)
{
	struct req *req = g_hash_table_lookup(d->reqs, &id);
	struct dec_flight *flight = dec_find_flight(d, id, stage, attempt);
	const struct bb_upstream *up;

	if (flight)
		flight->withheld = true;
	if (!flight || !req || req->stage != stage || attempt >= req->n_attempts ||
	    req->attempts[attempt].state != REQ_ATTEMPT_SENT || now_ms >= req->deadline_at_ms)
		return false;
	if (flight->upstream == DEC_HANDED) {
		/* the other node asks all else */
		flight->withheld = false;
		req->attempts[attempt].may_have_run = true;
		return true;
	}
	/* a slot may have been lost since the decision */
	up = bb_upstream(&d->bb, flight->upstream);
	if (eligible_check(&d->bb, up, now_ms) != ELIGIBLE_OK ||
	    up->in_flight > d->policy.slots->limit(&d->bb, up, now_ms))
		return false;
	flight->withheld = false;
	req->attempts[attempt].may_have_run = true;
	return true;
}

/* A straggler that was waited for longer than usual keeps its failure. */
static bool is_slow(const struct dec_flight *flight, int64_t now_ms)
{
	int64_t slow_us = qnt_get(&flight->service->latencies, SLOW_PCT);

	return slow_us > 0 && (now_ms - flight->sent_at_ms) * US_PER_MS > slow_us;
}

void dec_cancel_attempts(struct dec *d, struct req *req, uint32_t keep, int64_t now_ms,
			 struct dec_out *out)
{
	for (uint32_t i = 0; i < req->n_attempts; i++) {
		struct req_attempt *attempt = &req->attempts[i];
		struct dec_flight *flight;

		if (i == keep || attempt->state != REQ_ATTEMPT_SENT)
			continue;
		attempt->state = REQ_ATTEMPT_ENDED;
		flight = dec_find_flight(d, req->id, req->stage, i);
		flight->cancelled = !is_slow(flight, now_ms);
		if (flight->upstream == DEC_HANDED)
			continue; /* it ends there by its deadline */
		struct dec_cmd *cmd = dec_push(out, DEC_CMD_CANCEL, req->id);
		cmd->stage = req->stage;
		cmd->attempt = i;
		cmd->upstream = attempt->upstream;
		g_strlcpy(cmd->address, bb_upstream(&d->bb, attempt->upstream)->address,
			  sizeof(cmd->address));
	}
}
