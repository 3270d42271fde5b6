/*
 * Real nodes before upstreams that are in good order, say nothing for a second or so and then go
 * on. Guards against streams that are cut, run twice or lose their order for that.
 */
#include "cluster.h"
#include "stream.h"

#include "base/clock.h"

#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define TEST_TIMEOUT_S 120
#define RESUMABLE "/resume/x"
#define AT_MOST_ONCE "/tell/x"
#define STREAMS 16
#define HALF (STREAMS / 2)
#define EVENTS 24
#define GAP_MS 25
#define BEGUN_AT 3	 /* id of the last event before an upstream falls silent */
#define SETTLE_MS 400	 /* until every node knows of a change at the source */
#define RECOVERY_MS 1200 /* until a silence has been forgotten */
#define RUNS_MAX 2	 /* maxAttempts of the route */
#define CLOSE_MS 400	 /* within which the upstream before is left by a stream that goes on */
#define SLOW_MS 1000
#define BREAK_SILENCE_MS 2500
/* A second upstream is at work by then, and the first one not yet closed for it. */
#define SHORT_SILENCE_MS 750
#define SAMPLE_MS 10
#define STALL_MS 1500 /* longest gap if another upstream can take a stream */
#define FIRST "v1-a1"
#define SECOND "v1-b1"
#define THIRD "v1-c1"

static struct cluster *c;
static struct stream streams[STREAMS];

static void prepare(struct stub *stub)
{
	static const char *const ids[] = {FIRST, SECOND};
	static const char *const zones[] = {"a1", "b1"};

	stub_publish(stub, "model-1", NULL);
	stub_publish(stub, "model-2", NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
		const struct stub_engine_options options = {
			.id = ids[i],
			.service = "model",
			.zone = zones[i],
			.kind = STUB_STREAM,
			.work_ms = 10,
			.gap_ms = GAP_MS,
			.events = EVENTS,
		};
		stub_add_engine(stub, &options);
	}
}

static void set_up(void)
{
	for (size_t i = 0; i < STREAMS; i++)
		stream_init(&streams[i]);
	c = cluster_new_prepared(2, prepare);
}

static void tear_down(void)
{
	for (size_t i = 0; i < STREAMS; i++)
		stream_clear(&streams[i]);
	cluster_free(c);
}

static bool is_resumable(uint32_t i)
{
	return i % 2 == 0;
}

/* Opens streams from the first on at all nodes; half of them may be resumed. */
static void open_streams(uint32_t first, uint32_t n)
{
	for (uint32_t i = first; i < first + n; i++) {
		stream_clear(&streams[i]);
		stream_init(&streams[i]);
		stream_open(&streams[i], c, i / 2 % c->n_nodes,
			    is_resumable(i) ? RESUMABLE : AT_MOST_ONCE);
	}
}

static void begin_streams(uint32_t n)
{
	open_streams(0, n);
	for (uint32_t i = 0; i < n; i++)
		ck_assert_msg(stream_read(&streams[i], BEGUN_AT), "not begun: %s",
			      streams[i].text->str);
}

static uint32_t count_runs(const char *id)
{
	struct stub_stats stats;

	stub_get_stats(c->stub, id, &stats);
	return stats.runs;
}

static void expect_whole(const char *what, int64_t silence_ms)
{
	for (uint32_t i = 0; i < STREAMS; i++) {
		const struct stream *st = &streams[i];
		uint32_t runs = stub_count_runs(c->stub, st->attempt);
		ck_assert_msg(
			st->is_whole && !st->is_disordered && !st->is_mixed &&
				st->last == EVENTS - 1 && runs <= (is_resumable(i) ? RUNS_MAX : 1),
			"%s, silent for %d ms: %s stream %u (%s) of %s: whole %d, disordered %d, "
			"mixed %d, last event %d, status %d, %u runs, %d ms",
			what, (int)silence_ms, is_resumable(i) ? "resumable" : "at-most-once", i,
			i < HALF ? "begun" : "new", st->upstream, st->is_whole, st->is_disordered,
			st->is_mixed, st->last, st->status, runs, (int)st->took_ms);
	}
}

/* What the upstream that doesn't fall silent can do for the streams of the one that does. */
enum other {
	OTHER_SOUND,
	OTHER_GONE,
	OTHER_REFUSES,
	OTHER_HAS_VERSION, /* another one of the software */
	OTHER_CLOSES,	   /* its connections, without an answer */
	OTHER_SILENT,	   /* for as long */
	OTHERS
};

