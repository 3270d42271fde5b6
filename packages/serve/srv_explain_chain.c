/* Explains a chain: its owner, the pools of its stages, and its admission. */
#include "srv_explain_int.h"

#include "srv_chain_int.h"

#include <string.h>

static json_t *pool_json(const struct chain_pool_estimate *p)
{
	json_t *json =
		json_pack("{s:s, s:i, s:i, s:i, s:i, s:f, s:I, s:I, s:s, s:i, s:I, s:I, s:I, s:b}",
			  "pool", p->stats.service, "pieces", (int)p->pieces, "waiting",
			  (int)p->stats.waiting, "pending", (int)p->stats.pending, "idle_upstreams",
			  (int)p->idle, "working_upstreams", p->working_upstreams, "wait_ms",
			  (json_int_t)p->wait_ms, "closed_ms", (json_int_t)p->closed_ms,
			  "error_class", p->errors.late ? "late" : "in time", "error_samples",
			  (int)p->errors.samples, "error_age_ms", (json_int_t)p->errors.age_ms,
			  "error_p50_ms", (json_int_t)p->errors.p50_ms, "error_p90_ms",
			  (json_int_t)p->errors.p90_ms, "shared", (int)p->is_shared);

	if (p->is_shared)
		json_object_set_new(json, "account",
				    json_pack("{s:i, s:i, s:f, s:f}", "waiting",
					      (int)p->account.waiting, "running",
					      (int)p->account.running, "share", p->account.share,
					      "lead_calls", p->account.lead_calls));
	return json;
}

static void add_admission(json_t *chain, const struct chain_explanation *x)
{
	json_t *pools = json_array();

	for (uint32_t i = 0; i < x->n_pools; i++)
		json_array_append_new(pools, pool_json(&x->pools[i]));
	json_object_set_new(chain, "pools", pools);
	json_object_set_new(chain, "expect_in_ms", json_integer(x->expect_in_ms));
	json_object_set_new(chain, "target_in_ms", json_integer(x->aim_in_ms));
	json_object_set_new(chain, "deadline_in_ms", json_integer(x->deadline_in_ms));
	json_object_set_new(chain, "held", json_boolean(x->is_held));
	json_object_set_new(chain, "bound", srv_bound_json(&x->bound));
}

/* Returns whether the chain may go on as far as is known here. */
static bool explain_admission(struct srv_explain *e, const struct chain_job_spec *doc,
			      json_t *chain)
{
	struct chain_explanation x;
	const char *outcome;
	json_t *inputs;

	chain_explain(e->s->chains, doc, e->now_ms, &x);
	if (x.moved_to) {
		inputs = srv_explain_add_decision(e, "admission", "not known here");
		srv_explain_add_input(inputs, "handed_to_region", json_string(x.moved_to),
				      x.moved_age_ms);
		return true;
	}
	outcome = x.is_late ? "late" : "in time";
	inputs = srv_explain_add_decision(e, "admission", x.reason ? x.reason : outcome);
	srv_explain_add_input(inputs, "expect_in_ms", json_integer(x.expect_in_ms), 0);
	srv_explain_add_input(inputs, "error_ms", json_integer(x.bound.error_ms), x.bound.age_ms);
	if (x.reason)
		srv_explain_set_result(e, OUTCOME_REFUSED, 503, x.retry_after_ms, x.reason);
	if (x.n_pools > 0)
		add_admission(chain, &x);
	return x.is_admitted;
}

bool srv_explain_chain(struct srv_explain *e, const struct srv_upstream *engine)
{
	struct srv *s = e->s;
	struct chain_stage_spec stages[PUB_STAGES_MAX];
	const struct gossip_member *owner;
	struct chain_job_spec doc;
	json_t *chain;
	json_t *inputs;
	bool is_own;

	srv_req_fill_chain(&e->req, engine, stages, &doc);
	doc.asker = srv_chain_self(s);
	doc.region = srv_region_of(s, doc.data_centre);
	owner = srv_region_owner(s, doc.region, NULL, e->now_ms);
	is_own = strcmp(owner->record.peer_address, srv_chain_self(s)) == 0;
	chain = json_pack("{s:s, s:s, s:I, s:b, s:s?}", "region", doc.region, "owner",
			  owner->record.peer_address, "owner_heard_ms_ago",
			  (json_int_t)(is_own ? 0 : e->now_ms - owner->heard_ms), "owned_here",
			  (int)is_own, "account", doc.account);
	json_object_set_new(e->root, "chain", chain);
	inputs = srv_explain_add_decision(e, "owner", owner->record.peer_address);
	srv_explain_add_input(inputs, "region", json_string(doc.region),
			      srv_explain_view_age_ms(e));
	srv_explain_add_input(inputs, "owner_heard", json_true(),
			      is_own ? 0 : e->now_ms - owner->heard_ms);
	srv_explain_add_input(inputs, "joining", json_boolean(srv_is_joining(s, e->now_ms)), 0);
	if (is_own)
		return explain_admission(e, &doc, chain);
	srv_explain_add_decision(e, "admission", "not known here");
	return true;
}
