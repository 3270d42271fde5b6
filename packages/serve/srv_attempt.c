/* Sends a request to upstreams: retries, hedging, timeouts and the resumption of streams. */
#include "srv_gate.h"
#include "srv_poison.h"

#include "base/clock.h"
#include "base/log.h"

/* Shorter than the 1 s after which TCP retransmits a lost SYN. */
#define CONNECT_TIMEOUT_MS 700
/* After this many refusals of a request, the service counts as full. */
#define REFUSALS_MAX 3
/* Time for an upstream to fetch a chain's results: two trips between regions, and 15 MB. */
#define FETCH_DELAY_MS 80
/* Difference in urgency between one rank and the next. */
#define URGENCY_STEP 2
#define URGENCY_MAX 9

static void handle_end(struct srv_attempt *attempt, enum http_client_result end);

static bool on_head(void *arg, const struct http_client_head *head)
{
	return srv_attempt_handle_head(arg, head);
}

static bool on_data(void *arg, const void *data, size_t len)
{
	return srv_attempt_handle_data(arg, data, len);
}

static void note_left(struct srv_upstream *u)
{
	u->in_flight--;
	srv_gate_note_use(u->srv, u->id);
}

static void on_end(void *arg, enum http_client_result end)
{
	struct srv_attempt *attempt = arg;

	attempt->call = NULL;
	note_left(attempt->upstream);
	handle_end(attempt, end);
}

static const struct http_client_ops attempt_ops = {
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

void srv_attempt_cancel(struct srv_attempt *attempt)
{
	if (!attempt->call)
		return;
	http_client_cancel(attempt->call);
	attempt->call = NULL;
	note_left(attempt->upstream);
}

void srv_attempt_cancel_others(struct srv_attempt *attempt)
{
	struct srv_req *r = attempt->req;

	for (uint32_t i = 0; i < r->n_attempts; i++) {
		struct srv_attempt *other = &r->attempts[i];
		if (other == attempt || !other->call)
			continue;
		r->runs += http_client_was_sent(other->call);
		srv_attempt_cancel(other);
	}
}

void srv_attempt_note_data(struct srv_attempt *attempt)
{
	attempt->last_data_ms = clock_now_ms();
	attempt->timeout_from_ms = attempt->last_data_ms;
}

void srv_attempt_note_progress(struct srv_attempt *attempt)
{
	srv_attempt_cancel_others(attempt);
	if (!attempt->is_silent)
		return;
	attempt->is_silent = false;
	srv_upstream_note_success(attempt->upstream, clock_now_ms());
}

uint32_t srv_req_count_active(const struct srv_req *r)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->n_attempts; i++)
		n += r->attempts[i].call != NULL;
	return n;
}

uint32_t srv_req_count_runs(const struct srv_req *r)
{
	return r->runs + srv_req_count_active(r);
}

static uint32_t count_refusals(const struct srv_req *r)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->n_attempts; i++)
		n += r->attempts[i].verdict == SRV_ATTEMPT_NOT_RUN &&
		     !r->attempts[i].is_wrong_address;
	return n;
}

static int32_t urgency_of(const struct srv_req *r)
{
	if (r->route->kind != PUB_KIND_STREAM)
		return -1;
	return CLAMP(1 + URGENCY_STEP * r->rank, 0, URGENCY_MAX);
}

struct srv_upstream *srv_req_pick(struct srv_req *r, int64_t now_ms)
{
	const char *tried[SRV_ATTEMPTS_MAX + 1];
	struct srv_upstream *u;

	for (uint32_t i = 0; i < r->n_attempts; i++)
		tried[i] = r->attempts[i].upstream->id;
	tried[r->n_attempts] = NULL;
	r->select.proposed = r->proposed;
	r->select.has_inputs = r->data_centre != NULL && srv_has_policy(r->s, POLICY_NEAR_INPUTS);
	struct srv_pick_criteria want = {
		.service = r->service,
		.service_name = r->service_name,
		.regions = r->regions,
		.data_centre = r->data_centre,
		.select = r->select,
		.version = r->origin.version,
		.candidates = r->origin.candidates,
		.avoided = r->origin.ran_at,
		.is_settled = srv_origin_begins(r),
		.tried = tried,
		.is_urgent = srv_req_is_urgent(r),
		.is_immediate = srv_req_count_active(r) > 0,
		.report = &r->pick,
		.trace = r->trace,
	};
	want.only = srv_run_check_confirmed(r, now_ms);
	if (want.only && (u = srv_upstream_pick(r->s, &want, now_ms)))
		return u;
	want.only = NULL;
	u = srv_upstream_pick(r->s, &want, now_ms);
	if (u || (!want.is_settled && want.avoided == 0))
		return u;
	want.is_settled = false;
	want.avoided = 0;
	return srv_upstream_pick(r->s, &want, now_ms);
}

