/* Validation of sections and resolution of the references between them. */
#include "base/err.h"
#include "model/cfg.h"

#include <string.h>

#define KEY_DIGEST_HEX_CHARS 64

struct resolver {
	struct cfg *cfg;
	GPtrArray *faults;
	uint32_t n_faults;
};

static void add_bad_reference(struct resolver *r, enum cfg_section_id id, int line, const char *key,
			      const char *owner, const char *target)
{
	schema_add_fault(r->faults, cfg_section_name(id), line, 1, key, ERR_CONFIG_BAD_REFERENCE,
			 "%s refers to %s, which does not exist", owner, target);
	r->n_faults++;
}

static void add_bad_value(struct resolver *r, enum cfg_section_id id, int line, const char *key,
			  const char *owner, const char *reason)
{
	schema_add_fault(r->faults, cfg_section_name(id), line, 1, key, ERR_CONFIG_BAD_VALUE,
			 "%s: %s", owner, reason);
	r->n_faults++;
}

/* Offsets of the members that check_unique() reads from an item. */
struct item_layout {
	size_t size;
	size_t off_name;
	size_t off_line;
};

#define LAYOUT_OF(owner)                                                                           \
	(&(const struct item_layout){sizeof(struct owner), offsetof(struct owner, name),           \
				     offsetof(struct owner, line)})

static void check_unique(struct resolver *r, enum cfg_section_id id, const void *items, uint32_t n,
			 const struct item_layout *layout)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < n; i++) {
		const char *item = (const char *)items + i * layout->size;
		char *name = *(char *const *)(item + layout->off_name);

		if (!g_hash_table_add(seen, name))
			add_bad_value(r, id, *(const int *)(item + layout->off_line), "name", name,
				      "duplicate name");
	}
	g_hash_table_destroy(seen);
}

static bool has_region(const struct cfg *cfg, const char *region)
{
	for (uint32_t i = 0; i < cfg->places.n_data_centres; i++) {
		if (strcmp(cfg->places.data_centres[i].region, region) == 0)
			return true;
	}
	return false;
}

static void check_places(struct resolver *r)
{
	const struct cfg_places *places = &r->cfg->places;

	check_unique(r, CFG_PLACES, places->data_centres, places->n_data_centres,
		     LAYOUT_OF(cfg_data_centre));
	for (uint32_t i = 0; i < places->n_links; i++) {
		if (!has_region(r->cfg, places->links[i].from))
			add_bad_reference(r, CFG_PLACES, places->links[i].line, "from", "a link",
					  places->links[i].from);
		if (!has_region(r->cfg, places->links[i].to))
			add_bad_reference(r, CFG_PLACES, places->links[i].line, "to", "a link",
					  places->links[i].to);
	}
}

static void check_services(struct resolver *r)
{
	const struct cfg_services *services = &r->cfg->services;

	check_unique(r, CFG_SERVICES, services->items, services->n_items, LAYOUT_OF(cfg_service));
	for (uint32_t i = 0; i < services->n_items; i++) {
		const struct cfg_service *service = &services->items[i];

		if (service->cold_limit > service->warm_limit)
			add_bad_value(r, CFG_SERVICES, service->line, "cold_limit", service->name,
				      "cold_limit exceeds warm_limit");
		check_unique(r, CFG_SERVICES, service->calls, service->n_calls,
			     LAYOUT_OF(cfg_call));
	}
}

static void check_upstreams(struct resolver *r)
{
	check_unique(r, CFG_UPSTREAMS, r->cfg->upstreams.items, r->cfg->upstreams.n_items,
		     LAYOUT_OF(cfg_upstream));
}

static void resolve_upstreams(struct resolver *r)
{
	struct cfg_upstreams *upstreams = &r->cfg->upstreams;

	for (uint32_t i = 0; i < upstreams->n_items; i++) {
		struct cfg_upstream *up = &upstreams->items[i];
		int service_index = cfg_find_service(r->cfg, up->service);
		int dc = cfg_find_data_centre(r->cfg, up->data_centre);

		if (service_index < 0)
			add_bad_reference(r, CFG_UPSTREAMS, up->line, "service", up->name,
					  up->service);
		if (dc < 0)
			add_bad_reference(r, CFG_UPSTREAMS, up->line, "data_centre", up->name,
					  up->data_centre);
		up->service_index = (uint32_t)service_index;
		up->dc = (uint32_t)dc;
	}
}

