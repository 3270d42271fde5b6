/*
 * Adapter interface: tables of functions that translate between the node's types and a platform's
 * HTTP protocols. An adapter is stateless and makes no decisions; the settings select it by name.
 */
#ifndef SERVE_ADAPTER_H
#define SERVE_ADAPTER_H

#include "http/hdr.h"
#include "model/pub.h"

#define ADAPTER_PROMPT_PARTS_MAX 16
/* Largest id of a stream's event: whole numbers up to this are exact everywhere. */
#define ADAPTER_EVENT_ID_MAX 9007199254740992

/* A part of a prompt, with the id that the caller gave it and its length. */
struct adapter_prompt_part {
	uint64_t id;
	int64_t tokens;
};

/*
 * Metadata from the headers of a caller's request. Strings are borrowed from the header list.
 * Missing strings are NULL, missing numbers 0.
 */
struct adapter_request {
	const char *attempt; /* the caller's attempt id */
	const char *host;
	const char *key;
	const char *model;
	int64_t deadline_ms; /* time allowed for the request, from when the caller sent it */
	int64_t tokens_in;
	int64_t tokens_out_max;
	struct adapter_prompt_part parts[ADAPTER_PROMPT_PARTS_MAX];
	uint32_t n_parts;
	uint32_t pieces[PUB_STAGES_MAX]; /* number of pieces in each stage of the chain */
	uint32_t n_pieces;
	bool has_too_many_pieces; /* in a stage or in all; a count above its bound is cut */
	const char *piece_key;
	int64_t last_event; /* last event id received by the caller; -1: none */
	/* attempt that brought the first event of the stream that this one resumes */
	const char *resumes;
	const char *relayed_by; /* the node that relayed the request to this one */
};

/* Metadata set in a caller's request that is relayed to another node. */
struct adapter_relay {
	const char *vm;	     /* this node's; marks the request as relayed */
	int64_t deadline_ms; /* time left until the deadline */
};

/* Metadata added to a request that is forwarded to an upstream. */
struct adapter_forward {
	const char *upstream_id;   /* the upstream refuses the request if its own id differs */
	const char *account;	   /* NULL: none */
	int64_t deadline_ms;	   /* time left until the deadline */
	int32_t urgency;	   /* 0 (most urgent) to 9; -1: not sent */
	const char *const *inputs; /* handles of the chain's results, NULL-terminated; NULL: none */
	int64_t last_event;	   /* resume after this event id; -1: from the start */
};

/* A number that an upstream may add to its answers. */
enum adapter_advice {
	ADAPTER_ADVICE_NONE,
	ADAPTER_ADVICE_GIVEN,
	ADAPTER_ADVICE_MALFORMED,
};

/* Metadata from the headers of an upstream's answer. */
struct adapter_answer {
	const char *attempt; /* attempt id that the answer echoes, borrowed; NULL: none */
	bool not_run;	     /* the upstream guarantees that the request did not and will not run */
	bool is_signed;	     /* has the signature that upstreams add when they ran the request */
	bool has_load;	     /* the answer reports the load: running, waiting and slots are set */
	int32_t running;
	int32_t waiting;
	int32_t slots;
	enum adapter_advice pace; /* given: pace_pct is set; in answers that report the load */
	int32_t pace_pct;	  /* how long work takes there now; 100 as usual */
	enum adapter_advice retry_after; /* given: retry_after_ms is set */
	int64_t retry_after_ms;		 /* for which the upstream wants nothing from this node */
	enum adapter_advice leaving;	 /* given: the upstream is about to leave */
	enum adapter_advice limit;	 /* given: limit_per_s is set */
	double limit_per_s;	     /* requests a second that it accepts from all nodes together */
	enum adapter_advice brittle; /* given: brittle_per_s is set */
	double brittle_per_s; /* it crashes when it refuses more requests than this in a second */
};

enum adapter_change_kind {
	ADAPTER_CHANGE_CONFIG,
	ADAPTER_CHANGE_UPSTREAM,
	ADAPTER_CHANGE_UPSTREAM_REMOVED,
	ADAPTER_CHANGE_DATA_CENTRE_OUT,	 /* a data centre was taken out of service */
	ADAPTER_CHANGE_DATA_CENTRE_BACK, /* a data centre is back in service */
	ADAPTER_CHANGE_INVALID,		 /* an entry that can't be parsed; the reason is in why */
	ADAPTER_CHANGE_IGNORED,
};

struct adapter_change {
	enum adapter_change_kind kind;
	int64_t revision;
	struct pub_doc *doc;
	struct pub_upstream *upstream;
	char *id; /* of the removed upstream, the invalid entry or the data centre */
	char *why;
};

