/*
 * Load balancing: picks the upstream of a request by its estimated cost in latency. Rendezvous
 * hashing of shared prompt prefixes keeps each prefix in the caches of few engines.
 */
#ifndef DECIDE_LB_H
#define DECIDE_LB_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Distance from this node to an upstream. */
enum lb_distance { LB_SAME_DATA_CENTRE, LB_SAME_REGION, LB_OTHER_REGION };

struct lb_candidate {
	const char *id;
	enum lb_distance distance;
	bool near_inputs; /* the upstream's data centre stores most bytes of the request's inputs */
	uint32_t in_flight; /* requests that this node has in progress at the upstream */
	bool tried;	    /* an earlier attempt of this request was sent to the upstream */
	bool blocked;	    /* failed recently; costs so much that it is the last choice */
	bool cold; /* the upstream is cold and this node's share of requests to it is used up */
	bool full; /* all connections that this node may use are in use */
	bool needs_permit; /* its limit's owner has to be asked first */
	bool overloaded;   /* brittle, and has just refused a request: it gets nothing now */
	double failed;	   /* recent failure rate, 0..1 */
};

struct lb_request {
	bool has_inputs;
	bool is_generation;   /* a text generation, of which engines run many at a time */
	uint64_t prefix;      /* id of the first shared part of the prompt; 0: none */
	double prefix_ms;     /* prefill time of the first shared part */
	uint64_t session;     /* id of the last shared part; 0: none */
	double session_ms;    /* prefill time of the last shared part */
	const char *proposed; /* engine that a region's owner proposes; NULL: none */
};

/* What it would cost to send a request to a candidate, in ms of additional latency. */
struct lb_cost {
	double distance_ms;
	double in_flight_ms; /* own requests in progress */
	double failures_ms;
	double permit_ms;
	double blocked_ms;
	double inputs_ms; /* the request's inputs are in another data centre */
	double prefix_ms; /* the first shared part may have to be read */
	/* the last shared part has to be read, or an owner proposes another engine */
	double session_ms;
	double tie_break_ms;
	double total_ms;
};

/*
 * Returns an engine's place in the session's order of rendezvous hashing: the engine with the
 * lowest value is the session's first.
 */
double lb_rank_engine(uint64_t session, const char *id);

/*
 * Returns whether the proposed engine is among the candidates and may be used: it isn't tried,
 * cold, full, blocked or overloaded.
 */
bool lb_is_proposal_usable(const struct lb_request *request, const struct lb_candidate *candidates,
			   uint32_t n);

/* Returns the cost, in ms of latency, of reading the session's part again. */
double lb_session_ms(const struct lb_request *request);

/*
 * Returns the cost of a candidate that keeps the session's part, in ms of latency, as lb_pick()
 * compares candidates.
 */
double lb_cost_ms(const struct lb_request *request, const struct lb_candidate *candidate);

/* Returns the index of the chosen candidate, or -1 when none may be used. */
int lb_pick(const struct lb_request *request, const struct lb_candidate *candidates, uint32_t n);

/*
 * As lb_pick(), leaving out overloaded candidates. If they are many, they keep their share of the
 * choices, and most of it is not sent, so that the last ones with room don't get the load of all;
 * draw is a random number that decides which part is. Returns -1 for what isn't sent.
 */
int lb_pick_sharing(const struct lb_request *request, const struct lb_candidate *candidates,
		    uint32_t n, uint64_t draw);

/*
 * Fills the costs by which lb_pick_sharing() compares the candidates, also of those that may not be
 * used.
 */
void lb_get_costs(const struct lb_request *request, const struct lb_candidate *candidates,
		  uint32_t n, struct lb_cost *costs);

/*
 * Returns why the candidate isn't chosen; NULL: it may be. "blocked" and "overloaded" ones may be
 * if too few others are left.
 */
const char *lb_obstacle(const struct lb_candidate *c);

#ifdef __cplusplus
}
#endif

#endif
