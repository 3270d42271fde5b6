/* What calls come to: results taken, pieces put back, times learned. */
#include "chn_int.h"

void chn_put_back(struct stage *s, struct piece *piece)
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
				chn_put_back(s, &s->pieces[k]);
		}
	}
	chn_job_advance(job); /* the stage itself is open no more */
}

/* An input is gone: all stages that the stage needs are done anew. */
static void redo_inputs(struct job *job, struct stage *stage)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		struct stage *s = &job->stages[i];
		if (!(stage->after & (1U << i)))
			continue;
		for (uint32_t k = 0; k < s->n_pieces; k++) {
			chn_free_piece(s, &s->pieces[k]);
			if (s->pieces[k].state == PIECE_DONE)
				chn_put_back(s, &s->pieces[k]);
		}
	}
	chn_job_advance(job);
}

static bool is_worn_out(const struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		for (uint32_t k = 0; k < job->stages[i].n_pieces; k++) {
			if (job->stages[i].pieces[k].tries >= CHN_TRIES_MAX)
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
	int64_t room = (int64_t)((double)u->pool->doc.room_bytes * CHN_ROOM_SHARE);
	int64_t foreign = room - u->room_used - chn_room_left(u, now_ms); /* what is still noted */

	u->room_foreign = MIN(foreign + bytes, room);
	u->foreign_ms = now_ms;
}

/* Takes one result; false when the chain has been given up. */
static bool take_result(struct chn *c, struct call *call, const struct call_piece *at,
			const struct chn_result *result, int64_t now_ms, GArray *out)
{
	struct job *job = g_hash_table_lookup(c->jobs, &at->job);
	struct stage *s;
	struct piece *piece;

	if (!job) {
		if (result->fault == CHN_OK)
			g_ptr_array_add(call->upstream->frees, g_strdup(result->handle));
		return false;
	}
	s = &job->stages[at->stage];
	piece = &s->pieces[at->index];
	if (result->fault == CHN_OK) {
		take_handle(call, s, piece, result->handle, now_ms);
		return true;
	}
	if (piece->state != PIECE_RUNNING || piece->call != call->id)
		return true;
	chn_put_back(s, piece);
	renew_inputs(job, s);
	if (result->fault == CHN_LATE) {
		chn_refuse(c, job, "its deadline passed in a pool", CHN_RETRY_MIN_MS, now_ms, out);
		return false;
	}
	if (result->fault == CHN_GONE)
		redo_inputs(job, s);
	if (result->fault == CHN_ROOM) /* it is full, and that costs the piece no try */
		note_foreign(call->upstream, s->result_bytes, now_ms);
	else
		piece->tries++;
	if (is_worn_out(job)) {
		chn_refuse(c, job, "its pieces failed too often", CHN_RETRY_MIN_MS, now_ms, out);
		return false;
	}
	return true;
}

static struct call *take_call(struct chn *c, uint64_t id)
{
	struct call *call = g_hash_table_lookup(c->calls, &id);

	if (call) {
		call->upstream->calls--;
		call->upstream->room_used -= call->room_bytes;
	}
	return call;
}

/* Advances each chain of the call that still stands. */
static void advance_all(struct chn *c, const struct call *call, int64_t now_ms, GArray *out)
{
	for (uint32_t i = 0; i < call->n; i++) {
		struct job *job = g_hash_table_lookup(c->jobs, &call->pieces[i].job);
		if (job)
			chn_advance(job, now_ms, out);
	}
}

static void note_ratio(struct upstream *u, const struct call *call, int64_t now_ms)
{
	double plain_ms = u->pool->doc.call_ms + u->pool->doc.piece_ms * call->n;
	double ratio = plain_ms > 0 ? (double)(now_ms - call->sent_ms) / plain_ms : 1.0;

	u->ratio += CHN_RATIO_GAIN * (ratio - u->ratio);
}

/* What a piece costs of an upstream's time, with calls as full as they are under this load. */
static void note_cost(struct pool *pool, const struct call *call, int64_t now_ms)
{
	double cost_ms = (double)(now_ms - call->sent_ms) / call->n;

	if (pool->cost_ms <= 0)
		pool->cost_ms = cost_ms;
	pool->cost_ms += CHN_COST_GAIN * (cost_ms - pool->cost_ms);
}

/* A call of which pieces failed took less than its work would have. */
static void note_times(struct call *call, const struct chn_result *results, uint32_t n,
		       int64_t now_ms)
{
	uint32_t failed = 0;
	uint32_t no_room = 0;

	for (uint32_t i = 0; i < n; i++) {
		failed += results[i].fault != CHN_OK;
		no_room += results[i].fault == CHN_ROOM;
	}
	if (failed == 0) {
		note_ratio(call->upstream, call, now_ms);
		note_cost(call->upstream->pool, call, now_ms);
	}
	if (no_room == n)
		call->upstream->bad_until_ms = now_ms + CHN_ROOM_PAUSE_MS;
}

void chn_call_done(struct chn *c, uint64_t id, const struct chn_result *results, uint32_t n,
		   uint32_t others, int64_t now_ms, GArray *out)
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
	chn_dispatch(c, now_ms, out);
}

void chn_put_back_call(struct chn *c, const struct call *call, bool is_failure)
{
	for (uint32_t i = 0; i < call->n; i++) {
		const struct call_piece *at = &call->pieces[i];
		struct job *job = g_hash_table_lookup(c->jobs, &at->job);
		struct piece *piece;
		if (!job)
			continue;
		piece = &job->stages[at->stage].pieces[at->index];
		if (piece->state == PIECE_RUNNING && piece->call == call->id) {
			chn_put_back(&job->stages[at->stage], piece);
			piece->tries += is_failure;
			renew_inputs(job, &job->stages[at->stage]);
		}
	}
}

static void refuse_worn_out(struct chn *c, const struct call *call, int64_t now_ms, GArray *out)
{
	for (uint32_t i = 0; i < call->n; i++) {
		struct job *job = g_hash_table_lookup(c->jobs, &call->pieces[i].job);
		if (job && is_worn_out(job))
			chn_refuse(c, job, "its pieces failed too often", CHN_RETRY_MIN_MS, now_ms,
				   out);
	}
}

void chn_call_failed(struct chn *c, uint64_t id, enum chn_call_fault fault, int64_t now_ms,
		     GArray *out)
{
	struct call *call = take_call(c, id);
	struct upstream *u;

	if (!call)
		return;
	u = call->upstream;
	if (fault == CHN_CALL_FULL) {
		u->bad_until_ms = now_ms + CHN_FULL_PAUSE_MS;
	} else {
		u->bad_until_ms =
			now_ms + MIN(CHN_BAD_PAUSE_MS << MIN(u->fails, 8), CHN_BAD_PAUSE_MAX_MS);
		u->fails++;
	}
	chn_put_back_call(c, call, fault != CHN_CALL_FULL);
	if (fault != CHN_CALL_FULL)
		refuse_worn_out(c, call, now_ms, out);
	advance_all(c, call, now_ms, out);
	g_hash_table_remove(c->calls, &id);
	chn_dispatch(c, now_ms, out);
}
