#include "decide/policy.h"

#include <string.h>

static const char *const names[POLICIES_N] = {
	[POLICY_PREFIX_AFFINITY] = "prefix_affinity",
	[POLICY_SESSION_AFFINITY] = "session_affinity",
	[POLICY_NEAR_INPUTS] = "near_inputs",
	[POLICY_CROSSING_COST] = "crossing_cost",
	[POLICY_LATE_LAST] = "late_last",
	[POLICY_SCARCE_ROOM] = "scarce_room",
	[POLICY_EARLY_RELEASE] = "early_release",
	[POLICY_CHAIN_RESTART] = "chain_restart",
	[POLICY_HEDGES] = "hedges",
	[POLICY_BACKOFF] = "backoff",
	[POLICY_SLOW_UPSTREAMS] = "slow_upstreams",
	[POLICY_REGION_OWNERS] = "region_owners",
	[POLICY_REGION_BALANCE] = "region_balance",
	[POLICY_HANDOFF] = "handoff",
	[POLICY_PROGRESS] = "progress",
	[POLICY_RETRY_AFTER] = "retry_after",
	[POLICY_QUARANTINE] = "quarantine",
	[POLICY_LATE_BY_ERROR] = "late_by_error",
	[POLICY_REPORTED_PACE] = "reported_pace",
	[POLICY_FAIR_SHARES] = "fair_shares",
	[POLICY_RESERVED_ROOM] = "reserved_room",
	[POLICY_EVEN_LOAD] = "even_load",
	[POLICY_SECOND_ANSWERS] = "second_answers",
	[POLICY_EVEN_LOAD_COST] = "even_load_cost",
	[POLICY_FULL_CALLS] = "full_calls",
	[POLICY_INHERITED] = "placements_inherited",
	[POLICY_RESUMPTION_CHECK] = "resumption_check",
	[POLICY_OWNER_SHARES] = "owner_shares",
};

enum policy policy_find(const char *name)
{
	for (int i = 0; i < POLICIES_N; i++) {
		if (strcmp(names[i], name) == 0)
			return (enum policy)i;
	}
	return POLICIES_N;
}
