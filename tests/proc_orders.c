/* Orders to engines with real nodes: engines hold what is published, and are never told back. */
#include "fleet.h"

#include "base/clk.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define TEST_TIMEOUT_S 300
#define NODES 7
#define WAIT_MS 40000 /* hold-offs and turns */
#define LOAD_MS 600

static struct fleet *fleet;

static void set_up(void)
{
	fleet = fleet_new("association.yaml", NODES);
}

static void tear_down(void)
{
	fleet_free(fleet);
}

static void set_engines(bool checks, int load_ms, int answer_ms)
{
	fleet_put_control(fleet, "/control/orders",
			  json_pack("{s:b, s:i, s:i}", "checks", checks, "load_ms", load_ms,
				    "answer_ms", answer_ms));
}

/* Tells both engines and nodes whether fencing numbers are checked. */
static void start_engines(bool checks)
{
	set_engines(checks, 0, 0);
	if (checks)
		return;
	fleet_edit_config(fleet, "checks_fencing: true", "checks_fencing: false");
	fleet_edit_config(fleet, "\nservices:\n  revision: 1\n", "\nservices:\n  revision: 2\n");
}

static json_t *logs(void)
{
	return fleet_get_json(fleet, fleet->platform, "/control/orders");
}

#define MODELS "\nmodels:\n  revision: %d\n  items:\n    - {name: route-chat, version: \"%d\","

/* Publishes the models section with another revision and version. */
static void publish(int from, int to)
{
	char *old = g_strdup_printf(MODELS, from, from + 2);
	char *new = g_strdup_printf(MODELS, to, to + 2);

	fleet_edit_config(fleet, old, new);
	g_free(old);
	g_free(new);
}

static json_t *last_taken(const json_t *log)
{
	json_t *last = NULL;
	size_t i;
	json_t *order;

	json_array_foreach((json_t *)log, i, order)
	{
		if (!json_is_true(json_object_get(order, "refused")))
			last = order;
	}
	return last;
}

static const char *const placed[] = {"chat-1", "chat-4", "chat-7"};

static bool hold_revision(struct fleet *f, void *arg)
{
	int revision = *(int *)arg;
	json_t *json = logs();
	bool all = true;

	for (size_t i = 0; i < G_N_ELEMENTS(placed); i++) {
		json_t *last = last_taken(json_object_get(json, placed[i]));
		all = all && last && json_integer_value(json_object_get(last, "fence")) == revision;
	}
	json_decref(json);
	return all;
}

static void wait_held(int revision)
{
	fleet_wait_until(fleet, hold_revision, &revision, WAIT_MS, "the placement at every engine");
}

/* No engine took what no published configuration asked for, nor anything older than before. */
static void check_logs(void)
{
	json_t *json = logs();
	const char *engine;
	json_t *log;
	size_t i;
	json_t *order;

	json_object_foreach(json, engine, log)
	{
		int64_t fence = 0;

		json_array_foreach(log, i, order)
		{
			int64_t now = json_integer_value(json_object_get(order, "fence"));
			int version = atoi(json_string_value(json_object_get(order, "version")));

			ck_assert_msg(version == now + 2, "%s: version %d under %d", engine,
				      version, (int)now);
			if (json_is_true(json_object_get(order, "refused")))
				continue;
			ck_assert_msg(now >= fence, "%s was told back to %d", engine, (int)now);
			fence = now;
		}
	}
	json_decref(json);
}

static void signal_all(int sig)
{
	for (uint32_t i = 0; i < NODES; i++)
		fleet_signal_node(fleet, i, sig);
}

START_TEST(follows_placement)
{
	start_engines(_i == 0);
	wait_held(1);
	publish(1, 2);
	wait_held(2);
	publish(2, 3);
	wait_held(3);
	check_logs();
}
END_TEST

/* All nodes wait for an engine's answer, are frozen, and wake when a newer order is out. */
START_TEST(drops_old_order_in_hand)
{
	start_engines(_i == 0);
	wait_held(1);
	set_engines(_i == 0, 0, 900);
	publish(1, 2);
	clk_sleep_ms(700);
	for (uint32_t i = 0; i < NODES - 3; i++)
		fleet_signal_node(fleet, i, SIGSTOP);
	for (uint32_t i = 0; i < NODES - 3; i++)
		fleet_set_node_state(fleet, i, NULL);
	publish(2, 3);
	wait_held(3);
	for (uint32_t i = 0; i < NODES - 3; i++)
		fleet_signal_node(fleet, i, SIGCONT);
	clk_sleep_ms(4000);
	check_logs();
	wait_held(3);
}
END_TEST

/* One part of the fleet reads a list without the other, and holds an older configuration. */
START_TEST(disagreeing_nodes_order_the_same)
{
	start_engines(_i == 0);
	wait_held(1);
	fleet_put_control(fleet, "/control/platform",
			  json_pack("{s:s}", "only_source", fleet->nodes[0].source));
	fleet_set_node_state(fleet, 3, NULL);
	fleet_set_node_state(fleet, 6, NULL);
	publish(1, 2);
	if (_i == 0)
		wait_held(2);
	clk_sleep_ms(3000);
	fleet_put_control(fleet, "/control/platform", json_object());
	wait_held(2);
	check_logs();
}
END_TEST

START_TEST(survives_restarts)
{
	start_engines(_i == 0);
	wait_held(1);
	publish(1, 2);
	signal_all(SIGKILL);
	for (uint32_t i = 0; i < NODES; i++)
		fleet_start_node(fleet, i);
	wait_held(2);
	check_logs();
}
END_TEST

/* Within a data centre no more than a bounded number of engines load a model at once. */
START_TEST(bounds_loads)
{
	static const char *const west[] = {"chat-1", "chat-2", "chat-3"};
	int64_t at_ms[G_N_ELEMENTS(west)];
	int64_t first_ms;
	int64_t last_ms;

	set_engines(true, LOAD_MS, 0);
	wait_held(1);
	clk_sleep_ms(LOAD_MS);
	fleet_edit_config(fleet, "[chat-1, chat-4, chat-7]",
			  "[chat-1, chat-2, chat-3, chat-4, chat-7]");
	publish(1, 2);
	wait_held(2);
	for (int tries = 0; tries < 200; tries++) {
		json_t *json = logs();
		bool all = true;

		for (size_t i = 0; i < G_N_ELEMENTS(west); i++) {
			json_t *last = last_taken(json_object_get(json, west[i]));
			all = all && last &&
			      json_integer_value(json_object_get(last, "fence")) == 2;
			at_ms[i] = all ? json_integer_value(json_object_get(last, "t_ms")) : 0;
		}
		json_decref(json);
		if (all)
			break;
		clk_sleep_ms(100);
	}
	first_ms = MIN(at_ms[0], MIN(at_ms[1], at_ms[2]));
	last_ms = MAX(at_ms[0], MAX(at_ms[1], at_ms[2]));
	ck_assert_int_gt(first_ms, 0);
	ck_assert_int_ge(last_ms - first_ms, LOAD_MS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("orders");
	TCase *tcase = tcase_create("orders");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_checked_fixture(tcase, set_up, tear_down);
	/* 0: engines check fencing numbers, 1: they ignore them */
	tcase_add_loop_test(tcase, follows_placement, 0, 2);
	tcase_add_loop_test(tcase, drops_old_order_in_hand, 0, 2);
	tcase_add_loop_test(tcase, disagreeing_nodes_order_the_same, 0, 2);
	tcase_add_loop_test(tcase, survives_restarts, 0, 2);
	tcase_add_test(tcase, bounds_loads);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
