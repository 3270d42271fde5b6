#include "sizes.h"

const struct sizes sizes_target = {
	.nodes = 410,
	.upstreams = 6100,
	.accounts = 2700,
	.pipelines = 31,
	.models = 16,
	.data_centres = 8,
	.address = "127.0.0.1:9",
};

#define STAGES 5
#define REGION_DCS 2 /* data centres per region */

static void add_places(GString *text, const struct sizes *s)
{
	uint32_t regions = (s->data_centres + REGION_DCS - 1) / REGION_DCS;

	g_string_append(text, "places:\n  revision: 1\n  data_centres:\n");
	for (uint32_t i = 0; i < s->data_centres; i++)
		g_string_append_printf(text, "    - {name: dc-%u, region: region-%u}\n", i,
				       i / REGION_DCS);
	g_string_append(text, regions > 1 ? "  links:\n" : "  links: []\n");
	for (uint32_t i = 1; i < regions; i++)
		for (uint32_t k = 0; k < i; k++)
			g_string_append_printf(text,
					       "    - {from: region-%u, to: region-%u, latency_ms: "
					       "12, price_per_gb_cents: 300}\n",
					       k, i);
}

static void add_upstreams(GString *text, const struct sizes *s)
{
	g_string_append(text, "services:\n  revision: 1\n  items:\n"
			      "    - {name: s, kind: engine, cold_limit: 1, warm_limit: 4}\n"
			      "upstreams:\n  revision: 1\n  items:\n");
	for (uint32_t i = 0; i < s->upstreams; i++)
		g_string_append_printf(text,
				       "    - {name: up-%u, service: s, address: \"%s\", vm: u-%u, "
				       "data_centre: dc-%u}\n",
				       i, s->address, i, i % s->data_centres);
}

static void add_models(GString *text, const struct sizes *s)
{
	g_string_append(text, "models:\n  revision: 1\n  items:\n");
	for (uint32_t i = 0; i < s->models; i++) {
		g_string_append_printf(
			text, "    - {name: model-%u, version: \"1\", role: mixed, upstreams: [",
			i);
		for (uint32_t k = 0; i == 0 && k < s->upstreams; k++)
			g_string_append_printf(text, "%sup-%u", k ? ", " : "", k);
		g_string_append(text, "]}\n");
	}
}

static void add_pipelines(GString *text, const struct sizes *s)
{
	g_string_append(text, "pipelines:\n  revision: 1\n  items:\n");
	for (uint32_t i = 0; i < s->pipelines; i++) {
		g_string_append_printf(text,
				       "    - {name: pipeline-%u, deadline_ms: 4000, stages: [", i);
		for (uint32_t k = 0; k < STAGES; k++)
			g_string_append_printf(text, "%s{name: t%u, service: s}", k ? ", " : "", k);
		g_string_append(text, "]}\n");
	}
}

static void add_accounts(GString *text, const struct sizes *s)
{
	g_string_append(text, "accounts:\n  revision: 1\n  classes: [{name: c, rank: 0}]\n"
			      "  items:\n");
	for (uint32_t i = 0; i < s->accounts; i++)
		g_string_append_printf(text,
				       "    - {name: account-%u, class: c, key_sha256: \"%064x\", "
				       "limit_per_s: 5}\n",
				       i, i);
}

GString *sizes_document(const struct sizes *s, int64_t routing_revision)
{
	GString *text = g_string_new(NULL);

	add_places(text, s);
	add_upstreams(text, s);
	add_models(text, s);
	add_pipelines(text, s);
	add_accounts(text, s);
	g_string_append_printf(text,
			       "routing:\n  revision: %" G_GINT64_FORMAT "\n  policy: adaptive\n"
			       "capacity: {revision: 1}\n",
			       routing_revision);
	return text;
}

GString *sizes_list(const struct sizes *s, int64_t version)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "{\"version\": %" G_GINT64_FORMAT ", \"vms\": [", version);
	for (uint32_t i = 0; i < s->nodes + s->upstreams; i++) {
		bool entry = i < s->nodes;
		uint32_t k = entry ? i : i - s->nodes;

		g_string_append_printf(text,
				       "%s{\"id\": \"%s-%u\", \"role\": \"%s\", \"state\": "
				       "\"live\", \"data_centre\": \"dc-%u\"}",
				       i ? ", " : "", entry ? "node" : "u", k,
				       entry ? "entry" : "upstream", k % s->data_centres);
	}
	g_string_append(text, "]}");
	return text;
}
