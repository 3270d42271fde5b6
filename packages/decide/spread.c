/* The engines that may be proposed, as they are published. */
#include "spread_internal.h"

#include <math.h>
#include <string.h>

static void free_engine(gpointer data)
{
	struct engine *e = data;

	g_free(e->id);
	g_free(e->service);
	g_free(e->data_centre);
	g_free(e->region);
	g_free(e);
}

struct spread *spread_new(void)
{
	struct spread *sp = g_new0(struct spread, 1);

	sp->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_engine);
	sp->engines = g_ptr_array_new();
	sp->share_max = SPREAD_SHARE;
	return sp;
}

void spread_free(struct spread *sp)
{
	if (!sp)
		return;
	g_ptr_array_unref(sp->engines);
	g_hash_table_destroy(sp->by_id);
	g_free(sp);
}

void spread_set_share(struct spread *sp, double share)
{
	sp->share_max = fmax(share, SPREAD_SHARE_MIN);
}

static struct engine *add_engine(struct spread *sp, const char *id)
{
	struct engine *e = g_new0(struct engine, 1);

	e->id = g_strdup(id);
	g_hash_table_insert(sp->by_id, e->id, e);
	g_ptr_array_add(sp->engines, e);
	return e;
}

static void remove_unlisted(struct spread *sp)
{
	for (guint i = sp->engines->len; i > 0; i--) {
		struct engine *e = engine_at(sp, i - 1);
		if (e->is_listed)
			continue;
		g_ptr_array_remove_index_fast(sp->engines, i - 1);
		g_hash_table_remove(sp->by_id, e->id);
	}
}

static void set_string(char **to, const char *from)
{
	if (g_strcmp0(*to, from) == 0)
		return;
	g_free(*to);
	*to = g_strdup(from);
}

void spread_set_engines(struct spread *sp, const struct spread_engine *engines, uint32_t n)
{
	for (guint i = 0; i < sp->engines->len; i++)
		engine_at(sp, i)->is_listed = false;
	for (uint32_t i = 0; i < n; i++) {
		struct engine *e = g_hash_table_lookup(sp->by_id, engines[i].id);
		if (!e)
			e = add_engine(sp, engines[i].id);
		set_string(&e->service, engines[i].service);
		set_string(&e->data_centre, engines[i].data_centre);
		set_string(&e->region, engines[i].region);
		e->is_usable = engines[i].is_usable;
		e->cold_until_ms = engines[i].cold_until_ms;
		e->is_listed = true;
	}
	remove_unlisted(sp);
}

void spread_get_stats(const struct spread *sp, int64_t now_ms, struct spread_stats *stats)
{
	double sum_us = 0;

	*stats = (struct spread_stats){
		.engines = sp->engines->len,
		.input_age_ms = spread_oldest_input_ms(sp, now_ms),
	};
	for (int k = 0; k < OWNERS_MAX; k++)
		stats->owners += spread_owner_counts(&sp->owners[k], now_ms);
	for (guint i = 0; i < sp->engines->len; i++) {
		const struct engine *e = engine_at(sp, i);
		double us = spread_total_backlog_us(sp, e, now_ms);
		sum_us += us;
		stats->loaded += us > 0;
		if (us <= stats->largest_us)
			continue;
		stats->largest_us = (uint32_t)us;
		stats->largest = e->id;
	}
	if (sp->engines->len > 0)
		stats->mean_us = (uint32_t)(sum_us / sp->engines->len);
}
