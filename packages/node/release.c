/* Planned stop: the stopping node. */
#include "node/release.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/fwd.h"
#include "release_int.h"

#include <string.h>
#include <xxhash.h>

#define RELEASE_RESEND_MS 100
#define RELEASE_CANDIDATE_MS 600 /* time that each candidate has to accept the offer */
#define RELEASE_NOTICE_PERIOD_MS 250
#define RELEASE_NOTICE_TTL_MS 1500
#define RELEASE_NOTICE_NODES_MIN 32   /* minimum number of nodes notified in one period */
#define RELEASE_NOTICE_ROUNDS 8	      /* periods in which all nodes are notified once */
#define RELEASE_LINGER_MARGIN_MS 1000 /* time for the drain notice to reach the other nodes */
#define RELEASE_TTL_MS 1000

struct releaser *release_new(struct node_server *n)
{
	struct releaser *r = g_new0(struct releaser, 1);

	r->node = n;
	pthread_mutex_init(&r->lock, NULL);
	r->releases = g_array_new(FALSE, TRUE, sizeof(struct release_transfer));
	return r;
}

void release_free(struct releaser *r)
{
	for (guint i = 0; i < r->releases->len; i++)
		ticket_release_clear(
			&g_array_index(r->releases, struct release_transfer, i).release);
	g_array_unref(r->releases);
	pthread_mutex_destroy(&r->lock);
	g_free(r);
}

void release_begin(struct releaser *r)
{
	const struct core_event ev = {.type = CORE_EV_DRAIN};

	log_info("drain_begun", NULL);
	g_atomic_int_set(&r->node->draining, 1);
	node_handle_event(r->node, &ev);
	pthread_mutex_lock(&r->lock);
	drain_begin(&r->drain, clock_now_ms());
	pthread_mutex_unlock(&r->lock);
}

/* A node in the VM list, as a candidate successor. */
struct candidate {
	char vm[BB_NAME_BYTES];
	char address[BB_ADDRESS_BYTES];
	bool stays;	/* stays in service: neither leaving nor draining */
	bool is_local;	/* in this node's data centre */
	uint64_t score; /* the highest is preferred */
};

static GArray *list_candidates(struct node_server *n)
{
	GArray *nodes = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	int64_t now_ms = clock_now_ms();
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&n->lock);
	g_hash_table_iter_init(&iter, n->core_state->bb.nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bb_node *from = value;
		struct candidate node = {.stays = !from->leaving &&
						  from->draining_until_ms <= now_ms};
		if (!from->in_list || strcmp(from->vm, n->set->vm) == 0)
			continue;
		node.is_local = strcmp(from->data_centre, n->set->data_centre) == 0;
		node.score = XXH64(from->vm, strlen(from->vm), n->incarnation);
		g_strlcpy(node.vm, from->vm, sizeof(node.vm));
		g_strlcpy(node.address, from->peer_address, sizeof(node.address));
		g_array_append_val(nodes, node);
	}
	pthread_mutex_unlock(&n->lock);
	return nodes;
}

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	if (x->stays != y->stays)
		return x->stays ? -1 : 1;
	if (x->is_local != y->is_local)
		return x->is_local ? -1 : 1;
	return (x->score < y->score) - (x->score > y->score);
}

/*
 * Picks the candidate at index in order of preference, modulo the number of candidates; false if no
 * node stays in service.
 */
static bool pick_successor(struct node_server *n, uint32_t index, struct candidate *picked)
{
	GArray *nodes = list_candidates(n);
	guint staying = 0;

	g_array_sort(nodes, compare_candidates);
	while (staying < nodes->len && g_array_index(nodes, struct candidate, staying).stays)
		staying++;
	if (staying > 0)
		*picked = g_array_index(nodes, struct candidate, index % staying);
	g_array_unref(nodes);
	return staying > 0;
}

static void send_notices(struct releaser *r, int64_t now_ms)
{
	Peer__Digest digest = PEER__DIGEST__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	GArray *nodes;
	guint n_notified;

	if (now_ms < r->notice_at_ms)
		return;
	r->notice_at_ms = now_ms + RELEASE_NOTICE_PERIOD_MS;
	digest.draining = true;
	message.ttl_ms = RELEASE_NOTICE_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_DIGEST;
	message.digest = &digest;
	nodes = list_candidates(r->node);
	n_notified = MIN(nodes->len,
			 MAX(RELEASE_NOTICE_NODES_MIN, nodes->len / RELEASE_NOTICE_ROUNDS + 1));
	for (guint i = 0; i < n_notified; i++) {
		const struct candidate *node =
			&g_array_index(nodes, struct candidate, r->notice_next++ % nodes->len);
		peer_send(r->node->peer, node->vm, node->address, &message);
	}
	g_array_unref(nodes);
}

/*
 * Offers the tickets to one candidate after another; the first to accept is the successor. False if
 * there is no candidate.
 */
