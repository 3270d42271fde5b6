/* Histories of failures and connections at upstreams, and whether the node counts as isolated. */
#include "run_tests.h"

#include "decide/reach.h"

#include <glib.h>

#define T0 100000
#define STEP_MS 10
#define UPDATE_MS 100 /* interval at which the node calls reach_update() */
#define CONNECT_MS 20
#define REFUSE_MS 1
#define RESET_MS 5 /* after the connection was established */
#define CONNECT_TIMEOUT_MS 700
#define UPSTREAMS_MAX 6100
#define PENDING_MAX 256
#define CHANGES_MAX 12
#define EXPECTATIONS_MAX 8
#define SEEDS 20
#define SEEDS_OF_LARGE 3 /* with more than LARGE upstreams */
#define LARGE 1000
#define PROBES_MAX 4096
#define SERVICES 3
#define DATA_CENTRES 4

enum mode { OK, REFUSED, HANGING, RESET };

enum scope { ALL, FIRST, SERVICE_0, DATA_CENTRE_0, ALL_BUT_FIRST, PAUSED };

/* Upstreams of the scope behave so from then on; later changes prevail. */
struct change {
	int64_t at_ms;
	enum scope scope;
	enum mode mode;
	int64_t pause_ms; /* of the process, for PAUSED */
};

#define R (1U << REACH_REACHING)
#define S (1U << REACH_SUSPECT)
#define I (1U << REACH_ISOLATED)

/* Every state seen from from_ms until to_ms is among the states. */
struct expectation {
	int64_t from_ms;
	int64_t to_ms;
	uint32_t states;
};

struct history {
	const char *name;
	uint32_t n_upstreams;
	int64_t connect_every_ms; /* new connections for requests; 0: only kept ones are used */
	double lost;		  /* share of connection attempts that hang by chance */
	int64_t end_ms;
	uint32_t probes_max; /* over the whole history, per seed */
	struct change changes[CHANGES_MAX];
	struct expectation expected[EXPECTATIONS_MAX];
};

struct pending {
	int64_t due_ms;
	uint32_t upstream;
	bool is_probe;
	bool connects;
	bool is_reset; /* once connected */
};

struct world {
	const struct history *history;
	uint64_t seed;
	struct reach *reach;
	struct prng prng;
	struct pending pending[PENDING_MAX];
	uint32_t n_pending;
	int64_t probes[PROBES_MAX];
	uint32_t n_probes;
};

static char ids[UPSTREAMS_MAX][16];
static struct reach_candidate candidates[UPSTREAMS_MAX];

static void fill_candidates(void)
{
	static const char *const services[SERVICES] = {"chat", "parts", "images"};
	static const char *const data_centres[DATA_CENTRES] = {"a", "b", "c", "d"};

	for (uint32_t i = 0; i < UPSTREAMS_MAX; i++) {
		g_snprintf(ids[i], sizeof(ids[i]), "up-%u", i);
		candidates[i] =
			(struct reach_candidate){ids[i], services[i % SERVICES],
						 data_centres[(i / SERVICES) % DATA_CENTRES]};
	}
}

static bool is_in_scope(enum scope scope, uint32_t upstream)
{
	switch (scope) {
	case ALL:
		return true;
	case FIRST:
		return upstream == 0;
	case ALL_BUT_FIRST:
		return upstream != 0;
	case SERVICE_0:
		return upstream % SERVICES == 0;
	case DATA_CENTRE_0:
		return (upstream / SERVICES) % DATA_CENTRES == 0;
	case PAUSED:
		break;
	}
	return false;
}

static enum mode mode_of(const struct history *h, uint32_t upstream, int64_t at_ms)
{
	enum mode mode = OK;

	for (uint32_t i = 0; i < CHANGES_MAX; i++) {
		const struct change *change = &h->changes[i];
		if (change->at_ms > 0 && change->at_ms <= at_ms &&
		    is_in_scope(change->scope, upstream))
			mode = change->mode;
	}
	return mode;
}

static int64_t pause_at(const struct history *h, int64_t at_ms)
{
	for (uint32_t i = 0; i < CHANGES_MAX; i++) {
		if (h->changes[i].scope == PAUSED && h->changes[i].at_ms == at_ms)
			return h->changes[i].pause_ms;
	}
	return 0;
}

