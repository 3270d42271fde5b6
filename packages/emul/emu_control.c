/* Control interface for tests: settings and counters of upstreams, proxy rules, arrival log. */
#include "base/clock.h"
#include "base/mhd.h"
#include "emu_int.h"

#include <stddef.h>
#include <string.h>

#define PREFIX_UPSTREAMS "/control/upstreams/"

const struct emu_settings emu_default_settings = {
	.service_ms = 5,
	.tokens = 10,
	.token_ms = 2,
	.cut_after_bytes = -1,
	.warm_after = 20,
	.cold_limit = 1,
	.warm_limit = 16,
};

struct key {
	const char *name;
	size_t offset;
};

#define KEY(field)                                                                                 \
	{                                                                                          \
#field, offsetof(struct emu_settings, field)                                       \
	}

static const struct key keys[] = {
	KEY(service_ms),      KEY(service_ms_p99), KEY(tokens),	       KEY(token_ms),
	KEY(fail_pct),	      KEY(refuse),	   KEY(down),	       KEY(straggle_pct),
	KEY(straggle_ms),     KEY(lie_warm),	   KEY(report_lag_ms), KEY(drop_after_read),
	KEY(cut_after_bytes), KEY(odd_chunks),	   KEY(wrong_request), KEY(warm_after),
	KEY(warm_after_ms),   KEY(cold_limit),	   KEY(warm_limit),    KEY(ignore_rank),
};

static int64_t *value_at(struct emu_settings *settings, const struct key *key)
{
	return (int64_t *)((char *)settings + key->offset);
}

static bool set_value(struct emu_settings *settings, const struct key *key, const json_t *value)
{
	struct emu_settings defaults = emu_default_settings;

	if (json_is_boolean(value))
		*value_at(settings, key) = json_is_true(value);
	else if (json_is_integer(value))
		*value_at(settings, key) = json_integer_value(value);
	else if (json_is_null(value))
		*value_at(settings, key) = *value_at(&defaults, key);
	else
		return false;
	return true;
}

static bool set_key(struct emu_settings *settings, const char *name, const json_t *value)
{
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		if (strcmp(keys[i].name, name) == 0)
			return set_value(settings, &keys[i], value);
	}
	return false;
}

/* Changes nothing and returns false if a key is unknown or a value has the wrong type. */
static bool change_settings(struct emu_upstream *up, json_t *json)
{
	struct emu_settings settings;
	const char *name;
	json_t *value;
	bool ok = json_is_object(json);

	pthread_mutex_lock(&up->lock);
	settings = up->settings;
	json_object_foreach(json, name, value)
	{
		if (strcmp(name, "restart") == 0)
			ok = ok && json_is_boolean(value);
		else
			ok = ok && set_key(&settings, name, value);
	}
	if (ok)
		up->settings = settings;
	pthread_cond_broadcast(&up->change);
	pthread_cond_broadcast(&up->slot);
	pthread_mutex_unlock(&up->lock);
	if (ok && json_is_true(json_object_get(json, "restart")))
		emu_run_restart(up);
	return ok;
}

/* The name "*" selects all upstreams. */
static enum MHD_Result put_upstream(struct emu *e, struct MHD_Connection *conn, const char *name,
				    const GByteArray *body)
{
	json_t *json = json_loadb((const char *)body->data, body->len, 0, NULL);
	bool all = strcmp(name, "*") == 0;
	bool found = false;
	bool ok = true;

	for (uint32_t i = 0; i < e->n_upstreams; i++) {
		if (!all && strcmp(e->upstreams[i].name, name) != 0)
			continue;
		found = true;
		ok = change_settings(&e->upstreams[i], json) && ok;
	}
	json_decref(json);
	return mhd_respond(conn, !found ? 404 : ok ? 200 : 400, "application/json", "{}", 2);
}

static json_t *traffic_json(const struct emu_upstream *up)
{
	json_t *json = json_object();
	GHashTableIter iter;
	gpointer source;
	gpointer value;

	g_hash_table_iter_init(&iter, up->traffic);
	while (g_hash_table_iter_next(&iter, &source, &value)) {
		const struct emu_traffic *traffic = value;
		json_object_set_new(json, source,
				    json_pack("{s:I, s:I}", "in", (json_int_t)traffic->bytes_in,
					      "out", (json_int_t)traffic->bytes_out));
	}
	return json;
}

