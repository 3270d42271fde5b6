/* A request's way through its stages: attempts, retries, hedges and results. */
#include "dec_int.h"

#include "decide/elg.h"

#include <string.h>

#define MEAN_SHIFT 3 /* moving means weigh a new value by 1/8 */

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

static int64_t moving_mean(int64_t mean, int64_t value)
{
	return mean == 0 ? value : mean + ((value - mean) >> MEAN_SHIFT);
}

static struct req_stage *current_stage(struct req *req)
{
	return &req->stages[req->stage];
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

static void push_send(struct dec *d, struct req *req, const struct bb_upstream *up, int64_t now_ms,
		      struct dec_out *out)
{
	const struct req_stage *stage = current_stage(req);
	struct dec_cmd *cmd = dec_push(out, DEC_CMD_SEND, req->id);

	cmd->stage = req->stage;
	cmd->attempt = req->n_attempts - 1;
	cmd->upstream = up->id;
	g_strlcpy(cmd->address, up->address, sizeof(cmd->address));
	g_strlcpy(cmd->service, stage->service->name, sizeof(cmd->service));
	g_strlcpy(cmd->call, stage->call, sizeof(cmd->call));
	cmd->idempotent = stage->idempotent;
	cmd->stream = stage->stream;
	cmd->rank = req->rank;
	cmd->timeout_ms = req->deadline_at_ms - now_ms;
}

/* Sends one attempt now; false when no upstream may take it. */
static bool send_attempt(struct dec *d, struct req *req, bool hedge, int64_t now_ms,
			 struct dec_out *out)
{
	struct req_stage *stage = current_stage(req);
	struct bb_upstream *up;
	struct rte_ask ask;

	if (req->n_attempts == REQ_ATTEMPTS_MAX)
		return false;
	fill_ask(req, now_ms, &ask);
	up = d->policy.route->pick(&d->bb, d->policy.slots, &ask, now_ms);
	if (!up)
		return false;
	req->attempts[req->n_attempts++] = (struct req_attempt){
		.state = REQ_ATTEMPT_SENT,
		.upstream = up->id,
		.sent_at_ms = now_ms,
		.hedge = hedge,
	};
	const struct dec_flight flight = {
		.req = req->id,
		.stage = req->stage,
		.attempt = req->n_attempts - 1,
		.upstream = up->id,
	};
	g_hash_table_add(d->flights, g_memdup2(&flight, sizeof(flight)));
	up->in_flight++;
	up->sent_since_report++;
	stage->service->in_flight++;
	push_send(d, req, up, now_ms, out);
	return true;
}

static gint compare_waiting(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct dec *d = data;

	return d->policy.admit->compare(a, b);
}

static void enqueue(struct dec *d, struct req *req)
{
	if (!req->waiting)
		req->waiting = g_sequence_insert_sorted(current_stage(req)->service->waiting, req,
							compare_waiting, d);
}

static void dequeue(struct req *req)
{
	if (req->waiting)
		g_sequence_remove(req->waiting);
	req->waiting = NULL;
}

static void plan_hedge(struct dec *d, struct req *req, int64_t now_ms)
{
	struct req_stage *stage = current_stage(req);
	int64_t wait_ms = d->policy.retry->hedge_after_ms(&d->bb, stage->service);

	req->hedge_at_ms = stage->idempotent && wait_ms >= 0 ? now_ms + wait_ms : BB_NEVER;
}

static bool try_first(struct dec *d, struct req *req, int64_t now_ms, struct dec_out *out)
{
	if (!send_attempt(d, req, false, now_ms, out))
		return false;
	if (req->n_attempts == 1)
		d->policy.retry->first(&d->bb, &d->budget);
	plan_hedge(d, req, now_ms);
	return true;
}

void dec_start_stage(struct dec *d, struct req *req, int64_t now_ms, struct dec_out *out)
{
	/* whoever waits already goes first */
	if (g_sequence_get_length(current_stage(req)->service->waiting) == 0 &&
	    try_first(d, req, now_ms, out))
		return;
	enqueue(d, req);
	dec_run_queue(d, current_stage(req)->service, now_ms, out);
}

void dec_run_queue(struct dec *d, struct bb_service *service, int64_t now_ms, struct dec_out *out)
{
	while (g_sequence_get_length(service->waiting) > 0) {
		struct req *req = g_sequence_get(g_sequence_get_begin_iter(service->waiting));
		struct adm_verdict verdict = d->policy.admit->wait(&d->bb, req, now_ms);

		if (verdict.code != ERR_NONE) {
			dec_refuse(d, req, verdict.code, verdict.retry_after_ms, out);
			continue;
		}
		if (!try_first(d, req, now_ms, out))
			return;
		dequeue(req);
	}
}

/* Takes an attempt out of the outstanding ones; NULL when it was not among them. */
static struct bb_upstream *end_flight(struct dec *d, const struct dec_ev_attempt *ev)
{
	const struct dec_flight key = {.req = ev->req, .stage = ev->stage, .attempt = ev->attempt};
	gpointer found;
	struct bb_upstream *up;

