/* Commands that ask a node one thing: addresses, ticket, dump, drain, status. */
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
	{"key", 'k', "KEY", 0, "Key of the client account, or of operators", 0},
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

static const char *text_of(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}

static long long number_of(const json_t *json, const char *key)
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
		printf("%-12s %-22s %s\n", text_of(entry, "vm"), text_of(entry, "address"),
		       text_of(entry, "data_centre"));
	printf("keep for %lld ms\n", number_of(json, "ttl_ms"));
}

static int fail(const char *node)
{
	fprintf(stderr, "currantscale: no answer of %s, or it refused\n", node);
	return CLI_EXIT_UNREACHABLE;
}

int cli_addresses(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_arg,
		.args_doc = "NODE",
		.doc = "Lists the addresses that callers should use now.\v"
		       "NODE is host:port of a node's listener for callers. Exit status: 0, 2 bad "
		       "arguments, 3 no answer.",
	};
	struct args args = {.max_nodes = 1};
	struct hcl *http;
	json_t *json;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	http = hcl_new(NULL);
	json = client_get_json(http, args.nodes[0], "/v1/addresses", args.key);
	hcl_free(http);
	if (!json)
		return fail(args.nodes[0]);
	if (args.json)
		print_json(json);
	else
		print_addresses(json);
	json_decref(json);
	return CLI_EXIT_OK;
}

/* POST; prints the body, or a field of it. */
static int post(const struct args *args, const char *path, const char *field, int status)
{
	const struct ask a = {.method = "POST",
			      .address = args->nodes[0],
			      .path = path,
			      .key = args->key,
			      .body = ""};
	struct hcl *http = hcl_new(NULL);
	struct hcl_answer answer;
	bool ok = ask(http, &a, &answer) && answer.status == status;
	json_t *json = json_loadb((const char *)answer.body->data, answer.body->len, 0, NULL);

	if (ok && field && !args->json)
		printf("%s\n", text_of(json, field));
	else if (ok)
		printf("%.*s\n", (int)answer.body->len, (const char *)answer.body->data);
	json_decref(json);
	hcl_answer_clear(&answer);
	hcl_free(http);
	return ok ? CLI_EXIT_OK : fail(args->nodes[0]);
}

int cli_ticket(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_arg,
		.args_doc = "NODE",
		.doc = "Takes a ticket for one non-idempotent request and prints it.\v"
		       "Exit status: 0, 2 bad arguments, 3 no answer or refused.",
	};
	struct args args = {.max_nodes = 1};

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	return post(&args, "/v1/tickets", "first", 200);
}

int cli_drain(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_arg,
		.args_doc = "NODE",
		.doc = "Begins a planned stop of a node: it leaves the address answers, finishes "
		       "what runs and exits.\v"
		       "NODE is host:port of its listener for operators. Exit status: 0 begun, 2 "
		       "bad arguments, 3 no answer or refused.",
	};
	struct args args = {.max_nodes = 1};

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	return post(&args, "/drain", NULL, 202);
}

int cli_dump(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_arg,
		.args_doc = "NODE",
		.doc = "Prints a node's whole state as JSON.\v"
		       "NODE is host:port of its listener for operators. Exit status: 0, 2 bad "
		       "arguments, 3 no answer or refused.",
	};
	struct args args = {.max_nodes = 1};
	struct hcl *http;
	json_t *json;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	http = hcl_new(NULL);
	json = client_get_json(http, args.nodes[0], "/dump", args.key);
	hcl_free(http);
	if (!json)
		return fail(args.nodes[0]);
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

/* A node that serves through an adapter. */
static void print_adapted(const json_t *dump)
{
	const json_t *status = json_object_get(dump, "status");
	json_t *entry;
	size_t i;

	printf("%s: %s%s, %lld requests, version %lld, view %lld ms old, owner %s with %lld "
	       "chains\n"
	       "  sees:",
	       text_of(status, "vm"),
	       json_is_true(json_object_get(status, "ready")) ? "ready" : "not ready",
	       json_is_true(json_object_get(status, "stopping")) ? ", stopping" : "",
	       number_of(status, "requests"), number_of(status, "version"),
	       number_of(status, "view_age_ms"), text_of(status, "owner"),
	       number_of(status, "chains"));
	json_array_foreach(json_object_get(dump, "members"), i, entry)
		printf(" %s(%lld ms)", text_of(entry, "peer"), number_of(entry, "heard_ms"));
	printf("\n  not used:");
	json_array_foreach(json_object_get(dump, "upstreams"), i, entry)
	{
		if (!json_is_true(json_object_get(entry, "usable")) ||
		    number_of(entry, "blocked_ms") > 0)
			printf(" %s", text_of(entry, "upstream"));
	}
	printf("\n  pools:");
	json_array_foreach(json_object_get(dump, "pools"), i, entry)
		printf(" %s(%lld busy of %lld, %lld waiting, %lld ms)", text_of(entry, "pool"),
		       number_of(entry, "busy"), number_of(entry, "upstreams"),
		       number_of(entry, "waiting"), number_of(entry, "backlog_ms"));
	putchar('\n');
}

static void print_node(const json_t *dump)
{
	const json_t *state = json_object_get(dump, "decisions");
	json_t *entry;
	size_t i;

	printf("%s (%s): %s%s, %lld open requests, list %lld ms old\n  revisions:",
	       text_of(dump, "vm"), text_of(dump, "data_centre"),
	       json_is_true(json_object_get(state, "ready")) ? "ready" : "not ready",
	       json_is_true(json_object_get(state, "draining")) ? ", draining" : "",
	       number_of(dump, "open_requests"), number_of(state, "list_age_ms"));
	print_revisions(json_object_get(state, "revisions"));
	printf("  sees:");
	json_array_foreach(json_object_get(state, "nodes"), i, entry)
		printf(" %s%s", text_of(entry, "vm"),
		       json_is_true(json_object_get(entry, "leaving")) ? "(leaving)" : "");
	printf("\n  cold:");
	json_array_foreach(json_object_get(state, "upstreams"), i, entry)
	{
		if (!json_is_true(json_object_get(entry, "warm")))
			printf(" %s", text_of(entry, "name"));
	}
	printf("\n  not used:");
	json_array_foreach(json_object_get(state, "upstreams"), i, entry)
	{
		if (strcmp(text_of(entry, "eligible"), "ok") != 0)
			printf(" %s(%s)", text_of(entry, "name"), text_of(entry, "eligible"));
	}
	putchar('\n');
}

int cli_status(int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_arg,
		.args_doc = "NODE...",
		.doc = "Shows the fleet at a glance: who is seen, revisions in force, cold and "
		       "unused upstreams.\v"
		       "Each NODE is host:port of a listener for operators. Exit status: 0, 2 bad "
		       "arguments, 3 at least one node gave no answer.",
	};
	struct args args = {.max_nodes = OPS_NODES_MAX};
	json_t *all = json_array();
	int code = CLI_EXIT_OK;
	struct hcl *http;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	http = hcl_new(NULL);
	for (unsigned i = 0; i < args.n_nodes; i++) {
		json_t *dump = client_get_json(http, args.nodes[i], "/dump", args.key);
		if (!dump)
			code = fail(args.nodes[i]);
		else if (!args.json && json_object_get(dump, "members"))
			print_adapted(dump);
		else if (!args.json)
			print_node(dump);
		if (dump)
			json_array_append_new(all, dump);
	}
	if (args.json)
		print_json(all);
	json_decref(all);
	hcl_free(http);
	return code;
}
