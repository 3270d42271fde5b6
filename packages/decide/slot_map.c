/* Assigns slots, warm shares and load reports from the VM list and the configuration alone. */
#include "decide/load_report.h"
#include "decide/member.h"
#include "decide/slot.h"

#include <string.h>
#include <xxhash.h>

#define WIDE_INTERVAL 4 /* each fourth warm slot may go to a node of any data centre */

/* Separates the hashes of different assignments. */
enum purpose { PURPOSE_SLOT = 1, PURPOSE_WARM, PURPOSE_REMAINDER, PURPOSE_POLL };

struct candidate {
	struct bb_node *node;
	uint64_t hash;
	int dc; /* index of its data centre; -1: not configured */
};

struct slot_map {
	const struct bb *bb;
	int64_t next_share_end_ms; /* when a departed node's share ends next; BB_NEVER: never */
	GArray *all;		   /* struct candidate: listed nodes that are not leaving */
	uint32_t n_dcs;
	GArray **by_dc;	 /* for each data centre, the candidates in it or nearest to it */
	GArray *sharing; /* hashes of all nodes that may still use a warm share */
	uint64_t self;	 /* hash of this node */
};

/* Finaliser of SplitMix64: spreads the sum of two hashes over all bits. */
static uint64_t mix(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ULL;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

static uint64_t hash_name(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

/* Rendezvous hashing (Thaler, Ravishankar, 1998): the node with the highest score wins. */
static uint64_t score(uint64_t upstream, enum purpose purpose, uint32_t k, uint64_t node)
{
	return mix(upstream + mix(node + ((uint64_t)purpose << 32 | k)));
}

static uint64_t winner(const GArray *candidates, uint64_t upstream, enum purpose purpose,
		       uint32_t k)
{
	uint64_t best = 0;
	uint64_t best_score = 0;

	for (guint i = 0; i < candidates->len; i++) {
		uint64_t node = g_array_index(candidates, struct candidate, i).hash;
		uint64_t s = score(upstream, purpose, k, node);

		if (i == 0 || s > best_score) {
			best = node;
			best_score = s;
		}
	}
	return best;
}

/* Number of nodes with a higher score than this one. */
static uint32_t count_before(const GArray *hashes, uint64_t upstream, enum purpose purpose,
			     uint64_t self)
{
	uint64_t own = score(upstream, purpose, 0, self);
	uint32_t before = 0;

	for (guint i = 0; i < hashes->len; i++)
		before += score(upstream, purpose, 0, g_array_index(hashes, uint64_t, i)) > own;
	return before;
}

/* Returns the candidates of the data centre or, if there are none, of its region, else all. */
static GArray *pick_near(const struct slot_map *map, int dc)
{
	const struct cfg_places *places = &map->bb->cfg->places;
	GArray *in_dc = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	GArray *in_region = g_array_new(FALSE, FALSE, sizeof(struct candidate));

	for (guint i = 0; i < map->all->len; i++) {
		struct candidate candidate = g_array_index(map->all, struct candidate, i);

		if (candidate.dc == dc)
			g_array_append_val(in_dc, candidate);
		if (candidate.dc >= 0 && strcmp(places->data_centres[candidate.dc].region,
						places->data_centres[dc].region) == 0)
			g_array_append_val(in_region, candidate);
	}
	if (in_dc->len > 0) {
		g_array_unref(in_region);
		return in_dc;
	}
	g_array_unref(in_dc);
	if (in_region->len > 0)
		return in_region;
	g_array_unref(in_region);
	return g_array_ref(map->all);
}

/* A node that left the list may use its warm share until its hold-off ends. */
static bool may_share(struct slot_map *map, const struct bb_node *node, int64_t now_ms)
{
	int64_t ends_ms;

	if (node->in_list)
		return true;
	ends_ms = node->delisted_ms + slot_hold_off_ms(map->bb);
	if (now_ms >= ends_ms)
		return false;
	if (map->next_share_end_ms == BB_NEVER || ends_ms < map->next_share_end_ms)
		map->next_share_end_ms = ends_ms;
	return true;
}

static void add_node(struct slot_map *map, struct bb_node *node, int64_t now_ms)
{
	const struct candidate candidate = {
		.node = node,
		.hash = hash_name(node->vm),
		.dc = cfg_find_data_centre(map->bb->cfg, node->data_centre),
	};

	if (may_share(map, node, now_ms))
		g_array_append_val(map->sharing, candidate.hash);
	if (node->in_list && !node->leaving)
		g_array_append_val(map->all, candidate);
}

static struct slot_map *make_map(const struct bb *bb, int64_t now_ms)
{
	struct slot_map *map = g_new0(struct slot_map, 1);
	GHashTableIter iter;
	gpointer value;

	map->bb = bb;
	map->self = hash_name(bb->self_vm);
	map->all = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	map->sharing = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	map->next_share_end_ms = BB_NEVER;
	g_hash_table_iter_init(&iter, bb->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_node(map, value, now_ms);
	map->n_dcs = bb->cfg->places.n_data_centres;
	map->by_dc = g_new0(GArray *, map->n_dcs);
	for (uint32_t dc = 0; dc < map->n_dcs; dc++)
		map->by_dc[dc] = pick_near(map, (int)dc);
	return map;
}

void slot_map_free(struct slot_map *map)
{
	if (!map)
		return;
	for (uint32_t dc = 0; dc < map->n_dcs; dc++)
		g_array_unref(map->by_dc[dc]);
	g_free(map->by_dc);
	g_array_unref(map->all);
	g_array_unref(map->sharing);
	g_free(map);
}

static bool contains_self(const struct slot_map *map, const GArray *candidates)
{
	for (guint i = 0; i < candidates->len; i++) {
		if (g_array_index(candidates, struct candidate, i).hash == map->self)
			return true;
	}
	return false;
}

static void assign_slots(const struct slot_map *map, struct bb_upstream *up, uint64_t hash,
			 bool near, int64_t now_ms)
{
	const GArray *candidates = map->by_dc[up->dc];

	up->n_slots = MIN(up->service->cold_limit, BB_COLD_SLOTS_MAX);
	for (int32_t k = 0; k < BB_COLD_SLOTS_MAX; k++) {
		bool owned = near && k < up->n_slots &&
			     winner(candidates, hash, PURPOSE_SLOT, (uint32_t)k) == map->self;

		if (!owned)
			up->slot_since_ms[k] = BB_NEVER;
		else if (up->slot_since_ms[k] == BB_NEVER)
			up->slot_since_ms[k] = now_ms;
	}
}

/*
 * Returns this node's share of the warm limit. If there are at most as many nodes as the limit,
 * their shares differ by at most one; otherwise each slot is assigned to one node, most of them to
 * near nodes.
 */
static int32_t warm_share(const struct slot_map *map, const struct bb_upstream *up, uint64_t hash,
			  bool near)
{
	uint32_t limit = (uint32_t)up->service->warm_limit;
	uint32_t nodes = MAX(map->sharing->len, 1);
	int32_t owned = 0;

	if (nodes <= limit) {
		bool remainder = count_before(map->sharing, hash, PURPOSE_REMAINDER, map->self) <
				 limit % nodes;
		return (int32_t)(limit / nodes) + remainder;
	}
	for (uint32_t k = 0; k < limit; k++) {
		bool wide = k % WIDE_INTERVAL == WIDE_INTERVAL - 1;
		const GArray *candidates = wide ? map->all : map->by_dc[up->dc];

		if (wide || near)
			owned += winner(candidates, hash, PURPOSE_WARM, k) == map->self;
	}
	return owned;
}

static bool is_poller(const struct slot_map *map, const struct bb_upstream *up, uint64_t hash)
{
	const GArray *candidates = map->by_dc[up->dc];
	uint64_t own = score(hash, PURPOSE_POLL, 0, map->self);
	uint32_t before = 0;

	for (guint i = 0; i < candidates->len; i++)
		before += score(hash, PURPOSE_POLL, 0,
				g_array_index(candidates, struct candidate, i).hash) > own;
	return before < LOAD_REPORT_POLLERS;
}

static void shuffle(struct bb *bb, GPtrArray *nodes)
{
	for (guint i = nodes->len; i > 1; i--) {
		guint j = (guint)prng_below(&bb->prng, i);
		gpointer swap = nodes->pdata[i - 1];

		nodes->pdata[i - 1] = nodes->pdata[j];
		nodes->pdata[j] = swap;
	}
}

/* Sets the digest targets; leaving nodes are included, to learn that they lost slots. */
static void set_peers(struct bb *bb)
{
	int dc = cfg_find_data_centre(bb->cfg, bb->self_dc);
	GHashTableIter iter;
	gpointer value;

	g_ptr_array_set_size(bb->others, 0);
	g_ptr_array_set_size(bb->near, 0);
	g_hash_table_iter_init(&iter, bb->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bb_node *node = value;

		if (!node->in_list || strcmp(node->vm, bb->self_vm) == 0)
			continue;
		g_ptr_array_add(bb->others, node);
		if (dc >= 0 && strcmp(node->data_centre, bb->self_dc) == 0)
			g_ptr_array_add(bb->near, node);
	}
	for (guint i = 0; bb->near->len == 0 && i < bb->others->len; i++)
		g_ptr_array_add(bb->near, g_ptr_array_index(bb->others, i));
	shuffle(bb, bb->others);
	shuffle(bb, bb->near);
}

static void assign_upstream(const struct slot_map *map, struct bb_upstream *up, int64_t now_ms)
{
	uint64_t hash = hash_name(up->name);
	bool near = contains_self(map, map->by_dc[up->dc]);

	assign_slots(map, up, hash, near, now_ms);
	up->warm_share = warm_share(map, up, hash, near);
	up->polled = near && is_poller(map, up, hash);
}

static void clear_slots(struct bb_upstream *up)
{
	for (int32_t k = 0; k < BB_COLD_SLOTS_MAX; k++)
		up->slot_since_ms[k] = BB_NEVER;
	up->warm_share = 0;
	up->polled = false;
}

void slot_recompute(struct bb *bb, int64_t now_ms)
{
	if (!bb->cfg || !bb->list)
		return;
	slot_map_free(bb->map);
	bb->map = make_map(bb, now_ms);
	bb->recompute_at_ms = bb->map->next_share_end_ms;
	set_peers(bb);
	g_ptr_array_set_size(bb->polled, 0);
	for (uint32_t i = 0; i < bb->upstreams->len; i++) {
		struct bb_upstream *up = g_ptr_array_index(bb->upstreams, i);

		if (up->in_config && bb->map->all->len > 0)
			assign_upstream(bb->map, up, now_ms);
		else
			clear_slots(up);
		if (up->polled)
			g_ptr_array_add(bb->polled, up);
	}
	bb->converged_ms = BB_NEVER;
	member_update_converged(bb, now_ms);
}

const struct bb_node *slot_owner(const struct bb *bb, const struct bb_upstream *up, uint32_t k)
{
	const GArray *candidates;
	uint64_t hash;

	if (!bb->map || !up->in_config || bb->map->by_dc[up->dc]->len == 0)
		return NULL;
	candidates = bb->map->by_dc[up->dc];
	hash = winner(candidates, hash_name(up->name), PURPOSE_SLOT, k);
	for (guint i = 0; i < candidates->len; i++) {
		const struct candidate *candidate = &g_array_index(candidates, struct candidate, i);
		if (candidate->hash == hash)
			return candidate->node;
	}
	return NULL;
}
