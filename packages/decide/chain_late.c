/*
 * Late chains that wait longer than upstreams keep results. They are held: none of their pieces
 * starts until the results would last. Those that can no longer be served are refused.
 */
#include "chain_internal.h"

#include <math.h>

bool chain_has_begun(const struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (chain_count_waiting(&job->stages[i]) < job->stages[i].n_pieces)
			return true;
	}
	return false;
}

int64_t chain_results_left_ms(const struct job *job, int64_t now_ms)
{
	int64_t left_ms = INT64_MAX;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		for (uint32_t k = 0; s->pool && k < s->n_pieces; k++) {
			const struct piece *piece = &s->pieces[k];
			int64_t age_ms = piece->state == PIECE_DONE ? now_ms - piece->done_ms : 0;
			if (!piece->freed)
				left_ms = MIN(left_ms, s->pool->doc.handle_ms -
							       CHAIN_RESULT_EXPIRY_MARGIN_MS -
							       age_ms);
		}
	}
	return left_ms;
}

/*
 * Returns the longest wait for the binding pool with which a chain may begin: about the time until
 * its pieces get there, so that they fill calls, and less than upstreams keep results.
 */
static int64_t begin_wait_ms(const struct job *job, const struct pool *binding, int64_t now_ms)
{
	int64_t left_ms = chain_results_left_ms(job, now_ms) - CHAIN_ESTIMATE_MARGIN_MS;
	uint32_t depth = 1; /* an upstream that becomes idle must find pieces that wait */

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		if (s->pool == binding && s->n_pieces > 0)
			depth = MAX(depth, s->depth);
	}
	return CLAMP((int64_t)depth * CHAIN_STAGE_TIME_MS, 0, MAX(left_ms, 0));
}

void chain_hold_if_late(struct chain_sched *c, struct job *job, int64_t now_ms)
{
	int64_t wait_ms = job->expect_at_ms - now_ms - chain_job_remaining_ms(job);

	job->held = job->late && job->bound.by_error && !chain_has_begun(job) &&
		    wait_ms > begin_wait_ms(job, job->binding, now_ms);
	c->n_held += job->held;
}

void chain_unhold(struct chain_sched *c, struct job *job)
{
	c->n_held -= job->held;
	job->held = false;
}

static void add_pieces(const struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		if (s->pool)
			s->pool->ahead += s->n_pieces - s->n_done;
	}
}

/* Counts the work that precedes all held chains, and returns these. */
static GPtrArray *count_ahead(struct chain_sched *c)
{
	GPtrArray *held = g_ptr_array_new();

	for (guint i = 0; i < c->order->len; i++) {
		struct job *job = g_ptr_array_index(c->order, i);
		if (job->held)
			g_ptr_array_add(held, job);
		else if (!job->delivered)
			add_pieces(job);
	}
	return held;
}

static void start_count(struct chain_sched *c, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;
		pool->ahead = 0;
		pool->piece_wait_ms = chain_pool_piece_ms(c, pool, now_ms);
		pool->closed_wait_ms = (double)chain_pool_closed_ms(pool, now_ms);
	}
}

static gint compare_held(gconstpointer left, gconstpointer right)
{
	const struct job *a = *(struct job *const *)left;
	const struct job *b = *(struct job *const *)right;
	int64_t a_ms = chain_job_sort_key_ms(a);
	int64_t b_ms = chain_job_sort_key_ms(b);

	if (a_ms != b_ms)
		return a_ms < b_ms ? -1 : 1;
	return a->id < b->id ? -1 : a->id > b->id;
}

/* Returns the longest wait among the job's pools for the work counted so far, and its pool. */
static int64_t counted_wait_ms(const struct job *job, const struct pool **binding)
{
	double longest_ms = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct pool *pool = job->stages[i].pool;
		double ms;
		if (!pool || job->stages[i].n_done == job->stages[i].n_pieces)
			continue;
		ms = pool->ahead * pool->piece_wait_ms + pool->closed_wait_ms;
		if (*binding && ms <= longest_ms)
			continue;
		*binding = pool;
		longest_ms = ms;
	}
	return (int64_t)longest_ms;
}

/*
 * Returns when the last result of a held chain will be ready if it begins after the wait and each
 * stage takes CHAIN_STAGE_TIME_MS.
 */
static int64_t predict_ready_ms(const struct job *job, int64_t wait_ms, int64_t now_ms)
{
	uint32_t max_depth = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (job->stages[i].n_pieces > 0)
			max_depth = MAX(max_depth, job->stages[i].depth);
	}
	return now_ms + wait_ms + (int64_t)(max_depth + 1) * CHAIN_STAGE_TIME_MS;
}

static void review_held(struct chain_sched *c, struct job *job, int64_t now_ms, GArray *out)
{
	const struct pool *binding = NULL;
	int64_t wait_ms = counted_wait_ms(job, &binding);
	int64_t ready_ms = predict_ready_ms(job, wait_ms, now_ms);

	job->n_hopeless =
		ready_ms + CHAIN_FIRST_TOKEN_MS > job->deadline_at_ms ? job->n_hopeless + 1 : 0;
	if (job->n_hopeless >= CHAIN_LATE_REVIEWS) {
		c->late.n_refused_waiting++;
		chain_note_error(job, ready_ms, now_ms);
		chain_refuse(c, job, "can no longer be served before the deadline",
			     chain_retry_after_ms(job, now_ms), now_ms, out);
		return;
	}
	if (!job->late || !binding || wait_ms <= begin_wait_ms(job, binding, now_ms)) {
		chain_unhold(c, job);
		chain_open_stages(job);
	}
	add_pieces(job);
}

static void note_backlogs(struct chain_sched *c, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;
		chain_note_backlog(pool, pool->ahead * pool->piece_wait_ms, now_ms);
	}
}

void chain_review_late(struct chain_sched *c, int64_t now_ms, GArray *out)
{
	GPtrArray *held;

	if (now_ms - c->late_reviewed_ms < CHAIN_LATE_REVIEW_MS)
		return;
	c->late_reviewed_ms = now_ms;
	start_count(c, now_ms);
	held = count_ahead(c);
	g_ptr_array_sort(held, compare_held);
	for (guint i = 0; i < held->len; i++)
		review_held(c, g_ptr_array_index(held, i), now_ms, out);
	g_ptr_array_unref(held);
	note_backlogs(c, now_ms); /* all work is counted now */
}
