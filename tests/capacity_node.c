/* Memory and CPU time of an idle node process with configurations of several sizes. */
#include "base/clock.h"
#include "base/mhd.h"
#include "capacity.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define START_MS 12000 /* time until a node has read its configuration and is idle */
#define REST_MS 10000
#define WAIT_MAX_MS 3000

/* A listener that acts as platform and as every upstream. Watches time out without a change. */
struct service {
	struct MHD_Daemon *daemon;
	char address[64];
	GString *document;
	GString *list;
	gint calls; /* atomic: number of calls to the platform */
};

double cap_resident_bytes(int pid)
{
	char path[64];
	long size = 0;
	long resident = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	FILE *file = fopen(path, "r");
	if (file && fscanf(file, "%ld %ld", &size, &resident) != 2)
		resident = 0;
	if (file)
		fclose(file);
	return (double)resident * (double)sysconf(_SC_PAGESIZE);
}

static double processor_us(int pid)
{
	char path[64];
	char *text = NULL;
	unsigned long user = 0;
	unsigned long system = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/stat", pid);
	if (g_file_get_contents(path, &text, NULL, NULL))
		sscanf(strrchr(text, ')'), ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		       &user, &system);
	g_free(text);
	return (double)(user + system) * 1e6 / (double)sysconf(_SC_CLK_TCK);
}

static enum MHD_Result answer_watch(struct MHD_Connection *conn, const GString *text)
{
	const char *wait = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "wait_ms");
	bool known = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "after") != NULL;
	struct MHD_Response *response;
	enum MHD_Result rc;

	if (known)
		clock_sleep_ms(MIN(wait ? atoi(wait) : 0, WAIT_MAX_MS));
	response = MHD_create_response_from_buffer(known ? 0 : text->len, text->str,
						   MHD_RESPMEM_PERSISTENT);
	MHD_add_response_header(response, "ETag", "1");
	rc = MHD_queue_response(conn, known ? 304 : 200, response);
	MHD_destroy_response(response);
	return rc;
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *conn, const char *url,
			      const char *method, const char *version, const char *data,
			      size_t *len, void **state)
{
	static const char load[] = "{\"incarnation\":\"f123456789abcdef\",\"warm\":true,"
				   "\"running\":0,\"queued\":0}";
	static const char orders[] = "{\"fence\":1,\"model\":\"model-0\",\"version\":\"1\","
				     "\"role\":\"mixed\",\"loading\":false}";
	struct service *s = arg;

	/* an answer on the first call, before the body is read, would close the connection */
	if (!*state) {
		*state = s;
		return MHD_YES;
	}
	if (strcmp(url, "/v1/load") == 0)
		return mhd_respond(conn, 200, "application/json", load, strlen(load));
	if (strcmp(url, "/v1/orders") == 0)
		return mhd_respond(conn, 200, "application/json", orders, strlen(orders));
	g_atomic_int_inc(&s->calls);
	if (strcmp(url, "/v1/vms") == 0)
		return answer_watch(conn, s->list);
	if (strcmp(url, "/v1/config") == 0)
		return answer_watch(conn, s->document);
	return mhd_respond(conn, 404, "text/plain", "", 0);
}

static void start_service(struct service *s, struct sizes *sizes)
{
	int fd = mhd_listen("127.0.0.1:0", NULL);

	memset(s, 0, sizeof(*s));
	mhd_bound_address(fd, s->address);
	sizes->address = s->address;
	s->document = sizes_document(sizes, 1);
	s->list = sizes_list(sizes, 1);
	s->daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL, 0,
		NULL, NULL, handle, s, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_END);
}

static GPid start_node(const struct service *s, char *dir)
{
	char *path = g_build_filename(dir, "node.yaml", NULL);
	char *text = g_strdup_printf("vm: node-0\ndata_centre: dc-0\n"
				     "caller_address: 127.0.0.1:0\nadmin_address: 127.0.0.1:0\n"
				     "peer_address: 127.0.0.1:0\nplatform_address: %s\n"
				     "source_address: 127.0.0.1\nadmin_key: key\n"
				     "log_level: error\n",
				     s->address);
	char *argv[] = {(char *)CS_NODE_PROGRAM, path, NULL};
	GPid pid = 0;

	if (!g_file_set_contents(path, text, -1, NULL) ||
	    !g_spawn_async(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL,
			   NULL, NULL, &pid, NULL))
		exit(EXIT_FAILURE);
	g_free(text);
	g_free(path);
	return pid;
}

static void measure_node(struct sizes s, struct cap_series *memory, struct cap_series *time,
			 struct cap_series *start, struct cap_series *calls)
{
	char *dir = g_dir_make_tmp("capacity-XXXXXX", NULL);
	char *path = g_build_filename(dir, "node.yaml", NULL);
	struct service service;

	start_service(&service, &s);
	GPid pid = start_node(&service, dir);
	clock_sleep_ms(START_MS);
	double spent = processor_us(pid);
	gint before = g_atomic_int_get(&service.calls);
	cap_add(start, s.upstreams, spent);
	clock_sleep_ms(REST_MS);
	cap_add(time, s.upstreams, (processor_us(pid) - spent) * CLOCK_MS_PER_S / REST_MS);
	cap_add(calls, s.upstreams,
		(double)(g_atomic_int_get(&service.calls) - before) * CLOCK_MS_PER_S / REST_MS);
	cap_add(memory, s.upstreams, cap_resident_bytes(pid));
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	MHD_stop_daemon(service.daemon);
	g_string_free(service.document, TRUE);
	g_string_free(service.list, TRUE);
	remove(path);
	rmdir(dir);
	g_free(path);
	g_free(dir);
}

/* Scales nodes, upstreams and accounts together. */
void cap_nodes(void)
{
	static const uint32_t tenths[] = {1, 3, 10};
	struct cap_series memory = {"node_resident", "B", "upstreams"};
	struct cap_series time = {"node_at_rest", "us/s", "upstreams"};
	struct cap_series start = {"node_start", "us", "upstreams"};
	struct cap_series calls = {"node_platform_calls", "1/s", "upstreams"};

	for (size_t i = 0; i < G_N_ELEMENTS(tenths); i++) {
		struct sizes s = sizes_target;

		s.nodes = s.nodes * tenths[i] / 10;
		s.upstreams = s.upstreams * tenths[i] / 10;
		s.accounts = s.accounts * tenths[i] / 10;
		measure_node(s, &memory, &time, &start, &calls);
	}
	cap_print(&memory, sizes_target.upstreams);
	cap_print(&time, sizes_target.upstreams);
	cap_print(&start, sizes_target.upstreams);
	cap_print(&calls, sizes_target.upstreams);
}
