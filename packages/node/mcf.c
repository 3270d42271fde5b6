#include "base/clk.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/rnd.h"
#include "decide/cfr.h"
#include "node/nod.h"

#include <string.h>

#define MCF_PERIOD_MS 1000	/* between digests */
#define MCF_START_PERIOD_MS 100 /* until the first configuration is in force */
#define MCF_START_WAIT_MS 3000	/* for the service or for peers that don't answer */
#define MCF_START_PEERS 3	/* heard before a start does without the wait */
#define MCF_FANOUT 2		/* nodes that get each digest */
#define MCF_NEWS_FANOUT 4	/* nodes that get a digest at once after a change */
#define MCF_ASK_AGAIN_MS 1000	/* for the same content */
#define MCF_TTL_MS 5000

/* A section in force, as the peer thread reads it. */
struct view {
	int64_t revision;
	uint64_t hash;
	GBytes *text; /* NULL: none */
};

/* The last question for a section, so that its text does not come from several nodes at once. */
struct ask {
	uint64_t hash;
	int64_t at_ms;
};

struct mcf {
	pthread_mutex_t lock; /* guards cfr; outside of nod.lock; held while a section is parsed */
	struct cfr *cfr;
	pthread_mutex_t view_lock; /* guards all below; nothing is taken within */
	struct view views[CFG_SECTIONS];
	struct view known[CFG_SECTIONS]; /* highest that a peer told of; no text */
	struct ask asks[CFG_SECTIONS];
	GHashTable *heard; /* set of VM ids whose digest came */
	bool service_answered;
	bool open; /* what is accepted goes in force */
	int64_t started_ms;
	struct rnd rnd;
	pthread_mutex_t send_lock; /* guards stopped; held during a send */
	bool stopped;
};

/* A node to send to. */
struct target {
	char vm[BB_NAME_BYTES];
	char address[BB_ADDRESS_BYTES];
};

struct mcf *mcf_new(struct nod *n)
{
	struct mcf *m = g_new0(struct mcf, 1);

	pthread_mutex_init(&m->lock, NULL);
	pthread_mutex_init(&m->view_lock, NULL);
	pthread_mutex_init(&m->send_lock, NULL);
	m->cfr = cfr_new();
	m->heard = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->started_ms = clk_now_ms();
	m->rnd.state = rnd_os_seed();
	return m;
}

void mcf_stop(struct nod *n)
{
	pthread_mutex_lock(&n->config->send_lock);
	n->config->stopped = true;
	pthread_mutex_unlock(&n->config->send_lock);
}

void mcf_free(struct mcf *m)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (m->views[i].text)
			g_bytes_unref(m->views[i].text);
	}
	cfr_free(m->cfr);
	g_hash_table_destroy(m->heard);
	pthread_mutex_destroy(&m->lock);
	pthread_mutex_destroy(&m->view_lock);
	pthread_mutex_destroy(&m->send_lock);
	g_free(m);
}

static void send_message(struct nod *n, const struct target *to, Peer__Message *message)
{
	message->ttl_ms = MCF_TTL_MS;
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

/* Listed nodes but this one, as an array of struct target. */
static GArray *listed_nodes(struct nod *n)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct target));
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&n->lock);
	g_hash_table_iter_init(&iter, n->dec->bb.nodes);
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

static bool find_node(struct nod *n, const char *vm, struct target *to)
{
	const struct bb_node *node;

	pthread_mutex_lock(&n->lock);
	node = bb_node(&n->dec->bb, vm);
	if (node)
		fill_target(to, node);
	pthread_mutex_unlock(&n->lock);
	return node != NULL;
}

static bool is_open(struct mcf *m)
{
	bool open;

	pthread_mutex_lock(&m->lock);
	open = m->open;
	pthread_mutex_unlock(&m->lock);
	return open;
}

static void send_digest(struct nod *n, const struct target *to, bool reply_wanted)
{
	struct mcf *m = n->config;
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
	/* a node that is not ready yet takes no callers either */
	digest.draining = g_atomic_int_get(&n->draining) != 0 || !is_open(n->config);
	digest.reply_wanted = reply_wanted;
	message.kind_case = PEER__MESSAGE__KIND_DIGEST;
	message.digest = &digest;
	send_message(n, to, &message);
}

