/* Nodes that serve through the platform's adapter, against the emulator's stand-in, for tests. */
#ifndef TESTS_CLUSTER_H
#define TESTS_CLUSTER_H

#include "emul/pse.h"

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

#define CLUSTER_NODES_MAX 40
#define CLUSTER_ADDRESS_BYTES 64

struct cluster_node {
	char front[CLUSTER_ADDRESS_BYTES];
	char ready[CLUSTER_ADDRESS_BYTES];
	char lookup[CLUSTER_ADDRESS_BYTES];
	char admin[CLUSTER_ADDRESS_BYTES];
	char metrics[CLUSTER_ADDRESS_BYTES];
	char peer[CLUSTER_ADDRESS_BYTES];
	bool no_source; /* from the source, from its next start on */
	pid_t pid;	/* 0: not running */
};

struct cluster {
	char *dir;
	struct pse *pse;
	struct cluster_node nodes[CLUSTER_NODES_MAX];
	uint32_t n_nodes;
	gint next_attempt;
};

/* Starts the stand-in with its engines and configuration, and n nodes that are ready. */
struct cluster *cluster_new(uint32_t n_nodes);
void cluster_free(struct cluster *a);

/* Publishes the test's configuration under a version; changes, if any, replace from by to. */
void cluster_configure(struct cluster *a, int version, const char *from, const char *to);

void cluster_start_node(struct cluster *a, uint32_t i);
void cluster_wait_ready(struct cluster *a, uint32_t i);

/* Sends a signal; SIGKILL and SIGTERM also wait for the end. Returns its wait status. */
int cluster_signal(struct cluster *a, uint32_t i, int sig);

struct cluster_answer {
	int status; /* 0: none */
	bool whole; /* framed as complete, or ended by an orderly close without a length */
	GString *text;
	char *body; /* without chunks; g_free() */
};

/* One request on a connection of its own. extra: further header lines, each with its end. */
void cluster_send(struct cluster *a, uint32_t node, const char *method, const char *target,
		  const char *extra, struct cluster_answer *answer);
void cluster_answer_clear(struct cluster_answer *answer);

/* The same from any thread, to a node that may not run; attempt gets the request's id. */
void cluster_try_send(struct cluster *a, uint32_t node, const char *method, const char *target,
		      const char *extra, char *attempt, size_t attempt_bytes,
		      struct cluster_answer *answer);

/* GET from any listener; NULL when there is no whole answer; g_free() the body. */
char *cluster_get(const char *address, const char *target, int *status);

#endif
