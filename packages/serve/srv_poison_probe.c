/*
 * Tells upstreams that have ended from those that broke a connection: the end of a run counts once
 * a new connection to its upstream is refused.
 */
#include "srv_poison.h"

#include "base/clock.h"
#include "base/fetch.h"
#include "base/log.h"

#include <arpa/inet.h>

/* An upstream that takes longer may be silent, which is no evidence. */
#define CONNECT_TIMEOUT_MS 700
#define HOST_BYTES_MAX 64
#define HANDLES 2 /* of a probe: its connection and its timer */

struct poison_probe {
	struct srv *s;
	uint64_t upstream; /* key in srv.poison_probes */
	char *id;
	GArray *ends; /* struct poison_end; all of this upstream */
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_timer_t timer;
	uint32_t n_open; /* handles */
	bool is_decided;
	bool is_refused;
};

static void free_probe(gpointer data)
{
	struct poison_probe *probe = data;

	g_array_unref(probe->ends);
	g_free(probe->id);
	g_free(probe);
}

GHashTable *srv_poison_probes_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_probe);
}

static void on_closed(uv_handle_t *handle)
{
	struct poison_probe *probe = handle->data;

	if (--probe->n_open == 0)
		g_hash_table_remove(probe->s->poison_probes, &probe->upstream);
}

static void count_end(struct srv *s, const struct poison_end *end)
{
	int64_t now_ms = clock_now_ms();

	if (poison_merge_end(s->poison, end, now_ms))
		srv_poison_tell_end(s, end, now_ms);
	srv_poison_log_changes(s, now_ms);
}

static void decide(struct poison_probe *probe, bool is_refused)
{
	if (probe->is_decided)
		return;
	probe->is_decided = true;
	probe->is_refused = is_refused;
	log_info(is_refused ? "upstream_ended" : "upstream_not_ended", "{s:s, s:i}", "upstream",
		 probe->id, "runs", (int)probe->ends->len);
	for (guint i = 0; is_refused && i < probe->ends->len; i++)
		count_end(probe->s, &g_array_index(probe->ends, struct poison_end, i));
	uv_close((uv_handle_t *)&probe->tcp, on_closed);
	uv_close((uv_handle_t *)&probe->timer, on_closed);
}

static void on_connected(uv_connect_t *connect, int status)
{
	/* its handle is being closed: it was decided, or the node exits */
	if (status != UV_ECANCELED)
		decide(connect->data, status == UV_ECONNREFUSED);
}

static void on_timeout(uv_timer_t *timer)
{
	decide(timer->data, false);
}

static bool read_address(const char *address, struct sockaddr_in *at)
{
	char host[HOST_BYTES_MAX];
	uint16_t port;

	*at = (struct sockaddr_in){.sin_family = AF_INET};
	if (!fetch_split_address(address, host, sizeof(host), &port))
		return false;
	at->sin_port = htons(port);
	return inet_pton(AF_INET, host, &at->sin_addr) == 1;
}

static void start_probe(struct poison_probe *probe, const struct sockaddr_in *at)
{
	struct srv *s = probe->s;
	int err;

	srv_count(s, SRV_PROBES);
	uv_tcp_init(&s->loop, &probe->tcp);
	uv_timer_init(&s->loop, &probe->timer);
	probe->tcp.data = probe;
	probe->timer.data = probe;
	probe->connect.data = probe;
	probe->n_open = HANDLES;
	uv_timer_start(&probe->timer, on_timeout, CONNECT_TIMEOUT_MS, 0);
	err = uv_tcp_connect(&probe->connect, &probe->tcp, (const struct sockaddr *)at,
			     on_connected);
	if (err != 0)
		decide(probe, err == UV_ECONNREFUSED);
}

void srv_poison_confirm(struct srv *s, const struct srv_upstream *u, const struct poison_end *end)
{
	struct poison_probe *probe = g_hash_table_lookup(s->poison_probes, &end->upstream);
	struct sockaddr_in at;

	if (probe && probe->is_decided) {
		if (probe->is_refused)
			count_end(s, end);
		return;
	}
	if (probe) {
		g_array_append_val(probe->ends, *end);
		return;
	}
	if (!read_address(u->address, &at)) {
		log_warn("upstream_address", "{s:s, s:s}", "upstream", u->id, "address",
			 u->address);
		return;
	}
	probe = g_new0(struct poison_probe, 1);
	probe->s = s;
	probe->upstream = end->upstream;
	probe->id = g_strdup(u->id);
	probe->ends = g_array_new(FALSE, FALSE, sizeof(struct poison_end));
	g_array_append_val(probe->ends, *end);
	g_hash_table_insert(s->poison_probes, &probe->upstream, probe);
	start_probe(probe, &at);
}
