/*
 * Links of nodes to the stub, which can be cut one by one. A link has a listener of the store,
 * whose answers name a port of the link in place of each upstream's address; the port relays to
 * that address. Links and ports belong to the loop's thread.
 */
#include "stub_link.h"

#include "base/log.h"
#include "base/mhd.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ADDRESS_BYTES 64
#define BACKLOG 512
#define LINE_BYTES 64 /* of a request, in which its target is looked for */

extern const struct http_server_limits stub_http_limits;

struct stub_port {
	struct stub *s;
	uv_loop_t *loop;
	char address[ADDRESS_BYTES];
	char *target; /* address of the upstream */
	char *service;
	int fd; /* bound all the time; listens unless the cut refuses connections */
	uv_poll_t poll;
	int filler; /* connection that fills the queue of the listener; -1: none */
	enum stub_cut cut;
	GPtrArray *relays; /* struct stub_relay */
};

struct stub_link {
	struct stub *s;
	struct http_server *store;
	GPtrArray *ports;  /* struct stub_port */
	enum stub_cut cut; /* last one for all services; new ports begin with it */
	bool store_hangs;
};

enum new_connections { NEW_ACCEPTED, NEW_REFUSED, NEW_UNANSWERED };
enum open_connections { OPEN_WORK, OPEN_HANG, OPEN_RESET };

static const struct {
	enum new_connections new_ones;
	enum open_connections open_ones;
} cuts[] = {
	[STUB_CUT_NONE] = {NEW_ACCEPTED, OPEN_WORK},  [STUB_CUT_REFUSE] = {NEW_REFUSED, OPEN_HANG},
	[STUB_CUT_RESET] = {NEW_REFUSED, OPEN_RESET}, [STUB_CUT_HANG] = {NEW_UNANSWERED, OPEN_HANG},
	[STUB_CUT_NEW] = {NEW_REFUSED, OPEN_WORK},
};

static void on_relay_closed(void *arg, struct stub_relay *relay)
{
	struct stub_port *port = arg;

	g_ptr_array_remove_fast(port->relays, relay);
}

static enum stub_repeat on_request(void *arg, const char *bytes, size_t len)
{
	struct stub *s = ((struct stub_port *)arg)->s;
	enum stub_repeat repeat = STUB_REPEAT_OTHER;

	pthread_mutex_lock(&s->lock);
	if (s->repeat_target &&
	    memmem(bytes, MIN(len, LINE_BYTES), s->repeat_target, strlen(s->repeat_target)))
		repeat = ++s->n_repeatable % s->repeat_per == 0 ? STUB_REPEAT_SEND
								: STUB_REPEAT_KEEP;
	pthread_mutex_unlock(&s->lock);
	return repeat;
}

void stub_repeat_responses(struct stub *s, const char *target, uint32_t per)
{
	pthread_mutex_lock(&s->lock);
	s->repeat_target = per > 0 ? target : NULL;
	s->repeat_per = per;
	s->n_repeatable = 0;
	pthread_mutex_unlock(&s->lock);
}

static const struct stub_relay_handler relay_handler = {
	.on_request = on_request,
	.on_closed = on_relay_closed,
};

