/*
 * Copies the published view from a ready node while the source is unavailable. This lets a node
 * restart during an outage of the source, and keeps a node up to date if only that node can't reach
 * it. Snapshots carry the source's epoch, revisions and versions, so that no entry is replaced by
 * an older one.
 */
#include "srv_int.h"

#include "base/clock.h"
#include "base/log.h"
#include "model/pub_check.h"

#include <stdlib.h>
#include <string.h>

/* After a failed call, a longer silence is an outage: a working source answers in milliseconds. */
#define SOURCE_SILENCE_MS 700
#define RETRY_MS 400 /* time between requests until the view is complete */
/* Time between later requests, bounded because changes have to be in force within 2.5 s. */
#define REFRESH_MS 1000
/*
 * If the sender's last successful call to the source is older, its snapshot adds and updates
 * entries but removes none, and returns no data centre to service.
 */
#define FRESH_AGE_MAX_MS 3000

struct search {
	const struct srv *s;
	const struct gossip_member *found;
	uint64_t skip; /* number of ready members to skip, at random, to spread requests */
	int64_t now_ms;
};

static void consider_member(void *arg, const struct gossip_member *m)
{
	struct search *search = arg;

	if (!m->record.ready || !gossip_is_alive(search->s->fleet, m, search->now_ms) ||
	    strcmp(m->record.peer_address, search->s->set->peer_address) == 0)
		return;
	if (!search->found || search->skip > 0) {
		search->skip -= search->found ? 1 : 0;
		search->found = m;
	}
}

void srv_snapshot_tick(struct srv *s, int64_t now_ms)
{
	struct search search = {.s = s, .skip = prng_below(&s->prng, 4), .now_ms = now_ms};
	Peer__PublishedAsk ask = PEER__PUBLISHED_ASK__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	int64_t age_ms = srv_feed_age_ms(s->feed, now_ms);
	int64_t silence_ms = age_ms >= 0 ? age_ms : now_ms - s->started_ms;

	/*
	 * It is an outage only if the last call failed too: a working source can also be silent for
	 * longer than SOURCE_SILENCE_MS, between two watches.
	 */
	if (!srv_feed_is_unavailable(s->feed) || silence_ms < SOURCE_SILENCE_MS ||
	    now_ms - s->snapshot_requested_ms < (s->view->complete ? REFRESH_MS : RETRY_MS))
		return;
	gossip_foreach(s->fleet, consider_member, &search);
	if (!search.found)
		return;
	s->snapshot_requested_ms = now_ms;
	message.kind_case = PEER__MESSAGE__KIND_PUBLISHED_ASK;
	message.published_ask = &ask;
	srv_peer_send(s, search.found->record.peer_address, &message);
}

void srv_snapshot_encode(Peer__PublishedUpstream *out, const struct pub_upstream *doc,
			 int64_t cold_left_ms, struct view_revision revision)
{
	peer__published_upstream__init(out);
	out->id = doc->id;
	out->service = doc->service;
	out->address = doc->address;
	out->data_centre = doc->data_centre;
	out->version = doc->version;
	out->leaving = doc->leaving;
	out->cold_left_ms = cold_left_ms;
	out->slots = doc->slots;
	out->born_ms = doc->born_ms;
	out->sequence = doc->sequence;
	out->epoch = revision.epoch;
	out->revision = revision.number;
}

struct pub_upstream *srv_snapshot_decode(const Peer__PublishedUpstream *in)
{
	struct pub_upstream *doc = g_new0(struct pub_upstream, 1);
	const char *fault;

	doc->id = g_strdup(in->id);
	doc->service = g_strdup(in->service);
	doc->address = g_strdup(in->address);
	doc->data_centre = g_strdup(in->data_centre);
	doc->version = g_strdup(in->version);
	doc->leaving = in->leaving;
	doc->cold_left_ms = in->cold_left_ms;
	doc->slots = in->slots;
	doc->born_ms = in->born_ms;
	doc->sequence = in->sequence;
	fault = pub_upstream_fault(doc);
	if (!fault)
		return doc;
	log_warn("entry_unreadable", "{s:s, s:s, s:I}", "id", doc->id, "reason", fault, "revision",
		 (json_int_t)in->revision);
	pub_upstream_free(doc);
	return NULL;
}

static void send_snapshot(struct srv *s, const char *requester)
{
	guint n_max = g_hash_table_size(s->view->upstreams);
	Peer__PublishedUpstream *ups = g_new0(Peer__PublishedUpstream, n_max + 1);
	Peer__PublishedUpstream **list = g_new0(Peer__PublishedUpstream *, n_max + 1);
	Peer__PublishedReply reply = PEER__PUBLISHED_REPLY__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	char **out = (char **)g_hash_table_get_keys_as_array(s->view->out, NULL);
	struct view_revision revision = srv_feed_revision(s->feed);
	int64_t now_ms = clock_now_ms();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct view_upstream *u = value;
		if (u->doubted_until_ms > 0)
			continue;
		srv_snapshot_encode(&ups[reply.n_upstreams], u->doc,
				    MAX(u->cold_until_ms - now_ms, 0), u->revision);
		list[reply.n_upstreams] = &ups[reply.n_upstreams];
		reply.n_upstreams++;
	}
	reply.upstreams = list;
	reply.doc.data = (uint8_t *)s->view->doc->source;
	reply.doc.len = strlen(s->view->doc->source);
	reply.epoch = s->view->epoch;
	reply.revision = revision.epoch == reply.epoch ? revision.number : 0;
	reply.age_ms = srv_feed_age_ms(s->feed, now_ms);
	reply.out = out;
	reply.n_out = g_hash_table_size(s->view->out);
	message.kind_case = PEER__MESSAGE__KIND_PUBLISHED_REPLY;
	message.published_reply = &reply;
	srv_peer_send_when_open(s, requester, &message);
	g_free(out);
	g_free(ups);
	g_free(list);
}

