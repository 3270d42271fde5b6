/* A serving node: startup, timers, readiness and settings reload. */
#include "srv_gate.h"
#include "srv_poison.h"
#include "srv_quarantine.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>
#include <sys/stat.h>

/* A starting node waits at most this long for its peers: six gossip rounds to all seeds. */
#define JOIN_WAIT_MS 600
/* Live members, including this node, that end the wait early. */
#define JOINED_MEMBERS_MIN 3
/*
 * A node that has just started owns and chooses no owner while it still hears of new members: the
 * nodes of a fleet that starts as a whole would each choose another one, and all of them would call
 * the same upstreams. It waits for JOIN_QUIET_MS, three gossip rounds, without a new member, but
 * for JOIN_MAX_MS at most.
 */
#define JOIN_QUIET_MS 300
#define JOIN_MAX_MS 1200
/* A longer pause between two ticks means that the process was suspended. */
#define CLOCK_GAP_MS 1000
#define MS_PER_S 1000.0
#define MILLIS_PER_CORE 1000.0
#define SETTINGS_CHECK_TICKS 10

bool srv_rate_take(struct srv_rate *rate, uint32_t per_s, int64_t now_ms)
{
	if (now_ms - rate->since_ms >= CLOCK_MS_PER_S)
		*rate = (struct srv_rate){.since_ms = now_ms};
	return rate->n++ < per_s;
}

char *srv_hex_ids(const uint64_t *ids, uint32_t n)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < n; i++)
		g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x", i > 0 ? "," : "", ids[i]);
	return g_string_free(text, FALSE);
}

void srv_histogram_observe(struct srv_histogram *h, int64_t ms)
{
	int i = 0;

	while (i < SRV_BUCKETS - 1 && ms > (1 << i))
		i++;
	if (ms <= (1 << i))
		h->buckets[i]++;
	h->count++;
	h->sum_ms += (double)ms;
}

static bool start_caller_listener(struct srv *s, GError **error);

/* Called once the node is ready: callers try another node sooner if connections are refused. */
static void open_caller_listener(struct srv *s)
{
	GError *error = NULL;

	if (start_caller_listener(s, &error)) {
		s->is_front_open = true;
		return;
	}
	log_error("listen_failed", "{s:s}", "error", error->message);
	g_error_free(error);
}

bool srv_is_joining(const struct srv *s, int64_t now_ms)
{
	if (now_ms - s->started_ms >= JOIN_MAX_MS)
		return false;
	return gossip_count_alive(s->fleet, now_ms) < JOINED_MEMBERS_MIN ||
	       now_ms - gossip_last_joined_ms(s->fleet) < JOIN_QUIET_MS;
}

static void update_ready(struct srv *s, int64_t now_ms)
{
	bool ready = s->view->doc && s->view->complete && s->stop_began_ms == 0 &&
		     (now_ms - s->started_ms >= JOIN_WAIT_MS ||
		      gossip_count_alive(s->fleet, now_ms) >= JOINED_MEMBERS_MIN);

	if (ready != s->is_ready)
		log_info(ready ? "ready" : "not_ready", "{s:I, s:i, s:i}", "version",
			 (json_int_t)(s->view->doc ? s->view->doc->version : 0), "upstreams",
			 (int)g_hash_table_size(s->view->upstreams), "alive",
			 (int)gossip_count_alive(s->fleet, now_ms));
	s->is_ready = ready;
	if (ready && !s->is_front_open)
		open_caller_listener(s);
	gossip_set_self(s->fleet, ready, s->stop_began_ms > 0);
}

/* Applies the changed settings file. A change of the node's own addresses needs a restart. */
static void reload(struct srv *s, const char *cause)
{
	GError *error = NULL;
	struct srvconf *set = srvconf_load(s->settings_path, &error);

	if (!set) {
		log_error("settings_refused", "{s:s, s:s}", "cause", cause, "error",
			  error->message);
		g_error_free(error);
		return;
	}
	if (strcmp(set->caller_address, s->set->caller_address) != 0 ||
	    strcmp(set->peer_address, s->set->peer_address) != 0 ||
	    strcmp(set->source_address, s->set->source_address) != 0)
		log_warn("settings_need_restart", "{s:s}", "cause", cause);
	/* keep the peer and source addresses of the start: other code compares and logs them */
	g_free(set->peer_address);
	set->peer_address = g_strdup(s->set->peer_address);
	g_free(set->source_address);
	set->source_address = g_strdup(s->set->source_address);
	srvconf_free(s->set);
	s->set = set;
	srv_regions_configure(s->regions, set);
	chain_set_policies(s->chains, set->policies_off);
	srv_limits_apply(s);
	log_info("settings_read", "{s:s, s:i}", "cause", cause, "seeds", (int)set->n_seeds);
}

