/* currantscale emulate FILE: emulates the platform and the upstreams of a document. */
#include "cli/cli.h"
#include "emul/emu.h"
#include "emul/stub.h"
#include "platform.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

struct args {
	struct emu_options options;
};

static const struct argp_option options[] = {
	{"listen", 'l', "HOST:PORT", 0, "Address of the platform (default 127.0.0.1:0)", 0},
	{"seed", 's', "N", 0, "Seed of random behaviour (default 1)", 0},
	{"proxy", 'p', NULL, 0, "Put the fault proxy in front of every emulated address", 0},
	{"latency", 'L', NULL, 0, "Like --proxy, and delay links by the latencies of the document",
	 0},
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
	.doc = "Publishes a configuration document and emulates its upstreams until SIGTERM or "
	       "SIGINT. If FILE is a published configuration (JSON), emulates its store and its "
	       "engines in the data centres a1, b1 and c1.\v"
	       "Prints one line of JSON when it is ready: the address of the platform and its "
	       "control API, and the address for nodes, which differs with --proxy; for a "
	       "published configuration, the address of its store. Exit status: 0 after SIGTERM or "
	       "SIGINT, 2 when the emulator cannot start, 64 bad arguments.",
};

/* Runs until SIGTERM or SIGINT. Returns false with *error set when the emulator cannot start. */
static bool emulate_published(const char *text, gsize len, const sigset_t *signals, GError **error)
{
	static const char *const data_centres[] = {"a1", "b1", "c1", NULL};
	char *read_error = NULL;
	struct pub_doc *doc = platform_ops.feed->read_doc(text, len, &read_error);
	struct stub *p;
	int sig;

	if (!doc) {
		err_set(error, ERR_BAD_JSON, "%s", read_error ? read_error : "not a JSON object");
		g_free(read_error);
		return false;
	}
	/* a write to a caller that has left would end the emulator */
	signal(SIGPIPE, SIG_IGN);
	p = stub_new(error);
	if (!p)
		return false;
	stub_deploy(p, doc, data_centres);
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
		bool ok = emulate_published(text, len, &signals, &error);
		if (!ok)
			fprintf(stderr, "currantscale: %s\n", error->message);
		g_free(text);
		return ok ? CLI_EXIT_OK : CLI_EXIT_USAGE;
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
