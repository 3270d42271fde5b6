/* Shared by the parts of the account shares; not for other modules. */
#ifndef DECIDE_QUOTA_INTERNAL_H
#define DECIDE_QUOTA_INTERNAL_H

#include "decide/quota.h"

#define QUOTA_PARTS_MAX 16 /* data centres beyond this keep no part */
#define QUOTA_GRANTS_MAX 6 /* live leases of one borrower of a part */
#define QUOTA_MS_PER_S 1000.0
#define QUOTA_IDLE_MS 60000 /* an account not seen for so long is forgotten */

/* A lease as its borrower knows it. */
struct quota_lease {
	double per_s;
	int64_t asked_ms;
	int64_t until_ms; /* BB_NEVER: none */
	int64_t next_ask_ms;
};

/* An account seen lately. */
struct quota_bucket {
	uint64_t account;
	int64_t limit_per_s;
	double tokens;
	int64_t filled_ms; /* earned up to here */
	int64_t seen_ms;
	double demand_per_s; /* moving mean */
	int64_t demand_ms;   /* when the mean was last brought up to date */
	uint32_t arrived;    /* since then */
	struct quota_lease lent[QUOTA_PARTS_MAX];
};

struct quota_grant {
	double per_s;
	int64_t until_ms;
};

/* Who borrows from a part. A lease once given counts until its end, whatever is given later. */
struct quota_borrower {
	char vm[BB_NAME_BYTES];
	uint64_t incarnation;
	double wanted_per_s;
	int64_t asked_ms; /* of its clock, to drop questions that come out of order */
	struct quota_grant grants[QUOTA_GRANTS_MAX];
};

/* A part that this node keeps. */
struct quota_part {
	uint64_t account;
	uint32_t part;
	double per_s;
	int64_t since_ms;
	bool kept;	   /* scratch of quota_recompute() */
	GArray *borrowers; /* struct quota_borrower; NULL: none yet */
};

struct quota {
	const struct quota_ops *ops;
	int64_t started_ms;
	GHashTable *buckets; /* account -> struct quota_bucket, owned */
	GHashTable *parts;   /* set of struct quota_part, owned */
	uint32_t n_listed;   /* nodes that the floor is divided by */
	int64_t fewer_ms;    /* since when the list has fewer; BB_NEVER: it has not */
	uint32_t fewer;
	bool self_listed;
	int64_t ask_at_ms;
	int64_t sweep_at_ms;
	int64_t reply_at_ms;	      /* replies are paid for up to here */
	GArray *dcs[QUOTA_PARTS_MAX]; /* struct quota_member by data centre; NULL: no such */
	GArray *all;		      /* struct quota_member */
	uint32_t n_parts;
};

struct quota_member {
	char vm[BB_NAME_BYTES];
	uint64_t hash;
};

/* The node that keeps a part; NULL when no node is listed. */
const char *quota_part_owner(const struct quota *quota, uint64_t account, uint32_t part);

#endif
