/*
 * Engines of the stub that crash as they begin an answer on a prompt part, or a request for a path,
 * and start again.
 */
#include "stub_int.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_PARTS "X-Currantscale-Prompt-Prefix"
#define BASE_HEX 16
/* From the begin of an answer to the crash; the second value is added up to twice. */
#define CRASH_DELAY_MS 10
#define CRASH_DELAY_STEP_MS 20
#define DOWN_MS 2000 /* unless it is set */
/* From a crash until the engine's entry lapses. */
#define ENTRY_LAPSE_MS 3000
/* Of so many streams, one has neither a length nor chunks. */
#define UNFRAMED_EVERY 3

/* Calls fn with each part of the request's prompt except the last one. */
static void foreach_part(const struct http_server_request *request,
			 void (*fn)(void *arg, uint64_t part), void *arg)
{
	const char *text = hdr_get(&request->headers, HEADER_PARTS);
	const char *next;

	for (; text && (next = strchr(text, ',')); text = next + 1)
		fn(arg, strtoull(text, NULL, BASE_HEX));
}

static void record_part(void *arg, uint64_t part)
{
	struct stub *s = arg;
	GArray *times = g_hash_table_lookup(s->parts, &part);
	gint64 now_ms = clock_now_ms();

	if (!times) {
		gint64 *key = g_new(gint64, 1);
		*key = (gint64)part;
		times = g_array_new(FALSE, FALSE, sizeof(gint64));
		g_hash_table_insert(s->parts, key, times);
	}
	g_array_append_val(times, now_ms);
}

/* Has the engine crash soon, unless it is about to. */
static void schedule_crash(struct stub_engine *e)
{
	if (e->crash_at_ms == 0)
		e->crash_at_ms = clock_now_ms() + CRASH_DELAY_MS +
				 (int64_t)(e->s->crashes->len % 3) * CRASH_DELAY_STEP_MS;
}

bool stub_crash_note_run(struct stub_engine *e, const struct http_server_request *request)
{
	struct stub *s = e->s;
	int64_t now_ms = clock_now_ms();

	if (e->options.kind == STUB_STREAM)
		foreach_part(request, record_part, s);
	if (!s->crash_target || strcmp(request->target, s->crash_target) != 0)
		return false;
	g_array_append_val(s->target_runs, now_ms);
	schedule_crash(e);
	return true;
}

void stub_crash_note_refusal(struct stub_engine *e)
{
	int64_t now_ms = clock_now_ms();
	uint32_t n = 0;

	g_array_append_val(e->refusals, now_ms);
	for (guint i = 0; i < e->refusals->len; i++)
		n += g_array_index(e->refusals, int64_t, i) > now_ms - CLOCK_MS_PER_S;
	if (e->advice.brittle && n > strtod(e->advice.brittle, NULL) && e->crash_at_ms == 0)
		e->crash_at_ms = now_ms;
}

struct part_search {
	uint64_t part;
	bool found;
};

static void compare_part(void *arg, uint64_t part)
{
	struct part_search *search = arg;

	search->found = search->found || part == search->part;
}

int64_t stub_crash_note_answer(struct stub_engine *e, const struct http_server_request *request)
{
	struct stub *s = e->s;
	struct part_search search = {.part = s->crash_part};

	if (s->crash_part == 0)
		return HTTP_SERVER_LENGTH_UNKNOWN;
	foreach_part(request, compare_part, &search);
	if (search.found)
		schedule_crash(e);
	return ++s->answers % UNFRAMED_EVERY == 0 ? HTTP_SERVER_UNTIL_CLOSE
						  : HTTP_SERVER_LENGTH_UNKNOWN;
}

static void crash(struct stub_engine *e, int64_t now_ms)
{
	const struct stub_lapse lapse = {
		.engine = e,
		.instance = g_strdup(e->instance),
		.born_ms = e->born_ms,
		.at_ms = now_ms + ENTRY_LAPSE_MS,
	};

	stub_engine_stop(e);
	g_array_set_size(e->refusals, 0);
	e->crash_at_ms = 0;
	e->back_at_ms = now_ms + e->s->down_ms;
	g_array_append_val(e->s->lapses, lapse);
	g_array_append_val(e->s->crashes, now_ms);
}

