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
#define GOSSIP_FANOUT 2	       /* number of random live members that receive each round's message */
/*
 * Maximum number of records in a message. Such a message has 1.5 KB, so the traffic of a round
 * stays small in a fleet of 410 nodes.
 */
#define GOSSIP_RECORDS_MAX 24
/* Number of records in a message while the fleet doesn't change; heartbeats say the rest. */
#define GOSSIP_RECORDS_SETTLED 6
/* The fleet is settled when no member has changed for this long. */
#define GOSSIP_SETTLED_MS 5000
/*
 * Maximum number of heartbeats in a message. They take about as many bytes as GOSSIP_RECORDS_MAX
 * records; of 410 members none then looks silent that isn't.
 */
#define GOSSIP_BEATS_MAX 192
/*
 * Added to GOSSIP_TIMEOUT_MS for each known member, because heartbeats arrive less often in a large
 * fleet.
 */
#define GOSSIP_TIMEOUT_MS_PER_MEMBER 12
/*
 * A member is silent when no heartbeat arrived for this time plus GOSSIP_TIMEOUT_MS_PER_MEMBER for
 * each known member. Six rounds are enough for a heartbeat to travel three hops with two messages
 * lost.
 */
#define GOSSIP_TIMEOUT_MS 1800
/*
 * A leaving member is forgotten this long after its last heartbeat; callers cache addresses for
 * less time than this.
 */
#define GOSSIP_FORGET_LEAVING_MS 30000
/*
 * Any other member is forgotten this long after its last heartbeat; regions can lose contact with
 * each other for an hour.
 */
#define GOSSIP_FORGET_MS 3600000
/*
 * A member counts as recent for this long after its last heartbeat. Shorter partitions don't change
 * the nodes' quotas; a crashed member loses its quota after this time.
 */
#define GOSSIP_RECENT_MS 30000
/*
 * With at least this many other live members in the node's region, the members that receive a
 * round's message are from there, but for one in every GOSSIP_BRIDGE_ROUNDS rounds on average:
 * traffic between regions is slow and priced, and the nodes of a region together send enough.
 */
#define GOSSIP_REGION_MEMBERS_MIN 8
#define GOSSIP_BRIDGE_ROUNDS 4
/*
 * Every GOSSIP_SEED_ROUNDS rounds, and in each round while fewer than GOSSIP_FANOUT members are
 * alive, a random seed and a random member, alive or silent, receive the message too. This reunites
 * the parts of a fleet after a partition. Of GOSSIP_LARGE_FLEET nodes some do so in each round even
 * if each does so less often.
 */
#define GOSSIP_SEED_ROUNDS 4
#define GOSSIP_LARGE_FLEET 32
#define GOSSIP_LARGE_SEED_ROUNDS 16
/*
 * Number of rounds after the start in which all seeds receive the message, because connections are
 * still being set up.
 */
#define GOSSIP_JOIN_ROUNDS 20
/*
 * Interval between these rounds; short, so that the node knows the fleet before it serves callers.
 */
#define GOSSIP_JOIN_INTERVAL_MS 100
#define GOSSIP_MEMBERS_MAX 4096
/* Time after its start in which a node may find that the whole fleet is starting with it. */
#define GOSSIP_FLEET_START_MS 2500
/* Unready members from which on it finds that; a lone one may just be starting by itself. */
#define GOSSIP_FLEET_START_MEMBERS 2
/*
 * For this long, messages have the records of members that are new or have changed before those of
 * others. A random choice alone brings them to a fleet of 410 nodes in many rounds.
 */
#define GOSSIP_NEWS_MS 2000
/*
 * With fewer nodes of the callers' region to list, those of all regions are listed, unless requests
 * may be bound to regions.
 */
#define GOSSIP_REGION_NODES_MIN 2
/*
 * Largest incarnation (ms since 1970) and heartbeat counter of a record. A larger one, which no
 * node reaches, would outlast all later records of the member.
 */
#define GOSSIP_NUMBER_MAX (1ULL << 53)
#define GOSSIP_RANK_MAX 8 /* most addresses that gossip_rank() returns */

