/* Decodes the nodes of a YAML document by schema tables. */
#include "model/schema.h"

#include "base/err.h"

#include <stdlib.h>
#include <string.h>
#include <yaml.h>

struct schema_doc {
	yaml_document_t yaml;
	int first_line; /* line of the text within its document, from 1 */
};

/* Context of a load, for the position and count of faults. */
struct schema_ctx {
	yaml_document_t *yaml;
	int first_line;
	const char *section;
	GPtrArray *faults;
	uint32_t n_faults; /* number of faults added by this load */
};

void schema_fault_free(struct schema_fault *fault)
{
	g_free(fault->section);
	g_free(fault->key);
	g_free(fault->reason);
	g_free(fault);
}

GPtrArray *schema_faults_new(void)
{
	return g_ptr_array_new_with_free_func((GDestroyNotify)schema_fault_free);
}

static void add_fault(GPtrArray *faults, const char *section, int line, int column, const char *key,
		      int code, char *reason)
{
	struct schema_fault *fault = g_new0(struct schema_fault, 1);

	fault->section = g_strdup(section);
	fault->line = line;
	fault->column = column;
	fault->key = g_strdup(key);
	fault->code = code;
	fault->reason = reason;
	g_ptr_array_add(faults, fault);
}

void schema_add_fault(GPtrArray *faults, const char *section, int line, int column, const char *key,
		      int code, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	add_fault(faults, section, line, column, key, code, g_strdup_vprintf(format, args));
	va_end(args);
}

static int line_of(int first_line, const yaml_node_t *node)
{
	return (int)node->start_mark.line + first_line;
}

static void fault_at(struct schema_ctx *ctx, const yaml_node_t *node, const char *key, int code,
		     const char *format, ...) G_GNUC_PRINTF(5, 6);

static void fault_at(struct schema_ctx *ctx, const yaml_node_t *node, const char *key, int code,
		     const char *format, ...)
{
	va_list args;

	va_start(args, format);
	add_fault(ctx->faults, ctx->section, line_of(ctx->first_line, node),
		  (int)node->start_mark.column + 1, key, code, g_strdup_vprintf(format, args));
	va_end(args);
	ctx->n_faults++;
}

static const char *scalar(const yaml_node_t *node)
{
	return (const char *)node->data.scalar.value;
}

static bool load_map(struct schema_ctx *ctx, yaml_node_t *node, const struct schema_map *map,
		     void *dst);

static void load_str(struct schema_ctx *ctx, yaml_node_t *node, const struct schema_field *field,
		     void *at)
{
	if (node->type != YAML_SCALAR_NODE || scalar(node)[0] == '\0') {
		fault_at(ctx, node, field->key, ERR_CONFIG_BAD_VALUE,
			 "expected a non-empty string");
		return;
	}
	*(char **)at = g_strdup(scalar(node));
}

static void load_int(struct schema_ctx *ctx, yaml_node_t *node, const struct schema_field *field,
		     void *at)
{
	gint64 value = 0;

	if (node->type != YAML_SCALAR_NODE ||
	    !g_ascii_string_to_signed(scalar(node), 10, field->min, field->max, &value, NULL)) {
		fault_at(ctx, node, field->key, ERR_CONFIG_BAD_VALUE,
			 "expected an integer from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
			 field->min, field->max);
		return;
	}
	*(int64_t *)at = value;
}

static void load_bool(struct schema_ctx *ctx, yaml_node_t *node, const struct schema_field *field,
		      void *at)
{
	bool is_true = node->type == YAML_SCALAR_NODE && strcmp(scalar(node), "true") == 0;
	bool is_false = node->type == YAML_SCALAR_NODE && strcmp(scalar(node), "false") == 0;

	if (!is_true && !is_false) {
		fault_at(ctx, node, field->key, ERR_CONFIG_BAD_VALUE, "expected true or false");
		return;
	}
	*(bool *)at = is_true;
}

