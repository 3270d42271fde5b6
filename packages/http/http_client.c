#include "http_client_internal.h"

#include "base/clock.h"
#include "base/fetch.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>

#define HTTP_CLIENT_HOST_BYTES 64
/* A call that must not run twice reuses a connection only if it has been idle for at most this. */
#define HTTP_CLIENT_FRESH_MS 700
/*
 * TCP_USER_TIMEOUT: the connection fails if sent bytes stay unacknowledged for this long. The time
 * between retransmissions doubles, so a silence of half of it is always survived. There are no
 * keep-alive probes: calls have timeouts of their own, idle connections a limit.
 */
#define HTTP_CLIENT_UNACKED_MS 4000

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void free_call(struct http_client_call *call)
{
	g_string_free(call->request_bytes, TRUE);
	call->request_bytes = NULL;
	if (!call->timer_open) {
		g_free(call);
		return;
	}
	call->connect_timer.data = call;
	uv_timer_stop(&call->connect_timer);
	uv_close((uv_handle_t *)&call->connect_timer, on_timer_closed);
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct http_client_conn *c = handle->data;
	struct http_client_origin *o = c->origin;

	if (c->prev)
		c->prev->next = c->next;
	else
		o->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	hdr_clear(&c->head.headers);
	if (c->destroy_data)
		c->destroy_data(c->data);
	g_byte_array_unref(c->block);
	g_string_free(c->field, TRUE);
	g_string_free(c->value, TRUE);
	g_free(c);
	if (--o->n_conns == 0 && o->freed)
		g_free(o);
}

void http_client_close_conn(struct http_client_conn *c)
{
	c->state = CONN_CLOSING;
	if (!uv_is_closing((uv_handle_t *)&c->tcp))
		uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

void http_client_end_call(struct http_client_conn *c, enum http_client_result end)
{
	struct http_client_call *call = c->call;

	if (!call)
		return;
	c->call = NULL;
	call->conn = NULL;
	call->ops.on_end(call->arg, end);
	free_call(call);
}

static void report(const struct http_client_origin *o, enum http_client_event event)
{
	if (o->watch && !o->freed)
		o->watch(o->watch_arg, event);
}

void http_client_fail_conn(struct http_client_conn *c, enum http_client_result end)
{
	if (c->call && !c->call->sent)
		end = HTTP_CLIENT_NOT_SENT;
	if (c->call && end != HTTP_CLIENT_MALFORMED && c->n_responses == 0)
		report(c->origin, c->call->sent ? HTTP_CLIENT_RESET : HTTP_CLIENT_UNCONNECTED);
	http_client_close_conn(c);
	http_client_end_call(c, end);
}

static void on_written(uv_write_t *write, int status)
{
	struct http_client_conn *c = write->data;

	c->writing = false;
	if (status < 0 && c->state == CONN_BUSY)
		http_client_fail_conn(c, HTTP_CLIENT_BROKEN);
}

static void send_call(struct http_client_conn *c)
{
	struct http_client_call *call = c->call;
	uv_buf_t buf = uv_buf_init(call->request_bytes->str, (unsigned)call->request_bytes->len);
	int done;

	c->state = CONN_BUSY;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	c->n_responses = 0;
	c->skipped_bytes = 0;
	call->sent = true;
	done = uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
	if (done == (int)call->request_bytes->len)
		return;
	if (done > 0)
		buf = uv_buf_init(call->request_bytes->str + done,
				  (unsigned)(call->request_bytes->len - done));
	c->write.data = c;
	c->writing = uv_write(&c->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written) == 0;
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct http_client_conn *c = connect->data;
	int fd;

	if (c->state == CONN_CLOSING)
		return;
	if (status < 0 || !c->call) {
		http_client_fail_conn(c, HTTP_CLIENT_NOT_SENT);
		return;
	}
	uv_timer_stop(&c->call->connect_timer);
	uv_tcp_nodelay(&c->tcp, 1);
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0) {
		const unsigned unacked_ms = HTTP_CLIENT_UNACKED_MS;
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms, sizeof(unacked_ms));
	}
	uv_read_start((uv_stream_t *)&c->tcp, http_client_on_alloc, http_client_on_read);
	report(c->origin, HTTP_CLIENT_CONNECTED);
	send_call(c);
}

