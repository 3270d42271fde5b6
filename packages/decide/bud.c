#include "decide/bud.h"

#include <string.h>

#define MS_PER_S 1000.0

void bud_init(struct bud *b, int64_t window_ms)
{
	memset(b, 0, sizeof(*b));
	b->bucket_ms = window_ms / BUD_BUCKETS;
	if (b->bucket_ms < 1)
		b->bucket_ms = 1;
}

/* Empties the buckets that time has passed over. */
static uint32_t roll(struct bud *b, int64_t now_ms)
{
	int64_t index = now_ms / b->bucket_ms;

	if (index - b->newest >= BUD_BUCKETS) {
		memset(b->requests, 0, sizeof(b->requests));
		memset(b->repeats, 0, sizeof(b->repeats));
		b->newest = index;
	}
	while (b->newest < index) {
		b->newest++;
		b->requests[b->newest % BUD_BUCKETS] = 0;
		b->repeats[b->newest % BUD_BUCKETS] = 0;
	}
	return (uint32_t)(b->newest % BUD_BUCKETS);
}

void bud_add_requests(struct bud *b, uint32_t n, int64_t now_ms)
{
	b->requests[roll(b, now_ms)] += n;
}

void bud_add_repeats(struct bud *b, uint32_t n, int64_t now_ms)
{
	b->repeats[roll(b, now_ms)] += n;
}

static uint32_t sum(const uint32_t *buckets)
{
	uint32_t n = 0;

	for (int i = 0; i < BUD_BUCKETS; i++)
		n += buckets[i];
	return n;
}

uint32_t bud_requests(struct bud *b, int64_t now_ms)
{
	roll(b, now_ms);
	return sum(b->requests);
}

uint32_t bud_repeats(struct bud *b, int64_t now_ms)
{
	roll(b, now_ms);
	return sum(b->repeats);
}

bool bud_allows(struct bud *b, const struct bud_limit *limit, uint32_t n, int64_t now_ms)
{
	double share = limit->ratio * bud_requests(b, now_ms) +
		       limit->slack / (limit->nodes > 0 ? limit->nodes : 1);

	return bud_repeats(b, now_ms) + n <= share * limit->headroom;
}

bool bud_take(struct bud_tokens *t, double per_s, double depth, int64_t now_ms)
{
	if (t->at_ms == 0)
		t->tokens = depth;
	else if (now_ms > t->at_ms)
		t->tokens += (double)(now_ms - t->at_ms) * per_s / MS_PER_S;
	if (t->tokens > depth)
		t->tokens = depth;
	t->at_ms = now_ms;
	if (t->tokens < 1.0)
		return false;
	t->tokens -= 1.0;
	return true;
}
