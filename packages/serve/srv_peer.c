/* Peer messages: heartbeat gossip with reports of unreachable upstreams, and dispatch by kind. */
#include "srv_gate.h"
#include "srv_poison.h"

#include "base/clock.h"
#include "base/fetch.h"
#include "base/log.h"

#include <string.h>

/* Long because wall clocks may differ by seconds; it is safe to handle any message late. */
#define MESSAGE_TTL_MS 60000
#define TROUBLES_MAX 8
#define TARGETS_MAX 8
#define SEEDS_MAX 8
/* A heartbeat on the wire: its counter above the bits of the member's state. */
#define BEAT_READY 1U
#define BEAT_LEAVING 2U
#define BEAT_ISOLATED 4U
#define BEAT_STATE_BITS 3
#define ANNOUNCE_TARGETS_MAX 16 /* these pass it on to the rest of a large fleet */
/* Longest wait of a message for its link, which opens within a few round trips between regions. */
#define LINK_OPEN_MS 1000
#define FLUSH_INTERVAL_MS 20

bool srv_peer_send(struct srv *s, const char *peer_address, Peer__Message *message)
{
	size_t bytes;

	message->ttl_ms = MESSAGE_TTL_MS;
	bytes = peer_send(s->peer, peer_address, peer_address, message);
	srv_traffic_note_message(s, peer_address, message->kind_case, bytes);
	return bytes > 0;
}

static void on_flush(uv_timer_t *timer)
{
	const struct srv *s = timer->data;

	if (!peer_flush(s->peer))
		uv_timer_stop(timer);
}

bool srv_peer_send_when_open(struct srv *s, const char *peer_address, Peer__Message *message)
{
	size_t bytes;

	message->ttl_ms = MESSAGE_TTL_MS;
	bytes = peer_send_when_open(s->peer, peer_address, peer_address, message, LINK_OPEN_MS);
	srv_traffic_note_message(s, peer_address, message->kind_case, bytes);
	if (!uv_is_active((uv_handle_t *)&s->flush_timer))
		uv_timer_start(&s->flush_timer, on_flush, FLUSH_INTERVAL_MS, FLUSH_INTERVAL_MS);
	return bytes > 0;
}

struct broadcast {
	struct srv *s;
	Peer__Message *message;
	int64_t now_ms;
};

static void send_to_member(void *arg, const struct gossip_member *member)
{
	const struct broadcast *b = arg;

	if (strcmp(member->record.peer_address, b->s->set->peer_address) != 0 &&
	    gossip_is_alive(b->s->fleet, member, b->now_ms))
		srv_peer_send(b->s, member->record.peer_address, b->message);
}

void srv_peer_send_live(struct srv *s, Peer__Message *message, int64_t now_ms)
{
	struct broadcast b = {s, message, now_ms};

	gossip_foreach(s->fleet, send_to_member, &b);
}

static void encode_member(Peer__Member *out, const struct gossip_record *r)
{
	peer__member__init(out);
	out->peer_address = (char *)r->peer_address;
	out->caller_address = (char *)r->caller_address;
	out->data_centre = (char *)r->data_centre;
	out->region = (char *)r->region;
	out->incarnation = r->incarnation;
	out->beat = r->beat;
	out->ready = r->ready;
	out->leaving = r->leaving;
	out->isolated = r->isolated;
	out->cpu_millis = r->cpu_millis;
	out->reads_beats = r->reads_beats;
	out->age_ms = r->age_ms;
}

static void decode_member(struct gossip_record *r, const Peer__Member *in)
{
	memset(r, 0, sizeof(*r));
	g_strlcpy(r->peer_address, in->peer_address, sizeof(r->peer_address));
	g_strlcpy(r->caller_address, in->caller_address, sizeof(r->caller_address));
	g_strlcpy(r->data_centre, in->data_centre, sizeof(r->data_centre));
	g_strlcpy(r->region, in->region, sizeof(r->region));
	r->incarnation = in->incarnation;
	r->beat = in->beat;
	r->ready = in->ready;
	r->leaving = in->leaving;
	r->isolated = in->isolated;
	r->cpu_millis = in->cpu_millis;
	r->reads_beats = in->reads_beats;
	r->age_ms = in->age_ms;
}

static uint64_t encode_beat(const struct gossip_beat *b)
{
	return b->beat << BEAT_STATE_BITS | (b->ready ? BEAT_READY : 0) |
	       (b->leaving ? BEAT_LEAVING : 0) | (b->isolated ? BEAT_ISOLATED : 0);
}

