/* Prefix cache of an emulated engine. Its events arrive late, and some are lost. */
#include "base/clock.h"
#include "emu_int.h"

#define CACHE_EVENTS_MAX 1024
#define CACHE_EVENT_LAG_MS 200
#define CACHE_EVENTS_PER_LOSS 8 /* one in this many events is lost, chosen at random */

static void add_event(struct emu_upstream *up, uint64_t prefix, bool added)
{
	struct emu_cache *cache = &up->cache;
	struct emu_cache_event *event = g_new0(struct emu_cache_event, 1);

	event->number = ++cache->last_number;
	event->t_ms = clock_now_ms();
	event->prefix = prefix;
	event->added = added;
	if (prng_below(&up->prng, CACHE_EVENTS_PER_LOSS) == 0)
		g_free(event);
	else
		g_queue_push_tail(&cache->events, event);
	if (g_queue_get_length(&cache->events) > CACHE_EVENTS_MAX)
		g_free(g_queue_pop_head(&cache->events));
}

static GList *find_prefix(struct emu_cache *cache, uint64_t prefix)
{
	GList *at = cache->prefixes.head;

	while (at && *(uint64_t *)at->data != prefix)
		at = at->next;
	return at;
}

static void evict_oldest(struct emu_upstream *up)
{
	uint64_t *oldest = g_queue_pop_tail(&up->cache.prefixes);

	add_event(up, *oldest, false);
	g_free(oldest);
}

bool emu_cache_use(struct emu_upstream *up, uint64_t prefix)
{
	struct emu_cache *cache = &up->cache;
	GList *at = find_prefix(cache, prefix);

	if (at) {
		g_queue_unlink(&cache->prefixes, at);
		g_queue_push_head_link(&cache->prefixes, at);
		return true;
	}
	g_queue_push_head(&cache->prefixes, g_memdup2(&prefix, sizeof(prefix)));
	add_event(up, prefix, true);
	if (g_queue_get_length(&cache->prefixes) > EMU_CACHE_ENTRIES)
		evict_oldest(up);
	return false;
}

json_t *emu_cache_events(struct emu_upstream *up, int64_t since)
{
	int64_t until_ms = clock_now_ms() - CACHE_EVENT_LAG_MS - up->settings.report_lag_ms;
	json_t *list = json_array();
	char prefix[24];

	for (GList *at = up->cache.events.head; at; at = at->next) {
		const struct emu_cache_event *event = at->data;
		if (event->number <= since || event->t_ms > until_ms)
			continue;
		g_snprintf(prefix, sizeof(prefix), "%016" G_GINT64_MODIFIER "x", event->prefix);
		json_array_append_new(list, json_pack("{s:I, s:s, s:s}", "number",
						      (json_int_t)event->number, "prefix", prefix,
						      "event", event->added ? "added" : "evicted"));
	}
	return list;
}

void emu_cache_clear(struct emu_cache *cache)
{
	g_queue_clear_full(&cache->prefixes, g_free);
	g_queue_clear_full(&cache->events, g_free);
}
