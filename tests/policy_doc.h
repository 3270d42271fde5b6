/* Generates configurations and events for tests and benchmarks of the decision core. */
#ifndef TESTS_POLICY_DOC_H
#define TESTS_POLICY_DOC_H

#include "decide/core.h"

#include <stdio.h>
#include <stdlib.h>

struct policy_doc {
	const char *policy;
	uint32_t data_centres;
	uint32_t services;  /* number of services s0, s1, ...; the last one runs on the engines */
	uint32_t upstreams; /* upstreams of each service but the last */
	uint32_t engines;   /* upstreams of the last service */
	uint32_t warm_limit;
	uint32_t pipelines;
	uint32_t accounts;
	int64_t deadline_ms;
	int64_t cost_weight_pct;
	uint32_t max_in_flight; /* 0: 100,000, in effect no limit */
	int32_t out;		/* index of the data centre out of service; -1: none */
};

static inline void policy_doc_places(GString *text, const struct policy_doc *doc)
{
	g_string_append(text, "places:\n  revision: 1\n  data_centres:\n");
	for (uint32_t i = 0; i < doc->data_centres; i++)
		g_string_append_printf(text, "    - {name: dc%u, region: r%u, in_service: %s}\n", i,
				       i, doc->out == (int32_t)i ? "false" : "true");
	g_string_append(text, doc->data_centres > 1 ? "  links:\n" : "  links: []\n");
	for (uint32_t i = 1; i < doc->data_centres; i++)
		for (uint32_t k = 0; k < i; k++)
			g_string_append_printf(text,
					       "    - {from: r%u, to: r%u, latency_ms: 12, "
					       "price_per_gb_cents: 300}\n",
					       k, i);
}

static inline void policy_doc_services(GString *text, const struct policy_doc *doc)
{
	uint32_t port = 1;

	g_string_append(text, "services:\n  revision: 1\n  items:\n");
	for (uint32_t i = 0; i < doc->services; i++)
		g_string_append_printf(
			text, "    - {name: s%u, kind: pool, cold_limit: 1, warm_limit: %u}\n", i,
			doc->warm_limit);
	g_string_append_printf(text, "upstreams:\n  revision: 1\n  items:%s\n",
			       doc->upstreams + doc->engines ? "" : " []");
	for (uint32_t i = 0; i < doc->services; i++) {
		uint32_t n = i + 1 == doc->services ? doc->engines : doc->upstreams;
		for (uint32_t k = 0; k < n; k++, port++)
			g_string_append_printf(text,
					       "    - {name: u%u-%u, service: s%u, address: "
					       "\"127.0.0.1:%u\", vm: v%u, data_centre: dc%u}\n",
					       i, k, i, port, k % doc->data_centres,
					       k % doc->data_centres);
	}
}

static inline void policy_doc_callers(GString *text, const struct policy_doc *doc)
{
	g_string_append(text, "pipelines:\n  revision: 1\n  items:\n");
	for (uint32_t i = 0; i < doc->pipelines; i++) {
		g_string_append_printf(text, "    - {name: p%u, deadline_ms: %d, stages: [", i,
				       (int)doc->deadline_ms);
		for (uint32_t k = 0; k < doc->services; k++)
			g_string_append_printf(text, "%s{name: t%u, service: s%u}", k ? ", " : "",
					       k, k);
		g_string_append(text, "]}\n");
	}
	g_string_append(text, "accounts:\n  revision: 1\n  classes:\n"
			      "    - {name: c0, rank: 0, reserved_pct: 30}\n"
			      "    - {name: c1, rank: 1, reserved_pct: 10}\n"
			      "    - {name: c2, rank: 2, reserved_pct: 0}\n  items:\n");
	for (uint32_t i = 0; i < doc->accounts; i++)
		g_string_append_printf(text,
				       "    - {name: a%u, class: c%u, key_sha256: \"%064u\"}\n", i,
				       i % 3, i);
}

