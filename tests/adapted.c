#include "adapted.h"

#include "base/clk.h"
#include "base/hcl.h"
#include "raw.h"

#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define READY_MS 10000
#define POLL_MS 25
#define ANSWER_MS 6000

extern char **environ;

static const char *const zones[] = {"a1", "b1"};

/* Each run has loopback addresses of its own, so that ports never clash. */
static void set_addresses(struct adapted_node *node, uint32_t i)
{
	static unsigned run;
	unsigned pid = (unsigned)getpid();
	char ip[32];

	if (run == 0)
		run = 1 + (unsigned)(clk_now_us() % 200);
	g_snprintf(ip, sizeof(ip), "127.%u.%u.%u", 1 + (pid >> 8) % 250, 1 + (pid + run) % 250,
		   10 + i);
	g_snprintf(node->front, sizeof(node->front), "%s:8001", ip);
	g_snprintf(node->ready, sizeof(node->ready), "%s:8002", ip);
	g_snprintf(node->lookup, sizeof(node->lookup), "%s:8003", ip);
	g_snprintf(node->admin, sizeof(node->admin), "%s:8004", ip);
	g_snprintf(node->metrics, sizeof(node->metrics), "%s:8005", ip);
	g_snprintf(node->peer, sizeof(node->peer), "%s:8006", ip);
}

static char *write_settings(struct adapted *a, uint32_t i)
{
	const struct adapted_node *n = &a->nodes[i];
	char *path = g_strdup_printf("%s/node-%u.yaml", a->dir, i);
	GString *text = g_string_new("adapter: platform\n");

	g_string_append_printf(text, "vm: node-%u\ndata_centre: %s\nregion: r\n", i, zones[i % 2]);
	g_string_append_printf(text, "caller_address: %s\nready_address: %s\nlookup_address: %s\n",
			       n->front, n->ready, n->lookup);
	g_string_append_printf(text, "admin_address: %s\nmetrics_address: %s\npeer_address: %s\n",
			       n->admin, n->metrics, n->peer);
	g_string_append_printf(text, "source_address: %s\nseeds:\n",
			       n->is_cut_off ? "127.0.0.1:1" : stub_store_address(a->stub));
	for (uint32_t k = 0; k < a->n_nodes && k < 3; k++)
		g_string_append_printf(text, "  - %s\n", a->nodes[k].admin);
	g_string_append(text,
			"data_centres:\n  - {name: a1, region: r}\n  - {name: b1, region: r}\n"
			"lookup_ttl_s: \"5\"\nstop_grace_s: \"8\"\nretry_ratio: \"0.2\"\n"
			"retry_window_s: \"10\"\nretry_slack: \"400\"\ncold_factor: \"1.5\"\n"
			"cold_slack: \"5\"\n");
	ck_assert(g_file_set_contents(path, text->str, (gssize)text->len, NULL));
	g_string_free(text, TRUE);
	return path;
}

void adapted_start_node(struct adapted *a, uint32_t i)
{
	char *path = write_settings(a, i);
	char *log = g_strdup_printf("%s/node-%u.log", a->dir, i);
	char *argv[] = {(char *)CS_NODE_PROGRAM, path, NULL};
	posix_spawn_file_actions_t actions;

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log,
					 O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
	ck_assert_int_eq(posix_spawn(&a->nodes[i].pid, argv[0], &actions, NULL, argv, environ), 0);
	posix_spawn_file_actions_destroy(&actions);
	g_free(log);
	g_free(path);
}

void adapted_wait_ready(struct adapted *a, uint32_t i)
{
	int64_t end_ms = clk_now_ms() + READY_MS;
	int status = 0;

	while (status != 200) {
		ck_assert_msg(clk_now_ms() < end_ms, "node %u isn't ready, see %s", i, a->dir);
		clk_sleep_ms(POLL_MS);
		g_free(adapted_get(a->nodes[i].ready, "/-/readyz", &status));
	}
}

int adapted_signal(struct adapted *a, uint32_t i, int sig)
{
	int state = 0;

	kill(a->nodes[i].pid, sig);
	if (sig == SIGKILL || sig == SIGTERM) {
		waitpid(a->nodes[i].pid, &state, 0);
		a->nodes[i].pid = 0;
	}
	return state;
}

