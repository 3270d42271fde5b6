/*
 * Explains what would be done with a request, for operators: runs the decisions on a request that
 * exists for this alone, and reports them with their inputs. Nothing is sent, and nothing that
 * later decisions depend on is changed.
 */
#include "srv_explain_int.h"

#include "srv_gate.h"
#include "srv_poison.h"

#include "base/clock.h"

#include <string.h>

#define CANDIDATES_MAX 64
#define OUTCOME_SENT "sent"
#define OUTCOME_RELAYED "relayed"
#define OUTCOME_UNDECIDED "undecided"

void srv_explain_add_input(json_t *inputs, const char *name, json_t *value, int64_t age_ms)
{
	json_array_append_new(inputs, json_pack("{s:s, s:o, s:I}", "input", name, "value", value,
						"age_ms", (json_int_t)age_ms));
}

json_t *srv_explain_add_decision(struct srv_explain *e, const char *name, const char *outcome)
{
	json_t *inputs = json_array();

	json_array_append_new(e->decisions, json_pack("{s:s, s:s, s:o}", "decision", name,
						      "outcome", outcome, "inputs", inputs));
	return inputs;
}

static json_t *text_or_null(const char *text)
{
	return text ? json_string(text) : json_null();
}

void srv_explain_set_result(struct srv_explain *e, const char *outcome, int status,
			    int64_t retry_ms, const char *reason)
{
	json_object_set_new(e->root, "result", json_string(outcome));
	json_object_set_new(e->root, "reason", text_or_null(reason));
	if (status > 0)
		json_object_set_new(e->root, "status", json_integer(status));
	if (retry_ms > 0)
		json_object_set_new(e->root, "retry_after_ms", json_integer(retry_ms));
}

int64_t srv_explain_view_age_ms(const struct srv_explain *e)
{
	return srv_feed_age_ms(e->s->feed, e->now_ms);
}

static void add_route(struct srv_explain *e)
{
	const struct srv_req *r = &e->req;
	int64_t age_ms = srv_explain_view_age_ms(e);
	json_t *inputs;

	if (!r->doc)
		return;
	inputs = srv_explain_add_decision(e, "route", r->route ? r->route->name : "none");
	srv_explain_add_input(inputs, "configuration_version", json_integer(r->doc->version),
			      age_ms);
	srv_explain_add_input(inputs, "host", text_or_null(r->meta.host), 0);
	srv_explain_add_input(inputs, "target", json_string(r->http->target), 0);
	if (!r->route)
		return;
	inputs = srv_explain_add_decision(e, "account", r->account ? r->account->name : "none");
	srv_explain_add_input(inputs, "needs_key",
			      json_boolean(r->doc->needs_key && !r->route->is_public), age_ms);
	srv_explain_add_input(inputs, "has_key", json_boolean(r->meta.key != NULL), 0);
}

static const char *poison_name(enum poison_state state)
{
	switch (state) {
	case POISON_CLEAR:
		return "clear";
	case POISON_SUSPECTED:
		return "suspected";
	case POISON_TRIAL:
		return "trial";
	case POISON_REFUSED:
		return "refused";
	}
	return "";
}

static const char *quarantine_name(enum quarantine_state state)
{
	switch (state) {
	case QUARANTINE_CLEAR:
		return "clear";
	case QUARANTINE_DOUBTED:
		return "doubted";
	case QUARANTINE_TRIAL:
		return "trial";
	case QUARANTINE_BLOCKED:
		return "blocked";
	}
	return "";
}

static int64_t age_of(const struct srv_explain *e, int64_t at_ms)
{
	return at_ms > 0 ? e->now_ms - at_ms : -1;
}

/* A request without its body may differ from the one that crashed upstreams. */
static void add_crashes(struct srv_explain *e, const struct srv_start *start)
{
	json_t *inputs =
		srv_explain_add_decision(e, "crash_of_request", poison_name(start->poison.state));

	srv_explain_add_input(inputs, "upstreams", json_integer(start->poison.n_upstreams),
			      age_of(e, start->poison.last_ms));
	srv_explain_add_input(inputs, "knows_body", json_false(), 0);
	inputs = srv_explain_add_decision(e, "crash_of_prompt_part",
					  quarantine_name(start->quarantine.state));
	srv_explain_add_input(inputs, "crashes", json_integer(start->quarantine.n_crashes),
			      age_of(e, start->quarantine.last_crash_ms));
}

