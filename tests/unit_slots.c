/* Slots and shares of one list: what all nodes hold together, and what opens and closes a slot. */
#include "decide/elg.h"
#include "decide/rep.h"
#include "small.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define NODES_MAX 40
#define START_MS 100000

static struct cfg *make_cfg(int cold, int warm)
{
	const struct small_sizes sizes = {
		.data_centres = 3,
		.upstreams = 2,
		.cold_limit = cold,
		.warm_limit = warm,
	};

	return small_cfg(&sizes);
}

/* n nodes, node-0, node-1 and so on, in turn in two data centres. */
static struct vmlist *make_list(int version, int n)
{
	struct vmlist *list = small_list(version, 2);

	for (int i = 0; i < n; i++) {
		char *vm = g_strdup_printf("node-%d", i);
		small_add_vm(list, vm, i % 2, true, false);
		g_free(vm);
	}
	return list;
}

static struct dec *make_node(int i, int n, struct cfg *cfg)
{
	char *vm = g_strdup_printf("node-%d", i);
	struct dec *d = dec_new(vm, i % 2 ? "dc-1" : "dc-0", (uint64_t)i + 1, 1, START_MS);

	small_give_cfg(d, START_MS, cfg);
	small_give_list(d, START_MS, make_list(1, n));
	g_free(vm);
	return d;
}

static void say_report(struct dec *d, int64_t now_ms, bool warm, int running)
{
	const struct dec_event ev = {
		.type = DEC_EV_REPORT,
		.u.report = {.upstream = 0, .incarnation = 7, .warm = warm, .running = running},
	};

	small_event(d, now_ms, &ev);
}

static void say_digest(struct dec *d, int64_t now_ms, const char *vm, int version, bool sure)
{
	struct mem_digest digest = {
		.incarnation = 9,
		.list_version = version,
		.list_age_ms = -1,
		.places_revision = 1,
		.sure = sure,
	};
	const struct dec_event ev = {.type = DEC_EV_DIGEST, .u.digest = &digest};

	g_strlcpy(digest.vm, vm, sizeof(digest.vm));
	small_event(d, now_ms, &ev);
}

static int32_t limit(const struct dec *d, int64_t now_ms)
{
	return slt_rendezvous.limit(&d->bb, bb_upstream(&d->bb, 0), now_ms);
}

static const struct {
	int nodes;
	int cold;
	int warm;
} fleets[] = {
	{1, 1, 16}, {2, 1, 8},	 {7, 1, 16},  {7, 3, 8},
	{7, 2, 7},  {16, 2, 16}, {17, 2, 16}, {40, 4, 16},
};

START_TEST(nodes_together_hold_the_limit)
{
	struct cfg *cfg = make_cfg(fleets[_i].cold, fleets[_i].warm);
	int slots = 0;
	int share = 0;
	int least = INT32_MAX;
	int polled = 0;

	for (int i = 0; i < fleets[_i].nodes; i++) {
		struct dec *d = make_node(i, fleets[_i].nodes, cfg);
		const struct bb_upstream *up = bb_upstream(&d->bb, 0);

		for (int k = 0; k < up->n_slots; k++) {
			bool held = up->slot_since_ms[k] != BB_NEVER;
			slots += held;
			ck_assert(held == (strcmp(slt_holder(&d->bb, up, (uint32_t)k)->vm,
						  d->bb.self_vm) == 0));
		}
		share += up->warm_share;
		least = MIN(least, up->warm_share);
		polled += up->polled;
		dec_free(d);
	}
	ck_assert_int_eq(slots, fleets[_i].cold);
	ck_assert_int_eq(share, fleets[_i].warm);
	if (fleets[_i].nodes <= fleets[_i].warm)
		ck_assert_int_ge(least, 1);
	ck_assert_int_ge(polled, 1);
	ck_assert_int_le(polled, REP_POLLERS);
	cfg_unref(cfg);
}
END_TEST

/* What a node alone in data centre a is told before it is asked for its limit. */
enum told { TOLD_NOTHING, TOLD_IDLE, TOLD_BUSY, TOLD_AGREED, TOLD_AGREED_IDLE, TOLD_NEWER };

static const struct {
	enum told told;
	int64_t after_ms;
	int32_t limit;
} openings[] = {
	{TOLD_NOTHING, 0, 0},	    {TOLD_NOTHING, 6400, 0}, {TOLD_NOTHING, 6500, 1},
	{TOLD_IDLE, 300, 0},	    {TOLD_BUSY, 300, 0},     {TOLD_AGREED, 300, 0},
	{TOLD_AGREED_IDLE, 300, 1}, {TOLD_NEWER, 6500, 0},
};

START_TEST(opens_a_slot)
{
	struct cfg *cfg = make_cfg(1, 8);
	struct dec *d = make_node(0, 2, cfg);
	enum told told = openings[_i].told;
	int64_t at_ms = START_MS + openings[_i].after_ms;

	if (told == TOLD_AGREED || told == TOLD_AGREED_IDLE)
		say_digest(d, START_MS + 10, "node-1", 1, true);
	if (told == TOLD_NEWER)
		say_digest(d, START_MS + 10, "node-1", 2, true);
	if (told == TOLD_IDLE || told == TOLD_AGREED_IDLE || told == TOLD_BUSY)
		say_report(d, START_MS + 200, false, told == TOLD_BUSY);
	for (int64_t ms = START_MS; ms <= at_ms; ms += 100) {
		small_tick(d, ms);
		small_give_list(d, ms, make_list(1, 2));
	}
	ck_assert_int_eq(limit(d, at_ms), openings[_i].limit);
	dec_free(d);
	cfg_unref(cfg);
}
END_TEST

