/*
 * Gossip in fleets of three regions, without network: most messages stay in their region, and yet
 * every node knows all others. At 7 nodes distance doesn't matter; at 70, 300 and 410 it does.
 */
#include "run_tests.h"

#include "decide/gossip.h"

#include <stdio.h>
#include <string.h>

#define T0 100000
#define REGIONS 3
#define NODES_MAX 410
#define SEEDS 3
#define TARGETS_MAX 16
#define JOIN_ROUNDS 24
#define SETTLE_ROUNDS 24 /* longer than the time until a member of 300 is silent */
#define NEWS_ROUNDS 5

static struct {
	struct gossip *nodes[NODES_MAX];
	bool down[NODES_MAX];
	int size;
	int cut_region; /* exchanges no messages with the others; -1: none */
	struct prng prng;
	int64_t now_ms;
	uint64_t near_messages;
	uint64_t far_messages;
} w;

static struct gossip_record record_of(int i)
{
	struct gossip_record r = {.incarnation = 1, .ready = true, .reads_beats = true};

	g_snprintf(r.peer_address, sizeof(r.peer_address), "10.0.%d.%d:1", i / 256, i % 256);
	g_snprintf(r.region, sizeof(r.region), "r%d", i % REGIONS);
	return r;
}

static const char *address_of(int i)
{
	static char address[2][GOSSIP_NAME_BYTES];
	static int next;

	next = !next;
	g_strlcpy(address[next], record_of(i).peer_address, GOSSIP_NAME_BYTES);
	return address[next];
}

static int index_of(const char *address)
{
	int high = 0;
	int low = 0;

	ck_assert_int_eq(sscanf(address, "10.0.%d.%d:", &high, &low), 2);
	return high * 256 + low;
}

static bool is_cut(int from, int to)
{
	return w.cut_region >= 0 && from % REGIONS != to % REGIONS &&
	       (from % REGIONS == w.cut_region || to % REGIONS == w.cut_region);
}

/* Delivers a message; returns whether it told the receiver something new. */
static bool deliver(int from, int to)
{
	const char *receiver = address_of(to);
	struct gossip_record records[GOSSIP_RECORDS_MAX];
	struct gossip_beat beats[GOSSIP_BEATS_MAX];
	struct gossip_unknown unknown;
	uint32_t n = gossip_fill_records(w.nodes[from], receiver, records, GOSSIP_RECORDS_MAX,
					 &w.prng, w.now_ms);
	uint32_t n_beats =
		gossip_fill_beats(w.nodes[from], beats, GOSSIP_BEATS_MAX, &w.prng, w.now_ms);
	bool is_new;

	gossip_confirm_alive(w.nodes[to], address_of(from), w.now_ms);
	is_new = gossip_merge(w.nodes[to], records, n, w.now_ms);
	is_new = gossip_merge_beats(w.nodes[to], beats, n_beats, &unknown, w.now_ms) || is_new;
	if (unknown.n == 0)
		return is_new;
	n = gossip_find_records(w.nodes[from], unknown.members, unknown.n, records, w.now_ms);
	return gossip_merge(w.nodes[to], records, n, w.now_ms) || is_new;
}

static void send_beat(int from, int to)
{
	*(from % REGIONS == to % REGIONS ? &w.near_messages : &w.far_messages) += 1;
	/* as nodes do: whoever hears something new answers at once */
	if (!w.down[to] && !is_cut(from, to) && deliver(from, to))
		deliver(to, from);
}

static void run_rounds(int rounds)
{
	const char *const seeds[SEEDS] = {"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"};

	for (int round = 0; round < rounds; round++) {
		w.now_ms += GOSSIP_INTERVAL_MS;
		for (int i = 0; i < w.size; i++) {
			char targets[TARGETS_MAX][GOSSIP_NAME_BYTES];
			uint32_t n;
			if (w.down[i])
				continue;
			gossip_begin_round(w.nodes[i], w.now_ms);
			n = gossip_pick_targets(w.nodes[i], seeds, SEEDS, &w.prng, targets,
						TARGETS_MAX, w.now_ms);
			for (uint32_t k = 0; k < n; k++)
				send_beat(i, index_of(targets[k]));
		}
	}
}

static void start(int size)
{
	memset(&w, 0, sizeof(w));
	w.size = size;
	w.cut_region = -1;
	w.prng.state = 17;
	w.now_ms = T0;
	for (int i = 0; i < size; i++) {
		struct gossip_record r = record_of(i);
		w.nodes[i] = gossip_new(&r, w.now_ms);
		gossip_set_self(w.nodes[i], true, false);
	}
	run_rounds(JOIN_ROUNDS);
}

