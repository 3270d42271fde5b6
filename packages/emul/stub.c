#include "stub_int.h"

#include "base/clk.h"

#include <string.h>

#define TICK_MS 5
#define LIMIT_BYTES (4 * 1024 * 1024)

const struct hts_limits stub_http_limits = {
	.max_header_bytes = 65536,
	.max_body_bytes = LIMIT_BYTES,
	.header_timeout_ms = 10000,
	.idle_timeout_ms = 60000,
};

void stub_answer_json(struct hts_request *request, int status, json_t *root)
{
	struct hdr_list headers = {0};
	char *text = json_dumps(root, JSON_COMPACT);

	hdr_add(&headers, "Content-Type", "application/json");
	hts_answer(request, status, &headers, text, strlen(text));
	hdr_clear(&headers);
	free(text);
	json_decref(root);
}

static void on_tick(uv_timer_t *timer)
{
	struct stub *p = timer->data;

	pthread_mutex_lock(&p->lock);
	for (guint i = 0; i < p->starting->len; i++)
		stub_engine_start(g_ptr_array_index(p->starting, i));
	g_ptr_array_set_size(p->starting, 0);
	stub_store_tick(p, clk_now_ms());
	if (p->stopping)
		uv_stop(&p->loop);
	pthread_mutex_unlock(&p->lock);
}

static void *run(void *arg)
{
	struct stub *p = arg;

	uv_run(&p->loop, UV_RUN_DEFAULT);
	return NULL;
}

struct stub *stub_new(GError **error)
{
	struct stub *p = g_new0(struct stub, 1);

	pthread_mutex_init(&p->lock, NULL);
	uv_loop_init(&p->loop);
	p->log = g_array_new(FALSE, FALSE, sizeof(struct stub_item));
	p->watches = g_ptr_array_new();
	p->engines = g_hash_table_new(g_str_hash, g_str_equal);
	p->starting = g_ptr_array_new();
	if (!stub_store_start(p, error)) {
		g_free(p);
		return NULL;
	}
	uv_timer_init(&p->loop, &p->tick);
	p->tick.data = p;
	uv_timer_start(&p->tick, on_tick, TICK_MS, TICK_MS);
	pthread_create(&p->thread, NULL, run, p);
	return p;
}

/* The memory of its engines and connections is left to the end of the test. */
void stub_free(struct stub *p)
{
	pthread_mutex_lock(&p->lock);
	p->stopping = true;
	pthread_mutex_unlock(&p->lock);
	pthread_join(p->thread, NULL);
}

void stub_set_store_fault(struct stub *p, enum stub_store_fault fault)
{
	pthread_mutex_lock(&p->lock);
	p->store_fault = fault;
	if (fault == STUB_STORE_COMPACTED)
		p->floor = (int64_t)p->log->len;
	pthread_mutex_unlock(&p->lock);
}

void stub_set_fault(struct stub *p, const char *id, enum stub_fault fault)
{
	pthread_mutex_lock(&p->lock);
	((struct stub_engine *)g_hash_table_lookup(p->engines, id))->fault = fault;
	pthread_mutex_unlock(&p->lock);
}

void stub_get_stats(struct stub *p, const char *id, struct stub_stats *seen)
{
	struct stub_engine *e;

	pthread_mutex_lock(&p->lock);
	e = g_hash_table_lookup(p->engines, id);
	*seen = e->seen;
	seen->held = g_hash_table_size(e->results);
	pthread_mutex_unlock(&p->lock);
}

uint32_t stub_count_runs(struct stub *p, const char *attempt)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	pthread_mutex_lock(&p->lock);
	g_hash_table_iter_init(&iter, p->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct stub_engine *e = value;
		if (e->options.kind != STUB_POOL)
			n += GPOINTER_TO_UINT(g_hash_table_lookup(e->runs, attempt));
	}
	pthread_mutex_unlock(&p->lock);
	return n;
}

void stub_add_engine(struct stub *p, const struct stub_engine_options *options)
{
	struct stub_engine *e = g_new0(struct stub_engine, 1);
	bool started = false;

	e->p = p;
	e->options = *options;
	e->id = g_strdup(options->id);
	e->service = g_strdup(options->service);
	e->zone = g_strdup(options->zone);
	e->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->open = g_hash_table_new(NULL, NULL);
	pthread_mutex_lock(&p->lock);
	g_hash_table_insert(p->engines, e->id, e);
	g_ptr_array_add(p->starting, e);
	pthread_mutex_unlock(&p->lock);
	while (!started) {
		clk_sleep_ms(TICK_MS);
		pthread_mutex_lock(&p->lock);
		started = e->listener != NULL;
		pthread_mutex_unlock(&p->lock);
	}
	stub_publish(p, options->id, "ready");
}

void stub_publish(struct stub *p, const char *id, const char *state)
{
	struct stub_engine *e;
	char *key = g_strdup_printf("servers/%s", id);
	char *value = NULL;

	pthread_mutex_lock(&p->lock);
	e = g_hash_table_lookup(p->engines, id);
	if (state)
		value = g_strdup_printf(
			"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
			"\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
			"\"coldLeftMs\":0,\"sequence\":%" G_GUINT64_FORMAT ",\"born\":1}",
			e->service, hts_address(e->listener), e->zone, state, ++p->sequence);
	pthread_mutex_unlock(&p->lock);
	stub_put(p, key, value);
	g_free(key);
	g_free(value);
}
