/* Choice of an engine for one request. */
#include "spread_internal.h"

#include "decide/lb.h"
#include "model/pub.h"

#include <math.h>
#include <string.h>

/* Bound on an engine's backlog, as a multiple of the mean; see docs/design/hard-load.md. */
#define BOUND 1.25
/*
 * The same for the work placed lately at a session's first engine. The aim is 1.25 for the work
 * that an engine really gets, which requests that owners don't see and caches that they guess
 * change. Other engines of the session get its requests only below the mean, so that these don't
 * push the engine's own sessions out.
 */
#define RECENT_BOUND 1.2
/*
 * The choice by cost: a chain stays at the engine that nodes would choose while the work placed
 * lately there is within a share of the mean. Above it the engine costs more, by SHARE_PRICE_MS
 * at the largest share, and above that it isn't chosen, so that chains leave first that move
 * cheaply. The first share exceeds the mean by this part of what the largest one does. With 410
 * nodes (tests/unit_spread.c) 1.08 times as many parts are read as without proposals, and 1.22
 * times without the price.
 */
#define SHARE_FREE 0.6
#define SHARE_PRICE_MS 40.0
/*
 * Cost of 1 ms of backlog above the bound: above 1 because later requests wait as well. With 1,
 * engines' work changes more from second to second than by chance.
 */
#define WAIT_WEIGHT 1.5
/*
 * Most that reading the session's part again counts at the session's first engine, while another
 * engine keeps it: less than remote results cost, since chains run near the first engine. With the
 * full cost, sessions stay where they were moved to, and up to 1.4 times as many results cross data
 * centres as without proposals; with none, up to 1.25 times as many parts are read again.
 */
#define RETURN_MAX_MS 50.0
/* Weight of the newest request in the mean work of a request. */
#define WORK_GAIN 0.05

static bool is_candidate(const struct engine *e, const struct spread_request *r, int64_t now_ms)
{
	return e->is_usable && now_ms >= e->cold_until_ms && strcmp(e->service, r->service) == 0 &&
	       (!r->regions || pub_allows_region(r->regions, e->region));
}

/* Sums over the engines that may be used. */
struct sums {
	uint32_t n;
	double backlog_us;
	double recent;
	const struct engine *first; /* by hash */
};

static void prepare(struct spread *sp, const struct spread_request *r, int64_t now_ms,
		    struct sums *sums)
{
	*sums = (struct sums){0};
	for (guint i = 0; i < sp->engines->len; i++) {
		struct engine *e = engine_at(sp, i);
		e->is_open = is_candidate(e, r, now_ms);
		if (!e->is_open)
			continue;
		e->order = lb_rank_engine(r->session, e->id);
		e->total_us = spread_total_backlog_us(sp, e, now_ms);
		sums->n++;
		sums->backlog_us += e->total_us;
		e->total_recent = spread_total_recent(sp, e, now_ms);
		sums->recent += e->total_recent;
		if (!sums->first || e->order < sums->first->order)
			sums->first = e;
	}
}

static bool keeps_session(const struct engine *e, uint64_t session)
{
	return e->sessions[session % SESSIONS_N] == session;
}

static enum lb_distance distance(const struct engine *e, const struct spread_request *r)
{
	if (!r->asker_at || g_strcmp0(e->data_centre, r->asker_at) == 0)
		return LB_SAME_DATA_CENTRE;
	return g_strcmp0(e->region, r->asker_region) == 0 ? LB_SAME_REGION : LB_OTHER_REGION;
}

struct limits {
	double backlog_us;
	/* for the work placed lately, at engines that have the session's part and at others */
	double recent;
	double others_recent;
	double share;	 /* the same, up to which engines cost nothing for it */
	double share_ms; /* cost above the share, for each unit of work */
};

