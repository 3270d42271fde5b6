/*
 * Choice of an upstream for one request: by what it would cost the caller in time, with a hash
 * over the shared parts of prompts so that those are read by few engines.
 */
#ifndef DECIDE_LB_H
#define DECIDE_LB_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* How near an upstream is to whoever sends. */
enum lb_distance { LB_SAME_DATA_CENTRE, LB_SAME_REGION, LB_OTHER_REGION };

struct lb_candidate {
	const char *id;
	enum lb_distance distance; /* from the node */
	bool near_inputs;	   /* most bytes of the request's inputs lie there */
	uint32_t in_flight;	   /* of this node */
	bool tried;		   /* by this request */
	bool blocked;		   /* failed lately; used only when nothing else is left */
	bool cold;		   /* cold and this node's share of what it bears is spent */
	bool full;		   /* no connection of this node's share is left */
	double failed;		   /* recent share of failures, 0..1 */
};

struct lb_request {
	bool has_inputs;
	bool is_generation; /* an upstream takes many at a time */
	uint64_t prefix;    /* the first shared part of the prompt; 0: none */
	double prefix_ms;   /* that reading it anew takes */
	uint64_t session;   /* the last shared part; 0: none */
	double session_ms;
};

/* Index of the chosen one; -1 when none may be used. */
int lb_pick(const struct lb_request *request, const struct lb_candidate *candidates, uint32_t n);

#ifdef __cplusplus
}
#endif

#endif
