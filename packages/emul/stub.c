#include "stub_int.h"

#include "base/clock.h"

#include <string.h>

#define SLOTS 8 /* published by engines whose room is any */

#define TICK_INTERVAL_MS 5
#define BODY_BYTES_MAX (4 * 1024 * 1024)

const struct http_server_limits stub_http_limits = {
	.max_header_bytes = 65536,
	.max_body_bytes = BODY_BYTES_MAX,
	.header_timeout_ms = 10000,
	.idle_timeout_ms = 60000,
};

void stub_answer_json(struct http_server_request *request, int status,
		      const struct hdr_list *fields, json_t *root)
{
	struct hdr_list headers = {0};
	char *text = json_dumps(root, JSON_COMPACT);

	for (uint32_t i = 0; fields && i < fields->n; i++)
		hdr_add(&headers, fields->at[i].name, fields->at[i].value);
	hdr_add(&headers, "Content-Type", "application/json");
	http_server_respond(request, status, &headers, text, strlen(text));
	hdr_clear(&headers);
	free(text);
	json_decref(root);
}

struct stub_call {
	void (*fn)(struct stub *s, void *arg);
	void *arg;
	bool done;
};

static void run_calls(struct stub *s)
{
	for (guint i = 0; i < s->calls->len; i++) {
		struct stub_call *call = g_ptr_array_index(s->calls, i);
		call->fn(s, call->arg);
		call->done = true;
	}
	g_ptr_array_set_size(s->calls, 0);
}

void stub_call(struct stub *s, void (*fn)(struct stub *s, void *arg), void *arg)
{
	struct stub_call call = {.fn = fn, .arg = arg};
	bool done = false;

	pthread_mutex_lock(&s->lock);
	g_ptr_array_add(s->calls, &call);
	pthread_mutex_unlock(&s->lock);
	while (!done) {
		clock_sleep_ms(TICK_INTERVAL_MS);
		pthread_mutex_lock(&s->lock);
		done = call.done;
		pthread_mutex_unlock(&s->lock);
	}
}

static void on_tick(uv_timer_t *timer)
{
	struct stub *s = timer->data;

	pthread_mutex_lock(&s->lock);
	for (guint i = 0; i < s->starting->len; i++)
		stub_engine_start(g_ptr_array_index(s->starting, i));
	g_ptr_array_set_size(s->starting, 0);
	run_calls(s);
	stub_crash_tick(s, clock_now_ms());
	stub_store_tick(s, clock_now_ms());
	if (s->stopping)
		uv_stop(&s->loop);
	pthread_mutex_unlock(&s->lock);
}

static void *run(void *arg)
{
	struct stub *s = arg;

	uv_run(&s->loop, UV_RUN_DEFAULT);
	return NULL;
}

struct stub *stub_new(GError **error)
{
	pthread_mutexattr_t attr;
	struct stub *s = g_new0(struct stub, 1);

