/* Gives orders to engines: reads back what each holds, orders what is wanted, and reads again. */
#include "base/clock.h"
#include "base/counter.h"
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
	int64_t held_fence; /* fencing number under which it was seen to hold what is wanted */
	int64_t held_ms;    /* when that was seen */
	bool loading;
};

/* A model in a data centre: one node in turn gives the orders of all its engines. */
struct duty {
	struct plc_claim claim;
	struct plc_pair pair; /* any of its engines */
	uint64_t round;	      /* of struct ord, when it was last wanted */
};

/* An engine of the configuration in hand. */
struct work {
	struct plc_pair pair;
	struct state *state;
	struct duty *duty;
};

/* All but busy is touched by one pass at a time. */
struct ord {
	GHashTable *states; /* engine -> struct state */
	GHashTable *duties; /* "data centre/model" -> struct duty */
	struct cfg *cfg;    /* that the works are made of; a reference */
	GArray *works;	    /* struct work */
	uint64_t round;	    /* configurations seen */
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
		g_hash_table_insert(o->states, g_strdup(engine), state);
	}
	return state;
}

static bool may_give(void *arg)
{
	const struct giving *g = arg;
	bool may;

	pthread_mutex_lock(&g->node->lock);
	may = plc_may_give(&g->node->dec->bb, g->order, g->claim, clock_now_ms());
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
	const struct fetch_request call = {
		.method = "GET",
		.address = order->address,
		.path = "/v1/orders",
		.timeout_ms = ORD_CALL_MS,
		.idempotent = true,
		.max_bytes = ORD_BYTES_MAX,
	};
	struct fetch_response answer;
	json_t *json = NULL;

	if (fetch_perform(n->http, &call, &answer, NULL) && answer.status == 200)
		json = json_loadb((const char *)answer.body->data, answer.body->len, 0, NULL);
	fetch_response_clear(&answer);
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
	const struct fetch_request call = {
		.method = "POST",
		.address = order->address,
		.path = "/v1/orders",
		.body = text,
		.body_len = strlen(text),
		.timeout_ms = ORD_CALL_MS,
		.may_send = may_give,
		.may_send_arg = g,
	};
	struct fetch_response answer;

	fetch_perform(g->node->http, &call, &answer, NULL);
	if (answer.sent) {
		counter_add(COUNTER_ORDERS, 1);
		log_info("order_given", "{s:s, s:s, s:s, s:I, s:i}", "engine", order->engine,
			 "model", order->model, "version", order->version, "fence",
			 (json_int_t)order->fence, "status", answer.status);
	}
	fetch_response_clear(&answer);
	free(text);
	json_decref(json);
}

static bool is_settled(const struct work *work, int64_t fence, int64_t now_ms)
{
	const struct state *state = work->state;

	if (state->held_fence != fence || state->loading)
		return false;
	/* only the first in turn goes on looking */
	return work->duty->claim.first_ms == BB_NEVER || now_ms - state->held_ms < ORD_CHECK_MS;
}

static uint32_t count_loads(const struct ord *o, const struct duty *duty)
{
	uint32_t loads = 0;

	for (guint i = 0; i < o->works->len; i++) {
		const struct work *work = &g_array_index(o->works, struct work, i);

		loads += work->duty == duty && work->state->loading;
	}
	return loads;
}

static void work_on(struct nod *n, struct work *work)
{
	const struct cfg *cfg = n->orders->cfg;
	struct state *state = work->state;
	struct plc_claim *claim = &work->duty->claim;
	bool checks_fencing = cfg->services.items[work->pair.up->svc].checks_fencing;
	int64_t now_ms = clock_now_ms();
	struct holding holding = {0};
	struct plc_order order;

	if (is_settled(work, claim->fence, now_ms) || !plc_is_due(claim, checks_fencing, now_ms))
		return;
	plc_fill(cfg, &work->pair, &order);
	order.made_ms = now_ms;
	struct giving giving = {n, &order, claim};
	if (!may_give(&giving) || !read_back(n, &order, &holding))
		return;
	state->loading = holding.loading;
	if (holding.same) {
		state->held_fence = order.fence;
		state->held_ms = clock_now_ms();
		return;
	}
	/* a higher number than ours: what is in force here is old */
	if (holding.fence > order.fence || holding.loading ||
	    count_loads(n->orders, work->duty) >= PLC_LOADS_MAX)
		return;
	give(&giving);
	if (read_back(n, &order, &holding))
		state->loading = holding.loading;
}