static bool offer(struct releaser *r, int64_t now_ms)
{
	Peer__Offer body = PEER__OFFER__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	struct candidate to;
	uint32_t index;

	if (now_ms < r->send_at_ms)
		return true;
	r->send_at_ms = now_ms + RELEASE_RESEND_MS;
	index = (uint32_t)((now_ms - r->drain.since_ms) / RELEASE_CANDIDATE_MS);
	if (!pick_successor(r->node, index, &to))
		return false;
	body.transfer = r->node->incarnation;
	message.ttl_ms = RELEASE_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_OFFER;
	message.offer = &body;
	peer_send(r->node->peer, to.vm, to.address, &message);
	return true;
}

/*
 * Gives up all tickets together, once no request runs or at once if hurry is set. From then on no
 * request is started here under these tickets, whether or not the successor receives the release.
 */
static void relinquish_tickets(struct releaser *r, bool hurry)
{
	struct node_server *n = r->node;
	GArray *released = g_array_new(FALSE, TRUE, sizeof(struct release_transfer));
	GArray *owned;

	pthread_mutex_lock(&n->lock);
	if (g_hash_table_size(n->core_state->reqs) == 0 || hurry) {
		owned = ticket_owned_incarnations(n->core_state->tickets);
		for (guint i = 0; i < owned->len; i++) {
			struct release_transfer transfer = {0};
			ticket_release(n->core_state->tickets, g_array_index(owned, uint64_t, i),
				       &transfer.release);
			g_array_append_val(released, transfer);
		}
		g_array_unref(owned);
		r->relinquished = true;
	}
	pthread_mutex_unlock(&n->lock);
	for (guint i = 0; i < released->len; i++)
		fwd_record_owner(
			n->fwd,
			g_array_index(released, struct release_transfer, i).release.incarnation,
			r->successor);
	pthread_mutex_lock(&r->lock);
	g_array_append_vals(r->releases, released->data, released->len);
	pthread_mutex_unlock(&r->lock);
	g_array_unref(released);
}

static bool all_acked(struct releaser *r)
{
	bool all = r->relinquished;

	pthread_mutex_lock(&r->lock);
	for (guint i = 0; i < r->releases->len; i++)
		all = all && g_array_index(r->releases, struct release_transfer, i).acked;
	pthread_mutex_unlock(&r->lock);
	return all;
}

static void send_releases(struct releaser *r, int64_t now_ms)
{
	char address[BB_ADDRESS_BYTES];

	if (now_ms < r->send_at_ms || !fwd_address(r->node, r->successor, address))
		return;
	r->send_at_ms = now_ms + RELEASE_RESEND_MS;
	for (guint i = 0; i < r->releases->len; i++) {
		const struct release_transfer *transfer =
			&g_array_index(r->releases, struct release_transfer, i);
		if (!transfer->acked)
			release_send(r->node, r->successor, address, r->successor_incarnation,
				     &transfer->release);
	}
}

static void release(struct releaser *r, int64_t now_ms, bool hurry)
{
	if (!r->relinquished)
		relinquish_tickets(r, hurry);
	if (r->relinquished)
		send_releases(r, now_ms);
}

static void close_entry(struct releaser *r)
{
	const struct core_event ev = {.type = CORE_EV_CLOSE};

	if (r->closed)
		return;
	r->closed = true;
	node_handle_event(r->node, &ev);
}

static void run_phase(struct releaser *r, struct drain_input *in)
{
	switch (r->drain.phase) {
	case DRAIN_FINISHING:
		close_entry(r);
		break;
	case DRAIN_OFFERING:
		close_entry(r);
		in->has_successor = offer(r, in->now_ms);
		break;
	case DRAIN_RELEASING:
		release(r, in->now_ms, in->hurry);
		in->released = all_acked(r);
		break;
	default:
		break;
	}
}

static int64_t linger_ms(struct node_server *n)
{
	struct cfg *cfg = node_cfg(n);
	int64_t ttl_ms = cfg ? cfg->capacity.address_ttl_ms + RELEASE_LINGER_MARGIN_MS : 0;

	cfg_unref(cfg);
	return ttl_ms;
}

static uint32_t count_open_work(struct node_server *n)
{
	return node_request_count(n) + (uint32_t)g_atomic_int_get(&n->callers);
}

enum drain_phase_id release_step(struct releaser *r, bool hurry)
{
	struct drain_input in = {.now_ms = clock_now_ms(),
				 .linger_ms = linger_ms(r->node),
				 .requests = count_open_work(r->node),
				 .hurry = hurry};
	enum drain_phase_id before;
	enum drain_phase_id now;

	send_notices(r, in.now_ms);
	run_phase(r, &in);
	pthread_mutex_lock(&r->lock);
	before = r->drain.phase;
	in.offer_taken = r->offer_taken;
	now = drain_step(&r->drain, &in);
	pthread_mutex_unlock(&r->lock);
	if (now != before)
		log_info("drain", "{s:s, s:s}", "phase", drain_phase_name(now), "waits_for",
			 drain_waits_for(now));
	return now;
}

json_t *release_dump(struct releaser *r)
{
	enum drain_phase_id phase;

	pthread_mutex_lock(&r->lock);
	phase = r->drain.phase;
	pthread_mutex_unlock(&r->lock);
	return json_pack("{s:s, s:s, s:i, s:i}", "phase", drain_phase_name(phase), "waits_for",
			 drain_waits_for(phase), "requests", (int)node_request_count(r->node),
			 "callers", g_atomic_int_get(&r->node->callers));
}
