/* Commands of one request per node: addresses, ticket, drain, dump, status. */
#include "cli/cli.h"
#include "cli/client.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

#define OPS_NODES_MAX 512

struct args {
	const char *nodes[OPS_NODES_MAX];
	unsigned n_nodes;
	unsigned max_nodes;
	const char *key;
	bool json;
};

static const struct argp_option options[] = {
	{"key", 'k', "KEY", 0, "API key of the client account, or operators' key", 0},
	{"json", 'j', NULL, 0, "Print JSON", 0},
	{0},
};

static error_t parse_arg(int key, char *arg, struct argp_state *state)
{
	struct args *args = state->input;

	switch (key) {
	case 'k':
		args->key = arg;
		return 0;
	case 'j':
		args->json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (args->n_nodes == args->max_nodes)
			argp_usage(state);
		args->nodes[args->n_nodes++] = arg;
		return 0;
	case ARGP_KEY_END:
		if (args->n_nodes == 0)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const char *string_field(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}

static long long integer_field(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static void print_json(const json_t *json)
{
	json_dumpf(json, stdout, JSON_INDENT(1));
	putchar('\n');
}

static void print_addresses(const json_t *json)
{
	size_t i;
	json_t *entry;

	json_array_foreach(json_object_get(json, "addresses"), i, entry)
		printf("%-12s %-22s %s\n", string_field(entry, "vm"),
		       string_field(entry, "address"), string_field(entry, "data_centre"));
	printf("valid for %lld ms\n", integer_field(json, "ttl_ms"));
}

static int report_failure(const char *node)
{
	fprintf(stderr, "currantscale: no response from %s, or the request was rejected\n", node);
	return CLI_EXIT_UNREACHABLE;
}

int cli_addresses(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_arg,
		.args_doc = "NODE",
		.doc = "Lists the node addresses that callers should use.\v"
		       "NODE is host:port of a node's listener for callers. Exit status: 0, 64 bad "
		       "arguments, 3 no response or the request was rejected.",
	};
	struct args args = {.max_nodes = 1};
	struct fetch_client *http;
	json_t *json;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	http = fetch_client_new(NULL);
	json = client_get_json(http, args.nodes[0], "/v1/addresses", args.key);
	fetch_client_free(http);
	if (!json)
		return report_failure(args.nodes[0]);
	if (args.json)
		print_json(json);
	else
		print_addresses(json);
	json_decref(json);
	return CLI_EXIT_OK;
}

/*
 * Sends a POST and prints the body of the response, or without --json the given field of it. The
 * request succeeded if the response has the given status. Returns the exit code.
 */
static int post_to_node(const struct args *args, const char *path, const char *field, int status)
{
	const struct client_request request = {.method = "POST",
					       .address = args->nodes[0],
					       .path = path,
					       .key = args->key,
					       .body = ""};
	struct fetch_client *http = fetch_client_new(NULL);
	struct fetch_response response;
	bool ok = client_request(http, &request, &response) && response.status == status;
	json_t *json = json_loadb((const char *)response.body->data, response.body->len, 0, NULL);

	if (ok && field && !args->json)
		printf("%s\n", string_field(json, field));
	else if (ok)
		printf("%.*s\n", (int)response.body->len, (const char *)response.body->data);
	json_decref(json);
	fetch_response_clear(&response);
	fetch_client_free(http);
	return ok ? CLI_EXIT_OK : report_failure(args->nodes[0]);
}

int cli_ticket(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_arg,
		.args_doc = "NODE",
		.doc = "Gets a ticket for one non-idempotent request and prints it.\v"
		       "Exit status: 0, 64 bad arguments, 3 no response or the request was "
		       "rejected.",
	};
	struct args args = {.max_nodes = 1};

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	return post_to_node(&args, "/v1/tickets", "first", 200);
}

int cli_drain(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_arg,
		.args_doc = "NODE",
		.doc = "Starts draining a node: it is removed from the address lists, finishes "
		       "its requests and exits.\v"
		       "NODE is host:port of its listener for operators. Exit status: 0 started, "
		       "64 bad arguments, 3 no response or the request was rejected.",
	};
	struct args args = {.max_nodes = 1};

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	return post_to_node(&args, "/drain", NULL, 202);
}

int cli_dump(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_arg,
		.args_doc = "NODE",
		.doc = "Prints the full state of a node as JSON.\v"
		       "NODE is host:port of its listener for operators. Exit status: 0, 64 bad "
		       "arguments, 3 no response or the request was rejected.",
	};
	struct args args = {.max_nodes = 1};
	struct fetch_client *http;
	json_t *json;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	http = fetch_client_new(NULL);
	json = client_get_json(http, args.nodes[0], "/dump", args.key);
	fetch_client_free(http);
	if (!json)
		return report_failure(args.nodes[0]);
	print_json(json);
	json_decref(json);
	return CLI_EXIT_OK;
}

