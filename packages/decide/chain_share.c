/*
 * Shares of a pool among client accounts, by start-time fair queueing. Each account of a pool has a
 * virtual time, the end of what it was given, in ms of upstream time. The pool's virtual time is
 * the earliest start of what waits; an account that was idle continues from there, without credit
 * or debt. Stages are ordered by turn, the number of full calls by which they start after the
 * pool's virtual time, so that within a turn today's order applies. Design:
 * docs/design/account-shares.md.
 */
#include "chain_share_internal.h"

#include <math.h>

/*
 * A pool is shared only if a full call, divided by the number of the pool's upstreams, takes at
 * most this long: the delay by a call that is running when an account's work arrives. 390 ms over
 * 17 upstreams are 23 ms; over five they are 78 ms.
 */
#define CHAIN_SHARE_CALL_DELAY_MAX_MS 40.0
/* Accounts of a pool that are remembered; the one that has been idle for longest goes first. */
#define CHAIN_SHARE_ACCOUNTS_MAX 4096
/* Time constant with which an account's use of a pool is forgotten in the status dump. */
#define CHAIN_SHARE_USE_MS 5000.0
/* Name of an account that stands for all others while CHAIN_SHARE_ACCOUNTS_MAX have work. */
#define CHAIN_SHARE_OTHERS ""

static void free_share(gpointer data)
{
	struct chain_share *share = data;

	g_free(share->name);
	g_free(share);
}

struct chain_share_pool *chain_share_pool_new(void)
{
	struct chain_share_pool *p = g_new0(struct chain_share_pool, 1);

	p->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_share);
	g_queue_init(&p->idle);
	return p;
}

void chain_share_pool_free(struct chain_share_pool *p)
{
	g_hash_table_destroy(p->accounts);
	g_free(p);
}

static struct chain_share *add_account(struct chain_share_pool *p, const char *name)
{
	struct chain_share *share = g_new0(struct chain_share, 1);

	share->name = g_strdup(name);
	share->in = p;
	share->idle.data = share;
	g_queue_push_tail_link(&p->idle, &share->idle);
	g_hash_table_insert(p->accounts, share->name, share);
	return share;
}

static struct chain_share *find_account(struct chain_share_pool *p, const char *name)
{
	struct chain_share *share = g_hash_table_lookup(p->accounts, name);
	GList *oldest;

	if (share)
		return share;
	if (g_hash_table_size(p->accounts) < CHAIN_SHARE_ACCOUNTS_MAX)
		return add_account(p, name);
	oldest = g_queue_pop_head_link(&p->idle);
	if (!oldest) {
		share = g_hash_table_lookup(p->accounts, CHAIN_SHARE_OTHERS);
		return share ? share : add_account(p, CHAIN_SHARE_OTHERS);
	}
	g_hash_table_remove(p->accounts, ((const struct chain_share *)oldest->data)->name);
	return add_account(p, name);
}

void chain_share_join(const struct job *job, struct stage *s)
{
	if (!s->pool)
		return;
	s->share = find_account(s->pool->shares, job->share_name);
	if (s->share->n_stages++ == 0)
		g_queue_unlink(&s->share->in->idle, &s->share->idle);
}

void chain_share_leave(struct stage *s)
{
	if (!s->share)
		return;
	if (--s->share->n_stages == 0)
		g_queue_push_tail_link(&s->share->in->idle, &s->share->idle);
	s->share = NULL;
}

/* Returns the share that an earlier stage of the job has in the pool; NULL if there is none. */
static struct chain_share *earlier_share(const struct job *job, const struct stage *s)
{
	for (const struct stage *other = job->stages; other < s; other++) {
		if (other->pool == s->pool)
			return other->share;
	}
	return NULL;
}

void chain_share_lend(const struct job *job, struct stage *s)
{
	if (!s->pool)
		return;
	s->share = earlier_share(job, s);
	if (!s->share)
		s->share = g_hash_table_lookup(s->pool->shares->accounts, job->share_name);
	if (s->share)
		return;
	s->share = g_new0(struct chain_share, 1);
	s->share->name = g_strdup(job->share_name);
	s->share->in = s->pool->shares;
	s->share->is_lent = true;
}

void chain_share_return(struct job *job)
{
	for (uint32_t i = job->n_stages; i > 0; i--) {
		struct stage *s = &job->stages[i - 1];
		if (s->share && s->share->is_lent && !earlier_share(job, s))
			free_share(s->share);
		s->share = NULL;
	}
}

/* What chain_share_add_bytes() changes in a share. */
struct chain_share_bytes {
	struct chain_share *share;
	uint64_t round;
	int64_t waiting;
	int64_t in_time;
};

GArray *chain_share_save_bytes(const struct pool *pool)
{
	GArray *saved = g_array_new(FALSE, FALSE, sizeof(struct chain_share_bytes));
	const struct chain_share_bytes all = {.round = pool->shares->bytes_round};
	GHashTableIter iter;
	gpointer value;

	g_array_append_val(saved, all);
	g_hash_table_iter_init(&iter, pool->shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct chain_share *share = value;
		const struct chain_share_bytes bytes = {share, share->bytes_round,
							share->waiting_bytes, share->in_time_bytes};
		g_array_append_val(saved, bytes);
	}
	return saved;
}

void chain_share_restore_bytes(struct pool *pool, GArray *saved)
{
	pool->shares->bytes_round = g_array_index(saved, struct chain_share_bytes, 0).round;
	for (guint i = 1; i < saved->len; i++) {
		const struct chain_share_bytes *bytes =
			&g_array_index(saved, struct chain_share_bytes, i);
		bytes->share->bytes_round = bytes->round;
		bytes->share->waiting_bytes = bytes->waiting;
		bytes->share->in_time_bytes = bytes->in_time;
	}
	g_array_unref(saved);
}

