/*
 * HTTP/1.1 server on a libuv loop. A request is passed to the handler once its body has been read
 * completely. A caller that closes its connection while its response is pending is reported at
 * once. All functions must run on the loop's thread.
 */
#ifndef HTTP_HTTP_SERVER_H
#define HTTP_HTTP_SERVER_H

#include "base/err.h"
#include "http/hdr.h"
#include "http/http_budget.h"

#include <uv.h>

struct http_server;
struct http_server_conn;

struct http_server_request {
	char *method;
	char *target; /* path and query as received */
	struct hdr_list headers;
	GByteArray *body;
	int64_t began_ms; /* when the first byte was read */
	int64_t read_ms;  /* when the last byte was read */
	void *user;	  /* set and freed by the handler; the server does not use it */
	struct http_server_conn *conn;
};

/* Why a caller was refused by the server itself. */
enum http_server_reason {
	HTTP_SERVER_REFUSED_BUDGET,	 /* the memory budget is used up */
	HTTP_SERVER_REFUSED_CONNECTIONS, /* as many connections as the server may have */
	HTTP_SERVER_REFUSED_STALLED,	 /* the request didn't arrive in time */
	HTTP_SERVER_REFUSED_TOO_LARGE,	 /* the body exceeds its limit */
	HTTP_SERVER_REASONS
};

struct http_server_refusal {
	enum http_server_reason reason;
	int status;	    /* 0: the connection was closed without an answer */
	int64_t held_bytes; /* by the connection */
	int64_t age_ms;	    /* of the request, or of the connection if it has none */
};

struct http_server_handler {
	/*
	 * The request stays valid until it is answered in full, aborted or reported as
	 * disconnected.
	 */
	void (*on_request)(void *arg, struct http_server_request *request);
	/* The connection of a pending request has ended; nothing may be written to it any more. */
	void (*on_disconnect)(void *arg, struct http_server_request *request);
	/* All bytes written so far were passed to the kernel. The callback may be NULL. */
	void (*on_write_drained)(void *arg, struct http_server_request *request);
	/*
	 * A caller is refused before its request is passed on; it has not run. Fields may be added
	 * to the headers of the answer. The callback may be NULL.
	 */
	void (*on_refused)(void *arg, const struct http_server_refusal *refusal,
			   struct hdr_list *headers);
	void *arg;
};

struct http_server_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_ms; /* from the first byte of a request to the end of its head */
	/*
	 * Time without a request in progress, time within a body without any byte of it, time for a
	 * whole body beyond that for the head, and time in which a caller takes nothing of a
	 * response.
	 */
	int64_t idle_timeout_ms;
};

/* Returns NULL with *error set on failure. address is IPv4:port; port 0 lets the kernel choose. */
struct http_server *http_server_new(uv_loop_t *loop, const char *address,
				    const struct http_server_handler *handler,
				    const struct http_server_limits *limits, GError **error);

/* Closes the listener and all connections. Run the loop once more before closing the loop. */
void http_server_free(struct http_server *s);

/* Returns the IPv4:port of the listener, borrowed. */
const char *http_server_address(const struct http_server *s);

/* Replaces the limits, also for open connections; a request that has begun keeps its own. */
void http_server_set_limits(struct http_server *s, const struct http_server_limits *limits);

/* Has the server share a budget from now on; call before any connection is accepted. */
void http_server_set_budget(struct http_server *s, struct http_budget *budget);

/*
 * Bounds the open connections; 0: unbounded. Beyond it, those that never sent a complete request
 * are closed first, then those that have been idle for longest. One with a request in progress
 * stays.
 */
void http_server_set_max_connections(struct http_server *s, uint32_t max);

/* Closes connections that exceed a timeout; to be called a few times a second. */
void http_server_enforce_timeouts(struct http_server *s, int64_t now_ms);

/* From now on, each response carries "Connection: close" and its connection is closed after it. */
void http_server_announce_close(struct http_server *s);

/*
 * As http_server_announce_close(), and closes idle connections. One with unread input is read and
 * answered, a new one has a second for its first request: call again until none is left.
 */
void http_server_drain(struct http_server *s);

/* Accepts the connections that wait and closes the listener; open connections continue. */
void http_server_stop_listening(struct http_server *s);

uint32_t http_server_connections(const struct http_server *s);

/* Returns the number of connections with a request in progress. */
uint32_t http_server_busy_connections(const struct http_server *s);

/*
 * Returns the number of connections with a request that is being read, stands unread or, on a new
 * connection, is due.
 */
uint32_t http_server_arriving_connections(const struct http_server *s);

/* Answers 408 to each request that is being read, and closes its connection. */
void http_server_reject_arriving(struct http_server *s);

/* Busy and arriving connections, and those whose last response isn't written yet. */
uint32_t http_server_unfinished_connections(const struct http_server *s);

/* Sends a complete response. headers may be NULL. */
void http_server_respond(struct http_server_request *request, int status,
			 const struct hdr_list *headers, const void *body, size_t len);

#define HTTP_SERVER_LENGTH_UNKNOWN (-1)
/*
 * The response has neither a length nor chunks and ends when the connection closes. Its peer can't
 * tell its end from that of a process that was killed: for stand-ins of upstreams alone.
 */
#define HTTP_SERVER_UNTIL_CLOSE (-2)

/*
 * Sends a response in parts: begin writes the head, write a part of the body, finish ends it.
 * length_bytes is the length of the body or one of the two constants above.
 */
void http_server_begin(struct http_server_request *request, int status,
		       const struct hdr_list *headers, int64_t length_bytes);
void http_server_write(struct http_server_request *request, const void *data, size_t len);
void http_server_finish(struct http_server_request *request);

/* Closes the connection in such a way that the caller sees the response as incomplete. */
void http_server_abort(struct http_server_request *request);

/* Returns the number of bytes written but not yet passed to the kernel. */
size_t http_server_queued_bytes(const struct http_server_request *request);

#endif
