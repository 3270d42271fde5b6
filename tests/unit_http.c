/* The HTTP server and client on a loop, against sockets driven byte by byte. */
#include "http/http_client.h"
#include "http/http_server.h"

#include "base/clock.h"
#include "base/mhd.h"
#include "raw.h"
#include "run_tests.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_MS 300 /* for bytes that come at once, or not at all */

static uv_loop_t loop;
static struct http_server *server;
static struct http_server_request *last;
static uint32_t requests;
static uint32_t gone;

static void on_request(void *arg, struct http_server_request *request)
{
	requests++;
	last = request;
}

static void on_disconnect(void *arg, struct http_server_request *request)
{
	gone++;
}

static const struct http_server_limits limits = {
	.max_header_bytes = 1024,
	.max_body_bytes = 2000,
	.header_timeout_ms = 100,
	.idle_timeout_ms = 1000,
};

static void start(void)
{
	const struct http_server_handler handler = {.on_request = on_request,
						    .on_disconnect = on_disconnect};

	uv_loop_init(&loop);
	server = http_server_new(&loop, "127.0.0.1:0", &handler, &limits, NULL);
	ck_assert_ptr_nonnull(server);
	requests = 0;
	gone = 0;
	last = NULL;
}

static void turn(int64_t ms);

static void close_handle(uv_handle_t *handle, void *arg)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* Every handle's memory goes with its close callback. */
static void stop(struct http_client_origin *origin)
{
	http_server_free(server);
	server = NULL;
	http_client_origin_free(origin);
	turn(20);
	uv_walk(&loop, close_handle, NULL);
	turn(5);
	uv_loop_close(&loop);
}

static void turn(int64_t ms)
{
	int64_t end_ms = clock_now_ms() + ms;

	while (clock_now_ms() < end_ms) {
		uv_run(&loop, UV_RUN_NOWAIT);
		clock_sleep_ms(1);
	}
}

