#include "fuzz_client.h"

#include "http/http_client.h"

#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define REPEATS_BITS 8	       /* up to 128 times */
#define PIECE_BITS 12	       /* pieces of 1 B to 2 KB */
#define TAKEN_BYTES_MAX 100000 /* of a body, after which the caller wants no more */
#define SPINS_MAX 200000       /* of the loop, for one call */

struct fuzz_call {
	bool is_ended;
	size_t n_taken;
	uint32_t n_heads;
};

/* The upstream's side of the connection. */
struct peer {
	uv_tcp_t tcp;
	uv_write_t write;
	const char *bytes;
	size_t len;
	size_t piece;
	size_t at;
	uint32_t repeats;
	bool has_request;
};

static uv_loop_t loop;
static uv_tcp_t listener;
static struct http_client_origin *origin;
static struct peer *peer; /* of the present call; NULL: not connected yet */
static struct peer next;  /* what it will send */

static void on_closed(uv_handle_t *handle)
{
	if (peer && handle == (uv_handle_t *)&peer->tcp)
		peer = NULL;
	g_free(handle->data);
}

static void close_peer(struct peer *p)
{
	if (!uv_is_closing((uv_handle_t *)&p->tcp))
		uv_close((uv_handle_t *)&p->tcp, on_closed);
}

static void send_piece(struct peer *p);

static void on_written(uv_write_t *write, int status)
{
	struct peer *p = write->data;

	if (status < 0)
		close_peer(p);
	else
		send_piece(p);
}

static void send_piece(struct peer *p)
{
	uv_buf_t buf;

	if (p->at == p->len) {
		p->at = 0;
		p->repeats--;
	}
	if (p->len == 0 || p->repeats == 0 || uv_is_closing((uv_handle_t *)&p->tcp)) {
		close_peer(p);
		return;
	}
	buf = uv_buf_init((char *)p->bytes + p->at, (unsigned)MIN(p->piece, p->len - p->at));
	p->at += buf.len;
	p->write.data = p;
	if (uv_write(&p->write, (uv_stream_t *)&p->tcp, &buf, 1, on_written) != 0)
		close_peer(p);
}

static void on_alloc(uv_handle_t *handle, size_t hint, uv_buf_t *buf)
{
	static char bytes[4096];

	(void)handle;
	(void)hint;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct peer *p = stream->data;

	(void)buf;
	if (n < 0) {
		close_peer(p);
	} else if (n > 0 && !p->has_request) {
		p->has_request = true;
		send_piece(p);
	}
}

static void on_accept(uv_stream_t *server, int status)
{
	struct peer *p = g_new0(struct peer, 1);

	*p = next;
	uv_tcp_init(&loop, &p->tcp);
	p->tcp.data = p;
	if (status < 0 || uv_accept(server, (uv_stream_t *)&p->tcp) != 0) {
		close_peer(p);
		return;
	}
	peer = p;
	uv_read_start((uv_stream_t *)&p->tcp, on_alloc, on_read);
}

static void start(void)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	int len = sizeof(at);
	char address[32];

	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&loop);
	uv_tcp_init(&loop, &listener);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (uv_tcp_bind(&listener, (struct sockaddr *)&at, 0) != 0 ||
	    uv_listen((uv_stream_t *)&listener, 8, on_accept) != 0 ||
	    uv_tcp_getsockname(&listener, (struct sockaddr *)&at, &len) != 0)
		abort();
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", ntohs(at.sin_port));
	origin = http_client_origin_new(&loop, address);
}

static bool on_head(void *arg, const struct http_client_head *head)
{
	struct fuzz_call *call = arg;

	if (call->is_ended || head->status < 100 || head->status > 999)
		abort();
	call->n_heads++;
	return head->status != 299; /* as of another request */
}

static bool on_data(void *arg, const void *data, size_t len)
{
	struct fuzz_call *call = arg;

	(void)data;
	if (call->is_ended || call->n_heads == 0)
		abort();
	call->n_taken += len;
	return call->n_taken <= TAKEN_BYTES_MAX;
}

static void on_end(void *arg, enum http_client_result end)
{
	struct fuzz_call *call = arg;

	if (call->is_ended || (end == HTTP_CLIENT_DONE && call->n_heads == 0))
		abort();
	call->is_ended = true;
}

void fuzz_client(const char *data, size_t len)
{
	static const struct http_client_ops ops = {
		.on_head = on_head, .on_data = on_data, .on_end = on_end};
	struct hdr_list headers = {0};
	struct fuzz_call call = {0};
	struct http_client_call *started;

	if (len < 2)
		return;
	if (!origin)
		start();
	next = (struct peer){
		.bytes = data + 2,
		.len = len - 2,
		.repeats = 1u << ((unsigned char)data[0] % REPEATS_BITS),
		.piece = (size_t)1 << ((unsigned char)data[1] % PIECE_BITS),
	};
	hdr_add(&headers, "Host", "h");
	started = http_client_start(origin,
				    &(struct http_client_request){
					    .method = "GET",
					    .target = "/",
					    .headers = &headers,
					    .once = true,
					    .connect_timeout_ms = 1000,
				    },
				    &ops, &call);
	if (!started)
		abort();
	for (uint32_t i = 0; (!call.is_ended || peer) && i < SPINS_MAX; i++) {
		if (call.is_ended && peer)
			close_peer(peer);
		uv_run(&loop, UV_RUN_ONCE);
	}
	if (!call.is_ended)
		abort();
	hdr_clear(&headers);
}
