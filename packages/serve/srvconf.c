#include "serve/srvconf.h"

#include "base/err.h"
#include "decide/policy.h"
#include "decide/spread.h"
#include "model/schema.h"

#include <string.h>

#define HEARTBEAT_MS "1200" /* of a platform whose settings don't name it */
#define CPU_SHARE "0"
#define MEMORY_MB "0"	    /* the memory that the operating system reports */
#define MAX_DESCRIPTORS "0" /* RLIMIT_NOFILE */
#define ENGINE_SHARE "0"    /* SPREAD_SHARE */
/* Below these a node can't hold its own connections and one request of the usual limits. */
#define MEMORY_MB_MIN 16
#define MAX_DESCRIPTORS_MIN 64
/* Bounds on decimals, so that they fit into integers in ms, or in thousandths of a core. */
#define DECIMAL_MAX 1e9
#define CPU_SHARE_MAX 1e5
#define ENGINE_SHARE_MAX 100 /* no engine is ever above it */
#define LOG_LINES_PER_S 400  /* 40 KB/s, which takes about 1% of a quarter of a core */

#define SRVCONF_STR(member, is_required)                                                           \
	{                                                                                          \
		.key = #member, .type = SCHEMA_STR, .off = offsetof(struct srvconf, member),       \
		.required = (is_required)                                                          \
	}

static const struct schema_field centre_fields[] = {
	{.key = "name",
	 .type = SCHEMA_STR,
	 .off = offsetof(struct srvconf_data_centre, name),
	 .required = true},
	{.key = "region",
	 .type = SCHEMA_STR,
	 .off = offsetof(struct srvconf_data_centre, region),
	 .required = true},
};

static const struct schema_map centre_map = {centre_fields, G_N_ELEMENTS(centre_fields),
					     sizeof(struct srvconf_data_centre)};

static const struct schema_field fields[] = {
	SRVCONF_STR(adapter, true),
	SRVCONF_STR(vm, true),
	SRVCONF_STR(data_centre, true),
	SRVCONF_STR(region, true),
	SRVCONF_STR(caller_address, true),
	SRVCONF_STR(ready_address, true),
	SRVCONF_STR(lookup_address, true),
	SRVCONF_STR(admin_address, true),
	SRVCONF_STR(metrics_address, false),
	SRVCONF_STR(peer_address, true),
	SRVCONF_STR(source_address, true),
	{.key = "seeds",
	 .type = SCHEMA_STR_LIST,
	 .off = offsetof(struct srvconf, seeds),
	 .off_n = offsetof(struct srvconf, n_seeds)},
	{.key = "data_centres",
	 .type = SCHEMA_LIST,
	 .off = offsetof(struct srvconf, data_centres),
	 .off_n = offsetof(struct srvconf, n_data_centres),
	 .item = &centre_map},
	SRVCONF_STR(log_level, false),
	{.key = "log_lines_per_s",
	 .type = SCHEMA_INT,
	 .off = offsetof(struct srvconf, log_lines_per_s),
	 .min = 1,
	 .max = 1000000,
	 .fallback = LOG_LINES_PER_S},
	SRVCONF_STR(lookup_ttl_s, true),
	SRVCONF_STR(stop_grace_s, true),
	SRVCONF_STR(retry_ratio, true),
	SRVCONF_STR(retry_window_s, true),
	SRVCONF_STR(retry_slack, true),
	SRVCONF_STR(cold_factor, true),
	SRVCONF_STR(cold_slack, true),
	SRVCONF_STR(heartbeat_ms, false),
	SRVCONF_STR(cpu_share, false),
	SRVCONF_STR(memory_mb, false),
	SRVCONF_STR(max_descriptors, false),
	SRVCONF_STR(engine_share, false),
	{.key = "first_start", .type = SCHEMA_BOOL, .off = offsetof(struct srvconf, first_start)},
	{.key = "switched_off",
	 .type = SCHEMA_STR_LIST,
	 .off = offsetof(struct srvconf, switched_off),
	 .off_n = offsetof(struct srvconf, n_switched_off)},
};

static const struct schema_map map = {fields, G_N_ELEMENTS(fields), sizeof(struct srvconf)};

bool srvconf_has_adapter(const char *path)
{
	char *text;
	bool found;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return false;
	found = g_str_has_prefix(text, "adapter:") || strstr(text, "\nadapter:");
	g_free(text);
	return found;
}

double srvconf_number(const char *text)
{
	return g_ascii_strtod(text, NULL);
}

static bool is_number(const char *text, double max)
{
	char *end;
	double value = g_ascii_strtod(text, &end);

	return end != text && *end == '\0' && value >= 0 && value <= max;
}

