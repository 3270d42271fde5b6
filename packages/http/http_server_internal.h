/* Internal state of the HTTP server, shared by the files of the module. */
#ifndef HTTP_HTTP_SERVER_INTERNAL_H
#define HTTP_HTTP_SERVER_INTERNAL_H

#include "base/blocks.h"
#include "http/http_server.h"

#include <http_parser.h>

#define HTTP_SERVER_READ_BYTES 16384
#define HTTP_SERVER_ADDRESS_BYTES 64
enum conn_state {
	CONN_IDLE,    /* waiting for the first byte of a request */
	CONN_READING, /* a request is being read */
	CONN_BUSY,    /* the handler has a request that it has not answered yet */
	CONN_CLOSING, /* input is discarded until all is written and the caller closes */
};

struct http_budget {
	int64_t max_bytes;
	int64_t used_bytes;
	GQueue reading; /* connections whose request is incomplete, longest first */
};

struct http_server_conn {
	uv_tcp_t tcp;
	struct http_server *server;
	uint64_t number; /* in the order of acceptance */
	struct http_server_conn *prev;
	struct http_server_conn *next;
	http_parser parser;
	enum conn_state state;
	struct http_server_request *request;
	struct http_server_limits limits; /* those in force as the request began */
	GString *field;
	GString *value;
	bool in_value;
	GString *target;
	struct blocks body; /* of an incomplete request */
	size_t head_bytes;
	int64_t head_held_bytes; /* memory of the fields and the target that were read */
	int64_t held_bytes;	 /* counted in the budget */
	GList reading_link;	 /* in the budget's list */
	bool in_reading;
	bool is_complete;		/* a whole request has been read on it */
	bool is_parsing;		/* bytes that were read ahead are being parsed */
	int status;			/* of the refusal that ended the parser; 0: none */
	enum http_server_reason reason; /* of it */
	int64_t progress_ms;		/* when the last bytes of the body were read */
	bool head_read;
	bool is_used; /* a request has begun on it */
	bool chunked; /* the response is chunked */
	bool begun;   /* the head of the response was written */
	bool keep;    /* the connection stays open after the response */
	bool bodyless;
	bool until_close; /* the body has no length or chunks and ends when the connection closes */
	int64_t since_ms; /* of the state; idle or closing: of the last change of unsent */
	size_t unsent;	  /* bytes that the caller hadn't taken at the last sweep */
	GByteArray *read_ahead;	 /* bytes received beyond the request in progress */
	size_t ahead_used;	 /* of those, parsed */
	bool is_read_paused;	 /* until the request in progress is answered */
	bool is_wide;		 /* has the receive buffer of a request in progress */
	uint32_t pending_writes; /* writes queued in libuv and not completed */
	bool write_closed;
};

struct http_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct http_server_handler handler;
	struct http_server_limits limits;
	struct http_budget *budget; /* NULL: none */
	uint32_t max_conns;	    /* 0: unbounded */
	struct http_server_conn *conns;
	uint32_t n_conns;
	uint64_t n_accepted;
	uint32_t n_busy;
	bool draining;
	bool listening;
	bool freed;
	bool listener_closed;
	char address[HTTP_SERVER_ADDRESS_BYTES];
	char *read_buffer;
};

/* http_server_write.c */
void http_server_set_state(struct http_server_conn *c, enum conn_state state);
/* Closes the connection; calls on_disconnect first if a request is in progress. */
void http_server_close_conn(struct http_server_conn *c);
void http_server_on_conn_closed(uv_handle_t *handle);
void http_server_write_bytes(struct http_server_conn *c, const char *data, size_t len);

/* http_budget.c */
/* Counts what the connection holds now. */
void http_server_note_held(struct http_server_conn *c);
void http_server_note_freed(struct http_server_conn *c);
/* Notes whether the connection has an incomplete request. */
void http_server_note_request(struct http_server_conn *c, bool is_reading);
/*
 * Returns whether the connection may hold more_bytes more. Refuses others whose requests have been
 * incomplete for longer to make room.
 */
bool http_server_fits(struct http_server_conn *c, int64_t more_bytes);

/* http_server_evict.c */
/* Closes a connection if there are more than allowed. */
void http_server_evict(struct http_server *s);
/* Whether requests in progress hold half of the connections. */
bool http_server_is_busy(const struct http_server *s);
/* Whether so many requests are in progress that a further one would leave no connection to close.
 */
bool http_server_is_crowded(const struct http_server *s);

/* http_server_read.c */
/* Parses the bytes that were read ahead, unless a request is in progress or an answer unsent. */
void http_server_parse_ahead(struct http_server_conn *c);
/*
 * Gives the connection the receive buffer of a request in progress, when more of that or bytes
 * behind it are to come, or of a connection without a request.
 */
void http_server_set_wide(struct http_server_conn *c, bool is_wide);
/* Goes on reading unless the response in progress still has to be waited for. */
void http_server_resume_reading(struct http_server_conn *c);
/* Sends a response with the given status and no body, then closes the connection. */
void http_server_reject(struct http_server_conn *c, int status);
/* The same for a reason of the server's own; the handler is told and may add header fields. */
void http_server_refuse(struct http_server_conn *c, enum http_server_reason reason, int status);
/* Returns whether bytes have arrived that weren't read yet. */
bool http_server_has_input(const struct http_server_conn *c);
void http_server_on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf);
void http_server_on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

/* http_server.c: releases a server passed to http_server_free() once all its handles are closed. */
void http_server_maybe_free(struct http_server *s);

#endif
