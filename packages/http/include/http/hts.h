/*
 * HTTP/1.1 server on a libuv loop. A request is handed over once its body has been read whole; a
 * caller that closes its connection while the answer is awaited is reported at once. All calls
 * belong to the loop's thread.
 */
#ifndef HTTP_HTS_H
#define HTTP_HTS_H

#include "base/err.h"
#include "http/hdr.h"

#include <uv.h>

struct hts;
struct hts_conn;

struct hts_request {
	char *method;
	char *target; /* path and query as they came */
	struct hdr_list headers;
	GByteArray *body;
	int64_t began_ms; /* its first byte was read */
	int64_t read_ms;  /* its last byte was read */
	void *user;	  /* the handler's */
	struct hts_conn *conn;
};

struct hts_handler {
	/* The request lives until it is answered in full, broken off or reported gone. */
	void (*on_request)(void *arg, struct hts_request *request);
	/* The caller has closed; no answer may be written any more. */
	void (*on_gone)(void *arg, struct hts_request *request);
	/* The queue towards the caller has run empty; may be NULL. */
	void (*on_drained)(void *arg, struct hts_request *request);
	void *arg;
};

struct hts_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_ms; /* for the head of a request, from its first byte */
	int64_t idle_timeout_ms;   /* of a connection between requests */
};

/* NULL with *error set. address is IPv4:port, port 0 lets the kernel choose. */
struct hts *hts_new(uv_loop_t *loop, const char *address, const struct hts_handler *handler,
		    const struct hts_limits *limits, GError **error);

/* Closes the listener and all connections. The loop has to run once more before it is closed. */
void hts_free(struct hts *s);

/* IPv4:port that is listened on; borrowed. */
const char *hts_address(const struct hts *s);

/* In force for the requests that begin from now on. */
void hts_set_limits(struct hts *s, const struct hts_limits *limits);

/* Closes connections that are over a time limit; to be called a few times a second. */
void hts_sweep(struct hts *s, int64_t now_ms);

/* Planned stop: answers say from now on that their connection closes. */
void hts_say_close(struct hts *s);

/* Closes idle connections, besides. */
void hts_drain(struct hts *s);

/* No new connection is taken from now on. */
void hts_stop_listening(struct hts *s);

/* Connections that are open; those with a request in progress. */
uint32_t hts_count(const struct hts *s);
uint32_t hts_count_busy(const struct hts *s);

/* A whole answer. headers may be NULL. */
void hts_answer(struct hts_request *request, int status, const struct hdr_list *headers,
		const void *body, size_t len);

#define HTS_LENGTH_UNKNOWN (-1)
/*
 * The answer ends with its connection, as that of the upstream did: framed any better, one that
 * was cut short by an orderly close would look whole.
 */
#define HTS_UNTIL_CLOSE (-2)

/* An answer in parts; length_bytes may be one of the two above. */
void hts_begin(struct hts_request *request, int status, const struct hdr_list *headers,
	       int64_t length_bytes);
void hts_write(struct hts_request *request, const void *data, size_t len);
void hts_finish(struct hts_request *request);

/* Ends an answer so that the caller can't take it for a whole one: closes the connection. */
void hts_break(struct hts_request *request);

/* Bytes written and not yet taken by the kernel. */
size_t hts_queued(const struct hts_request *request);

#endif
