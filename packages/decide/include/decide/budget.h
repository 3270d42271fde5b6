/*
 * Retry budgets over a sliding window, and token buckets for cold upstreams. Both split a
 * fleet-wide limit so that each node can check its own share without coordination.
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
	int64_t newest; /* index of the current bucket */
	uint32_t requests[BUDGET_BUCKETS];
	uint32_t retries[BUDGET_BUCKETS];
};

/* Retries that the whole fleet may send within a window. */
struct budget_limit {
	double ratio;	    /* of the requests */
	double slack;	    /* allowed on top of the ratio, for all nodes together */
	uint32_t nodes;	    /* that share the slack */
	double headroom;    /* 0..1: the part of the share that may be used */
	int64_t started_ms; /* of this process; the previous one may have used the slack */
};

void budget_init(struct budget_window *b, int64_t window_ms);
void budget_add_requests(struct budget_window *b, uint32_t n, int64_t now_ms);
void budget_add_retries(struct budget_window *b, uint32_t n, int64_t now_ms);

/* Totals of the window that ends now. */
uint32_t budget_count_requests(struct budget_window *b, int64_t now_ms);
uint32_t budget_count_retries(struct budget_window *b, int64_t now_ms);

/* True when n more retries are within this node's share. */
bool budget_allows(struct budget_window *b, const struct budget_limit *limit, uint32_t n,
		   int64_t now_ms);

struct budget_token_bucket {
	double tokens;
	int64_t at_ms; /* of the last refill */
};

/* Requests that a cold upstream may receive from the whole fleet, and this node's rank. */
struct budget_cold_limit {
	double per_s;
	double burst;	    /* allowed on top of the rate within any one second */
	uint32_t sharers;   /* nodes that may send, reachable or not */
	uint32_t recent;    /* of these, in contact recently */
	uint32_t rank;	    /* of this node among the recent; 0 is first */
	int64_t started_ms; /* of this process; the previous one may have sent just before */
};

/*
 * Takes one request to a cold upstream; false when the node's share is used up. In a partitioned
 * fleet all parts together send no more than burst + per_s within a second.
 */
bool budget_take_cold(struct budget_token_bucket *t, const struct budget_cold_limit *cold,
		      int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