static void on_connect_timeout(uv_timer_t *timer)
{
	struct http_client_call *call = timer->data;

	if (call->conn)
		http_client_fail_conn(call->conn, HTTP_CLIENT_NOT_SENT);
}

static struct http_client_conn *open_conn(struct http_client_origin *o,
					  struct http_client_call *call, int64_t timeout_ms)
{
	struct http_client_conn *c = g_new0(struct http_client_conn, 1);
	int err;

	c->origin = o;
	c->opened_ms = clock_now_ms();
	c->block = g_byte_array_new();
	c->field = g_string_new(NULL);
	c->value = g_string_new(NULL);
	c->keep_ms = HTTP_CLIENT_IDLE_MS;
	uv_tcp_init(o->loop, &c->tcp);
	c->tcp.data = c;
	c->connect.data = c;
	c->next = o->conns;
	if (o->conns)
		o->conns->prev = c;
	o->conns = c;
	o->n_conns++;
	o->opened++;
	err = uv_tcp_connect(&c->connect, &c->tcp, (struct sockaddr *)&o->at, on_connected);
	if (err != 0) {
		if (err == UV_ENETUNREACH || err == UV_EHOSTUNREACH)
			report(o, HTTP_CLIENT_UNCONNECTED);
		http_client_close_conn(c);
		return NULL;
	}
	uv_timer_init(o->loop, &call->connect_timer);
	call->connect_timer.data = call;
	call->timer_open = true;
	uv_timer_start(&call->connect_timer, on_connect_timeout, (uint64_t)timeout_ms, 0);
	return c;
}

/*
 * Returns the most recently used idle connection, so that surplus ones reach their idle limit; NULL
 * if none can be reused. once: the call must not run twice.
 */
static struct http_client_conn *pick_idle_conn(struct http_client_origin *o, bool once,
					       bool takes_barred)
{
	int64_t now_ms = clock_now_ms();
	struct http_client_conn *newest = NULL;

	for (struct http_client_conn *c = o->conns; c; c = c->next) {
		if (c->state != CONN_IDLE || now_ms - c->idle_since_ms > c->keep_ms)
			continue;
		if (once && now_ms - c->idle_since_ms > HTTP_CLIENT_FRESH_MS)
			continue;
		if (c->barred && !takes_barred)
			continue;
		if (!newest || c->idle_since_ms > newest->idle_since_ms)
			newest = c;
	}
	return newest;
}

/*
 * A call with once that finds none but barred connections opens one in place of the barred one that
 * it would have taken, so that the number of open connections doesn't grow.
 */
static struct http_client_conn *take_idle_conn(struct http_client_origin *o, bool once)
{
	struct http_client_conn *c = pick_idle_conn(o, once, !once);
	struct http_client_conn *barred = c ? NULL : pick_idle_conn(o, once, true);

	if (barred) {
		report(o, HTTP_CLIENT_REPLACED);
		http_client_close_conn(barred);
	}
	return c;
}

static GString *serialise_request(const struct http_client_request *request)
{
	GString *out = g_string_sized_new(512 + request->len);

	g_string_append_printf(out, "%s %s HTTP/1.1\r\n", request->method, request->target);
	hdr_write(request->headers, out);
	if (request->len > 0 || strcmp(request->method, "POST") == 0 ||
	    strcmp(request->method, "PUT") == 0)
		g_string_append_printf(out, "Content-Length: %zu\r\n", request->len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, request->body, (gssize)request->len);
	return out;
}