static void on_connection(uv_poll_t *poll, int status, int events)
{
	struct stub_port *port = poll->data;
	int fd;

	(void)status;
	(void)events;
	while ((fd = accept4(port->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
		g_ptr_array_add(port->relays, stub_relay_open(port->loop, fd, port->target,
							      &relay_handler, port));
}

/* A listener whose queue is full doesn't answer further connections. */
static void fill_queue(struct stub_port *port)
{
	struct sockaddr_storage at;
	socklen_t len = sizeof(at);

	listen(port->fd, 0);
	port->filler = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	getsockname(port->fd, (struct sockaddr *)&at, &len);
	if (connect(port->filler, (struct sockaddr *)&at, len) != 0 && errno != EINPROGRESS)
		log_warn("stub_link_filler", "{s:s, s:s}", "address", port->address, "reason",
			 g_strerror(errno));
}

static void set_listener(struct stub_port *port, enum new_connections new_ones)
{
	uv_poll_stop(&port->poll);
	if (port->filler >= 0)
		close(port->filler);
	port->filler = -1;
	switch (new_ones) {
	case NEW_ACCEPTED:
		listen(port->fd, BACKLOG);
		uv_poll_start(&port->poll, UV_READABLE, on_connection);
		break;
	case NEW_REFUSED:
		shutdown(port->fd, SHUT_RD); /* ends listening; the port stays bound */
		break;
	case NEW_UNANSWERED:
		fill_queue(port);
		break;
	}
}

static void cut_port(struct stub_port *port, enum stub_cut cut)
{
	enum open_connections open_ones = cuts[cut].open_ones;

	port->cut = cut;
	set_listener(port, cuts[cut].new_ones);
	for (guint i = 0; i < port->relays->len; i++) {
		struct stub_relay *relay = g_ptr_array_index(port->relays, i);
		if (open_ones == OPEN_RESET)
			stub_relay_reset(relay);
		else
			stub_relay_hold(relay, open_ones == OPEN_HANG);
	}
}

/*
 * Binds the port by its number: one that the kernel has chosen is given back when listening ends.
 * Returns -1 with *error set on failure.
 */
static int bind_port(char *address, GError **error)
{
	int fd = mhd_listen("127.0.0.1:0", error);

	if (fd < 0)
		return -1;
	mhd_bound_address(fd, address);
	close(fd);
	return mhd_listen(address, error);
}

static struct stub_port *open_port(struct stub_link *link, const char *target, const char *service)
{
	struct stub_port *port = g_new0(struct stub_port, 1);
	GError *error = NULL;

	port->fd = bind_port(port->address, &error);
	if (port->fd < 0) {
		log_warn("stub_link_port", "{s:s, s:s}", "target", target, "reason",
			 error->message);
		g_error_free(error);
		g_free(port);
		return NULL;
	}
	port->s = link->s;
	port->loop = &link->s->loop;
	port->target = g_strdup(target);
	port->service = g_strdup(service);
	port->filler = -1;
	port->relays = g_ptr_array_new();
	uv_poll_init(port->loop, &port->poll, port->fd);
	port->poll.data = port;
	g_ptr_array_add(link->ports, port);
	cut_port(port, link->cut);
	return port;
}

static struct stub_port *find_port(const struct stub_link *link, const char *target)
{
	for (guint i = 0; i < link->ports->len; i++) {
		struct stub_port *port = g_ptr_array_index(link->ports, i);
		if (strcmp(port->target, target) == 0)
			return port;
	}
	return NULL;
}

char *stub_link_entry(struct stub_link *link, const char *text)
{
	json_t *entry = json_loads(text, 0, NULL);
	const char *target = json_string_value(json_object_get(entry, "address"));
	const char *service = json_string_value(json_object_get(entry, "service"));
	struct stub_port *port = NULL;
	char *own = NULL;

	if (target && service)
		port = find_port(link, target);
	if (target && service && !port)
		port = open_port(link, target, service);
	if (port) {
		json_object_set_new(entry, "address", json_string(port->address));
		own = json_dumps(entry, JSON_COMPACT);
	}
	json_decref(entry);
	return own ? own : strdup(text);
}

struct stub_link_call {
	struct stub_link *link;
	enum stub_cut cut;
	const char *service;
	GError **error;
};

static void open_link(struct stub *s, void *arg)
{
	struct stub_link_call *call = arg;

	call->link->store = stub_store_listen(s, call->link, call->error);
	if (call->link->store)
		g_ptr_array_add(s->links, call->link);
}

const char *stub_open_link(struct stub *s, GError **error)
{
	struct stub_link *link = g_new0(struct stub_link, 1);
	struct stub_link_call call = {.link = link, .error = error};

	link->s = s;
	link->ports = g_ptr_array_new();
	stub_call(s, open_link, &call);
	if (link->store)
		return http_server_address(link->store);
	g_ptr_array_unref(link->ports);
	g_free(link);
	return NULL;
}

static void cut_link(struct stub *s, void *arg)
{
	const struct stub_link_call *call = arg;

	(void)s;
	if (!call->service)
		call->link->cut = call->cut;
	for (guint i = 0; i < call->link->ports->len; i++) {
		struct stub_port *port = g_ptr_array_index(call->link->ports, i);
		if (!call->service || strcmp(port->service, call->service) == 0)
			cut_port(port, call->cut);
	}
}

void stub_cut_link(struct stub *s, uint32_t i, enum stub_cut cut, const char *service)
{
	struct stub_link_call call = {.cut = cut, .service = service};

	pthread_mutex_lock(&s->lock);
	call.link = g_ptr_array_index(s->links, i);
	pthread_mutex_unlock(&s->lock);
	stub_call(s, cut_link, &call);
}

void stub_hang_store(struct stub *s, uint32_t i, bool hangs)
{
	pthread_mutex_lock(&s->lock);
	((struct stub_link *)g_ptr_array_index(s->links, i))->store_hangs = hangs;
	pthread_mutex_unlock(&s->lock);
}

bool stub_link_store_hangs(const struct stub_link *link)
{
	return link && link->store_hangs;
}
