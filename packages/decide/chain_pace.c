/* The reported pace of pool upstreams in the chain scheduler. */
#include "chain_internal.h"

#include <math.h>

#define PCT 100.0

bool chain_note_pace(struct chain_sched *c, const char *upstream, int64_t born_ms, int32_t pace_pct,
		     int64_t now_ms)
{
	struct upstream *u = g_hash_table_lookup(c->upstreams, upstream);

	if (!u || !policy_is_on(c->off, POLICY_REPORTED_PACE))
		return false;
	return pace_note(&u->pace, &u->pool->usual_pace, born_ms, pace_pct, now_ms);
}

bool chain_get_pace(const struct chain_sched *c, const char *upstream, int64_t now_ms,
		    int32_t *pace_pct, int64_t *age_ms)
{
	const struct upstream *u = g_hash_table_lookup(c->upstreams, upstream);

	if (!u || !u->pace.reported)
		return false;
	*pace_pct = (int32_t)lround(PCT * pace_at(&u->pace, &u->pool->usual_pace, now_ms));
	*age_ms = pace_age_ms(&u->pace, now_ms);
	return true;
}

double chain_pace_factor(const struct upstream *u, int64_t from_ms, double call_ms)
{
	return pace_over(&u->pace, &u->pool->usual_pace, from_ms, call_ms);
}

double chain_pace_explained(const struct call *call, double ratio, int64_t now_ms)
{
	const struct upstream *u = call->upstream;

	return pace_explained(ratio, call->pace_factor,
			      pace_at(&u->pace, &u->pool->usual_pace, now_ms));
}