static void send_digests(struct nod *n, uint32_t fanout)
{
	GArray *nodes = listed_nodes(n);

	for (uint32_t i = 0; i < fanout && nodes->len > 0; i++) {
		pthread_mutex_lock(&n->config->view_lock);
		guint at = (guint)rnd_below(&n->config->rnd, nodes->len);
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

static void count(const struct cfr_result *result)
{
	ctr_add(CTR_CONFIG_APPLIED, result->accepted);
	ctr_add(CTR_CONFIG_REFUSED, result->refused);
	ctr_add(CTR_CONFIG_CONFLICTS, result->conflicts);
	ctr_add(CTR_CONFIG_STALE, result->stale);
	if (result->conflicts > 0)
		log_error("config_conflict", "{s:i}", "sections", (int)result->conflicts);
	log_faults(result->faults);
}

/* With the lock held. */
static void refresh_views(struct mcf *m)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		const struct cfr_section *section = cfr_section(m->cfr, i);
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

/* With the lock held, so that no older configuration follows a newer one. */
static void put_in_force(struct nod *n)
{
	const struct dec_event ev = {.type = DEC_EV_CONFIG, .u.cfg = cfr_cfg(n->config->cfr)};

	if (n->config->open && ev.u.cfg)
		nod_event(n, &ev);
}

static void offer(struct nod *n, const struct cfg_section_text texts[CFG_SECTIONS],
		  enum cfr_source source)
{
	struct cfr_result result;

	pthread_mutex_lock(&n->config->lock);
	cfr_offer(n->config->cfr, texts, source, &result);
	if (result.cfg)
		put_in_force(n);
	if (result.accepted > 0)
		refresh_views(n->config);
	pthread_mutex_unlock(&n->config->lock);
	count(&result);
	if (result.accepted > 0)
		send_digests(n, MCF_NEWS_FANOUT);
	cfr_result_clear(&result);
}

void mcf_offer_document(struct nod *n, const char *text, size_t len)
{
	struct cfg_section_text texts[CFG_SECTIONS];
	GPtrArray *faults = schema_faults_new();

	cfg_split(text, len, texts, faults);
	log_faults(faults);
	g_ptr_array_unref(faults);
	offer(n, texts, CFR_SERVICE);
}

void mcf_offer_section(struct nod *n, enum cfg_section_id id, const struct cfg_section_text *text)
{
	struct cfg_section_text texts[CFG_SECTIONS] = {0};

	texts[id] = *text;
	offer(n, texts, CFR_SERVICE);
}

void mcf_service_answered(struct nod *n)
{
	pthread_mutex_lock(&n->config->view_lock);
	n->config->service_answered = true;
	pthread_mutex_unlock(&n->config->view_lock);
}

static bool is_behind(const struct view *view, int64_t revision, uint64_t hash)
{
	return view->revision < revision || (view->revision == revision && view->hash < hash);
}

/* With view_lock held: everything that peers told of is here. */
static bool has_caught_up(const struct mcf *m)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (is_behind(&m->views[i], m->known[i].revision, m->known[i].hash))
			return false;
	}
	return true;
}

/*
 * A start takes the maximum of service and peers before anything is in force. It waits a bounded
 * time for whichever is silent, and without bound while both are.
 */
static bool may_open(struct mcf *m, uint32_t n_listed)
{
	uint32_t wanted = MIN(n_listed, MCF_START_PEERS);
	bool waited = clk_now_ms() - m->started_ms >= MCF_START_WAIT_MS;
	bool may;

	pthread_mutex_lock(&m->view_lock);
	uint32_t heard = g_hash_table_size(m->heard);
	may = (m->service_answered && heard >= wanted && has_caught_up(m)) ||
	      (waited && (m->service_answered || heard > 0));
	pthread_mutex_unlock(&m->view_lock);
	return may;
}

static void try_open(struct nod *n)
{
	struct mcf *m = n->config;
	GArray *nodes = listed_nodes(n);
	bool may = may_open(m, nodes->len);

	g_array_unref(nodes);
	if (!may)
		return;
	pthread_mutex_lock(&m->lock);
	m->open = true;
	put_in_force(n);
	pthread_mutex_unlock(&m->lock);
}

