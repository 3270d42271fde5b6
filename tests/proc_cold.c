/* Cold upstreams under a whole fleet: the upstreams' own counts are the judge. */
#include "fleet.h"

#include "base/clk.h"

#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define TEST_TIMEOUT_S 180
#define NODES 7
#define CALLERS_PER_NODE 3
#define HOLD_OFF_MS 9500 /* of the example document, with its extra */
#define VIEW_AGE_MS 3000

static struct fleet *fleet;

/* Callers that ask without pause until told to stop; a count of whole answers for each node. */
static struct load {
	gint stop;
	gint complete[NODES];
	const char *deadline_ms; /* NULL: none */
	GMutex lock;
	GPtrArray *not_run; /* ids of requests refused so, guarded by lock */
	GThread *threads[NODES * CALLERS_PER_NODE];
} load;

static void note_refusal(const struct fleet_answer *answer)
{
	if (strcmp(answer->outcome, "not_run") != 0 || !answer->request)
		return;
	g_mutex_lock(&load.lock);
	g_ptr_array_add(load.not_run, g_strdup(answer->request));
	g_mutex_unlock(&load.lock);
}

static gpointer call_node(gpointer arg)
{
	const struct fleet_request request = {.path = "/v1/services/weighbridge/lookup",
					      .body = "x",
					      .deadline_ms = load.deadline_ms};
	uint32_t node = GPOINTER_TO_UINT(arg);

	while (!g_atomic_int_get(&load.stop)) {
		struct fleet_answer answer;

		fleet_send(fleet, node, &request, &answer);
		if (answer.ok && answer.status == 200)
			g_atomic_int_inc(&load.complete[node]);
		else
			clk_sleep_ms(50);
		note_refusal(&answer);
		fleet_answer_clear(&answer);
	}
	return NULL;
}

static void start_load_with(const char *deadline_ms)
{
	memset(&load, 0, sizeof(load));
	load.deadline_ms = deadline_ms;
	load.not_run = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < G_N_ELEMENTS(load.threads); i++)
		load.threads[i] = g_thread_new("caller", call_node, GUINT_TO_POINTER(i % NODES));
}

static void start_load(void)
{
	start_load_with(NULL);
}

static void stop_load(void)
{
	g_atomic_int_set(&load.stop, 1);
	for (uint32_t i = 0; i < G_N_ELEMENTS(load.threads); i++)
		g_thread_join(load.threads[i]);
}

/* Upstreams that never warm up, so that the cold limit binds throughout. */
static void stay_cold(void)
{
	fleet_set_upstream(fleet, "*", "{\"warm_after\":1000000000,\"service_ms\":40}");
}

static json_t *state_of(const char *upstream)
{
	json_t *state = fleet_get_json(fleet, fleet->platform, "/control/state");
	json_t *one = json_object_get(json_object_get(state, "upstreams"), upstream);

	ck_assert_msg(one != NULL, "no state of %s", upstream);
	json_incref(one);
	json_decref(state);
	return one;
}

static int64_t count_of(const char *upstream, const char *key)
{
	json_t *state = state_of(upstream);
	int64_t count = json_integer_value(json_object_get(state, key));

	json_decref(state);
	return count;
}

static const char *const bridges[] = {"weighbridge-1", "weighbridge-2", "weighbridge-3"};

static void assert_no_overrun(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(bridges); i++) {
		ck_assert_msg(count_of(bridges[i], "overruns") == 0,
			      "%s had %d arrivals above what it bears, at most %d at once",
			      bridges[i], (int)count_of(bridges[i], "overruns"),
			      (int)count_of(bridges[i], "most_running"));
	}
}

static bool all_get_work(struct fleet *f, void *arg)
{
	const int64_t *before = arg;
	bool all = true;

	for (size_t i = 0; i < G_N_ELEMENTS(bridges); i++)
		all = all && count_of(bridges[i], "ran") > before[i];
	return all;
}

static void wait_for_work(int64_t wait_ms)
{
	int64_t before[G_N_ELEMENTS(bridges)];

	for (size_t i = 0; i < G_N_ELEMENTS(bridges); i++)
		before[i] = count_of(bridges[i], "ran");
	fleet_wait_until(fleet, all_get_work, before, wait_ms, "work for each upstream");
}

static void set_up(void)
{
	fleet = fleet_new("association.yaml", NODES);
}

static void tear_down(void)
{
	fleet_free(fleet);
}

START_TEST(seven_nodes_at_once)
{
	stay_cold();
	start_load();
	wait_for_work(HOLD_OFF_MS);
	clk_sleep_ms(2000);
	stop_load();
	assert_no_overrun();
}
END_TEST

static bool all_nodes_answer(struct fleet *f, void *arg)
{
	const gint *before = arg;
	bool all = true;

	for (int i = 0; i < NODES; i++)
		all = all && g_atomic_int_get(&load.complete[i]) > before[i];
	return all;
}

/* Three slots among seven nodes: four or more have none. */
START_TEST(nodes_without_a_slot_answer)
{
	gint before[NODES];

	stay_cold();
	start_load();
	wait_for_work(HOLD_OFF_MS);
	for (int i = 0; i < NODES; i++)
		before[i] = g_atomic_int_get(&load.complete[i]);
	fleet_wait_until(fleet, all_nodes_answer, before, HOLD_OFF_MS, "answers from every node");
	stop_load();
	assert_no_overrun();
}
END_TEST

