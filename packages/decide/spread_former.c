/* Placements of a lost owner, for the next owner of its region. */
#include "spread_internal.h"

#include <math.h>
#include <string.h>

/* A former owner that was silent for longer isn't inherited from: little of its work counts yet. */
#define FORMER_AGE_MAX_MS RECENT_MS
/* A successor that got no answer asks again after this time; a message takes far less. */
#define FORMER_RETRY_MS 300
#define FORMER_ASKS_MAX 2
/* A later answer is ignored: its backlogs have drained since it was sent. */
#define FORMER_ANSWER_MAX_MS 1000

void spread_begin_succession(struct spread *sp)
{
	sp->is_successor = true;
	sp->asks_left = FORMER_ASKS_MAX;
}

bool spread_should_ask_former(struct spread *sp, int64_t now_ms)
{
	if (!sp->is_successor || sp->asks_left == 0 ||
	    (sp->asks_left < FORMER_ASKS_MAX && now_ms - sp->asked_ms < FORMER_RETRY_MS))
		return false;
	sp->asks_left--;
	sp->asked_ms = now_ms;
	return true;
}

/* Returns the slot of the owner of the region that was heard last before the successor, or -1. */
static int find_former(const struct spread *sp, const char *region, const char *successor,
		       int64_t now_ms)
{
	int slot = -1;

	for (int k = 0; k < OWNERS_MAX; k++) {
		const struct owner *owner = &sp->owners[k];
		if (!owner->is_known || strcmp(owner->region, region) != 0 ||
		    strcmp(owner->name, successor) == 0 ||
		    (double)(now_ms - owner->heard_ms) > FORMER_AGE_MAX_MS)
			continue;
		if (slot < 0 || owner->heard_ms > sp->owners[slot].heard_ms)
			slot = k;
	}
	return slot;
}

static int compare_placed(const void *a, const void *b)
{
	const struct spread_load *x = a;
	const struct spread_load *y = b;

	return (x->placed_us < y->placed_us) - (x->placed_us > y->placed_us);
}

uint32_t spread_get_former(struct spread *sp, const char *region, const char *successor,
			   struct spread_load *loads, uint32_t capacity, int64_t now_ms,
			   const char **former)
{
	int slot = find_former(sp, region, successor, now_ms);
	GArray *all;
	double scale;
	uint32_t n;

	if (slot < 0)
		return 0;
	all = g_array_new(FALSE, FALSE, sizeof(struct spread_load));
	scale = spread_scale_at(sp, now_ms);
	for (guint i = 0; i < sp->engines->len; i++) {
		const struct engine *e = engine_at(sp, i);
		const struct spread_load load = {
			.id = e->id,
			.backlog_us = (uint32_t)spread_drain(e->others_us[slot],
							     sp->owners[slot].heard_ms, now_ms),
			.placed_us = (uint32_t)fmin(e->others_recent[slot] / scale,
						    SPREAD_BACKLOG_MAX_US),
		};
		if (load.placed_us > 0)
			g_array_append_val(all, load);
	}
	g_array_sort(all, compare_placed);
	n = MIN(all->len, capacity);
	for (uint32_t i = 0; i < n; i++)
		loads[i] = g_array_index(all, struct spread_load, i);
	g_array_unref(all);
	sp->owners[slot].is_inherited = true;
	*former = sp->owners[slot].name;
	return n;
}

/* Excludes the former owner's own messages, if the successor has any: they tell the same work. */
static void forget_former(struct spread *sp, const char *former)
{
	for (int k = 0; k < OWNERS_MAX; k++) {
		if (sp->owners[k].is_known && strcmp(sp->owners[k].name, former) == 0)
			sp->owners[k].is_inherited = true;
	}
}

bool spread_inherit(struct spread *sp, const char *former, const struct spread_load *loads,
		    uint32_t n, int64_t now_ms)
{
	double scale = spread_scale_at(sp, now_ms);

	if (!sp->is_successor || sp->asks_left == FORMER_ASKS_MAX ||
	    now_ms - sp->asked_ms > FORMER_ANSWER_MAX_MS || n == 0)
		return false;
	sp->is_successor = false;
	forget_former(sp, former);
	for (uint32_t i = 0; i < n && i < SPREAD_LOADS_MAX; i++) {
		struct engine *e = g_hash_table_lookup(sp->by_id, loads[i].id);
		if (!e)
			continue;
		e->backlog_us =
			fmin(spread_drain(e->backlog_us, e->at_ms, now_ms) + loads[i].backlog_us,
			     SPREAD_BACKLOG_MAX_US);
		e->at_ms = now_ms;
		/* not the sum: a node that owned the region before the former owner has told it */
		e->recent = fmax(e->recent, MIN(loads[i].placed_us, SPREAD_BACKLOG_MAX_US) * scale);
		e->is_touched = true;
	}
	return true;
}
