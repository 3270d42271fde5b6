/* Planned stop, the side of the node that leaves. */
#include "node/rel.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/fwd.h"
#include "rel_int.h"

#include <string.h>
#include <xxhash.h>

#define REL_REPEAT_MS 100
#define REL_CANDIDATE_MS 600 /* for one node to take the offer */
#define REL_NEWS_MS 250
#define REL_NEWS_TTL_MS 1500
#define REL_NEWS_NODES 32	  /* told at a time, at least */
#define REL_NEWS_ROUNDS 8	  /* in which all are told: within REL_DRAINING_MS */
#define REL_LINGER_MARGIN_MS 1000 /* for the news that this node leaves to reach the others */
#define REL_TTL_MS 1000

struct rel *rel_new(struct nod *n)
{
	struct rel *r = g_new0(struct rel, 1);

	r->node = n;
	pthread_mutex_init(&r->lock, NULL);
	r->releases = g_array_new(FALSE, TRUE, sizeof(struct rel_transfer));
	return r;
}

void rel_free(struct rel *r)
{
	for (guint i = 0; i < r->releases->len; i++)
		tkt_release_clear(&g_array_index(r->releases, struct rel_transfer, i).release);
	g_array_unref(r->releases);
	pthread_mutex_destroy(&r->lock);
	g_free(r);
}

void rel_begin(struct rel *r)
{
	const struct dec_event ev = {.type = DEC_EV_DRAIN};

	log_info("drain_begun", NULL);
	g_atomic_int_set(&r->node->draining, 1);
	nod_event(r->node, &ev);
	pthread_mutex_lock(&r->lock);
	drn_begin(&r->drn, clock_now_ms());
	pthread_mutex_unlock(&r->lock);
}

/* A listed node as the stop sees it. */
struct peer_node {
	char vm[BB_NAME_BYTES];
	char address[BB_ADDRESS_BYTES];
	bool stays;
	bool near; /* in the own data centre */
	uint64_t score;
};

static GArray *list_nodes(struct nod *n)
{
	GArray *nodes = g_array_new(FALSE, TRUE, sizeof(struct peer_node));
	int64_t now_ms = clock_now_ms();
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&n->lock);
	g_hash_table_iter_init(&iter, n->dec->bb.nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bb_node *from = value;
		struct peer_node node = {.stays = !from->leaving &&
						  from->draining_until_ms <= now_ms};
		if (!from->in_list || strcmp(from->vm, n->set->vm) == 0)
			continue;
		node.near = strcmp(from->data_centre, n->set->data_centre) == 0;
		node.score = XXH64(from->vm, strlen(from->vm), n->incarnation);
		g_strlcpy(node.vm, from->vm, sizeof(node.vm));
		g_strlcpy(node.address, from->peer_address, sizeof(node.address));
		g_array_append_val(nodes, node);
	}
	pthread_mutex_unlock(&n->lock);
	return nodes;
}

static gint compare_nodes(gconstpointer a, gconstpointer b)
{
	const struct peer_node *x = a;
	const struct peer_node *y = b;

	if (x->stays != y->stays)
		return x->stays ? -1 : 1;
	if (x->near != y->near)
		return x->near ? -1 : 1;
	return (x->score < y->score) - (x->score > y->score);
}

/* The index-th best successor, in turn; false when no node stays. */
static bool pick_successor(struct nod *n, uint32_t index, struct peer_node *picked)
{
	GArray *nodes = list_nodes(n);
	guint staying = 0;

	g_array_sort(nodes, compare_nodes);
	while (staying < nodes->len && g_array_index(nodes, struct peer_node, staying).stays)
		staying++;
	if (staying > 0)
		*picked = g_array_index(nodes, struct peer_node, index % staying);
	g_array_unref(nodes);
	return staying > 0;
}

static void send_news(struct rel *r, int64_t now_ms)
{
	Peer__Digest digest = PEER__DIGEST__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	GArray *nodes;
	guint told;

	if (now_ms < r->news_at_ms)
		return;
	r->news_at_ms = now_ms + REL_NEWS_MS;
	digest.draining = true;
	message.ttl_ms = REL_NEWS_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_DIGEST;
	message.digest = &digest;
	nodes = list_nodes(r->node);
	told = MIN(nodes->len, MAX(REL_NEWS_NODES, nodes->len / REL_NEWS_ROUNDS + 1));
	for (guint i = 0; i < told; i++) {
		const struct peer_node *node =
			&g_array_index(nodes, struct peer_node, r->news_next++ % nodes->len);
		peer_send(r->node->peer, node->vm, node->address, &message);
	}
	g_array_unref(nodes);
}

/* Asks one node after the other; the first that answers is the successor. */
static bool offer(struct rel *r, int64_t now_ms)
{
	Peer__Offer body = PEER__OFFER__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	struct peer_node to;
	uint32_t index;

	if (now_ms < r->send_at_ms)
		return true;
	r->send_at_ms = now_ms + REL_REPEAT_MS;
	index = (uint32_t)((now_ms - r->drn.since_ms) / REL_CANDIDATE_MS);
	if (!pick_successor(r->node, index, &to))
		return false;
	body.transfer = r->node->incarnation;
	message.ttl_ms = REL_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_OFFER;
	message.offer = &body;
	peer_send(r->node->peer, to.vm, to.address, &message);
	return true;
}

