/* Types and functions shared by the files of gossip. */
#ifndef DECIDE_GOSSIP_INTERNAL_H
#define DECIDE_GOSSIP_INTERNAL_H

#include "decide/gossip.h"

#include <string.h>

struct gossip {
	struct gossip_member self;
	GHashTable *members; /* peer address -> struct gossip_member, without the node itself */
	/*
	 * gossip_member.key -> the same members; NULL for a key that two members have had, whose
	 * heartbeats then come with their records alone
	 */
	GHashTable *by_key;
	uint64_t rounds;
	int64_t changed_ms; /* when a member last changed */
	int64_t joined_ms;  /* when a member was last added */
	int64_t started_ms;
	uint32_t n_met_ready;	/* members that were ready when this node first heard of them */
	uint32_t n_met_unready; /* the others */
};

static inline bool gossip_is_in_region(const struct gossip *f, const struct gossip_member *m)
{
	return strcmp(m->record.region, f->self.record.region) == 0;
}

#endif
