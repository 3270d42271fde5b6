/* currantscale explain: asks a node what it would do with a request, without sending it. */
#include "cli/cli.h"
#include "cli/client.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503

/* Keys of options without a short form. */
enum { KEY_ADMIN = 256, KEY_HOST, KEY_PATH, KEY_METHOD };

struct args {
	const char *admin;
	const char *host;
	const char *path;
	const char *method;
	json_t *headers; /* pairs of a name and a value */
	bool json;
};

static const struct argp_option options[] = {
	{"admin", KEY_ADMIN, "HOST:PORT", 0, "The node's listener for operators", 0},
	{"host", KEY_HOST, "HOST", 0, "Host of the request", 0},
	{"path", KEY_PATH, "PATH", 0, "Path and query of the request", 0},
	{"method", KEY_METHOD, "METHOD", 0, "Method of the request (default POST)", 0},
	{"header", 'H', "NAME: VALUE", 0, "Header of the request; may be repeated", 0},
	{"json", 'j', NULL, 0, "Print the answer as the node sent it", 0},
	{0},
};

static void add_header(struct argp_state *state, struct args *args, const char *text)
{
	const char *colon = strchr(text, ':');
	json_t *pair;

	if (!colon || colon == text) {
		argp_error(state, "a header has the form 'NAME: VALUE'");
		return;
	}
	pair = json_pack("[s%, s]", text, (size_t)(colon - text),
			 colon + 1 + strspn(colon + 1, " "));
	if (!pair)
		argp_error(state, "a header is not valid UTF-8");
	json_array_append_new(args->headers, pair);
}

