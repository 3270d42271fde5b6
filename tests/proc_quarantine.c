/* Real nodes before engines that crash on a prompt part: what still reaches them, what is refused.
 */
#include "cluster.h"

#include "base/clock.h"
#include "run_tests.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 7
#define NODES_FEW 3
#define ENGINES 9 /* two of them are the cluster's own */
#define ENGINE_WORK_MS 20
#define ENGINE_GAP_MS 20
#define ENGINE_EVENTS 30
#define DOWN_MS 2000
/* From the crash that decides, the fifth one, until the whole fleet refuses the part. */
#define CRASHES 5
#define CONTACT_MS 4000
#define LATE_RUNS_MAX 3
#define SOUND_AGAIN_MS 8000 /* from the same crash until sound requests are served again */
#define REFUSAL_MS 100	    /* in which nine of ten refusals come */
#define SOUND_EVERY_MS 50
#define BAD_EVERY_MS 250
#define BEFORE_MS 2500	 /* of sound requests alone */
#define CRASHING_MS 3000 /* in which an engine crashes */
#define SOUND_MS 2500	 /* time in which they are then counted */
#define RESET_MS 150	 /* of the moment in which all engines reset their answers */
#define STEP_MS 5
/* Prompt parts. First and session parts are shared by sound and crashing requests. */
#define PART_BAD 0xbad0u
#define PART_NEW 0xeff0u
#define PART_FIRST 0xf100u
#define PART_MIDDLE 0xd000u
#define PART_SESSION 0x5e00u
#define PART_LAST 0x1a000000u
#define FIRSTS 3u
#define MIDDLES 4u
#define SESSIONS 5u

struct call {
	GThread *thread;
	const char *target;
	uint32_t node;
	uint32_t middle; /* the prompt's second part */
	uint32_t n;	 /* decides the prompt's first and session part */
	guint index;	 /* decides the prompt's last part */
	char attempt[CLUSTER_ADDRESS_BYTES];
	int64_t sent_ms;
	int64_t took_ms;
	int status;
	bool whole;
	bool begun; /* the first event came */
};

static struct cluster *c;
static GPtrArray *calls; /* struct call; all calls of the test, in order of sending */
static const char *target;
static uint32_t n_sound; /* sound requests sent */
static uint32_t n_part;	 /* others sent by play() */

static void start(uint32_t n_nodes, const char *path)
{
	c = cluster_new(n_nodes);
	for (uint32_t i = 3; i <= ENGINES; i++) {
		char id[16];
		const struct stub_engine_options options = {
			.id = id,
			.service = "model",
			.zone = i % 2 ? "a1" : "b1",
			.kind = STUB_STREAM,
			.work_ms = ENGINE_WORK_MS,
			.gap_ms = ENGINE_GAP_MS,
			.events = ENGINE_EVENTS,
		};
		g_snprintf(id, sizeof(id), "model-%u", i);
		stub_add_engine(c->stub, &options);
	}
	clock_sleep_ms(500); /* a watch, after which every node knows every engine */
	calls = g_ptr_array_new();
	target = path;
}

static gpointer run_call(gpointer arg)
{
	struct call *call = arg;
	struct cluster_answer answer;
	char extra[256];

	g_snprintf(extra, sizeof(extra),
		   "Content-Length: 0\r\nX-Currantscale-Token-Usage: 1500,80\r\n"
		   "X-Currantscale-Prompt-Prefix: %x:800,%x:410,%x:250,%x:40\r\n",
		   PART_FIRST + call->n % FIRSTS, call->middle, PART_SESSION + call->n % SESSIONS,
		   PART_LAST + call->index);
	cluster_try_send(c, call->node, "POST", call->target, extra, call->attempt,
			 sizeof(call->attempt), &answer);
	call->took_ms = clock_now_ms() - call->sent_ms;
	call->status = answer.status;
	call->whole = answer.whole;
	call->begun = answer.status == 200 && answer.body && strstr(answer.body, "id: 0\n");
	cluster_answer_clear(&answer);
	return NULL;
}

static struct call *send_call(uint32_t node, uint32_t middle, uint32_t n)
{
	struct call *call = g_new0(struct call, 1);

	call->target = target;
	call->node = node;
	call->middle = middle;
	call->n = n;
	call->index = calls->len;
	call->sent_ms = clock_now_ms();
	call->thread = g_thread_new("call", run_call, call);
	g_ptr_array_add(calls, call);
	return call;
}