	/* a request behind another one is read as the former is answered, under the lock */
	pthread_mutexattr_init(&attr);
	pthread_mutexattr_settype(&attr, PTHREAD_MUTEX_RECURSIVE);
	pthread_mutex_init(&s->lock, &attr);
	pthread_mutexattr_destroy(&attr);
	uv_loop_init(&s->loop);
	s->makers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->log = g_array_new(FALSE, FALSE, sizeof(struct stub_item));
	s->lost = g_array_new(FALSE, FALSE, sizeof(struct stub_item));
	s->epoch = 1;
	s->watches = g_ptr_array_new();
	s->engines = g_hash_table_new(g_str_hash, g_str_equal);
	s->starting = g_ptr_array_new();
	s->links = g_ptr_array_new();
	s->calls = g_ptr_array_new();
	stub_crash_init(s);
	s->store = stub_store_listen(s, NULL, error);
	if (!s->store) {
		g_free(s);
		return NULL;
	}
	uv_timer_init(&s->loop, &s->tick);
	s->tick.data = s;
	uv_timer_start(&s->tick, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
	pthread_create(&s->thread, NULL, run, s);
	return s;
}

/* Stops the thread. Engines and connections are not freed, as the test process ends soon after. */
void stub_free(struct stub *s)
{
	pthread_mutex_lock(&s->lock);
	s->stopping = true;
	pthread_mutex_unlock(&s->lock);
	pthread_join(s->thread, NULL);
}

void stub_set_store_fault(struct stub *s, enum stub_store_fault fault)
{
	pthread_mutex_lock(&s->lock);
	s->store_fault = fault;
	if (fault == STUB_STORE_COMPACTED)
		s->compacted_revision = (int64_t)s->log->len;
	pthread_mutex_unlock(&s->lock);
}

void stub_cut_watches(struct stub *s, int64_t after_ms)
{
	pthread_mutex_lock(&s->lock);
	s->cut_after_ms = after_ms;
	pthread_mutex_unlock(&s->lock);
}

void stub_set_fault(struct stub *s, const char *id, enum stub_fault fault)
{
	pthread_mutex_lock(&s->lock);
	((struct stub_engine *)g_hash_table_lookup(s->engines, id))->fault = fault;
	pthread_mutex_unlock(&s->lock);
}

void stub_get_stats(struct stub *s, const char *id, struct stub_stats *stats)
{
	struct stub_engine *e;

	pthread_mutex_lock(&s->lock);
	e = g_hash_table_lookup(s->engines, id);
	*stats = e->stats;
	stats->held = g_hash_table_size(e->results);
	stats->open = g_hash_table_size(e->open);
	pthread_mutex_unlock(&s->lock);
}

uint32_t stub_count_runs(struct stub *s, const char *attempt)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	pthread_mutex_lock(&s->lock);
	g_hash_table_iter_init(&iter, s->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct stub_engine *e = value;
		if (e->options.kind != STUB_POOL)
			n += GPOINTER_TO_UINT(g_hash_table_lookup(e->runs, attempt));
	}
	pthread_mutex_unlock(&s->lock);
	return n;
}

void stub_start(struct stub *s, struct stub_engine *e)
{
	bool is_starting = true;

	pthread_mutex_lock(&s->lock);
	e->is_starting = true;
	g_ptr_array_add(s->starting, e);
	pthread_mutex_unlock(&s->lock);
	while (is_starting) {
		clock_sleep_ms(TICK_INTERVAL_MS);
		pthread_mutex_lock(&s->lock);
		is_starting = e->is_starting;
		pthread_mutex_unlock(&s->lock);
	}
}

void stub_add_engine(struct stub *s, const struct stub_engine_options *options)
{
	struct stub_engine *e = g_new0(struct stub_engine, 1);

	e->s = s;
	e->options = *options;
	e->id = g_strdup(options->id);
	e->instance = g_strdup(options->id);
	e->service = g_strdup(options->service);
	e->zone = g_strdup(options->zone);
	e->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->open = g_hash_table_new(NULL, NULL);
	e->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	e->refusals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	e->version = stub_version_of(options);
	e->born_ms = stub_next_born_ms(e);
	pthread_mutex_lock(&s->lock);
	if (options->address_of)
		e->predecessor = g_hash_table_lookup(s->engines, options->address_of);
	g_hash_table_insert(s->engines, e->id, e);
	pthread_mutex_unlock(&s->lock);
	stub_start(s, e);
	stub_publish(s, options->id, "ready");
}

void stub_engine_publish(struct stub_engine *e, const char *state)
{
	char *key = g_strdup_printf("servers/%s", e->instance);
	char *value = NULL;

	if (state)
		value = g_strdup_printf("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
					"\"version\":\"%s\",\"slots\":%u,\"state\":\"%s\","
					"\"coldLeftMs\":0,\"sequence\":%" G_GUINT64_FORMAT
					",\"born\":%" G_GINT64_FORMAT "}",
					e->service, e->address, e->zone, e->version,
					e->options.room > 0 ? e->options.room : SLOTS, state,
					++e->s->sequence, e->born_ms);
	stub_store_write(e->s, key, value);
	g_free(key);
	g_free(value);
}

void stub_publish(struct stub *s, const char *id, const char *state)
{
	pthread_mutex_lock(&s->lock);
	stub_engine_publish(g_hash_table_lookup(s->engines, id), state);
	pthread_mutex_unlock(&s->lock);
}
