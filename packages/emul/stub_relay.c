/* Passes the bytes of one connection on to another address, both ways, as they come. */
#include "stub_link.h"

#include "base/fetch.h"

#include <sys/socket.h>

#define READ_BYTES 16384
#define HOST_BYTES 64

struct relay_end {
	uv_tcp_t tcp;
	struct stub_relay *relay;
	char block[READ_BYTES];
	bool is_ended; /* the end of its stream was read */
	bool is_shut;  /* all bytes for it and the end of the other stream were sent */
};

struct stub_relay {
	struct relay_end ends[2]; /* of the node and of the upstream */
	uv_connect_t connect;
	const struct stub_relay_handler *handler;
	void *arg;
	GByteArray *kept; /* a response of the upstream that may be sent again */
	bool keeps;	  /* the response to the last request */
	uint32_t n_open;  /* ends that are not closed */
	bool is_connected;
	bool is_held;
	bool is_closing;
};

struct relay_write {
	uv_write_t write;
	char *bytes;
};

static struct relay_end *other(struct relay_end *end)
{
	return &end->relay->ends[end == &end->relay->ends[0]];
}

static void on_closed(uv_handle_t *handle)
{
	struct relay_end *end = handle->data;
	struct stub_relay *r = end->relay;

	if (--r->n_open > 0)
		return;
	r->handler->on_closed(r->arg, r);
	g_byte_array_unref(r->kept);
	g_free(r);
}

static void close_ends(struct stub_relay *r)
{
	if (r->is_closing)
		return;
	r->is_closing = true;
	for (size_t i = 0; i < G_N_ELEMENTS(r->ends); i++)
		uv_close((uv_handle_t *)&r->ends[i].tcp, on_closed);
}

void stub_relay_reset(struct stub_relay *r)
{
	const struct linger now = {.l_onoff = 1};
	uv_os_fd_t fd;

	/* uv_tcp_close_reset() refuses an end that is being shut down */
	for (size_t i = 0; i < G_N_ELEMENTS(r->ends) && !r->is_closing; i++) {
		if (uv_fileno((uv_handle_t *)&r->ends[i].tcp, &fd) == 0)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	}
	close_ends(r);
}

static void on_written(uv_write_t *write, int status)
{
	struct relay_write *w = write->data;
	struct relay_end *end = write->handle->data;

	if (status < 0)
		stub_relay_reset(end->relay);
	g_free(w->bytes);
	g_free(w);
}

static void forward(struct relay_end *to, const char *bytes, size_t len)
{
	struct relay_write *w = g_new0(struct relay_write, 1);
	uv_buf_t buf;

	w->write.data = w;
	w->bytes = g_memdup2(bytes, len);
	buf = uv_buf_init(w->bytes, (unsigned)len);
	if (uv_write(&w->write, (uv_stream_t *)&to->tcp, &buf, 1, on_written) == 0)
		return;
	stub_relay_reset(to->relay);
	g_free(w->bytes);
	g_free(w);
}

/* The status tells of an end that has been reset or closed meanwhile, which is done with, too. */
static void on_shut(uv_shutdown_t *shutdown, int status)
{
	struct relay_end *end = shutdown->handle->data;

	(void)status;
	end->is_shut = true;
	if (other(end)->is_shut)
		close_ends(end->relay);
	g_free(shutdown);
}

static void forward_end(struct relay_end *to)
{
	uv_shutdown_t *shutdown = g_new0(uv_shutdown_t, 1);

	if (uv_shutdown(shutdown, (uv_stream_t *)&to->tcp, on_shut) == 0)
		return;
	stub_relay_reset(to->relay);
	g_free(shutdown);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct relay_end *end = handle->data;

	(void)suggested;
	*buf = uv_buf_init(end->block, sizeof(end->block));
}

/* libuv reports the end of the stream, too, for a reset that comes with the last bytes. */
static bool is_orderly_end(const struct relay_end *from, ssize_t n)
{
	uv_os_fd_t fd;
	char byte;

	return n == UV_EOF && uv_fileno((const uv_handle_t *)&from->tcp, &fd) == 0 &&
	       recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Requests and responses alternate. */
static void note_bytes(struct relay_end *from, const char *bytes, size_t len)
{
	struct stub_relay *r = from->relay;
	enum stub_repeat repeat;

	if (from == &r->ends[1]) {
		if (r->keeps)
			g_byte_array_append(r->kept, (const guint8 *)bytes, (guint)len);
		return;
	}
	repeat = r->handler->on_request(r->arg, bytes, len);
	if (repeat == STUB_REPEAT_SEND && r->kept->len > 0)
		forward(from, (const char *)r->kept->data, r->kept->len);
	if (repeat != STUB_REPEAT_OTHER)
		g_byte_array_set_size(r->kept, 0);
	r->keeps = repeat != STUB_REPEAT_OTHER;
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct relay_end *from = stream->data;

	if (n > 0) {
		note_bytes(from, buf->base, (size_t)n);
		forward(other(from), buf->base, (size_t)n);
	} else if (is_orderly_end(from, n)) {
		uv_read_stop(stream);
		from->is_ended = true;
		forward_end(other(from));
	} else if (n < 0) {
		stub_relay_reset(from->relay);
	}
}

static void update_reads(struct stub_relay *r)
{
	if (r->is_closing || !r->is_connected)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(r->ends); i++) {
		uv_stream_t *stream = (uv_stream_t *)&r->ends[i].tcp;
		if (r->is_held)
			uv_read_stop(stream);
		else if (!r->ends[i].is_ended)
			uv_read_start(stream, on_alloc, on_read);
	}
}

void stub_relay_hold(struct stub_relay *r, bool is_held)
{
	r->is_held = is_held;
	update_reads(r);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct stub_relay *r = connect->data;

	if (status < 0) {
		stub_relay_reset(r);
		return;
	}
	r->is_connected = true;
	update_reads(r);
}

static void init_end(struct stub_relay *r, size_t i, uv_loop_t *loop)
{
	r->ends[i].relay = r;
	uv_tcp_init(loop, &r->ends[i].tcp);
	r->ends[i].tcp.data = &r->ends[i];
	r->n_open++;
}

struct stub_relay *stub_relay_open(uv_loop_t *loop, int fd, const char *target,
				   const struct stub_relay_handler *handler, void *arg)
{
	struct stub_relay *r = g_new0(struct stub_relay, 1);
	struct sockaddr_in at;
	char host[HOST_BYTES];
	uint16_t port = 0;

	r->kept = g_byte_array_new();
	r->handler = handler;
	r->arg = arg;
	for (size_t i = 0; i < G_N_ELEMENTS(r->ends); i++)
		init_end(r, i, loop);
	uv_tcp_open(&r->ends[0].tcp, fd);
	fetch_split_address(target, host, sizeof(host), &port);
	uv_ip4_addr(host, port, &at);
	r->connect.data = r;
	if (uv_tcp_connect(&r->connect, &r->ends[1].tcp, (const struct sockaddr *)&at,
			   on_connected) != 0)
		stub_relay_reset(r);
	uv_tcp_nodelay(&r->ends[0].tcp, 1);
	uv_tcp_nodelay(&r->ends[1].tcp, 1);
	return r;
}