/* Starts the engine again: in turn with a new id, and with the same id and a new birth. */
static void come_back(struct stub_engine *e)
{
	stub_engine_start(e);
	if (!e->listener)
		return; /* tried again at the next tick */
	e->back_at_ms = 0;
	e->born_ms = stub_next_born_ms(e);
	if (++e->n_crashes % 2 == 1) {
		g_free(e->instance);
		e->instance = g_strdup_printf("%s-%u", e->id, e->n_crashes + 1);
	}
	stub_engine_publish(e, "ready");
}

static void expire_entries(struct stub *s, int64_t now_ms)
{
	while (s->lapses->len > 0) {
		struct stub_lapse *lapse = &g_array_index(s->lapses, struct stub_lapse, 0);
		char *key;
		if (now_ms < lapse->at_ms)
			return;
		key = g_strdup_printf("servers/%s", lapse->instance);
		if (lapse->engine->born_ms == lapse->born_ms ||
		    strcmp(lapse->engine->instance, lapse->instance) != 0)
			stub_store_write(s, key, NULL);
		g_free(key);
		g_free(lapse->instance);
		g_array_remove_index(s->lapses, 0);
	}
}

void stub_crash_tick(struct stub *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct stub_engine *e = value;
		if (e->crash_at_ms > 0 && now_ms >= e->crash_at_ms)
			crash(e, now_ms);
		if (e->back_at_ms > 0 && now_ms >= e->back_at_ms)
			come_back(e);
	}
	expire_entries(s, now_ms);
}

void stub_crash_init(struct stub *s)
{
	s->down_ms = DOWN_MS;
	s->crashes = g_array_new(FALSE, FALSE, sizeof(int64_t));
	s->lapses = g_array_new(FALSE, FALSE, sizeof(struct stub_lapse));
	s->parts = g_hash_table_new(g_int64_hash, g_int64_equal);
	s->target_runs = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

void stub_set_crash_part(struct stub *s, uint64_t part, int64_t down_ms)
{
	pthread_mutex_lock(&s->lock);
	s->crash_part = part;
	s->down_ms = down_ms;
	pthread_mutex_unlock(&s->lock);
}

void stub_set_crash_target(struct stub *s, const char *target, int64_t down_ms)
{
	pthread_mutex_lock(&s->lock);
	g_free(s->crash_target);
	s->crash_target = g_strdup(target);
	s->down_ms = down_ms;
	pthread_mutex_unlock(&s->lock);
}

void stub_crash_engine(struct stub *s, const char *id, int64_t down_ms)
{
	struct stub_engine *e;

	pthread_mutex_lock(&s->lock);
	e = g_hash_table_lookup(s->engines, id);
	s->down_ms = down_ms;
	if (e->listener && e->crash_at_ms == 0)
		e->crash_at_ms = clock_now_ms();
	pthread_mutex_unlock(&s->lock);
}

static int64_t time_at(const GArray *times, uint32_t k)
{
	return times && k < times->len ? g_array_index(times, int64_t, k) : 0;
}

int64_t stub_crash_ms(struct stub *s, uint32_t k)
{
	int64_t at_ms;

	pthread_mutex_lock(&s->lock);
	at_ms = time_at(s->crashes, k);
	pthread_mutex_unlock(&s->lock);
	return at_ms;
}

int64_t stub_part_run_ms(struct stub *s, uint64_t part, uint32_t k)
{
	int64_t at_ms;

	pthread_mutex_lock(&s->lock);
	at_ms = time_at(g_hash_table_lookup(s->parts, &part), k);
	pthread_mutex_unlock(&s->lock);
	return at_ms;
}

uint32_t stub_count_part_runs(struct stub *s, uint64_t part)
{
	const GArray *times;
	uint32_t n;

	pthread_mutex_lock(&s->lock);
	times = g_hash_table_lookup(s->parts, &part);
	n = times ? times->len : 0;
	pthread_mutex_unlock(&s->lock);
	return n;
}

uint32_t stub_count_target_runs(struct stub *s)
{
	uint32_t n;

	pthread_mutex_lock(&s->lock);
	n = s->target_runs->len;
	pthread_mutex_unlock(&s->lock);
	return n;
}

int64_t stub_target_run_ms(struct stub *s, uint32_t k)
{
	int64_t at_ms;

	pthread_mutex_lock(&s->lock);
	at_ms = time_at(s->target_runs, k);
	pthread_mutex_unlock(&s->lock);
	return at_ms;
}