static void join_calls(void)
{
	for (guint i = 0; i < calls->len; i++) {
		struct call *call = g_ptr_array_index(calls, i);
		if (call->thread)
			g_thread_join(call->thread);
		call->thread = NULL;
	}
}

static void finish(void)
{
	join_calls();
	for (guint i = 0; i < calls->len; i++)
		g_free(g_ptr_array_index(calls, i));
	g_ptr_array_unref(calls);
	cluster_free(c);
}

/* Sends sound requests and, unless it is 0, requests with the part to all nodes in turn. */
static void play(int64_t wait_ms, uint32_t part)
{
	int64_t now_ms = clock_now_ms();
	int64_t end_ms = now_ms + wait_ms;
	int64_t sound_at_ms = now_ms;
	int64_t part_at_ms = now_ms;

	for (; now_ms < end_ms; now_ms = clock_now_ms()) {
		if (now_ms >= sound_at_ms) {
			send_call(n_sound % c->n_nodes, PART_MIDDLE + n_sound % MIDDLES, n_sound);
			n_sound++;
			sound_at_ms += SOUND_EVERY_MS;
		}
		if (part && now_ms >= part_at_ms) {
			send_call(n_part % c->n_nodes, part, n_part);
			n_part++;
			part_at_ms += BAD_EVERY_MS;
		}
		clock_sleep_ms(STEP_MS);
	}
}

/* Sound requests that share a first or a session part with crashing ones. */
struct sharing {
	const char *name;
	uint32_t every; /* FIRSTS or SESSIONS */
	uint32_t k;
};

/* Returns how many of these requests that were sent in a time began, per second. */
static double begun_per_s(const struct sharing *sharing, int64_t from_ms, int64_t to_ms)
{
	uint32_t n = 0;

	for (guint i = 0; i < calls->len; i++) {
		const struct call *call = g_ptr_array_index(calls, i);
		n += call->middle >= PART_MIDDLE && call->middle < PART_MIDDLE + MIDDLES &&
		     call->n % sharing->every == sharing->k && call->begun &&
		     call->sent_ms >= from_ms && call->sent_ms < to_ms;
	}
	return (double)n * CLOCK_MS_PER_S / (double)(to_ms - from_ms);
}

struct period {
	int64_t from_ms;
	int64_t to_ms;
};

/* Sound requests with any of the shared parts begin at least half as often as before. */
static void expect_sound_begun(const struct period *before, const struct period *after)
{
	struct sharing sharing[FIRSTS + SESSIONS];
	uint32_t n = 0;

	for (uint32_t k = 0; k < FIRSTS; k++)
		sharing[n++] = (struct sharing){"first", FIRSTS, k};
	for (uint32_t k = 0; k < SESSIONS; k++)
		sharing[n++] = (struct sharing){"session", SESSIONS, k};
	for (uint32_t i = 0; i < n; i++) {
		double usual = begun_per_s(&sharing[i], before->from_ms, before->to_ms);
		double now = begun_per_s(&sharing[i], after->from_ms, after->to_ms);
		ck_assert_msg(now * 2 >= usual,
			      "sound requests with %s part %u: %.1f begun/s, %.1f/s before",
			      sharing[i].name, sharing[i].k, now, usual);
	}
}

/* Returns the time of the crash that decides; of the last one if there were fewer. */
static int64_t deciding_crash_ms(uint32_t *n_crashes)
{
	uint32_t n = 0;

	while (stub_crash_ms(c->stub, n) > 0)
		n++;
	ck_assert_uint_gt(n, 0);
	*n_crashes = n;
	return stub_crash_ms(c->stub, MIN(n, CRASHES) - 1);
}

static uint32_t count_runs_since(int64_t from_ms)
{
	uint32_t n = 0;
	int64_t at_ms;

	for (uint32_t k = 0; (at_ms = stub_part_run_ms(c->stub, PART_BAD, k)) > 0; k++)
		n += at_ms >= from_ms;
	return n;
}

/* What callers were told of the crashing requests that no engine ran, from a time on. */
struct refusals {
	uint32_t n;
	uint32_t n_slow;
	uint32_t n_other; /* another answer than a refusal */
};

