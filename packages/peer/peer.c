/* Transport of messages between nodes over ZeroMQ. */
#include "peer/peer.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#include <pthread.h>
#include <string.h>
#include <zmq.h>

#define PEER_QUEUE "inproc://peer-send"
#define PEER_QUEUE_MESSAGES_MAX 1000  /* per connection and direction */
#define PEER_HEARTBEAT_MS 1000	      /* interval of heartbeats, which detect dead connections */
#define PEER_EXTRA_HEARTBEAT_MS 60000 /* on links beyond the first PEER_FREQUENT_LINKS */
#define PEER_FREQUENT_LINKS 8
#define PEER_TIMEOUT_MS 3000	     /* wait for a reply or acknowledgement before a reconnection */
#define PEER_HEARTBEAT_TTL_PERIODS 3 /* periods without traffic until the listening side closes */
#define PEER_RECONNECT_MS 100	     /* delay before reconnecting; doubles with each failure */
#define PEER_RECONNECT_MAX_MS 400
/*
 * An attempt to connect is given up after this long: several round trips between regions, and less
 * than the second after which TCP sends again what a host that was down didn't get.
 */
#define PEER_CONNECT_TIMEOUT_MS 150
#define PEER_IDLE_LINK_MS 180000 /* a link without a send for so long may be closed */
#define PEER_LINKS_MAX 512	 /* to open one more, the least recently used is closed */
/* Connections that wait to be accepted: all nodes of a large fleet may connect to one at once. */
#define PEER_BACKLOG 512
#define PEER_ADDRESS_BYTES 64
#define PEER_WAITING_MAX 512 /* messages that wait for one link to open */
#define PEER_MESSAGE_BYTES_MAX (16 * 1024 * 1024)

/* A packed message that waits for its link to open. */
struct waiting {
	zmq_msg_t payload;
	int64_t until_ms;
};

struct link {
	char *address; /* of the node; key in peer.links */
	void *socket;
	int64_t used_ms; /* time of the last send */
	GQueue waiting;	 /* struct waiting, in the order in which they were sent */
};

struct peer {
	char *vm;
	uint64_t incarnation;
	char *source;
	peer_fn on_message;
	void *arg;
	char address[PEER_ADDRESS_BYTES];
	void *context;
	void *router;
	void *pull;
	pthread_mutex_t push_lock; /* guards push, as ZeroMQ sockets are not thread-safe */
	void *push;
	GHashTable *links; /* address -> struct link; owned by the peer thread */
	pthread_t thread;
	bool threadless;
};

static void free_waiting(gpointer data)
{
	struct waiting *w = data;

	zmq_msg_close(&w->payload);
	g_free(w);
}

static void free_link(gpointer data)
{
	struct link *link = data;

	g_queue_clear_full(&link->waiting, free_waiting);
	zmq_close(link->socket);
	g_free(link->address);
	g_free(link);
}

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_common_options(void *socket)
{
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_SNDHWM, PEER_QUEUE_MESSAGES_MAX);
	set_int(socket, ZMQ_RCVHWM, PEER_QUEUE_MESSAGES_MAX);
	set_int(socket, ZMQ_TCP_MAXRT, PEER_TIMEOUT_MS);
}

/*
 * Only the connecting side sends heartbeats. With some hundred links, a heartbeat per second on
 * each costs more than all messages together. On links beyond the first few, an unacknowledged send
 * reveals a dead host before a heartbeat does.
 */
static void set_heartbeat(void *socket, uint32_t links)
{
	int period_ms = links < PEER_FREQUENT_LINKS ? PEER_HEARTBEAT_MS : PEER_EXTRA_HEARTBEAT_MS;

	set_int(socket, ZMQ_HEARTBEAT_IVL, period_ms);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, PEER_TIMEOUT_MS);
	set_int(socket, ZMQ_HEARTBEAT_TTL, PEER_HEARTBEAT_TTL_PERIODS * period_ms);
}

