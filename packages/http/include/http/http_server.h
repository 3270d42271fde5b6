/*
 * HTTP/1.1 server on a libuv loop. A request is handed over once its body has been read whole; a
 * caller that closes its connection while the answer is awaited is reported at once. All calls
 * belong to the loop's thread.
 */
#ifndef HTTP_HTTP_SERVER_H
#define HTTP_HTTP_SERVER_H

#include "base/err.h"
#include "http/hdr.h"

#include <uv.h>

struct http_server;
struct http_server_conn;

struct http_server_request {
	char *method;
	char *target; /* path and query as they came */
	struct hdr_list headers;
	GByteArray *body;
	int64_t began_ms; /* its first byte was read */
	int64_t read_ms;  /* its last byte was read */
	void *user;	  /* the handler's */
	struct http_server_conn *conn;
};

struct http_server_handler {
	/* The request lives until it is answered in full, broken off or reported gone. */
	void (*on_request)(void *arg, struct http_server_request *request);
	/* The caller has closed; no answer may be written any more. */
	void (*on_disconnect)(void *arg, struct http_server_request *request);
	/* The queue towards the caller has run empty; may be NULL. */
	void (*on_write_drained)(void *arg, struct http_server_request *request);
	void *arg;
};

struct http_server_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_ms; /* for the head of a request, from its first byte */
	int64_t idle_timeout_ms;   /* of a connection between requests */
};

/* NULL with *error set. address is IPv4:port, port 0 lets the kernel choose. */
struct http_server *http_server_new(uv_loop_t *loop, const char *address,
				    const struct http_server_handler *handler,
				    const struct http_server_limits *limits, GError **error);

/* Closes the listener and all connections. The loop has to run once more before it is closed. */
void http_server_free(struct http_server *s);

/* IPv4:port that is listened on; borrowed. */
const char *http_server_address(const struct http_server *s);

/* In force for the requests that begin from now on. */
void http_server_set_limits(struct http_server *s, const struct http_server_limits *limits);

/* Closes connections that are over a time limit; to be called a few times a second. */
void http_server_enforce_timeouts(struct http_server *s, int64_t now_ms);

/* Planned stop: answers say from now on that their connection closes. */
void http_server_announce_close(struct http_server *s);

/* Closes idle connections, besides. */
void http_server_drain(struct http_server *s);

/* No new connection is taken from now on. */
void http_server_stop_listening(struct http_server *s);

/* Connections that are open; those with a request in progress. */
uint32_t http_server_connections(const struct http_server *s);
uint32_t http_server_busy_connections(const struct http_server *s);

/* A whole answer. headers may be NULL. */
void http_server_respond(struct http_server_request *request, int status,
			 const struct hdr_list *headers, const void *body, size_t len);

#define HTTP_SERVER_LENGTH_UNKNOWN (-1)
/*
 * The answer ends with its connection, as that of the upstream did: framed any better, one that
 * was cut short by an orderly close would look whole.
 */
#define HTTP_SERVER_UNTIL_CLOSE (-2)

/* An answer in parts; length_bytes may be one of the two above. */
void http_server_begin(struct http_server_request *request, int status,
		       const struct hdr_list *headers, int64_t length_bytes);
void http_server_write(struct http_server_request *request, const void *data, size_t len);
void http_server_finish(struct http_server_request *request);

/* Ends an answer so that the caller can't take it for a whole one: closes the connection. */
void http_server_abort(struct http_server_request *request);

/* Bytes written and not yet taken by the kernel. */
size_t http_server_queued_bytes(const struct http_server_request *request);

#endif