static void add_start(struct srv_explain *e, const struct srv_start *start)
{
	const struct srv_req *r = &e->req;
	bool is_admitted = start->kind != SRV_START_REJECT && start->kind != SRV_START_REFUSE;
	json_t *inputs;

	add_route(e);
	inputs = srv_explain_add_decision(e, "arrival", start->reason ? start->reason : "admitted");
	srv_explain_add_input(inputs, "stopping", json_boolean(e->s->stop_began_ms > 0), 0);
	if (!is_admitted)
		return;
	srv_explain_add_input(inputs, "time_left_ms", json_integer(r->end_at_ms - e->now_ms), 0);
	srv_explain_add_input(inputs, "target_ms", json_integer(r->aim_at_ms - e->now_ms), 0);
	srv_explain_add_input(inputs, "rank", json_integer(r->rank), srv_explain_view_age_ms(e));
	add_crashes(e, start);
	inputs = srv_explain_add_decision(
		e, "reach", start->kind == SRV_START_RELAY ? "relay to another node" : "serve");
	srv_explain_add_input(inputs, "isolated", json_boolean(srv_reach_is_isolated(e->s)),
			      srv_reach_age_ms(e->s, e->now_ms));
	if (start->kind != SRV_START_GO_ON)
		return;
	inputs = srv_explain_add_decision(e, "service", r->service_name);
	srv_explain_add_input(inputs, "shares", json_integer(r->route->n_shares),
			      srv_explain_view_age_ms(e));
}

static void add_costs(json_t *row, const struct lb_cost *cost)
{
	json_object_set_new(row, "cost_ms", json_real(cost->total_ms));
	json_object_set_new(row, "cost_by_component_ms",
			    json_pack("{s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f, s:f}", "distance",
				      cost->distance_ms, "in_progress", cost->in_flight_ms,
				      "failures", cost->failures_ms, "permit", cost->permit_ms,
				      "blocked", cost->blocked_ms, "results_elsewhere",
				      cost->inputs_ms, "session", cost->session_ms, "prefix",
				      cost->prefix_ms, "tie_break", cost->tie_break_ms));
}

static json_t *row_json(const struct srv_explain *e, const struct srv_pick_row *row)
{
	static const char *const distances[] = {
		[LB_SAME_DATA_CENTRE] = "same data centre",
		[LB_SAME_REGION] = "same region",
		[LB_OTHER_REGION] = "other region",
	};
	const struct lb_candidate *c = &row->candidate;
	struct gate_verdict gate;
	json_t *json;

	gate_peek(e->s->gate, (struct gate_run){row->doc->id, row->doc->born_ms},
		  srv_req_is_urgent(&e->req), e->now_ms, &gate);
	json = json_pack("{s:s, s:s, s:s, s:s, s:b, s:b, s:s?, s:i, s:I, s:f, s:I, s:s, s:I}",
			 "upstream", row->doc->id, "data_centre", row->doc->data_centre, "region",
			 row->region, "distance", distances[c->distance], "chosen",
			 (int)row->is_picked, "usable", (int)(row->is_picked || !row->obstacle),
			 "obstacle", row->obstacle, "in_progress", (int)c->in_flight, "blocked_ms",
			 (json_int_t)row->blocked_ms, "failed", c->failed, "failures_age_ms",
			 (json_int_t)row->failures_age_ms, "gate", gate_state_name(gate.state),
			 "gate_age_ms", (json_int_t)age_of(e, gate.told_ms));
	add_costs(json, &row->cost);
	return json;
}

