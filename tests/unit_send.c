/* The last question before bytes leave: a request that was given up is never run later. */
#include "base/fetch.h"
#include "base/mhd.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

static int arrivals;

/* Takes a whole request; closes the kept connection without an answer when told to. */
static enum MHD_Result handle(void *arg, struct MHD_Connection *conn, const char *url,
			      const char *method, const char *version, const char *data,
			      size_t *len, void **state)
{
	static int marker;
	const bool *drop = arg;

	if (!*state) {
		*state = &marker;
		return MHD_YES;
	}
	if (*len > 0) {
		*len = 0;
		return MHD_YES;
	}
	arrivals++;
	return *drop ? MHD_NO : mhd_respond(conn, 200, "text/plain", "ok", 2);
}

static bool yes(void *arg)
{
	return true;
}

static bool no(void *arg)
{
	return false;
}

static const struct {
	fetch_may_send_fn may_send;
	const char *body;
	bool idempotent;
	bool drop;
	bool ok;
	bool sent;
	int arrivals;
} cases[] = {
	{yes, "x", true, false, true, true, 1},	 {yes, "", true, false, true, true, 1},
	{no, "x", true, false, false, false, 0}, {no, "", true, false, false, false, 0},
	{yes, "x", false, true, false, true, 1}, /* read and closed: not sent again */
};

START_TEST(asks_before_it_sends)
{
	bool drop = false;
	char address[64];
	int fd = mhd_listen("127.0.0.1:0", NULL);
	struct fetch_client *http = fetch_client_new(NULL);
	struct fetch_response answer;

	mhd_bound_address(fd, address);
	struct MHD_Daemon *daemon =
		MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, handle, &drop,
				 MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_END);
	struct fetch_request call = {
		.method = "POST",
		.address = address,
		.path = "/",
		.body = cases[_i].body,
		.body_len = strlen(cases[_i].body),
		.timeout_ms = 5000,
		.idempotent = true,
	};
	/* a first call leaves a kept connection behind */
	ck_assert(fetch_perform(http, &call, &answer, NULL));
	fetch_response_clear(&answer);
	arrivals = 0;
	drop = cases[_i].drop;
	call.idempotent = cases[_i].idempotent;
	call.may_send = cases[_i].may_send;
	ck_assert(fetch_perform(http, &call, &answer, NULL) == cases[_i].ok);
	ck_assert(answer.sent == cases[_i].sent);
	fetch_response_clear(&answer);
	fetch_client_free(http);
	MHD_stop_daemon(daemon);
	ck_assert_int_eq(arrivals, cases[_i].arrivals);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("send");
	TCase *tcase = tcase_create("send");
	SRunner *runner = srunner_create(suite);
	int failed;

	suite_add_tcase(suite, tcase);
	tcase_add_loop_test(tcase, asks_before_it_sends, 0, G_N_ELEMENTS(cases));
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
