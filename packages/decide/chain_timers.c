/* Periodic checks: overdue calls, inputs that were fetched, expired results and deadlines. */
#include "chain_internal.h"

/* Queues the pieces of overdue calls again; the result that arrives first is used. */
static void requeue_overdue_calls(struct chain_sched *c, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct call *call = value;
		int64_t limit_ms =
			CHAIN_CALL_TIMEOUT_FACTOR * call->expect_ms + CHAIN_CALL_TIMEOUT_MARGIN_MS;
		if (call->overdue || now_ms - call->sent_ms < limit_ms)
			continue;
		call->overdue = true;
		call->upstream->slowdown = MAX(call->upstream->slowdown, CHAIN_SLOW_FACTOR);
		chain_requeue_call(c, call, false);
	}
}

/* Returns whether each piece of the stage is done or has had time to fetch its inputs. */
static bool has_fetched_inputs(const struct chain_sched *c, const struct stage *s, int64_t now_ms)
{
	for (uint32_t i = 0; i < s->n_pieces; i++) {
		const struct piece *piece = &s->pieces[i];
		const struct call *call;
		if (piece->state == PIECE_DONE)
			continue;
		if (piece->state == PIECE_WAITING)
			return false;
		call = g_hash_table_lookup(c->calls, &piece->call);
		if (!call || now_ms - call->sent_ms < CHAIN_INPUT_FETCH_MS)
			return false;
		/* At a shared upstream the call may still wait behind a call of another owner. */
		if (call->upstream->shared_ms > 0 &&
		    call->sent_ms - call->upstream->shared_ms < CHAIN_SHARED_UPSTREAM_MS)
			return false;
	}
	return true;
}

/* Returns whether an early release of the stage's results would free a notable part of a storage.
 */
static bool takes_storage(const struct stage *s)
{
	return s->pool && (double)(s->result_bytes * s->n_pieces) >=
				  CHAIN_EARLY_RELEASE_SHARE * (double)s->pool->doc.room_bytes;
}

/*
 * Where storage is low, releases results once every stage that uses them should have fetched them.
 * Results that take next to nothing are kept until those stages are done: if the fetch takes longer
 * than expected, both stages have to run again.
 */
static void free_fetched(struct chain_sched *c, struct job *job, int64_t now_ms)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		struct stage *s = &job->stages[i];
		bool fetched = !s->terminal && s->n_pieces > 0 && s->n_done == s->n_pieces &&
			       takes_storage(s);
		for (uint32_t k = 0; fetched && k < job->n_stages; k++) {
			if (job->stages[k].after & (1U << i))
				fetched = has_fetched_inputs(c, &job->stages[k], now_ms);
		}
		if (fetched && chain_stage_storage_is_low(s))
			chain_free_stage_results(s);
	}
}

/* Returns whether an upstream is about to discard a result that is still needed. */
static bool has_expiring_result(const struct job *job, int64_t now_ms)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		for (uint32_t k = 0; s->pool && k < s->n_pieces; k++) {
			const struct piece *piece = &s->pieces[k];
			if (piece->state == PIECE_DONE && !piece->freed && piece->done_ms > 0 &&
			    now_ms - piece->done_ms >
				    s->pool->doc.handle_ms - CHAIN_RESULT_EXPIRY_MARGIN_MS)
				return true;
		}
	}
	return false;
}

/*
 * Marks chains that will miss their latency target. Refuses chains that will miss their deadline or
 * lose a result, and drops delivered chains that are past their deadline or whose results were
 * fetched and take scarce storage.
 */
static void check_jobs(struct chain_sched *c, int64_t now_ms, GArray *out)
{
	for (guint i = c->order->len; i > 0; i--) {
		struct job *job = g_ptr_array_index(c->order, i - 1);
		bool is_expiring;
		int64_t ready_ms;
		if (job->delivered) {
			if (now_ms > job->deadline_at_ms ||
			    (job->fetched && chain_job_storage_is_low(job) &&
			     policy_is_on(c->off, POLICY_EARLY_RELEASE)))
				chain_drop_job(c, job);
			continue;
		}
		ready_ms = now_ms + chain_job_remaining_ms(job);
		job->late = job->late || ready_ms > job->aim_at_ms;
		if (policy_is_on(c->off, POLICY_EARLY_RELEASE))
			free_fetched(c, job, now_ms);
		is_expiring = has_expiring_result(job, now_ms);
		if (ready_ms <= job->deadline_at_ms && !is_expiring)
			continue;
		/* A lower bound of the error: chains that are served aren't all that count. */
		chain_note_error(job, ready_ms - CHAIN_FIRST_TOKEN_MS, now_ms);
		if (ready_ms > job->deadline_at_ms) {
			chain_refuse(c, job, "first token can't be reached before the deadline",
				     CHAIN_RETRY_AFTER_MIN_MS, now_ms, out);
		} else {
			c->late.n_expired++;
			chain_refuse(c, job, "a stored result is about to expire",
				     CHAIN_RETRY_AFTER_MIN_MS, now_ms, out);
		}
	}
}

/* Returns whether an upstream has lost capacity to what it said of itself. */
static bool has_limited_upstream(const struct chain_sched *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *u = value;
		if (u->listed && (u->limit_per_s >= 0 || u->is_held))
			return true;
	}
	return false;
}

/*
 * Refuses chains that wouldn't be admitted any more, the latest first. Limits and pauses can take
 * most of a pool's capacity after chains were admitted, which would then wait for their deadline.
 */
static void review_jobs(struct chain_sched *c, int64_t now_ms, GArray *out)
{
	c->reviewed_ms = now_ms;
	for (guint i = c->order->len; i > 0; i--) {
		struct job *job = g_ptr_array_index(c->order, i - 1);
		int64_t retry_ms = CHAIN_RETRY_AFTER_MIN_MS;
		const char *reason = job->delivered ? NULL : chain_admit(c, job, now_ms, &retry_ms);
		if (reason)
			chain_refuse(c, job, reason, retry_ms, now_ms, out);
	}
}

void chain_run_timers(struct chain_sched *c, int64_t now_ms, GArray *out)
{
	requeue_overdue_calls(c, now_ms);
	check_jobs(c, now_ms, out);
	chain_review_late(c, now_ms, out);
	if (now_ms - c->reviewed_ms >= CHAIN_REVIEW_MS && has_limited_upstream(c))
		review_jobs(c, now_ms, out);
	if (policy_is_on(c->off, POLICY_HANDOFF))
		chain_hand_off_jobs(c, now_ms, out);
	chain_dispatch(c, now_ms, out);
}