static void count_refusals(int64_t from_ms, struct refusals *refusals)
{
	*refusals = (struct refusals){0};
	for (guint i = 0; i < calls->len; i++) {
		const struct call *call = g_ptr_array_index(calls, i);
		if (call->middle != PART_BAD || call->sent_ms < from_ms ||
		    stub_count_runs(c->stub, call->attempt) > 0)
			continue;
		refusals->n++;
		refusals->n_slow += call->took_ms > REFUSAL_MS;
		refusals->n_other += call->status != 503;
	}
}

/* A refusal promises that the request hasn't run. */
static void expect_refused_not_run(void)
{
	for (guint i = 0; i < calls->len; i++) {
		const struct call *call = g_ptr_array_index(calls, i);
		ck_assert_msg(call->status != 503 || stub_count_runs(c->stub, call->attempt) == 0,
			      "%s was refused and has run", call->attempt);
	}
}

static void expect_quarantine(const char *path)
{
	static const struct sharing all = {.every = 1};
	struct period before;
	struct period after;
	struct refusals refusals;
	int64_t left_ms = CRASHING_MS;
	int64_t fifth_ms;
	uint32_t n_crashes;
	uint32_t n_late;

	start(NODES, path);
	before.from_ms = clock_now_ms();
	play(BEFORE_MS, 0);
	before.to_ms = clock_now_ms();
	stub_set_crash_part(c->stub, PART_BAD, DOWN_MS);
	while (left_ms > 0) {
		play(left_ms, PART_BAD);
		fifth_ms = deciding_crash_ms(&n_crashes);
		after.from_ms = fifth_ms + SOUND_AGAIN_MS;
		after.to_ms = clock_now_ms();
		left_ms = after.from_ms + SOUND_MS - after.to_ms;
	}
	join_calls();
	n_late = count_runs_since(fifth_ms + CONTACT_MS);
	count_refusals(fifth_ms + CONTACT_MS, &refusals);
	printf("%s: %u crashes, %u runs with the part, %u of them late; %u late ones refused, %u "
	       "slowly, %u answered otherwise; sound ones begun: %.1f/s before, %.1f/s after\n",
	       path, n_crashes, stub_count_part_runs(c->stub, PART_BAD), n_late, refusals.n,
	       refusals.n_slow, refusals.n_other, begun_per_s(&all, before.from_ms, before.to_ms),
	       begun_per_s(&all, after.from_ms, after.to_ms));
	ck_assert_msg(n_late <= LATE_RUNS_MAX, "%u runs later than %d ms after the crash number %d",
		      n_late, CONTACT_MS, MIN((int)n_crashes, CRASHES));
	ck_assert_msg(refusals.n > 0 && refusals.n_other == 0, "%u of %u had another answer",
		      refusals.n_other, refusals.n);
	ck_assert_msg(refusals.n_slow * 10 <= refusals.n, "%u of %u took over %d ms",
		      refusals.n_slow, refusals.n, REFUSAL_MS);
	expect_sound_begun(&before, &after);
	expect_refused_not_run();
	finish();
}

/* A part that crashes engines goes on to reach them, or takes sound requests down with it. */
START_TEST(part_is_quarantined)
{
	expect_quarantine("/tell/x");
}
END_TEST

/* Streams that may be resumed carry the part to a second engine each. */
START_TEST(resumable_part_is_quarantined)
{
	expect_quarantine("/resume/x");
}
END_TEST

/* A node that starts after the last crash has no evidence of its own and sends the part again. */
START_TEST(restarted_node_refuses)
{
	const uint32_t last = NODES_FEW - 1;
	int64_t started_ms;
	uint32_t n_before;
	uint32_t n_runs;
	guint from;

	start(NODES_FEW, "/tell/x");
	play(1000, 0);
	stub_set_crash_part(c->stub, PART_BAD, DOWN_MS);
	play(3500, PART_BAD);
	cluster_signal(c, last, SIGKILL);
	cluster_start_node(c, last);
	started_ms = clock_now_ms();
	cluster_wait_ready(c, last);
	clock_sleep_ms(MAX(started_ms + CONTACT_MS - clock_now_ms(), 0));
	n_before = stub_count_part_runs(c->stub, PART_BAD);
	ck_assert_uint_gt(n_before, 0);
	from = calls->len;
	for (uint32_t i = 0; i < 8; i++) {
		send_call(last, PART_BAD, i);
		clock_sleep_ms(100);
	}
	join_calls();
	n_runs = stub_count_part_runs(c->stub, PART_BAD) - n_before;
	printf("runs with the part: %u, then %u by the node that started again\n", n_before,
	       n_runs);
	ck_assert_msg(n_runs == 0, "%u runs by the node that started again", n_runs);
	for (guint i = from; i < calls->len; i++)
		ck_assert_int_eq(((struct call *)g_ptr_array_index(calls, i))->status, 503);
	from = calls->len;
	send_call(last, PART_MIDDLE, 0);
	join_calls();
	ck_assert(((struct call *)g_ptr_array_index(calls, from))->begun);
	finish();
}
END_TEST

