/* Configuration with real nodes: accepted content is in force everywhere and never goes back. */
#include "fleet.h"

#include "base/clk.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define TEST_TIMEOUT_S 300
#define NODES 7
#define IN_FORCE_MS 7000 /* the users' bound */
#define SHARE_PER_S 4.87 /* 2,000 calls a second over 410 nodes */
#define LARGE_BYTES 900000
#define FORCE_BYTES 64

static struct fleet *fleet;

/* Every node has read a list with all of them, so that none is a stranger to another. */
static bool all_listed(struct fleet *f, void *arg)
{
	for (uint32_t i = 0; i < f->n_nodes; i++) {
		json_t *dump = fleet_get_dump(f, i);
		size_t listed = json_array_size(
			json_object_get(json_object_get(dump, "decisions"), "nodes"));
		json_decref(dump);
		if (listed < f->n_nodes)
			return false;
	}
	return true;
}

static void set_up(void)
{
	fleet = fleet_new("association.yaml", NODES);
	fleet_wait_until(fleet, all_listed, NULL, IN_FORCE_MS, "the whole list at every node");
}

static void tear_down(void)
{
	fleet_free(fleet);
}

static void set_faults(json_t *faults)
{
	fleet_put_control(fleet, "/control/platform", faults);
}

/* Revision and hash of a section at a node, "" when the node gives none. */
static void in_force(uint32_t node, const char *section, char *text)
{
	json_t *dump = fleet_get_dump(fleet, node);
	json_t *entry = json_object_get(json_object_get(dump, "config"), section);
	const char *hash = json_string_value(json_object_get(entry, "hash"));

	g_snprintf(text, FORCE_BYTES, "%d/%s",
		   (int)json_integer_value(json_object_get(entry, "revision")), hash ? hash : "");
	json_decref(dump);
}

static int revision_at(uint32_t node, const char *section)
{
	char text[FORCE_BYTES];

	in_force(node, section, text);
	return atoi(text);
}

struct want {
	const char *section;
	int revision;
};

/* What the decisions use, not only what was accepted. */
static bool everywhere(struct fleet *f, void *arg)
{
	const struct want *want = arg;

	for (uint32_t i = 0; i < f->n_nodes; i++) {
		if (f->nodes[i].pid == 0)
			continue;
		json_t *dump = fleet_get_dump(f, i);
		json_t *revisions =
			json_object_get(json_object_get(dump, "decisions"), "revisions");
		bool there = json_integer_value(json_object_get(revisions, want->section)) ==
			     want->revision;
		json_decref(dump);
		if (!there)
			return false;
	}
	return true;
}

static void wait_everywhere(const char *section, int revision)
{
	struct want want = {section, revision};
	int64_t began_ms = clk_now_ms();

	fleet_wait_until(fleet, everywhere, &want, IN_FORCE_MS, "a revision in force everywhere");
	printf("measured: %s revision %d in force at %u nodes after %d ms\n", section, revision,
	       fleet->n_nodes, (int)(clk_now_ms() - began_ms));
}

static bool all_agree(struct fleet *f, void *arg)
{
	char first[FORCE_BYTES];
	char text[FORCE_BYTES];

	in_force(0, arg, first);
	for (uint32_t i = 1; i < f->n_nodes; i++) {
		in_force(i, arg, text);
		if (strcmp(text, first) != 0)
			return false;
	}
	return true;
}

static void publish(const char *section, int from, int to)
{
	char *old = g_strdup_printf("\n%s:\n  revision: %d\n", section, from);
	char *new = g_strdup_printf("\n%s:\n  revision: %d\n", section, to);

	fleet_edit_config(fleet, old, new);
	g_free(old);
	g_free(new);
}

static int64_t counter_sum(const char *name)
{
	int64_t sum = 0;

	for (uint32_t i = 0; i < fleet->n_nodes; i++) {
		json_t *dump = fleet_get_dump(fleet, i);
		sum += json_integer_value(json_object_get(json_object_get(dump, "counters"), name));
		json_decref(dump);
	}
	return sum;
}

/* Highest rate of calls at the service by one node over a time. */
static double call_rate(int64_t over_ms)
{
	json_t *before = fleet_get_json(fleet, fleet->platform, "/control/calls");
	double most = 0;

	clk_sleep_ms(over_ms);
	json_t *after = fleet_get_json(fleet, fleet->platform, "/control/calls");
	for (uint32_t i = 0; i < fleet->n_nodes; i++) {
		const char *source = fleet->nodes[i].source;
		double calls = (double)(json_integer_value(json_object_get(after, source)) -
					json_integer_value(json_object_get(before, source)));
		most = MAX(most, calls * CLK_MS_PER_S / (double)over_ms);
	}
	json_decref(before);
	json_decref(after);
	return most;
}

