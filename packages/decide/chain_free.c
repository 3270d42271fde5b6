/* Releases results at the upstreams that store them. */
#include "chain_internal.h"

/*
 * Returns whether a limited upstream has so many results to release that calls have to wait: each
 * release takes a permit, but frees any number of results.
 */
static bool is_release_due(const struct upstream *u)
{
	const struct pub_pool *doc = &u->pool->doc;
	uint32_t batch = (uint32_t)MAX(doc->batch_size, 1);

	return u->pending_frees->len >= CHAIN_RELEASE_CALLS * batch ||
	       (doc->room_bytes > 0 &&
		(double)u->pending_free_bytes > CHAIN_RELEASE_SHARE * (double)doc->room_bytes);
}

/* Returns whether results are to be released at the upstream now. */
static bool should_free(const struct upstream *u, bool is_after_calls)
{
	if (u->pending_frees->len == 0 || u->is_held)
		return false;
	return is_after_calls || !chain_upstream_is_limited(u) || is_release_due(u);
}

void chain_send_frees(struct chain_sched *c, bool is_after_calls, GArray *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct upstream *u = value;
		struct chain_cmd cmd = {.kind = CHAIN_CMD_FREE};
		if (!should_free(u, is_after_calls))
			continue;
		u->is_held = chain_upstream_is_limited(u); /* the release takes the permit */
		g_ptr_array_add(u->pending_frees, NULL);
		cmd.upstream = g_strdup(u->id);
		cmd.address = g_strdup(u->address);
		cmd.handles = (char **)g_ptr_array_free(u->pending_frees, FALSE);
		u->pending_frees = g_ptr_array_new_with_free_func(g_free);
		u->pending_free_bytes = 0;
		g_array_append_val(out, cmd);
	}
}