static void set_limits(const struct spread *sp, const struct spread_request *r,
		       const struct sums *sums, double work_us, double scale, struct limits *limits)
{
	double mean = sums->recent / sums->n;
	double work = work_us * scale;
	double free_share = 1 + SHARE_FREE * (sp->share_max - 1);

	limits->backlog_us = BOUND * sums->backlog_us / sums->n +
			     (sp->mean_work_us > 0 ? sp->mean_work_us : work_us);
	/* the request may come as near to the mean as half its work, where few make up the mean */
	limits->others_recent = mean - work / 2;
	limits->recent = fmax((r->is_by_cost ? sp->share_max : RECENT_BOUND) * mean - work,
			      limits->others_recent);
	limits->share = fmax(free_share * mean - work, limits->others_recent);
	limits->share_ms = mean > 0 ? SHARE_PRICE_MS / ((sp->share_max - free_share) * mean) : 0;
}

/* Returns what the engine's load costs: waiting, and work above its share. */
static double load_cost_ms(const struct engine *e, const struct limits *limits)
{
	return WAIT_WEIGHT * fmax(e->total_us - limits->backlog_us, 0) / US_PER_MS +
	       fmax(e->total_recent - limits->share, 0) * limits->share_ms;
}

static bool is_kept(const struct spread *sp, uint64_t session)
{
	for (guint i = 0; i < sp->engines->len; i++) {
		if (engine_at(sp, i)->is_open && keeps_session(engine_at(sp, i), session))
			return true;
	}
	return false;
}

/*
 * Sets the engines' costs by the nodes' table, without what owners aren't told: the shared prefix,
 * and the node's requests and failures at the engine. Returns the engine
 * that nodes choose without regard to load; NULL: none may be used.
 */
static struct engine *set_costs(struct spread *sp, const struct spread_request *r,
				const struct engine *first, const struct limits *limits)
{
	const struct lb_request request = {
		.has_inputs = r->results_at != NULL,
		.is_generation = true,
		.session = r->session,
		.session_ms = MIN(r->session_us, SPREAD_WORK_MAX_US) / US_PER_MS,
	};
	double read_ms = lb_session_ms(&request);
	bool is_elsewhere = is_kept(sp, r->session);
	struct engine *own = NULL;
	double own_ms = 0;

	for (guint i = 0; i < sp->engines->len; i++) {
		struct engine *e = engine_at(sp, i);
		const struct lb_candidate candidate = {
			.id = e->id,
			.distance = distance(e, r),
			.near_inputs = g_strcmp0(e->data_centre, r->results_at) == 0,
		};
		double ms;
		double own_cost_ms;
		if (!e->is_open)
			continue;
		ms = lb_cost_ms(&request, &candidate);
		own_cost_ms = ms + (e == first ? 0 : read_ms);
		e->has_session = keeps_session(e, r->session) || (e == first && !is_elsewhere);
		e->may_fill = e->has_session || e == first;
		e->cost = ms + load_cost_ms(e, limits);
		if (!e->has_session)
			e->cost += e == first ? fmin(read_ms, RETURN_MAX_MS) : read_ms;
		if (own && own_cost_ms >= own_ms)
			continue;
		own = e;
		own_ms = own_cost_ms;
	}
	if (own)
		own->may_fill = true;
	return own;
}

/* Sets costs such that engines are chosen in the session's order. */
static void set_order(struct spread *sp, const struct engine *first)
{
	for (guint i = 0; i < sp->engines->len; i++) {
		struct engine *e = engine_at(sp, i);
		e->may_fill = e == first;
		e->cost = e->order;
	}
}

static bool may_use(const struct spread_request *r, const struct engine *e)
{
	return !r->may_use || r->may_use(r->arg, e->id);
}

/*
 * Returns the engine that costs least among those whose work placed lately is within the limits
 * (has_recent) and whose backlog is (has_backlog); NULL: none is.
 */