static void add_candidates(struct srv_explain *e)
{
	const GArray *rows = e->trace.rows;
	json_t *list = json_array();

	for (guint i = 0; i < MIN(rows->len, CANDIDATES_MAX); i++)
		json_array_append_new(list,
				      row_json(e, &g_array_index(rows, struct srv_pick_row, i)));
	json_object_set_new(e->root, "candidates", list);
	json_object_set_new(e->root, "candidates_not_listed",
			    json_integer(rows->len - json_array_size(list)));
}

/* Chooses an upstream; the trace names the candidates. NULL: none is available. */
static const struct srv_upstream *pick(struct srv_explain *e)
{
	struct srv_req *r = &e->req;
	const struct srv_upstream *u = srv_req_pick(r, e->now_ms);
	json_t *inputs =
		srv_explain_add_decision(e, "upstream", u ? u->id : srv_req_unserved_reason(r));

	srv_explain_add_input(inputs, "candidates", json_integer(e->trace.rows->len),
			      srv_explain_view_age_ms(e));
	srv_explain_add_input(inputs, "session", json_boolean(r->select.session != 0), 0);
	srv_explain_add_input(inputs, "prefix", json_boolean(r->select.prefix != 0), 0);
	if (r->origin.version)
		srv_explain_add_input(inputs, "stream_version", json_string(r->origin.version),
				      r->origin.age_ms);
	add_candidates(e);
	return u;
}

static bool is_permit_needed(const struct srv_explain *e)
{
	const struct srv_pick_row *row = &g_array_index(e->trace.rows, struct srv_pick_row, 0);

	return row->candidate.needs_permit;
}

/* Explains a request that this node serves itself. */
static void explain_serving(struct srv_explain *e, const struct srv_start *start)
{
	struct srv_req *r = &e->req;
	bool has_chain = srv_req_has_pieces(r);
	const char *reason = has_chain ? NULL : srv_req_no_send_reason(r, e->now_ms);
	const struct srv_upstream *u;

	if (reason) {
		srv_explain_add_decision(e, "sending", reason);
		srv_explain_set_result(e, OUTCOME_REFUSED, 503, srv_req_plan_return(r), reason);
		return;
	}
	u = pick(e);
	if (!u && (!has_chain || srv_req_is_held_back(r))) {
		if (srv_origin_is_none_left(r))
			srv_explain_set_result(e, OUTCOME_REFUSED, 503, 0, SRV_NONE_LEFT_REASON);
		else
			srv_explain_set_result(e, OUTCOME_REFUSED, 503, srv_req_plan_return(r),
					       srv_req_unserved_reason(r));
		return;
	}
	if (has_chain && !srv_explain_chain(e, u))
		return;
	json_object_set_new(e->root, "upstream", text_or_null(u ? u->id : NULL));
	json_object_set_new(e->root, "asks_for_permit", json_boolean(u && is_permit_needed(e)));
	json_object_set_new(e->root, "asks_for_run",
			    json_boolean(start->poison.state == POISON_SUSPECTED));
	srv_explain_set_result(
		e, OUTCOME_SENT, 0, 0,
		has_chain ? "the upstream is chosen anew when the chain's results are ready"
			  : NULL);
}

static void explain_stream(struct srv_explain *e, const struct srv_start *start)
{
	struct stream_origin_decision d;
	json_t *inputs;

	if (!srv_origin_is_resumption(&e->req)) {
		explain_serving(e, start);
		return;
	}
	d = srv_origin_peek(&e->req, e->now_ms);
	inputs = srv_explain_add_decision(e, "stream_version", d.version ? d.version : "unknown");
	srv_explain_add_input(inputs, "source", json_string(stream_origin_source_name(d.source)),
			      d.age_ms);
	switch (d.verdict) {
	case STREAM_ORIGIN_GO_ON:
		explain_serving(e, start);
		return;
	case STREAM_ORIGIN_ASK:
	case STREAM_ORIGIN_READ:
	case STREAM_ORIGIN_WAIT:
		srv_explain_set_result(
			e, OUTCOME_UNDECIDED, 0, 0,
			"other nodes or the source would be asked for the stream's version");
		return;
	case STREAM_ORIGIN_NONE_LEFT:
		srv_explain_set_result(e, OUTCOME_REFUSED, 503, 0, SRV_NONE_LEFT_REASON);
		return;
	case STREAM_ORIGIN_UNKNOWN_YET:
		srv_explain_set_result(e, OUTCOME_REFUSED, 503, SRV_VERSION_RETRY_MS,
				       SRV_VERSION_UNKNOWN_REASON);
		return;
	case STREAM_ORIGIN_UNKNOWN:
		srv_explain_set_result(e, OUTCOME_REFUSED, 503, 0, SRV_VERSION_UNKNOWN_REASON);
		return;
	}
}