/* Returns whether an attempt has arrived at an upstream, or may yet do so. */
static bool may_have_arrived(const struct srv_req *r)
{
	for (uint32_t i = 0; i < r->n_attempts; i++) {
		if (!r->attempts[i].is_unsent)
			return true;
	}
	return false;
}

static void send_to(struct srv_req *r, struct srv_upstream *u, int64_t now_ms)
{
	bool is_retry = may_have_arrived(r);
	struct srv_attempt *attempt = &r->attempts[r->n_attempts++];
	struct hdr_list headers = {0};
	const struct adapter_forward forward = {
		.upstream_id = u->id,
		.account = r->account ? r->account->name : NULL,
		.deadline_ms = r->end_at_ms - now_ms,
		.urgency = urgency_of(r),
		.inputs = (const char *const *)r->handles,
		.last_event = r->last_event,
	};

	r->s->adapter->upstream->forward(&r->http->headers, &forward, u->address, &headers);
	const struct http_client_request request = {
		.method = r->http->method,
		.target = r->http->target,
		.headers = &headers,
		.body = r->http->body->data,
		.len = r->http->body->len,
		.once = !srv_req_is_repeatable(r),
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
	};
	*attempt = (struct srv_attempt){
		.req = r,
		.upstream = u,
		.version = srv_origin_version_of(r->s, u),
		.born_ms = srv_gate_run_of(r->s, u->id).born_ms,
		.sent_ms = now_ms,
		.last_data_ms = now_ms,
		.timeout_from_ms = now_ms,
	};
	srv_upstream_ref(u);
	srv_spread_note_proposal(r, u);
	r->fetch_check_at_ms = now_ms + FETCH_DELAY_MS;
	srv_count(r->s, SRV_SENDS);
	if (is_retry) {
		srv_count(r->s, SRV_REPEATS);
		budget_add_retries(srv_retry_budget(r->s, r->service_name), 1, now_ms);
	}
	attempt->call =
		srv_gate_call(r->s, u, srv_req_is_urgent(r), &request, &attempt_ops, attempt);
	hdr_clear(&headers);
	if (attempt->call) {
		u->in_flight++;
		srv_gate_note_use(r->s, u->id);
		srv_req_arm_timer(r);
		return;
	}
	u->in_flight++;
	on_end(attempt, HTTP_CLIENT_NOT_SENT);
}

/* Returns the latest time for a further attempt; INT64_MAX: the node isn't stopping. */
static int64_t send_by_ms(const struct srv_req *r)
{
	return srv_stop_send_by_ms(r->s, r->route->kind == PUB_KIND_STREAM);
}

bool srv_req_is_doubted(const struct srv_req *r)
{
	struct quarantine_verdict verdict;

	srv_quarantine_check(r->s, &r->meta, &verdict);
	return verdict.state > QUARANTINE_DOUBTED ||
	       verdict.n_upstreams >= QUARANTINE_DOUBT_UPSTREAMS;
}

const char *srv_req_no_send_reason(struct srv_req *r, int64_t now_ms)
{
	if (r->n_attempts >= SRV_ATTEMPTS_MAX)
		return "too many attempts";
	if (r->end_at_ms - now_ms < SEND_TIME_MIN_MS)
		return "too little time left before the deadline or route timeout";
	if (now_ms >= send_by_ms(r))
		return "node is shutting down";
	if (srv_req_count_runs(r) > 0 && !srv_req_is_repeatable(r))
		return "may have run and must not be repeated";
	if (srv_req_count_runs(r) >= (uint32_t)MAX(r->route->max_upstreams, 1))
		return "route's attempt limit reached";
	if (count_refusals(r) >= REFUSALS_MAX)
		return "refused by too many upstreams";
	if (srv_req_count_runs(r) > 0 && srv_req_is_doubted(r))
		return "a part of the prompt may crash upstreams";
	if (srv_req_count_runs(r) > 0 && srv_poison_is_doubted(r))
		return "the request may crash upstreams";
	if (may_have_arrived(r) && !srv_retry_allowed(r->s, r->service_name, now_ms))
		return "retry budget exhausted";
	return NULL;
}

