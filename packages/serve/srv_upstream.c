/* Upstream health as observed by this node, retry budgets, and the choice of an upstream. */
#include "srv_gate.h"
#include "srv_req_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Block after an attempt without an answer; doubles with each consecutive one. */
#define BLOCK_MS 1000
#define BLOCK_MAX_MS 8000     /* an upstream's entry expires after three heartbeats, about 4 s */
#define OVERLOAD_BLOCK_MS 150 /* a full upstream has completed some requests by then */
#define FAILURE_GAIN 0.3      /* weight of the newest outcome in the failure rate */
#define FAILURE_HALF_LIFE_MS 3000.0
/* An upstream is deleted this long after it left the published view. */
#define UNPUBLISHED_KEEP_MS 20000
/* Share of a retry limit that is used: requests leave the nodes' windows at different times. */
#define BUDGET_HEADROOM 0.7
#define CONNECTIONS_MIN 2
#define VERSION_NEWS_MS 1500 /* an upstream that has started writes its entry within this time */
#define MS_PER_S 1000.0

static void free_upstream(struct srv_upstream *u)
{
	srv_run_check_free(u);
	http_client_origin_free(u->origin);
	g_free(u->id);
	g_free(u->address);
	g_free(u);
}

void srv_upstream_note_closed(const struct srv_upstream *u, enum srv_counter reason)
{
	static const char *const names[] = {
		[SRV_CLOSED_REFUSAL] = "refusal",
		[SRV_CLOSED_REASON] = "reason",
		[SRV_CLOSED_REPEATED] = "repeated_handle",
	};

	srv_count(u->srv, reason);
	log_info("upstream_connection_closed", "{s:s, s:s}", "upstream", u->id, "reason",
		 names[reason]);
}

static void on_connection(void *arg, enum http_client_event event)
{
	static const enum reach_event events[] = {
		[HTTP_CLIENT_CONNECTED] = REACH_CONNECTED,
		[HTTP_CLIENT_UNCONNECTED] = REACH_FAILED,
		[HTTP_CLIENT_RESET] = REACH_RESET,
	};
	const struct srv_upstream *u = arg;

	if (event == HTTP_CLIENT_REPLACED) {
		srv_upstream_note_closed(u, SRV_CLOSED_REFUSAL);
		return;
	}
	if (event == HTTP_CLIENT_CONNECTED)
		srv_count(u->srv, SRV_CONNECTIONS_OPENED);
	srv_reach_note(u->srv, u->id, events[event], clock_now_ms());
}

/* Called when it is no longer in the table: frees it unless requests refer to it. */
static void detach(struct srv_upstream *u)
{
	u->is_detached = true;
	if (u->n_refs == 0)
		free_upstream(u);
}

void srv_upstream_ref(struct srv_upstream *u)
{
	u->n_refs++;
}

void srv_upstream_unref(struct srv_upstream *u)
{
	u->n_refs--;
	if (u->is_detached && u->n_refs == 0)
		free_upstream(u);
}

struct srv_upstream *srv_upstream_get(struct srv *s, const char *id, const char *address)
{
	struct srv_upstream *u = g_hash_table_lookup(s->upstreams, id);

	if (u && strcmp(u->address, address) == 0)
		return u;
	if (u) { /* calls in progress refer to the former one */
		g_hash_table_steal(s->upstreams, id);
		detach(u);
	}
	u = g_new0(struct srv_upstream, 1);
	u->srv = s;
	u->id = g_strdup(id);
	u->address = g_strdup(address);
	u->origin = http_client_origin_new(&s->loop, address);
	u->seen_ms = clock_now_ms();
	if (!u->origin) {
		log_warn("upstream_address", "{s:s, s:s}", "upstream", id, "address", address);
		free_upstream(u);
		return NULL;
	}
	http_client_origin_watch(u->origin, on_connection, u);
	g_hash_table_insert(s->upstreams, u->id, u);
	return u;
}

double srv_upstream_failure_rate(const struct srv_upstream *u, int64_t now_ms)
{
	return u->failure_rate *
	       exp2(-(double)(now_ms - u->failure_rate_ms) / FAILURE_HALF_LIFE_MS);
}

