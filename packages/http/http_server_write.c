/* Writing of responses and closing of connections. */
#include "http_server_internal.h"

#include "base/clock.h"

#include <string.h>
#include <sys/socket.h>

/* Reads that discard input before a close; a caller that sends faster is reset. */
#define HTTP_SERVER_DISCARDS_MAX 64

struct write_op {
	uv_write_t write;
	struct http_server_conn *conn;
	char data[];
};

void http_server_set_state(struct http_server_conn *c, enum conn_state state)
{
	if (state == CONN_BUSY && c->state != CONN_BUSY)
		c->server->n_busy++;
	if (state != CONN_BUSY && c->state == CONN_BUSY)
		c->server->n_busy--;
	c->state = state;
	if (state == CONN_IDLE)
		http_server_set_wide(c, false);
	c->since_ms = clock_now_ms();
	http_server_note_request(c, state == CONN_READING);
}

static void free_request(struct http_server_conn *c)
{
	struct http_server_request *r = c->request;

	if (!r)
		return;
	blocks_clear(&c->body);
	g_free(r->method);
	g_free(r->target);
	hdr_clear(&r->headers);
	g_byte_array_unref(r->body);
	g_free(r);
	c->request = NULL;
	c->head_held_bytes = 0;
	http_server_note_held(c);
}

void http_server_on_conn_closed(uv_handle_t *handle)
{
	struct http_server_conn *c = handle->data;
	struct http_server *s = c->server;

	http_server_note_request(c, false);
	free_request(c);
	http_server_note_freed(c);
	g_string_free(c->field, TRUE);
	g_string_free(c->value, TRUE);
	g_string_free(c->target, TRUE);
	g_byte_array_unref(c->read_ahead);
	if (c->prev)
		c->prev->next = c->next;
	else
		s->conns = c->next;
	if (c->next)
		c->next->prev = c->prev;
	s->n_conns--;
	g_free(c);
	http_server_maybe_free(s);
}

/* Closing with unread input resets the connection: what the caller hasn't got yet is lost. */
static void discard_input(struct http_server_conn *c)
{
	char block[HTTP_SERVER_READ_BYTES];
	int fd;

	if (uv_fileno((const uv_handle_t *)&c->tcp, &fd) != 0)
		return;
	for (int i = 0; i < HTTP_SERVER_DISCARDS_MAX; i++) {
		if (recv(fd, block, sizeof(block), MSG_DONTWAIT) <= 0)
			return;
	}
}

