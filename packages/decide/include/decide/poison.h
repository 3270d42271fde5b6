/*
 * Requests that crash the upstreams that run them (poison requests). A request is known by a digest
 * of what it asks, so that it is the same request at each node and each time it comes. Nodes tell
 * each other of upstreams that ended under a request and of good answers to it; the verdict is a
 * function of this evidence alone. Once an upstream has ended under a request, the fleet runs it
 * one at a time: the node that owns the digest grants the runs.
 *
 * The module does no I/O. Times are monotonic milliseconds of this node; the caller converts those
 * of other nodes. Digests and hashes of upstreams are not 0.
 */
#ifndef DECIDE_POISON_H
#define DECIDE_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What a request asks; without a body, its prompt tells it apart. NULL strings count as empty. */
struct poison_request {
	const char *method;
	const char *host;
	const char *target;  /* path and query */
	const char *account; /* client account; NULL: none */
	const void *body;
	size_t len;
	const uint64_t *parts; /* ids of the prompt's parts */
	uint32_t n_parts;
};

/*
 * Returns a digest that is the same at all nodes and in all builds, and for which nobody can make a
 * request that collides with another's.
 */
uint64_t poison_digest(const struct poison_request *request);

#ifdef __cplusplus
}
#endif

#endif