static void update_failure_rate(struct srv_upstream *u, double outcome, int64_t now_ms)
{
	double before = srv_upstream_failure_rate(u, now_ms);

	u->failure_rate = before + FAILURE_GAIN * (outcome - before);
	u->failure_rate_ms = now_ms;
}

uint64_t srv_upstream_run_hash(const char *id, int64_t born_ms)
{
	return XXH64(id, strlen(id), (uint64_t)born_ms);
}

void srv_upstream_note_success(struct srv_upstream *u, int64_t now_ms)
{
	u->fails = 0;
	u->blocked_until_ms = 0;
	u->is_reported = false;
	update_failure_rate(u, 0, now_ms);
}

void srv_upstream_note_failure(struct srv *s, struct srv_upstream *u, enum srv_failure failure,
			       int64_t now_ms)
{
	if (failure == SRV_FAILURE_OVERLOADED) {
		u->blocked_until_ms = MAX(u->blocked_until_ms, now_ms + OVERLOAD_BLOCK_MS);
		return;
	}
	if (failure == SRV_FAILURE_UNREACHABLE) {
		u->unreachable_ms = now_ms;
		srv_reach_note(s, u->id, REACH_FAILED, now_ms);
	}
	update_failure_rate(u, 1, now_ms);
	if (failure == SRV_FAILURE_BROKEN || !srv_has_policy(s, POLICY_BACKOFF))
		return;
	u->blocked_until_ms = now_ms + MIN(BLOCK_MS << MIN(u->fails, 4), BLOCK_MAX_MS);
	u->fails++;
	u->is_reported = false;
	log_info("upstream_blocked", "{s:s, s:s, s:i, s:I}", "upstream", u->id, "address",
		 u->address, "fails", (int)u->fails, "wait_ms",
		 (json_int_t)(u->blocked_until_ms - now_ms));
}

void srv_upstream_note_report(struct srv *s, const char *id, int64_t wait_ms, int64_t now_ms)
{
	struct srv_upstream *u = g_hash_table_lookup(s->upstreams, id);

	if (!u || u->blocked_until_ms > now_ms)
		return;
	u->blocked_until_ms = now_ms + MIN(wait_ms, BLOCK_MAX_MS);
	u->is_reported = true;
}

struct budget_window *srv_retry_budget(struct srv *s, const char *service)
{
	struct budget_window *b = g_hash_table_lookup(s->budgets, service);

	if (!b) {
		b = g_new0(struct budget_window, 1);
		budget_init(b, (int64_t)(srvconf_number(s->set->retry_window_s) * MS_PER_S));
		g_hash_table_insert(s->budgets, g_strdup(service), b);
	}
	return b;
}

/* Returns this node's share of a fleet-wide limit, among at least as many nodes as seeds. */
static struct gossip_share share_of(const struct srv *s, const char *task, int64_t now_ms)
{
	struct gossip_share share = gossip_compute_share(s->fleet, task, now_ms);

	share.sharing_nodes = MAX(share.sharing_nodes, s->set->n_seeds);
	return share;
}

bool srv_retry_allowed(struct srv *s, const char *service, int64_t now_ms)
{
	const struct budget_limit limit = {
		.ratio = srvconf_number(s->set->retry_ratio),
		.slack = srvconf_number(s->set->retry_slack),
		.nodes = share_of(s, service, now_ms).sharing_nodes,
		.headroom = BUDGET_HEADROOM,
		.started_ms = s->started_ms,
	};

	return budget_allows(srv_retry_budget(s, service), &limit, 1, now_ms);
}

void srv_upstream_sweep(struct srv *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct srv_upstream *u = value;
		http_client_close_idle(u->origin, now_ms);
		if (g_hash_table_contains(s->view->upstreams, u->id)) {
			u->seen_ms = now_ms;
		} else if (u->in_flight == 0 && now_ms - u->seen_ms > UNPUBLISHED_KEEP_MS) {
			g_hash_table_iter_remove(&iter);
			detach(u);
		}
	}
}

static bool is_tried(const char *const *tried, const char *id)
{
	for (; *tried; tried++) {
		if (strcmp(*tried, id) == 0)
			return true;
	}
	return false;
}