static void print_revisions(const json_t *revisions)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)revisions, name, value)
		printf(" %s=%lld", name, (long long)json_integer_value(value));
	putchar('\n');
}

/* Prints the status of a node that serves through an adapter. */
static void print_adapter_node(const json_t *dump)
{
	const json_t *status = json_object_get(dump, "status");
	json_t *entry;
	size_t i;

	printf("%s: %s%s, %lld requests, version %lld, view %lld ms old, owner %s with %lld "
	       "chains\n"
	       "  members:",
	       string_field(status, "vm"),
	       json_is_true(json_object_get(status, "ready")) ? "ready" : "not ready",
	       json_is_true(json_object_get(status, "stopping")) ? ", stopping" : "",
	       integer_field(status, "requests"), integer_field(status, "version"),
	       integer_field(status, "view_age_ms"), string_field(status, "owner"),
	       integer_field(status, "chains"));
	json_array_foreach(json_object_get(dump, "members"), i, entry)
		printf(" %s(heard from %lld ms ago)", string_field(entry, "peer"),
		       integer_field(entry, "heard_ms"));
	printf("\n  not usable or blocked:");
	json_array_foreach(json_object_get(dump, "upstreams"), i, entry)
	{
		if (!json_is_true(json_object_get(entry, "usable")) ||
		    integer_field(entry, "blocked_ms") > 0)
			printf(" %s", string_field(entry, "upstream"));
	}
	printf("\n  pools:");
	json_array_foreach(json_object_get(dump, "pools"), i, entry)
		printf(" %s(%lld busy of %lld, %lld waiting, backlog %lld ms)",
		       string_field(entry, "pool"), integer_field(entry, "busy"),
		       integer_field(entry, "upstreams"), integer_field(entry, "waiting"),
		       integer_field(entry, "backlog_ms"));
	putchar('\n');
}

static void print_node(const json_t *dump)
{
	const json_t *state = json_object_get(dump, "decisions");
	json_t *entry;
	size_t i;

	printf("%s (%s): %s%s, %lld open requests, list %lld ms old\n  revisions:",
	       string_field(dump, "vm"), string_field(dump, "data_centre"),
	       json_is_true(json_object_get(state, "ready")) ? "ready" : "not ready",
	       json_is_true(json_object_get(state, "draining")) ? ", draining" : "",
	       integer_field(dump, "open_requests"), integer_field(state, "list_age_ms"));
	print_revisions(json_object_get(state, "revisions"));
	printf("  nodes:");
	json_array_foreach(json_object_get(state, "nodes"), i, entry)
		printf(" %s%s", string_field(entry, "vm"),
		       json_is_true(json_object_get(entry, "leaving")) ? "(leaving)" : "");
	printf("\n  cold:");
	json_array_foreach(json_object_get(state, "upstreams"), i, entry)
	{
		if (!json_is_true(json_object_get(entry, "warm")))
			printf(" %s", string_field(entry, "name"));
	}
	printf("\n  not eligible:");
	json_array_foreach(json_object_get(state, "upstreams"), i, entry)
	{
		if (strcmp(string_field(entry, "eligible"), "ok") != 0)
			printf(" %s(%s)", string_field(entry, "name"),
			       string_field(entry, "eligible"));
	}
	putchar('\n');
}

int cli_status(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_arg,
		.args_doc = "NODE...",
		.doc = "Shows a summary of each node: the nodes it knows, revisions in force, cold "
		       "and ineligible upstreams. For a node that serves through an adapter: its "
		       "members, unusable or blocked upstreams and pools.\v"
		       "Each NODE is host:port of a listener for operators. Exit status: 0, 64 bad "
		       "arguments, 3 at least one node did not respond or rejected the request.",
	};
	struct args args = {.max_nodes = OPS_NODES_MAX};
	json_t *dumps = json_array();
	int code = CLI_EXIT_OK;
	struct fetch_client *http;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	http = fetch_client_new(NULL);
	for (unsigned i = 0; i < args.n_nodes; i++) {
		json_t *dump = client_get_json(http, args.nodes[i], "/dump", args.key);
		if (!dump)
			code = report_failure(args.nodes[i]);
		else if (!args.json && json_object_get(dump, "members"))
			print_adapter_node(dump);
		else if (!args.json)
			print_node(dump);
		if (dump)
			json_array_append_new(dumps, dump);
	}
	if (args.json)
		print_json(dumps);
	json_decref(dumps);
	fetch_client_free(http);
	return code;
}
