/*
 * Origin versions: which software version began a stream that may be resumed. Upstreams of several
 * versions may serve a service side by side, and a stream may go on only at the version that began
 * it. A node remembers the streams that it began and those that other nodes told it about, and
 * which versions of each service it has seen lately. docs/design/stream-versions.md has the
 * reasons.
 *
 * The module does no I/O: the caller sends records to other nodes and asks them.
 */
#ifndef DECIDE_STREAM_ORIGIN_H
#define DECIDE_STREAM_ORIGIN_H

#include "decide/view.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How long records and versions are kept; longer than a stream and its last resumption. */
#define STREAM_ORIGIN_KEEP_MS 60000
/* The view is trusted while it is that of the source at most this long ago. */
#define STREAM_ORIGIN_FRESH_MS 3000
/* How long other nodes are waited for, and after them the source. */
#define STREAM_ORIGIN_ASK_MS 150
#define STREAM_ORIGIN_READ_MS 150
#define STREAM_ORIGIN_TOLD 2  /* other nodes that keep a record */
#define STREAM_ORIGIN_ASKED 3 /* other nodes that are asked: one of the above may be new */
/* News that an upstream has restarted takes less time than this. */
#define STREAM_ORIGIN_DOUBT_MS 4000
#define STREAM_ORIGIN_RECORDS_MAX 65536
#define STREAM_ORIGIN_VERSIONS_MAX 8 /* of a service, in an answer */

/* How the node learned the origin version. */
enum stream_origin_source {
	STREAM_ORIGIN_NONE,
	STREAM_ORIGIN_BEGUN, /* the stream began here, or went on here */
	STREAM_ORIGIN_NOTED, /* another node has told it unasked */
	STREAM_ORIGIN_REPLY, /* another node answered a question */
	STREAM_ORIGIN_ONLY,  /* no other version can have begun it */
};

struct stream_origin_record {
	uint64_t stream;     /* stream_origin_hash() of the attempt that brought the first event */
	const char *service; /* interned */
	const char *version; /* interned; NULL: uncertain, never to be used */
	int64_t began_ms;
	enum stream_origin_source source;
	uint64_t upstream; /* stream_origin_hash() of the id of the upstream that it last ran at */
};

struct stream_origin;

struct stream_origin *stream_origin_new(void);
void stream_origin_free(struct stream_origin *o);

uint64_t stream_origin_hash(const char *attempt);
const char *stream_origin_source_name(enum stream_origin_source source);

/* Notes that the view holds, or held until now, an upstream of that version. */
void stream_origin_note_version(struct stream_origin *o, const char *service, const char *version,
				int64_t now_ms);

/* Notes the versions of all upstreams in the view. */
void stream_origin_note_upstreams(struct stream_origin *o, const struct view_state *v,
				  int64_t now_ms);

/*
 * Notes that the view is that of the source at as_of_ms, or newer. Called after the versions in the
 * view were noted. has_history: every change since the former call was seen, as by a watch, and not
 * only the outcome.
 */
void stream_origin_note_view(struct stream_origin *o, int64_t as_of_ms, bool has_history);

/*
 * Notes that the view has everything that the source held at sent_ms: the answer to a call that was
 * sent then was applied.
 */
void stream_origin_note_read(struct stream_origin *o, int64_t sent_ms);

/*
 * Notes that the view may be out of date until a newer one is noted: the process was paused, or the
 * source has stopped answering.
 */
void stream_origin_distrust_view(struct stream_origin *o, int64_t now_ms);

/*
 * Notes that the first full read of the source ended at now_ms, after stream_origin_note_view(),
 * and that no stream began anywhere before the node started. From then on, the node has seen every
 * version that may have begun a stream, until it misses changes at the source.
 */
void stream_origin_note_first_start(struct stream_origin *o, int64_t now_ms);

/* Returns the time of the newest view; 0: there was none. */
int64_t stream_origin_as_of_ms(const struct stream_origin *o);

/* Returns whether the view is recent enough for its versions to be trusted. */
bool stream_origin_is_fresh(const struct stream_origin *o, int64_t now_ms);

/*
 * Returns the only version of the service that can have begun a stream lately; NULL if there may be
 * another, or none was seen.
 */
const char *stream_origin_only_version(const struct stream_origin *o, const char *service,
				       int64_t now_ms);

/*
 * Returns whether every node that can tell the only version has seen this one. Until then no stream
 * should begin at it if there is another version: a node that hasn't seen it might go on with the
 * stream at the version that it takes for the only one.
 */
bool stream_origin_is_settled(const struct stream_origin *o, const char *service,
			      const char *version, int64_t now_ms);

/*
 * Notes a stream that began, or went on, at an upstream of this node. version NULL: uncertain. Of
 * two versions for one stream neither is used.
 */
void stream_origin_begin(struct stream_origin *o, uint64_t stream, const char *service,
			 const char *version, const char *upstream, int64_t now_ms);

/* Notes a record of another node, which is age_ms old. */
void stream_origin_learn(struct stream_origin *o, const struct stream_origin_record *record,
			 int64_t now_ms);

