/* Finds out whether this node reaches upstreams: feeds decide/reach and opens its probes. */
#include "srv_int.h"

#include "base/clock.h"
#include "base/fetch.h"
#include "base/log.h"

#include <string.h>

#define HOST_BYTES 64
#define FAILURES_LOGGED_MAX 12
#define READ_BYTES 256
/* A probe stays open a little longer than it needs to for its connection to count. */
#define PROBE_KEEP_MS (REACH_SETTLE_MS + 50)

struct srv_reach {
	struct srv *srv;
	struct reach *state;
	bool was_isolated;
	int64_t changed_ms; /* of was_isolated */
	uint64_t probes;    /* sent since then */
};

/* A connection without a request: nothing arrives at the upstream as work. */
struct probe {
	struct srv *srv;
	char *id;
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_timer_t timer;
	bool is_connected;
	uint32_t open_handles;
};

static char read_buffer[READ_BYTES];

struct srv_reach *srv_reach_new(struct srv *s)
{
	struct srv_reach *reach = g_new0(struct srv_reach, 1);

	reach->srv = s;
	reach->changed_ms = clock_now_ms();
	reach->state = reach_new(reach->changed_ms);
	return reach;
}

void srv_reach_free(struct srv_reach *reach)
{
	if (!reach)
		return;
	reach_free(reach->state);
	g_free(reach);
}

bool srv_reach_is_isolated(const struct srv *s)
{
	return s->reach->was_isolated;
}

int64_t srv_reach_age_ms(const struct srv *s, int64_t now_ms)
{
	return now_ms - s->reach->changed_ms;
}

static json_t *failures_json(const struct srv_reach *reach, int64_t now_ms)
{
	struct reach_failure failures[FAILURES_LOGGED_MAX];
	uint32_t n = reach_list_failures(reach->state, failures, G_N_ELEMENTS(failures));
	json_t *list = json_array();

	for (uint32_t i = 0; i < n; i++)
		json_array_append_new(
			list, json_pack("{s:s, s:I}", "upstream", failures[i].id, "failed_ms_ago",
					(json_int_t)(now_ms - failures[i].failed_ms)));
	return list;
}

/* Returns the number of upstreams that could be probed. */
static uint32_t count_known(const struct srv *s)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	if (reach_get_state(s->reach->state) == REACH_REACHING)
		return g_hash_table_size(s->view->upstreams);
	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += view_is_usable(s->view, value);
	return n;
}

static void update(struct srv *s, int64_t now_ms)
{
	struct srv_reach *reach = s->reach;
	uint32_t n_known = count_known(s);
	bool is_isolated = reach_update(reach->state, n_known, now_ms) == REACH_ISOLATED;

	if (is_isolated == reach->was_isolated)
		return;
	log_info(is_isolated ? "upstreams_unreachable" : "upstreams_reachable",
		 "{s:I, s:I, s:i, s:o}", "after_ms", (json_int_t)(now_ms - reach->changed_ms),
		 "probes", (json_int_t)reach->probes, "known", (int)n_known, "failed",
		 failures_json(reach, now_ms));
	reach->was_isolated = is_isolated;
	reach->changed_ms = now_ms;
	reach->probes = 0;
	if (is_isolated)
		srv_count(s, SRV_ISOLATIONS);
	gossip_set_isolated(s->fleet, is_isolated);
	srv_peer_announce(s, now_ms);
}

void srv_reach_note(struct srv *s, const char *id, enum reach_event event, int64_t now_ms)
{
	reach_note(s->reach->state, id, event, now_ms);
}

static void on_probe_closed(uv_handle_t *handle)
{
	struct probe *probe = handle->data;

	if (--probe->open_handles > 0)
		return;
	g_free(probe->id);
	g_free(probe);
}

static void close_probe(struct probe *probe)
{
	if (uv_is_closing((uv_handle_t *)&probe->tcp))
		return;
	uv_close((uv_handle_t *)&probe->tcp, on_probe_closed);
	uv_close((uv_handle_t *)&probe->timer, on_probe_closed);
}

static void fail_probe(struct probe *probe)
{
	struct srv *s = probe->srv;
	int64_t now_ms = clock_now_ms();

	srv_reach_note(s, probe->id, probe->is_connected ? REACH_RESET : REACH_FAILED, now_ms);
	close_probe(probe);
	update(s, now_ms);
}