void srv_req_send(struct srv_req *r)
{
	int64_t now_ms = clock_now_ms();
	const char *reason = srv_req_no_send_reason(r, now_ms);
	struct quarantine_verdict verdict;
	struct poison_verdict poison;
	struct srv_upstream *u;

	srv_permit_stop_waiting(r);
	srv_run_check_stop_waiting(r);
	if (srv_relay_take_over(r))
		return;
	srv_quarantine_check(r->s, &r->meta, &verdict);
	if (verdict.state == QUARANTINE_BLOCKED && srv_req_count_active(r) == 0) {
		srv_req_end_quarantined(r, &verdict);
		return;
	}
	srv_poison_check(r, &poison);
	if (poison.state == POISON_REFUSED && srv_req_count_active(r) == 0) {
		srv_poison_end(r, &poison);
		return;
	}
	u = reason || verdict.state == QUARANTINE_BLOCKED || poison.state == POISON_REFUSED
		    ? NULL
		    : srv_req_pick(r, now_ms);
	if (u && srv_req_count_active(r) == 0 && srv_poison_wait(r, now_ms))
		return;
	if (u && srv_run_check_wait(r, u, now_ms))
		return;
	if (u && srv_permit_is_needed(r, u, now_ms)) {
		srv_permit_wait(r, u, now_ms);
		return;
	}
	if (u) {
		if (verdict.state == QUARANTINE_TRIAL)
			quarantine_note_trial(r->s->quarantine, verdict.part, now_ms);
		if (poison.state == POISON_TRIAL)
			poison_note_trial(r->s->poison, r->digest, now_ms);
		send_to(r, u, now_ms);
		return;
	}
	if (srv_req_count_active(r) > 0)
		return; /* no hedge is possible; wait for the active attempt */
	if (!reason && srv_permit_wait_until_open(r, now_ms))
		return;
	if (!r->response_started && srv_req_forward_failure(r))
		return;
	if (!reason && r->pick.n_unconfirmed > 0) {
		srv_run_check_end_unconfirmed(r);
		return;
	}
	if (!reason && srv_origin_is_none_left(r)) {
		srv_origin_end_none_left(r);
		return;
	}
	srv_req_end_unserved(r, reason ? reason : srv_req_unserved_reason(r));
}

void srv_attempt_log(const struct srv_attempt *attempt, const char *outcome)
{
	log_info("send_failed", "{s:s, s:s, s:s, s:s, s:i, s:I, s:i}", "request",
		 attempt->req->meta.attempt, "upstream", attempt->upstream->id, "address",
		 attempt->upstream->address, "outcome", outcome, "status", attempt->status,
		 "took_ms", (json_int_t)(clock_now_ms() - attempt->sent_ms), "runs",
		 (int)attempt->req->runs);
}

bool srv_attempt_is_missing_inputs(const struct srv_attempt *attempt)
{
	const struct srv_req *r = attempt->req;

	return r->handles && (attempt->is_missing_inputs || r->chain == 0) &&
	       srv_has_policy(r->s, POLICY_CHAIN_RESTART);
}

struct srv_attempt *srv_req_last_active(struct srv_req *r)
{
	for (uint32_t i = r->n_attempts; i > 0; i--) {
		if (r->attempts[i - 1].call)
			return &r->attempts[i - 1];
	}
	return NULL;
}

/*
 * Waits for the attempt that is left after another has ended. A stream may be sent to a further
 * upstream after a whole timeout, any other request isn't hedged again.
 */
static void wait_for_other(struct srv_req *r)
{
	srv_req_last_active(r)->timeout_from_ms =
		r->route->kind == PUB_KIND_STREAM ? clock_now_ms() : r->end_at_ms;
	srv_req_arm_timer(r);
}

void srv_attempt_retry_or_end(struct srv_attempt *attempt, const char *outcome)
{
	struct srv_req *r = attempt->req;

	srv_attempt_log(attempt, outcome);
	if (r->winner == attempt) {
		r->winner = NULL;
		g_string_truncate(r->partial, 0);
	}
	if (srv_req_count_active(r) > 0) {
		wait_for_other(r);
		return;
	}
	if (r->response_started && !srv_origin_may_go_on(r, clock_now_ms())) {
		srv_req_fail(r, 502, outcome);
		return;
	}
	if (srv_attempt_is_missing_inputs(attempt) && r->n_chains < CHAINS_MAX &&
	    !srv_req_no_send_reason(r, clock_now_ms()))
		srv_req_restart_chain(r);
	else
		srv_req_send(r);
}

