#include "srv_gate.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

#define STATUS_UNAVAILABLE 503
#define LOGGED_UPSTREAMS_MAX 16 /* in one line */
#define MALFORMED_LOG_MS 10000

static double owned_share(void *arg, const char *id)
{
	struct srv *s = arg;
	int64_t now_ms = clock_now_ms();
	const struct gossip_member *owner = gossip_task_owner(s->fleet, id, now_ms);
	uint32_t n_alive;
	uint32_t n_known;

	if (!owner || strcmp(owner->record.peer_address, s->set->peer_address) != 0)
		return 0;
	n_alive = gossip_count_alive(s->fleet, now_ms);
	n_known = MAX(gossip_compute_share(s->fleet, id, now_ms).sharing_nodes, s->set->n_seeds);
	return 2 * n_alive > n_known ? 1 : (double)n_alive / n_known;
}

static bool is_published(void *arg, const char *id)
{
	const struct srv *s = arg;

	return g_hash_table_contains(s->view->upstreams, id);
}

/* Pool upstreams have none: the owner of chains, which alone calls them, bounds what waits there.
 */
static uint32_t slots_of(void *arg, const char *id)
{
	const struct srv *s = arg;
	const struct view_upstream *entry = g_hash_table_lookup(s->view->upstreams, id);

	return entry && !chain_has_upstream(s->chains, id)
		       ? (uint32_t)CLAMP(entry->doc->slots, 0, G_MAXINT32)
		       : 0;
}

static uint32_t in_flight_of(void *arg, const char *id)
{
	const struct srv *s = arg;
	const struct srv_upstream *u = g_hash_table_lookup(s->upstreams, id);

	return u ? u->in_flight : 0;
}

struct gate *srv_gate_new(struct srv *s)
{
	const struct gate_fleet fleet = {
		.owned_share = owned_share,
		.is_published = is_published,
		.slots = slots_of,
		.in_flight = in_flight_of,
		.arg = s,
	};

	return gate_new(&fleet, clock_now_ms());
}

struct gate_run srv_gate_run_of(const struct srv *s, const char *id)
{
	const struct view_upstream *entry = g_hash_table_lookup(s->view->upstreams, id);

	return (struct gate_run){.id = id, .born_ms = entry ? entry->doc->born_ms : 0};
}

bool srv_gate_is_leaving(const struct srv *s, const struct view_upstream *entry)
{
	struct gate_notice notice;

	return gate_get_notice(s->gate, (struct gate_run){entry->doc->id, entry->doc->born_ms},
			       &notice) &&
	       notice.leaving_ms != 0;
}

/* Counts an answer whose fields can't be read; logs it at most once in MALFORMED_LOG_MS. */
static void note_malformed(struct srv *s, const char *id, const char *request, int64_t now_ms)
{
	srv_count(s, SRV_ADVICE_MALFORMED);
	if (s->malformed_logged_ms > 0 && now_ms - s->malformed_logged_ms < MALFORMED_LOG_MS)
		return;
	s->malformed_logged_ms = now_ms;
	log_warn("upstream_advice_malformed", "{s:s, s:s, s:I}", "upstream", id, "request", request,
		 "so_far", (json_int_t)s->counters[SRV_ADVICE_MALFORMED]);
}

static void log_limit(struct gate_run run, double per_s, const char *from, const char *request)
{
	log_info("upstream_limit", "{s:s, s:I, s:b, s:f, s:s, s:s}", "upstream", run.id, "born_ms",
		 (json_int_t)run.born_ms, "limited", per_s >= 0, "per_s", per_s, "from", from,
		 "request", request);
}

static void log_leaving(struct gate_run run, const char *from, const char *request)
{
	log_info("upstream_leaving", "{s:s, s:I, s:s, s:s}", "upstream", run.id, "born_ms",
		 (json_int_t)run.born_ms, "from", from, "request", request);
}

static void log_brittle(struct gate_run run, double per_s, const char *from, const char *request)
{
	log_info("upstream_brittle", "{s:s, s:I, s:b, s:f, s:s, s:s}", "upstream", run.id,
		 "born_ms", (json_int_t)run.born_ms, "brittle", per_s >= 0, "refusals_per_s", per_s,
		 "from", from, "request", request);
}

