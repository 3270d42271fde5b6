/*
 * The adapter: tables of functions that translate between the product's types and what a platform
 * speaks on its sockets. An adapter decides nothing and keeps no state. It is chosen in the
 * settings.
 */
#ifndef SERVE_ADAPTER_H
#define SERVE_ADAPTER_H

#include "http/hdr.h"
#include "model/pub.h"

#define ADAPTER_PROMPT_PARTS_MAX 16

/* A part of a prompt, as callers name it. */
struct adapter_prompt_part {
	uint64_t id;
	int64_t tokens;
};

/* What a caller's request says of itself. Absent texts are NULL, absent numbers 0. */
struct adapter_request {
	const char *attempt; /* id of the caller's attempt; all texts are borrowed */
	const char *host;
	const char *key;
	const char *model;
	int64_t deadline_ms; /* that the caller waits, from its sending */
	int64_t tokens_in;
	int64_t tokens_out_max;
	struct adapter_prompt_part parts[ADAPTER_PROMPT_PARTS_MAX];
	uint32_t n_parts;
	uint32_t pieces[PUB_STAGES_MAX]; /* of each stage */
	uint32_t n_pieces;
	const char *piece_key;
	int64_t last_event; /* the last that the caller holds; -1: it starts anew */
};

/* What the product adds to a request towards an upstream. */
struct adapter_forward {
	const char *upstream_id; /* another one refuses the request */
	const char *account;	 /* NULL: none */
	int64_t deadline_ms;
	int32_t urgency;	   /* 0..9, 0 first; -1: not stated */
	const char *const *inputs; /* handles of results, ends with NULL; NULL: none */
	int64_t last_event;	   /* resume behind this one; -1: from the start */
};

/* What an upstream's answer says of itself. */
struct adapter_answer {
	const char *attempt; /* NULL: not echoed; borrowed */
	bool not_run;	     /* it states that it did not run the request and won't */
	bool is_signed;	     /* it is the answer of an upstream's run */
	bool has_load;
	int32_t running;
	int32_t waiting;
	int32_t slots;
};

enum adapter_change_kind {
	ADAPTER_CHANGE_CONFIG,
	ADAPTER_CHANGE_UPSTREAM,
	ADAPTER_CHANGE_UPSTREAM_REMOVED,
	ADAPTER_CHANGE_DATA_CENTRE_OUT,	 /* a data centre is out of service */
	ADAPTER_CHANGE_DATA_CENTRE_BACK, /* it is in service again */
	ADAPTER_CHANGE_INVALID,		 /* an entry that can't be read; why says what is wrong */
	ADAPTER_CHANGE_IGNORED,
};

struct adapter_change {
	enum adapter_change_kind kind;
	int64_t revision;
	struct pub_doc *doc;
	struct pub_upstream *upstream;
	char *id; /* of an upstream that is gone or bad, or a data centre */
	char *why;
};

struct adapter_feed_reply {
	GArray *changes; /* struct adapter_change, in order */
	int64_t revision;
	bool more;
	char *last_key; /* of this page */
};

enum adapter_feed_result {
	ADAPTER_FEED_OK,
	ADAPTER_FEED_REFUSED,	   /* nothing was done; come back later */
	ADAPTER_FEED_HISTORY_LOST, /* the history asked for is no longer kept: read all anew */
	ADAPTER_FEED_MALFORMED,
};

/* Source of configuration and of upstreams. Targets are the caller's to free. */
struct adapter_feed_ops {
	char *(*read_target)(const char *after_key);
	char *(*watch_target)(int64_t after_revision, int64_t wait_ms);
	/* A configuration's text, as pub_doc.source holds it. NULL with *why set by the callee. */
	struct pub_doc *(*read_doc)(const char *text, size_t len, char **why);
	enum adapter_feed_result (*read_reply)(int status, const char *body, size_t len,
					       bool is_watch, struct adapter_feed_reply *reply);
};

/* A piece of a stage in a call. */
struct adapter_piece {
	const char *request; /* id of the caller's attempt */
	uint32_t stage;
	uint32_t index;
	int64_t left_ms;
	const char *key;	   /* of stages without predecessors */
	const char *const *inputs; /* of the others; ends with NULL */
};

enum adapter_piece_status {
	ADAPTER_PIECE_OK,
	ADAPTER_PIECE_LATE,
	ADAPTER_PIECE_INPUT_LOST,
	ADAPTER_PIECE_NO_ROOM,
	ADAPTER_PIECE_ERROR,
	ADAPTER_PIECE_STATUSES,
};

struct adapter_piece_result {
	enum adapter_piece_status fault;
	char *handle;
};

/* Towards upstreams. */
struct adapter_upstream_ops {
	void (*forward)(const struct hdr_list *in, const struct adapter_forward *forward,
			const char *address, struct hdr_list *out);
	void (*read_answer)(const struct hdr_list *in, struct adapter_answer *out);
	/* The fields of an answer that its caller gets. */
	void (*filter_response)(const struct hdr_list *in, struct hdr_list *out);
	const char *run_target;
	char *(*run_body)(const struct adapter_piece *pieces, uint32_t n);
	void (*run_headers)(const char *address, const char *upstream_id, struct hdr_list *out);
	/* Fills n results; false when the body is no answer to n pieces. */
	bool (*run_reply)(const char *body, size_t len, struct adapter_piece_result *results,
			  uint32_t n);
	const char *free_target;
	char *(*free_body)(const char *const *handles, uint32_t n);
	const char *media_type; /* of bodies */
};

/* What a caller that asks for addresses says. Caller frees with adapter_lookup_clear(). */
struct adapter_lookup {
	char *host;
	char *region;
	char *data_centre;
};

/* Towards callers. */
struct adapter_caller_ops {
	void (*parse_request)(const struct hdr_list *in, struct adapter_request *out);
	/* False when the target is no question for addresses. */
	bool (*read_lookup)(const char *target, struct adapter_lookup *out);
	char *(*lookup_body)(const char *const *addresses, uint32_t n, int64_t ttl_ms);
	bool (*is_ready_target)(const char *target);
	void (*retry_after)(int64_t wait_ms, struct hdr_list *out);
};

struct adapter_ops {
	const char *name; /* in the settings */
	const struct adapter_feed_ops *feed;
	const struct adapter_upstream_ops *upstream;
	const struct adapter_caller_ops *caller;
};

void adapter_change_clear(struct adapter_change *change);
void adapter_feed_reply_clear(struct adapter_feed_reply *reply);
void adapter_lookup_clear(struct adapter_lookup *lookup);

#endif
