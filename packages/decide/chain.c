/* Lifecycle of chains: submission, delivery of results and release. */
#include "chain_internal.h"

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
	g_ptr_array_unref(u->pending_frees);
	g_free(u);
}

static void free_pool(gpointer data)
{
	struct pool *pool = data;

	g_free(pool->service);
	g_ptr_array_unref(pool->upstreams);
	chain_share_pool_free(pool->shares);
	g_free(pool);
}

struct chain_sched *chain_sched_new(void)
{
	struct chain_sched *c = g_new0(struct chain_sched, 1);

	c->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	c->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_upstream);
	c->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->order = g_ptr_array_new();
	c->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
	c->loads = chain_region_loads_new();
	c->counters = g_new0(struct chain_counters, 1);
	c->next_call = 1;
	return c;
}

void chain_sched_free(struct chain_sched *c)
{
	if (!c)
		return;
	for (guint i = 0; i < c->order->len; i++)
		chain_job_free(g_ptr_array_index(c->order, i));
	g_ptr_array_unref(c->order);
	g_hash_table_destroy(c->jobs);
	g_hash_table_destroy(c->calls);
	g_hash_table_destroy(c->upstreams);
	g_hash_table_destroy(c->pools);
	g_hash_table_destroy(c->loads);
	g_strfreev(c->owned);
	g_free(c->counters);
	g_free(c);
}

void chain_set_policies(struct chain_sched *c, uint32_t off)
{
	c->off = off;
}

void chain_free_result(struct stage *stage, struct piece *piece)
{
	if (piece->state != PIECE_DONE || piece->freed || !piece->handle)
		return;
	piece->freed = true;
	if (!piece->producer)
		return;
	piece->producer->used_bytes -= stage->result_bytes;
	piece->producer->pending_free_bytes += stage->result_bytes;
	g_ptr_array_add(piece->producer->pending_frees, g_strdup(piece->handle));
}

void chain_free_stage_results(struct stage *s)
{
	for (uint32_t i = 0; i < s->n_pieces; i++)
		chain_free_result(s, &s->pieces[i]);
}

void chain_drop_job(struct chain_sched *c, struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++)
		chain_free_stage_results(&job->stages[i]);
	chain_unhold(c, job);
	g_hash_table_remove(c->jobs, &job->id);
	g_ptr_array_remove(c->order, job); /* preserves the order */
	chain_job_free(job);
}

void chain_refuse(struct chain_sched *c, struct job *job, const char *reason, int64_t retry_ms,
		  int64_t now_ms, GArray *out)
{
	struct chain_cmd cmd = {
		.kind = CHAIN_CMD_REFUSE,
		.job = job->id,
		.asker = g_strdup(job->asker),
		.attempt = g_strdup(job->attempt),
		.reason = reason,
		.retry_after_ms = retry_ms,
		.late = job->late,
		.expect_in_ms = job->expect_at_ms - now_ms,
		.bound = job->bound,
		.account = g_strdup(job->share_name),
		.lead_calls = chain_share_lead_calls(job),
	};

	chain_note_refused(c, job, retry_ms, now_ms);
	g_array_append_val(out, cmd);
	chain_drop_job(c, job);
}

/*
 * Returns the data centre that stores most bytes of the results for the engine, NULL if there is
 * none. Free with g_free().
 */
static char *main_result_centre(const struct job *job)
{
	GHashTable *bytes = g_hash_table_new(g_str_hash, g_str_equal);
	const char *best = NULL;
	int64_t most = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		for (uint32_t k = 0; s->terminal && k < s->n_pieces; k++) {
			const struct upstream *producer = s->pieces[k].producer;
			if (!producer)
				continue;
			int64_t sum =
				GPOINTER_TO_INT(g_hash_table_lookup(bytes, producer->data_centre)) +
				s->result_bytes;
			g_hash_table_insert(bytes, producer->data_centre,
					    GINT_TO_POINTER((gint)sum));
			if (sum > most) {
				most = sum;
				best = producer->data_centre;
			}
		}
	}
	g_hash_table_destroy(bytes);
	return g_strdup(best);
}

static void deliver(struct chain_sched *c, struct job *job, int64_t now_ms, GArray *out)
{
	GPtrArray *handles = g_ptr_array_new();
	struct chain_cmd cmd = {
		.kind = CHAIN_CMD_READY,
		.job = job->id,
		.asker = g_strdup(job->asker),
		.attempt = g_strdup(job->attempt),
		.late = job->late,
		.expect_in_ms = job->expect_at_ms - now_ms,
		.aim_in_ms = job->aim_at_ms - now_ms,
		.bound = job->bound,
	};

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		for (uint32_t k = 0; s->terminal && k < s->n_pieces; k++)
			g_ptr_array_add(handles, g_strdup(s->pieces[k].handle));
	}
	g_ptr_array_add(handles, NULL);
	cmd.handles = (char **)g_ptr_array_free(handles, FALSE);
	cmd.data_centre = main_result_centre(job);
	cmd.doc.regions = g_strdupv(job->regions);
	cmd.doc.prompt = job->prompt;
	cmd.doc.prompt.service = g_strdup(job->prompt.service);
	job->delivered = true;
	job->delivered_ms = now_ms;
	chain_note_error(job, now_ms, now_ms);
	c->late.n_returned_served += job->returned;
	g_array_append_val(out, cmd);
}

/*
 * Returns whether all stages that use the results of this stage are done. Always false for a
 * terminal stage, whose results the engine uses.
 */