static void log_refusal(struct gate_run run, int64_t age_ms, const char *from, const char *request)
{
	log_info("upstream_full", "{s:s, s:I, s:I, s:s, s:s}", "upstream", run.id, "born_ms",
		 (json_int_t)run.born_ms, "age_ms", (json_int_t)age_ms, "from", from, "request",
		 request);
}

void srv_gate_log_notice(const struct gate_notice *notice, const char *from, int64_t now_ms)
{
	if (notice->leaving_ms != 0)
		log_leaving(notice->run, from, "");
	else if (notice->limit_ms != 0)
		log_limit(notice->run, notice->limit_per_s, from, "");
	if (notice->brittle_ms != 0)
		log_brittle(notice->run, notice->brittle_per_s, from, "");
	if (notice->refused_ms != 0)
		log_refusal(notice->run, now_ms - notice->refused_ms, from, "");
}

static void note_leaving(struct srv *s, struct gate_run run, const char *request, int64_t now_ms)
{
	if (!gate_note_leaving(s->gate, run, now_ms))
		return;
	log_leaving(run, s->set->peer_address, request);
	srv_gate_tell_all(s, run, now_ms);
	s->is_pool_update_due = true;
}

static void note_limit(struct srv *s, struct gate_run run, int64_t sent_ms,
		       const struct adapter_answer *answer, const char *request, int64_t now_ms)
{
	double per_s = answer->limit == ADAPTER_ADVICE_GIVEN ? answer->limit_per_s : -1;

	/* a malformed field neither names a limit nor ends one */
	if (answer->limit == ADAPTER_ADVICE_MALFORMED)
		return;
	if (!gate_note_limit(s->gate, run, per_s, sent_ms, now_ms))
		return;
	log_limit(run, per_s, s->set->peer_address, request);
	srv_gate_tell_all(s, run, now_ms);
	srv_gate_update_pools(s, now_ms);
}

void srv_gate_spread_brittle(struct srv *s, const char *id, double per_s, int64_t now_ms)
{
	const struct view_upstream *entry = g_hash_table_lookup(s->view->upstreams, id);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (entry && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pub_upstream *doc = ((const struct view_upstream *)value)->doc;
		struct gate_run run = {doc->id, doc->born_ms};
		struct gate_notice notice;
		if (strcmp(doc->service, entry->doc->service) != 0 ||
		    (gate_get_notice(s->gate, run, &notice) && notice.brittle_ms != 0))
			continue;
		gate_note_brittle(s->gate, run, per_s, now_ms, now_ms);
		srv_gate_note_use(s, doc->id);
	}
}

static void note_brittle(struct srv *s, struct gate_run run, int64_t sent_ms,
			 const struct adapter_answer *answer, const char *request, int64_t now_ms)
{
	double per_s = answer->brittle == ADAPTER_ADVICE_GIVEN ? answer->brittle_per_s : -1;

	/* a malformed field says neither that it is brittle nor that it isn't */
	if (answer->brittle == ADAPTER_ADVICE_MALFORMED ||
	    !gate_note_brittle(s->gate, run, per_s, sent_ms, now_ms))
		return;
	log_brittle(run, per_s, s->set->peer_address, request);
	srv_gate_tell_all(s, run, now_ms);
	if (per_s >= 0)
		srv_gate_spread_brittle(s, run.id, per_s, now_ms);
}

static void note_refusal(struct srv *s, struct gate_run run, const char *request, int64_t now_ms)
{
	if (!gate_note_refusal(s->gate, run, now_ms))
		return;
	srv_count(s, SRV_BRITTLE_REFUSALS);
	log_refusal(run, 0, s->set->peer_address, request);
	srv_gate_tell_all(s, run, now_ms);
	srv_gate_update_pools(s, now_ms);
}

static void note_backoff(struct srv *s, struct gate_run run, const struct adapter_answer *answer,
			 const char *request, int64_t now_ms)
{
	gate_note_backoff(s->gate, run, answer->retry_after_ms, now_ms);
	srv_count(s, SRV_BACKOFFS);
	log_info("upstream_backoff", "{s:s, s:I, s:I, s:s}", "upstream", run.id, "born_ms",
		 (json_int_t)run.born_ms, "wait_ms", (json_int_t)answer->retry_after_ms, "request",
		 request);
	srv_gate_update_pools(s, now_ms);
}

