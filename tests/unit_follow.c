/*
 * Readers of the source and the nodes that follow them, without network: a model of fleets of 7 to
 * 410 nodes in three regions that counts the calls to the source and the delay of changes.
 */
#include "run_tests.h"

#include "decide/follow.h"
#include "decide/gossip.h"

#include <stdio.h>
#include <string.h>

#define T0 100000
#define REGIONS 3
#define NODES_MAX 410
#define STEP_MS 50
#define BEAT_MS 1000 /* between heartbeats of all nodes to all others in the model */
#define WATCH_MS 1000
#define PAUSE_MS 400 /* of a reader, after a watch that brought changes */
#define ALONE_PAUSE_MS 1000
#define RUN_MS 20000
#define CHANGE_MS 1700
#define EVENT_MS 8000	  /* when the event of the case happens */
#define APPLY_MAX_MS 2500 /* changes are known everywhere within this */
#define EPOCH 1

struct node {
	struct gossip *fleet;
	struct follow follow;
	int64_t revision;
	int64_t watch_since_ms; /* 0: none is open */
	int64_t due_ms;
	bool is_reader; /* as of the last heartbeats */
	bool is_followed;
	bool is_dead;
	bool is_cut; /* from the source */
};

static struct {
	struct node nodes[NODES_MAX];
	int size;
	int64_t now_ms;
	int64_t revision; /* of the source */
	int64_t changed_ms[64];
	int64_t slowest_ms;
	uint32_t calls;
} w;

enum event { NOTHING, READERS_DIE, READERS_CUT, ALL_CUT_FOR_A_WHILE };

static struct gossip_record record_of(int i)
{
	struct gossip_record r = {.incarnation = 1, .beat = 1, .ready = true, .reads_beats = true};

	g_snprintf(r.peer_address, sizeof(r.peer_address), "10.0.%d.%d:1", i / 256, i % 256);
	g_snprintf(r.region, sizeof(r.region), "r%d", i % REGIONS);
	r.beat = (uint64_t)(w.now_ms / BEAT_MS);
	return r;
}

static void beat(void)
{
	for (int i = 0; i < w.size; i++) {
		struct gossip_record r = record_of(i);
		for (int k = 0; k < w.size && !w.nodes[i].is_dead; k++) {
			if (k != i)
				gossip_merge(w.nodes[k].fleet, &r, 1, w.now_ms);
		}
	}
	for (int i = 0; i < w.size; i++) {
		w.nodes[i].is_reader = gossip_is_reader(w.nodes[i].fleet, w.now_ms);
		w.nodes[i].is_followed = gossip_is_followed(w.nodes[i].fleet, w.now_ms);
	}
}

static void start(int size)
{
	memset(&w, 0, sizeof(w));
	w.size = size;
	w.now_ms = T0;
	w.revision = 1;
	for (int i = 0; i < size; i++) {
		struct gossip_record r = record_of(i);
		w.nodes[i].fleet = gossip_new(&r, w.now_ms);
		gossip_set_self(w.nodes[i].fleet, true, false);
		w.nodes[i].revision = 1;
		w.nodes[i].due_ms = w.now_ms + i % 20 * STEP_MS;
	}
	beat();
}

static void stop(void)
{
	for (int i = 0; i < w.size; i++)
		gossip_free(w.nodes[i].fleet);
}

static void learn(struct node *n, int64_t revision)
{
	for (; n->revision < revision; n->revision++) {
		int64_t ms = w.now_ms - w.changed_ms[n->revision + 1];
		if (!n->is_cut)
			w.slowest_ms = MAX(w.slowest_ms, ms);
	}
}

static void tell(int from, int64_t since, int64_t revision)
{
	const struct follow_news news = {EPOCH, since, revision, true};

	for (int i = 0; i < w.size; i++) {
		struct node *n = &w.nodes[i];
		const struct view_revision known = {EPOCH, n->revision};
		if (i == from || n->is_dead || i % REGIONS != from % REGIONS)
			continue;
		if (follow_judge(&n->follow, &news, known, w.now_ms) == FOLLOW_APPLY)
			learn(n, revision);
	}
}

static void end_watch(int i)
{
	struct node *n = &w.nodes[i];
	int64_t since = n->revision;
	bool has_changes = w.revision > since;

	n->watch_since_ms = 0;
	n->due_ms = w.now_ms + (!n->is_followed ? ALONE_PAUSE_MS : has_changes ? PAUSE_MS : 0);
	learn(n, w.revision);
	if (n->is_followed)
		tell(i, since, n->revision);
}

static void step_node(int i)
{
	struct node *n = &w.nodes[i];

	if (n->is_dead)
		return;
	if (n->watch_since_ms == 0) {
		if (w.now_ms < n->due_ms || follow_is_led(&n->follow, n->is_reader, w.now_ms))
			return;
		w.calls++;
		n->watch_since_ms = w.now_ms;
	}
	if (n->is_cut) {
		n->watch_since_ms = 0;
		n->due_ms = w.now_ms + ALONE_PAUSE_MS;
	} else if (w.revision > n->revision || w.now_ms - n->watch_since_ms >= WATCH_MS) {
		end_watch(i);
	}
}

