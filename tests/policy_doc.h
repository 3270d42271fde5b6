/* Documents of any size for the tests and benches of the policy. */
#ifndef TESTS_POLICY_DOC_H
#define TESTS_POLICY_DOC_H

#include "decide/dec.h"

#include <stdio.h>
#include <stdlib.h>

struct policy_doc {
	const char *policy;
	uint32_t data_centres;
	uint32_t services;  /* s0, s1, ...; the last one is the engines' */
	uint32_t upstreams; /* of each service but the last */
	uint32_t engines;   /* upstreams of the last */
	uint32_t warm_limit;
	uint32_t pipelines;
	uint32_t accounts;
	int64_t deadline_ms;
	int64_t cost_weight_pct;
	int32_t out; /* data centre out of service; -1: none */
};

static inline void policy_doc_places(GString *text, const struct policy_doc *doc)
{
	g_string_append(text, "places:\n  revision: 1\n  data_centres:\n");
	for (uint32_t i = 0; i < doc->data_centres; i++)
		g_string_append_printf(text, "    - {name: dc%u, region: r%u, in_service: %s}\n", i,
				       i, doc->out == (int32_t)i ? "false" : "true");
	g_string_append(text, "  links:\n");
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
	g_string_append(text, "upstreams:\n  revision: 1\n  items:\n");
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
		g_string_append_printf(text, "    - {name: a%u, class: c%u, key_sha256: \"%064u\"}\n",
				       i, i % 3, i);
}

/* Puts the document in force; the node stands in dc0. */
static inline void policy_doc_apply(struct dec *d, const struct policy_doc *doc, int64_t now_ms)
{
	GString *text = g_string_new("");
	GPtrArray *faults = sch_faults_new();
	struct dec_event ev = {.type = DEC_EV_CONFIG};
	struct dec_out out;

	policy_doc_places(text, doc);
	policy_doc_services(text, doc);
	policy_doc_callers(text, doc);
	g_string_append_printf(text,
			       "routing: {revision: 1, policy: %s, cost_weight_pct: %d}\n"
			       "capacity: {revision: 1, max_in_flight: 100000}\n",
			       doc->policy, (int)doc->cost_weight_pct);
	ev.u.cfg = cfg_parse(text->str, text->len, faults);
	for (guint i = 0; i < faults->len; i++) {
		const struct sch_fault *fault = g_ptr_array_index(faults, i);
		fprintf(stderr, "%s %d %s: %s\n", fault->section, fault->line, fault->key,
			fault->reason);
	}
	if (!ev.u.cfg)
		abort();
	dec_out_init(&out);
	dec_handle(d, now_ms, &ev, &out);
	dec_out_free(&out);
	cfg_unref(ev.u.cfg);
	g_ptr_array_unref(faults);
	g_string_free(text, TRUE);
	/* slots are measured on their own: here the whole of each upstream is this node's */
	d->policy.slots = &slt_unlimited;
}

static inline struct dec *policy_doc_start(const struct policy_doc *doc, uint64_t seed,
					   int64_t now_ms)
{
	struct dec *d = dec_new("n0", "dc0", 1, seed, now_ms);
	GString *text = g_string_new("{\"version\": 1, \"vms\": [{\"id\": \"n0\", \"role\": "
				     "\"entry\", \"state\": \"live\", \"data_centre\": \"dc0\"}");
	struct dec_event ev = {.type = DEC_EV_LIST};
	struct dec_out out;

	policy_doc_apply(d, doc, now_ms);
	for (uint32_t i = 0; i < doc->data_centres; i++)
		g_string_append_printf(text,
				       ", {\"id\": \"v%u\", \"role\": \"upstream\", \"state\": "
				       "\"live\", \"data_centre\": \"dc%u\"}",
				       i, i);
	g_string_append(text, "]}");
	ev.u.list = vml_parse(text->str, text->len, NULL);
	dec_out_init(&out);
	dec_handle(d, now_ms, &ev, &out);
	dec_out_free(&out);
	g_string_free(text, TRUE);
	return d;
}

#endif