/* Holders freeze with stages of other nodes in hand; refusals are searched for to the end. */
START_TEST(handed_stages_and_frozen_holders)
{
	gint before[NODES];
	json_t *log;

	stay_cold();
	start_load_with("300");
	wait_for_work(HOLD_OFF_MS);
	for (int round = 0; round < 6; round++) {
		fleet_signal_node(fleet, (uint32_t)round, SIGSTOP);
		clk_sleep_ms(700);
		fleet_signal_node(fleet, (uint32_t)round, SIGCONT);
	}
	for (int i = 0; i < NODES; i++)
		before[i] = g_atomic_int_get(&load.complete[i]);
	fleet_wait_until(fleet, all_nodes_answer, before, HOLD_OFF_MS, "answers from every node");
	stop_load();
	assert_no_overrun();
	log = fleet_get_log(fleet);
	ck_assert_uint_gt(load.not_run->len, 0);
	for (guint i = 0; i < load.not_run->len; i++)
		ck_assert_int_eq(fleet_count_arrivals(log, NULL, NULL, load.not_run->pdata[i]), 0);
	json_decref(log);
}
END_TEST

START_TEST(node_killed_and_replaced)
{
	stay_cold();
	start_load();
	wait_for_work(HOLD_OFF_MS);
	for (uint32_t i = 0; i < 3; i++)
		fleet_signal_node(fleet, i, SIGKILL);
	clk_sleep_ms(300);
	fleet_set_node_state(fleet, 0, NULL);
	fleet_start_node(fleet, 1);
	clk_sleep_ms(1000);
	fleet_start_node(fleet, 2);
	fleet_start_node(fleet, 0);
	wait_for_work(HOLD_OFF_MS + VIEW_AGE_MS);
	clk_sleep_ms(1000);
	stop_load();
	assert_no_overrun();
}
END_TEST

START_TEST(node_frozen_and_woken)
{
	stay_cold();
	start_load();
	wait_for_work(HOLD_OFF_MS);
	for (uint32_t i = 0; i < 3; i++)
		fleet_signal_node(fleet, i, SIGSTOP);
	clk_sleep_ms(500);
	for (uint32_t i = 0; i < 3; i++)
		fleet_set_node_state(fleet, i, NULL);
	clk_sleep_ms(HOLD_OFF_MS + VIEW_AGE_MS);
	for (uint32_t i = 0; i < 3; i++)
		fleet_signal_node(fleet, i, SIGCONT);
	clk_sleep_ms(500);
	for (uint32_t i = 0; i < 3; i++)
		fleet_set_node_state(fleet, i, "live");
	clk_sleep_ms(2000);
	stop_load();
	assert_no_overrun();
}
END_TEST

static bool are_warm(struct fleet *f, void *arg)
{
	bool warm = true;

	for (size_t i = 0; i < G_N_ELEMENTS(bridges); i++) {
		json_t *state = state_of(bridges[i]);
		warm = warm && json_is_true(json_object_get(state, "warm"));
		json_decref(state);
	}
	return warm;
}

START_TEST(warms_up_and_serves_from_every_node)
{
	gint before[NODES];

	start_load();
	fleet_wait_until(fleet, are_warm, NULL, 2 * HOLD_OFF_MS, "warm upstreams");
	for (int i = 0; i < NODES; i++)
		before[i] = g_atomic_int_get(&load.complete[i]);
	fleet_wait_until(fleet, all_nodes_answer, before, HOLD_OFF_MS, "answers from every node");
	stop_load();
	assert_no_overrun();
}
END_TEST

#define NEWS_MS 3000 /* "a few seconds" */

/* It stays cold from then on; what arrives above its limit before the news is counted and told. */
START_TEST(upstream_turns_cold_unannounced)
{
	int64_t early;

	start_load();
	fleet_wait_until(fleet, are_warm, NULL, 2 * HOLD_OFF_MS, "warm upstreams");
	clk_sleep_ms(3000);
	fleet_set_upstream(fleet, "weighbridge-1", "{\"restart\":true,\"warm_after\":1000000000}");
	clk_sleep_ms(NEWS_MS);
	early = count_of("weighbridge-1", "cold_overruns");
	clk_sleep_ms(NEWS_MS);
	stop_load();
	g_print("arrivals above the cold limit before the news: %d\n", (int)early);
	ck_assert_int_eq(count_of("weighbridge-1", "cold_overruns"), early);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("cold");
	TCase *tcase = tcase_create("cold");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, seven_nodes_at_once);
	tcase_add_test(tcase, nodes_without_a_slot_answer);
	tcase_add_test(tcase, handed_stages_and_frozen_holders);
	tcase_add_test(tcase, node_killed_and_replaced);
	tcase_add_test(tcase, node_frozen_and_woken);
	tcase_add_test(tcase, warms_up_and_serves_from_every_node);
	tcase_add_test(tcase, upstream_turns_cold_unannounced);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
