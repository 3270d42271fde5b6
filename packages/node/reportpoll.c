/* Reads load reports of upstreams by GET /v1/load. */
#include "base/clock.h"
#include "node/node.h"

#include <string.h>

#define REPORTPOLL_TIMEOUT_MS 1000
#define REPORTPOLL_BYTES_MAX 4096
#define REPORTPOLL_HEX_BASE 16

struct poll {
	struct node_server *node;
	uint32_t upstream;
	char address[BB_ADDRESS_BYTES];
};

/* False if the body is not a load report. */
static bool parse(const GByteArray *body, struct core_ev_report *report)
{
	json_t *json = json_loadb((const char *)body->data, body->len, 0, NULL);
	const char *incarnation = json_string_value(json_object_get(json, "incarnation"));
	bool ok = incarnation && json_is_boolean(json_object_get(json, "warm")) &&
		  json_is_integer(json_object_get(json, "running")) &&
		  json_is_integer(json_object_get(json, "queued"));

	if (ok) {
		report->incarnation = g_ascii_strtoull(incarnation, NULL, REPORTPOLL_HEX_BASE);
		report->warm = json_is_true(json_object_get(json, "warm"));
		report->running = (int32_t)json_integer_value(json_object_get(json, "running"));
		report->queued = (int32_t)json_integer_value(json_object_get(json, "queued"));
	}
	json_decref(json);
	return ok;
}

static void run_poll(void *arg)
{
	struct poll *poll = arg;
	const struct fetch_request call = {
		.method = "GET",
		.address = poll->address,
		.path = "/v1/load",
		.timeout_ms = REPORTPOLL_TIMEOUT_MS,
		.idempotent = true,
		.max_bytes = REPORTPOLL_BYTES_MAX,
	};
	struct core_event ev = {.type = CORE_EV_REPORT, .u.report = {.upstream = poll->upstream}};
	struct fetch_response answer;
	int64_t requested_ms = clock_now_ms();

	if (fetch_perform(poll->node->http, &call, &answer, NULL) && answer.status == 200 &&
	    parse(answer.body, &ev.u.report)) {
		/* the age counts from the request, since this process may have paused in between */
		ev.u.report.age_ms = clock_now_ms() - requested_ms;
		node_handle_event(poll->node, &ev);
	}
	fetch_response_clear(&answer);
	g_free(poll);
}

void reportpoll_submit(struct node_server *n, const struct core_cmd *cmd)
{
	struct poll *poll = g_new0(struct poll, 1);

	poll->node = n;
	poll->upstream = cmd->upstream;
	g_strlcpy(poll->address, cmd->address, sizeof(poll->address));
	if (!workpool_submit(n->background, run_poll, poll))
		g_free(poll);
}
