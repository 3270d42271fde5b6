/* What the connections of the servers hold, and whom to refuse when it is too much. */
#include "http_server_internal.h"

#include "base/mhd.h"

/* What the kernel holds of an answer that the caller doesn't take, as it begins to queue here. */
#define HTTP_SERVER_SEND_BYTES (128 * 1024)
/* A connection without a request: its structure, parser, strings and socket. */
#define HTTP_SERVER_CONN_BYTES 2048

struct http_budget *http_budget_new(int64_t max_bytes)
{
	struct http_budget *b = g_new0(struct http_budget, 1);

	b->max_bytes = max_bytes;
	g_queue_init(&b->reading);
	return b;
}

void http_budget_free(struct http_budget *b)
{
	g_free(b);
}

void http_budget_set_max(struct http_budget *b, int64_t max_bytes)
{
	b->max_bytes = max_bytes;
}

int64_t http_budget_used_bytes(const struct http_budget *b)
{
	return b->used_bytes;
}

/* Bytes that a GByteArray of this length has allocated: it grows to powers of two. */
static int64_t allocated_bytes(size_t len)
{
	size_t room = 1;

	if (len == 0)
		return 0;
	while (room < len)
		room *= 2;
	return (int64_t)room;
}

static int64_t count_held(const struct http_server_conn *c)
{
	int64_t held = HTTP_SERVER_CONN_BYTES + allocated_bytes(c->read_ahead->len);

	held += (int64_t)(c->field->allocated_len + c->value->allocated_len +
			  c->target->allocated_len);
	if (c->pending_writes > 0)
		held += HTTP_SERVER_SEND_BYTES;
	held += c->request || c->is_wide ? MHD_RECEIVE_BYTES : MHD_WAITING_BYTES;
	if (!c->request)
		return held;
	held += c->head_held_bytes;
	if (c->state == CONN_BUSY) /* it is copied once for each upstream that it is sent to */
		return held + 2 * (int64_t)c->request->body->len;
	return held + (int64_t)c->body.held_bytes;
}

void http_server_note_held(struct http_server_conn *c)
{
	struct http_budget *b = c->server->budget;
	int64_t held = count_held(c);

	if (b)
		b->used_bytes += held - c->held_bytes;
	c->held_bytes = held;
}

void http_server_note_freed(struct http_server_conn *c)
{
	if (c->server->budget)
		c->server->budget->used_bytes -= c->held_bytes;
	c->held_bytes = 0;
}

void http_server_note_request(struct http_server_conn *c, bool is_reading)
{
	struct http_budget *b = c->server->budget;

	if (!b || is_reading == c->in_reading)
		return;
	c->in_reading = is_reading;
	c->reading_link.data = c;
	if (is_reading)
		g_queue_push_tail_link(&b->reading, &c->reading_link);
	else
		g_queue_unlink(&b->reading, &c->reading_link);
}

/* Whether nothing else is held than what this connection holds and idle ones do. */
static bool is_alone(const struct http_server_conn *c)
{
	const struct http_server *s = c->server;
	int64_t others = s->budget->used_bytes - c->held_bytes;

	return others <= s->budget->max_bytes / 2 && s->n_busy <= (c->state == CONN_BUSY) &&
	       s->budget->reading.length <= c->in_reading;
}

bool http_server_fits(struct http_server_conn *c, int64_t more_bytes)
{
	struct http_budget *b = c->server->budget;

	http_server_note_held(c);
	if (!b)
		return true;
	while (b->used_bytes + more_bytes > b->max_bytes) {
		struct http_server_conn *oldest = g_queue_peek_head(&b->reading);
		if (!oldest || oldest == c)
			return is_alone(c);
		http_server_refuse(oldest, HTTP_SERVER_REFUSED_BUDGET, 503);
	}
	return true;
}
