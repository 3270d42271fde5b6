/* Schema and parser of the configuration document. */
#include "model/cfg.h"

#include "base/err.h"

#include <string.h>

#define DURATION_MAX_MS INT64_C(86400000)
#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define MAP_OF(owner, fields)                                                                      \
	{                                                                                          \
		fields, COUNT(fields), sizeof(struct owner), 0                                     \
	}
#define MAP_WITH_LINE_OF(owner, fields)                                                            \
	{                                                                                          \
		fields, COUNT(fields), sizeof(struct owner), offsetof(struct owner, line)          \
	}

#define STR(owner, member, is_required)                                                            \
	{                                                                                          \
		.key = #member, .type = SCHEMA_STR, .off = offsetof(struct owner, member),         \
		.required = (is_required)                                                          \
	}
#define INT(owner, member, min_value, max_value, default_value)                                    \
	{                                                                                          \
		.key = #member, .type = SCHEMA_INT, .off = offsetof(struct owner, member),         \
		.min = (min_value), .max = (max_value), .fallback = (default_value)                \
	}
#define BOOL(owner, member, default_value)                                                         \
	{                                                                                          \
		.key = #member, .type = SCHEMA_BOOL, .off = offsetof(struct owner, member),        \
		.fallback = (default_value)                                                        \
	}
