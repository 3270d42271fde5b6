/* Load balancing: selects the upstream of an attempt. */
#ifndef DECIDE_ROUTE_H
#define DECIDE_ROUTE_H

#include "decide/bb.h"
#include "decide/slot.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ROUTE_TRIED_MAX 4 /* upstreams that a request can exclude */

struct route_request {
	struct bb_service *service;
	int64_t left_ms;		 /* time until the deadline */
	uint64_t body_bytes;		 /* size of the body to be sent */
	uint64_t prefix_hash;		 /* hash of the prompt's prefix; 0: none */
	uint32_t tried[ROUTE_TRIED_MAX]; /* ids of upstreams already tried for this stage */
	uint32_t n_tried;
};

struct route_ops {
	const char *name;
	/* Returns the upstream for an attempt; NULL when none can take it now. */
	struct bb_upstream *(*pick)(struct bb *bb, const struct slot_ops *slots,
				    const struct route_request *request, int64_t now_ms);
};

/*
 * Returns the number of concurrent requests that this node may have at an upstream now; 0 when the
 * upstream is not eligible. Updates the capacity of its service.
 */
int32_t route_limit(struct bb *bb, const struct slot_ops *slots, struct bb_upstream *up,
		    int64_t now_ms);

extern const struct route_ops route_round_robin; /* baseline */
extern const struct route_ops
	route_score; /* lowest sum of expected latency and link price, among a sample */

#ifdef __cplusplus
}
#endif

#endif
