/* Messages that synchronise the configuration with other nodes: digests, and texts of sections. */
#include "confsync_int.h"

#include "base/clock.h"

#include <string.h>

#define CONFSYNC_REQUEST_INTERVAL_MS 1000 /* minimum time between requests for one section text */
#define CONFSYNC_TTL_MS 5000

/* The recipient of a message. */
struct target {
	char vm[BB_NAME_BYTES];
	char address[BB_ADDRESS_BYTES];
};

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

GArray *confsync_listed_nodes(struct node_server *n)
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
	digest.draining = g_atomic_int_get(&n->draining) != 0 || !confsync_is_active(n->config);
	digest.reply_wanted = reply_wanted;
	message.kind_case = PEER__MESSAGE__KIND_DIGEST;
	message.digest = &digest;
	send_message(n, to, &message);
}

void confsync_send_digests(struct node_server *n, uint32_t fanout)
{
	GArray *nodes = confsync_listed_nodes(n);

	for (uint32_t i = 0; i < fanout && nodes->len > 0; i++) {
		pthread_mutex_lock(&n->config->view_lock);
		guint at = (guint)prng_below(&n->config->prng, nodes->len);
		pthread_mutex_unlock(&n->config->view_lock);
		send_digest(n, &g_array_index(nodes, struct target, at), true);
		g_array_remove_index_fast(nodes, at);
	}
	g_array_unref(nodes);
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
	struct confsync_view *newest = &m->newest[section->id];
	pthread_mutex_lock(&m->view_lock);
	behind = confsync_is_behind(&m->views[section->id], section->revision, section->hash);
	if (confsync_is_behind(newest, section->revision, section->hash))
		*newest = (struct confsync_view){section->revision, section->hash, NULL};
	pthread_mutex_unlock(&m->view_lock);
	return behind;
}

/* Records a request for the section text; false if the same text was requested recently. */
static bool begin_request(struct confsync *m, const Peer__Section *section)
{
	struct confsync_request *section_request = &m->requests[section->id];
	int64_t now_ms = clock_now_ms();
	bool begin;

	pthread_mutex_lock(&m->view_lock);
	begin = section_request->hash != section->hash ||
		now_ms - section_request->at_ms >= CONFSYNC_REQUEST_INTERVAL_MS;
	if (begin)
		*section_request = (struct confsync_request){section->hash, now_ms};
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
	struct confsync_view view;
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
	confsync_offer(reply->node, texts, CFGREV_PEER);
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