/* What a member announces about itself. */
struct gossip_record {
	char peer_address[GOSSIP_NAME_BYTES]; /* address for other nodes; identifies the member */
	char caller_address[GOSSIP_NAME_BYTES];
	char data_centre[GOSSIP_NAME_BYTES];
	char region[GOSSIP_NAME_BYTES];
	uint64_t incarnation; /* start's wall time in ms; a higher value replaces a lower one */
	uint64_t beat;	      /* heartbeat counter, incremented each round */
	bool ready;	      /* the member serves callers */
	bool leaving;	      /* the member is about to stop */
	bool isolated;	      /* the member reaches no upstream */
	uint32_t cpu_millis;  /* thousandths of a core that the member may use; 0: unknown */
	bool reads_beats;     /* the member understands struct gossip_beat */
	uint32_t age_ms;      /* of the heartbeat, when the record was sent */
};

/* The heartbeat of a member whose record the receiver knows, with what may change meanwhile. */
struct gossip_beat {
	uint32_t member; /* hash of its peer address and incarnation */
	uint64_t beat;
	uint32_t age_ms; /* when it was sent */
	bool ready;
	bool leaving;
	bool isolated;
};

struct gossip_member {
	struct gossip_record record;
	int64_t heard_ms;     /* when the member made its last heartbeat or sent its last message */
	int64_t contact_ms;   /* when this node last received a message from it; 0: never */
	int64_t learned_ms;   /* when this node last received a newer heartbeat of the member */
	int64_t suspected_ms; /* when the member last failed to answer; 0: never, or it sent a
				 message since */
	int64_t news_ms;      /* when the member was found or its state last changed; 0: never */
	uint32_t key;	      /* gossip_beat.member */
};

struct gossip;

struct gossip *gossip_new(const struct gossip_record *self, int64_t now_ms);
void gossip_free(struct gossip *f);

/* Sets this node's own state, which is sent from the next round on. */
void gossip_set_self(struct gossip *f, bool ready, bool leaving);
void gossip_set_isolated(struct gossip *f, bool isolated);

/*
 * Merges received records. Returns whether a member is new, was silent, has restarted, or changed
 * whether it is ready or leaving.
 */
bool gossip_merge(struct gossip *f, const struct gossip_record *records, uint32_t n,
		  int64_t now_ms);

/* Heartbeats of members that this node doesn't know, to be asked for at the sender. */
struct gossip_unknown {
	uint32_t members[GOSSIP_RECORDS_MAX]; /* gossip_beat.member */
	uint32_t n;
};

/*
 * Merges received heartbeats and writes the first unknown members. Returns whether a member was
 * silent or has changed, as gossip_merge() does.
 */
bool gossip_merge_beats(struct gossip *f, const struct gossip_beat *beats, uint32_t n,
			struct gossip_unknown *unknown, int64_t now_ms);

/*
 * Writes this node's record and those of the members with the keys, up to GOSSIP_RECORDS_MAX.
 * Returns the number written.
 */
uint32_t gossip_find_records(const struct gossip *f, const uint32_t *keys, uint32_t n,
			     struct gossip_record *records, int64_t now_ms);

/* Begins a round: increments this node's heartbeat counter and forgets expired members. */
void gossip_begin_round(struct gossip *f, int64_t now_ms);

/*
 * Writes up to capacity records, at least one: this node's first, then those of random live
 * members, fewer while the fleet is settled and the receiver reads heartbeats. Returns the number
 * written.
 */
uint32_t gossip_fill_records(struct gossip *f, const char *receiver, struct gossip_record *records,
			     uint32_t capacity, struct prng *prng, int64_t now_ms);

/*
 * Writes heartbeats of up to capacity random live members; none in a fleet that fits into the
 * records of one message. Returns the number written.
 */
uint32_t gossip_fill_beats(struct gossip *f, struct gossip_beat *beats, uint32_t capacity,
			   struct prng *prng, int64_t now_ms);

/*
 * Picks up to capacity peer addresses that receive this round's message. Returns the number
 * picked.
 */
uint32_t gossip_pick_targets(struct gossip *f, const char *const *seeds, uint32_t n_seeds,
			     struct prng *prng, char (*targets)[GOSSIP_NAME_BYTES],
			     uint32_t capacity, int64_t now_ms);

/* Picks up to capacity random live members other than this node; returns their number. */
uint32_t gossip_pick_live(struct gossip *f, struct prng *prng, char (*targets)[GOSSIP_NAME_BYTES],
			  uint32_t capacity, int64_t now_ms);

