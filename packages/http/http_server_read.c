/* Reading and parsing of requests. */
#include "http_server_internal.h"

#include "base/clock.h"

#include <string.h>
#include <sys/socket.h>

/* A connection isn't read while more bytes than this stand behind a request in progress. */
#define HTTP_SERVER_READ_AHEAD_BYTES_MAX (64 * 1024)

/* Answers a request that can't be parsed or exceeds a limit, then closes the connection. */
void http_server_reject(struct http_server_conn *c, int status)
{
	if (!c->request) {
		c->request = g_new0(struct http_server_request, 1);
		c->request->body = g_byte_array_new();
		c->request->conn = c;
	}
	if (!c->request->method)
		c->request->method = g_strdup("GET");
	http_server_set_state(c, CONN_BUSY);
	c->keep = false;
	http_server_respond(c->request, status, NULL, "", 0);
}

static void flush_field(struct http_server_conn *c)
{
	if (c->field->len == 0)
		return;
	hdr_add(&c->request->headers, c->field->str, c->value->str);
	g_string_truncate(c->field, 0);
	g_string_truncate(c->value, 0);
}

static int on_begin(http_parser *p)
{
	struct http_server_conn *c = p->data;

	c->request = g_new0(struct http_server_request, 1);
	c->request->body = g_byte_array_new();
	c->request->conn = c;
	c->request->began_ms = clock_now_ms();
	c->head_bytes = 0;
	c->head_read = false;
	c->in_value = false;
	g_string_truncate(c->target, 0);
	g_string_truncate(c->field, 0);
	g_string_truncate(c->value, 0);
	c->is_used = true;
	c->limits = c->server->limits;
	http_server_set_state(c, CONN_READING);
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct http_server_conn *c = p->data;

	g_string_append_len(c->target, at, (gssize)len);
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct http_server_conn *c = p->data;

	if (c->head_read)
		return 0; /* trailers are ignored */
	if (c->in_value)
		flush_field(c);
	c->in_value = false;
	g_string_append_len(c->field, at, (gssize)len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct http_server_conn *c = p->data;

	if (c->head_read)
		return 0;
	c->in_value = true;
	g_string_append_len(c->value, at, (gssize)len);
	return 0;
}

static int on_head(http_parser *p)
{
	struct http_server_conn *c = p->data;
	const char *expect;

	flush_field(c);
	c->head_read = true;
	c->request->method = g_strdup(http_method_str(p->method));
	c->request->target = g_strdup(c->target->str);
	expect = hdr_get(&c->request->headers, "Expect");
	if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0)
		http_server_write_bytes(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http_server_conn *c = p->data;

	if ((int64_t)(c->request->body->len + len) > c->limits.max_body_bytes)
		return 1;
	g_byte_array_append(c->request->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_message(http_parser *p)
{
	struct http_server_conn *c = p->data;

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

static int status_of_parse_error(const struct http_server_conn *c)
{
	enum http_errno parse_error = HTTP_PARSER_ERRNO(&c->parser);

	if (parse_error == HPE_CB_body)
		return 413;
	if (parse_error == HPE_HEADER_OVERFLOW)
		return 431;
	return 400;
}

/*
 * Guards against request smuggling: rejects conflicting lengths, a length together with chunks and
 * several Host fields.
 */
static bool has_valid_framing(const struct http_server_request *r)
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

static void dispatch_request(struct http_server_conn *c)
{
	const struct http_server_handler *h = &c->server->handler;

	if (!has_valid_framing(c->request)) {
		http_server_reject(c, 400);
		return;
	}
	c->request->read_ms = clock_now_ms();
	http_server_set_state(c, CONN_BUSY);
	h->on_request(h->arg, c->request);
}

void http_server_parse(struct http_server_conn *c, const char *data, size_t len)
{
	size_t used = http_parser_execute(&c->parser, &parser_settings, data, len);
	enum http_errno parse_error = HTTP_PARSER_ERRNO(&c->parser);

	if (parse_error == HPE_PAUSED) {
		/* The parser stops at the last byte of the message or just before it. */
		http_parser_pause(&c->parser, 0);
		if (used < len)
			g_byte_array_append(c->read_ahead, (const guint8 *)data + used,
					    (guint)(len - used));
		dispatch_request(c);
		return;
	}
	if (parse_error != HPE_OK || c->parser.upgrade) {
		http_server_reject(c, parse_error == HPE_OK ? 400 : status_of_parse_error(c));
		return;
	}
	if (c->state == CONN_READING && !c->head_read) {
		c->head_bytes += len;
		if ((int64_t)c->head_bytes > c->limits.max_header_bytes)
			http_server_reject(c, 431);
	}
}

bool http_server_has_input(const struct http_server_conn *c)
{
	char byte;
	int fd;

	return uv_fileno((const uv_handle_t *)&c->tcp, &fd) == 0 &&
	       recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void http_server_on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	struct http_server_conn *c = handle->data;

	*buf = uv_buf_init(c->server->read_buffer, HTTP_SERVER_READ_BYTES);
}

void http_server_resume_reading(struct http_server_conn *c)
{
	bool is_full =
		c->state == CONN_BUSY && c->read_ahead->len > HTTP_SERVER_READ_AHEAD_BYTES_MAX;

	if (!c->is_read_paused || is_full || uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	c->is_read_paused = false;
	uv_read_start((uv_stream_t *)&c->tcp, http_server_on_alloc, http_server_on_read);
}

void http_server_on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct http_server_conn *c = stream->data;

	if (n == 0)
		return;
	if (n < 0) {
		http_server_close_conn(c);
		return;
	}
	switch (c->state) {
	case CONN_IDLE:
	case CONN_READING:
		http_server_parse(c, buf->base, (size_t)n);
		break;
	case CONN_BUSY:
		g_byte_array_append(c->read_ahead, (const guint8 *)buf->base, (guint)n);
		if (c->read_ahead->len > HTTP_SERVER_READ_AHEAD_BYTES_MAX) {
			c->is_read_paused = true;
			uv_read_stop(stream);
		}
		break;
	case CONN_CLOSING:
		/* Discard input: closing with unread input would reset the connection. */
		break;
	}
}