static const char config[] =
	"{\"version\":%d,\"routes\":["
	"{\"name\":\"once\",\"host\":\"h.example\",\"pathPrefix\":\"/once/"
	"\",\"kind\":\"non_idempotent\","
	"\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"plain\","
	"\"maxAttempts\":1},"
	"{\"name\":\"safe\",\"host\":\"h.example\",\"pathPrefix\":\"/safe/"
	"\",\"kind\":\"idempotent\","
	"\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":1,\"service\":\"plain\","
	"\"maxAttempts\":2},"
	"{\"name\":\"tell\",\"host\":\"h.example\",\"pathPrefix\":\"/tell/"
	"\",\"kind\":\"streaming\","
	"\"timeoutMs\":6000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"model\","
	"\"maxAttempts\":1,\"gapAimMs\":200},"
	"{\"name\":\"resume\",\"host\":\"h.example\",\"pathPrefix\":\"/resume/"
	"\",\"kind\":\"streaming\","
	"\"timeoutMs\":6000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"model\","
	"\"maxAttempts\":2,\"resumable\":true,\"gapAimMs\":200},"
	"{\"name\":\"chain\",\"host\":\"h.example\",\"pathPrefix\":\"/chain/"
	"\",\"kind\":\"streaming\","
	"\"timeoutMs\":6000,\"targetLatencyMs\":2000,\"priority\":1,\"service\":\"model\","
	"\"maxAttempts\":1,\"stages\":[{\"service\":\"first\",\"after\":[],\"bytes\":1000},"
	"{\"service\":\"second\",\"after\":[0],\"bytes\":1000}]},"
	"{\"name\":\"again\",\"host\":\"h.example\",\"pathPrefix\":\"/again/"
	"\",\"kind\":\"streaming\","
	"\"timeoutMs\":6000,\"targetLatencyMs\":2000,\"priority\":1,\"service\":\"model\","
	"\"maxAttempts\":2,\"resumable\":true,\"gapAimMs\":200,"
	"\"stages\":[{\"service\":\"first\",\"after\":[],\"bytes\":1000},"
	"{\"service\":\"second\",\"after\":[0],\"bytes\":1000}]},"
	"{\"name\":\"public\",\"host\":\"h.example\",\"pathPrefix\":\"/public/\","
	"\"kind\":\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":1,"
	"\"service\":\"plain\",\"maxAttempts\":2,\"public\":true}],"
	"\"services\":[{\"name\":\"plain\",\"healthPath\":\"/h\",\"maxConns\":100},"
	"{\"name\":\"model\",\"healthPath\":\"/h\",\"maxConns\":100,\"engine\":{\"slots\":8}},"
	"{\"name\":\"first\",\"healthPath\":\"/h\",\"maxConns\":100,\"pieces\":{\"slots\":1,"
	"\"queueDepth\":2,\"batchSize\":4,\"callMs\":60,\"itemMs\":1,\"headroomMb\":1,\"handleS\":"
	"4}},"
	"{\"name\":\"second\",\"healthPath\":\"/h\",\"maxConns\":100,\"pieces\":{\"slots\":1,"
	"\"queueDepth\":2,\"batchSize\":4,\"callMs\":60,\"itemMs\":1,\"headroomMb\":1,\"handleS\":"
	"4}}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":65536,\"headerTimeoutMs\":1000,"
	"\"idleTimeoutMs\":15000},"
	"\"tenants\":[{\"name\":\"big\",\"apiKeys\":[\"key-1\",\"key-2\"],\"priority\":1}]}";

void adapted_configure(struct adapted *a, int version, const char *from, const char *to)
{
	char *text = g_strdup_printf(config, version);

	if (from) {
		char **parts = g_strsplit(text, from, -1);
		g_free(text);
		text = g_strjoinv(to, parts);
		g_strfreev(parts);
	}
	stub_put(a->stub, "op/config", text);
	g_free(text);
}

static void add_engines(struct adapted *a)
{
	static const struct stub_engine_options engines[] = {
		{.id = "plain-1", .service = "plain", .zone = "a1", .work_ms = 5},
		{.id = "plain-2", .service = "plain", .zone = "b1", .work_ms = 5},
		{.id = "model-1",
		 .service = "model",
		 .zone = "a1",
		 .kind = STUB_STREAM,
		 .work_ms = 20,
		 .gap_ms = 20,
		 .events = 6},
		{.id = "model-2",
		 .service = "model",
		 .zone = "b1",
		 .kind = STUB_STREAM,
		 .work_ms = 20,
		 .gap_ms = 20,
		 .events = 6},
		{.id = "first-1",
		 .service = "first",
		 .zone = "a1",
		 .kind = STUB_POOL,
		 .work_ms = 60,
		 .results_max = 100},
		{.id = "second-1",
		 .service = "second",
		 .zone = "b1",
		 .kind = STUB_POOL,
		 .work_ms = 60,
		 .results_max = 100},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(engines); i++)
		stub_add_engine(a->stub, &engines[i]);
}

struct adapted *adapted_new(uint32_t n_nodes)
{
	struct adapted *a = g_new0(struct adapted, 1);

