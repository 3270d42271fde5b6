/* Rules of the fault proxy, and its traffic counters per source and destination. */
#include "model/cfg.h"
#include "proxy_int.h"

#include <stddef.h>
#include <string.h>

static const struct proxy_faults no_faults = {
	.cut_after_bytes = -1,
	.cut_answer_after_bytes = -1,
};

static const struct {
	const char *name;
	size_t offset;
} keys[] = {
	{"delay_ms", offsetof(struct proxy_faults, delay_ms)},
	{"jitter_ms", offsetof(struct proxy_faults, jitter_ms)},
	{"cut_after_bytes", offsetof(struct proxy_faults, cut_after_bytes)},
	{"cut_answer_after_bytes", offsetof(struct proxy_faults, cut_answer_after_bytes)},
	{"black_hole", offsetof(struct proxy_faults, black_hole)},
	{"one_way", offsetof(struct proxy_faults, one_way)},
	{"one_way_back", offsetof(struct proxy_faults, one_way_back)},
	{"drip_bps", offsetof(struct proxy_faults, drip_bps)},
	{"refuse", offsetof(struct proxy_faults, refuse)},
};

static int64_t *value_at(struct proxy_faults *faults, size_t key)
{
	return (int64_t *)((char *)faults + keys[key].offset);
}

static bool matches(const char *pattern, const char *text)
{
	return g_pattern_match_simple(pattern, text);
}

/* Only the newest matching rule applies. */
void proxy_find_faults(const struct proxy_server *proxy, const char *from, const char *to,
		       struct proxy_faults *faults)
{
	*faults = no_faults;
	for (guint i = proxy->rules->len; i > 0; i--) {
		const struct proxy_rule *rule = g_ptr_array_index(proxy->rules, i - 1);
		if (matches(rule->from, from) && matches(rule->to, to)) {
			*faults = rule->faults;
			return;
		}
	}
}

static const char *region_of(const struct proxy_server *proxy, const char *data_centre)
{
	int dc = data_centre ? cfg_find_data_centre(proxy->cfg, data_centre) : -1;

	return dc < 0 ? "" : proxy->cfg->places.data_centres[dc].region;
}

static const struct cfg_link *find_link(const struct proxy_server *proxy, const char *a,
					const char *b)
{
	const struct cfg_places *places = &proxy->cfg->places;

	for (uint32_t i = 0; i < places->n_links; i++) {
		const struct cfg_link *link = &places->links[i];
		if ((strcmp(link->from, a) == 0 && strcmp(link->to, b) == 0) ||
		    (strcmp(link->from, b) == 0 && strcmp(link->to, a) == 0))
			return link;
	}
	return NULL;
}

struct proxy_traffic *proxy_find_traffic(struct proxy_server *proxy, const char *from,
					 const struct proxy_listener *listener, int64_t *latency_ms)
{
	const char *from_region = region_of(proxy, g_hash_table_lookup(proxy->sources, from));
	const char *to_region = region_of(proxy, listener->data_centre);
	const struct cfg_link *link = find_link(proxy, from_region, to_region);
	char *key = g_strdup_printf("%s %s", from, listener->to);
	struct proxy_traffic *traffic = g_hash_table_lookup(proxy->traffic, key);

	if (!traffic) {
		traffic = g_new0(struct proxy_traffic, 1);
		g_strlcpy(traffic->from, from, sizeof(traffic->from));
		g_strlcpy(traffic->to, listener->to, sizeof(traffic->to));
		g_hash_table_insert(proxy->traffic, g_strdup(key), traffic);
	}
	g_strlcpy(traffic->from_region, from_region, sizeof(traffic->from_region));
	g_strlcpy(traffic->to_region, to_region, sizeof(traffic->to_region));
	traffic->price_per_gb_cents = link ? link->price_per_gb_cents : 0;
	*latency_ms = link && proxy->latency ? link->latency_ms : 0;
	g_free(key);
	return traffic;
}

json_t *proxy_traffic_json(const struct proxy_server *proxy)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxy->traffic);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct proxy_traffic *t = value;
		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I}", "from",
						t->from, "to", t->to, "from_region", t->from_region,
						"to_region", t->to_region, "price_per_gb_cents",
						(json_int_t)t->price_per_gb_cents, "connections",
						(json_int_t)t->connections, "bytes_up",
						(json_int_t)t->bytes_up, "bytes_down",
						(json_int_t)t->bytes_down));
	}
	return list;
}

json_t *proxy_rules_json(const struct proxy_server *proxy)
{
	json_t *list = json_array();

	for (guint i = 0; i < proxy->rules->len; i++) {
		struct proxy_rule *rule = g_ptr_array_index(proxy->rules, i);
		json_t *json = json_pack("{s:s, s:s}", "from", rule->from, "to", rule->to);
		for (size_t key = 0; key < G_N_ELEMENTS(keys); key++)
			json_object_set_new(json, keys[key].name,
					    json_integer(*value_at(&rule->faults, key)));
		json_array_append_new(list, json);
	}
	return list;
}

void proxy_rule_free(void *arg)
{
	struct proxy_rule *rule = arg;

	g_free(rule->from);
	g_free(rule->to);
	g_free(rule);
}

static bool read_value(struct proxy_faults *faults, const char *name, const json_t *value)
{
	for (size_t key = 0; key < G_N_ELEMENTS(keys); key++) {
		if (strcmp(keys[key].name, name) != 0)
			continue;
		if (json_is_integer(value))
			*value_at(faults, key) = json_integer_value(value);
		else if (json_is_boolean(value))
			*value_at(faults, key) = json_is_true(value);
		else
			return false;
		return true;
	}
	return strcmp(name, "from") == 0 || strcmp(name, "to") == 0;
}

static bool read_faults(json_t *json, struct proxy_faults *faults)
{
	const char *name;
	json_t *value;

	*faults = no_faults;
	json_object_foreach(json, name, value)
	{
		if (!read_value(faults, name, value))
			return false;
	}
	return true;
}

static void remove_rule(struct proxy_server *proxy, const char *from, const char *to)
{
	for (guint i = proxy->rules->len; i > 0; i--) {
		const struct proxy_rule *rule = g_ptr_array_index(proxy->rules, i - 1);
		if (strcmp(rule->from, from) == 0 && strcmp(rule->to, to) == 0)
			g_ptr_array_remove_index(proxy->rules, i - 1);
	}
}

bool proxy_change_rules(struct proxy_server *proxy, json_t *json)
{
	const char *from = json_string_value(json_object_get(json, "from"));
	const char *to = json_string_value(json_object_get(json, "to"));
	struct proxy_faults faults;
	struct proxy_rule *rule;

	if (json_is_object(json) && json_object_size(json) == 0) {
		g_ptr_array_set_size(proxy->rules, 0);
		return true;
	}
	if (!from || !to || !read_faults(json, &faults))
		return false;
	remove_rule(proxy, from, to);
	if (memcmp(&faults, &no_faults, sizeof(faults)) == 0)
		return true;
	rule = g_new0(struct proxy_rule, 1);
	rule->from = g_strdup(from);
	rule->to = g_strdup(to);
	rule->faults = faults;
	g_ptr_array_add(proxy->rules, rule);
	return true;
}
