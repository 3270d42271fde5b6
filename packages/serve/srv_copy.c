/*
 * What another node holds of the source. A node that starts while the source is away, or that alone
 * is cut off from it, asks a ready one: restarts during an outage cost no service, and news reach a
 * node that the source turns away. What is passed on carries the source's revisions and versions,
 * so that nothing goes back.
 */
#include "srv_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define BLIND_MS 700 /* without the source: it answers in milliseconds when it is there */
#define AGAIN_MS 400 /* between two nodes that are asked by one that knows nothing yet */
#define NEWS_MS                                                                                    \
	1000	      /* the same by one that was cut off: half of the time that a change may take \
		       */
#define FRESH_MS 3000 /* age of a view that is believed when it misses an entry */

struct search {
	const struct srv *s;
	const struct fle_member *found;
	uint64_t skip; /* ready members to pass over, so that others are asked in turn */
	int64_t now_ms;
};

static void look_at(void *arg, const struct fle_member *m)
{
	struct search *search = arg;

	if (!m->record.ready || !fle_is_alive(search->s->fleet, m, search->now_ms) ||
	    strcmp(m->record.peer_address, search->s->set->peer_address) == 0)
		return;
	if (!search->found || search->skip > 0) {
		search->skip -= search->found ? 1 : 0;
		search->found = m;
	}
}

void srv_copy_tick(struct srv *s, int64_t now_ms)
{
	struct search search = {.s = s, .skip = prng_below(&s->prng, 4), .now_ms = now_ms};
	Peer__PublishedAsk ask = PEER__PUBLISHED_ASK__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	int64_t age_ms = srv_feed_age_ms(s->feed, now_ms);
	int64_t without_ms = age_ms >= 0 ? age_ms : now_ms - s->started_ms;

	/* while the source answers, a pause between two watches is no cut */
	if (!srv_feed_is_away(s->feed) || without_ms < BLIND_MS ||
	    now_ms - s->copy_asked_ms < (s->view->complete ? NEWS_MS : AGAIN_MS))
		return;
	fle_each(s->fleet, look_at, &search);
	if (!search.found)
		return;
	s->copy_asked_ms = now_ms;
	message.kind_case = PEER__MESSAGE__KIND_PUBLISHED_ASK;
	message.published_ask = &ask;
	srv_mesh_send(s, search.found->record.peer_address, &message);
}

static void put_upstream(Peer__PublishedUpstream *out, const struct pvw_upstream *u, int64_t now_ms)
{
	peer__published_upstream__init(out);
	out->id = u->doc->id;
	out->service = u->doc->service;
	out->address = u->doc->address;
	out->data_centre = u->doc->data_centre;
	out->leaving = u->doc->leaving;
	out->cold_left_ms = MAX(u->cold_until_ms - now_ms, 0);
	out->slots = u->doc->slots;
	out->born_ms = u->doc->born_ms;
	out->sequence = u->doc->sequence;
	out->revision = u->revision;
}

static void answer(struct srv *s, const char *asker)
{
	guint room = g_hash_table_size(s->view->upstreams);
	Peer__PublishedUpstream *ups = g_new0(Peer__PublishedUpstream, room + 1);
	Peer__PublishedUpstream **list = g_new0(Peer__PublishedUpstream *, room + 1);
	Peer__PublishedReply reply = PEER__PUBLISHED_REPLY__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	char **out = (char **)g_hash_table_get_keys_as_array(s->view->out, NULL);
	int64_t now_ms = clock_now_ms();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		put_upstream(&ups[reply.n_upstreams], value, now_ms);
		list[reply.n_upstreams] = &ups[reply.n_upstreams];
		reply.n_upstreams++;
	}
	reply.upstreams = list;
	reply.doc.data = (uint8_t *)s->view->doc->source;
	reply.doc.len = strlen(s->view->doc->source);
	reply.revision = srv_feed_revision(s->feed);
	reply.age_ms = srv_feed_age_ms(s->feed, now_ms);
	reply.out = out;
	reply.n_out = g_hash_table_size(s->view->out);
	message.kind_case = PEER__MESSAGE__KIND_PUBLISHED_REPLY;
	message.published_reply = &reply;
	srv_mesh_send(s, asker, &message);
	g_free(out);
	g_free(ups);
	g_free(list);
}

