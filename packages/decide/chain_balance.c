/*
 * Balance between regions. Owners tell each other how much work waits in their pools; a chain that
 * arrives where much does is handed off at once to a region where less does, if that makes up for
 * the distance and for the results that then cross regions.
 */
#include "chain_internal.h"

#include <math.h>
#include <string.h>

/* Cost of serving a chain in another region: its messages and its request take round trips more. */
#define MOVE_MS 60.0
/*
 * Upstreams a region, of the smallest pool on average, from which on each region has an owner: of
 * three, one becomes idle within a third of the duration of a call.
 */
#define SPLIT_UPSTREAMS_MIN 3.0
/* With fewer there is one owner again. */
#define JOIN_UPSTREAMS 2.0
/* Loads that are older don't count: their sender may no longer own the region. */
#define LOAD_AGE_MAX_MS 500

static void free_loads(gpointer data)
{
	struct region_load *load = data;

	g_hash_table_destroy(load->pools);
	g_free(load->region);
	g_free(load);
}

GHashTable *chain_region_loads_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_loads);
}

void chain_set_region_load(struct chain_sched *c, const char *region,
			   const struct chain_pool_load *pools, uint32_t n, int64_t now_ms)
{
	struct region_load *load = g_hash_table_lookup(c->loads, region);

	if (!load) {
		load = g_new0(struct region_load, 1);
		load->region = g_strdup(region);
		load->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
		g_hash_table_insert(c->loads, load->region, load);
	}
	load->heard_ms = now_ms;
	g_hash_table_remove_all(load->pools);
	for (uint32_t i = 0; i < n; i++) {
		struct chain_pool_load *copy = g_memdup2(&pools[i], sizeof(*copy));
		copy->service = NULL; /* the key holds the name */
		g_hash_table_insert(load->pools, g_strdup(pools[i].service), copy);
	}
}

uint32_t chain_get_pool_loads(const struct chain_sched *c, struct chain_pool_load *loads,
			      uint32_t capacity, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, c->pools);
	while (n < capacity && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool *pool = value;
		if (!chain_pool_has_owned(c, pool))
			continue;
		loads[n++] = (struct chain_pool_load){
			.service = pool->service,
			.pending = chain_count_pending(c, pool),
			.piece_us = (uint32_t)(chain_pool_piece_ms(c, pool, now_ms) * 1000),
		};
	}
	return n;
}

static uint32_t count_listed(const struct pool *pool)
{
	uint32_t n = 0;

	for (guint i = 0; i < pool->upstreams->len; i++)
		n += ((const struct upstream *)g_ptr_array_index(pool->upstreams, i))->listed;
	return n;
}

bool chain_should_split(const struct chain_sched *c, uint32_t n_regions, bool was_split)
{
	double limit = (was_split ? JOIN_UPSTREAMS : SPLIT_UPSTREAMS_MIN) * n_regions;
	bool any = false;
	GHashTableIter iter;
	gpointer pool;

	if (!policy_is_on(c->off, POLICY_REGION_OWNERS) || n_regions < 2)
		return false;
	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool)) {
		uint32_t n = count_listed(pool);
		if (n == 0)
			continue; /* no longer published */
		if (n < limit)
			return false;
		any = true;
	}
	return any;
}

/* Returns the longest wait among the job's pools in this node's regions. */
static double local_wait_ms(const struct chain_sched *c, const struct job *job, int64_t now_ms)
{
	double longest_ms = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		if (!s->pool || s->n_pieces == 0)
			continue;
		if (!chain_pool_has_owned(c, s->pool))
			return INFINITY;
		longest_ms = fmax(longest_ms, chain_count_pending(c, s->pool) *
						      chain_pool_piece_ms(c, s->pool, now_ms));
	}
	return longest_ms;
}

/* Returns the longest wait among the job's pools in another region; infinite if one isn't there. */
static double remote_wait_ms(const struct region_load *load, const struct job *job)
{
	double longest_ms = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		const struct chain_pool_load *pool;
		if (s->n_pieces == 0)
			continue;
		pool = g_hash_table_lookup(load->pools, s->service);
		if (!pool)
			return INFINITY;
		longest_ms = fmax(longest_ms, pool->pending * (double)pool->piece_us / 1000);
	}
	return longest_ms;
}

/* Returns the cost of the results that the request's engine would fetch from another region. */
static double move_cost_ms(const struct job *job)
{
	int64_t bytes = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (job->stages[i].terminal)
			bytes += job->stages[i].result_bytes * job->stages[i].n_pieces;
	}
	return MOVE_MS + CHAIN_CROSSING_MS_PER_MB * (double)bytes / 1e6;
}

/* Counts the job's pieces until the region's next load arrives. */
static void add_to_load(struct region_load *load, const struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		struct chain_pool_load *pool =
			g_hash_table_lookup(load->pools, job->stages[i].service);
		if (pool)
			pool->pending += job->stages[i].n_pieces;
	}
}

/* Returns a data centre of the region that has an upstream for one of the job's stages. */
static const char *data_centre_in(const struct job *job, const char *region)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct pool *pool = job->stages[i].pool;
		for (guint k = 0; pool && k < pool->upstreams->len; k++) {
			const struct upstream *u = g_ptr_array_index(pool->upstreams, k);
			if (u->usable && strcmp(u->region, region) == 0)
				return u->data_centre;
		}
	}
	return NULL;
}

/* Returns the region in which the job would be served sooner than here; NULL if there is none. */
static struct region_load *find_better_region(const struct chain_sched *c, const struct job *job,
					      int64_t now_ms)
{
	double best_ms = local_wait_ms(c, job, now_ms);
	struct region_load *best = NULL;
	GHashTableIter iter;
	gpointer value;

	if (!policy_is_on(c->off, POLICY_REGION_BALANCE))
		return NULL;
	g_hash_table_iter_init(&iter, c->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct region_load *load = value;
		double ms;
		if (now_ms - load->heard_ms > LOAD_AGE_MAX_MS ||
		    chain_owns_region(c, load->region) ||
		    !pub_allows_region(job->regions, load->region))
			continue;
		ms = remote_wait_ms(load, job) + move_cost_ms(job);
		if (ms >= best_ms || !data_centre_in(job, load->region))
			continue;
		best = load;
		best_ms = ms;
	}
	return best;
}

const char *chain_better_region(const struct chain_sched *c, const struct job *job, int64_t now_ms,
				int64_t *age_ms)
{
	const struct region_load *best = find_better_region(c, job, now_ms);

	if (!best)
		return NULL;
	*age_ms = now_ms - best->heard_ms;
	return best->region;
}

bool chain_move_job(struct chain_sched *c, struct job *job, int64_t now_ms)
{
	struct region_load *best = find_better_region(c, job, now_ms);
	const char *data_centre;

	if (!best)
		return false;
	data_centre = data_centre_in(job, best->region);
	add_to_load(best, job);
	g_free(job->data_centre);
	g_free(job->region);
	job->data_centre = g_strdup(data_centre);
	job->region = g_strdup(best->region);
	return true;
}