static int64_t file_mtime_ms(const char *path)
{
	struct stat st;

	if (stat(path, &st) != 0)
		return 0;
	return (int64_t)st.st_mtim.tv_sec * CLOCK_MS_PER_S + st.st_mtim.tv_nsec / CLOCK_NS_PER_MS;
}

static void check_settings_file(struct srv *s)
{
	int64_t mtime = file_mtime_ms(s->settings_path);

	if (mtime == s->settings_mtime_ms)
		return;
	s->settings_mtime_ms = mtime;
	reload(s, "settings file changed");
}

static void on_tick(uv_timer_t *timer)
{
	static uint32_t ticks;
	struct srv *s = timer->data;
	int64_t now_ms = clock_now_ms();
	int64_t gap_ms = now_ms - s->last_tick_ms;

	if (gap_ms > CLOCK_GAP_MS) {
		log_warn("clock_gap", "{s:I}", "gap_ms", (json_int_t)gap_ms);
		gossip_skip_gap(s->fleet, gap_ms);
	}
	srv_load_note_tick(s, MAX(gap_ms - SRV_TICK_MS, 0), now_ms);
	srv_origin_note_tick(s, now_ms);
	s->last_tick_ms = now_ms;
	srv_feed_tick(s->feed, now_ms);
	srv_snapshot_tick(s, now_ms);
	if (view_expire(s->view, now_ms)) {
		log_info("upstreams_lapsed", NULL);
		srv_chain_view_changed(s);
	}
	srv_reach_tick(s, now_ms);
	srv_regions_update(s, now_ms);
	srv_region_send_load(s, now_ms);
	srv_origin_tick(s, now_ms);
	srv_chain_tick(s, now_ms);
	srv_quarantine_tick(s, now_ms);
	srv_poison_tick(s, now_ms);
	srv_gate_tick(s, now_ms);
	update_ready(s, now_ms);
	srv_stop_tick(s, now_ms);
	if (++ticks % SETTINGS_CHECK_TICKS != 0)
		return;
	check_settings_file(s);
	srv_limits_update(s);
	srv_upstream_sweep(s, now_ms);
	srv_relays_tick(s->relays, now_ms);
	if (s->front)
		http_server_enforce_timeouts(s->front, now_ms);
	http_server_enforce_timeouts(s->ready, now_ms);
	http_server_enforce_timeouts(s->lookup, now_ms);
	http_server_enforce_timeouts(s->admin, now_ms);
	if (s->metrics)
		http_server_enforce_timeouts(s->metrics, now_ms);
}

static void on_stop_signal(uv_signal_t *signal, int number)
{
	struct srv *s = signal->data;

	srv_stop_begin(s, number, clock_now_ms());
	update_ready(s, s->stop_began_ms);
	srv_origin_hand_over(s, s->stop_began_ms);
}

static void on_reload_signal(uv_signal_t *signal, int number)
{
	struct srv *s = signal->data;

	s->settings_mtime_ms = file_mtime_ms(s->settings_path);
	reload(s, "signal");
}

static void start_signal(struct srv *s, uv_signal_t *signal, int number, uv_signal_cb fn)
{
	uv_signal_init(&s->loop, signal);
	signal->data = s;
	uv_signal_start(signal, fn, number);
}

static void start_timers(struct srv *s)
{
	uv_timer_init(&s->loop, &s->tick);
	s->tick.data = s;
	uv_timer_start(&s->tick, on_tick, 0, SRV_TICK_MS);
	uv_timer_init(&s->loop, &s->chain_timer);
	s->chain_timer.data = s;
	uv_timer_init(&s->loop, &s->unsent_timer);
	s->unsent_timer.data = s;
	start_signal(s, &s->on_term, SIGTERM, on_stop_signal);
	start_signal(s, &s->on_int, SIGINT, on_stop_signal);
	start_signal(s, &s->on_hup, SIGHUP, on_reload_signal);
}

static void fill_self(const struct srv *s, struct gossip_record *self)
{
	g_strlcpy(self->peer_address, s->set->peer_address, sizeof(self->peer_address));
	g_strlcpy(self->caller_address, s->set->caller_address, sizeof(self->caller_address));
	g_strlcpy(self->data_centre, s->set->data_centre, sizeof(self->data_centre));
	g_strlcpy(self->region, s->set->region, sizeof(self->region));
	self->incarnation = (uint64_t)clock_wall_ms();
	self->reads_beats = true;
	self->cpu_millis = (uint32_t)(srvconf_number(s->set->cpu_share) * MILLIS_PER_CORE);
}

