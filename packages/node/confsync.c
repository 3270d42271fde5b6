/* Configuration synchronisation between this node, the service and other nodes. */
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/prng.h"
#include "decide/cfgrev.h"
#include "node/node.h"

#include <string.h>

#define CONFSYNC_PERIOD_MS 1000	     /* period of digests */
#define CONFSYNC_START_PERIOD_MS 100 /* period of digests until a configuration is in force */
#define CONFSYNC_START_WAIT_MS 3000  /* after this, the service's or a peer's answer suffices */
#define CONFSYNC_START_PEERS 3	     /* peers that must have answered for an earlier start */
#define CONFSYNC_FANOUT 2	     /* recipients of each periodic digest */
#define CONFSYNC_CHANGE_FANOUT 4     /* recipients of the digest sent after a change */
#define CONFSYNC_REQUEST_INTERVAL_MS 1000 /* minimum time between requests for one section text */
#define CONFSYNC_TTL_MS 5000

/* An accepted section, as read by the peer thread. */
struct view {
	int64_t revision;
	uint64_t hash;
	GBytes *text; /* NULL for none */
};

/* The last request for a section; prevents concurrent requests for the same text. */
struct section_request {
	uint64_t hash;
	int64_t at_ms;
};

struct confsync {
	pthread_mutex_t lock; /* guards cfgrev and active; held while a section is parsed */
	struct cfgrev *cfgrev;
	pthread_mutex_t view_lock; /* innermost; guards the fields down to prng, not active */
	struct view views[CFG_SECTIONS];
	struct view newest[CFG_SECTIONS]; /* newest versions that peers reported; text is NULL */
	struct section_request requests[CFG_SECTIONS];
	GHashTable *peers_seen; /* ids of the VMs that sent a digest */
	bool service_answered;
	bool active; /* set once accepted sections may be put in force; guarded by lock */
	int64_t started_ms;
	struct prng prng;
	pthread_mutex_t send_lock; /* guards stopped; held during a send */
	bool stopped;
};

/* The recipient of a message. */
struct target {
	char vm[BB_NAME_BYTES];
	char address[BB_ADDRESS_BYTES];
};

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

static void send_message(struct node_server *n, const struct target *to, Peer__Message *message)
{
	message->ttl_ms = CONFSYNC_TTL_MS;
	pthread_mutex_lock(&n->config->send_lock);
	if (!n->config->stopped && n->peer)
		peer_send(n->peer, to->vm, to->address, message);
	pthread_mutex_unlock(&n->config->send_lock);
}

static void fill_target(struct target *to, const struct bb_node *node)
{
	g_strlcpy(to->vm, node->vm, sizeof(to->vm));
	g_strlcpy(to->address, node->peer_address, sizeof(to->address));
}

/* Returns the nodes in the VM list except this one, as an array of struct target. */
static GArray *listed_nodes(struct node_server *n)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct target));
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&n->lock);
	g_hash_table_iter_init(&iter, n->core_state->bb.nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bb_node *node = value;
		struct target to = {0};

		if (!node->in_list || strcmp(node->vm, n->set->vm) == 0)
			continue;
		fill_target(&to, node);
		g_array_append_val(list, to);
	}
	pthread_mutex_unlock(&n->lock);
	return list;
}

static bool find_node(struct node_server *n, const char *vm, struct target *to)
{
	const struct bb_node *node;

	pthread_mutex_lock(&n->lock);
	node = bb_node(&n->core_state->bb, vm);
	if (node)
		fill_target(to, node);
	pthread_mutex_unlock(&n->lock);
	return node != NULL;
}

static bool is_active(struct confsync *m)
{
	bool active;

	pthread_mutex_lock(&m->lock);
	active = m->active;
	pthread_mutex_unlock(&m->lock);
	return active;
}

