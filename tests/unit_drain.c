/* Planned stop: each phase ends when it may and no sooner. */
#include "decide/drn.h"

#include <check.h>
#include <stdlib.h>

#define LINGER_MS 5000
#define SHORT_MS 10
#define LONG_MS 60000

static const struct {
	const char *name;
	enum drn_phase phase;
	int64_t spent_ms;
	struct drn_input in;
	enum drn_phase next;
} steps[] = {
	{"serves until told", DRN_SERVING, LONG_MS, {.hurry = true}, DRN_SERVING},
	{"callers hold the address", DRN_LEAVING, LINGER_MS - 1, {0}, DRN_LEAVING},
	{"callers forgot it", DRN_LEAVING, LINGER_MS, {.requests = 3}, DRN_FINISHING},
	{"hurried past callers", DRN_LEAVING, 0, {.hurry = true}, DRN_FINISHING},
	{"a stream runs", DRN_FINISHING, LONG_MS, {.requests = 1}, DRN_FINISHING},
	{"nothing runs", DRN_FINISHING, 0, {0}, DRN_OFFERING},
	{"hurried past a stream", DRN_FINISHING, 0, {.requests = 1, .hurry = true}, DRN_OFFERING},
	{"no taker yet", DRN_OFFERING, SHORT_MS, {.has_successor = true}, DRN_OFFERING},
	{"taker", DRN_OFFERING, 0, {.has_successor = true, .offer_taken = true}, DRN_RELEASING},
	{"nobody else", DRN_OFFERING, 0, {0}, DRN_SETTLING},
	{"no taker in time", DRN_OFFERING, LONG_MS, {.has_successor = true}, DRN_SETTLING},
	{"no word yet", DRN_RELEASING, SHORT_MS, {.offer_taken = true}, DRN_RELEASING},
	{"word came", DRN_RELEASING, 0, {.released = true}, DRN_SETTLING},
	{"word lost", DRN_RELEASING, LONG_MS, {0}, DRN_SETTLING},
	{"answers leave", DRN_SETTLING, SHORT_MS, {.requests = 1}, DRN_SETTLING},
	{"all left", DRN_SETTLING, 0, {0}, DRN_DONE},
	{"a caller takes nothing", DRN_SETTLING, LONG_MS, {.requests = 1}, DRN_DONE},
	{"stays done", DRN_DONE, LONG_MS, {0}, DRN_DONE},
};

START_TEST(steps_when_it_may)
{
	struct drn drn = {.phase = steps[_i].phase};
	struct drn_input in = steps[_i].in;

	in.now_ms = steps[_i].spent_ms;
	in.linger_ms = LINGER_MS;
	ck_assert_msg(drn_step(&drn, &in) == steps[_i].next, "%s: %s", steps[_i].name,
		      drn_phase_name(drn.phase));
}
END_TEST

START_TEST(begins_once)
{
	struct drn drn = {0};

	drn_begin(&drn, 1);
	drn_begin(&drn, 2);
	ck_assert_int_eq(drn.phase, DRN_LEAVING);
	ck_assert_int_eq(drn.since_ms, 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("drain");
	TCase *tcase = tcase_create("drain");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_add_loop_test(tcase, steps_when_it_may, 0, sizeof(steps) / sizeof(steps[0]));
	tcase_add_test(tcase, begins_once);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
