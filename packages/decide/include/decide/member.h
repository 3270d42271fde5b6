/*
 * Membership: digests that nodes send to each other a few times a second. A digest never moves a
 * slot by itself: it confirms a view, tells of a newer VM list, and relays load reports.
 */
#ifndef DECIDE_MEMBER_H
#define DECIDE_MEMBER_H

#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define MEMBER_DIGESTS_PER_S 12
#define MEMBER_REPORTS_MAX 12		    /* reports in a digest */
#define MEMBER_DEPARTED_MAX 16		    /* nodes in a digest */
#define MEMBER_DIGEST_TTL_MS 1000	    /* a digest older than this is dropped */
#define MEMBER_LIST_REQUEST_INTERVAL_MS 500 /* between two requests for a list */
#define MEMBER_NEWER_LIST_WAIT_MS 300	    /* given to the own watch before a peer is asked */

/* An upstream's load report, relayed. */
struct member_report {
	char name[BB_NAME_BYTES];
	uint64_t incarnation;
	bool warm;
	int32_t running;
	int32_t queued;
	int64_t age_ms;
};

struct member_digest {
	char vm[BB_NAME_BYTES]; /* of the sender */
	uint64_t incarnation;
	int64_t list_version; /* 0: none */
	int64_t list_age_ms;  /* since its list was known to be the platform's newest; -1: never */
	bool draining;
	bool sure;		 /* the sender trusts what it holds */
	int64_t places_revision; /* of the configuration in force; -1: none */
	struct member_report reports[MEMBER_REPORTS_MAX];
	uint32_t n_reports;
	char departed[MEMBER_DEPARTED_MAX][BB_NAME_BYTES];
	uint32_t n_departed;
};

/* Writes what this node says. */
void member_fill_digest(struct bb *bb, struct member_digest *digest, int64_t now_ms);

/* Takes up a digest; the sender, or NULL when it is unknown here. */
struct bb_node *member_handle_digest(struct bb *bb, const struct member_digest *digest,
				     int64_t now_ms);

/* True when the sender's list is to be asked for now. */
bool member_wants_list(struct bb *bb, const struct member_digest *digest, int64_t now_ms);

/* The node to send a digest to now; NULL when none is due. */
struct bb_node *member_next_target(struct bb *bb, int64_t now_ms);

/* Works out bb.agreed_ms; to be called after each change of list and digest. */
void member_update_agreed(struct bb *bb, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
