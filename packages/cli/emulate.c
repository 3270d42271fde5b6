/* currantscale emulate FILE: the platform and the upstreams of a document. */
#include "cli/cli.h"
#include "emul/emu.h"
#include "emul/stub.h"
#include "plf.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

struct args {
	struct emu_options options;
};

static const struct argp_option options[] = {
	{"listen", 'l', "HOST:PORT", 0, "Address of the platform, 127.0.0.1:0 by default", 0},
	{"seed", 's', "N", 0, "Seed of random behaviour, 1 by default", 0},
	{"proxy", 'p', NULL, 0, "Front everything by the fault proxy", 0},
	{"latency", 'L', NULL, 0, "As --proxy, and links have the latency of the document", 0},
	{0},
};

static error_t parse_arg(int key, char *arg, struct argp_state *state)
{
	struct args *args = state->input;

	switch (key) {
	case 'l':
		args->options.listen = arg;
		return 0;
	case 's':
		args->options.seed = strtoll(arg, NULL, 10);
		return 0;
	case 'L':
		args->options.latency = true;
		G_GNUC_FALLTHROUGH;
	case 'p':
		args->options.proxy = true;
		return 0;
	case ARGP_KEY_ARG:
		if (args->options.config_path)
			argp_usage(state);
		args->options.config_path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!args->options.config_path)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_arg,
	.args_doc = "FILE",
	.doc = "Publishes a configuration document and emulates its upstreams until SIGTERM. A "
	       "FILE "
	       "of JSON is a configuration as the users' platform publishes it: its store and "
	       "engines in the data centres a1, b1 and c1 are emulated.\v"
	       "Prints one line of JSON: the address of the platform and of its controls, and the "
	       "address that nodes take, which differs with --proxy. Exit status: 0 after SIGTERM, "
	       "2 when FILE or an address is bad.",
};

/* False with *error set when the configuration can't be read. */
static bool emulate_published(const char *text, gsize len, const sigset_t *signals, GError **error)
{
	static const char *const zones[] = {"a1", "b1", "c1", NULL};
	char *why = NULL;
	struct pub_doc *doc = plf_ops.feed->read_doc(text, len, &why);
	struct stub *p;
	int sig;

	if (!doc) {
		err_set(error, ERR_BAD_JSON, "%s", why ? why : "no JSON object");
		g_free(why);
		return false;
	}
	p = stub_new(error);
	if (!p)
		return false;
	stub_deploy(p, doc, zones);
	printf("{\"event\":\"listening\",\"source\":\"%s\"}\n", stub_store_address(p));
	fflush(stdout);
	sigwait(signals, &sig);
	stub_free(p);
	pub_doc_unref(doc);
	return true;
}

int cli_emulate(int argc, char **argv)
{
	struct args args = {.options = {.listen = "127.0.0.1:0", .seed = 1}};
	GError *error = NULL;
	sigset_t signals;
	struct emu *e;
	char *text = NULL;
	gsize len;
	int sig;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	if (g_file_get_contents(args.options.config_path, &text, &len, NULL) && text[0] == '{') {
		bool good = emulate_published(text, len, &signals, &error);
		if (!good)
			fprintf(stderr, "currantscale: %s\n", error->message);
		g_free(text);
		return good ? CLI_EXIT_OK : CLI_EXIT_USAGE;
	}
	g_free(text);
	e = emu_new(&args.options, &error);
	if (!e) {
		fprintf(stderr, "currantscale: %s\n", error->message);
		return CLI_EXIT_USAGE;
	}
	printf("{\"event\":\"listening\",\"platform\":\"%s\",\"platform_for_nodes\":\"%s\"}\n",
	       emu_address(e), emu_node_address(e));
	fflush(stdout);
	sigwait(&signals, &sig);
	emu_free(e);
	return CLI_EXIT_OK;
}
