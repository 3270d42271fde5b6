/* Listeners for address lookups, readiness checks, operators (status and dump) and metrics. */
#include "srv_gate.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#include <jansson.h>
#include <string.h>

#define ADDRESSES_MAX 64
#define MS_PER_S 1000.0
#define BODY_BYTES_MAX 8192
/* Head of a request that is explained; a node's own requests have heads of at most 16 KiB. */
#define EXPLAIN_BODY_BYTES_MAX 32768
/* A stopping node keeps serving for SERVE_MS (srv_stop.c), more than three times as long. */
#define TTL_MAX_MS 1000

static void answer_lookup(struct srv *s, struct http_server_request *request)
{
	const char *addresses[ADDRESSES_MAX];
	uint32_t n;
	int64_t ttl_ms =
		MIN(TTL_MAX_MS, (int64_t)(srvconf_number(s->set->lookup_ttl_s) * MS_PER_S));
	struct hdr_list headers = {0};
	struct adapter_lookup lookup;
	char *body;

	if (!s->adapter->caller->read_lookup(request->target, &lookup)) {
		http_server_respond(request, 404, NULL, "", 0);
		return;
	}
	n = gossip_list_callers(s->fleet, lookup.region,
				s->view->doc && pub_is_host_bound(s->view->doc, lookup.host),
				addresses, ADDRESSES_MAX, clock_now_ms());
	srv_count(s, SRV_LOOKUPS);
	if (n == 0) {
		http_server_respond(request, 503, NULL, "", 0);
	} else {
		body = s->adapter->caller->lookup_body(addresses, n, ttl_ms);
		hdr_add(&headers, "Content-Type", s->adapter->upstream->media_type);
		http_server_respond(request, 200, &headers, body, strlen(body));
		hdr_clear(&headers);
		free(body);
	}
	adapter_lookup_clear(&lookup);
}

static void on_lookup(void *arg, struct http_server_request *request)
{
	answer_lookup(arg, request);
}

static void on_ready(void *arg, struct http_server_request *request)
{
	struct srv *s = arg;

	if (!s->adapter->caller->is_ready_target(request->target))
		http_server_respond(request, 404, NULL, "", 0);
	else
		http_server_respond(request, s->is_ready ? 200 : 503, NULL, "", 0);
}

static void append_member(void *arg, const struct gossip_member *m)
{
	json_t *list = arg;

	json_array_append_new(
		list,
		json_pack("{s:s, s:s, s:s, s:I, s:I, s:b, s:b, s:b, s:I}", "peer",
			  m->record.peer_address, "caller", m->record.caller_address, "data_centre",
			  m->record.data_centre, "incarnation", (json_int_t)m->record.incarnation,
			  "beat", (json_int_t)m->record.beat, "ready", (int)m->record.ready,
			  "leaving", (int)m->record.leaving, "isolated", (int)m->record.isolated,
			  "heard_ms", (json_int_t)(clock_now_ms() - m->heard_ms)));
}

/* Returns the reported pace that is believed of a pool upstream; null if it reports none. */
static json_t *pace_json(const struct srv *s, const char *id, int64_t now_ms)
{
	int32_t pace_pct;
	int64_t age_ms;

	if (!chain_get_pace(s->chains, id, now_ms, &pace_pct, &age_ms))
		return json_null();
	return json_pack("{s:i, s:I}", "pace_pct", (int)pace_pct, "age_ms", (json_int_t)age_ms);
}

static json_t *upstreams_json(struct srv *s, int64_t now_ms)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct view_upstream *entry = value;
		const struct srv_upstream *u = g_hash_table_lookup(s->upstreams, entry->doc->id);
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:i, s:I, s:f, s:o, s:o}",
					"upstream", entry->doc->id, "service", entry->doc->service,
					"address", entry->doc->address, "data_centre",
					entry->doc->data_centre, "usable",
					(int)view_is_usable(s->view, entry), "cold",
					(int)view_is_cold(entry, now_ms), "in_flight",
					u ? (int)u->in_flight : 0, "blocked_ms",
					(json_int_t)(u ? MAX(u->blocked_until_ms - now_ms, 0) : 0),
					"failed", u ? srv_upstream_failure_rate(u, now_ms) : 0.0,
					"gate", srv_gate_json(s, entry->doc, true, now_ms), "pace",
					pace_json(s, entry->doc->id, now_ms)));
	}
	return list;
}

