/*
 * Admission control. A chain is admitted when it is estimated to meet its latency target after the
 * chains that precede it. Otherwise it is admitted as late when, after all other chains, it is
 * estimated to finish before its deadline: by the measured error of estimates in large pools, and
 * within CHAIN_LATE_MAX_MS in others. All others are refused.
 */
#include "chain_internal.h"

#include <math.h>

#define MS_PER_S 1000.0

/* Returns the share of the time in which an upstream may work on full calls under its limit. */
static double limited_share(const struct pool *pool, const struct upstream *u)
{
	double call_ms = pool->doc.call_ms + pool->doc.piece_ms * MAX(pool->doc.batch_size, 1);

	return u->limit_per_s < 0 ? 1.0 : fmin(1.0, u->limit_per_s * call_ms / MS_PER_S);
}

double chain_usable_upstreams(const struct chain_sched *c, const struct pool *pool, int64_t now_ms)
{
	bool has_owned = chain_pool_has_owned(c, pool);
	double n = 0;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		if (u->usable && u->backoff_until_ms <= now_ms && u->slowdown < CHAIN_SLOW_FACTOR &&
		    (!u->is_held || u->limit_per_s >= 0) &&
		    (!has_owned || chain_owns_region(c, u->region)))
			n += limited_share(pool, u) *
			     pace_speed_at(&u->pace, &pool->usual_pace, now_ms);
	}
	return n;
}

/*
 * Returns the weight, 0..1, of the measured time per piece in estimates. A large pool sends a call
 * as soon as an upstream is idle, so calls are far from full until work queues, and the time
 * measured until then is far too long for the queue. Where room for results keeps calls from being
 * full, the estimate has the wait for room; without it, chains would be admitted without limit.
 */
static double measured_time_weight(const struct chain_sched *c, const struct pool *pool)
{
	return policy_is_on(c->off, POLICY_FULL_CALLS) && chain_room_applies(c, pool)
		       ? 0
		       : CHAIN_MEASURED_TIME_WEIGHT;
}

double chain_pool_piece_ms(const struct chain_sched *c, const struct pool *pool, int64_t now_ms)
{
	double n = chain_usable_upstreams(c, pool, now_ms);
	double full_ms = pool->doc.call_ms / MAX(pool->doc.batch_size, 1) + pool->doc.piece_ms;
	double measured_ms = fmax(pool->piece_time_ms, full_ms);

	return (full_ms + measured_time_weight(c, pool) * (measured_ms - full_ms)) /
	       (n > 0 ? n : 1);
}

static uint32_t unfinished_in_pool(const struct job *job, const struct pool *pool)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		if (s->pool == pool)
			n += s->n_pieces - s->n_done;
	}
	return n;
}

uint32_t chain_count_pending(const struct chain_sched *c, const struct pool *pool)
{
	uint32_t n = 0;

	for (guint i = 0; i < c->order->len; i++) {
		const struct job *job = g_ptr_array_index(c->order, i);
		if (!job->delivered)
			n += unfinished_in_pool(job, pool);
	}
	return n;
}

/* Returns the number of unfinished pieces of other chains that precede the job in the queue. */
static uint32_t pieces_before(const struct chain_sched *c, const struct job *job,
			      const struct pool *pool, bool all)
{
	int64_t order = chain_job_sort_key_ms(job);
	uint32_t n = 0;

	for (guint i = 0; i < c->order->len; i++) {
		const struct job *other = g_ptr_array_index(c->order, i);
		if (other == job || other->delivered)
			continue;
		if (all || (!other->late && chain_job_sort_key_ms(other) <= order))
			n += unfinished_in_pool(other, pool);
	}
	return n;
}

/*
 * Returns the number of unfinished pieces of other chains in the pool that precede the job: of all
 * chains, or only of those that aren't late; in a shared pool, less what other accounts want beyond
 * their shares. If the wait for room takes longer than these pieces, that wait as a number of
 * pieces.
 */
static uint32_t pieces_ahead(const struct chain_sched *c, const struct job *job,
			     const struct pool *pool, bool all, int64_t now_ms)
{
	uint32_t n = chain_share_applies(c, pool)
			     ? chain_share_pieces_ahead(c, job, pool, all, now_ms)
			     : pieces_before(c, job, pool, all);
	uint32_t n_room = chain_room_pieces_ahead(c, job, pool, all, now_ms);

	c->counters->room_waits += n_room > n;
	return MAX(n, n_room);
}

int64_t chain_pool_closed_ms(const struct pool *pool, int64_t now_ms)
{
	int64_t open_at_ms = INT64_MAX;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		if (!u->usable)
			continue;
		if (!u->is_held || u->limit_per_s >= 0)
			return 0;
		open_at_ms = MIN(open_at_ms, u->open_at_ms);
	}
	return open_at_ms == INT64_MAX ? 0 : MAX(open_at_ms - now_ms, 0);
}

double chain_pool_wait_ms(const struct chain_sched *c, const struct job *job,
			  const struct pool *pool, bool all, int64_t now_ms)
{
	return pieces_ahead(c, job, pool, all, now_ms) * chain_pool_piece_ms(c, pool, now_ms) +
	       (double)chain_pool_closed_ms(pool, now_ms);
}

/* Sets the job's binding pool and returns its queue wait, the longest of those it still needs. */
static int64_t find_binding(const struct chain_sched *c, struct job *job, bool all, int64_t now_ms)
{
	double longest_ms = 0;

	job->binding = NULL;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		if (!s->pool || s->n_pieces == s->n_done)
			continue;
		double ms = chain_pool_wait_ms(c, job, s->pool, all, now_ms);
		if (job->binding && ms <= longest_ms)
			continue;
		job->binding = s->pool;
		longest_ms = ms;
	}
	return (int64_t)longest_ms;
}

/* Returns the estimated time of the first token. */
static int64_t estimate_first_token_at_ms(const struct chain_sched *c, struct job *job, bool all,
					  int64_t now_ms)
{
	return now_ms + find_binding(c, job, all, now_ms) + chain_job_remaining_ms(job);
}

const char *chain_admit(const struct chain_sched *c, struct job *job, int64_t now_ms,
			int64_t *retry_ms)
{
	job->expect_at_ms = estimate_first_token_at_ms(c, job, false, now_ms);
	job->late = job->expect_at_ms > job->aim_at_ms;
	job->bound = (struct chain_bound){
		.rule = "target",
		.pool = job->binding ? job->binding->service : NULL,
		.age_ms = -1,
	};
	if (!job->late)
		return NULL;
	job->expect_at_ms = estimate_first_token_at_ms(c, job, true, now_ms);
	job->due_at_ms = job->expect_at_ms + CHAIN_ESTIMATE_MARGIN_MS;
	if (chain_fits_late(c, job, now_ms))
		return NULL;
	if (policy_is_on(c->off, POLICY_RETRY_AFTER))
		*retry_ms = chain_retry_after_ms(job, now_ms);
	return "estimated finish is too late";
}