#define LIST(owner, name, member, is_required, item_map)                                           \
	{                                                                                          \
		.key = (name), .type = SCHEMA_LIST, .off = offsetof(struct owner, member),         \
		.off_n = offsetof(struct owner, n_##member), .required = (is_required),            \
		.item = &(item_map)                                                                \
	}
#define REVISION(owner)                                                                            \
	{                                                                                          \
		.key = "revision", .type = SCHEMA_INT, .off = offsetof(struct owner, revision),    \
		.required = true, .min = 1, .max = INT64_MAX                                       \
	}

static const char *const kind_names[] = {"engine", "pool", "plain", NULL};
static const char *const policy_names[] = {"adaptive", "baseline", NULL};

static const struct schema_field data_centre_fields[] = {
	STR(cfg_data_centre, name, true),
	STR(cfg_data_centre, region, true),
	BOOL(cfg_data_centre, in_service, true),
};
static const struct schema_map data_centre_map =
	MAP_WITH_LINE_OF(cfg_data_centre, data_centre_fields);

static const struct schema_field link_fields[] = {
	STR(cfg_link, from, true),
	STR(cfg_link, to, true),
	INT(cfg_link, latency_ms, 0, DURATION_MAX_MS, 0),
	INT(cfg_link, price_per_gb_cents, 0, 1000000, 0),
};
static const struct schema_map link_map = MAP_WITH_LINE_OF(cfg_link, link_fields);

static const struct schema_field places_fields[] = {
	REVISION(cfg_places),
	LIST(cfg_places, "data_centres", data_centres, true, data_centre_map),
	LIST(cfg_places, "links", links, false, link_map),
};
static const struct schema_map places_map = MAP_OF(cfg_places, places_fields);

static const struct schema_field call_fields[] = {
	STR(cfg_call, name, true),
	BOOL(cfg_call, idempotent, false),
};
static const struct schema_map call_map = MAP_WITH_LINE_OF(cfg_call, call_fields);

static const struct schema_field service_fields[] = {
	STR(cfg_service, name, true),
	{.key = "kind",
	 .type = SCHEMA_ENUM,
	 .off = offsetof(struct cfg_service, kind),
	 .required = true,
	 .names = kind_names},
	LIST(cfg_service, "calls", calls, false, call_map),
	BOOL(cfg_service, checks_fencing, false),
	INT(cfg_service, cold_limit, 1, 10000, 1),
	INT(cfg_service, warm_limit, 1, 10000, 16),
	INT(cfg_service, cost_cents_per_k, 0, 1000000, 0),
};
static const struct schema_map service_map = MAP_WITH_LINE_OF(cfg_service, service_fields);

static const struct schema_field services_fields[] = {
	REVISION(cfg_services),
	LIST(cfg_services, "items", items, true, service_map),
};
static const struct schema_map services_map = MAP_OF(cfg_services, services_fields);

static const struct schema_field upstream_fields[] = {
	STR(cfg_upstream, name, true),	      STR(cfg_upstream, service, true),
	STR(cfg_upstream, address, true),     STR(cfg_upstream, vm, true),
	STR(cfg_upstream, data_centre, true),
};
static const struct schema_map upstream_map = MAP_WITH_LINE_OF(cfg_upstream, upstream_fields);

static const struct schema_field upstreams_fields[] = {
	REVISION(cfg_upstreams),
	LIST(cfg_upstreams, "items", items, true, upstream_map),
};
static const struct schema_map upstreams_map = MAP_OF(cfg_upstreams, upstreams_fields);

static const struct schema_field model_fields[] = {
	STR(cfg_model, name, true),
	STR(cfg_model, version, true),
	STR(cfg_model, role, false),
	{.key = "upstreams",
	 .type = SCHEMA_STR_LIST,
	 .off = offsetof(struct cfg_model, upstreams),
	 .off_n = offsetof(struct cfg_model, n_upstreams),
	 .required = true},
};
static const struct schema_map model_map = MAP_WITH_LINE_OF(cfg_model, model_fields);

static const struct schema_field models_fields[] = {
	REVISION(cfg_models),
	LIST(cfg_models, "items", items, true, model_map),
};
static const struct schema_map models_map = MAP_OF(cfg_models, models_fields);

static const struct schema_field stage_fields[] = {
	STR(cfg_stage, name, true),
	STR(cfg_stage, service, true),
	STR(cfg_stage, call, false),
	BOOL(cfg_stage, stream, false),
};
static const struct schema_map stage_map = MAP_WITH_LINE_OF(cfg_stage, stage_fields);

static const struct schema_field pipeline_fields[] = {
	STR(cfg_pipeline, name, true),
	INT(cfg_pipeline, deadline_ms, 1, DURATION_MAX_MS, 4000),
	LIST(cfg_pipeline, "stages", stages, true, stage_map),
};
static const struct schema_map pipeline_map = MAP_WITH_LINE_OF(cfg_pipeline, pipeline_fields);

static const struct schema_field pipelines_fields[] = {
	REVISION(cfg_pipelines),
	LIST(cfg_pipelines, "items", items, true, pipeline_map),
};
static const struct schema_map pipelines_map = MAP_OF(cfg_pipelines, pipelines_fields);

static const struct schema_field class_fields[] = {
	STR(cfg_class, name, true),
	INT(cfg_class, rank, 0, 100, 0),
	INT(cfg_class, reserved_pct, 0, 100, 0),
};
static const struct schema_map class_map = MAP_WITH_LINE_OF(cfg_class, class_fields);

static const struct schema_field account_fields[] = {
	STR(cfg_account, name, true),
	{.key = "class",
	 .type = SCHEMA_STR,
	 .off = offsetof(struct cfg_account, class_name),
	 .required = true},
	STR(cfg_account, key_sha256, true),
	INT(cfg_account, limit_per_s, 1, 1000000, 1000000),
};
static const struct schema_map account_map = MAP_WITH_LINE_OF(cfg_account, account_fields);

static const struct schema_field accounts_fields[] = {
	REVISION(cfg_accounts),
	LIST(cfg_accounts, "classes", classes, true, class_map),
	LIST(cfg_accounts, "items", items, true, account_map),
};
static const struct schema_map accounts_map = MAP_OF(cfg_accounts, accounts_fields);

static const struct schema_field routing_fields[] = {
	REVISION(cfg_routing),
	{.key = "policy",
	 .type = SCHEMA_ENUM,
	 .off = offsetof(struct cfg_routing, policy),
	 .names = policy_names},
	INT(cfg_routing, cost_weight_pct, 0, 1000000, 100),
	INT(cfg_routing, hedge_budget_pct, 0, 100, 5),
	INT(cfg_routing, retry_budget_pct, 0, 100, 10),
	INT(cfg_routing, eject_failures, 1, 1000, 5),
	INT(cfg_routing, eject_ms, 1, DURATION_MAX_MS, 5000),
};
static const struct schema_map routing_map = MAP_OF(cfg_routing, routing_fields);

static const struct schema_field capacity_fields[] = {
	REVISION(cfg_capacity),
	INT(cfg_capacity, list_lag_ms, 1, DURATION_MAX_MS, 2000),
	INT(cfg_capacity, view_age_ms, 1, DURATION_MAX_MS, 3000),
	INT(cfg_capacity, longest_ms, 1, DURATION_MAX_MS, 4000),
	INT(cfg_capacity, address_ttl_ms, 1, DURATION_MAX_MS, 5000),
	INT(cfg_capacity, max_body_bytes, 1, 64 * 1024 * 1024, 1024 * 1024),
	INT(cfg_capacity, max_in_flight, 1, 100000, 512),
};
static const struct schema_map capacity_map = MAP_OF(cfg_capacity, capacity_fields);

struct section {
	const char *name;
	const struct schema_map *map;
	size_t off;
	bool required;
};

static const struct section sections[CFG_SECTIONS] = {
	[CFG_PLACES] = {"places", &places_map, offsetof(struct cfg, places), true},
	[CFG_SERVICES] = {"services", &services_map, offsetof(struct cfg, services), true},
	[CFG_UPSTREAMS] = {"upstreams", &upstreams_map, offsetof(struct cfg, upstreams), true},
	[CFG_MODELS] = {"models", &models_map, offsetof(struct cfg, models), false},
	[CFG_PIPELINES] = {"pipelines", &pipelines_map, offsetof(struct cfg, pipelines), true},
	[CFG_ACCOUNTS] = {"accounts", &accounts_map, offsetof(struct cfg, accounts), true},
	[CFG_ROUTING] = {"routing", &routing_map, offsetof(struct cfg, routing), true},
	[CFG_CAPACITY] = {"capacity", &capacity_map, offsetof(struct cfg, capacity), true},
};

const char *cfg_section_name(enum cfg_section_id id)
{
	return sections[id].name;
}

const struct schema_map *cfg_section_map(enum cfg_section_id id)
{
	return sections[id].map;
}

const struct schema_map *cfg_item_map(enum cfg_section_id id)
{
	const struct schema_map *map = sections[id].map;

	for (uint32_t i = 0; i < map->n_fields; i++) {
		if (strcmp(map->fields[i].key, "items") == 0)
			return map->fields[i].item;
	}
	return NULL;
}

void *cfg_section_at(struct cfg *cfg, enum cfg_section_id id)
{
	return (char *)cfg + sections[id].off;
}

int64_t cfg_revision(const struct cfg *cfg, enum cfg_section_id id)
{
	/* The first member of every section struct is its revision. */
	return *(const int64_t *)((const char *)cfg + sections[id].off);
}

static bool load_sections(struct schema_doc *doc, struct cfg *cfg, GPtrArray *faults)
{
	const char *names[CFG_SECTIONS + 1] = {0};
	bool ok = true;

	for (int i = 0; i < CFG_SECTIONS; i++)
		names[i] = sections[i].name;
	ok = schema_check_sections(doc, names, faults);
	for (int i = 0; i < CFG_SECTIONS; i++) {
		bool present;

		ok &= schema_load_section(doc, sections[i].name, sections[i].map,
					  cfg_section_at(cfg, i), &present, &cfg->lines[i], faults);
		if (!present && sections[i].required) {
			schema_add_fault(faults, sections[i].name, 1, 1, sections[i].name,
					 ERR_CONFIG_MISSING_KEY, "required section is missing");
			ok = false;
		}
	}
	return ok;
}

static struct cfg *new_cfg(void)
{
	struct cfg *cfg = g_new0(struct cfg, 1);

	cfg->refs = 1;
	return cfg;
}

/*
 * Nodes split documents by lines without parsing YAML, so each section has to start on the line
 * that cfg_split() finds.
 */
static bool check_section_lines(const char *text, size_t len, const struct cfg *cfg,
				GPtrArray *faults)
{
	struct cfg_section_text texts[CFG_SECTIONS];
	GPtrArray *ignored = schema_faults_new();
	bool ok = true;

	cfg_split(text, len, texts, ignored);
	g_ptr_array_unref(ignored);
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (cfg->lines[i] == 0 || cfg->lines[i] == texts[i].line)
			continue;
		schema_add_fault(
			faults, sections[i].name, cfg->lines[i], 1, sections[i].name, ERR_YAML,
			"the key of a section must be unquoted and start in the first column");
		ok = false;
	}
	return ok;
}