static void open_connection(struct world *w, uint32_t upstream, bool is_probe, int64_t at_ms)
{
	enum mode mode = mode_of(w->history, upstream, at_ms);
	struct pending p = {.upstream = upstream, .is_probe = is_probe};

	if (prng_unit(&w->prng) < w->history->lost)
		mode = HANGING;
	p.connects = mode == OK || mode == RESET;
	p.is_reset = mode == RESET;
	p.due_ms = at_ms + (mode == REFUSED   ? REFUSE_MS
			    : mode != HANGING ? CONNECT_MS
			    : is_probe	      ? REACH_PROBE_TIMEOUT_MS
					      : CONNECT_TIMEOUT_MS);
	ck_assert_uint_lt(w->n_pending, PENDING_MAX);
	w->pending[w->n_pending++] = p;
}

static void complete_connections(struct world *w, int64_t at_ms)
{
	for (uint32_t i = 0; i < w->n_pending;) {
		struct pending *p = &w->pending[i];
		if (p->due_ms > at_ms) {
			i++;
			continue;
		}
		if (!p->connects) {
			reach_note(w->reach, ids[p->upstream],
				   p->is_reset ? REACH_RESET : REACH_FAILED, T0 + at_ms);
			*p = w->pending[--w->n_pending];
			continue;
		}
		reach_note(w->reach, ids[p->upstream], REACH_CONNECTED, T0 + at_ms);
		p->connects = false;
		p->due_ms = at_ms + RESET_MS;
		if (!p->is_reset)
			*p = w->pending[--w->n_pending];
	}
}

static void send_probes(struct world *w, int64_t at_ms)
{
	uint32_t picked[REACH_PROBES_PER_S];
	uint32_t n;

	n = reach_pick_probes(w->reach, candidates, w->history->n_upstreams, &w->prng, picked,
			      T0 + at_ms);
	for (uint32_t i = 0; i < n; i++) {
		ck_assert_uint_lt(picked[i], w->history->n_upstreams);
		ck_assert_uint_lt(w->n_probes, PROBES_MAX);
		w->probes[w->n_probes++] = at_ms;
		open_connection(w, picked[i], true, at_ms);
	}
}

static void check_state(const struct world *w, int64_t at_ms)
{
	uint32_t state = 1U << reach_get_state(w->reach);

	for (uint32_t i = 0; i < EXPECTATIONS_MAX; i++) {
		const struct expectation *e = &w->history->expected[i];
		if (at_ms >= e->from_ms && at_ms < e->to_ms && !(e->states & state))
			ck_abort_msg("%s, seed %d: state %d at %d ms", w->history->name,
				     (int)w->seed, (int)reach_get_state(w->reach), (int)at_ms);
	}
}

static void check_probes(const struct world *w)
{
	for (uint32_t i = REACH_PROBES_PER_S; i < w->n_probes; i++)
		ck_assert_msg(w->probes[i] - w->probes[i - REACH_PROBES_PER_S] >= 1000,
			      "%s: too many probes in the second before %d ms", w->history->name,
			      (int)w->probes[i]);
	ck_assert_msg(w->n_probes <= w->history->probes_max, "%s, seed %d: %u probes",
		      w->history->name, (int)w->seed, w->n_probes);
}

static void run_history(const struct history *h, uint64_t seed)
{
	struct world w = {.history = h, .seed = seed, .prng = {seed}, .reach = reach_new(T0)};
	int64_t paused_until_ms = 0;

	for (int64_t at_ms = STEP_MS; at_ms < h->end_ms; at_ms += STEP_MS) {
		if (pause_at(h, at_ms) > 0)
			paused_until_ms = at_ms + pause_at(h, at_ms);
		if (at_ms < paused_until_ms)
			continue;
		if (h->connect_every_ms > 0 && at_ms % h->connect_every_ms == 0)
			open_connection(&w, (uint32_t)prng_below(&w.prng, h->n_upstreams), false,
					at_ms);
		complete_connections(&w, at_ms);
		if (at_ms % UPDATE_MS == 0) {
			reach_update(w.reach, h->n_upstreams, T0 + at_ms);
			send_probes(&w, at_ms);
		}
		check_state(&w, at_ms);
	}
	check_probes(&w);
	reach_free(w.reach);
}