static void take_upstream(struct srv *s, const Peer__PublishedUpstream *in, int64_t now_ms)
{
	struct pub_upstream *doc = g_new0(struct pub_upstream, 1);

	doc->id = g_strdup(in->id);
	doc->service = g_strdup(in->service);
	doc->address = g_strdup(in->address);
	doc->data_centre = g_strdup(in->data_centre);
	doc->leaving = in->leaving;
	doc->cold_left_ms = in->cold_left_ms;
	doc->slots = in->slots;
	doc->born_ms = in->born_ms;
	doc->sequence = in->sequence;
	pvw_take_upstream(s->view, doc, in->revision, now_ms);
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Entries that the sender, who has heard of as much as we have, holds no longer. */
static void drop_missing(struct srv *s, const Peer__PublishedReply *reply)
{
	GPtrArray *held = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	for (size_t i = 0; i < reply->n_upstreams; i++)
		g_ptr_array_add(held, reply->upstreams[i]->id);
	g_ptr_array_sort(held, compare_ids);
	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pvw_upstream *u = value;
		const char *id = u->doc->id;
		if (u->revision > reply->revision ||
		    bsearch(&id, held->pdata, held->len, sizeof(gpointer), compare_ids))
			continue;
		log_info("upstream_gone", "{s:s, s:I}", "id", id, "revision",
			 (json_int_t)reply->revision);
		g_hash_table_iter_remove(&iter);
	}
	g_ptr_array_unref(held);
}

static void take_centres(struct srv *s, const Peer__PublishedReply *reply, int64_t now_ms)
{
	for (uint32_t i = 0; i < s->set->n_data_centres; i++) {
		const char *name = s->set->data_centres[i].name;
		bool out = false;
		for (size_t k = 0; k < reply->n_out; k++)
			out = out || strcmp(reply->out[k], name) == 0;
		if (pvw_set_out(s->view, name, out, now_ms))
			log_info(out ? "data_centre_out" : "data_centre_back", "{s:s, s:I}", "id",
				 name, "revision", (json_int_t)reply->revision);
	}
}

static void take(struct srv *s, const char *from, const Peer__PublishedReply *reply)
{
	int64_t now_ms = clock_now_ms();
	bool is_first = !s->view->complete;
	struct pub_doc *doc;
	char *why = NULL;

	if (!srv_feed_is_away(s->feed) || reply->revision < s->copy_revision)
		return; /* the source itself, or another node, knows more */
	doc = s->adp->feed->read_doc((const char *)reply->doc.data, reply->doc.len, &why);
	if (!doc) {
		log_warn("copy_unreadable", "{s:s, s:s}", "from", from, "reason", why ? why : "");
		g_free(why);
		return;
	}
	pvw_take_doc(s->view, doc);
	for (size_t i = 0; i < reply->n_upstreams; i++)
		take_upstream(s, reply->upstreams[i], now_ms);
	if (reply->age_ms < FRESH_MS && reply->revision >= srv_feed_revision(s->feed)) {
		drop_missing(s, reply);
		take_centres(s, reply, now_ms);
	}
	s->view->complete = true;
	s->copy_revision = reply->revision;
	if (is_first || reply->age_ms < FRESH_MS)
		log_info("copy_taken", "{s:s, s:I, s:I, s:I, s:i}", "from", from, "version",
			 (json_int_t)s->view->doc->version, "revision", (json_int_t)reply->revision,
			 "age_ms", (json_int_t)reply->age_ms, "upstreams", (int)reply->n_upstreams);
	srv_chain_view_changed(s);
}

void srv_copy_message(struct srv *s, const Peer__Message *message)
{
	if (message->kind_case == PEER__MESSAGE__KIND_PUBLISHED_REPLY)
		take(s, message->from_vm, message->published_reply);
	else if (s->view->complete && s->view->doc && s->view->doc->source)
		answer(s, message->from_vm);
}