static void set_faults(enum stub_fault fault)
{
	for (uint32_t i = 1; i <= ENGINES; i++) {
		char id[16];
		g_snprintf(id, sizeof(id), "model-%u", i);
		stub_set_fault(c->stub, id, fault);
	}
}

/* Parts in use as many engines reset at one moment, a new one among them, count as crashing. */
START_TEST(resets_at_one_moment)
{
	uint32_t n_cut = 0;
	guint first_new;
	guint after;

	start(NODES_FEW, "/tell/x");
	play(1000, 0);
	first_new = calls->len;
	for (uint32_t i = 0; i < 4 * NODES_FEW; i++)
		send_call(i % NODES_FEW, PART_NEW, i);
	clock_sleep_ms(ENGINE_WORK_MS + ENGINE_GAP_MS);
	set_faults(STUB_FAULT_TRUNCATE);
	clock_sleep_ms(RESET_MS);
	set_faults(STUB_FAULT_NONE);
	clock_sleep_ms(RESET_MS);
	after = calls->len;
	play(2500, PART_NEW);
	join_calls();
	for (guint i = first_new; i < after; i++)
		n_cut += !((struct call *)g_ptr_array_index(calls, i))->whole;
	printf("%u answers cut, %u requests afterwards\n", n_cut, calls->len - after);
	ck_assert_uint_ge(n_cut, NODES_FEW);
	for (guint i = after; i < calls->len; i++) {
		const struct call *call = g_ptr_array_index(calls, i);
		ck_assert_msg(call->begun && call->whole, "part %x, node %u: status %d, %s",
			      call->middle, call->node, call->status,
			      call->whole ? "whole" : "cut");
	}
	finish();
}
END_TEST

/* Single broken answers on new parts end the resumption of sound streams, or refuse them. */
START_TEST(broken_answers_are_resumed)
{
	guint from;

	start(NODES_FEW, "/resume/x");
	play(1000, 0);
	stub_set_fault(c->stub, "model-1", STUB_FAULT_TRUNCATE);
	stub_set_fault(c->stub, "model-2", STUB_FAULT_TRUNCATE);
	from = calls->len;
	for (uint32_t i = 0; i < 24; i++) {
		send_call(i % NODES_FEW, PART_NEW + i, i);
		clock_sleep_ms(100);
	}
	join_calls();
	for (guint i = from; i < calls->len; i++) {
		const struct call *call = g_ptr_array_index(calls, i);
		ck_assert_msg(call->begun && call->whole, "part %x, node %u: status %d, %s",
			      call->middle, call->node, call->status,
			      call->whole ? "whole" : "cut");
	}
	finish();
}
END_TEST

/* A stream that broke under a part that another crash counts against costs a second engine. */
START_TEST(suspected_part_is_sent_once)
{
	start(NODES_FEW, "/resume/x");
	stub_set_crash_part(c->stub, PART_BAD, DOWN_MS);
	for (uint32_t i = 0; i < NODES_FEW; i++) {
		struct call *call = send_call(i, PART_BAD, i);
		uint32_t n_runs;
		join_calls();
		n_runs = stub_count_runs(c->stub, call->attempt);
		printf("request %u: %u runs, status %d\n", i, n_runs, call->status);
		ck_assert(i > 0 || n_runs > 0);
		ck_assert_msg(i == 0 || n_runs <= 1, "request %u ran %u times", i, n_runs);
		clock_sleep_ms(600); /* the other nodes hear of the crash */
	}
	finish();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		part_is_quarantined,  resumable_part_is_quarantined, restarted_node_refuses,
		resets_at_one_moment, broken_answers_are_resumed,    suspected_part_is_sent_once,
	};

	setvbuf(stdout, NULL, _IOLBF, 0); /* figures of tests that fail are printed too */
	return run_tests("proc_quarantine", tests, G_N_ELEMENTS(tests));
}
