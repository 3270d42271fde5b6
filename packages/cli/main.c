/* currantscale: the command line for operators and callers. */
#include "cli/cli.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>

static const struct cli_command commands[] = {
	{"addresses", "list the node addresses for callers", cli_addresses},
	{"check", "report every fault of a configuration document", cli_check},
	{"drain", "start draining a node", cli_drain},
	{"dump", "print the full state of a node", cli_dump},
	{"emulate", "emulate the platform and the upstreams of a document", cli_emulate},
	{"explain", "explain what a node would do with a request", cli_explain},
	{"load", "send a mixed load and verify the results", cli_load},
	{"send", "send one request to a node", cli_send},
	{"status", "show a summary of the fleet", cli_status},
	{"ticket", "get a ticket for one non-idempotent request", cli_ticket},
};

static void usage(FILE *out)
{
	fputs("Usage: currantscale COMMAND [ARGUMENT...]\n\nCommands:\n", out);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name, commands[i].doc);
	fputs("\nEach command has --help. Exit codes are listed in docs/operators/commands.md.\n",
	      out);
}

int main(int argc, char **argv)
{
	if (argc > 1 && (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "help") == 0)) {
		usage(stdout);
		return CLI_EXIT_OK;
	}
	if (argc > 1 && strcmp(argv[1], "--version") == 0) {
		puts("currantscale " CS_VERSION);
		return CLI_EXIT_OK;
	}
	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	usage(stderr);
	return CLI_EXIT_USAGE;
}