static json_t *upstream_json(struct emu_upstream *up)
{
	const struct emu_counts *counts = &up->counts;
	json_t *json;

	pthread_mutex_lock(&up->lock);
	json = json_pack("{s:s, s:s, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}",
			 "service", up->service, "data_centre", up->data_centre, "warm",
			 emu_is_warm(up), "running", (json_int_t)up->running, "queued",
			 (json_int_t)(up->running - up->active), "arrivals",
			 (json_int_t)counts->arrivals, "ran", (json_int_t)counts->ran,
			 "cold_overruns", (json_int_t)counts->cold_overruns, "bookings",
			 (json_int_t)counts->bookings, "overruns", (json_int_t)counts->overruns,
			 "most_running", (json_int_t)counts->most_running, "cost_cents_per_k",
			 (json_int_t)up->cost_cents_per_k, "bytes", traffic_json(up));
	for (int outcome = EMU_OUTCOME_COMPLETE; outcome < EMU_OUTCOMES; outcome++)
		json_object_set_new(json, emu_outcome_name(outcome),
				    json_integer(counts->outcomes[outcome]));
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		json_object_set_new(json, keys[i].name,
				    json_integer(*value_at(&up->settings, &keys[i])));
	pthread_mutex_unlock(&up->lock);
	return json;
}

static json_t *state_json(struct emu *e)
{
	json_t *upstreams = json_object();

	for (uint32_t i = 0; i < e->n_upstreams; i++)
		json_object_set_new(upstreams, e->upstreams[i].name,
				    upstream_json(&e->upstreams[i]));
	return json_pack("{s:I, s:o, s:o*}", "t_ms", (json_int_t)clock_now_ms(), "upstreams",
			 upstreams, "links", e->proxy ? proxy_state_json(e->proxy) : NULL);
}

static enum MHD_Result answer_json(struct MHD_Connection *conn, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	enum MHD_Result rc = mhd_respond(conn, 200, "application/json", text, strlen(text));

	free(text);
	json_decref(json);
	return rc;
}

static enum MHD_Result answer_log(struct emu *e, struct MHD_Connection *conn)
{
	const char *since = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "since");

	return answer_json(conn, emu_log_json(e, since ? g_ascii_strtoll(since, NULL, 10) : 0));
}

/* PUT sets a rule; DELETE, an empty body or {} removes all rules. */
static enum MHD_Result change_links(struct emu *e, struct MHD_Connection *conn, const char *method,
				    const GByteArray *body)
{
	bool clear = strcmp(method, "DELETE") == 0 || body->len == 0;
	json_t *json =
		clear ? json_object() : json_loadb((const char *)body->data, body->len, 0, NULL);
	bool ok = json && proxy_set_rule(e->proxy, json);

	json_decref(json);
	return mhd_respond(conn, ok ? 200 : 400, "application/json", "{}", 2);
}

static enum MHD_Result answer_links(struct emu *e, struct MHD_Connection *conn, const char *method,
				    const GByteArray *body)
{
	if (!e->proxy)
		return mhd_respond(conn, 404, "application/json", "{}", 2);
	if (strcmp(method, "GET") == 0)
		return answer_json(conn, proxy_state_json(e->proxy));
	return change_links(e, conn, method, body);
}

bool emu_control(struct emu *e, struct MHD_Connection *conn, const char *url, const char *method,
		 const GByteArray *body, enum MHD_Result *rc)
{
	if (strcmp(url, "/control/log") == 0)
		*rc = answer_log(e, conn);
	else if (strcmp(url, "/control/state") == 0)
		*rc = answer_json(conn, state_json(e));
	else if (strcmp(url, "/control/links") == 0)
		*rc = answer_links(e, conn, method, body);
	else if (g_str_has_prefix(url, PREFIX_UPSTREAMS) && strcmp(method, "PUT") == 0)
		*rc = put_upstream(e, conn, url + strlen(PREFIX_UPSTREAMS), body);
	else
		return false;
	return true;
}
