/* Forming of calls: which pieces go to which idle upstream. */
#include "chn_int.h"

#include <string.h>

/* A stage of a chain with pieces that could start. */
struct entry {
	struct job *job;
	struct stage *stage;
	bool late;
	bool begun; /* some of its results take room already */
	int64_t due_ms;
};

bool chn_upstream_is_idle(const struct upstream *u, int64_t now_ms)
{
	if (!u->usable || u->calls >= (uint32_t)MAX(u->pool->doc.slots, 1))
		return false;
	if (now_ms < u->bad_until_ms)
		return false;
	return u->ratio < CHN_SLOW_RATIO || now_ms - u->last_call_ms >= CHN_SLOW_PROBE_MS;
}

static uint32_t waiting_pieces(const struct stage *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_pieces; i++)
		n += s->pieces[i].state == PIECE_WAITING;
	return n;
}

/* Some of its pieces run or have run. */
static bool has_begun(const struct stage *s)
{
	return waiting_pieces(s) < s->n_pieces;
}

/* Results of the stage fill a good part of an upstream's room: a few calls of them all of it. */
static bool is_short_of_room(const struct pool *pool, const struct stage *s)
{
	return pool->doc.room_bytes > 0 &&
	       s->result_bytes * pool->doc.batch_size * CHN_ROOM_CALLS > pool->doc.room_bytes;
}

/* Those that can be in time first; then by the latest start that keeps what they were promised. */
static gint compare_entries(gconstpointer left, gconstpointer right)
{
	const struct entry *a = left;
	const struct entry *b = right;

	if (a->begun != b->begun)
		return a->begun ? -1 : 1;
	if (a->late != b->late)
		return a->late ? 1 : -1;
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms ? -1 : 1;
	return a->job->id < b->job->id ? -1 : a->job->id > b->job->id;
}

static GArray *list_entries(const struct chn *c, const struct pool *pool)
{
	GArray *entries = g_array_new(FALSE, FALSE, sizeof(struct entry));

	for (guint i = 0; i < c->order->len; i++) {
		struct job *job = g_ptr_array_index(c->order, i);
		for (uint32_t k = 0; k < job->n_stages; k++) {
			struct stage *s = &job->stages[k];
			if (s->pool != pool || !s->open || waiting_pieces(s) == 0)
				continue;
			struct entry e = {
				.job = job,
				.stage = s,
				.late = job->late,
				.begun = has_begun(s) && is_short_of_room(pool, s),
				.due_ms = chn_job_due_ms(job, s),
			};
			g_array_append_val(entries, e);
		}
	}
	g_array_sort(entries, compare_entries);
	return entries;
}

static bool may_serve(const struct upstream *u, const struct job *job)
{
	return pub_allows_region(job->regions, u->region);
}

int64_t chn_room_left(const struct upstream *u, int64_t now_ms)
{
	int64_t room = (int64_t)((double)u->pool->doc.room_bytes * CHN_ROOM_SHARE);
	int64_t age_ms = now_ms - u->foreign_ms;
	int64_t kept_ms = MAX(u->pool->doc.handle_ms, 1);

	if (u->room_foreign > 0 && age_ms < kept_ms)
		room -= u->room_foreign * (kept_ms - age_ms) / kept_ms;
	return room - u->room_used;
}

