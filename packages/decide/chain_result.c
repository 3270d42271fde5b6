/* Outcomes of calls: stores results, requeues failed pieces and updates measured durations. */
#include "chain_internal.h"

void chain_requeue_piece(struct stage *s, struct piece *piece)
{
	if (piece->state == PIECE_DONE)
		s->n_done--;
	else if (piece->state == PIECE_RUNNING)
		s->n_running--;
	g_free(piece->handle);
	*piece = (struct piece){.state = PIECE_WAITING, .n_failures = piece->n_failures};
}

/* Requeues the stage's pieces whose results were released. Returns whether there were any. */
static bool requeue_released(struct stage *s)
{
	bool changed = false;

	for (uint32_t i = 0; i < s->n_pieces; i++) {
		if (s->pieces[i].state != PIECE_DONE || !s->pieces[i].freed)
			continue;
		chain_requeue_piece(s, &s->pieces[i]);
		changed = true;
	}
	return changed;
}

void chain_requeue_inputs(struct job *job)
{
	bool changed = true;

	while (changed) { /* inputs that run again need their own inputs */
		changed = false;
		for (uint32_t i = 0; i < job->n_stages; i++) {
			uint32_t after = job->stages[i].after;
			if (chain_count_waiting(&job->stages[i]) == 0)
				continue;
			for (uint32_t k = 0; k < job->n_stages; k++) {
				if (after & (1U << k))
					changed = requeue_released(&job->stages[k]) || changed;
			}
		}
	}
	chain_open_stages(job); /* closes stages until their inputs exist again */
}

/* Queues all finished pieces of the stage's predecessors again after an input was lost. */
static void requeue_lost_inputs(struct job *job, struct stage *stage)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		struct stage *s = &job->stages[i];
		if (!(stage->after & (1U << i)))
			continue;
		for (uint32_t k = 0; k < s->n_pieces; k++) {
			chain_free_result(s, &s->pieces[k]);
			if (s->pieces[k].state == PIECE_DONE)
				chain_requeue_piece(s, &s->pieces[k]);
		}
	}
	chain_requeue_inputs(job);
}

static bool has_failed_too_often(const struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		for (uint32_t k = 0; k < job->stages[i].n_pieces; k++) {
			if (job->stages[i].pieces[k].n_failures >= CHAIN_PIECE_FAILURES_MAX)
				return true;
		}
	}
	return false;
}

static void store_result(struct call *call, struct stage *s, struct piece *piece,
			 const char *handle, int64_t now_ms)
{
	struct upstream *u = call->upstream;

	if (piece->state == PIECE_DONE) { /* an earlier result of the piece is kept */
		g_ptr_array_add(u->pending_frees, g_strdup(handle));
		return;
	}
	if (piece->state == PIECE_RUNNING)
		s->n_running--;
	piece->state = PIECE_DONE;
	piece->handle = g_strdup(handle);
	piece->producer = u;
	piece->done_ms = now_ms;
	piece->freed = false;
	u->used_bytes += s->result_bytes;
	s->n_done++;
}

void chain_add_foreign_bytes(struct upstream *u, int64_t bytes, int64_t now_ms)
{
	int64_t capacity = (int64_t)((double)u->pool->doc.room_bytes * CHAIN_STORAGE_SHARE);
	int64_t foreign = capacity - u->used_bytes -
			  chain_storage_left(u, now_ms); /* what is left of the estimate */

	u->foreign_bytes = MIN(foreign + bytes, capacity);
	u->foreign_ms = now_ms;
}

/*
 * Applies the result of one piece. Returns false when its chain was dropped before or is dropped
 * because of the result.
 */
static bool apply_result(struct chain_sched *c, struct call *call, const struct call_piece *at,
			 const struct chain_piece_result *result, int64_t now_ms, GArray *out)
{
	struct job *job = g_hash_table_lookup(c->jobs, &at->job);
	struct stage *s;
	struct piece *piece;

	if (!job) {
		if (result->fault == CHAIN_PIECE_OK)
			g_ptr_array_add(call->upstream->pending_frees, g_strdup(result->handle));
		return false;
	}
	s = &job->stages[at->stage];
	piece = &s->pieces[at->index];
	if (result->fault == CHAIN_PIECE_OK) {
		store_result(call, s, piece, result->handle, now_ms);
		return true;
	}
	if (piece->state != PIECE_RUNNING || piece->call != call->id)
		return true;
	chain_requeue_piece(s, piece);
	chain_requeue_inputs(job);
	if (result->fault == CHAIN_PIECE_EXPIRED) {
		chain_note_error(job, now_ms + chain_job_remaining_ms(job) - CHAIN_FIRST_TOKEN_MS,
				 now_ms);
		chain_refuse(c, job, "deadline passed at a pool upstream", CHAIN_RETRY_AFTER_MIN_MS,
			     now_ms, out);
		return false;
	}
	if (result->fault == CHAIN_PIECE_INPUT_LOST)
		requeue_lost_inputs(job, s);
	/* Missing storage at the upstream doesn't count as a failure of the piece. */
	if (result->fault == CHAIN_PIECE_NO_ROOM)
		chain_add_foreign_bytes(call->upstream, s->result_bytes, now_ms);
	else
		piece->n_failures++;
	if (has_failed_too_often(job)) {
		chain_refuse(c, job, "a piece failed too often", CHAIN_RETRY_AFTER_MIN_MS, now_ms,
			     out);
		return false;
	}
	return true;
}

static struct call *finish_call(struct chain_sched *c, uint64_t id)
{
	struct call *call = g_hash_table_lookup(c->calls, &id);

	if (call) {
		call->upstream->calls--;
		call->upstream->used_bytes -= call->room_bytes;
	}
	return call;
}