/* Applies the configuration; the node is in dc0. */
static inline void policy_doc_apply(struct core_state *d, const struct policy_doc *doc,
				    int64_t now_ms)
{
	GString *text = g_string_new("");
	GPtrArray *faults = schema_faults_new();
	struct core_event ev = {.type = CORE_EV_CONFIG};
	struct core_out out;

	policy_doc_places(text, doc);
	policy_doc_services(text, doc);
	policy_doc_callers(text, doc);
	g_string_append_printf(text,
			       "routing: {revision: 1, policy: %s, cost_weight_pct: %d}\n"
			       "capacity: {revision: 1, max_in_flight: %u}\n",
			       doc->policy, (int)doc->cost_weight_pct,
			       doc->max_in_flight ? doc->max_in_flight : 100000);
	ev.u.cfg = cfg_parse(text->str, text->len, faults);
	for (guint i = 0; i < faults->len; i++) {
		const struct schema_fault *fault =
			(const struct schema_fault *)g_ptr_array_index(faults, i);
		fprintf(stderr, "%s %d %s: %s\n", fault->section, fault->line, fault->key,
			fault->reason);
	}
	if (!ev.u.cfg)
		abort();
	core_out_init(&out);
	core_handle(d, now_ms, &ev, &out);
	core_out_free(&out);
	cfg_unref(ev.u.cfg);
	g_ptr_array_unref(faults);
	g_string_free(text, TRUE);
	/* slots have their own benchmark; here the node may use the whole capacity of an upstream
	 */
	d->policy.slots = &slot_ops_unlimited;
}

static inline struct core_state *policy_doc_start(const struct policy_doc *doc, uint64_t seed,
						  int64_t now_ms)
{
	struct core_state *d = core_new("n0", "dc0", 1, seed, now_ms);
	GString *text = g_string_new("{\"version\": 1, \"vms\": [{\"id\": \"n0\", \"role\": "
				     "\"entry\", \"state\": \"live\", \"data_centre\": \"dc0\"}");
	struct core_event ev = {.type = CORE_EV_LIST};
	struct core_out out;

	policy_doc_apply(d, doc, now_ms);
	for (uint32_t i = 0; i < doc->data_centres; i++)
		g_string_append_printf(text,
				       ", {\"id\": \"v%u\", \"role\": \"upstream\", \"state\": "
				       "\"live\", \"data_centre\": \"dc%u\"}",
				       i, i);
	g_string_append(text, "]}");
	ev.u.list = vmlist_parse(text->str, text->len, NULL);
	core_out_init(&out);
	core_handle(d, now_ms, &ev, &out);
	core_out_free(&out);
	g_string_free(text, TRUE);
	return d;
}

/* Sends a request of an account for pipeline 0. The class of account i has the index i % 3. */
static inline void policy_doc_request(struct core_state *d, int64_t now_ms, uint64_t id,
				      int account, int64_t wait_ms, struct core_out *out)
{
	struct core_event ev = {.type = CORE_EV_REQUEST};

	ev.u.request = (struct core_ev_request){.id = id,
						.pipeline = 0,
						.service = -1,
						.account = account,
						.wait_ms = wait_ms,
						.body_bytes = 1000};
	core_handle(d, now_ms, &ev, out);
}

/* Ends an attempt of stage 0 that was sent, with an error code or ERR_NONE. */
static inline void policy_doc_end_attempt(struct core_state *d, int64_t now_ms, uint64_t req,
					  uint32_t attempt, int code, struct core_out *out)
{
	struct core_event ev = {.type = CORE_EV_RESULT};

	ev.u.attempt = (struct core_ev_attempt){.req = req,
						.attempt = attempt,
						.code = code,
						.sent = true,
						.latency_us = 20000,
						.bytes = 10};
	core_handle(d, now_ms, &ev, out);
}

static inline void policy_doc_tick(struct core_state *d, int64_t now_ms, struct core_out *out)
{
	const struct core_event ev = {.type = CORE_EV_TICK};

	core_handle(d, now_ms, &ev, out);
}

/* Returns the last command of a type; NULL when there is none. */
static inline const struct core_cmd *policy_doc_last(const struct core_out *out,
						     enum core_cmd_type type)
{
	const struct core_cmd *found = NULL;

	for (guint i = 0; i < out->cmds->len; i++) {
		const struct core_cmd *cmd = &g_array_index(out->cmds, struct core_cmd, i);
		if (cmd->type == type)
			found = cmd;
	}
	return found;
}

static inline uint32_t policy_doc_count(const struct core_out *out, enum core_cmd_type type)
{
	uint32_t n = 0;

	for (guint i = 0; i < out->cmds->len; i++)
		n += g_array_index(out->cmds, struct core_cmd, i).type == type;
	return n;
}

/* Adds n equal latencies to those of completed attempts. */
static inline void policy_doc_add_latencies(struct bb_service *service, uint32_t n,
					    int64_t latency_us)
{
	for (uint32_t i = 0; i < n; i++)
		quantile_add(&service->latencies, latency_us);
}

#endif
