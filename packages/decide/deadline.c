#include "decide/deadline.h"

#define DEADLINE_MEDIAN_PCT 50
#define DEADLINE_EXPECTED_PCT 75
#define DEADLINE_BEST_PCT 10
#define DEADLINE_SLOW_PCT 95
#define DEADLINE_US_PER_MS 1000

static int64_t sum_us(const struct req *req, uint32_t from, uint32_t pct)
{
	int64_t sum = 0;

	for (uint32_t i = from; i < req->n_stages; i++)
		sum += quantile_get(&req->stages[i].service->latencies, pct);
	return sum;
}

int64_t deadline_expected_ms(const struct req *req)
{
	return sum_us(req, req->stage, DEADLINE_EXPECTED_PCT) / DEADLINE_US_PER_MS;
}

int64_t deadline_stage_end_ms(const struct req *req)
{
	return req->deadline_at_ms -
	       sum_us(req, req->stage + 1, DEADLINE_BEST_PCT) / DEADLINE_US_PER_MS;
}

int64_t deadline_stage_share_ms(const struct req *req, int64_t now_ms)
{
	const struct quantile_sketch *own = &req->stages[req->stage].service->latencies;
	int64_t own_us = quantile_get(own, DEADLINE_SLOW_PCT);

	if (own_us <= 0)
		return -1;
	int64_t later_us = sum_us(req, req->stage + 1, DEADLINE_SLOW_PCT);
	return (req->deadline_at_ms - now_ms) * own_us / (own_us + later_us);
}

int64_t deadline_time_to_serve_ms(const struct bb_service *service, int32_t n, int64_t concurrency)
{
	int64_t median_us = quantile_get(&service->latencies, DEADLINE_MEDIAN_PCT);

	return median_us * n / MAX(concurrency, 1) / DEADLINE_US_PER_MS;
}