/* An answer of the source, as received. */
struct adapter_feed_answer {
	int status;
	const struct hdr_list *headers;
	const char *body;
	size_t len;
	bool is_watch; /* answers a watch, not a read */
};

struct adapter_feed_reply {
	GArray *changes; /* struct adapter_change, in order of revision */
	int64_t revision;
	int64_t epoch;	/* rises when the source is restored from a copy; 0: missing or malformed */
	bool more;	/* another page follows */
	char *last_key; /* last key of this page; the next page starts after it */
};

enum adapter_feed_result {
	ADAPTER_FEED_OK,
	ADAPTER_FEED_REFUSED,	   /* temporary refusal; retry later */
	ADAPTER_FEED_HISTORY_LOST, /* the requested revision was discarded; a full read is needed */
	ADAPTER_FEED_MALFORMED,
};

/* Calls to the source of configuration and upstreams. The caller frees the returned targets. */
struct adapter_feed_ops {
	char *(*read_target)(const char *after_key);
	char *(*watch_target)(int64_t after_revision, int64_t wait_ms);
	/*
	 * Parses the text in pub_doc.source. Returns NULL on a fault, with the reason in *why
	 * (caller frees) unless the text isn't JSON.
	 */
	struct pub_doc *(*read_doc)(const char *text, size_t len, char **why);
	/* Release the reply with adapter_feed_reply_clear(), whatever the result. */
	enum adapter_feed_result (*read_reply)(const struct adapter_feed_answer *answer,
					       struct adapter_feed_reply *reply);
};

/* One piece of a stage in a batch call to an upstream. */
struct adapter_piece {
	const char *attempt; /* the caller's attempt id */
	uint32_t stage;
	uint32_t index;
	int64_t left_ms;
	const char *key;	   /* the caller's piece key, for stages without predecessors */
	const char *const *inputs; /* handles of the piece's inputs, NULL-terminated; NULL: none */
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

/* Requests to upstreams. */
struct adapter_upstream_ops {
	void (*forward)(const struct hdr_list *in, const struct adapter_forward *forward,
			const char *address, struct hdr_list *out);
	void (*read_answer)(const struct hdr_list *in, struct adapter_answer *out);
	/* Copies those header fields of an upstream's answer that the caller may see. */
	void (*filter_response)(const struct hdr_list *in, struct hdr_list *out);
	const char *run_target;
	char *(*run_body)(const struct adapter_piece *pieces, uint32_t n);
	void (*run_headers)(const char *address, const char *upstream_id, struct hdr_list *out);
	/* Fills n results. Returns false if the body isn't a valid answer for n pieces. */
	bool (*run_reply)(const char *body, size_t len, struct adapter_piece_result *results,
			  uint32_t n);
	/* Returns whether the body is an answer for pieces, of whatever number. */
	bool (*is_run_reply)(const char *body, size_t len);
	const char *report_target; /* of the upstream's report on itself */
	/* Fills in the time of the upstream's start. Returns false if the body doesn't give it. */
	bool (*report_reply)(const char *body, size_t len, int64_t *born_ms);
	const char *free_target;
	char *(*free_body)(const char *const *handles, uint32_t n);
	const char *media_type; /* content type of the bodies from run_body and free_body */
};

/* Parameters of an address lookup. Release with adapter_lookup_clear(). */
struct adapter_lookup {
	char *host;
	char *region;
	char *data_centre;
};

/* Requests from callers. */
struct adapter_caller_ops {
	void (*parse_request)(const struct hdr_list *in, struct adapter_request *out);
	/* Returns false if the target isn't an address lookup. */
	bool (*read_lookup)(const char *target, struct adapter_lookup *out);
	char *(*lookup_body)(const char *const *addresses, uint32_t n, int64_t ttl_ms);
	bool (*is_ready_target)(const char *target);
	void (*retry_after)(int64_t wait_ms, struct hdr_list *out);
	/* Copies the end-to-end header fields of a caller's request for another node. */
	void (*relay)(const struct hdr_list *in, const struct adapter_relay *relay,
		      struct hdr_list *out);
};

struct adapter_ops {
	const char *name; /* value of the "adapter" setting */
	const struct adapter_feed_ops *feed;
	const struct adapter_upstream_ops *upstream;
	const struct adapter_caller_ops *caller;
};

void adapter_change_clear(struct adapter_change *change);
void adapter_feed_reply_clear(struct adapter_feed_reply *reply);
void adapter_lookup_clear(struct adapter_lookup *lookup);

#endif