/* Notes a broken run as evidence, unless its answer had gone on for so long that it began well. */
static void note_break(struct srv_attempt *attempt, int64_t now_ms)
{
	if (attempt->begun_ms > 0 && now_ms - attempt->begun_ms > QUARANTINE_BEGIN_MS)
		return;
	srv_poison_note_end(attempt);
	if (attempt->begun_ms > 0)
		srv_quarantine_note_crash(attempt->req->s, &attempt->req->meta, attempt->upstream,
					  attempt->begun_ms);
}

static void handle_complete(struct srv_attempt *attempt)
{
	struct srv_req *r = attempt->req;
	int64_t now_ms = clock_now_ms();

	if (attempt->verdict == SRV_ATTEMPT_ACCEPTED || attempt->verdict == SRV_ATTEMPT_FAILED)
		srv_poison_note_good(attempt);
	switch (attempt->verdict) {
	case SRV_ATTEMPT_ACCEPTED:
		srv_upstream_note_success(attempt->upstream, now_ms);
		srv_attempt_note_good(attempt);
		srv_attempt_handle_end(attempt);
		break;
	case SRV_ATTEMPT_NOT_RUN:
		if (!attempt->is_wrong_address)
			srv_upstream_note_failure(r->s, attempt->upstream, SRV_FAILURE_OVERLOADED,
						  now_ms);
		srv_attempt_retry_or_end(attempt, attempt->is_wrong_address
							  ? "address belongs to another upstream"
							  : "refused");
		break;
	case SRV_ATTEMPT_FAILED:
		r->runs++;
		srv_upstream_note_failure(r->s, attempt->upstream, SRV_FAILURE_BROKEN, now_ms);
		srv_attempt_retry_or_end(attempt, "the upstream reported a failure");
		break;
	case SRV_ATTEMPT_PENDING:
	case SRV_ATTEMPT_INVALID:
		r->runs++;
		srv_upstream_note_failure(r->s, attempt->upstream, SRV_FAILURE_BROKEN, now_ms);
		srv_attempt_retry_or_end(attempt, "the upstream sent an invalid answer");
		break;
	}
}

static void handle_end(struct srv_attempt *attempt, enum http_client_result end)
{
	struct srv_req *r = attempt->req;
	int64_t now_ms = clock_now_ms();

	if (end == HTTP_CLIENT_DONE && attempt->verdict == SRV_ATTEMPT_ACCEPTED &&
	    srv_attempt_is_cut(attempt))
		end = HTTP_CLIENT_BROKEN;
	switch (end) {
	case HTTP_CLIENT_DONE:
		handle_complete(attempt);
		break;
	case HTTP_CLIENT_NOT_SENT:
		attempt->verdict = SRV_ATTEMPT_NOT_RUN;
		attempt->is_wrong_address = true; /* don't count it as a refusal */
		attempt->is_unsent = true;
		srv_upstream_note_failure(r->s, attempt->upstream, SRV_FAILURE_UNREACHABLE, now_ms);
		srv_attempt_retry_or_end(attempt, "no connection");
		break;
	case HTTP_CLIENT_BROKEN:
	case HTTP_CLIENT_MALFORMED:
		/* the head guarantees that the request did not run, even if the body is cut */
		if (attempt->verdict == SRV_ATTEMPT_NOT_RUN) {
			srv_attempt_retry_or_end(attempt, "refused");
			break;
		}
		if (end == HTTP_CLIENT_BROKEN)
			note_break(attempt, now_ms);
		if (attempt->verdict != SRV_ATTEMPT_ACCEPTED || !r->response_started)
			attempt->verdict = SRV_ATTEMPT_INVALID;
		r->runs++;
		srv_upstream_note_failure(r->s, attempt->upstream, SRV_FAILURE_BROKEN, now_ms);
		srv_attempt_retry_or_end(attempt, end == HTTP_CLIENT_BROKEN ? "connection broken"
									    : "malformed answer");
		break;
	}
}

