/* What calls come to: results taken, pieces put back, times learned. */
#include "chain_internal.h"

void chain_requeue_piece(struct stage *s, struct piece *piece)
{
	if (piece->state == PIECE_DONE)
		s->n_done--;
	g_free(piece->handle);
	*piece = (struct piece){.state = PIECE_WAITING, .tries = piece->tries};
}

/* Inputs that were given up once they had been fetched are needed again. */
static void renew_inputs(struct job *job, const struct stage *stage)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		struct stage *s = &job->stages[i];
		for (uint32_t k = 0; (stage->after & (1U << i)) && k < s->n_pieces; k++) {
			if (s->pieces[k].state == PIECE_DONE && s->pieces[k].freed)
				chain_requeue_piece(s, &s->pieces[k]);
		}
	}
	chain_open_stages(job); /* the stage itself is open no more */
}

/* An input is gone: all stages that the stage needs are done anew. */
static void redo_inputs(struct job *job, struct stage *stage)
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
	chain_open_stages(job);
}

static bool is_worn_out(const struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		for (uint32_t k = 0; k < job->stages[i].n_pieces; k++) {
			if (job->stages[i].pieces[k].tries >= CHAIN_PIECE_ATTEMPTS_MAX)
				return true;
		}
	}
	return false;
}

static void take_handle(struct call *call, struct stage *s, struct piece *piece, const char *handle,
			int64_t now_ms)
{
	struct upstream *u = call->upstream;

	if (piece->state == PIECE_DONE) { /* another call was first */
		g_ptr_array_add(u->frees, g_strdup(handle));
		return;
	}
	piece->state = PIECE_DONE;
	piece->handle = g_strdup(handle);
	piece->maker = u;
	piece->done_ms = now_ms;
	piece->freed = false;
	u->room_used += s->result_bytes;
	s->n_done++;
}

/* Results that an owner before us has left take room until they run out. */
static void note_foreign(struct upstream *u, int64_t bytes, int64_t now_ms)
{
	int64_t room = (int64_t)((double)u->pool->doc.room_bytes * CHAIN_STORAGE_SHARE);
	int64_t foreign =
		room - u->room_used - chain_storage_left(u, now_ms); /* what is still noted */

	u->room_foreign = MIN(foreign + bytes, room);
	u->foreign_ms = now_ms;
}

/* Takes one result; false when the chain has been given up. */
static bool take_result(struct chain_sched *c, struct call *call, const struct call_piece *at,
			const struct chain_piece_result *result, int64_t now_ms, GArray *out)
{
	struct job *job = g_hash_table_lookup(c->jobs, &at->job);
	struct stage *s;
	struct piece *piece;

	if (!job) {
		if (result->fault == CHAIN_PIECE_OK)
			g_ptr_array_add(call->upstream->frees, g_strdup(result->handle));
		return false;
	}
	s = &job->stages[at->stage];
	piece = &s->pieces[at->index];
	if (result->fault == CHAIN_PIECE_OK) {
		take_handle(call, s, piece, result->handle, now_ms);
		return true;
	}
	if (piece->state != PIECE_RUNNING || piece->call != call->id)
		return true;
	chain_requeue_piece(s, piece);
	renew_inputs(job, s);
	if (result->fault == CHAIN_PIECE_EXPIRED) {
		chain_refuse(c, job, "its deadline passed in a pool", CHAIN_RETRY_AFTER_MIN_MS,
			     now_ms, out);
		return false;
	}
	if (result->fault == CHAIN_PIECE_INPUT_LOST)
		redo_inputs(job, s);
	if (result->fault == CHAIN_PIECE_NO_ROOM) /* it is full, and that costs the piece no try */
		note_foreign(call->upstream, s->result_bytes, now_ms);
	else
		piece->tries++;
	if (is_worn_out(job)) {
		chain_refuse(c, job, "its pieces failed too often", CHAIN_RETRY_AFTER_MIN_MS,
			     now_ms, out);
		return false;
	}
	return true;
}

static struct call *take_call(struct chain_sched *c, uint64_t id)
{
	struct call *call = g_hash_table_lookup(c->calls, &id);

	if (call) {
		call->upstream->calls--;
		call->upstream->room_used -= call->room_bytes;
	}
	return call;
}

