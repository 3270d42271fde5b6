/* Bound on the open connections of a server. */
#include "http_server_internal.h"

/* One connection in so many is kept for requests that are yet to arrive. */
#define HTTP_SERVER_SPARE_SHARE 8
#define HTTP_SERVER_SPARE_MIN 2

enum eviction {
	EVICT_UNUSED,  /* never sent a complete request */
	EVICT_IDLE,    /* has been answered */
	EVICT_READING, /* has been answered and sends a further request */
	EVICT_NEVER,
};

static enum eviction eviction_of(const struct http_server_conn *c)
{
	if (c->state == CONN_BUSY || c->pending_writes > 0)
		return EVICT_NEVER;
	if (!c->is_complete)
		return EVICT_UNUSED;
	return c->state == CONN_READING ? EVICT_READING : EVICT_IDLE;
}

/* Whether a is to be closed before b. */
static bool goes_first(const struct http_server_conn *a, const struct http_server_conn *b)
{
	enum eviction of_a = eviction_of(a);
	enum eviction of_b = eviction_of(b);

	if (of_a != of_b)
		return of_a < of_b;
	return of_a == EVICT_UNUSED ? a->number < b->number : a->since_ms < b->since_ms;
}

void http_server_evict(struct http_server *s)
{
	struct http_server_conn *victim = NULL;
	uint32_t n_open = 0;

	if (s->max_conns == 0 || s->n_conns <= s->max_conns)
		return;
	for (struct http_server_conn *c = s->conns; c; c = c->next) {
		if (uv_is_closing((const uv_handle_t *)&c->tcp))
			continue;
		n_open++;
		if (!victim || goes_first(c, victim))
			victim = c;
	}
	if (n_open <= s->max_conns)
		return;
	/* all others are answering: the newest has not sent a request yet */
	if (eviction_of(victim) == EVICT_NEVER)
		victim = s->conns;
	http_server_refuse(victim, HTTP_SERVER_REFUSED_CONNECTIONS, 0);
}

bool http_server_is_crowded(const struct http_server *s)
{
	uint32_t spare = MAX(s->max_conns / HTTP_SERVER_SPARE_SHARE, HTTP_SERVER_SPARE_MIN);

	return s->max_conns > 0 && s->n_busy + spare >= s->max_conns;
}

bool http_server_is_busy(const struct http_server *s)
{
	return s->max_conns > 0 && s->n_busy >= s->max_conns / 2;
}
