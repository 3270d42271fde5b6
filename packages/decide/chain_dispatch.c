/* Groups waiting pieces into calls and assigns the calls to idle upstreams. */
#include "chain_internal.h"

#include <string.h>

bool chain_upstream_is_idle(const struct upstream *u, int64_t now_ms)
{
	if (!u->usable || u->calls >= (uint32_t)MAX(u->pool->doc.slots, 1))
		return false;
	if (now_ms < u->backoff_until_ms || u->is_held)
		return false;
	if (u->slowdown < CHAIN_SLOW_FACTOR)
		return true;
	return (u->pool->only_slow && u->calls == 0) ||
	       now_ms - u->last_call_ms >= CHAIN_SLOW_PROBE_MS;
}

/* Returns whether all upstreams that the pool's stages may be sent to are slow. */
static bool is_only_slow(const struct chain_sched *c, const struct pool *pool)
{
	bool has_owned = chain_pool_has_owned(c, pool);

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		if (u->usable && u->slowdown < CHAIN_SLOW_FACTOR &&
		    (!has_owned || chain_owns_region(c, u->region)))
			return false;
	}
	return true;
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
	if (chain_upstream_is_limited(u))
		capacity -= u->pending_free_bytes;
	return capacity - u->used_bytes;
}

/*
 * Returns how many more pieces of the stage the call can take, given its size limit and the free
 * storage of the upstream.
 */
