/*
 * Cost of a node: latency added to a direct call to the emulated upstream in the same run, requests
 * per second and core, CPU time of streams, and resident memory when idle and per open stream.
 * Prints one JSON line per figure.
 */
#include "base/clock.h"
#include "fleet.h"

#include <check.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALLS 400
#define LOAD_THREADS 8
#define LOAD_CALLS 500
#define STREAMS 200
#define STREAM_STACK_BYTES (256 * 1024)

struct cost {
	double cpu_s;
	long rss_kb;
};

static struct cost read_cost(pid_t pid)
{
	struct cost cost = {0};
	char path[64];
	char *text;
	unsigned long user = 0;
	unsigned long sys = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/stat", pid);
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		const char *fields = strrchr(text, ')');
		sscanf(fields, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
		       &sys);
		g_free(text);
	}
	cost.cpu_s = (double)(user + sys) / (double)sysconf(_SC_CLK_TCK);
	g_snprintf(path, sizeof(path), "/proc/%d/status", pid);
	if (g_file_get_contents(path, &text, NULL, NULL)) {
		const char *line = strstr(text, "VmRSS:");
		if (line)
			cost.rss_kb = strtol(line + strlen("VmRSS:"), NULL, 10);
		g_free(text);
	}
	return cost;
}

static int compare_us(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void call_once(struct fetch_client *http, const char *address, const char *path)
{
	const struct fetch_request call = {
		.method = "POST",
		.address = address,
		.path = path,
		.headers = {{"Authorization", "Bearer driver-key"},
			    {"Currantscale-Request", "direct"}},
		.n_headers = 2,
		.body = "x",
		.body_len = 1,
		.timeout_ms = 20000,
		.idempotent = true,
	};
	struct fetch_response answer;

	fetch_perform(http, &call, &answer, NULL);
	ck_assert_int_eq(answer.status, 200);
	fetch_response_clear(&answer);
}

static void time_calls(struct fleet *f, const char *address, const char *path, int64_t *us)
{
	for (int i = 0; i < CALLS; i++) {
		int64_t began_us = clock_now_us();
		call_once(f->http, address, path);
		us[i] = clock_now_us() - began_us;
	}
	qsort(us, CALLS, sizeof(*us), compare_us);
}

static char *upstream_address(struct fleet *f, const char *name)
{
	char *text = fleet_get_config(f);
	char *mark = g_strdup_printf("name: %s,", name);
	char *at = strstr(strstr(text, mark), "address: \"") + strlen("address: \"");
	char *address = g_strndup(at, (gsize)(strchr(at, '"') - at));

	g_free(mark);
	g_free(text);
	return address;
}

static void measure_added(struct fleet *f)
{
	char *address = upstream_address(f, "weighbridge-1");
	int64_t direct[CALLS];
	int64_t through[CALLS];

	time_calls(f, f->nodes[0].caller, "/v1/services/weighbridge/lookup", through);
	time_calls(f, address, "/v1/run/lookup", direct);
	time_calls(f, f->nodes[0].caller, "/v1/services/weighbridge/lookup", through);
	printf("{\"figure\":\"added\",\"direct_p50_us\":%d,\"node_p50_us\":%d,"
	       "\"direct_p99_us\":%d,\"node_p99_us\":%d,\"added_p50_us\":%d}\n",
	       (int)direct[CALLS / 2], (int)through[CALLS / 2], (int)direct[CALLS * 99 / 100],
	       (int)through[CALLS * 99 / 100], (int)(through[CALLS / 2] - direct[CALLS / 2]));
	g_free(address);
}

static void *run_calls(void *arg)
{
	struct fleet *f = arg;
	struct fetch_client *http = fetch_client_new(NULL);

	for (int i = 0; i < LOAD_CALLS; i++)
		call_once(http, f->nodes[0].caller, "/v1/services/weighbridge/lookup");
	fetch_client_free(http);
	return NULL;
}

static void measure_rate(struct fleet *f)
{
	pthread_t threads[LOAD_THREADS];
	struct cost before = read_cost(f->nodes[0].pid);

	for (int i = 0; i < LOAD_THREADS; i++)
		pthread_create(&threads[i], NULL, run_calls, f);
	for (int i = 0; i < LOAD_THREADS; i++)
		pthread_join(threads[i], NULL);
	struct cost after = read_cost(f->nodes[0].pid);
	printf("{\"figure\":\"rate\",\"requests\":%d,\"cpu_s\":%.2f,\"requests_per_core_s\":%.0f}"
	       "\n",
	       LOAD_THREADS * LOAD_CALLS, after.cpu_s - before.cpu_s,
	       LOAD_THREADS * LOAD_CALLS / (after.cpu_s - before.cpu_s));
}

static void *run_stream(void *arg)
{
	struct fleet *f = arg;
	struct fetch_client *http = fetch_client_new(NULL);

	call_once(http, f->nodes[0].caller, "/v1/pipelines/advise");
	fetch_client_free(http);
	return NULL;
}

/* The emulated engines generate tokens slowly, so that all streams are open at once. */
static void measure_streams(struct fleet *f)
{
	pthread_t threads[STREAMS];
	pthread_attr_t attr;
	struct cost rest = read_cost(f->nodes[0].pid);
	int64_t began_ms = clock_now_ms();

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, STREAM_STACK_BYTES);
	for (int i = 0; i < STREAMS; i++)
		pthread_create(&threads[i], &attr, run_stream, f);
	clock_sleep_ms(1500);
	struct cost open = read_cost(f->nodes[0].pid);
	for (int i = 0; i < STREAMS; i++)
		pthread_join(threads[i], NULL);
	struct cost after = read_cost(f->nodes[0].pid);
	printf("{\"figure\":\"streams\",\"streams\":%d,\"rest_kb\":%ld,\"open_kb\":%ld,"
	       "\"per_stream_kb\":%.1f,\"cpu_s\":%.2f,\"wall_ms\":%d}\n",
	       STREAMS, rest.rss_kb, open.rss_kb, (double)(open.rss_kb - rest.rss_kb) / STREAMS,
	       after.cpu_s - rest.cpu_s, (int)(clock_now_ms() - began_ms));
	pthread_attr_destroy(&attr);
}

START_TEST(measures)
{
	struct fleet *f = fleet_new("association.yaml", 1);

	measure_added(f);
	measure_rate(f);
	measure_streams(f);
	fleet_free(f);
}
END_TEST

/* The fixture's assertions work only in a test run by the check library. */
int main(void)
{
	Suite *suite = suite_create("bench_node");
	TCase *tcase = tcase_create("bench_node");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_add_test(tcase, measures);
	srunner_set_fork_status(runner, CK_NOFORK);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
