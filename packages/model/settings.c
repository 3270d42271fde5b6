/* Settings of one node. */
#include "model/settings.h"

#include "base/err.h"
#include "model/schema.h"

#define SETTINGS_STR(member, is_required)                                                          \
	{                                                                                          \
		.key = #member, .type = SCHEMA_STR, .off = offsetof(struct settings, member),      \
		.required = (is_required)                                                          \
	}
#define SETTINGS_INT(member, min_value, max_value, default_value)                                  \
	{                                                                                          \
		.key = #member, .type = SCHEMA_INT, .off = offsetof(struct settings, member),      \
		.min = (min_value), .max = (max_value), .fallback = (default_value)                \
	}

static const struct schema_field fields[] = {
	SETTINGS_STR(vm, true),
	SETTINGS_STR(data_centre, true),
	SETTINGS_STR(caller_address, true),
	SETTINGS_STR(admin_address, true),
	SETTINGS_STR(peer_address, true),
	SETTINGS_STR(platform_address, true),
	SETTINGS_STR(source_address, false),
	SETTINGS_STR(admin_key, true),
	SETTINGS_STR(log_level, false),
	SETTINGS_INT(service_threads, 1, 4096, 256),
	SETTINGS_INT(tick_ms, 1, 1000, 10),
	SETTINGS_INT(seed, 0, INT64_MAX, 0),
	SETTINGS_INT(memory_mb, 0, INT32_MAX, 0),
	SETTINGS_INT(max_descriptors, 0, INT32_MAX, 0),
};

static const struct schema_map map = {fields, sizeof(fields) / sizeof(fields[0]),
				      sizeof(struct settings)};

/* Reports the first fault alone. */
static void set_settings_error(GPtrArray *faults, const char *path, GError **error)
{
	const struct schema_fault *fault = g_ptr_array_index(faults, 0);

	err_set(error, ERR_SETTINGS, "%s:%d:%d: %s: %s", path, fault->line, fault->column,
		fault->key, fault->reason);
}

struct settings *settings_load(const char *path, GError **error)
{
	GPtrArray *faults;
	struct schema_doc *doc;
	struct settings *set = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		err_set(error, ERR_SETTINGS, "%s: cannot read file", path);
		return NULL;
	}
	faults = schema_faults_new();
	doc = schema_doc_new(text, len, faults);
	if (doc) {
		set = g_new0(struct settings, 1);
		if (!schema_load_doc(doc, &map, set, faults)) {
			settings_free(set);
			set = NULL;
		}
	}
	if (!set)
		set_settings_error(faults, path, error);
	schema_doc_free(doc);
	g_ptr_array_unref(faults);
	g_free(text);
	return set;
}

void settings_free(struct settings *set)
{
	if (!set)
		return;
	schema_clear(&map, set);
	g_free(set);
}