static void explain_relay(struct srv_explain *e)
{
	const char *obstacle = srv_relay_obstacle(&e->req);

	if (obstacle)
		srv_explain_set_result(e, OUTCOME_REFUSED, 503, SRV_RELAY_RETRY_MS, obstacle);
	else
		srv_explain_set_result(e, OUTCOME_RELAYED, 0, 0, "this node reaches no upstream");
}

/* Returns the status of the answer. */
static int explain(struct srv_explain *e)
{
	struct srv_start start;

	srv_req_decide_start(&e->req, &start);
	add_start(e, &start);
	switch (start.kind) {
	case SRV_START_REJECT:
	case SRV_START_REFUSE:
		srv_explain_set_result(e, OUTCOME_REFUSED, start.status, start.retry_ms,
				       start.reason);
		break;
	case SRV_START_POISON:
		srv_explain_set_result(e, OUTCOME_REFUSED, 503, start.poison.retry_after_ms,
				       SRV_POISON_REASON);
		break;
	case SRV_START_QUARANTINED:
		srv_explain_set_result(e, OUTCOME_REFUSED, 503, start.quarantine.retry_after_ms,
				       start.reason);
		break;
	case SRV_START_RELAY:
		explain_relay(e);
		break;
	case SRV_START_GO_ON:
		explain_stream(e, &start);
		break;
	}
	return e->req.doc ? 200 : 503;
}

static void begin(struct srv_explain *e)
{
	struct srv_req *r = &e->req;

	e->root = json_object();
	e->decisions = json_array();
	json_object_set_new(e->root, "vm", json_string(e->s->set->vm));
	json_object_set_new(e->root, "decisions", e->decisions);
	srv_pick_trace_init(&e->trace, e->s);
	e->http.body = g_byte_array_new();
	e->http.began_ms = e->now_ms;
	r->s = e->s;
	r->http = &e->http;
	r->trace = &e->trace;
	r->began_ms = e->now_ms;
	r->end_at_ms = e->now_ms;
	r->send_at_ms = INT64_MAX;
}

static void end(struct srv_explain *e)
{
	pub_doc_unref(e->req.doc);
	g_strfreev(e->req.regions);
	srv_pick_trace_clear(&e->trace);
	g_byte_array_unref(e->http.body);
	hdr_clear(&e->http.headers);
	g_free(e->http.method);
	g_free(e->http.target);
	json_decref(e->root);
}

static void respond(struct http_server_request *request, int status, const json_t *root)
{
	struct hdr_list headers = {0};
	char *body = json_dumps(root, JSON_INDENT(2) | JSON_REAL_PRECISION(6));

	hdr_add(&headers, "Content-Type", "application/json");
	http_server_respond(request, status, &headers, body, strlen(body));
	hdr_clear(&headers);
	free(body);
}

void srv_explain(struct srv *s, struct http_server_request *request)
{
	struct srv_explain e = {.s = s, .now_ms = clock_now_ms()};
	json_t *in = json_loadb((const char *)request->body->data, request->body->len, 0, NULL);
	int status = 400;
	const char *fault;

	begin(&e);
	fault = strcmp(request->method, "POST") == 0 ? srv_explain_read_head(in, &e.http)
						     : "the method is not POST";
	if (fault) {
		json_object_set_new(e.root, "error", json_string(fault));
	} else {
		s->adapter->caller->parse_request(&e.http.headers, &e.req.meta);
		e.req.last_event = e.req.meta.last_event;
		status = explain(&e);
	}
	respond(request, status, e.root);
	json_decref(in);
	end(&e);
}
