/*
 * Soak test of adapted nodes under load. From a random seed, nodes are killed, paused and
 * restarted, engines fail, the source becomes unavailable and the configuration changes. Checked
 * against the answers to callers and the runs at engines. SOAK_SEED, SOAK_SECONDS and SOAK_NODES
 * configure it.
 */
#include "adapted.h"
#include "run_tests.h"

#include "base/clk.h"
#include "base/rnd.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SECONDS 12 /* duration of the faults; about 17 are injected */
#define NODES 4
#define CALLERS 6
#define FAULT_INTERVAL_MS 700 /* mean interval between faults */
#define RECOVERY_MS 6000      /* for recovery after the last fault */
#define EVENTS 6

struct outcome {
	char attempt[32];
	char kind; /* 'o' at most once, 'r' resumable stream, 'c' chain, 's' safe to repeat */
	int status;
	bool whole;
	char *body;
};

static struct adapted *a;
static GMutex lock; /* guards outcomes, paused and the nodes' states */
static GArray *outcomes;
static volatile gint running;

static int64_t env_number(const char *name, int64_t default_value)
{
	const char *text = g_getenv(name);

	return text ? strtoll(text, NULL, 10) : default_value;
}

static const struct {
	char kind;
	const char *method;
	const char *target;
	const char *extra;
} kinds[] = {
	{'o', "POST", "/once/x", "Content-Length: 0\r\n"},
	{'s', "GET", "/safe/x", NULL},
	{'r', "POST", "/resume/x", "Content-Length: 0\r\n"},
	{'c', "POST", "/chain/x",
	 "Content-Length: 0\r\nX-Currantscale-Pieces: 1,3\r\nX-Currantscale-Piece-Key: k\r\n"},
};

static gpointer run_caller(gpointer arg)
{
	struct rnd rnd = {.state = (uint64_t)GPOINTER_TO_UINT(arg) + 1};

	while (g_atomic_int_get(&running)) {
		size_t k = rnd_below(&rnd, G_N_ELEMENTS(kinds));
		uint32_t node = (uint32_t)rnd_below(&rnd, a->n_nodes);
		struct outcome o = {.kind = kinds[k].kind};
		struct adapted_answer answer;
		adapted_try(a, node, kinds[k].method, kinds[k].target, kinds[k].extra, o.attempt,
			    sizeof(o.attempt), &answer);
		o.status = answer.status;
		o.whole = answer.whole;
		o.body = g_strdup(answer.body);
		adapted_clear(&answer);
		g_mutex_lock(&lock);
		g_array_append_val(outcomes, o);
		g_mutex_unlock(&lock);
		clk_sleep_ms(5 + (int64_t)rnd_below(&rnd, 30));
	}
	return NULL;
}

static void fault_engine(struct rnd *rnd, enum pse_fault new_fault)
{
	static const char *const ids[] = {"plain-1", "plain-2", "model-1", "model-2"};

	pse_set_fault(a->pse, ids[rnd_below(rnd, G_N_ELEMENTS(ids))], new_fault);
}

/* Kills or pauses a running node, resumes a paused one, or starts a stopped one. */
static void fault_node(struct rnd *rnd, bool *paused)
{
	uint32_t i = (uint32_t)rnd_below(rnd, a->n_nodes);

	if (a->nodes[i].pid == 0) {
		adapted_start_node(a, i);
	} else if (paused[i]) {
		adapted_signal(a, i, SIGCONT);
		paused[i] = false;
	} else if (rnd_below(rnd, 3) == 0) {
		adapted_signal(a, i, SIGSTOP);
		paused[i] = true;
	} else {
		adapted_signal(a, i, SIGKILL);
	}
}

static void clear_faults(bool *paused)
{
	static const char *const ids[] = {"plain-1", "plain-2", "model-1", "model-2"};

	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		pse_set_fault(a->pse, ids[i], PSE_SOUND);
	pse_set_store_fault(a->pse, PSE_STORE_SOUND);
	for (uint32_t i = 0; i < a->n_nodes; i++) {
		if (a->nodes[i].pid == 0)
			adapted_start_node(a, i);
		else if (paused[i])
			adapted_signal(a, i, SIGCONT);
		paused[i] = false;
	}
}