static struct link *open_link(struct peer *p, const char *address)
{
	struct link *link = g_new0(struct link, 1);
	char *endpoint;

	link->address = g_strdup(address);
	link->socket = zmq_socket(p->context, ZMQ_DEALER);
	set_common_options(link->socket);
	set_heartbeat(link->socket, g_hash_table_size(p->links));
	/* no message is queued for a node that is not connected */
	set_int(link->socket, ZMQ_IMMEDIATE, 1);
	set_int(link->socket, ZMQ_CONNECT_TIMEOUT, PEER_CONNECT_TIMEOUT_MS);
	set_int(link->socket, ZMQ_RECONNECT_IVL, PEER_RECONNECT_MS);
	set_int(link->socket, ZMQ_RECONNECT_IVL_MAX, PEER_RECONNECT_MAX_MS);
	endpoint = p->source ? g_strdup_printf("tcp://%s:0;%s", p->source, address)
			     : g_strdup_printf("tcp://%s", address);
	zmq_connect(link->socket, endpoint);
	g_free(endpoint);
	g_hash_table_insert(p->links, link->address, link);
	return link;
}

static void close_least_recent_link(struct peer *p)
{
	struct link *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct link *link = value;
		if (!oldest || link->used_ms < oldest->used_ms)
			oldest = link;
	}
	if (oldest)
		g_hash_table_remove(p->links, oldest->address);
}

static gboolean is_idle(gpointer key, gpointer value, gpointer arg)
{
	const struct link *link = value;
	const int64_t *now_ms = arg;

	return *now_ms - link->used_ms > PEER_IDLE_LINK_MS;
}

static struct link *get_link(struct peer *p, const char *address)
{
	struct link *link = g_hash_table_lookup(p->links, address);
	int64_t now_ms = clock_now_ms();

	if (!link) {
		/* a replaced node has a new address, so its old link stays unused */
		g_hash_table_foreach_remove(p->links, is_idle, &now_ms);
		if (g_hash_table_size(p->links) >= PEER_LINKS_MAX)
			close_least_recent_link(p);
		link = open_link(p, address);
	}
	link->used_ms = now_ms;
	return link;
}

/* Returns false if the link isn't open; the payload then still belongs to the caller. */
static bool send_on_link(struct link *link, zmq_msg_t *payload)
{
	size_t bytes = zmq_msg_size(payload);

	if (zmq_msg_send(payload, link->socket, ZMQ_DONTWAIT) < 0)
		return false;
	counter_add(COUNTER_PEER_TX_BYTES, bytes);
	return true;
}

static bool send_payload(struct peer *p, const char *address, zmq_msg_t *payload)
{
	if (send_on_link(get_link(p, address), payload))
		return true;
	zmq_msg_close(payload);
	return false;
}

/* Sends the next queued message; false when the thread is to end. */
static bool send_queued(struct peer *p)
{
	char address[PEER_ADDRESS_BYTES];
	zmq_msg_t payload;
	int len = zmq_recv(p->pull, address, sizeof(address) - 1, 0);

	if (len <= 0)
		return false;
	address[len] = '\0';
	zmq_msg_init(&payload);
	zmq_msg_recv(&payload, p->pull, 0);
	send_payload(p, address, &payload);
	return true;
}

static bool is_for_this_node(const struct peer *p, const Peer__Message *message)
{
	if (strcmp(message->to_vm, p->vm) != 0)
		return false;
	if (message->to_incarnation != 0 && message->to_incarnation != p->incarnation)
		return false;
	if (message->sent_wall_ms + message->ttl_ms >= clock_wall_ms())
		return true;
	counter_add(COUNTER_PEER_EXPIRED, 1);
	return false;
}

