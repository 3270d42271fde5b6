#include "decide/retry.h"

#include "decide/deadline.h"

#define RETRY_TOKENS_MAX 10.0
#define RETRY_HEDGE_PCT 95 /* quantile of latencies after which a hedge goes out */
#define RETRY_US_PER_MS 1000

static void none_first(const struct bb *bb, struct retry_budget *budget)
{
}

static bool none_retry(const struct bb *bb, struct retry_budget *budget)
{
	return true;
}

static bool none_hedge(const struct bb *bb, struct retry_budget *budget)
{
	return false;
}

static int64_t none_hedge_after(const struct bb *bb, const struct req *req, int64_t now_ms)
{
	return -1;
}

static double earn(double tokens, int64_t pct)
{
	tokens += (double)pct / 100.0;
	return tokens < RETRY_TOKENS_MAX ? tokens : RETRY_TOKENS_MAX;
}

static void budget_first(const struct bb *bb, struct retry_budget *budget)
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

static bool budget_retry(const struct bb *bb, struct retry_budget *budget)
{
	return spend(&budget->retry_tokens);
}

static bool budget_hedge(const struct bb *bb, struct retry_budget *budget)
{
	return spend(&budget->hedge_tokens);
}

/* The high quantile, or the stage's share of what is left when that is less. */
static int64_t budget_hedge_after(const struct bb *bb, const struct req *req, int64_t now_ms)
{
	const struct bb_service *service = req->stages[req->stage].service;
	int64_t slow_ms = quantile_get(&service->latencies, RETRY_HEDGE_PCT) / RETRY_US_PER_MS;
	int64_t usual_ms = quantile_get(&service->latencies, 50) / RETRY_US_PER_MS;
	int64_t share_ms = deadline_stage_share_ms(req, now_ms);

	if (share_ms < 0)
		return -1;
	return MAX(MIN(slow_ms, share_ms), usual_ms) + 1;
}

const struct retry_ops retry_unbudgeted = {
	.name = "none",
	.first = none_first,
	.spend_retry = none_retry,
	.spend_hedge = none_hedge,
	.hedge_after_ms = none_hedge_after,
};

const struct retry_ops retry_budgeted = {
	.name = "budget",
	.first = budget_first,
	.spend_retry = budget_retry,
	.spend_hedge = budget_hedge,
	.hedge_after_ms = budget_hedge_after,
};