static const char *const other_names[OTHERS] = {
	[OTHER_SOUND] = "other upstream sound",
	[OTHER_GONE] = "no other upstream",
	[OTHER_REFUSES] = "other upstream refuses",
	[OTHER_HAS_VERSION] = "other upstream of another version",
	[OTHER_CLOSES] = "other upstream closes",
	[OTHER_SILENT] = "other upstream silent too",
};

/* Before any stream is opened; nodes know of it after a time. */
static void change_other(enum other other)
{
	if (other == OTHER_GONE || other == OTHER_CLOSES)
		stub_publish(c->stub, SECOND, NULL);
	else if (other == OTHER_HAS_VERSION)
		stub_set_version(c->stub, SECOND, "v2", false);
	clock_sleep_ms(SETTLE_MS);
}

/* As the first one falls silent. */
static void disturb_other(enum other other, int64_t silence_ms)
{
	if (other == OTHER_REFUSES)
		stub_set_fault(c->stub, SECOND, STUB_FAULT_SHED);
	else if (other == OTHER_SILENT)
		stub_pause_engine(c->stub, SECOND, silence_ms);
}

/* When the first one runs all streams, and before the timeout of a silence. */
static void publish_other(enum other other, uint32_t runs)
{
	if (other != OTHER_CLOSES)
		return;
	while (count_runs(FIRST) < runs)
		clock_sleep_ms(1);
	stub_set_fault(c->stub, SECOND, STUB_FAULT_CLOSE);
	stub_publish(c->stub, SECOND, "ready");
}

static const int64_t silences_ms[] = {500, 1000, 1500, 2000};

/* Has an upstream fall silent in the middle of some streams and before the heads of others. */
static void play(enum other other, int64_t silence_ms)
{
	uint32_t runs = count_runs(FIRST);

	begin_streams(HALF);
	disturb_other(other, silence_ms);
	stub_pause_engine(c->stub, FIRST, silence_ms);
	open_streams(HALF, HALF);
	publish_other(other, runs + STREAMS);
	stream_finish_all(streams, STREAMS);
	ck_assert_uint_gt(count_runs(FIRST), runs);
	expect_whole(other_names[other], silence_ms);
	stub_set_fault(c->stub, SECOND, STUB_FAULT_NONE);
	if (other == OTHER_CLOSES)
		stub_publish(c->stub, SECOND, NULL);
	clock_sleep_ms(RECOVERY_MS);
}

/*
 * Guards against a stream that is given up at a silent upstream before another one has accepted it,
 * one that is passed on in disorder, and one that runs more often than its route allows.
 */
START_TEST(streams_stay_whole)
{
	enum other other = (enum other)_i;

	change_other(other);
	for (size_t i = 0; i < G_N_ELEMENTS(silences_ms); i++)
		play(other, silences_ms[i]);
}
END_TEST

/* Guards against a stream that is cut at a silent upstream beside a change of the configuration. */
START_TEST(beside_a_change)
{
	int version = 8;

	change_other(OTHER_GONE);
	for (size_t i = 0; i < G_N_ELEMENTS(silences_ms); i++) {
		begin_streams(STREAMS);
		stub_pause_engine(c->stub, FIRST, silences_ms[i]);
		cluster_configure(c, version++, "\"gapAimMs\":200", "\"gapAimMs\":190");
		stream_finish_all(streams, STREAMS);
		expect_whole("beside a change", silences_ms[i]);
	}
}
END_TEST

/* Guards against a stream that is cut at a silent upstream while its node stops. */
START_TEST(beside_a_stop)
{
	for (size_t i = 0; i < G_N_ELEMENTS(silences_ms); i++) {
		begin_streams(STREAMS);
		stub_set_fault(c->stub, SECOND, STUB_FAULT_SHED);
		stub_pause_engine(c->stub, FIRST, silences_ms[i]);
		kill(c->nodes[0].pid, SIGTERM);
		stream_finish_all(streams, STREAMS);
		expect_whole("beside a stop", silences_ms[i]);
		stub_set_fault(c->stub, SECOND, STUB_FAULT_NONE);
		cluster_signal(c, 0, SIGTERM);
		cluster_start_node(c, 0);
		cluster_wait_ready(c, 0);
		clock_sleep_ms(RECOVERY_MS);
	}
}
END_TEST

/*
 * Guards against a stream that waits for too long at an upstream that is silent for good, and one
 * that goes on at two upstreams at once.
 */
