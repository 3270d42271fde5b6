/*
 * The fleet as a node sees it: members found through seed addresses and kept by gossip of
 * heartbeat counters. A member whose counter stands still is silent; one that was silent for long
 * is forgotten. No I/O: the caller sends what gossip_fill_records() writes to whom
 * gossip_pick_targets() names.
 */
#ifndef DECIDE_GOSSIP_H
#define DECIDE_GOSSIP_H

#include "base/rnd.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define GOSSIP_NAME_BYTES 64
#define GOSSIP_INTERVAL_MS 300 /* between two rounds of gossip */
#define GOSSIP_FANOUT 2	       /* members told in a round */
#define GOSSIP_RECORDS_MAX 24  /* in a message: 1.5 KB, so that a round at 410 nodes stays small */
#define GOSSIP_TIMEOUT_MS_PER_MEMBER 12 /* besides: in a large fleet each is heard rarely */
#define GOSSIP_TIMEOUT_MS 1800	       /* six rounds: three hops of gossip, with two of them lost */
#define GOSSIP_FORGET_LEAVING_MS 30000 /* after a planned stop: callers keep an address shorter */
#define GOSSIP_FORGET_MS 3600000 /* silent: regions lose each other for an hour now and then */
#define GOSSIP_RECENT_MS 30000	 /* shorter cuts move no share; one that died gives its up */
#define GOSSIP_SEED_ROUNDS 4	 /* rounds between two messages to a seed: heals a split fleet */
#define GOSSIP_JOIN_ROUNDS 20	 /* after a start: to all seeds, while links are still made */
#define GOSSIP_JOIN_INTERVAL_MS                                                                    \
	100 /* between these rounds: the fleet is known before callers come */
#define GOSSIP_MEMBERS_MAX 4096

/* What a member says of itself. */
struct gossip_record {
	char peer_address[GOSSIP_NAME_BYTES]; /* of the listener for nodes: the member's name */
	char caller_address[GOSSIP_NAME_BYTES];
	char data_centre[GOSSIP_NAME_BYTES];
	char region[GOSSIP_NAME_BYTES];
	uint64_t incarnation; /* wall time of its start in ms: a later one replaces an earlier */
	uint64_t beat;	      /* rises with each round */
	bool ready;	      /* serves callers */
	bool leaving;	      /* a planned stop has begun */
};

struct gossip_member {
	struct gossip_record record;
	int64_t heard_ms;     /* when the beat last rose */
	int64_t suspected_ms; /* when it last gave no answer to the node itself; 0: never */
};

struct gossip;

struct gossip *gossip_new(const struct gossip_record *self, int64_t now_ms);
void gossip_free(struct gossip *f);

/* The node's own state, told with the next round. */
void gossip_set_self(struct gossip *f, bool ready, bool leaving);

/* Takes up what a message holds. True when a member was new, gone silent before, or changed. */
bool gossip_merge(struct gossip *f, const struct gossip_record *records, uint32_t n,
		  int64_t now_ms);

/* Begins a round: raises the own beat and forgets the long silent. */
void gossip_begin_round(struct gossip *f, int64_t now_ms);

/* Writes up to room records: the own one first, then members heard lately, drawn at random. */
uint32_t gossip_fill_records(struct gossip *f, struct gossip_record *records, uint32_t room,
			     struct rnd *rnd, int64_t now_ms);

/* Addresses to send the round to; seeds are peer addresses. Returns how many. */
uint32_t gossip_pick_targets(struct gossip *f, const char *const *seeds, uint32_t n_seeds,
			     struct rnd *rnd, char (*targets)[GOSSIP_NAME_BYTES], uint32_t room,
			     int64_t now_ms);

/*
 * It gave the node itself no answer: it owns nothing until a message comes from it, or for
 * GOSSIP_SUSPECT_MS. Addresses still name it: others may reach it.
 */
#define GOSSIP_SUSPECT_MS 4000 /* by then gossip knows whether it lives */
void gossip_suspect(struct gossip *f, const char *peer_address, int64_t now_ms);

/* A message came from the member itself: it lives, whatever gossip says. */
void gossip_confirm_alive(struct gossip *f, const char *peer_address, int64_t now_ms);

/* The process was suspended: nothing that was heard before is older than it was then. */
void gossip_skip_gap(struct gossip *f, int64_t gap_ms);

bool gossip_is_alive(const struct gossip *f, const struct gossip_member *m, int64_t now_ms);

/* Members that are alive, the node itself among them. */
uint32_t gossip_count_alive(const struct gossip *f, int64_t now_ms);

/* The member of that name; NULL when it is unknown. */
const struct gossip_member *gossip_find(const struct gossip *f, const char *peer_address);

/* Calls fn for each member, the node itself first. */
void gossip_foreach(const struct gossip *f, void (*fn)(void *arg, const struct gossip_member *m),
		    void *arg);

/*
 * The member that owns what one node does for all: the longest-running one of those alive and
 * ready, other than the one named by except (NULL: none). A node that starts never takes over
 * from one that runs. Falls back to the node itself.
 */
const struct gossip_member *gossip_owner(const struct gossip *f, const char *except,
					 int64_t now_ms);

/*
 * Who shares in what the whole fleet may send, counted alike by nodes that differ about who lives.
 * One that is silent may be behind a cut and send as well, so it keeps its share until it is
 * forgotten or has said that it leaves.
 */
struct gossip_share {
	uint32_t sharers; /* the node itself and all members that it knows */
	uint32_t recent;  /* of these, heard within GOSSIP_RECENT_MS */
	uint32_t rank;	  /* of the node itself among the recent, by rendezvous hash; 0 is first */
};
struct gossip_share gossip_compute_share(const struct gossip *f, const char *task, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