/* An engine serves a single model, because a placement order describes its whole state. */
static void check_models(struct resolver *r)
{
	GHashTable *assigned = g_hash_table_new(g_str_hash, g_str_equal);

	check_unique(r, CFG_MODELS, r->cfg->models.items, r->cfg->models.n_items,
		     LAYOUT_OF(cfg_model));
	for (uint32_t i = 0; i < r->cfg->models.n_items; i++) {
		const struct cfg_model *model = &r->cfg->models.items[i];

		for (uint32_t k = 0; k < model->n_upstreams; k++) {
			if (!g_hash_table_add(assigned, model->upstreams[k]))
				add_bad_value(r, CFG_MODELS, model->line, "upstreams",
					      model->upstreams[k],
					      "engine is assigned to more than one model");
		}
	}
	g_hash_table_destroy(assigned);
}

static void resolve_models(struct resolver *r)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < r->cfg->upstreams.n_items; i++)
		g_hash_table_add(names, r->cfg->upstreams.items[i].name);
	for (uint32_t i = 0; i < r->cfg->models.n_items; i++) {
		const struct cfg_model *model = &r->cfg->models.items[i];

		for (uint32_t k = 0; k < model->n_upstreams; k++) {
			if (!g_hash_table_contains(names, model->upstreams[k]))
				add_bad_reference(r, CFG_MODELS, model->line, "upstreams",
						  model->name, model->upstreams[k]);
		}
	}
	g_hash_table_destroy(names);
}

static void resolve_stage(struct resolver *r, const struct cfg_pipeline *pipeline,
			  struct cfg_stage *stage)
{
	int service_index = cfg_find_service(r->cfg, stage->service);

	if (service_index < 0) {
		add_bad_reference(r, CFG_PIPELINES, stage->line, "service", pipeline->name,
				  stage->service);
		return;
	}
	stage->service_index = (uint32_t)service_index;
	const struct cfg_service *service = &r->cfg->services.items[service_index];
	stage->idempotent = service->kind != CFG_KIND_PLAIN;
	if (service->kind != CFG_KIND_PLAIN)
		return;
	int call = stage->call ? cfg_find_call(service, stage->call) : -1;
	if (call < 0)
		add_bad_reference(r, CFG_PIPELINES, stage->line, "call", pipeline->name,
				  stage->call ? stage->call
					      : "an unnamed call of its plain service");
	else
		stage->idempotent = service->calls[call].idempotent;
}

static void check_pipelines(struct resolver *r)
{
	const struct cfg_pipelines *pipelines = &r->cfg->pipelines;

	check_unique(r, CFG_PIPELINES, pipelines->items, pipelines->n_items,
		     LAYOUT_OF(cfg_pipeline));
	for (uint32_t i = 0; i < pipelines->n_items; i++) {
		const struct cfg_pipeline *pipeline = &pipelines->items[i];

		if (pipeline->n_stages == 0)
			add_bad_value(r, CFG_PIPELINES, pipeline->line, "stages", pipeline->name,
				      "pipeline has no stages");
		for (uint32_t k = 0; k + 1 < pipeline->n_stages; k++) {
			if (pipeline->stages[k].stream)
				add_bad_value(r, CFG_PIPELINES, pipeline->stages[k].line, "stream",
					      pipeline->name, "only the last stage may stream");
		}
	}
}

static void resolve_pipelines(struct resolver *r)
{
	struct cfg_pipelines *pipelines = &r->cfg->pipelines;

	for (uint32_t i = 0; i < pipelines->n_items; i++) {
		struct cfg_pipeline *pipeline = &pipelines->items[i];

		for (uint32_t k = 0; k < pipeline->n_stages; k++)
			resolve_stage(r, pipeline, &pipeline->stages[k]);
	}
}

