/* Which slots, shares and load reports fall to this node: a pure function of list and config. */
#include "decide/mem.h"
#include "decide/rep.h"
#include "decide/slt.h"

#include <string.h>
#include <xxhash.h>

#define WIDE_EVERY 4 /* each fourth warm slot is given among all nodes, wherever they are */

/* Purposes that draw from different hashes. */
enum draw { DRAW_SLOT = 1, DRAW_WARM, DRAW_REST, DRAW_POLL };

struct member {
	struct bb_node *node;
	uint64_t hash;
	int dc; /* index into the data centres, -1: not configured */
};

struct slt_map {
	const struct bb *bb;
	int64_t share_until_ms; /* when the first node's share ends; BB_NEVER: never */
	GArray *all;		/* struct member of listed nodes that are not leaving */
	uint32_t n_dcs;
	GArray **by_dc;	 /* the same, by the data centre whose upstreams they are nearest to */
	GArray *sharing; /* hashes of all nodes that may still use a share */
	uint64_t self;
};

/* Finaliser of SplitMix64: a good mix of the two hashes. */
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

/* Rendezvous hashing (Thaler, Ravishankar, 1998): the node of the highest score wins. */
static uint64_t score(uint64_t upstream, enum draw draw, uint32_t k, uint64_t node)
{
	return mix(upstream + mix(node + ((uint64_t)draw << 32 | k)));
}

static uint64_t winner(const GArray *members, uint64_t upstream, enum draw draw, uint32_t k)
{
	uint64_t best = 0;
	uint64_t best_score = 0;

	for (guint i = 0; i < members->len; i++) {
		uint64_t node = g_array_index(members, struct member, i).hash;
		uint64_t s = score(upstream, draw, k, node);

		if (i == 0 || s > best_score) {
			best = node;
			best_score = s;
		}
	}
	return best;
}

/* Members before this node by score. */
static uint32_t rank(const GArray *hashes, uint64_t upstream, enum draw draw, uint64_t self)
{
	uint64_t own = score(upstream, draw, 0, self);
	uint32_t before = 0;

	for (guint i = 0; i < hashes->len; i++)
		before += score(upstream, draw, 0, g_array_index(hashes, uint64_t, i)) > own;
	return before;
}

