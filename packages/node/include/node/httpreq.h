/*
 * A caller's request: its body, its connection and the output of its attempts. Lock order: the
 * node's decision lock is never taken while a request's lock is held.
 */
#ifndef NODE_HTTPREQ_H
#define NODE_HTTPREQ_H

#include "base/err.h"
#include "decide/core.h"

#include <microhttpd.h>
#include <pthread.h>

/* One attempt of a stage, owned by its request. */
struct httpreq_attempt {
	uint32_t stage;
	uint32_t attempt;
	bool ended;
	GByteArray *out; /* bytes not yet consumed by the caller or the next stage */
};

enum httpreq_state {
	HTTPREQ_READING,   /* the body is being received */
	HTTPREQ_RUNNING,   /* submitted to the decision core */
	HTTPREQ_STREAMING, /* the answer's head is sent; body bytes follow */
	HTTPREQ_DONE,	   /* the answer is final */
};

struct httpreq {
	gint refs;
	uint64_t id;
	char text_id[BB_NAME_BYTES * 2];
	uint32_t first_attempt; /* added to attempt numbers that are sent to upstreams */
	pthread_mutex_t lock;	/* guards all fields below */
	pthread_cond_t changed; /* signalled on new input, freed stream buffer, disconnect or end */
	struct MHD_Connection *conn; /* NULL for a request of another node or after a disconnect */
	bool suspended;
	bool disconnected;
	bool accepts_interim; /* HTTP/1.1 caller: interim responses are allowed */
	enum httpreq_state state;
	bool answered; /* a response has been queued for the connection */
	GByteArray *body;
	bool too_large;	    /* the body exceeds its limit */
	bool shed;	    /* the body was dropped to make room for others */
	int64_t began_ms;   /* when the head was read */
	int64_t refused_ms; /* when the body became one to refuse; 0: it is not */
	GBytes *input;	    /* input of the stage input_stage */
	uint32_t input_stage;
	bool finished;			  /* ended by the decision core */
	GPtrArray *attempts;		  /* struct httpreq_attempt */
	struct httpreq_attempt *streamed; /* attempt streamed to the caller; borrowed */
	bool stream_end;		  /* the streamed answer is complete */
	bool stream_cut;		  /* the stream failed: no final chunk may be sent */
	int code;			  /* enum err_code of the answer */
	enum err_outcome outcome;
	int64_t retry_after_ms;
	GBytes *answer;
	char ticket[TICKET_TEXT_BYTES]; /* replacement ticket sent with a refusal, "" for none */
	char given_ticket[TICKET_TEXT_BYTES]; /* ticket that the request carries, "" for none */
	char *target;			      /* request path; owned */
	char *account;			      /* account name; owned */
	const gint *draining; /* atomic; if not 0, the connection is closed after the answer */
	/* Called once when the answer of a request without a connection is final. */
	void (*on_done)(struct httpreq *httpreq, void *arg);
	void *on_done_arg;
};

/* Returns a request with one reference; its text_id consists of all three arguments. */
struct httpreq *httpreq_new(uint64_t id, const char *vm, uint64_t incarnation);
struct httpreq *httpreq_ref(struct httpreq *httpreq);
void httpreq_unref(struct httpreq *httpreq);

/* Sets a stage's input and wakes the threads that wait for it. */
void httpreq_set_input(struct httpreq *httpreq, uint32_t stage, GBytes *input);

/*
 * Waits for a stage's input and returns a reference to it, which the caller drops. If the request
 * ends first, returns the latest input, which may be an earlier stage's. Call without the lock.
 */
GBytes *httpreq_wait_input(struct httpreq *httpreq, uint32_t stage);

/* Marks the request as ended and releases every thread that waits for input. */
void httpreq_set_ended(struct httpreq *httpreq);

/* Streams this attempt to the caller from now on, after the unsent bytes of the previous one. */
void httpreq_resume_stream(struct httpreq *httpreq, uint32_t stage, uint32_t attempt);

/* Resumes the connection if it is suspended. Call with the lock held. */
void httpreq_wake(struct httpreq *httpreq);

/* Returns the attempt's record, created on first use; borrowed. Call with the lock held. */
struct httpreq_attempt *httpreq_attempt(struct httpreq *httpreq, uint32_t stage, uint32_t attempt);

#endif