static void load_enum(struct schema_ctx *ctx, yaml_node_t *node, const struct schema_field *field,
		      void *at)
{
	if (node->type == YAML_SCALAR_NODE) {
		for (int i = 0; field->names[i]; i++) {
			if (strcmp(scalar(node), field->names[i]) == 0) {
				*(int *)at = i;
				return;
			}
		}
	}
	char *names = g_strjoinv(", ", (char **)field->names);
	fault_at(ctx, node, field->key, ERR_CONFIG_BAD_VALUE, "expected one of %s", names);
	g_free(names);
}

static bool expect_list(struct schema_ctx *ctx, yaml_node_t *node, const struct schema_field *field)
{
	if (node->type == YAML_SEQUENCE_NODE)
		return true;
	fault_at(ctx, node, field->key, ERR_CONFIG_BAD_VALUE, "expected a list");
	return false;
}

static void load_list(struct schema_ctx *ctx, yaml_node_t *node, const struct schema_field *field,
		      void *dst)
{
	if (!expect_list(ctx, node, field))
		return;
	yaml_node_item_t *start = node->data.sequence.items.start;
	uint32_t n = (uint32_t)(node->data.sequence.items.top - start);
	char *items = g_malloc0((gsize)n * field->item->size + 1);

	*(void **)((char *)dst + field->off) = items;
	*(uint32_t *)((char *)dst + field->off_n) = n;
	for (uint32_t i = 0; i < n; i++)
		load_map(ctx, yaml_document_get_node(ctx->yaml, start[i]), field->item,
			 items + i * field->item->size);
}

static void load_strs(struct schema_ctx *ctx, yaml_node_t *node, const struct schema_field *field,
		      void *dst)
{
	if (!expect_list(ctx, node, field))
		return;
	yaml_node_item_t *start = node->data.sequence.items.start;
	uint32_t n = (uint32_t)(node->data.sequence.items.top - start);
	char **items = g_new0(char *, n + 1);

	*(char ***)((char *)dst + field->off) = items;
	*(uint32_t *)((char *)dst + field->off_n) = n;
	for (uint32_t i = 0; i < n; i++)
		load_str(ctx, yaml_document_get_node(ctx->yaml, start[i]), field, &items[i]);
}

static void load_field(struct schema_ctx *ctx, yaml_node_t *node, const struct schema_field *field,
		       void *dst)
{
	void *at = (char *)dst + field->off;

	switch (field->type) {
	case SCHEMA_STR:
		load_str(ctx, node, field, at);
		break;
	case SCHEMA_INT:
		load_int(ctx, node, field, at);
		break;
	case SCHEMA_BOOL:
		load_bool(ctx, node, field, at);
		break;
	case SCHEMA_ENUM:
		load_enum(ctx, node, field, at);
		break;
	case SCHEMA_LIST:
		load_list(ctx, node, field, dst);
		break;
	case SCHEMA_STR_LIST:
		load_strs(ctx, node, field, dst);
		break;
	}
}

static void set_fallback(const struct schema_field *field, void *dst)
{
	void *at = (char *)dst + field->off;

	if (field->type == SCHEMA_INT)
		*(int64_t *)at = field->fallback;
	else if (field->type == SCHEMA_BOOL)
		*(bool *)at = field->fallback != 0;
	else if (field->type == SCHEMA_ENUM)
		*(int *)at = (int)field->fallback;
}

static int find_field(const struct schema_map *map, const char *key)
{
	for (uint32_t i = 0; i < map->n_fields; i++) {
		if (strcmp(map->fields[i].key, key) == 0)
			return (int)i;
	}
	return -1;
}

static void load_pair(struct schema_ctx *ctx, yaml_node_pair_t *pair, const struct schema_map *map,
		      void *dst, uint64_t *seen)
{
	yaml_node_t *key = yaml_document_get_node(ctx->yaml, pair->key);
	yaml_node_t *value = yaml_document_get_node(ctx->yaml, pair->value);
	int i = key->type == YAML_SCALAR_NODE ? find_field(map, scalar(key)) : -1;

	if (i < 0) {
		fault_at(ctx, key, key->type == YAML_SCALAR_NODE ? scalar(key) : "?",
			 ERR_CONFIG_UNKNOWN_KEY, "unknown key");
		return;
	}
	if (*seen & (UINT64_C(1) << i)) {
		fault_at(ctx, key, scalar(key), ERR_CONFIG_DUPLICATE_KEY, "duplicate key");
		return;
	}
	*seen |= UINT64_C(1) << i;
	load_field(ctx, value, &map->fields[i], dst);
}

