/* Types and functions shared by the files of the gate. */
#ifndef DECIDE_GATE_INTERNAL_H
#define DECIDE_GATE_INTERNAL_H

#include "decide/gate.h"

#include <glib.h>

#define GATE_MS_PER_S 1000.0
#define GATE_BATCHES_MAX 4

/* Permits that were granted together. */
struct gate_batch {
	uint32_t n;
	int64_t until_ms;
};

/* The bucket of a limit's owner. */
struct gate_bucket {
	double tokens;
	int64_t filled_ms;
	int64_t owned_since_ms;	  /* 0: this node isn't the owner */
	double share;		  /* of the limit that is granted, but for the takeover */
	int64_t waiting_since_ms; /* first refusal of a request that isn't urgent; 0: none */
};

/* A brittle upstream crashes when it refuses too many requests in a second. */
struct gate_brittle {
	double refusals_per_s; /* most that it bears; below 0: it doesn't say that it is brittle */
	int64_t said_ms;       /* as of when; 0: it has never said so */
	int64_t refused_ms;    /* when it last refused a request of any node; 0: never */
};

/* What a node has in progress at an upstream, as its owner knows. */
struct gate_node_use {
	char node[GATE_NODE_BYTES];
	uint32_t n_in_flight;
	int64_t told_ms;
	uint32_t n_granted; /* permits that it hasn't been seen to spend */
	int64_t granted_until_ms;
};

/* Room of a brittle upstream for requests of all nodes together. */
struct gate_room {
	GHashTable *uses;  /* node -> struct gate_node_use, owned; NULL: none was told */
	uint32_t n_used;   /* sum of the uses */
	int64_t summed_ms; /* as of when; 0: one has changed since */
	uint32_t n_max;	   /* less than its slots, after refusals; 0: as many as its slots */
	int64_t grown_ms;  /* when n_max was last set */
	int64_t crowded_ms;
	int64_t crowded_told_ms;
	uint32_t n_told; /* what this node told the owner last */
	int64_t told_ms; /* when; 0: never */
};

struct gate_record {
	char *id;
	int64_t born_ms;
	int64_t published_ms; /* when the upstream was last known to be published */
	double limit_per_s;   /* below 0: none */
	int64_t limit_ms;     /* as of when; 0: none was named so far */
	double told_per_s;    /* what other nodes were told last */
	int64_t backoff_ms;   /* when it last named a time to come back */
	int64_t backoff_until_ms;
	int64_t leaving_ms; /* when it first said that it leaves; 0: it hasn't */
	struct gate_brittle brittle;
	struct gate_room room;
	struct gate_bucket bucket;
	int64_t owner_checked_ms; /* when the limit's owner was last looked up; 0: never */
	struct gate_batch batches[GATE_BATCHES_MAX];
	int64_t asked_ms; /* of the pending ask; 0: none */
	int64_t hold_until_ms;
	uint32_t n_taken; /* requests in the second that began at taken_since_ms */
	uint32_t n_taken_before;
	int64_t taken_since_ms;
};

struct gate {
	struct gate_fleet fleet;
	int64_t started_ms;
	GHashTable *records; /* id -> struct gate_record */
};

/* Returns the record of the run; NULL if nothing is known, or only something of a former run. */
struct gate_record *gate_find(const struct gate *g, struct gate_run run);

/* The same; adds a record if there is none. NULL: the run has ended, or there are too many. */
struct gate_record *gate_find_or_add(struct gate *g, struct gate_run run, int64_t now_ms);

/* Returns the requests a second that the upstream may get from the fleet now; below 0: any. */
double gate_limit_of(const struct gate_record *r, int64_t now_ms);

bool gate_is_limited(const struct gate_record *r, int64_t now_ms);

/* gate_brittle.c */

/* Returns until when nothing may be sent after the last refusal; 0: something may. */
int64_t gate_full_until_ms(const struct gate_record *r, int64_t now_ms);

/* Returns the rate at which a brittle upstream is tried again after a refusal; below 0: any. */
double gate_recovery_per_s(const struct gate_record *r, int64_t now_ms);

/* Applies another node's notice. Returns whether it was news. */
bool gate_merge_brittle(struct gate *g, struct gate_record *r, const struct gate_notice *notice,
			int64_t now_ms);

/* gate_room.c */
void gate_clear_room(struct gate_room *room);

/* Returns whether each request to a brittle upstream needs a permit for want of room. */
bool gate_is_crowded(const struct gate_record *r, int64_t now_ms);

/* Returns how many more requests may be granted there, at the owner. */
uint32_t gate_count_room(struct gate *g, struct gate_record *r, int64_t now_ms);

/* Notes that the owner granted permits to a node. */
void gate_note_grant(struct gate_record *r, const char *node, uint32_t n, int64_t now_ms);

/* Learns from a refusal how much room there is. */
void gate_cut_room(struct gate *g, struct gate_record *r, int64_t now_ms);

/* gate_permit.c */

/* Returns whether requests need permits. */
bool gate_needs_permit(const struct gate_record *r, int64_t now_ms);

/* Fills the bucket if this node is the limit's owner. */
void gate_fill_bucket(struct gate *g, struct gate_record *r, int64_t now_ms);

/* Decides about a limited upstream. */
void gate_check_limit(struct gate *g, struct gate_record *r, bool is_urgent, int64_t now_ms,
		      struct gate_verdict *verdict);

/* Spends a permit; returns false if there is none. */
bool gate_spend_permit(struct gate *g, struct gate_record *r, bool is_urgent, int64_t now_ms);

#endif
