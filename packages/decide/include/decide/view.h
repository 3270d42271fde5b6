/*
 * The node's view of the published state: upstreams, data centres out of service and the
 * configuration, applied in the order of the source's revisions. An older version of the
 * configuration, or an older entry of an upstream, never replaces a newer one.
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

struct view_upstream {
	struct pub_upstream *doc;
	int64_t revision;
	int64_t cold_until_ms;
	int64_t missing_since_ms; /* when the source deleted the entry; 0: the entry exists */
	bool present;		  /* the full read in progress has seen the entry */
};

struct view_state {
	GHashTable *upstreams;	      /* id -> struct view_upstream */
	GHashTable *out;	      /* data centres out of service */
	GHashTable *out_seen;	      /* the ones that the full read in progress has seen */
	struct pub_doc *doc;	      /* configuration; NULL until the first one arrives */
	int64_t source_down_since_ms; /* start of the outage; 0: the source answers */
	int64_t source_recovered_ms;  /* when the last outage ended; 0: no outage so far */
	bool complete;		      /* a full read has been completed */
};

struct view_state *view_new(void);
void view_free(struct view_state *v);

/*
 * Applies a configuration unless its version is the current one or older. Takes the caller's
 * reference. Returns whether the configuration was applied.
 */
bool view_set_config(struct view_state *v, struct pub_doc *doc);

/*
 * Applies an upstream's entry and takes ownership of it. Returns whether something relevant to
 * routing changed.
 */
bool view_put_upstream(struct view_state *v, struct pub_upstream *doc, int64_t revision,
		       int64_t now_ms);

/*
 * Applies the deletion of an upstream's entry at the source. Returns whether the upstream was
 * removed: during an outage and VIEW_RETURN_GRACE_MS after it, only a leaving upstream is.
 */
bool view_remove_upstream(struct view_state *v, const char *id, int64_t revision, int64_t now_ms);

/* Takes a data centre out of service, or returns it. Returns whether its state changed. */
bool view_set_out_of_service(struct view_state *v, const char *data_centre, bool out,
			     int64_t now_ms);

/* Begin and end a full read of the source; entries that it doesn't contain count as deleted. */
void view_begin_read(struct view_state *v);
void view_end_read(struct view_state *v, int64_t revision, int64_t now_ms);

/* Notes that the source has stopped answering, or answers again. */
void view_set_source_down(struct view_state *v, bool down, int64_t now_ms);

/*
 * Removes upstreams whose entries expired in an outage and weren't rewritten in time. Returns
 * whether any upstream was removed.
 */
bool view_expire(struct view_state *v, int64_t now_ms);

/* Returns whether new work may be sent to the upstream. */
bool view_is_usable(const struct view_state *v, const struct view_upstream *u);
bool view_is_cold(const struct view_upstream *u, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
