/*
 * The published view: upstreams, data centres out of service and the configuration as this node
 * last heard of them, in the order of the source's revisions. Nothing goes back: an older version
 * of the configuration, or an older entry of an upstream, is never taken up.
 */
#ifndef DECIDE_PVW_H
#define DECIDE_PVW_H

#include "model/pub.h"

#ifdef __cplusplus
extern "C" {
#endif

/* An entry that lapsed while the source was away is back within 2 s of its return, or gone. */
#define PVW_RETURN_MS 2000

struct pvw_upstream {
	struct pub_upstream *doc;
	int64_t revision;
	int64_t cold_until_ms;
	int64_t lapsed_ms; /* since when the entry is missing; 0: it stands */
	bool present;	   /* seen by the read that is under way */
};

struct pvw {
	GHashTable *upstreams; /* id -> struct pvw_upstream */
	GHashTable *out;       /* data centres out of service */
	GHashTable *out_seen;  /* those of the read that is under way */
	struct pub_doc *doc;   /* NULL: none yet */
	int64_t away_since_ms; /* the source doesn't answer; 0: it does */
	int64_t returned_ms;   /* it answers again since; 0: it never was away */
	bool complete;	       /* a full read has ended */
};

struct pvw *pvw_new(void);
void pvw_free(struct pvw *v);

/* Takes up a document; false when one as new or newer is in force. Takes its reference. */
bool pvw_take_doc(struct pvw *v, struct pub_doc *doc);

/* Takes up an entry and owns it from then on. True when what matters to routing has changed. */
bool pvw_take_upstream(struct pvw *v, struct pub_upstream *doc, int64_t revision, int64_t now_ms);

/* An entry was deleted. True when it was known. */
bool pvw_drop_upstream(struct pvw *v, const char *id, int64_t revision, int64_t now_ms);

/* True when it wasn't so before. */
bool pvw_set_out(struct pvw *v, const char *data_centre, bool out, int64_t now_ms);

/* A full read: what it doesn't name by its end is treated as deleted. */
void pvw_read_begin(struct pvw *v);
void pvw_read_end(struct pvw *v, int64_t revision, int64_t now_ms);

/* The source stopped answering, or answers again. */
void pvw_set_away(struct pvw *v, bool away, int64_t now_ms);

/* Removes entries that lapsed and did not return in time. True when there were any. */
bool pvw_tick(struct pvw *v, int64_t now_ms);

/* May new work be sent to it? */
bool pvw_is_usable(const struct pvw *v, const struct pvw_upstream *u);
bool pvw_is_cold(const struct pvw_upstream *u, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