static GArray *pick_near(const struct slt_map *map, int dc)
{
	const struct cfg_places *places = &map->bb->cfg->places;
	GArray *in_dc = g_array_new(FALSE, FALSE, sizeof(struct member));
	GArray *in_region = g_array_new(FALSE, FALSE, sizeof(struct member));

	for (guint i = 0; i < map->all->len; i++) {
		struct member member = g_array_index(map->all, struct member, i);

		if (member.dc == dc)
			g_array_append_val(in_dc, member);
		if (member.dc >= 0 && strcmp(places->data_centres[member.dc].region,
					     places->data_centres[dc].region) == 0)
			g_array_append_val(in_region, member);
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

/* A node that left the list may use its share until its hold-off is over. */
static bool may_share(struct slt_map *map, const struct bb_node *node, int64_t now_ms)
{
	int64_t ends_ms;

	if (node->in_list)
		return true;
	ends_ms = node->gone_ms + slt_hold_off_ms(map->bb);
	if (now_ms >= ends_ms)
		return false;
	if (map->share_until_ms == BB_NEVER || ends_ms < map->share_until_ms)
		map->share_until_ms = ends_ms;
	return true;
}

static void add_node(struct slt_map *map, struct bb_node *node, int64_t now_ms)
{
	const struct member member = {
		.node = node,
		.hash = hash_name(node->vm),
		.dc = cfg_find_data_centre(map->bb->cfg, node->data_centre),
	};

	if (may_share(map, node, now_ms))
		g_array_append_val(map->sharing, member.hash);
	if (node->in_list && !node->leaving)
		g_array_append_val(map->all, member);
}

static struct slt_map *make_map(const struct bb *bb, int64_t now_ms)
{
	struct slt_map *map = g_new0(struct slt_map, 1);
	GHashTableIter iter;
	gpointer value;

	map->bb = bb;
	map->self = hash_name(bb->self_vm);
	map->all = g_array_new(FALSE, FALSE, sizeof(struct member));
	map->sharing = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	map->share_until_ms = BB_NEVER;
	g_hash_table_iter_init(&iter, bb->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_node(map, value, now_ms);
	map->n_dcs = bb->cfg->places.n_data_centres;
	map->by_dc = g_new0(GArray *, map->n_dcs);
	for (uint32_t dc = 0; dc < map->n_dcs; dc++)
		map->by_dc[dc] = pick_near(map, (int)dc);
	return map;
}

void slt_map_free(struct slt_map *map)
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

static bool has_self(const struct slt_map *map, const GArray *members)
{
	for (guint i = 0; i < members->len; i++) {
		if (g_array_index(members, struct member, i).hash == map->self)
			return true;
	}
	return false;
}

static void set_slots(const struct slt_map *map, struct bb_upstream *up, uint64_t hash, bool near,
		      int64_t now_ms)
{
	const GArray *members = map->by_dc[up->dc];

	up->n_slots = MIN(up->service->cold_limit, BB_COLD_SLOTS_MAX);
	for (int32_t k = 0; k < BB_COLD_SLOTS_MAX; k++) {
		bool held = near && k < up->n_slots &&
			    winner(members, hash, DRAW_SLOT, (uint32_t)k) == map->self;

		if (!held)
			up->slot_since_ms[k] = BB_NEVER;
		else if (up->slot_since_ms[k] == BB_NEVER)
			up->slot_since_ms[k] = now_ms;
	}
}

/* With fewer nodes than the limit each has an equal share; else slots, most of them near. */
static int32_t warm_share(const struct slt_map *map, const struct bb_upstream *up, uint64_t hash,
			  bool near)
{
	uint32_t limit = (uint32_t)up->service->warm_limit;
	uint32_t nodes = MAX(map->sharing->len, 1);
	int32_t held = 0;

	if (nodes <= limit) {
		bool one_more = rank(map->sharing, hash, DRAW_REST, map->self) < limit % nodes;
		return (int32_t)(limit / nodes) + one_more;
	}
	for (uint32_t k = 0; k < limit; k++) {
		bool wide = k % WIDE_EVERY == WIDE_EVERY - 1;
		const GArray *members = wide ? map->all : map->by_dc[up->dc];

		if (wide || near)
			held += winner(members, hash, DRAW_WARM, k) == map->self;
	}
	return held;
}

static bool is_poller(const struct slt_map *map, const struct bb_upstream *up, uint64_t hash)
{
	const GArray *members = map->by_dc[up->dc];
	uint64_t own = score(hash, DRAW_POLL, 0, map->self);
	uint32_t before = 0;

	for (guint i = 0; i < members->len; i++)
		before += score(hash, DRAW_POLL, 0, g_array_index(members, struct member, i).hash) >
			  own;
	return before < REP_POLLERS;
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

/* Others to send digests to, leaving ones included: they have to learn that they lost slots. */
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

static void set_upstream(const struct slt_map *map, struct bb_upstream *up, int64_t now_ms)
{
	uint64_t hash = hash_name(up->name);
	bool near = has_self(map, map->by_dc[up->dc]);

	set_slots(map, up, hash, near, now_ms);
	up->warm_share = warm_share(map, up, hash, near);
	up->polled = near && is_poller(map, up, hash);
}

static void drop_slots(struct bb_upstream *up)
{
	for (int32_t k = 0; k < BB_COLD_SLOTS_MAX; k++)
		up->slot_since_ms[k] = BB_NEVER;
	up->warm_share = 0;
	up->polled = false;
}

void slt_recompute(struct bb *bb, int64_t now_ms)
{
	if (!bb->cfg || !bb->list)
		return;
	slt_map_free(bb->map);
	bb->map = make_map(bb, now_ms);
	bb->recompute_at_ms = bb->map->share_until_ms;
	set_peers(bb);
	g_ptr_array_set_size(bb->polled, 0);
	for (uint32_t i = 0; i < bb->upstreams->len; i++) {
		struct bb_upstream *up = g_ptr_array_index(bb->upstreams, i);

		if (up->in_config && bb->map->all->len > 0)
			set_upstream(bb->map, up, now_ms);
		else
			drop_slots(up);
		if (up->polled)
			g_ptr_array_add(bb->polled, up);
	}
	bb->agreed_ms = BB_NEVER;
	mem_update_agreed(bb, now_ms);
}

const struct bb_node *slt_holder(const struct bb *bb, const struct bb_upstream *up, uint32_t k)
{
	const GArray *members;
	uint64_t hash;

	if (!bb->map || !up->in_config || bb->map->by_dc[up->dc]->len == 0)
		return NULL;
	members = bb->map->by_dc[up->dc];
	hash = winner(members, hash_name(up->name), DRAW_SLOT, k);
	for (guint i = 0; i < members->len; i++) {
		const struct member *member = &g_array_index(members, struct member, i);
		if (member->hash == hash)
			return member->node;
	}
	return NULL;
}