static void happen(enum event event, bool begins)
{
	for (int i = 0; i < w.size; i++) {
		struct node *n = &w.nodes[i];
		if (event == ALL_CUT_FOR_A_WHILE)
			n->is_cut = begins;
		if (!begins || !n->is_followed || i % REGIONS == 2)
			continue;
		n->is_dead = n->is_dead || event == READERS_DIE;
		n->is_cut = n->is_cut || event == READERS_CUT;
	}
}

static void run(enum event event)
{
	int64_t began_ms = w.now_ms;

	for (; w.now_ms - began_ms < RUN_MS; w.now_ms += STEP_MS) {
		int64_t at_ms = w.now_ms - began_ms;
		if (at_ms % BEAT_MS == 0)
			beat();
		if (at_ms % CHANGE_MS == 0)
			w.changed_ms[++w.revision] = w.now_ms;
		if (at_ms == EVENT_MS || at_ms == EVENT_MS + 2 * BEAT_MS)
			happen(event, at_ms == EVENT_MS);
		for (int i = 0; i < w.size; i++)
			step_node(i);
	}
}

static const int sizes[] = {7, 70, 300, NODES_MAX};
#define EVENT_SIZES 3 /* sizes at which something happens */

static const struct {
	const char *name;
	enum event event;
	double calls_max; /* for each second and node, in fleets of 300 and more */
	int64_t slowest_ms;
} cases[] = {
	{"calm", NOTHING, 0.06, APPLY_MAX_MS},
	{"the readers of two regions die", READERS_DIE, 0.25, APPLY_MAX_MS},
	{"the readers of two regions reach no source", READERS_CUT, 0.5, APPLY_MAX_MS},
	/* the time of the outage counts */
	{"nobody reaches the source for 2 s", ALL_CUT_FOR_A_WHILE, 0.2, APPLY_MAX_MS + 2000},
};

START_TEST(few_nodes_read_and_all_know)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t n_sizes = cases[i].event == NOTHING ? G_N_ELEMENTS(sizes) : EVENT_SIZES;
		for (size_t k = 0; k < n_sizes; k++) {
			double calls;
			start(sizes[k]);
			run(cases[i].event);
			calls = w.calls / (RUN_MS / 1000.0) / sizes[k];
			ck_assert_msg(sizes[k] < 300 || calls <= cases[i].calls_max,
				      "%s, %d nodes: %.3f calls a second and node", cases[i].name,
				      sizes[k], calls);
			ck_assert_msg(w.slowest_ms <= cases[i].slowest_ms,
				      "%s, %d nodes: a change takes %d ms", cases[i].name, sizes[k],
				      (int)w.slowest_ms);
			for (int n = 0; n < sizes[k]; n++)
				ck_assert_msg(w.nodes[n].is_dead || w.nodes[n].is_cut ||
						      w.nodes[n].revision >= w.revision - 1,
					      "%s, %d nodes: node %d is behind", cases[i].name,
					      sizes[k], n);
			stop();
		}
	}
}
END_TEST

static const struct {
	const char *name;
	struct follow_news news;
	struct view_revision known;
	enum follow_verdict verdict;
	bool is_led;
} judged[] = {
	{"the next changes", {3, 10, 12, true}, {3, 10}, FOLLOW_APPLY, true},
	{"nothing has changed", {3, 10, 10, true}, {3, 10}, FOLLOW_APPLY, true},
	{"some changes are known", {3, 8, 12, true}, {3, 10}, FOLLOW_APPLY, true},
	{"all changes are known", {3, 8, 9, true}, {3, 10}, FOLLOW_KNOWN, false},
	{"changes before it are missing", {3, 11, 12, true}, {3, 10}, FOLLOW_MISSED, false},
	{"the source was restored", {4, 1, 2, true}, {3, 10}, FOLLOW_MISSED, false},
	{"before the source was restored", {2, 10, 12, true}, {3, 10}, FOLLOW_KNOWN, false},
	{"there is more to read", {3, 10, 12, false}, {3, 10}, FOLLOW_APPLY, false},
};

START_TEST(judges_news)
{
	for (size_t i = 0; i < G_N_ELEMENTS(judged); i++) {
		struct follow f = {0};
		ck_assert_msg(follow_judge(&f, &judged[i].news, judged[i].known, T0) ==
				      judged[i].verdict,
			      "%s", judged[i].name);
		ck_assert_msg(follow_is_led(&f, false, T0 + 1) == judged[i].is_led, "%s",
			      judged[i].name);
		ck_assert(!follow_is_led(&f, true, T0 + 1));
		ck_assert(!follow_is_led(&f, false, T0 + FOLLOW_SILENCE_MS));
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {few_nodes_read_and_all_know, judges_news};

	return run_tests("unit_follow", tests, G_N_ELEMENTS(tests));
}