static void stop(void)
{
	for (int i = 0; i < w.size; i++)
		gossip_free(w.nodes[i]);
}

/* Checks that each live node counts exactly the expected number of live nodes. */
static void expect_alive(uint32_t (*expected)(int node))
{
	for (int i = 0; i < w.size; i++) {
		if (!w.down[i])
			ck_assert_msg(gossip_count_alive(w.nodes[i], w.now_ms) == expected(i),
				      "%d nodes: node %d counts %u, %u live", w.size, i,
				      gossip_count_alive(w.nodes[i], w.now_ms), expected(i));
	}
}

static uint32_t all(int node)
{
	uint32_t n = 0;

	for (int i = 0; i < w.size; i++)
		n += !w.down[i];
	return n;
}

static uint32_t same_side(int node)
{
	uint32_t n = 0;

	for (int i = 0; i < w.size; i++)
		n += !w.down[i] && !is_cut(node, i);
	return n;
}

static const int sizes[] = {7, 70, 300, NODES_MAX};

/* Sizes at which whole timeouts are played. */
#define PLAYED_SIZES 3

/* Traffic between regions is priced and slow: at most a quarter of the messages of large fleets. */
START_TEST(most_messages_stay_in_their_region)
{
	for (size_t i = 0; i < PLAYED_SIZES; i++) {
		start(sizes[i]);
		expect_alive(all);
		w.near_messages = 0;
		w.far_messages = 0;
		run_rounds(SETTLE_ROUNDS);
		expect_alive(all);
		ck_assert_msg(sizes[i] < 70 ||
				      4 * w.far_messages <= w.near_messages + w.far_messages,
			      "%d nodes: %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
			      " messages leave their region",
			      sizes[i], w.far_messages, w.near_messages + w.far_messages);
		stop();
	}
}
END_TEST

/* Nodes that die are silent everywhere in the time that the fleet's size gives them. */
START_TEST(the_dead_are_noticed_in_all_regions)
{
	for (size_t i = 0; i < PLAYED_SIZES; i++) {
		int64_t silent_ms = GOSSIP_TIMEOUT_MS + GOSSIP_TIMEOUT_MS_PER_MEMBER * sizes[i];
		start(sizes[i]);
		for (int k = 0; k < sizes[i]; k += 5)
			w.down[k] = true;
		run_rounds((int)(silent_ms / GOSSIP_INTERVAL_MS) + 1);
		expect_alive(all);
		stop();
	}
}
END_TEST

/* A region that was cut off, and is back, is known everywhere again, and knows all others. */
START_TEST(a_cut_region_returns)
{
	for (size_t i = 0; i < PLAYED_SIZES; i++) {
		start(sizes[i]);
		w.cut_region = 1;
		run_rounds((int)((GOSSIP_TIMEOUT_MS + GOSSIP_TIMEOUT_MS_PER_MEMBER * sizes[i]) /
				 GOSSIP_INTERVAL_MS) +
			   1);
		expect_alive(same_side);
		w.cut_region = -1;
		run_rounds(SETTLE_ROUNDS);
		expect_alive(all);
		stop();
	}
}
END_TEST

static int count_informed(const char *address)
{
	int n = 0;

	for (int i = 0; i < w.size; i++)
		n += gossip_find(w.nodes[i], address)->record.isolated;
	return n;
}

/* What has to be known soon crosses regions as fast as it spreads in one. */
START_TEST(news_cross_regions)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		char targets[TARGETS_MAX][GOSSIP_NAME_BYTES];
		uint32_t n;
		start(sizes[i]);
		gossip_set_isolated(w.nodes[0], true);
		gossip_begin_round(w.nodes[0], w.now_ms);
		n = gossip_pick_live(w.nodes[0], &w.prng, targets, TARGETS_MAX, w.now_ms);
		for (uint32_t k = 0; k < n; k++)
			send_beat(0, index_of(targets[k]));
		run_rounds(NEWS_ROUNDS);
		ck_assert_int_ge(count_informed(record_of(0).peer_address), w.size * 98 / 100);
		stop();
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		most_messages_stay_in_their_region,
		the_dead_are_noticed_in_all_regions,
		a_cut_region_returns,
		news_cross_regions,
	};

	return run_tests("unit_gossip_regions", tests, G_N_ELEMENTS(tests));
}
