/* Reads load reports of upstreams: GET /v1/load. */
#include "base/clock.h"
#include "node/nod.h"

#include <string.h>

#define RPT_TIMEOUT_MS 1000
#define RPT_BYTES_MAX 4096
#define RPT_HEX 16

struct poll {
	struct nod *node;
	uint32_t upstream;
	char address[BB_ADDRESS_BYTES];
};

/* False when the text is no load report. */
static bool parse(const GByteArray *body, struct dec_ev_report *report)
{
	json_t *json = json_loadb((const char *)body->data, body->len, 0, NULL);
	const char *incarnation = json_string_value(json_object_get(json, "incarnation"));
	bool ok = incarnation && json_is_boolean(json_object_get(json, "warm")) &&
		  json_is_integer(json_object_get(json, "running")) &&
		  json_is_integer(json_object_get(json, "queued"));

	if (ok) {
		report->incarnation = g_ascii_strtoull(incarnation, NULL, RPT_HEX);
		report->warm = json_is_true(json_object_get(json, "warm"));
		report->running = (int32_t)json_integer_value(json_object_get(json, "running"));
		report->queued = (int32_t)json_integer_value(json_object_get(json, "queued"));
	}
	json_decref(json);
	return ok;
}

static void read_report(void *arg)
{
	struct poll *poll = arg;
	const struct fetch_request call = {
		.method = "GET",
		.address = poll->address,
		.path = "/v1/load",
		.timeout_ms = RPT_TIMEOUT_MS,
		.idempotent = true,
		.max_bytes = RPT_BYTES_MAX,
	};
	struct dec_event ev = {.type = DEC_EV_REPORT, .u.report = {.upstream = poll->upstream}};
	struct fetch_response answer;
	int64_t asked_ms = clock_now_ms();

	if (fetch_perform(poll->node->http, &call, &answer, NULL) && answer.status == 200 &&
	    parse(answer.body, &ev.u.report)) {
		/* as old as the question: the answer may have waited through a pause */
		ev.u.report.age_ms = clock_now_ms() - asked_ms;
		nod_event(poll->node, &ev);
	}
	fetch_response_clear(&answer);
	g_free(poll);
}

void rpt_poll(struct nod *n, const struct dec_cmd *cmd)
{
	struct poll *poll = g_new0(struct poll, 1);

	poll->node = n;
	poll->upstream = cmd->upstream;
	g_strlcpy(poll->address, cmd->address, sizeof(poll->address));
	if (!workpool_submit(n->side, read_report, poll))
		g_free(poll);
}