	if (!g_hash_table_lookup_extended(d->flights, &key, &found, NULL))
		return NULL;
	up = bb_upstream(&d->bb, ((struct dec_flight *)found)->upstream);
	g_hash_table_remove(d->flights, &key);
	return up;
}

/* The request's attempt when its result still matters, else NULL. */
static struct req_attempt *end_attempt(struct req *req, const struct dec_ev_attempt *ev)
{
	struct req_attempt *attempt;

	if (!req || ev->stage != req->stage || ev->attempt >= req->n_attempts)
		return NULL;
	attempt = &req->attempts[ev->attempt];
	if (attempt->state != REQ_ATTEMPT_SENT)
		return NULL;
	attempt->state = REQ_ATTEMPT_ENDED;
	return attempt;
}

/* True for a failure that leaves the upstream at work, as far as this node can know. */
static bool may_run_on(int code)
{
	return code == ERR_UPSTREAM_TIMEOUT || code == ERR_STREAM_CUT || code == ERR_IO;
}

static void book_result(struct dec *d, struct bb_upstream *up, const struct dec_ev_attempt *ev,
			int64_t now_ms)
{
	bool healthy = ev->code == ERR_NONE;
	const struct slt_end end = {
		.healthy = healthy,
		.may_run_on = ev->sent && may_run_on(ev->code),
		.latency_us = ev->latency_us,
	};

	d->policy.slots->ended(&d->bb, up, &end, now_ms);
	up->in_flight--;
	up->service->in_flight--;
	if (healthy) {
		up->completions++;
		up->failures = 0;
		up->latency_us = moving_mean(up->latency_us, ev->latency_us);
		up->service->latency_us = moving_mean(up->service->latency_us, ev->latency_us);
	} else if (++up->failures >= d->bb.cfg->routing.eject_failures) {
		up->ejected_until_ms = now_ms + d->bb.cfg->routing.eject_ms;
		up->failures = 0;
	}
}

void dec_cancel_attempts(struct dec *d, struct req *req, struct dec_out *out)
{
	for (uint32_t i = 0; i < req->n_attempts; i++) {
		struct req_attempt *attempt = &req->attempts[i];

		if (attempt->state != REQ_ATTEMPT_SENT)
			continue;
		struct dec_cmd *cmd = dec_push(out, DEC_CMD_CANCEL, req->id);
		const struct bb_upstream *up = bb_upstream(&d->bb, attempt->upstream);
		cmd->stage = req->stage;
		cmd->attempt = i;
		cmd->upstream = attempt->upstream;
		g_strlcpy(cmd->address, up->address, sizeof(cmd->address));
	}
}

static uint32_t outstanding(const struct req *req)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < req->n_attempts; i++)
		n += req->attempts[i].state == REQ_ATTEMPT_SENT;
	return n;
}