static struct gossip_beat decode_beat(uint32_t member, uint64_t beat, uint32_t age_ms)
{
	return (struct gossip_beat){
		.member = member,
		.beat = beat >> BEAT_STATE_BITS,
		.age_ms = age_ms,
		.ready = beat & BEAT_READY,
		.leaving = beat & BEAT_LEAVING,
		.isolated = beat & BEAT_ISOLATED,
	};
}

/*
 * Fills troubles with upstreams that this node itself found unreachable; returns their number.
 * Other nodes' reports are left out: if nodes passed them on, they would never expire.
 */
static uint32_t encode_troubles(struct srv *s, Peer__Trouble *troubles, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (n < TROUBLES_MAX && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct srv_upstream *u = value;
		if (u->is_reported || u->fails == 0 || u->blocked_until_ms <= now_ms)
			continue;
		peer__trouble__init(&troubles[n]);
		troubles[n].upstream = u->id;
		troubles[n].wait_ms = (uint32_t)(u->blocked_until_ms - now_ms);
		n++;
	}
	return n;
}

/*
 * Fills seeds with the peer addresses of the seeds in the settings; returns their number. The
 * settings have admin addresses, and the peer port is the same on all nodes.
 */
static uint32_t seed_addresses(const struct srv *s, char (*seeds)[GOSSIP_NAME_BYTES])
{
	const char *port = strrchr(s->set->peer_address, ':');
	char host[GOSSIP_NAME_BYTES];
	uint16_t admin_port;
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->set->n_seeds && n < SEEDS_MAX; i++) {
		if (!fetch_split_address(s->set->seeds[i], host, sizeof(host), &admin_port))
			continue;
		g_snprintf(seeds[n++], GOSSIP_NAME_BYTES, "%s%s", host, port);
	}
	return n;
}

/* Sends a message now, or drops it, or keeps it until the link is open. */
typedef bool (*send_fn)(struct srv *s, const char *peer_address, Peer__Message *message);

/* Fills in the beat's records and sends it. Returns false if it was dropped. */
static bool send_records(struct srv *s, const char *destination, Peer__Beat *beat,
			 const struct gossip_record *records, uint32_t n, send_fn send)
{
	Peer__Member members[GOSSIP_RECORDS_MAX];
	Peer__Member *list[GOSSIP_RECORDS_MAX];
	Peer__Message message = PEER__MESSAGE__INIT;

	for (uint32_t i = 0; i < n; i++) {
		encode_member(&members[i], &records[i]);
		list[i] = &members[i];
	}
	beat->members = list;
	beat->n_members = n;
	message.kind_case = PEER__MESSAGE__KIND_BEAT;
	message.beat = beat;
	return send(s, destination, &message);
}

static void send_beat(struct srv *s, const char *destination, send_fn send, int64_t now_ms)
{
	struct gossip_record records[GOSSIP_RECORDS_MAX];
	struct gossip_beat beats[GOSSIP_BEATS_MAX];
	uint32_t beat_members[GOSSIP_BEATS_MAX];
	uint64_t beat_states[GOSSIP_BEATS_MAX];
	uint32_t beat_ages[GOSSIP_BEATS_MAX];
	Peer__Trouble troubles[TROUBLES_MAX];
	Peer__Trouble *trouble_list[TROUBLES_MAX];
	Peer__Beat beat = PEER__BEAT__INIT;

	beat.n_beats = gossip_fill_beats(s->fleet, beats, GOSSIP_BEATS_MAX, &s->prng, now_ms);
	for (size_t i = 0; i < beat.n_beats; i++) {
		beat_members[i] = beats[i].member;
		beat_states[i] = encode_beat(&beats[i]);
		beat_ages[i] = beats[i].age_ms;
	}
	beat.n_beat_members = beat.n_beats;
	beat.beat_members = beat_members;
	beat.beats = beat_states;
	beat.n_beat_ages = beat.n_beats;
	beat.beat_ages = beat_ages;
	beat.n_troubles = encode_troubles(s, troubles, now_ms);
	for (size_t i = 0; i < beat.n_troubles; i++)
		trouble_list[i] = &troubles[i];
	beat.troubles = trouble_list;
	send_records(s, destination, &beat, records,
		     gossip_fill_records(s->fleet, destination, records, GOSSIP_RECORDS_MAX,
					 &s->prng, now_ms),
		     send);
}

/* Asks a node for its own record and for those of other members. Returns false if it was dropped.
 */
