#include "decide/lb.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Costs are expressed in ms of additional latency for the caller. */
#define LB_REGION_RTT_MS 24.0
#define LB_DATA_CENTRE_RTT_MS 3.0
#define LB_FAILURE_PENALTY_MS 2000.0 /* at a failure rate of 1 */
#define LB_PERMIT_MS 30.0 /* a trip between regions; permits are left to those who gain most */
#define LB_BLOCKED_PENALTY_MS 20000.0
/* Cost of fetching inputs from another data centre; includes the price of the traffic. */
#define LB_REMOTE_INPUTS_MS 60.0
/*
 * Cost for each request that this node has in progress at the upstream; lower for generations, of
 * which engines run many at a time.
 */
#define LB_IN_FLIGHT_MS 40.0
#define LB_GENERATION_IN_FLIGHT_MS 5.0
/* Factor on the prefill time after a cache miss; above 1 because prefill also costs money. */
#define LB_SESSION_WEIGHT 4.0
/*
 * Factor on the prefill time of a shared prefix; below 1 because every engine soon caches a prefix
 * that many sessions share.
 */
#define LB_PREFIX_WEIGHT 0.3
/*
 * Scale of a cost that breaks ties alike on all nodes, by session: one that isn't served by its
 * first engine has the same second one everywhere, and all sessions together spread.
 */
#define LB_TIE_BREAK_MS 4.0
/*
 * Cost of leaving the engine that an owner proposes; more than distance, remote inputs and a shared
 * prefix cost together, and less than what a failed engine does.
 */
#define LB_PROPOSED_MS 150.0
/* Overloaded candidates up to this share of all leave their load to the others. */
#define LB_SPILL_SHARE_MAX 0.34

/* Returns a hash of key and id that is uniform in [0, 1). */
static double unit_hash(uint64_t key, const char *id)
{
	return (double)(XXH64(id, strlen(id), key) >> 11) / (double)(1ULL << 53);
}

double lb_rank_engine(uint64_t session, const char *id)
{
	return unit_hash(session, id);
}

static double distance_ms(enum lb_distance distance)
{
	static const double costs[] = {0, LB_DATA_CENTRE_RTT_MS, LB_REGION_RTT_MS};

	return costs[distance];
}

/*
 * Returns the index of the candidate that rendezvous hashing assigns to the key, or -1 if key is 0
 * or no candidate is usable. Distance doesn't count, so nodes with the same usable candidates pick
 * the same one.
 */
static int pick_preferred(uint64_t key, const struct lb_candidate *candidates, uint32_t n)
{
	double best = 0;
	int preferred = -1;

	for (uint32_t i = 0; key != 0 && i < n; i++) {
		const struct lb_candidate *c = &candidates[i];
		double at;
		if (c->tried || c->cold || c->full || c->blocked)
			continue;
		at = lb_rank_engine(key, c->id);
		if (preferred < 0 || at < best) {
			best = at;
			preferred = (int)i;
		}
	}
	return preferred;
}

static bool is_usable(const struct lb_candidate *c)
{
	return !c->tried && !c->cold && !c->full && !c->blocked && !c->overloaded;
}

/* Returns the index of the proposed candidate, or -1 if it may not be used. */
static int find_proposed(const struct lb_request *request, const struct lb_candidate *candidates,
			 uint32_t n)
{
	for (uint32_t i = 0; request->proposed && i < n; i++) {
		if (strcmp(candidates[i].id, request->proposed) == 0)
			return is_usable(&candidates[i]) ? (int)i : -1;
	}
	return -1;
}

bool lb_is_proposal_usable(const struct lb_request *request, const struct lb_candidate *candidates,
			   uint32_t n)
{
	return find_proposed(request, candidates, n) >= 0;
}

/* leave_ms: what it costs to leave the preferred candidate; 0 for that one. */
static struct lb_cost cost_of(const struct lb_request *r, const struct lb_candidate *c,
			      double leave_ms)
{
	struct lb_cost cost = {
		.distance_ms = distance_ms(c->distance),
		.in_flight_ms = (r->is_generation ? LB_GENERATION_IN_FLIGHT_MS : LB_IN_FLIGHT_MS) *
				c->in_flight,
		.failures_ms = LB_FAILURE_PENALTY_MS * c->failed,
		.permit_ms = c->needs_permit ? LB_PERMIT_MS : 0,
		.blocked_ms = c->blocked ? LB_BLOCKED_PENALTY_MS : 0,
		.inputs_ms = r->has_inputs && !c->near_inputs ? LB_REMOTE_INPUTS_MS : 0,
		.prefix_ms = r->prefix
				     ? LB_PREFIX_WEIGHT * r->prefix_ms * unit_hash(r->prefix, c->id)
				     : 0,
		.session_ms = leave_ms,
		.tie_break_ms = LB_TIE_BREAK_MS * unit_hash(r->session, c->id),
	};

	cost.total_ms = cost.distance_ms + cost.in_flight_ms + cost.failures_ms + cost.permit_ms +
			cost.blocked_ms + cost.inputs_ms + cost.prefix_ms + cost.session_ms +
			cost.tie_break_ms;
	return cost;
}

