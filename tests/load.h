/* Steady load of requests on a test cluster. */
#ifndef TESTS_LOAD_H
#define TESTS_LOAD_H

#include "cluster.h"

struct load_call {
	char attempt[CLUSTER_ADDRESS_BYTES];
	int64_t sent_ms;
	int64_t took_ms;
	int status; /* 0: no response */
	bool whole;
	char *body;	      /* decoded if chunked; NULL: no response */
	double retry_after_s; /* below 0: the answer has none */
	GThread *thread;
	struct load *load;
	uint32_t node;
};

struct load {
	struct cluster *c;
	const char *target;
	const char *extra; /* header lines, each ending in CRLF */
	int64_t every_ms;
	uint32_t first_node; /* requests go to this node and all later ones in turn */
	GPtrArray *calls;    /* struct load_call, in order of sending */
};

void load_init(struct load *load, struct cluster *c, const char *target, const char *extra,
	       int64_t every_ms);

/* Sends requests for span_ms, without waiting for their answers. */
void load_run(struct load *load, int64_t span_ms);

/* Waits for all answers. */
void load_join(struct load *load);
void load_clear(struct load *load);

/* Returns the number of calls sent in [from_ms, to_ms) that have the status, or any if it is -1. */
uint32_t load_count(const struct load *load, int status, int64_t from_ms, int64_t to_ms);

#endif
