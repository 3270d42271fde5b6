/*
 * Blocking HTTP client based on neon, with keep-alive sessions. Each connect and each read has a
 * timeout, rounded up to whole seconds because neon accepts no fractions.
 */
#ifndef BASE_FETCH_H
#define BASE_FETCH_H

#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FETCH_HEADERS_MAX 8

struct fetch_header {
	const char *name;
	const char *value;
};

/*
 * Called once, after connecting and before the first byte of the body is written; returning false
 * abandons the request. A server does not run a request whose body is incomplete, so an abandoned
 * request has not run. For a request without a body, the function is called before connecting.
 */
typedef bool (*fetch_may_send_fn)(void *arg);

struct fetch_response;

/* Called when status and headers are known; returning false fails the request with ERR_PROTOCOL. */
typedef bool (*fetch_head_fn)(void *arg, const struct fetch_response *response);

/* Called for each block of a 2xx response's body; returning false fails the request with ERR_IO. */
typedef bool (*fetch_block_fn)(void *arg, const char *data, size_t len);

struct fetch_request {
	const char *method;
	const char *address; /* host:port */
	const char *path;
	struct fetch_header headers[FETCH_HEADERS_MAX];
	uint32_t n_headers;
	const char *body; /* NULL: no body */
	size_t body_len;
	int64_t timeout_ms;
	bool idempotent;       /* false: neon uses a new connection and never resends the request */
	fetch_head_fn on_head; /* NULL: any status and headers are accepted */
	void *on_head_arg;
	fetch_block_fn on_block; /* NULL: the body is collected in the response */
	void *on_block_arg;
	fetch_may_send_fn may_send; /* NULL: the request is always sent */
	void *may_send_arg;
	size_t max_bytes;	     /* maximum size of a collected body; 0: unlimited */
	const char *want_headers[4]; /* names of response headers to keep */
};

struct fetch_response {
	int status;	  /* 0: no response arrived */
	bool sent;	  /* the whole request may have been written, so it may have run */
	GByteArray *body; /* collected body, owned */
	char *headers[4]; /* values of want_headers, NULL when absent; owned */
};

struct fetch_client;

/*
 * Returns a client that connects from the local IPv4 address source, or from any if it is NULL.
 * Free with fetch_client_free().
 */
struct fetch_client *fetch_client_new(const char *source);
void fetch_client_free(struct fetch_client *client);

/*
 * Performs a request. Returns true when a complete response arrived, with any status; otherwise
 * false with *error set (ERR_IO, ERR_PROTOCOL, ERR_UPSTREAM_TIMEOUT, ERR_TOO_LARGE). In both cases
 * response holds what was received; free it with fetch_response_clear().
 */
bool fetch_perform(struct fetch_client *client, const struct fetch_request *request,
		   struct fetch_response *response, GError **error);

void fetch_response_clear(struct fetch_response *response);

/* Splits host:port; returns false when text has another form. host has room for host_bytes. */
bool fetch_split_address(const char *text, char *host, size_t host_bytes, uint16_t *port);

#ifdef __cplusplus
}
#endif

#endif
