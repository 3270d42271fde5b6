/* Groups waiting pieces into calls and assigns the calls to idle upstreams. */
#include "chain_internal.h"

#include <string.h>

/* An open stage with waiting pieces. */
struct ready_stage {
	struct job *job;
	struct stage *stage;
	bool late;
	bool holds_storage; /* part of the stage has started, and its results take scarce storage */
	int64_t due_ms;
};

bool chain_upstream_is_idle(const struct upstream *u, int64_t now_ms)
{
	if (!u->usable || u->calls >= (uint32_t)MAX(u->pool->doc.slots, 1))
		return false;
	if (now_ms < u->backoff_until_ms)
		return false;
	return u->slowdown < CHAIN_SLOW_FACTOR || now_ms - u->last_call_ms >= CHAIN_SLOW_PROBE_MS;
}

static uint32_t waiting_pieces(const struct stage *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_pieces; i++)
		n += s->pieces[i].state == PIECE_WAITING;
	return n;
}

static bool has_started(const struct stage *s)
{
	return waiting_pieces(s) < s->n_pieces;
}

/* Returns whether results of CHAIN_STORAGE_CALLS full calls of the stage exceed the storage. */
static bool fills_storage(const struct pool *pool, const struct stage *s)
{
	return pool->doc.room_bytes > 0 &&
	       s->result_bytes * pool->doc.batch_size * CHAIN_STORAGE_CALLS > pool->doc.room_bytes;
}

/*
 * Orders stages that hold scarce storage before others, then stages of chains that aren't late
 * before those of late chains, then by due time.
 */
static gint compare_ready_stages(gconstpointer left, gconstpointer right)
{
	const struct ready_stage *a = left;
	const struct ready_stage *b = right;

	if (a->holds_storage != b->holds_storage)
		return a->holds_storage ? -1 : 1;
	if (a->late != b->late)
		return a->late ? 1 : -1;
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms ? -1 : 1;
	return a->job->id < b->job->id ? -1 : a->job->id > b->job->id;
}

static GArray *list_ready_stages(const struct chain_sched *c, const struct pool *pool)
{
	GArray *ready = g_array_new(FALSE, FALSE, sizeof(struct ready_stage));

	for (guint i = 0; i < c->order->len; i++) {
		struct job *job = g_ptr_array_index(c->order, i);
		for (uint32_t k = 0; k < job->n_stages; k++) {
			struct stage *s = &job->stages[k];
			if (s->pool != pool || !s->open || waiting_pieces(s) == 0)
				continue;
			struct ready_stage e = {
				.job = job,
				.stage = s,
				.late = job->late,
				.holds_storage = has_started(s) && fills_storage(pool, s),
				.due_ms = chain_stage_due_ms(job, s),
			};
			g_array_append_val(ready, e);
		}
	}
	g_array_sort(ready, compare_ready_stages);
	return ready;
}

static bool may_serve(const struct upstream *u, const struct job *job)
{
	return pub_allows_region(job->regions, u->region);
}

int64_t chain_storage_left(const struct upstream *u, int64_t now_ms)
{
	int64_t capacity = (int64_t)((double)u->pool->doc.room_bytes * CHAIN_STORAGE_SHARE);
	int64_t age_ms = now_ms - u->foreign_ms;
	int64_t kept_ms = MAX(u->pool->doc.handle_ms, 1);

	if (u->foreign_bytes > 0 && age_ms < kept_ms)
		capacity -= u->foreign_bytes * (kept_ms - age_ms) / kept_ms;
	return capacity - u->used_bytes;
}

/*
 * Returns how many more pieces of the stage the call can take, given its size limit and the free
 * storage of the upstream.
 */
static uint32_t count_fitting(const struct upstream *u, const struct ready_stage *e,
			      const struct call *call, uint32_t limit, int64_t now_ms)
{
	uint32_t n = MIN(waiting_pieces(e->stage), limit - call->n);
	int64_t left = chain_storage_left(u, now_ms);
	int64_t bytes = e->stage->result_bytes;

	/* Upstreams with empty storage accept a single result of any size. */
	if (bytes <= 0 || (u->used_bytes == 0 && call->n == 0 && bytes > left))
		return bytes <= 0 ? n : MIN(n, 1);
	return (uint32_t)CLAMP((left - call->room_bytes) / bytes, 0, (int64_t)n);
}

static char **collect_inputs(const struct job *job, const struct stage *s)
{
	GPtrArray *handles;

	if (s->after == 0)
		return NULL;
	handles = g_ptr_array_new();
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *from = &job->stages[i];
		if (!(s->after & (1U << i)))
			continue;
		for (uint32_t k = 0; k < from->n_pieces; k++)
			g_ptr_array_add(handles, g_strdup(from->pieces[k].handle));
	}
	g_ptr_array_add(handles, NULL);
	return (char **)g_ptr_array_free(handles, FALSE);
}