void srv_gate_note_answer(struct srv *s, struct gate_run run, int64_t sent_ms, int status,
			  const struct adapter_answer *answer, const char *request)
{
	int64_t now_ms = clock_now_ms();
	enum adapter_advice retry_after =
		status == STATUS_UNAVAILABLE ? answer->retry_after : ADAPTER_ADVICE_NONE;

	if (retry_after == ADAPTER_ADVICE_GIVEN)
		note_backoff(s, run, answer, request, now_ms);
	if (retry_after == ADAPTER_ADVICE_MALFORMED || answer->limit == ADAPTER_ADVICE_MALFORMED ||
	    answer->leaving == ADAPTER_ADVICE_MALFORMED ||
	    answer->brittle == ADAPTER_ADVICE_MALFORMED)
		note_malformed(s, run.id, request, now_ms);
	if (answer->leaving == ADAPTER_ADVICE_GIVEN)
		note_leaving(s, run, request, now_ms);
	note_limit(s, run, sent_ms, answer, request, now_ms);
	note_brittle(s, run, sent_ms, answer, request, now_ms);
	if (status == STATUS_UNAVAILABLE && answer->not_run)
		note_refusal(s, run, request, now_ms);
}

json_t *srv_gate_json(struct srv *s, const struct pub_upstream *doc, bool is_urgent, int64_t now_ms)
{
	struct gate_verdict verdict;
	bool has_end;

	gate_check(s->gate, (struct gate_run){doc->id, doc->born_ms}, is_urgent, now_ms, &verdict);
	has_end = verdict.until_ms != INT64_MAX;
	return json_pack("{s:s, s:s, s:f, s:I, s:I}", "upstream", doc->id, "state",
			 gate_state_name(verdict.state), "per_s", verdict.per_s, "told_ms_ago",
			 verdict.told_ms > 0 ? (json_int_t)(now_ms - verdict.told_ms) : -1,
			 "open_in_ms",
			 has_end ? (json_int_t)MAX(verdict.until_ms - now_ms, 0) : -1);
}

void srv_gate_log_refusal(struct srv *s, const char *request, const char *service, bool is_urgent,
			  int64_t retry_ms)
{
	int64_t now_ms = clock_now_ms();
	json_t *upstreams = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (json_array_size(upstreams) < LOGGED_UPSTREAMS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pub_upstream *doc = ((const struct view_upstream *)value)->doc;
		if (strcmp(doc->service, service) == 0)
			json_array_append_new(upstreams, srv_gate_json(s, doc, is_urgent, now_ms));
	}
	log_info("request_held_back", "{s:s, s:s, s:I, s:o}", "request", request, "service",
		 service, "retry_after_ms", (json_int_t)retry_ms, "upstreams", upstreams);
}

/* Returns "" if the upstream is no longer published. */
static const char *data_centre_of(const struct srv *s, const char *id)
{
	const struct view_upstream *u = g_hash_table_lookup(s->view->upstreams, id);

	return u ? u->doc->data_centre : "";
}

struct http_client_call *srv_gate_call(struct srv *s, struct srv_upstream *u, bool is_urgent,
				       const struct http_client_request *request,
				       const struct http_client_ops *ops, void *arg)
{
	int64_t now_ms = clock_now_ms();
	struct gate_run run = srv_gate_run_of(s, u->id);
	struct gate_verdict verdict;

	gate_check(s->gate, run, is_urgent, now_ms, &verdict);
	if (!gate_take(s->gate, run, is_urgent, now_ms)) {
		srv_count(s, SRV_HELD_BACK);
		log_info("send_held_back", "{s:s, s:s, s:s, s:f, s:I}", "upstream", u->id, "target",
			 request->target, "state", gate_state_name(verdict.state), "per_s",
			 verdict.per_s, "told_ms_ago", (json_int_t)(now_ms - verdict.told_ms));
		return NULL;
	}
	if (verdict.per_s >= 0)
		srv_count(s, SRV_LIMITED_SENDS);
	srv_traffic_note_request(s, data_centre_of(s, u->id),
				 strlen(request->target) + request->len);
	return http_client_start(u->origin, request, ops, arg);
}

void srv_gate_tick(struct srv *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer id;

	if (s->is_pool_update_due) {
		s->is_pool_update_due = false;
		srv_chain_view_changed(s);
	}
	if (now_ms - s->gate_ticked_ms < GATE_TICK_MS)
		return;
	s->gate_ticked_ms = now_ms;
	gate_tick(s->gate, now_ms);
	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		srv_gate_note_use(s, id);
}
