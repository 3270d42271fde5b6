/*
 * HTTP/1.1 client on a libuv loop: calls to one origin over kept connections, one call at a time
 * on each. It repeats nothing by itself. All calls belong to the loop's thread.
 */
#ifndef HTTP_HTTP_CLIENT_H
#define HTTP_HTTP_CLIENT_H

#include "http/hdr.h"

#include <uv.h>

struct http_client_origin;
struct http_client_call;

enum http_client_result {
	HTTP_CLIENT_DONE,      /* the answer is whole */
	HTTP_CLIENT_NOT_SENT,  /* no connection: not a byte of the request was written */
	HTTP_CLIENT_BROKEN,    /* the connection ended before the answer was whole */
	HTTP_CLIENT_MALFORMED, /* what came is no answer of the protocol */
};

struct http_client_head {
	int status;
	struct hdr_list headers;
	int64_t length_bytes; /* -1: not announced */
	bool until_close;     /* neither length nor chunks: its end is that of the connection */
};

struct http_client_ops {
	/*
	 * The head of an answer. False: it belongs to another request and is passed over; the
	 * call goes on to wait for its own.
	 */
	bool (*on_head)(void *arg, const struct http_client_head *head);
	void (*on_data)(void *arg, const void *data, size_t len);
	/* The last callback of a call; the call is gone after it. */
	void (*on_end)(void *arg, enum http_client_result end);
};

struct http_client_request {
	const char *method;
	const char *target;
	const struct hdr_list *headers; /* Host among them */
	const void *body;		/* copied */
	size_t len;
	bool once; /* must not run twice: only a connection that was used just now is reused */
	int64_t connect_timeout_ms;
};

struct http_client_origin *http_client_origin_new(uv_loop_t *loop, const char *address);

/* Closes idle connections; calls under way go on, and their connections close after them. */
void http_client_origin_free(struct http_client_origin *o);

/* NULL when the address can't be used or no socket is to be had. on_end is never called by it. */
struct http_client_call *http_client_start(struct http_client_origin *o,
					   const struct http_client_request *request,
					   const struct http_client_ops *ops, void *arg);

/* Closes the connection of the call; no callback follows. */
void http_client_cancel(struct http_client_call *call);

/* Stops or resumes reading the answer, for a reader that lags. */
void http_client_pause(struct http_client_call *call, bool paused);

/* True once bytes of the request were given to the kernel on a connection that was established. */
bool http_client_was_sent(const struct http_client_call *call);

/* Closes connections idle for longer than allowed. */
void http_client_close_idle(struct http_client_origin *o, int64_t now_ms);

/* Open connections, idle ones included, and connections opened since the start. */
uint32_t http_client_connections(const struct http_client_origin *o);
uint64_t http_client_connections_opened(const struct http_client_origin *o);

#endif
