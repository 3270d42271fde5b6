/* Shared by the quota sources; not for other modules. */
#ifndef DECIDE_QUOTA_INTERNAL_H
#define DECIDE_QUOTA_INTERNAL_H

#include "decide/quota.h"

#define QUOTA_PARTS_MAX 16 /* data centres beyond this number have no part */
#define QUOTA_GRANTS_MAX 6 /* limit on the live grants of one borrower of a part */
#define QUOTA_MS_PER_S 1000.0
#define QUOTA_IDLE_MS 60000 /* buckets without a request for longer are dropped */

/* A lease on the borrower's side. */
struct quota_lease {
	double per_s;
	int64_t asked_ms; /* time of the request for the lease */
	int64_t until_ms; /* BB_NEVER: no lease */
	int64_t next_request_ms;
};

/* Token bucket and demand of an account with recent requests. */
struct quota_bucket {
	uint64_t account;
	int64_t limit_per_s;
	double tokens;
	int64_t refilled_ms; /* tokens are added up to this time */
	int64_t seen_ms;     /* last request */
	double demand_per_s; /* exponential moving average */
	int64_t demand_ms;   /* last update of the average */
	uint32_t arrived;    /* requests since demand_ms */
	struct quota_lease lease[QUOTA_PARTS_MAX];
};

struct quota_grant {
	double per_s;
	int64_t until_ms;
};

/*
 * A node that borrows from a part. Its largest grant that hasn't ended counts as borrowed, even if
 * a smaller one was granted later.
 */
struct quota_borrower {
	char vm[BB_NAME_BYTES];
	uint64_t incarnation;
	double wanted_per_s;
	int64_t asked_ms; /* by the borrower's clock; drops requests that arrive out of order */
	struct quota_grant grants[QUOTA_GRANTS_MAX];
};

/* A part that this node owns. */
struct quota_part {
	uint64_t account;
	uint32_t part;
	double per_s;
	int64_t since_ms;  /* when this node became its owner */
	bool owned;	   /* used within quota_recompute() only */
	GArray *borrowers; /* struct quota_borrower; NULL before the first request */
};

struct quota {
	const struct quota_ops *ops;
	int64_t started_ms;
	GHashTable *buckets; /* account -> struct quota_bucket, owned */
	GHashTable *parts;   /* set of struct quota_part, owned */
	uint32_t n_listed;   /* number of nodes among which the floor is divided */
	int64_t shrunk_ms; /* when the VM list became shorter; BB_NEVER: the floor is up to date */
	uint32_t n_listed_newest; /* number of nodes on the newest VM list */
	bool self_listed;
	int64_t request_due_ms;
	int64_t sweep_at_ms;
	int64_t replies_spent_ms;		/* advanced by each reply; see may_reply() */
	GArray *members_by_dc[QUOTA_PARTS_MAX]; /* struct quota_member by data centre; NULL: none */
	GArray *all_members;			/* struct quota_member */
	uint32_t n_parts;
};

struct quota_member {
	char vm[BB_NAME_BYTES];
	uint64_t hash;
};

/* VM name of the node that owns a part; NULL when no node is listed. */
const char *quota_part_owner(const struct quota *quota, uint64_t account, uint32_t part);

#endif
