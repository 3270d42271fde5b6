/*
 * Choice of an upstream for one request: by what it would cost the caller in time, with a hash
 * over the shared parts of prompts so that those are read by few engines.
 */
#ifndef DECIDE_SEL_H
#define DECIDE_SEL_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* How near an upstream is to whoever sends. */
enum sel_distance { SEL_SAME_CENTRE, SEL_SAME_REGION, SEL_OTHER_REGION };

struct sel_candidate {
	const char *id;
	enum sel_distance distance; /* from the node */
	bool beside_inputs;	    /* most bytes of the request's inputs lie there */
	uint32_t in_flight;	    /* of this node */
	bool tried;		    /* by this request */
	bool blocked;		    /* failed lately; used only when nothing else is left */
	bool cold;		    /* cold and this node's share of what it bears is spent */
	bool full;		    /* no connection of this node's share is left */
	double failed;		    /* recent share of failures, 0..1 */
};

struct sel_request {
	bool has_inputs;
	bool is_generation; /* an upstream takes many at a time */
	uint64_t prefix;    /* the first shared part of the prompt; 0: none */
	double prefix_ms;   /* that reading it anew takes */
	uint64_t session;   /* the last shared part; 0: none */
	double session_ms;
};

/* Index of the chosen one; -1 when none may be used. */
int sel_pick(const struct sel_request *request, const struct sel_candidate *candidates, uint32_t n);

#ifdef __cplusplus
}
#endif

#endif