double lb_session_ms(const struct lb_request *request)
{
	return request->session ? LB_SESSION_WEIGHT * request->session_ms : 0;
}

/* Returns the preferred candidate, -1 if there is none, and what it costs to leave it. */
static int find_preferred(const struct lb_request *request, const struct lb_candidate *candidates,
			  uint32_t n, double *leave_ms)
{
	int proposed = find_proposed(request, candidates, n);

	*leave_ms = lb_session_ms(request);
	if (proposed < 0)
		return pick_preferred(request->session, candidates, n);
	*leave_ms += LB_PROPOSED_MS;
	return proposed;
}

double lb_cost_ms(const struct lb_request *request, const struct lb_candidate *candidate)
{
	return cost_of(request, candidate, 0).total_ms;
}

int lb_pick(const struct lb_request *request, const struct lb_candidate *candidates, uint32_t n)
{
	double leave_ms;
	int preferred = find_preferred(request, candidates, n, &leave_ms);
	double best_ms = 0;
	int best = -1;

	for (uint32_t i = 0; i < n; i++) {
		const struct lb_candidate *c = &candidates[i];
		double ms;
		if (c->tried || c->cold || c->full)
			continue;
		ms = cost_of(request, c, (int)i == preferred ? 0 : leave_ms).total_ms;
		if (best < 0 || ms < best_ms) {
			best = (int)i;
			best_ms = ms;
		}
	}
	return best;
}

/* Returns a copy in which overloaded candidates count as tried. Free with g_free(). */
static struct lb_candidate *without_overloaded(const struct lb_candidate *candidates, uint32_t n)
{
	struct lb_candidate *open = g_memdup2(candidates, n * sizeof(*candidates));

	for (uint32_t i = 0; i < n; i++)
		open[i].tried |= open[i].overloaded;
	return open;
}

static int pick_open(const struct lb_request *request, const struct lb_candidate *candidates,
		     uint32_t n)
{
	struct lb_candidate *open = without_overloaded(candidates, n);
	int best = lb_pick(request, open, n);

	g_free(open);
	return best;
}

static uint32_t count_overloaded(const struct lb_candidate *candidates, uint32_t n)
{
	uint32_t n_overloaded = 0;

	for (uint32_t i = 0; i < n; i++)
		n_overloaded += candidates[i].overloaded;
	return n_overloaded;
}

void lb_get_costs(const struct lb_request *request, const struct lb_candidate *candidates,
		  uint32_t n, struct lb_cost *costs)
{
	bool is_spilled = count_overloaded(candidates, n) <= LB_SPILL_SHARE_MAX * n;
	struct lb_candidate *open = is_spilled ? without_overloaded(candidates, n) : NULL;
	double leave_ms;
	int preferred = find_preferred(request, open ? open : candidates, n, &leave_ms);

	for (uint32_t i = 0; i < n; i++)
		costs[i] = cost_of(request, &candidates[i], (int)i == preferred ? 0 : leave_ms);
	g_free(open);
}

const char *lb_obstacle(const struct lb_candidate *c)
{
	if (c->tried)
		return "tried";
	if (c->cold)
		return "cold";
	if (c->full)
		return "full";
	if (c->overloaded)
		return "overloaded";
	return c->blocked ? "blocked" : NULL;
}

int lb_pick_sharing(const struct lb_request *request, const struct lb_candidate *candidates,
		    uint32_t n, uint64_t draw)
{
	uint32_t n_overloaded = count_overloaded(candidates, n);
	int best;

	if (n_overloaded == 0)
		return lb_pick(request, candidates, n);
	if (n_overloaded <= LB_SPILL_SHARE_MAX * n)
		return pick_open(request, candidates, n);
	best = lb_pick(request, candidates, n);
	if (best < 0 || !candidates[best].overloaded)
		return best;
	/* the fewer have room, the less of the others' share each of them gets */
	if (!is_usable(&candidates[(draw >> 32) % n]) || !is_usable(&candidates[draw % n]))
		return -1;
	return (int)(draw % n);
}
