#include "cli/ask.h"

#include "cli/cli.h"

#include <string.h>

#define ASK_TIMEOUT_MS 60000

static void add_header(struct fetch_request *call, const char *name, const char *value)
{
	if (value)
		call->headers[call->n_headers++] = (struct fetch_header){name, value};
}

bool ask(struct fetch_client *http, const struct ask *a, struct fetch_response *answer)
{
	struct fetch_request call = {
		.method = a->method,
		.address = a->address,
		.path = a->path,
		.body = a->body,
		.body_len = a->body ? strlen(a->body) : 0,
		.timeout_ms = a->timeout_ms ? a->timeout_ms : ASK_TIMEOUT_MS,
		.idempotent = strcmp(a->method, "GET") == 0,
		.on_block = a->on_block,
		.on_block_arg = a->on_block_arg,
		.want_headers = {[ASK_OUTCOME] = "Currantscale-Outcome",
				 [ASK_TICKET] = "Currantscale-Ticket",
				 [ASK_REQUEST] = "Currantscale-Request",
				 [ASK_RETRY_AFTER] = "Retry-After"},
	};
	char *bearer = a->key ? g_strdup_printf("Bearer %s", a->key) : NULL;
	bool ok;

	add_header(&call, "Authorization", bearer);
	add_header(&call, "Currantscale-Ticket", a->ticket);
	add_header(&call, "Currantscale-Deadline-Ms", a->deadline_ms);
	ok = fetch_perform(http, &call, answer, NULL);
	g_free(bearer);
	return ok;
}

json_t *ask_json(struct fetch_client *http, const char *address, const char *path, const char *key)
{
	const struct ask a = {.method = "GET", .address = address, .path = path, .key = key};
	struct fetch_response answer;
	json_t *json = NULL;

	if (ask(http, &a, &answer) && answer.status == 200)
		json = json_loadb((const char *)answer.body->data, answer.body->len, 0, NULL);
	fetch_response_clear(&answer);
	return json;
}

bool ask_put(struct fetch_client *http, const char *address, const char *path, const char *text)
{
	const struct ask a = {.method = "PUT", .address = address, .path = path, .body = text};
	struct fetch_response answer;
	bool ok = ask(http, &a, &answer) && answer.status == 200;

	fetch_response_clear(&answer);
	return ok;
}

int ask_exit_code(const struct fetch_response *answer, bool whole)
{
	const char *outcome = answer->headers[ASK_OUTCOME];

	if (!answer->status && !answer->sent)
		return CLI_EXIT_UNREACHABLE;
	if (outcome && strcmp(outcome, "not_run") == 0)
		return CLI_EXIT_NOT_RUN;
	if (!whole || !outcome || strcmp(outcome, "complete") != 0)
		return CLI_EXIT_UNKNOWN;
	return CLI_EXIT_OK;
}

const char *ask_outcome(int exit_code)
{
	static const char *const names[] = {
		[CLI_EXIT_OK] = "complete",
		[CLI_EXIT_UNREACHABLE] = "unreachable",
		[CLI_EXIT_NOT_RUN] = "not_run",
		[CLI_EXIT_UNKNOWN] = "unknown",
	};

	return names[exit_code];
}

bool ask_has_error(const struct fetch_response *answer, const char *code)
{
	json_t *json = json_loadb((const char *)answer->body->data, answer->body->len, 0, NULL);
	json_t *error = json_object_get(json, "error");
	const char *text = json_string_value(json_object_get(error, "code"));
	bool is = text && strcmp(text, code) == 0;

	json_decref(json);
	return is;
}