static bool ask_records(struct srv *s, const char *destination, struct gossip_unknown *wanted)
{
	struct gossip_record self[GOSSIP_RECORDS_MAX];
	Peer__Beat beat = PEER__BEAT__INIT;

	beat.wanted = wanted->members;
	beat.n_wanted = wanted->n;
	return send_records(s, destination, &beat, self,
			    gossip_find_records(s->fleet, NULL, 0, self, clock_now_ms()),
			    srv_peer_send);
}

static void answer_records(struct srv *s, const char *destination, const Peer__Beat *asked)
{
	struct gossip_record records[GOSSIP_RECORDS_MAX];
	Peer__Beat beat = PEER__BEAT__INIT;

	send_records(s, destination, &beat, records,
		     gossip_find_records(s->fleet, asked->wanted, (uint32_t)asked->n_wanted,
					 records, clock_now_ms()),
		     srv_peer_send_when_open);
}

static void on_round(uv_timer_t *timer)
{
	struct srv *s = timer->data;
	char seeds[SEEDS_MAX][GOSSIP_NAME_BYTES];
	char targets[TARGETS_MAX][GOSSIP_NAME_BYTES];
	const char *seed_list[SEEDS_MAX];
	int64_t now_ms = clock_now_ms();
	uint32_t n_seeds = seed_addresses(s, seeds);
	uint32_t n;

	for (uint32_t i = 0; i < n_seeds; i++)
		seed_list[i] = seeds[i];
	gossip_begin_round(s->fleet, now_ms);
	if (++s->gossip_rounds == GOSSIP_JOIN_ROUNDS)
		uv_timer_set_repeat(timer, GOSSIP_INTERVAL_MS);
	n = gossip_pick_targets(s->fleet, seed_list, n_seeds, &s->prng, targets, TARGETS_MAX,
				now_ms);
	for (uint32_t i = 0; i < n; i++)
		send_beat(s, targets[i], srv_peer_send, now_ms);
	if (n == 0)
		return;
	srv_quarantine_round(s, targets[prng_below(&s->prng, n)], now_ms);
	srv_poison_round(s, targets[prng_below(&s->prng, n)], now_ms);
	srv_gate_round(s, targets[prng_below(&s->prng, n)], now_ms);
}

void srv_peer_announce(struct srv *s, int64_t now_ms)
{
	char targets[ANNOUNCE_TARGETS_MAX][GOSSIP_NAME_BYTES];
	uint32_t n;

	gossip_begin_round(s->fleet, now_ms);
	n = gossip_pick_live(s->fleet, &s->prng, targets, ANNOUNCE_TARGETS_MAX, now_ms);
	for (uint32_t i = 0; i < n; i++)
		send_beat(s, targets[i], srv_peer_send, now_ms);
}

bool srv_peer_ask(struct srv *s, const struct gossip_member *m, int64_t now_ms)
{
	struct gossip_unknown wanted = {.members = {m->key}, .n = 1};

	gossip_begin_round(s->fleet, now_ms);
	return ask_records(s, m->record.peer_address, &wanted);
}

/*
 * An isolated node has to know that those that take over its tasks are alive. Two isolated nodes
 * would answer each other without end.
 */
static bool is_answer_due(const struct srv *s, const char *from)
{
	const struct gossip_member *m = gossip_find(s->fleet, from);

	return m && m->record.isolated && !srv_reach_is_isolated(s);
}

static void log_membership(struct srv *s, const char *from, int64_t now_ms)
{
	log_info("fleet_changed", "{s:s, s:i, s:s}", "heard_from", from, "alive",
		 (int)gossip_count_alive(s->fleet, now_ms), "owner",
		 srv_region_owner(s, s->set->region, NULL, now_ms)->record.peer_address);
}

