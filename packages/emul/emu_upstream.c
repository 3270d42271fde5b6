/*
 * HTTP server of an emulated upstream: /v1/run/CALL, /v1/cancel, /v1/load, /v1/cache_events,
 * /v1/orders.
 */
#include "base/clock.h"
#include "base/mhd.h"
#include "emu_int.h"

#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define EMU_CONNECTIONS_MAX 1024
#define EMU_CONNECTION_BYTES (8 * 1024)
#define EMU_CACHE_PREFIX_BYTES 256 /* length of the input prefix that identifies a cache entry */
#define RANK_LAST 1000

static const char *get_header(struct MHD_Connection *conn, const char *name)
{
	const char *value = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name);

	return value ? value : "";
}

static int64_t get_header_int(struct MHD_Connection *conn, const char *name, int64_t fallback)
{
	gint64 value;

	if (!g_ascii_string_to_signed(get_header(conn, name), 10, 0, G_MAXINT64, &value, NULL))
		return fallback;
	return value;
}

static void fill_source(struct MHD_Connection *conn, char *text, size_t size)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *at = (const struct sockaddr_in *)info->client_addr;

	inet_ntop(AF_INET, &at->sin_addr, text, (socklen_t)size);
}

static void fill_arrival(struct emu_upstream *up, struct MHD_Connection *conn, const char *call,
			 const GByteArray *body, struct emu_arrival *arrival)
{
	char direct[sizeof(arrival->source)] = "";

	memset(arrival, 0, sizeof(*arrival));
	arrival->upstream = up->name;
	arrival->tag = (uint32_t)XXH64(body->data, body->len, 0);
	fill_source(conn, direct, sizeof(direct));
	g_strlcpy(arrival->source, direct, sizeof(arrival->source));
	g_strlcpy(arrival->call, call, sizeof(arrival->call));
	g_strlcpy(arrival->request, get_header(conn, "Currantscale-Request"),
		  sizeof(arrival->request));
	g_strlcpy(arrival->attempt, get_header(conn, "Currantscale-Attempt"),
		  sizeof(arrival->attempt));
}

static enum MHD_Result answer_outcome(struct MHD_Connection *conn, enum emu_outcome outcome)
{
	static const char text[] = "{}";

	if (outcome == EMU_OUTCOME_FAILED)
		return mhd_respond(conn, 500, "application/json", text, strlen(text));
	if (outcome == EMU_OUTCOME_REFUSED)
		return mhd_respond(conn, 503, "application/json", text, strlen(text));
	return MHD_NO; /* closes the connection */
}

static enum MHD_Result queue_answer(struct emu_upstream *up, struct MHD_Connection *conn,
				    struct emu_run *run, const struct emu_settings *settings,
				    const GByteArray *body)
{
	int64_t offset = get_header_int(conn, "Currantscale-Offset", 0);
	char *id =
		g_strdup_printf("%s%s", run->arrival->request, settings->wrong_request ? "x" : "");
	struct MHD_Response *response = emu_answer_new(run, body, offset);
	enum MHD_Result rc;

	MHD_add_response_header(response, "Currantscale-Request", id);
	/* confirms the offset at which the answer starts */
	if (up->kind == CFG_KIND_ENGINE && offset > 0)
		MHD_add_response_header(response, "Currantscale-Offset",
					get_header(conn, "Currantscale-Offset"));
	rc = MHD_queue_response(conn, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	g_free(id);
	return rc;
}

static enum MHD_Result answer_run(struct emu_upstream *up, struct MHD_Connection *conn,
				  const char *call, const GByteArray *body)
{
	uint64_t prefix = XXH64(body->data, MIN(body->len, EMU_CACHE_PREFIX_BYTES), 0);
	int64_t rank = get_header_int(conn, "Currantscale-Priority", RANK_LAST);
	enum emu_outcome outcome = EMU_OUTCOME_DROPPED;
	struct emu_arrival arrival;
	struct emu_run *run;
	struct emu_settings settings;

	pthread_mutex_lock(&up->lock);
	settings = up->settings;
	pthread_mutex_unlock(&up->lock);
	fill_arrival(up, conn, call, body, &arrival);
	emu_count_bytes(up, arrival.source, body->len, 0);
	run = emu_run_begin(up, &arrival, rank);
	if (settings.refuse) {
		outcome = EMU_OUTCOME_REFUSED;
	} else if (emu_run_work(run, prefix, &outcome) && !settings.drop_after_read) {
		return queue_answer(up, conn, run, &settings, body);
	}
	emu_run_end(run, outcome);
	return answer_outcome(conn, outcome);
}

static enum MHD_Result answer_json(struct MHD_Connection *conn, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	enum MHD_Result rc = mhd_respond(conn, 200, "application/json", text, strlen(text));

	free(text);
	json_decref(json);
	return rc;
}

/* The caller holds up->lock. */
static void refresh_report(struct emu_upstream *up)
{
	int64_t now_ms = clock_now_ms();

	if (up->last_report.at_ms > 0 &&
	    now_ms < up->last_report.at_ms + up->settings.report_lag_ms)
		return;
	up->last_report = (struct emu_report){
		.at_ms = now_ms,
		.incarnation = up->incarnation,
		.warm = emu_is_warm(up),
		.running = up->running,
		.queued = up->running - up->active,
	};
}

static enum MHD_Result answer_load(struct emu_upstream *up, struct MHD_Connection *conn)
{
	char incarnation[24];
	json_t *json;

	pthread_mutex_lock(&up->lock);
	refresh_report(up);
	g_snprintf(incarnation, sizeof(incarnation), "%" G_GINT64_MODIFIER "x",
		   up->last_report.incarnation);
	json = json_pack("{s:s, s:b, s:I, s:I, s:I, s:I}", "incarnation", incarnation, "warm",
			 up->last_report.warm || up->settings.lie_warm, "running",
			 (json_int_t)up->last_report.running, "queued",
			 (json_int_t)up->last_report.queued, "most_running",
			 (json_int_t)up->counts.most_running, "overruns",
			 (json_int_t)up->counts.overruns);
	pthread_mutex_unlock(&up->lock);
	return answer_json(conn, json);
}

static enum MHD_Result answer_cache_events(struct emu_upstream *up, struct MHD_Connection *conn)
{
	const char *text = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "since");
	json_t *json;

	pthread_mutex_lock(&up->lock);
	json = emu_cache_events(up, text ? g_ascii_strtoll(text, NULL, 10) : 0);
	pthread_mutex_unlock(&up->lock);
	return answer_json(conn, json);
}