static void on_probe_timer(uv_timer_t *timer)
{
	struct probe *probe = timer->data;

	if (probe->is_connected)
		close_probe(probe);
	else
		fail_probe(probe);
}

static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

static void on_probe_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	if (n < 0)
		fail_probe(stream->data);
}

static void on_probe_connected(uv_connect_t *connect, int status)
{
	struct probe *probe = connect->data;

	if (uv_is_closing((uv_handle_t *)&probe->tcp))
		return;
	if (status < 0) {
		fail_probe(probe);
		return;
	}
	probe->is_connected = true;
	srv_reach_note(probe->srv, probe->id, REACH_CONNECTED, clock_now_ms());
	uv_read_start((uv_stream_t *)&probe->tcp, on_alloc, on_probe_read);
	uv_timer_start(&probe->timer, on_probe_timer, PROBE_KEEP_MS, 0);
}

static void start_probe(struct srv *s, const char *id, const struct sockaddr_in *at)
{
	struct probe *probe = g_new0(struct probe, 1);
	int err;

	probe->srv = s;
	probe->id = g_strdup(id);
	probe->open_handles = 2;
	uv_tcp_init(&s->loop, &probe->tcp);
	probe->tcp.data = probe;
	uv_timer_init(&s->loop, &probe->timer);
	probe->timer.data = probe;
	probe->connect.data = probe;
	err = uv_tcp_connect(&probe->connect, &probe->tcp, (const struct sockaddr *)at,
			     on_probe_connected);
	if (err != 0) {
		/* a node without sockets learns nothing about upstreams */
		if (err == UV_ENETUNREACH || err == UV_EHOSTUNREACH)
			srv_reach_note(s, id, REACH_FAILED, clock_now_ms());
		else
			log_warn("probe_failed", "{s:s, s:s}", "upstream", id, "error",
				 uv_strerror(err));
		close_probe(probe);
		return;
	}
	uv_timer_start(&probe->timer, on_probe_timer, REACH_PROBE_TIMEOUT_MS, 0);
	srv_count(s, SRV_PROBES);
	s->reach->probes++;
}

static void send_probe(struct srv *s, const struct pub_upstream *doc)
{
	char host[HOST_BYTES];
	struct sockaddr_in at;
	uint16_t port;

	if (!fetch_split_address(doc->address, host, sizeof(host), &port) ||
	    uv_ip4_addr(host, port, &at) != 0)
		log_warn("upstream_address", "{s:s, s:s}", "upstream", doc->id, "address",
			 doc->address);
	else
		start_probe(s, doc->id, &at);
}

static void send_probes(struct srv *s, int64_t now_ms)
{
	guint n_max = g_hash_table_size(s->view->upstreams);
	struct reach_candidate *candidates = g_new0(struct reach_candidate, n_max + 1);
	const struct pub_upstream **docs = g_new0(const struct pub_upstream *, n_max + 1);
	uint32_t picked[REACH_PROBES_PER_S];
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct view_upstream *entry = value;
		if (!view_is_usable(s->view, entry))
			continue;
		docs[n] = entry->doc;
		candidates[n++] = (struct reach_candidate){entry->doc->id, entry->doc->service,
							   entry->doc->data_centre};
	}
	n = reach_pick_probes(s->reach->state, candidates, n, &s->prng, picked, now_ms);
	for (uint32_t i = 0; i < n; i++)
		send_probe(s, docs[picked[i]]);
	g_free(candidates);
	g_free(docs);
}

void srv_reach_tick(struct srv *s, int64_t now_ms)
{
	update(s, now_ms);
	if (s->stop_began_ms == 0 && reach_count_due(s->reach->state, now_ms) > 0)
		send_probes(s, now_ms);
}

json_t *srv_reach_json(const struct srv *s, int64_t now_ms)
{
	static const char *const names[] = {
		[REACH_REACHING] = "reaching",
		[REACH_SUSPECT] = "suspect",
		[REACH_ISOLATED] = "isolated",
	};
	const struct srv_reach *reach = s->reach;

	return json_pack("{s:s, s:I, s:I, s:o}", "state", names[reach_get_state(reach->state)],
			 "age_ms", (json_int_t)(now_ms - reach_since_ms(reach->state)), "probes",
			 (json_int_t)s->counters[SRV_PROBES], "failed",
			 failures_json(reach, now_ms));
}
