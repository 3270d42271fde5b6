/* Sends of a request to upstreams: when another one is tried, and when to wait no longer. */
#include "req_int.h"

#include "base/clock.h"
#include "base/log.h"

#define CONNECT_MS 700	    /* a lost packet of the handshake costs a second: go elsewhere */
#define LEFT_MIN_MS 40	    /* of the time, for one more send to make sense */
#define NOT_RUN_MAX 3	    /* refusals after which the service counts as full */
#define HEDGE_AIM_SHARE 0.5 /* of the aim, after which a silent call is hedged */
#define HEDGE_MIN_MS 100
#define FIRST_EVENT_MS                                                                             \
	1500	   /* of a resumable stream: a cold engine's long prompt is read by then           \
		    */
#define ASKS_MAX 2 /* chains for one request: each costs the pools as much as the first */
#define FETCHED_MS                                                                                 \
	80	     /* after a send, until results are fetched: two ways between regions, 15 MB   \
		      */
#define STALL_GAPS 3 /* longest pauses of the route, after which a stream is resumed */
#define STALL_MIN_MS 600
#define URGENCY_STEP 2
#define URGENCY_MAX 9

static void leg_end(struct leg *leg, enum http_client_result end);

static bool on_head(void *arg, const struct http_client_head *head)
{
	return req_take_head(arg, head);
}

static void on_data(void *arg, const void *data, size_t len)
{
	req_take_data(arg, data, len);
}

static void on_end(void *arg, enum http_client_result end)
{
	struct leg *leg = arg;

	leg->call = NULL;
	leg->upstream->in_flight--;
	leg_end(leg, end);
}

static const struct http_client_ops leg_ops = {
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

void req_leg_cancel(struct leg *leg)
{
	if (!leg->call)
		return;
	http_client_cancel(leg->call);
	leg->call = NULL;
	leg->upstream->in_flight--;
}

static uint32_t count_open(const struct req *r)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->n_legs; i++)
		n += r->legs[i].call != NULL;
	return n;
}

static uint32_t count_not_run(const struct req *r)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < r->n_legs; i++)
		n += r->legs[i].verdict == LEG_NOT_RUN && !r->legs[i].wrong;
	return n;
}

static int32_t urgency_of(const struct req *r)
{
	if (r->route->kind != PUB_KIND_STREAM)
		return -1;
	return CLAMP(1 + URGENCY_STEP * r->rank, 0, URGENCY_MAX);
}

struct srv_upstream *req_pick(struct req *r, int64_t now_ms)
{
	const char *tried[SRV_LEGS_MAX + 1];

	for (uint32_t i = 0; i < r->n_legs; i++)
		tried[i] = r->legs[i].upstream->id;
	tried[r->n_legs] = NULL;
	r->select.has_inputs = r->data_centre != NULL;
	const struct srv_want want = {
		.service = r->service,
		.service_name = r->service_name,
		.regions = r->regions,
		.data_centre = r->data_centre,
		.select = r->select,
		.tried = tried,
	};
	return srv_ups_pick(r->s, &want, now_ms);
}

static void send_to(struct req *r, struct srv_upstream *u, int64_t now_ms)
{
	struct leg *leg = &r->legs[r->n_legs++];
	struct hdr_list headers = {0};
	const struct adp_forward forward = {
		.upstream_id = u->id,
		.account = r->account ? r->account->name : NULL,
		.deadline_ms = r->end_at_ms - now_ms,
		.urgency = urgency_of(r),
		.inputs = (const char *const *)r->handles,
		.last_event = r->last_event,
	};

	r->s->adp->upstream->forward(&r->http->headers, &forward, u->address, &headers);
	const struct http_client_request request = {
		.method = r->http->method,
		.target = r->http->target,
		.headers = &headers,
		.body = r->http->body->data,
		.len = r->http->body->len,
		.once = !req_may_run_again(r),
		.connect_timeout_ms = CONNECT_MS,
	};
	*leg = (struct leg){.req = r, .upstream = u, .sent_ms = now_ms, .heard_ms = now_ms};
	r->fetched_at_ms = now_ms + FETCHED_MS;
	srv_count(r->s, SRV_SENDS);
	if (r->n_legs > 1) {
		srv_count(r->s, SRV_REPEATS);
		bud_add_repeats(srv_ups_budget(r->s, r->service_name), 1, now_ms);
	}
	leg->call = http_client_start(u->origin, &request, &leg_ops, leg);
	hdr_clear(&headers);
	if (leg->call) {
		u->in_flight++;
		req_arm(r);
		return;
	}
	u->in_flight++;
	on_end(leg, HTTP_CLIENT_NOT_SENT);
}