/* Until the node is open; a worker, since opening may wait for a parse. */
static void start_up(void *arg)
{
	struct nod *n = arg;

	while (!g_atomic_int_get(&n->stopping) && !is_open(n->config)) {
		send_digests(n, MCF_NEWS_FANOUT);
		clk_sleep_ms(MCF_START_PERIOD_MS);
		try_open(n);
	}
}

static void send_periodic(void *arg, int64_t now_ms)
{
	send_digests(arg, MCF_FANOUT);
}

void mcf_start(struct nod *n)
{
	wkp_submit(n->side, start_up, n);
	tmr_every(n->timers, MCF_PERIOD_MS, send_periodic, n);
}

static void ask_section(struct nod *n, const struct target *to, uint32_t id)
{
	Peer__SectionAsk ask = PEER__SECTION_ASK__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	ask.id = id;
	message.kind_case = PEER__MESSAGE__KIND_SECTION_ASK;
	message.section_ask = &ask;
	send_message(n, to, &message);
}

/* Notes what a peer has in force; true when it is news here. */
static bool note_section(struct mcf *m, const Peer__Section *section)
{
	bool behind;

	if (section->id >= CFG_SECTIONS)
		return false;
	struct view *known = &m->known[section->id];
	pthread_mutex_lock(&m->view_lock);
	behind = is_behind(&m->views[section->id], section->revision, section->hash);
	if (is_behind(known, section->revision, section->hash))
		*known = (struct view){section->revision, section->hash, NULL};
	pthread_mutex_unlock(&m->view_lock);
	return behind;
}

/* False while another node was asked for the same just now. */
static bool begin_ask(struct mcf *m, const Peer__Section *section)
{
	struct ask *ask = &m->asks[section->id];
	int64_t now_ms = clk_now_ms();
	bool begin;

	pthread_mutex_lock(&m->view_lock);
	begin = ask->hash != section->hash || now_ms - ask->at_ms >= MCF_ASK_AGAIN_MS;
	if (begin)
		*ask = (struct ask){section->hash, now_ms};
	pthread_mutex_unlock(&m->view_lock);
	return begin;
}

static void take_digest(struct nod *n, const struct target *from, const Peer__Digest *digest)
{
	for (size_t i = 0; i < digest->n_sections; i++) {
		if (note_section(n->config, digest->sections[i]) &&
		    begin_ask(n->config, digest->sections[i]))
			ask_section(n, from, digest->sections[i]->id);
	}
	pthread_mutex_lock(&n->config->view_lock);
	g_hash_table_add(n->config->heard, g_strdup(from->vm));
	pthread_mutex_unlock(&n->config->view_lock);
	if (digest->reply_wanted)
		send_digest(n, from, false);
}

static void answer_ask(struct nod *n, const struct target *from, uint32_t id)
{
	struct mcf *m = n->config;
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
	struct nod *node;
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
	offer(reply->node, texts, CFR_PEER);
	g_bytes_unref(reply->text);
	g_free(reply);
}

static void take_reply(struct nod *n, const Peer__Section *section)
{
	if (!section || !note_section(n->config, section) || section->text.len == 0)
		return;
	struct reply *reply = g_new0(struct reply, 1);
	*reply = (struct reply){n, section->id, g_bytes_new(section->text.data, section->text.len)};
	if (!wkp_submit(n->side, offer_reply, reply)) {
		g_bytes_unref(reply->text);
		g_free(reply);
	}
}

void mcf_take(struct nod *n, const Peer__Message *message)
{
	struct target from = {0};

	if (!find_node(n, message->from_vm, &from))
		return;
	if (message->kind_case == PEER__MESSAGE__KIND_DIGEST)
		take_digest(n, &from, message->digest);
	else if (message->kind_case == PEER__MESSAGE__KIND_SECTION_ASK)
		answer_ask(n, &from, message->section_ask->id);
	else if (message->kind_case == PEER__MESSAGE__KIND_SECTION_REPLY)
		take_reply(n, message->section_reply->section);
}

json_t *mcf_dump(struct nod *n)
{
	struct mcf *m = n->config;
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
