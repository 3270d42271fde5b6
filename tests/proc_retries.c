/*
 * The retry budget of a node before upstreams to which no connection can be made. Guards against
 * requests that are refused for want of budget although nothing of them has arrived anywhere.
 */
#include "cluster.h"
#include "run_tests.h"

#include "base/clock.h"

#include <signal.h>

#define REQUESTS 40
#define GAP_MS 100
#define HEARD_MS 800 /* until the node knows of an entry */
#define DEAD 4

static struct cluster *c;

/* Nothing listens at the address. */
static void publish_dead(const char *id)
{
	char *key = g_strdup_printf("servers/%s", id);
	char *value = g_strdup_printf(
		"{\"service\":\"plain\",\"address\":\"127.0.0.1:9\",\"zone\":\"a1\",\"version\":"
		"\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":1,\"born\":"
		"%" G_GINT64_FORMAT "}",
		g_get_real_time() / CLOCK_US_PER_MS);

	stub_put(c->stub, key, value);
	g_free(key);
	g_free(value);
}

static uint32_t count_served(const char *method, const char *target, const char *extra)
{
	uint32_t served = 0;

	for (int i = 0; i < REQUESTS; i++) {
		struct cluster_answer answer;
		cluster_send(c, 0, method, target, extra, &answer);
		served += answer.status == 200 && answer.whole;
		cluster_answer_clear(&answer);
		clock_sleep_ms(GAP_MS);
	}
	return served;
}

/* Only what arrives counts as a retry: the first arrival of a request needs no budget. */
START_TEST(connections_that_fail_cost_no_budget)
{
	c = cluster_new(1);
	c->retry_slack = 1;
	cluster_signal(c, 0, SIGKILL);
	cluster_start_node(c, 0);
	cluster_wait_ready(c, 0);
	for (int i = 0; i < DEAD; i++) {
		char id[16];
		g_snprintf(id, sizeof(id), "dead-%d", i);
		publish_dead(id);
	}
	clock_sleep_ms(HEARD_MS);
	ck_assert_uint_eq(count_served("GET", "/safe/x", NULL), REQUESTS);
	ck_assert_uint_eq(count_served("POST", "/once/x", "Content-Length: 0\r\n"), REQUESTS);
	cluster_free(c);
}
END_TEST

/* What did arrive is still bounded. */
START_TEST(failures_cost_budget)
{
	struct stub_stats stats[2];

	c = cluster_new(1);
	c->retry_slack = 1;
	cluster_signal(c, 0, SIGKILL);
	cluster_start_node(c, 0);
	cluster_wait_ready(c, 0);
	stub_set_fault(c->stub, "plain-1", STUB_FAULT_ERROR);
	stub_set_fault(c->stub, "plain-2", STUB_FAULT_ERROR);
	clock_sleep_ms(HEARD_MS);
	ck_assert_uint_eq(count_served("GET", "/safe/x", NULL), 0);
	stub_get_stats(c->stub, "plain-1", &stats[0]);
	stub_get_stats(c->stub, "plain-2", &stats[1]);
	/* a fifth of the requests and the slack */
	ck_assert_uint_le(stats[0].arrivals + stats[1].arrivals, REQUESTS + REQUESTS / 5 + 1);
	cluster_free(c);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {connections_that_fail_cost_no_budget, failures_cost_budget};

	return run_tests("proc_retries", tests, G_N_ELEMENTS(tests));
}