static enum lb_distance distance_to(const struct srv *s, const char *data_centre)
{
	if (strcmp(s->set->data_centre, data_centre) == 0)
		return LB_SAME_DATA_CENTRE;
	if (strcmp(s->set->region, srvconf_region_of(s->set, data_centre)) == 0)
		return LB_SAME_REGION;
	return LB_OTHER_REGION;
}

static uint32_t connection_share(const struct srv *s, const struct pub_service *service,
				 int64_t now_ms)
{
	uint32_t nodes = gossip_count_alive(s->fleet, now_ms);

	if (!service || service->max_connections <= 0)
		return UINT32_MAX;
	return MAX((uint32_t)service->max_connections / nodes, CONNECTIONS_MIN);
}

/* Takes a token of the upstream's budget while it is cold; an explanation only looks. */
static bool is_cold_budget_spent(struct srv *s, const struct srv_pick_criteria *want,
				 const struct view_upstream *entry, struct srv_upstream *u,
				 int64_t now_ms)
{
	struct gossip_share share = share_of(s, entry->doc->id, now_ms);
	const struct pub_service *service = want->service;
	const struct budget_cold_limit cold = {
		.per_s = service->cold_per_s,
		.burst = srvconf_number(s->set->cold_slack) +
			 service->cold_per_s * (srvconf_number(s->set->cold_factor) - 1),
		.sharing_nodes = share.sharing_nodes,
		.recent = share.recent,
		.rank = share.rank,
		.started_ms = s->started_ms,
	};
	struct budget_token_bucket copy = u->cold;

	return !budget_take_cold(want->trace ? &copy : &u->cold, &cold, now_ms);
}

/*
 * Returns whether the upstream is known to run the version of its entry. One that couldn't be
 * reached may have started again with another version, which its entry says soon.
 */
static bool is_version_certain(const struct srv *s, const struct srv_upstream *u,
			       const struct pub_upstream *doc, int64_t now_ms)
{
	int64_t as_of_ms = stream_origin_as_of_ms(s->origins);

	return strcmp(u->address, doc->address) == 0 && srv_origin_is_view_fresh(s, now_ms) &&
	       (u->unreachable_ms == 0 || as_of_ms >= u->unreachable_ms + VERSION_NEWS_MS);
}

/* Returns whether the request may be sent to an upstream of that version. */
static bool is_version_wanted(const struct srv *s, const struct srv_pick_criteria *want,
			      const struct srv_upstream *u, const struct pub_upstream *doc,
			      int64_t now_ms)
{
	if (want->version) {
		if (strcmp(want->version, doc->version) != 0 ||
		    (want->only && strcmp(want->only, doc->id) != 0) ||
		    !is_version_certain(s, u, doc, now_ms) ||
		    (want->candidates &&
		     !g_strv_contains((const char *const *)want->candidates, doc->id)))
			return false;
		if (!srv_run_check_has_failed(u, now_ms))
			return true;
		want->report->n_unconfirmed++;
		return false;
	}
	return !want->is_settled ||
	       stream_origin_is_settled(s->origins, doc->service, doc->version, now_ms);
}

/* Returns why nothing may be sent, and notes it in the report; NULL if it is a candidate. */
static const char *check_gate(struct srv *s, const struct srv_pick_criteria *want,
			      const struct pub_upstream *doc, struct lb_candidate *c,
			      int64_t now_ms)
{
	struct gate_verdict verdict;

	(want->trace ? gate_peek : gate_check)(s->gate, (struct gate_run){doc->id, doc->born_ms},
					       want->is_urgent, now_ms, &verdict);
	if (verdict.state == GATE_LEAVING)
		return "leaving";
	want->report->n_usable++;
	c->needs_permit = verdict.state != GATE_OPEN;
	c->overloaded = verdict.is_overloaded &&
			(verdict.state == GATE_FULL || verdict.state == GATE_LIMITED);
	if (verdict.state != GATE_LIMITED && verdict.state != GATE_BACKOFF &&
	    verdict.state != GATE_FULL)
		return c->needs_permit && want->is_immediate ? "permit" : NULL;
	want->report->n_closed++;
	if (verdict.state == GATE_LIMITED && verdict.per_s >= 0) {
		want->report->n_limited++;
		want->report->per_s += verdict.per_s;
	}
	want->report->open_at_ms = MIN(want->report->open_at_ms, verdict.until_ms);
	return c->overloaded ? NULL : "gated";
}

