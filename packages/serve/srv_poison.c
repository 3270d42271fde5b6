#include "srv_poison.h"

#include "base/clock.h"
#include "base/log.h"
#include "srv_quarantine.h"

#include <string.h>

#define TICK_MS 1000
#define UNKNOWN_OWNER_RETRY_MS 500
#define REASON_RUNNING "the request may crash upstreams, and is running elsewhere"

static uint64_t digest_of(struct srv_req *r)
{
	uint64_t parts[ADAPTER_PROMPT_PARTS_MAX];

	if (r->digest != 0)
		return r->digest;
	for (uint32_t i = 0; i < r->meta.n_parts; i++)
		parts[i] = r->meta.parts[i].id;
	r->digest = poison_digest(&(struct poison_request){
		.method = r->http->method,
		.host = r->meta.host,
		.target = r->http->target,
		.account = r->account ? r->account->name : NULL,
		.body = r->http->body->data,
		.len = r->http->body->len,
		.parts = parts,
		.n_parts = r->meta.n_parts,
	});
	return r->digest;
}

static void log_end(struct srv_attempt *attempt, uint64_t upstream)
{
	struct srv_req *r = attempt->req;
	char *digest = srv_hex_ids(&r->digest, 1);
	char *crash = srv_hex_ids(&upstream, 1);

	log_info("run_broken", "{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:b}", "request",
		 r->meta.attempt, "digest", digest, "upstream", attempt->upstream->id, "address",
		 attempt->upstream->address, "crash_id", crash, "target", r->http->target,
		 "after_ms", (json_int_t)(clock_now_ms() - attempt->sent_ms), "has_head",
		 attempt->begun_ms > 0);
	g_free(digest);
	g_free(crash);
}

/* Returns the hash of the upstream's run that the attempt was sent to. */
static uint64_t run_of(const struct srv_attempt *attempt)
{
	return srv_upstream_run_hash(attempt->upstream->id, attempt->born_ms);
}

void srv_poison_note_end(struct srv_attempt *attempt)
{
	struct srv_req *r = attempt->req;
	struct srv *s = r->s;
	int64_t now_ms = clock_now_ms();
	const struct poison_end end = {
		.request = digest_of(r),
		.upstream = run_of(attempt),
		.sent_ms = attempt->sent_ms,
		.at_ms = now_ms,
	};

	log_end(attempt, end.upstream);
	srv_poison_confirm(s, attempt->upstream, &end);
}

void srv_poison_note_good(struct srv_attempt *attempt)
{
	struct srv *s = attempt->req->s;
	int64_t now_ms = clock_now_ms();
	struct poison_good good = {.at_ms = now_ms};

	if (poison_is_empty(s->poison))
		return;
	good.request = digest_of(attempt->req);
	if (!poison_merge_good(s->poison, &good, now_ms))
		return;
	srv_poison_log_changes(s, now_ms);
	srv_poison_tell_good(s, &good, now_ms);
}

void srv_poison_note_answer(const struct srv_attempt *attempt)
{
	struct srv *s = attempt->req->s;
	int64_t now_ms = clock_now_ms();
	struct poison_alive alive = {.sent_ms = attempt->sent_ms};

	if (poison_is_empty(s->poison))
		return;
	alive.upstream = run_of(attempt);
	if (!poison_contradicts(s->poison, alive.upstream, alive.sent_ms) ||
	    !poison_merge_alive(s->poison, &alive, now_ms))
		return;
	log_info("upstream_alive", "{s:s, s:s}", "upstream", attempt->upstream->id, "request",
		 attempt->req->meta.attempt);
	srv_poison_log_changes(s, now_ms);
	srv_poison_tell_alive(s, &alive, now_ms);
}

void srv_poison_check(struct srv_req *r, struct poison_verdict *verdict)
{
	struct srv *s = r->s;

	*verdict = (struct poison_verdict){.state = POISON_CLEAR};
	if (!poison_is_empty(s->poison) && srv_has_policy(s, POLICY_QUARANTINE))
		poison_check(s->poison, digest_of(r), srv_quarantine_may_try, s, clock_now_ms(),
			     verdict);
}

bool srv_poison_is_suspected(struct srv_req *r)
{
	struct poison_verdict verdict;

	srv_poison_check(r, &verdict);
	return verdict.state != POISON_CLEAR;
}

bool srv_poison_is_doubted(struct srv_req *r)
{
	struct poison_verdict verdict;

	srv_poison_check(r, &verdict);
	return verdict.n_upstreams >= POISON_DOUBT_UPSTREAMS;
}