static void inject_faults(struct rnd *rnd, int64_t seconds)
{
	static const enum pse_fault faults[] = {PSE_SHED,	    PSE_LOSE,  PSE_MUTE,
						PSE_FAIL,	    PSE_CUT,   PSE_UNFRAMED,
						PSE_UNFRAMED_RESET, PSE_OTHER, PSE_WRONG};
	static const enum pse_store_fault store_faults[] = {PSE_STORE_BUSY, PSE_STORE_SILENT,
							    PSE_STORE_FORGOT};
	bool paused[ADAPTED_NODES_MAX] = {false};
	int64_t end_ms = clk_now_ms() + seconds * CLK_MS_PER_S;
	int version = 100;

	while (clk_now_ms() < end_ms) {
		switch (rnd_below(rnd, 8)) {
		case 0:
		case 1:
			fault_engine(rnd, faults[rnd_below(rnd, G_N_ELEMENTS(faults))]);
			break;
		case 2:
			fault_engine(rnd, PSE_SOUND);
			break;
		case 3:
		case 4:
			fault_node(rnd, paused);
			break;
		case 5:
			pse_set_store_fault(
				a->pse, store_faults[rnd_below(rnd, G_N_ELEMENTS(store_faults))]);
			break;
		case 6:
			pse_set_store_fault(a->pse, PSE_STORE_SOUND);
			break;
		default:
			version += 1 + (int)rnd_below(rnd, 3);
			adapted_configure(a, version, "\"timeoutMs\":1500", "\"timeoutMs\":1400");
		}
		clk_sleep_ms((int64_t)rnd_below(rnd, 2 * FAULT_INTERVAL_MS));
	}
	clear_faults(paused);
}

static bool means_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

/* True if events are in order without duplicates, and all are present in a complete stream. */
static bool has_valid_events(const struct outcome *o)
{
	int n = 0;

	for (const char *at = o->body; at && (at = strstr(at, "id: ")); at++) {
		if (atoi(at + 4) != n++)
			return false;
	}
	return !o->whole || n == EVENTS;
}

static const char *check_outcome(const struct outcome *o)
{
	uint32_t runs = pse_count_runs(a->pse, o->attempt);

	if (o->kind == 'o' && runs > 1)
		return "ran twice";
	if (o->kind == 'o' && means_not_run(o->status) && runs > 0)
		return "answered as not run, but ran";
	if (o->kind == 'c' && runs > 1)
		return "a stream that can't be resumed ran twice";
	if (o->status == 200 && (o->kind == 'r' || o->kind == 'c') && !has_valid_events(o))
		return "events are missing, duplicated or out of order";
	if (o->status == 200 && o->whole && (o->kind == 'o' || o->kind == 's') &&
	    !(strstr(o->body, o->attempt) &&
	      strlen(o->body) == strlen("body of ") + strlen(o->attempt)))
		return "incomplete answer or answer to another request";
	return NULL;
}

static uint32_t check_all_outcomes(void)
{
	uint32_t violations = 0;
	uint32_t served = 0;

	for (guint i = 0; i < outcomes->len; i++) {
		const struct outcome *o = &g_array_index(outcomes, struct outcome, i);
		const char *fault = check_outcome(o);
		served += o->status == 200 && o->whole;
		if (!fault)
			continue;
		violations++;
		printf("VIOLATED %s (%c, status %d): %s\n%s\n", o->attempt, o->kind, o->status,
		       fault, o->body ? o->body : "");
	}
	printf("soak: %u requests, %u complete, %u promises broken\n", outcomes->len, served,
	       violations);
	return violations;
}

/* Checks that every node serves each kind of request, and that pools got no invalid request. */
static void check_recovery(void)
{
	struct pse_seen first;
	struct pse_seen second;

	for (uint32_t i = 0; i < a->n_nodes; i++)
		adapted_wait_ready(a, i);
	clk_sleep_ms(RECOVERY_MS);
	for (uint32_t i = 0; i < a->n_nodes; i++) {
		for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++) {
			struct adapted_answer answer;
			adapted_send(a, i, kinds[k].method, kinds[k].target, kinds[k].extra,
				     &answer);
			ck_assert_msg(answer.status == 200 && answer.whole, "node %u, %s: %s", i,
				      kinds[k].target, answer.text->str);
			adapted_clear(&answer);
		}
	}
	for (int i = 1; i <= 2; i++) {
		pse_look(a->pse, i == 1 ? "plain-1" : "plain-2", i == 1 ? &first : &second);
	}
	ck_assert_uint_eq(first.bad + second.bad, 0);
}

START_TEST(holds_promises)
{
	struct rnd rnd = {.state = (uint64_t)env_number("SOAK_SEED", 1)};
	GThread *callers[CALLERS];

	a = adapted_new((uint32_t)env_number("SOAK_NODES", NODES));
	outcomes = g_array_new(FALSE, FALSE, sizeof(struct outcome));
	g_atomic_int_set(&running, 1);
	for (guint i = 0; i < CALLERS; i++)
		callers[i] = g_thread_new("caller", run_caller, GUINT_TO_POINTER(i));
	inject_faults(&rnd, env_number("SOAK_SECONDS", SECONDS));
	g_atomic_int_set(&running, 0);
	for (guint i = 0; i < CALLERS; i++)
		g_thread_join(callers[i]);
	check_recovery();
	ck_assert_msg(check_all_outcomes() == 0, "seed %" G_GINT64_FORMAT,
		      env_number("SOAK_SEED", 1));
	adapted_free(a);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("proc_soak");
	TCase *tcase = tcase_create("soak");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(tcase, (double)env_number("SOAK_SECONDS", SECONDS) + 120);
	tcase_add_test(tcase, holds_promises);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed > 0;
}