struct http_client_call *http_client_start(struct http_client_origin *o,
					   const struct http_client_request *request,
					   const struct http_client_ops *ops, void *arg)
{
	struct http_client_call *call = g_new0(struct http_client_call, 1);
	struct http_client_conn *c = take_idle_conn(o, request->once);

	call->ops = *ops;
	call->arg = arg;
	call->request_bytes = serialise_request(request);
	call->bodyless = strcmp(request->method, "HEAD") == 0;
	if (c) {
		call->conn = c;
		c->call = call;
		send_call(c);
		return call;
	}
	c = open_conn(o, call, request->connect_timeout_ms);
	if (!c) {
		free_call(call);
		return NULL;
	}
	call->conn = c;
	c->call = call;
	return call;
}

void http_client_bar_once(struct http_client_call *call)
{
	if (call->conn)
		call->conn->barred = true;
}

void *http_client_get_data(const struct http_client_call *call)
{
	return call->conn ? call->conn->data : NULL;
}

void http_client_set_data(struct http_client_call *call, void *data, GDestroyNotify destroy)
{
	call->conn->data = data;
	call->conn->destroy_data = destroy;
}

void http_client_cancel(struct http_client_call *call)
{
	if (!call)
		return;
	if (call->conn) {
		call->conn->call = NULL;
		http_client_close_conn(call->conn);
	}
	free_call(call);
}

void http_client_pause(struct http_client_call *call, bool paused)
{
	if (!call->conn || call->conn->state != CONN_BUSY)
		return;
	if (paused)
		uv_read_stop((uv_stream_t *)&call->conn->tcp);
	else
		uv_read_start((uv_stream_t *)&call->conn->tcp, http_client_on_alloc,
			      http_client_on_read);
}

bool http_client_was_sent(const struct http_client_call *call)
{
	return call->sent;
}

struct http_client_origin *http_client_origin_new(uv_loop_t *loop, const char *address)
{
	struct http_client_origin *o = g_new0(struct http_client_origin, 1);
	char host[HTTP_CLIENT_HOST_BYTES];
	uint16_t port;

	o->loop = loop;
	if (!fetch_split_address(address, host, sizeof(host), &port) ||
	    uv_ip4_addr(host, port, &o->at) != 0) {
		g_free(o);
		return NULL;
	}
	return o;
}

void http_client_origin_watch(struct http_client_origin *o,
			      void (*fn)(void *arg, enum http_client_event event), void *arg)
{
	o->watch = fn;
	o->watch_arg = arg;
}

void http_client_origin_free(struct http_client_origin *o)
{
	struct http_client_conn *next;

	if (!o)
		return;
	o->freed = true;
	if (o->n_conns == 0) {
		g_free(o);
		return;
	}
	for (struct http_client_conn *c = o->conns; c; c = next) {
		next = c->next;
		if (c->state == CONN_IDLE)
			http_client_close_conn(c);
	}
}

void http_client_close_idle(struct http_client_origin *o, int64_t now_ms)
{
	struct http_client_conn *next;

	for (struct http_client_conn *c = o->conns; c; c = next) {
		next = c->next;
		if (c->state == CONN_IDLE && now_ms - c->idle_since_ms > c->keep_ms)
			http_client_close_conn(c);
	}
}

uint32_t http_client_connections(const struct http_client_origin *o)
{
	return o->n_conns;
}

uint64_t http_client_connections_opened(const struct http_client_origin *o)
{
	return o->opened;
}

/* Looks at the socket, as the end of a connection may wait behind other events of the loop. */
static bool is_ended_by_peer(const struct http_client_conn *c)
{
	struct pollfd at = {.events = POLLRDHUP};
	int fd;

	if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0)
		return true;
	at.fd = fd;
	return poll(&at, 1, 0) != 0;
}

int64_t http_client_open_since_ms(const struct http_client_origin *o)
{
	int64_t since_ms = INT64_MAX;

	for (const struct http_client_conn *c = o->conns; c; c = c->next) {
		bool is_open = c->state == CONN_IDLE || c->state == CONN_BUSY;
		if (is_open && c->opened_ms < since_ms && !is_ended_by_peer(c))
			since_ms = c->opened_ms;
	}
	return since_ms;
}