static bool load_map(struct schema_ctx *ctx, yaml_node_t *node, const struct schema_map *map,
		     void *dst)
{
	uint32_t before = ctx->n_faults;
	uint64_t seen = 0;

	memset(dst, 0, map->size);
	if (map->off_line)
		*(int *)((char *)dst + map->off_line) = line_of(ctx->first_line, node);
	for (uint32_t i = 0; i < map->n_fields; i++)
		set_fallback(&map->fields[i], dst);
	if (node->type != YAML_MAPPING_NODE) {
		fault_at(ctx, node, "", ERR_CONFIG_BAD_VALUE, "expected a mapping");
		return false;
	}
	for (yaml_node_pair_t *pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++)
		load_pair(ctx, pair, map, dst, &seen);
	for (uint32_t i = 0; i < map->n_fields; i++) {
		if (map->fields[i].required && !(seen & (UINT64_C(1) << i)))
			fault_at(ctx, node, map->fields[i].key, ERR_CONFIG_MISSING_KEY,
				 "required key is missing");
	}
	return ctx->n_faults == before;
}

static bool find_alias(const char *text, size_t len, GPtrArray *faults)
{
	yaml_parser_t parser;
	yaml_event_t event;
	bool done = false;
	bool found = false;

	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	while (!done && yaml_parser_parse(&parser, &event)) {
		done = event.type == YAML_STREAM_END_EVENT;
		if (event.type == YAML_ALIAS_EVENT) {
			schema_add_fault(faults, "", (int)event.start_mark.line + 1,
					 (int)event.start_mark.column + 1, "", ERR_YAML,
					 "aliases are not allowed");
			found = true;
		}
		yaml_event_delete(&event);
	}
	yaml_parser_delete(&parser);
	return found;
}

struct schema_doc *schema_doc_new(const char *text, size_t len, GPtrArray *faults)
{
	struct schema_doc *doc = g_new0(struct schema_doc, 1);
	yaml_parser_t parser;
	bool ok;

	/* Looking for aliases parses the whole text once more, so texts without '*' skip it. */
	if (memchr(text, '*', len) && find_alias(text, len, faults)) {
		g_free(doc);
		return NULL;
	}
	doc->first_line = 1;
	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(&parser, (const unsigned char *)text, len);
	ok = yaml_parser_load(&parser, &doc->yaml);
	if (!ok) {
		schema_add_fault(faults, "", (int)parser.problem_mark.line + 1,
				 (int)parser.problem_mark.column + 1, "", ERR_YAML, "%s",
				 parser.problem ? parser.problem : "not valid YAML");
		g_free(doc);
		doc = NULL;
	} else {
		yaml_node_t *root = yaml_document_get_root_node(&doc->yaml);

		if (!root || root->type != YAML_MAPPING_NODE) {
			schema_add_fault(faults, "", 1, 1, "", ERR_YAML, "expected a mapping");
			schema_doc_free(doc);
			doc = NULL;
		}
	}
	yaml_parser_delete(&parser);
	return doc;
}

void schema_doc_set_first_line(struct schema_doc *doc, int line)
{
	doc->first_line = line;
}

void schema_doc_free(struct schema_doc *doc)
{
	if (!doc)
		return;
	yaml_document_delete(&doc->yaml);
	g_free(doc);
}

bool schema_load_doc(struct schema_doc *doc, const struct schema_map *map, void *dst,
		     GPtrArray *faults)
{
	struct schema_ctx ctx = {
		.yaml = &doc->yaml, .first_line = doc->first_line, .section = "", .faults = faults};

	return load_map(&ctx, yaml_document_get_root_node(&doc->yaml), map, dst);
}

