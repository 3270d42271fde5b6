/*
 * Readers of the source tell the other nodes of their region what it has said, and that it has said
 * nothing, so that hundreds of nodes cost it the calls of a few. Configurations aren't passed on:
 * they are large and rare, and each node reads them itself once it is told that there is one.
 */
#include "srv_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

/* A message that is being put together from the changes of one answer. */
struct news {
	Peer__PublishedNews wire;
	GPtrArray *upstreams;
	GPtrArray *removed;
	GPtrArray *outages;
	struct view_revision since;
};

static void add_upstream(struct news *n, const struct adapter_change *change)
{
	const struct view_revision revision = {n->since.epoch, change->revision};
	Peer__PublishedUpstream *wire = g_new0(Peer__PublishedUpstream, 1);

	srv_snapshot_encode(wire, change->upstream, change->upstream->cold_left_ms, revision);
	g_ptr_array_add(n->upstreams, wire);
}

static void add_removal(struct news *n, const struct adapter_change *change)
{
	Peer__PublishedRemoval *wire = g_new0(Peer__PublishedRemoval, 1);

	peer__published_removal__init(wire);
	wire->upstream = change->id;
	wire->revision = change->revision;
	g_ptr_array_add(n->removed, wire);
}

static void add_outage(struct news *n, const struct adapter_change *change)
{
	Peer__PublishedOutage *wire = g_new0(Peer__PublishedOutage, 1);

	peer__published_outage__init(wire);
	wire->data_centre = change->id;
	wire->out = change->kind == ADAPTER_CHANGE_DATA_CENTRE_OUT;
	wire->revision = change->revision;
	g_ptr_array_add(n->outages, wire);
}

static void add_change(struct news *n, const struct adapter_change *change)
{
	switch (change->kind) {
	case ADAPTER_CHANGE_UPSTREAM:
		add_upstream(n, change);
		break;
	case ADAPTER_CHANGE_UPSTREAM_REMOVED:
		add_removal(n, change);
		break;
	case ADAPTER_CHANGE_DATA_CENTRE_OUT:
	case ADAPTER_CHANGE_DATA_CENTRE_BACK:
		add_outage(n, change);
		break;
	case ADAPTER_CHANGE_CONFIG:
	case ADAPTER_CHANGE_INVALID: /* each node logs why */
		n->wire.read_on = true;
		break;
	case ADAPTER_CHANGE_IGNORED:
		break;
	}
}

struct telling {
	struct srv *s;
	Peer__Message *message;
	int64_t now_ms;
};

static void tell_member(void *arg, const struct gossip_member *m)
{
	const struct telling *t = arg;
	const struct gossip_record *r = &m->record;

	if (!r->reads_beats || strcmp(r->region, t->s->set->region) != 0 ||
	    strcmp(r->peer_address, t->s->set->peer_address) == 0 ||
	    !gossip_is_alive(t->s->fleet, m, t->now_ms))
		return;
	srv_count(t->s, SRV_NEWS_SENT);
	srv_peer_send(t->s, r->peer_address, t->message);
}

void srv_follow_tell(struct srv *s, struct view_revision since, int64_t revision,
		     const GArray *changes, int64_t now_ms)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	struct news n = {
		.wire = PEER__PUBLISHED_NEWS__INIT,
		.upstreams = g_ptr_array_new_with_free_func(g_free),
		.removed = g_ptr_array_new_with_free_func(g_free),
		.outages = g_ptr_array_new_with_free_func(g_free),
		.since = since,
	};
	struct telling t = {s, &message, now_ms};

	for (guint i = 0; i < changes->len; i++)
		add_change(&n, &g_array_index(changes, struct adapter_change, i));
	n.wire.epoch = since.epoch;
	n.wire.since = since.number;
	n.wire.revision = revision;
	n.wire.upstreams = (Peer__PublishedUpstream **)n.upstreams->pdata;
	n.wire.n_upstreams = n.upstreams->len;
	n.wire.removed = (Peer__PublishedRemoval **)n.removed->pdata;
	n.wire.n_removed = n.removed->len;
	n.wire.outages = (Peer__PublishedOutage **)n.outages->pdata;
	n.wire.n_outages = n.outages->len;
	message.kind_case = PEER__MESSAGE__KIND_PUBLISHED_NEWS;
	message.published_news = &n.wire;
	gossip_foreach(s->fleet, tell_member, &t);
	g_ptr_array_unref(n.upstreams);
	g_ptr_array_unref(n.removed);
	g_ptr_array_unref(n.outages);
}

/* Appends the changes that the message has; they own their contents. */
static void read_changes(const Peer__PublishedNews *news, GArray *changes)
{
	for (size_t i = 0; i < news->n_upstreams; i++) {
		const struct adapter_change change = {
			.kind = ADAPTER_CHANGE_UPSTREAM,
			.revision = news->upstreams[i]->revision,
			.upstream = srv_snapshot_decode(news->upstreams[i]),
		};
		if (change.upstream)
			g_array_append_val(changes, change);
	}
	for (size_t i = 0; i < news->n_removed; i++) {
		const struct adapter_change change = {
			.kind = ADAPTER_CHANGE_UPSTREAM_REMOVED,
			.revision = news->removed[i]->revision,
			.id = g_strdup(news->removed[i]->upstream),
		};
		g_array_append_val(changes, change);
	}
	for (size_t i = 0; i < news->n_outages; i++) {
		const struct adapter_change change = {
			.kind = news->outages[i]->out ? ADAPTER_CHANGE_DATA_CENTRE_OUT
						      : ADAPTER_CHANGE_DATA_CENTRE_BACK,
			.revision = news->outages[i]->revision,
			.id = g_strdup(news->outages[i]->data_centre),
		};
		g_array_append_val(changes, change);
	}
}

static gint compare_revisions(gconstpointer left, gconstpointer right)
{
	const struct adapter_change *a = left;
	const struct adapter_change *b = right;

	return (a->revision > b->revision) - (a->revision < b->revision);
}

void srv_follow_message(struct srv *s, const char *from, const Peer__PublishedNews *wire)
{
	struct adapter_feed_reply reply = {
		.changes = g_array_new(FALSE, TRUE, sizeof(struct adapter_change)),
	};
	const struct follow_news news = {
		.epoch = wire->epoch,
		.since = wire->since,
		.revision = wire->revision,
		.is_complete = !wire->read_on,
	};

	read_changes(wire, reply.changes);
	g_array_sort(reply.changes, compare_revisions);
	if (srv_feed_follow(s->feed, &news, reply.changes)) {
		srv_count(s, SRV_NEWS_FOLLOWED);
	} else {
		srv_count(s, SRV_NEWS_MISSED);
		log_info("news_missed", "{s:s, s:I, s:I, s:I}", "from", from, "epoch",
			 (json_int_t)news.epoch, "since", (json_int_t)news.since, "revision",
			 (json_int_t)news.revision);
	}
	adapter_feed_reply_clear(&reply);
}
