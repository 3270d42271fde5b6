/*
 * Measures the time and memory of the decision core at three sizes of the configuration. Each
 * request passes all stages, so that its cost is spread over several events.
 *
 * Usage: bench_decide [requests]
 */
#include "policy_doc.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <malloc.h>
#include <time.h>

#define REQUESTS 20000
#define REQUESTS_PER_TICK 50
#define OPEN_MAX 200 /* limit of the attempts in flight */
#define STAGES 4

static const struct {
	uint32_t engines;
	uint32_t accounts;
	uint32_t pipelines;
	uint32_t data_centres;
} sizes[] = {{61, 27, 3, 3}, {610, 270, 31, 8}, {6100, 2700, 31, 8}};

struct sample {
	double *us;
	size_t n;
	size_t max;
};

static int64_t now_ns(void)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	return (int64_t)at.tv_sec * 1000000000 + at.tv_nsec;
}

static void timed(struct core_state *d, int64_t now_ms, const struct core_event *ev,
		  struct core_out *out, struct sample *sample)
{
	int64_t start_ns = now_ns();

	core_handle(d, now_ms, ev, out);
	if (sample->n < sample->max)
		sample->us[sample->n++] = (double)(now_ns() - start_ns) / 1000;
}

static struct core_event result_of(const struct core_cmd *cmd)
{
	struct core_event ev = {.type = CORE_EV_RESULT};

	ev.u.attempt = (struct core_ev_attempt){
		.req = cmd->req,
		.stage = cmd->stage,
		.attempt = cmd->attempt,
		.sent = true,
		.latency_us = 20000 + (int64_t)(cmd->req % 7) * 1000,
		.bytes = 1000,
	};
	return ev;
}

static void take_sends(GArray *open, const struct core_out *out)
{
	for (guint i = 0; i < out->cmds->len; i++) {
		const struct core_cmd *cmd = &g_array_index(out->cmds, struct core_cmd, i);
		if (cmd->type == CORE_CMD_SEND)
			g_array_append_vals(open, cmd, 1);
	}
}

static void drive(struct core_state *d, uint32_t size, size_t requests, uint32_t open_max,
		  struct sample *events, struct sample *ticks)
{
	GArray *open = g_array_new(FALSE, FALSE, sizeof(struct core_cmd));
	const struct core_event tick = {.type = CORE_EV_TICK};
	struct prng prng = {.state = 1};
	struct core_out out;
	int64_t now_ms = 1000;

	core_out_init(&out);
	for (uint64_t id = 1; id <= requests; id++) {
		struct core_event ev = {.type = CORE_EV_REQUEST};
		ev.u.request = (struct core_ev_request){
			.id = id,
			.pipeline = (int)prng_below(&prng, sizes[size].pipelines),
			.service = -1,
			.account = (int)prng_below(&prng, sizes[size].accounts),
			.body_bytes = 1000,
			.prefix_hash = prng_next(&prng),
		};
		timed(d, now_ms, &ev, &out, events);
		take_sends(open, &out);
		core_out_clear(&out);
		while (open->len > open_max) {
			guint nth = (guint)prng_below(&prng, open->len);
			ev = result_of(&g_array_index(open, struct core_cmd, nth));
			g_array_remove_index_fast(open, nth);
			timed(d, now_ms, &ev, &out, events);
			take_sends(open, &out);
			core_out_clear(&out);
		}
		if (id % REQUESTS_PER_TICK)
			continue;
		now_ms += 10;
		timed(d, now_ms, &tick, &out, ticks);
		take_sends(open, &out);
		core_out_clear(&out);
	}
	core_out_free(&out);
	g_array_unref(open);
}

static double sample_quantile(struct sample *sample, double f)
{
	gsl_sort(sample->us, 1, sample->n);
	return gsl_stats_quantile_from_sorted_data(sample->us, 1, sample->n, f);
}

static void measure(uint32_t size, size_t requests)
{
	const struct policy_doc doc = {
		.policy = "adaptive",
		.data_centres = sizes[size].data_centres,
		.services = STAGES,
		.upstreams = MAX(sizes[size].engines / 10, 3),
		.engines = sizes[size].engines,
		.warm_limit = 4,
		.pipelines = sizes[size].pipelines,
		.accounts = sizes[size].accounts,
		.deadline_ms = 4000,
		.cost_weight_pct = 100,
		.out = -1,
	};
	struct sample events = {g_new(double, requests * 8), 0, requests * 8};
	struct sample ticks = {g_new(double, requests), 0, requests};
	size_t before = mallinfo2().uordblks;
	struct core_state *d = policy_doc_start(&doc, 1, 0);

	drive(d, size, requests, MIN(doc.upstreams * 2, OPEN_MAX), &events, &ticks);
	size_t after = mallinfo2().uordblks;
	printf("| %u | %u | %u | %.2f | %.2f | %.2f | %.2f | %.2f |\n", sizes[size].engines,
	       sizes[size].accounts, sizes[size].pipelines, sample_quantile(&events, 0.5),
	       sample_quantile(&events, 0.99), sample_quantile(&ticks, 0.5),
	       sample_quantile(&ticks, 0.99), (double)(after - before) / 1e6);
	fflush(stdout);
	core_free(d);
	g_free(events.us);
	g_free(ticks.us);
}

int main(int argc, char **argv)
{
	size_t requests = argc > 1 ? (size_t)atoi(argv[1]) : REQUESTS;

	printf("| engines | accounts | pipelines | decision p50 us | p99 us | tick p50 us | "
	       "tick p99 us | MB |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
	for (uint32_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(i, requests);
	return 0;
}
