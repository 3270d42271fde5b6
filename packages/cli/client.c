/* HTTP requests to nodes. */
#include "cli/client.h"

#include "cli/cli.h"

#include <string.h>

#define CLIENT_TIMEOUT_MS 60000

static void add_header(struct fetch_request *call, const char *name, const char *value)
{
	if (value)
		call->headers[call->n_headers++] = (struct fetch_header){name, value};
}

bool client_request(struct fetch_client *http, const struct client_request *request,
		    struct fetch_response *response)
{
	struct fetch_request call = {
		.method = request->method,
		.address = request->address,
		.path = request->path,
		.body = request->body,
		.body_len = request->body ? strlen(request->body) : 0,
		.timeout_ms = request->timeout_ms ? request->timeout_ms : CLIENT_TIMEOUT_MS,
		.idempotent = strcmp(request->method, "GET") == 0,
		.on_block = request->on_block,
		.on_block_arg = request->on_block_arg,
		.want_headers = {[CLIENT_OUTCOME] = "Currantscale-Outcome",
				 [CLIENT_TICKET] = "Currantscale-Ticket",
				 [CLIENT_REQUEST] = "Currantscale-Request",
				 [CLIENT_RETRY_AFTER] = "Retry-After"},
	};
	char *bearer = request->key ? g_strdup_printf("Bearer %s", request->key) : NULL;
	bool ok;

	add_header(&call, "Authorization", bearer);
	add_header(&call, "Currantscale-Ticket", request->ticket);
	add_header(&call, "Currantscale-Deadline-Ms", request->deadline_ms);
	ok = fetch_perform(http, &call, response, NULL);
	g_free(bearer);
	return ok;
}

json_t *client_get_json(struct fetch_client *http, const char *address, const char *path,
			const char *key)
{
	const struct client_request request = {
		.method = "GET", .address = address, .path = path, .key = key};
	struct fetch_response response;
	json_t *json = NULL;

	if (client_request(http, &request, &response) && response.status == 200)
		json = json_loadb((const char *)response.body->data, response.body->len, 0, NULL);
	fetch_response_clear(&response);
	return json;
}

bool client_put(struct fetch_client *http, const char *address, const char *path, const char *text)
{
	const struct client_request request = {
		.method = "PUT", .address = address, .path = path, .body = text};
	struct fetch_response response;
	bool ok = client_request(http, &request, &response) && response.status == 200;

	fetch_response_clear(&response);
	return ok;
}

int client_exit_code(const struct fetch_response *response, bool is_complete)
{
	const char *outcome = response->headers[CLIENT_OUTCOME];

	if (!response->status && !response->sent)
		return CLI_EXIT_UNREACHABLE;
	if (outcome && strcmp(outcome, "not_run") == 0)
		return CLI_EXIT_NOT_RUN;
	if (!is_complete || !outcome || strcmp(outcome, "complete") != 0)
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

bool client_has_error(const struct fetch_response *response, const char *code)
{
	json_t *json = json_loadb((const char *)response->body->data, response->body->len, 0, NULL);
	json_t *error = json_object_get(json, "error");
	const char *text = json_string_value(json_object_get(error, "code"));
	bool matches = text && strcmp(text, code) == 0;

	json_decref(json);
	return matches;
}