static void check_rate(const char *when, int64_t over_ms)
{
	double rate = call_rate(over_ms);

	printf("measured: %s: at most %.2f calls a second by a node\n", when, rate);
	ck_assert_msg(rate <= SHARE_PER_S, "%s: %.2f calls a second", when, rate);
}

START_TEST(comes_in_force_within_bound)
{
	publish("routing", 1, 2);
	wait_everywhere("routing", 2);
	publish("capacity", 1, 2); /* a second operator right behind */
	publish("routing", 2, 3);
	wait_everywhere("capacity", 2);
	wait_everywhere("routing", 3);
}
END_TEST

START_TEST(spreads_from_one_node)
{
	set_faults(json_pack("{s:s}", "only_source", fleet->nodes[3].source));
	publish("routing", 1, 2);
	wait_everywhere("routing", 2);
}
END_TEST

START_TEST(survives_outage)
{
	set_faults(json_pack("{s:b}", "down", 1));
	publish("routing", 1, 2);
	check_rate("service down", 6000);
	ck_assert_int_eq(revision_at(0, "routing"), 1);
	set_faults(json_object());
	wait_everywhere("routing", 2);
	check_rate("service back", 4000);
}
END_TEST

START_TEST(never_goes_back)
{
	publish("routing", 1, 2);
	wait_everywhere("routing", 2);
	publish("routing", 2, 1);
	clk_sleep_ms(3000);
	for (uint32_t i = 0; i < NODES; i++)
		ck_assert_int_eq(revision_at(i, "routing"), 2);
	ck_assert_int_gt(counter_sum("config_stale_total"), 0);
	/* a node with empty memory reads old content and takes its peers' */
	fleet_signal_node(fleet, 2, SIGKILL);
	fleet_start_node(fleet, 2);
	fleet_wait_ready(fleet, 2);
	ck_assert_int_eq(revision_at(2, "routing"), 2);
	struct want want = {"routing", 2};
	ck_assert(everywhere(fleet, &want));
}
END_TEST

/* A service that knows the whole document alone. */
START_TEST(starts_without_index)
{
	publish("routing", 1, 2);
	wait_everywhere("routing", 2);
	fleet_signal_node(fleet, 5, SIGKILL);
	set_faults(json_pack("{s:b}", "no_index", 1));
	fleet_start_node(fleet, 5);
	fleet_wait_ready(fleet, 5);
	publish("routing", 2, 3);
	wait_everywhere("routing", 3);
}
END_TEST

static bool is_ready(struct fleet *f, void *arg)
{
	const struct fleet_node *node = arg;
	const struct hcl_call call = {.method = "GET",
				      .address = node->admin,
				      .path = "/readyz",
				      .headers = {{"Authorization", "Bearer ops-key"}},
				      .n_headers = 1,
				      .timeout_ms = IN_FORCE_MS,
				      .idempotent = true};
	struct hcl_answer answer;
	bool ready;

	hcl_do(f->http, &call, &answer, NULL);
	ready = answer.status == 200;
	hcl_answer_clear(&answer);
	return ready;
}

/*
 * With empty memory and no list it knows no peer: it takes no work, the others go on, and it is
 * ready within the bound once the service is back.
 */
START_TEST(starts_while_service_is_down)
{
	const struct fleet_request request = {.path = "/v1/pipelines/route-chat", .body = "{}"};
	struct fleet_answer answer;

	publish("routing", 1, 2);
	wait_everywhere("routing", 2);
	fleet_signal_node(fleet, 5, SIGKILL);
	set_faults(json_pack("{s:b}", "down", 1));
	fleet_start_node(fleet, 5);
	clk_sleep_ms(IN_FORCE_MS);
	ck_assert(!is_ready(fleet, &fleet->nodes[5]));
	fleet_send(fleet, 5, &request, &answer);
	ck_assert_int_ne(answer.status, 200);
	ck_assert_str_ne(answer.outcome, "unknown");
	fleet_answer_clear(&answer);
	set_faults(json_object());
	fleet_wait_until(fleet, is_ready, &fleet->nodes[5], IN_FORCE_MS, "a ready node");
	wait_everywhere("routing", 2);
}
END_TEST