static void apply_upstream(struct srv *s, const Peer__PublishedUpstream *in, int64_t now_ms)
{
	const struct view_revision revision = {.epoch = in->epoch, .number = in->revision};
	struct pub_upstream *doc = srv_snapshot_decode(in);

	if (doc)
		srv_origin_put_upstream(s, doc, revision, now_ms);
	else
		view_remove_upstream(s->view, in->id, revision, now_ms);
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static struct view_revision revision_of(const Peer__PublishedReply *reply)
{
	return (struct view_revision){.epoch = reply->epoch, .number = reply->revision};
}

/* Removes entries that the snapshot lacks and that aren't newer than it. */
static void remove_missing(struct srv *s, const Peer__PublishedReply *reply, int64_t now_ms)
{
	GPtrArray *ids = g_ptr_array_new();
	GList *held = g_hash_table_get_values(s->view->upstreams);

	for (size_t i = 0; i < reply->n_upstreams; i++)
		g_ptr_array_add(ids, reply->upstreams[i]->id);
	g_ptr_array_sort(ids, compare_ids);
	for (GList *at = held; at; at = at->next) {
		const struct view_upstream *u = at->data;
		const char *id = u->doc->id;
		if (view_compare(u->revision, revision_of(reply)) > 0 ||
		    bsearch(&id, ids->pdata, ids->len, sizeof(gpointer), compare_ids))
			continue;
		log_info("upstream_gone", "{s:s, s:I, s:I}", "id", id, "epoch",
			 (json_int_t)reply->epoch, "revision", (json_int_t)reply->revision);
		view_drop_upstream(s->view, id, now_ms);
	}
	g_list_free(held);
	g_ptr_array_unref(ids);
}

/*
 * Takes the data centres out of service that the snapshot lists. Returns the others to service if
 * it is fresh; until the source is read again, an older one doesn't tell that they have returned.
 */
static void apply_data_centres(struct srv *s, const Peer__PublishedReply *reply, bool is_fresh,
			       int64_t now_ms)
{
	for (uint32_t i = 0; i < s->set->n_data_centres; i++) {
		const char *name = s->set->data_centres[i].name;
		bool out = false;
		for (size_t k = 0; k < reply->n_out; k++)
			out = out || strcmp(reply->out[k], name) == 0;
		if (!out && !is_fresh)
			continue;
		if (view_set_out_of_service(s->view, name, out, now_ms))
			log_info(out ? "data_centre_out" : "data_centre_back", "{s:s, s:I, s:I}",
				 "id", name, "epoch", (json_int_t)reply->epoch, "revision",
				 (json_int_t)reply->revision);
	}
}

static void apply_snapshot(struct srv *s, const char *from, const Peer__PublishedReply *reply)
{
	int64_t now_ms = clock_now_ms();
	bool is_first = !s->view->complete;
	bool is_fresh;
	bool is_newer; /* than what this node has read itself */
	struct pub_doc *doc;
	char *why = NULL;

	if (!srv_feed_is_unavailable(s->feed) || reply->epoch < s->view->epoch ||
	    view_compare(revision_of(reply), s->snapshot_revision) < 0)
		return; /* the source is available again, or what is known is newer */
	doc = s->adapter->feed->read_doc((const char *)reply->doc.data, reply->doc.len, &why);
	if (!doc) {
		log_warn("copy_unreadable", "{s:s, s:s}", "from", from, "reason", why ? why : "");
		g_free(why);
		return;
	}
	view_raise_epoch(s->view, reply->epoch, reply->revision, now_ms);
	view_set_config(s->view, doc);
	for (size_t i = 0; i < reply->n_upstreams; i++)
		apply_upstream(s, reply->upstreams[i], now_ms);
	is_fresh = reply->age_ms >= 0 && reply->age_ms < FRESH_AGE_MAX_MS;
	is_newer = view_compare(revision_of(reply), srv_feed_revision(s->feed)) >= 0;
	if (is_newer)
		apply_data_centres(s, reply, is_fresh, now_ms);
	if (is_fresh && is_newer) {
		remove_missing(s, reply, now_ms);
		srv_origin_note_snapshot(s, reply->age_ms, now_ms);
	}
	s->view->complete = true;
	s->snapshot_revision = revision_of(reply);
	if (is_first || is_fresh)
		log_info("copy_taken", "{s:s, s:I, s:I, s:I, s:I, s:i}", "from", from, "version",
			 (json_int_t)s->view->doc->version, "epoch", (json_int_t)reply->epoch,
			 "revision", (json_int_t)reply->revision, "age_ms",
			 (json_int_t)reply->age_ms, "upstreams", (int)reply->n_upstreams);
	srv_chain_view_changed(s);
}

void srv_snapshot_message(struct srv *s, const Peer__Message *message)
{
	if (message->kind_case == PEER__MESSAGE__KIND_PUBLISHED_REPLY)
		apply_snapshot(s, message->from_vm, message->published_reply);
	else if (s->view->complete && s->view->doc && s->view->doc->source)
		send_snapshot(s, message->from_vm);
}
