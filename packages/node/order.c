/*
 * Reconciles engines with the configured models: reads an engine's state, sends an order if it
 * differs from the configuration, and reads the state again.
 */
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "decide/placement.h"
#include "node/node.h"

#include <string.h>

#define ORDER_PERIOD_MS 500
#define ORDER_RECHECK_MS 5000 /* period at which an engine in the wanted state is read */
#define ORDER_CALL_TIMEOUT_MS 1000
#define ORDER_BYTES_MAX 65536

/* Last known state of an engine. */
struct engine_state {
	int64_t confirmed_fence; /* fencing number under which the wanted state was read */
	int64_t confirmed_ms;	 /* time of that read */
	bool loading;
};

/* A model in a data centre. One node at a time sends the orders to all of its engines. */
struct placement {
	struct placement_claim claim;
	struct placement_pair pair; /* the model and one of its engines */
	uint64_t round;		    /* order_controller.round when it was last configured */
};

/* An engine, and the model that the configuration assigns to it. */
struct job {
	struct placement_pair pair;
	struct engine_state *engine_state;
	struct placement *placement;
};

/* Passes run one at a time; only busy is used outside them. */
struct order_controller {
	GHashTable *engine_states; /* engine name -> struct engine_state */
	GHashTable *placements;	   /* "data centre/model" -> struct placement */
	struct cfg *cfg;	   /* configuration that jobs is built from; owned reference */
	GArray *jobs;		   /* struct job */
	uint64_t round;		   /* number of configurations applied */
	gint busy;		   /* atomic: 1 while a pass runs */
};

/* State that an engine reports. */
struct engine_report {
	int64_t fence;
	bool same; /* the engine is in the wanted state */
	bool loading;
};

/* An order to send, as checked by may_send_order() just before its first byte is written. */
struct pending_order {
	struct node_server *node;
	const struct placement_order *order;
	const struct placement_claim *claim;
};

static struct engine_state *get_engine_state(struct order_controller *o, const char *engine)
{
	struct engine_state *engine_state = g_hash_table_lookup(o->engine_states, engine);

	if (!engine_state) {
		engine_state = g_new0(struct engine_state, 1);
		g_hash_table_insert(o->engine_states, g_strdup(engine), engine_state);
	}
	return engine_state;
}

static bool may_send_order(void *arg)
{
	const struct pending_order *g = arg;
	bool allowed;

	pthread_mutex_lock(&g->node->lock);
	allowed = placement_may_send(&g->node->core_state->bb, g->order, g->claim, clock_now_ms());
	pthread_mutex_unlock(&g->node->lock);
	return allowed;
}

static bool has_text(const json_t *json, const char *key, const char *text)
{
	const char *value = json_string_value(json_object_get(json, key));

	return value && strcmp(value, text) == 0;
}

static bool read_orders(struct node_server *n, const struct placement_order *order,
			struct engine_report *engine_report)
{
	const struct fetch_request call = {
		.method = "GET",
		.address = order->address,
		.path = "/v1/orders",
		.timeout_ms = ORDER_CALL_TIMEOUT_MS,
		.idempotent = true,
		.max_bytes = ORDER_BYTES_MAX,
	};
	struct fetch_response answer;
	json_t *json = NULL;

	if (fetch_perform(n->http, &call, &answer, NULL) && answer.status == 200)
		json = json_loadb((const char *)answer.body->data, answer.body->len, 0, NULL);
	fetch_response_clear(&answer);
	if (!json)
		return false;
	engine_report->fence = json_integer_value(json_object_get(json, "fence"));
	engine_report->loading = json_is_true(json_object_get(json, "loading"));
	engine_report->same = has_text(json, "model", order->model) &&
			      has_text(json, "version", order->version) &&
			      has_text(json, "role", order->role);
	json_decref(json);
	return true;
}

