/*
 * Budgets over a sliding window: a count of requests and of repeats, by which a node knows
 * whether one more repeat is within its share of what the fleet may send.
 */
#ifndef DECIDE_BUD_H
#define DECIDE_BUD_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define BUD_BUCKETS 20

struct bud {
	int64_t bucket_ms;
	int64_t newest; /* index of the bucket that is being filled */
	uint32_t requests[BUD_BUCKETS];
	uint32_t repeats[BUD_BUCKETS];
};

/* What the whole fleet may repeat within a window. */
struct bud_limit {
	double ratio;	 /* of the requests */
	double slack;	 /* besides, over all nodes */
	uint32_t nodes;	 /* that share the slack */
	double headroom; /* 0..1: the part of the share that is used */
};

void bud_init(struct bud *b, int64_t window_ms);
void bud_add_requests(struct bud *b, uint32_t n, int64_t now_ms);
void bud_add_repeats(struct bud *b, uint32_t n, int64_t now_ms);

/* Within the window that ends now. */
uint32_t bud_requests(struct bud *b, int64_t now_ms);
uint32_t bud_repeats(struct bud *b, int64_t now_ms);

/* True when n more repeats are within this node's share. */
bool bud_allows(struct bud *b, const struct bud_limit *limit, uint32_t n, int64_t now_ms);

/* A bucket of tokens that fills with time. */
struct bud_tokens {
	double tokens;
	int64_t at_ms;
};

/* Takes one token; false when there is none. depth: the most that the bucket holds. */
bool bud_take(struct bud_tokens *t, double per_s, double depth, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
