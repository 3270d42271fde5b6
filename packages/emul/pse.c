#include "pse_int.h"

#include "base/clock.h"

#include <string.h>

#define TICK_MS 5
#define LIMIT_BYTES (4 * 1024 * 1024)

const struct http_server_limits pse_limits = {
	.max_header_bytes = 65536,
	.max_body_bytes = LIMIT_BYTES,
	.header_timeout_ms = 10000,
	.idle_timeout_ms = 60000,
};

void pse_answer_json(struct http_server_request *request, int status, json_t *root)
{
	struct hdr_list headers = {0};
	char *text = json_dumps(root, JSON_COMPACT);

	hdr_add(&headers, "Content-Type", "application/json");
	http_server_respond(request, status, &headers, text, strlen(text));
	hdr_clear(&headers);
	free(text);
	json_decref(root);
}

static void on_tick(uv_timer_t *timer)
{
	struct pse *p = timer->data;

	pthread_mutex_lock(&p->lock);
	for (guint i = 0; i < p->starting->len; i++)
		pse_engine_start(g_ptr_array_index(p->starting, i));
	g_ptr_array_set_size(p->starting, 0);
	pse_store_tick(p, clock_now_ms());
	if (p->stopping)
		uv_stop(&p->loop);
	pthread_mutex_unlock(&p->lock);
}

static void *run(void *arg)
{
	struct pse *p = arg;

	uv_run(&p->loop, UV_RUN_DEFAULT);
	return NULL;
}

struct pse *pse_new(GError **error)
{
	struct pse *p = g_new0(struct pse, 1);

	pthread_mutex_init(&p->lock, NULL);
	uv_loop_init(&p->loop);
	p->log = g_array_new(FALSE, FALSE, sizeof(struct pse_item));
	p->watches = g_ptr_array_new();
	p->engines = g_hash_table_new(g_str_hash, g_str_equal);
	p->starting = g_ptr_array_new();
	if (!pse_store_start(p, error)) {
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
void pse_free(struct pse *p)
{
	pthread_mutex_lock(&p->lock);
	p->stopping = true;
	pthread_mutex_unlock(&p->lock);
	pthread_join(p->thread, NULL);
}

void pse_set_store_fault(struct pse *p, enum pse_store_fault fault)
{
	pthread_mutex_lock(&p->lock);
	p->store_fault = fault;
	if (fault == PSE_STORE_FORGOT)
		p->floor = (int64_t)p->log->len;
	pthread_mutex_unlock(&p->lock);
}

void pse_set_fault(struct pse *p, const char *id, enum pse_fault fault)
{
	pthread_mutex_lock(&p->lock);
	((struct pse_engine *)g_hash_table_lookup(p->engines, id))->fault = fault;
	pthread_mutex_unlock(&p->lock);
}

void pse_look(struct pse *p, const char *id, struct pse_seen *seen)
{
	struct pse_engine *e;

	pthread_mutex_lock(&p->lock);
	e = g_hash_table_lookup(p->engines, id);
	*seen = e->seen;
	seen->held = g_hash_table_size(e->results);
	pthread_mutex_unlock(&p->lock);
}

uint32_t pse_count_runs(struct pse *p, const char *attempt)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	pthread_mutex_lock(&p->lock);
	g_hash_table_iter_init(&iter, p->engines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pse_engine *e = value;
		if (e->options.kind != PSE_POOL)
			n += GPOINTER_TO_UINT(g_hash_table_lookup(e->runs, attempt));
	}
	pthread_mutex_unlock(&p->lock);
	return n;
}

void pse_add_engine(struct pse *p, const struct pse_engine_options *options)
{
	struct pse_engine *e = g_new0(struct pse_engine, 1);
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
		clock_sleep_ms(TICK_MS);
		pthread_mutex_lock(&p->lock);
		started = e->listener != NULL;
		pthread_mutex_unlock(&p->lock);
	}
	pse_publish(p, options->id, "ready");
}

void pse_publish(struct pse *p, const char *id, const char *state)
{
	struct pse_engine *e;
	char *key = g_strdup_printf("servers/%s", id);
	char *value = NULL;

	pthread_mutex_lock(&p->lock);
	e = g_hash_table_lookup(p->engines, id);
	if (state)
		value = g_strdup_printf("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
					"\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
					"\"coldLeftMs\":0,\"sequence\":%" G_GUINT64_FORMAT
					",\"born\":1}",
					e->service, http_server_address(e->listener), e->zone,
					state, ++p->sequence);
	pthread_mutex_unlock(&p->lock);
	pse_put(p, key, value);
	g_free(key);
	g_free(value);
}