static struct duty *duty_of(struct ord *o, const struct plc_pair *pair)
{
	const char *dc = o->cfg->places.data_centres[pair->up->dc].name;
	char *key = g_strdup_printf("%s/%s", dc, pair->model->name);
	struct duty *duty = g_hash_table_lookup(o->duties, key);

	if (!duty) {
		duty = g_new0(struct duty, 1);
		duty->claim.first_ms = BB_NEVER;
		g_hash_table_insert(o->duties, g_strdup(key), duty);
	}
	g_free(key);
	duty->pair = *pair;
	duty->claim.list_version = 0;
	duty->round = o->round;
	return duty;
}

static gboolean is_dropped(gpointer key, gpointer value, gpointer arg)
{
	const struct duty *duty = value;
	const struct ord *o = arg;

	return duty->round != o->round;
}

/* Takes the reference to cfg. */
static void take_cfg(struct ord *o, struct cfg *cfg)
{
	GArray *pairs = plc_pairs(cfg);

	cfg_unref(o->cfg);
	o->cfg = cfg;
	o->round++;
	g_array_set_size(o->works, 0);
	for (guint i = 0; i < pairs->len; i++) {
		const struct plc_pair *pair = &g_array_index(pairs, struct plc_pair, i);
		const struct work work = {*pair, state_of(o, pair->up->name), duty_of(o, pair)};

		g_array_append_val(o->works, work);
	}
	g_hash_table_foreach_remove(o->duties, is_dropped, o);
	g_array_unref(pairs);
}

static void update_duties(struct nod *n)
{
	const struct bb *bb = &n->dec->bb;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->orders->duties);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct duty *duty = value;
		struct plc_order order;

		plc_fill(n->orders->cfg, &duty->pair, &order);
		plc_update(bb, &order, &duty->claim, clock_now_ms());
	}
}

/* False while there is nothing to order by. */
static bool refresh(struct nod *n)
{
	struct ord *o = n->orders;
	struct cfg *cfg = nod_cfg(n);
	bool same;

	if (!cfg)
		return false;
	if (cfg != o->cfg)
		take_cfg(o, cfg);
	else
		cfg_unref(cfg);
	pthread_mutex_lock(&n->lock);
	/* a newer one is taken in the next pass */
	same = n->dec->bb.cfg == o->cfg && n->dec->bb.list;
	if (same)
		update_duties(n);
	pthread_mutex_unlock(&n->lock);
	return same;
}

static void pass(void *arg)
{
	struct nod *n = arg;
	bool ready = refresh(n);

	for (guint i = 0; ready && i < n->orders->works->len; i++)
		work_on(n, &g_array_index(n->orders->works, struct work, i));
	g_atomic_int_set(&n->orders->busy, 0);
}

static void start_pass(void *arg, int64_t now_ms)
{
	struct nod *n = arg;

	if (!g_atomic_int_compare_and_exchange(&n->orders->busy, 0, 1))
		return;
	if (!workpool_submit(n->side, pass, n))
		g_atomic_int_set(&n->orders->busy, 0);
}

struct ord *ord_new(void)
{
	struct ord *o = g_new0(struct ord, 1);

	o->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	o->duties = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	o->works = g_array_new(FALSE, FALSE, sizeof(struct work));
	return o;
}

void ord_start(struct nod *n)
{
	timer_every(n->timers, ORD_PERIOD_MS, start_pass, n);
}

void ord_free(struct ord *o)
{
	g_hash_table_destroy(o->states);
	g_hash_table_destroy(o->duties);
	g_array_unref(o->works);
	cfg_unref(o->cfg);
	g_free(o);
}
