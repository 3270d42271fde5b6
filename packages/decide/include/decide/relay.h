/*
 * Choice of the node that serves a request in place of this one, which reaches no upstream: one of
 * the nearest, at random. Never one outside the regions in which the request is allowed.
 */
#ifndef DECIDE_RELAY_H
#define DECIDE_RELAY_H

#include "base/prng.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A node other than this one. */
struct relay_candidate {
	const char *address; /* for callers; borrowed until the choice is made */
	const char *data_centre;
	const char *region;
	bool alive;
	bool ready;
	bool leaving;
	bool isolated; /* reaches no upstream itself */
	bool avoided;  /* couldn't be connected to just now */
};

struct relay_query {
	const char *data_centre; /* of this node */
	const char *region;
	char *const *regions; /* in which the request is allowed, NULL-terminated; NULL: any */
	const char *tried;    /* address of the node tried before; NULL: none */
};

enum relay_distance {
	RELAY_SAME_DATA_CENTRE,
	RELAY_SAME_REGION,
	RELAY_OTHER_REGION,
	RELAY_NOWHERE
};

struct relay_choice {
	const char *address; /* NULL: no node may serve the request */
	enum relay_distance distance;
	uint32_t n_equal; /* number of candidates at that distance */
};

void relay_choice_init(struct relay_choice *choice);

/* Considers one more candidate; each of the nearest ones is chosen with the same probability. */
void relay_choice_add(struct relay_choice *choice, const struct relay_query *query,
		      const struct relay_candidate *candidate, struct prng *prng);

struct relay_progress {
	bool is_relayed;       /* by another node, to this one */
	uint32_t runs;	       /* upstreams that may have run it */
	uint32_t active;       /* attempts in progress */
	bool response_started; /* part of an answer was sent to the caller */
};

/* Returns whether a request may be relayed: nothing else can have run it, and one hop at most. */
bool relay_is_allowed(const struct relay_progress *progress);

#ifdef __cplusplus
}
#endif

#endif
