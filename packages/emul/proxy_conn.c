/*
 * A connection through the fault proxy. Each direction queues blocks until they are due. While a
 * queue is full, the proxy doesn't read, so that the sender is slowed down by TCP flow control.
 */
#include "base/clock.h"
#include "base/fetch.h"
#include "proxy_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONN_BLOCK_BYTES 16384
#define BURSTS_PER_S 10 /* an idle connection accumulates at most 1/10 s of drip_bps */
#define CONN_QUEUED_BYTES_MAX (256 * 1024)

static void reset(int fd)
{
	const struct linger now = {.l_onoff = 1};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	close(fd);
}

static void free_block(void *arg)
{
	struct proxy_block *block = arg;

	if (block->bytes)
		g_byte_array_unref(block->bytes);
	g_free(block);
}

void proxy_conn_free(struct proxy_conn *conn)
{
	g_queue_clear_full(&conn->up.blocks, free_block);
	g_queue_clear_full(&conn->down.blocks, free_block);
	/* a side that has not received the end of stream gets a reset */
	if (conn->down.eof_sent && conn->up.eof_sent) {
		close(conn->up.in);
		close(conn->up.out);
	} else {
		reset(conn->up.in);
		reset(conn->up.out);
	}
	g_free(conn);
}

static bool is_stalled(const struct proxy_conn *conn, const struct proxy_direction *dir)
{
	if (conn->faults.black_hole)
		return true;
	return dir == &conn->up ? conn->faults.one_way : conn->faults.one_way_back;
}

static int64_t cut_limit(const struct proxy_conn *conn, const struct proxy_direction *dir)
{
	return dir == &conn->up ? conn->faults.cut_after_bytes
				: conn->faults.cut_answer_after_bytes;
}

static void push(struct proxy_conn *conn, struct proxy_direction *dir, const char *data, size_t len,
		 int64_t now_ms)
{
	struct proxy_block *block = g_new0(struct proxy_block, 1);

	block->ready_ms = now_ms + conn->latency_ms + conn->faults.delay_ms + conn->jitter_ms;
	if (data) {
		block->bytes = g_byte_array_new();
		g_byte_array_append(block->bytes, (const guint8 *)data, (guint)len);
		dir->queued += (int64_t)len;
		dir->read += (int64_t)len;
	}
	g_queue_push_tail(&dir->blocks, block);
}