static int find_class(const struct cfg *cfg, const char *name)
{
	for (uint32_t i = 0; i < cfg->accounts.n_classes; i++) {
		if (strcmp(cfg->accounts.classes[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

static void check_accounts(struct resolver *r)
{
	struct cfg_accounts *accounts = &r->cfg->accounts;
	int64_t reserved_pct = 0;

	check_unique(r, CFG_ACCOUNTS, accounts->items, accounts->n_items, LAYOUT_OF(cfg_account));
	for (uint32_t i = 0; i < accounts->n_classes; i++)
		reserved_pct += accounts->classes[i].reserved_pct;
	if (reserved_pct > 100)
		add_bad_value(r, CFG_ACCOUNTS, r->cfg->lines[CFG_ACCOUNTS], "reserved_pct",
			      "classes", "reserved shares add up to more than 100 percent");
	for (uint32_t i = 0; i < accounts->n_items; i++) {
		struct cfg_account *account = &accounts->items[i];
		int class_index = find_class(r->cfg, account->class_name);

		if (class_index < 0)
			add_bad_reference(r, CFG_ACCOUNTS, account->line, "class", account->name,
					  account->class_name);
		if (strlen(account->key_sha256) != KEY_DIGEST_HEX_CHARS)
			add_bad_value(r, CFG_ACCOUNTS, account->line, "key_sha256", account->name,
				      "expected a SHA-256 digest of 64 hexadecimal digits");
		account->class_index = (uint32_t)class_index;
	}
}

bool cfg_check_local(struct cfg *cfg, enum cfg_section_id id, GPtrArray *faults)
{
	static void (*const checks[CFG_SECTIONS])(struct resolver * r) = {
		[CFG_PLACES] = check_places,	   [CFG_SERVICES] = check_services,
		[CFG_UPSTREAMS] = check_upstreams, [CFG_PIPELINES] = check_pipelines,
		[CFG_ACCOUNTS] = check_accounts,   [CFG_MODELS] = check_models,
	};
	struct resolver r = {.cfg = cfg, .faults = faults};

	if (checks[id])
		checks[id](&r);
	return r.n_faults == 0;
}

bool cfg_resolve(struct cfg *cfg, GPtrArray *faults)
{
	struct resolver r = {.cfg = cfg, .faults = faults};

	resolve_upstreams(&r);
	resolve_models(&r);
	resolve_pipelines(&r);
	return r.n_faults == 0;
}

/* Frees the items for which predicate is false and closes the gaps. */
static void filter_items(const struct schema_map *map, void *items, uint32_t *n,
			 bool (*predicate)(struct cfg *cfg, void *item), struct cfg *cfg)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < *n; i++) {
		char *item = (char *)items + i * map->size;

		if (!predicate(cfg, item)) {
			schema_clear(map, item);
			continue;
		}
		if (kept != i)
			memcpy((char *)items + kept * map->size, item, map->size);
		kept++;
	}
	*n = kept;
}

static bool upstream_resolves(struct cfg *cfg, void *item)
{
	const struct cfg_upstream *up = item;

	return cfg_find_service(cfg, up->service) >= 0 &&
	       cfg_find_data_centre(cfg, up->data_centre) >= 0;
}

static bool pipeline_resolves(struct cfg *cfg, void *item)
{
	struct cfg_pipeline *pipeline = item;
	struct resolver r = {.cfg = cfg, .faults = schema_faults_new()};

	for (uint32_t k = 0; k < pipeline->n_stages; k++)
		resolve_stage(&r, pipeline, &pipeline->stages[k]);
	g_ptr_array_unref(r.faults);
	return r.n_faults == 0;
}

static void prune_model(const struct cfg *cfg, struct cfg_model *model)
{
	uint32_t kept = 0;

	for (uint32_t k = 0; k < model->n_upstreams; k++) {
		bool known = false;

		for (uint32_t i = 0; i < cfg->upstreams.n_items && !known; i++)
			known = strcmp(cfg->upstreams.items[i].name, model->upstreams[k]) == 0;
		if (known)
			model->upstreams[kept++] = model->upstreams[k];
		else
			g_free(model->upstreams[k]);
	}
	model->n_upstreams = kept;
}

void cfg_prune(struct cfg *cfg)
{
	GPtrArray *faults = schema_faults_new();

	filter_items(cfg_item_map(CFG_UPSTREAMS), cfg->upstreams.items, &cfg->upstreams.n_items,
		     upstream_resolves, cfg);
	filter_items(cfg_item_map(CFG_PIPELINES), cfg->pipelines.items, &cfg->pipelines.n_items,
		     pipeline_resolves, cfg);
	for (uint32_t i = 0; i < cfg->models.n_items; i++)
		prune_model(cfg, &cfg->models.items[i]);
	cfg_resolve(cfg, faults);
	g_ptr_array_unref(faults);
}
