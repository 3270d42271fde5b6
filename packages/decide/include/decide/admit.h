/* Admission control: decides whether a request starts, is queued or is refused. */
#ifndef DECIDE_ADMIT_H
#define DECIDE_ADMIT_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

struct req;

struct admit_verdict {
	int code;		/* ERR_NONE: admitted */
	int64_t retry_after_ms; /* for a refusal */
};

struct admit_ops {
	const char *name;
	/* Checks an arriving request. */
	struct admit_verdict (*arrive)(struct bb *bb, const struct req *req, int64_t now_ms);
	/* Checks a queued request, each time it is due. */
	struct admit_verdict (*wait)(struct bb *bb, const struct req *req, int64_t now_ms);
	/* Checks a request whose current stage is running. */
	struct admit_verdict (*run)(struct bb *bb, const struct req *req, int64_t now_ms);
	/* True when an attempt can start without using capacity reserved for other ranks. */
	bool (*may_start)(const struct bb *bb, const struct req *req);
	/* Time after which the answer cannot arrive in time; at most the deadline. */
	int64_t (*expires_at_ms)(const struct req *req);
	/* Order of service: negative when a precedes b. */
	int (*compare)(const struct req *a, const struct req *b);
};

/*
 * Returns the delay after which a caller should retry: the time in which the stage's queue drains,
 * with random jitter so that the refused callers don't all retry at once.
 */
int64_t admit_retry_after_ms(struct bb *bb, const struct req *req);

extern const struct admit_ops admit_open;     /* baseline: first come, first served, no shedding */
extern const struct admit_ops admit_priority; /* ranks, reserved shares, early refusal */

#ifdef __cplusplus
}
#endif

#endif
