#include "http/hts.h"

#include "base/clk.h"
#include "base/hcl.h"
#include "base/hsv.h"

#include <http_parser.h>
#include <string.h>

#define HTS_READ_BYTES 16384
#define HTS_AHEAD_BYTES_MAX (64 * 1024) /* read behind a request in progress */
#define HTS_LINGER_MS 1000		/* for the caller's close after an answer that ends one */
#define HTS_BACKLOG 512			/* new connections that the kernel holds */
#define HTS_ADDRESS_BYTES 64

enum conn_state {
	CONN_IDLE,    /* no byte of a request yet */
	CONN_READING, /* a request is being read */
	CONN_BUSY,    /* a request was handed over and isn't answered yet */
	CONN_CLOSING, /* nothing more is read; waits for what is queued, then for the caller */
};

struct hts_conn {
	uv_tcp_t tcp;
	struct hts *server;
	struct hts_conn *prev;
	struct hts_conn *next;
	http_parser parser;
	enum conn_state state;
	struct hts_request *request;
	GString *field;
	GString *value;
	bool in_value;
	GString *target;
	size_t head_bytes;
	bool head_read;
	bool chunked; /* of the answer */
	bool begun;   /* the answer's head was written */
	bool keep;    /* the connection goes on after the answer */
	bool bodyless;
	bool until_close; /* the answer's end is the connection's */
	int64_t since_ms; /* of the state */
	GByteArray *ahead;
	uint32_t writes; /* queued in libuv */
	bool shut;
};

struct hts {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct hts_handler handler;
	struct hts_limits limits;
	struct hts_conn *conns;
	uint32_t n_conns;
	uint32_t n_busy;
	bool draining;
	bool listening;
	bool freed;
	bool listener_closed;
	char address[HTS_ADDRESS_BYTES];
	char *read_buffer;
};

struct write_job {
	uv_write_t write;
	struct hts_conn *conn;
	char data[];
};

static void set_state(struct hts_conn *c, enum conn_state state)
{
	if (state == CONN_BUSY && c->state != CONN_BUSY)
		c->server->n_busy++;
	if (state != CONN_BUSY && c->state == CONN_BUSY)
		c->server->n_busy--;
	c->state = state;
	c->since_ms = clk_now_ms();
}

static void free_request(struct hts_conn *c)
{
	struct hts_request *r = c->request;

	if (!r)
		return;
	g_free(r->method);
	g_free(r->target);
	hdr_clear(&r->headers);
	g_byte_array_unref(r->body);
	g_free(r);
	c->request = NULL;
}

static void maybe_free_server(struct hts *s)
{
	if (!s->freed || s->n_conns > 0 || !s->listener_closed)
		return;
	g_free(s->read_buffer);
	g_free(s);
}

static void on_conn_closed(uv_handle_t *handle)
{
	struct hts_conn *c = handle->data;
	struct hts *s = c->server;

	free_request(c);
	g_string_free(c->field, TRUE);
	g_string_free(c->value, TRUE);
	g_string_free(c->target, TRUE);
	g_byte_array_unref(c->ahead);
	if (c->prev)
		c->prev->next = c->next;
	else
		s->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	s->n_conns--;
	g_free(c);
	maybe_free_server(s);
}

