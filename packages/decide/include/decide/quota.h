/*
 * Account limits over the fleet without a shared counter. A part of each limit stands equally to
 * all listed nodes; the rest is cut into one part for each data centre, which one node there keeps
 * and lends to the nodes that ask, for a short lease. Who keeps a part follows from the VM list.
 */
#ifndef DECIDE_QUOTA_H
#define DECIDE_QUOTA_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define QUOTA_UNLIMITED_PER_S 1000000 /* an account with this limit has none */
#define QUOTA_LEASE_MS 3000
#define QUOTA_REQUEST_INTERVAL_MS 1000 /* between two questions of a node for the same part */
#define QUOTA_BURST_MS 1000  /* a bucket holds what its rate gives in this time, at least one */
#define QUOTA_ENTRIES_MAX 16 /* parts in a message */
#define QUOTA_REQUESTS_PER_S 12
#define QUOTA_REPLIES_PER_S 24
#define QUOTA_MESSAGE_TTL_MS 1000 /* a message older than this is dropped */
#define QUOTA_FLOOR_PCT 25	  /* of a limit: stands to all listed nodes in equal shares */

/* One part of an account's limit. */
struct quota_entry {
	uint64_t account; /* hash of its name */
	uint32_t part;	  /* index of its data centre */
	double per_s;	  /* wanted in a question, lent in a reply */
};

struct quota_message {
	char vm[BB_NAME_BYTES]; /* of the other node */
	uint64_t incarnation;	/* of the other node; 0 in a question that goes out */
	bool reply;
	int64_t asked_ms; /* by the clock of the node that asks; a reply gives it back */
	struct quota_entry entries[QUOTA_ENTRIES_MAX];
	uint32_t n_entries;
};

struct quota;

struct quota_ops {
	const char *name;
	/* Requests a second of an account that this node may admit between two times, summed up. */
	double (*earned)(const struct quota *quota, const struct bb *bb, uint64_t account,
			 int64_t limit_per_s, int64_t from_ms, int64_t to_ms);
	bool lends; /* questions and replies are exchanged */
};

extern const struct quota_ops quota_ops_none;  /* baseline: no limit */
extern const struct quota_ops quota_ops_equal; /* baseline: an equal share for each listed node */
extern const struct quota_ops quota_ops_lease; /* an equal floor, and leases that follow demand */

struct quota *quota_new(int64_t now_ms);
void quota_free(struct quota *quota);
void quota_set_ops(struct quota *quota, const struct quota_ops *ops);

/* Works out which parts this node keeps. To be called after each change of list or config. */
void quota_recompute(struct quota *quota, const struct bb *bb, int64_t now_ms);

/* Takes up a smaller fleet once no other node counts on the larger one; asked on each tick. */
void quota_raise_floor(struct quota *quota, const struct bb *bb, int64_t now_ms);

/*
 * Takes one request of an account from its share. False when the share is used up; then
 * *retry_after_ms is the time until it holds one again, as far as its rate is known.
 */
bool quota_take(struct quota *quota, const struct bb *bb, const struct cfg_account *account,
		int64_t now_ms, int64_t *retry_after_ms);

/* Forgets accounts that were not seen lately. */
void quota_sweep(struct quota *quota, int64_t now_ms);

/* Writes the next question that is due; false when there is none. */
bool quota_build_request(struct quota *quota, const struct bb *bb, int64_t now_ms,
			 struct quota_message *ask);

/* Answers a question; false when there is nothing to lend. */
bool quota_handle_request(struct quota *quota, const struct bb *bb, const struct quota_message *ask,
			  int64_t now_ms, struct quota_message *reply);

/* Takes up a reply. */
void quota_handle_reply(struct quota *quota, const struct bb *bb, const struct quota_message *reply,
			int64_t now_ms);

uint64_t quota_account_hash(const char *name);

/* Rate that this node may admit of an account now, a second. */
double quota_rate(const struct quota *quota, const struct bb *bb, const struct cfg_account *account,
		  int64_t now_ms);

/* Accounts in memory. */
uint32_t quota_account_count(const struct quota *quota);

#ifdef __cplusplus
}
#endif

#endif