bool schema_load_section(struct schema_doc *doc, const char *section, const struct schema_map *map,
			 void *dst, bool *present, int *line, GPtrArray *faults)
{
	struct schema_ctx ctx = {.yaml = &doc->yaml,
				 .first_line = doc->first_line,
				 .section = section,
				 .faults = faults};
	yaml_node_t *root = yaml_document_get_root_node(&doc->yaml);

	*present = false;
	for (yaml_node_pair_t *pair = root->data.mapping.pairs.start;
	     pair < root->data.mapping.pairs.top; pair++) {
		yaml_node_t *key = yaml_document_get_node(&doc->yaml, pair->key);

		if (key->type != YAML_SCALAR_NODE || strcmp(scalar(key), section) != 0)
			continue;
		*present = true;
		*line = line_of(doc->first_line, key);
		return load_map(&ctx, yaml_document_get_node(&doc->yaml, pair->value), map, dst);
	}
	return true;
}

bool schema_check_sections(struct schema_doc *doc, const char *const *names, GPtrArray *faults)
{
	struct schema_ctx ctx = {
		.yaml = &doc->yaml, .first_line = doc->first_line, .section = "", .faults = faults};
	yaml_node_t *root = yaml_document_get_root_node(&doc->yaml);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (yaml_node_pair_t *pair = root->data.mapping.pairs.start;
	     pair < root->data.mapping.pairs.top; pair++) {
		yaml_node_t *key = yaml_document_get_node(&doc->yaml, pair->key);
		const char *name = key->type == YAML_SCALAR_NODE ? scalar(key) : "?";

		if (!g_strv_contains(names, name))
			fault_at(&ctx, key, name, ERR_CONFIG_UNKNOWN_KEY, "unknown section");
		else if (!g_hash_table_add(seen, (gpointer)name))
			fault_at(&ctx, key, name, ERR_CONFIG_DUPLICATE_KEY, "duplicate section");
	}
	g_hash_table_destroy(seen);
	return ctx.n_faults == 0;
}

static void clear_list(const struct schema_field *field, void *dst)
{
	char *items = *(char **)((char *)dst + field->off);
	uint32_t n = *(uint32_t *)((char *)dst + field->off_n);

	for (uint32_t i = 0; i < n; i++) {
		if (field->type == SCHEMA_LIST)
			schema_clear(field->item, items + i * field->item->size);
		else
			g_free(((char **)(void *)items)[i]);
	}
	g_free(items);
}

void schema_clear(const struct schema_map *map, void *dst)
{
	for (uint32_t i = 0; i < map->n_fields; i++) {
		const struct schema_field *field = &map->fields[i];

		if (field->type == SCHEMA_STR)
			g_free(*(char **)((char *)dst + field->off));
		else if (field->type == SCHEMA_LIST || field->type == SCHEMA_STR_LIST)
			clear_list(field, dst);
	}
	memset(dst, 0, map->size);
}

static void copy_list(const struct schema_field *field, void *dst)
{
	const char *items = *(char **)((char *)dst + field->off);
	uint32_t n = *(uint32_t *)((char *)dst + field->off_n);
	size_t size = field->type == SCHEMA_LIST ? field->item->size : sizeof(char *);
	char *copy = g_malloc0((gsize)n * size + 1);

	for (uint32_t i = 0; i < n; i++) {
		if (field->type == SCHEMA_LIST)
			schema_copy(field->item, copy + i * size, items + i * size);
		else
			((char **)(void *)copy)[i] =
				g_strdup(((const char *const *)(const void *)items)[i]);
	}
	*(char **)((char *)dst + field->off) = copy;
}

void schema_copy(const struct schema_map *map, void *dst, const void *src)
{
	memcpy(dst, src, map->size);
	for (uint32_t i = 0; i < map->n_fields; i++) {
		const struct schema_field *field = &map->fields[i];
		char **text = (char **)((char *)dst + field->off);

		if (field->type == SCHEMA_STR)
			*text = g_strdup(*text);
		else if (field->type == SCHEMA_LIST || field->type == SCHEMA_STR_LIST)
			copy_list(field, dst);
	}
}