double chain_share_call_ms(const struct pool *pool)
{
	return fmax(pool->doc.call_ms + pool->doc.piece_ms * MAX(pool->doc.batch_size, 1), 1);
}

double chain_share_piece_ms(const struct pool *pool)
{
	return chain_share_call_ms(pool) / MAX(pool->doc.batch_size, 1);
}

bool chain_share_is_large(const struct pool *pool)
{
	uint32_t n = 0;

	for (guint i = 0; i < pool->upstreams->len; i++)
		n += ((const struct upstream *)g_ptr_array_index(pool->upstreams, i))->usable;
	return n > 0 && chain_share_call_ms(pool) / n <= CHAIN_SHARE_CALL_DELAY_MAX_MS;
}

bool chain_share_applies(const struct chain_sched *c, const struct pool *pool)
{
	return policy_is_on(c->off, POLICY_FAIR_SHARES) && chain_share_is_large(pool);
}

void chain_share_clear_bytes(struct pool *pool)
{
	pool->shares->bytes_round++;
}

bool chain_share_add_bytes(struct chain_share *share, int64_t bytes, bool is_late)
{
	bool is_first = share->bytes_round != share->in->bytes_round;

	if (is_first) {
		share->bytes_round = share->in->bytes_round;
		share->waiting_bytes = 0;
		share->in_time_bytes = 0;
	}
	share->waiting_bytes += bytes;
	share->in_time_bytes += is_late ? 0 : bytes;
	return is_first;
}

int64_t chain_share_get_bytes(const struct chain_share *share, bool all)
{
	if (share->bytes_round != share->in->bytes_round)
		return 0;
	return all ? share->waiting_bytes : share->in_time_bytes;
}

double chain_share_start_ms(const struct chain_share *share)
{
	return fmax(share->end_ms, share->in->now_ms);
}

uint32_t chain_share_set_tags(struct pool *pool, GArray *ready)
{
	double cost_ms = chain_share_piece_ms(pool);
	uint64_t round = ++pool->shares->round;
	uint32_t n = 0;

	for (guint i = 0; i < ready->len; i++) {
		struct chain_ready_stage *e = &g_array_index(ready, struct chain_ready_stage, i);
		struct chain_share *share = e->stage->share;
		if (share->round != round) {
			share->round = round;
			chain_share_pay_owed(pool, share);
			share->tag_ms = chain_share_start_ms(share);
			n++;
		}
		e->tag_ms = share->tag_ms;
		e->turn =
			(uint64_t)((e->tag_ms - pool->shares->now_ms) / chain_share_call_ms(pool));
		share->tag_ms += cost_ms * e->waiting;
	}
	return n;
}

double chain_share_use_at(const struct chain_share_use *use, int64_t now_ms)
{
	return use->sum_ms * exp((double)(use->at_ms - now_ms) / CHAIN_SHARE_USE_MS);
}

void chain_share_add_use(struct chain_share_use *use, double ms, int64_t now_ms)
{
	if (use->at_ms != now_ms)
		use->sum_ms = chain_share_use_at(use, now_ms);
	use->sum_ms += ms;
	use->at_ms = now_ms;
}

double chain_share_lead_calls(const struct job *job)
{
	double most = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		if (s->share && s->n_pieces > 0)
			most = fmax(most, (chain_share_start_ms(s->share) - s->share->in->now_ms) /
						  chain_share_call_ms(s->pool));
	}
	return most;
}

void chain_share_charge_call(struct chain_sched *c, const struct call *call, int64_t now_ms)
{
	const struct pub_pool *doc = &call->upstream->pool->doc;
	double cost_ms = doc->piece_ms + doc->call_ms / call->n;
	const struct job *job = NULL;

	if (!policy_is_on(c->off, POLICY_FAIR_SHARES))
		return;
	for (uint32_t i = 0; i < call->n; i++) {
		const struct call_piece *at = &call->pieces[i];
		struct chain_share *share;
		if (!job || job->id != at->job)
			job = g_hash_table_lookup(c->jobs, &at->job);
		share = job->stages[at->stage].share;
		share->end_ms = chain_share_start_ms(share) + cost_ms;
		chain_share_note_given(c, share, cost_ms, now_ms);
		chain_share_add_use(&share->use, cost_ms, now_ms);
		chain_share_add_use(&share->in->use, cost_ms, now_ms);
	}
}

/*
 * An account whose stages wait although later ones started, as they fit no upstream, keeps its
 * claim for a full call at most: others would have to wait for it later.
 */
void chain_share_advance(struct chain_sched *c, struct pool *pool, const GArray *ready)
{
	struct chain_share_pool *p = pool->shares;
	double waiting_ms = INFINITY;
	double started_ms = 0;

	if (!policy_is_on(c->off, POLICY_FAIR_SHARES))
		return;
	for (guint i = 0; i < ready->len; i++) {
		const struct chain_ready_stage *e =
			&g_array_index(ready, struct chain_ready_stage, i);
		if (chain_count_waiting(e->stage) < e->waiting)
			started_ms = fmax(started_ms, e->tag_ms);
		else
			waiting_ms = fmin(waiting_ms, e->tag_ms);
	}
	p->now_ms = fmax(p->now_ms, fmax(fmin(waiting_ms, started_ms),
					 started_ms - chain_share_call_ms(pool)));
}