/* Tells the handler first when a request is in progress. */
static void close_conn(struct hts_conn *c)
{
	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	if (c->state == CONN_BUSY) {
		set_state(c, CONN_CLOSING);
		c->server->handler.on_gone(c->server->handler.arg, c->request);
	}
	set_state(c, CONN_CLOSING);
	uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

static void shut_down(struct hts_conn *c)
{
	int fd;

	if (c->writes > 0 || c->shut || uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	c->shut = true;
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		shutdown(fd, SHUT_WR);
}

static void on_written(uv_write_t *write, int status)
{
	struct write_job *job = (struct write_job *)write;
	struct hts_conn *c = job->conn;
	const struct hts_handler *h = &c->server->handler;

	c->writes--;
	g_free(job);
	if (status < 0) {
		close_conn(c);
		return;
	}
	if (c->writes > 0)
		return;
	if (c->state == CONN_CLOSING)
		shut_down(c);
	else if (c->state == CONN_BUSY && c->begun && h->on_drained)
		h->on_drained(h->arg, c->request);
}

static void write_bytes(struct hts_conn *c, const char *data, size_t len)
{
	struct write_job *job;
	uv_buf_t buf = uv_buf_init((char *)data, (unsigned)len);
	int done = 0;

	if (len == 0 || uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	if (c->writes == 0)
		done = uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
	if (done < 0)
		done = 0;
	if ((size_t)done == len)
		return;
	job = g_malloc(sizeof(*job) + len - (size_t)done);
	job->conn = c;
	memcpy(job->data, data + done, len - (size_t)done);
	buf = uv_buf_init(job->data, (unsigned)(len - (size_t)done));
	if (uv_write(&job->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written) != 0) {
		g_free(job); /* the connection has failed; its reading side reports it */
		return;
	}
	c->writes++;
}

static const char *reason_of(int status)
{
	switch (status) {
#define REASON(code, name, text)                                                                   \
	case code:                                                                                 \
		return #text;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	}
	return "Unknown";
}

static void write_head(struct hts_conn *c, int status, const struct hdr_list *headers,
		       int64_t length_bytes)
{
	GString *head = g_string_sized_new(512);

	c->keep = c->keep && !c->server->draining && !c->server->freed;
	c->bodyless = status == 204 || status == 304 || strcmp(c->request->method, "HEAD") == 0;
	c->chunked =
		length_bytes == HTS_LENGTH_UNKNOWN && c->parser.http_minor >= 1 && !c->bodyless;
	c->until_close = length_bytes < 0 && !c->chunked;
	if (c->until_close)
		c->keep = false;
	g_string_append_printf(head, "HTTP/1.1 %d %s\r\n", status, reason_of(status));
	if (headers)
		hdr_write(headers, head);
	if (c->chunked)
		g_string_append(head, "Transfer-Encoding: chunked\r\n");
	else if (length_bytes >= 0 && status != 204)
		g_string_append_printf(head, "Content-Length: %" G_GINT64_FORMAT "\r\n",
				       length_bytes);
	g_string_append(head, c->keep ? "\r\n" : "Connection: close\r\n\r\n");
	write_bytes(c, head->str, head->len);
	g_string_free(head, TRUE);
	c->begun = true;
}

static void parse(struct hts_conn *c, const char *data, size_t len);

/* The answer is whole: the next request, or the end of the connection. */
static void end_answer(struct hts_conn *c)
{
	GByteArray *ahead;

	set_state(c, CONN_IDLE);
	free_request(c);
	if (!c->keep) {
		set_state(c, CONN_CLOSING);
		shut_down(c);
		return;
	}
	c->begun = false;
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	ahead = c->ahead;
	c->ahead = g_byte_array_new();
	if (ahead->len > 0)
		parse(c, (const char *)ahead->data, ahead->len);
	g_byte_array_unref(ahead);
}

void hts_begin(struct hts_request *request, int status, const struct hdr_list *headers,
	       int64_t length_bytes)
{
	write_head(request->conn, status, headers, length_bytes);
}

void hts_write(struct hts_request *request, const void *data, size_t len)
{
	struct hts_conn *c = request->conn;
	GString *chunk;

	if (len == 0 || c->bodyless)
		return;
	if (!c->chunked) {
		write_bytes(c, data, len);
		return;
	}
	chunk = g_string_sized_new(len + 16);
	g_string_append_printf(chunk, "%zx\r\n", len);
	g_string_append_len(chunk, data, (gssize)len);
	g_string_append(chunk, "\r\n");
	write_bytes(c, chunk->str, chunk->len);
	g_string_free(chunk, TRUE);
}

void hts_finish(struct hts_request *request)
{
	struct hts_conn *c = request->conn;

	if (c->chunked)
		write_bytes(c, "0\r\n\r\n", 5);
	end_answer(c);
}

void hts_answer(struct hts_request *request, int status, const struct hdr_list *headers,
		const void *body, size_t len)
{
	hts_begin(request, status, headers, (int64_t)len);
	hts_write(request, body, len);
	hts_finish(request);
}

void hts_break(struct hts_request *request)
{
	struct hts_conn *c = request->conn;

	set_state(c, CONN_CLOSING);
	/* an orderly close would end such an answer as if it were whole */
	if (!c->until_close || uv_tcp_close_reset(&c->tcp, on_conn_closed) != 0)
		uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
}

size_t hts_queued(const struct hts_request *request)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&request->conn->tcp);
}

/* Refuses what could not be read as a request, and ends the connection. */
static void refuse_reading(struct hts_conn *c, int status)
{
	if (!c->request) {
		c->request = g_new0(struct hts_request, 1);
		c->request->body = g_byte_array_new();
		c->request->conn = c;
	}
	if (!c->request->method)
		c->request->method = g_strdup("GET");
	set_state(c, CONN_BUSY);
	c->keep = false;
	hts_answer(c->request, status, NULL, "", 0);
}

static void take_field(struct hts_conn *c)
{
	if (c->field->len == 0)
		return;
	hdr_add(&c->request->headers, c->field->str, c->value->str);
	g_string_truncate(c->field, 0);
	g_string_truncate(c->value, 0);
}

static int on_begin(http_parser *p)
{
	struct hts_conn *c = p->data;

	c->request = g_new0(struct hts_request, 1);
	c->request->body = g_byte_array_new();
	c->request->conn = c;
	c->request->began_ms = clk_now_ms();
	c->head_bytes = 0;
	c->head_read = false;
	c->in_value = false;
	g_string_truncate(c->target, 0);
	g_string_truncate(c->field, 0);
	g_string_truncate(c->value, 0);
	set_state(c, CONN_READING);
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct hts_conn *c = p->data;

	g_string_append_len(c->target, at, (gssize)len);
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct hts_conn *c = p->data;

	if (c->head_read)
		return 0; /* trailers say nothing that is used */
	if (c->in_value)
		take_field(c);
	c->in_value = false;
	g_string_append_len(c->field, at, (gssize)len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct hts_conn *c = p->data;

	if (c->head_read)
		return 0;
	c->in_value = true;
	g_string_append_len(c->value, at, (gssize)len);
	return 0;
}

static int on_head(http_parser *p)
{
	struct hts_conn *c = p->data;
	const char *expect;

	take_field(c);
	c->head_read = true;
	c->request->method = g_strdup(http_method_str(p->method));
	c->request->target = g_strdup(c->target->str);
	expect = hdr_get(&c->request->headers, "Expect");
	if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0)
		write_bytes(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct hts_conn *c = p->data;

	if ((int64_t)(c->request->body->len + len) > c->server->limits.max_body_bytes)
		return 1;
	g_byte_array_append(c->request->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_message(http_parser *p)
{
	struct hts_conn *c = p->data;

	c->keep = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_message,
};

static int status_of_fault(const struct hts_conn *c)
{
	enum http_errno fault = HTTP_PARSER_ERRNO(&c->parser);

	if (fault == HPE_CB_body)
		return 413;
	if (fault == HPE_HEADER_OVERFLOW)
		return 431;
	return 400;
}

/* Two lengths that differ, or a length beside chunks, is how one request hides in another. */
static bool is_framed_once(const struct hts_request *r)
{
	const char *length = NULL;
	uint32_t hosts = 0;

	for (uint32_t i = 0; i < r->headers.n; i++) {
		const struct hdr *h = &r->headers.at[i];
		if (g_ascii_strcasecmp(h->name, "Host") == 0)
			hosts++;
		if (g_ascii_strcasecmp(h->name, "Content-Length") != 0)
			continue;
		if (length && strcmp(length, h->value) != 0)
			return false;
		length = h->value;
	}
	return hosts <= 1 && !(length && hdr_get(&r->headers, "Transfer-Encoding"));
}

static void hand_over(struct hts_conn *c)
{
	const struct hts_handler *h = &c->server->handler;

	if (!is_framed_once(c->request)) {
		refuse_reading(c, 400);
		return;
	}
	c->request->read_ms = clk_now_ms();
	set_state(c, CONN_BUSY);
	h->on_request(h->arg, c->request);
}

static void parse(struct hts_conn *c, const char *data, size_t len)
{
	size_t used = http_parser_execute(&c->parser, &parser_settings, data, len);
	enum http_errno fault = HTTP_PARSER_ERRNO(&c->parser);

	if (fault == HPE_PAUSED) {
		/* the parser stops at the last byte of the message, or just before it */
		http_parser_pause(&c->parser, 0);
		if (used < len)
			g_byte_array_append(c->ahead, (const guint8 *)data + used,
					    (guint)(len - used));
		hand_over(c);
		return;
	}
	if (fault != HPE_OK || c->parser.upgrade) {
		refuse_reading(c, fault == HPE_OK ? 400 : status_of_fault(c));
		return;
	}
	if (c->state == CONN_READING && !c->head_read) {
		c->head_bytes += len;
		if ((int64_t)c->head_bytes > c->server->limits.max_header_bytes)
			refuse_reading(c, 431);
	}
}

static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	struct hts_conn *c = handle->data;

	*buf = uv_buf_init(c->server->read_buffer, HTS_READ_BYTES);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct hts_conn *c = stream->data;

	if (n == 0)
		return;
	if (n < 0) {
		close_conn(c);
		return;
	}
	switch (c->state) {
	case CONN_IDLE:
	case CONN_READING:
		parse(c, buf->base, (size_t)n);
		break;
	case CONN_BUSY:
		g_byte_array_append(c->ahead, (const guint8 *)buf->base, (guint)n);
		if (c->ahead->len > HTS_AHEAD_BYTES_MAX)
			close_conn(c);
		break;
	case CONN_CLOSING:
		break; /* read and thrown away, so that our close doesn't reset the answer */
	}
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
		uv_close((uv_handle_t *)&c->tcp, on_conn_closed);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	uv_read_start((uv_stream_t *)&c->tcp, on_alloc, on_read);
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
	maybe_free_server(s);
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
		close_conn(c);
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
			close_conn(c);
		break;
	case CONN_READING:
		if (!c->head_read && age_ms > limits->header_timeout_ms)
			refuse_reading(c, 408);
		else if (age_ms > limits->header_timeout_ms + limits->idle_timeout_ms)
			close_conn(c);
		break;
	case CONN_BUSY:
		break;
	case CONN_CLOSING:
		if ((c->writes == 0 && age_ms > HTS_LINGER_MS) || age_ms > limits->idle_timeout_ms)
			close_conn(c);
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
			close_conn(c);
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
