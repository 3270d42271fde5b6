/*
 * Budgets over a sliding window: a count of requests and of repeats, by which a node knows
 * whether one more repeat is within its share of what the fleet may send.
 */
#ifndef DECIDE_BUDGET_H
#define DECIDE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BUDGET_BUCKETS 20

struct budget_window {
	int64_t bucket_ms;
	int64_t newest; /* index of the bucket that is being filled */
	uint32_t requests[BUDGET_BUCKETS];
	uint32_t repeats[BUDGET_BUCKETS];
};

/* What the whole fleet may repeat within a window. */
struct budget_limit {
	double ratio;	    /* of the requests */
	double slack;	    /* besides, over all nodes */
	uint32_t nodes;	    /* that share the slack */
	double headroom;    /* 0..1: the part of the share that is used */
	int64_t started_ms; /* of this process: one before it may have spent the slack */
};

void budget_init(struct budget_window *b, int64_t window_ms);
void budget_add_requests(struct budget_window *b, uint32_t n, int64_t now_ms);
void budget_add_retries(struct budget_window *b, uint32_t n, int64_t now_ms);

/* Within the window that ends now. */
uint32_t budget_count_requests(struct budget_window *b, int64_t now_ms);
uint32_t budget_count_retries(struct budget_window *b, int64_t now_ms);

/* True when n more repeats are within this node's share. */
bool budget_allows(struct budget_window *b, const struct budget_limit *limit, uint32_t n,
		   int64_t now_ms);

/* A bucket of tokens that fills with time. */
struct budget_token_bucket {
	double tokens;
	int64_t at_ms;
};

/* What a cold upstream may begin, over the whole fleet, and a node's place in it. */
struct budget_cold_limit {
	double per_s;	    /* requests a second */
	double burst;	    /* besides, within one second */
	uint32_t sharers;   /* nodes that may send, in touch or not */
	uint32_t recent;    /* of these, in touch lately; the rank is among them */
	uint32_t rank;	    /* 0 is first */
	int64_t started_ms; /* when this process did: the one before it may just have sent */
};

/*
 * Takes one request to a cold upstream; false when the node's share is spent. However the fleet
 * is split, its parts together begin no more than burst + per_s within a second.
 */
bool budget_take_cold(struct budget_token_bucket *t, const struct budget_cold_limit *cold,
		      int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
