#include "node/node.h"

#include "entry_limit.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/prng.h"

#include "node/fwd.h"
#include "node/handoff.h"
#include "node/release.h"

#include <urcu-bp.h>

#define NODE_SIDE_THREADS 16
#define NODE_SIDE_QUEUE_MAX 1024
#define NODE_POOL_QUEUE_MAX 4096

static void free_pool(gpointer data)
{
	workpool_free(data);
}

static void tick(void *arg, int64_t now_ms)
{
	const struct core_event ev = {.type = CORE_EV_TICK};

	node_handle_event(arg, &ev);
}

static void publish_config(struct node_server *n)
{
	struct cfg *old = n->cfg;

	if (old == n->core_state->bb.cfg)
		return;
	rcu_assign_pointer(n->cfg, cfg_ref(n->core_state->bb.cfg));
	synchronize_rcu();
	cfg_unref(old);
}

void node_handle_event(struct node_server *n, const struct core_event *ev)
{
	struct core_out out;

	core_out_init(&out);
	pthread_mutex_lock(&n->lock);
	core_handle(n->core_state, clock_now_ms(), ev, &out);
	if (ev->type == CORE_EV_CONFIG)
		publish_config(n);
	pthread_mutex_unlock(&n->lock);
	run_cmds(n, &out);
	core_out_free(&out);
}

struct cfg *node_cfg(struct node_server *n)
{
	struct cfg *cfg;

	rcu_read_lock();
	cfg = rcu_dereference(n->cfg);
	if (cfg)
		cfg_ref(cfg);
	rcu_read_unlock();
	return cfg;
}

bool node_add_request(struct node_server *n, struct httpreq *httpreq)
{
	bool ok;

	pthread_mutex_lock(&n->table_lock);
	ok = !g_atomic_int_get(&n->stopping);
	if (ok)
		g_hash_table_insert(n->reqs, &httpreq->id, httpreq_ref(httpreq));
	pthread_mutex_unlock(&n->table_lock);
	return ok;
}

void node_remove_request(struct node_server *n, uint64_t id)
{
	pthread_mutex_lock(&n->table_lock);
	struct httpreq *httpreq = g_hash_table_lookup(n->reqs, &id);
	if (httpreq)
		g_hash_table_steal(n->reqs, &id);
	pthread_mutex_unlock(&n->table_lock);
	if (httpreq)
		httpreq_unref(httpreq);
}

struct httpreq *node_find_request(struct node_server *n, uint64_t id)
{
	pthread_mutex_lock(&n->table_lock);
	struct httpreq *httpreq = g_hash_table_lookup(n->reqs, &id);
	if (httpreq)
		httpreq_ref(httpreq);
	pthread_mutex_unlock(&n->table_lock);
	return httpreq;
}

uint64_t node_next_id(struct node_server *n)
{
	return __atomic_add_fetch(&n->next_id, 1, __ATOMIC_RELAXED);
}

uint32_t node_request_count(struct node_server *n)
{
	pthread_mutex_lock(&n->table_lock);
	uint32_t count = g_hash_table_size(n->reqs);
	pthread_mutex_unlock(&n->table_lock);
	return count;
}

static void unref_request(gpointer data)
{
	httpreq_unref(data);
}

struct node_server *node_new(struct settings *set, GError **error)
{
	struct node_server *n = g_new0(struct node_server, 1);
	uint64_t seed = set->seed ? (uint64_t)set->seed : prng_os_seed();

	n->set = set;
	n->incarnation = prng_os_seed() | 1; /* 0 is reserved for an unknown incarnation */
	pthread_mutex_init(&n->lock, NULL);
	pthread_mutex_init(&n->table_lock, NULL);
	n->core_state = core_new(set->vm, set->data_centre, n->incarnation, seed, clock_now_ms());
	n->core_state->bb.stage_workers = (int32_t)set->service_threads;
	n->reqs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, unref_request);
	n->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_pool);
	n->http = fetch_client_new(set->source_address);
	n->timers = timer_service_new();
	n->orders = order_new();
	n->config = confsync_new(n);
	n->background = workpool_new(NODE_SIDE_THREADS, NODE_SIDE_QUEUE_MAX);
	n->fwd = fwd_new(n);
	n->handoff = handoff_new(n);
	n->releaser = release_new(n);
	n->disconnects = disconnect_new(n);
	if (!msg_start(n, error) || !entry_start(n, error) || !admin_start(n, error)) {
		node_free(n);
		return NULL;
	}
	confsync_start(n);
	order_start(n);
	platclient_start(n);
	fwd_start(n->fwd);
	handoff_start(n->handoff);
	timer_every(n->timers, set->tick_ms, tick, n);
	return n;
}

/*
 * Fails open requests and resumes their connections, since libmicrohttpd can't stop while a
 * connection is suspended.
 */
static void fail_open_requests(struct node_server *n)
{
	GList *reqs;

	pthread_mutex_lock(&n->table_lock);
	reqs = g_hash_table_get_values(n->reqs);
	g_list_foreach(reqs, (GFunc)(void (*)(void))httpreq_ref, NULL);
	pthread_mutex_unlock(&n->table_lock);
	for (GList *at = reqs; at; at = at->next) {
		struct httpreq *httpreq = at->data;
		bool call_back = false;

		pthread_mutex_lock(&httpreq->lock);
		if (httpreq->state == HTTPREQ_RUNNING) {
			httpreq->state = HTTPREQ_DONE;
			httpreq->code = ERR_DRAINING;
			httpreq->outcome = ERR_OUTCOME_UNKNOWN;
			call_back = httpreq->on_done != NULL;
		}
		httpreq->stream_cut = !httpreq->stream_end;
		pthread_cond_broadcast(&httpreq->changed);
		httpreq_wake(httpreq);
		pthread_mutex_unlock(&httpreq->lock);
		if (call_back)
			httpreq->on_done(httpreq, httpreq->on_done_arg);
		httpreq_unref(httpreq);
	}
	g_list_free(reqs);
}

static void begin_stop(struct node_server *n)
{
	pthread_mutex_lock(&n->table_lock);
	g_atomic_int_set(&n->stopping, 1);
	pthread_mutex_unlock(&n->table_lock);
}

/* Ends the workers. A stopped pool refuses submissions, so none is made to a freed pool. */
static void stop_pools(struct node_server *n)
{
	GHashTableIter iter;
	gpointer pool;

	workpool_stop(n->background);
	/* needs no lock: no pool is added once n->stopping is set */
	g_hash_table_iter_init(&iter, n->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		workpool_stop(pool);
}

void node_free(struct node_server *n)
{
	begin_stop(n);
	timer_service_free(n->timers);
	fail_open_requests(n);
	stop_pools(n);
	fail_open_requests(n);
	confsync_stop(n);
	peer_free(n->peer);
	n->peer = NULL;
	disconnect_free(n->disconnects);
	if (n->entry)
		MHD_stop_daemon(n->entry);
	if (n->admin)
		MHD_stop_daemon(n->admin);
	entry_limit_free(n->entry_limit);
	entry_limit_free(n->admin_limit);
	workpool_free(n->background);
	g_hash_table_destroy(n->pools);
	release_free(n->releaser);
	handoff_free(n->handoff);
	fwd_free(n->fwd);
	fetch_client_free(n->http);
	g_hash_table_destroy(n->reqs);
	core_free(n->core_state);
	cfg_unref(n->cfg);
	confsync_free(n->config);
	order_free(n->orders);
	pthread_mutex_destroy(&n->lock);
	pthread_mutex_destroy(&n->table_lock);
	g_free(n);
}
