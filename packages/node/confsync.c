/* Configuration synchronisation between this node, the service and other nodes. */
#include "confsync_int.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#include <string.h>

#define CONFSYNC_PERIOD_MS 1000	     /* period of digests */
#define CONFSYNC_START_PERIOD_MS 100 /* period of digests until a configuration is in force */
#define CONFSYNC_START_WAIT_MS 3000  /* after this, the service's or a peer's answer suffices */
#define CONFSYNC_START_PEERS 3	     /* peers that must have answered for an earlier start */
#define CONFSYNC_FANOUT 2	     /* recipients of each periodic digest */
#define CONFSYNC_CHANGE_FANOUT 4     /* recipients of the digest sent after a change */

struct confsync *confsync_new(struct node_server *n)
{
	struct confsync *m = g_new0(struct confsync, 1);

	pthread_mutex_init(&m->lock, NULL);
	pthread_mutex_init(&m->view_lock, NULL);
	pthread_mutex_init(&m->send_lock, NULL);
	m->cfgrev = cfgrev_new();
	m->peers_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->started_ms = clock_now_ms();
	m->prng.state = prng_os_seed();
	return m;
}

void confsync_stop(struct node_server *n)
{
	pthread_mutex_lock(&n->config->send_lock);
	n->config->stopped = true;
	pthread_mutex_unlock(&n->config->send_lock);
}

void confsync_free(struct confsync *m)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (m->views[i].text)
			g_bytes_unref(m->views[i].text);
	}
	cfgrev_free(m->cfgrev);
	g_hash_table_destroy(m->peers_seen);
	pthread_mutex_destroy(&m->lock);
	pthread_mutex_destroy(&m->view_lock);
	pthread_mutex_destroy(&m->send_lock);
	g_free(m);
}

bool confsync_is_active(struct confsync *m)
{
	bool active;

	pthread_mutex_lock(&m->lock);
	active = m->active;
	pthread_mutex_unlock(&m->lock);
	return active;
}

static void log_faults(const GPtrArray *faults)
{
	for (guint i = 0; i < faults->len; i++) {
		const struct schema_fault *fault = g_ptr_array_index(faults, i);
		log_error("config_fault", "{s:s, s:i, s:i, s:s, s:s, s:s}", "section",
			  fault->section, "line", fault->line, "column", fault->column, "key",
			  fault->key, "code", err_info(fault->code)->name, "reason", fault->reason);
	}
}

static void record_result(const struct cfgrev_result *result)
{
	counter_add(COUNTER_CONFIG_APPLIED, result->accepted);
	counter_add(COUNTER_CONFIG_REFUSED, result->refused);
	counter_add(COUNTER_CONFIG_CONFLICTS, result->conflicts);
	counter_add(COUNTER_CONFIG_STALE, result->stale);
	if (result->conflicts > 0)
		log_error("config_conflict", "{s:i}", "sections", (int)result->conflicts);
	log_faults(result->faults);
}

/* Updates the views of changed sections. Call with the lock held. */
static void refresh_views(struct confsync *m)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		const struct cfgrev_section *section = cfgrev_section(m->cfgrev, i);
		struct confsync_view *view = &m->views[i];

		if (view->revision == section->revision && view->hash == section->hash)
			continue;
		GBytes *text = g_bytes_new(section->text, section->len);
		pthread_mutex_lock(&m->view_lock);
		if (view->text)
			g_bytes_unref(view->text);
		*view = (struct confsync_view){section->revision, section->hash, text};
		pthread_mutex_unlock(&m->view_lock);
	}
}

/*
 * Puts the accepted configuration in force, if the node is active. Call with the lock held, so that
 * an older configuration can't replace a newer one.
 */
static void put_in_force(struct node_server *n)
{
	const struct core_event ev = {.type = CORE_EV_CONFIG,
				      .u.cfg = cfgrev_current(n->config->cfgrev)};

	if (n->config->active && ev.u.cfg)
		node_handle_event(n, &ev);
}

void confsync_offer(struct node_server *n, const struct cfg_section_text texts[CFG_SECTIONS],
		    enum cfgrev_source source)
{
	struct cfgrev_result result;

