/* Routing: load reports that lag, links, prefixes and the number of upstreams looked at. */
#include "policy_doc.h"

#include <check.h>

#define NOW_MS 100000
#define LOOKS_MAX (8 * 32) /* 8 data centres; nothing that grows with their engines */

static const struct policy_doc doc = {
	.policy = "adaptive",
	.data_centres = 2,
	.services = 1,
	.engines = 2,
	.warm_limit = 10,
	.pipelines = 1,
	.accounts = 3,
	.deadline_ms = 1000,
	.out = -1,
};

/* What a node knows of an upstream. */
struct known {
	int64_t latency_us;
	int32_t running; /* as reported, age_ms ago */
	int64_t age_ms;
	int32_t sent; /* since the report */
};

/* Two upstreams: the first in the own data centre, the second behind a paid link of 12 ms. */
static const struct {
	struct known ups[2];
	int64_t left_ms;
	int64_t weight_pct;
	uint32_t pick;
} picks[] = {
	{{{100000}, {100000}}, 1000, 0, 0},		 /* the nearer of equals */
	{{{100000}, {50000}}, 1000, 0, 1},		 /* faster in spite of the link */
	{{{100000}, {50000}}, 1000, 1000000, 0},	 /* the price outweighs it */
	{{{100000}, {50000}}, 90, 1000000, 1},		 /* but not the deadline */
	{{{100000, 10, 100, 0}, {100000}}, 1000, 0, 1},	 /* reported as loaded */
	{{{100000, 10, 9000, 0}, {100000}}, 1000, 0, 0}, /* too long ago to count */
	{{{100000, 0, 100, 10}, {100000}}, 1000, 0, 1},	 /* sent since the report */
};

START_TEST(weighs_load_and_links)
{
	struct policy_doc weighed = doc;
	struct rte_ask ask = {.left_ms = picks[_i].left_ms, .body_bytes = 1000000};

	weighed.cost_weight_pct = picks[_i].weight_pct;
	struct dec *d = policy_doc_start(&weighed, 1, NOW_MS);
	ask.service = bb_service(&d->bb, "s0");
	for (uint32_t i = 0; i < 2; i++) {
		struct bb_upstream *up = bb_upstream(&d->bb, i);
		const struct known *known = &picks[_i].ups[i];
		up->report_warm = true;
		up->latency_us = known->latency_us;
		up->latency_at_ms = NOW_MS;
		up->report_running = known->running;
		up->report_at_ms = NOW_MS - known->age_ms;
		up->sent_since_report = known->sent;
	}
	ck_assert_uint_eq(rte_score.pick(&d->bb, &slot_ops_unlimited, &ask, NOW_MS)->id,
			  picks[_i].pick);
	dec_free(d);
}
END_TEST

START_TEST(keeps_prefixes_together)
{
	struct policy_doc many = doc;

	many.data_centres = 1;
	many.engines = 40;
	struct dec *d = policy_doc_start(&many, 1, NOW_MS);
	struct rte_ask ask = {
		.service = bb_service(&d->bb, "s0"), .left_ms = 1000, .prefix_hash = 12345};
	policy_doc_feed(ask.service, 100, 50000);
	struct bb_upstream *first = rte_score.pick(&d->bb, &slot_ops_unlimited, &ask, NOW_MS);
	for (int i = 0; i < 20; i++)
		ck_assert_ptr_eq(rte_score.pick(&d->bb, &slot_ops_unlimited, &ask, NOW_MS), first);
	/* more than its share: the hint gives way */
	first->in_flight = 8;
	ck_assert_ptr_ne(rte_score.pick(&d->bb, &slot_ops_unlimited, &ask, NOW_MS), first);
	dec_free(d);
}
END_TEST

static uint32_t looks;

static int32_t count_look(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms)
{
	looks++;
	return 0;
}

/* With nothing free, which is the longest search. */
static const uint32_t engines[] = {61, 610, 6100};

START_TEST(looks_at_few)
{
	static const struct slot_ops counting = {.name = "counting", .limit = count_look};
	struct policy_doc large = doc;

	large.data_centres = 8;
	large.engines = engines[_i];
	struct dec *d = policy_doc_start(&large, 1, NOW_MS);
	struct rte_ask ask = {
		.service = bb_service(&d->bb, "s0"), .left_ms = 1000, .prefix_hash = 12345};
	looks = 0;
	ck_assert_ptr_null(rte_score.pick(&d->bb, &counting, &ask, NOW_MS));
	ck_assert_uint_le(looks, LOOKS_MAX);
	ck_assert_uint_gt(looks, 0);
	dec_free(d);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("route");
	TCase *tcase = tcase_create("route");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_add_loop_test(tcase, weighs_load_and_links, 0, G_N_ELEMENTS(picks));
	tcase_add_test(tcase, keeps_prefixes_together);
	tcase_add_loop_test(tcase, looks_at_few, 0, G_N_ELEMENTS(engines));
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
