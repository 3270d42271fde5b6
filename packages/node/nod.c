#include "node/nod.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/prng.h"

#include "node/fwd.h"
#include "node/hnd.h"
#include "node/rel.h"

#include <urcu-bp.h>

#define NOD_SIDE_THREADS 16
#define NOD_SIDE_QUEUED 1024
#define NOD_POOL_QUEUED 4096

static void free_pool(gpointer data)
{
	workpool_free(data);
}

static void tick(void *arg, int64_t now_ms)
{
	const struct dec_event ev = {.type = DEC_EV_TICK};

	nod_event(arg, &ev);
}

static void publish_cfg(struct nod *n)
{
	struct cfg *old = n->cfg;

	if (old == n->dec->bb.cfg)
		return;
	rcu_assign_pointer(n->cfg, cfg_ref(n->dec->bb.cfg));
	synchronize_rcu();
	cfg_unref(old);
}

void nod_event(struct nod *n, const struct dec_event *ev)
{
	struct dec_out out;

	dec_out_init(&out);
	pthread_mutex_lock(&n->lock);
	dec_handle(n->dec, clock_now_ms(), ev, &out);
	if (ev->type == DEC_EV_CONFIG)
		publish_cfg(n);
	pthread_mutex_unlock(&n->lock);
	run_cmds(n, &out);
	dec_out_free(&out);
}

struct cfg *nod_cfg(struct nod *n)
{
	struct cfg *cfg;

	rcu_read_lock();
	cfg = rcu_dereference(n->cfg);
	if (cfg)
		cfg_ref(cfg);
	rcu_read_unlock();
	return cfg;
}

bool nod_add_req(struct nod *n, struct hrq *hrq)
{
	bool ok;

	pthread_mutex_lock(&n->table_lock);
	ok = !g_atomic_int_get(&n->stopping);
	if (ok)
		g_hash_table_insert(n->reqs, &hrq->id, hrq_ref(hrq));
	pthread_mutex_unlock(&n->table_lock);
	return ok;
}

void nod_remove_req(struct nod *n, uint64_t id)
{
	pthread_mutex_lock(&n->table_lock);
	struct hrq *hrq = g_hash_table_lookup(n->reqs, &id);
	if (hrq)
		g_hash_table_steal(n->reqs, &id);
	pthread_mutex_unlock(&n->table_lock);
	if (hrq)
		hrq_unref(hrq);
}

struct hrq *nod_find_req(struct nod *n, uint64_t id)
{
	pthread_mutex_lock(&n->table_lock);
	struct hrq *hrq = g_hash_table_lookup(n->reqs, &id);
	if (hrq)
		hrq_ref(hrq);
	pthread_mutex_unlock(&n->table_lock);
	return hrq;
}

uint64_t nod_next_id(struct nod *n)
{
	return __atomic_add_fetch(&n->next_id, 1, __ATOMIC_RELAXED);
}

uint32_t nod_requests(struct nod *n)
{
	pthread_mutex_lock(&n->table_lock);
	uint32_t count = g_hash_table_size(n->reqs);
	pthread_mutex_unlock(&n->table_lock);
	return count;
}

static void release_req(gpointer data)
{
	hrq_unref(data);
}

struct nod *nod_new(struct set *set, GError **error)
{
	struct nod *n = g_new0(struct nod, 1);
	uint64_t seed = set->seed ? (uint64_t)set->seed : prng_os_seed();

	n->set = set;
	n->incarnation = prng_os_seed() | 1; /* 0 stands for never heard */
	pthread_mutex_init(&n->lock, NULL);
	pthread_mutex_init(&n->table_lock, NULL);
	n->dec = dec_new(set->vm, set->data_centre, n->incarnation, seed, clock_now_ms());
	n->dec->bb.stage_workers = (int32_t)set->service_threads;
	n->reqs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, release_req);
	n->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_pool);
	n->http = fetch_client_new(set->source_address);
	n->timers = timer_service_new();
	n->orders = ord_new();
	n->config = mcf_new(n);
	n->side = workpool_new(NOD_SIDE_THREADS, NOD_SIDE_QUEUED);
	n->fwd = fwd_new(n);
	n->hnd = hnd_new(n);
	n->rel = rel_new(n);
	n->gone = gon_new(n);
	if (!msg_start(n, error) || !ent_start(n, error) || !adn_start(n, error)) {
		nod_free(n);
		return NULL;
	}
	mcf_start(n);
	ord_start(n);
	plt_start(n);
	fwd_start(n->fwd);
	hnd_start(n->hnd);
	timer_every(n->timers, set->tick_ms, tick, n);
	return n;
}

/* Answers what still runs, so that no connection stays suspended when its daemon stops. */
static void answer_rest(struct nod *n)
{
	GList *reqs;

	pthread_mutex_lock(&n->table_lock);
	reqs = g_hash_table_get_values(n->reqs);
	g_list_foreach(reqs, (GFunc)(void (*)(void))hrq_ref, NULL);
	pthread_mutex_unlock(&n->table_lock);
	for (GList *at = reqs; at; at = at->next) {
		struct hrq *hrq = at->data;
		bool call_back = false;

		pthread_mutex_lock(&hrq->lock);
		if (hrq->state == HRQ_RUNNING) {
			hrq->state = HRQ_DONE;
			hrq->code = ERR_DRAINING;
			hrq->outcome = ERR_OUTCOME_UNKNOWN;
			call_back = hrq->on_done != NULL;
		}
		hrq->stream_cut = !hrq->stream_end;
		pthread_cond_broadcast(&hrq->room);
		hrq_wake(hrq);
		pthread_mutex_unlock(&hrq->lock);
		if (call_back)
			hrq->on_done(hrq, hrq->on_done_arg);
		hrq_unref(hrq);
	}
	g_list_free(reqs);
}

static void begin_stop(struct nod *n)
{
	pthread_mutex_lock(&n->table_lock);
	g_atomic_int_set(&n->stopping, 1);
	pthread_mutex_unlock(&n->table_lock);
}

/* Workers end; from here on every submission is refused, so none can reach a freed pool. */
static void stop_pools(struct nod *n)
{
	GHashTableIter iter;
	gpointer pool;

	workpool_stop(n->side);
	/* none is added to the table while the node stops */
	g_hash_table_iter_init(&iter, n->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		workpool_stop(pool);
}

void nod_free(struct nod *n)
{
	begin_stop(n);
	timer_service_free(n->timers);
	answer_rest(n);
	stop_pools(n);
	answer_rest(n);
	mcf_stop(n);
	peer_free(n->peer);
	n->peer = NULL;
	gon_free(n->gone);
	if (n->entry)
		MHD_stop_daemon(n->entry);
	if (n->admin)
		MHD_stop_daemon(n->admin);
	workpool_free(n->side);
	g_hash_table_destroy(n->pools);
	rel_free(n->rel);
	hnd_free(n->hnd);
	fwd_free(n->fwd);
	fetch_client_free(n->http);
	g_hash_table_destroy(n->reqs);
	dec_free(n->dec);
	cfg_unref(n->cfg);
	mcf_free(n->config);
	ord_free(n->orders);
	pthread_mutex_destroy(&n->lock);
	pthread_mutex_destroy(&n->table_lock);
	g_free(n);
}
