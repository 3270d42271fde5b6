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
	int64_t retry_after_ms; /* delay after which a refused caller should retry */
};

struct admit_ops {
	const char *name;
	/* Checks an arriving request. */
	struct admit_verdict (*arrive)(struct bb *bb, const struct req *req, int64_t now_ms);
	/* Checks a queued request when it is first in its queue or its wake time has come. */
	struct admit_verdict (*wait)(struct bb *bb, const struct req *req, int64_t now_ms);
	/* Checks a request whose current stage is running, when its wake time has come. */
	struct admit_verdict (*run)(struct bb *bb, const struct req *req, int64_t now_ms);
	/* True when an attempt can start without using capacity reserved for other ranks. */
	bool (*may_start)(const struct bb *bb, const struct req *req);
	/* Returns the time from which no answer in time is expected; at most the deadline. */
	int64_t (*expires_at_ms)(const struct req *req);
	/* Compares the order of service: negative when a precedes b. */
	int (*compare)(const struct req *a, const struct req *b);
};

/*
 * Returns the delay after which a caller should retry: the estimated time to serve all requests
 * queued and running at the service of the current stage, with random jitter so that refused
 * callers don't all retry at once.
 */
int64_t admit_retry_after_ms(struct bb *bb, const struct req *req);

extern const struct admit_ops admit_open;     /* baseline: first come, first served, no shedding */
extern const struct admit_ops admit_priority; /* order by rank, reserved capacity, early refusal */

#ifdef __cplusplus
}
#endif

#endif
