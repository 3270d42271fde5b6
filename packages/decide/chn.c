/* The owner of chains: what it knows, and what each event changes. */
#include "chn_int.h"

#include <string.h>

static void free_call(gpointer data)
{
	struct call *call = data;

	g_free(call->pieces);
	g_free(call);
}

static void free_upstream(gpointer data)
{
	struct upstream *u = data;

	g_free(u->id);
	g_free(u->address);
	g_free(u->data_centre);
	g_free(u->region);
	g_ptr_array_unref(u->frees);
	g_free(u);
}

static void free_pool(gpointer data)
{
	struct pool *pool = data;

	g_free(pool->service);
	g_ptr_array_unref(pool->upstreams);
	g_free(pool);
}

struct chn *chn_new(void)
{
	struct chn *c = g_new0(struct chn, 1);

	c->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	c->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_upstream);
	c->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->order = g_ptr_array_new();
	c->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
	c->next_call = 1;
	return c;
}

void chn_free(struct chn *c)
{
	if (!c)
		return;
	for (guint i = 0; i < c->order->len; i++)
		chn_job_free(g_ptr_array_index(c->order, i));
	g_ptr_array_unref(c->order);
	g_hash_table_destroy(c->jobs);
	g_hash_table_destroy(c->calls);
	g_hash_table_destroy(c->upstreams);
	g_hash_table_destroy(c->pools);
	g_free(c);
}

/* Stages that name the pool were admitted before it was published. */
static void attach_stages(struct chn *c, struct pool *pool)
{
	for (guint i = 0; i < c->order->len; i++) {
		struct job *job = g_ptr_array_index(c->order, i);
		for (uint32_t k = 0; k < job->n_stages; k++) {
			if (!job->stages[k].pool &&
			    strcmp(job->stages[k].service, pool->service) == 0)
				job->stages[k].pool = pool;
		}
	}
}

static struct pool *add_pool(struct chn *c, const char *service)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->service = g_strdup(service);
	pool->upstreams = g_ptr_array_new();
	g_hash_table_insert(c->pools, pool->service, pool);
	attach_stages(c, pool);
	return pool;
}

/* A pool that is published no longer stays: chains may still need it. */
void chn_set_pools(struct chn *c, const struct pub_doc *doc)
{
	for (uint32_t i = 0; i < doc->n_services; i++) {
		const struct pub_service *service = &doc->services[i];
		struct pool *pool;
		if (!service->pool.present)
			continue;
		pool = g_hash_table_lookup(c->pools, service->name);
		if (!pool)
			pool = add_pool(c, service->name);
		pool->doc = service->pool;
	}
}

void chn_free_piece(struct stage *stage, struct piece *piece)
{
	if (piece->state != PIECE_DONE || piece->freed || !piece->handle)
		return;
	piece->freed = true;
	if (!piece->maker)
		return;
	piece->maker->room_used -= stage->result_bytes;
	g_ptr_array_add(piece->maker->frees, g_strdup(piece->handle));
}

static void free_stage(struct stage *s)
{
	for (uint32_t i = 0; i < s->n_pieces; i++)
		chn_free_piece(s, &s->pieces[i]);
}

static void drop_job(struct chn *c, struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++)
		free_stage(&job->stages[i]);
	g_hash_table_remove(c->jobs, &job->id);
	g_ptr_array_remove(c->order, job); /* keeps the order */
	chn_job_free(job);
}

static void refuse(struct chn *c, struct job *job, const char *reason, int64_t retry_ms,
		   int64_t now_ms, GArray *out)
{
	struct chn_cmd cmd = {
		.kind = CHN_CMD_REFUSE,
		.job = job->id,
		.asker = g_strdup(job->asker),
		.attempt = g_strdup(job->attempt),
		.reason = reason,
		.retry_after_ms = retry_ms,
		.late = job->late,
		.expect_in_ms = job->expect_at_ms - now_ms,
	};

	g_array_append_val(out, cmd);
	drop_job(c, job);
}

/* The data centre with most bytes of the results that the engine fetches. */
static char *heaviest_centre(const struct job *job)
{
	GHashTable *bytes = g_hash_table_new(g_str_hash, g_str_equal);
	const char *best = NULL;
	int64_t most = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		for (uint32_t k = 0; s->terminal && k < s->n_pieces; k++) {
			const struct upstream *maker = s->pieces[k].maker;
			if (!maker)
				continue;
			int64_t sum =
				GPOINTER_TO_INT(g_hash_table_lookup(bytes, maker->data_centre)) +
				s->result_bytes;
			g_hash_table_insert(bytes, maker->data_centre, GINT_TO_POINTER((gint)sum));
			if (sum > most) {
				most = sum;
				best = maker->data_centre;
			}
		}
	}
	g_hash_table_destroy(bytes);
	return g_strdup(best);
}