static bool check_sections(struct cfg *cfg, GPtrArray *faults)
{
	bool ok = true;

	for (int i = 0; i < CFG_SECTIONS; i++)
		ok &= cfg_check_local(cfg, i, faults);
	return ok;
}

struct cfg *cfg_parse(const char *text, size_t len, GPtrArray *faults)
{
	struct schema_doc *doc = schema_doc_new(text, len, faults);
	struct cfg *cfg;
	bool ok;

	if (!doc)
		return NULL;
	cfg = new_cfg();
	ok = load_sections(doc, cfg, faults);
	schema_doc_free(doc);
	if (ok)
		ok = check_section_lines(text, len, cfg, faults);
	if (ok) {
		ok = check_sections(cfg, faults);
		ok = cfg_resolve(cfg, faults) && ok;
	}
	if (!ok) {
		cfg_unref(cfg);
		return NULL;
	}
	return cfg;
}

/* Converts line numbers within a section's text to line numbers within its document. */
static void shift_lines(GPtrArray *faults, guint from, const struct cfg_section_text *text,
			const char *section)
{
	for (guint i = from; i < faults->len; i++) {
		struct schema_fault *fault = g_ptr_array_index(faults, i);

		fault->line += text->line - 1;
		if (fault->section[0] == '\0') {
			g_free(fault->section);
			fault->section = g_strdup(section);
		}
	}
}

