/* Learns who owns the tickets of other incarnations, by announcements and owner requests. */
#include "base/clock.h"
#include "fwd_int.h"

#include <string.h>

#define FWD_OWNERS_MAX 4096
#define FWD_ANNOUNCE_TIMES 3
#define FWD_ANNOUNCE_TTL_MS 2000
#define FWD_OWNER_REQUEST_NODES 3 /* nodes that one call of fwd_request_owner() asks */

struct fwd_owner {
	uint64_t incarnation;
	char vm[BB_NAME_BYTES];
	int64_t learned_ms;
};

static gboolean is_old(gpointer key, gpointer value, gpointer now_ms)
{
	const struct fwd_owner *owner = value;

	return owner->learned_ms + TICKET_LIFETIME_MS < *(int64_t *)now_ms;
}

void fwd_record_owner(struct fwd *f, uint64_t incarnation, const char *vm)
{
	struct fwd_owner *owner = g_new0(struct fwd_owner, 1);
	int64_t now_ms = clock_now_ms();

	owner->incarnation = incarnation;
	owner->learned_ms = now_ms;
	g_strlcpy(owner->vm, vm, sizeof(owner->vm));
	pthread_mutex_lock(&f->lock);
	if (g_hash_table_size(f->owners) >= FWD_OWNERS_MAX)
		g_hash_table_foreach_remove(f->owners, is_old, &now_ms);
	if (g_hash_table_size(f->owners) < FWD_OWNERS_MAX)
		g_hash_table_replace(f->owners, &owner->incarnation, owner);
	else
		g_free(owner);
	pthread_mutex_unlock(&f->lock);
}

void fwd_receive_owner(struct fwd *f, const Peer__Message *message)
{
	const Peer__Owner *owner = message->owner;
	const char *vm = owner->vm[0] ? owner->vm : message->from_vm;

	for (size_t i = 0; i < owner->n_incarnations; i++)
		fwd_record_owner(f, owner->incarnations[i], vm);
}

bool fwd_find_owner(struct fwd *f, uint64_t incarnation, const char *issuer, char vm[BB_NAME_BYTES])
{
	const struct fwd_owner *owner = g_hash_table_lookup(f->owners, &incarnation);

	g_strlcpy(vm, owner ? owner->vm : issuer, BB_NAME_BYTES);
	return owner != NULL;
}

/* A node in the VM list other than this one. */
struct target {
	char vm[BB_NAME_BYTES];
	char address[BB_ADDRESS_BYTES];
	uint64_t incarnation; /* a node that has restarted needs a new announcement */
};

static void list_targets(struct fwd *f, GArray *targets)
{
	struct node_server *n = f->node;
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&n->lock);
	g_hash_table_iter_init(&iter, n->core_state->bb.nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bb_node *node = value;
		if (!node->in_list || strcmp(node->vm, n->set->vm) == 0)
			continue;
		struct target target = {.incarnation = node->incarnation};
		g_strlcpy(target.vm, node->vm, sizeof(target.vm));
		g_strlcpy(target.address, node->peer_address, sizeof(target.address));
		g_array_append_val(targets, target);
	}
	pthread_mutex_unlock(&n->lock);
}

/* Counts an announcement to the node; false if FWD_ANNOUNCE_TIMES have been sent to it. */
static bool needs_announcement(struct fwd *f, const struct target *target)
{
	char key[BB_NAME_BYTES * 2];

	g_snprintf(key, sizeof(key), "%s %" G_GINT64_MODIFIER "x", target->vm, target->incarnation);
	pthread_mutex_lock(&f->lock);
	if (g_hash_table_size(f->announced) >= FWD_OWNERS_MAX)
		g_hash_table_remove_all(f->announced);
	int times = GPOINTER_TO_INT(g_hash_table_lookup(f->announced, key));
	if (times < FWD_ANNOUNCE_TIMES)
		g_hash_table_replace(f->announced, g_strdup(key), GINT_TO_POINTER(times + 1));
	pthread_mutex_unlock(&f->lock);
	return times < FWD_ANNOUNCE_TIMES;
}

