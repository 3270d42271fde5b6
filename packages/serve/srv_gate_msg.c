/* Messages between nodes about upstreams: notices of what they said, and permits. */
#include "srv_chain_int.h"
#include "srv_gate.h"

#include "base/clock.h"
#include "base/log.h"

#include <math.h>
#include <string.h>

/* Gossip rounds between two messages that repeat the notices to a random node. */
#define REPEAT_ROUNDS 10
#define MESSAGE_NOTICES_MAX 64
#define NOTICE_AGE_MAX_MS 3600000

/* Notices for one node or, if to is NULL, for all live ones. */
struct message {
	struct srv *s;
	const char *to;
	int64_t now_ms;
	Peer__UpstreamNotice notices[MESSAGE_NOTICES_MAX];
	Peer__UpstreamNotice *list[MESSAGE_NOTICES_MAX];
	size_t n;
};

/* at_ms 0: it never happened. */
static uint64_t age_of(int64_t at_ms, int64_t now_ms)
{
	return at_ms != 0 ? (uint64_t)MAX(now_ms - at_ms, 0) : 0;
}

static void encode(Peer__UpstreamNotice *out, const struct gate_notice *notice, int64_t now_ms)
{
	peer__upstream_notice__init(out);
	out->upstream = (char *)notice->run.id;
	out->born_ms = notice->run.born_ms;
	out->limited = notice->limit_per_s >= 0;
	out->limit_per_s = notice->limit_per_s;
	out->has_named = notice->limit_ms != 0;
	out->limit_age_ms = age_of(notice->limit_ms, now_ms);
	out->leaving = notice->leaving_ms != 0;
	out->leaving_age_ms = age_of(notice->leaving_ms, now_ms);
	out->brittle = notice->brittle_per_s >= 0;
	out->brittle_per_s = notice->brittle_per_s;
	out->has_said_brittle = notice->brittle_ms != 0;
	out->brittle_age_ms = age_of(notice->brittle_ms, now_ms);
	out->refused = notice->refused_ms != 0;
	out->refused_age_ms = age_of(notice->refused_ms, now_ms);
	out->crowded = notice->crowded_ms != 0;
	out->crowded_age_ms = age_of(notice->crowded_ms, now_ms);
}

/* Ages are bounded, so that times of other nodes can't overflow. */
static int64_t time_of(bool has_happened, uint64_t age_ms, int64_t now_ms)
{
	return has_happened ? now_ms - (int64_t)MIN(age_ms, NOTICE_AGE_MAX_MS) : 0;
}

/* Whether the rate is a number that an upstream can say. */
static bool is_rate(double per_s)
{
	return isfinite(per_s) && per_s >= 0;
}

bool srv_gate_decode(const Peer__UpstreamNotice *in, struct gate_notice *out, int64_t now_ms)
{
	if (!in || !in->upstream[0] || (in->limited && !is_rate(in->limit_per_s)) ||
	    (in->brittle && !is_rate(in->brittle_per_s)))
		return false;
	*out = (struct gate_notice){
		.run = {in->upstream, in->born_ms},
		.limit_per_s = in->limited ? in->limit_per_s : -1,
		.limit_ms = time_of(in->has_named, in->limit_age_ms, now_ms),
		.leaving_ms = time_of(in->leaving, in->leaving_age_ms, now_ms),
		.brittle_per_s = in->brittle ? in->brittle_per_s : -1,
		.brittle_ms = time_of(in->has_said_brittle, in->brittle_age_ms, now_ms),
		.refused_ms = time_of(in->refused, in->refused_age_ms, now_ms),
		.crowded_ms = time_of(in->crowded, in->crowded_age_ms, now_ms),
	};
	return true;
}

