/* Applies the published pools and upstreams. */
#include "chain_internal.h"

#include <string.h>

/* Links the stages of chains that were submitted before their pool was known. */
static void attach_stages(struct chain_sched *c, struct pool *pool)
{
	for (guint i = 0; i < c->order->len; i++) {
		struct job *job = g_ptr_array_index(c->order, i);
		for (uint32_t k = 0; k < job->n_stages; k++) {
			if (job->stages[k].pool ||
			    strcmp(job->stages[k].service, pool->service) != 0)
				continue;
			job->stages[k].pool = pool;
			chain_share_join(job, &job->stages[k]);
		}
	}
}

struct pool *chain_add_pool(struct chain_sched *c, const char *service)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->service = g_strdup(service);
	pool->upstreams = g_ptr_array_new();
	pool->shares = chain_share_pool_new();
	g_hash_table_insert(c->pools, pool->service, pool);
	attach_stages(c, pool);
	return pool;
}

/* Pools that are no longer published are kept, as chains may still need them. */
void chain_set_pools(struct chain_sched *c, const struct pub_doc *doc)
{
	for (uint32_t i = 0; i < doc->n_services; i++) {
		const struct pub_service *service = &doc->services[i];
		struct pool *pool;
		if (!service->pool.present)
			continue;
		pool = g_hash_table_lookup(c->pools, service->name);
		if (!pool)
			pool = chain_add_pool(c, service->name);
		pool->doc = service->pool;
	}
}

static void join_pool(struct chain_sched *c, struct upstream *u, const char *service)
{
	u->pool = g_hash_table_lookup(c->pools, service);
	if (!u->pool)
		u->pool = chain_add_pool(c, service);
	u->keeps_room = u->pool->upstreams->len % 2 == 0;
	g_ptr_array_add(u->pool->upstreams, u);
}

static void set_text(char **at, const char *text)
{
	if (g_strcmp0(*at, text) == 0)
		return;
	g_free(*at);
	*at = g_strdup(text);
}

static void set_place(struct upstream *u, const struct chain_upstream_info *doc)
{
	set_text(&u->address, doc->address);
	set_text(&u->data_centre, doc->data_centre);
	set_text(&u->region, doc->region);
}

static struct upstream *add_upstream(struct chain_sched *c, const struct chain_upstream_info *doc)
{
	struct upstream *u = g_new0(struct upstream, 1);

	u->id = g_strdup(doc->id);
	set_place(u, doc);
	u->slowdown = 1.0;
	u->limit_per_s = -1;
	u->pending_frees = g_ptr_array_new_with_free_func(g_free);
	join_pool(c, u, doc->service);
	g_hash_table_insert(c->upstreams, u->id, u);
	return u;
}

bool chain_pool_has_owned(const struct chain_sched *c, const struct pool *pool)
{
	for (guint i = 0; i < pool->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		if (u->usable && chain_owns_region(c, u->region))
			return true;
	}
	return false;
}

/* Requeues the pieces whose results were lost with the upstream. */
static void drop_results_of(struct chain_sched *c, const struct upstream *u)
{
	for (guint i = 0; i < c->order->len; i++) {
		struct job *job = g_ptr_array_index(c->order, i);
		for (uint32_t k = 0; k < job->n_stages; k++) {
			struct stage *s = &job->stages[k];
			for (uint32_t p = 0; p < s->n_pieces; p++) {
				struct piece *piece = &s->pieces[p];
				if (piece->producer != u)
					continue;
				piece->producer = NULL;
				if (!piece->freed && !job->delivered)
					chain_requeue_piece(s, piece);
			}
		}
		if (!job->delivered)
			chain_requeue_inputs(job);
	}
}

void chain_hold_upstream(struct chain_sched *c, const char *id, const struct chain_hold *hold)
{
	struct upstream *u = g_hash_table_lookup(c->upstreams, id);

	if (!u)
		return;
	u->limit_per_s = hold->limit_per_s;
	u->is_held = hold->is_held;
	u->open_at_ms = hold->open_at_ms;
}

bool chain_has_upstream(const struct chain_sched *c, const char *id)
{
	return g_hash_table_contains(c->upstreams, id);
}

static bool has_waiting_pieces(const struct chain_sched *c, const struct pool *pool)
{
	for (guint i = 0; i < c->order->len; i++) {
		const struct job *job = g_ptr_array_index(c->order, i);
		for (uint32_t k = 0; k < job->n_stages; k++) {
			const struct stage *s = &job->stages[k];
			if (s->pool == pool && s->open && chain_count_waiting(s) > 0)
				return true;
		}
	}
	return false;
}

bool chain_needs_upstream(const struct chain_sched *c, const char *id)
{
	const struct upstream *u = g_hash_table_lookup(c->upstreams, id);

	if (!u || u->calls >= (uint32_t)MAX(u->pool->doc.slots, 1))
		return false;
	return u->pending_frees->len > 0 || (u->usable && has_waiting_pieces(c, u->pool));
}

static gboolean remove_if_unlisted(gpointer key, gpointer value, gpointer arg)
{
	struct upstream *u = value;

	if (u->listed || u->calls > 0)
		return FALSE;
	drop_results_of(arg, u);
	g_ptr_array_remove(u->pool->upstreams, u);
	return TRUE;
}

/* Requeues the pieces of the upstream's calls in progress; their answers are ignored. */
static void drop_calls_to(struct chain_sched *c, struct upstream *u)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct call *call = value;
		if (call->upstream != u)
			continue;
		chain_requeue_call(c, call, false);
		g_hash_table_iter_remove(&iter);
	}
	u->calls = 0;
}

/*
 * The upstream was started again elsewhere: its calls and results went with the former process, and
 * what was measured of that one says nothing about the new one.
 */
static void restart_upstream(struct chain_sched *c, struct upstream *u, const char *service)
{
	drop_calls_to(c, u);
	drop_results_of(c, u);
	g_ptr_array_set_size(u->pending_frees, 0);
	u->pending_free_bytes = 0;
	u->used_bytes = 0;
	u->foreign_bytes = 0;
	u->backoff_until_ms = 0;
	u->busy_until_ms = 0;
	u->shared_ms = 0;
	u->failures = 0;
	u->slowdown = 1.0;
	if (strcmp(u->pool->service, service) != 0) {
		g_ptr_array_remove(u->pool->upstreams, u);
		join_pool(c, u, service);
	}
}

void chain_set_upstreams(struct chain_sched *c, const struct chain_upstream_info *docs, uint32_t n,
			 int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct upstream *u = value;
		u->listed = false;
		u->usable = false;
	}
	for (uint32_t i = 0; i < n; i++) {
		struct upstream *u = g_hash_table_lookup(c->upstreams, docs[i].id);
		if (!u)
			u = add_upstream(c, &docs[i]);
		if (strcmp(u->address, docs[i].address) != 0 ||
		    strcmp(u->pool->service, docs[i].service) != 0)
			restart_upstream(c, u, docs[i].service);
		set_place(u, &docs[i]);
		u->listed = true;
		u->usable = docs[i].usable;
		pace_set_run(&u->pace, docs[i].born_ms);
	}
	g_hash_table_foreach_remove(c->upstreams, remove_if_unlisted, c);
}
