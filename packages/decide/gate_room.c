/*
 * Room of brittle upstreams. Nodes tell the owner of an upstream's limit how many requests they
 * have in progress there. Once a share of its room is in use the owner tells all nodes that it is
 * crowded; from then on each request needs a permit, and the owner grants no more than fit.
 */
#include "gate_internal.h"

#include <math.h>

/* A single request doesn't make an upstream crowded, unless it has room for no other. */
#define CROWD_MIN 2
/* For which the sum of uses holds unless one of them changes. */
#define SUM_MS 50

void gate_clear_room(struct gate_room *room)
{
	if (room->uses)
		g_hash_table_destroy(room->uses);
}

static bool is_brittle(const struct gate_record *r)
{
	return r->brittle.refusals_per_s >= 0;
}

bool gate_is_crowded(const struct gate_record *r, int64_t now_ms)
{
	return is_brittle(r) && r->room.crowded_ms > 0 &&
	       now_ms - r->room.crowded_ms < GATE_CROWDED_MS;
}

/* Returns how many requests it may have at a time; 0: unknown. */
static uint32_t room_of(const struct gate *g, const struct gate_record *r, int64_t now_ms)
{
	uint32_t slots = g->fleet.slots ? g->fleet.slots(g->fleet.arg, r->id) : 0;
	int64_t grown = (now_ms - r->room.grown_ms) / GATE_ROOM_GROW_MS;

	if (r->room.n_max == 0)
		return slots;
	return (uint32_t)MIN((int64_t)slots, (int64_t)r->room.n_max + grown);
}

static uint32_t use_of(const struct gate_node_use *use, int64_t now_ms)
{
	uint32_t n = now_ms - use->told_ms < GATE_USE_KEEP_MS ? use->n_in_flight : 0;

	return n + (now_ms < use->granted_until_ms ? use->n_granted : 0);
}

/* Sums the uses up, and drops those that were told long ago. */
static void sum_uses(struct gate_room *room, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	room->n_used = 0;
	room->summed_ms = now_ms;
	g_hash_table_iter_init(&iter, room->uses);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now_ms - ((struct gate_node_use *)value)->told_ms >= 2 * GATE_USE_KEEP_MS)
			g_hash_table_iter_remove(&iter);
		else
			room->n_used += use_of(value, now_ms);
	}
}

/* Returns what is in progress there from all nodes, permits that aren't spent included. */
static uint32_t count_uses(const struct gate *g, struct gate_record *r, int64_t now_ms)
{
	uint32_t n = g->fleet.in_flight ? g->fleet.in_flight(g->fleet.arg, r->id) : 0;

	if (!r->room.uses)
		return n;
	if (now_ms - r->room.summed_ms >= SUM_MS)
		sum_uses(&r->room, now_ms);
	return n + r->room.n_used;
}

/* Returns the use of a node, which is about to change. */
static struct gate_node_use *need_use(struct gate_record *r, const char *node, int64_t now_ms)
{
	struct gate_node_use *use;

	r->room.summed_ms = 0;
	if (!r->room.uses)
		r->room.uses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	use = g_hash_table_lookup(r->room.uses, node);
	if (use)
		return use;
	use = g_new0(struct gate_node_use, 1);
	g_strlcpy(use->node, node, sizeof(use->node));
	use->told_ms = now_ms;
	g_hash_table_insert(r->room.uses, use->node, use);
	return use;
}

uint32_t gate_count_room(struct gate *g, struct gate_record *r, int64_t now_ms)
{
	const struct gate_bucket *b = &r->bucket;
	uint32_t room = room_of(g, r, now_ms);
	double share = b->share;
	uint32_t used;

	if (room == 0)
		return UINT32_MAX;
	if (now_ms - b->owned_since_ms < GATE_TAKEOVER_MS)
		share = MIN(share, GATE_TAKEOVER_SHARE);
	used = count_uses(g, r, now_ms);
	room = (uint32_t)MAX(floor(room * share), 1);
	return used < room ? room - used : 0;
}

void gate_note_grant(struct gate_record *r, const char *node, uint32_t n, int64_t now_ms)
{
	struct gate_node_use *use;

	if (n == 0)
		return; /* permits that were granted before end as they would */
	use = need_use(r, node, now_ms);
	use->n_granted = n + (now_ms < use->granted_until_ms ? use->n_granted : 0);
	use->granted_until_ms = now_ms + GATE_PERMIT_MS;
}

void gate_cut_room(struct gate *g, struct gate_record *r, int64_t now_ms)
{
	uint32_t used = count_uses(g, r, now_ms);

	if (!r->room.uses)
		return; /* another node is the owner */
	r->room.n_max = (uint32_t)MAX(used * GATE_ROOM_CUT, 1);
	r->room.grown_ms = now_ms;
}

/* Returns how many requests in progress make it crowded. */
static uint32_t crowd_of(uint32_t room)
{
	return MIN(MAX((uint32_t)ceil(room * GATE_CROWDED_SHARE), CROWD_MIN), room);
}

/* Returns whether all nodes should be told that it is crowded. */
static bool note_crowd(struct gate *g, struct gate_record *r, int64_t now_ms)
{
	uint32_t room = room_of(g, r, now_ms);
	uint32_t used = count_uses(g, r, now_ms);

	if (room == 0 || used < crowd_of(room))
		return false;
	r->room.crowded_ms = now_ms;
	if (r->room.crowded_told_ms > 0 && now_ms - r->room.crowded_told_ms < GATE_CROWDED_TELL_MS)
		return false;
	r->room.crowded_told_ms = now_ms;
	return true;
}

bool gate_is_use_due(struct gate *g, struct gate_run run, int64_t now_ms, uint32_t *n_in_flight)
{
	struct gate_record *r = gate_find(g, run);
	int64_t age_ms;

	if (!r || !is_brittle(r) || !g->fleet.in_flight)
		return false;
	*n_in_flight = g->fleet.in_flight(g->fleet.arg, r->id);
	age_ms = now_ms - r->room.told_ms;
	if (*n_in_flight == r->room.n_told &&
	    (*n_in_flight == 0 || (r->room.told_ms > 0 && age_ms < GATE_USE_TELL_MS)))
		return false;
	r->room.n_told = *n_in_flight;
	r->room.told_ms = now_ms;
	return true;
}

bool gate_note_use(struct gate *g, struct gate_run run, const char *node, uint32_t n_in_flight,
		   int64_t now_ms)
{
	struct gate_record *r = gate_find(g, run);
	struct gate_node_use *use;
	uint32_t n_more;

	if (!r || !is_brittle(r))
		return false;
	use = need_use(r, node, now_ms);
	n_more = n_in_flight > use->n_in_flight ? n_in_flight - use->n_in_flight : 0;
	use->n_granted -= MIN(n_more, use->n_granted);
	use->n_in_flight = n_in_flight;
	use->told_ms = now_ms;
	return note_crowd(g, r, now_ms);
}

bool gate_note_own_use(struct gate *g, struct gate_run run, int64_t now_ms)
{
	struct gate_record *r = gate_find(g, run);

	return r && is_brittle(r) && note_crowd(g, r, now_ms);
}