/* clang-format off */
static const struct history histories[] = {
	{"a busy node whose connections succeed never probes", 12, 250, 0, 20000, 0,
	 {{0}}, {{0, 20000, R}}},
	{"one upstream down", 12, 250, 0, 30000, 12,
	 {{1000, FIRST, REFUSED}}, {{0, 30000, R | S}}},
	{"one upstream hangs", 12, 250, 0, 30000, 12,
	 {{1000, FIRST, HANGING}}, {{0, 30000, R | S}}},
	{"a service down", 12, 250, 0, 30000, 24,
	 {{1000, SERVICE_0, REFUSED}}, {{0, 30000, R | S}}},
	{"a service of thousands hangs", 6100, 250, 0, 30000, 80,
	 {{1000, SERVICE_0, HANGING}}, {{0, 30000, R | S}}},
	{"a data centre down", 12, 250, 0, 30000, 24,
	 {{1000, DATA_CENTRE_0, REFUSED}}, {{0, 30000, R | S}}},
	{"a data centre of thousands hangs", 6100, 250, 0, 30000, 70,
	 {{1000, DATA_CENTRE_0, HANGING}}, {{0, 30000, R | S}}},
	{"one upstream of twelve is left", 12, 250, 0, 30000, 70,
	 {{1000, ALL_BUT_FIRST, REFUSED}}, {{0, 30000, R | S}}},
	{"all refuse, then heal", 12, 250, 0, 20000, 70,
	 {{5000, ALL, REFUSED}, {13000, ALL, OK}},
	 {{0, 5000, R}, {6000, 13000, I}, {14000, 20000, R | S}, {15000, 20000, R}}},
	{"all hang, then heal", 12, 250, 0, 20000, 80,
	 {{5000, ALL, HANGING}, {13000, ALL, OK}},
	 {{0, 5000, R}, {7200, 13000, I}, {14000, 20000, R | S}, {16000, 20000, R}}},
	{"all reset what they accepted, then heal", 12, 250, 0, 20000, 80,
	 {{5000, ALL, RESET}, {13000, ALL, OK}},
	 {{0, 5000, R}, {6500, 13000, I}, {14000, 20000, R | S}, {15000, 20000, R}}},
	{"thousands hang, then heal", 6100, 250, 0, 20000, 80,
	 {{5000, ALL, HANGING}, {13000, ALL, OK}},
	 {{0, 5000, R}, {7200, 13000, I}, {14000, 20000, R | S}, {16000, 20000, R}}},
	{"kept connections live on, nothing else is tried", 12, 0, 0, 30000, 110,
	 {{10000, ALL, HANGING}, {20000, ALL, OK}},
	 {{0, 10000, R}, {15500, 20000, I}, {21000, 30000, R}}},
	{"an idle node probes seldom", 12, 0, 0, 60000, 16, {{0}}, {{0, 60000, R}}},
	{"all restart at once", 12, 250, 0, 20000, 40,
	 {{5000, ALL, REFUSED}, {8000, ALL, OK}},
	 {{0, 5000, R}, {6000, 8000, I}, {9000, 20000, R | S}, {11000, 20000, R}}},
	{"a short cut", 12, 250, 0, 20000, 9,
	 {{5000, ALL, HANGING}, {5500, ALL, OK}}, {{0, 20000, R | S}, {8000, 20000, R}}},
	{"flapping: the third isolation lasts longer", 12, 100, 0, 40000, 200,
	 {{5000, ALL, REFUSED}, {7000, ALL, OK}, {9000, ALL, REFUSED}, {11000, ALL, OK},
	  {14000, ALL, REFUSED}, {16000, ALL, OK}, {30000, ALL, REFUSED}, {32000, ALL, OK}},
	 {{6000, 7000, I}, {8000, 9000, R | S}, {10000, 11800, I}, {15000, 17000, I},
	  {20000, 30000, R | S}, {31000, 32000, I}, {33000, 40000, R | S}}},
	{"an isolated node of which one upstream is reached stays so", 12, 250, 0, 20000, 120,
	 {{5000, ALL, REFUSED}, {8000, FIRST, OK}}, {{6000, 20000, I}}},
	{"two upstreams, one down", 2, 250, 0, 30000, 9,
	 {{1000, FIRST, REFUSED}}, {{0, 30000, R | S}}},
	{"two upstreams, both cut", 2, 250, 0, 20000, 80,
	 {{5000, ALL, HANGING}, {13000, ALL, OK}},
	 {{0, 5000, R}, {7200, 13000, I}, {14000, 20000, R | S}}},
	{"a single upstream never isolates", 1, 250, 0, 20000, 0,
	 {{5000, ALL, REFUSED}}, {{0, 20000, R}}},
	{"a pause drops what was noted", 12, 250, 0, 20000, 20,
	 {{5000, ALL, HANGING}, {5950, PAUSED, OK, 4000}, {6000, ALL, OK}},
	 {{0, 20000, R | S}, {12500, 20000, R}}},
	{"a pause doesn't end an isolation", 12, 250, 0, 20000, 100,
	 {{3000, ALL, REFUSED}, {6000, PAUSED, OK, 4000}, {15000, ALL, OK}},
	 {{4000, 15000, I}, {16000, 20000, R | S}}},
	{"half of all connection attempts are lost", 12, 250, 0.51, 30000, 120,
	 {{0}}, {{0, 30000, R | S}}},
	{"half are lost, at thousands", 6100, 250, 0.51, 30000, 120,
	 {{0}}, {{0, 30000, R | S}}},
	{"half are lost while all hang, then heal", 12, 250, 0.51, 25000, 140,
	 {{5000, ALL, HANGING}, {13000, ALL, OK}},
	 {{9000, 13000, I}, {17000, 25000, R | S}}},
};
/* clang-format on */