static void log_refusal(struct srv_req *r, const char *event, const struct poison_verdict *verdict,
			int64_t retry_ms)
{
	int64_t now_ms = clock_now_ms();
	char *digest = srv_hex_ids(&r->digest, 1);

	log_info(event, "{s:s, s:s, s:i, s:i, s:I, s:I, s:I}", "request", r->meta.attempt, "digest",
		 digest, "upstreams", (int)verdict->n_upstreams, "steps", (int)verdict->n_steps,
		 "first_ms_ago", (json_int_t)(now_ms - verdict->first_ms), "last_ms_ago",
		 (json_int_t)(now_ms - verdict->last_ms), "retry_after_ms", (json_int_t)retry_ms);
	g_free(digest);
}

/* Refuses a request that hasn't run, fails it otherwise. */
static void end_request(struct srv_req *r, int64_t retry_ms, const char *reason)
{
	if (r->response_started || r->runs > 0)
		srv_req_fail(r, 502, reason);
	else
		srv_req_refuse(r, retry_ms, reason);
}

void srv_poison_end(struct srv_req *r, const struct poison_verdict *verdict)
{
	log_refusal(r, "request_refused", verdict, verdict->retry_after_ms);
	srv_count(r->s, SRV_POISON_REFUSED);
	end_request(r, verdict->retry_after_ms, SRV_POISON_REASON);
}

static void end_ungranted(struct srv_req *r, int64_t retry_ms)
{
	struct poison_verdict verdict;

	srv_poison_check(r, &verdict);
	log_refusal(r, "run_not_granted", &verdict, retry_ms);
	srv_count(r->s, SRV_RUNS_NOT_GRANTED);
	end_request(r, retry_ms, REASON_RUNNING);
}

/* Returns the address of the node that grants runs of the request; NULL: this one. */
static const char *owner_of(struct srv *s, uint64_t request, int64_t now_ms)
{
	char *task = srv_hex_ids(&request, 1);
	const struct gossip_member *owner = gossip_task_owner(s->fleet, task, now_ms);

	g_free(task);
	if (!owner || strcmp(owner->record.peer_address, s->set->peer_address) == 0)
		return NULL;
	return owner->record.peer_address;
}

static void send_ask(struct srv *s, const char *owner, uint64_t request, int64_t now_ms)
{
	Peer__RunAsk ask = PEER__RUN_ASK__INIT;
	Peer__Message wire = PEER__MESSAGE__INIT;

	ask.request = request;
	ask.asked_ms = now_ms;
	wire.kind_case = PEER__MESSAGE__KIND_RUN_ASK;
	wire.run_ask = &ask;
	srv_peer_send(s, owner, &wire);
}

/* Takes a run; granted_ms identifies the grant at the node granted_by, 0 if none was given. */
static void take_run(struct srv_req *r, const char *granted_by, int64_t granted_ms)
{
	r->granted_runs = srv_req_count_runs(r) + 1;
	g_free(r->granted_by);
	r->granted_by = g_strdup(granted_by);
	r->granted_ms = granted_ms;
	r->n_attempts_before_grant = r->n_attempts;
}

/* Returns whether an upstream may have run the request since the last grant. */
static bool may_have_used_grant(const struct srv_req *r)
{
	for (uint32_t i = r->n_attempts_before_grant; i < r->n_attempts; i++) {
		if (r->attempts[i].call || r->attempts[i].verdict != SRV_ATTEMPT_NOT_RUN)
			return true;
	}
	return false;
}

static void send_return(struct srv_req *r)
{
	Peer__RunReturn out = PEER__RUN_RETURN__INIT;
	Peer__Message wire = PEER__MESSAGE__INIT;

	out.request = r->digest;
	out.granted_ms = r->granted_ms;
	wire.kind_case = PEER__MESSAGE__KIND_RUN_RETURN;
	wire.run_return = &out;
	srv_peer_send(r->s, r->granted_by, &wire);
}

void srv_poison_return_run(struct srv_req *r)
{
	char *digest;

	if (r->granted_ms != 0 && !may_have_used_grant(r)) {
		digest = srv_hex_ids(&r->digest, 1);
		/* the attempt id is not logged: it was freed with the caller's request */
		log_info("run_returned", "{s:s, s:s}", "digest", digest, "granted_by",
			 r->granted_by ? r->granted_by : r->s->set->peer_address);
		g_free(digest);
		if (r->granted_by)
			send_return(r);
		else
			poison_return_run(r->s->poison, r->digest, r->granted_ms);
	}
	r->granted_ms = 0;
	g_clear_pointer(&r->granted_by, g_free);
}

