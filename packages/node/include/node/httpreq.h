/*
 * A caller's request as the node holds it: its bytes, its place in the listener and what the
 * workers made for it. Lock order: the node's decision lock is never taken while hrq->lock is
 * held.
 */
#ifndef NODE_HTTPREQ_H
#define NODE_HTTPREQ_H

#include "base/err.h"
#include "decide/dec.h"

#include <microhttpd.h>
#include <pthread.h>

/* A worker's attempt of a stage; belongs to its request. */
struct httpreq_attempt {
	uint32_t stage;
	uint32_t attempt;
	bool ended;
	GByteArray *out; /* bytes not yet taken by the caller or the next stage */
};

enum httpreq_state {
	HTTPREQ_READING,   /* body still comes in */
	HTTPREQ_RUNNING,   /* the decisions have it */
	HTTPREQ_STREAMING, /* the answer's head is out, bytes follow */
	HTTPREQ_DONE,	   /* the answer is known */
};

struct httpreq {
	gint refs;
	uint64_t id;
	char text_id[BB_NAME_BYTES * 2];
	uint32_t first_attempt;	     /* number that upstreams are told of the first attempt */
	pthread_mutex_t lock;	     /* guards all below */
	pthread_cond_t room;	     /* the caller took bytes of a stream, or is gone */
	struct MHD_Connection *conn; /* NULL: nobody waits (a forwarded request) */
	bool suspended;
	bool gone;	    /* the caller went away */
	bool takes_interim; /* HTTP/1.1: interim responses may come before the answer */
	enum httpreq_state state;
	bool answered; /* the response was queued */
	GByteArray *body;
	bool too_large;
	GBytes *input; /* of stage input_stage */
	uint32_t input_stage;
	bool over;			  /* the decisions have ended it */
	GPtrArray *attempts;		  /* struct httpreq_attempt */
	struct httpreq_attempt *streamed; /* the attempt passed on; borrowed */
	bool stream_end;		  /* whole */
	bool stream_cut;		  /* failed: the terminator must be missing */
	int code;
	enum err_outcome outcome;
	int64_t retry_after_ms;
	GBytes *answer;
	char ticket[TKT_TEXT_BYTES]; /* fresh one, for an answer that costs its caller one; or "" */
	char given_ticket[TKT_TEXT_BYTES]; /* the one the request carries, "" for none */
	char *target;			   /* path as the caller gave it; owned */
	char *account;			   /* name; owned */
	const gint *draining;		   /* atomic: the connection is closed after the answer */
	/* Called once when the answer is known, for a request without a connection. */
	void (*on_done)(struct httpreq *httpreq, void *arg);
	void *on_done_arg;
};

struct httpreq *httpreq_new(uint64_t id, const char *vm, uint64_t incarnation);
struct httpreq *httpreq_ref(struct httpreq *httpreq);
void httpreq_unref(struct httpreq *httpreq);

/* Makes a stage's input known; commands of other threads may have asked for it already. */
void httpreq_set_input(struct httpreq *httpreq, uint32_t stage, GBytes *input);

/* Input of a stage; waits for it. The caller unrefs. Call without the lock. */
GBytes *httpreq_wait_input(struct httpreq *httpreq, uint32_t stage);

/* The request is over: nobody needs to wait. */
void httpreq_set_ended(struct httpreq *httpreq);

/* Passes the bytes of this attempt on, after what is left of the one before. */
void httpreq_resume_stream(struct httpreq *httpreq, uint32_t stage, uint32_t attempt);

/* Resumes the connection when it waits. Call with the lock held. */
void httpreq_wake(struct httpreq *httpreq);

/* The attempt's record, made on first use. Call with the lock held; borrowed. */
struct httpreq_attempt *httpreq_attempt(struct httpreq *httpreq, uint32_t stage, uint32_t attempt);

#endif