void http_server_close_conn(struct http_server_conn *c)
{
	if (uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	if (c->state == CONN_BUSY) {
		http_server_set_state(c, CONN_CLOSING);
		c->server->handler.on_disconnect(c->server->handler.arg, c->request);
	} else {
		discard_input(c);
	}
	http_server_set_state(c, CONN_CLOSING);
	uv_close((uv_handle_t *)&c->tcp, http_server_on_conn_closed);
}

static void close_write_side(struct http_server_conn *c)
{
	int fd;

	if (c->pending_writes > 0 || c->write_closed || uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	c->write_closed = true;
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		shutdown(fd, SHUT_WR);
}

static void on_written(uv_write_t *write, int status)
{
	struct write_op *op = (struct write_op *)write;
	struct http_server_conn *c = op->conn;
	const struct http_server_handler *h = &c->server->handler;

	c->pending_writes--;
	g_free(op);
	if (status < 0) {
		http_server_close_conn(c);
		return;
	}
	if (c->pending_writes > 0)
		return;
	http_server_note_held(c);
	if (c->state == CONN_CLOSING)
		close_write_side(c);
	else if (c->state == CONN_IDLE || c->state == CONN_READING)
		http_server_parse_ahead(c);
	else if (c->state == CONN_BUSY && c->begun && h->on_write_drained)
		h->on_write_drained(h->arg, c->request);
}

void http_server_write_bytes(struct http_server_conn *c, const char *data, size_t len)
{
	struct write_op *op;
	uv_buf_t buf = uv_buf_init((char *)data, (unsigned)len);
	int done = 0;

	if (len == 0 || uv_is_closing((uv_handle_t *)&c->tcp))
		return;
	if (c->pending_writes == 0)
		done = uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
	if (done < 0)
		done = 0;
	if ((size_t)done == len)
		return;
	op = g_malloc(sizeof(*op) + len - (size_t)done);
	op->conn = c;
	memcpy(op->data, data + done, len - (size_t)done);
	buf = uv_buf_init(op->data, (unsigned)(len - (size_t)done));
	if (uv_write(&op->write, (uv_stream_t *)&c->tcp, &buf, 1, on_written) != 0) {
		g_free(op); /* the connection has failed; the read callback reports it */
		return;
	}
	c->pending_writes++;
	http_server_note_held(c);
}

static const char *reason_phrase(int status)
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

static void write_head(struct http_server_conn *c, int status, const struct hdr_list *headers,
		       int64_t length_bytes)
{
	GString *head = g_string_sized_new(512);

	/* a request that was read behind this one is answered too */
	c->keep = c->keep && !c->server->freed &&
		  !(c->server->draining && c->read_ahead->len == c->ahead_used);
	/* callers with many requests behind one another make way for others */
	if (c->read_ahead->len > c->ahead_used && http_server_is_busy(c->server))
		c->keep = false;
	c->bodyless = status == 204 || status == 304 || strcmp(c->request->method, "HEAD") == 0;
	c->chunked = length_bytes == HTTP_SERVER_LENGTH_UNKNOWN && c->parser.http_minor >= 1 &&
		     !c->bodyless;
	c->until_close = length_bytes < 0 && !c->chunked;
	if (c->until_close)
		c->keep = false;
	g_string_append_printf(head, "HTTP/1.1 %d %s\r\n", status, reason_phrase(status));
	if (headers)
		hdr_write(headers, head);
	if (c->chunked)
		g_string_append(head, "Transfer-Encoding: chunked\r\n");
	else if (length_bytes >= 0 && status != 204)
		g_string_append_printf(head, "Content-Length: %" G_GINT64_FORMAT "\r\n",
				       length_bytes);
	g_string_append(head, c->keep ? "\r\n" : "Connection: close\r\n\r\n");
	http_server_write_bytes(c, head->str, head->len);
	g_string_free(head, TRUE);
	c->begun = true;
}

/* Ends a complete response: parses the next pipelined request or closes the connection. */
static void complete_response(struct http_server_conn *c)
{
	http_server_set_state(c, CONN_IDLE);
	free_request(c);
	if (!c->keep) {
		http_server_set_state(c, CONN_CLOSING);
		close_write_side(c);
		http_server_resume_reading(c);
		return;
	}
	c->begun = false;
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	http_server_parse_ahead(c);
}

void http_server_begin(struct http_server_request *request, int status,
		       const struct hdr_list *headers, int64_t length_bytes)
{
	write_head(request->conn, status, headers, length_bytes);
}

void http_server_write(struct http_server_request *request, const void *data, size_t len)
{
	struct http_server_conn *c = request->conn;
	GString *chunk;

	if (len == 0 || c->bodyless)
		return;
	if (!c->chunked) {
		http_server_write_bytes(c, data, len);
		return;
	}
	chunk = g_string_sized_new(len + 16);
	g_string_append_printf(chunk, "%zx\r\n", len);
	g_string_append_len(chunk, data, (gssize)len);
	g_string_append(chunk, "\r\n");
	http_server_write_bytes(c, chunk->str, chunk->len);
	g_string_free(chunk, TRUE);
}

void http_server_finish(struct http_server_request *request)
{
	struct http_server_conn *c = request->conn;

	if (c->chunked)
		http_server_write_bytes(c, "0\r\n\r\n", 5);
	complete_response(c);
}

void http_server_respond(struct http_server_request *request, int status,
			 const struct hdr_list *headers, const void *body, size_t len)
{
	http_server_begin(request, status, headers, (int64_t)len);
	http_server_write(request, body, len);
	http_server_finish(request);
}

void http_server_abort(struct http_server_request *request)
{
	struct http_server_conn *c = request->conn;

	http_server_set_state(c, CONN_CLOSING);
	/* Reset: an orderly close would make a response without framing look complete. */
	if (!c->until_close || uv_tcp_close_reset(&c->tcp, http_server_on_conn_closed) != 0)
		uv_close((uv_handle_t *)&c->tcp, http_server_on_conn_closed);
}

size_t http_server_queued_bytes(const struct http_server_request *request)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&request->conn->tcp);
}
