/* Shared by the parts of the account shares; not for other modules. */
#ifndef DECIDE_SHR_INT_H
#define DECIDE_SHR_INT_H

#include "decide/shr.h"

#define SHR_PARTS_MAX 16 /* data centres beyond this keep no part */
#define SHR_GRANTS_MAX 6 /* live leases of one borrower of a part */
#define SHR_MS_PER_S 1000.0
#define SHR_IDLE_MS 60000 /* an account not seen for so long is forgotten */

/* A lease as its borrower knows it. */
struct shr_lent {
	double per_s;
	int64_t asked_ms;
	int64_t until_ms; /* BB_NEVER: none */
	int64_t next_ask_ms;
};

/* An account seen lately. */
struct shr_bucket {
	uint64_t account;
	int64_t limit_per_s;
	double tokens;
	int64_t filled_ms; /* earned up to here */
	int64_t seen_ms;
	double demand_per_s; /* moving mean */
	int64_t demand_ms;   /* when the mean was last brought up to date */
	uint32_t arrived;    /* since then */
	struct shr_lent lent[SHR_PARTS_MAX];
};

struct shr_grant {
	double per_s;
	int64_t until_ms;
};

/* Who borrows from a part. A lease once given counts until its end, whatever is given later. */
struct shr_borrower {
	char vm[BB_NAME_BYTES];
	uint64_t incarnation;
	double wanted_per_s;
	int64_t asked_ms; /* of its clock, to drop questions that come out of order */
	struct shr_grant grants[SHR_GRANTS_MAX];
};

/* A part that this node keeps. */
struct shr_part {
	uint64_t account;
	uint32_t part;
	double per_s;
	int64_t since_ms;
	bool kept;	   /* scratch of shr_recompute() */
	GArray *borrowers; /* struct shr_borrower; NULL: none yet */
};

struct shr {
	const struct shr_ops *ops;
	int64_t started_ms;
	GHashTable *buckets; /* account -> struct shr_bucket, owned */
	GHashTable *parts;   /* set of struct shr_part, owned */
	uint32_t n_listed;   /* nodes that the floor is divided by */
	int64_t fewer_ms;    /* since when the list has fewer; BB_NEVER: it has not */
	uint32_t fewer;
	bool self_listed;
	int64_t ask_at_ms;
	int64_t sweep_at_ms;
	int64_t reply_at_ms;	    /* replies are paid for up to here */
	GArray *dcs[SHR_PARTS_MAX]; /* struct shr_member by data centre; NULL: no such */
	GArray *all;		    /* struct shr_member */
	uint32_t n_parts;
};

struct shr_member {
	char vm[BB_NAME_BYTES];
	uint64_t hash;
};

/* The node that keeps a part; NULL when no node is listed. */
const char *shr_keeper(const struct shr *shr, uint64_t account, uint32_t part);

#endif
