/*
 * One connection through the fault proxy. Each direction is a queue of blocks that wait for their
 * time; a full queue stops the reading, so that a slow reader is felt by the writer.
 */
#include "base/clk.h"
#include "base/hcl.h"
#include "proxy_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define CON_BLOCK_BYTES 16384
#define DRIPS_PER_S 10 /* bound of what gathers while nothing is sent */
#define CON_QUEUED_BYTES (256 * 1024)

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
	/* whoever was not told of the end is told by a reset */
	if (conn->down.done && conn->up.done) {
		close(conn->up.in);
		close(conn->up.out);
	} else {
		reset(conn->up.in);
		reset(conn->up.out);
	}
	g_free(conn);
}

static bool is_held(const struct proxy_conn *conn, const struct proxy_direction *half)
{
	if (conn->faults.black_hole)
		return true;
	return half == &conn->up ? conn->faults.one_way : conn->faults.one_way_back;
}

static int64_t cut_of(const struct proxy_conn *conn, const struct proxy_direction *half)
{
	return half == &conn->up ? conn->faults.cut_after_bytes
				 : conn->faults.cut_answer_after_bytes;
}

static void push(struct proxy_conn *conn, struct proxy_direction *half, const char *data,
		 size_t len, int64_t now_ms)
{
	struct proxy_block *block = g_new0(struct proxy_block, 1);

	block->ready_ms = now_ms + conn->latency_ms + conn->faults.delay_ms + conn->jitter_ms;
	if (data) {
		block->bytes = g_byte_array_new();
		g_byte_array_append(block->bytes, (const guint8 *)data, (guint)len);
		half->queued += (int64_t)len;
		half->read += (int64_t)len;
	}
	g_queue_push_tail(&half->blocks, block);
}

/* False when the connection broke. */
static bool read_half(struct proxy_conn *conn, struct proxy_direction *half, int64_t now_ms)
{
	char block[CON_BLOCK_BYTES];

	while (!half->ended && half->queued < CON_QUEUED_BYTES && !is_held(conn, half)) {
		ssize_t n = recv(half->in, block, sizeof(block), MSG_DONTWAIT);
		if (n < 0)
			return errno == EAGAIN || errno == EWOULDBLOCK;
		half->ended = n == 0;
		push(conn, half, n > 0 ? block : NULL, (size_t)n, now_ms);
	}
	return true;
}

/* Bytes of the next write: bounded by a cut and by a drip. */
static int64_t allowed(struct proxy_conn *conn, struct proxy_direction *half, int64_t len,
		       int64_t now_ms)
{
	int64_t cut = cut_of(conn, half);
	int64_t drip_bps = conn->faults.drip_bps;

	if (cut >= 0)
		len = MIN(len, cut - half->written);
	if (drip_bps > 0) {
		half->credit +=
			(double)(now_ms - half->credit_ms) * (double)drip_bps / CLK_MS_PER_S;
		half->credit = MIN(half->credit, (double)MAX(drip_bps / DRIPS_PER_S, 1));
		len = MIN(len, (int64_t)half->credit);
	}
	half->credit_ms = now_ms;
	return MAX(len, 0);
}

static void count(struct proxy_conn *conn, struct proxy_direction *half, int64_t n)
{
	half->written += n;
	half->queued -= n;
	half->credit -= (double)n;
	if (half == &conn->up)
		conn->traffic->bytes_up += n;
	else
		conn->traffic->bytes_down += n;
}

/* False when the connection broke. *moved turns true when the block is finished. */
static bool write_block(struct proxy_conn *conn, struct proxy_direction *half,
			struct proxy_block *block, int64_t now_ms, bool *moved)
{
	int64_t left = (int64_t)block->bytes->len - block->at;
	int64_t n = allowed(conn, half, left, now_ms);

	if (n == 0)
		return true;
	n = send(half->out, block->bytes->data + block->at, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0) {
		half->blocked = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
		return half->blocked;
	}
	block->at += (guint)n;
	count(conn, half, n);
	*moved = n == left;
	return true;
}