/*
 * Returns the upstream as srv_upstream_get() would; one that isn't known yet, or has moved, is
 * filled into fresh.
 */
static struct srv_upstream *peek_upstream(struct srv *s, const struct pub_upstream *doc,
					  struct srv_upstream *fresh)
{
	struct srv_upstream *u = g_hash_table_lookup(s->upstreams, doc->id);

	if (u && strcmp(u->address, doc->address) == 0)
		return u;
	*fresh = (struct srv_upstream){.srv = s, .id = doc->id, .address = doc->address};
	return fresh;
}

static const char *check_entry(const struct srv *s, const struct srv_pick_criteria *want,
			       const struct view_upstream *entry)
{
	const char *obstacle = view_obstacle(s->view, entry);

	if (obstacle)
		return obstacle;
	return pub_allows_region(want->regions, srvconf_region_of(s->set, entry->doc->data_centre))
		       ? NULL
		       : "other region";
}

/* An upstream of the service, and why it isn't a candidate. */
struct option {
	const struct view_upstream *entry;
	struct srv_upstream *u;
	const char *obstacle; /* NULL: it is one */
};

/* Fills the candidate if there is no obstacle, and in an explanation in any case. */
static void fill_candidate(struct srv *s, const struct srv_pick_criteria *want,
			   struct option *option, struct lb_candidate *c,
			   struct srv_upstream *fresh, int64_t now_ms)
{
	const struct pub_upstream *doc = option->entry->doc;
	struct srv_upstream *u;

	option->obstacle = check_entry(s, want, option->entry);
	if (option->obstacle && !want->trace)
		return;
	u = fresh ? peek_upstream(s, doc, fresh) : srv_upstream_get(s, doc->id, doc->address);
	option->u = u;
	if (!option->obstacle && (!u || !is_version_wanted(s, want, u, doc, now_ms)))
		option->obstacle = u ? "other version" : "invalid address";
	if (!u || (option->obstacle && !want->trace))
		return;
	*c = (struct lb_candidate){
		.id = doc->id,
		.distance = distance_to(s, doc->data_centre),
		.near_inputs =
			want->data_centre && strcmp(want->data_centre, doc->data_centre) == 0,
		.in_flight = u->in_flight,
		.tried = is_tried(want->tried, doc->id) ||
			 (want->avoided != 0 && want->avoided == stream_origin_hash(doc->id)),
		.blocked = u->blocked_until_ms > now_ms,
		.full = u->in_flight >= connection_share(s, want->service, now_ms),
		.failed = srv_upstream_failure_rate(u, now_ms),
	};
	if (!option->obstacle)
		option->obstacle = check_gate(s, want, doc, c, now_ms);
}

/*
 * Returns the index of the chosen candidate; -1: none. A cold upstream's budget is charged only if
 * it is picked; if spent, pick another.
 */
static int choose(struct srv *s, const struct srv_pick_criteria *want, const struct option *options,
		  struct lb_candidate *candidates, uint32_t n, int64_t now_ms)
{
	struct prng *prng = want->trace ? &want->trace->prng : &s->prng;
	int best;

	while ((best = lb_pick_sharing(&want->select, candidates, n, prng_next(prng))) >= 0 &&
	       (uint32_t)best < n) {
		const struct option *option = &options[best];
		if (candidates[best].needs_permit || !want->service ||
		    want->service->cold_per_s <= 0 || !view_is_cold(option->entry, now_ms) ||
		    !is_cold_budget_spent(s, want, option->entry, option->u, now_ms))
			break;
		candidates[best].cold = true;
	}
	return best;
}

