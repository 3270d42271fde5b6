/*
 * HTTP client calls through neon, with kept-alive sessions. Blocking; every read is bounded by a
 * timeout in whole seconds, the library's granularity.
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
 * Asked after the connection stands and before the first byte of the body is written; false gives
 * the call up. Without its whole body a request does not run, so nothing ran then.
 */
typedef bool (*fetch_may_send_fn)(void *arg);

struct fetch_response;

/* Called when status and headers are known; false ends the call with ERR_PROTOCOL. */
typedef bool (*fetch_head_fn)(void *arg, const struct fetch_response *answer);

/* Called for each block of the answer's body; false ends the call with ERR_IO. */
typedef bool (*fetch_block_fn)(void *arg, const char *data, size_t len);

struct fetch_request {
	const char *method;
	const char *address; /* host:port */
	const char *path;
	struct fetch_header headers[FETCH_HEADERS_MAX];
	uint32_t n_headers;
	const char *body; /* NULL: none */
	size_t body_len;
	int64_t timeout_ms;
	bool idempotent;       /* false: a fresh connection, and never sent again by the library */
	fetch_head_fn on_head; /* NULL: any head is taken */
	void *on_head_arg;
	fetch_block_fn on_block; /* NULL: the body is collected */
	void *on_block_arg;
	fetch_may_send_fn may_send; /* NULL: always */
	void *may_send_arg;
	size_t max_bytes;	     /* of a collected body; 0: no bound */
	const char *want_headers[4]; /* names of answer headers to keep */
};

struct fetch_response {
	int status;	  /* 0: no answer came */
	bool sent;	  /* the whole request may have been written: it may have run */
	GByteArray *body; /* collected body, owned */
	char *headers[4]; /* values of want_headers, NULL when absent; owned */
};

struct fetch_client;

/* source is the IPv4 address to connect from, NULL for any. The caller frees with
 * fetch_client_free(). */
struct fetch_client *fetch_client_new(const char *source);
void fetch_client_free(struct fetch_client *h);

/*
 * False with *error set (ERR_IO, ERR_UPSTREAM_TIMEOUT, ERR_TOO_LARGE) when no whole answer came.
 * The answer is filled as far as it came in both cases; free with fetch_response_clear().
 */
bool fetch_perform(struct fetch_client *h, const struct fetch_request *call,
		   struct fetch_response *answer, GError **error);

void fetch_response_clear(struct fetch_response *answer);

/* Splits host:port; false when text is neither. host has room for host_bytes. */
bool fetch_split_address(const char *text, char *host, size_t host_bytes, uint16_t *port);

#ifdef __cplusplus
}
#endif

#endif