static void handle_payload(struct peer *p, const void *data, size_t len)
{
	Peer__Message *message = peer__message__unpack(NULL, len, data);

	counter_add(COUNTER_PEER_RX_BYTES, len);
	if (!message) {
		log_warn("peer_malformed", "{s:i}", "bytes", (int)len);
		return;
	}
	if (is_for_this_node(p, message))
		p->on_message(p->arg, message);
	peer__message__free_unpacked(message, NULL);
}

/* Receives one ROUTER message: the sender's identity, then the payload. */
static void receive(struct peer *p)
{
	zmq_msg_t part;
	bool more = true;
	int index = 0;

	while (more) {
		zmq_msg_init(&part);
		if (zmq_msg_recv(&part, p->router, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&part);
			return;
		}
		if (index++ == 1)
			handle_payload(p, zmq_msg_data(&part), zmq_msg_size(&part));
		more = zmq_msg_more(&part);
		zmq_msg_close(&part);
	}
}

static void *run(void *arg)
{
	struct peer *p = arg;
	zmq_pollitem_t items[] = {
		{.socket = p->pull, .events = ZMQ_POLLIN},
		{.socket = p->router, .events = ZMQ_POLLIN},
	};
	bool proceed = true;

	while (proceed && zmq_poll(items, G_N_ELEMENTS(items), -1) >= 0) {
		if (items[0].revents & ZMQ_POLLIN)
			proceed = send_queued(p);
		if (items[1].revents & ZMQ_POLLIN)
			receive(p);
	}
	g_hash_table_destroy(p->links);
	zmq_close(p->router);
	zmq_close(p->pull);
	return NULL;
}

static bool bind_router(struct peer *p, const char *listen, GError **error)
{
	static const char scheme[] = "tcp://";
	char endpoint[PEER_ADDRESS_BYTES + sizeof(scheme)];
	size_t len = sizeof(endpoint);

	p->router = zmq_socket(p->context, ZMQ_ROUTER);
	set_common_options(p->router);
	set_int(p->router, ZMQ_BACKLOG, PEER_BACKLOG);
	int64_t max_bytes = PEER_MESSAGE_BYTES_MAX;
	zmq_setsockopt(p->router, ZMQ_MAXMSGSIZE, &max_bytes, sizeof(max_bytes));
	g_snprintf(endpoint, sizeof(endpoint), "%s%s", scheme, listen);
	if (zmq_bind(p->router, endpoint) != 0)
		return err_set(error, ERR_IO, "can't listen on %s for other nodes", listen);
	zmq_getsockopt(p->router, ZMQ_LAST_ENDPOINT, endpoint, &len);
	g_strlcpy(p->address, endpoint + strlen(scheme), sizeof(p->address));
	return true;
}

static void free_common(struct peer *p)
{
	zmq_ctx_term(p->context);
	pthread_mutex_destroy(&p->push_lock);
	g_free(p->vm);
	g_free(p->source);
	g_free(p);
}

struct peer *peer_new(const struct peer_options *options, GError **error)
{
	struct peer *p = g_new0(struct peer, 1);

	p->vm = g_strdup(options->vm);
	p->incarnation = options->incarnation;
	p->source = g_strdup(options->source);
	p->on_message = options->on_message;
	p->arg = options->arg;
	pthread_mutex_init(&p->push_lock, NULL);
	p->context = zmq_ctx_new();
	if (!bind_router(p, options->listen, error)) {
		zmq_close(p->router);
		free_common(p);
		return NULL;
	}
	p->links = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_link);
	p->threadless = options->threadless;
	if (p->threadless)
		return p;
	p->pull = zmq_socket(p->context, ZMQ_PULL);
	zmq_bind(p->pull, PEER_QUEUE);
	p->push = zmq_socket(p->context, ZMQ_PUSH);
	set_int(p->push, ZMQ_LINGER, 0);
	zmq_connect(p->push, PEER_QUEUE);
	pthread_create(&p->thread, NULL, run, p);
	return p;
}

