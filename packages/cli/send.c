/* currantscale send ADDRESS PATH [BODY]: sends one request to a node. */
#include "cli/cli.h"
#include "cli/client.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

#define HTTP_TICKET_REQUIRED 428

struct args {
	const char *address;
	const char *path;
	const char *body;
	const char *key;
	const char *ticket;
	const char *deadline_ms;
	bool json;
};

static const struct argp_option options[] = {
	{"key", 'k', "KEY", 0, "API key of the client account", 0},
	{"ticket", 't', "TICKET", 0, "Ticket for a non-idempotent request", 0},
	{"deadline-ms", 'd', "MS", 0, "Deadline of the request in ms", 0},
	{"json", 'j', NULL, 0, "Print outcome, request id and response as JSON", 0},
	{0},
};

static error_t parse_arg(int key, char *arg, struct argp_state *state)
{
	struct args *args = state->input;

	switch (key) {
	case 'k':
		args->key = arg;
		return 0;
	case 't':
		args->ticket = arg;
		return 0;
	case 'd':
		args->deadline_ms = arg;
		return 0;
	case 'j':
		args->json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (state->arg_num == 0)
			args->address = arg;
		else if (state->arg_num == 1)
			args->path = arg;
		else if (state->arg_num == 2)
			args->body = arg;
		else
			argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (!args->path)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_arg,
	.args_doc = "ADDRESS PATH [BODY]",
	.doc = "Sends one request, such as /v1/pipelines/advise, and prints the response.\v"
	       "ADDRESS is host:port of any node; if it is unreachable, draining or not ready, the "
	       "request is sent to another one. Without --ticket, a ticket is obtained for a "
	       "non-idempotent call. Exit status: 0 complete, 64 bad arguments, 3 unreachable, 4 "
	       "not run, 5 unknown whether it ran.",
};

static bool send_attempt(struct fetch_client *http, const struct args *args, const char *address,
			 const char *ticket, struct fetch_response *response)
{
	const struct client_request request = {
		.method = "POST",
		.address = address,
		.path = args->path,
		.key = args->key,
		.ticket = ticket,
		.deadline_ms = args->deadline_ms,
		.body = args->body,
	};

	return client_request(http, &request, response);
}

/*
 * True when the request needs a ticket, or another one because the node does not know its ticket. A
 * ticket is replaced only if the request cannot have run with it: this process obtained the ticket
 * and has sent it only once.
 */
static bool needs_new_ticket(const struct fetch_response *response, const char *given_ticket,
			     int attempt)
{
	if (response->status == HTTP_TICKET_REQUIRED)
		return true;
	return !given_ticket && attempt == 0 && client_has_error(response, "ticket_unknown");
}

/* Sends the request to one node, again if the response has a ticket that it needs. */
static int send_to_node(struct fetch_client *http, const struct args *args, const char *address,
			struct fetch_response *response)
{
	char *ticket = g_strdup(args->ticket);
	bool ok = send_attempt(http, args, address, ticket, response);

	for (int attempt = 0; attempt < 2; attempt++) {
		if (!needs_new_ticket(response, args->ticket, attempt) ||
		    !response->headers[CLIENT_TICKET])
			break;
		g_free(ticket);
		ticket = g_strdup(response->headers[CLIENT_TICKET]);
		fetch_response_clear(response);
		ok = send_attempt(http, args, address, ticket, response);
	}
	g_free(ticket);
	return client_exit_code(response, ok);
}

/* True when the node was unreachable, draining or not ready, so that the request did not run. */
static bool may_try_next_node(const struct fetch_response *response, int code)
{
	return code == CLI_EXIT_UNREACHABLE ||
	       (code == CLI_EXIT_NOT_RUN && (client_has_error(response, "draining") ||
					     client_has_error(response, "not_ready")));
}

static int send_with_failover(struct fetch_client *http, const struct args *args,
			      struct fetch_response *response)
{
	json_t *json = client_get_json(http, args->address, "/v1/addresses", args->key);
	json_t *list = json_object_get(json, "addresses");
	int code = send_to_node(http, args, args->address, response);

	for (size_t i = 0; may_try_next_node(response, code) && i < json_array_size(list); i++) {
		json_t *entry = json_array_get(list, i);
		const char *next_address = json_string_value(json_object_get(entry, "address"));
		if (!next_address || strcmp(next_address, args->address) == 0)
			continue;
		fetch_response_clear(response);
		code = send_to_node(http, args, next_address, response);
	}
	json_decref(json);
	return code;
}

static void print_response(const struct args *args, const struct fetch_response *response, int code)
{
	const char *request_id = response->headers[CLIENT_REQUEST];
	json_t *json;

	if (!args->json) {
		if (response->body->len > 0)
			fwrite(response->body->data, 1, response->body->len, stdout);
		putchar('\n');
		return;
	}
	json = json_pack("{s:s, s:i, s:s*, s:o*}", "outcome", client_outcome_name(code), "status",
			 response->status, "request", request_id, "body",
			 json_stringn((const char *)response->body->data, response->body->len));
	json_dumpf(json, stdout, JSON_COMPACT);
	putchar('\n');
	json_decref(json);
}

int cli_send(int argc, char **argv)
{
	struct args args = {.body = ""};
	struct fetch_response response;
	struct fetch_client *http;
	int code;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	http = fetch_client_new(NULL);
	code = send_with_failover(http, &args, &response);
	print_response(&args, &response, code);
	fetch_response_clear(&response);
	fetch_client_free(http);
	return code;
}