/*
 * Marks a member as suspect after it failed to answer this node. It can't be the owner until
 * GOSSIP_SUSPECT_MS have passed or it sends a message itself. Its address is still given to
 * callers, because they may reach it.
 */
#define GOSSIP_SUSPECT_MS 4000 /* by then gossip shows whether it is alive */
void gossip_suspect(struct gossip *f, const char *peer_address, int64_t now_ms);

/* Notes that a message from the member itself arrived, which proves that it is alive. */
void gossip_confirm_alive(struct gossip *f, const char *peer_address, int64_t now_ms);

/* Notes that this process was suspended for gap_ms, which doesn't count as silence of members. */
void gossip_skip_gap(struct gossip *f, int64_t gap_ms);

bool gossip_is_alive(const struct gossip *f, const struct gossip_member *m, int64_t now_ms);

/* Returns the number of live members, including this node. */
uint32_t gossip_count_alive(const struct gossip *f, int64_t now_ms);

/* Returns when this node last heard of a member that it didn't know; 0: never. */
int64_t gossip_last_joined_ms(const struct gossip *f);

/* Returns the member with that address, or NULL when it is unknown. */
const struct gossip_member *gossip_find(const struct gossip *f, const char *peer_address);

/* Calls fn for each member, this node first. */
void gossip_foreach(const struct gossip *f, void (*fn)(void *arg, const struct gossip_member *m),
		    void *arg);

/*
 * Lists addresses for callers: those of live members that are ready, not leaving and not isolated,
 * in the region (NULL: any) or, if there are too few, in all regions. is_bound: the callers'
 * requests may be bound to regions, so one in the region is enough. If all are isolated, they are
 * listed like others. Returns the number of addresses written; they are borrowed.
 */
uint32_t gossip_list_callers(const struct gossip *f, const char *region, bool is_bound,
			     const char **addresses, uint32_t capacity, int64_t now_ms);

/*
 * Returns the member that owns the tasks done once for a region: of those there that are alive,
 * ready, not isolated, not leaving and not suspect the one with the largest share of a core, and of
 * equal ones the longest-running; if there is none, that of the fleet; if all are isolated, as if
 * none was. The member with the address except is left out (NULL: none is). While no member is
 * ready, one that isn't ready owns the tasks; a starting node never takes over from a ready one.
 * Returns this node if no member qualifies.
 */
const struct gossip_member *gossip_owner(const struct gossip *f, const char *region,
					 const char *except, int64_t now_ms);

/*
 * Returns the member that does a task for the whole fleet: by rendezvous hash, the first of those
 * that are alive, ready and not leaving; NULL if there is none.
 */
const struct gossip_member *gossip_task_owner(const struct gossip *f, const char *task,
					      int64_t now_ms);

/*
 * Number of nodes of a region that read the source and tell the others there, and the number of
 * nodes from which on they do: in smaller regions each node reads for itself.
 */
#define GOSSIP_READERS 3
#define GOSSIP_FOLLOWED_REGION_MIN 12

/*
 * Returns whether this node reads the source for itself and for the region's other nodes, which
 * follow what the readers tell: by rendezvous hash, the first of those that are alive, ready, not
 * leaving and not isolated. Nodes that aren't ready, or that leave, read for themselves.
 */
bool gossip_is_reader(const struct gossip *f, int64_t now_ms);

/* Returns whether this node is a reader, and other nodes follow it. */
bool gossip_is_followed(const struct gossip *f, int64_t now_ms);

/*
 * This node's position among the members that share a fleet-wide limit. Nodes have to agree on the
 * shares even while they disagree about who is alive: a silent member may be behind a partition and
 * still send, so it keeps its share until it is forgotten or has announced that it leaves.
 */
struct gossip_share {
	/* this node and all known members, except silent ones that announced that they leave */
	uint32_t sharing_nodes;
	uint32_t recent; /* how many of these were heard from within GOSSIP_RECENT_MS */
	uint32_t rank;	 /* this node's rank by rendezvous hash among the recent ones; 0 is first */
};
struct gossip_share gossip_compute_share(const struct gossip *f, const char *task, int64_t now_ms);

/*
 * Writes the addresses of up to capacity other members that are alive and not leaving, in the order
 * of a rendezvous hash of the key, which is the same at all nodes. Returns the number written.
 */
uint32_t gossip_rank(const struct gossip *f, uint64_t key, char (*addresses)[GOSSIP_NAME_BYTES],
		     uint32_t capacity, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