static void deliver(struct job *job, int64_t now_ms, GArray *out)
{
	GPtrArray *handles = g_ptr_array_new();
	struct chn_cmd cmd = {
		.kind = CHN_CMD_READY,
		.job = job->id,
		.asker = g_strdup(job->asker),
		.attempt = g_strdup(job->attempt),
		.late = job->late,
		.expect_in_ms = job->expect_at_ms - now_ms,
		.aim_in_ms = job->aim_at_ms - now_ms,
	};

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		for (uint32_t k = 0; s->terminal && k < s->n_pieces; k++)
			g_ptr_array_add(handles, g_strdup(s->pieces[k].handle));
	}
	g_ptr_array_add(handles, NULL);
	cmd.handles = (char **)g_ptr_array_free(handles, FALSE);
	cmd.data_centre = heaviest_centre(job);
	job->delivered = true;
	job->delivered_ms = now_ms;
	g_array_append_val(out, cmd);
}

/* All stages that need this one are done: its results are of no more use. */
static bool is_used_up(const struct job *job, uint32_t index)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		if ((s->after & (1U << index)) && s->n_done < s->n_pieces)
			return false;
	}
	return !job->stages[index].terminal;
}

void chn_advance(struct job *job, int64_t now_ms, GArray *out)
{
	bool done = chn_job_advance(job);

	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (is_used_up(job, i))
			free_stage(&job->stages[i]);
	}
	if (done && !job->delivered)
		deliver(job, now_ms, out);
	else if (!done)
		chn_tell_progress(job, out);
}

static void tell_admitted(const struct job *job, int64_t now_ms, GArray *out)
{
	struct chn_cmd cmd = {
		.kind = CHN_CMD_ADMIT,
		.job = job->id,
		.asker = g_strdup(job->asker),
		.attempt = g_strdup(job->attempt),
		.late = job->late,
		.expect_in_ms = job->expect_at_ms - now_ms,
		.aim_in_ms = job->aim_at_ms - now_ms,
	};

	g_array_append_val(out, cmd);
}

void chn_submit(struct chn *c, const struct chn_job_doc *doc, const struct chn_done *done,
		uint32_t n_done, int64_t now_ms, GArray *out)
{
	int64_t retry_ms = CHN_RETRY_MIN_MS;
	const char *reason;
	struct job *job;

	if (g_hash_table_contains(c->jobs, &doc->id))
		return;
	job = chn_job_new(c, doc);
	g_hash_table_insert(c->jobs, &job->id, job);
	g_ptr_array_add(c->order, job);
	chn_adopt_results(c, job, done, n_done, now_ms);
	reason = chn_admit(c, job, now_ms, &retry_ms);
	if (reason && n_done == 0) {
		refuse(c, job, reason, retry_ms, now_ms, out);
		return;
	}
	tell_admitted(job, now_ms, out);
	chn_advance(job, now_ms, out);
	chn_dispatch(c, now_ms, out);
}

void chn_end(struct chn *c, uint64_t id, int64_t now_ms, GArray *out)
{
	struct job *job = g_hash_table_lookup(c->jobs, &id);

	if (!job)
		return;
	drop_job(c, job);
	chn_dispatch(c, now_ms, out);
}