static void send_order(struct pending_order *g)
{
	const struct placement_order *order = g->order;
	json_t *json = json_pack("{s:I, s:s, s:s, s:s}", "fence", (json_int_t)order->fence, "model",
				 order->model, "version", order->version, "role", order->role);
	char *text = json_dumps(json, JSON_COMPACT);
	const struct fetch_request call = {
		.method = "POST",
		.address = order->address,
		.path = "/v1/orders",
		.body = text,
		.body_len = strlen(text),
		.timeout_ms = ORDER_CALL_TIMEOUT_MS,
		.may_send = may_send_order,
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

static bool is_confirmed(const struct job *job, int64_t fence, int64_t now_ms)
{
	const struct engine_state *engine_state = job->engine_state;

	if (engine_state->confirmed_fence != fence || engine_state->loading)
		return false;
	/* a confirmation lapses only on the node that is first in turn, which reads again */
	return job->placement->claim.first_ms == BB_NEVER ||
	       now_ms - engine_state->confirmed_ms < ORDER_RECHECK_MS;
}

static uint32_t count_loads(const struct order_controller *o, const struct placement *placement)
{
	uint32_t loads = 0;

	for (guint i = 0; i < o->jobs->len; i++) {
		const struct job *job = &g_array_index(o->jobs, struct job, i);

		loads += job->placement == placement && job->engine_state->loading;
	}
	return loads;
}

static void process_job(struct node_server *n, struct job *job)
{
	const struct cfg *cfg = n->orders->cfg;
	struct engine_state *engine_state = job->engine_state;
	struct placement_claim *claim = &job->placement->claim;
	bool checks_fencing = cfg->services.items[job->pair.up->service_index].checks_fencing;
	int64_t now_ms = clock_now_ms();
	struct engine_report engine_report = {0};
	struct placement_order order;

	if (is_confirmed(job, claim->fence, now_ms) ||
	    !placement_is_due(claim, checks_fencing, now_ms))
		return;
	placement_fill_order(cfg, &job->pair, &order);
	order.engine_queried_ms = now_ms;
	struct pending_order pending_order = {n, &order, claim};
	if (!may_send_order(&pending_order) || !read_orders(n, &order, &engine_report))
		return;
	engine_state->loading = engine_report.loading;
	if (engine_report.same) {
		engine_state->confirmed_fence = order.fence;
		engine_state->confirmed_ms = clock_now_ms();
		return;
	}
	/* an engine with a higher fencing number has received a newer configuration */
	if (engine_report.fence > order.fence || engine_report.loading ||
	    count_loads(n->orders, job->placement) >= PLACEMENT_LOADS_MAX)
		return;
	send_order(&pending_order);
	if (read_orders(n, &order, &engine_report))
		engine_state->loading = engine_report.loading;
}

static struct placement *get_placement(struct order_controller *o,
				       const struct placement_pair *pair)
{
	const char *dc = o->cfg->places.data_centres[pair->up->dc].name;
	char *key = g_strdup_printf("%s/%s", dc, pair->model->name);
	struct placement *placement = g_hash_table_lookup(o->placements, key);

	if (!placement) {
		placement = g_new0(struct placement, 1);
		placement->claim.first_ms = BB_NEVER;
		g_hash_table_insert(o->placements, g_strdup(key), placement);
	}
	g_free(key);
	placement->pair = *pair;
	placement->claim.list_version = 0;
	placement->round = o->round;
	return placement;
}

static gboolean is_obsolete(gpointer key, gpointer value, gpointer arg)
{
	const struct placement *placement = value;
	const struct order_controller *o = arg;

	return placement->round != o->round;
}

/* Takes ownership of the reference to cfg. */
static void apply_cfg(struct order_controller *o, struct cfg *cfg)
{
	GArray *pairs = placement_pairs(cfg);

	cfg_unref(o->cfg);
	o->cfg = cfg;
	o->round++;
	g_array_set_size(o->jobs, 0);
	for (guint i = 0; i < pairs->len; i++) {
		const struct placement_pair *pair = &g_array_index(pairs, struct placement_pair, i);
		const struct job job = {*pair, get_engine_state(o, pair->up->name),
					get_placement(o, pair)};

		g_array_append_val(o->jobs, job);
	}
	g_hash_table_foreach_remove(o->placements, is_obsolete, o);
	g_array_unref(pairs);
}

static void update_claims(struct node_server *n)
{
	const struct bb *bb = &n->core_state->bb;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->orders->placements);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct placement *placement = value;
		struct placement_order order;

		placement_fill_order(n->orders->cfg, &placement->pair, &order);
		placement_update_claim(bb, &order, &placement->claim, clock_now_ms());
	}
}

/*
 * Applies the configuration in force and updates the claims. False if there is no configuration or
 * no VM list, or if another configuration came into force meanwhile.
 */
static bool refresh(struct node_server *n)
{
	struct order_controller *o = n->orders;
	struct cfg *cfg = node_cfg(n);
	bool same;

	if (!cfg)
		return false;
	if (cfg != o->cfg)
		apply_cfg(o, cfg);
	else
		cfg_unref(cfg);
	pthread_mutex_lock(&n->lock);
	/* a configuration that came into force meanwhile is applied by the next pass */
	same = n->core_state->bb.cfg == o->cfg && n->core_state->bb.list;
	if (same)
		update_claims(n);
	pthread_mutex_unlock(&n->lock);
	return same;
}

static void run_pass(void *arg)
{
	struct node_server *n = arg;
	bool ready = refresh(n);

	for (guint i = 0; ready && i < n->orders->jobs->len; i++)
		process_job(n, &g_array_index(n->orders->jobs, struct job, i));
	g_atomic_int_set(&n->orders->busy, 0);
}

static void start_pass(void *arg, int64_t now_ms)
{
	struct node_server *n = arg;

	if (!g_atomic_int_compare_and_exchange(&n->orders->busy, 0, 1))
		return;
	if (!workpool_submit(n->background, run_pass, n))
		g_atomic_int_set(&n->orders->busy, 0);
}

struct order_controller *order_new(void)
{
	struct order_controller *o = g_new0(struct order_controller, 1);

	o->engine_states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	o->placements = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	o->jobs = g_array_new(FALSE, FALSE, sizeof(struct job));
	return o;
}

void order_start(struct node_server *n)
{
	timer_every(n->timers, ORDER_PERIOD_MS, start_pass, n);
}

void order_free(struct order_controller *o)
{
	g_hash_table_destroy(o->engine_states);
	g_hash_table_destroy(o->placements);
	g_array_unref(o->jobs);
	cfg_unref(o->cfg);
	g_free(o);
}
