/*
 * Callers that leave while their answer is awaited. The HTTP library doesn't look at a connection
 * that it has suspended, so its socket is watched beside it.
 *
 * An end of the caller's bytes alone doesn't say that it left: it may have closed only its sending
 * side. So it is sent an interim response, which a caller that still reads passes over (RFC 9110,
 * 15.2); the socket of one that has closed is reset by it.
 */
#include "node/node.h"

#include "base/log.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS_AT_ONCE 32
#define STOP UINT64_MAX /* no request has this id */

struct disconnect_monitor {
	struct node_server *node;
	int epoll;
	int stop;
	pthread_t thread;
};

static const char probe[] = "HTTP/1.1 102 Processing\r\n\r\n";

static bool watch(const struct disconnect_monitor *g, int fd, uint64_t id, uint32_t events)
{
	struct epoll_event event = {.events = events | EPOLLONESHOT, .data.u64 = id};

	if (epoll_ctl(g->epoll, EPOLL_CTL_ADD, fd, &event) == 0)
		return true;
	/* an earlier request of the same connection */
	return errno == EEXIST && epoll_ctl(g->epoll, EPOLL_CTL_MOD, fd, &event) == 0;
}

static int socket_of(struct MHD_Connection *conn)
{
	return MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

void disconnect_watch(struct disconnect_monitor *g, struct httpreq *httpreq)
{
	if (!watch(g, socket_of(httpreq->conn), httpreq->id, EPOLLRDHUP))
		log_warn("caller_not_watched", "{s:s, s:s}", "request", httpreq->text_id, "error",
			 g_strerror(errno));
}

/* While it is suspended nobody else writes to the socket, and its number is not used again. */
static void send_probe(const struct disconnect_monitor *g, struct httpreq *httpreq)
{
	pthread_mutex_lock(&httpreq->lock);
	if (httpreq->conn && httpreq->suspended && httpreq->state == HTTPREQ_RUNNING &&
	    httpreq->takes_interim) {
		int fd = socket_of(httpreq->conn);
		/* a failure shows as the event that is waited for */
		(void)!send(fd, probe, strlen(probe), MSG_DONTWAIT | MSG_NOSIGNAL);
		watch(g, fd, httpreq->id, 0);
	}
	pthread_mutex_unlock(&httpreq->lock);
}

static void take(const struct disconnect_monitor *g, const struct epoll_event *event)
{
	const struct dec_event gone = {.type = DEC_EV_CALLER_GONE, .u.req = event->data.u64};
	struct httpreq *httpreq = node_find_request(g->node, event->data.u64);

	if (!httpreq)
		return; /* answered */
	if (event->events & (EPOLLERR | EPOLLHUP)) {
		log_info("caller_left", "{s:s}", "request", httpreq->text_id);
		node_handle_event(g->node, &gone);
	} else {
		send_probe(g, httpreq);
	}
	httpreq_unref(httpreq);
}

static void *run(void *arg)
{
	const struct disconnect_monitor *g = arg;
	struct epoll_event events[EVENTS_AT_ONCE];

	for (;;) {
		int n = epoll_wait(g->epoll, events, EVENTS_AT_ONCE, -1);

		for (int i = 0; i < n; i++) {
			if (events[i].data.u64 == STOP)
				return NULL;
			take(g, &events[i]);
		}
	}
}

struct disconnect_monitor *disconnect_new(struct node_server *n)
{
	struct epoll_event event = {.events = EPOLLIN, .data.u64 = STOP};
	struct disconnect_monitor *g = g_new0(struct disconnect_monitor, 1);

	g->node = n;
	g->epoll = epoll_create1(EPOLL_CLOEXEC);
	g->stop = eventfd(0, EFD_CLOEXEC);
	epoll_ctl(g->epoll, EPOLL_CTL_ADD, g->stop, &event);
	pthread_create(&g->thread, NULL, run, g);
	return g;
}

void disconnect_free(struct disconnect_monitor *g)
{
	const uint64_t one = 1;

	if (!g)
		return;
	if (write(g->stop, &one, sizeof(one)) != sizeof(one))
		log_warn("watch_not_stopped", "{s:s}", "error", g_strerror(errno));
	pthread_join(g->thread, NULL);
	close(g->stop);
	close(g->epoll);
	g_free(g);
}