static void put_back(struct stage *s, struct piece *piece)
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
				put_back(s, &s->pieces[k]);
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
				put_back(s, &s->pieces[k]);
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
	put_back(s, piece);
	renew_inputs(job, s);
	if (result->fault == CHN_LATE) {
		refuse(c, job, "its deadline passed in a pool", CHN_RETRY_MIN_MS, now_ms, out);
		return false;
	}
	if (result->fault == CHN_GONE)
		redo_inputs(job, s);
	if (result->fault == CHN_ROOM) /* it is full, and that costs the piece no try */
		note_foreign(call->upstream, s->result_bytes, now_ms);
	else
		piece->tries++;
	if (is_worn_out(job)) {
		refuse(c, job, "its pieces failed too often", CHN_RETRY_MIN_MS, now_ms, out);
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

static void put_back_call(struct chn *c, const struct call *call, bool is_failure)
{
	for (uint32_t i = 0; i < call->n; i++) {
		const struct call_piece *at = &call->pieces[i];
		struct job *job = g_hash_table_lookup(c->jobs, &at->job);
		struct piece *piece;
		if (!job)
			continue;
		piece = &job->stages[at->stage].pieces[at->index];
		if (piece->state == PIECE_RUNNING && piece->call == call->id) {
			put_back(&job->stages[at->stage], piece);
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
			refuse(c, job, "its pieces failed too often", CHN_RETRY_MIN_MS, now_ms,
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
	put_back_call(c, call, fault != CHN_CALL_FULL);
	if (fault != CHN_CALL_FULL)
		refuse_worn_out(c, call, now_ms, out);
	advance_all(c, call, now_ms, out);
	g_hash_table_remove(c->calls, &id);
	chn_dispatch(c, now_ms, out);
}

static struct upstream *add_upstream(struct chn *c, const struct chn_upstream_doc *doc)
{
	struct upstream *u = g_new0(struct upstream, 1);

	u->id = g_strdup(doc->id);
	u->address = g_strdup(doc->address);
	u->data_centre = g_strdup(doc->data_centre);
	u->region = g_strdup(doc->region);
	u->ratio = 1.0;
	u->frees = g_ptr_array_new_with_free_func(g_free);
	u->pool = g_hash_table_lookup(c->pools, doc->service);
	if (!u->pool)
		u->pool = add_pool(c, doc->service);
	g_ptr_array_add(u->pool->upstreams, u);
	g_hash_table_insert(c->upstreams, u->id, u);
	return u;
}

/* Results don't outlive their maker. */
static void lose_results(struct chn *c, const struct upstream *u)
{
	for (guint i = 0; i < c->order->len; i++) {
		struct job *job = g_ptr_array_index(c->order, i);
		for (uint32_t k = 0; k < job->n_stages; k++) {
			struct stage *s = &job->stages[k];
			for (uint32_t p = 0; p < s->n_pieces; p++) {
				struct piece *piece = &s->pieces[p];
				if (piece->maker != u)
					continue;
				piece->maker = NULL;
				if (!piece->freed && !job->delivered)
					put_back(s, piece);
			}
		}
		chn_job_advance(job);
	}
}

static gboolean is_dropped(gpointer key, gpointer value, gpointer arg)
{
	struct upstream *u = value;

	if (u->listed || u->calls > 0)
		return FALSE;
	lose_results(arg, u);
	g_ptr_array_remove(u->pool->upstreams, u);
	return TRUE;
}

void chn_set_upstreams(struct chn *c, const struct chn_upstream_doc *docs, uint32_t n,
		       int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct upstream *u = value;
		u->listed = false;
		u->usable = false;
	}
	for (uint32_t i = 0; i < n; i++) {
		struct upstream *u = g_hash_table_lookup(c->upstreams, docs[i].id);
		if (!u)
			u = add_upstream(c, &docs[i]);
		u->listed = true;
		u->usable = docs[i].usable;
	}
	g_hash_table_foreach_remove(c->upstreams, is_dropped, c);
}

/* Pieces of calls that take too long go elsewhere; whichever result comes first is used. */
static void abandon_overdue(struct chn *c, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct call *call = value;
		int64_t limit_ms = CHN_OVERDUE_FACTOR * call->expect_ms + CHN_OVERDUE_MS;
		if (call->abandoned || now_ms - call->sent_ms < limit_ms)
			continue;
		call->abandoned = true;
		call->upstream->ratio = MAX(call->upstream->ratio, CHN_SLOW_RATIO);
		put_back_call(c, call, false);
	}
}

/* Every piece of the stage has been fetched by its upstream: it runs there since a while. */
static bool has_fetched(const struct chn *c, const struct stage *s, int64_t now_ms)
{
	for (uint32_t i = 0; i < s->n_pieces; i++) {
		const struct piece *piece = &s->pieces[i];
		const struct call *call;
		if (piece->state == PIECE_DONE)
			continue;
		if (piece->state == PIECE_WAITING)
			return false;
		call = g_hash_table_lookup(c->calls, &piece->call);
		if (!call || now_ms - call->sent_ms < CHN_FETCHED_MS)
			return false;
		/* behind another owner's call its turn may still be to come */
		if (call->upstream->shared_ms > 0 &&
		    call->sent_ms - call->upstream->shared_ms < CHN_SHARED_MS)
			return false;
	}
	return true;
}

static bool is_scarce(const struct stage *s)
{
	for (uint32_t i = 0; i < s->n_pieces; i++) {
		const struct upstream *u = s->pieces[i].maker;
		if (u && (double)u->room_used > CHN_SCARCE_SHARE * (double)u->pool->doc.room_bytes)
			return true;
	}
	return false;
}

/* Where room is scarce, results are given up as soon as those who need them have fetched them. */
static void free_fetched(struct chn *c, struct job *job, int64_t now_ms)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		struct stage *s = &job->stages[i];
		bool fetched = !s->terminal && s->n_pieces > 0 && s->n_done == s->n_pieces;
		for (uint32_t k = 0; fetched && k < job->n_stages; k++) {
			if (job->stages[k].after & (1U << i))
				fetched = has_fetched(c, &job->stages[k], now_ms);
		}
		if (fetched && is_scarce(s))
			free_stage(s);
	}
}

