/* Handoff of chains and their stored results to another owner. */
#include "chain_internal.h"

#include <string.h>

void chain_set_regions(struct chain_sched *c, const char *const *owned, uint32_t n)
{
	g_strfreev(c->owned);
	c->owned = g_new0(char *, n + 1);
	for (uint32_t i = 0; i < n; i++)
		c->owned[i] = g_strdup(owned[i]);
}

bool chain_owns_region(const struct chain_sched *c, const char *region)
{
	return !c->owned || !region || g_strv_contains((const char *const *)c->owned, region);
}

static bool is_running(const struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		for (uint32_t k = 0; k < job->stages[i].n_pieces; k++) {
			if (job->stages[i].pieces[k].state == PIECE_RUNNING)
				return true;
		}
	}
	return false;
}

static void copy_doc(const struct job *job, struct chain_job_spec *doc)
{
	struct chain_stage_spec *stages = g_new0(struct chain_stage_spec, job->n_stages + 1);

	for (uint32_t i = 0; i < job->n_stages; i++)
		stages[i] = (struct chain_stage_spec){
			.service = g_strdup(job->stages[i].service),
			.after = job->stages[i].after,
			.pieces = job->stages[i].n_pieces,
			.result_bytes = job->stages[i].result_bytes,
		};
	*doc = (struct chain_job_spec){
		.id = job->id,
		.asker = g_strdup(job->asker),
		.account = g_strdup(job->account),
		.attempt = g_strdup(job->attempt),
		.key = g_strdup(job->key),
		.stages = stages,
		.n_stages = job->n_stages,
		.aim_at_ms = job->aim_at_ms,
		.deadline_at_ms = job->deadline_at_ms,
		.rank = job->rank,
		.data_centre = g_strdup(job->data_centre),
		.region = g_strdup(job->region),
		.regions = g_strdupv(job->regions),
		.prompt = job->prompt,
	};
	doc->prompt.service = g_strdup(job->prompt.service);
}

/* Copies the finished pieces of one stage, or of all stages if stage is -1, to the command. */
static void copy_done(const struct job *job, int stage, struct chain_cmd *cmd)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct chain_stored_result));

	for (uint32_t i = 0; i < job->n_stages; i++) {
		for (uint32_t k = 0; k < job->stages[i].n_pieces; k++) {
			const struct piece *piece = &job->stages[i].pieces[k];
			if (piece->state != PIECE_DONE || (stage >= 0 && i != (uint32_t)stage))
				continue;
			const struct chain_stored_result done = {
				.stage = i,
				.index = k,
				.upstream = g_strdup(piece->producer ? piece->producer->id : ""),
				/* An empty handle marks a result that has been released. */
				.handle = g_strdup(piece->freed ? "" : piece->handle),
			};
			g_array_append_val(list, done);
		}
	}
	cmd->n_done = list->len;
	cmd->done = (struct chain_stored_result *)(void *)g_array_free(list, FALSE);
}

/* Stops counting the storage of the job's results: the next owner counts it. */
static void disown_results(struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		for (uint32_t k = 0; k < job->stages[i].n_pieces; k++) {
			const struct piece *piece = &job->stages[i].pieces[k];
			if (piece->state == PIECE_DONE && piece->producer && !piece->freed)
				piece->producer->used_bytes -= job->stages[i].result_bytes;
		}
	}
}

void chain_report_progress(const struct job *job, GArray *out)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		struct stage *s = &job->stages[i];
		struct chain_cmd cmd = {.kind = CHAIN_CMD_PROGRESS, .job = job->id};
		if (s->reported || s->n_pieces == 0 || s->n_done < s->n_pieces)
			continue;
		s->reported = true;
		cmd.asker = g_strdup(job->asker);
		cmd.attempt = g_strdup(job->attempt);
		copy_done(job, (int)i, &cmd);
		g_array_append_val(out, cmd);
	}
}

void chain_hand_off(struct chain_sched *c, struct job *job, GArray *out)
{
	struct chain_cmd cmd = {.kind = CHAIN_CMD_HANDOFF,
				.job = job->id,
				.asker = g_strdup(job->asker),
				.attempt = g_strdup(job->attempt)};

	copy_doc(job, &cmd.doc);
	copy_done(job, -1, &cmd);
	disown_results(job);
	chain_unhold(c, job);
	g_array_append_val(out, cmd);
	g_hash_table_remove(c->jobs, &job->id);
	g_ptr_array_remove(c->order, job);
	chain_job_free(job);
}

void chain_hand_off_jobs(struct chain_sched *c, int64_t now_ms, GArray *out)
{
	for (guint i = c->order->len; i > 0; i--) {
		struct job *job = g_ptr_array_index(c->order, i - 1);
		if (!job->delivered && !chain_owns_region(c, job->region) && !is_running(job))
			chain_hand_off(c, job, out);
	}
}

static void adopt_result(struct chain_sched *c, struct job *job,
			 const struct chain_stored_result *done, int64_t now_ms)
{
	struct upstream *u = g_hash_table_lookup(c->upstreams, done->upstream);
	struct stage *s;
	struct piece *piece;

	if (done->stage >= job->n_stages || done->index >= job->stages[done->stage].n_pieces)
		return;
	if (!u && done->handle[0] != '\0')
		return; /* unknown upstream: the piece runs again */
	s = &job->stages[done->stage];
	piece = &s->pieces[done->index];
	if (piece->state == PIECE_DONE)
		return;
	piece->state = PIECE_DONE;
	piece->handle = g_strdup(done->handle);
	piece->producer = u;
	piece->done_ms = now_ms;
	piece->freed = done->handle[0] == '\0';
	s->n_done++;
	if (!piece->freed)
		u->used_bytes += s->result_bytes;
}

void chain_adopt_results(struct chain_sched *c, struct job *job,
			 const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms)
{
	for (uint32_t i = 0; i < n_done; i++)
		adopt_result(c, job, &done[i], now_ms);
	chain_requeue_inputs(job);
}

void chain_clear_handoff(struct chain_cmd *cmd)
{
	for (uint32_t i = 0; i < cmd->n_done; i++) {
		g_free(cmd->done[i].upstream);
		g_free(cmd->done[i].handle);
	}
	g_free(cmd->done);
	for (uint32_t i = 0; i < cmd->doc.n_stages; i++)
		g_free(cmd->doc.stages[i].service);
	g_free((void *)cmd->doc.stages);
	g_free((void *)cmd->doc.asker);
	g_free((void *)cmd->doc.account);
	g_free((void *)cmd->doc.attempt);
	g_free((void *)cmd->doc.key);
	g_free((void *)cmd->doc.data_centre);
	g_free((void *)cmd->doc.region);
	g_strfreev((char **)cmd->doc.regions);
	g_free((void *)cmd->doc.prompt.service);
}
