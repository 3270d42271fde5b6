/* Internal state of the HTTP client, shared by the files of the module. */
#ifndef HTTP_HTTP_CLIENT_INTERNAL_H
#define HTTP_HTTP_CLIENT_INTERNAL_H

#include "http/http_client.h"

#include <http_parser.h>

/* Longest idle time of a connection, unless the origin announces a shorter one. */
#define HTTP_CLIENT_IDLE_MS 4000

enum conn_state { CONN_CONNECTING, CONN_IDLE, CONN_BUSY, CONN_CLOSING };

struct http_client_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_write_t write;
	struct http_client_origin *origin;
	struct http_client_conn *next;
	struct http_client_conn *prev;
	enum conn_state state;
	struct http_client_call *call;
	http_parser parser;
	struct http_client_head head;
	GString *field;
	GString *value;
	bool in_value;
	GByteArray *block; /* of the body: what was parsed and not passed on yet */
	bool skipping;	   /* the response being read is interim or belongs to another request */
	bool writing;
	bool barred; /* to calls with once */
	void *data;  /* of its users */
	GDestroyNotify destroy_data;
	uint32_t n_responses; /* to the call in progress, skipped ones included */
	size_t skipped_bytes; /* of their bodies */
	int64_t opened_ms;
	int64_t idle_since_ms;
	int64_t keep_ms;
};

struct http_client_call {
	struct http_client_conn *conn;
	struct http_client_ops ops;
	void *arg;
	GString *request_bytes; /* the serialised request */
	uv_timer_t connect_timer;
	bool timer_open;
	bool sent;
	bool bodyless; /* HEAD request: the response has no body, even if it announces a length */
};

struct http_client_origin {
	uv_loop_t *loop;
	struct sockaddr_in at;
	struct http_client_conn *conns;
	uint32_t n_conns;
	uint64_t opened;
	bool freed;
	void (*watch)(void *arg, enum http_client_event event);
	void *watch_arg;
};

/* http_client.c */
void http_client_close_conn(struct http_client_conn *c);
/* Ends the call of a connection, whose state must already be CONN_CLOSING or CONN_IDLE. */
void http_client_end_call(struct http_client_conn *c, enum http_client_result end);
/* Closes a failed connection. Its call ends with HTTP_CLIENT_NOT_SENT if it wasn't sent. */
void http_client_fail_conn(struct http_client_conn *c, enum http_client_result end);

/* http_client_read.c */
void http_client_on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf);
void http_client_on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

#endif