json_t *srv_pools_json(const struct srv *s)
{
	struct chain_pool_stats pools[POOLS_MAX];
	uint32_t n = chain_get_pool_stats(s->chains, pools, POOLS_MAX);
	json_t *list = json_array();

	for (uint32_t i = 0; i < n; i++)
		json_array_append_new(
			list, json_pack("{s:s, s:i, s:i, s:i, s:i, s:I}", "pool", pools[i].service,
					"upstreams", (int)pools[i].upstreams, "busy",
					(int)pools[i].busy, "waiting", (int)pools[i].waiting,
					"pending", (int)pools[i].pending, "backlog_ms",
					(json_int_t)pools[i].backlog_ms));
	return list;
}

static json_t *accounts_json(const struct srv *s, int64_t now_ms)
{
	struct chain_account_stats *accounts = g_new(struct chain_account_stats, POOL_ACCOUNTS_MAX);
	uint32_t n = chain_get_account_stats(s->chains, accounts, POOL_ACCOUNTS_MAX, now_ms);
	json_t *list = json_array();

	for (uint32_t i = 0; i < n; i++)
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:i, s:i, s:f, s:f, s:f}", "pool",
				  accounts[i].service, "account", accounts[i].account, "waiting",
				  (int)accounts[i].waiting, "running", (int)accounts[i].running,
				  "share", accounts[i].share, "lead_calls", accounts[i].lead_calls,
				  "given_elsewhere_ms", accounts[i].given_elsewhere_ms));
	g_free(accounts);
	return list;
}

static json_t *status_json(struct srv *s)
{
	int64_t now_ms = clock_now_ms();
	struct view_revision revision = srv_feed_revision(s->feed);

	return json_pack(
		"{s:s, s:b, s:b, s:I, s:I, s:I, s:I, s:i, s:i, s:s, s:o, s:i, s:i, s:o}", "vm",
		s->set->vm, "ready", (int)s->is_ready, "stopping", s->stop_began_ms > 0, "version",
		(json_int_t)(s->view->doc ? s->view->doc->version : 0), "epoch",
		(json_int_t)revision.epoch, "revision", (json_int_t)revision.number, "view_age_ms",
		(json_int_t)srv_feed_age_ms(s->feed, now_ms), "alive",
		(int)gossip_count_alive(s->fleet, now_ms), "upstreams",
		(int)g_hash_table_size(s->view->upstreams), "owner",
		srv_region_owner(s, s->set->region, NULL, now_ms)->record.peer_address, "regions",
		srv_regions_json(s, now_ms), "chains", (int)chain_count_jobs(s->chains), "requests",
		s->front ? (int)http_server_busy_connections(s->front) : 0, "reach",
		srv_reach_json(s, now_ms));
}

/* Connections opened to upstreams, and closed as a late second response may arrive there. */
static json_t *connections_json(const struct srv *s)
{
	return json_pack("{s:I, s:I, s:I, s:I}", "opened",
			 (json_int_t)s->counters[SRV_CONNECTIONS_OPENED], "closed_refusal",
			 (json_int_t)s->counters[SRV_CLOSED_REFUSAL], "closed_reason",
			 (json_int_t)s->counters[SRV_CLOSED_REASON], "closed_repeated_handle",
			 (json_int_t)s->counters[SRV_CLOSED_REPEATED]);
}

static json_t *dump_json(struct srv *s)
{
	json_t *members = json_array();

	gossip_foreach(s->fleet, append_member, members);
	return json_pack("{s:o, s:o, s:o, s:o, s:o, s:o, s:o, s:o, s:o}", "status", status_json(s),
			 "members", members, "upstreams", upstreams_json(s, clock_now_ms()),
			 "pools", srv_pools_json(s), "late_chains", srv_late_json(s), "limits",
			 srv_limits_json(s), "pool_accounts", accounts_json(s, clock_now_ms()),
			 "even_load", srv_spread_json(s, clock_now_ms()), "upstream_connections",
			 connections_json(s));
}

static void on_admin(void *arg, struct http_server_request *request)
{
	struct srv *s = arg;
	struct hdr_list headers = {0};
	json_t *root = NULL;
	char *body;

	if (strcmp(request->target, "/explain") == 0) {
		srv_explain(s, request);
		return;
	}
	if (strcmp(request->target, "/status") == 0)
		root = status_json(s);
	else if (strcmp(request->target, "/dump") == 0)
		root = dump_json(s);
	if (!root) {
		http_server_respond(request, 404, NULL, "", 0);
		return;
	}
	body = json_dumps(root, JSON_INDENT(2));
	hdr_add(&headers, "Content-Type", "application/json");
	http_server_respond(request, 200, &headers, body, strlen(body));
	hdr_clear(&headers);
	free(body);
	json_decref(root);
}

