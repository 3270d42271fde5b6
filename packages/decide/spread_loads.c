/* Work that this owner and others have placed at engines. */
#include "spread_internal.h"

#include <math.h>
#include <string.h>

/* Recent work is kept in units that grow with time; they are set back when they reach this. */
#define SCALE_MAX 1e6

double spread_drain(double backlog_us, int64_t since_ms, int64_t now_ms)
{
	return fmax(backlog_us - (double)(now_ms - since_ms) * US_PER_MS, 0);
}

bool spread_owner_counts(const struct owner *owner, int64_t now_ms)
{
	return owner->is_known && !owner->is_inherited &&
	       now_ms - owner->heard_ms <= SPREAD_LOAD_AGE_MAX_MS;
}

double spread_total_backlog_us(const struct spread *sp, const struct engine *e, int64_t now_ms)
{
	double us = spread_drain(e->backlog_us, e->at_ms, now_ms);

	for (int k = 0; k < OWNERS_MAX; k++) {
		if (e->others_us[k] > 0 && spread_owner_counts(&sp->owners[k], now_ms))
			us += spread_drain(e->others_us[k], sp->owners[k].heard_ms, now_ms);
	}
	return us;
}

int64_t spread_oldest_input_ms(const struct spread *sp, int64_t now_ms)
{
	int64_t oldest_ms = 0;

	for (int k = 0; k < OWNERS_MAX; k++) {
		if (spread_owner_counts(&sp->owners[k], now_ms))
			oldest_ms = MAX(oldest_ms, now_ms - sp->owners[k].heard_ms);
	}
	return oldest_ms;
}

static void rescale(struct engine *e, double scale)
{
	e->recent /= scale;
	for (int k = 0; k < OWNERS_MAX; k++)
		e->others_recent[k] /= scale;
}

double spread_total_recent(const struct spread *sp, const struct engine *e, int64_t now_ms)
{
	double sum = e->recent;

	for (int k = 0; k < OWNERS_MAX; k++) {
		if (e->others_recent[k] > 0 && spread_owner_counts(&sp->owners[k], now_ms))
			sum += e->others_recent[k];
	}
	return sum;
}

double spread_scale_at(struct spread *sp, int64_t now_ms)
{
	double scale = exp((double)(now_ms - sp->scale_from_ms) / RECENT_MS);

	if (scale <= SCALE_MAX)
		return scale;
	for (guint i = 0; i < sp->engines->len; i++)
		rescale(engine_at(sp, i), scale);
	sp->scale_from_ms = now_ms;
	return 1;
}

/* Returns the owner's slot; a new one replaces the one that was silent for longest. */
static int find_owner(struct spread *sp, const char *name)
{
	int slot = 0;

	for (int k = 0; k < OWNERS_MAX; k++) {
		if (sp->owners[k].is_known && strcmp(sp->owners[k].name, name) == 0)
			return k;
	}
	for (int k = 1; k < OWNERS_MAX && sp->owners[slot].is_known; k++) {
		if (!sp->owners[k].is_known || sp->owners[k].heard_ms < sp->owners[slot].heard_ms)
			slot = k;
	}
	for (guint i = 0; i < sp->engines->len; i++)
		engine_at(sp, i)->others_recent[slot] = 0;
	sp->owners[slot] = (struct owner){.is_known = true};
	g_strlcpy(sp->owners[slot].name, name, sizeof(sp->owners[slot].name));
	return slot;
}

void spread_note_loads(struct spread *sp, const char *owner, const struct spread_load *loads,
		       uint32_t n, int64_t now_ms)
{
	int slot = find_owner(sp, owner);
	double scale = spread_scale_at(sp, now_ms);

	sp->owners[slot].heard_ms = now_ms;
	sp->owners[slot].is_inherited = false;
	for (guint i = 0; i < sp->engines->len; i++)
		engine_at(sp, i)->others_us[slot] = 0;
	for (uint32_t i = 0; i < n && i < SPREAD_LOADS_MAX; i++) {
		struct engine *e = g_hash_table_lookup(sp->by_id, loads[i].id);
		if (!e)
			continue;
		e->others_us[slot] = MIN(loads[i].backlog_us, SPREAD_BACKLOG_MAX_US);
		/* what it doesn't tell hasn't changed but for time */
		if (loads[i].placed_us > 0)
			e->others_recent[slot] =
				MIN(loads[i].placed_us, SPREAD_BACKLOG_MAX_US) * scale;
	}
}

void spread_set_owner_region(struct spread *sp, const char *owner, const char *region)
{
	int slot = find_owner(sp, owner);

	g_strlcpy(sp->owners[slot].region, region, sizeof(sp->owners[slot].region));
}

static int compare_loads(const void *a, const void *b)
{
	const struct spread_load *x = a;
	const struct spread_load *y = b;

	return (x->backlog_us < y->backlog_us) - (x->backlog_us > y->backlog_us);
}

uint32_t spread_get_loads(struct spread *sp, struct spread_load *loads, uint32_t capacity,
			  int64_t now_ms)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct spread_load));
	double scale = spread_scale_at(sp, now_ms);
	uint32_t n;

	for (guint i = 0; i < sp->engines->len; i++) {
		const struct engine *e = engine_at(sp, i);
		const struct spread_load load = {
			.id = e->id,
			.backlog_us = (uint32_t)spread_drain(e->backlog_us, e->at_ms, now_ms),
			.placed_us = (uint32_t)fmin(e->recent / scale, SPREAD_BACKLOG_MAX_US),
		};
		if (load.backlog_us > 0 || e->is_touched)
			g_array_append_val(all, load);
	}
	if (all->len > capacity)
		g_array_sort(all, compare_loads);
	n = MIN(all->len, capacity);
	for (uint32_t i = 0; i < n; i++) {
		struct engine *e;
		loads[i] = g_array_index(all, struct spread_load, i);
		e = g_hash_table_lookup(sp->by_id, loads[i].id);
		e->is_touched = false;
	}
	g_array_unref(all);
	return n;
}