static uint32_t count_fitting(const struct chain_sched *c, const struct upstream *u,
			      const struct chain_ready_stage *e, const struct call *call,
			      uint32_t limit, int64_t now_ms)
{
	uint32_t n = MIN(chain_count_waiting(e->stage), limit - call->n);
	int64_t left = chain_storage_left(u, now_ms) - chain_room_reserved_bytes(c, u, e->stage);
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

static void add_piece(struct call *call, struct chain_cmd *cmd, const struct chain_ready_stage *e,
		      uint32_t index, int64_t now_ms)
{
	struct piece *piece = &e->stage->pieces[index];
	uint32_t stage = (uint32_t)(e->stage - e->job->stages);

	piece->state = PIECE_RUNNING;
	piece->call = call->id;
	e->stage->n_running++;
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

static void add_stage_pieces(struct call *call, struct chain_cmd *cmd,
			     const struct chain_ready_stage *e, uint32_t n, int64_t now_ms)
{
	for (uint32_t i = 0; i < e->stage->n_pieces && n > 0; i++) {
		if (e->stage->pieces[i].state != PIECE_WAITING)
			continue;
		add_piece(call, cmd, e, i, now_ms);
		n--;
	}
}

/*
 * An upstream of a pool while calls are assigned: when it can begin a call, and the call that it
 * gets if it is idle.
 */
struct slot {
	struct upstream *upstream;
	int64_t free_in_ms;   /* until it can begin a call; 0: it is idle */
	uint32_t n_expected;  /* pieces that wait for it to become idle */
	bool is_full;	      /* for the stage that is being assigned */
	double idle_share;    /* of the pool's upstreams, 0 to 1, before calls are assigned */
	struct call *call;    /* NULL: none so far */
	struct chain_cmd cmd; /* command for the call */
};

/*
 * Returns the data centre that stores the stage's inputs, and their size; NULL if it has no inputs
 * or the upstreams that stored them were removed.
 */
static const char *input_data_centre(const struct chain_ready_stage *e, int64_t *bytes)
{
	*bytes = 0;
	for (uint32_t i = 0; i < e->job->n_stages; i++) {
		const struct stage *s = &e->job->stages[i];
		if (!(e->stage->after & (1U << i)) || s->n_pieces == 0 || !s->pieces[0].producer)
			continue;
		*bytes = s->result_bytes * s->n_pieces;
		return s->pieces[0].producer->data_centre;
	}
	return NULL;
}

/* Returns the cost of the bytes that would cross data centres if the stage ran at the upstream. */
static double crossing_ms(const struct chain_sched *c, const struct chain_ready_stage *e,
			  const struct upstream *u)
{
	int64_t bytes = 0;
	int64_t in_bytes;
	const char *from = input_data_centre(e, &in_bytes);

	if (from && strcmp(from, u->data_centre) != 0)
		bytes += in_bytes;
	if (strcmp(e->job->data_centre, u->data_centre) != 0)
		bytes += e->stage->result_bytes * e->stage->n_pieces;
	if (bytes == 0 || !policy_is_on(c->off, POLICY_CROSSING_COST))
		return 0;
	return CHAIN_CROSSING_MIN_MS + CHAIN_CROSSING_MS_PER_MB * (double)bytes / 1e6;
}

static uint32_t max_batch(const struct pool *pool)
{
	return (uint32_t)MAX(pool->doc.batch_size, 1);
}

static int64_t full_call_ms(const struct pool *pool)
{
	return (int64_t)(pool->doc.call_ms + pool->doc.piece_ms * pool->doc.batch_size);
}

/*
 * Returns the time that the stage's call takes longer for the reported pace of the upstream. It
 * counts by the share of idle upstreams: counted in full in a busy pool, stages wait for upstreams
 * at the usual pace while slow ones idle, and the mean time of pieces rises by 2%.
 */
static double pace_cost_ms(const struct slot *slot, const struct chain_ready_stage *e,
			   int64_t now_ms)
{
	const struct upstream *u = slot->upstream;
	uint32_t n = (slot->call ? slot->call->n : 0) + chain_count_waiting(e->stage);
	double work_ms = u->slowdown * (u->pool->doc.call_ms +
					u->pool->doc.piece_ms * MIN(n, max_batch(u->pool)));

	return (chain_pace_factor(u, now_ms + slot->free_in_ms, work_ms) - 1) * work_ms *
	       slot->idle_share;
}

/*
 * Returns the cost in ms of assigning the stage to the slot: the wait, and what would cross. Bytes
 * count no more than the stage's slack: a chain isn't late for them.
 */
static double slot_cost_ms(const struct chain_sched *c, const struct slot *slot,
			   const struct chain_ready_stage *e, int64_t now_ms)
{
	const struct upstream *u = slot->upstream;
	const struct pub_pool *doc = &u->pool->doc;
	uint32_t batch = max_batch(u->pool);
	double ms = (double)slot->free_in_ms;
	double crossing = crossing_ms(c, e, u);
	double slack_ms = (double)(e->due_ms - now_ms);

	if (slot->call)
		ms += doc->piece_ms * slot->call->n;
	ms += (double)((int64_t)(slot->n_expected / batch) * full_call_ms(u->pool)) +
	      doc->piece_ms * (slot->n_expected % batch);
	if (!e->late && crossing > slack_ms)
		crossing = MAX(slack_ms, 0);
	ms += (u->slowdown - 1) * doc->call_ms;
	ms += pace_cost_ms(slot, e, now_ms);
	if (doc->room_bytes > 0)
		ms += CHAIN_STORAGE_MS * (double)u->used_bytes / (double)doc->room_bytes;
	return ms + crossing;
}

static struct slot *choose_slot(const struct chain_sched *c, GArray *slots,
				const struct chain_ready_stage *e, int64_t now_ms)
{
	struct slot *best = NULL;
	double best_ms = 0;

	for (guint i = 0; i < slots->len; i++) {
		struct slot *slot = &g_array_index(slots, struct slot, i);
		double ms;
		if (slot->is_full || !may_serve(slot->upstream, e->job))
			continue;
		ms = slot_cost_ms(c, slot, e, now_ms);
		if (!best || ms < best_ms) {
			best = slot;
			best_ms = ms;
		}
	}
	return best;
}

static void begin_call(struct chain_sched *c, struct slot *slot)
{
	uint32_t batch = max_batch(slot->upstream->pool);

	slot->call = g_new0(struct call, 1);
	slot->call->id = c->next_call++;
	slot->call->pieces = g_new0(struct call_piece, batch);
	slot->cmd.kind = CHAIN_CMD_CALL;
	slot->cmd.pieces = g_new0(struct chain_piece, batch);
}

/*
 * Adds pieces of the stage to the slot's call. Unless it may be split, a stage that doesn't fit
 * into the rest of a call isn't added. Returns whether any piece was.
 */
static bool add_to_call(struct chain_sched *c, struct slot *slot, const struct chain_ready_stage *e,
			bool may_split, int64_t now_ms)
{
	static const struct call empty;
	const struct pool *pool = slot->upstream->pool;
	uint32_t waiting = chain_count_waiting(e->stage);
	uint32_t n = count_fitting(c, slot->upstream, e, slot->call ? slot->call : &empty,
				   max_batch(pool), now_ms);

	/*
	 * If only part of the stage ran, its results would take storage while the other
	 * pieces wait for room.
	 */
	if (slot->call && !chain_has_started(e->stage) && chain_fills_storage(c, pool, e->stage))
		may_split = false;
	if (n == 0 || (slot->call && n < waiting && !may_split))
		return false;
	if (!slot->call)
		begin_call(c, slot);
	add_stage_pieces(slot->call, &slot->cmd, e, n, now_ms);
	return true;
}

/*
 * The stage is to wait for a busy upstream: uses what room is left in the calls of idle upstreams
 * that are no farther from its inputs and results.
 */
static void fill_calls(struct chain_sched *c, GArray *slots, const struct chain_ready_stage *e,
		       const struct slot *busy, int64_t now_ms)
{
	double limit_ms = crossing_ms(c, e, busy->upstream);

	for (guint i = 0; i < slots->len && chain_count_waiting(e->stage) > 0; i++) {
		struct slot *slot = &g_array_index(slots, struct slot, i);
		if (slot->call && may_serve(slot->upstream, e->job) &&
		    crossing_ms(c, e, slot->upstream) <= limit_ms)
			add_to_call(c, slot, e, true, now_ms);
	}
}

static void assign_stage(struct chain_sched *c, GArray *slots, const struct chain_ready_stage *e,
			 int64_t now_ms)
{
	struct slot *slot;

	for (guint i = 0; i < slots->len; i++)
		g_array_index(slots, struct slot, i).is_full = false;
	while (chain_count_waiting(e->stage) > 0 && (slot = choose_slot(c, slots, e, now_ms))) {
		if (slot->free_in_ms > 0) {
			fill_calls(c, slots, e, slot, now_ms);
			slot->n_expected += chain_count_waiting(e->stage);
			return;
		}
		if (!add_to_call(c, slot, e, false, now_ms))
			slot->is_full = true;
	}
	for (guint i = 0; i < slots->len && chain_count_waiting(e->stage) > 0; i++) {
		slot = &g_array_index(slots, struct slot, i);
		if (slot->call && may_serve(slot->upstream, e->job))
			add_to_call(c, slot, e, true, now_ms);
	}
}

static void send_call(struct chain_sched *c, struct slot *slot, int64_t now_ms, GArray *out)
{
	struct upstream *u = slot->upstream;
	struct call *call = slot->call;
	double work_ms;

	call->upstream = u;
	call->sent_ms = now_ms;
	work_ms = (u->pool->doc.call_ms + u->pool->doc.piece_ms * call->n) * u->slowdown;
	call->pace_factor = pace_at(&u->pace, &u->pool->usual_pace, now_ms);
	call->expect_ms = (int64_t)(work_ms * chain_pace_factor(u, now_ms, work_ms));
	u->calls++;
	u->last_call_ms = now_ms;
	u->is_held =
		chain_upstream_is_limited(u); /* until the gate says that there is another permit */
	u->busy_until_ms = now_ms + call->expect_ms;
	u->used_bytes += call->room_bytes;
	g_hash_table_insert(c->calls, &call->id, call);
	chain_share_charge_call(c, call, now_ms);
	slot->cmd.call = call->id;
	slot->cmd.upstream = g_strdup(u->id);
	slot->cmd.address = g_strdup(u->address);
	slot->cmd.n_pieces = call->n;
	slot->cmd.expect_ms = call->expect_ms;
	slot->cmd.pace_pct = 100;
	slot->cmd.pace_age_ms = -1;
	chain_get_pace(c, u->id, now_ms, &slot->cmd.pace_pct, &slot->cmd.pace_age_ms);
	g_array_append_val(out, slot->cmd);
}

/* Returns how long until the upstream can begin a call; 0: now. */
static int64_t free_in_ms(const struct upstream *u, int64_t now_ms)
{
	int64_t free_ms = MAX(u->busy_until_ms, u->backoff_until_ms);

	if (chain_upstream_is_idle(u, now_ms))
		return 0;
	if (u->is_held)
		free_ms = MAX(free_ms, u->open_at_ms);
	return MAX(free_ms - now_ms, CHAIN_TICK_MS);
}

/* Lists the pool's upstreams in owned regions, or all if there are none. */
static GArray *list_slots(const struct chain_sched *c, const struct pool *pool, int64_t now_ms)
{
	GArray *slots = g_array_new(FALSE, TRUE, sizeof(struct slot));
	bool has_owned = chain_pool_has_owned(c, pool);
	uint32_t n_idle = 0;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		struct slot slot = {.upstream = u, .free_in_ms = free_in_ms(u, now_ms)};
		/* nothing waits for one that may not serve soon */
		if (!u->usable || (has_owned && !chain_owns_region(c, u->region)) ||
		    (slot.free_in_ms > 0 && u->slowdown >= CHAIN_SLOW_FACTOR))
			continue;
		n_idle += slot.free_in_ms == 0;
		g_array_append_val(slots, slot);
	}
	for (guint i = 0; i < slots->len; i++)
		g_array_index(slots, struct slot, i).idle_share = (double)n_idle / slots->len;
	return slots;
}

static uint32_t count_idle(const GArray *slots)
{
	uint32_t n = 0;

	for (guint i = 0; i < slots->len; i++)
		n += g_array_index(slots, struct slot, i).free_in_ms == 0;
	return n;
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
 * Assigns ready stages, in order, to the upstream with the lowest cost: the wait for it, the work
 * that it has got before, and the bytes that would cross data centres. A stage may so wait for a
 * busy upstream although others are idle.
 */
static void dispatch_pool(struct chain_sched *c, struct pool *pool, int64_t now_ms, GArray *out)
{
	GArray *ready;
	GArray *slots;

	pool->only_slow = is_only_slow(c, pool);
	if (!has_idle(pool, now_ms))
		return;
	slots = list_slots(c, pool, now_ms);
	ready = chain_list_ready_stages(c, pool, count_idle(slots), now_ms);
	for (guint i = 0; i < ready->len; i++)
		assign_stage(c, slots, &g_array_index(ready, struct chain_ready_stage, i), now_ms);
	for (guint i = 0; i < slots->len; i++) {
		struct slot *slot = &g_array_index(slots, struct slot, i);
		if (slot->call)
			send_call(c, slot, now_ms, out);
	}
	chain_share_advance(c, pool, ready);
	g_array_unref(slots);
	g_array_unref(ready);
}

void chain_dispatch(struct chain_sched *c, int64_t now_ms, GArray *out)
{
	GHashTableIter iter;
	gpointer pool;

	chain_room_refresh(c, now_ms);
	chain_send_frees(c, false, out);
	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		dispatch_pool(c, pool, now_ms, out);
	chain_send_frees(c, true, out);
}
