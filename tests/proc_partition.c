/*
 * At most once across links that fail: partitions between nodes, a link that dies after the booking
 * was written, and messages of a hand-over that get lost. The judge is the emulator's log.
 */
#include "fleet.h"

#include "base/clk.h"

#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define TEST_TIMEOUT_S 180
#define NODES 3
#define BOOK "/v1/services/weighbridge/book"
#define SETTLE_MS 5000 /* above the longest deadline: nothing arrives later */
#define PHASE_MS 20000 /* above all phases of a stop */
#define LOST_MS 1500   /* above the time to live of a release and its acknowledgement */
#define LINK_DELAY "{\"delay_ms\":200}" /* so that a phase can be seen from outside */
#define BLACK_HOLE "{\"black_hole\":true}"

static struct fleet *fleet;

static void set_up(void)
{
	fleet = fleet_new_proxied("association.yaml", NODES, false);
}

static void tear_down(void)
{
	fleet_free(fleet);
}

static int bookings(void)
{
	json_t *log = fleet_get_log(fleet);
	int count = fleet_count_arrivals(log, NULL, "book", NULL);

	json_decref(log);
	return count;
}

static bool has_booking(struct fleet *f, void *arg)
{
	return bookings() > 0;
}

struct caller {
	pthread_t thread;
	uint32_t node;
	const char *ticket;
	struct fleet_answer answer;
};

static void *call(void *arg)
{
	struct caller *caller = arg;
	const struct fleet_request request = {.path = BOOK, .body = "x", .ticket = caller->ticket};

	fleet_send(fleet, caller->node, &request, &caller->answer);
	return NULL;
}

static void start_call(struct caller *caller)
{
	pthread_create(&caller->thread, NULL, call, caller);
}

static void check_outcome(struct caller *caller, const char *outcome)
{
	ck_assert_msg(strcmp(caller->answer.outcome, outcome) == 0, "node %u: %s %s", caller->node,
		      caller->answer.outcome, caller->answer.body);
	fleet_answer_clear(&caller->answer);
}

static void check_call(uint32_t node, const char *ticket, const char *outcome)
{
	struct caller caller = {.node = node, .ticket = ticket};

	call(&caller);
	check_outcome(&caller, outcome);
}

/* node-1 takes the caller's request, node-2 owns the ticket. */
static const struct {
	const char *there; /* fault from node-1 to node-2 */
	const char *back;
} partitions[] = {
	{BLACK_HOLE, BLACK_HOLE},
	{BLACK_HOLE, "{}"},
	{"{}", BLACK_HOLE},
	{"{\"one_way\":true}", "{}"},
	{"{\"one_way_back\":true}", "{\"one_way_back\":true}"},
	{"{\"refuse\":true}", "{\"refuse\":true}"},
};

/* The same ticket on both sides; what the links held back arrives when they are well again. */
START_TEST(partition_runs_once)
{
	char *ticket = fleet_get_ticket(fleet, 1);
	struct caller callers[] = {{.node = 0, .ticket = ticket}, {.node = 1, .ticket = ticket}};

	fleet_set_link(fleet, "node-1", "peer:node-2", partitions[_i].there);
	fleet_set_link(fleet, "node-2", "peer:node-1", partitions[_i].back);
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++)
		start_call(&callers[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++)
		pthread_join(callers[i].thread, NULL);
	ck_assert_str_ne(callers[0].answer.outcome, "not_run");
	fleet_answer_clear(&callers[0].answer);
	check_outcome(&callers[1], "complete");
	fleet_set_link(fleet, "node-1", "peer:node-2", "{}");
	fleet_set_link(fleet, "node-2", "peer:node-1", "{}");
	clk_sleep_ms(SETTLE_MS);
	for (uint32_t i = 0; i < NODES; i++)
		check_call(i, ticket, "complete");
	ck_assert_int_eq(bookings(), 1);
	g_free(ticket);
}
END_TEST

