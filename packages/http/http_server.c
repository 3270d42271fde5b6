/* Listener, timeouts and shutdown of the HTTP server. */
#include "http_server_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/mhd.h"

#include <errno.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* Longest wait for the caller to close the connection after the last response. */
#define HTTP_SERVER_LINGER_MS 1000
/* Time that a new connection has for its first request, with room for one retransmission. */
#define HTTP_SERVER_FIRST_REQUEST_MS 1000
#define HTTP_SERVER_BACKLOG 512 /* connections waiting in the kernel to be accepted */

void http_server_maybe_free(struct http_server *s)
{
	if (!s->freed || s->n_conns > 0 || !s->listener_closed)
		return;
	g_free(s->read_buffer);
	g_free(s);
}

static struct http_server_conn *add_conn(struct http_server *s)
{
	struct http_server_conn *c = g_new0(struct http_server_conn, 1);

	c->server = s;
	c->number = s->n_accepted++;
	uv_tcp_init(s->loop, &c->tcp);
	c->tcp.data = c;
	c->field = g_string_new(NULL);
	c->value = g_string_new(NULL);
	c->target = g_string_new(NULL);
	c->read_ahead = g_byte_array_new();
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	c->since_ms = clock_now_ms();
	http_server_note_held(c);
	c->next = s->conns;
	if (s->conns)
		s->conns->prev = c;
	s->conns = c;
	s->n_conns++;
	return c;
}