static void add_piece(struct call *call, struct chain_cmd *cmd, const struct ready_stage *e,
		      uint32_t index, int64_t now_ms)
{
	struct piece *piece = &e->stage->pieces[index];
	uint32_t stage = (uint32_t)(e->stage - e->job->stages);

	piece->state = PIECE_RUNNING;
	piece->call = call->id;
	call->pieces[call->n] = (struct call_piece){e->job->id, stage, index};
	call->room_bytes += e->stage->result_bytes;
	cmd->pieces[call->n] = (struct chain_piece){
		.job = e->job->id,
		.attempt = g_strdup(e->job->attempt),
		.stage = stage,
		.index = index,
		.left_ms = MAX(e->job->deadline_at_ms - now_ms, 1),
		.key = e->stage->after == 0 ? g_strdup(e->job->key) : NULL,
		.inputs = collect_inputs(e->job, e->stage),
	};
	call->n++;
}

static void add_stage_pieces(struct call *call, struct chain_cmd *cmd, const struct ready_stage *e,
			     uint32_t n, int64_t now_ms)
{
	for (uint32_t i = 0; i < e->stage->n_pieces && n > 0; i++) {
		if (e->stage->pieces[i].state != PIECE_WAITING)
			continue;
		add_piece(call, cmd, e, i, now_ms);
		n--;
	}
}

struct call_plan {
	guint first;	 /* index in ready of the stage for which the upstream was chosen */
	uint32_t limit;	 /* maximum number of pieces in the call */
	bool local_only; /* add no stages of other data centres: other upstreams are idle */
};

static const char *home_data_centre(const struct ready_stage *e);

static bool is_local(const struct upstream *u, const struct ready_stage *e)
{
	return strcmp(u->data_centre, home_data_centre(e)) == 0;
}

/* Forms a call to the upstream from ready stages. Returns false when no piece fits. */
static bool form_call(struct chain_sched *c, struct upstream *u, const GArray *ready,
		      const struct call_plan *plan, int64_t now_ms, GArray *out)
{
	uint32_t limit = plan->limit;
	struct call *call = g_new0(struct call, 1);
	struct chain_cmd cmd = {.kind = CHAIN_CMD_CALL};

	call->id = c->next_call;
	call->pieces = g_new0(struct call_piece, limit);
	cmd.pieces = g_new0(struct chain_piece, limit);
	for (guint i = 0; i <= ready->len && call->n < limit; i++) {
		/* The stage at plan->first, then all ready stages in queue order. */
		const struct ready_stage *e =
			&g_array_index(ready, struct ready_stage, i == 0 ? plan->first : i - 1);
		uint32_t n;
		if (!may_serve(u, e->job) || (i > 0 && plan->local_only && !is_local(u, e)))
			continue;
		n = count_fitting(u, e, call, limit, now_ms);
		/*
		 * If only part of the stage ran, its results would take storage while the other
		 * pieces wait for room.
		 */
		if (i > 0 && !has_started(e->stage) && n < waiting_pieces(e->stage) &&
		    fills_storage(u->pool, e->stage))
			continue;
		add_stage_pieces(call, &cmd, e, n, now_ms);
	}
	if (call->n == 0) {
		g_free(call->pieces);
		g_free(call);
		g_free(cmd.pieces);
		return false;
	}
	c->next_call++;
	call->upstream = u;
	call->sent_ms = now_ms;
	call->expect_ms =
		(int64_t)((u->pool->doc.call_ms + u->pool->doc.piece_ms * call->n) * u->slowdown);
	u->calls++;
	u->last_call_ms = now_ms;
	u->used_bytes += call->room_bytes;
	g_hash_table_insert(c->calls, &call->id, call);
	cmd.call = call->id;
	cmd.upstream = g_strdup(u->id);
	cmd.address = g_strdup(u->address);
	cmd.n_pieces = call->n;
	cmd.expect_ms = call->expect_ms;
	g_array_append_val(out, cmd);
	return true;
}

/*
 * Returns the data centre that stores the stage's first input. If the stage has no inputs or the
 * upstreams that stored them were removed, returns the data centre where the request arrived.
 */
static const char *home_data_centre(const struct ready_stage *e)
{
	for (uint32_t i = 0; i < e->job->n_stages; i++) {
		const struct stage *s = &e->job->stages[i];
		if ((e->stage->after & (1U << i)) && s->n_pieces > 0 && s->pieces[0].producer)
			return s->pieces[0].producer->data_centre;
	}
	return e->job->data_centre;
}

/*
 * Returns the idle upstream with the lowest score among those that aren't in the set full, or NULL
 * if there is none. Slowness, another data centre than that of the first stage's inputs, used
 * storage and, most of all, a region in which its chain may not run raise the score. Sets *n_idle
 * to the number of upstreams compared.
 */
