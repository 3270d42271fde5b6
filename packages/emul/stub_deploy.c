/* Deploys engines for each service of a published configuration. */
#include "stub_int.h"

#define POOL_RESULTS_MAX 200

static enum stub_kind kind_of(const struct pub_service *service)
{
	if (service->pool.present)
		return STUB_POOL;
	return service->engine.present ? STUB_STREAM : STUB_PLAIN;
}

static void add_engine(struct stub *s, const struct pub_service *service, const char *zone)
{
	enum stub_kind kind = kind_of(service);
	char *id = g_strdup_printf("%s-%s", service->name, zone);
	const struct stub_engine_options options = {
		.id = id,
		.service = service->name,
		.zone = zone,
		.kind = kind,
		.work_ms = kind == STUB_POOL ? (int64_t)service->pool.call_ms : 20,
		.gap_ms = 20,
		.events = 10,
		.results_max = POOL_RESULTS_MAX,
	};

	stub_add_engine(s, &options);
	g_free(id);
}

void stub_deploy(struct stub *s, const struct pub_doc *doc, const char *const *zones)
{
	stub_put(s, "op/config", doc->source);
	for (uint32_t i = 0; i < doc->n_services; i++) {
		for (const char *const *zone = zones; *zone; zone++)
			add_engine(s, &doc->services[i], *zone);
	}
}