static void handle_beat(struct srv *s, const char *from, const Peer__Beat *beat)
{
	struct gossip_record records[GOSSIP_RECORDS_MAX];
	struct gossip_beat beats[GOSSIP_BEATS_MAX];
	struct gossip_unknown unknown;
	size_t n_beats;
	int64_t now_ms = clock_now_ms();
	uint32_t n = 0;
	bool changed;

	for (size_t i = 0; i < beat->n_members && n < GOSSIP_RECORDS_MAX; i++)
		decode_member(&records[n++], beat->members[i]);
	changed = gossip_merge(s->fleet, records, n, now_ms);
	n_beats = MIN(MIN(beat->n_beats, beat->n_beat_members), beat->n_beat_ages);
	n_beats = MIN(n_beats, GOSSIP_BEATS_MAX);
	for (size_t i = 0; i < n_beats; i++)
		beats[i] = decode_beat(beat->beat_members[i], beat->beats[i], beat->beat_ages[i]);
	changed =
		gossip_merge_beats(s->fleet, beats, (uint32_t)n_beats, &unknown, now_ms) || changed;
	if (unknown.n > 0)
		ask_records(s, from, &unknown);
	if (beat->n_wanted > 0)
		answer_records(s, from, beat);
	if (changed) {
		log_membership(s, from, now_ms);
		/* a joining node, to which no link is open yet, learns all of this at once */
		send_beat(s, from, srv_peer_send_when_open, now_ms);
		srv_quarantine_send_all(s, from, now_ms);
		srv_poison_send_all(s, from, now_ms);
		srv_gate_send_all(s, from, now_ms);
	} else if (is_answer_due(s, from)) {
		send_beat(s, from, srv_peer_send, now_ms);
	}
	for (size_t i = 0; i < beat->n_troubles; i++)
		srv_upstream_note_report(s, beat->troubles[i]->upstream, beat->troubles[i]->wait_ms,
					 now_ms);
}

static void on_message(void *arg, const Peer__Message *message)
{
	struct srv *s = arg;

	gossip_confirm_alive(s->fleet, message->from_vm, clock_now_ms());
	switch (message->kind_case) {
	case PEER__MESSAGE__KIND_BEAT:
		handle_beat(s, message->from_vm, message->beat);
		break;
	case PEER__MESSAGE__KIND_PUBLISHED_ASK:
	case PEER__MESSAGE__KIND_PUBLISHED_REPLY:
		srv_snapshot_message(s, message);
		break;
	case PEER__MESSAGE__KIND_PUBLISHED_NEWS:
		srv_follow_message(s, message->from_vm, message->published_news);
		break;
	case PEER__MESSAGE__KIND_PROMPT_EVIDENCE:
		srv_quarantine_message(s, message->from_vm, message->prompt_evidence);
		break;
	case PEER__MESSAGE__KIND_RUN_EVIDENCE:
	case PEER__MESSAGE__KIND_RUN_ASK:
	case PEER__MESSAGE__KIND_RUN_REPLY:
	case PEER__MESSAGE__KIND_RUN_RETURN:
		srv_poison_message(s, message);
		break;
	case PEER__MESSAGE__KIND_UPSTREAM_NOTICES:
	case PEER__MESSAGE__KIND_UPSTREAM_USE:
	case PEER__MESSAGE__KIND_PERMIT_ASK:
	case PEER__MESSAGE__KIND_PERMIT_REPLY:
		srv_gate_message(s, message);
		break;
	case PEER__MESSAGE__KIND_ORIGIN_NOTE:
	case PEER__MESSAGE__KIND_ORIGIN_ASK:
	case PEER__MESSAGE__KIND_ORIGIN_REPLY:
		srv_origin_message(s, message);
		break;
	default:
		srv_chain_message(s, message);
	}
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	struct srv *s = poll->data;

	peer_receive(s->peer);
}

bool srv_peer_start(struct srv *s, uint64_t incarnation, GError **error)
{
	const struct peer_options options = {
		.vm = s->set->peer_address,
		.incarnation = incarnation,
		.listen = s->set->peer_address,
		.on_message = on_message,
		.arg = s,
		.threadless = true,
	};

	s->peer = peer_new(&options, error);
	if (!s->peer)
		return false;
	uv_poll_init(&s->loop, &s->peer_poll, peer_fd(s->peer));
	s->peer_poll.data = s;
	uv_poll_start(&s->peer_poll, UV_READABLE, on_readable);
	uv_timer_init(&s->loop, &s->flush_timer);
	s->flush_timer.data = s;
	uv_timer_init(&s->loop, &s->gossip_timer);
	s->gossip_timer.data = s;
	uv_timer_start(&s->gossip_timer, on_round, 0, GOSSIP_JOIN_INTERVAL_MS);
	return true;
}

void srv_peer_stop(struct srv *s)
{
	if (!s->peer)
		return;
	uv_close((uv_handle_t *)&s->peer_poll, NULL);
	uv_close((uv_handle_t *)&s->flush_timer, NULL);
	uv_close((uv_handle_t *)&s->gossip_timer, NULL);
	peer_free(s->peer);
	s->peer = NULL;
}
