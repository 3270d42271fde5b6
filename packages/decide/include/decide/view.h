/*
 * The published view: upstreams, data centres out of service and the configuration as this node
 * last heard of them, in the order of the source's revisions. Nothing goes back: an older version
 * of the configuration, or an older entry of an upstream, is never taken up.
 */
#ifndef DECIDE_VIEW_H
#define DECIDE_VIEW_H

#include "model/pub.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An entry that lapsed while the source was away is back within 2 s of its return, or gone. */
#define VIEW_RETURN_GRACE_MS 2000

struct view_upstream {
	struct pub_upstream *doc;
	int64_t revision;
	int64_t cold_until_ms;
	int64_t missing_since_ms; /* since when the entry is missing; 0: it stands */
	bool present;		  /* seen by the read that is under way */
};

struct view_state {
	GHashTable *upstreams;	      /* id -> struct view_upstream */
	GHashTable *out;	      /* data centres out of service */
	GHashTable *out_seen;	      /* those of the read that is under way */
	struct pub_doc *doc;	      /* NULL: none yet */
	int64_t source_down_since_ms; /* the source doesn't answer; 0: it does */
	int64_t source_recovered_ms;  /* it answers again since; 0: it never was away */
	bool complete;		      /* a full read has ended */
};

struct view_state *view_new(void);
void view_free(struct view_state *v);

/* Takes up a document; false when one as new or newer is in force. Takes its reference. */
bool view_set_config(struct view_state *v, struct pub_doc *doc);

/* Takes up an entry and owns it from then on. True when what matters to routing has changed. */
bool view_put_upstream(struct view_state *v, struct pub_upstream *doc, int64_t revision,
		       int64_t now_ms);

/* An entry was deleted. True when it was known. */
bool view_remove_upstream(struct view_state *v, const char *id, int64_t revision, int64_t now_ms);

/* True when it wasn't so before. */
bool view_set_out_of_service(struct view_state *v, const char *data_centre, bool out,
			     int64_t now_ms);

/* A full read: what it doesn't name by its end is treated as deleted. */
void view_begin_read(struct view_state *v);
void view_end_read(struct view_state *v, int64_t revision, int64_t now_ms);

/* The source stopped answering, or answers again. */
void view_set_source_down(struct view_state *v, bool away, int64_t now_ms);

/* Removes entries that lapsed and did not return in time. True when there were any. */
bool view_expire(struct view_state *v, int64_t now_ms);

/* May new work be sent to it? */
bool view_is_usable(const struct view_state *v, const struct view_upstream *u);
bool view_is_cold(const struct view_upstream *u, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