static error_t parse_arg(int key, char *arg, struct argp_state *state)
{
	struct args *args = state->input;

	switch (key) {
	case KEY_ADMIN:
		args->admin = arg;
		return 0;
	case KEY_HOST:
		args->host = arg;
		return 0;
	case KEY_PATH:
		args->path = arg;
		return 0;
	case KEY_METHOD:
		args->method = arg;
		return 0;
	case 'H':
		add_header(state, args, arg);
		return 0;
	case 'j':
		args->json = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_usage(state);
		return 0;
	case ARGP_KEY_END:
		if (!args->admin || !args->host || !args->path)
			argp_error(state, "--admin, --host and --path are required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_arg,
	.doc = "Explains where a node would send a request now, and why, without sending it.\v"
	       "The request needs the headers that a caller sends, its key and the id of its "
	       "attempt "
	       "included. Exit status: 0 it would be sent somewhere, 1 it would be refused, 2 bad "
	       "arguments, no answer, or the node doesn't support the command.",
};

static const char *string_field(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}

static long long integer_field(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static double number_field(const json_t *json, const char *key)
{
	return json_number_value(json_object_get(json, key));
}

static void print_result(const json_t *root)
{
	const char *reason = string_field(root, "reason");
	const char *upstream = string_field(root, "upstream");

	printf("%s: the request would be %s", string_field(root, "vm"),
	       string_field(root, "result"));
	if (*upstream)
		printf(" to %s", upstream);
	if (json_object_get(root, "status"))
		printf(" with status %lld", integer_field(root, "status"));
	if (json_object_get(root, "retry_after_ms"))
		printf(", retry after %lld ms", integer_field(root, "retry_after_ms"));
	printf("%s%s\n", *reason ? ": " : "", reason);
}

static void print_decisions(const json_t *root)
{
	const json_t *decision;
	size_t i;

	json_array_foreach(json_object_get(root, "decisions"), i, decision)
	{
		const json_t *input;
		size_t k;
		printf("  %s: %s\n", string_field(decision, "decision"),
		       string_field(decision, "outcome"));
		json_array_foreach(json_object_get(decision, "inputs"), k, input)
		{
			char *value = json_dumps(json_object_get(input, "value"),
						 JSON_ENCODE_ANY | JSON_REAL_PRECISION(4));
			printf("    %s = %s", string_field(input, "input"), value);
			if (integer_field(input, "age_ms") >= 0)
				printf(" (%lld ms old)", integer_field(input, "age_ms"));
			putchar('\n');
			free(value);
		}
	}
}

static void print_chain(const json_t *chain)
{
	const json_t *pool;
	size_t i;

	if (!chain)
		return;
	printf("  chain: owner %s of region %s, heard from %lld ms ago%s\n",
	       string_field(chain, "owner"), string_field(chain, "region"),
	       integer_field(chain, "owner_heard_ms_ago"),
	       json_is_true(json_object_get(chain, "owned_here"))
		       ? ""
		       : "; what it would decide is not known here");
	json_array_foreach(json_object_get(chain, "pools"), i, pool)
	{
		const json_t *account = json_object_get(pool, "account");
		printf("    pool %s: %lld pieces, wait %lld ms; %lld waiting, %lld upstreams idle; "
		       "error p90 %lld ms (%lld samples)",
		       string_field(pool, "pool"), integer_field(pool, "pieces"),
		       integer_field(pool, "wait_ms"), integer_field(pool, "waiting"),
		       integer_field(pool, "idle_upstreams"), integer_field(pool, "error_p90_ms"),
		       integer_field(pool, "error_samples"));
		if (account)
			printf("; the account has %.2f of it", number_field(account, "share"));
		putchar('\n');
	}
}

static void print_candidates(const json_t *root)
{
	const json_t *row;
	size_t i;

	json_array_foreach(json_object_get(root, "candidates"), i, row)
	{
		const char *component;
		json_t *ms;
		printf("  %s %-16s %-10s %-17s %9.2f ms", i == 0 ? "candidates:" : "           ",
		       string_field(row, "upstream"), string_field(row, "data_centre"),
		       string_field(row, "distance"), number_field(row, "cost_ms"));
		json_object_foreach(json_object_get(row, "cost_by_component_ms"), component, ms)
		{
			if (json_number_value(ms) != 0)
				printf(" %s=%.2f", component, json_number_value(ms));
		}
		if (json_is_true(json_object_get(row, "chosen")))
			printf("; chosen");
		if (*string_field(row, "obstacle"))
			printf("; %s", string_field(row, "obstacle"));
		putchar('\n');
	}
	if (integer_field(root, "candidates_not_listed") > 0)
		printf("              and %lld more\n",
		       integer_field(root, "candidates_not_listed"));
}

/* Returns the exit code for an answer that explains the request. */
static int print_answer(const struct args *args, const struct fetch_response *response,
			const json_t *root)
{
	if (args->json) {
		printf("%.*s\n", (int)response->body->len, (const char *)response->body->data);
	} else {
		print_result(root);
		print_decisions(root);
		print_chain(json_object_get(root, "chain"));
		print_candidates(root);
	}
	return strcmp(string_field(root, "result"), "refused") == 0 ? CLI_EXIT_FAULTS : CLI_EXIT_OK;
}

static int report_failure(const struct args *args, const struct fetch_response *response,
			  const json_t *root)
{
	if (response->status == 0)
		fprintf(stderr, "currantscale: no answer from %s\n", args->admin);
	else if (response->status == HTTP_NOT_FOUND)
		fprintf(stderr, "currantscale: %s does not support explain\n", args->admin);
	else
		fprintf(stderr, "currantscale: %s answered %d %s\n", args->admin, response->status,
			string_field(root, "error"));
	return CLI_EXIT_USAGE;
}

int cli_explain(int argc, char **argv)
{
	struct args args = {.method = "POST", .headers = json_array()};
	struct fetch_client *http = fetch_client_new(NULL);
	struct fetch_response response;
	json_t *head;
	json_t *root;
	char *body;
	int code;

	argp_err_exit_status = CLI_EXIT_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	head = json_pack("{s:s, s:s, s:s, s:o}", "method", args.method, "target", args.path, "host",
			 args.host, "headers", args.headers);
	body = head ? json_dumps(head, JSON_COMPACT) : NULL;
	const struct client_request request = {
		.method = "POST", .address = args.admin, .path = "/explain", .body = body};
	client_request(http, &request, &response);
	root = response.body
		       ? json_loadb((const char *)response.body->data, response.body->len, 0, NULL)
		       : NULL;
	if (response.body && (response.status == HTTP_OK || response.status == HTTP_UNAVAILABLE) &&
	    json_object_get(root, "result"))
		code = print_answer(&args, &response, root);
	else
		code = report_failure(&args, &response, root);
	json_decref(root);
	json_decref(head);
	free(body);
	fetch_response_clear(&response);
	fetch_client_free(http);
	return code;
}
