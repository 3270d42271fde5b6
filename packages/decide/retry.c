#include "decide/retry.h"

#include "decide/deadline.h"

#define RETRY_TOKENS_MAX 10.0 /* limit of each kind of tokens in a budget */
#define RETRY_HEDGE_PCT 95    /* latency percentile after which a hedge is sent */
#define RETRY_US_PER_MS 1000

static void unbudgeted_first_attempt(const struct bb *bb, struct retry_budget *budget)
{
}

static bool unbudgeted_retry(const struct bb *bb, struct retry_budget *budget)
{
	return true;
}

static bool unbudgeted_hedge(const struct bb *bb, struct retry_budget *budget)
{
	return false;
}

static int64_t unbudgeted_hedge_after(const struct bb *bb, const struct req *req, int64_t now_ms)
{
	return -1;
}

static double earn(double tokens, int64_t pct)
{
	tokens += (double)pct / 100.0;
	return tokens < RETRY_TOKENS_MAX ? tokens : RETRY_TOKENS_MAX;
}

static void budgeted_first_attempt(const struct bb *bb, struct retry_budget *budget)
{
	budget->retry_tokens = earn(budget->retry_tokens, bb->cfg->routing.retry_budget_pct);
	budget->hedge_tokens = earn(budget->hedge_tokens, bb->cfg->routing.hedge_budget_pct);
}

static bool spend(double *tokens)
{
	if (*tokens < 1.0)
		return false;
	*tokens -= 1.0;
	return true;
}

static bool budgeted_retry(const struct bb *bb, struct retry_budget *budget)
{
	return spend(&budget->retry_tokens);
}

static bool budgeted_hedge(const struct bb *bb, struct retry_budget *budget)
{
	return spend(&budget->hedge_tokens);
}

/*
 * Returns the RETRY_HEDGE_PCT percentile of the latency, or the stage's share of the time left if
 * that is less, but at least the median.
 */
static int64_t budgeted_hedge_after(const struct bb *bb, const struct req *req, int64_t now_ms)
{
	const struct bb_service *service = req->stages[req->stage].service;
	int64_t slow_ms = quantile_get(&service->latencies, RETRY_HEDGE_PCT) / RETRY_US_PER_MS;
	int64_t median_ms = quantile_get(&service->latencies, 50) / RETRY_US_PER_MS;
	int64_t share_ms = deadline_stage_share_ms(req, now_ms);

	if (share_ms < 0)
		return -1;
	return MAX(MIN(slow_ms, share_ms), median_ms) + 1;
}

const struct retry_ops retry_unbudgeted = {
	.name = "none",
	.on_first_attempt = unbudgeted_first_attempt,
	.spend_retry = unbudgeted_retry,
	.spend_hedge = unbudgeted_hedge,
	.hedge_after_ms = unbudgeted_hedge_after,
};

const struct retry_ops retry_budgeted = {
	.name = "budget",
	.on_first_attempt = budgeted_first_attempt,
	.spend_retry = budgeted_retry,
	.spend_hedge = budgeted_hedge,
	.hedge_after_ms = budgeted_hedge_after,
};
