/* Retries and hedges. Each of them is limited to a fraction of the first attempts. */
#ifndef DECIDE_RETRY_H
#define DECIDE_RETRY_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

struct req;

struct retry_ops {
	const char *name;
	/* Called for the first attempt of each stage; adds tokens to the budget. */
	void (*on_first_attempt)(const struct bb *bb, struct retry_budget *budget);
	/* Take one token from the budget; false when it has none. */
	bool (*spend_retry)(const struct bb *bb, struct retry_budget *budget);
	bool (*spend_hedge)(const struct bb *bb, struct retry_budget *budget);
	/* Delay between an attempt and a hedge of the current stage; negative: no hedge. */
	int64_t (*hedge_after_ms)(const struct bb *bb, const struct req *req, int64_t now_ms);
};

/* Baseline: up to REQ_ATTEMPTS_MAX attempts, no budget, no hedges. */
extern const struct retry_ops retry_unbudgeted;
/* Retries and hedges spend tokens of the budget of the service. */
extern const struct retry_ops retry_budgeted;

#ifdef __cplusplus
}
#endif

#endif