/* False if the connection failed. */
static bool read_direction(struct proxy_conn *conn, struct proxy_direction *dir, int64_t now_ms)
{
	char block[CONN_BLOCK_BYTES];

	while (!dir->eof_read && dir->queued < CONN_QUEUED_BYTES_MAX && !is_stalled(conn, dir)) {
		ssize_t n = recv(dir->in, block, sizeof(block), MSG_DONTWAIT);
		if (n < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		dir->eof_read = n == 0;
		push(conn, dir, n > 0 ? block : NULL, (size_t)n, now_ms);
	}
	return true;
}

/* Returns how many of len bytes may be written now, given the cut and drip_bps. */
static int64_t write_allowance(struct proxy_conn *conn, struct proxy_direction *dir, int64_t len,
			       int64_t now_ms)
{
	int64_t cut = cut_limit(conn, dir);
	int64_t drip_bps = conn->faults.drip_bps;

	if (cut >= 0)
		len = MIN(len, cut - dir->written);
	if (drip_bps > 0) {
		dir->credit +=
			(double)(now_ms - dir->credit_ms) * (double)drip_bps / CLOCK_MS_PER_S;
		dir->credit = MIN(dir->credit, (double)MAX(drip_bps / BURSTS_PER_S, 1));
		len = MIN(len, (int64_t)dir->credit);
	}
	dir->credit_ms = now_ms;
	return MAX(len, 0);
}

static void count_written(struct proxy_conn *conn, struct proxy_direction *dir, int64_t n)
{
	dir->written += n;
	dir->queued -= n;
	dir->credit -= (double)n;
	if (dir == &conn->up)
		conn->traffic->bytes_up += n;
	else
		conn->traffic->bytes_down += n;
}

/* False if the connection failed. Sets *finished when the whole block has been written. */
static bool write_block(struct proxy_conn *conn, struct proxy_direction *dir,
			struct proxy_block *block, int64_t now_ms, bool *finished)
{
	int64_t left = (int64_t)block->bytes->len - block->at;
	int64_t n = write_allowance(conn, dir, left, now_ms);

	if (n == 0)
		return true;
	n = send(dir->out, block->bytes->data + block->at, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0) {
		dir->blocked = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
		return dir->blocked;
	}
	block->at += (guint)n;
	count_written(conn, dir, n);
	*finished = n == left;
	return true;
}

static bool is_cut(const struct proxy_conn *conn, const struct proxy_direction *dir)
{
	int64_t cut = cut_limit(conn, dir);

	return cut >= 0 && dir->written >= cut && dir->read > 0;
}

static bool write_direction(struct proxy_conn *conn, struct proxy_direction *dir, int64_t now_ms)
{
	struct proxy_block *block;

	dir->blocked = false;
	while (!is_stalled(conn, dir) && (block = g_queue_peek_head(&dir->blocks))) {
		bool finished = false;
		if (block->ready_ms > now_ms)
			return true;
		if (is_cut(conn, dir))
			return false;
		if (!block->bytes) {
			dir->eof_sent = true;
			shutdown(dir->out, SHUT_WR);
			finished = true;
		} else if (!write_block(conn, dir, block, now_ms, &finished)) {
			return false;
		}
		if (is_cut(conn, dir))
			return false;
		if (!finished)
			return true;
		free_block(g_queue_pop_head(&dir->blocks));
	}
	return true;
}

static bool wants_read(const struct proxy_conn *conn, const struct proxy_direction *dir)
{
	return !dir->eof_read && dir->queued < CONN_QUEUED_BYTES_MAX && !is_stalled(conn, dir);
}

/* Removes a descriptor that waits for no event, since epoll would report its hang-up repeatedly. */
static void set_interest(struct proxy_conn *conn, int fd, uint32_t interest, uint32_t *registered)
{
	struct epoll_event event = {.events = interest, .data.ptr = conn};
	int op = *registered == 0 ? EPOLL_CTL_ADD : interest == 0 ? EPOLL_CTL_DEL : EPOLL_CTL_MOD;

	if (interest == *registered)
		return;
	epoll_ctl(conn->proxy->epoll, op, fd, &event);
	*registered = interest;
}

static void update_interest(struct proxy_conn *conn)
{
	uint32_t client = 0;
	uint32_t server = 0;

	if (wants_read(conn, &conn->up))
		client |= EPOLLIN;
	if (conn->down.blocked)
		client |= EPOLLOUT;
	if (wants_read(conn, &conn->down))
		server |= EPOLLIN;
	if (conn->up.blocked)
		server |= EPOLLOUT;
	set_interest(conn, conn->up.in, client, &conn->client_events);
	set_interest(conn, conn->up.out, server, &conn->server_events);
}

static bool has_delayed_data(const struct proxy_conn *conn, const struct proxy_direction *dir)
{
	return !dir->blocked && !is_stalled(conn, dir) && !g_queue_is_empty((GQueue *)&dir->blocks);
}

void proxy_conn_pump(struct proxy_conn *conn, int64_t now_ms)
{
	bool ok = !conn->faults.refuse && read_direction(conn, &conn->up, now_ms) &&
		  read_direction(conn, &conn->down, now_ms) &&
		  write_direction(conn, &conn->up, now_ms) &&
		  write_direction(conn, &conn->down, now_ms);

	if (!ok || (conn->up.eof_sent && conn->down.eof_sent)) {
		conn->closed = true;
		return;
	}
	update_interest(conn);
	conn->timed = has_delayed_data(conn, &conn->up) || has_delayed_data(conn, &conn->down);
}

/* Connects from the address of the source, since the destination identifies it by that. */
static int connect_target(const char *target, const char *from)
{
	struct sockaddr_in source = {.sin_family = AF_INET};
	struct sockaddr_in at = {.sin_family = AF_INET};
	char host[PROXY_ADDRESS_BYTES];
	uint16_t port;
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	/* connect() picks the port, so that connections to different destinations can share one */
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	fetch_split_address(target, host, sizeof(host), &port);
	inet_pton(AF_INET, host, &at.sin_addr);
	at.sin_port = htons(port);
	inet_pton(AF_INET, from, &source.sin_addr);
	if (bind(fd, (struct sockaddr *)&source, sizeof(source)) == 0 &&
	    (connect(fd, (struct sockaddr *)&at, sizeof(at)) == 0 || errno == EINPROGRESS))
		return fd;
	close(fd);
	return -1;
}

void proxy_conn_open(struct proxy_server *proxy, const struct proxy_listener *listener, int client,
		     const char *from)
{
	struct proxy_faults faults;
	struct proxy_conn *conn;
	int server = -1;

	proxy_find_faults(proxy, from, listener->to, &faults);
	if (!faults.refuse)
		server = connect_target(listener->target, from);
	if (server < 0) {
		reset(client);
		return;
	}
	conn = g_new0(struct proxy_conn, 1);
	conn->proxy = proxy;
	conn->faults = faults;
	conn->up.in = client;
	conn->up.out = server;
	conn->down.in = server;
	conn->down.out = client;
	conn->up.credit_ms = clock_now_ms();
	conn->down.credit_ms = conn->up.credit_ms;
	g_strlcpy(conn->from, from, sizeof(conn->from));
	g_strlcpy(conn->to, listener->to, sizeof(conn->to));
	conn->traffic = proxy_find_traffic(proxy, from, listener, &conn->latency_ms);
	conn->traffic->connections++;
	if (faults.jitter_ms > 0)
		conn->jitter_ms = (int64_t)prng_below(&proxy->prng, (uint64_t)faults.jitter_ms + 1);
	g_hash_table_add(proxy->conns, conn);
	update_interest(conn);
}
