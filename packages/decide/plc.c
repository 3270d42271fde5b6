#include "decide/plc.h"

#include <string.h>
#include <xxhash.h>

#define PLC_GAP_MS 2000 /* between updates, after which a claim starts anew */

static void fill_order(const struct cfg *cfg, const struct cfg_model *model,
		       const struct cfg_upstream *up, struct plc_order *order)
{
	memset(order, 0, sizeof(*order));
	g_strlcpy(order->engine, up->name, sizeof(order->engine));
	g_strlcpy(order->address, up->address, sizeof(order->address));
	g_strlcpy(order->model, model->name, sizeof(order->model));
	g_strlcpy(order->version, model->version, sizeof(order->version));
	g_strlcpy(order->role, model->role ? model->role : "mixed", sizeof(order->role));
	order->fence = cfg->models.revision;
	order->checks_fencing = cfg->services.items[up->svc].checks_fencing;
	order->dc = up->dc;
}

GArray *plc_wanted(const struct cfg *cfg)
{
	GArray *orders = g_array_new(FALSE, FALSE, sizeof(struct plc_order));
	GHashTable *ups = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < cfg->upstreams.n_items; i++)
		g_hash_table_insert(ups, cfg->upstreams.items[i].name, &cfg->upstreams.items[i]);
	for (uint32_t i = 0; i < cfg->models.n_items; i++) {
		const struct cfg_model *model = &cfg->models.items[i];

		for (uint32_t k = 0; k < model->n_upstreams; k++) {
			struct plc_order order;

			fill_order(cfg, model, g_hash_table_lookup(ups, model->upstreams[k]),
				   &order);
			g_array_append_val(orders, order);
		}
	}
	g_hash_table_destroy(ups);
	return orders;
}

static bool is_there(const struct bb *bb, const struct bb_node *node, uint32_t dc)
{
	return strcmp(node->data_centre, bb->cfg->places.data_centres[dc].name) == 0;
}

static bool may_order(const struct bb_node *node)
{
	return node->in_list && !node->leaving;
}

static uint64_t score(const struct bb_node *node, const char *model, uint32_t dc)
{
	return XXH64(node->vm, strlen(node->vm), XXH64(model, strlen(model), dc));
}

int plc_turn(const struct bb *bb, const char *model, uint32_t dc)
{
	const struct bb_node *self = bb_node(bb, bb->self_vm);
	int before_there = 0;
	int before_any = 0;
	int n_there = 0;
	GHashTableIter iter;
	gpointer value;

	if (!self || !may_order(self))
		return -1;
	g_hash_table_iter_init(&iter, bb->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bb_node *node = value;
		bool there = is_there(bb, node, dc);
		bool before = score(node, model, dc) > score(self, model, dc);

		if (!may_order(node))
			continue;
		n_there += there;
		before_there += there && before;
		before_any += before;
	}
	if (n_there == 0)
		return before_any;
	return is_there(bb, self, dc) ? before_there : -1;
}

static bool is_list_fresh(const struct bb *bb, int64_t now_ms)
{
	return bb->list && now_ms - bb->list_at_ms <= bb->cfg->capacity.view_age_ms;
}

void plc_update(const struct bb *bb, const struct plc_order *order, struct plc_claim *claim,
		int64_t now_ms)
{
	bool first = is_list_fresh(bb, now_ms) && plc_turn(bb, order->model, order->dc) == 0;
	bool gap = now_ms - claim->seen_ms > PLC_GAP_MS;

	if (claim->fence != order->fence)
		claim->wanted_ms = now_ms;
	if (!first || gap)
		claim->first_ms = BB_NEVER;
	if (first && claim->first_ms == BB_NEVER)
		claim->first_ms = now_ms;
	claim->fence = order->fence;
	claim->seen_ms = now_ms;
}

/* Is the order what the configuration in force asks for? */
static bool is_wanted(const struct cfg *cfg, const struct plc_order *order)
{
	GArray *wanted = plc_wanted(cfg);
	bool found = false;

	for (guint i = 0; i < wanted->len && !found; i++) {
		const struct plc_order *w = &g_array_index(wanted, struct plc_order, i);

		found = strcmp(w->engine, order->engine) == 0 &&
			strcmp(w->address, order->address) == 0 &&
			strcmp(w->model, order->model) == 0 &&
			strcmp(w->version, order->version) == 0 &&
			strcmp(w->role, order->role) == 0 && w->fence == order->fence;
	}
	g_array_unref(wanted);
	return found;
}

/* A former first in turn gives up when its list is old, and what it has in hand when that is. */
static int64_t hold_off_ms(const struct bb *bb)
{
	return bb->cfg->capacity.list_lag_ms + bb->cfg->capacity.view_age_ms + PLC_ORDER_AGE_MS;
}

bool plc_may_give(const struct bb *bb, const struct plc_order *order, const struct plc_claim *claim,
		  int64_t now_ms)
{
	int turn;

	if (!bb->cfg || now_ms - order->made_ms > PLC_ORDER_AGE_MS ||
	    claim->fence != order->fence || !is_wanted(bb->cfg, order))
		return false;
	turn = plc_turn(bb, order->model, order->dc);
	if (order->checks_fencing)
		return turn >= 0 && now_ms - claim->wanted_ms >= turn * (int64_t)PLC_TURN_MS;
	return turn == 0 && is_list_fresh(bb, now_ms) && claim->first_ms != BB_NEVER &&
	       now_ms - claim->first_ms >= hold_off_ms(bb);
}
