/* Reading and parsing of requests. */
#include "http_server_internal.h"

#include "base/clock.h"
#include "base/mhd.h"

#include <limits.h>
#include <string.h>
#include <sys/socket.h>

/* A connection isn't read while more bytes than this stand behind a request in progress. */
#define HTTP_SERVER_READ_AHEAD_BYTES_MAX (64 * 1024)
/* The same once half of the memory for requests is used. */
#define HTTP_SERVER_READ_AHEAD_BYTES_MIN (16 * 1024)
/* Strings of a head that have grown beyond this aren't kept for the next one. */
#define HTTP_SERVER_TEXT_BYTES_MAX 1024
/* Memory of a field of the head, beyond its text: an entry of the list and two allocations. */
#define HTTP_SERVER_FIELD_BYTES 96

static void reject(struct http_server_conn *c, int status, const struct hdr_list *headers)
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
	http_server_respond(c->request, status, headers, "", 0);
}

/* Answers a request that can't be parsed or exceeds a limit, then closes the connection. */
void http_server_reject(struct http_server_conn *c, int status)
{
	reject(c, status, NULL);
}

void http_server_refuse(struct http_server_conn *c, enum http_server_reason reason, int status)
{
	const struct http_server_handler *h = &c->server->handler;
	const struct http_server_refusal refusal = {
		.reason = reason,
		.status = status,
		.held_bytes = c->held_bytes,
		.age_ms = clock_now_ms() - (c->request ? c->request->began_ms : c->since_ms),
	};
	struct hdr_list headers = {0};

	if (h->on_refused)
		h->on_refused(h->arg, &refusal, &headers);
	if (status == 0)
		http_server_close_conn(c);
	else
		reject(c, status, &headers);
	hdr_clear(&headers);
}

/* Has the parser stop; the request is refused once it has returned. */
static int stop_parser(struct http_server_conn *c, enum http_server_reason reason, int status)
{
	c->reason = reason;
	c->status = status;
	return -1;
}

static void flush_field(struct http_server_conn *c)
{
	if (c->field->len == 0)
		return;
	c->head_held_bytes += (int64_t)(c->field->len + c->value->len) + HTTP_SERVER_FIELD_BYTES;
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
	c->head_held_bytes = 0;
	c->status = 0;
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

	if (!hdr_is_name_part(at, len))
		return -1;
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
	c->progress_ms = clock_now_ms();
	c->request->method = g_strdup(http_method_str(p->method));
	c->request->target = g_strdup(c->target->str);
	c->head_held_bytes += (int64_t)c->target->len;
	if (p->content_length != ULLONG_MAX &&
	    p->content_length > (uint64_t)MAX(c->limits.max_body_bytes, 0))
		return stop_parser(c, HTTP_SERVER_REFUSED_TOO_LARGE, 413);
	expect = hdr_get(&c->request->headers, "Expect");
	if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0)
		http_server_write_bytes(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http_server_conn *c = p->data;

	if ((int64_t)(c->body.len + len) > c->limits.max_body_bytes)
		return stop_parser(c, HTTP_SERVER_REFUSED_TOO_LARGE, 413);
	c->progress_ms = clock_now_ms();
	blocks_append(&c->body, at, len);
	return 0;
}