static bool is_consumed(const struct job *job, uint32_t index)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		if ((s->after & (1U << index)) && s->n_done < s->n_pieces)
			return false;
	}
	return !job->stages[index].terminal;
}

void chain_advance_job(struct chain_sched *c, struct job *job, int64_t now_ms, GArray *out)
{
	bool done = chain_open_stages(job);

	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (is_consumed(job, i))
			chain_free_stage_results(&job->stages[i]);
	}
	if (done && !job->delivered)
		deliver(c, job, now_ms, out);
	else if (!done && policy_is_on(c->off, POLICY_PROGRESS))
		chain_report_progress(job, out);
}

static void report_admitted(const struct job *job, int64_t now_ms, GArray *out)
{
	struct chain_cmd cmd = {
		.kind = CHAIN_CMD_ADMIT,
		.job = job->id,
		.asker = g_strdup(job->asker),
		.attempt = g_strdup(job->attempt),
		.late = job->late,
		.expect_in_ms = job->expect_at_ms - now_ms,
		.aim_in_ms = job->aim_at_ms - now_ms,
		.bound = job->bound,
		.account = g_strdup(job->share_name),
		.lead_calls = chain_share_lead_calls(job),
	};

	g_array_append_val(out, cmd);
}

static void count_admission(struct chain_sched *c, struct job *job, bool is_refused)
{
	struct chain_late_stats *n = &c->late;
	bool by_error = job->bound.by_error;

	n->n_returned += job->returned;
	if (is_refused) {
		n->n_refused_error += by_error;
		n->n_refused_fixed += !by_error;
		return;
	}
	n->n_returned_admitted += job->returned;
	n->n_late_error += job->bound.late && by_error;
	n->n_late_fixed += job->bound.late && !by_error;
}

bool chain_has_too_many_pieces(const struct chain_job_spec *doc)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < doc->n_stages; i++) {
		if (doc->stages[i].pieces > CHAIN_STAGE_PIECES_MAX)
			return true;
		sum += doc->stages[i].pieces;
	}
	return sum > CHAIN_PIECES_MAX;
}

static void refuse_unbounded(const struct chain_job_spec *doc, GArray *out)
{
	struct chain_cmd cmd = {
		.kind = CHAIN_CMD_REFUSE,
		.job = doc->id,
		.asker = g_strdup(doc->asker),
		.attempt = g_strdup(doc->attempt),
		.reason = CHAIN_TOO_MANY_PIECES,
		.retry_after_ms = CHAIN_RETRY_AFTER_MAX_MS,
	};

	g_array_append_val(out, cmd);
}

void chain_submit(struct chain_sched *c, const struct chain_job_spec *doc,
		  const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms,
		  GArray *out)
{
	int64_t retry_ms = CHAIN_RETRY_AFTER_MIN_MS;
	const char *reason;
	struct job *job;

	if (g_hash_table_contains(c->jobs, &doc->id))
		return;
	if (chain_has_too_many_pieces(doc)) {
		refuse_unbounded(doc, out);
		return;
	}
	job = chain_job_new(c, doc);
	g_hash_table_insert(c->jobs, &job->id, job);
	if (n_done == 0 && !doc->is_moved && chain_move_job(c, job, now_ms)) {
		chain_hand_off(c, job, out);
		return;
	}
	g_ptr_array_add(c->order, job);
	chain_adopt_results(c, job, done, n_done, now_ms);
	job->returned = n_done == 0 && !doc->is_moved && chain_is_return(c, job, now_ms);
	chain_room_refresh(c, now_ms);
	reason = chain_admit(c, job, now_ms, &retry_ms);
	count_admission(c, job, reason && n_done == 0);
	if (reason && n_done == 0) {
		chain_refuse(c, job, reason, retry_ms, now_ms, out);
		return;
	}
	chain_hold_if_late(c, job, now_ms);
	report_admitted(job, now_ms, out);
	chain_advance_job(c, job, now_ms, out);
	chain_dispatch(c, now_ms, out);
}

bool chain_stage_storage_is_low(const struct stage *s)
{
	for (uint32_t i = 0; i < s->n_pieces; i++) {
		const struct upstream *u = s->pieces[i].producer;
		if (u && !s->pieces[i].freed &&
		    (double)u->used_bytes >
			    CHAIN_STORAGE_LOW_SHARE * (double)u->pool->doc.room_bytes)
			return true;
	}
	return false;
}

bool chain_job_storage_is_low(const struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (chain_stage_storage_is_low(&job->stages[i]))
			return true;
	}
	return false;
}

void chain_mark_fetched(struct chain_sched *c, uint64_t id, int64_t now_ms, GArray *out)
{
	struct job *job = g_hash_table_lookup(c->jobs, &id);

	if (!job || !job->delivered)
		return;
	job->fetched = true;
	if (!chain_job_storage_is_low(job) || !policy_is_on(c->off, POLICY_EARLY_RELEASE))
		return; /* chain_run_timers() checks again on each tick */
	chain_drop_job(c, job);
	chain_dispatch(c, now_ms, out);
}

void chain_release(struct chain_sched *c, uint64_t id, int64_t now_ms, GArray *out)
{
	struct job *job = g_hash_table_lookup(c->jobs, &id);

	if (!job)
		return;
	chain_drop_job(c, job);
	chain_dispatch(c, now_ms, out);
}

bool chain_contains(const struct chain_sched *c, uint64_t job)
{
	return g_hash_table_contains(c->jobs, &job);
}

uint32_t chain_count_jobs(const struct chain_sched *c)
{
	return c->order->len;
}