/* NULL, or why no further send is made. */
static const char *why_not(struct req *r, int64_t now_ms)
{
	if (r->n_legs >= SRV_LEGS_MAX)
		return "too many upstreams were tried";
	if (r->end_at_ms - now_ms < LEFT_MIN_MS)
		return "its time is over";
	if (r->runs > 0 && !req_may_run_again(r))
		return "it may have run and must not run twice";
	if (r->runs >= (uint32_t)MAX(r->route->max_upstreams, 1))
		return "as many upstreams ran it as its route allows";
	if (count_not_run(r) >= NOT_RUN_MAX)
		return "the upstreams are full";
	if (r->n_legs > 0 && !srv_ups_may_repeat(r->s, r->service_name, now_ms))
		return "the budget of repeats is spent";
	return NULL;
}

void req_send(struct req *r)
{
	int64_t now_ms = clock_now_ms();
	const char *reason = why_not(r, now_ms);
	struct srv_upstream *u = reason ? NULL : req_pick(r, now_ms);

	if (u) {
		send_to(r, u, now_ms);
		return;
	}
	if (count_open(r) > 0)
		return; /* a hedge that can't be sent */
	if (!r->begun && req_pass_failure(r))
		return;
	req_give_up(r, reason ? reason : "no upstream can take it");
}

static void log_leg(const struct leg *leg, const char *outcome)
{
	log_info("send_failed", "{s:s, s:s, s:s, s:s, s:i, s:I, s:i}", "request",
		 leg->req->ask.attempt, "upstream", leg->upstream->id, "address",
		 leg->upstream->address, "outcome", outcome, "status", leg->status, "took_ms",
		 (json_int_t)(clock_now_ms() - leg->sent_ms), "runs", (int)leg->req->runs);
}

/* Its chain's results were given up once they seemed to have been fetched, or died with their
 * maker. */
static bool lacks_inputs(const struct leg *leg)
{
	const struct req *r = leg->req;

	return r->handles && (leg->lacks_inputs || r->chain == 0);
}

/* The leg has ended without an answer for the caller: another one, or the end. */
static void go_on(struct leg *leg, const char *outcome)
{
	struct req *r = leg->req;

	log_leg(leg, outcome);
	if (r->winner == leg)
		r->winner = NULL;
	if (r->winner || count_open(r) > 0)
		return;
	g_string_truncate(r->partial, 0);
	if (r->begun && !(r->streaming && r->route->resumable)) {
		req_fail(r, 502, outcome);
		return;
	}
	if (lacks_inputs(leg) && r->asks < ASKS_MAX && !why_not(r, clock_now_ms()))
		req_ask_again(r);
	else
		req_send(r);
}

static void end_whole(struct leg *leg)
{
	struct req *r = leg->req;
	int64_t now_ms = clock_now_ms();

	switch (leg->verdict) {
	case LEG_GOOD:
		srv_ups_note_good(leg->upstream, now_ms);
		req_take_whole(leg);
		break;
	case LEG_NOT_RUN:
		if (!leg->wrong)
			srv_ups_note_bad(r->s, leg->upstream, SRV_TROUBLE_FULL, now_ms);
		go_on(leg, leg->wrong ? "another upstream has the address" : "refused");
		break;
	case LEG_FAILED:
		r->runs++;
		srv_ups_note_bad(r->s, leg->upstream, SRV_TROUBLE_BROKEN, now_ms);
		go_on(leg, "failed there");
		break;
	case LEG_OPEN:
	case LEG_GARBLED:
		r->runs++;
		srv_ups_note_bad(r->s, leg->upstream, SRV_TROUBLE_BROKEN, now_ms);
		go_on(leg, "no answer of the upstream's");
		break;
	}
}

static void leg_end(struct leg *leg, enum http_client_result end)
{
	struct req *r = leg->req;
	int64_t now_ms = clock_now_ms();

	switch (end) {
	case HTTP_CLIENT_DONE:
		end_whole(leg);
		break;
	case HTTP_CLIENT_NOT_SENT:
		leg->verdict = LEG_NOT_RUN;
		leg->wrong = true; /* nothing was refused */
		srv_ups_note_bad(r->s, leg->upstream, SRV_TROUBLE_UNREACHABLE, now_ms);
		go_on(leg, "no connection");
		break;
	case HTTP_CLIENT_BROKEN:
	case HTTP_CLIENT_MALFORMED:
		if (leg->verdict == LEG_NOT_RUN) { /* its promise stands, whatever came after */
			go_on(leg, "refused");
			break;
		}
		if (leg->verdict != LEG_GOOD || !r->begun)
			leg->verdict = LEG_GARBLED;
		r->runs++;
		srv_ups_note_bad(r->s, leg->upstream, SRV_TROUBLE_BROKEN, now_ms);
		go_on(leg, end == HTTP_CLIENT_BROKEN ? "connection broken" : "malformed answer");
		break;
	}
}

