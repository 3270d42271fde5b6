#include "decide/budget.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0

void budget_init(struct budget_window *b, int64_t window_ms)
{
	memset(b, 0, sizeof(*b));
	/*
	 * The newest bucket covers only part of its time, so the other buckets have to cover the
	 * whole window; otherwise the oldest retries in the window wouldn't be counted.
	 */
	b->bucket_ms = (window_ms + BUDGET_BUCKETS - 2) / (BUDGET_BUCKETS - 1);
	if (b->bucket_ms < 1)
		b->bucket_ms = 1;
}

/* Clears expired buckets and returns the array index of the current bucket. */
static uint32_t advance_window(struct budget_window *b, int64_t now_ms)
{
	int64_t index = now_ms / b->bucket_ms;

	if (index - b->newest >= BUDGET_BUCKETS) {
		memset(b->requests, 0, sizeof(b->requests));
		memset(b->retries, 0, sizeof(b->retries));
		b->newest = index;
	}
	while (b->newest < index) {
		b->newest++;
		b->requests[b->newest % BUDGET_BUCKETS] = 0;
		b->retries[b->newest % BUDGET_BUCKETS] = 0;
	}
	return (uint32_t)(b->newest % BUDGET_BUCKETS);
}

void budget_add_requests(struct budget_window *b, uint32_t n, int64_t now_ms)
{
	b->requests[advance_window(b, now_ms)] += n;
}

void budget_add_retries(struct budget_window *b, uint32_t n, int64_t now_ms)
{
	b->retries[advance_window(b, now_ms)] += n;
}

static uint32_t sum(const uint32_t *buckets)
{
	uint32_t n = 0;

	for (int i = 0; i < BUDGET_BUCKETS; i++)
		n += buckets[i];
	return n;
}

uint32_t budget_count_requests(struct budget_window *b, int64_t now_ms)
{
	advance_window(b, now_ms);
	return sum(b->requests);
}

uint32_t budget_count_retries(struct budget_window *b, int64_t now_ms)
{
	advance_window(b, now_ms);
	return sum(b->retries);
}

/*
 * Returns the fraction of this node's slack that may be used now. The previous process may have
 * used its headroom just before it ended, so during the first window the fraction only rises from 0
 * to 1 - headroom.
 */
static double slack_share(const struct budget_window *b, const struct budget_limit *limit,
			  int64_t now_ms)
{
	double age = (double)(now_ms - limit->started_ms) / (double)(b->bucket_ms * BUDGET_BUCKETS);

	return age >= 1 ? limit->headroom : (1 - limit->headroom) * age;
}

bool budget_allows(struct budget_window *b, const struct budget_limit *limit, uint32_t n,
		   int64_t now_ms)
{
	double own = limit->ratio * budget_count_requests(b, now_ms) * limit->headroom;
	double slack = limit->slack / (limit->nodes > 0 ? limit->nodes : 1);

	return budget_count_retries(b, now_ms) + n <= own + slack * slack_share(b, limit, now_ms);
}

/*
 * Takes one token; returns false when there is none. The bucket fills from since_ms on and holds at
 * most one token.
 */
static bool take_token(struct budget_token_bucket *t, double per_s, int64_t since_ms,
		       int64_t now_ms)
{
	if (t->at_ms == 0)
		t->at_ms = since_ms;
	if (now_ms > t->at_ms)
		t->tokens += (double)(now_ms - t->at_ms) * per_s / MS_PER_S;
	if (t->tokens > 1.0)
		t->tokens = 1.0;
	t->at_ms = now_ms;
	if (t->tokens < 1.0)
		return false;
	t->tokens -= 1.0;
	return true;
}

/*
 * Returns how many of the recent nodes may send: burst times the fraction of the sharing nodes that
 * are recent, rounded down, but at least 1.
 */
static double max_senders(const struct budget_cold_limit *cold)
{
	double n = cold->burst * cold->recent / cold->sharing_nodes;

	return n < 1 ? 1 : floor(n);
}

bool budget_take_cold(struct budget_token_bucket *t, const struct budget_cold_limit *cold,
		      int64_t now_ms)
{
	double senders = cold->burst < 1 ? 1 : cold->burst;

	if (cold->sharing_nodes <= senders)
		senders = cold->sharing_nodes;
	else if (cold->rank >= max_senders(cold))
		return false;
	return take_token(t, cold->per_s / senders, cold->started_ms, now_ms);
}
