/*
 * The node's view of the published state: upstreams, data centres out of service and the
 * configuration, applied in the order of the source's revisions. The view never goes back: an older
 * configuration version or an older entry of an upstream is ignored.
 */
#ifndef DECIDE_VIEW_H
#define DECIDE_VIEW_H

#include "model/pub.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An entry that expired during an outage of the source is rewritten within 2 s of its recovery. */
#define VIEW_RETURN_GRACE_MS 2000

struct view_upstream {
	struct pub_upstream *doc;
	int64_t revision;
	int64_t cold_until_ms;
	int64_t missing_since_ms; /* when the source's entry was deleted; 0: it exists */
	bool present;		  /* seen by the full read in progress */
};

struct view_state {
	GHashTable *upstreams;	      /* id -> struct view_upstream */
	GHashTable *out;	      /* data centres out of service */
	GHashTable *out_seen;	      /* those seen by the full read in progress */
	struct pub_doc *doc;	      /* NULL until the first configuration */
	int64_t source_down_since_ms; /* 0: the source answers */
	int64_t source_recovered_ms;  /* when it answered again; 0: no outage so far */
	bool complete;		      /* a full read has ended */
};

struct view_state *view_new(void);
void view_free(struct view_state *v);

/* Applies a configuration unless the current one is as new. Takes the caller's reference. */
bool view_set_config(struct view_state *v, struct pub_doc *doc);

/* Applies an entry and takes ownership of it. True when something relevant to routing changed. */
bool view_put_upstream(struct view_state *v, struct pub_upstream *doc, int64_t revision,
		       int64_t now_ms);

/* The source deleted an entry. True when the upstream was removed from the view. */
bool view_remove_upstream(struct view_state *v, const char *id, int64_t revision, int64_t now_ms);

/* True when the state of the data centre changed. */
bool view_set_out_of_service(struct view_state *v, const char *data_centre, bool out,
			     int64_t now_ms);

/* Brackets a full read of the source; whatever it doesn't contain counts as deleted. */
void view_begin_read(struct view_state *v);
void view_end_read(struct view_state *v, int64_t revision, int64_t now_ms);

/* The source stopped answering, or answers again. */
void view_set_source_down(struct view_state *v, bool down, int64_t now_ms);

/* Removes entries that expired in an outage and weren't rewritten in time. True when any were. */
bool view_expire(struct view_state *v, int64_t now_ms);

/* Whether new work may be sent to the upstream. */
bool view_is_usable(const struct view_state *v, const struct view_upstream *u);
bool view_is_cold(const struct view_upstream *u, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
