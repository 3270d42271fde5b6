/*
 * Choice of upstreams by many nodes that each see few of the requests, without network. A node
 * knows only its own requests in progress, so what all nodes prefer alike gets the load of all.
 */
#include "run_tests.h"

#include "base/prng.h"
#include "decide/lb.h"

#include <glib.h>
#include <string.h>

#define DATA_CENTRES 6
#define ENGINES_MAX 320
#define NODES_MAX 410
#define SECONDS 30
#define STEP_MS 10
#define REQUEST_MS 500 /* a request is in progress for this long */
#define MS_PER_S 1000
#define PREFIXES 32

/* Requests of many small sessions: leaving a session's engine costs less than distance does. */
static const struct load_case {
	const char *name;
	int nodes;
	int engines;
	double per_s; /* for each engine */
	uint64_t sessions;
	double session_ms;
	double prefix_ms;
	bool has_inputs; /* in the node's data centre */
	double busiest;	 /* most requests of an engine, as a multiple of the mean */
} cases[] = {
	{"300 nodes, small sessions, results nearby", 300, 320, 1.0, 1561, 5.9, 8.9, true, 2.5},
	{"300 nodes, small sessions", 300, 320, 1.0, 1561, 5.9, 8.9, false, 2.5},
	{"300 nodes, sessions of a few tokens", 300, 320, 1.0, 1010, 1.8, 2.7, true, 2.5},
	{"300 nodes, long sessions", 300, 320, 1.0, 4568, 98, 65, true, 2.5},
	{"410 nodes, small sessions, results nearby", 410, 320, 1.0, 1561, 5.9, 8.9, true, 2.5},
	{"70 nodes, small sessions, results nearby", 70, 90, 1.0, 800, 5.9, 8.9, true, 2.5},
	{"7 nodes, small sessions, results nearby", 7, 12, 1.0, 400, 5.9, 8.9, true, 2.5},
};

static struct {
	char ids[ENGINES_MAX][16];
	uint32_t in_flight[NODES_MAX][ENGINES_MAX];
	uint32_t received[ENGINES_MAX];
	GQueue ends; /* of requests in progress, in order of time */
	struct prng prng;
} w;

struct request_end {
	int64_t at_ms;
	int node;
	int engine;
};

static void end_requests(int64_t now_ms)
{
	struct request_end *end;

	while ((end = g_queue_peek_head(&w.ends)) && end->at_ms <= now_ms) {
		w.in_flight[end->node][end->engine]--;
		g_free(g_queue_pop_head(&w.ends));
	}
}

/* Regions have two data centres each. */
static enum lb_distance distance(int node, int engine)
{
	int from = node % DATA_CENTRES;
	int to = engine % DATA_CENTRES;

	if (from == to)
		return LB_SAME_DATA_CENTRE;
	return from / 2 == to / 2 ? LB_SAME_REGION : LB_OTHER_REGION;
}

static void send_request(const struct load_case *c, int64_t now_ms)
{
	struct lb_candidate engines[ENGINES_MAX];
	int node = (int)prng_below(&w.prng, (uint64_t)c->nodes);
	const struct lb_request request = {
		.has_inputs = c->has_inputs,
		.is_generation = true,
		.prefix = 1 + prng_below(&w.prng, PREFIXES),
		.prefix_ms = c->prefix_ms,
		.session = (1 + prng_below(&w.prng, c->sessions)) * 7919,
		.session_ms = c->session_ms,
	};
	struct request_end *end = g_new0(struct request_end, 1);

	for (int i = 0; i < c->engines; i++)
		engines[i] = (struct lb_candidate){
			.id = w.ids[i],
			.distance = distance(node, i),
			.near_inputs = distance(node, i) == LB_SAME_DATA_CENTRE,
			.in_flight = w.in_flight[node][i],
		};
	*end = (struct request_end){now_ms + REQUEST_MS, node,
				    lb_pick(&request, engines, (uint32_t)c->engines)};
	ck_assert_int_ge(end->engine, 0);
	w.in_flight[node][end->engine]++;
	w.received[end->engine]++;
	g_queue_push_tail(&w.ends, end);
}

static double busiest(const struct load_case *c)
{
	double per_step = c->per_s * c->engines * STEP_MS / MS_PER_S;
	double due = 0;
	uint32_t most = 0;
	uint32_t sum = 0;

	for (int64_t now_ms = 0; now_ms < (int64_t)SECONDS * MS_PER_S; now_ms += STEP_MS) {
		end_requests(now_ms);
		for (due += per_step; due >= 1; due--)
			send_request(c, now_ms);
	}
	end_requests(INT64_MAX);
	for (int i = 0; i < c->engines; i++) {
		most = MAX(most, w.received[i]);
		sum += w.received[i];
	}
	return (double)most * c->engines / sum;
}

START_TEST(no_upstream_is_everyones_choice)
{
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		double x;
		memset(&w, 0, sizeof(w));
		w.prng.state = 23;
		for (int k = 0; k < ENGINES_MAX; k++)
			g_snprintf(w.ids[k], sizeof(w.ids[k]), "i-%08x", k * 2654435761U);
		x = busiest(&cases[i]);
		ck_assert_msg(x <= cases[i].busiest, "%s: the busiest gets %.1f times the mean",
			      cases[i].name, x);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {no_upstream_is_everyones_choice};

	return run_tests("unit_lb_scale", tests, G_N_ELEMENTS(tests));
}