static bool load_section_text(enum cfg_section_id id, const struct cfg_section_text *text,
			      struct cfg *cfg, GPtrArray *faults)
{
	const char *const names[] = {sections[id].name, NULL};
	guint before = faults->len;
	struct schema_doc *doc = schema_doc_new(text->text, text->len, faults);
	bool present = false;
	bool ok = false;

	shift_lines(faults, before, text, sections[id].name);
	if (doc) {
		schema_doc_set_first_line(doc, text->line);
		ok = schema_check_sections(doc, names, faults) &&
		     schema_load_section(doc, sections[id].name, sections[id].map,
					 cfg_section_at(cfg, id), &present, &cfg->lines[id],
					 faults);
		ok = ok && present && cfg_check_local(cfg, id, faults);
	}
	schema_doc_free(doc);
	return ok;
}

int64_t cfg_check_section(enum cfg_section_id id, const struct cfg_section_text *text,
			  GPtrArray *faults)
{
	struct cfg *cfg = new_cfg();
	int64_t revision = 0;

	if (load_section_text(id, text, cfg, faults))
		revision = cfg_revision(cfg, id);
	cfg_unref(cfg);
	return revision;
}

static void copy_section(struct cfg *cfg, const struct cfg *base, enum cfg_section_id id)
{
	schema_copy(sections[id].map, cfg_section_at(cfg, id),
		    cfg_section_at((struct cfg *)base, id));
	cfg->lines[id] = base->lines[id];
}

struct cfg *cfg_join_reusing(const struct cfg_section_text texts[CFG_SECTIONS],
			     const struct cfg *base, const bool from_base[CFG_SECTIONS],
			     GPtrArray *faults)
{
	struct cfg *cfg = new_cfg();
	bool ok = true;

	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (from_base[i]) {
			copy_section(cfg, base, i);
		} else if (texts[i].text) {
			ok &= load_section_text(i, &texts[i], cfg, faults);
		} else if (sections[i].required) {
			schema_add_fault(faults, sections[i].name, 1, 1, sections[i].name,
					 ERR_CONFIG_MISSING_KEY, "required section is missing");
			ok = false;
		}
	}
	if (!ok) {
		cfg_unref(cfg);
		return NULL;
	}
	return cfg;
}

struct cfg *cfg_join(const struct cfg_section_text texts[CFG_SECTIONS], GPtrArray *faults)
{
	const bool none[CFG_SECTIONS] = {false};

	return cfg_join_reusing(texts, NULL, none, faults);
}

bool cfg_is_required(enum cfg_section_id id)
{
	return sections[id].required;
}

struct cfg *cfg_ref(struct cfg *cfg)
{
	g_atomic_int_inc(&cfg->refs);
	return cfg;
}

void cfg_unref(struct cfg *cfg)
{
	if (!cfg || !g_atomic_int_dec_and_test(&cfg->refs))
		return;
	for (int i = 0; i < CFG_SECTIONS; i++)
		schema_clear(sections[i].map, cfg_section_at(cfg, i));
	g_free(cfg);
}