/* A node that holds an open slot, and what takes it away. */
enum lose {
	LOSE_NOTHING,
	LOSE_PAUSE,
	LOSE_VIEW,
	LOSE_CUT,
	LOSE_NEWER,
	LOSE_PAUSE_CONFIRMED,
	LOSE_PAUSE_UNSURE
};

static const struct {
	enum lose lose;
	int32_t limit;
} losses[] = {
	{LOSE_NOTHING, 1}, {LOSE_PAUSE, 0},	      {LOSE_VIEW, 0},	      {LOSE_CUT, 0},
	{LOSE_NEWER, 0},   {LOSE_PAUSE_CONFIRMED, 1}, {LOSE_PAUSE_UNSURE, 0},
};

START_TEST(loses_a_slot)
{
	struct cfg *cfg = make_cfg(1, 8);
	struct dec *d = make_node(0, 2, cfg);
	enum lose lose = losses[_i].lose;
	int64_t now_ms = START_MS;

	say_digest(d, now_ms, "node-1", 1, true);
	say_report(d, now_ms + 200, false, 0);
	now_ms += 300;
	small_tick(d, now_ms);
	ck_assert_int_eq(limit(d, now_ms), 1);
	if (lose == LOSE_PAUSE || lose == LOSE_PAUSE_CONFIRMED || lose == LOSE_PAUSE_UNSURE)
		now_ms += ELG_GAP_MS + 1;
	if (lose == LOSE_VIEW) {
		for (int i = 0; i < 31; i++)
			small_tick(d, now_ms += 100);
	}
	if (lose == LOSE_CUT)
		slt_doubt(&d->bb, bb_upstream(&d->bb, 0), now_ms);
	if (lose == LOSE_NEWER)
		say_digest(d, now_ms, "node-1", 2, true);
	if (lose == LOSE_PAUSE_CONFIRMED || lose == LOSE_PAUSE_UNSURE) {
		small_tick(d, now_ms);
		say_digest(d, now_ms + 1, "node-1", 1, lose == LOSE_PAUSE_CONFIRMED);
		small_tick(d, now_ms + 1);
		now_ms++;
	}
	ck_assert_int_eq(limit(d, now_ms), losses[_i].limit);
	dec_free(d);
	cfg_unref(cfg);
}
END_TEST

START_TEST(warm_news_count_for_a_second)
{
	struct cfg *cfg = make_cfg(1, 8);
	struct dec *d = make_node(0, 2, cfg);
	const struct slt_end good = {.healthy = true, .latency_us = 5000};
	struct bb_upstream *up = bb_upstream(&d->bb, 0);

	say_report(d, START_MS, true, 0);
	ck_assert_int_eq(limit(d, START_MS), 1);
	for (int i = 0; i < 8; i++)
		slt_rendezvous.ended(&d->bb, up, &good, START_MS + 10);
	ck_assert_int_eq(limit(d, START_MS + 10), 4);
	ck_assert_int_eq(limit(d, START_MS + 10 + SLT_FRESH_MS), 4);
	ck_assert_int_eq(limit(d, START_MS + 11 + SLT_FRESH_MS), 0);
	dec_free(d);
	cfg_unref(cfg);
}
END_TEST

static bool holds_any(const struct dec *d)
{
	return bb_upstream(&d->bb, 0)->slot_since_ms[0] != BB_NEVER ||
	       bb_upstream(&d->bb, 1)->slot_since_ms[0] != BB_NEVER;
}

/* The node that a request is handed to; g_free() it. */
static char *handed_to(struct dec *d, uint64_t id, bool handed)
{
	const struct dec_event ev = {
		.type = DEC_EV_REQUEST,
		.u.request = {.id = id, .pipeline = -1, .call = "run", .handed = handed},
	};
	struct dec_out out;
	char *vm = NULL;

	dec_out_init(&out);
	dec_handle(d, START_MS + 1000, &ev, &out); /* the account has earned some */
	for (guint i = 0; i < out.cmds->len; i++) {
		const struct dec_cmd *cmd = &g_array_index(out.cmds, struct dec_cmd, i);
		if (cmd->type == DEC_CMD_HAND)
			vm = g_strdup(cmd->vm);
	}
	dec_out_free(&out);
	return vm;
}

/* Once, to a holder, by a node that holds none. */
START_TEST(hands_over_without_a_slot)
{
	struct cfg *cfg = make_cfg(1, 8);
	int handing = 0;

	for (int i = 0; i < 7; i++) {
		struct dec *d = make_node(i, 7, cfg);
		char *vm = handed_to(d, 1, false);

		ck_assert_ptr_null(handed_to(d, 2, true));
		if (!holds_any(d)) {
			handing++;
			ck_assert_ptr_nonnull(vm);
			ck_assert(strcmp(vm, slt_holder(&d->bb, bb_upstream(&d->bb, 0), 0)->vm) ==
					  0 ||
				  strcmp(vm, slt_holder(&d->bb, bb_upstream(&d->bb, 1), 0)->vm) ==
					  0);
		}
		g_free(vm);
		dec_free(d);
	}
	ck_assert_int_ge(handing, 5);
	cfg_unref(cfg);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("slots");
	TCase *tcase = tcase_create("slots");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_add_loop_test(tcase, nodes_together_hold_the_limit, 0, G_N_ELEMENTS(fleets));
	tcase_add_loop_test(tcase, opens_a_slot, 0, G_N_ELEMENTS(openings));
	tcase_add_loop_test(tcase, loses_a_slot, 0, G_N_ELEMENTS(losses));
	tcase_add_test(tcase, warm_news_count_for_a_second);
	tcase_add_test(tcase, hands_over_without_a_slot);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
