/* Checks the handles of results before a call is completed: a late duplicate names known ones. */
#include "chain_internal.h"

/* Returns whether a handle of the response is that of another piece of the job. */
static bool names_other_piece(const struct job *job, const struct call_piece *at,
			      const char *own_handle, GHashTable *handles)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		for (uint32_t k = 0; k < s->n_pieces; k++) {
			const char *handle = s->pieces[k].handle;
			bool is_same_piece = i == at->stage && k == at->index;
			if (!handle || !g_hash_table_contains(handles, handle))
				continue;
			if (!is_same_piece || g_strcmp0(handle, own_handle) != 0)
				return true;
		}
	}
	return false;
}

bool chain_accepts_results(const struct chain_sched *c, uint64_t id,
			   const struct chain_piece_result *results, uint32_t n)
{
	const struct call *call = g_hash_table_lookup(c->calls, &id);
	GHashTable *handles;
	bool accepts = true;

	if (!call || !policy_is_on(c->off, POLICY_SECOND_ANSWERS))
		return true;
	handles = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = 0; i < n && accepts; i++) {
		if (results[i].fault == CHAIN_PIECE_OK)
			accepts = g_hash_table_add(handles, (gpointer)results[i].handle);
	}
	for (uint32_t i = 0; i < n && i < call->n && accepts; i++) {
		const struct job *job = g_hash_table_lookup(c->jobs, &call->pieces[i].job);
		if (job)
			accepts = !names_other_piece(job, &call->pieces[i], results[i].handle,
						     handles);
	}
	g_hash_table_unref(handles);
	return accepts;
}
