/* Orders of an emulated engine: /v1/orders, and /control/orders for tests. */
#include "base/clock.h"
#include "base/mhd.h"
#include "emu_int.h"

#include <string.h>

static enum MHD_Result answer_json(struct MHD_Connection *conn, unsigned status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	enum MHD_Result rc = mhd_respond(conn, status, "application/json", text, strlen(text));

	free(text);
	json_decref(json);
	return rc;
}

static json_t *assignment_json(const struct emu_orders *orders)
{
	return json_pack("{s:I, s:s, s:s, s:s, s:b}", "fence", (json_int_t)orders->fence, "model",
			 orders->model, "version", orders->version, "role", orders->role, "loading",
			 clock_now_ms() < orders->loaded_ms);
}

static void store_assignment(struct emu_orders *orders, json_t *json, int64_t fence)
{
	static const char *const none = "";
	const char *model = json_string_value(json_object_get(json, "model"));
	const char *version = json_string_value(json_object_get(json, "version"));
	const char *role = json_string_value(json_object_get(json, "role"));

	orders->fence = MAX(orders->fence, fence);
	g_strlcpy(orders->model, model ? model : none, sizeof(orders->model));
	g_strlcpy(orders->version, version ? version : none, sizeof(orders->version));
	g_strlcpy(orders->role, role ? role : none, sizeof(orders->role));
	orders->loaded_ms = clock_now_ms() + orders->load_ms;
}

static enum MHD_Result accept_order(struct emu_upstream *up, struct MHD_Connection *conn,
				    const GByteArray *body)
{
	json_t *json = json_loadb((const char *)body->data, body->len, 0, NULL);
	int64_t fence = json_integer_value(json_object_get(json, "fence"));
	bool refused;

	if (!json)
		return mhd_respond(conn, 400, "application/json", "{}", 2);
	pthread_mutex_lock(&up->lock);
	refused = up->orders_held.checks_fencing && fence < up->orders_held.fence;
	if (!refused)
		store_assignment(&up->orders_held, json, fence);
	json_object_set_new(json, "refused", json_boolean(refused));
	json_object_set_new(json, "t_ms", json_integer((json_int_t)clock_now_ms()));
	json_array_append_new(up->orders_held.log, json);
	json_t *assignment = assignment_json(&up->orders_held);
	pthread_mutex_unlock(&up->lock);
	return answer_json(conn, refused ? 409 : 200, assignment);
}

enum MHD_Result emu_answer_orders(struct emu_upstream *up, struct MHD_Connection *conn,
				  const char *method, const GByteArray *body)
{
	if (strcmp(method, "POST") == 0)
		return accept_order(up, conn, body);
	pthread_mutex_lock(&up->lock);
	int64_t wait_ms = up->orders_held.answer_ms;
	json_t *assignment = assignment_json(&up->orders_held);
	pthread_mutex_unlock(&up->lock);
	clock_sleep_ms(wait_ms);
	return answer_json(conn, 200, assignment);
}

/* Maps each engine to its orders, in order of arrival. */
static json_t *logs_json(struct emu *e)
{
	json_t *json = json_object();

	for (uint32_t i = 0; i < e->n_upstreams; i++) {
		struct emu_upstream *up = &e->upstreams[i];

		pthread_mutex_lock(&up->lock);
		if (up->kind == CFG_KIND_ENGINE)
			json_object_set_new(json, up->name, json_deep_copy(up->orders_held.log));
		pthread_mutex_unlock(&up->lock);
	}
	return json;
}

/* Applies PUT {"checks":BOOL,"load_ms":N,"answer_ms":N} to all engines. */
static void set_order_options(struct emu *e, const GByteArray *body)
{
	json_t *json = json_loadb((const char *)body->data, body->len, 0, NULL);

	for (uint32_t i = 0; i < e->n_upstreams; i++) {
		struct emu_orders *orders = &e->upstreams[i].orders_held;

		pthread_mutex_lock(&e->upstreams[i].lock);
		orders->checks_fencing = json_is_true(json_object_get(json, "checks"));
		orders->load_ms = json_integer_value(json_object_get(json, "load_ms"));
		orders->answer_ms = json_integer_value(json_object_get(json, "answer_ms"));
		pthread_mutex_unlock(&e->upstreams[i].lock);
	}
	json_decref(json);
}

enum MHD_Result emu_control_orders(struct emu *e, struct MHD_Connection *conn, const char *method,
				   const GByteArray *body)
{
	if (strcmp(method, "PUT") == 0)
		set_order_options(e, body);
	return answer_json(conn, 200, logs_json(e));
}
