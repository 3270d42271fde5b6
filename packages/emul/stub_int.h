#ifndef EMUL_STUB_INT_H
#define EMUL_STUB_INT_H

#include "emul/stub.h"
#include "http/http_server.h"

#include <jansson.h>
#include <pthread.h>

struct stub_link;

/* A pending watch request. */
struct stub_watch {
	struct http_server_request *request;
	struct stub_link *link; /* that it came by; NULL: none */
	int64_t after;		/* waits for a revision above this one */
	int64_t began_ms;
	int64_t until_ms; /* end of the wait */
};

struct stub_engine {
	struct stub *s;
	char *id;	/* as added */
	char *instance; /* id of the current start, as published */
	char *address;	/* NULL until the engine has listened for the first time */
	char *service;
	char *zone;
	const char *version; /* of its software; interned */
	int64_t born_ms;     /* when it last started, as its entry says */
	int64_t down_until_ms;
	int64_t silent_until_ms;
	struct stub_engine_options options;
	struct http_server *listener;	 /* NULL: the engine is down */
	struct stub_engine *predecessor; /* engine whose address it takes; NULL: none */
	struct stub_engine *successor;	 /* engine that has its address now; NULL: none */
	bool is_starting;		 /* the loop has yet to start it */
	uint32_t n_crashes;
	int64_t crash_at_ms; /* 0: none is due */
	int64_t back_at_ms;  /* end of the time after a crash; 0: the engine is up */
	enum stub_fault fault;
	enum stub_report report;
	GHashTable *runs;    /* attempt id -> number of runs */
	GHashTable *results; /* handles of the stored results */
	GHashTable *open;    /* request in progress -> struct stub_run */
	struct stub_stats stats;
	GArray *arrivals; /* int64_t; times of all requests that were for it */
	struct stub_advice advice;
	GArray *refusals;   /* int64_t; times of those for want of room */
	int64_t advised_ms; /* when an answer first carried it; 0: none has */
	uint32_t next_result;
	int64_t busy_until_ms; /* end of the last batch accepted; pool engines only */
};

struct stub {
	pthread_mutex_t lock; /* guards the fields below, except the loop and its handles */
	pthread_t thread;
	uv_loop_t loop;
	uv_async_t wake;
	uv_timer_t tick;
	struct http_server *store;
	GPtrArray *links; /* struct stub_link */
	GPtrArray *calls; /* struct stub_call, which the loop has yet to run */
	GArray *log;	  /* struct stub_item; the index is the revision less 1 */
	GArray *lost;	  /* struct stub_item; lost by the last return and not yet rewritten */
	int64_t rewrite_at_ms;
	int64_t restored_revision; /* newest revision of the copy that the store returned from */
	int64_t epoch;
	enum stub_epoch_header epoch_header;
	GPtrArray *watches;  /* struct stub_watch */
	GHashTable *engines; /* id -> struct stub_engine */
	GHashTable *makers;  /* handle of each result ever made -> attempt it was made for */
	GPtrArray *starting; /* engines that the loop has yet to start */
	enum stub_store_fault store_fault;
	int64_t cut_after_ms;	    /* of watches that wait; 0: none is cut */
	int64_t compacted_revision; /* newest revision when STUB_STORE_COMPACTED was last set */
	uint64_t sequence;
	uint64_t crash_part; /* 0: none */
	char *crash_target;  /* path and query; NULL: none */
	GArray *target_runs; /* int64_t; times of its runs */
	int64_t down_ms;     /* time that an engine is down after a crash */
	GArray *crashes;     /* int64_t; times of all crashes */
	GArray *lapses;	     /* struct stub_lapse; entries of crashed engines, in order of time */
	GHashTable *parts;   /* prompt part -> GArray of int64_t, times of its runs */
	uint32_t answers;    /* streams begun while a crash part was set */
	const char *repeat_target; /* of requests whose responses are repeated; NULL: none */
	uint32_t repeat_per;
	uint32_t n_repeatable; /* such requests so far */
	bool stopping;
};

/* The entry of a start that has crashed. It lapses unless it has been written again by then. */
struct stub_lapse {
	struct stub_engine *engine;
	char *instance;
	int64_t born_ms;
	int64_t at_ms;
};

struct stub_item {
	char *key;
	char *value; /* NULL if the key was deleted */
	int64_t revision;
	int64_t written_ms;
};

/* stub_store.c */
/*
 * Opens a listener for the nodes of a link (NULL: for those without one). Returns NULL with *error
 * set on failure.
 */
struct http_server *stub_store_listen(struct stub *s, struct stub_link *link, GError **error);
void stub_store_tick(struct stub *s, int64_t now_ms);
/* As stub_put(), for callers that hold the lock. */
void stub_store_write(struct stub *s, const char *key, const char *value);

/* stub.c: as stub_publish(), for callers that hold the lock. */
void stub_engine_publish(struct stub_engine *e, const char *state);

/*
 * stub_engine.c: starts an engine, or starts it again; either breaks off what ran at its address.
 * listener stays NULL if it can't listen at its former address yet.
 */
void stub_engine_start(struct stub_engine *e);
/* Closes the listener, resets all answers and closes all connections. */
void stub_engine_stop(struct stub_engine *e);

/* stub_crash.c */
void stub_crash_init(struct stub *s);
void stub_crash_tick(struct stub *s, int64_t now_ms);
/* An engine begins to run a request. Returns whether it crashes before it answers. */
bool stub_crash_note_run(struct stub_engine *e, const struct http_server_request *request);
/* A stream engine begins an answer. Returns the length to begin it with. */
int64_t stub_crash_note_answer(struct stub_engine *e, const struct http_server_request *request);

/* The engine has refused a request for want of room: a brittle one may crash. */
void stub_crash_note_refusal(struct stub_engine *e);

/* stub_advice.c: adds the engine's advice to the header fields of an answer. */
void stub_put_advice(struct stub_engine *e, int status, struct hdr_list *headers);

/* stub_version.c */
/* Returns whether the request is for the engine's report, which takes no slot. */
bool stub_answer_report(struct stub_engine *e, struct http_server_request *request);
const char *stub_version_of(const struct stub_engine_options *options);
int64_t stub_next_born_ms(const struct stub_engine *e);

/*
 * stub_link.c: returns the entry of an upstream as nodes of the link see it, with the address of
 * the link's own port. The caller frees it with free().
 */
char *stub_link_entry(struct stub_link *link, const char *text);
bool stub_link_store_hangs(const struct stub_link *link);

/* stub.c: runs fn on the loop's thread with the lock held, and waits until it has run. */
void stub_call(struct stub *s, void (*fn)(struct stub *s, void *arg), void *arg);

/* stub.c: has the loop start an engine, and waits until it has. */
void stub_start(struct stub *s, struct stub_engine *e);

/* Answers with a JSON body and the given header fields (NULL: none). */
void stub_answer_json(struct http_server_request *request, int status,
		      const struct hdr_list *fields, json_t *root);

#endif