static void flush(struct message *m)
{
	const struct gossip_member *member = m->to ? gossip_find(m->s->fleet, m->to) : NULL;
	Peer__UpstreamNotices notices = PEER__UPSTREAM_NOTICES__INIT;
	Peer__Message wire = PEER__MESSAGE__INIT;

	notices.notices = m->list;
	notices.n_notices = m->n;
	wire.kind_case = PEER__MESSAGE__KIND_UPSTREAM_NOTICES;
	wire.upstream_notices = &notices;
	if (m->n > 0 && !m->to)
		srv_peer_send_live(m->s, &wire, m->now_ms);
	else if (m->n > 0 && member && gossip_is_alive(m->s->fleet, member, m->now_ms))
		srv_peer_send_when_open(m->s, m->to, &wire);
	m->n = 0;
}

static void add_notice(void *arg, const struct gate_notice *notice)
{
	struct message *m = arg;

	encode(&m->notices[m->n], notice, m->now_ms);
	m->list[m->n] = &m->notices[m->n];
	if (++m->n == MESSAGE_NOTICES_MAX)
		flush(m);
}

void srv_gate_tell_all(struct srv *s, struct gate_run run, int64_t now_ms)
{
	struct message m = {.s = s, .now_ms = now_ms};
	struct gate_notice notice;

	if (!gate_get_notice(s->gate, run, &notice))
		return;
	add_notice(&m, &notice);
	flush(&m);
}

void srv_gate_send_all(struct srv *s, const char *to, int64_t now_ms)
{
	struct message m = {.s = s, .to = to, .now_ms = now_ms};

	gate_foreach(s->gate, add_notice, &m);
	flush(&m);
}

void srv_gate_round(struct srv *s, const char *to, int64_t now_ms)
{
	if (s->gossip_rounds % REPEAT_ROUNDS == 0)
		srv_gate_send_all(s, to, now_ms);
}

void srv_gate_ask(struct srv *s, struct gate_run run, uint32_t n_waiting, bool is_urgent)
{
	int64_t now_ms = clock_now_ms();
	const struct gossip_member *owner = gossip_task_owner(s->fleet, run.id, now_ms);
	Peer__UpstreamNotice notice;
	Peer__PermitAsk wire = PEER__PERMIT_ASK__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	struct gate_ask ask;

	srv_count(s, SRV_PERMIT_ASKS);
	gate_begin_ask(s->gate, run, n_waiting, is_urgent, now_ms, &ask);
	if (!owner || strcmp(owner->record.peer_address, s->set->peer_address) == 0)
		return; /* not decided yet: the ask times out */
	encode(&notice, &ask.notice, now_ms);
	wire.notice = &notice;
	wire.want = ask.want;
	wire.urgent = ask.is_urgent;
	wire.asked_ms = ask.asked_ms;
	message.kind_case = PEER__MESSAGE__KIND_PERMIT_ASK;
	message.permit_ask = &wire;
	srv_peer_send(s, owner->record.peer_address, &message);
}

static void tell_crowded(struct srv *s, struct gate_run run, int64_t now_ms)
{
	log_info("upstream_crowded", "{s:s, s:I}", "upstream", run.id, "born_ms",
		 (json_int_t)run.born_ms);
	srv_count(s, SRV_CROWDED);
	srv_gate_tell_all(s, run, now_ms);
	srv_gate_update_pools(s, now_ms);
}

void srv_gate_note_use(struct srv *s, const char *id)
{
	int64_t now_ms = clock_now_ms();
	struct gate_run run = srv_gate_run_of(s, id);
	const struct gossip_member *owner;
	Peer__UpstreamUse use = PEER__UPSTREAM_USE__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	if (!gate_is_use_due(s->gate, run, now_ms, &use.in_flight))
		return;
	owner = gossip_task_owner(s->fleet, id, now_ms);
	if (!owner)
		return;
	if (strcmp(owner->record.peer_address, s->set->peer_address) == 0) {
		if (gate_note_own_use(s->gate, run, now_ms))
			tell_crowded(s, run, now_ms);
		return;
	}
	use.upstream = (char *)run.id;
	use.born_ms = run.born_ms;
	message.kind_case = PEER__MESSAGE__KIND_UPSTREAM_USE;
	message.upstream_use = &use;
	srv_peer_send(s, owner->record.peer_address, &message);
}

