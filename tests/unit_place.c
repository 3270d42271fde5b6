/*
 * Where chains and their stages run: the choice of an upstream by wait and bytes, the balance
 * between regions, and the number of owners.
 */
#include "run_tests.h"

#include "decide/chain.h"

#include <string.h>

#define T0 100000
#define POOL "pool"
#define UPSTREAMS_MAX 16
#define SMALL_BYTES 8000
#define LARGE_BYTES 6000000

/* Data centres a and b are in region r, c in region s. */
struct site {
	uint32_t a;
	uint32_t b;
	uint32_t c;
};

static struct chain_sched *sched;
static GArray *out;

static void publish_pool(void)
{
	struct pub_doc *doc = pub_doc_new();

	doc->n_services = 1;
	doc->services = g_new0(struct pub_service, 1);
	doc->services[0].name = g_strdup(POOL);
	doc->services[0].pool = (struct pub_pool){.present = true,
						  .slots = 1,
						  .queue_depth = 2,
						  .batch_size = 8,
						  .call_ms = 200,
						  .piece_ms = 20,
						  .room_bytes = 1000000000,
						  .handle_ms = 4000};
	pub_doc_build_index(doc);
	chain_set_pools(sched, doc);
	pub_doc_unref(doc);
}

static void publish_upstreams(const struct site *site)
{
	const struct {
		const char *data_centre;
		const char *region;
		uint32_t n;
	} places[] = {{"a", "r", site->a}, {"b", "r", site->b}, {"c", "s", site->c}};
	struct chain_upstream_info docs[UPSTREAMS_MAX];
	static char ids[UPSTREAMS_MAX][8];
	uint32_t n = 0;

	for (size_t p = 0; p < G_N_ELEMENTS(places); p++) {
		for (uint32_t i = 0; i < places[p].n; i++) {
			g_snprintf(ids[n], sizeof(ids[n]), "%s%u", places[p].data_centre, i);
			docs[n] = (struct chain_upstream_info){.id = ids[n],
							       .service = POOL,
							       .address = "10.0.0.1:1",
							       .data_centre = places[p].data_centre,
							       .region = places[p].region,
							       .usable = true};
			n++;
		}
	}
	chain_set_upstreams(sched, docs, n, T0);
}

static void start(const struct site *site)
{
	sched = chain_sched_new();
	out = chain_cmd_list_new();
	publish_pool();
	publish_upstreams(site);
}

static void stop(void)
{
	g_array_unref(out);
	chain_sched_free(sched);
}

/* Submits a chain of one stage that was placed in data centre a. */
static void submit(uint64_t id, uint32_t pieces, int64_t bytes, int64_t aim_ms, bool is_moved)
{
	struct chain_stage_spec stage = {(char *)POOL, 0, pieces, bytes};
	const struct chain_job_spec doc = {.id = id,
					   .asker = "n",
					   .attempt = "x",
					   .key = "k",
					   .stages = &stage,
					   .n_stages = 1,
					   .aim_at_ms = T0 + aim_ms,
					   .deadline_at_ms = T0 + 20000,
					   .data_centre = "a",
					   .region = "r",
					   .is_moved = is_moved};

	chain_submit(sched, &doc, NULL, 0, T0, out);
}

/* Returns the last command of a kind; NULL if there is none. */
static const struct chain_cmd *last_cmd(enum chain_cmd_kind kind)
{
	for (guint i = out->len; i > 0; i--) {
		const struct chain_cmd *cmd = &g_array_index(out, struct chain_cmd, i - 1);
		if (cmd->kind == kind)
			return cmd;
	}
	return NULL;
}

static const struct {
	const char *name;
	struct site site;
	uint32_t busy_pieces; /* pieces of a call that runs at a0; 0: it is idle */
	int64_t bytes;	      /* of the result of the chain's only piece */
	int64_t aim_ms;
	const char *upstream; /* that gets the call; NULL: the chain waits */
} choices[] = {
	{"near one idle", {1, 1, 0}, 0, LARGE_BYTES, 3000, "a0"},
	{"near one busy, large result, time left", {1, 1, 0}, 1, LARGE_BYTES, 3000, NULL},
	{"near one busy, small result", {1, 1, 0}, 1, SMALL_BYTES, 3000, "b0"},
	{"near one busy, large result, no time left", {1, 1, 0}, 1, LARGE_BYTES, 900, "b0"},
	{"a second near one is idle", {2, 1, 0}, 1, LARGE_BYTES, 3000, "a1"},
	{"another region isn't owned", {1, 0, 1}, 1, SMALL_BYTES, 3000, NULL},
	{"no upstream in the owned region", {0, 0, 1}, 0, LARGE_BYTES, 3000, "c0"},
};

