/* Reads responses: parses them, passes them to their calls, and skips those of no call. */
#include "http_client_internal.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

#define HTTP_CLIENT_READ_BYTES 16384
/* A connection is closed this long before the idle limit announced by the origin. */
#define HTTP_CLIENT_KEEP_ALIVE_MARGIN_MS 500
/* Announced limits beyond this count as this; above HTTP_CLIENT_IDLE_MS they make no difference. */
#define HTTP_CLIENT_KEEP_ALIVE_MAX_S 3600

/*
 * Responses that a call skips: interim ones, and late copies of other responses. More of them, or
 * longer ones, are taken for an origin that writes without end.
 */
#define HTTP_CLIENT_SKIPPED_MAX 16
#define HTTP_CLIENT_SKIPPED_BYTES_MAX (1024 * 1024)

/* Shared by all connections: all run on the loop's thread, and parsing completes within a read. */
static char read_buffer[HTTP_CLIENT_READ_BYTES];

static void flush_field(struct http_client_conn *c)
{
	if (c->field->len > 0)
		hdr_add(&c->head.headers, c->field->str, c->value->str);
	g_string_truncate(c->field, 0);
	g_string_truncate(c->value, 0);
}

static int on_begin(http_parser *p)
{
	struct http_client_conn *c = p->data;

	hdr_clear(&c->head.headers);
	g_string_truncate(c->field, 0);
	g_string_truncate(c->value, 0);
	c->in_value = false;
	c->skipping = false;
	if (++c->n_responses > HTTP_CLIENT_SKIPPED_MAX + 1)
		return -1;
	return c->call ? 0 : 1; /* unsolicited response */
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct http_client_conn *c = p->data;

	if (!hdr_is_name_part(at, len))
		return -1;
	if (c->in_value)
		flush_field(c);
	c->in_value = false;
	g_string_append_len(c->field, at, (gssize)len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct http_client_conn *c = p->data;

	c->in_value = true;
	g_string_append_len(c->value, at, (gssize)len);
	return 0;
}

/*
 * Idle limit from a Keep-Alive field such as "timeout=5, max=100", less the margin and capped at
 * HTTP_CLIENT_IDLE_MS.
 */
static int64_t keep_alive_ms(const struct hdr_list *headers)
{
	const char *text = hdr_get(headers, "Keep-Alive");
	const char *at = text ? strstr(text, "timeout=") : NULL;
	int64_t seconds;

	if (!at)
		return HTTP_CLIENT_IDLE_MS;
	seconds = strtoll(at + strlen("timeout="), NULL, 10);
	seconds = CLAMP(seconds, 0, HTTP_CLIENT_KEEP_ALIVE_MAX_S);
	return CLAMP(seconds * CLOCK_MS_PER_S - HTTP_CLIENT_KEEP_ALIVE_MARGIN_MS, 0,
		     HTTP_CLIENT_IDLE_MS);
}

static int on_head(http_parser *p)
{
	struct http_client_conn *c = p->data;
	struct http_client_call *call = c->call;

	flush_field(c);
	c->head.status = p->status_code;
	c->head.length_bytes =
		(p->flags & F_CONTENTLENGTH) ? (int64_t)p->content_length : (int64_t)-1;
	c->keep_ms = keep_alive_ms(&c->head.headers);
	if (p->status_code < 200) {
		c->skipping = true;
		return 0;
	}
	if (!call)
		return -1;
	c->skipping = !call->ops.on_head(call->arg, &c->head);
	if (!c->call)
		return -1; /* cancelled by the callback */
	return call->bodyless ? 1 : 0;
}

/*
 * Passes on what was parsed of a body: once for each read, however many chunks it had. Returns
 * false if the response can't go on: it is refused, or its call was cancelled by the callback.
 */
static bool pass_block(struct http_client_conn *c)
{
	struct http_client_call *call = c->call;
	bool is_taken;

	if (c->block->len == 0)
		return true;
	is_taken = call && call->ops.on_data(call->arg, c->block->data, c->block->len);
	g_byte_array_set_size(c->block, 0);
	return is_taken && c->call;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct http_client_conn *c = p->data;

	if (c->skipping || !c->call) {
		c->skipped_bytes += len;
		return c->skipped_bytes <= HTTP_CLIENT_SKIPPED_BYTES_MAX ? 0 : -1;
	}
	g_byte_array_append(c->block, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_message(http_parser *p)
{
	struct http_client_conn *c = p->data;

	if (!pass_block(c))
		return -1;
	if (!c->skipping)
		http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_message,
};

void http_client_on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	*buf = uv_buf_init(read_buffer, HTTP_CLIENT_READ_BYTES);
}

static void make_idle(struct http_client_conn *c)
{
	c->state = CONN_IDLE;
	c->idle_since_ms = clock_now_ms();
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->parser.data = c;
	/* The call may have paused it at the end of its answer. No effect if it is reading. */
	uv_read_start((uv_stream_t *)&c->tcp, http_client_on_alloc, http_client_on_read);
}

/* Returns whether the call, if it has an opinion, leaves the connection open. */
static bool trusts_conn(const struct http_client_conn *c)
{
	const struct http_client_call *call = c->call;

	return !call || !call->ops.on_complete || call->ops.on_complete(call->arg);
}

/* left: number of bytes received after the response; no request is pending for them. */
static void complete_response(struct http_client_conn *c, size_t left)
{
	bool keep = trusts_conn(c) && http_should_keep_alive(&c->parser) && left == 0 &&
		    !c->writing && c->keep_ms > 0 && !c->origin->freed;

	if (keep)
		make_idle(c);
	else
		http_client_close_conn(c);
	http_client_end_call(c, HTTP_CLIENT_DONE);
}

/*
 * True if the peer closed the connection without a reset. libuv also reports EOF for a reset that
 * arrives together with the last bytes; a read from the socket distinguishes the two.
 */
static bool is_orderly_close(const struct http_client_conn *c, ssize_t n)
{
	char byte;
	int fd;

	if (n != UV_EOF || uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0)
		return false;
	return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void on_eof(struct http_client_conn *c, ssize_t n)
{
	/* An orderly close, but not a reset, completes a response without a length. */
	if (c->call && c->call->sent && !c->skipping && is_orderly_close(c, n)) {
		http_parser_execute(&c->parser, &parser_settings, NULL, 0);
		if (HTTP_PARSER_ERRNO(&c->parser) == HPE_PAUSED) {
			trusts_conn(c);
			http_client_close_conn(c);
			http_client_end_call(c, HTTP_CLIENT_DONE);
			return;
		}
	}
	http_client_fail_conn(c, HTTP_CLIENT_BROKEN);
}

void http_client_on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct http_client_conn *c = stream->data;
	enum http_errno parse_error;
	bool is_taken;
	size_t used;

	if (n == 0 || c->state == CONN_CLOSING)
		return;
	if (n < 0) {
		on_eof(c, n);
		return;
	}
	if (c->state != CONN_BUSY) {
		http_client_close_conn(c); /* unsolicited bytes */
		return;
	}
	used = http_parser_execute(&c->parser, &parser_settings, buf->base, (size_t)n);
	parse_error = HTTP_PARSER_ERRNO(&c->parser);
	if (c->state == CONN_CLOSING)
		return;		  /* cancelled by a callback */
	is_taken = pass_block(c); /* also what was sound before malformed bytes */
	if (c->state == CONN_CLOSING)
		return;
	if (parse_error == HPE_PAUSED) {
		http_parser_pause(&c->parser, 0);
		complete_response(c, (size_t)n - used);
	} else if (!is_taken || parse_error != HPE_OK || c->parser.upgrade) {
		http_client_fail_conn(c, HTTP_CLIENT_MALFORMED);
	}
}
