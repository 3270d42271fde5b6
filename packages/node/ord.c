/* Gives orders to engines: reads back what each holds, orders what is wanted, and reads again. */
#include "base/clk.h"
#include "base/ctr.h"
#include "base/log.h"
#include "decide/plc.h"
#include "node/nod.h"

#include <string.h>

#define ORD_PERIOD_MS 500
#define ORD_CHECK_MS 5000 /* between readings of an engine that holds what is wanted */
#define ORD_CALL_MS 1000
#define ORD_BYTES_MAX 65536

/* What this node knows of an engine's orders. */
struct state {
	struct plc_claim claim;
	int64_t held_fence; /* fencing number under which it was seen to hold what is wanted */
	int64_t held_ms;    /* when that was seen */
	bool loading;
};

struct ord {
	GHashTable *states; /* engine -> struct state; touched by one pass at a time */
	gint busy;	    /* atomic: a pass runs */
};

/* What an engine says that it holds. */
struct holding {
	int64_t fence;
	bool same;
	bool loading;
};

/* One order on its way, for the last question before its bytes leave. */
struct giving {
	struct nod *node;
	const struct plc_order *order;
	const struct plc_claim *claim;
};

static struct state *state_of(struct ord *o, const char *engine)
{
	struct state *state = g_hash_table_lookup(o->states, engine);

	if (!state) {
		state = g_new0(struct state, 1);
		state->claim.first_ms = BB_NEVER;
		g_hash_table_insert(o->states, g_strdup(engine), state);
	}
	return state;
}

static bool may_give(void *arg)
{
	const struct giving *g = arg;
	bool may;

	pthread_mutex_lock(&g->node->lock);
	may = plc_may_give(&g->node->dec->bb, g->order, g->claim, clk_now_ms());
	pthread_mutex_unlock(&g->node->lock);
	return may;
}

static bool is_text(const json_t *json, const char *key, const char *text)
{
	const char *value = json_string_value(json_object_get(json, key));

	return value && strcmp(value, text) == 0;
}

static bool read_back(struct nod *n, const struct plc_order *order, struct holding *holding)
{
	const struct hcl_call call = {
		.method = "GET",
		.address = order->address,
		.path = "/v1/orders",
		.timeout_ms = ORD_CALL_MS,
		.idempotent = true,
		.max_bytes = ORD_BYTES_MAX,
	};
	struct hcl_answer answer;
	json_t *json = NULL;

	if (hcl_do(n->http, &call, &answer, NULL) && answer.status == 200)
		json = json_loadb((const char *)answer.body->data, answer.body->len, 0, NULL);
	hcl_answer_clear(&answer);
	if (!json)
		return false;
	holding->fence = json_integer_value(json_object_get(json, "fence"));
	holding->loading = json_is_true(json_object_get(json, "loading"));
	holding->same = is_text(json, "model", order->model) &&
			is_text(json, "version", order->version) &&
			is_text(json, "role", order->role);
	json_decref(json);
	return true;
}

static void give(struct giving *g)
{
	const struct plc_order *order = g->order;
	json_t *json = json_pack("{s:I, s:s, s:s, s:s}", "fence", (json_int_t)order->fence, "model",
				 order->model, "version", order->version, "role", order->role);
	char *text = json_dumps(json, JSON_COMPACT);
	const struct hcl_call call = {
		.method = "POST",
		.address = order->address,
		.path = "/v1/orders",
		.body = text,
		.body_len = strlen(text),
		.timeout_ms = ORD_CALL_MS,
		.may_send = may_give,
		.may_send_arg = g,
	};
	struct hcl_answer answer;

	hcl_do(g->node->http, &call, &answer, NULL);
	if (answer.sent) {
		ctr_add(CTR_ORDERS, 1);
		log_info("order_given", "{s:s, s:s, s:s, s:I, s:i}", "engine", order->engine,
			 "model", order->model, "version", order->version, "fence",
			 (json_int_t)order->fence, "status", answer.status);
	}
	hcl_answer_clear(&answer);
	free(text);
	json_decref(json);
}

static bool is_settled(const struct state *state, const struct plc_order *order, int64_t now_ms)
{
	if (state->held_fence != order->fence || state->loading)
		return false;
	/* only the first in turn goes on looking */
	return state->claim.first_ms == BB_NEVER || now_ms - state->held_ms < ORD_CHECK_MS;
}

static uint32_t count_loads(struct ord *o, const GArray *orders, const struct plc_order *order)
{
	uint32_t loads = 0;

	for (guint i = 0; i < orders->len; i++) {
		const struct plc_order *other = &g_array_index(orders, struct plc_order, i);

		if (other->dc == order->dc && strcmp(other->model, order->model) == 0)
			loads += state_of(o, other->engine)->loading;
	}
	return loads;
}

static void work_on(struct nod *n, const GArray *orders, struct plc_order *order)
{
	struct state *state = state_of(n->orders, order->engine);
	struct giving giving = {n, order, &state->claim};
	struct holding holding = {0};

	order->made_ms = clk_now_ms();
	if (is_settled(state, order, order->made_ms) || !may_give(&giving))
		return;
	if (!read_back(n, order, &holding))
		return;
	state->loading = holding.loading;
	if (holding.same) {
		state->held_fence = order->fence;
		state->held_ms = clk_now_ms();
		return;
	}
	/* a higher number than ours: what is in force here is old */
	if (holding.fence > order->fence || holding.loading ||
	    count_loads(n->orders, orders, order) >= PLC_LOADS_MAX)
		return;
	give(&giving);
	if (read_back(n, order, &holding))
		state->loading = holding.loading;
}

static GArray *wanted_orders(struct nod *n)
{
	GArray *orders = NULL;

	pthread_mutex_lock(&n->lock);
	if (n->dec->bb.cfg && n->dec->bb.list)
		orders = plc_wanted(n->dec->bb.cfg);
	for (guint i = 0; orders && i < orders->len; i++) {
		const struct plc_order *order = &g_array_index(orders, struct plc_order, i);

		plc_update(&n->dec->bb, order, &state_of(n->orders, order->engine)->claim,
			   clk_now_ms());
	}
	pthread_mutex_unlock(&n->lock);
	return orders;
}

static void pass(void *arg)
{
	struct nod *n = arg;
	GArray *orders = wanted_orders(n);

	for (guint i = 0; orders && i < orders->len; i++)
		work_on(n, orders, &g_array_index(orders, struct plc_order, i));
	if (orders)
		g_array_unref(orders);
	g_atomic_int_set(&n->orders->busy, 0);
}

static void start_pass(void *arg, int64_t now_ms)
{
	struct nod *n = arg;

	if (!g_atomic_int_compare_and_exchange(&n->orders->busy, 0, 1))
		return;
	if (!wkp_submit(n->side, pass, n))
		g_atomic_int_set(&n->orders->busy, 0);
}

struct ord *ord_new(void)
{
	struct ord *o = g_new0(struct ord, 1);

	o->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return o;
}

void ord_start(struct nod *n)
{
	tmr_every(n->timers, ORD_PERIOD_MS, start_pass, n);
}

void ord_free(struct ord *o)
{
	g_hash_table_destroy(o->states);
	g_free(o);
}
