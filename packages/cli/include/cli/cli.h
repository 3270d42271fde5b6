/* Subcommands of currantscale. Each parses its own arguments and returns an exit code. */
#ifndef CLI_CLI_H
#define CLI_CLI_H

#include "base/err.h"

/*
 * Exit codes, documented in docs/operators/commands.md. The argument parser exits with EX_USAGE
 * (64) after bad arguments.
 */
enum cli_exit {
	CLI_EXIT_OK = 0,
	/* check: the document has faults; load: a promise was broken; explain: a refusal */
	CLI_EXIT_FAULTS = 1,
	CLI_EXIT_USAGE = 2, /* unknown command, unreadable FILE, or the emulator cannot start */
	CLI_EXIT_UNREACHABLE = 3, /* no response; except in send, also a rejected request */
	CLI_EXIT_NOT_RUN = 4,	  /* the request has certainly not run */
	CLI_EXIT_UNKNOWN = 5,	  /* the request may or may not have run */
};

struct cli_command {
	const char *name;
	const char *doc; /* one line for the usage text */
	int (*run)(int argc, char **argv);
};

int cli_addresses(int argc, char **argv);
int cli_check(int argc, char **argv);
int cli_drain(int argc, char **argv);
int cli_dump(int argc, char **argv);
int cli_emulate(int argc, char **argv);
int cli_explain(int argc, char **argv);
int cli_load(int argc, char **argv);
int cli_send(int argc, char **argv);
int cli_status(int argc, char **argv);
int cli_ticket(int argc, char **argv);

#endif
