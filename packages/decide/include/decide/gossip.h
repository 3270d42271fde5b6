/*
 * Fleet membership by gossip. Members are found through seed addresses and exchange heartbeat
 * counters. A member whose counter stops rising counts as silent; after a long silence it is
 * forgotten. The module does no I/O: the caller sends the records of gossip_fill_records() to the
 * addresses of gossip_pick_targets().
 */
#ifndef DECIDE_GOSSIP_H
#define DECIDE_GOSSIP_H

#include "base/prng.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define GOSSIP_NAME_BYTES 64
#define GOSSIP_INTERVAL_MS 300 /* between rounds */
#define GOSSIP_FANOUT 2	       /* random members that receive each round */
/* Records per message: 1.5 KB, which keeps a round small in a fleet of 410 nodes. */
#define GOSSIP_RECORDS_MAX 24
/* Added to GOSSIP_TIMEOUT_MS for each member, because heartbeats arrive less often in a large
 * fleet. */
#define GOSSIP_TIMEOUT_MS_PER_MEMBER 12
/* A member is silent after this time: six rounds, enough for three hops with two of them lost. */
#define GOSSIP_TIMEOUT_MS 1800
/* After a planned stop; callers cache addresses for less time than this. */
#define GOSSIP_FORGET_LEAVING_MS 30000
/* For silent members; regions can lose contact with each other for an hour. */
#define GOSSIP_FORGET_MS 3600000
/* Shorter partitions move no quota; a member that crashed loses its quota after this time. */
#define GOSSIP_RECENT_MS 30000
/* Every so many rounds a seed receives the message too, which reunites a split fleet. */
#define GOSSIP_SEED_ROUNDS 4
/* The first rounds go to all seeds, because connections are still being set up. */
#define GOSSIP_JOIN_ROUNDS 20
/* Interval of these rounds: the node knows the fleet before it receives callers. */
#define GOSSIP_JOIN_INTERVAL_MS 100
#define GOSSIP_MEMBERS_MAX 4096

/* What a member announces about itself. */
struct gossip_record {
	char peer_address[GOSSIP_NAME_BYTES]; /* listener for nodes; identifies the member */
	char caller_address[GOSSIP_NAME_BYTES];
	char data_centre[GOSSIP_NAME_BYTES];
	char region[GOSSIP_NAME_BYTES];
	uint64_t incarnation; /* wall time of its start in ms; a later one replaces an earlier */
	uint64_t beat;	      /* heartbeat counter, incremented each round */
	bool ready;	      /* serves callers */
	bool leaving;	      /* a planned stop has begun */
};

struct gossip_member {
	struct gossip_record record;
	int64_t heard_ms;     /* when its heartbeat counter last rose or it sent a message */
	int64_t suspected_ms; /* when it last failed to answer this node; 0: never */
};

struct gossip;

struct gossip *gossip_new(const struct gossip_record *self, int64_t now_ms);
void gossip_free(struct gossip *f);

/* Sets this node's own state, which is sent from the next round on. */
void gossip_set_self(struct gossip *f, bool ready, bool leaving);

/* Merges received records. True when a member is new, was silent before, or changed its state. */
bool gossip_merge(struct gossip *f, const struct gossip_record *records, uint32_t n,
		  int64_t now_ms);

/* Begins a round: increments the own heartbeat counter and forgets expired members. */
void gossip_begin_round(struct gossip *f, int64_t now_ms);

/* Writes up to capacity records: this node's first, then those of random live members. */
uint32_t gossip_fill_records(struct gossip *f, struct gossip_record *records, uint32_t capacity,
			     struct prng *prng, int64_t now_ms);

/* Picks the peer addresses that receive this round and returns their number. */
uint32_t gossip_pick_targets(struct gossip *f, const char *const *seeds, uint32_t n_seeds,
			     struct prng *prng, char (*targets)[GOSSIP_NAME_BYTES],
			     uint32_t capacity, int64_t now_ms);

/*
 * Suspects a member that failed to answer this node. It can't be owner for GOSSIP_SUSPECT_MS, or
 * until it sends a message itself. Its address is still given to callers, as others may reach it.
 */
#define GOSSIP_SUSPECT_MS 4000 /* by then gossip shows whether it is alive */
void gossip_suspect(struct gossip *f, const char *peer_address, int64_t now_ms);

/* A message from the member itself arrived: it is alive, whatever other members report. */
void gossip_confirm_alive(struct gossip *f, const char *peer_address, int64_t now_ms);

/* The process was suspended for gap_ms: members don't age during that time. */
void gossip_skip_gap(struct gossip *f, int64_t gap_ms);

bool gossip_is_alive(const struct gossip *f, const struct gossip_member *m, int64_t now_ms);

/* Includes this node. */
uint32_t gossip_count_alive(const struct gossip *f, int64_t now_ms);

/* NULL when the member is unknown. */
const struct gossip_member *gossip_find(const struct gossip *f, const char *peer_address);

/* Calls fn for each member, this node first. */
void gossip_foreach(const struct gossip *f, void (*fn)(void *arg, const struct gossip_member *m),
		    void *arg);

/*
 * The member that owns the tasks done once for the fleet: the longest-running one that is alive and
 * ready, other than the one named by except (NULL: none). A starting node never takes over from a
 * running one. Falls back to this node.
 */
const struct gossip_member *gossip_owner(const struct gossip *f, const char *except,
					 int64_t now_ms);

/*
 * This node's position among the members that share a fleet-wide limit. Nodes have to agree on it
 * even while they disagree about who is alive: a silent member may be behind a partition and still
 * send, so it keeps its share until it is forgotten or has announced that it leaves.
 */
struct gossip_share {
	uint32_t sharers; /* this node and all known members */
	uint32_t recent;  /* of these, heard from within GOSSIP_RECENT_MS */
	uint32_t rank;	  /* this node's rank among the recent by rendezvous hash; 0 is first */
};
struct gossip_share gossip_compute_share(const struct gossip *f, const char *task, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
