/*
 * Quarantine of prompt parts that crash upstreams: collects evidence from this node's attempts,
 * exchanges it with the other nodes, and logs which parts go into quarantine and why. The decisions
 * are in decide/quarantine.h.
 */
#include "srv_quarantine.h"

#include "srv_gate.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

/* Gossip rounds between two messages that repeat the evidence to a random node. */
#define REPEAT_ROUNDS 10
/* Bounds of one message; evidence beyond them follows in further ones. */
#define MESSAGE_CRASHES_MAX 16
#define MESSAGE_GOODS_MAX 64
/* Crash reports that a node sends a second; the repeated messages bring what is left out. */
#define REPORTS_PER_S 20

/* A message under construction, for one node or, if to is NULL, for all live ones. */
struct message {
	struct srv *s;
	const char *to;
	int64_t now_ms;
	Peer__CrashReport crashes[MESSAGE_CRASHES_MAX];
	Peer__CrashReport *crash_list[MESSAGE_CRASHES_MAX];
	Peer__GoodReport goods[MESSAGE_GOODS_MAX];
	Peer__GoodReport *good_list[MESSAGE_GOODS_MAX];
	Peer__PromptEvidence evidence;
};

static struct message *message_new(struct srv *s, const char *to, int64_t now_ms)
{
	struct message *m = g_new0(struct message, 1);

	m->s = s;
	m->to = to;
	m->now_ms = now_ms;
	peer__prompt_evidence__init(&m->evidence);
	m->evidence.crashes = m->crash_list;
	m->evidence.goods = m->good_list;
	return m;
}

static void free_parts(struct message *m)
{
	for (size_t i = 0; i < m->evidence.n_crashes; i++) {
		g_free(m->crashes[i].parts[0]);
		g_free(m->crashes[i].parts);
	}
}

/* Sends what the message holds and empties it. */
static void flush(struct message *m)
{
	Peer__Message wire = PEER__MESSAGE__INIT;

	if (m->evidence.n_crashes + m->evidence.n_goods == 0)
		return;
	wire.kind_case = PEER__MESSAGE__KIND_PROMPT_EVIDENCE;
	wire.prompt_evidence = &m->evidence;
	if (m->to)
		srv_peer_send_when_open(m->s, m->to, &wire);
	else
		srv_peer_send_live(m->s, &wire, m->now_ms);
	free_parts(m);
	m->evidence.n_crashes = 0;
	m->evidence.n_goods = 0;
}

static void message_send(struct message *m)
{
	flush(m);
	g_free(m);
}

static void add_crash(void *arg, const struct quarantine_crash *crash)
{
	struct message *m = arg;
	Peer__CrashReport *out = &m->crashes[m->evidence.n_crashes];
	Peer__PromptPart *parts;

	if (crash->n_parts == 0)
		return;
	peer__crash_report__init(out);
	out->upstream = crash->upstream;
	out->age_ms = (uint64_t)MAX(m->now_ms - crash->at_ms, 0);
	out->parts = g_new(Peer__PromptPart *, crash->n_parts);
	out->n_parts = crash->n_parts;
	parts = g_new(Peer__PromptPart, crash->n_parts);
	for (uint32_t i = 0; i < crash->n_parts; i++) {
		peer__prompt_part__init(&parts[i]);
		parts[i].id = crash->parts[i].id;
		parts[i].depth = crash->parts[i].depth;
		out->parts[i] = &parts[i];
	}
	m->crash_list[m->evidence.n_crashes++] = out;
	if (m->evidence.n_crashes == MESSAGE_CRASHES_MAX)
		flush(m);
}

static void add_good(void *arg, const struct quarantine_good *good)
{
	struct message *m = arg;
	Peer__GoodReport *out = &m->goods[m->evidence.n_goods];

	peer__good_report__init(out);
	out->part = good->part;
	out->age_ms = (uint64_t)MAX(m->now_ms - good->at_ms, 0);
	m->good_list[m->evidence.n_goods++] = out;
	if (m->evidence.n_goods == MESSAGE_GOODS_MAX)
		flush(m);
}

