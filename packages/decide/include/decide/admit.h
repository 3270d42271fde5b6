/* Admission: may a request of an account and class start now, wait, or is it refused? */
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
	/* Judges a request on arrival. */
	struct admit_verdict (*arrive)(struct bb *bb, const struct req *req, int64_t now_ms);
	/* Judges a request that waits for an upstream; asked again when it is due. */
	struct admit_verdict (*wait)(struct bb *bb, const struct req *req, int64_t now_ms);
	/* Judges a request whose current stage runs. */
	struct admit_verdict (*run)(struct bb *bb, const struct req *req, int64_t now_ms);
	/* May an attempt of the current stage start now, given what is kept for others? */
	bool (*may_start)(const struct bb *bb, const struct req *req);
	/* When the answer can't come in time any more; at most the deadline. */
	int64_t (*give_up_at_ms)(const struct req *req);
	/* Order of service: negative when a goes before b. */
	int (*compare)(const struct req *a, const struct req *b);
};

/* When to come back: the time the stage's queue takes to drain, spread so that not all return at
 * once. */
int64_t admit_retry_after_ms(struct bb *bb, const struct req *req);

extern const struct admit_ops admit_open;     /* baseline: first come, first served, no shedding */
extern const struct admit_ops admit_priority; /* ranks, shares, refusal of what can't be met */

#ifdef __cplusplus
}
#endif

#endif
