/* Routing: which upstream gets an attempt. */
#ifndef DECIDE_RTE_H
#define DECIDE_RTE_H

#include "decide/bb.h"
#include "decide/slot.h"

#ifdef __cplusplus
extern "C" {
#endif

#define RTE_TRIED_MAX 4

struct rte_ask {
	struct bb_service *service;
	int64_t left_ms;	       /* until the deadline */
	uint64_t body_bytes;	       /* to be sent */
	uint64_t prefix_hash;	       /* of the prompt's prefix; 0: none */
	uint32_t tried[RTE_TRIED_MAX]; /* upstream ids already tried for this stage */
	uint32_t n_tried;
};

struct rte_ops {
	const char *name;
	/* The upstream for an attempt; NULL when none may take it now. */
	struct bb_upstream *(*pick)(struct bb *bb, const struct slot_ops *slots,
				    const struct rte_ask *ask, int64_t now_ms);
};

/*
 * Requests that this node may have at an upstream now: its limit when it is eligible, else 0.
 * Keeps the capacity of its service up to date.
 */
int32_t rte_limit(struct bb *bb, const struct slot_ops *slots, struct bb_upstream *up,
		  int64_t now_ms);

extern const struct rte_ops rte_round_robin; /* baseline */
extern const struct rte_ops rte_score;	     /* expected finish under load + price of links */

#ifdef __cplusplus
}
#endif

#endif
