/* HTTP server of the emulated platform: configuration service, VM list, control interface. */
#include "base/mhd.h"
#include "emu_int.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#define EMU_PLATFORM_CONNECTIONS_MAX 1024

static enum MHD_Result answer_json(struct MHD_Connection *conn, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	enum MHD_Result rc = mhd_respond(conn, 200, "application/json", text, strlen(text));

	free(text);
	json_decref(json);
	return rc;
}

/* PUT /control/vms/ID adds or replaces a VM; an empty body removes it. */
static enum MHD_Result put_vm(struct emu *e, struct MHD_Connection *conn, const char *id,
			      const GByteArray *body)
{
	json_t *vm = json_loadb((const char *)body->data, body->len, 0, NULL);

	if (vm && e->proxy)
		proxy_front_peer(e->proxy, id, vm);
	pthread_mutex_lock(&e->lock);
	if (vm)
		json_object_set_new(e->vms, id, vm);
	else
		json_object_del(e->vms, id);
	e->vms_version++;
	pthread_cond_broadcast(&e->changed);
	pthread_mutex_unlock(&e->lock);
	return mhd_respond(conn, 200, "application/json", "{}", 2);
}

static enum MHD_Result put_config(struct emu *e, struct MHD_Connection *conn,
				  const GByteArray *body)
{
	pthread_mutex_lock(&e->lock);
	g_free(e->document);
	e->document = g_strndup((const char *)body->data, body->len);
	e->document_version++;
	pthread_cond_broadcast(&e->changed);
	pthread_mutex_unlock(&e->lock);
	return mhd_respond(conn, 200, "application/json", "{}", 2);
}

/* The published document, regardless of faults. */
static enum MHD_Result get_config(struct emu *e, struct MHD_Connection *conn)
{
	pthread_mutex_lock(&e->lock);
	char *text = g_strdup(e->document);
	pthread_mutex_unlock(&e->lock);
	enum MHD_Result rc = mhd_respond(conn, 200, "application/yaml", text, strlen(text));

	g_free(text);
	return rc;
}

static void set_stale(struct emu *e, bool stale)
{
	g_free(e->stale_document);
	e->stale_document = stale ? g_strdup(e->document) : NULL;
	e->faults.stale = stale;
}

/* PUT /control/platform sets the faults that the body names and clears the others. */
static enum MHD_Result put_platform(struct emu *e, struct MHD_Connection *conn,
				    const GByteArray *body)
{
	json_t *json = json_loadb((const char *)body->data, body->len, 0, NULL);

	pthread_mutex_lock(&e->lock);
	set_stale(e, json_is_true(json_object_get(json, "stale")));
	e->faults.down = json_is_true(json_object_get(json, "down"));
	e->faults.no_index = json_is_true(json_object_get(json, "no_index"));
	e->faults.no_watch = json_is_true(json_object_get(json, "no_watch"));
	g_free(e->faults.only_source);
	e->faults.only_source = g_strdup(json_string_value(json_object_get(json, "only_source")));
	pthread_cond_broadcast(&e->changed);
	pthread_mutex_unlock(&e->lock);
	json_decref(json);
	return mhd_respond(conn, 200, "application/json", "{}", 2);
}

static enum MHD_Result answer_calls(struct emu *e, struct MHD_Connection *conn)
{
	json_t *json = json_object();
	GHashTableIter iter;
	gpointer source;
	gpointer calls;

	pthread_mutex_lock(&e->lock);
	g_hash_table_iter_init(&iter, e->calls);
	while (g_hash_table_iter_next(&iter, &source, &calls))
		json_object_set_new(json, source, json_integer(GPOINTER_TO_INT(calls)));
	pthread_mutex_unlock(&e->lock);
	return answer_json(conn, json);
}

static void format_source(struct MHD_Connection *conn, char *text)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *in = (const struct sockaddr_in *)info->client_addr;

	inet_ntop(AF_INET, &in->sin_addr, text, INET_ADDRSTRLEN);
}

/* Counts a call to the platform; false if a fault requires its connection to be closed. */
static bool admit_call(struct emu *e, struct MHD_Connection *conn)
{
	char source[INET_ADDRSTRLEN];
	bool admitted;

	format_source(conn, source);
	pthread_mutex_lock(&e->lock);
	int calls = GPOINTER_TO_INT(g_hash_table_lookup(e->calls, source));
	g_hash_table_insert(e->calls, g_strdup(source), GINT_TO_POINTER(calls + 1));
	admitted = !e->faults.down &&
		   (!e->faults.only_source || strcmp(e->faults.only_source, source) == 0);
	pthread_mutex_unlock(&e->lock);
	return admitted;
}

static enum MHD_Result answer_platform(struct emu *e, struct MHD_Connection *conn, const char *url)
{
	if (!admit_call(e, conn))
		return MHD_NO;
	if (strcmp(url, "/v1/vms") == 0)
		return emu_answer_vms(e, conn);
	return emu_answer_config(e, conn, url);
}

static enum MHD_Result route(struct emu *e, struct MHD_Connection *conn, const char *url,
			     const char *method, const GByteArray *body)
{
	static const char vms[] = "/control/vms/";
	enum MHD_Result rc;
	bool put = strcmp(method, "PUT") == 0;

	if (g_str_has_prefix(url, "/v1/"))
		return answer_platform(e, conn, url);
	if (emu_control(e, conn, url, method, body, &rc))
		return rc;
	if (strcmp(url, "/control/orders") == 0)
		return emu_control_orders(e, conn, method, body);
	if (strcmp(url, "/control/calls") == 0)
		return answer_calls(e, conn);
	if (strcmp(url, "/control/config") == 0)
		return put ? put_config(e, conn, body) : get_config(e, conn);
	if (put && strcmp(url, "/control/platform") == 0)
		return put_platform(e, conn, body);
	if (put && strncmp(url, vms, strlen(vms)) == 0)
		return put_vm(e, conn, url + strlen(vms), body);
	return mhd_respond(conn, 404, "text/plain", "", 0);
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *conn, const char *url,
			      const char *method, const char *version, const char *data,
			      size_t *len, void **state)
{
	GByteArray *body = *state;

	if (!body) {
		*state = g_byte_array_new();
		return MHD_YES;
	}
	if (*len > 0) {
		g_byte_array_append(body, (const guint8 *)data, (guint)*len);
		*len = 0;
		return MHD_YES;
	}
	return route(arg, conn, url, method, body);
}

static void completed(void *arg, struct MHD_Connection *conn, void **state,
		      enum MHD_RequestTerminationCode why)
{
	if (*state)
		g_byte_array_unref(*state);
	*state = NULL;
}

bool emu_platform_start(struct emu *e, GError **error)
{
	int fd = mhd_listen(e->listen, error);

	if (fd < 0)
		return false;
	mhd_bound_address(fd, e->address);
	/* a thread per connection, since watches block */
	e->platform = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0,
		NULL, NULL, handle, e, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED,
		completed, e, MHD_OPTION_CONNECTION_LIMIT, EMU_PLATFORM_CONNECTIONS_MAX,
		MHD_OPTION_END);
	if (!e->platform) {
		close(fd);
		return err_set(error, ERR_IO, "cannot start the HTTP server of the platform");
	}
	return true;
}

void emu_platform_stop(struct emu *e)
{
	pthread_mutex_lock(&e->lock);
	e->stopping = true;
	pthread_cond_broadcast(&e->changed);
	pthread_mutex_unlock(&e->lock);
	if (e->platform)
		MHD_stop_daemon(e->platform);
}
