/* The listener and its connections. */
#include "hts_int.h"

#include "base/clk.h"
#include "base/hsv.h"

#define HTS_LINGER_MS 1000 /* for the caller's close after an answer that ends one */
#define HTS_BACKLOG 512	   /* new connections that the kernel holds */

void hts_maybe_free(struct hts *s)
{
	if (!s->freed || s->n_conns > 0 || !s->listener_closed)
		return;
	g_free(s->read_buffer);
	g_free(s);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct hts *s = listener->data;
	struct hts_conn *c;

	if (status < 0)
		return;
	c = g_new0(struct hts_conn, 1);
	c->server = s;
	uv_tcp_init(s->loop, &c->tcp);
	c->tcp.data = c;
	c->field = g_string_new(NULL);
	c->value = g_string_new(NULL);
	c->target = g_string_new(NULL);
	c->ahead = g_byte_array_new();
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	c->since_ms = clk_now_ms();
	c->next = s->conns;
	if (s->conns)
		s->conns->prev = c;
	s->conns = c;
	s->n_conns++;
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0) {
		uv_close((uv_handle_t *)&c->tcp, hts_on_conn_closed);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	uv_read_start((uv_stream_t *)&c->tcp, hts_on_alloc, hts_on_read);
}

struct hts *hts_new(uv_loop_t *loop, const char *address, const struct hts_handler *handler,
		    const struct hts_limits *limits, GError **error)
{
	int fd = hsv_listen(address, error);
	struct hts *s;

	if (fd < 0)
		return NULL;
	s = g_new0(struct hts, 1);
	s->loop = loop;
	s->handler = *handler;
	s->limits = *limits;
	s->read_buffer = g_malloc(HTS_READ_BYTES);
	hsv_bound_address(fd, s->address);
	uv_tcp_init(loop, &s->listener);
	s->listener.data = s;
	uv_tcp_open(&s->listener, fd);
	uv_listen((uv_stream_t *)&s->listener, HTS_BACKLOG, on_connection);
	s->listening = true;
	return s;
}

static void on_listener_closed(uv_handle_t *handle)
{
	struct hts *s = handle->data;

	s->listener_closed = true;
	hts_maybe_free(s);
}

void hts_stop_listening(struct hts *s)
{
	if (!s->listening)
		return;
	s->listening = false;
	uv_close((uv_handle_t *)&s->listener, on_listener_closed);
}

void hts_free(struct hts *s)
{
	struct hts_conn *next;

	if (!s)
		return;
	s->freed = true;
	hts_stop_listening(s);
	for (struct hts_conn *c = s->conns; c; c = next) {
		next = c->next;
		hts_close_conn(c);
	}
}

const char *hts_address(const struct hts *s)
{
	return s->address;
}

void hts_set_limits(struct hts *s, const struct hts_limits *limits)
{
	s->limits = *limits;
}

static void sweep_conn(struct hts_conn *c, int64_t now_ms)
{
	const struct hts_limits *limits = &c->server->limits;
	int64_t age_ms = now_ms - c->since_ms;

	switch (c->state) {
	case CONN_IDLE:
		if (age_ms > limits->idle_timeout_ms)
			hts_close_conn(c);
		break;
	case CONN_READING:
		if (!c->head_read && age_ms > limits->header_timeout_ms)
			hts_refuse_reading(c, 408);
		else if (age_ms > limits->header_timeout_ms + limits->idle_timeout_ms)
			hts_close_conn(c);
		break;
	case CONN_BUSY:
		break;
	case CONN_CLOSING:
		if ((c->writes == 0 && age_ms > HTS_LINGER_MS) || age_ms > limits->idle_timeout_ms)
			hts_close_conn(c);
		break;
	}
}

void hts_sweep(struct hts *s, int64_t now_ms)
{
	struct hts_conn *next;

	for (struct hts_conn *c = s->conns; c; c = next) {
		next = c->next;
		sweep_conn(c, now_ms);
	}
}

void hts_say_close(struct hts *s)
{
	s->draining = true;
}

void hts_drain(struct hts *s)
{
	struct hts_conn *next;

	hts_say_close(s);
	for (struct hts_conn *c = s->conns; c; c = next) {
		next = c->next;
		if (c->state == CONN_IDLE)
			hts_close_conn(c);
	}
}

uint32_t hts_count(const struct hts *s)
{
	return s->n_conns;
}

uint32_t hts_count_busy(const struct hts *s)
{
	return s->n_busy;
}