/* Asks the owner, or decides as the owner. Returns whether the request waits or has ended. */
static bool ask_for_run(struct srv_req *r, int64_t now_ms)
{
	struct srv *s = r->s;
	const char *owner = owner_of(s, r->digest, now_ms);
	struct poison_grant grant;

	srv_count(s, SRV_RUN_ASKS);
	if (owner) {
		send_ask(s, owner, r->digest, now_ms);
		r->run_asked_ms = now_ms;
		r->send_at_ms = now_ms + POISON_ASK_TIMEOUT_MS;
		srv_req_arm_timer(r);
		return true;
	}
	poison_grant_run(s->poison, r->digest, now_ms, &grant);
	if (!grant.is_granted) {
		end_ungranted(r, grant.wait_ms);
		return true;
	}
	take_run(r, NULL, grant.granted_ms);
	return false;
}

/* No reply: the owner is lost, or of a build that doesn't know the question. */
static bool go_on_without_reply(struct srv_req *r, const struct poison_verdict *verdict)
{
	r->run_asked_ms = 0;
	log_refusal(r, "run_ask_lost", verdict, 0);
	if (verdict->n_upstreams >= POISON_DOUBT_UPSTREAMS) {
		end_ungranted(r, UNKNOWN_OWNER_RETRY_MS);
		return true;
	}
	take_run(r, NULL, 0);
	return false;
}

bool srv_poison_wait(struct srv_req *r, int64_t now_ms)
{
	struct poison_verdict verdict;

	srv_poison_check(r, &verdict);
	if (verdict.state != POISON_SUSPECTED || srv_req_count_runs(r) < r->granted_runs)
		return false;
	if (r->run_asked_ms == 0)
		return ask_for_run(r, now_ms);
	if (now_ms - r->run_asked_ms >= POISON_ASK_TIMEOUT_MS)
		return go_on_without_reply(r, &verdict);
	r->send_at_ms = r->run_asked_ms + POISON_ASK_TIMEOUT_MS;
	srv_req_arm_timer(r);
	return true;
}

static void answer_ask(struct srv *s, const char *from, const Peer__RunAsk *in)
{
	Peer__RunReply reply = PEER__RUN_REPLY__INIT;
	Peer__Message wire = PEER__MESSAGE__INIT;
	struct poison_grant grant;

	if (in->request == 0) {
		log_warn("run_ask_invalid", "{s:s}", "from", from);
		return;
	}
	poison_grant_run(s->poison, in->request, clock_now_ms(), &grant);
	reply.request = in->request;
	reply.asked_ms = in->asked_ms;
	reply.granted = grant.is_granted;
	reply.wait_ms = grant.wait_ms;
	reply.granted_ms = grant.granted_ms;
	wire.kind_case = PEER__MESSAGE__KIND_RUN_REPLY;
	wire.run_reply = &reply;
	srv_peer_send_when_open(s, from, &wire);
}

static void handle_reply(struct srv *s, const char *from, const Peer__RunReply *in)
{
	for (const GList *at = s->requests.head; at; at = at->next) {
		struct srv_req *r = at->data;
		if (r->run_asked_ms == 0 || r->run_asked_ms != in->asked_ms ||
		    r->digest != in->request)
			continue;
		r->run_asked_ms = 0;
		if (!in->granted) {
			end_ungranted(r, in->wait_ms);
			return;
		}
		take_run(r, from, in->granted_ms);
		srv_req_send(r); /* may free the request */
		return;
	}
}

void srv_poison_message(struct srv *s, const Peer__Message *message)
{
	if (message->kind_case == PEER__MESSAGE__KIND_RUN_EVIDENCE)
		srv_poison_merge(s, message->from_vm, message->run_evidence);
	else if (message->kind_case == PEER__MESSAGE__KIND_RUN_ASK)
		answer_ask(s, message->from_vm, message->run_ask);
	else if (message->kind_case == PEER__MESSAGE__KIND_RUN_REPLY)
		handle_reply(s, message->from_vm, message->run_reply);
	else
		poison_return_run(s->poison, message->run_return->request,
				  message->run_return->granted_ms);
}

void srv_poison_tick(struct srv *s, int64_t now_ms)
{
	if (now_ms - s->poison_ticked_ms < TICK_MS)
		return;
	s->poison_ticked_ms = now_ms;
	poison_tick(s->poison, now_ms);
	srv_poison_log_changes(s, now_ms);
}
