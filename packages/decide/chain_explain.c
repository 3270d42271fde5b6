/*
 * Decides on a chain without submitting it. The rules of admission run on the scheduler itself;
 * what they keep beside their result is restored.
 */
#include "chain_internal.h"

/* What admission changes in a pool. */
struct saved_pool {
	struct pool *pool;
	struct chain_room room;
	int64_t computed_ms[2]; /* of the quantiles of errors, by class */
	struct chain_error_quantiles quantiles[2];
	GArray *bytes; /* of the accounts' results */
};

struct saved {
	GArray *pools; /* struct saved_pool */
	struct chain_counters counters;
	int64_t room_at_ms;
};

static void save(const struct chain_sched *c, struct saved *saved)
{
	GHashTableIter iter;
	gpointer value;

	saved->pools = g_array_new(FALSE, FALSE, sizeof(struct saved_pool));
	saved->counters = *c->counters;
	saved->room_at_ms = c->room_at_ms;
	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;
		struct saved_pool at = {
			.pool = pool,
			.room = pool->room,
			.bytes = chain_share_save_bytes(pool),
		};
		for (int late = 0; late < 2; late++) {
			at.computed_ms[late] = pool->errors[late].computed_ms;
			at.quantiles[late] = pool->errors[late].quantiles;
		}
		g_array_append_val(saved->pools, at);
	}
}

static void restore(struct chain_sched *c, struct saved *saved)
{
	*c->counters = saved->counters;
	c->room_at_ms = saved->room_at_ms;
	for (guint i = 0; i < saved->pools->len; i++) {
		struct saved_pool *at = &g_array_index(saved->pools, struct saved_pool, i);
		at->pool->room = at->room;
		chain_share_restore_bytes(at->pool, at->bytes);
		for (int late = 0; late < 2; late++) {
			at->pool->errors[late].computed_ms = at->computed_ms[late];
			at->pool->errors[late].quantiles = at->quantiles[late];
		}
	}
	g_array_unref(saved->pools);
}

static void decide(struct chain_sched *c, struct job *job, int64_t now_ms,
		   struct chain_explanation *e)
{
	e->retry_after_ms = CHAIN_RETRY_AFTER_MIN_MS;
	chain_room_refresh(c, now_ms);
	e->reason = chain_admit(c, job, now_ms, &e->retry_after_ms);
	e->is_admitted = !e->reason;
	if (e->is_admitted) {
		e->retry_after_ms = 0;
		chain_hold_if_late(c, job, now_ms);
		e->is_held = job->held;
		chain_unhold(c, job);
	}
	e->is_late = job->late;
	e->expect_in_ms = job->expect_at_ms - now_ms;
	e->bound = job->bound;
}

static void set_errors(struct pool *pool, bool late, int64_t now_ms, struct chain_error_stats *out)
{
	struct chain_error_quantiles q = chain_get_errors(pool, late, now_ms);

	*out = (struct chain_error_stats){
		.service = pool->service,
		.late = late,
		.samples = q.n,
		.age_ms = q.age_ms,
		.p10_ms = q.p10_ms,
		.p50_ms = q.p50_ms,
		.p90_ms = q.p90_ms,
	};
}

/* Adds what is known of the stage's pool, or its pieces if an earlier stage has added the pool. */
static void add_stage(const struct chain_sched *c, const struct job *job, const struct stage *s,
		      int64_t now_ms, struct chain_explanation *e)
{
	struct chain_pool_estimate *at = e->pools;

	while (at < &e->pools[e->n_pools] && at->stats.service != s->pool->service)
		at++;
	at->pieces += s->n_pieces;
	if (at < &e->pools[e->n_pools])
		return;
	e->n_pools++;
	chain_fill_pool_stats(c, s->pool, &at->stats);
	at->idle = chain_share_count_idle(c, s->pool, now_ms);
	at->working_upstreams = chain_usable_upstreams(c, s->pool, now_ms);
	at->wait_ms = (int64_t)chain_pool_wait_ms(c, job, s->pool, job->bound.late, now_ms);
	at->closed_ms = chain_pool_closed_ms(s->pool, now_ms);
	set_errors(s->pool, job->bound.late, now_ms, &at->errors);
	at->is_shared = chain_share_applies(c, s->pool);
	if (at->is_shared)
		chain_share_get_stats(c, job, s->pool, now_ms, &at->account);
	at->account.account = NULL; /* its name may be freed with the job */
}

void chain_explain(struct chain_sched *c, const struct chain_job_spec *doc, int64_t now_ms,
		   struct chain_explanation *e)
{
	struct saved saved;
	struct job *job;

	*e = (struct chain_explanation){
		.aim_in_ms = doc->aim_at_ms - now_ms,
		.deadline_in_ms = doc->deadline_at_ms - now_ms,
	};
	if (chain_has_too_many_pieces(doc)) {
		e->reason = CHAIN_TOO_MANY_PIECES;
		e->retry_after_ms = CHAIN_RETRY_AFTER_MAX_MS;
		return;
	}
	job = chain_job_new_preview(c, doc);
	save(c, &saved);
	if (!doc->is_moved)
		e->moved_to = chain_better_region(c, job, now_ms, &e->moved_age_ms);
	g_ptr_array_add(c->order, job);
	decide(c, job, now_ms, e);
	g_ptr_array_set_size(c->order, (gint)c->order->len - 1);
	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (job->stages[i].pool && job->stages[i].n_pieces > 0)
			add_stage(c, job, &job->stages[i], now_ms, e);
	}
	restore(c, &saved);
	chain_job_free_preview(job);
}