static GArray *list_adopted(struct node_server *n)
{
	GArray *owned;

	pthread_mutex_lock(&n->lock);
	owned = ticket_owned_incarnations(n->core_state->tickets);
	pthread_mutex_unlock(&n->lock);
	if (owned->len > 0 && g_array_index(owned, uint64_t, 0) == n->incarnation)
		g_array_remove_index(owned, 0);
	return owned;
}

void fwd_send_adopted(struct fwd *f)
{
	GArray *adopted = list_adopted(f->node);
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(struct target));
	Peer__Owner owner = PEER__OWNER__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	owner.n_incarnations = adopted->len;
	owner.incarnations = (uint64_t *)(void *)adopted->data;
	message.ttl_ms = FWD_ANNOUNCE_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_OWNER;
	message.owner = &owner;
	if (adopted->len > 0)
		list_targets(f, targets);
	for (guint i = 0; i < targets->len; i++) {
		const struct target *to = &g_array_index(targets, struct target, i);
		if (needs_announcement(f, to))
			peer_send(f->node->peer, to->vm, to->address, &message);
	}
	g_array_unref(adopted);
	g_array_unref(targets);
}

void fwd_announce(struct fwd *f)
{
	pthread_mutex_lock(&f->lock);
	g_hash_table_remove_all(f->announced);
	pthread_mutex_unlock(&f->lock);
	fwd_send_adopted(f);
}

void fwd_request_owner(struct fwd *f, uint64_t incarnation)
{
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(struct target));
	Peer__OwnerAsk request = PEER__OWNER_ASK__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	guint at = (guint)g_atomic_int_add(&f->request_cursor, FWD_OWNER_REQUEST_NODES);

	request.incarnation = incarnation;
	message.ttl_ms = FWD_ANNOUNCE_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_OWNER_ASK;
	message.owner_ask = &request;
	list_targets(f, targets);
	for (guint i = 0; i < MIN(targets->len, FWD_OWNER_REQUEST_NODES); i++, at++) {
		const struct target *to = &g_array_index(targets, struct target, at % targets->len);
		peer_send(f->node->peer, to->vm, to->address, &message);
	}
	g_array_unref(targets);
}

/* Copies the name of the owner of an incarnation's tickets, maybe this node; false if unknown. */
static bool find_any_owner(struct fwd *f, uint64_t incarnation, char vm[BB_NAME_BYTES])
{
	bool known;

	pthread_mutex_lock(&f->lock);
	known = fwd_find_owner(f, incarnation, "", vm);
	pthread_mutex_unlock(&f->lock);
	pthread_mutex_lock(&f->node->lock);
	if (ticket_owns(f->node->core_state->tickets, incarnation)) {
		g_strlcpy(vm, f->node->set->vm, BB_NAME_BYTES);
		known = true;
	}
	pthread_mutex_unlock(&f->node->lock);
	return known;
}

void fwd_receive_owner_request(struct fwd *f, const Peer__Message *message)
{
	Peer__Owner owner = PEER__OWNER__INIT;
	Peer__Message answer = PEER__MESSAGE__INIT;
	uint64_t incarnation = message->owner_ask->incarnation;
	char address[BB_ADDRESS_BYTES];
	char vm[BB_NAME_BYTES];

	if (!find_any_owner(f, incarnation, vm) || !fwd_address(f->node, message->from_vm, address))
		return;
	owner.n_incarnations = 1;
	owner.incarnations = &incarnation;
	owner.vm = vm;
	answer.to_incarnation = message->from_incarnation;
	answer.ttl_ms = FWD_ANNOUNCE_TTL_MS;
	answer.kind_case = PEER__MESSAGE__KIND_OWNER;
	answer.owner = &owner;
	peer_send(f->node->peer, message->from_vm, address, &answer);
}