/* ---- time ---- */

static int64_t hedge_ms(const struct req *r)
{
	return MAX((int64_t)((double)r->route->aim_ms * HEDGE_AIM_SHARE), HEDGE_MIN_MS);
}

static int64_t stall_ms(const struct req *r)
{
	return MAX(STALL_GAPS * r->route->gap_aim_ms, STALL_MIN_MS);
}

static struct leg *last_open(struct req *r)
{
	for (uint32_t i = r->n_legs; i > 0; i--) {
		if (r->legs[i - 1].call)
			return &r->legs[i - 1];
	}
	return NULL;
}

/* When the last leg has been silent for too long; INT64_MAX: never. */
static int64_t impatient_at_ms(struct req *r)
{
	const struct leg *leg = last_open(r);

	if (!leg || !req_may_run_again(r) || r->route->max_upstreams < 2 ||
	    r->n_legs >= SRV_LEGS_MAX)
		return INT64_MAX;
	if (r->route->kind == PUB_KIND_IDEMPOTENT)
		return leg->verdict == LEG_OPEN && count_open(r) == 1 ? leg->sent_ms + hedge_ms(r)
								      : INT64_MAX;
	if (leg->paused)
		return INT64_MAX;
	return leg->verdict == LEG_OPEN ? leg->sent_ms + FIRST_EVENT_MS
					: leg->heard_ms + stall_ms(r);
}

static void expire(struct req *r)
{
	bool sent = r->runs > 0 || r->begun;

	for (uint32_t i = 0; i < r->n_legs; i++) {
		struct leg *leg = &r->legs[i];
		if (!leg->call)
			continue;
		sent = sent || http_client_was_sent(leg->call);
		if (leg->verdict == LEG_OPEN)
			srv_ups_note_bad(r->s, leg->upstream, SRV_TROUBLE_BROKEN, clock_now_ms());
	}
	if (sent)
		req_fail(r, 504, "its time is over");
	else
		req_refuse(r, 0, "its time is over");
}

/* A stream that stalls is closed here before it goes on elsewhere: it never runs twice at once. */
static void lose_patience(struct req *r, int64_t now_ms)
{
	struct leg *leg = last_open(r);

	if (why_not(r, now_ms)) {
		leg->heard_ms = now_ms; /* asked again after another such time */
		leg->sent_ms = now_ms;
		req_arm(r);
		return;
	}
	if (r->route->kind == PUB_KIND_IDEMPOTENT) {
		r->runs++; /* the silent one may have run it */
		log_leg(leg, "hedged");
		req_send(r);
		r->runs--; /* it counts again when it ends */
		req_arm(r);
		return;
	}
	srv_ups_note_bad(r->s, leg->upstream, SRV_TROUBLE_UNREACHABLE, now_ms);
	req_leg_cancel(leg);
	r->runs++;
	go_on(leg, "stalled");
}

/* The results of its chain should be where it runs. */
static void note_fetched(struct req *r, int64_t now_ms)
{
	const struct leg *leg = last_open(r);

	if (!leg || !http_client_was_sent(leg->call)) {
		r->fetched_at_ms = now_ms + FETCHED_MS; /* it still connects */
		return;
	}
	r->fetched_at_ms = INT64_MAX;
	srv_chain_fetched(r->s, r->chain);
}

static void on_timer(uv_timer_t *timer)
{
	struct req *r = timer->data;
	int64_t now_ms = clock_now_ms();

	if (now_ms >= r->end_at_ms) {
		expire(r);
		return;
	}
	if (r->chain && now_ms >= r->fetched_at_ms)
		note_fetched(r, now_ms);
	if (now_ms >= impatient_at_ms(r))
		lose_patience(r, now_ms); /* the request may end in it */
	else
		req_arm(r);
}

void req_arm(struct req *r)
{
	int64_t now_ms = clock_now_ms();
	int64_t at_ms = MIN(r->end_at_ms, impatient_at_ms(r));

	if (r->chain)
		at_ms = MIN(at_ms, r->fetched_at_ms);

	uv_timer_start(&r->timer, on_timer, (uint64_t)MAX(at_ms - now_ms, 1), 0);
}
