/*
 * Counts of the pieces and accounts in a shared pool: the pieces that precede a chain, for its
 * admission, and the state of accounts for the dump. Design: docs/design/account-shares.md.
 */
#include "chain_share_internal.h"

#include <math.h>

/* What is counted of a pool to find the pieces ahead of a chain. */
struct tally {
	struct chain_share *first; /* accounts of other chains, linked by next */
	uint32_t ahead;		   /* pieces of other chains by due time, of all accounts */
	uint32_t own_ahead;	   /* of these, pieces of the same account */
	uint32_t own_waiting;	   /* of these, pieces that aren't running and aren't charged yet */
	uint32_t ready;		   /* pieces that wait to be started now */
};

uint32_t chain_share_count_idle(const struct chain_sched *c, const struct pool *pool,
				int64_t now_ms)
{
	bool has_owned = chain_pool_has_owned(c, pool);
	uint32_t n = 0;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		n += (!has_owned || chain_owns_region(c, u->region)) &&
		     chain_upstream_is_idle(u, now_ms);
	}
	return n;
}

/* Returns the account of the job in the pool. */
static const struct chain_share *share_of(const struct job *job, const struct pool *pool)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (job->stages[i].pool == pool)
			return job->stages[i].share;
	}
	return NULL;
}

/* Counts the pieces of a stage of another account. */
static void count_other(struct tally *t, const struct stage *s, bool is_late, bool is_ahead)
{
	struct chain_share *share = s->share;

	if (share->round != share->in->round) {
		share->round = share->in->round;
		share->waiting = 0;
		share->running = 0;
		share->ahead = 0;
		share->in_time = 0;
		share->next = t->first;
		t->first = share;
	}
	share->waiting += chain_count_waiting(s);
	share->running += is_ahead ? s->n_running : 0;
	share->ahead += is_ahead ? chain_count_waiting(s) : 0;
	share->in_time += is_late ? 0 : chain_count_waiting(s);
}

/* is_ahead: the other job precedes by due time. all: late jobs are counted. */
static void count_job(struct tally *t, const struct chain_share *own, const struct job *other,
		      const struct pool *pool, bool is_ahead, bool all)
{
	for (uint32_t i = 0; i < other->n_stages; i++) {
		const struct stage *s = &other->stages[i];
		uint32_t n = s->n_pieces - s->n_done;
		if (s->pool != pool || n == 0)
			continue;
		t->ahead += is_ahead ? n : 0;
		t->ready += s->open ? chain_count_waiting(s) : 0;
		if (s->share != own) {
			if (all || !other->late)
				count_other(t, s, other->late, is_ahead);
		} else if (is_ahead) {
			t->own_ahead += n;
			t->own_waiting += chain_count_waiting(s);
		}
	}
}

/* Counts the waiting pieces of the account that start before a virtual time. */
static uint32_t count_before(const struct chain_share *share, double until_ms, double cost_ms)
{
	return (uint32_t)fmin(fmax(until_ms - chain_share_start_ms(share), 0) / cost_ms,
			      share->waiting);
}

/*
 * Counts the pieces of other accounts that precede pieces whose turn begins at the virtual time:
 * those of earlier turns, and by due time those of the same turn. In time precedes late.
 */
static uint32_t count_others_ahead(const struct tally *t, const struct pool *pool, double turn_ms,
				   bool all)
{
	double cost_ms = chain_share_piece_ms(pool);
	uint32_t n = 0;

	for (const struct chain_share *share = t->first; share; share = share->next) {
		uint32_t least = count_before(share, turn_ms, cost_ms);
		uint32_t most = count_before(share, turn_ms + chain_share_call_ms(pool), cost_ms);
		uint32_t ahead = CLAMP(share->ahead, least, most);
		n += all ? MAX(ahead, share->in_time) : ahead;
	}
	return n;
}

/*
 * Counts the running pieces of other accounts. They delay nothing for longer than a call takes,
 * while the measured time per piece is far too long for them after a time of calls with few pieces.
 */