static struct upstream *choose_upstream(const struct pool *pool, const struct ready_stage *first,
					GHashTable *full, int64_t now_ms, uint32_t *n_idle)
{
	struct upstream *best = NULL;
	double best_score = 0;

	*n_idle = 0;
	for (guint i = 0; i < pool->upstreams->len; i++) {
		struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		double score;
		if (!chain_upstream_is_idle(u, now_ms) || g_hash_table_contains(full, u))
			continue;
		(*n_idle)++;
		score = u->slowdown;
		if (!may_serve(u, first->job))
			score += 100;
		if (strcmp(u->data_centre, home_data_centre(first)) != 0)
			score += CHAIN_REMOTE_PENALTY;
		if (pool->doc.room_bytes > 0)
			score += (double)u->used_bytes / (double)pool->doc.room_bytes;
		if (!best || score < best_score) {
			best = u;
			best_score = score;
		}
	}
	return best;
}

static uint32_t count_waiting(const GArray *ready)
{
	uint32_t n = 0;

	for (guint i = 0; i < ready->len; i++)
		n += waiting_pieces(g_array_index(ready, struct ready_stage, i).stage);
	return n;
}

/*
 * Returns the maximum number of pieces in a call: an equal share of the waiting pieces for each
 * idle upstream, but enough for all waiting pieces of the first stage, up to the batch size.
 */
static uint32_t call_limit(const struct pool *pool, const GArray *ready,
			   const struct ready_stage *first, uint32_t n_idle)
{
	uint32_t share = (count_waiting(ready) + n_idle - 1) / n_idle;
	uint32_t limit = MAX(share, waiting_pieces(first->stage));

	return MIN(limit, (uint32_t)MAX(pool->doc.batch_size, 1));
}

static void remove_started(GArray *ready)
{
	for (guint i = ready->len; i > 0; i--) {
		if (waiting_pieces(g_array_index(ready, struct ready_stage, i - 1).stage) == 0)
			g_array_remove_index(ready, i - 1);
	}
}

static bool has_idle(const struct pool *pool, int64_t now_ms)
{
	for (guint i = 0; i < pool->upstreams->len; i++) {
		if (chain_upstream_is_idle(g_ptr_array_index(pool->upstreams, i), now_ms))
			return true;
	}
	return false;
}

/*
 * Returns whether a stage should wait for an upstream in the data centre of its inputs although
 * others are idle: when that data centre has enough upstreams for one to finish soon, few pieces
 * wait for them, and the stage isn't due yet.
 */
static bool should_wait_for_local(const struct pool *pool, const GArray *ready,
				  const struct ready_stage *e, int64_t now_ms)
{
	const char *home = home_data_centre(e);
	uint32_t upstreams = 0;
	uint32_t pieces = 0;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		upstreams += u->usable && u->backoff_until_ms <= now_ms &&
			     strcmp(u->data_centre, home) == 0;
	}
	for (guint i = 0; i < ready->len; i++) {
		const struct ready_stage *other = &g_array_index(ready, struct ready_stage, i);
		if (strcmp(home_data_centre(other), home) == 0)
			pieces += waiting_pieces(other->stage);
	}
	return upstreams >= CHAIN_LOCAL_UPSTREAMS_MIN && e->due_ms > now_ms &&
	       pieces <= upstreams * (uint32_t)pool->doc.batch_size / 2;
}

static void dispatch_pool(struct chain_sched *c, struct pool *pool, int64_t now_ms, GArray *out)
{
	GHashTable *full;
	GArray *ready;
	uint32_t n_idle;

	if (!has_idle(pool, now_ms))
		return;
	ready = list_ready_stages(c, pool);
	full = g_hash_table_new(NULL, NULL);
	for (guint i = 0; i < ready->len;) {
		const struct ready_stage *first = &g_array_index(ready, struct ready_stage, i);
		struct upstream *u = choose_upstream(pool, first, full, now_ms, &n_idle);
		if (!u)
			break;
		if (!is_local(u, first) && should_wait_for_local(pool, ready, first, now_ms)) {
			i++;
			continue;
		}
		const struct call_plan plan = {
			.first = i,
			.limit = call_limit(pool, ready, first, n_idle),
			.local_only = n_idle > 1,
		};
		if (!form_call(c, u, ready, &plan, now_ms, out))
			g_hash_table_add(full, u);
		remove_started(ready);
		i = 0;
	}
	g_hash_table_destroy(full);
	g_array_unref(ready);
}

/*
 * Adds the commands that release results. They precede the calls, so that the storage is free when
 * the calls arrive.
 */
static void send_frees(struct chain_sched *c, GArray *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct upstream *u = value;
		struct chain_cmd cmd = {.kind = CHAIN_CMD_FREE};
		if (u->pending_frees->len == 0)
			continue;
		g_ptr_array_add(u->pending_frees, NULL);
		cmd.upstream = g_strdup(u->id);
		cmd.address = g_strdup(u->address);
		cmd.handles = (char **)g_ptr_array_free(u->pending_frees, FALSE);
		u->pending_frees = g_ptr_array_new_with_free_func(g_free);
		g_array_append_val(out, cmd);
	}
}

void chain_dispatch(struct chain_sched *c, int64_t now_ms, GArray *out)
{
	GHashTableIter iter;
	gpointer pool;

	send_frees(c, out);
	if (c->handing_off)
		return;
	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		dispatch_pool(c, pool, now_ms, out);
}