/* The answer to a booking is held back until its deadline has passed, and comes then. */
START_TEST(link_to_the_upstream_dies_after_the_request)
{
	char *ticket = fleet_get_ticket(fleet, 1);
	struct caller caller = {.node = 0, .ticket = ticket};

	fleet_set_upstream(fleet, "*", "{\"service_ms\":1000}");
	start_call(&caller);
	fleet_wait_until(fleet, has_booking, NULL, SETTLE_MS, "the booking's arrival");
	fleet_set_link(fleet, "*", "weighbridge-*", BLACK_HOLE);
	pthread_join(caller.thread, NULL);
	check_outcome(&caller, "unknown");
	fleet_set_link(fleet, "*", "weighbridge-*", "{}");
	clk_sleep_ms(SETTLE_MS);
	for (uint32_t i = 0; i < NODES; i++)
		check_call(i, ticket, "unknown");
	ck_assert_int_eq(bookings(), 1);
	g_free(ticket);
}
END_TEST

static bool is_releasing(struct fleet *f, void *arg)
{
	json_t *dump = fleet_get_dump(f, 1);
	const char *phase =
		json_string_value(json_object_get(json_object_get(dump, "drain"), "phase"));
	bool releasing = phase && strcmp(phase, "releasing") == 0;

	json_decref(dump);
	return releasing;
}

static const struct {
	const char *from;
	const char *to;
} lost[] = {{"node-2", "peer:*"}, {"*", "peer:node-2"}};

static void *stop_node(void *arg)
{
	fleet_signal_node(fleet, 1, SIGTERM);
	return NULL;
}

/* Releases, or their acknowledgements, are lost at first: the hand-over still comes to its end. */
START_TEST(lost_messages_of_a_hand_over)
{
	char *used = fleet_get_ticket(fleet, 1);
	char *fresh = fleet_get_ticket(fleet, 1);
	struct caller callers[] = {{.node = 0, .ticket = fresh}, {.node = 2, .ticket = fresh}};
	pthread_t stopping;

	check_call(0, used, "complete");
	fleet_set_link(fleet, lost[_i].from, lost[_i].to, LINK_DELAY);
	pthread_create(&stopping, NULL, stop_node, NULL);
	fleet_wait_until(fleet, is_releasing, NULL, PHASE_MS, "the releasing phase");
	fleet_set_link(fleet, lost[_i].from, lost[_i].to, BLACK_HOLE);
	clk_sleep_ms(LOST_MS);
	fleet_set_link(fleet, lost[_i].from, lost[_i].to, "{}");
	pthread_join(stopping, NULL);
	check_call(0, used, "complete");
	check_call(2, used, "complete");
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++)
		start_call(&callers[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(callers); i++) {
		pthread_join(callers[i].thread, NULL);
		check_outcome(&callers[i], "complete");
	}
	ck_assert_int_eq(bookings(), 2);
	g_free(used);
	g_free(fresh);
}
END_TEST

/* A node that is back asks who took its tickets over: the news of it may have been lost. */
START_TEST(restarted_node_finds_its_successor)
{
	char *used = fleet_get_ticket(fleet, 1);
	char *fresh = fleet_get_ticket(fleet, 1);

	check_call(1, used, "complete");
	fleet_signal_node(fleet, 1, SIGTERM);
	fleet_set_link(fleet, "*", "peer:node-2", BLACK_HOLE);
	fleet_start_node(fleet, 1);
	clk_sleep_ms(2 * LOST_MS); /* above the time to live of the news */
	fleet_set_link(fleet, "*", "peer:node-2", "{}");
	fleet_wait_ready(fleet, 1);
	check_call(1, used, "complete");
	check_call(1, fresh, "complete");
	ck_assert_int_eq(bookings(), 2);
	g_free(used);
	g_free(fresh);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("partition");
	TCase *tcase = tcase_create("partition");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_loop_test(tcase, partition_runs_once, 0, G_N_ELEMENTS(partitions));
	tcase_add_test(tcase, link_to_the_upstream_dies_after_the_request);
	tcase_add_loop_test(tcase, lost_messages_of_a_hand_over, 0, G_N_ELEMENTS(lost));
	tcase_add_test(tcase, restarted_node_finds_its_successor);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
