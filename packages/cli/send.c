/* currantscale send ADDRESS PATH [BODY]: one request to a node. */
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
	{"key", 'k', "KEY", 0, "Key of the client account", 0},
	{"ticket", 't', "TICKET", 0, "Ticket of a non-idempotent request", 0},
	{"deadline-ms", 'd', "MS", 0, "Deadline of the request", 0},
	{"json", 'j', NULL, 0, "Print outcome, request and answer as JSON", 0},
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
	.doc = "Sends one request, such as /v1/pipelines/advise, and prints the answer.\v"
	       "ADDRESS is host:port of any node; another one is asked when it is gone or leaves. "
	       "A non-idempotent call without --ticket takes one by itself. "
	       "Exit status: 0 complete, 2 bad arguments, 3 unreachable, 4 not run, 5 unknown.",
};

static bool try_node(struct hcl *http, const struct args *args, const char *address,
		     const char *ticket, struct hcl_answer *answer)
{
	const struct ask a = {
		.method = "POST",
		.address = address,
		.path = args->path,
		.key = args->key,
		.ticket = ticket,
		.deadline_ms = args->deadline_ms,
		.body = args->body,
	};

	return ask(http, &a, answer);
}

/* Only a ticket that this run took, and sent once, is known not to have been sent before. */
static bool wants_new_ticket(const struct hcl_answer *answer, const char *given, int tries)
{
	if (answer->status == HTTP_TICKET_REQUIRED)
		return true;
	return !given && tries == 0 && client_has_error(answer, "ticket_unknown");
}

/* Asks one node: takes a ticket when the call needs one. */
static int send_to(struct hcl *http, const struct args *args, const char *address,
		   struct hcl_answer *answer)
{
	char *ticket = g_strdup(args->ticket);
	bool ok = try_node(http, args, address, ticket, answer);

	for (int tries = 0; tries < 2; tries++) {
		if (!wants_new_ticket(answer, args->ticket, tries) ||
		    !answer->headers[CLIENT_TICKET])
			break;
		g_free(ticket);
		ticket = g_strdup(answer->headers[CLIENT_TICKET]);
		hcl_answer_clear(answer);
		ok = try_node(http, args, address, ticket, answer);
	}
	g_free(ticket);
	return client_exit_code(answer, ok);
}

/* A node that is not there, or leaves, costs nothing: the next address is asked. */
static bool may_go_on(const struct hcl_answer *answer, int code)
{
	return code == CLI_EXIT_UNREACHABLE ||
	       (code == CLI_EXIT_NOT_RUN &&
		(client_has_error(answer, "draining") || client_has_error(answer, "not_ready")));
}

static int send_anywhere(struct hcl *http, const struct args *args, struct hcl_answer *answer)
{
	json_t *json = client_get_json(http, args->address, "/v1/addresses", args->key);
	json_t *list = json_object_get(json, "addresses");
	int code = send_to(http, args, args->address, answer);

	for (size_t i = 0; may_go_on(answer, code) && i < json_array_size(list); i++) {
		json_t *entry = json_array_get(list, i);
		const char *next = json_string_value(json_object_get(entry, "address"));
		if (!next || strcmp(next, args->address) == 0)
			continue;
		hcl_answer_clear(answer);
		code = send_to(http, args, next, answer);
	}
	json_decref(json);
	return code;
}

static void print_answer(const struct args *args, const struct hcl_answer *answer, int code)
{
	const char *request = answer->headers[CLIENT_REQUEST];
	json_t *json;

	if (!args->json) {
		if (answer->body->len > 0)
			fwrite(answer->body->data, 1, answer->body->len, stdout);
		putchar('\n');
		return;
	}
	json = json_pack("{s:s, s:i, s:s*, s:o*}", "outcome", client_outcome_name(code), "status",
			 answer->status, "request", request, "body",
			 json_stringn((const char *)answer->body->data, answer->body->len));
	json_dumpf(json, stdout, JSON_COMPACT);
	putchar('\n');
	json_decref(json);
}

int cli_send(int argc, char **argv)
{
	struct args args = {.body = ""};
	struct hcl_answer answer;
	struct hcl *http;
	int code;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	http = hcl_new(NULL);
	code = send_anywhere(http, &args, &answer);
	print_answer(&args, &answer, code);
	hcl_answer_clear(&answer);
	hcl_free(http);
	return code;
}
