/*
 * HTTP/1.1 client on a libuv loop: calls to one origin over kept connections, one call at a time
 * on each. It repeats nothing by itself. All calls belong to the loop's thread.
 */
#ifndef HTTP_HTC_H
#define HTTP_HTC_H

#include "http/hdr.h"

#include <uv.h>

struct htc_origin;
struct htc_call;

enum htc_end {
	HTC_DONE,      /* the answer is whole */
	HTC_NOT_SENT,  /* no connection: not a byte of the request was written */
	HTC_BROKEN,    /* the connection ended before the answer was whole */
	HTC_MALFORMED, /* what came is no answer of the protocol */
};

struct htc_head {
	int status;
	struct hdr_list headers;
	int64_t length_bytes; /* -1: not announced */
	bool until_close;     /* neither length nor chunks: its end is that of the connection */
};

struct htc_ops {
	/*
	 * The head of an answer. False: it belongs to another request and is passed over; the
	 * call goes on to wait for its own.
	 */
	bool (*on_head)(void *arg, const struct htc_head *head);
	void (*on_data)(void *arg, const void *data, size_t len);
	/* The last callback of a call; the call is gone after it. */
	void (*on_end)(void *arg, enum htc_end end);
};

struct htc_request {
	const char *method;
	const char *target;
	const struct hdr_list *headers; /* Host among them */
	const void *body;		/* copied */
	size_t len;
	bool once; /* must not run twice: only a connection that was used just now is reused */
	int64_t connect_timeout_ms;
};

struct htc_origin *htc_origin_new(uv_loop_t *loop, const char *address);

/* Closes idle connections; calls under way go on, and their connections close after them. */
void htc_origin_free(struct htc_origin *o);

/* NULL when the address can't be used or no socket is to be had. on_end is never called by it. */
struct htc_call *htc_start(struct htc_origin *o, const struct htc_request *request,
			   const struct htc_ops *ops, void *arg);

/* Closes the connection of the call; no callback follows. */
void htc_cancel(struct htc_call *call);

/* Stops or resumes reading the answer, for a reader that lags. */
void htc_pause(struct htc_call *call, bool paused);

/* True once bytes of the request were given to the kernel on a connection that was established. */
bool htc_was_sent(const struct htc_call *call);

/* Closes connections idle for longer than allowed. */
void htc_sweep(struct htc_origin *o, int64_t now_ms);

/* Open connections, idle ones included, and connections opened since the start. */
uint32_t htc_count(const struct htc_origin *o);
uint64_t htc_opened(const struct htc_origin *o);

#endif