	pthread_mutex_lock(&n->config->lock);
	cfgrev_offer(n->config->cfgrev, texts, source, &result);
	if (result.cfg)
		put_in_force(n);
	if (result.accepted > 0)
		refresh_views(n->config);
	pthread_mutex_unlock(&n->config->lock);
	record_result(&result);
	if (result.accepted > 0)
		confsync_send_digests(n, CONFSYNC_CHANGE_FANOUT);
	cfgrev_result_clear(&result);
}

void confsync_offer_document(struct node_server *n, const char *text, size_t len)
{
	struct cfg_section_text texts[CFG_SECTIONS];
	GPtrArray *faults = schema_faults_new();

	cfg_split(text, len, texts, faults);
	log_faults(faults);
	g_ptr_array_unref(faults);
	confsync_offer(n, texts, CFGREV_SERVICE);
}

void confsync_offer_section(struct node_server *n, enum cfg_section_id id,
			    const struct cfg_section_text *text)
{
	struct cfg_section_text texts[CFG_SECTIONS] = {0};

	texts[id] = *text;
	confsync_offer(n, texts, CFGREV_SERVICE);
}

void confsync_service_answered(struct node_server *n)
{
	pthread_mutex_lock(&n->config->view_lock);
	n->config->service_answered = true;
	pthread_mutex_unlock(&n->config->view_lock);
}

bool confsync_is_behind(const struct confsync_view *view, int64_t revision, uint64_t hash)
{
	return view->revision < revision || (view->revision == revision && view->hash < hash);
}

/* True if every section is at the newest reported version. Call with view_lock held. */
static bool has_caught_up(const struct confsync *m)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (confsync_is_behind(&m->views[i], m->newest[i].revision, m->newest[i].hash))
			return false;
	}
	return true;
}

/*
 * True if a starting node may put a configuration in force: the configuration service and enough
 * peers have answered, and every section is at the newest version that peers reported. After
 * CONFSYNC_START_WAIT_MS, an answer from the service or from one peer suffices.
 */
static bool may_activate(struct confsync *m, uint32_t n_listed)
{
	uint32_t required = MIN(n_listed, CONFSYNC_START_PEERS);
	bool timed_out = clock_now_ms() - m->started_ms >= CONFSYNC_START_WAIT_MS;
	bool allowed;

	pthread_mutex_lock(&m->view_lock);
	uint32_t peers_seen = g_hash_table_size(m->peers_seen);
	allowed = (m->service_answered && peers_seen >= required && has_caught_up(m)) ||
		  (timed_out && (m->service_answered || peers_seen > 0));
	pthread_mutex_unlock(&m->view_lock);
	return allowed;
}

static void try_activate(struct node_server *n)
{
	struct confsync *m = n->config;
	GArray *nodes = confsync_listed_nodes(n);
	bool allowed = may_activate(m, nodes->len);

	g_array_unref(nodes);
	if (!allowed)
		return;
	pthread_mutex_lock(&m->lock);
	m->active = true;
	put_in_force(n);
	pthread_mutex_unlock(&m->lock);
}

/*
 * Sends digests until a configuration may be put in force. Runs on a worker, since it may wait
 * while another thread parses a section.
 */
static void run_startup(void *arg)
{
	struct node_server *n = arg;

	while (!g_atomic_int_get(&n->stopping) && !confsync_is_active(n->config)) {
		confsync_send_digests(n, CONFSYNC_CHANGE_FANOUT);
		clock_sleep_ms(CONFSYNC_START_PERIOD_MS);
		try_activate(n);
	}
}

static void send_periodic(void *arg, int64_t now_ms)
{
	confsync_send_digests(arg, CONFSYNC_FANOUT);
}

void confsync_start(struct node_server *n)
{
	workpool_submit(n->background, run_startup, n);
	timer_every(n->timers, CONFSYNC_PERIOD_MS, send_periodic, n);
}

json_t *confsync_dump(struct node_server *n)
{
	struct confsync *m = n->config;
	json_t *json = json_object();
	char hash[24];

	pthread_mutex_lock(&m->view_lock);
	for (int i = 0; i < CFG_SECTIONS; i++) {
		g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x", m->views[i].hash);
		json_object_set_new(json, cfg_section_name(i),
				    json_pack("{s:I, s:s}", "revision",
					      (json_int_t)m->views[i].revision, "hash", hash));
	}
	pthread_mutex_unlock(&m->view_lock);
	return json;
}
