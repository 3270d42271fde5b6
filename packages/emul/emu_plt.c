/* The emulated platform: configuration service, VM list, and the controls of a test. */
#include "base/hsv.h"
#include "emu_int.h"

#include <string.h>
#include <unistd.h>

#define EMU_ETAG_BYTES 32

static enum MHD_Result answer_config(struct emu *e, struct MHD_Connection *conn)
{
	const char *have = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "If-None-Match");
	struct MHD_Response *response;
	char etag[EMU_ETAG_BYTES];
	unsigned status = MHD_HTTP_OK;
	enum MHD_Result rc;

	pthread_mutex_lock(&e->lock);
	g_snprintf(etag, sizeof(etag), "%" G_GUINT64_FORMAT, e->document_version);
	if (have && strcmp(have, etag) == 0) {
		status = MHD_HTTP_NOT_MODIFIED;
		response = MHD_create_response_from_buffer(0, NULL, MHD_RESPMEM_PERSISTENT);
	} else {
		response = MHD_create_response_from_buffer(strlen(e->document), e->document,
							   MHD_RESPMEM_MUST_COPY);
	}
	pthread_mutex_unlock(&e->lock);
	MHD_add_response_header(response, "ETag", etag);
	rc = MHD_queue_response(conn, status, response);
	MHD_destroy_response(response);
	return rc;
}

static enum MHD_Result answer_vms(struct emu *e, struct MHD_Connection *conn)
{
	json_t *list = json_array();
	const char *id;
	json_t *vm;

	pthread_mutex_lock(&e->lock);
	json_object_foreach(e->vms, id, vm) json_array_append(list, vm);
	json_t *json = json_pack("{s:I, s:O}", "version", (json_int_t)e->vms_version, "vms", list);
	char *text = json_dumps(json, JSON_COMPACT);
	pthread_mutex_unlock(&e->lock);
	enum MHD_Result rc = hsv_answer(conn, 200, "application/json", text, strlen(text));
	free(text);
	json_decref(json);
	json_decref(list);
	return rc;
}

/* PUT /control/vms/ID with the VM's object adds or changes it; an empty body removes it. */
static enum MHD_Result put_vm(struct emu *e, struct MHD_Connection *conn, const char *id,
			      const GByteArray *body)
{
	json_t *vm = json_loadb((const char *)body->data, body->len, 0, NULL);

	pthread_mutex_lock(&e->lock);
	if (vm)
		json_object_set_new(e->vms, id, vm);
	else
		json_object_del(e->vms, id);
	e->vms_version++;
	pthread_mutex_unlock(&e->lock);
	return hsv_answer(conn, 200, "application/json", "{}", 2);
}

static enum MHD_Result put_config(struct emu *e, struct MHD_Connection *conn,
				  const GByteArray *body)
{
	pthread_mutex_lock(&e->lock);
	g_free(e->document);
	e->document = g_strndup((const char *)body->data, body->len);
	e->document_version++;
	pthread_mutex_unlock(&e->lock);
	return hsv_answer(conn, 200, "application/json", "{}", 2);
}

static enum MHD_Result route(struct emu *e, struct MHD_Connection *conn, const char *url,
			     const char *method, const GByteArray *body)
{
	static const char vms[] = "/control/vms/";
	enum MHD_Result rc;

	if (strcmp(url, "/v1/config") == 0)
		return answer_config(e, conn);
	if (strcmp(url, "/v1/vms") == 0)
		return answer_vms(e, conn);
	if (emu_control(e, conn, url, method, body, &rc))
		return rc;
	if (strcmp(url, "/control/config") == 0 && strcmp(method, "PUT") == 0)
		return put_config(e, conn, body);
	if (strncmp(url, vms, strlen(vms)) == 0 && strcmp(method, "PUT") == 0)
		return put_vm(e, conn, url + strlen(vms), body);
	return hsv_answer(conn, 404, "text/plain", "", 0);
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
	int fd = hsv_listen(e->listen, error);

	if (fd < 0)
		return false;
	hsv_bound_address(fd, e->address);
	e->platform = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, handle, e,
				       MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_NOTIFY_COMPLETED,
				       completed, e, MHD_OPTION_END);
	if (!e->platform) {
		close(fd);
		return err_set(error, ERR_IO, "the listener of the platform does not start");
	}
	return true;
}
