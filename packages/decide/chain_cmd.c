/* Command lists, and queue statistics for logs, metrics and the dump. */
#include "chain_internal.h"

void chain_fill_pool_stats(const struct chain_sched *c, const struct pool *pool,
			   struct chain_pool_stats *state)
{
	*state = (struct chain_pool_stats){.service = pool->service};
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
	state->backlog_ms = (int64_t)(state->pending * chain_pool_piece_ms(c, pool, 0));
}

uint32_t chain_get_pool_stats(const struct chain_sched *c, struct chain_pool_stats *states,
			      uint32_t capacity)
{
	GHashTableIter iter;
	gpointer pool;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, c->pools);
	while (n < capacity && g_hash_table_iter_next(&iter, NULL, &pool))
		chain_fill_pool_stats(c, pool, &states[n++]);
	return n;
}

uint32_t chain_get_error_stats(const struct chain_sched *c, struct chain_error_stats *stats,
			       uint32_t capacity, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;
		for (int late = 0; late < 2 && n < capacity; late++) {
			struct chain_error_quantiles q = chain_get_errors(pool, late, now_ms);
			stats[n++] = (struct chain_error_stats){
				.service = pool->service,
				.late = late,
				.samples = q.n,
				.age_ms = q.age_ms,
				.p10_ms = q.p10_ms,
				.p50_ms = q.p50_ms,
				.p90_ms = q.p90_ms,
			};
		}
	}
	return n;
}

struct chain_late_stats chain_get_late_stats(const struct chain_sched *c)
{
	struct chain_late_stats stats = c->late;

	stats.n_held = c->n_held;
	return stats;
}

void chain_get_counters(const struct chain_sched *c, struct chain_counters *counters)
{
	*counters = *c->counters;
}

static void clear_pieces(struct chain_cmd *cmd)
{
	for (uint32_t i = 0; i < cmd->n_pieces; i++) {
		g_free(cmd->pieces[i].attempt);
		g_free(cmd->pieces[i].key);
		g_strfreev(cmd->pieces[i].inputs);
	}
	g_free(cmd->pieces);
}

void chain_cmd_clear(struct chain_cmd *cmd)
{
	clear_pieces(cmd);
	g_free(cmd->upstream);
	g_free(cmd->address);
	g_strfreev(cmd->handles);
	chain_clear_handoff(cmd);
	g_free(cmd->asker);
	g_free(cmd->attempt);
	g_free(cmd->data_centre);
	g_free(cmd->account);
	*cmd = (struct chain_cmd){0};
}

GArray *chain_cmd_list_new(void)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct chain_cmd));

	g_array_set_clear_func(out, (GDestroyNotify)chain_cmd_clear);
	return out;
}
