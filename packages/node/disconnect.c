/*
 * Detects callers that disconnect while their answer is pending. libmicrohttpd doesn't poll a
 * suspended connection, so a thread of its own watches the socket.
 *
 * End of input alone doesn't show a disconnect, as the caller may have closed only its sending
 * side. An interim response tells the cases apart: a caller that still reads ignores it (RFC
 * 9110, 15.2); a closed socket replies with a reset.
 */
#include "node/node.h"

#include "base/log.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define EVENTS_MAX 32
#define STOP_ID UINT64_MAX /* no request has this id */

struct disconnect_monitor {
	struct node_server *node;
	int epoll_fd;
	int stop_fd;
	pthread_t thread;
};

static const char interim_response[] = "HTTP/1.1 102 Processing\r\n\r\n";

static bool add_watch(const struct disconnect_monitor *g, int fd, uint64_t id, uint32_t events)
{
	struct epoll_event event = {.events = events | EPOLLONESHOT, .data.u64 = id};

	if (epoll_ctl(g->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0)
		return true;
	/* registered by an earlier request of the same connection */
	return errno == EEXIST && epoll_ctl(g->epoll_fd, EPOLL_CTL_MOD, fd, &event) == 0;
}

static int socket_of(struct MHD_Connection *conn)
{
	return MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

void disconnect_watch(struct disconnect_monitor *g, struct httpreq *httpreq)
{
	if (!add_watch(g, socket_of(httpreq->conn), httpreq->id, EPOLLRDHUP))
		log_warn("caller_not_watched", "{s:s, s:s}", "request", httpreq->text_id, "error",
			 g_strerror(errno));
}

/*
 * Sends an interim response. While a connection is suspended, nothing else writes to its socket and
 * its descriptor is not reused.
 */
static void send_probe(const struct disconnect_monitor *g, struct httpreq *httpreq)
{
	pthread_mutex_lock(&httpreq->lock);
	if (httpreq->conn && httpreq->suspended && httpreq->state == HTTPREQ_RUNNING &&
	    httpreq->accepts_interim) {
		int fd = socket_of(httpreq->conn);
		/* epoll reports a failed send as the error that this monitor waits for */
		(void)!send(fd, interim_response, strlen(interim_response),
			    MSG_DONTWAIT | MSG_NOSIGNAL);
		add_watch(g, fd, httpreq->id, 0);
	}
	pthread_mutex_unlock(&httpreq->lock);
}

static void handle_event(const struct disconnect_monitor *g, const struct epoll_event *event)
{
	const struct core_event disconnected = {.type = CORE_EV_DISCONNECT,
						.u.req = event->data.u64};
	struct httpreq *httpreq = node_find_request(g->node, event->data.u64);

	if (!httpreq)
		return; /* the request has been answered */
	if (event->events & (EPOLLERR | EPOLLHUP)) {
		log_info("caller_left", "{s:s}", "request", httpreq->text_id);
		node_handle_event(g->node, &disconnected);
	} else {
		send_probe(g, httpreq);
	}
	httpreq_unref(httpreq);
}

static void *run(void *arg)
{
	const struct disconnect_monitor *g = arg;
	struct epoll_event events[EVENTS_MAX];

	for (;;) {
		int n = epoll_wait(g->epoll_fd, events, EVENTS_MAX, -1);

		for (int i = 0; i < n; i++) {
			if (events[i].data.u64 == STOP_ID)
				return NULL;
			handle_event(g, &events[i]);
		}
	}
}

struct disconnect_monitor *disconnect_new(struct node_server *n)
{
	struct epoll_event event = {.events = EPOLLIN, .data.u64 = STOP_ID};
	struct disconnect_monitor *g = g_new0(struct disconnect_monitor, 1);

	g->node = n;
	g->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	g->stop_fd = eventfd(0, EFD_CLOEXEC);
	epoll_ctl(g->epoll_fd, EPOLL_CTL_ADD, g->stop_fd, &event);
	pthread_create(&g->thread, NULL, run, g);
	return g;
}

void disconnect_free(struct disconnect_monitor *g)
{
	const uint64_t one = 1;

	if (!g)
		return;
	if (write(g->stop_fd, &one, sizeof(one)) != sizeof(one))
		log_warn("watch_not_stopped", "{s:s}", "error", g_strerror(errno));
	pthread_join(g->thread, NULL);
	close(g->stop_fd);
	close(g->epoll_fd);
	g_free(g);
}