static void write_histogram(GString *out, const char *name, const struct srv_histogram *h)
{
	uint64_t sum = 0;

	g_string_append_printf(out, "# TYPE currantscale_%s_ms histogram\n", name);
	for (int i = 0; i < SRV_BUCKETS; i++) {
		sum += h->buckets[i];
		g_string_append_printf(
			out, "currantscale_%s_ms_bucket{le=\"%d\"} %" G_GUINT64_FORMAT "\n", name,
			1 << i, sum);
	}
	g_string_append_printf(out,
			       "currantscale_%s_ms_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
			       "currantscale_%s_ms_sum %.0f\n"
			       "currantscale_%s_ms_count %" G_GUINT64_FORMAT "\n",
			       name, h->count, name, h->sum_ms, name, h->count);
}

static void copy_chain_counters(struct srv *s)
{
	struct chain_counters counters;

	chain_get_counters(s->chains, &counters);
	s->counters[SRV_SHARED_ROUNDS] = counters.shared_rounds;
	s->counters[SRV_ROOM_WAITS] = counters.room_waits;
	s->counters[SRV_STAGES_HELD] = counters.held_stages;
	s->counters[SRV_OWNER_SUMS] = counters.owner_sums;
}

static void on_metrics(void *arg, struct http_server_request *request)
{
	static const struct {
		const char *name;
		const char *help;
	} names[] = {
#define NAME(id, name, help) {name, help},
		SRV_COUNTERS(NAME)
#undef NAME
	};
	struct srv *s = arg;
	struct hdr_list headers = {0};
	GString *out = g_string_new(NULL);

	copy_chain_counters(s);
	for (int i = 0; i < SRV_COUNTERS_N; i++)
		g_string_append_printf(out,
				       "# HELP currantscale_%s %s\n# TYPE currantscale_%s counter\n"
				       "currantscale_%s %" G_GUINT64_FORMAT "\n",
				       names[i].name, names[i].help, names[i].name, names[i].name,
				       s->counters[i]);
	write_histogram(out, "first_byte", &s->first_byte);
	write_histogram(out, "chain", &s->chain_time);
	write_histogram(out, "chain_ack", &s->chain_ack);
	write_histogram(out, "loop_lag", &s->loop_lag);
	srv_late_write(s, out);
	srv_traffic_write(&s->traffic, out);
	counter_write_text(out);
	hdr_add(&headers, "Content-Type", "text/plain; version=0.0.4");
	http_server_respond(request, 200, &headers, out->str, out->len);
	hdr_clear(&headers);
	g_string_free(out, TRUE);
}

static void on_disconnect(void *arg, struct http_server_request *request)
{
}

bool srv_endpoints_start(struct srv *s, GError **error)
{
	/* the few clients send short requests, without bodies except to explain requests */
	struct http_server_limits limits = {
		.max_header_bytes = 8192,
		.header_timeout_ms = 3000,
		.idle_timeout_ms = 20000,
	};
	const struct {
		struct http_server **listener;
		const char *address;
		void (*on_request)(void *arg, struct http_server_request *request);
		int64_t max_body_bytes;
	} listeners[] = {
		{&s->ready, s->set->ready_address, on_ready, BODY_BYTES_MAX},
		{&s->lookup, s->set->lookup_address, on_lookup, BODY_BYTES_MAX},
		{&s->admin, s->set->admin_address, on_admin, EXPLAIN_BODY_BYTES_MAX},
		{&s->metrics, s->set->metrics_address, on_metrics, BODY_BYTES_MAX},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(listeners); i++) {
		const struct http_server_handler handler = {
			.on_request = listeners[i].on_request,
			.on_disconnect = on_disconnect,
			.on_refused = srv_limits_note_refusal,
			.arg = s,
		};
		if (!listeners[i].address)
			continue;
		limits.max_body_bytes = listeners[i].max_body_bytes;
		*listeners[i].listener =
			http_server_new(&s->loop, listeners[i].address, &handler, &limits, error);
		if (!*listeners[i].listener)
			return false;
	}
	return true;
}

void srv_endpoints_stop(struct srv *s)
{
	http_server_free(s->ready);
	http_server_free(s->lookup);
	http_server_free(s->admin);
	http_server_free(s->metrics);
}
