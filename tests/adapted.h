/* Nodes that serve through the platform's adapter, against the emulator's stand-in, for tests. */
#ifndef TESTS_ADAPTED_H
#define TESTS_ADAPTED_H

#include "emul/stub.h"

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

#define ADAPTED_NODES_MAX 40
#define ADAPTED_ADDRESS_BYTES 64

struct adapted_node {
	char front[ADAPTED_ADDRESS_BYTES];
	char ready[ADAPTED_ADDRESS_BYTES];
	char lookup[ADAPTED_ADDRESS_BYTES];
	char admin[ADAPTED_ADDRESS_BYTES];
	char metrics[ADAPTED_ADDRESS_BYTES];
	char peer[ADAPTED_ADDRESS_BYTES];
	bool is_cut_off; /* from the source, from its next start on */
	pid_t pid;	 /* 0: not running */
};

struct adapted {
	char *dir;
	struct stub *stub;
	struct adapted_node nodes[ADAPTED_NODES_MAX];
	uint32_t n_nodes;
	gint next_attempt;
};

/* Starts the stand-in with its engines and configuration, and n nodes that are ready. */
struct adapted *adapted_new(uint32_t n_nodes);
void adapted_free(struct adapted *a);

/* Publishes the test's configuration under a version; changes, if any, replace from by to. */
void adapted_configure(struct adapted *a, int version, const char *from, const char *to);

void adapted_start_node(struct adapted *a, uint32_t i);
void adapted_wait_ready(struct adapted *a, uint32_t i);

/* Sends a signal; SIGKILL and SIGTERM also wait for the end. Returns its wait status. */
int adapted_signal(struct adapted *a, uint32_t i, int sig);

struct adapted_answer {
	int status; /* 0: none */
	bool whole; /* framed as complete, or ended by an orderly close without a length */
	GString *text;
	char *body; /* without chunks; g_free() */
};

/* One request on a connection of its own. extra: further header lines, each with its end. */
void adapted_send(struct adapted *a, uint32_t node, const char *method, const char *target,
		  const char *extra, struct adapted_answer *answer);
void adapted_clear(struct adapted_answer *answer);

/* The same from any thread, to a node that may not run; attempt gets the request's id. */
void adapted_try(struct adapted *a, uint32_t node, const char *method, const char *target,
		 const char *extra, char *attempt, size_t attempt_bytes,
		 struct adapted_answer *answer);

/* GET from any listener; NULL when there is no whole answer; g_free() the body. */
char *adapted_get(const char *address, const char *target, int *status);

#endif