static void handle_deadline(struct srv_req *r)
{
	bool was_sent = r->runs > 0 || r->response_started;

	for (uint32_t i = 0; i < r->n_attempts; i++) {
		struct srv_attempt *attempt = &r->attempts[i];
		if (!attempt->call)
			continue;
		was_sent = was_sent || http_client_was_sent(attempt->call);
		if (attempt->verdict == SRV_ATTEMPT_PENDING)
			srv_upstream_note_failure(r->s, attempt->upstream, SRV_FAILURE_BROKEN,
						  clock_now_ms());
	}
	if (r->end_at_ms == r->s->stop_by_ms)
		srv_req_end_stopped(r, was_sent);
	else if (was_sent)
		srv_req_fail(r, 504, "deadline or route timeout expired");
	else
		srv_req_refuse(r, 0, "deadline or route timeout expired");
}

/* Notifies the chain's owner that the upstream should have fetched the results. */
static void note_fetched(struct srv_req *r, int64_t now_ms)
{
	const struct srv_attempt *attempt = srv_req_last_active(r);

	if (!attempt || !http_client_was_sent(attempt->call)) {
		r->fetch_check_at_ms = now_ms + FETCH_DELAY_MS; /* not sent yet */
		return;
	}
	r->fetch_check_at_ms = INT64_MAX;
	srv_chain_note_fetched(r->s, r->chain);
}

/*
 * Ends an attempt whose answer isn't passed on and goes on for too long. Returns whether it did,
 * which may free the request.
 */
static bool end_unread_answer(struct srv_req *r, int64_t now_ms)
{
	for (uint32_t i = 0; i < r->n_attempts; i++) {
		struct srv_attempt *attempt = &r->attempts[i];
		if (!attempt->call || attempt->end_by_ms == 0 || now_ms < attempt->end_by_ms)
			continue;
		srv_attempt_cancel(attempt);
		handle_end(attempt, HTTP_CLIENT_MALFORMED);
		return true;
	}
	return false;
}

/* Returns when the first of these answers is to be ended; INT64_MAX: there is none. */
static int64_t unread_end_by_ms(const struct srv_req *r)
{
	int64_t at_ms = INT64_MAX;

	for (uint32_t i = 0; i < r->n_attempts; i++) {
		const struct srv_attempt *attempt = &r->attempts[i];
		if (attempt->call && attempt->end_by_ms > 0)
			at_ms = MIN(at_ms, attempt->end_by_ms);
	}
	return at_ms;
}

static void on_timer(uv_timer_t *timer)
{
	struct srv_req *r = timer->data;
	int64_t now_ms = clock_now_ms();

	if (now_ms >= r->end_at_ms) {
		handle_deadline(r);
		return;
	}
	if (now_ms >= send_by_ms(r) && srv_req_count_active(r) == 0) {
		srv_req_end_stopped(r, r->runs > 0 || r->response_started);
		return;
	}
	if (now_ms >= srv_origin_wait_until_ms(r)) {
		srv_origin_decide(r); /* may free the request */
		return;
	}
	if (now_ms >= srv_run_check_until_ms(r)) {
		srv_run_check_expire(r); /* may free the request */
		return;
	}
	if (end_unread_answer(r, now_ms))
		return;
	if (now_ms >= r->send_at_ms) {
		srv_permit_stop_waiting(r);
		srv_req_send(r); /* may free the request */
		return;
	}
	if (r->chain && now_ms >= r->fetch_check_at_ms)
		note_fetched(r, now_ms);
	if (now_ms >= srv_silence_overlap_end_ms(r, now_ms))
		srv_silence_end_overlap(r);
	else if (now_ms >= srv_silence_deadline_ms(r))
		srv_silence_handle(r, now_ms); /* may free the request */
	else
		srv_req_arm_timer(r);
}

void srv_req_arm_timer(struct srv_req *r)
{
	int64_t now_ms = clock_now_ms();
	int64_t at_ms = MIN(r->end_at_ms, srv_silence_deadline_ms(r));

	at_ms = MIN(at_ms, srv_silence_overlap_end_ms(r, now_ms));
	at_ms = MIN(at_ms, MIN(srv_origin_wait_until_ms(r), srv_run_check_until_ms(r)));
	at_ms = MIN(at_ms, MIN(r->send_at_ms, unread_end_by_ms(r)));
	if (r->chain)
		at_ms = MIN(at_ms, r->fetch_check_at_ms);
	if (srv_req_count_active(r) == 0)
		at_ms = MIN(at_ms, send_by_ms(r));

	uv_timer_start(&r->timer, on_timer, (uint64_t)MAX(at_ms - now_ms, 1), 0);
}