static uint32_t count_others_running(const struct chain_sched *c, const struct tally *t,
				     const struct pool *pool, int64_t now_ms)
{
	double most = chain_share_call_ms(pool) / fmax(chain_pool_piece_ms(c, pool, now_ms), 1e-3);
	uint32_t n = 0;

	for (const struct chain_share *share = t->first; share; share = share->next)
		n += share->running;
	return (uint32_t)fmin(n, most);
}

/* Counts what waits in the pool and in which of it precedes the job by due time. */
static void tally_pool(const struct chain_sched *c, const struct job *job, const struct pool *pool,
		       bool all, struct tally *t)
{
	const struct chain_share *own = share_of(job, pool);
	int64_t order = chain_job_sort_key_ms(job);

	pool->shares->round++;
	for (guint i = 0; i < c->order->len; i++) {
		const struct job *other = g_ptr_array_index(c->order, i);
		if (other != job && !other->delivered)
			count_job(t, own, other, pool,
				  all || (!other->late && chain_job_sort_key_ms(other) <= order),
				  all);
	}
}

uint32_t chain_share_pieces_ahead(const struct chain_sched *c, const struct job *job,
				  const struct pool *pool, bool all, int64_t now_ms)
{
	double call_ms = chain_share_call_ms(pool);
	double pool_ms = pool->shares->now_ms;
	uint32_t job_pieces = 0;
	struct tally t = {0};
	double last_ms;

	tally_pool(c, job, pool, all, &t);
	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (job->stages[i].pool == pool)
			job_pieces += chain_count_waiting(&job->stages[i]);
	}
	if (t.ready + job_pieces <=
	    chain_share_count_idle(c, pool, now_ms) * (uint64_t)MAX(pool->doc.batch_size, 1))
		return t.ahead;
	last_ms = chain_share_start_ms(share_of(job, pool)) +
		  chain_share_piece_ms(pool) * t.own_waiting;
	return t.own_ahead + count_others_running(c, &t, pool, now_ms) +
	       count_others_ahead(&t, pool,
				  pool_ms + floor((last_ms - pool_ms) / call_ms) * call_ms, all);
}

static void write_stats(const struct pool *pool, const struct chain_share *share,
			struct chain_account_stats *state, int64_t now_ms)
{
	double all_ms = chain_share_use_at(&pool->shares->use, now_ms);

	*state = (struct chain_account_stats){
		.service = pool->service,
		.account = share->name,
		.waiting = share->waiting,
		.running = share->running,
		.share = all_ms > 0 ? chain_share_use_at(&share->use, now_ms) / all_ms : 0,
		.given_elsewhere_ms = chain_share_use_at(&share->elsewhere, now_ms),
		.lead_calls = (chain_share_start_ms(share) - pool->shares->now_ms) /
			      chain_share_call_ms(pool),
	};
}

/* Counts all unfinished pieces of the pool by account. */
static void tally_accounts(const struct chain_sched *c, const struct pool *pool, struct tally *t)
{
	pool->shares->round++;
	for (guint i = 0; i < c->order->len; i++) {
		const struct job *job = g_ptr_array_index(c->order, i);
		if (!job->delivered)
			count_job(t, NULL, job, pool, true, true);
	}
}

void chain_share_get_stats(const struct chain_sched *c, const struct job *job,
			   const struct pool *pool, int64_t now_ms,
			   struct chain_account_stats *stats)
{
	const struct chain_share *share = share_of(job, pool);
	struct tally t = {0};

	tally_accounts(c, pool, &t);
	write_stats(pool, share, stats, now_ms);
	if (share->round != pool->shares->round) {
		stats->waiting = 0; /* it has no stages there */
		stats->running = 0;
	}
}

uint32_t chain_get_account_stats(const struct chain_sched *c, struct chain_account_stats *states,
				 uint32_t capacity, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct tally t = {0};
		if (!chain_share_applies(c, value))
			continue;
		tally_accounts(c, value, &t);
		for (const struct chain_share *share = t.first;
		     share && t.ready > 0 && n < capacity; share = share->next)
			write_stats(value, share, &states[n++], now_ms);
	}
	return n;
}
