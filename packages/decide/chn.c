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

void chn_free_stage(struct stage *s)
{
	for (uint32_t i = 0; i < s->n_pieces; i++)
		chn_free_piece(s, &s->pieces[i]);
}

void chn_drop_job(struct chn *c, struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++)
		chn_free_stage(&job->stages[i]);
	g_hash_table_remove(c->jobs, &job->id);
	g_ptr_array_remove(c->order, job); /* keeps the order */
	chn_job_free(job);
}

void chn_refuse(struct chn *c, struct job *job, const char *reason, int64_t retry_ms,
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
	chn_drop_job(c, job);
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
			chn_free_stage(&job->stages[i]);
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
		chn_refuse(c, job, reason, retry_ms, now_ms, out);
		return;
	}
	tell_admitted(job, now_ms, out);
	chn_advance(job, now_ms, out);
	chn_dispatch(c, now_ms, out);
}

bool chn_is_scarce(const struct stage *s)
{
	for (uint32_t i = 0; i < s->n_pieces; i++) {
		const struct upstream *u = s->pieces[i].maker;
		if (u && !s->pieces[i].freed &&
		    (double)u->room_used > CHN_SCARCE_SHARE * (double)u->pool->doc.room_bytes)
			return true;
	}
	return false;
}

bool chn_job_is_scarce(const struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (chn_is_scarce(&job->stages[i]))
			return true;
	}
	return false;
}

void chn_fetched(struct chn *c, uint64_t id, int64_t now_ms, GArray *out)
{
	struct job *job = g_hash_table_lookup(c->jobs, &id);

	if (!job || !job->delivered)
		return;
	job->fetched = true;
	if (!chn_job_is_scarce(job))
		return; /* asked again with each tick */
	chn_drop_job(c, job);
	chn_dispatch(c, now_ms, out);
}

void chn_end(struct chn *c, uint64_t id, int64_t now_ms, GArray *out)
{
	struct job *job = g_hash_table_lookup(c->jobs, &id);

	if (!job)
		return;
	chn_drop_job(c, job);
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