/* Advances each chain of the call that still stands. */
static void advance_all(struct chain_sched *c, const struct call *call, int64_t now_ms, GArray *out)
{
	for (uint32_t i = 0; i < call->n; i++) {
		struct job *job = g_hash_table_lookup(c->jobs, &call->pieces[i].job);
		if (job)
			chain_advance_job(job, now_ms, out);
	}
}

static void note_ratio(struct upstream *u, const struct call *call, int64_t now_ms)
{
	double plain_ms = u->pool->doc.call_ms + u->pool->doc.piece_ms * call->n;
	double ratio = plain_ms > 0 ? (double)(now_ms - call->sent_ms) / plain_ms : 1.0;

	u->ratio += CHAIN_SLOWDOWN_GAIN * (ratio - u->ratio);
}

/* What a piece costs of an upstream's time, with calls as full as they are under this load. */
static void note_cost(struct pool *pool, const struct call *call, int64_t now_ms)
{
	double cost_ms = (double)(now_ms - call->sent_ms) / call->n;

	if (pool->cost_ms <= 0)
		pool->cost_ms = cost_ms;
	pool->cost_ms += CHAIN_PIECE_TIME_GAIN * (cost_ms - pool->cost_ms);
}

/* A call of which pieces failed took less than its work would have. */
static void note_times(struct call *call, const struct chain_piece_result *results, uint32_t n,
		       int64_t now_ms)
{
	uint32_t failed = 0;
	uint32_t no_room = 0;

	for (uint32_t i = 0; i < n; i++) {
		failed += results[i].fault != CHAIN_PIECE_OK;
		no_room += results[i].fault == CHAIN_PIECE_NO_ROOM;
	}
	if (failed == 0) {
		note_ratio(call->upstream, call, now_ms);
		note_cost(call->upstream->pool, call, now_ms);
	}
	if (no_room == n)
		call->upstream->bad_until_ms = now_ms + CHAIN_NO_ROOM_BACKOFF_MS;
}

void chain_complete_call(struct chain_sched *c, uint64_t id,
			 const struct chain_piece_result *results, uint32_t n, uint32_t others,
			 int64_t now_ms, GArray *out)
{
	struct call *call = take_call(c, id);

	if (!call)
		return;
	note_times(call, results, n, now_ms);
	call->upstream->fails = 0;
	if (others > 0)
		call->upstream->shared_ms = now_ms;
	for (uint32_t i = 0; i < call->n && i < n; i++)
		take_result(c, call, &call->pieces[i], &results[i], now_ms, out);
	advance_all(c, call, now_ms, out);
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
			piece->tries += is_failure;
			renew_inputs(job, &job->stages[at->stage]);
		}
	}
}

static void refuse_worn_out(struct chain_sched *c, const struct call *call, int64_t now_ms,
			    GArray *out)
{
	for (uint32_t i = 0; i < call->n; i++) {
		struct job *job = g_hash_table_lookup(c->jobs, &call->pieces[i].job);
		if (job && is_worn_out(job))
			chain_refuse(c, job, "its pieces failed too often",
				     CHAIN_RETRY_AFTER_MIN_MS, now_ms, out);
	}
}

void chain_fail_call(struct chain_sched *c, uint64_t id, enum chain_call_error fault,
		     int64_t now_ms, GArray *out)
{
	struct call *call = take_call(c, id);
	struct upstream *u;

	if (!call)
		return;
	u = call->upstream;
	if (fault == CHAIN_CALL_REJECTED) {
		u->bad_until_ms = now_ms + CHAIN_REJECTED_BACKOFF_MS;
	} else {
		u->bad_until_ms = now_ms + MIN(CHAIN_FAILURE_BACKOFF_MS << MIN(u->fails, 8),
					       CHAIN_FAILURE_BACKOFF_MAX_MS);
		u->fails++;
	}
	chain_requeue_call(c, call, fault != CHAIN_CALL_REJECTED);
	if (fault != CHAIN_CALL_REJECTED)
		refuse_worn_out(c, call, now_ms, out);
	advance_all(c, call, now_ms, out);
	g_hash_table_remove(c->calls, &id);
	chain_dispatch(c, now_ms, out);
}