START_TEST(refuses_bad_section_alone)
{
	fleet_edit_config(fleet, "\nrouting:\n  revision: 1\n",
			  "\nrouting:\n  revision: 2\n  eject_ms: [\n");
	publish("capacity", 1, 2);
	wait_everywhere("capacity", 2);
	for (uint32_t i = 0; i < NODES; i++)
		ck_assert_int_eq(revision_at(i, "routing"), 1);
	ck_assert_int_gt(counter_sum("config_refused_total"), 0);
}
END_TEST

START_TEST(agrees_on_equal_revisions)
{
	set_faults(json_pack("{s:s}", "only_source", fleet->nodes[0].source));
	fleet_edit_config(fleet, "revision: 1\n  policy: adaptive",
			  "revision: 2\n  policy: baseline");
	wait_everywhere("routing", 2);
	fleet_edit_config(fleet, "cost_weight_pct: 20", "cost_weight_pct: 21");
	set_faults(json_pack("{s:s}", "only_source", fleet->nodes[1].source));
	clk_sleep_ms(2000);
	fleet_wait_until(fleet, all_agree, (void *)"routing", IN_FORCE_MS,
			 "one content everywhere");
	ck_assert_int_gt(counter_sum("config_conflicts_total"), 0);
}
END_TEST

/* What the service serves from some time on is old, and a node starts on it. */
START_TEST(outlives_stale_service)
{
	set_faults(json_pack("{s:b, s:s}", "stale", 1, "only_source", fleet->nodes[0].source));
	publish("routing", 1, 2);
	clk_sleep_ms(1000);
	ck_assert_int_eq(revision_at(0, "routing"), 1);
	set_faults(json_object());
	wait_everywhere("routing", 2);
	publish("routing", 2, 1);
	set_faults(json_pack("{s:b}", "stale", 1));
	publish("routing", 1, 3);
	fleet_signal_node(fleet, 4, SIGKILL);
	fleet_start_node(fleet, 4);
	fleet_wait_ready(fleet, 4);
	struct want want = {"routing", 2};
	ck_assert(everywhere(fleet, &want));
	set_faults(json_object());
	wait_everywhere("routing", 3);
}
END_TEST

/* Pads the accounts to a document near the service's limit for a value. */
START_TEST(carries_large_document)
{
	GString *items = g_string_new("\n  items:\n");

	for (int i = 0; items->len < LARGE_BYTES; i++)
		g_string_append_printf(items,
				       "    - {name: member-%d, class: members, key_sha256: "
				       "\"%064x\", limit_per_s: 5}\n",
				       i, i);
	fleet_edit_config(fleet, "\naccounts:\n  revision: 1\n", "\naccounts:\n  revision: 2\n");
	wait_everywhere("accounts", 2);
	char *text = fleet_get_config(fleet);
	char *at = strstr(strstr(text, "\naccounts:"), "\n  items:\n");
	char *old = g_strndup(strstr(text, "\naccounts:\n"),
			      (gsize)(at - strstr(text, "\naccounts:\n")) + strlen("\n  items:\n"));
	char *head = g_strndup(old, strlen(old) - strlen("\n  items:\n"));
	char *new = g_strdup_printf("%s%s", head, items->str);
	*strstr(new, "revision: 2") = 'r';
	strstr(new, "revision: 2")[strlen("revision: ")] = '3';
	fleet_edit_config(fleet, old, new);
	wait_everywhere("accounts", 3);
	publish("routing", 1, 2);
	wait_everywhere("routing", 2);
	g_free(new);
	g_free(head);
	g_free(old);
	g_free(text);
	g_string_free(items, TRUE);
}
END_TEST

START_TEST(stays_within_share)
{
	int64_t sent_bytes = counter_sum("peer_sent_bytes_total");

	check_rate("at rest", 6000);
	sent_bytes = counter_sum("peer_sent_bytes_total") - sent_bytes;
	printf("measured: at rest: %d bytes a second sent to nodes by a node\n",
	       (int)(sent_bytes / (NODES * INT64_C(6))));
	set_faults(json_pack("{s:b}", "no_watch", 1));
	check_rate("watch not known", 6000);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("config");
	TCase *tcase = tcase_create("config");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, comes_in_force_within_bound);
	tcase_add_test(tcase, spreads_from_one_node);
	tcase_add_test(tcase, survives_outage);
	tcase_add_test(tcase, never_goes_back);
	tcase_add_test(tcase, starts_without_index);
	tcase_add_test(tcase, starts_while_service_is_down);
	tcase_add_test(tcase, refuses_bad_section_alone);
	tcase_add_test(tcase, agrees_on_equal_revisions);
	tcase_add_test(tcase, carries_large_document);
	tcase_add_test(tcase, outlives_stale_service);
	tcase_add_test(tcase, stays_within_share);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
