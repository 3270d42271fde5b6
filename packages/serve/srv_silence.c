/*
 * Requests whose upstream is silent: hedges, and streams that go on at another upstream. A silent
 * upstream may be in good order, so nothing is given up before another one has the request.
 */
#include "srv_poison.h"

#include "base/clock.h"

/* Share of the route's latency target after which a silent request is hedged. */
#define HEDGE_TARGET_SHARE 0.5
#define HEDGE_MIN_MS 100
/* Longest wait for the head of a stream; a cold engine has processed a long prompt by then. */
#define FIRST_EVENT_TIMEOUT_MS 1500
/* A stream is sent to a second upstream after a silence of this many times its gap_aim_ms. */
#define STALL_GAPS 3
#define STALL_MIN_MS 600
/* Other upstreams are preferred to a silent one for this long, unless it goes on before. */
#define SILENCE_BLOCK_MS 1000
/*
 * A stream whose inputs are gone can only go on with new ones, for which the silent upstream is
 * given up. One in good order has gone on by then.
 */
#define INPUTS_SILENCE_MS 1800
/* Most attempts of a stream at a time. */
#define STREAM_ACTIVE_MAX 2
/*
 * Longest time for which both work on it. An upstream that can't take a request has refused it by
 * then; one that can may take longer for its first event.
 */
#define STREAM_OVERLAP_MS 300
/* Between checks whether a request has been sent. */
#define UNSENT_CHECK_MS 50

static int64_t hedge_delay_ms(const struct srv_req *r)
{
	return MAX((int64_t)((double)r->route->aim_ms * HEDGE_TARGET_SHARE), HEDGE_MIN_MS);
}

static int64_t stall_timeout_ms(const struct srv_req *r)
{
	return MAX(STALL_GAPS * r->route->gap_aim_ms, STALL_MIN_MS);
}

int64_t srv_silence_deadline_ms(struct srv_req *r)
{
	const struct srv_attempt *attempt = srv_req_last_active(r);

	if (!attempt || !srv_req_is_repeatable(r) || r->route->max_upstreams < 2 ||
	    r->n_attempts >= SRV_ATTEMPTS_MAX)
		return INT64_MAX;
	if (r->route->kind == PUB_KIND_IDEMPOTENT)
		return attempt->verdict == SRV_ATTEMPT_PENDING && srv_req_count_active(r) == 1 &&
				       srv_has_policy(r->s, POLICY_HEDGES)
			       ? attempt->timeout_from_ms + hedge_delay_ms(r)
			       : INT64_MAX;
	if (attempt->is_paused)
		return INT64_MAX;
	return attempt->timeout_from_ms + (attempt->verdict == SRV_ATTEMPT_PENDING
						   ? FIRST_EVENT_TIMEOUT_MS
						   : stall_timeout_ms(r));
}

static void restart_silence_timeout(struct srv_attempt *attempt, int64_t now_ms)
{
	attempt->timeout_from_ms = now_ms;
	srv_req_arm_timer(attempt->req);
}

/* Has other upstreams preferred to a silent one; once for all requests that find it silent. */
static void note_silence(struct srv_attempt *attempt, int64_t now_ms)
{
	struct srv_upstream *u = attempt->upstream;
	struct srv *s = attempt->req->s;

	attempt->is_silent = true;
	if (u->blocked_until_ms > now_ms || !srv_has_policy(s, POLICY_BACKOFF))
		return;
	srv_upstream_note_failure(s, u, SRV_FAILURE_BROKEN, now_ms);
	srv_upstream_note_report(s, u->id, SILENCE_BLOCK_MS, now_ms);
}

/*
 * Sends the request to a further upstream beside the silent one, which may go on; the first answer
 * that is accepted closes the other attempt. Without an upstream that is open, tries again later.
 */
static void hedge(struct srv_attempt *attempt, int64_t now_ms)
{
	struct srv_req *r = attempt->req;
	uint32_t n_before = r->n_attempts;

	srv_req_send(r);
	restart_silence_timeout(attempt, now_ms);
	if (r->n_attempts == n_before)
		return;
	srv_attempt_log(attempt, "hedged");
	if (r->route->kind == PUB_KIND_STREAM)
		note_silence(attempt, now_ms);
	if (srv_req_count_active(r) <= STREAM_ACTIVE_MAX)
		return;
	r->runs++;
	srv_attempt_cancel(attempt);
}

/*
 * Gives up the silent upstream of a stream that can go on elsewhere with new inputs alone, if it
 * has been silent for long and another one is open. May free the request.
 */
static void replace_inputs(struct srv_attempt *attempt, int64_t now_ms)
{
	struct srv_req *r = attempt->req;

	if (r->n_chains >= CHAINS_MAX || now_ms - attempt->last_data_ms < INPUTS_SILENCE_MS ||
	    srv_req_count_active(r) > 1 || !srv_req_pick(r, now_ms)) {
		restart_silence_timeout(attempt, now_ms);
		return;
	}
	note_silence(attempt, now_ms);
	srv_attempt_cancel(attempt);
	r->runs++;
	attempt->is_missing_inputs = true;
	srv_attempt_retry_or_end(attempt, "stalled");
}

void srv_silence_handle(struct srv_req *r, int64_t now_ms)
{
	struct srv_attempt *attempt = srv_req_last_active(r);

	if (srv_req_no_send_reason(r, now_ms) || srv_req_is_doubted(r) ||
	    srv_poison_is_suspected(r) || (r->response_started && !srv_origin_may_go_on(r, now_ms)))
		restart_silence_timeout(attempt, now_ms);
	else if (srv_attempt_is_missing_inputs(&r->attempts[r->n_attempts - 1]))
		replace_inputs(attempt, now_ms);
	else
		hedge(attempt, now_ms);
}

int64_t srv_silence_overlap_end_ms(struct srv_req *r, int64_t now_ms)
{
	const struct srv_attempt *attempt = srv_req_last_active(r);

	if (r->route->kind != PUB_KIND_STREAM || srv_req_count_active(r) < STREAM_ACTIVE_MAX ||
	    attempt->verdict != SRV_ATTEMPT_PENDING)
		return INT64_MAX;
	if (!http_client_was_sent(attempt->call))
		return now_ms + UNSENT_CHECK_MS;
	return attempt->sent_ms + STREAM_OVERLAP_MS;
}

void srv_silence_end_overlap(struct srv_req *r)
{
	struct srv_attempt *attempt = srv_req_last_active(r);

	if (r->winner && r->winner != attempt) {
		r->winner = NULL;
		g_string_truncate(r->partial, 0);
	}
	srv_attempt_cancel_others(attempt);
	srv_attempt_log(attempt, "left to this upstream");
	srv_req_arm_timer(r);
}
