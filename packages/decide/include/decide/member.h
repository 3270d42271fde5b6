/*
 * Membership digests, which nodes send to each other several times a second. A digest never moves a
 * slot by itself: it confirms the receiver's VM list, announces a newer one and relays load
 * reports.
 */
#ifndef DECIDE_MEMBER_H
#define DECIDE_MEMBER_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MEMBER_DIGESTS_PER_S 12
#define MEMBER_REPORTS_MAX 12		    /* load reports in a digest */
#define MEMBER_DEPARTED_MAX 16		    /* departed nodes in a digest */
#define MEMBER_DIGEST_TTL_MS 1000	    /* older digests are dropped */
#define MEMBER_LIST_REQUEST_INTERVAL_MS 500 /* interval between requests to peers */
/* Time for the node's own watch to deliver a newer list before a peer is asked for it. */
#define MEMBER_NEWER_LIST_WAIT_MS 300

/* An upstream's load report, relayed. */
struct member_report {
	char name[BB_NAME_BYTES];
	uint64_t incarnation;
	bool warm;
	int32_t running;
	int32_t queued;
	int64_t age_ms; /* of the report, when the digest was filled */
};

struct member_digest {
	char vm[BB_NAME_BYTES]; /* of the sender */
	uint64_t incarnation;
	int64_t list_version; /* of the sender's VM list; 0: none */
	int64_t list_age_ms; /* since that list was confirmed as the platform's newest; -1: never */
	bool draining;
	bool sure;		 /* eligible_is_confirmed() at the sender */
	int64_t places_revision; /* of the places section in force at the sender; -1: none */
	struct member_report reports[MEMBER_REPORTS_MAX];
	uint32_t n_reports;
	char departed[MEMBER_DEPARTED_MAX][BB_NAME_BYTES];
	uint32_t n_departed;
};

/* Writes this node's digest. */
void member_fill_digest(struct bb *bb, struct member_digest *digest, int64_t now_ms);

/* Applies a digest. Returns its sender, or NULL when the sender is unknown. */
struct bb_node *member_handle_digest(struct bb *bb, const struct member_digest *digest,
				     int64_t now_ms);

/*
 * True when the VM list of the digest's sender is to be requested now; schedules the earliest time
 * of the next request.
 */
bool member_wants_list(struct bb *bb, const struct member_digest *digest, int64_t now_ms);

/* Returns the node to send the next digest to and schedules the one after it; NULL: none is due. */
struct bb_node *member_next_target(struct bb *bb, int64_t now_ms);

/* Updates bb.converged_ms. Call after each change of VM list and each digest. */
void member_update_converged(struct bb *bb, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
