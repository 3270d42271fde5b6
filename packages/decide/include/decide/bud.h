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
	double ratio;	    /* of the requests */
	double slack;	    /* besides, over all nodes */
	uint32_t nodes;	    /* that share the slack */
	double headroom;    /* 0..1: the part of the share that is used */
	int64_t started_ms; /* of this process: one before it may have spent the slack */
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

/* What a cold upstream may begin, over the whole fleet, and a node's place in it. */
struct bud_cold {
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
bool bud_take_cold(struct bud_tokens *t, const struct bud_cold *cold, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
