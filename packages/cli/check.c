/* currantscale check FILE: reports every fault of a document with its position. */
#include "cli/cli.h"
#include "model/cfg.h"
#include "model/pub_check.h"
#include "platform.h"
#include "serve/srvconf.h"

#include <argp.h>
#include <jansson.h>
#include <stdio.h>

struct args {
	const char *path;
	bool json;
};

static const struct argp_option options[] = {
	{"json", 'j', NULL, 0, "Print the faults of a configuration document as a JSON array", 0},
	{0},
};

static error_t parse_arg(int key, char *arg, struct argp_state *state)
{
	struct args *args = state->input;

	if (key == 'j')
		args->json = true;
	else if (key == ARGP_KEY_ARG && !args->path)
		args->path = arg;
	else if (key == ARGP_KEY_ARG || (key == ARGP_KEY_END && !args->path))
		argp_usage(state);
	else
		return ARGP_ERR_UNKNOWN;
	return 0;
}

static const struct argp argp = {
	.options = options,
	.parser = parse_arg,
	.args_doc = "FILE",
	.doc = "Reports every fault of a configuration document, of the settings of a node that "
	       "serves through an adapter, or of a published configuration (JSON).\v"
	       "Exit status: 0 no faults, 1 faults found, 2 FILE cannot be read, 64 bad arguments.",
};

static void print_json(const GPtrArray *faults)
{
	json_t *list = json_array();

	for (guint i = 0; i < faults->len; i++) {
		const struct schema_fault *fault = g_ptr_array_index(faults, i);
		json_array_append_new(list, json_pack("{s:s, s:i, s:i, s:s, s:s, s:s}", "section",
						      fault->section, "line", fault->line, "column",
						      fault->column, "key", fault->key, "code",
						      err_info(fault->code)->name, "reason",
						      fault->reason));
	}
	json_dumpf(list, stdout, JSON_INDENT(1));
	putchar('\n');
	json_decref(list);
}

static void print_text(const char *path, const GPtrArray *faults)
{
	for (guint i = 0; i < faults->len; i++) {
		const struct schema_fault *fault = g_ptr_array_index(faults, i);
		printf("%s:%d:%d: section %s, key %s: %s (%s)\n", path, fault->line, fault->column,
		       fault->section, fault->key, fault->reason, err_info(fault->code)->name);
	}
	if (faults->len == 0)
		printf("%s: no faults\n", path);
}

static int check_settings(const char *path)
{
	GError *error = NULL;
	struct srvconf *settings = srvconf_load(path, &error);

	if (!settings) {
		printf("%s\n", error->message);
		g_error_free(error);
		return CLI_EXIT_FAULTS;
	}
	printf("%s: no faults\n", path);
	srvconf_free(settings);
	return CLI_EXIT_OK;
}

static int check_published(const char *path, const char *text, gsize len)
{
	char *read_error = NULL;
	struct pub_doc *doc = platform_ops.feed->read_doc(text, len, &read_error);
	GPtrArray *faults;
	int code;

	if (!doc) {
		printf("%s: %s\n", path, read_error ? read_error : "not a JSON object");
		g_free(read_error);
		return CLI_EXIT_FAULTS;
	}
	faults = pub_check(doc);
	for (guint i = 0; i < faults->len; i++)
		printf("%s: %s\n", path, (const char *)g_ptr_array_index(faults, i));
	if (faults->len == 0)
		printf("%s: no faults in version %" G_GINT64_FORMAT "\n", path, doc->version);
	code = faults->len > 0 ? CLI_EXIT_FAULTS : CLI_EXIT_OK;
	g_ptr_array_unref(faults);
	pub_doc_unref(doc);
	return code;
}

int cli_check(int argc, char **argv)
{
	struct args args = {0};
	GPtrArray *faults;
	char *text;
	gsize len;
	int code;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	if (!g_file_get_contents(args.path, &text, &len, NULL)) {
		fprintf(stderr, "currantscale: cannot read %s\n", args.path);
		return CLI_EXIT_USAGE;
	}
	if (text[0] == '{' || srvconf_has_adapter(args.path)) {
		code = text[0] == '{' ? check_published(args.path, text, len)
				      : check_settings(args.path);
		g_free(text);
		return code;
	}
	faults = schema_faults_new();
	cfg_unref(cfg_parse(text, len, faults));
	if (args.json)
		print_json(faults);
	else
		print_text(args.path, faults);
	code = faults->len > 0 ? CLI_EXIT_FAULTS : CLI_EXIT_OK;
	g_ptr_array_unref(faults);
	g_free(text);
	return code;
}
