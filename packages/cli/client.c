#include "cli/client.h"

#include "cli/cli.h"

#include <string.h>

#define CLIENT_TIMEOUT_MS 60000

static void add_header(struct hcl_call *call, const char *name, const char *value)
{
	if (value)
		call->headers[call->n_headers++] = (struct hcl_header){name, value};
}

bool ask(struct hcl *http, const struct ask *a, struct hcl_answer *answer)
{
	struct hcl_call call = {
		.method = a->method,
		.address = a->address,
		.path = a->path,
		.body = a->body,
		.body_len = a->body ? strlen(a->body) : 0,
		.timeout_ms = a->timeout_ms ? a->timeout_ms : CLIENT_TIMEOUT_MS,
		.idempotent = strcmp(a->method, "GET") == 0,
		.on_block = a->on_block,
		.on_block_arg = a->on_block_arg,
		.want_headers = {[CLIENT_OUTCOME] = "Currantscale-Outcome",
				 [CLIENT_TICKET] = "Currantscale-Ticket",
				 [CLIENT_REQUEST] = "Currantscale-Request",
				 [CLIENT_RETRY_AFTER] = "Retry-After"},
	};
	char *bearer = a->key ? g_strdup_printf("Bearer %s", a->key) : NULL;
	bool ok;

	add_header(&call, "Authorization", bearer);
	add_header(&call, "Currantscale-Ticket", a->ticket);
	add_header(&call, "Currantscale-Deadline-Ms", a->deadline_ms);
	ok = hcl_do(http, &call, answer, NULL);
	g_free(bearer);
	return ok;
}

json_t *client_get_json(struct hcl *http, const char *address, const char *path, const char *key)
{
	const struct ask a = {.method = "GET", .address = address, .path = path, .key = key};
	struct hcl_answer answer;
	json_t *json = NULL;

	if (ask(http, &a, &answer) && answer.status == 200)
		json = json_loadb((const char *)answer.body->data, answer.body->len, 0, NULL);
	hcl_answer_clear(&answer);
	return json;
}

bool client_put(struct hcl *http, const char *address, const char *path, const char *text)
{
	const struct ask a = {.method = "PUT", .address = address, .path = path, .body = text};
	struct hcl_answer answer;
	bool ok = ask(http, &a, &answer) && answer.status == 200;

	hcl_answer_clear(&answer);
	return ok;
}

int client_exit_code(const struct hcl_answer *answer, bool whole)
{
	const char *outcome = answer->headers[CLIENT_OUTCOME];

	if (!answer->status && !answer->sent)
		return CLI_EXIT_UNREACHABLE;
	if (outcome && strcmp(outcome, "not_run") == 0)
		return CLI_EXIT_NOT_RUN;
	if (!whole || !outcome || strcmp(outcome, "complete") != 0)
		return CLI_EXIT_UNKNOWN;
	return CLI_EXIT_OK;
}

const char *client_outcome_name(int exit_code)
{
	static const char *const names[] = {
		[CLI_EXIT_OK] = "complete",
		[CLI_EXIT_UNREACHABLE] = "unreachable",
		[CLI_EXIT_NOT_RUN] = "not_run",
		[CLI_EXIT_UNKNOWN] = "unknown",
	};

	return names[exit_code];
}

bool client_has_error(const struct hcl_answer *answer, const char *code)
{
	json_t *json = json_loadb((const char *)answer->body->data, answer->body->len, 0, NULL);
	json_t *error = json_object_get(json, "error");
	const char *text = json_string_value(json_object_get(error, "code"));
	bool is = text && strcmp(text, code) == 0;

	json_decref(json);
	return is;
}