static bool is_cut(const struct proxy_conn *conn, const struct proxy_direction *half)
{
	int64_t cut = cut_of(conn, half);

	return cut >= 0 && half->written >= cut && half->read > 0;
}

static bool write_half(struct proxy_conn *conn, struct proxy_direction *half, int64_t now_ms)
{
	struct proxy_block *block;

	half->blocked = false;
	while (!is_held(conn, half) && (block = g_queue_peek_head(&half->blocks))) {
		bool moved = false;
		if (block->ready_ms > now_ms)
			return true;
		if (is_cut(conn, half))
			return false;
		if (!block->bytes) {
			half->done = true;
			shutdown(half->out, SHUT_WR);
			moved = true;
		} else if (!write_block(conn, half, block, now_ms, &moved)) {
			return false;
		}
		if (is_cut(conn, half))
			return false;
		if (!moved)
			return true;
		free_block(g_queue_pop_head(&half->blocks));
	}
	return true;
}

static bool wants_read(const struct proxy_conn *conn, const struct proxy_direction *half)
{
	return !half->ended && half->queued < CON_QUEUED_BYTES && !is_held(conn, half);
}

/* A descriptor without interest is taken out: its hang-up would be reported without end. */
static void watch(struct proxy_conn *conn, int fd, uint32_t wanted, uint32_t *have)
{
	struct epoll_event event = {.events = wanted, .data.ptr = conn};
	int op = *have == 0 ? EPOLL_CTL_ADD : wanted == 0 ? EPOLL_CTL_DEL : EPOLL_CTL_MOD;

	if (wanted == *have)
		return;
	epoll_ctl(conn->proxy->epoll, op, fd, &event);
	*have = wanted;
}

static void watch_both(struct proxy_conn *conn)
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
	watch(conn, conn->up.in, client, &conn->client_events);
	watch(conn, conn->up.out, server, &conn->server_events);
}

static bool waits_for_time(const struct proxy_conn *conn, const struct proxy_direction *half)
{
	return !half->blocked && !is_held(conn, half) && !g_queue_is_empty((GQueue *)&half->blocks);
}

void proxy_conn_pump(struct proxy_conn *conn, int64_t now_ms)
{
	bool ok = !conn->faults.refuse && read_half(conn, &conn->up, now_ms) &&
		  read_half(conn, &conn->down, now_ms) && write_half(conn, &conn->up, now_ms) &&
		  write_half(conn, &conn->down, now_ms);

	if (!ok || (conn->up.done && conn->down.done)) {
		conn->closed = true;
		return;
	}
	watch_both(conn);
	conn->timed = waits_for_time(conn, &conn->up) || waits_for_time(conn, &conn->down);
}

/* Connects from the source's own address, so that the destination sees who it is. */
static int connect_target(const char *target, const char *from)
{
	struct sockaddr_in source = {.sin_family = AF_INET};
	struct sockaddr_in at = {.sin_family = AF_INET};
	char host[PROXY_ADDRESS_BYTES];
	uint16_t port;
	const int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	/* the port is chosen by connect(), else one port serves one destination only */
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
	hcl_split_address(target, host, sizeof(host), &port);
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
	conn->up.credit_ms = clk_now_ms();
	conn->down.credit_ms = conn->up.credit_ms;
	g_strlcpy(conn->from, from, sizeof(conn->from));
	g_strlcpy(conn->to, listener->to, sizeof(conn->to));
	conn->traffic = proxy_find_traffic(proxy, from, listener, &conn->latency_ms);
	conn->traffic->connections++;
	if (faults.jitter_ms > 0)
		conn->jitter_ms = (int64_t)rnd_below(&proxy->rnd, (uint64_t)faults.jitter_ms + 1);
	g_hash_table_add(proxy->conns, conn);
	watch_both(conn);
}
