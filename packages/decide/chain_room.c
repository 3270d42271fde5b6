/*
 * Room for results, as far as it can be known before pieces are made: room that large results leave
 * to small ones, waits for room on admission, and stages that wait because their results would
 * expire before they are used. Design: docs/design/account-shares.md.
 */
#include "chain_internal.h"

#include <math.h>

/* Full calls of small results for which stages with large results leave room at an upstream. */
#define CHAIN_ROOM_RESERVED_CALLS 4
/*
 * Time after which a pool without small results leaves no room to them any more: several times that
 * for which results are kept.
 */
#define CHAIN_ROOM_SMALL_MS 20000
/* Most of an upstream's storage that is left to small results. */
#define CHAIN_ROOM_RESERVED_SHARE 0.25

bool chain_room_applies(const struct chain_sched *c, const struct pool *pool)
{
	return policy_is_on(c->off, POLICY_RESERVED_ROOM) && chain_share_is_large(pool);
}

static void clear_pools(const struct chain_sched *c, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;
		bool has_small = now_ms - pool->room.small_at_ms < CHAIN_ROOM_SMALL_MS;
		pool->room = (struct chain_room){
			.small_bytes = has_small ? pool->room.small_bytes : 0,
			.small_at_ms = pool->room.small_at_ms,
		};
		chain_share_clear_bytes(pool);
	}
}

static void add_stage(const struct chain_sched *c, const struct job *job, const struct stage *s,
		      int64_t now_ms)
{
	struct chain_room *room = &s->pool->room;
	uint32_t waiting = chain_count_waiting(s);
	int64_t bytes = s->result_bytes * waiting;

	if (waiting + s->n_running == 0)
		return;
	room->n_accounts += chain_share_add_bytes(s->share, bytes, job->late);
	room->waiting_bytes += bytes;
	room->in_time_bytes += job->late ? 0 : bytes;
	if (s->open)
		room->ready += waiting + s->n_running;
	if (s->result_bytes > 0 && !chain_fills_storage(c, s->pool, s)) {
		room->small_bytes = MAX(room->small_bytes, s->result_bytes);
		room->small_at_ms = now_ms;
	}
}

void chain_room_refresh(struct chain_sched *c, int64_t now_ms)
{
	if (!policy_is_on(c->off, POLICY_RESERVED_ROOM) ||
	    (c->room_at_ms > 0 && now_ms - c->room_at_ms < CHAIN_TICK_MS))
		return;
	c->room_at_ms = now_ms;
	clear_pools(c, now_ms);
	for (guint i = 0; i < c->order->len; i++) {
		const struct job *job = g_ptr_array_index(c->order, i);
		for (uint32_t k = 0; !job->delivered && k < job->n_stages; k++) {
			if (job->stages[k].pool)
				add_stage(c, job, &job->stages[k], now_ms);
		}
	}
}

/*
 * Stages that have started hold storage until their last pieces are done. They may take the reserve
 * at every second upstream: at none they might wait for each other, and at all there would soon be
 * no reserve.
 */
int64_t chain_room_reserved_bytes(const struct chain_sched *c, const struct upstream *u,
				  const struct stage *s)
{
	const struct pool *pool = u->pool;
	int64_t call_bytes = pool->room.small_bytes * MAX(pool->doc.batch_size, 1);

	if (pool->room.n_accounts < 2 || !chain_room_applies(c, pool) ||
	    !chain_fills_storage(c, pool, s) || (chain_has_started(s) && !u->keeps_room))
		return 0;
	return MIN(call_bytes * CHAIN_ROOM_RESERVED_CALLS,
		   (int64_t)((double)pool->doc.room_bytes * CHAIN_ROOM_RESERVED_SHARE));
}

/*
 * Only work that is ready counts: stages behind those that are held back would hold them for ever.
 */
bool chain_room_may_start(const struct chain_sched *c, const struct job *job, struct stage *s,
			  int64_t now_ms)
{
	uint32_t index = (uint32_t)(s - job->stages);

	if (!job->late || s->terminal || chain_has_started(s) || !chain_room_applies(c, s->pool))
		return true;
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct pool *next = job->stages[i].pool;
		double wait_ms;
		if (!(job->stages[i].after & (1U << index)) || !next ||
		    job->stages[i].n_pieces == 0 || next->room.n_accounts < 2)
			continue;
		wait_ms = next->room.ready * chain_pool_piece_ms(c, next, now_ms);
		if (wait_ms * CHAIN_LATE_FACTOR >
		    (double)(s->pool->doc.handle_ms - CHAIN_RESULT_EXPIRY_MARGIN_MS)) {
			c->counters->held_stages += !s->held;
			s->held = true;
			return false;
		}
	}
	return true;
}

/* Returns the storage of the pool's upstreams in owned regions, and what is left of it. */
static int64_t room_of(const struct chain_sched *c, const struct pool *pool, int64_t now_ms,
		       int64_t *left)
{
	bool has_owned = chain_pool_has_owned(c, pool);
	int64_t bytes = 0;

	*left = 0;
	for (guint i = 0; i < pool->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		if (!u->usable || (has_owned && !chain_owns_region(c, u->region)))
			continue;
		bytes += pool->doc.room_bytes;
		*left += chain_storage_left(u, now_ms);
	}
	*left = MAX(*left, 0);
	return bytes;
}

/*
 * Room is held from the start of a call until the next stage or the engine has fetched the result,
 * and all of it is given out once in that time. An account waits for its own results to pass
 * through its share of the room, but no longer than if all went through the whole.
 */
uint32_t chain_room_pieces_ahead(const struct chain_sched *c, const struct job *job,
				 const struct pool *pool, bool all, int64_t now_ms)
{
	const struct chain_room *room = &pool->room;
	uint32_t n = MAX(room->n_accounts, 1);
	struct chain_share *share = NULL;
	double hold_ms =
		pool->doc.call_ms + pool->doc.piece_ms * pool->doc.batch_size + CHAIN_STAGE_TIME_MS;
	int64_t job_bytes = 0;
	int64_t capacity;
	int64_t left;
	double over;
	double own_over;

	if (room->n_accounts < 2 || pool->doc.room_bytes <= 0 || !chain_room_applies(c, pool))
		return 0;
	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (job->stages[i].pool != pool)
			continue;
		share = job->stages[i].share;
		job_bytes += job->stages[i].result_bytes * chain_count_waiting(&job->stages[i]);
	}
	capacity = room_of(c, pool, now_ms, &left);
	over = (double)((all ? room->waiting_bytes : room->in_time_bytes) + job_bytes - left);
	own_over = (double)(chain_share_get_bytes(share, all) + job_bytes) * n - (double)left;
	over = fmin(over, own_over);
	if (over <= 0 || capacity <= 0)
		return 0;
	return (uint32_t)fmin(hold_ms * over / (double)capacity /
				      fmax(chain_pool_piece_ms(c, pool, now_ms), 1e-3),
			      UINT32_MAX / 2);
}
