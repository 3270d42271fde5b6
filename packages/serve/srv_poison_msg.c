/* Evidence on requests that crash upstreams, as nodes tell each other. */
#include "srv_poison.h"

#include "base/clock.h"
#include "base/log.h"

/* Gossip rounds between two messages that repeat the evidence to a random node. */
#define REPEAT_ROUNDS 10
/* Bounds of one message; evidence beyond them follows in further ones. */
#define MESSAGE_ENDS_MAX 32
#define MESSAGE_GOODS_MAX 32
#define MESSAGE_ALIVE_MAX 32
/* Ends that a node reports a second; the repeated messages bring what is left out. */
#define REPORTS_PER_S 20
#define AGE_MAX_MS POISON_KEEP_REFUSED_MS /* of evidence; bounds the times of other nodes */

/* Evidence for one node or, if to is NULL, for all live ones. */
struct message {
	struct srv *s;
	const char *to;
	int64_t now_ms;
	Peer__RunEnd ends[MESSAGE_ENDS_MAX];
	Peer__RunEnd *end_list[MESSAGE_ENDS_MAX];
	Peer__RunGood goods[MESSAGE_GOODS_MAX];
	Peer__RunGood *good_list[MESSAGE_GOODS_MAX];
	Peer__RunAlive alive[MESSAGE_ALIVE_MAX];
	Peer__RunAlive *alive_list[MESSAGE_ALIVE_MAX];
	Peer__RunEvidence evidence;
};

static struct message *message_new(struct srv *s, const char *to, int64_t now_ms)
{
	struct message *m = g_new0(struct message, 1);

	m->s = s;
	m->to = to;
	m->now_ms = now_ms;
	peer__run_evidence__init(&m->evidence);
	m->evidence.ends = m->end_list;
	m->evidence.goods = m->good_list;
	m->evidence.alive = m->alive_list;
	return m;
}

/* Sends what the message holds and empties it. */
static void flush(struct message *m)
{
	Peer__Message wire = PEER__MESSAGE__INIT;

	if (m->evidence.n_ends + m->evidence.n_goods + m->evidence.n_alive == 0)
		return;
	wire.kind_case = PEER__MESSAGE__KIND_RUN_EVIDENCE;
	wire.run_evidence = &m->evidence;
	if (m->to)
		srv_peer_send_when_open(m->s, m->to, &wire);
	else
		srv_peer_send_live(m->s, &wire, m->now_ms);
	m->evidence.n_ends = 0;
	m->evidence.n_goods = 0;
	m->evidence.n_alive = 0;
}

static void message_send(struct message *m)
{
	flush(m);
	g_free(m);
}

static uint64_t age_of(const struct message *m, int64_t at_ms)
{
	return (uint64_t)MAX(m->now_ms - at_ms, 0);
}

static int64_t time_of(uint64_t age_ms, int64_t now_ms)
{
	return now_ms - (int64_t)MIN(age_ms, (uint64_t)AGE_MAX_MS + 1);
}

static void add_end(void *arg, const struct poison_end *end)
{
	struct message *m = arg;
	Peer__RunEnd *out = &m->ends[m->evidence.n_ends];

	peer__run_end__init(out);
	out->request = end->request;
	out->upstream = end->upstream;
	out->age_ms = age_of(m, end->at_ms);
	out->sent_age_ms = age_of(m, end->sent_ms);
	m->end_list[m->evidence.n_ends++] = out;
	if (m->evidence.n_ends == MESSAGE_ENDS_MAX)
		flush(m);
}

static void add_good(void *arg, const struct poison_good *good)
{
	struct message *m = arg;
	Peer__RunGood *out = &m->goods[m->evidence.n_goods];

	peer__run_good__init(out);
	out->request = good->request;
	out->age_ms = age_of(m, good->at_ms);
	m->good_list[m->evidence.n_goods++] = out;
	if (m->evidence.n_goods == MESSAGE_GOODS_MAX)
		flush(m);
}