static bool check_numbers(const struct srvconf *set, const char *path, GError **error)
{
	const struct {
		const char *key;
		const char *text;
		double max;
	} decimals[] = {
		{"lookup_ttl_s", set->lookup_ttl_s, DECIMAL_MAX},
		{"stop_grace_s", set->stop_grace_s, DECIMAL_MAX},
		{"retry_ratio", set->retry_ratio, DECIMAL_MAX},
		{"retry_window_s", set->retry_window_s, DECIMAL_MAX},
		{"retry_slack", set->retry_slack, DECIMAL_MAX},
		{"cold_factor", set->cold_factor, DECIMAL_MAX},
		{"cold_slack", set->cold_slack, DECIMAL_MAX},
		{"heartbeat_ms", set->heartbeat_ms, DECIMAL_MAX},
		{"cpu_share", set->cpu_share, CPU_SHARE_MAX},
		{"memory_mb", set->memory_mb, INT32_MAX},
		{"max_descriptors", set->max_descriptors, INT32_MAX},
		{"engine_share", set->engine_share, ENGINE_SHARE_MAX},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(decimals); i++) {
		if (!is_number(decimals[i].text, decimals[i].max))
			return err_set(error, ERR_SETTINGS,
				       "%s: %s: expected a number from 0 to %.0f, got %s", path,
				       decimals[i].key, decimals[i].max, decimals[i].text);
	}
	return true;
}

static bool check_minima(const struct srvconf *set, const char *path, GError **error)
{
	const struct {
		const char *key;
		const char *text;
		double min;
	} sizes[] = {
		{"memory_mb", set->memory_mb, MEMORY_MB_MIN},
		{"max_descriptors", set->max_descriptors, MAX_DESCRIPTORS_MIN},
		{"engine_share", set->engine_share, SPREAD_SHARE_MIN},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		double value = srvconf_number(sizes[i].text);
		if (value != 0 && value < sizes[i].min)
			return err_set(error, ERR_SETTINGS,
				       "%s: %s: expected 0 or a number of at least %g, got %s",
				       path, sizes[i].key, sizes[i].min, sizes[i].text);
	}
	return true;
}

static bool read_policies(struct srvconf *set, const char *path, GError **error)
{
	for (uint32_t i = 0; i < set->n_switched_off; i++) {
		enum policy policy = policy_find(set->switched_off[i]);
		if (policy == POLICIES_N)
			return err_set(error, ERR_SETTINGS, "%s: switched_off: unknown policy %s",
				       path, set->switched_off[i]);
		set->policies_off |= 1U << policy;
	}
	return true;
}

static struct srvconf *load_text(const char *path, const char *text, gsize len, GError **error)
{
	GPtrArray *faults = schema_faults_new();
	struct schema_doc *doc = schema_doc_new(text, len, faults);
	struct srvconf *set = g_new0(struct srvconf, 1);
	bool good = doc && schema_load_doc(doc, &map, set, faults);

	if (!good && faults->len > 0) {
		const struct schema_fault *fault = g_ptr_array_index(faults, 0);
		err_set(error, ERR_SETTINGS, "%s:%d:%d: %s: %s", path, fault->line, fault->column,
			fault->key, fault->reason);
	}
	schema_doc_free(doc);
	g_ptr_array_unref(faults);
	if (good && !set->heartbeat_ms)
		set->heartbeat_ms = g_strdup(HEARTBEAT_MS);
	if (good && !set->cpu_share)
		set->cpu_share = g_strdup(CPU_SHARE);
	if (good && !set->memory_mb)
		set->memory_mb = g_strdup(MEMORY_MB);
	if (good && !set->max_descriptors)
		set->max_descriptors = g_strdup(MAX_DESCRIPTORS);
	if (good && !set->engine_share)
		set->engine_share = g_strdup(ENGINE_SHARE);
	if (good && check_numbers(set, path, error) && check_minima(set, path, error) &&
	    read_policies(set, path, error))
		return set;
	srvconf_free(set);
	return NULL;
}

struct srvconf *srvconf_load(const char *path, GError **error)
{
	struct srvconf *set;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		err_set(error, ERR_SETTINGS, "%s: cannot read file", path);
		return NULL;
	}
	set = load_text(path, text, len, error);
	g_free(text);
	return set;
}

void srvconf_free(struct srvconf *set)
{
	if (!set)
		return;
	schema_clear(&map, set);
	g_free(set);
}

const char *srvconf_region_of(const struct srvconf *set, const char *data_centre)
{
	for (uint32_t i = 0; i < set->n_data_centres; i++) {
		if (strcmp(set->data_centres[i].name, data_centre) == 0)
			return set->data_centres[i].region;
	}
	return "";
}
