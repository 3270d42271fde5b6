/* Lists the stages of a pool that have pieces to start, in the order in which they are served. */
#include "chain_internal.h"

bool chain_has_started(const struct stage *s)
{
	return chain_count_waiting(s) < s->n_pieces;
}

bool chain_fills_storage(const struct chain_sched *c, const struct pool *pool,
			 const struct stage *s)
{
	return policy_is_on(c->off, POLICY_SCARCE_ROOM) && pool->doc.room_bytes > 0 &&
	       s->result_bytes * pool->doc.batch_size * CHAIN_STORAGE_CALLS > pool->doc.room_bytes;
}

/* Compares by what precedes due times and shares: scarce storage, then lateness. */
static gint compare_classes(const struct chain_ready_stage *a, const struct chain_ready_stage *b)
{
	if (a->holds_storage != b->holds_storage)
		return a->holds_storage ? -1 : 1;
	if (a->late != b->late)
		return a->late ? 1 : -1;
	return 0;
}

static gint compare_due(const struct chain_ready_stage *a, const struct chain_ready_stage *b)
{
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms ? -1 : 1;
	return a->job->id < b->job->id ? -1 : a->job->id > b->job->id;
}

/*
 * Orders stages that hold scarce storage before others, then stages of chains that aren't late
 * before those of late chains, then by due time.
 */
static gint compare_ready_stages(gconstpointer left, gconstpointer right)
{
	gint order = compare_classes(left, right);

	return order != 0 ? order : compare_due(left, right);
}

/* The same, but by turn before due time. */
static gint compare_shared_stages(gconstpointer left, gconstpointer right)
{
	const struct chain_ready_stage *a = left;
	const struct chain_ready_stage *b = right;
	gint order = compare_classes(a, b);

	if (order != 0)
		return order;
	if (a->turn != b->turn)
		return a->turn < b->turn ? -1 : 1;
	return compare_due(a, b);
}

static uint64_t count_waiting(const GArray *ready)
{
	uint64_t n = 0;

	for (guint i = 0; i < ready->len; i++)
		n += g_array_index(ready, struct chain_ready_stage, i).waiting;
	return n;
}

GArray *chain_list_ready_stages(const struct chain_sched *c, struct pool *pool, uint32_t n_idle,
				int64_t now_ms)
{
	uint64_t room = (uint64_t)n_idle * (uint32_t)MAX(pool->doc.batch_size, 1);
	GArray *ready = g_array_new(FALSE, FALSE, sizeof(struct chain_ready_stage));

	for (guint i = 0; i < c->order->len; i++) {
		struct job *job = g_ptr_array_index(c->order, i);
		if (!chain_owns_region(c, job->region))
			continue; /* about to be handed off */
		for (uint32_t k = 0; k < job->n_stages; k++) {
			struct stage *s = &job->stages[k];
			if (s->pool != pool || !s->open || chain_count_waiting(s) == 0 ||
			    !chain_room_may_start(c, job, s, now_ms))
				continue;
			struct chain_ready_stage e = {
				.job = job,
				.stage = s,
				.late = job->late && policy_is_on(c->off, POLICY_LATE_LAST),
				.holds_storage =
					chain_has_started(s) && chain_fills_storage(c, pool, s),
				.waiting = chain_count_waiting(s),
				.due_ms = chain_stage_due_ms(job, s),
			};
			g_array_append_val(ready, e);
		}
	}
	g_array_sort(ready, compare_ready_stages);
	if (chain_share_applies(c, pool) && chain_share_set_tags(pool, ready) > 1 &&
	    count_waiting(ready) > room) {
		c->counters->shared_rounds++;
		g_array_sort(ready, compare_shared_stages);
	}
	return ready;
}
