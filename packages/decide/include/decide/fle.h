/*
 * The fleet as a node sees it: members found through seed addresses and kept by gossip of
 * heartbeat counters. A member whose counter stands still is silent; one that was silent for long
 * is forgotten. No I/O: the caller sends what fle_fill() writes to whom fle_targets() names.
 */
#ifndef DECIDE_FLE_H
#define DECIDE_FLE_H

#include "base/prng.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define FLE_NAME_BYTES 64
#define FLE_BEAT_MS 300	   /* between two rounds of gossip */
#define FLE_FANOUT 2	   /* members told in a round */
#define FLE_RECORDS_MAX 24 /* in a message: 1.5 KB, so that a round at 410 nodes stays small */
#define FLE_SILENT_MS_PER_MEMBER 12 /* besides: in a large fleet each is heard rarely */
#define FLE_SILENT_MS 1800	    /* six rounds: three hops of gossip, with two of them lost */
#define FLE_LEFT_MS 30000	    /* after a planned stop: callers keep an address shorter */
#define FLE_FORGET_MS 3600000	    /* silent: regions lose each other for an hour now and then */
#define FLE_RECENT_MS 30000	    /* shorter cuts move no share; one that died gives its up */
#define FLE_SEED_EVERY 4	    /* rounds between two messages to a seed: heals a split fleet */
#define FLE_JOIN_ROUNDS 20	    /* after a start: to all seeds, while links are still made */
#define FLE_JOIN_BEAT_MS 100 /* between these rounds: the fleet is known before callers come */
#define FLE_MEMBERS_MAX 4096

/* What a member says of itself. */
struct fle_record {
	char peer_address[FLE_NAME_BYTES]; /* of the listener for nodes: the member's name */
	char caller_address[FLE_NAME_BYTES];
	char data_centre[FLE_NAME_BYTES];
	char region[FLE_NAME_BYTES];
	uint64_t incarnation; /* wall time of its start in ms: a later one replaces an earlier */
	uint64_t beat;	      /* rises with each round */
	bool ready;	      /* serves callers */
	bool leaving;	      /* a planned stop has begun */
};

struct fle_member {
	struct fle_record record;
	int64_t heard_ms;   /* when the beat last rose */
	int64_t doubted_ms; /* when it last gave no answer to the node itself; 0: never */
};

struct fle;

struct fle *fle_new(const struct fle_record *self, int64_t now_ms);
void fle_free(struct fle *f);

/* The node's own state, told with the next round. */
void fle_set_self(struct fle *f, bool ready, bool leaving);

/* Takes up what a message holds. True when a member was new, gone silent before, or changed. */
bool fle_take(struct fle *f, const struct fle_record *records, uint32_t n, int64_t now_ms);

/* Begins a round: raises the own beat and forgets the long silent. */
void fle_round(struct fle *f, int64_t now_ms);

/* Writes up to room records: the own one first, then members heard lately, drawn at random. */
uint32_t fle_fill(struct fle *f, struct fle_record *records, uint32_t room, struct prng *prng,
		  int64_t now_ms);

/* Addresses to send the round to; seeds are peer addresses. Returns how many. */
uint32_t fle_targets(struct fle *f, const char *const *seeds, uint32_t n_seeds, struct prng *prng,
		     char (*targets)[FLE_NAME_BYTES], uint32_t room, int64_t now_ms);

/*
 * It gave the node itself no answer: it owns nothing until a message comes from it, or for
 * FLE_DOUBT_MS. Addresses still name it: others may reach it.
 */
#define FLE_DOUBT_MS 4000 /* by then gossip knows whether it lives */
void fle_doubt(struct fle *f, const char *peer_address, int64_t now_ms);

/* A message came from the member itself: it lives, whatever gossip says. */
void fle_heard(struct fle *f, const char *peer_address, int64_t now_ms);

/* The process was suspended: nothing that was heard before is older than it was then. */
void fle_excuse_gap(struct fle *f, int64_t gap_ms);

bool fle_is_alive(const struct fle *f, const struct fle_member *m, int64_t now_ms);

/* Members that are alive, the node itself among them. */
uint32_t fle_count_alive(const struct fle *f, int64_t now_ms);

/* The member of that name; NULL when it is unknown. */
const struct fle_member *fle_find(const struct fle *f, const char *peer_address);

/* Calls fn for each member, the node itself first. */
void fle_each(const struct fle *f, void (*fn)(void *arg, const struct fle_member *m), void *arg);

/*
 * The member that owns what one node does for all: the longest-running one of those alive and
 * ready, other than the one named by except (NULL: none). A node that starts never takes over
 * from one that runs. Falls back to the node itself.
 */
const struct fle_member *fle_owner(const struct fle *f, const char *except, int64_t now_ms);

/*
 * Who shares in what the whole fleet may send, counted alike by nodes that differ about who lives.
 * One that is silent may be behind a cut and send as well, so it keeps its share until it is
 * forgotten or has said that it leaves.
 */
struct fle_share {
	uint32_t sharers; /* the node itself and all members that it knows */
	uint32_t recent;  /* of these, heard within FLE_RECENT_MS */
	uint32_t rank;	  /* of the node itself among the recent, by rendezvous hash; 0 is first */
};
struct fle_share fle_share_of(const struct fle *f, const char *task, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
