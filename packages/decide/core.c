#include "decide/core.h"

#include "core_int.h"
#include "decide/eligible.h"
#include "decide/load_report.h"

#include <string.h>

/* short, since another node can serve the request */
#define CORE_DRAIN_RETRY_MS 1000

const struct core_policy core_policy_adaptive = {
	.slots = &slot_ops_rendezvous,
	.route = &route_score,
	.admit = &admit_priority,
	.retry = &retry_budgeted,
	.quotas = &quota_ops_lease,
};

const struct core_policy core_policy_baseline = {
	.slots = &slot_ops_unlimited,
	.route = &route_round_robin,
	.admit = &admit_open,
	.retry = &retry_unbudgeted,
	.quotas = &quota_ops_equal,
};

static void free_req(gpointer data)
{
	struct req *req = data;

	if (req->waiting)
		g_sequence_remove(req->waiting);
	if (req->wake)
		g_sequence_remove(req->wake);
	if (req->checkpoint)
		g_bytes_unref(req->checkpoint);
	g_free(req);
}

struct core_state *core_new(const char *vm, const char *data_centre, uint64_t incarnation,
			    uint64_t seed, int64_t now_ms)
{
	struct core_state *d = g_new0(struct core_state, 1);

	bb_init(&d->bb, vm, data_centre, incarnation, seed, now_ms);
	d->policy = core_policy_adaptive;
	d->tickets = ticket_new(vm, incarnation);
	d->shares = quota_new(now_ms);
	d->reqs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_req);
	d->wake_queue = g_sequence_new(NULL);
	d->inflight_attempts =
		g_hash_table_new_full(core_inflight_hash, core_inflight_equal, g_free, NULL);
	d->waiters = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   (GDestroyNotify)g_array_unref);
	d->waiters_wake_ms = INT64_MAX;
	return d;
}

void core_free(struct core_state *d)
{
	g_hash_table_destroy(d->reqs);
	g_sequence_free(d->wake_queue);
	g_hash_table_destroy(d->inflight_attempts);
	g_hash_table_destroy(d->waiters);
	ticket_free(d->tickets);
	quota_free(d->shares);
	bb_clear(&d->bb);
	g_free(d);
}

bool core_is_ready(const struct core_state *d)
{
	return d->bb.cfg && d->bb.list && !d->bb.draining;
}

static void add_stage(struct core_state *d, struct req *req, const struct cfg_service *service,
		      const char *call, bool idempotent, bool stream)
{
	struct req_stage *stage = &req->stages[req->n_stages++];

	stage->service = bb_service(&d->bb, service->name);
	g_strlcpy(stage->call, call && call[0] ? call : "run", sizeof(stage->call));
	stage->idempotent = idempotent;
	stage->stream = stream;
}

static void add_pipeline_stages(struct core_state *d, struct req *req, const struct cfg *cfg,
				const struct cfg_pipeline *from)
{
	for (uint32_t i = 0; i < from->n_stages && i < REQ_STAGES_MAX; i++) {
		const struct cfg_stage *stage = &from->stages[i];
		/* only the output of the last stage is streamed to the caller */
		add_stage(d, req, &cfg->services.items[stage->service_index], stage->call,
			  stage->idempotent, stage->stream && i + 1 == from->n_stages);
	}
}

static void add_service_stage(struct core_state *d, struct req *req, const struct cfg *cfg,
			      const struct core_ev_request *ev)
{
	const struct cfg_service *service = &cfg->services.items[ev->service];
	int call = cfg_find_call(service, ev->call);
	bool idempotent =
		call >= 0 ? service->calls[call].idempotent : service->kind != CFG_KIND_PLAIN;

	add_stage(d, req, service, ev->call, idempotent, false);
}

static struct req *make_req(struct core_state *d, int64_t now_ms, const struct core_ev_request *ev)
{
	const struct cfg *cfg = ev->cfg ? ev->cfg : d->bb.cfg;
	const struct cfg_account *account = &cfg->accounts.items[ev->account];
	struct req *req = g_new0(struct req, 1);
	int64_t wait_ms = ev->wait_ms;