static enum MHD_Result answer_cancel(struct emu_upstream *up, struct MHD_Connection *conn)
{
	emu_run_cancel(up, get_header(conn, "Currantscale-Request"),
		       get_header(conn, "Currantscale-Attempt"));
	return mhd_respond(conn, 200, "application/json", "{}", 2);
}

static bool is_down(struct emu_upstream *up)
{
	bool down;

	pthread_mutex_lock(&up->lock);
	down = up->settings.down;
	pthread_mutex_unlock(&up->lock);
	return down;
}

static enum MHD_Result accept_client(void *arg, const struct sockaddr *at, socklen_t len)
{
	return is_down(arg) ? MHD_NO : MHD_YES;
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *conn, const char *url,
			      const char *method, const char *version, const char *data,
			      size_t *len, void **state)
{
	static const char run[] = "/v1/run/";
	struct emu_upstream *up = arg;
	GByteArray *body = *state;

	if (!body) {
		*state = g_byte_array_new();
		return is_down(up) ? MHD_NO : MHD_YES;
	}
	if (*len > 0) {
		g_byte_array_append(body, (const guint8 *)data, (guint)*len);
		*len = 0;
		return MHD_YES;
	}
	if (strncmp(url, run, strlen(run)) == 0)
		return answer_run(up, conn, url + strlen(run), body);
	if (strcmp(url, "/v1/orders") == 0)
		return emu_answer_orders(up, conn, method, body);
	if (strcmp(url, "/v1/load") == 0)
		return answer_load(up, conn);
	if (strcmp(url, "/v1/cancel") == 0)
		return answer_cancel(up, conn);
	if (strcmp(url, "/v1/cache_events") == 0)
		return answer_cache_events(up, conn);
	return mhd_respond(conn, 404, "text/plain", "", 0);
}

static void completed(void *arg, struct MHD_Connection *conn, void **state,
		      enum MHD_RequestTerminationCode why)
{
	if (*state)
		g_byte_array_unref(*state);
	*state = NULL;
}

bool emu_upstream_start(struct emu_upstream *up, GError **error)
{
	int fd = mhd_listen(up->address, error);

	if (fd < 0)
		return false;
	mhd_bound_address(fd, up->address);
	up->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0,
		accept_client, up, handle, up, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_NOTIFY_COMPLETED, completed, up, MHD_OPTION_CONNECTION_LIMIT,
		EMU_CONNECTIONS_MAX, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)EMU_CONNECTION_BYTES, MHD_OPTION_END);
	if (!up->daemon) {
		close(fd);
		return err_set(error, ERR_IO, "cannot start the HTTP server of upstream %s",
			       up->name);
	}
	return true;
}