/* Advances the chains whose pieces were in the call, except those dropped in the meantime. */
static void advance_jobs(struct chain_sched *c, const struct call *call, int64_t now_ms,
			 GArray *out)
{
	for (uint32_t i = 0; i < call->n; i++) {
		struct job *job = g_hash_table_lookup(c->jobs, &call->pieces[i].job);
		if (job)
			chain_advance_job(c, job, now_ms, out);
	}
}

/* Returns the ratio of the call's duration to that of such a call at pace 1. */
static double duration_ratio(const struct call *call, int64_t now_ms)
{
	const struct pub_pool *doc = &call->upstream->pool->doc;
	double usual_ms = doc->call_ms + doc->piece_ms * call->n;

	return usual_ms > 0 ? (double)(now_ms - call->sent_ms) / usual_ms : 1.0;
}

static void update_slowdown(struct upstream *u, double slowdown)
{
	u->slowdown += CHAIN_SLOWDOWN_GAIN * (slowdown - u->slowdown);
}

/* Updates the pool's average time per piece, which is shorter the more pieces a call has. */
static void update_piece_time(struct pool *pool, const struct call *call, double pace_factor,
			      int64_t now_ms)
{
	double piece_time_ms = (double)(now_ms - call->sent_ms) / call->n / pace_factor;

	if (pool->piece_time_ms <= 0)
		pool->piece_time_ms = piece_time_ms;
	pool->piece_time_ms += CHAIN_PIECE_TIME_GAIN * (piece_time_ms - pool->piece_time_ms);
}

/*
 * Durations are measured only for calls without failed pieces, since these shorten a call. An
 * upstream without room for any result of the call receives no calls for a while.
 */
static void update_measurements(const struct chain_sched *c, struct call *call,
				const struct chain_piece_result *results, uint32_t n,
				int64_t now_ms)
{
	uint32_t failed = 0;
	uint32_t no_room = 0;
	double ratio = duration_ratio(call, now_ms);
	double explained = chain_pace_explained(call, ratio, now_ms);

	for (uint32_t i = 0; i < n; i++) {
		failed += results[i].fault != CHAIN_PIECE_OK;
		no_room += results[i].fault == CHAIN_PIECE_NO_ROOM;
	}
	if (failed == 0) {
		if (policy_is_on(c->off, POLICY_SLOW_UPSTREAMS))
			update_slowdown(call->upstream, ratio / explained);
		update_piece_time(call->upstream->pool, call, explained, now_ms);
	}
	if (no_room == n)
		call->upstream->backoff_until_ms = now_ms + CHAIN_NO_ROOM_BACKOFF_MS;
}

void chain_complete_call(struct chain_sched *c, uint64_t id,
			 const struct chain_piece_result *results, uint32_t n,
			 uint32_t other_owner_calls, int64_t now_ms, GArray *out)
{
	struct call *call = finish_call(c, id);

	if (!call)
		return;
	update_measurements(c, call, results, n, now_ms);
	call->upstream->failures = 0;
	if (other_owner_calls > 0)
		call->upstream->shared_ms = now_ms;
	for (uint32_t i = 0; i < call->n && i < n; i++)
		apply_result(c, call, &call->pieces[i], &results[i], now_ms, out);
	advance_jobs(c, call, now_ms, out);
	g_hash_table_remove(c->calls, &id);
	chain_dispatch(c, now_ms, out);
}

void chain_requeue_call(struct chain_sched *c, const struct call *call, bool is_failure)
{
	for (uint32_t i = 0; i < call->n; i++) {
		const struct call_piece *at = &call->pieces[i];
		struct job *job = g_hash_table_lookup(c->jobs, &at->job);
		struct piece *piece;
		if (!job)
			continue;
		piece = &job->stages[at->stage].pieces[at->index];
		if (piece->state == PIECE_RUNNING && piece->call == call->id) {
			chain_requeue_piece(&job->stages[at->stage], piece);
			piece->n_failures += is_failure;
			chain_requeue_inputs(job);
		}
	}
}

static void refuse_failed_jobs(struct chain_sched *c, const struct call *call, int64_t now_ms,
			       GArray *out)
{
	for (uint32_t i = 0; i < call->n; i++) {
		struct job *job = g_hash_table_lookup(c->jobs, &call->pieces[i].job);
		if (job && has_failed_too_often(job))
			chain_refuse(c, job, "a piece failed too often", CHAIN_RETRY_AFTER_MIN_MS,
				     now_ms, out);
	}
}

void chain_fail_call(struct chain_sched *c, uint64_t id, enum chain_call_error fault,
		     int64_t now_ms, GArray *out)
{
	struct call *call = finish_call(c, id);
	struct upstream *u;

	if (!call)
		return;
	u = call->upstream;
	if (fault == CHAIN_CALL_REJECTED) {
		u->backoff_until_ms = now_ms + CHAIN_REJECTED_BACKOFF_MS;
	} else if (policy_is_on(c->off, POLICY_BACKOFF)) {
		u->backoff_until_ms = now_ms + MIN(CHAIN_FAILURE_BACKOFF_MS << MIN(u->failures, 8),
						   CHAIN_FAILURE_BACKOFF_MAX_MS);
		u->failures++;
	}
	/* the upstream may have run the call, and then keeps results that nobody knows of */
	if (fault == CHAIN_CALL_FAILED && chain_room_applies(c, u->pool))
		chain_add_foreign_bytes(u, call->room_bytes, now_ms);
	chain_requeue_call(c, call, fault != CHAIN_CALL_REJECTED);
	if (fault != CHAIN_CALL_REJECTED)
		refuse_failed_jobs(c, call, now_ms, out);
	advance_jobs(c, call, now_ms, out);
	g_hash_table_remove(c->calls, &id);
	chain_dispatch(c, now_ms, out);
}