/* Marks what can no longer be in time, gives up what can no longer make its deadline. */
/* The oldest result that a stage still needs, and that runs out with its time. */
static bool has_expired(const struct job *job, int64_t now_ms)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		for (uint32_t k = 0; s->pool && k < s->n_pieces; k++) {
			const struct piece *piece = &s->pieces[k];
			if (piece->state == PIECE_DONE && !piece->freed && piece->done_ms > 0 &&
			    now_ms - piece->done_ms > s->pool->doc.handle_ms - CHN_EXPIRY_MARGIN_MS)
				return true;
		}
	}
	return false;
}

static void judge_jobs(struct chn *c, int64_t now_ms, GArray *out)
{
	for (guint i = c->order->len; i > 0; i--) {
		struct job *job = g_ptr_array_index(c->order, i - 1);
		int64_t ready_ms;
		if (job->delivered) {
			if (now_ms > job->deadline_at_ms)
				drop_job(c, job);
			continue;
		}
		ready_ms = now_ms + chn_job_rest_ms(job);
		job->late = job->late || ready_ms > job->aim_at_ms;
		free_fetched(c, job, now_ms);
		if (ready_ms > job->deadline_at_ms)
			refuse(c, job, "its deadline is nearer than its last stages",
			       CHN_RETRY_MIN_MS, now_ms, out);
		else if (has_expired(job, now_ms))
			refuse(c, job, "it waited for longer than its results are kept",
			       CHN_RETRY_MIN_MS, now_ms, out);
	}
}

void chn_tick(struct chn *c, int64_t now_ms, GArray *out)
{
	abandon_overdue(c, now_ms);
	judge_jobs(c, now_ms, out);
	if (c->handing)
		chn_hand_over(c, now_ms, out);
	chn_dispatch(c, now_ms, out);
}

bool chn_has(const struct chn *c, uint64_t job)
{
	return g_hash_table_contains(c->jobs, &job);
}

uint32_t chn_count_jobs(const struct chn *c)
{
	return c->order->len;
}

static void fill_state(const struct chn *c, const struct pool *pool, struct chn_pool_state *state)
{
	*state = (struct chn_pool_state){.service = pool->service};
	for (guint i = 0; i < pool->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		state->upstreams += u->usable;
		state->busy += u->calls > 0;
	}
	for (guint i = 0; i < c->order->len; i++) {
		const struct job *job = g_ptr_array_index(c->order, i);
		for (uint32_t k = 0; k < job->n_stages; k++) {
			const struct stage *s = &job->stages[k];
			if (s->pool != pool)
				continue;
			state->pending += s->n_pieces - s->n_done;
			for (uint32_t p = 0; s->open && p < s->n_pieces; p++)
				state->waiting += s->pieces[p].state == PIECE_WAITING;
		}
	}
	state->backlog_ms = (int64_t)(state->pending * chn_pool_unit_ms(pool, 0));
}

uint32_t chn_pool_states(const struct chn *c, struct chn_pool_state *states, uint32_t room)
{
	GHashTableIter iter;
	gpointer pool;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, c->pools);
	while (n < room && g_hash_table_iter_next(&iter, NULL, &pool))
		fill_state(c, pool, &states[n++]);
	return n;
}

static void clear_pieces(struct chn_cmd *cmd)
{
	for (uint32_t i = 0; i < cmd->n_pieces; i++) {
		g_free(cmd->pieces[i].attempt);
		g_free(cmd->pieces[i].key);
		g_strfreev(cmd->pieces[i].inputs);
	}
	g_free(cmd->pieces);
}

void chn_cmd_clear(struct chn_cmd *cmd)
{
	clear_pieces(cmd);
	g_free(cmd->upstream);
	g_free(cmd->address);
	g_strfreev(cmd->handles);
	chn_hand_clear(cmd);
	g_free(cmd->asker);
	g_free(cmd->attempt);
	g_free(cmd->data_centre);
	*cmd = (struct chn_cmd){0};
}

GArray *chn_out_new(void)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct chn_cmd));

	g_array_set_clear_func(out, (GDestroyNotify)chn_cmd_clear);
	return out;
}