/* How many pieces of the entry fit at the upstream beside what is planned for the call. */
static uint32_t fitting(const struct upstream *u, const struct entry *e, const struct call *call,
			uint32_t limit, int64_t now_ms)
{
	uint32_t n = MIN(waiting_pieces(e->stage), limit - call->n);
	int64_t left = chn_room_left(u, now_ms);
	int64_t bytes = e->stage->result_bytes;

	/* a single result is always let in, whatever its announced size */
	if (bytes <= 0 || (u->room_used == 0 && call->n == 0 && bytes > left))
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

static void add_piece(struct call *call, struct chn_cmd *cmd, const struct entry *e, uint32_t index,
		      int64_t now_ms)
{
	struct piece *piece = &e->stage->pieces[index];
	uint32_t stage = (uint32_t)(e->stage - e->job->stages);

	piece->state = PIECE_RUNNING;
	piece->call = call->id;
	call->pieces[call->n] = (struct call_piece){e->job->id, stage, index};
	call->room_bytes += e->stage->result_bytes;
	cmd->pieces[call->n] = (struct chn_piece){
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

static void add_entry(struct call *call, struct chn_cmd *cmd, const struct entry *e, uint32_t n,
		      int64_t now_ms)
{
	for (uint32_t i = 0; i < e->stage->n_pieces && n > 0; i++) {
		if (e->stage->pieces[i].state != PIECE_WAITING)
			continue;
		add_piece(call, cmd, e, i, now_ms);
		n--;
	}
}

/* How one call is to be filled. */
struct call_plan {
	guint first;	/* the entry for which the upstream was chosen */
	uint32_t limit; /* pieces */
	bool near_only; /* besides the first chain: other upstreams idle for those of other centres
			 */
};

static const char *home_of(const struct entry *e);

static bool is_near(const struct upstream *u, const struct entry *e)
{
	return strcmp(u->data_centre, home_of(e)) == 0;
}

/* Fills one call in the order of the entries; false when nothing fits. */
static bool form_call(struct chn *c, struct upstream *u, const GArray *entries,
		      const struct call_plan *plan, int64_t now_ms, GArray *out)
{
	uint32_t limit = plan->limit;
	struct call *call = g_new0(struct call, 1);
	struct chn_cmd cmd = {.kind = CHN_CMD_CALL};

	call->id = c->next_call;
	call->pieces = g_new0(struct call_piece, limit);
	cmd.pieces = g_new0(struct chn_piece, limit);
	for (guint i = 0; i <= entries->len && call->n < limit; i++) {
		/* the chosen one, then all in their order */
		const struct entry *e =
			&g_array_index(entries, struct entry, i == 0 ? plan->first : i - 1);
		uint32_t n;
		if (!may_serve(u, e->job) || (i > 0 && plan->near_only && !is_near(u, e)))
			continue;
		n = fitting(u, e, call, limit, now_ms);
		/* half a stage would take room, and wait for room for the other half */
		if (i > 0 && !has_begun(e->stage) && n < waiting_pieces(e->stage) &&
		    is_short_of_room(u->pool, e->stage))
			continue;
		add_entry(call, &cmd, e, n, now_ms);
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
		(int64_t)((u->pool->doc.call_ms + u->pool->doc.piece_ms * call->n) * u->ratio);
	u->calls++;
	u->last_call_ms = now_ms;
	u->room_used += call->room_bytes;
	g_hash_table_insert(c->calls, &call->id, call);
	cmd.call = call->id;
	cmd.upstream = g_strdup(u->id);
	cmd.address = g_strdup(u->address);
	cmd.n_pieces = call->n;
	cmd.expect_ms = call->expect_ms;
	g_array_append_val(out, cmd);
	return true;
}

/* Where the first results of a chain lie, or where its request came in. */
static const char *home_of(const struct entry *e)
{
	for (uint32_t i = 0; i < e->job->n_stages; i++) {
		const struct stage *s = &e->job->stages[i];
		if ((e->stage->after & (1U << i)) && s->n_pieces > 0 && s->pieces[0].maker)
			return s->pieces[0].maker->data_centre;
	}
	return e->job->data_centre;
}

/* For the first entry: an upstream beside its inputs, with the most room, that is quick. */
static struct upstream *choose(const struct pool *pool, const struct entry *first,
			       GHashTable *tried, int64_t now_ms, uint32_t *n_idle)
{
	struct upstream *best = NULL;
	double best_score = 0;

	*n_idle = 0;
	for (guint i = 0; i < pool->upstreams->len; i++) {
		struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		double score;
		if (!chn_upstream_is_idle(u, now_ms) || g_hash_table_contains(tried, u))
			continue;
		(*n_idle)++;
		score = u->ratio;
		if (!may_serve(u, first->job))
			score += 100;
		if (strcmp(u->data_centre, home_of(first)) != 0)
			score += CHN_FAR_SCORE;
		if (pool->doc.room_bytes > 0)
			score += (double)u->room_used / (double)pool->doc.room_bytes;
		if (!best || score < best_score) {
			best = u;
			best_score = score;
		}
	}
	return best;
}

static uint32_t count_waiting(const GArray *entries)
{
	uint32_t n = 0;

	for (guint i = 0; i < entries->len; i++)
		n += waiting_pieces(g_array_index(entries, struct entry, i).stage);
	return n;
}

/* Spread over the idle upstreams, but never less than what the first chain wants. */
static uint32_t call_limit(const struct pool *pool, const GArray *entries,
			   const struct entry *first, uint32_t n_idle)
{
	uint32_t share = (count_waiting(entries) + n_idle - 1) / n_idle;
	uint32_t limit = MAX(share, waiting_pieces(first->stage));

	return MIN(limit, (uint32_t)MAX(pool->doc.batch_size, 1));
}

static void drop_started(GArray *entries)
{
	for (guint i = entries->len; i > 0; i--) {
		if (waiting_pieces(g_array_index(entries, struct entry, i - 1).stage) == 0)
			g_array_remove_index(entries, i - 1);
	}
}

static bool has_idle(const struct pool *pool, int64_t now_ms)
{
	for (guint i = 0; i < pool->upstreams->len; i++) {
		if (chn_upstream_is_idle(g_ptr_array_index(pool->upstreams, i), now_ms))
			return true;
	}
	return false;
}

/*
 * Whether a chain waits for the upstreams beside its inputs though others idle: there are enough
 * of them for one to end its call soon, little waits for them, and its promise allows for it.
 */
static bool may_wait(const struct pool *pool, const GArray *entries, const struct entry *e,
		     int64_t now_ms)
{
	const char *home = home_of(e);
	uint32_t upstreams = 0;
	uint32_t pieces = 0;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		upstreams +=
			u->usable && u->bad_until_ms <= now_ms && strcmp(u->data_centre, home) == 0;
	}
	for (guint i = 0; i < entries->len; i++) {
		const struct entry *other = &g_array_index(entries, struct entry, i);
		if (strcmp(home_of(other), home) == 0)
			pieces += waiting_pieces(other->stage);
	}
	return upstreams >= CHN_NEAR_MIN && e->due_ms > now_ms &&
	       pieces <= upstreams * (uint32_t)pool->doc.batch_size / 2;
}

static void dispatch_pool(struct chn *c, struct pool *pool, int64_t now_ms, GArray *out)
{
	GHashTable *tried;
	GArray *entries;
	uint32_t n_idle;

	if (!has_idle(pool, now_ms))
		return;
	entries = list_entries(c, pool);
	tried = g_hash_table_new(NULL, NULL);
	for (guint i = 0; i < entries->len;) {
		const struct entry *first = &g_array_index(entries, struct entry, i);
		struct upstream *u = choose(pool, first, tried, now_ms, &n_idle);
		if (!u)
			break;
		if (!is_near(u, first) && may_wait(pool, entries, first, now_ms)) {
			i++;
			continue;
		}
		const struct call_plan plan = {
			.first = i,
			.limit = call_limit(pool, entries, first, n_idle),
			.near_only = n_idle > 1,
		};
		if (!form_call(c, u, entries, &plan, now_ms, out))
			g_hash_table_add(tried, u);
		drop_started(entries);
		i = 0;
	}
	g_hash_table_destroy(tried);
	g_array_unref(entries);
}

/* Before the calls, so that the room is free at their upstreams when their turn comes. */
static void flush_frees(struct chn *c, GArray *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct upstream *u = value;
		struct chn_cmd cmd = {.kind = CHN_CMD_FREE};
		if (u->frees->len == 0)
			continue;
		g_ptr_array_add(u->frees, NULL);
		cmd.upstream = g_strdup(u->id);
		cmd.address = g_strdup(u->address);
		cmd.handles = (char **)g_ptr_array_free(u->frees, FALSE);
		u->frees = g_ptr_array_new_with_free_func(g_free);
		g_array_append_val(out, cmd);
	}
}

void chn_dispatch(struct chn *c, int64_t now_ms, GArray *out)
{
	GHashTableIter iter;
	gpointer pool;

	flush_frees(c, out);
	if (c->handing)
		return;
	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		dispatch_pool(c, pool, now_ms, out);
}
