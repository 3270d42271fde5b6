#include "decide/sel.h"

#include <string.h>
#include <xxhash.h>

/* All costs are in ms of the caller's time. */
#define SEL_REGION_MS 24.0   /* there and back between regions */
#define SEL_CENTRE_MS 3.0    /* there and back between data centres */
#define SEL_FAILED_MS 2000.0 /* of an upstream that fails every time */
#define SEL_BLOCKED_MS 20000.0
#define SEL_INPUTS_MS 60.0 /* of inputs that cross to another data centre, their price included */
#define SEL_BUSY_MS 40.0   /* of each request that this node has there already */
#define SEL_STREAM_MS 5.0  /* the same where many run at a time */
#define SEL_SESSION                                                                                \
	4.0 /* times what reading a session's part anew takes: it has a price besides              \
	     */
#define SEL_PREFIX                                                                                 \
	0.3	       /* the same of a part that many sessions share: soon every engine holds it  \
			*/
#define SEL_TIE_MS 4.0 /* spreads equal ones, the same for all nodes */

static double unit(uint64_t key, const char *id)
{
	return (double)(XXH64(id, strlen(id), key) >> 11) / (double)(1ULL << 53);
}

static double distance_ms(enum sel_distance distance)
{
	static const double costs[] = {0, SEL_CENTRE_MS, SEL_REGION_MS};

	return costs[distance];
}

/*
 * The first by hash of those that may be used: all nodes agree on it, however many engines there
 * are and however near each is. -1 without a key.
 */
static int home_of(uint64_t key, const struct sel_candidate *candidates, uint32_t n)
{
	double best = 0;
	int home = -1;

	for (uint32_t i = 0; key != 0 && i < n; i++) {
		const struct sel_candidate *c = &candidates[i];
		double at;
		if (c->tried || c->cold || c->full || c->blocked)
			continue;
		at = unit(key, c->id);
		if (home < 0 || at < best) {
			best = at;
			home = (int)i;
		}
	}
	return home;
}

static double cost_ms(const struct sel_request *r, const struct sel_candidate *c, bool is_home)
{
	double ms = distance_ms(c->distance);

	ms += (r->is_generation ? SEL_STREAM_MS : SEL_BUSY_MS) * c->in_flight;
	ms += SEL_FAILED_MS * c->failed;
	if (c->blocked)
		ms += SEL_BLOCKED_MS;
	if (r->has_inputs && !c->beside_inputs)
		ms += SEL_INPUTS_MS;
	if (r->prefix)
		ms += SEL_PREFIX * r->prefix_ms * unit(r->prefix, c->id);
	if (r->session && !is_home)
		ms += SEL_SESSION * r->session_ms;
	return ms + SEL_TIE_MS * unit(0, c->id);
}

int sel_pick(const struct sel_request *request, const struct sel_candidate *candidates, uint32_t n)
{
	int home = home_of(request->session, candidates, n);
	double best_ms = 0;
	int best = -1;

	for (uint32_t i = 0; i < n; i++) {
		const struct sel_candidate *c = &candidates[i];
		double ms;
		if (c->tried || c->cold || c->full)
			continue;
		ms = cost_ms(request, c, (int)i == home);
		if (best < 0 || ms < best_ms) {
			best = (int)i;
			best_ms = ms;
		}
	}
	return best;
}
