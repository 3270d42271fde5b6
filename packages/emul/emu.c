#include "emu_int.h"

#include "base/clk.h"

#include <string.h>

#define EMU_SERVICE_MS 5
#define EMU_TOKENS 10
#define EMU_TOKEN_MS 2
#define ANY_PORT "127.0.0.1:0"

void emu_log(struct emu *e, json_t *entry)
{
	json_object_set_new(entry, "t_ms", json_integer((json_int_t)clk_now_ms()));
	pthread_mutex_lock(&e->lock);
	json_array_append_new(e->log, entry);
	pthread_mutex_unlock(&e->lock);
}

/* Writes the bound addresses into the document, in the order in which it names upstreams. */
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
		g_string_append(out, e->upstreams[next++].address);
		at = found + strlen(ANY_PORT);
	}
	g_string_append(out, at);
	g_free(e->document);
	e->document = g_string_free(out, FALSE);
}

static void init_upstream(struct emu *e, const struct cfg *cfg, uint32_t i)
{
	const struct cfg_upstream *from = &cfg->upstreams.items[i];
	const struct cfg_service *service = &cfg->services.items[from->svc];
	struct emu_upstream *up = &e->upstreams[i];

	up->emu = e;
	up->name = g_strdup(from->name);
	up->service = g_strdup(from->service);
	up->kind = service->kind;
	up->cold_limit = service->cold_limit;
	up->warm_limit = service->warm_limit;
	up->service_ms = EMU_SERVICE_MS;
	up->tokens = EMU_TOKENS;
	up->token_ms = EMU_TOKEN_MS;
	up->incarnation = rnd_next(&e->rnd) | 1;
	g_strlcpy(up->address, from->address, sizeof(up->address));
	pthread_mutex_init(&up->lock, NULL);
}

/* Every VM that the document names is live at first. */
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
	GPtrArray *faults = sch_faults_new();
	struct cfg *cfg = NULL;
	gsize len;

	if (!g_file_get_contents(path, &e->document, &len, NULL)) {
		err_set(error, ERR_IO, "%s: can't be read", path);
	} else {
		cfg = cfg_parse(e->document, len, faults);
		if (!cfg) {
			const struct sch_fault *fault = g_ptr_array_index(faults, 0);
			err_set(error, ERR_CONFIG_BAD_VALUE, "%s:%d: %s: %s", path, fault->line,
				fault->key, fault->reason);
		}
	}
	g_ptr_array_unref(faults);
	return cfg;
}

static bool start_upstreams(struct emu *e, const struct cfg *cfg, GError **error)
{
	e->n_upstreams = cfg->upstreams.n_items;
	e->upstreams = g_new0(struct emu_upstream, e->n_upstreams);
	for (uint32_t i = 0; i < e->n_upstreams; i++) {
		init_upstream(e, cfg, i);
		if (!emu_upstream_start(&e->upstreams[i], error))
			return false;
	}
	return true;
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
	e->log = json_array();
	e->rnd.state = (uint64_t)options->seed;
	cfg = load_document(e, options->config_path, error);
	ok = cfg && start_upstreams(e, cfg, error);
	if (ok) {
		fill_addresses(e);
		list_upstream_vms(e, cfg);
		ok = emu_platform_start(e, error);
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
	if (up->daemon)
		MHD_stop_daemon(up->daemon);
	g_free(up->name);
	g_free(up->service);
	pthread_mutex_destroy(&up->lock);
}

void emu_free(struct emu *e)
{
	emu_platform_stop(e);
	for (uint32_t i = 0; i < e->n_upstreams; i++)
		clear_upstream(&e->upstreams[i]);
	g_free(e->upstreams);
	g_hash_table_destroy(e->calls);
	g_free(e->stale_document);
	g_free(e->faults.only_source);
	json_decref(e->vms);
	json_decref(e->log);
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
