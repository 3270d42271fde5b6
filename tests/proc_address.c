/*
 * An upstream gets another address under its id while a request that was sent to the former one has
 * yet to be tried again: the node must not use what it has freed with the former address.
 */
#include "cluster.h"
#include "run_tests.h"

#include "base/clock.h"

#include <sys/wait.h>

#define SENT_MS 200  /* until the request is at an upstream */
#define HEARD_MS 800 /* until the node knows of the new addresses */

static struct cluster *c;

static gpointer send_safe(gpointer arg)
{
	struct cluster_answer answer;

	(void)arg;
	cluster_send(c, 0, "GET", "/safe/x", NULL, &answer);
	cluster_answer_clear(&answer);
	return NULL;
}

static void move(const char *id)
{
	char *key = g_strdup_printf("servers/%s", id);
	char *value =
		g_strdup_printf("{\"service\":\"plain\",\"address\":\"127.0.0.1:9\",\"zone\":"
				"\"a1\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
				"\"coldLeftMs\":0,\"sequence\":1000,\"born\":%" G_GINT64_FORMAT "}",
				g_get_real_time() / CLOCK_US_PER_MS);

	stub_put(c->stub, key, value);
	g_free(key);
	g_free(value);
}

/* Seen as a use after free in srv_upstream.c and srv_attempt.c. */
START_TEST(moves_during_a_request)
{
	GThread *caller;
	int state;

	c = cluster_new(1);
	stub_publish(c->stub, "plain-2", NULL);
	stub_set_fault(c->stub, "plain-1", STUB_FAULT_HANG);
	clock_sleep_ms(HEARD_MS);
	caller = g_thread_new("caller", send_safe, NULL);
	clock_sleep_ms(SENT_MS);
	move("plain-1");
	clock_sleep_ms(HEARD_MS);
	stub_restart_unpublished(c->stub, "plain-1", "v1");
	g_thread_join(caller);
	ck_assert_msg(waitpid(c->nodes[0].pid, &state, WNOHANG) == 0, "the node has ended");
	cluster_free(c);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {moves_during_a_request};

	return run_tests("proc_address", tests, G_N_ELEMENTS(tests));
}