	if (ev->pipeline >= 0) {
		const struct cfg_pipeline *pipeline = &cfg->pipelines.items[ev->pipeline];
		add_pipeline_stages(d, req, cfg, pipeline);
		if (wait_ms == 0 || wait_ms > pipeline->deadline_ms)
			wait_ms = pipeline->deadline_ms;
	} else {
		add_service_stage(d, req, cfg, ev);
	}
	if (wait_ms == 0)
		wait_ms = cfg->capacity.longest_ms;
	req->id = ev->id;
	req->account = ev->account;
	req->class_index = account->class_index;
	req->rank = cfg->accounts.classes[account->class_index].rank;
	req->arrived_ms = now_ms;
	req->deadline_at_ms = now_ms + wait_ms;
	req->body_bytes = ev->body_bytes;
	req->prefix_hash = ev->prefix_hash;
	req->handed_off = ev->handed_off;
	req->has_ticket = ev->has_ticket;
	req->ticket = ev->ticket;
	req->hedge_at_ms = BB_NEVER;
	return req;
}

static bool needs_ticket(const struct req *req)
{
	for (uint32_t i = 0; i < req->n_stages; i++) {
		if (!req->stages[i].idempotent)
			return true;
	}
	return false;
}

static bool is_full(const struct core_state *d)
{
	return g_hash_table_size(d->reqs) > d->bb.cfg->capacity.max_in_flight;
}

static void handle_request(struct core_state *d, int64_t now_ms, const struct core_ev_request *ev,
			   struct core_out *out)
{
	struct req *req;

	if (!d->bb.cfg || !d->bb.list) {
		core_push_refusal(out, ev->id, ERR_NOT_READY, ERR_OUTCOME_NOT_RUN, 1000);
		return;
	}
	req = make_req(d, now_ms, ev);
	/* a stage that was handed off has no ticket here: the node that handed it off keeps it */
	if (!ev->handed_off && needs_ticket(req) && !req->has_ticket) {
		core_push_refusal(out, ev->id, ERR_TICKET_REQUIRED, ERR_OUTCOME_NOT_RUN, 0);
		g_free(req);
		return;
	}
	req->has_ticket = !ev->handed_off && needs_ticket(req);
	if (req->has_ticket && !core_claim_ticket(d, req, now_ms, ev, out)) {
		g_free(req);
		return;
	}
	g_hash_table_insert(d->reqs, &req->id, req);
	core_schedule_wake(d, req, now_ms);
	if (d->closing && !ev->forwarded) {
		core_refuse(d, req, ERR_DRAINING, CORE_DRAIN_RETRY_MS, now_ms, out);
		return;
	}
	struct admit_verdict verdict = d->policy.admit->arrive(&d->bb, req, now_ms);
	/* a refused request uses no quota; a stage handed off was charged by the other node */
	if (verdict.code == ERR_NONE && !ev->handed_off)
		verdict = core_take_quota(d, req, ev, now_ms);
	if (verdict.code != ERR_NONE)
		core_refuse(d, req, verdict.code, verdict.retry_after_ms, now_ms, out);
	else if (is_full(d) && !core_shed(d, req, now_ms, out))
		core_refuse(d, req, ERR_OVERLOADED, admit_retry_after_ms(&d->bb, req), now_ms, out);
	else
		core_start_stage(d, req, now_ms, out);
}

static void handle_report(struct core_state *d, int64_t now_ms, const struct core_ev_report *ev)
{
	struct bb_upstream *up = bb_upstream(&d->bb, ev->upstream);
	const struct load_report_sample report = {
		.incarnation = ev->incarnation,
		.warm = ev->warm,
		.running = ev->running,
		.queued = ev->queued,
		.taken_ms = now_ms - ev->age_ms,
	};

	if (up)
		load_report_apply(&d->bb, up, &report, now_ms);
}

/* Records the end of a pause of the process: answers to earlier queries may be outdated. */
static void detect_pause(struct core_state *d, int64_t now_ms)
{
	if (now_ms - d->bb.last_tick_ms <= ELIGIBLE_TICK_GAP_MS)
		return;
	d->bb.resumed_at_ms = now_ms;
	d->bb.last_tick_ms = now_ms;
	d->bb.pauses++;
}

static void handle_list(struct core_state *d, int64_t now_ms, const struct core_event *ev)
{
	if (!bb_set_list(&d->bb, ev->u.list, ev->at_ms ? ev->at_ms : now_ms, now_ms))
		return;
	slot_recompute(&d->bb, now_ms);
	quota_recompute(d->shares, &d->bb, now_ms);
}