START_TEST(upstream_of_a_stage)
{
	static const char *const owned[] = {"r"};

	for (size_t i = 0; i < G_N_ELEMENTS(choices); i++) {
		const struct chain_cmd *call;
		start(&choices[i].site);
		chain_set_regions(sched, owned, 1);
		if (choices[i].busy_pieces > 0)
			submit(1, choices[i].busy_pieces, SMALL_BYTES, 3000, true);
		g_array_set_size(out, 0);
		submit(2, 1, choices[i].bytes, choices[i].aim_ms, true);
		call = last_cmd(CHAIN_CMD_CALL);
		ck_assert_msg((call != NULL) == (choices[i].upstream != NULL), "%s: call %s",
			      choices[i].name, call ? call->upstream : "missing");
		if (call)
			ck_assert_msg(strcmp(call->upstream, choices[i].upstream) == 0, "%s: %s",
				      choices[i].name, call->upstream);
		stop();
	}
}
END_TEST

static const struct {
	const char *name;
	uint32_t local_pieces;	/* that wait here, for one upstream */
	uint32_t remote_pieces; /* that wait in region s, 10 ms each */
	int64_t load_age_ms;
	int64_t bytes;
	bool is_moved; /* the chain comes from another owner */
	bool moves;
} moves[] = {
	{"both idle", 0, 0, 0, SMALL_BYTES, false, false},
	{"little waits here", 1, 0, 0, SMALL_BYTES, false, false},
	{"much waits here", 8, 0, 0, SMALL_BYTES, false, true},
	{"much waits here, more there", 8, 100, 0, SMALL_BYTES, false, false},
	{"much waits here, results are large", 8, 0, 0, 2 * LARGE_BYTES, false, false},
	{"the other load is old", 8, 0, 1000, SMALL_BYTES, false, false},
	{"a chain moves once", 8, 0, 0, SMALL_BYTES, true, false},
};

START_TEST(region_of_a_chain)
{
	static const struct site site = {1, 0, 1};
	static const char *const owned[] = {"r"};

	for (size_t i = 0; i < G_N_ELEMENTS(moves); i++) {
		const struct chain_pool_load load = {POOL, moves[i].remote_pieces, 10000};
		const struct chain_cmd *cmd;
		start(&site);
		chain_set_regions(sched, owned, 1);
		chain_set_region_load(sched, "s", &load, 1, T0 - moves[i].load_age_ms);
		if (moves[i].local_pieces > 0)
			submit(1, moves[i].local_pieces, SMALL_BYTES, 9000, true);
		submit(2, 1, moves[i].bytes, 9000, moves[i].is_moved);
		cmd = last_cmd(CHAIN_CMD_HANDOFF);
		ck_assert_msg((cmd != NULL) == moves[i].moves, "%s", moves[i].name);
		if (cmd) {
			ck_assert_str_eq(cmd->doc.region, "s");
			ck_assert_str_eq(cmd->doc.data_centre, "c");
		}
		stop();
	}
}
END_TEST

/* Chains of a burst don't all move to the region that was idle when its load was sent. */
START_TEST(moved_chains_count_there)
{
	static const struct site site = {1, 0, 1};
	static const char *const owned[] = {"r"};
	const struct chain_pool_load load = {POOL, 0, 45000};
	uint32_t moved = 0;

	start(&site);
	chain_set_regions(sched, owned, 1);
	chain_set_region_load(sched, "s", &load, 1, T0);
	for (uint64_t id = 1; id <= 40; id++)
		submit(id, 1, SMALL_BYTES, 9000, false);
	for (guint i = 0; i < out->len; i++)
		moved += g_array_index(out, struct chain_cmd, i).kind == CHAIN_CMD_HANDOFF;
	ck_assert_uint_ge(moved, 15);
	ck_assert_uint_le(moved, 25);
	stop();
}
END_TEST

static const struct {
	struct site site;
	bool was_split;
	bool is_split;
} splits[] = {
	{{1, 0, 1}, false, false}, {{2, 0, 3}, false, false}, {{2, 1, 3}, false, true},
	{{1, 0, 5}, false, true},  {{2, 0, 3}, true, true},   {{2, 0, 1}, true, false},
	{{0, 0, 0}, false, false},
};

START_TEST(owner_of_its_own)
{
	for (size_t i = 0; i < G_N_ELEMENTS(splits); i++) {
		start(&splits[i].site);
		ck_assert_msg(chain_should_split(sched, 2, splits[i].was_split) ==
				      splits[i].is_split,
			      "case %zu", i);
		ck_assert(!chain_should_split(sched, 1, splits[i].was_split));
		stop();
	}
}
END_TEST

/* A pool without upstreams, such as one that is no longer published, doesn't count. */
START_TEST(empty_pools_dont_count)
{
	static const struct site site = {3, 0, 3};
	struct pub_doc *doc = pub_doc_new();

	start(&site);
	doc->n_services = 1;
	doc->services = g_new0(struct pub_service, 1);
	doc->services[0].name = g_strdup("empty");
	doc->services[0].pool = (struct pub_pool){.present = true, .slots = 1, .batch_size = 8};
	pub_doc_build_index(doc);
	chain_set_pools(sched, doc);
	pub_doc_unref(doc);
	ck_assert(chain_should_split(sched, 2, false));
	stop();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		upstream_of_a_stage, region_of_a_chain,	     moved_chains_count_there,
		owner_of_its_own,    empty_pools_dont_count,
	};

	return run_tests("unit_place", tests, G_N_ELEMENTS(tests));
}
