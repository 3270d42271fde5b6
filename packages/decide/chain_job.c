/* Stages of a chain: their dependencies, which of them may start, and the remaining time. */
#include "chain_internal.h"

#include <string.h>

static uint32_t depth_of(const struct job *job, uint32_t index, uint32_t guard)
{
	uint32_t depth = 0;

	for (uint32_t i = 0; i < job->n_stages && guard > 0; i++) {
		if (job->stages[index].after & (1U << i))
			depth = MAX(depth, 1 + depth_of(job, i, guard - 1));
	}
	return depth;
}

static void set_dependencies(struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		struct stage *s = &job->stages[i];
		s->terminal = true;
		s->depth = depth_of(job, i, job->n_stages);
		for (uint32_t k = 0; k < job->n_stages; k++) {
			if (job->stages[k].after & (1U << i))
				s->terminal = false;
		}
	}
}

/* Returns the name under which the chain takes its shares of pools; free with g_free(). */
static char *share_name(const struct job *job)
{
	return job->account ? g_strdup(job->account) : g_strconcat("asker:", job->asker, NULL);
}

static bool is_account_valid(const char *account)
{
	return account && account[0] != '\0' && strlen(account) <= CHAIN_ACCOUNT_BYTES_MAX;
}

/* join enters a stage in its pool. */
static struct job *new_job(struct chain_sched *c, const struct chain_job_spec *doc,
			   void (*join)(const struct job *job, struct stage *s))
{
	struct job *job = g_new0(struct job, 1);

	job->id = doc->id;
	job->asker = g_strdup(doc->asker);
	job->account = is_account_valid(doc->account) ? g_strdup(doc->account) : NULL;
	job->share_name = share_name(job);
	job->attempt = g_strdup(doc->attempt);
	job->key = g_strdup(doc->key);
	job->data_centre = g_strdup(doc->data_centre);
	job->region = g_strdup(doc->region);
	job->regions = g_strdupv((char **)doc->regions);
	job->prompt = doc->prompt;
	job->prompt.service = g_strdup(doc->prompt.service);
	job->aim_at_ms = doc->aim_at_ms;
	job->due_at_ms = doc->aim_at_ms;
	job->deadline_at_ms = doc->deadline_at_ms;
	job->rank = doc->rank;
	job->n_stages = doc->n_stages;
	job->stages = g_new0(struct stage, doc->n_stages + 1);
	for (uint32_t i = 0; i < doc->n_stages; i++) {
		struct stage *s = &job->stages[i];
		s->service = g_strdup(doc->stages[i].service);
		s->pool = g_hash_table_lookup(c->pools, s->service);
		s->after = doc->stages[i].after;
		s->result_bytes = doc->stages[i].result_bytes;
		s->n_pieces = doc->stages[i].pieces;
		s->pieces = g_new0(struct piece, s->n_pieces + 1);
		join(job, s);
	}
	set_dependencies(job);
	return job;
}

struct job *chain_job_new(struct chain_sched *c, const struct chain_job_spec *doc)
{
	return new_job(c, doc, chain_share_join);
}

struct job *chain_job_new_preview(struct chain_sched *c, const struct chain_job_spec *doc)
{
	return new_job(c, doc, chain_share_lend);
}

void chain_job_free_preview(struct job *job)
{
	chain_share_return(job);
	chain_job_free(job);
}

void chain_job_free(struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		for (uint32_t k = 0; k < job->stages[i].n_pieces; k++)
			g_free(job->stages[i].pieces[k].handle);
		chain_share_leave(&job->stages[i]);
		g_free(job->stages[i].pieces);
		g_free(job->stages[i].service);
	}
	g_free(job->stages);
	g_free(job->asker);
	g_free(job->account);
	g_free(job->share_name);
	g_free(job->attempt);
	g_free(job->key);
	g_free(job->data_centre);
	g_free(job->region);
	g_strfreev(job->regions);
	g_free((void *)job->prompt.service);
	g_free(job);
}

static bool is_done(const struct stage *s)
{
	return s->n_done == s->n_pieces;
}

static bool has_inputs(const struct job *job, const struct stage *s)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		if ((s->after & (1U << i)) && !is_done(&job->stages[i]))
			return false;
	}
	return true;
}

static uint32_t max_stage_depth(const struct job *job)
{
	uint32_t depth = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (job->stages[i].n_pieces > 0)
			depth = MAX(depth, job->stages[i].depth);
	}
	return depth;
}

/*
 * Returns whether a stage should start later although its inputs exist. A stage whose results only
 * the engine uses starts together with the last stage of the longest path; if it started earlier,
 * its results would take storage until the end of the chain.
 */
static bool is_deferred(const struct job *job, const struct stage *s, uint32_t max_depth)
{
	if (!s->terminal || s->depth == max_depth)
		return false;
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *other = &job->stages[i];
		if (other->n_pieces > 0 && other->depth == max_depth && has_inputs(job, other))
			return false;
	}
	return true;
}

bool chain_open_stages(struct job *job)
{
	uint32_t max_depth = max_stage_depth(job);
	bool done = true;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		struct stage *s = &job->stages[i];
		done = done && is_done(s);
		s->open = !job->held && !is_done(s) && has_inputs(job, s) &&
			  !is_deferred(job, s, max_depth);
	}
	return done;
}

/* Returns the duration of one call of the stage, without any wait; 0 when the stage is done. */
static int64_t stage_call_ms(const struct stage *s)
{
	const struct pub_pool *doc = s->pool ? &s->pool->doc : NULL;

	if (is_done(s) || !doc)
		return 0;
	return (int64_t)(doc->call_ms + doc->piece_ms * MIN((int32_t)s->n_pieces, doc->batch_size));
}

static int64_t remaining_from(const struct job *job, uint32_t index, uint32_t guard)
{
	int64_t longest_ms = 0;

	for (uint32_t i = 0; i < job->n_stages && guard > 0; i++) {
		if (job->stages[i].after & (1U << index))
			longest_ms = MAX(longest_ms, remaining_from(job, i, guard - 1));
	}
	return longest_ms + stage_call_ms(&job->stages[index]);
}

int64_t chain_job_remaining_ms(const struct job *job)
{
	int64_t rest_ms = 0;

	for (uint32_t i = 0; i < job->n_stages; i++) {
		if (!is_done(&job->stages[i]))
			rest_ms = MAX(rest_ms, remaining_from(job, i, job->n_stages));
	}
	return rest_ms + CHAIN_FIRST_TOKEN_MS;
}

static uint32_t stages_after(const struct job *job, uint32_t index, uint32_t guard)
{
	uint32_t longest = 0;

	for (uint32_t i = 0; i < job->n_stages && guard > 0; i++) {
		if ((job->stages[i].after & (1U << index)) && job->stages[i].n_pieces > 0)
			longest = MAX(longest, 1 + stages_after(job, i, guard - 1));
	}
	return longest;
}

int64_t chain_job_sort_key_ms(const struct job *job)
{
	return job->due_at_ms + job->rank * CHAIN_RANK_STEP_MS;
}

int64_t chain_stage_due_ms(const struct job *job, const struct stage *stage)
{
	uint32_t index = (uint32_t)(stage - job->stages);
	int64_t rest = 1 + (int64_t)stages_after(job, index, job->n_stages);

	return chain_job_sort_key_ms(job) - CHAIN_FIRST_TOKEN_MS - rest * CHAIN_STAGE_TIME_MS;
}