void peer_free(struct peer *p)
{
	if (!p)
		return;
	if (p->threadless) {
		g_hash_table_destroy(p->links);
		zmq_close(p->router);
		free_common(p);
		return;
	}
	pthread_mutex_lock(&p->push_lock);
	zmq_send(p->push, "", 0, 0); /* an empty address ends the thread */
	pthread_mutex_unlock(&p->push_lock);
	pthread_join(p->thread, NULL);
	zmq_close(p->push);
	free_common(p);
}

int peer_fd(const struct peer *p)
{
	size_t len = sizeof(int);
	int fd = -1;

	zmq_getsockopt(p->router, ZMQ_FD, &fd, &len);
	return fd;
}

void peer_receive(struct peer *p)
{
	size_t len = sizeof(int);
	int events = 0;

	/* the descriptor is edge-triggered, so read until nothing is left */
	while (zmq_getsockopt(p->router, ZMQ_EVENTS, &events, &len) == 0 && (events & ZMQ_POLLIN))
		receive(p);
}

const char *peer_address(const struct peer *p)
{
	return p->address;
}

/* Completes the message and packs it; returns its size. */
static size_t pack(struct peer *p, const char *vm, Peer__Message *message, zmq_msg_t *payload)
{
	size_t bytes;

	message->from_vm = p->vm;
	message->from_incarnation = p->incarnation;
	message->to_vm = (char *)vm;
	message->sent_wall_ms = clock_wall_ms();
	bytes = peer__message__get_packed_size(message);
	zmq_msg_init_size(payload, bytes);
	peer__message__pack(message, zmq_msg_data(payload));
	return bytes;
}

size_t peer_send(struct peer *p, const char *vm, const char *address, Peer__Message *message)
{
	zmq_msg_t payload;
	size_t bytes;

	if (address[0] == '\0')
		return 0;
	bytes = pack(p, vm, message, &payload);
	if (p->threadless)
		return send_payload(p, address, &payload) ? bytes : 0;
	pthread_mutex_lock(&p->push_lock);
	/* must not block: the peer thread, which empties this queue, sends too */
	if (zmq_send(p->push, address, strlen(address), ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		zmq_msg_close(&payload);
	else
		zmq_msg_send(&payload, p->push, 0);
	pthread_mutex_unlock(&p->push_lock);
	return bytes;
}

size_t peer_send_when_open(struct peer *p, const char *vm, const char *address,
			   Peer__Message *message, int64_t keep_ms)
{
	struct waiting *w;
	struct link *link;
	size_t bytes;

	if (address[0] == '\0')
		return 0;
	link = get_link(p, address);
	w = g_new0(struct waiting, 1);
	bytes = pack(p, vm, message, &w->payload);
	if (g_queue_is_empty(&link->waiting) && send_on_link(link, &w->payload)) {
		g_free(w);
		return bytes;
	}
	w->until_ms = clock_now_ms() + keep_ms;
	if (g_queue_get_length(&link->waiting) < PEER_WAITING_MAX) {
		g_queue_push_tail(&link->waiting, w);
		return bytes;
	}
	free_waiting(w);
	return 0;
}

/* Returns whether messages are left that wait for the link. */
static bool flush_link(struct link *link, int64_t now_ms)
{
	struct waiting *w;

	while ((w = g_queue_peek_head(&link->waiting))) {
		if (now_ms < w->until_ms && !send_on_link(link, &w->payload))
			return true;
		free_waiting(g_queue_pop_head(&link->waiting));
	}
	return false;
}

bool peer_flush(struct peer *p)
{
	int64_t now_ms = clock_now_ms();
	bool is_left = false;
	GHashTableIter iter;
	gpointer link;

	g_hash_table_iter_init(&iter, p->links);
	while (g_hash_table_iter_next(&iter, NULL, &link))
		is_left = flush_link(link, now_ms) || is_left;
	return is_left;
}