static void send_digest(struct node_server *n, const struct target *to, bool reply_wanted)
{
	struct confsync *m = n->config;
	Peer__Section sections[CFG_SECTIONS];
	Peer__Section *list[CFG_SECTIONS];
	Peer__Digest digest = PEER__DIGEST__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	pthread_mutex_lock(&m->view_lock);
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (!m->views[i].text)
			continue;
		peer__section__init(&sections[i]);
		sections[i].id = (uint32_t)i;
		sections[i].revision = m->views[i].revision;
		sections[i].hash = m->views[i].hash;
		list[digest.n_sections++] = &sections[i];
	}
	pthread_mutex_unlock(&m->view_lock);
	digest.sections = list;
	digest.list_age_ms = -1;
	/* a node that is not ready is reported as draining, so that it gets no callers */
	digest.draining = g_atomic_int_get(&n->draining) != 0 || !is_active(n->config);
	digest.reply_wanted = reply_wanted;
	message.kind_case = PEER__MESSAGE__KIND_DIGEST;
	message.digest = &digest;
	send_message(n, to, &message);
}

static void send_digests(struct node_server *n, uint32_t fanout)
{
	GArray *nodes = listed_nodes(n);

	for (uint32_t i = 0; i < fanout && nodes->len > 0; i++) {
		pthread_mutex_lock(&n->config->view_lock);
		guint at = (guint)prng_below(&n->config->prng, nodes->len);
		pthread_mutex_unlock(&n->config->view_lock);
		send_digest(n, &g_array_index(nodes, struct target, at), true);
		g_array_remove_index_fast(nodes, at);
	}
	g_array_unref(nodes);
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
		struct view *view = &m->views[i];

		if (view->revision == section->revision && view->hash == section->hash)
			continue;
		GBytes *text = g_bytes_new(section->text, section->len);
		pthread_mutex_lock(&m->view_lock);
		if (view->text)
			g_bytes_unref(view->text);
		*view = (struct view){section->revision, section->hash, text};
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

static void offer(struct node_server *n, const struct cfg_section_text texts[CFG_SECTIONS],
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
		send_digests(n, CONFSYNC_CHANGE_FANOUT);
	cfgrev_result_clear(&result);
}

void confsync_offer_document(struct node_server *n, const char *text, size_t len)
{
	struct cfg_section_text texts[CFG_SECTIONS];
	GPtrArray *faults = schema_faults_new();

	cfg_split(text, len, texts, faults);
	log_faults(faults);
	g_ptr_array_unref(faults);
	offer(n, texts, CFGREV_SERVICE);
}

void confsync_offer_section(struct node_server *n, enum cfg_section_id id,
			    const struct cfg_section_text *text)
{
	struct cfg_section_text texts[CFG_SECTIONS] = {0};

	texts[id] = *text;
	offer(n, texts, CFGREV_SERVICE);
}

void confsync_service_answered(struct node_server *n)
{
	pthread_mutex_lock(&n->config->view_lock);
	n->config->service_answered = true;
	pthread_mutex_unlock(&n->config->view_lock);
}

static bool is_behind(const struct view *view, int64_t revision, uint64_t hash)
{
	return view->revision < revision || (view->revision == revision && view->hash < hash);
}

/* True if every section is at the newest reported version. Call with view_lock held. */
static bool has_caught_up(const struct confsync *m)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (is_behind(&m->views[i], m->newest[i].revision, m->newest[i].hash))
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
	GArray *nodes = listed_nodes(n);
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

	while (!g_atomic_int_get(&n->stopping) && !is_active(n->config)) {
		send_digests(n, CONFSYNC_CHANGE_FANOUT);
		clock_sleep_ms(CONFSYNC_START_PERIOD_MS);
		try_activate(n);
	}
}

static void send_periodic(void *arg, int64_t now_ms)
{
	send_digests(arg, CONFSYNC_FANOUT);
}

void confsync_start(struct node_server *n)
{
	workpool_submit(n->background, run_startup, n);
	timer_every(n->timers, CONFSYNC_PERIOD_MS, send_periodic, n);
}

static void request_section(struct node_server *n, const struct target *to, uint32_t id)
{
	Peer__SectionAsk section_request = PEER__SECTION_ASK__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	section_request.id = id;
	message.kind_case = PEER__MESSAGE__KIND_SECTION_ASK;
	message.section_ask = &section_request;
	send_message(n, to, &message);
}