/* Returns the record of a stream; NULL: it is unknown. */
const struct stream_origin_record *stream_origin_find(const struct stream_origin *o,
						      uint64_t stream, int64_t now_ms);

/* Notes that a stream is complete: nobody resumes it, and no other node needs to be told. */
void stream_origin_complete(struct stream_origin *o, uint64_t stream);

/*
 * Notes that an upstream's entry has that version. Streams that began there just before at another
 * one, as the node thought, may have begun after a restart, and become uncertain. Returns whether
 * any did.
 */
bool stream_origin_note_restart(struct stream_origin *o, const char *upstream, const char *version,
				int64_t now_ms);

/* Returns whether another node was there to be told. */
typedef bool (*stream_origin_fn)(void *arg, const struct stream_origin_record *record);

/*
 * Calls fn for each record that other nodes have to be told now and haven't been: of streams that
 * began here while more than one version could be meant. always: also while only one can. A record
 * for which fn returns false is told later.
 */
void stream_origin_tell(struct stream_origin *o, bool always, stream_origin_fn fn, void *arg,
			int64_t now_ms);

/* Calls fn for all records, to hand them to other nodes when this one stops. */
void stream_origin_foreach(const struct stream_origin *o, stream_origin_fn fn, void *arg,
			   int64_t now_ms);

/* Deletes outdated records and versions. */
void stream_origin_expire(struct stream_origin *o, int64_t now_ms);

uint32_t stream_origin_count(const struct stream_origin *o);

/* A caller's request to resume a stream, while its origin version is looked for. */
struct stream_resumption {
	uint64_t stream;     /* 0: the caller doesn't name it */
	const char *service; /* borrowed */
	int64_t came_ms;     /* when the request came: the stream began before */
	int64_t asked_ms;    /* when other nodes were asked; 0: not yet */
	int64_t read_ms;     /* when the source was; 0: not yet */
	uint32_t asked;
	uint32_t answered;
	bool is_uncertain;   /* an asked node knows that the version is uncertain */
	bool is_vouched_for; /* an asked node has seen every version that may have begun it */
	bool has_several;    /* asked nodes have seen several versions */
	const char *version; /* one that asked nodes have seen lately; interned */
};

/* An asked node's answer. */
struct stream_origin_answer {
	const struct stream_origin_record *record; /* NULL: unknown there */
	char *const *versions;			   /* seen there lately */
	uint32_t n_versions;
	int64_t followed_ms; /* for which it has seen every version, up to its view; 0: unknown */
	int64_t view_age_ms;
};

/*
 * Returns for how long up to the view every version was seen, STREAM_ORIGIN_KEEP_MS at most; 0: the
 * view isn't fresh. After a first start, the time before it counts: no version began a stream then.
 */
int64_t stream_origin_followed_ms(const struct stream_origin *o, int64_t now_ms);

/*
 * Returns whether no version can be missing of those that may have begun a stream that callers
 * still resume, except those that have come since the view.
 */
bool stream_origin_is_following(const struct stream_origin *o, int64_t now_ms);

/* Writes up to capacity versions of the service that were seen lately; returns their number. */
uint32_t stream_origin_list_versions(const struct stream_origin *o, const char *service,
				     const char **versions, uint32_t capacity, int64_t now_ms);

/* Applies an answer; a record in it is learned. */
void stream_origin_apply_answer(struct stream_origin *o, struct stream_resumption *r,
				const struct stream_origin_answer *answer, int64_t now_ms);

enum stream_origin_verdict {
	STREAM_ORIGIN_GO_ON,	   /* at an upstream of the version */
	STREAM_ORIGIN_ASK,	   /* ask other nodes; without any, set asked_ms alone */
	STREAM_ORIGIN_READ,	   /* read the source and set read_ms */
	STREAM_ORIGIN_WAIT,	   /* for answers, until stream_origin_wait_until_ms() */
	STREAM_ORIGIN_UNKNOWN_YET, /* refuse: a node that didn't answer may know it */
	STREAM_ORIGIN_UNKNOWN,	   /* refuse: asking again doesn't help */
	STREAM_ORIGIN_NONE_LEFT,   /* refuse: no usable upstream of the version is left */
};

struct stream_origin_decision {
	enum stream_origin_verdict verdict;
	const char *version; /* interned; set for GO_ON and NONE_LEFT */
	enum stream_origin_source source;
	int64_t age_ms;	   /* of the record; -1: there is none */
	uint64_t upstream; /* where the stream last ran; 0: unknown */
};

/* Returns until when answers are waited for. */
int64_t stream_origin_wait_until_ms(const struct stream_resumption *r);

struct stream_origin_decision stream_origin_decide(const struct stream_origin *o,
						   const struct stream_resumption *r,
						   const struct view_state *v, int64_t now_ms);

/* Returns whether the view has a usable upstream of the service and version. */
bool stream_origin_has_upstream(const struct view_state *v, const char *service,
				const char *version);

#ifdef __cplusplus
}
#endif

#endif
