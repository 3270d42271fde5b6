/*
 * Account limits over the fleet without a shared counter. A part of each limit stands equally to
 * all listed nodes; the rest is cut into one part for each data centre, which one node there keeps
 * and lends to the nodes that ask, for a short lease. Who keeps a part follows from the VM list.
 */
#ifndef DECIDE_SHR_H
#define DECIDE_SHR_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SHR_UNLIMITED_PER_S 1000000 /* an account with this limit has none */
#define SHR_LEASE_MS 3000
#define SHR_ASK_MS 1000	   /* between two questions of a node for the same part */
#define SHR_BURST_MS 1000  /* a bucket holds what its rate gives in this time, at least one */
#define SHR_ENTRIES_MAX 16 /* parts in a message */
#define SHR_ASKS_PER_S 12
#define SHR_REPLIES_PER_S 24
#define SHR_TTL_MS 1000	 /* a message older than this is dropped */
#define SHR_FLOOR_PCT 25 /* of a limit: stands to all listed nodes in equal shares */

/* One part of an account's limit. */
struct shr_entry {
	uint64_t account; /* hash of its name */
	uint32_t part;	  /* index of its data centre */
	double per_s;	  /* wanted in a question, lent in a reply */
};

struct shr_message {
	char vm[BB_NAME_BYTES]; /* of the other node */
	uint64_t incarnation;	/* of the other node; 0 in a question that goes out */
	bool reply;
	int64_t asked_ms; /* by the clock of the node that asks; a reply gives it back */
	struct shr_entry entries[SHR_ENTRIES_MAX];
	uint32_t n_entries;
};

struct shr;

struct shr_ops {
	const char *name;
	/* Requests a second of an account that this node may admit between two times, summed up. */
	double (*earned)(const struct shr *shr, const struct bb *bb, uint64_t account,
			 int64_t limit_per_s, int64_t from_ms, int64_t to_ms);
	bool lends; /* questions and replies are exchanged */
};

extern const struct shr_ops shr_none;  /* baseline: no limit */
extern const struct shr_ops shr_equal; /* baseline: an equal share for each listed node */
extern const struct shr_ops shr_lease; /* an equal floor, and leases that follow demand */

struct shr *shr_new(int64_t now_ms);
void shr_free(struct shr *shr);
void shr_set_ops(struct shr *shr, const struct shr_ops *ops);

/* Works out which parts this node keeps. To be called after each change of list or config. */
void shr_recompute(struct shr *shr, const struct bb *bb, int64_t now_ms);

/* Takes up a smaller fleet once no other node counts on the larger one; asked on each tick. */
void shr_settle(struct shr *shr, const struct bb *bb, int64_t now_ms);

/*
 * Takes one request of an account from its share. False when the share is used up; then
 * *retry_after_ms is the time until it holds one again, as far as its rate is known.
 */
bool shr_take(struct shr *shr, const struct bb *bb, const struct cfg_account *account,
	      int64_t now_ms, int64_t *retry_after_ms);

/* Forgets accounts that were not seen lately. */
void shr_sweep(struct shr *shr, int64_t now_ms);

/* Writes the next question that is due; false when there is none. */
bool shr_ask(struct shr *shr, const struct bb *bb, int64_t now_ms, struct shr_message *ask);

/* Answers a question; false when there is nothing to lend. */
bool shr_lend(struct shr *shr, const struct bb *bb, const struct shr_message *ask, int64_t now_ms,
	      struct shr_message *reply);

/* Takes up a reply. */
void shr_borrow(struct shr *shr, const struct bb *bb, const struct shr_message *reply,
		int64_t now_ms);

uint64_t shr_account_hash(const char *name);

/* Rate that this node may admit of an account now, a second. */
double shr_rate(const struct shr *shr, const struct bb *bb, const struct cfg_account *account,
		int64_t now_ms);

/* Accounts in memory. */
uint32_t shr_count(const struct shr *shr);

#ifdef __cplusplus
}
#endif

#endif