static void log_change(const struct quarantine_change *change, int64_t now_ms)
{
	char *part = srv_hex_ids(&change->part, 1);
	char *upstreams = srv_hex_ids(change->upstreams, change->n);
	json_t *ages = json_array();

	for (uint32_t i = 0; i < change->n; i++)
		json_array_append_new(ages, json_integer(now_ms - change->crash_ms[i]));
	log_warn(change->blocked ? "prompt_part_quarantined" : "prompt_part_released",
		 "{s:s, s:i, s:I, s:I, s:s, s:o}", "part", part, "crashes", (int)change->n_crashes,
		 "first_ms_ago", (json_int_t)(now_ms - change->first_crash_ms), "last_ms_ago",
		 (json_int_t)(now_ms - change->last_crash_ms), "crash_ids", upstreams,
		 "crash_ms_ago", ages);
	g_free(part);
	g_free(upstreams);
}

void srv_quarantine_tick(struct srv *s, int64_t now_ms)
{
	struct quarantine_change change;

	while (quarantine_next_change(s->quarantine, &change, now_ms))
		log_change(&change, now_ms);
}

/* Copies the ids of all parts but the last, which is the request's own; returns their number. */
static uint32_t shared_parts(const struct adapter_request *meta, uint64_t *parts)
{
	uint32_t n = meta->n_parts > 0 ? meta->n_parts - 1 : 0;

	for (uint32_t i = 0; i < n; i++)
		parts[i] = meta->parts[i].id;
	return n;
}

void srv_quarantine_note_good(struct srv *s, const struct adapter_request *meta, int64_t begun_ms)
{
	uint64_t parts[ADAPTER_PROMPT_PARTS_MAX];
	uint32_t n = shared_parts(meta, parts);
	int64_t now_ms = clock_now_ms();
	struct message *m;

	if (!quarantine_note_good(s->quarantine, parts, n, begun_ms, now_ms))
		return;
	m = message_new(s, NULL, now_ms);
	for (uint32_t i = 0; i < n; i++)
		add_good(m, &(struct quarantine_good){.part = parts[i], .at_ms = begun_ms});
	message_send(m);
}

void srv_quarantine_note_crash(struct srv *s, const struct adapter_request *meta,
			       const struct srv_upstream *u, int64_t begun_ms)
{
	uint64_t parts[ADAPTER_PROMPT_PARTS_MAX];
	struct quarantine_part report[ADAPTER_PROMPT_PARTS_MAX];
	uint32_t n = shared_parts(meta, parts);
	int64_t now_ms = clock_now_ms();
	struct quarantine_crash crash = {
		.upstream = srv_upstream_run_hash(u->id, srv_gate_run_of(s, u->id).born_ms),
		.at_ms = now_ms,
		.parts = report};
	struct message *m;
	char *parts_text;
	char *crash_text;

	if (n == 0)
		return;
	crash.n_parts =
		quarantine_note_crash(s->quarantine, crash.upstream, parts, n, report, now_ms);
	parts_text = srv_hex_ids(parts, n);
	crash_text = srv_hex_ids(&crash.upstream, 1);
	log_info("upstream_crashed", "{s:s, s:s, s:s, s:s, s:s, s:i, s:I}", "request",
		 meta->attempt, "upstream", u->id, "address", u->address, "crash_id", crash_text,
		 "parts", parts_text, "suspected", (int)crash.n_parts, "answered_ms",
		 (json_int_t)(now_ms - begun_ms));
	g_free(parts_text);
	g_free(crash_text);
	srv_quarantine_tick(s, now_ms);
	if (crash.n_parts == 0 || !srv_rate_take(&s->crash_reports, REPORTS_PER_S, now_ms))
		return;
	srv_count(s, SRV_CRASH_REPORTS);
	m = message_new(s, NULL, now_ms);
	add_crash(m, &crash);
	message_send(m);
}

bool srv_quarantine_may_try(void *arg, uint64_t id)
{
	struct srv *s = arg;
	char *task = srv_hex_ids(&id, 1);
	struct gossip_share share = gossip_compute_share(s->fleet, task, clock_now_ms());

	g_free(task);
	return s->is_ready && share.rank == 0;
}

void srv_quarantine_check(struct srv *s, const struct adapter_request *meta,
			  struct quarantine_verdict *verdict)
{
	uint64_t parts[ADAPTER_PROMPT_PARTS_MAX];
	uint32_t n = shared_parts(meta, parts);

