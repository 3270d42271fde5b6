/*
 * Mechanisms of the adapted path that a setting can switch off, so that tests and measurements can
 * compare a node with and without each. All are on by default.
 */
#ifndef DECIDE_POLICY_H
#define DECIDE_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum policy {
	POLICY_PREFIX_AFFINITY,	 /* engines of a shared prompt prefix by hash */
	POLICY_SESSION_AFFINITY, /* the engine of a session by hash */
	POLICY_NEAR_INPUTS,	 /* engines near a chain's results */
	POLICY_CROSSING_COST,	 /* upstreams near a stage's inputs and results */
	POLICY_LATE_LAST,	 /* late chains behind all others */
	POLICY_SCARCE_ROOM,	 /* stages served whole where room for results is short */
	POLICY_EARLY_RELEASE,	 /* results released once they should have been fetched */
	POLICY_CHAIN_RESTART,	 /* a chain whose results are gone is requested once more */
	POLICY_HEDGES,		 /* a second attempt while an idempotent one is silent */
	POLICY_BACKOFF,		 /* pauses for upstreams that failed */
	POLICY_SLOW_UPSTREAMS,	 /* slowness measured from the duration of calls */
	POLICY_REGION_OWNERS,	 /* an owner for each region where pools are large enough */
	POLICY_REGION_BALANCE,	 /* chains moved to regions where less work waits */
	POLICY_HANDOFF,		 /* chains handed to the next owner */
	POLICY_PROGRESS,	 /* askers are told finished stages */
	POLICY_RETRY_AFTER,	 /* retry-after time by the length of the queue */
	POLICY_QUARANTINE,	 /* prompt parts that crash upstreams are refused */
	POLICY_LATE_BY_ERROR,	 /* late chains in large pools admitted by measured errors */
	POLICY_REPORTED_PACE,	 /* the pace that pool upstreams report */
	POLICY_FAIR_SHARES,	 /* short pools are shared among client accounts */
	POLICY_RESERVED_ROOM,	 /* room for results counted before pieces are made */
	POLICY_EVEN_LOAD,	 /* engines proposed by the owners of regions */
	POLICY_SECOND_ANSWERS,	 /* late duplicates of responses without an id are kept out */
	POLICY_EVEN_LOAD_COST,	 /* the cheapest of them, not the first by hash */
	POLICY_FULL_CALLS,	 /* waits in large pools are estimated from full calls */
	POLICY_INHERITED,	 /* the placements of the former owner, by its successor */
	POLICY_RESUMPTION_CHECK, /* upstreams asked whether they still run before a resumption */
	POLICY_OWNER_SHARES,	 /* shares of accounts count work of other owners */
	POLICIES_N
};

/* Returns the policy with that name in the settings; POLICIES_N if there is none. */
enum policy policy_find(const char *name);

/* Bit i of off is set when policy i is switched off. */
static inline bool policy_is_on(uint32_t off, enum policy policy)
{
	return !(off & (1U << policy));
}

#ifdef __cplusplus
}
#endif

#endif
