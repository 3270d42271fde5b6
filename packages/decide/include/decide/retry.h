/* Retries and hedges, each within a budget that is a fraction of first tries. */
#ifndef DECIDE_RETRY_H
#define DECIDE_RETRY_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

struct req;

struct retry_ops {
	const char *name;
	/* A first try was sent: earns budget. */
	void (*first)(const struct bb *bb, struct retry_budget *budget);
	/* Spends from the budget; false when it is used up. */
	bool (*spend_retry)(const struct bb *bb, struct retry_budget *budget);
	bool (*spend_hedge)(const struct bb *bb, struct retry_budget *budget);
	/* Wait after a send before a hedge of the current stage; negative: never. */
	int64_t (*hedge_after_ms)(const struct bb *bb, const struct req *req, int64_t now_ms);
};

extern const struct retry_ops retry_unbudgeted; /* baseline: three tries, no hedge, no budget */
extern const struct retry_ops retry_budgeted;

#ifdef __cplusplus
}
#endif

#endif