static const struct {
	const char *name;
	const char *text;
	const char *status; /* NULL: it is handed over */
	const char *body;
} readings[] = {
	{"a length", "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", NULL, "abc"},
	{"chunks",
	 "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
	 "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
	 NULL, "abc"},
	{"no body", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", NULL, ""},
	{"two lengths",
	 "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400",
	 NULL},
	{"a length beside chunks",
	 "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: "
	 "chunked\r\n\r\n0\r\n\r\n",
	 "400", NULL},
	{"two hosts", "GET /x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400", NULL},
	{"no request", "hello\r\n\r\n", "400", NULL},
};

START_TEST(reads)
{
	for (size_t i = 0; i < G_N_ELEMENTS(readings); i++) {
		int fd;
		GString *answer;
		start();
		fd = raw_connect(http_server_address(server));
		for (const char *at = readings[i].text; *at; at++) {
			raw_write(fd, at, 1); /* in pieces of one byte */
			uv_run(&loop, UV_RUN_NOWAIT);
		}
		turn(50);
		ck_assert_msg((requests == 1) == (readings[i].status == NULL), "%s",
			      readings[i].name);
		if (requests == 1) {
			g_byte_array_append(last->body, (const guint8 *)"", 1);
			ck_assert_msg(strcmp((char *)last->body->data, readings[i].body) == 0, "%s",
				      readings[i].name);
			http_server_respond(last, 200, NULL, "", 0);
		}
		turn(20);
		answer = raw_read(fd, WAIT_MS);
		ck_assert_msg(strstr(answer->str,
				     readings[i].status ? readings[i].status : "200") != NULL,
			      "%s: %s", readings[i].name, answer->str);
		g_string_free(answer, TRUE);
		close(fd);
		stop(NULL);
	}
}
END_TEST

static GString *exchange(const char *text, int64_t ms)
{
	int fd = raw_connect(http_server_address(server));
	GString *answer;

	raw_write_text(fd, text);
	turn(ms);
	answer = raw_read(fd, WAIT_MS);
	close(fd);
	return answer;
}

START_TEST(keeps_limits)
{
	char *head = g_strnfill(2000, 'a');
	char *long_head = g_strdup_printf("GET /x HTTP/1.1\r\nHost: h\r\nX: %s", head);
	char *long_body = g_strdup_printf(
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n%s%s", head, head);
	GString *answer;

	start();
	answer = exchange(long_head, 50);
	ck_assert(strstr(answer->str, "431") != NULL);
	g_string_free(answer, TRUE);
	answer = exchange(long_body, 50);
	ck_assert(strstr(answer->str, "413") != NULL);
	g_string_free(answer, TRUE);
	int fd = raw_connect(http_server_address(server));
	raw_write_text(fd, "GET /x HTT");
	turn(150);
	http_server_enforce_timeouts(server, clock_now_ms());
	turn(20);
	answer = raw_read(fd, WAIT_MS);
	ck_assert(strstr(answer->str, "408") != NULL);
	g_string_free(answer, TRUE);
	close(fd);
	g_free(head);
	g_free(long_head);
	g_free(long_body);
	stop(NULL);
}
END_TEST

/* A caller that leaves while its answer is awaited is noticed at once. */
START_TEST(notices_who_leaves)
{
	int fd;

	start();
	fd = raw_connect(http_server_address(server));
	raw_write_text(fd, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	turn(20);
	ck_assert_uint_eq(requests, 1);
	close(fd);
	turn(50);
	ck_assert_uint_eq(gone, 1);
	stop(NULL);
}
END_TEST

START_TEST(answers_pipelined_in_turn)
{
	int fd;
	GString *answer;

	start();
	fd = raw_connect(http_server_address(server));
	raw_write_text(fd, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
	turn(20);
	ck_assert_uint_eq(requests, 1);
	ck_assert_str_eq(last->target, "/1");
	http_server_respond(last, 200, NULL, "one", 3);
	turn(20);
	ck_assert_uint_eq(requests, 2);
	ck_assert_str_eq(last->target, "/2");
	http_server_respond(last, 200, NULL, "two", 3);
	turn(20);
	answer = raw_read(fd, WAIT_MS);
	ck_assert(strstr(answer->str, "one") != NULL && strstr(answer->str, "two") != NULL);
	ck_assert(strstr(answer->str, "one") < strstr(answer->str, "two"));
	g_string_free(answer, TRUE);
	close(fd);
	stop(NULL);
}
END_TEST

/* A planned stop answers what is in progress and says that the connection closes. */
START_TEST(drains)
{
	int busy;
	int idle;
	GString *answer;

	start();
	idle = raw_connect(http_server_address(server));
	busy = raw_connect(http_server_address(server));
	raw_write_text(busy, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	turn(20);
	http_server_drain(server);
	turn(20);
	answer = raw_read(idle, WAIT_MS);
	ck_assert_uint_eq(answer->len, 0);
	g_string_free(answer, TRUE);
	http_server_respond(last, 200, NULL, "x", 1);
	turn(20);
	answer = raw_read(busy, WAIT_MS);
	ck_assert(strstr(answer->str, "Connection: close") != NULL);
	g_string_free(answer, TRUE);
	close(idle);
	close(busy);
	stop(NULL);
}
END_TEST

/* ---- the client ---- */

static struct {
	int ended;
	enum http_client_result end;
	int status;
	GString *body;
	const char *skip; /* heads with this field are of another request */
} got;

static bool on_head(void *arg, const struct http_client_head *head)
{
	if (got.skip && hdr_get(&head->headers, got.skip))
		return false;
	got.status = head->status;
	return true;
}

static void on_data(void *arg, const void *data, size_t len)
{
	g_string_append_len(got.body, data, (gssize)len);
}

static void on_end(void *arg, enum http_client_result end)
{
	got.ended++;
	got.end = end;
}

static const struct http_client_ops ops = {
	.on_head = on_head, .on_data = on_data, .on_end = on_end};

static struct http_client_call *begin(struct http_client_origin *origin, bool once)
{
	struct hdr_list headers = {0};
	const struct http_client_request request = {
		.method = "POST",
		.target = "/x",
		.headers = &headers,
		.body = "abc",
		.len = 3,
		.once = once,
		.connect_timeout_ms = 200,
	};
	struct http_client_call *call;

	hdr_add(&headers, "Host", "h");
	call = http_client_start(origin, &request, &ops, NULL);
	hdr_clear(&headers);
	return call;
}

enum closing { LEAVE_OPEN, CLOSE, RESET };

static const struct {
	const char *name;
	const char *answer;
	enum closing closing;
	enum http_client_result end;
	const char *body;
	uint32_t kept; /* connections afterwards */
} answers[] = {
	{"a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", LEAVE_OPEN, HTTP_CLIENT_DONE,
	 "ok", 1},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	 LEAVE_OPEN, HTTP_CLIENT_DONE, "ok", 1},
	{"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
	 LEAVE_OPEN, HTTP_CLIENT_DONE, "ok", 0},
	{"an end instead of a length", "HTTP/1.1 200 OK\r\n\r\nok", CLOSE, HTTP_CLIENT_DONE, "ok",
	 0},
	{"a reset instead of an end", "HTTP/1.1 200 OK\r\n\r\nok", RESET, HTTP_CLIENT_BROKEN, NULL,
	 0},
	{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", CLOSE, HTTP_CLIENT_BROKEN,
	 "ok", 0},
	{"a chunk cut short", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	 CLOSE, HTTP_CLIENT_BROKEN, "ok", 0},
	{"no answer", "", CLOSE, HTTP_CLIENT_BROKEN, "", 0},
	{"not the protocol", "220 hello\r\n\r\n", LEAVE_OPEN, HTTP_CLIENT_MALFORMED, "", 0},
	{"bytes behind it", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
	 LEAVE_OPEN, HTTP_CLIENT_DONE, "ok", 0},
	{"another's first",
	 "HTTP/1.1 200 OK\r\nOther: 1\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 "
	 "OK\r\nContent-Length: 2\r\n\r\nok",
	 LEAVE_OPEN, HTTP_CLIENT_DONE, "ok", 1},
	{"continue first",
	 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", LEAVE_OPEN,
	 HTTP_CLIENT_DONE, "ok", 1},
};

static void give_answer(int listener, const char *text, enum closing closing)
{
	const struct linger reset = {.l_onoff = 1};
	int fd = accept(listener, NULL, NULL);
	char block[512];

	ck_assert_int_ge(fd, 0);
	ck_assert_int_gt(recv(fd, block, sizeof(block), 0), 0);
	raw_write_text(fd, text);
	if (closing == RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	if (closing != LEAVE_OPEN)
		close(fd);
}

START_TEST(takes_answers)
{
	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
		char address[64];
		struct http_client_origin *origin;
		int listener = mhd_listen("127.0.0.1:0", NULL);

		uv_loop_init(&loop);
		mhd_bound_address(listener, address);
		origin = http_client_origin_new(&loop, address);
		memset(&got, 0, sizeof(got));
		got.body = g_string_new(NULL);
		got.skip = "Other";
		ck_assert_ptr_nonnull(begin(origin, false));
		turn(20);
		give_answer(listener, answers[i].answer, answers[i].closing);
		turn(50);
		ck_assert_msg(got.ended == 1 && got.end == answers[i].end, "%s: %d %d",
			      answers[i].name, got.ended, (int)got.end);
		ck_assert_msg(!answers[i].body || strcmp(got.body->str, answers[i].body) == 0,
			      "%s: %s", answers[i].name, got.body->str);
		ck_assert_msg(http_client_connections(origin) == answers[i].kept, "%s: %u kept",
			      answers[i].name, http_client_connections(origin));
		g_string_free(got.body, TRUE);
		close(listener);
		stop(origin);
	}
}
END_TEST

START_TEST(knows_what_was_not_sent)
{
	struct http_client_origin *origin;
	char address[64];
	int listener = mhd_listen("127.0.0.1:0", NULL);

	uv_loop_init(&loop);
	mhd_bound_address(listener, address);
	close(listener);
	origin = http_client_origin_new(&loop, address);
	memset(&got, 0, sizeof(got));
	begin(origin, false);
	turn(50);
	ck_assert_int_eq(got.ended, 1);
	ck_assert_int_eq(got.end, HTTP_CLIENT_NOT_SENT);
	stop(origin);
}
END_TEST

/* A call that may run once isn't given to a connection that has been idle for long. */
START_TEST(once_takes_fresh_connections)
{
	char address[64];
	struct http_client_origin *origin;
	struct http_client_call *call;
	int listener = mhd_listen("127.0.0.1:0", NULL);
	static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

	uv_loop_init(&loop);
	mhd_bound_address(listener, address);
	origin = http_client_origin_new(&loop, address);
	memset(&got, 0, sizeof(got));
	got.body = g_string_new(NULL);
	begin(origin, true);
	turn(20);
	give_answer(listener, ok, LEAVE_OPEN);
	turn(900);
	begin(origin, true);
	turn(20);
	ck_assert_uint_eq(http_client_connections_opened(origin), 2);
	give_answer(listener, ok, LEAVE_OPEN);
	turn(20);
	call = begin(origin, false);
	turn(20);
	ck_assert_uint_eq(http_client_connections_opened(origin), 2);
	http_client_cancel(call);
	g_string_free(got.body, TRUE);
	close(listener);
	stop(origin);
}
END_TEST

START_TEST(cancels_by_close)
{
	char address[64];
	char block[512];
	struct http_client_origin *origin;
	struct http_client_call *call;
	int listener = mhd_listen("127.0.0.1:0", NULL);
	int fd;

	uv_loop_init(&loop);
	mhd_bound_address(listener, address);
	memset(&got, 0, sizeof(got));
	origin = http_client_origin_new(&loop, address);
	call = begin(origin, false);
	turn(20);
	fd = accept(listener, NULL, NULL);
	ck_assert_int_gt(recv(fd, block, sizeof(block), 0), 0);
	http_client_cancel(call);
	turn(20);
	ck_assert_int_eq(recv(fd, block, sizeof(block), 0), 0);
	ck_assert_int_eq(got.ended, 0);
	close(fd);
	stop(origin);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		reads,
		keeps_limits,
		notices_who_leaves,
		answers_pipelined_in_turn,
		drains,
		takes_answers,
		knows_what_was_not_sent,
		once_takes_fresh_connections,
		cancels_by_close,
	};

	return run_tests("unit_http", tests, G_N_ELEMENTS(tests));
}