static void add_alive(void *arg, const struct poison_alive *alive)
{
	struct message *m = arg;
	Peer__RunAlive *out = &m->alive[m->evidence.n_alive];

	peer__run_alive__init(out);
	out->upstream = alive->upstream;
	out->sent_age_ms = age_of(m, alive->sent_ms);
	m->alive_list[m->evidence.n_alive++] = out;
	if (m->evidence.n_alive == MESSAGE_ALIVE_MAX)
		flush(m);
}

void srv_poison_tell_end(struct srv *s, const struct poison_end *end, int64_t now_ms)
{
	struct message *m;

	if (!srv_rate_take(&s->run_reports, REPORTS_PER_S, now_ms))
		return;
	srv_count(s, SRV_RUN_REPORTS);
	m = message_new(s, NULL, now_ms);
	add_end(m, end);
	message_send(m);
}

void srv_poison_tell_good(struct srv *s, const struct poison_good *good, int64_t now_ms)
{
	struct message *m = message_new(s, NULL, now_ms);

	add_good(m, good);
	message_send(m);
}

void srv_poison_tell_alive(struct srv *s, const struct poison_alive *alive, int64_t now_ms)
{
	struct message *m = message_new(s, NULL, now_ms);

	add_alive(m, alive);
	message_send(m);
}

void srv_poison_send_all(struct srv *s, const char *to, int64_t now_ms)
{
	struct message *m;

	if (poison_is_empty(s->poison))
		return;
	m = message_new(s, to, now_ms);
	poison_foreach_end(s->poison, add_end, m);
	poison_foreach_good(s->poison, add_good, m);
	poison_foreach_alive(s->poison, add_alive, m);
	message_send(m);
}

void srv_poison_round(struct srv *s, const char *to, int64_t now_ms)
{
	if (s->gossip_rounds % REPEAT_ROUNDS == 0)
		srv_poison_send_all(s, to, now_ms);
}

static void log_change(const struct poison_change *change, int64_t now_ms)
{
	char *digest = srv_hex_ids(&change->request, 1);
	char *upstreams = srv_hex_ids(change->upstreams, change->n);
	json_t *ages = json_array();

	for (uint32_t i = 0; i < change->n; i++)
		json_array_append_new(ages, json_integer(now_ms - change->end_ms[i]));
	log_warn(change->is_refused ? "request_blocked" : "request_unblocked",
		 "{s:s, s:i, s:i, s:s, s:o}", "digest", digest, "upstreams",
		 (int)change->verdict.n_upstreams, "steps", (int)change->verdict.n_steps,
		 "crash_ids", upstreams, "crash_ms_ago", ages);
	g_free(digest);
	g_free(upstreams);
}

void srv_poison_log_changes(struct srv *s, int64_t now_ms)
{
	struct poison_change change;

	while (poison_next_change(s->poison, &change))
		log_change(&change, now_ms);
}

void srv_poison_merge(struct srv *s, const char *from, const Peer__RunEvidence *in)
{
	int64_t now_ms = clock_now_ms();

	for (size_t i = 0; i < in->n_ends; i++) {
		const Peer__RunEnd *end = in->ends[i];
		if (end->request == 0 || end->upstream == 0 || end->age_ms > AGE_MAX_MS) {
			log_warn("run_report_invalid", "{s:s}", "from", from);
			continue;
		}
		poison_merge_end(s->poison,
				 &(struct poison_end){
					 .request = end->request,
					 .upstream = end->upstream,
					 .at_ms = time_of(end->age_ms, now_ms),
					 .sent_ms = time_of(end->sent_age_ms, now_ms),
				 },
				 now_ms);
	}
	for (size_t i = 0; i < in->n_goods; i++)
		poison_merge_good(s->poison,
				  &(struct poison_good){in->goods[i]->request,
							time_of(in->goods[i]->age_ms, now_ms)},
				  now_ms);
	for (size_t i = 0; i < in->n_alive; i++)
		poison_merge_alive(
			s->poison,
			&(struct poison_alive){in->alive[i]->upstream,
					       time_of(in->alive[i]->sent_age_ms, now_ms)},
			now_ms);
	srv_poison_log_changes(s, now_ms);
}
