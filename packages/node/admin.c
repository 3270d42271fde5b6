/* Operator listener: health, metrics, dump and drain. All but health require the admin key. */
#include "base/counter.h"
#include "base/log.h"
#include "base/machine.h"
#include "base/mhd.h"
#include "entry_limit.h"
#include "node/node.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define ADMIN_IDLE_TIMEOUT_S 10
#define ADMIN_CONNECTIONS_MIN 8
#define ADMIN_CONNECTION_BYTES (16 * 1024)

static enum MHD_Result answer_text(struct MHD_Connection *conn, unsigned status, const char *text)
{
	return mhd_respond(conn, status, "text/plain; version=0.0.4", text, strlen(text));
}

static enum MHD_Result answer_ready(struct node_server *n, struct MHD_Connection *conn)
{
	pthread_mutex_lock(&n->lock);
	bool ready = core_is_ready(n->core_state);
	pthread_mutex_unlock(&n->lock);
	return answer_text(conn, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
}

static enum MHD_Result answer_metrics(struct MHD_Connection *conn)
{
	GString *text = g_string_new(NULL);
	enum MHD_Result rc;

	counter_write_text(text);
	rc = answer_text(conn, 200, text->str);
	g_string_free(text, TRUE);
	return rc;
}

static enum MHD_Result answer_dump(struct node_server *n, struct MHD_Connection *conn)
{
	json_t *state = dump_state(n);
	char *text = json_dumps(state, JSON_COMPACT);
	enum MHD_Result rc = mhd_respond(conn, 200, "application/json", text, strlen(text));

	free(text);
	json_decref(state);
	return rc;
}

static enum MHD_Result answer_drain(struct MHD_Connection *conn)
{
	log_info("drain_requested", NULL);
	kill(getpid(), SIGTERM); /* begins the same planned stop as a SIGTERM from the platform */
	return answer_text(conn, 202, "draining\n");
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *conn, const char *url,
			      const char *method, const char *version, const char *data,
			      size_t *len, void **state)
{
	static int marker;
	struct node_server *n = arg;

	if (!*state) {
		*state = &marker;
		return MHD_YES;
	}
	*len = 0;
	if (strcmp(url, "/healthz") == 0)
		return answer_text(conn, 200, "ok\n");
	if (strcmp(url, "/readyz") == 0)
		return answer_ready(n, conn);
	if (!mhd_has_bearer(conn, n->set->admin_key))
		return answer_text(conn, 401, "unauthorised\n");
	if (strcmp(url, "/metrics") == 0)
		return answer_metrics(conn);
	if (strcmp(url, "/dump") == 0)
		return answer_dump(n, conn);
	if (strcmp(url, "/drain") == 0 && strcmp(method, "POST") == 0)
		return answer_drain(conn);
	return answer_text(conn, 404, "not found\n");
}

bool admin_start(struct node_server *n, GError **error)
{
	struct machine_share share =
		machine_share((double)n->set->memory_mb, (double)n->set->max_descriptors);
	unsigned max_conns = MAX(ADMIN_CONNECTIONS_MIN, share.other_connections);
	int fd = mhd_listen(n->set->admin_address, error);

	if (fd < 0)
		return false;
	mhd_set_receive_bytes(fd, MHD_WAITING_BYTES);
	n->admin_limit = entry_limit_new(share.request_bytes, ADMIN_CONNECTION_BYTES, max_conns);
	mhd_bound_address(fd, n->admin_address);
	n->admin = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, handle, n, MHD_OPTION_LISTEN_SOCKET,
		fd, MHD_OPTION_CONNECTION_TIMEOUT, ADMIN_IDLE_TIMEOUT_S,
		MHD_OPTION_NOTIFY_CONNECTION, entry_limit_on_connection, n->admin_limit,
		MHD_OPTION_CONNECTION_LIMIT, max_conns, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)ADMIN_CONNECTION_BYTES, MHD_OPTION_END);
	if (!n->admin) {
		close(fd);
		return err_set(error, ERR_IO, "can't start the listener for operators");
	}
	return true;
}
