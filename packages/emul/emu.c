#include "emu_int.h"

#include "base/clock.h"

#include <string.h>

#define ANY_PORT "127.0.0.1:0"

/* Initialises a condition variable that uses CLOCK_MONOTONIC, as the deadlines in emu_run.c do. */
static void init_condition(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

static char **list_bookings(const struct cfg_service *service)
{
	GPtrArray *names = g_ptr_array_new();

	for (uint32_t i = 0; i < service->n_calls; i++) {
		if (!service->calls[i].idempotent)
			g_ptr_array_add(names, g_strdup(service->calls[i].name));
	}
	g_ptr_array_add(names, NULL);
	return (char **)g_ptr_array_free(names, FALSE);
}

/* Replaces the n-th ANY_PORT in the document by the address of the n-th upstream. */
static void fill_addresses(struct emu *e)
{
	GString *out = g_string_new(NULL);
	const char *at = e->document;
	uint32_t next = 0;

	for (;;) {
		const char *found = strstr(at, ANY_PORT);
		if (!found || next == e->n_upstreams)
			break;
		g_string_append_len(out, at, found - at);
		g_string_append(out, e->upstreams[next++].public_address);
		at = found + strlen(ANY_PORT);
	}
	g_string_append(out, at);
	g_free(e->document);
	e->document = g_string_free(out, FALSE);
}

static void init_upstream(struct emu *e, const struct cfg *cfg, uint32_t i)
{
	const struct cfg_upstream *from = &cfg->upstreams.items[i];
	const struct cfg_service *service = &cfg->services.items[from->service_index];
	struct emu_upstream *up = &e->upstreams[i];

	up->emu = e;
	up->name = g_strdup(from->name);
	up->service = g_strdup(from->service);
	up->kind = service->kind;
	up->data_centre = g_strdup(from->data_centre);
	up->cost_cents_per_k = service->cost_cents_per_k;
	up->bookings = list_bookings(service);
	up->settings = emu_default_settings;
	up->settings.cold_limit = service->cold_limit;
	up->settings.warm_limit = service->warm_limit;
	up->prng.state = prng_next(&e->prng);
	up->incarnation = prng_next(&up->prng) | 1;
	up->traffic = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	init_condition(&up->slot);
	init_condition(&up->change);
	g_strlcpy(up->address, from->address, sizeof(up->address));
	up->orders_held.checks_fencing = service->checks_fencing;
	up->orders_held.log = json_array();
	pthread_mutex_init(&up->lock, NULL);
}

/* Lists the VMs of all upstreams as live. */
static void list_upstream_vms(struct emu *e, const struct cfg *cfg)
{
	for (uint32_t i = 0; i < cfg->upstreams.n_items; i++) {
		const struct cfg_upstream *up = &cfg->upstreams.items[i];
		json_object_set_new(e->vms, up->vm,
				    json_pack("{s:s, s:s, s:s, s:s}", "id", up->vm, "role",
					      "upstream", "data_centre", up->data_centre, "state",
					      "live"));
	}
}

static struct cfg *load_document(struct emu *e, const char *path, GError **error)
{
	GPtrArray *faults = schema_faults_new();
	struct cfg *cfg = NULL;
	gsize len;

	if (!g_file_get_contents(path, &e->document, &len, NULL)) {
		err_set(error, ERR_IO, "cannot read %s", path);
	} else {
		cfg = cfg_parse(e->document, len, faults);
		if (!cfg) {
			const struct schema_fault *fault = g_ptr_array_index(faults, 0);
			err_set(error, ERR_CONFIG_BAD_VALUE, "%s:%d: %s: %s", path, fault->line,
				fault->key, fault->reason);
		}
	}
	g_ptr_array_unref(faults);
	return cfg;
}

static bool front_upstream(struct emu *e, struct emu_upstream *up, GError **error)
{
	g_strlcpy(up->public_address, up->address, sizeof(up->public_address));
	return !e->proxy || proxy_front(e->proxy, up->name, up->data_centre, up->address,
					up->public_address, error);
}

static bool start_upstreams(struct emu *e, const struct cfg *cfg, GError **error)
{
	e->n_upstreams = cfg->upstreams.n_items;
	e->upstreams = g_new0(struct emu_upstream, e->n_upstreams);
	for (uint32_t i = 0; i < e->n_upstreams; i++) {
		init_upstream(e, cfg, i);
		if (!emu_upstream_start(&e->upstreams[i], error))
			return false;
		if (!front_upstream(e, &e->upstreams[i], error))
			return false;
	}
	return true;
}

static bool start_platform(struct emu *e, GError **error)
{
	if (!emu_platform_start(e, error))
		return false;
	g_strlcpy(e->proxied_address, e->address, sizeof(e->proxied_address));
	return !e->proxy ||
	       proxy_front(e->proxy, "platform", "", e->address, e->proxied_address, error);
}

struct emu *emu_new(const struct emu_options *options, GError **error)
{
	struct emu *e = g_new0(struct emu, 1);
	struct cfg *cfg;
	bool ok;

	pthread_mutex_init(&e->lock, NULL);
	pthread_cond_init(&e->changed, NULL);
	e->calls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->listen = g_strdup(options->listen);
	e->vms = json_object();
	e->vms_version = 1;
	e->document_version = 1;
	e->prng.state = (uint64_t)options->seed;
	cfg = load_document(e, options->config_path, error);
	if (cfg && options->proxy)
		e->proxy = proxy_new(cfg, options->latency, (uint64_t)options->seed);
	ok = cfg && start_upstreams(e, cfg, error);
	if (ok) {
		fill_addresses(e);
		list_upstream_vms(e, cfg);
		ok = start_platform(e, error);
	}
	cfg_unref(cfg);
	if (!ok) {
		emu_free(e);
		return NULL;
	}
	return e;
}

static void clear_upstream(struct emu_upstream *up)
{
	if (!up->emu)
		return; /* startup failed before init_upstream() */
	emu_run_stop(up);
	if (up->daemon)
		MHD_stop_daemon(up->daemon);
	emu_cache_clear(&up->cache);
	g_hash_table_destroy(up->traffic);
	g_strfreev(up->bookings);
	g_free(up->name);
	g_free(up->service);
	g_free(up->data_centre);
	pthread_cond_destroy(&up->slot);
	pthread_cond_destroy(&up->change);
	json_decref(up->orders_held.log);
	pthread_mutex_destroy(&up->lock);
}

void emu_free(struct emu *e)
{
	emu_platform_stop(e);
	if (e->proxy)
		proxy_free(e->proxy);
	for (uint32_t i = 0; i < e->n_upstreams; i++)
		clear_upstream(&e->upstreams[i]);
	g_free(e->upstreams);
	g_hash_table_destroy(e->calls);
	g_free(e->stale_document);
	g_free(e->faults.only_source);
	json_decref(e->vms);
	emu_log_clear(&e->log);
	g_free(e->document);
	g_free(e->listen);
	pthread_mutex_destroy(&e->lock);
	pthread_cond_destroy(&e->changed);
	g_free(e);
}

const char *emu_address(const struct emu *e)
{
	return e->address;
}

const char *emu_node_address(const struct emu *e)
{
	return e->proxied_address;
}