static void accept_result(struct dec *d, struct req *req, const struct dec_ev_attempt *ev,
			  int64_t now_ms, struct dec_out *out)
{
	struct dec_cmd *cmd = dec_push(out, DEC_CMD_ACCEPT, req->id);

	cmd->stage = ev->stage;
	cmd->attempt = ev->attempt;
	dec_cancel_attempts(d, req, out);
	if (req->stage + 1 == req->n_stages) {
		dec_finish(d, req, ev->body, out);
		return;
	}
	req->stage++;
	req->n_attempts = 0;
	req->hedge_at_ms = BB_NEVER;
	req->body_bytes = ev->bytes;
	dec_start_stage(d, req, now_ms, out);
}

/* A stage may run again when it is idempotent or the failed attempt was never sent. */
static bool may_run_again(const struct req *req, const struct dec_ev_attempt *ev)
{
	return !req->stream_open && (req->stages[req->stage].idempotent || !ev->sent);
}

static void handle_failure(struct dec *d, struct req *req, const struct dec_ev_attempt *ev,
			   int64_t now_ms, struct dec_out *out)
{
	req->last_code = ev->code;
	if (outstanding(req) > 0)
		return;
	if (may_run_again(req, ev) && now_ms < req->deadline_at_ms &&
	    d->policy.retry->may_retry(&d->bb, &d->budget) &&
	    send_attempt(d, req, false, now_ms, out))
		return;
	dec_refuse(d, req, ev->code, 0, out);
}

bool dec_may_send(struct dec *d, int64_t now_ms, uint64_t id, uint32_t stage, uint32_t attempt)
{
	struct req *req = g_hash_table_lookup(d->reqs, &id);
	const struct bb_upstream *up;

	if (!req || req->stage != stage || attempt >= req->n_attempts ||
	    req->attempts[attempt].state != REQ_ATTEMPT_SENT || now_ms >= req->deadline_at_ms)
		return false;
	up = bb_upstream(&d->bb, req->attempts[attempt].upstream);
	if (elg_check(&d->bb, up, now_ms) != ELG_OK ||
	    up->in_flight > d->policy.slots->limit(&d->bb, up, now_ms))
		return false;
	req->ran = true;
	return true;
}

void dec_handle_first_byte(struct dec *d, int64_t now_ms, const struct dec_ev_attempt *ev,
			   struct dec_out *out)
{
	struct req *req = g_hash_table_lookup(d->reqs, &ev->req);

	if (!req || ev->stage != req->stage || req->stream_open || !current_stage(req)->stream)
		return;
	req->stream_open = true;
	req->hedge_at_ms = BB_NEVER;
	struct dec_cmd *cmd = dec_push(out, DEC_CMD_STREAM, req->id);
	cmd->stage = ev->stage;
	cmd->attempt = ev->attempt;
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
	struct bb_upstream *up = end_flight(d, ev);

	if (up)
		book_result(d, up, ev, now_ms);
	if (!up || !end_attempt(req, ev))
		push_drop(ev, out);
	else if (ev->code == ERR_NONE)
		accept_result(d, req, ev, now_ms, out);
	else
		handle_failure(d, req, ev, now_ms, out);
	if (up)
		dec_run_queue(d, up->service, now_ms, out);
}

static void tick_request(struct dec *d, struct req *req, int64_t now_ms, struct dec_out *out)
{
	if (req->hedge_at_ms == BB_NEVER || now_ms < req->hedge_at_ms || req->waiting)
		return;
	req->hedge_at_ms = BB_NEVER;
	if (d->policy.retry->may_hedge(&d->bb, &d->budget))
		send_attempt(d, req, true, now_ms, out);
}

void dec_tick_requests(struct dec *d, int64_t now_ms, struct dec_out *out)
{
	GList *reqs = g_hash_table_get_values(d->reqs);

	for (GList *at = reqs; at; at = at->next) {
		struct req *req = at->data;

		if (now_ms >= req->deadline_at_ms) {
			dec_refuse(d, req, ERR_DEADLINE_EXPIRED, 0, out);
		} else {
			tick_request(d, req, now_ms, out);
		}
	}
	g_list_free(reqs);
	for (uint32_t i = 0; i < d->bb.services->len; i++)
		dec_run_queue(d, g_ptr_array_index(d->bb.services, i), now_ms, out);
}