	*verdict = (struct quarantine_verdict){.state = QUARANTINE_CLEAR};
	if (n > 0 && srv_has_policy(s, POLICY_QUARANTINE))
		quarantine_check(s->quarantine, parts, n, srv_quarantine_may_try, s, clock_now_ms(),
				 verdict);
}

void srv_quarantine_log_refusal(const struct adapter_request *meta,
				const struct quarantine_verdict *verdict)
{
	int64_t now_ms = clock_now_ms();
	char *part = srv_hex_ids(&verdict->part, 1);

	log_info("request_quarantined", "{s:s, s:s, s:i, s:I, s:I, s:I}", "request", meta->attempt,
		 "part", part, "crashes", (int)verdict->n_crashes, "first_ms_ago",
		 (json_int_t)(now_ms - verdict->first_crash_ms), "last_ms_ago",
		 (json_int_t)(now_ms - verdict->last_crash_ms), "retry_after_ms",
		 (json_int_t)verdict->retry_after_ms);
	g_free(part);
}

void srv_quarantine_send_all(struct srv *s, const char *to, int64_t now_ms)
{
	struct message *m;

	if (!quarantine_has_evidence(s->quarantine, now_ms))
		return;
	m = message_new(s, to, now_ms);
	quarantine_foreach_crash(s->quarantine, add_crash, m, now_ms);
	quarantine_foreach_good(s->quarantine, add_good, m, now_ms);
	message_send(m);
}

void srv_quarantine_round(struct srv *s, const char *to, int64_t now_ms)
{
	if (s->gossip_rounds % REPEAT_ROUNDS == 0)
		srv_quarantine_send_all(s, to, now_ms);
}

/* Decodes a report. Returns false if it is malformed. */
static bool decode_crash(const Peer__CrashReport *in, struct quarantine_part *parts,
			 struct quarantine_crash *out, int64_t now_ms)
{
	if (in->n_parts == 0 || in->n_parts > QUARANTINE_REPORT_PARTS_MAX ||
	    in->age_ms > QUARANTINE_KEEP_BLOCKED_MS)
		return false;
	for (size_t i = 0; i < in->n_parts; i++)
		parts[i] = (struct quarantine_part){in->parts[i]->id, in->parts[i]->depth};
	*out = (struct quarantine_crash){
		.upstream = in->upstream,
		.at_ms = now_ms - (int64_t)in->age_ms,
		.parts = parts,
		.n_parts = (uint32_t)in->n_parts,
	};
	return true;
}

/* Merges the crash; answers the sender with this node's good answers that contradict it. */
static void merge_crash(struct srv *s, struct message *reply, const Peer__CrashReport *in)
{
	struct quarantine_part parts[QUARANTINE_REPORT_PARTS_MAX];
	struct quarantine_good goods[MESSAGE_GOODS_MAX];
	struct quarantine_crash crash;
	uint32_t n;

	if (!decode_crash(in, parts, &crash, reply->now_ms)) {
		log_warn("crash_report_invalid", "{s:s, s:i}", "from", reply->to, "parts",
			 (int)in->n_parts);
		return;
	}
	quarantine_merge_crash(s->quarantine, &crash, reply->now_ms);
	/* also for a report that is known: its sender may have missed a good answer */
	n = quarantine_contradict(s->quarantine, &crash, goods, G_N_ELEMENTS(goods), reply->now_ms);
	for (uint32_t i = 0; i < n; i++)
		add_good(reply, &goods[i]);
}

void srv_quarantine_message(struct srv *s, const char *from, const Peer__PromptEvidence *in)
{
	int64_t now_ms = clock_now_ms();
	struct message *reply = message_new(s, from, now_ms);
	struct message *spread = message_new(s, NULL, now_ms);

	reply->evidence.is_reply = true;
	for (size_t i = 0; i < in->n_crashes; i++)
		merge_crash(s, reply, in->crashes[i]);
	for (size_t i = 0; i < in->n_goods; i++) {
		const struct quarantine_good good = {
			.part = in->goods[i]->part,
			.at_ms =
				now_ms - (int64_t)MIN(in->goods[i]->age_ms, QUARANTINE_KEEP_MS + 1),
		};
		if (quarantine_merge_good(s->quarantine, &good, now_ms) && in->is_reply)
			add_good(spread, &good);
	}
	message_send(reply);
	message_send(spread);
	srv_quarantine_tick(s, now_ms);
}