static void handle_use(struct srv *s, const char *from, const Peer__UpstreamUse *in)
{
	int64_t now_ms = clock_now_ms();
	struct gate_run run = {in->upstream, in->born_ms};

	if (strlen(from) < GATE_NODE_BYTES &&
	    gate_note_use(s->gate, run, from, in->in_flight, now_ms))
		tell_crowded(s, run, now_ms);
}

static void answer_ask(struct srv *s, const char *from, const Peer__PermitAsk *in)
{
	Peer__PermitReply wire = PEER__PERMIT_REPLY__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	int64_t now_ms = clock_now_ms();
	struct gate_reply reply;
	struct gate_ask ask = {
		.want = in->want,
		.is_urgent = in->urgent,
		.asked_ms = in->asked_ms,
	};

	if (!srv_gate_decode(in->notice, &ask.notice, now_ms)) {
		log_warn("permit_ask_invalid", "{s:s}", "from", from);
		return;
	}
	gate_handle_ask(s->gate, &ask, from, now_ms, &reply);
	s->counters[SRV_PERMITS_GRANTED] += reply.n_granted;
	wire.upstream = (char *)reply.run.id;
	wire.born_ms = reply.run.born_ms;
	wire.granted = reply.n_granted;
	wire.wait_ms = reply.wait_ms;
	wire.asked_ms = reply.asked_ms;
	message.kind_case = PEER__MESSAGE__KIND_PERMIT_REPLY;
	message.permit_reply = &wire;
	srv_peer_send_when_open(s, from, &message);
}

static void merge_notices(struct srv *s, const char *from, const Peer__UpstreamNotices *in)
{
	int64_t now_ms = clock_now_ms();
	struct gate_notice notice;
	bool is_changed = false;

	for (size_t i = 0; i < in->n_notices; i++) {
		if (!srv_gate_decode(in->notices[i], &notice, now_ms)) {
			log_warn("upstream_notice_invalid", "{s:s}", "from", from);
			continue;
		}
		if (!gate_merge(s->gate, &notice, now_ms))
			continue;
		is_changed = true;
		srv_gate_log_notice(&notice, from, now_ms);
		if (notice.brittle_ms != 0 && notice.brittle_per_s >= 0)
			srv_gate_spread_brittle(s, notice.run.id, notice.brittle_per_s, now_ms);
	}
	s->is_pool_update_due |= is_changed;
}

static void handle_reply(struct srv *s, const struct gate_reply *reply)
{
	int64_t now_ms = clock_now_ms();
	GArray *out;

	if (reply->n_granted == 0)
		srv_count(s, SRV_PERMITS_REFUSED);
	gate_note_reply(s->gate, reply, now_ms);
	srv_permit_wake(s, reply->run.id);
	if (!chain_has_upstream(s->chains, reply->run.id))
		return;
	srv_gate_update_pool(s, reply->run.id, now_ms);
	out = chain_cmd_list_new();
	chain_run_timers(s->chains, now_ms, out);
	srv_chain_execute(s, out);
}

void srv_gate_message(struct srv *s, const Peer__Message *message)
{
	if (message->kind_case == PEER__MESSAGE__KIND_UPSTREAM_NOTICES) {
		merge_notices(s, message->from_vm, message->upstream_notices);
	} else if (message->kind_case == PEER__MESSAGE__KIND_UPSTREAM_USE) {
		handle_use(s, message->from_vm, message->upstream_use);
	} else if (message->kind_case == PEER__MESSAGE__KIND_PERMIT_ASK) {
		answer_ask(s, message->from_vm, message->permit_ask);
	} else {
		const Peer__PermitReply *in = message->permit_reply;
		const struct gate_reply reply = {
			.run = {in->upstream, in->born_ms},
			.n_granted = in->granted,
			.wait_ms = in->wait_ms,
			.asked_ms = in->asked_ms,
		};
		handle_reply(s, &reply);
	}
}