static void handle_digest(struct core_state *d, int64_t now_ms, const struct member_digest *digest,
			  struct core_out *out)
{
	struct bb_node *from = member_handle_digest(&d->bb, digest, now_ms);

	if (from && member_wants_list(&d->bb, digest, now_ms))
		core_push_to_node(out, CORE_CMD_FETCH_LIST, from);
}

static void tick_membership(struct core_state *d, int64_t now_ms, struct core_out *out)
{
	struct bb_upstream *up;

	if (d->bb.recompute_at_ms != BB_NEVER && now_ms >= d->bb.recompute_at_ms)
		slot_recompute(&d->bb, now_ms);
	core_push_to_node(out, CORE_CMD_PROBE, member_next_target(&d->bb, now_ms));
	for (guint i = 0; i < d->bb.polled->len; i++) {
		up = g_ptr_array_index(d->bb.polled, i);
		if (!load_report_is_due(&d->bb, up, now_ms))
			continue;
		struct core_cmd *cmd = core_push(out, CORE_CMD_POLL, 0);
		cmd->upstream = up->id;
		g_strlcpy(cmd->address, up->address, sizeof(cmd->address));
	}
}

static void handle_disconnect(struct core_state *d, int64_t now_ms, uint64_t id,
			      struct core_out *out)
{
	struct req *req = g_hash_table_lookup(d->reqs, &id);

	/* a request with a ticket runs to its end, because its answer is stored for a repeat */
	if (req && !req->has_ticket)
		core_refuse(d, req, ERR_DEADLINE_EXPIRED, 0, now_ms, out);
}

static void set_policy(struct core_state *d)
{
	const struct admit_ops *old_admit = d->policy.admit;

	d->policy = d->bb.cfg->routing.policy == CFG_POLICY_BASELINE ? core_policy_baseline
								     : core_policy_adaptive;
	quota_set_ops(d->shares, d->policy.quotas);
	if (d->policy.admit != old_admit)
		core_sort_queues(d);
}

void core_handle(struct core_state *d, int64_t now_ms, const struct core_event *ev,
		 struct core_out *out)
{
	detect_pause(d, now_ms);
	switch (ev->type) {
	case CORE_EV_REQUEST:
		handle_request(d, now_ms, &ev->u.request, out);
		break;
	case CORE_EV_FIRST_BYTE:
		core_handle_first_byte(d, now_ms, &ev->u.attempt, out);
		break;
	case CORE_EV_RESULT:
		core_handle_result(d, now_ms, &ev->u.attempt, out);
		break;
	case CORE_EV_DISCONNECT:
		handle_disconnect(d, now_ms, ev->u.req, out);
		break;
	case CORE_EV_REPORT:
		handle_report(d, now_ms, &ev->u.report);
		break;
	case CORE_EV_CONFIG:
		bb_set_config(&d->bb, ev->u.cfg, ev->at_ms ? ev->at_ms : now_ms);
		set_policy(d);
		slot_recompute(&d->bb, now_ms);
		quota_recompute(d->shares, &d->bb, now_ms);
		break;
	case CORE_EV_CONFIG_CONFIRMED:
		d->bb.cfg_confirmed_ms = MAX(d->bb.cfg_confirmed_ms, ev->at_ms);
		break;
	case CORE_EV_LIST:
		handle_list(d, now_ms, ev);
		break;
	case CORE_EV_DIGEST:
		handle_digest(d, now_ms, ev->u.digest, out);
		break;
	case CORE_EV_DEMAND:
		core_handle_demand(d, now_ms, ev->u.demand, out);
		break;
	case CORE_EV_LIST_CONFIRMED:
		bb_confirm_list(&d->bb, ev->u.asked_ms);
		break;
	case CORE_EV_TICK:
		d->bb.last_tick_ms = now_ms;
		tick_membership(d, now_ms, out);
		core_tick_quota(d, now_ms, out);
		core_tick_requests(d, now_ms, out);
		core_tick_waiters(d, now_ms, out);
		break;
	case CORE_EV_DRAIN:
		d->bb.draining = true;
		break;
	case CORE_EV_CLOSE:
		d->closing = true;
		break;
	}
}
