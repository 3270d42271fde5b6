/* Connections of the server, shared by the files of the module. */
#ifndef HTTP_HTS_INT_H
#define HTTP_HTS_INT_H

#include "http/hts.h"

#include <http_parser.h>

#define HTS_READ_BYTES 16384
#define HTS_ADDRESS_BYTES 64

enum conn_state {
	CONN_IDLE,    /* no byte of a request yet */
	CONN_READING, /* a request is being read */
	CONN_BUSY,    /* a request was handed over and isn't answered yet */
	CONN_CLOSING, /* nothing more is read; waits for what is queued, then for the caller */
};

struct hts_conn {
	uv_tcp_t tcp;
	struct hts *server;
	struct hts_conn *prev;
	struct hts_conn *next;
	http_parser parser;
	enum conn_state state;
	struct hts_request *request;
	GString *field;
	GString *value;
	bool in_value;
	GString *target;
	size_t head_bytes;
	bool head_read;
	bool chunked; /* of the answer */
	bool begun;   /* the answer's head was written */
	bool keep;    /* the connection goes on after the answer */
	bool bodyless;
	bool until_close; /* the answer's end is the connection's */
	int64_t since_ms; /* of the state */
	GByteArray *ahead;
	uint32_t writes; /* queued in libuv */
	bool shut;
};

struct hts {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct hts_handler handler;
	struct hts_limits limits;
	struct hts_conn *conns;
	uint32_t n_conns;
	uint32_t n_busy;
	bool draining;
	bool listening;
	bool freed;
	bool listener_closed;
	char address[HTS_ADDRESS_BYTES];
	char *read_buffer;
};

/* hts_write.c */
void hts_set_state(struct hts_conn *c, enum conn_state state);
void hts_close_conn(struct hts_conn *c); /* tells the handler first when a request is in progress */
void hts_on_conn_closed(uv_handle_t *handle);
void hts_write_bytes(struct hts_conn *c, const char *data, size_t len);

/* hts_read.c */
void hts_parse(struct hts_conn *c, const char *data, size_t len);
void hts_refuse_reading(struct hts_conn *c, int status); /* and ends the connection */
void hts_on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf);
void hts_on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf);

/* hts.c: once it was freed, its last connection takes it along. */
void hts_maybe_free(struct hts *s);

#endif