	a->dir = g_dir_make_tmp("currantscale-XXXXXX", NULL);
	a->stub = stub_new(NULL);
	a->n_nodes = n_nodes;
	adapted_configure(a, 7, NULL, NULL);
	add_engines(a);
	for (uint32_t i = 0; i < n_nodes; i++)
		set_addresses(&a->nodes[i], i);
	for (uint32_t i = 0; i < n_nodes; i++)
		adapted_start_node(a, i);
	for (uint32_t i = 0; i < n_nodes; i++)
		adapted_wait_ready(a, i);
	clk_sleep_ms(1000); /* two watches: every node has seen every engine */
	return a;
}

void adapted_free(struct adapted *a)
{
	for (uint32_t i = 0; i < a->n_nodes; i++) {
		if (a->nodes[i].pid > 0)
			adapted_signal(a, i, SIGKILL);
	}
	stub_free(a->stub);
	if (!g_getenv("CS_KEEP_LOGS")) {
		char *command[] = {(char *)"rm", (char *)"-r", a->dir, NULL};
		g_spawn_sync(NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL, NULL, NULL,
			     NULL);
	}
	g_free(a->dir);
	g_free(a);
}

/* Splits an answer; what follows the head is its body, with or without chunks. */
static void read_answer(struct adapted_answer *answer)
{
	const char *head = answer->text->str;
	const char *end = strstr(head, "\r\n\r\n");
	const char *length = strstr(head, "Content-Length: ");
	gsize got;

	if (strncmp(head, "HTTP/1.1 ", 9) != 0 || !end)
		return;
	answer->status = atoi(head + 9);
	got = answer->text->len - (gsize)(end + 4 - head);
	if (length && length < end) {
		answer->body = g_strndup(end + 4, got);
		answer->whole = got == strtoul(length + 16, NULL, 10);
	} else if (strstr(head, "Transfer-Encoding: chunked")) {
		GString *body = raw_unchunk(answer->text);
		answer->whole = g_str_has_suffix(answer->text->str, "\r\n0\r\n\r\n");
		answer->body = g_string_free(body, FALSE);
	} else {
		answer->body = g_strndup(end + 4, got);
		answer->whole = true;
	}
}

static int try_connect(const char *address)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	char host[ADAPTED_ADDRESS_BYTES];
	uint16_t port = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	hcl_split_address(address, host, sizeof(host), &port);
	at.sin_port = htons(port);
	inet_pton(AF_INET, host, &at.sin_addr);
	if (connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0)
		return fd;
	close(fd);
	return -1;
}

void adapted_try(struct adapted *a, uint32_t node, const char *method, const char *target,
		 const char *extra, char *attempt, size_t attempt_bytes,
		 struct adapted_answer *answer)
{
	int fd = try_connect(a->nodes[node].front);
	char *request;

	*answer = (struct adapted_answer){0};
	g_snprintf(attempt, attempt_bytes, "attempt-%d", g_atomic_int_add(&a->next_attempt, 1));
	if (fd < 0) {
		answer->text = g_string_new(NULL);
		return;
	}
	request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: h.example\r\n"
				  "X-Currantscale-Attempt-Id: %s\r\n"
				  "X-Currantscale-Deadline-Ms: 5000\r\n"
				  "X-Currantscale-Key: key-1\r\nConnection: close\r\n%s\r\n",
				  method, target, attempt, extra ? extra : "");
	raw_write_text(fd, request);
	answer->text = raw_read(fd, ANSWER_MS);
	close(fd);
	g_free(request);
	read_answer(answer);
}

void adapted_send(struct adapted *a, uint32_t node, const char *method, const char *target,
		  const char *extra, struct adapted_answer *answer)
{
	char attempt[ADAPTED_ADDRESS_BYTES];

	adapted_try(a, node, method, target, extra, attempt, sizeof(attempt), answer);
}

void adapted_clear(struct adapted_answer *answer)
{
	g_string_free(answer->text, TRUE);
	g_free(answer->body);
}

char *adapted_get(const char *address, const char *target, int *status)
{
	struct hcl *http = hcl_new(NULL);
	const struct hcl_call call = {.method = "GET",
				      .address = address,
				      .path = target,
				      .timeout_ms = 2000,
				      .idempotent = true};
	struct hcl_answer answer = {0};
	char *body = NULL;

	*status = 0;
	if (hcl_do(http, &call, &answer, NULL)) {
		*status = answer.status;
		body = g_strndup(answer.body ? (char *)answer.body->data : "",
				 answer.body ? answer.body->len : 0);
	}
	hcl_answer_clear(&answer);
	hcl_free(http);
	return body;
}
