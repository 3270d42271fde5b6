#include "decide/placement.h"

#include <string.h>
#include <xxhash.h>

#define PLACEMENT_UPDATE_GAP_MS 2000 /* a longer gap between updates restarts a claim */

void placement_fill_order(const struct cfg *cfg, const struct placement_pair *pair,
			  struct placement_order *order)
{
	const struct cfg_model *model = pair->model;
	const struct cfg_upstream *up = pair->up;

	memset(order, 0, sizeof(*order));
	g_strlcpy(order->engine, up->name, sizeof(order->engine));
	g_strlcpy(order->address, up->address, sizeof(order->address));
	g_strlcpy(order->model, model->name, sizeof(order->model));
	g_strlcpy(order->version, model->version, sizeof(order->version));
	g_strlcpy(order->role, model->role ? model->role : "mixed", sizeof(order->role));
	order->fence = cfg->models.revision;
	order->checks_fencing = cfg->services.items[up->service_index].checks_fencing;
	order->dc = up->dc;
	order->cfg = cfg;
}

GArray *placement_pairs(const struct cfg *cfg)
{
	GArray *pairs = g_array_new(FALSE, FALSE, sizeof(struct placement_pair));
	GHashTable *ups = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < cfg->upstreams.n_items; i++)
		g_hash_table_insert(ups, cfg->upstreams.items[i].name, &cfg->upstreams.items[i]);
	for (uint32_t i = 0; i < cfg->models.n_items; i++) {
		const struct cfg_model *model = &cfg->models.items[i];

		for (uint32_t k = 0; k < model->n_upstreams; k++) {
			const struct placement_pair pair = {
				model, g_hash_table_lookup(ups, model->upstreams[k])};

			g_array_append_val(pairs, pair);
		}
	}
	g_hash_table_destroy(ups);
	return pairs;
}

GArray *placement_wanted_orders(const struct cfg *cfg)
{
	GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct placement_order));
	GArray *pairs = placement_pairs(cfg);

	g_array_set_size(orders, pairs->len);
	for (guint i = 0; i < pairs->len; i++)
		placement_fill_order(cfg, &g_array_index(pairs, struct placement_pair, i),
				     &g_array_index(orders, struct placement_order, i));
	g_array_unref(pairs);
	return orders;
}

static bool is_in_dc(const struct bb *bb, const struct bb_node *node, uint32_t dc)
{
	return strcmp(node->data_centre, bb->cfg->places.data_centres[dc].name) == 0;
}

static bool can_send_orders(const struct bb_node *node)
{
	return node->in_list && !node->leaving;
}

static uint64_t score(const struct bb_node *node, uint64_t seed)
{
	return XXH64(node->vm, strlen(node->vm), seed);
}

int placement_turn(const struct bb *bb, const char *model, uint32_t dc)
{
	const struct bb_node *self = bb_node(bb, bb->self_vm);
	int before_in_dc = 0;
	int before_any = 0;
	int n_in_dc = 0;
	uint64_t seed = XXH64(model, strlen(model), dc);
	uint64_t own;
	GHashTableIter iter;
	gpointer value;

	if (!self || !can_send_orders(self))
		return -1;
	own = score(self, seed);
	g_hash_table_iter_init(&iter, bb->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bb_node *node = value;
		bool in_dc;
		bool before;

		if (!can_send_orders(node))
			continue;
		in_dc = is_in_dc(bb, node, dc);
		before = score(node, seed) > own;
		n_in_dc += in_dc;
		before_in_dc += in_dc && before;
		before_any += before;
	}
	if (n_in_dc == 0)
		return before_any;
	return is_in_dc(bb, self, dc) ? before_in_dc : -1;
}

static bool is_list_fresh(const struct bb *bb, int64_t now_ms)
{
	return bb->list && now_ms - bb->list_at_ms <= bb->cfg->capacity.view_age_ms;
}

void placement_update_claim(const struct bb *bb, const struct placement_order *order,
			    struct placement_claim *claim, int64_t now_ms)
{
	bool first;
	bool gap = now_ms - claim->updated_ms > PLACEMENT_UPDATE_GAP_MS;

	if (!bb->list || claim->list_version != bb->list->version)
		claim->turn = placement_turn(bb, order->model, order->dc);
	claim->list_version = bb->list ? bb->list->version : 0;
	first = is_list_fresh(bb, now_ms) && claim->turn == 0;
	if (claim->fence != order->fence)
		claim->wanted_ms = now_ms;
	if (!first || gap)
		claim->first_ms = BB_NEVER;
	if (first && claim->first_ms == BB_NEVER)
		claim->first_ms = now_ms;
	claim->fence = order->fence;
	claim->updated_ms = now_ms;
}

static bool is_same(const struct placement_order *a, const struct placement_order *b)
{
	return strcmp(a->address, b->address) == 0 && strcmp(a->model, b->model) == 0 &&
	       strcmp(a->version, b->version) == 0 && strcmp(a->role, b->role) == 0 &&
	       a->fence == b->fence;
}

/* True when the order matches the configuration in force. */
static bool is_wanted(const struct cfg *cfg, const struct placement_order *order)
{
	GArray *pairs;
	bool found = false;

	if (order->cfg == cfg)
		return true;
	pairs = placement_pairs(cfg);
	for (guint i = 0; i < pairs->len && !found; i++) {
		const struct placement_pair *pair = &g_array_index(pairs, struct placement_pair, i);
		struct placement_order wanted;

		if (strcmp(pair->up->name, order->engine) != 0)
			continue;
		placement_fill_order(cfg, pair, &wanted);
		found = is_same(&wanted, order);
	}
	g_array_unref(pairs);
	return found;
}

/*
 * Time after which a node that was first in turn before can no longer send: its VM list is stale by
 * then, and an order that it had queried for has expired.
 */
static int64_t hold_off_ms(const struct bb *bb)
{
	return bb->cfg->capacity.list_lag_ms + bb->cfg->capacity.view_age_ms +
	       PLACEMENT_ORDER_AGE_MAX_MS;
}

bool placement_is_due(const struct placement_claim *claim, bool checks_fencing, int64_t now_ms)
{
	if (!checks_fencing)
		return claim->first_ms != BB_NEVER;
	return claim->turn >= 0 &&
	       now_ms - claim->wanted_ms >= claim->turn * (int64_t)PLACEMENT_TURN_MS;
}

bool placement_may_send(const struct bb *bb, const struct placement_order *order,
			const struct placement_claim *claim, int64_t now_ms)
{
	int turn;

	if (!bb->cfg || now_ms - order->engine_queried_ms > PLACEMENT_ORDER_AGE_MAX_MS ||
	    claim->fence != order->fence || !is_wanted(bb->cfg, order))
		return false;
	/* Computed anew: the list may have changed since the claim's update. */
	turn = placement_turn(bb, order->model, order->dc);
	if (order->checks_fencing)
		return turn >= 0 && now_ms - claim->wanted_ms >= turn * (int64_t)PLACEMENT_TURN_MS;
	return turn == 0 && is_list_fresh(bb, now_ms) && claim->first_ms != BB_NEVER &&
	       now_ms - claim->first_ms >= hold_off_ms(bb);
}