/* result: of giving the accepted socket to the connection. */
static void start_conn(struct http_server_conn *c, int result)
{
	if (result != 0) {
		log_warn("accept_failed", "{s:s}", "error", uv_strerror(result));
		uv_close((uv_handle_t *)&c->tcp, http_server_on_conn_closed);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	uv_read_start((uv_stream_t *)&c->tcp, http_server_on_alloc, http_server_on_read);
	http_server_evict(c->server);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct http_server *s = listener->data;
	struct http_server_conn *c;

	if (status < 0)
		return;
	c = add_conn(s);
	start_conn(c, uv_accept(listener, (uv_stream_t *)&c->tcp));
}

struct http_server *http_server_new(uv_loop_t *loop, const char *address,
				    const struct http_server_handler *handler,
				    const struct http_server_limits *limits, GError **error)
{
	int fd = mhd_listen(address, error);
	struct http_server *s;

	if (fd < 0)
		return NULL;
	mhd_set_receive_bytes(fd, MHD_WAITING_BYTES);
	s = g_new0(struct http_server, 1);
	s->loop = loop;
	s->handler = *handler;
	s->limits = *limits;
	s->read_buffer = g_malloc(HTTP_SERVER_READ_BYTES);
	mhd_bound_address(fd, s->address);
	uv_tcp_init(loop, &s->listener);
	s->listener.data = s;
	uv_tcp_open(&s->listener, fd);
	uv_listen((uv_stream_t *)&s->listener, HTTP_SERVER_BACKLOG, on_connection);
	s->listening = true;
	return s;
}

static void on_listener_closed(uv_handle_t *handle)
{
	struct http_server *s = handle->data;

	s->listener_closed = true;
	http_server_maybe_free(s);
}

/* Closing the listener resets the connections that the kernel has accepted and the server hasn't.
 */
static void accept_queued(struct http_server *s)
{
	int listener;
	int fd;

	if (uv_fileno((const uv_handle_t *)&s->listener, &listener) != 0)
		return;
	while ((fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		struct http_server_conn *c = add_conn(s);
		start_conn(c, uv_tcp_open(&c->tcp, fd));
	}
	if (errno != EAGAIN)
		log_warn("accept_failed", "{s:s}", "error", g_strerror(errno));
}

void http_server_stop_listening(struct http_server *s)
{
	if (!s->listening)
		return;
	s->listening = false;
	if (!s->freed)
		accept_queued(s);
	uv_close((uv_handle_t *)&s->listener, on_listener_closed);
}

void http_server_free(struct http_server *s)
{
	struct http_server_conn *next;

	if (!s)
		return;
	s->freed = true;
	http_server_stop_listening(s);
	for (struct http_server_conn *c = s->conns; c; c = next) {
		next = c->next;
		http_server_close_conn(c);
	}
}

const char *http_server_address(const struct http_server *s)
{
	return s->address;
}

void http_server_set_limits(struct http_server *s, const struct http_server_limits *limits)
{
	s->limits = *limits;
}

void http_server_set_budget(struct http_server *s, struct http_budget *budget)
{
	s->budget = budget;
}

void http_server_set_max_connections(struct http_server *s, uint32_t max)
{
	s->max_conns = max;
}

static void sweep_reading(struct http_server_conn *c, int64_t now_ms)
{
	int64_t timeout_ms = c->limits.header_timeout_ms;

	if (c->head_read)
		timeout_ms += c->limits.idle_timeout_ms;
	if (c->head_read && now_ms - c->progress_ms > c->limits.idle_timeout_ms)
		timeout_ms = 0;
	if (now_ms - c->since_ms > timeout_ms && (c->is_read_paused || !http_server_has_input(c)))
		http_server_refuse(c, HTTP_SERVER_REFUSED_STALLED, 408);
}

/* Bytes of the response that the caller's kernel hasn't acknowledged. */
static size_t count_unsent(const struct http_server_conn *c)
{
	int queued_bytes = 0;
	int fd;

	if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0)
		ioctl(fd, SIOCOUTQ, &queued_bytes);
	return uv_stream_get_write_queue_size((const uv_stream_t *)&c->tcp) + (size_t)queued_bytes;
}

/* Whether the caller has closed a connection that isn't being read. */
static bool has_left(const struct http_server_conn *c)
{
	struct pollfd p = {.events = POLLRDHUP};

	return c->is_read_paused && uv_fileno((const uv_handle_t *)&c->tcp, &p.fd) == 0 &&
	       poll(&p, 1, 0) > 0;
}

static void sweep_conn(struct http_server_conn *c, int64_t now_ms)
{
	int64_t idle_timeout_ms = c->server->limits.idle_timeout_ms;
	size_t unsent;

	if (has_left(c))
		http_server_close_conn(c);
	if (c->state == CONN_READING)
		sweep_reading(c, now_ms);
	if (c->state != CONN_IDLE && c->state != CONN_CLOSING)
		return;
	unsent = count_unsent(c);
	if (unsent != c->unsent)
		c->since_ms = now_ms;
	c->unsent = unsent;
	if (c->state == CONN_CLOSING && unsent == 0)
		idle_timeout_ms = MIN(idle_timeout_ms, HTTP_SERVER_LINGER_MS);
	if (now_ms - c->since_ms <= idle_timeout_ms)
		return;
	if (c->state == CONN_CLOSING || c->is_read_paused || !http_server_has_input(c))
		http_server_close_conn(c);
}

void http_server_enforce_timeouts(struct http_server *s, int64_t now_ms)
{
	struct http_server_conn *next;

	for (struct http_server_conn *c = s->conns; c; c = next) {
		next = c->next;
		sweep_conn(c, now_ms);
	}
}

void http_server_announce_close(struct http_server *s)
{
	s->draining = true;
}

/* Whether a request on an idle connection has arrived or, as the connection is new, is due. */
static bool awaits_request(const struct http_server_conn *c, int64_t now_ms)
{
	return (!c->is_used && now_ms - c->since_ms < HTTP_SERVER_FIRST_REQUEST_MS) ||
	       http_server_has_input(c);
}

void http_server_drain(struct http_server *s)
{
	int64_t now_ms = clock_now_ms();
	struct http_server_conn *next;

	http_server_announce_close(s);
	for (struct http_server_conn *c = s->conns; c; c = next) {
		next = c->next;
		if (c->state == CONN_IDLE && c->pending_writes == 0 && !awaits_request(c, now_ms))
			http_server_close_conn(c);
	}
}

uint32_t http_server_connections(const struct http_server *s)
{
	return s->n_conns;
}

uint32_t http_server_busy_connections(const struct http_server *s)
{
	return s->n_busy;
}

void http_server_reject_arriving(struct http_server *s)
{
	for (struct http_server_conn *c = s->conns; c; c = c->next) {
		if (c->state == CONN_READING)
			http_server_reject(c, 408);
	}
}

static bool is_arriving(const struct http_server_conn *c, int64_t now_ms)
{
	return c->state == CONN_READING || (c->state == CONN_IDLE && awaits_request(c, now_ms));
}

uint32_t http_server_arriving_connections(const struct http_server *s)
{
	int64_t now_ms = clock_now_ms();
	uint32_t n = 0;

	for (const struct http_server_conn *c = s->conns; c; c = c->next)
		n += is_arriving(c, now_ms);
	return n;
}

uint32_t http_server_unfinished_connections(const struct http_server *s)
{
	int64_t now_ms = clock_now_ms();
	uint32_t n = 0;

	for (const struct http_server_conn *c = s->conns; c; c = c->next)
		n += c->state == CONN_BUSY || c->pending_writes > 0 || is_arriving(c, now_ms);
	return n;
}
