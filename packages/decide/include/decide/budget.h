/*
 * Retry budgets over a sliding window, and token buckets for requests to cold upstreams. Both split
 * a fleet-wide limit so that each node can check its own share without coordination.
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
	int64_t newest; /* number of the current bucket: time divided by bucket_ms */
	uint32_t requests[BUDGET_BUCKETS];
	uint32_t retries[BUDGET_BUCKETS];
};

/* Limit on the retries of the whole fleet within a window, and this node's share of it. */
struct budget_limit {
	double ratio;	    /* retries allowed for each request */
	double slack;	    /* retries allowed in addition, for all nodes together */
	uint32_t nodes;	    /* number of nodes that share the slack */
	double headroom;    /* fraction, 0..1, of this node's share that may be used */
	int64_t started_ms; /* start of this process; an earlier one may have used the slack */
};

void budget_init(struct budget_window *b, int64_t window_ms);
void budget_add_requests(struct budget_window *b, uint32_t n, int64_t now_ms);
void budget_add_retries(struct budget_window *b, uint32_t n, int64_t now_ms);

/* Return the number of requests or retries in the window that ends at now_ms. */
uint32_t budget_count_requests(struct budget_window *b, int64_t now_ms);
uint32_t budget_count_retries(struct budget_window *b, int64_t now_ms);

/* Returns whether n more retries are within this node's share. */
bool budget_allows(struct budget_window *b, const struct budget_limit *limit, uint32_t n,
		   int64_t now_ms);

struct budget_token_bucket {
	double tokens;
	int64_t at_ms; /* time of the last refill; 0: none yet */
};

/* Limit on the requests of the whole fleet to one cold upstream, and this node's rank. */
struct budget_cold_limit {
	double per_s;
	double burst;		/* requests allowed in addition to the rate within any second */
	uint32_t sharing_nodes; /* number of nodes that share the limit, reachable or not */
	uint32_t recent;	/* how many of these were heard from recently */
	uint32_t rank;		/* rank of this node among the recent ones; 0 is first */
	int64_t started_ms; /* start of this process; an earlier one may have sent just before */
};

/*
 * Takes one request to a cold upstream from this node's share; returns false when the share is used
 * up. All parts of a partitioned fleet together send at most burst + per_s requests within a
 * second, as long as each part's proportion of burst is at least 1; in a smaller part one node
 * still sends.
 */
bool budget_take_cold(struct budget_token_bucket *t, const struct budget_cold_limit *cold,
		      int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