START_TEST(silent_for_good)
{
	struct stub_stats stats;
	struct stream *st = &streams[0];
	int64_t silent_ms;

	stream_open(st, c, 0, RESUMABLE);
	ck_assert(stream_read(st, BEGUN_AT));
	stub_pause_engine(c->stub, st->upstream, TEST_TIMEOUT_S * CLOCK_MS_PER_S);
	silent_ms = clock_now_ms();
	ck_assert(stream_read(st, BEGUN_AT + 3));
	ck_assert_int_lt(clock_now_ms() - silent_ms, STALL_MS);
	clock_sleep_ms(CLOSE_MS);
	stub_get_stats(c->stub, st->upstream, &stats);
	ck_assert_uint_eq(stats.open, 0);
	stream_finish(st);
	ck_assert(st->is_whole && !st->is_disordered);
	ck_assert_uint_eq(stub_count_runs(c->stub, st->attempt), RUNS_MAX);
}
END_TEST

/*
 * Guards against a stream that runs at two upstreams while the second one takes its time for the
 * first event.
 */
START_TEST(slow_to_take_over)
{
	struct stream *st = &streams[0];
	struct stub_stats first;
	struct stub_stats second;
	const char *other;
	int64_t until_ms;
	int64_t both_ms = 0;

	stream_open(st, c, 0, RESUMABLE);
	ck_assert(stream_read(st, BEGUN_AT));
	other = strcmp(st->upstream, FIRST) == 0 ? SECOND : FIRST;
	stub_pause_engine(c->stub, st->upstream, SLOW_MS * 2);
	stub_pause_engine(c->stub, other, SLOW_MS * 2);
	for (until_ms = clock_now_ms() + SLOW_MS * 2; clock_now_ms() < until_ms;
	     clock_sleep_ms(SAMPLE_MS)) {
		stub_get_stats(c->stub, st->upstream, &first);
		stub_get_stats(c->stub, other, &second);
		if (first.open > 0 && second.open > 0)
			both_ms += SAMPLE_MS;
	}
	stream_finish(st);
	ck_assert(st->is_whole && !st->is_disordered);
	ck_assert_msg(both_ms <= CLOSE_MS, "at work at two upstreams for %d ms", (int)both_ms);
}
END_TEST

/* Adds a third upstream, in good order. */
static void add_third(void)
{
	const struct stub_engine_options third = {
		.id = THIRD,
		.service = "model",
		.zone = "a1",
		.kind = STUB_STREAM,
		.work_ms = 10,
		.gap_ms = GAP_MS,
		.events = EVENTS,
	};

	stub_add_engine(c->stub, &third);
}

static void expect_bounded(const struct stream *st)
{
	ck_assert(st->is_whole && !st->is_disordered);
	ck_assert_uint_eq(stub_count_runs(c->stub, st->attempt), RUNS_MAX);
}

/*
 * Guards against a stream that is sent to more upstreams than its route allows, as the one that it
 * was sent to beside the silent one breaks.
 */
START_TEST(attempts_are_bounded)
{
	struct stream *st = &streams[0];

	change_other(OTHER_GONE);
	stream_open(st, c, 0, RESUMABLE);
	ck_assert(stream_read(st, BEGUN_AT));
	stub_pause_engine(c->stub, FIRST, BREAK_SILENCE_MS);
	publish_other(OTHER_CLOSES, 1);
	clock_sleep_ms(SETTLE_MS);
	clock_sleep_ms(SETTLE_MS); /* the second one has broken by then */
	add_third();
	stream_finish(st);
	expect_bounded(st);
}
END_TEST

/* The same as the silent one goes on, and the one beside it is closed, before another silence. */
START_TEST(closed_attempts_count)
{
	static const char *const ids[] = {FIRST, SECOND, THIRD};
	struct stream *st = &streams[0];

	add_third();
	clock_sleep_ms(SETTLE_MS);
	stream_open(st, c, 0, RESUMABLE);
	ck_assert(stream_read(st, BEGUN_AT));
	for (size_t i = 0; i < G_N_ELEMENTS(ids); i++)
		stub_pause_engine(c->stub, ids[i],
				  strcmp(ids[i], st->upstream) == 0 ? SHORT_SILENCE_MS
								    : BREAK_SILENCE_MS);
	ck_assert(stream_read(st, BEGUN_AT + 3));
	stub_pause_engine(c->stub, st->upstream, BREAK_SILENCE_MS);
	stream_finish(st);
	expect_bounded(st);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("proc_silence");
	TCase *tcase = tcase_create("silence");
	SRunner *runner;
	int failed;

	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_loop_test(tcase, streams_stay_whole, 0, OTHERS);
	tcase_add_test(tcase, beside_a_change);
	tcase_add_test(tcase, beside_a_stop);
	tcase_add_test(tcase, silent_for_good);
	tcase_add_test(tcase, slow_to_take_over);
	tcase_add_test(tcase, attempts_are_bounded);
	tcase_add_test(tcase, closed_attempts_count);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