static bool start_caller_listener(struct srv *s, GError **error)
{
	const struct http_server_handler handler = {
		.on_request = srv_req_begin,
		.on_disconnect = srv_req_disconnected,
		.on_write_drained = srv_req_drained,
		.on_refused = srv_limits_note_refusal,
		.arg = s,
	};
	/* defaults until a configuration is received */
	const struct http_server_limits limits = {
		.max_header_bytes = 16384,
		.max_body_bytes = 4 * 1024 * 1024,
		.header_timeout_ms = 3000,
		.idle_timeout_ms = 15000,
	};

	s->front = http_server_new(&s->loop, s->set->caller_address, &handler, &limits, error);
	if (!s->front)
		return false;
	srv_limits_apply(s);
	return true;
}

struct srv *srv_new(struct srvconf *set, const char *path, const struct adapter_ops *adapter,
		    GError **error)
{
	struct srv *s = g_new0(struct srv, 1);
	struct gossip_record self = {0};

	s->set = set;
	s->settings_path = g_strdup(path);
	s->settings_mtime_ms = file_mtime_ms(path);
	s->adapter = adapter;
	s->prng.state = prng_os_seed();
	s->next_chain = prng_os_seed() & ~0xffffffULL;
	s->started_ms = clock_now_ms();
	s->load.logged_ms = s->started_ms;
	s->last_tick_ms = s->started_ms;
	uv_loop_init(&s->loop);
	fill_self(s, &self);
	s->fleet = gossip_new(&self, s->started_ms);
	s->reach = srv_reach_new(s);
	s->view = view_new((int64_t)srvconf_number(s->set->heartbeat_ms));
	s->regions = srv_regions_new();
	srv_regions_configure(s->regions, set);
	s->quarantine = quarantine_new();
	s->poison = poison_new();
	s->poison_probes = srv_poison_probes_new();
	s->gate = srv_gate_new(s);
	g_queue_init(&s->permit_waiters);
	s->returns = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->chains = chain_sched_new();
	s->spread = spread_new();
	chain_set_policies(s->chains, set->policies_off);
	s->origins = stream_origin_new();
	g_queue_init(&s->check_waiters);
	s->resumptions = g_hash_table_new(NULL, NULL);
	s->upstreams = g_hash_table_new(g_str_hash, g_str_equal);
	s->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->relays = srv_relays_new();
	s->chain_requests = srv_chain_requests_new();
	g_queue_init(&s->requests);
	s->stop_by_ms = INT64_MAX;
	start_timers(s);
	s->feed = srv_feed_new(s);
	if (!srv_peer_start(s, self.incarnation, error) || !srv_endpoints_start(s, error)) {
		srv_free(s);
		return NULL;
	}
	srv_limits_apply(s);
	log_info("started", "{s:s, s:s, s:s, s:s, s:s, s:i, s:b}", "version", CS_VERSION, "vm",
		 set->vm, "data_centre", set->data_centre, "caller", set->caller_address, "peer",
		 set->peer_address, "seeds", (int)set->n_seeds, "first_start",
		 (int)set->first_start);
	return s;
}

void srv_run(struct srv *s)
{
	while (!s->stopped)
		uv_run(&s->loop, UV_RUN_DEFAULT);
	log_info("stopped", "{s:I, s:I}", "requests", (json_int_t)s->counters[SRV_REQUESTS],
		 "served", (json_int_t)s->counters[SRV_SERVED]);
}

static void close_handle(uv_handle_t *handle, void *arg)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/*
 * The loop runs so that handles are closed in its callbacks. The memory of requests and calls that
 * are still active is not freed: the process exits next.
 */
void srv_free(struct srv *s)
{
	if (!s)
		return;
	http_server_free(s->front);
	srv_endpoints_stop(s);
	srv_peer_stop(s);
	srv_feed_free(s->feed);
	srv_relays_free(s->relays);
	uv_run(&s->loop, UV_RUN_NOWAIT);
	uv_walk(&s->loop, close_handle, NULL);
	uv_run(&s->loop, UV_RUN_NOWAIT);
	g_hash_table_destroy(s->chain_requests);
	g_hash_table_destroy(s->budgets);
	stream_origin_free(s->origins);
	g_hash_table_destroy(s->resumptions);
	chain_sched_free(s->chains);
	spread_free(s->spread);
	quarantine_free(s->quarantine);
	g_hash_table_destroy(s->poison_probes);
	poison_free(s->poison);
	gate_free(s->gate);
	g_hash_table_destroy(s->returns);
	g_ptr_array_unref(s->regions);
	view_free(s->view);
	gossip_free(s->fleet);
	srv_reach_free(s->reach);
	http_budget_free(s->budget);
	srvconf_free(s->set);
	g_free(s->settings_path);
	g_free(s);
}