static int on_message(http_parser *p)
{
	struct http_server_conn *c = p->data;

	c->keep = http_should_keep_alive(p);
	c->is_complete = true;
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

static void trim_text(GString **text)
{
	if ((*text)->allocated_len <= HTTP_SERVER_TEXT_BYTES_MAX)
		return;
	g_string_free(*text, TRUE);
	*text = g_string_new(NULL);
}

static void dispatch_request(struct http_server_conn *c)
{
	const struct http_server_handler *h = &c->server->handler;

	if (!has_valid_framing(c->request)) {
		http_server_reject(c, 400);
		return;
	}
	g_byte_array_unref(c->request->body);
	c->request->body = blocks_join(&c->body);
	trim_text(&c->field);
	trim_text(&c->value);
	trim_text(&c->target);
	c->request->read_ms = clock_now_ms();
	if (http_server_is_crowded(c->server)) {
		http_server_refuse(c, HTTP_SERVER_REFUSED_CONNECTIONS, 503);
		return;
	}
	http_server_set_state(c, CONN_BUSY);
	if (!http_server_fits(c, 0)) {
		http_server_refuse(c, HTTP_SERVER_REFUSED_BUDGET, 503);
		return;
	}
	h->on_request(h->arg, c->request);
}

void http_server_set_wide(struct http_server_conn *c, bool is_wide)
{
	int fd;

	if (c->is_wide == is_wide || uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0)
		return;
	c->is_wide = is_wide;
	mhd_set_receive_bytes(fd, is_wide ? MHD_RECEIVE_BYTES : MHD_WAITING_BYTES);
}

/* Ends the parsing of bytes that don't complete a request. */
static void end_part(struct http_server_conn *c, size_t len)
{
	if (c->state != CONN_READING)
		return;
	if (!c->head_read) {
		c->head_bytes += len;
		if ((int64_t)c->head_bytes > c->limits.max_header_bytes) {
			http_server_reject(c, 431);
			return;
		}
	}
	http_server_set_wide(c, true);
	if (!http_server_fits(c, 0))
		http_server_refuse(c, HTTP_SERVER_REFUSED_BUDGET, 503);
}

/*
 * Parses up to the end of the first request. Returns true with the number of bytes in *used if one
 * is complete; it is dispatched by the caller, after the bytes behind it were put away.
 */
static bool parse(struct http_server_conn *c, const char *data, size_t len, size_t *used)
{
	enum http_errno parse_error;

	*used = http_parser_execute(&c->parser, &parser_settings, data, len);
	parse_error = HTTP_PARSER_ERRNO(&c->parser);
	if (parse_error == HPE_PAUSED) {
		/* The parser stops at the last byte of the message or just before it. */
		http_parser_pause(&c->parser, 0);
		return true;
	}
	if (parse_error != HPE_OK && c->status != 0)
		http_server_refuse(c, c->reason, c->status);
	else if (parse_error != HPE_OK || c->parser.upgrade)
		http_server_reject(c, parse_error == HPE_OK ? 400 : status_of_parse_error(c));
	else
		end_part(c, len);
	return false;
}

/* An answer that the caller doesn't take holds back the requests behind it. */
static bool can_parse(const struct http_server_conn *c)
{
	return (c->state == CONN_IDLE || c->state == CONN_READING) && c->pending_writes == 0 &&
	       !uv_is_closing((const uv_handle_t *)&c->tcp);
}

void http_server_parse_ahead(struct http_server_conn *c)
{
	size_t used;

	/* a request that is answered at once is followed by the next one in the loop below */
	if (c->is_parsing)
		return;
	c->is_parsing = true;
	while (c->read_ahead->len > c->ahead_used && can_parse(c)) {
		size_t len = c->read_ahead->len - c->ahead_used;
		bool is_whole =
			parse(c, (const char *)c->read_ahead->data + c->ahead_used, len, &used);
		c->ahead_used += is_whole ? used : len;
		if (is_whole)
			dispatch_request(c);
	}
	c->is_parsing = false;
	if (c->ahead_used == c->read_ahead->len && c->ahead_used > 0) {
		g_byte_array_unref(c->read_ahead);
		c->read_ahead = g_byte_array_new();
	} else if (c->ahead_used > 0) {
		g_byte_array_remove_range(c->read_ahead, 0, (guint)c->ahead_used);
	}
	c->ahead_used = 0;
	http_server_note_held(c);
	http_server_resume_reading(c);
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

static bool is_ahead_full(const struct http_server_conn *c)
{
	const struct http_budget *b = c->server->budget;
	bool is_scarce = b && b->used_bytes > b->max_bytes / 2;

	if (c->state == CONN_CLOSING) /* what it sends is discarded */
		return false;
	return (c->state == CONN_BUSY || c->pending_writes > 0) &&
	       c->read_ahead->len > (is_scarce ? HTTP_SERVER_READ_AHEAD_BYTES_MIN
					       : HTTP_SERVER_READ_AHEAD_BYTES_MAX);
}

void http_server_resume_reading(struct http_server_conn *c)
{
	if (!c->is_read_paused || is_ahead_full(c) || uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	c->is_read_paused = false;
	uv_read_start((uv_stream_t *)&c->tcp, http_server_on_alloc, http_server_on_read);
}

/* Keeps bytes that arrive behind a request in progress. */
static void read_ahead(struct http_server_conn *c, const char *data, size_t len)
{
	g_byte_array_append(c->read_ahead, (const guint8 *)data, (guint)len);
	http_server_set_wide(c, true);
	if (is_ahead_full(c) || !http_server_fits(c, 0)) {
		c->is_read_paused = true;
		uv_read_stop((uv_stream_t *)&c->tcp);
	}
}

static void read_request(struct http_server_conn *c, const char *data, size_t len)
{
	size_t used;

	if (!parse(c, data, len, &used))
		return;
	if (used < len)
		g_byte_array_append(c->read_ahead, (const guint8 *)data + used,
				    (guint)(len - used));
	c->is_parsing = true;
	dispatch_request(c);
	c->is_parsing = false;
	http_server_parse_ahead(c);
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
	if (c->state == CONN_CLOSING)
		return; /* Discard input: closing with unread input would reset the connection. */
	if (can_parse(c))
		read_request(c, buf->base, (size_t)n);
	else
		read_ahead(c, buf->base, (size_t)n);
}
