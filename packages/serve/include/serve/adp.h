/*
 * The adapter: tables of functions that translate between the product's types and what a platform
 * speaks on its sockets. An adapter decides nothing and keeps no state. It is chosen in the
 * settings.
 */
#ifndef SERVE_ADP_H
#define SERVE_ADP_H

#include "http/hdr.h"
#include "model/pub.h"

#define ADP_PARTS_MAX 16

/* A part of a prompt, as callers name it. */
struct adp_part {
	uint64_t id;
	int64_t tokens;
};

/* What a caller's request says of itself. Absent texts are NULL, absent numbers 0. */
struct adp_ask {
	const char *attempt; /* id of the caller's attempt; all texts are borrowed */
	const char *host;
	const char *key;
	const char *model;
	int64_t deadline_ms; /* that the caller waits, from its sending */
	int64_t tokens_in;
	int64_t tokens_out_max;
	struct adp_part parts[ADP_PARTS_MAX];
	uint32_t n_parts;
	uint32_t pieces[PUB_STAGES_MAX]; /* of each stage */
	uint32_t n_pieces;
	const char *piece_key;
	int64_t last_event; /* the last that the caller holds; -1: it starts anew */
};

/* What the product adds to a request towards an upstream. */
struct adp_forward {
	const char *upstream_id; /* another one refuses the request */
	const char *account;	 /* NULL: none */
	int64_t deadline_ms;
	int32_t urgency;	   /* 0..9, 0 first; -1: not stated */
	const char *const *inputs; /* handles of results, ends with NULL; NULL: none */
	int64_t last_event;	   /* resume behind this one; -1: from the start */
};

/* What an upstream's answer says of itself. */
struct adp_answer {
	const char *attempt; /* NULL: not echoed; borrowed */
	bool not_run;	     /* it states that it did not run the request and won't */
	bool is_signed;	     /* it is the answer of an upstream's run */
	bool has_load;
	int32_t running;
	int32_t waiting;
	int32_t slots;
};

enum adp_change_kind {
	ADP_CHANGE_DOC,
	ADP_CHANGE_UPSTREAM,
	ADP_CHANGE_UPSTREAM_GONE,
	ADP_CHANGE_OUT,	 /* a data centre is out of service */
	ADP_CHANGE_BACK, /* it is in service again */
	ADP_CHANGE_BAD,	 /* an entry that can't be read; why says what is wrong */
	ADP_CHANGE_OTHER,
};

struct adp_change {
	enum adp_change_kind kind;
	int64_t revision;
	struct pub_doc *doc;
	struct pub_upstream *upstream;
	char *id; /* of an upstream that is gone or bad, or a data centre */
	char *why;
};

struct adp_feed_reply {
	GArray *changes; /* struct adp_change, in order */
	int64_t revision;
	bool more;
	char *last_key; /* of this page */
};

enum adp_feed_result {
	ADP_FEED_OK,
	ADP_FEED_REFUSED, /* nothing was done; come back later */
	ADP_FEED_LOST,	  /* the history asked for is no longer kept: read all anew */
	ADP_FEED_MALFORMED,
};

/* Source of configuration and of upstreams. Targets are the caller's to free. */
struct adp_feed_ops {
	char *(*read_target)(const char *after_key);
	char *(*watch_target)(int64_t after_revision, int64_t wait_ms);
	/* A configuration's text, as pub_doc.source holds it. NULL with *why set by the callee. */
	struct pub_doc *(*read_doc)(const char *text, size_t len, char **why);
	enum adp_feed_result (*read_reply)(int status, const char *body, size_t len, bool is_watch,
					   struct adp_feed_reply *reply);
};

/* A piece of a stage in a call. */
struct adp_piece {
	const char *request; /* id of the caller's attempt */
	uint32_t stage;
	uint32_t index;
	int64_t left_ms;
	const char *key;	   /* of stages without predecessors */
	const char *const *inputs; /* of the others; ends with NULL */
};

enum adp_piece_fault {
	ADP_PIECE_OK,
	ADP_PIECE_LATE,
	ADP_PIECE_GONE,
	ADP_PIECE_ROOM,
	ADP_PIECE_ERROR,
	ADP_PIECE_FAULTS,
};

struct adp_result {
	enum adp_piece_fault fault;
	char *handle;
};

/* Towards upstreams. */
struct adp_upstream_ops {
	void (*forward)(const struct hdr_list *in, const struct adp_forward *forward,
			const char *address, struct hdr_list *out);
	void (*read_answer)(const struct hdr_list *in, struct adp_answer *out);
	/* The fields of an answer that its caller gets. */
	void (*backward)(const struct hdr_list *in, struct hdr_list *out);
	const char *run_target;
	char *(*run_body)(const struct adp_piece *pieces, uint32_t n);
	void (*run_headers)(const char *address, const char *upstream_id, struct hdr_list *out);
	/* Fills n results; false when the body is no answer to n pieces. */
	bool (*run_reply)(const char *body, size_t len, struct adp_result *results, uint32_t n);
	const char *free_target;
	char *(*free_body)(const char *const *handles, uint32_t n);
	const char *media_type; /* of bodies */
};

/* What a caller that asks for addresses says. Caller frees with adp_lookup_clear(). */
struct adp_lookup {
	char *host;
	char *region;
	char *data_centre;
};

/* Towards callers. */
struct adp_caller_ops {
	void (*read_ask)(const struct hdr_list *in, struct adp_ask *out);
	/* False when the target is no question for addresses. */
	bool (*read_lookup)(const char *target, struct adp_lookup *out);
	char *(*lookup_body)(const char *const *addresses, uint32_t n, int64_t ttl_ms);
	bool (*is_ready_target)(const char *target);
	void (*retry_after)(int64_t wait_ms, struct hdr_list *out);
};

struct adp_ops {
	const char *name; /* in the settings */
	const struct adp_feed_ops *feed;
	const struct adp_upstream_ops *upstream;
	const struct adp_caller_ops *caller;
};

void adp_change_clear(struct adp_change *change);
void adp_feed_reply_clear(struct adp_feed_reply *reply);
void adp_lookup_clear(struct adp_lookup *lookup);

#endif
