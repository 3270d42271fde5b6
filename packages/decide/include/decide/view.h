/*
 * The node's view of the published state: upstreams, data centres out of service and the
 * configuration, applied in the order of the source's revisions. An older version of the
 * configuration, or an older entry of an upstream, never replaces a newer one.
 *
 * The source may be restored from a copy that is some seconds old. Its epoch then rises, and it
 * gives out again the revisions that the copy lacks. An entry that may stem from the copy doesn't
 * undo what the node has learned since; docs/design/platform.md has the table of what holds.
 */
#ifndef DECIDE_VIEW_H
#define DECIDE_VIEW_H

#include "model/pub.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Time for which deleted entries are kept after the source has recovered from an outage: upstreams
 * rewrite the entries that expired during the outage within 2 s of the recovery.
 */
#define VIEW_RETURN_GRACE_MS 2000

/* An upstream whose heartbeats stop loses its entry after this number of intervals. */
#define VIEW_LAPSE_HEARTBEATS 3

/* How long removed upstreams are remembered; longer than a copy of the source is old. */
#define VIEW_GONE_KEEP_MS 60000

/* Position in the source's history. Revisions of different epochs aren't comparable. */
struct view_revision {
	int64_t epoch; /* 0: the source doesn't report it */
	int64_t number;
};

struct view_upstream {
	struct pub_upstream *doc;
	struct view_revision revision;
	int64_t confirmed_ms; /* when an entry that the upstream had written anew arrived */
	int64_t cold_until_ms;
	int64_t missing_since_ms; /* when the source's entry was found missing; 0: it exists */
	int64_t doubted_until_ms; /* unusable until then, as only an old copy has the entry; 0: no
				   */
	bool deleted;		  /* the entry is missing because the source deleted it */
	bool present;		  /* the full read in progress has seen the entry */
};

/* An upstream that was removed from the view. */
struct view_gone {
	struct view_revision revision; /* of the removal */
	int64_t born_ms;
	int64_t removed_ms;
};

struct view_state {
	GHashTable *upstreams;	      /* id -> struct view_upstream */
	GHashTable *out;	      /* data centres out of service */
	GHashTable *out_seen;	      /* the ones that the full read in progress has seen */
	GHashTable *out_missing;      /* those of out that the restored source lacks */
	GHashTable *gone;	      /* id -> struct view_gone */
	struct pub_doc *doc;	      /* configuration; NULL until the first one arrives */
	int64_t source_down_since_ms; /* start of the outage; 0: the source answers */
	int64_t source_recovered_ms;  /* when the last outage ended; 0: no outage so far */
	bool complete;		      /* a full read has been completed */
	int64_t doubt_ms;	      /* how long entries that only an old copy has are doubted */
	int64_t epoch;		      /* highest epoch of the source; 0: unknown */
	int64_t epoch_raised_ms;      /* when the source was found restored; 0: never */
	int64_t restored_revision;    /* in this epoch, entries up to it may stem from the copy */
};

/* heartbeat_ms: interval between heartbeats of upstreams to the source. */
struct view_state *view_new(int64_t heartbeat_ms);
void view_free(struct view_state *v);

/* Returns a number below, equal to or above 0 if a is older than, equal to or newer than b. */
int view_compare(struct view_revision a, struct view_revision b);

/*
 * Notes that the source's epoch has risen, and the revision of the first answer that says so.
 * Returns false if the epoch isn't higher. Until a full read is complete, what the node has
 * learned in earlier epochs stands.
 */
bool view_raise_epoch(struct view_state *v, int64_t epoch, int64_t revision, int64_t now_ms);

/* Returns the number of upstreams and data centres whose entries wait to be written again. */
uint32_t view_count_doubted(const struct view_state *v);

/*
 * Applies a configuration unless its version is the current one or older. Takes the caller's
 * reference. Returns whether the configuration was applied.
 */
bool view_set_config(struct view_state *v, struct pub_doc *doc);

/*
 * Applies an upstream's entry and takes ownership of it. Returns whether something relevant to
 * routing changed.
 */
bool view_put_upstream(struct view_state *v, struct pub_upstream *doc,
		       struct view_revision revision, int64_t now_ms);

/*
 * Applies the deletion of an upstream's entry at the source. Returns whether the upstream was
 * removed: during an outage and VIEW_RETURN_GRACE_MS after it, only a leaving upstream is.
 */
bool view_remove_upstream(struct view_state *v, const char *id, struct view_revision revision,
			  int64_t now_ms);

/* Removes an upstream at once, as another node's view that is up to date lacks it. */
void view_drop_upstream(struct view_state *v, const char *id, int64_t now_ms);

/* Takes a data centre out of service, or returns it. Returns whether its state changed. */
bool view_set_out_of_service(struct view_state *v, const char *data_centre, bool out,
			     int64_t now_ms);

/* Begin and end a full read of the source; entries that it doesn't contain count as deleted. */
void view_begin_read(struct view_state *v);
void view_end_read(struct view_state *v, struct view_revision revision, int64_t now_ms);

/* Notes that the source has stopped answering, or answers again. */
void view_set_source_down(struct view_state *v, bool down, int64_t now_ms);

/*
 * Removes upstreams whose entries expired in an outage, and data centres' outages that the restored
 * source lacks, if they weren't rewritten in time; ends doubts. Returns whether anything changed.
 */
bool view_expire(struct view_state *v, int64_t now_ms);

/* Returns whether new work may be sent to the upstream. */
bool view_is_usable(const struct view_state *v, const struct view_upstream *u);

/* Returns why it isn't usable; NULL if it is. */
const char *view_obstacle(const struct view_state *v, const struct view_upstream *u);

bool view_is_cold(const struct view_upstream *u, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