static void add_row(const struct srv *s, const struct srv_pick_criteria *want,
		    const struct option *option, const struct lb_candidate *c,
		    const struct lb_cost *cost, int64_t now_ms)
{
	const struct srv_pick_row row = {
		.doc = option->entry->doc,
		.region = srvconf_region_of(s->set, option->entry->doc->data_centre),
		.obstacle = option->obstacle ? option->obstacle : lb_obstacle(c),
		.is_candidate = !option->obstacle,
		.candidate = *c,
		.cost = *cost,
		.blocked_ms = MAX(option->u->blocked_until_ms - now_ms, 0),
		.failures_age_ms =
			option->u->failure_rate_ms > 0 ? now_ms - option->u->failure_rate_ms : -1,
	};

	g_array_append_val(want->trace->rows, row);
}

static gint compare_rows(gconstpointer left, gconstpointer right)
{
	const struct srv_pick_row *a = left;
	const struct srv_pick_row *b = right;

	if (a->is_picked != b->is_picked)
		return a->is_picked ? -1 : 1;
	if (a->cost.total_ms != b->cost.total_ms)
		return a->cost.total_ms < b->cost.total_ms ? -1 : 1;
	return strcmp(a->doc->id, b->doc->id);
}

/* Lists the candidates with their costs, beside the upstreams that are none. */
static void trace_pick(const struct srv *s, const struct srv_pick_criteria *want,
		       const struct option *options, const struct lb_candidate *candidates,
		       uint32_t n, int best, int64_t now_ms)
{
	struct lb_cost *costs = g_new0(struct lb_cost, n + 1);
	GArray *rows = want->trace->rows;

	lb_get_costs(&want->select, candidates, n, costs);
	for (uint32_t i = 0; i < n; i++) {
		add_row(s, want, &options[i], &candidates[i], &costs[i], now_ms);
		if ((int)i == best)
			g_array_index(rows, struct srv_pick_row, rows->len - 1).is_picked = true;
	}
	g_array_sort(rows, compare_rows);
	g_free(costs);
}

static void trace_obstacle(const struct srv *s, const struct srv_pick_criteria *want,
			   const struct option *option, const struct lb_candidate *c,
			   int64_t now_ms)
{
	struct lb_candidate only = *c;
	struct lb_cost cost;

	only.tried = true; /* so that it isn't the session's first engine */
	lb_get_costs(&want->select, &only, 1, &cost);
	add_row(s, want, option, c, &cost, now_ms);
}

void srv_pick_trace_init(struct srv_pick_trace *trace, const struct srv *s)
{
	*trace = (struct srv_pick_trace){
		.prng = s->prng,
		.rows = g_array_new(FALSE, FALSE, sizeof(struct srv_pick_row)),
	};
}

void srv_pick_trace_clear(struct srv_pick_trace *trace)
{
	g_array_unref(trace->rows);
	g_free(trace->fresh);
}

struct srv_upstream *srv_upstream_pick(struct srv *s, const struct srv_pick_criteria *want,
				       int64_t now_ms)
{
	guint n_max = g_hash_table_size(s->view->upstreams);
	struct lb_candidate *candidates = g_new0(struct lb_candidate, n_max + 1);
	struct option *options = g_new0(struct option, n_max + 1);
	struct srv_upstream *fresh = NULL;
	struct srv_upstream *picked;
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;
	int best;

	*want->report = (struct srv_pick_report){.open_at_ms = INT64_MAX};
	if (want->trace) {
		g_array_set_size(want->trace->rows, 0);
		g_free(want->trace->fresh);
		want->trace->fresh = fresh = g_new0(struct srv_upstream, n_max + 1);
	}
	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct option *option = &options[n];
		option->entry = value;
		if (strcmp(option->entry->doc->service, want->service_name) != 0)
			continue;
		fill_candidate(s, want, option, &candidates[n], fresh, now_ms);
		if (option->obstacle && want->trace)
			trace_obstacle(s, want, option, &candidates[n], now_ms);
		if (fresh)
			fresh++;
		n += !option->obstacle;
	}
	best = choose(s, want, options, candidates, n, now_ms);
	picked = best >= 0 ? options[best].u : NULL;
	if (want->trace)
		trace_pick(s, want, options, candidates, n, best, now_ms);
	want->report->is_proposal_usable = lb_is_proposal_usable(&want->select, candidates, n);
	for (uint32_t i = 0; i < n; i++)
		want->report->n_overloaded += candidates[i].overloaded;
	g_free(candidates);
	g_free(options);
	return picked;
}
