/*
 * Whether this node can open connections to upstreams at all. A failure at an upstream makes the
 * node suspect; it then probes upstreams of different services and data centres, and is isolated if
 * none of them can be reached. Upstreams that are down don't isolate a node as long as it reaches
 * others. An answer on a kept connection is no evidence: it doesn't show that a new connection can
 * be made. The module does no I/O: the caller opens the connections that reach_pick_probes() asks
 * for, closes them after REACH_SETTLE_MS, and notes their outcome like that of any other.
 */
#ifndef DECIDE_REACH_H
#define DECIDE_REACH_H

#include "base/prng.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define REACH_ID_BYTES 64
#define REACH_PROBE_TIMEOUT_MS 400 /* a probe without a connection by then has failed */
/* A connection counts once it has stood for this long and its upstream has reset none. */
#define REACH_SETTLE_MS 100
#define REACH_PROBES_PER_S 12 /* no interval of a second has more probes */
/* A node that knows fewer upstreams can't tell their failure from its own; it is never isolated. */
#define REACH_UPSTREAMS_MIN 2

enum reach_state {
	REACH_REACHING, /* nothing speaks against it */
	REACH_SUSPECT,	/* an upstream failed, none was reached since; being probed */
	REACH_ISOLATED, /* no upstream can be reached */
};

struct reach_candidate {
	const char *id;
	const char *service;
	const char *data_centre;
};

/* An upstream that failed and wasn't reached since. */
struct reach_failure {
	const char *id; /* borrowed */
	int64_t failed_ms;
};

struct reach;

struct reach *reach_new(int64_t now_ms);
void reach_free(struct reach *r);

/* What happened to a connection to an upstream, probes included. */
enum reach_event {
	REACH_CONNECTED, /* it is new and was established */
	REACH_FAILED,	 /* it couldn't be made in time, or was refused */
	REACH_RESET,	 /* it ended before any byte of an answer */
};

void reach_note(struct reach *r, const char *id, enum reach_event event, int64_t now_ms);

/*
 * Applies the evidence and the time that has passed; to be called several times a second. n_known:
 * number of upstreams that could be probed. A long gap between calls, during which the process was
 * suspended, drops what was noted before it.
 */
enum reach_state reach_update(struct reach *r, uint32_t n_known, int64_t now_ms);

/* Returns how many probes are due; 0 nearly always. */
uint32_t reach_count_due(const struct reach *r, int64_t now_ms);

/*
 * Writes the indexes of the candidates to probe now, at most REACH_PROBES_PER_S, and returns their
 * number. They are spread over services and data centres.
 */
uint32_t reach_pick_probes(struct reach *r, const struct reach_candidate *candidates, uint32_t n,
			   struct prng *prng, uint32_t *picked, int64_t now_ms);

enum reach_state reach_get_state(const struct reach *r);

/* Returns when the state last changed. */
int64_t reach_since_ms(const struct reach *r);

/* Writes upstreams that have failed since the node was last suspect; returns their number. */
uint32_t reach_list_failures(const struct reach *r, struct reach_failure *failures,
			     uint32_t capacity);

#ifdef __cplusplus
}
#endif

#endif