/* Records a section version that a peer reported; true if it is newer than the local one. */
static bool record_section(struct confsync *m, const Peer__Section *section)
{
	bool behind;

	if (section->id >= CFG_SECTIONS)
		return false;
	struct view *newest = &m->newest[section->id];
	pthread_mutex_lock(&m->view_lock);
	behind = is_behind(&m->views[section->id], section->revision, section->hash);
	if (is_behind(newest, section->revision, section->hash))
		*newest = (struct view){section->revision, section->hash, NULL};
	pthread_mutex_unlock(&m->view_lock);
	return behind;
}

/* Records a request for the section text; false if the same text was requested recently. */
static bool begin_request(struct confsync *m, const Peer__Section *section)
{
	struct section_request *section_request = &m->requests[section->id];
	int64_t now_ms = clock_now_ms();
	bool begin;

	pthread_mutex_lock(&m->view_lock);
	begin = section_request->hash != section->hash ||
		now_ms - section_request->at_ms >= CONFSYNC_REQUEST_INTERVAL_MS;
	if (begin)
		*section_request = (struct section_request){section->hash, now_ms};
	pthread_mutex_unlock(&m->view_lock);
	return begin;
}

static void receive_digest(struct node_server *n, const struct target *from,
			   const Peer__Digest *digest)
{
	for (size_t i = 0; i < digest->n_sections; i++) {
		if (record_section(n->config, digest->sections[i]) &&
		    begin_request(n->config, digest->sections[i]))
			request_section(n, from, digest->sections[i]->id);
	}
	pthread_mutex_lock(&n->config->view_lock);
	g_hash_table_add(n->config->peers_seen, g_strdup(from->vm));
	pthread_mutex_unlock(&n->config->view_lock);
	if (digest->reply_wanted)
		send_digest(n, from, false);
}

static void send_section(struct node_server *n, const struct target *from, uint32_t id)
{
	struct confsync *m = n->config;
	Peer__Section section = PEER__SECTION__INIT;
	Peer__SectionReply reply = PEER__SECTION_REPLY__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	struct view view;
	size_t len;

	if (id >= CFG_SECTIONS)
		return;
	pthread_mutex_lock(&m->view_lock);
	view = m->views[id];
	if (view.text)
		g_bytes_ref(view.text);
	pthread_mutex_unlock(&m->view_lock);
	if (!view.text)
		return;
	section.id = id;
	section.revision = view.revision;
	section.hash = view.hash;
	section.text.data = (uint8_t *)g_bytes_get_data(view.text, &len);
	section.text.len = len;
	reply.section = &section;
	message.kind_case = PEER__MESSAGE__KIND_SECTION_REPLY;
	message.section_reply = &reply;
	send_message(n, from, &message);
	g_bytes_unref(view.text);
}

struct reply {
	struct node_server *node;
	uint32_t id;
	GBytes *text;
};

static void offer_reply(void *arg)
{
	struct reply *reply = arg;
	struct cfg_section_text texts[CFG_SECTIONS] = {0};
	struct cfg_section_text *text = &texts[reply->id];

	text->text = g_bytes_get_data(reply->text, &text->len);
	text->line = 1;
	offer(reply->node, texts, CFGREV_PEER);
	g_bytes_unref(reply->text);
	g_free(reply);
}

static void receive_reply(struct node_server *n, const Peer__Section *section)
{
	if (!section || !record_section(n->config, section) || section->text.len == 0)
		return;
	struct reply *reply = g_new0(struct reply, 1);
	*reply = (struct reply){n, section->id, g_bytes_new(section->text.data, section->text.len)};
	if (!workpool_submit(n->background, offer_reply, reply)) {
		g_bytes_unref(reply->text);
		g_free(reply);
	}
}

void confsync_receive(struct node_server *n, const Peer__Message *message)
{
	struct target from = {0};

	if (!find_node(n, message->from_vm, &from))
		return;
	if (message->kind_case == PEER__MESSAGE__KIND_DIGEST)
		receive_digest(n, &from, message->digest);
	else if (message->kind_case == PEER__MESSAGE__KIND_SECTION_ASK)
		send_section(n, &from, message->section_ask->id);
	else if (message->kind_case == PEER__MESSAGE__KIND_SECTION_REPLY)
		receive_reply(n, message->section_reply->section);
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
