/* currantscale emulate FILE: the platform and the upstreams of a document. */
#include "cli/cli.h"
#include "emul/emu.h"

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
	.doc = "Publishes a configuration document and emulates its upstreams until SIGTERM.\v"
	       "Prints one line of JSON: the address of the platform and of its controls, and the "
	       "address that nodes take, which differs with --proxy. Exit status: 0 after SIGTERM, "
	       "2 when FILE or an address is bad.",
};

int cli_emulate(int argc, char **argv)
{
	struct args args = {.options = {.listen = "127.0.0.1:0", .seed = 1}};
	GError *error = NULL;
	sigset_t signals;
	struct emu *e;
	int sig;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
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