/*
 * Gives the tickets up, all at one moment at which no request runs, unless the stop is hurried.
 * From here on no ticket runs here, whether or not the successor ever hears of it.
 */
static void give_up_tickets(struct rel *r, bool hurry)
{
	struct nod *n = r->node;
	GArray *released = g_array_new(FALSE, TRUE, sizeof(struct rel_transfer));
	GArray *owned;

	pthread_mutex_lock(&n->lock);
	if (g_hash_table_size(n->dec->reqs) == 0 || hurry) {
		owned = tkt_owned(n->dec->tickets);
		for (guint i = 0; i < owned->len; i++) {
			struct rel_transfer transfer = {0};
			tkt_release(n->dec->tickets, g_array_index(owned, uint64_t, i),
				    &transfer.release);
			g_array_append_val(released, transfer);
		}
		g_array_unref(owned);
		r->given_up = true;
	}
	pthread_mutex_unlock(&n->lock);
	for (guint i = 0; i < released->len; i++)
		fwd_learn_owner(n->fwd,
				g_array_index(released, struct rel_transfer, i).release.incarnation,
				r->successor);
	pthread_mutex_lock(&r->lock);
	g_array_append_vals(r->releases, released->data, released->len);
	pthread_mutex_unlock(&r->lock);
	g_array_unref(released);
}

static bool all_acked(struct rel *r)
{
	bool all = r->given_up;

	pthread_mutex_lock(&r->lock);
	for (guint i = 0; i < r->releases->len; i++)
		all = all && g_array_index(r->releases, struct rel_transfer, i).acked;
	pthread_mutex_unlock(&r->lock);
	return all;
}

static void send_releases(struct rel *r, int64_t now_ms)
{
	char address[BB_ADDRESS_BYTES];

	if (now_ms < r->send_at_ms || !fwd_address(r->node, r->successor, address))
		return;
	r->send_at_ms = now_ms + REL_REPEAT_MS;
	for (guint i = 0; i < r->releases->len; i++) {
		const struct rel_transfer *transfer =
			&g_array_index(r->releases, struct rel_transfer, i);
		if (!transfer->acked)
			rel_send(r->node, r->successor, address, r->successor_incarnation,
				 &transfer->release);
	}
}

static void release(struct rel *r, int64_t now_ms, bool hurry)
{
	if (!r->given_up)
		give_up_tickets(r, hurry);
	if (r->given_up)
		send_releases(r, now_ms);
}

static void close_entry(struct rel *r)
{
	const struct dec_event ev = {.type = DEC_EV_CLOSE};

	if (r->closed)
		return;
	r->closed = true;
	nod_event(r->node, &ev);
}

static void act(struct rel *r, struct drn_input *in)
{
	switch (r->drn.phase) {
	case DRN_FINISHING:
		close_entry(r);
		break;
	case DRN_OFFERING:
		close_entry(r);
		in->has_successor = offer(r, in->now_ms);
		break;
	case DRN_RELEASING:
		release(r, in->now_ms, in->hurry);
		in->released = all_acked(r);
		break;
	default:
		break;
	}
}

static int64_t linger_ms(struct nod *n)
{
	struct cfg *cfg = nod_cfg(n);
	int64_t ttl_ms = cfg ? cfg->capacity.address_ttl_ms + REL_LINGER_MARGIN_MS : 0;

	cfg_unref(cfg);
	return ttl_ms;
}

static uint32_t open_work(struct nod *n)
{
	return nod_requests(n) + (uint32_t)g_atomic_int_get(&n->callers);
}

enum drn_phase rel_step(struct rel *r, bool hurry)
{
	struct drn_input in = {.now_ms = clock_now_ms(),
			       .linger_ms = linger_ms(r->node),
			       .requests = open_work(r->node),
			       .hurry = hurry};
	enum drn_phase before;
	enum drn_phase now;

	send_news(r, in.now_ms);
	act(r, &in);
	pthread_mutex_lock(&r->lock);
	before = r->drn.phase;
	in.offer_taken = r->offer_taken;
	now = drn_step(&r->drn, &in);
	pthread_mutex_unlock(&r->lock);
	if (now != before)
		log_info("drain", "{s:s, s:s}", "phase", drn_phase_name(now), "waits_for",
			 drn_waits_for(now));
	return now;
}

json_t *rel_dump(struct rel *r)
{
	enum drn_phase phase;

	pthread_mutex_lock(&r->lock);
	phase = r->drn.phase;
	pthread_mutex_unlock(&r->lock);
	return json_pack("{s:s, s:s, s:i, s:i}", "phase", drn_phase_name(phase), "waits_for",
			 drn_waits_for(phase), "requests", (int)nod_requests(r->node), "callers",
			 g_atomic_int_get(&r->node->callers));
}
