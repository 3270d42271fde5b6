/* Test runner shared by the test programs. */
#ifndef TESTS_RUN_TESTS_H
#define TESTS_RUN_TESTS_H

#include <check.h>
#include <stdlib.h>
#include <string.h>

/*
 * Runs the tests, or only the one that the environment variable TEST_ONLY names. Returns the exit
 * code of main().
 */
static inline int run_tests(const char *name, const TTest *const *tests, size_t n)
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create("all");
	SRunner *runner = srunner_create(suite);
	const char *only = getenv("TEST_ONLY");
	int failed;

	tcase_set_timeout(tcase, 60);
	for (size_t i = 0; i < n; i++) {
		if (!only || strcmp(only, tests[i]->name) == 0)
			tcase_add_test(tcase, tests[i]);
	}
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed > 0;
}

#endif
