/*
 * Fleet-wide account rate limits without a shared counter. A fixed percentage of each limit, the
 * floor, is divided equally among all listed nodes. The rest is split into one part per data
 * centre; one node there owns the part and grants short leases on it to nodes that request them.
 * The owner of a part is a function of the VM list alone.
 */
#ifndef DECIDE_QUOTA_H
#define DECIDE_QUOTA_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define QUOTA_UNLIMITED_PER_S 1000000  /* account limits of at least this are not enforced */
#define QUOTA_LEASE_MS 3000	       /* a lease ends this long after its request */
#define QUOTA_REQUEST_INTERVAL_MS 1000 /* interval between requests for a lease */
#define QUOTA_BURST_MS 1000	/* a bucket holds the tokens earned in this time, at least 1 */
#define QUOTA_ENTRIES_MAX 16	/* entries in a message */
#define QUOTA_REQUESTS_PER_S 12 /* limit on a node's lease requests to other nodes */
#define QUOTA_REPLIES_PER_S 24
#define QUOTA_MESSAGE_TTL_MS 1000 /* older messages are dropped */
#define QUOTA_FLOOR_PCT 25	  /* percentage of a limit divided equally among all listed nodes */

/* One part of an account's limit. */
struct quota_entry {
	uint64_t account; /* quota_account_hash() of its name */
	uint32_t part;	  /* index of the data centre */
	double per_s;	  /* requests per second: wanted or, in a reply, granted */
};

struct quota_message {
	char vm[BB_NAME_BYTES]; /* of the remote node */
	uint64_t incarnation;	/* of the remote node; 0 in an outgoing request */
	bool reply;
	int64_t asked_ms; /* time of the request by the requester's clock; copied to the reply */
	struct quota_entry entries[QUOTA_ENTRIES_MAX];
	uint32_t n_entries;
};

struct quota;

struct quota_ops {
	const char *name;
	/* Number of an account's requests that this node may admit between two times. */
	double (*earned)(const struct quota *quota, const struct bb *bb, uint64_t account,
			 int64_t limit_per_s, int64_t from_ms, int64_t to_ms);
	bool uses_leases; /* exchanges requests and replies with other nodes */
};

extern const struct quota_ops quota_ops_none;  /* baseline: no limit */
extern const struct quota_ops quota_ops_equal; /* baseline: an equal share for each listed node */
extern const struct quota_ops quota_ops_lease; /* an equal floor, and leases that follow demand */

struct quota *quota_new(int64_t now_ms);
void quota_free(struct quota *quota);
void quota_set_ops(struct quota *quota, const struct quota_ops *ops);

/* Determines which parts this node owns. Call after each change of VM list or configuration. */
void quota_recompute(struct quota *quota, const struct bb *bb, int64_t now_ms);

/*
 * Raises the floor after the VM list became shorter, once no node can still use a floor or a lease
 * from before the change. Call on each tick.
 */
void quota_raise_floor(struct quota *quota, const struct bb *bb, int64_t now_ms);

/*
 * Takes one token from an account's bucket. False when none is left; *retry_after_ms is then an
 * estimate, from the present rate, of the time until the next token.
 */
bool quota_take(struct quota *quota, const struct bb *bb, const struct cfg_account *account,
		int64_t now_ms, int64_t *retry_after_ms);

/* Drops the buckets of accounts without recent requests. */
void quota_sweep(struct quota *quota, int64_t now_ms);

/* Writes the next lease request that is due; false when none is. */
bool quota_build_request(struct quota *quota, const struct bb *bb, int64_t now_ms,
			 struct quota_message *request);

/* Answers a lease request; false when nothing is granted and no reply is to be sent. */
bool quota_handle_request(struct quota *quota, const struct bb *bb,
			  const struct quota_message *request, int64_t now_ms,
			  struct quota_message *reply);

/* Applies the leases of a reply. */
void quota_handle_reply(struct quota *quota, const struct bb *bb, const struct quota_message *reply,
			int64_t now_ms);

uint64_t quota_account_hash(const char *name);

/* Requests per second of an account that this node may admit now. */
double quota_rate(const struct quota *quota, const struct bb *bb, const struct cfg_account *account,
		  int64_t now_ms);

/* Number of accounts with a bucket. */
uint32_t quota_account_count(const struct quota *quota);

#ifdef __cplusplus
}
#endif

#endif