START_TEST(histories_end_as_expected)
{
	fill_candidates();
	for (size_t i = 0; i < G_N_ELEMENTS(histories); i++) {
		uint64_t seeds = histories[i].n_upstreams > LARGE ? SEEDS_OF_LARGE : SEEDS;
		for (uint64_t seed = 1; seed <= seeds; seed++)
			run_history(&histories[i], seed);
	}
}
END_TEST

/* The first probes of a suspicion go to different services and data centres. */
START_TEST(probes_are_spread)
{
	uint32_t picked[REACH_PROBES_PER_S];

	fill_candidates();
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		struct prng prng = {seed};
		struct reach *r = reach_new(T0);
		uint32_t n;

		reach_note(r, ids[0], REACH_FAILED, T0 + 10);
		ck_assert_int_eq(reach_update(r, UPSTREAMS_MAX, T0 + 20), REACH_SUSPECT);
		n = reach_pick_probes(r, candidates, UPSTREAMS_MAX, &prng, picked, T0 + 20);
		ck_assert_uint_ge(n, 2);
		for (uint32_t i = 1; i < n; i++) {
			const struct reach_candidate *a = &candidates[picked[i - 1]];
			const struct reach_candidate *b = &candidates[picked[i]];
			ck_assert_str_ne(a->service, b->service);
			ck_assert_str_ne(a->data_centre, b->data_centre);
			ck_assert_uint_ne(picked[i], 0);
		}
		reach_free(r);
	}
}
END_TEST

/* What the log of a change names: the upstreams that failed, without those reached since. */
START_TEST(names_what_failed)
{
	struct reach_failure failures[4];
	struct reach *r = reach_new(T0);

	reach_note(r, "a", REACH_FAILED, T0 + 10);
	reach_note(r, "b", REACH_FAILED, T0 + 10);
	reach_update(r, 4, T0 + 20);
	reach_note(r, "a", REACH_CONNECTED, T0 + 30);
	reach_update(r, 4, T0 + 30 + REACH_SETTLE_MS);
	ck_assert_uint_eq(reach_list_failures(r, failures, 4), 1);
	ck_assert_str_eq(failures[0].id, "b");
	ck_assert_int_eq(failures[0].failed_ms, T0 + 10);
	reach_free(r);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		histories_end_as_expected,
		probes_are_spread,
		names_what_failed,
	};

	return run_tests("unit_reach", tests, G_N_ELEMENTS(tests));
}