static struct engine *find_cheapest(const struct spread *sp, const struct spread_request *r,
				    const struct limits *limits, bool has_recent, bool has_backlog)
{
	struct engine *best;

	do {
		best = NULL;
		for (guint i = 0; i < sp->engines->len; i++) {
			struct engine *e = engine_at(sp, i);
			if (!e->is_open || (has_backlog && e->total_us > limits->backlog_us) ||
			    (has_recent && e->total_recent > (e->may_fill ? limits->recent
									  : limits->others_recent)))
				continue;
			if (!best || e->cost < best->cost)
				best = e;
		}
		if (!best || may_use(r, best))
			return best;
		best->is_open = false;
	} while (true);
}

/* Returns whether the engine's load costs nothing. */
static bool is_in_share(const struct engine *e, const struct limits *limits)
{
	return e->total_us <= limits->backlog_us && e->total_recent <= limits->share;
}

/* own: the engine that nodes choose without regard to load. */
static struct engine *choose_by_cost(const struct spread *sp, const struct spread_request *r,
				     struct engine *own, const struct limits *limits)
{
	struct engine *e;

	if (own && own->has_session && is_in_share(own, limits) && may_use(r, own))
		return own;
	e = find_cheapest(sp, r, limits, true, false);
	return e ? e : find_cheapest(sp, r, limits, false, false);
}

static struct engine *choose_by_order(const struct spread *sp, const struct spread_request *r,
				      const struct limits *limits)
{
	struct engine *e = find_cheapest(sp, r, limits, true, true);

	return e ? e : find_cheapest(sp, r, limits, false, true);
}

/* Returns whether the engine presumably keeps the session's part; it does from now on. */
static bool note_session(struct engine *e, uint64_t session)
{
	uint64_t *slot = &e->sessions[session % SESSIONS_N];
	bool is_kept = *slot == session;

	*slot = session;
	return is_kept;
}

static void place(struct spread *sp, struct engine *e, double work_us, double scale, int64_t now_ms)
{
	e->backlog_us = fmin(spread_drain(e->backlog_us, e->at_ms, now_ms) + work_us,
			     SPREAD_BACKLOG_MAX_US);
	e->at_ms = now_ms;
	e->recent += work_us * scale;
	e->is_touched = true;
	sp->mean_work_us = sp->mean_work_us > 0
				   ? sp->mean_work_us + WORK_GAIN * (work_us - sp->mean_work_us)
				   : work_us;
}

bool spread_choose(struct spread *sp, const struct spread_request *r, int64_t now_ms,
		   struct spread_choice *choice)
{
	double work_us = MIN(r->work_us, SPREAD_WORK_MAX_US);
	double scale = spread_scale_at(sp, now_ms);
	struct limits limits;
	struct engine *own = NULL;
	struct engine *e;
	struct sums sums;

	*choice = (struct spread_choice){0};
	if (r->session == 0)
		return false;
	prepare(sp, r, now_ms, &sums);
	if (sums.n == 0)
		return false;
	set_limits(sp, r, &sums, work_us, scale, &limits);
	if (r->is_by_cost) {
		own = set_costs(sp, r, sums.first, &limits);
		e = choose_by_cost(sp, r, own, &limits);
	} else {
		set_order(sp, sums.first);
		e = choose_by_order(sp, r, &limits);
	}
	if (!e)
		return false;
	*choice = (struct spread_choice){
		.id = e->id,
		.is_first = e == sums.first,
		.is_own = e == own,
		.cost_ms = own ? e->cost : 0,
		.backlog_us = (uint32_t)fmin(e->total_us, UINT32_MAX),
		.mean_us = (uint32_t)fmin(sums.backlog_us / sums.n, UINT32_MAX),
		.input_age_ms = spread_oldest_input_ms(sp, now_ms),
	};
	if (!note_session(e, r->session))
		work_us += MIN(r->session_us, SPREAD_WORK_MAX_US);
	place(sp, e, work_us, scale, now_ms);
	return true;
}
