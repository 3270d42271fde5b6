/*
 * Fault-injecting TCP proxy: one epoll thread forwards all connections, with the faults that tests
 * set per source address and destination.
 */
#include "proxy.h"

#include "base/clock.h"
#include "base/mhd.h"
#include "model/cfg.h"
#include "proxy_int.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define PROXY_EVENTS_MAX 64
#define PROXY_TICK_MS 1 /* interval of sweeps while any connection has delayed data */

static void accept_all(struct proxy_server *proxy, const struct proxy_listener *listener)
{
	struct sockaddr_in at;
	socklen_t len = sizeof(at);
	char from[INET_ADDRSTRLEN];
	int fd;

	while ((fd = accept4(listener->fd, (struct sockaddr *)&at, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		inet_ntop(AF_INET, &at.sin_addr, from, sizeof(from));
		proxy_conn_open(proxy, listener, fd, from);
		len = sizeof(at);
	}
}

/* The listener that ptr refers to; NULL if it is a connection. */
static const struct proxy_listener *find_listener(const struct proxy_server *proxy, const void *ptr)
{
	for (guint i = 0; i < proxy->listeners->len; i++) {
		if (g_ptr_array_index(proxy->listeners, i) == ptr)
			return ptr;
	}
	return NULL;
}

static void handle_event(struct proxy_server *proxy, void *ptr, int64_t now_ms)
{
	const struct proxy_listener *listener = find_listener(proxy, ptr);
	struct proxy_conn *conn = ptr;
	eventfd_t count;

	if (ptr == proxy)
		eventfd_read(proxy->wake, &count);
	else if (listener)
		accept_all(proxy, listener);
	else if (conn && !conn->closed)
		proxy_conn_pump(conn, now_ms);
}

/* Forwards delayed data that is due and frees closed connections; true if data is still delayed. */
static bool sweep(struct proxy_server *proxy, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer key;
	bool timed = false;

	g_hash_table_iter_init(&iter, proxy->conns);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct proxy_conn *conn = key;
		if (conn->timed && !conn->closed)
			proxy_conn_pump(conn, now_ms);
		timed = timed || (conn->timed && !conn->closed);
		if (conn->closed) {
			g_hash_table_iter_remove(&iter);
			proxy_conn_free(conn);
		}
	}
	return timed;
}

static void *run(void *arg)
{
	struct proxy_server *proxy = arg;
	struct epoll_event events[PROXY_EVENTS_MAX];
	bool stopping = false;
	bool timed = false;

	while (!stopping) {
		int n = epoll_wait(proxy->epoll, events, PROXY_EVENTS_MAX,
				   timed ? PROXY_TICK_MS : -1);
		int64_t now_ms = clock_now_ms();
		pthread_mutex_lock(&proxy->lock);
		for (int i = 0; i < n; i++)
			handle_event(proxy, events[i].data.ptr, now_ms);
		timed = sweep(proxy, now_ms);
		stopping = proxy->stopping;
		pthread_mutex_unlock(&proxy->lock);
	}
	return NULL;
}

static void watch_readable(struct proxy_server *proxy, int fd, void *ptr)
{
	struct epoll_event event = {.events = EPOLLIN, .data.ptr = ptr};

	epoll_ctl(proxy->epoll, EPOLL_CTL_ADD, fd, &event);
}

struct proxy_server *proxy_new(struct cfg *cfg, bool latency, uint64_t seed)
{
	struct proxy_server *proxy = g_new0(struct proxy_server, 1);

	pthread_mutex_init(&proxy->lock, NULL);
	proxy->cfg = cfg_ref(cfg);
	proxy->latency = latency;
	proxy->prng.state = seed;
	proxy->epoll = epoll_create1(EPOLL_CLOEXEC);
	proxy->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	proxy->listeners = g_ptr_array_new_with_free_func(g_free);
	proxy->conns = g_hash_table_new(NULL, NULL);
	proxy->rules = g_ptr_array_new_with_free_func(proxy_rule_free);
	proxy->traffic = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	proxy->sources = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	watch_readable(proxy, proxy->wake, proxy);
	proxy->started = pthread_create(&proxy->thread, NULL, run, proxy) == 0;
	return proxy;
}

static void close_all(struct proxy_server *proxy)
{
	GHashTableIter iter;
	gpointer conn;

	g_hash_table_iter_init(&iter, proxy->conns);
	while (g_hash_table_iter_next(&iter, &conn, NULL))
		proxy_conn_free(conn);
	for (guint i = 0; i < proxy->listeners->len; i++)
		close(((struct proxy_listener *)g_ptr_array_index(proxy->listeners, i))->fd);
}

void proxy_free(struct proxy_server *proxy)
{
	pthread_mutex_lock(&proxy->lock);
	proxy->stopping = true;
	pthread_mutex_unlock(&proxy->lock);
	eventfd_write(proxy->wake, 1);
	if (proxy->started)
		pthread_join(proxy->thread, NULL);
	close_all(proxy);
	close(proxy->wake);
	close(proxy->epoll);
	g_ptr_array_unref(proxy->listeners);
	g_hash_table_destroy(proxy->conns);
	g_ptr_array_unref(proxy->rules);
	g_hash_table_destroy(proxy->traffic);
	g_hash_table_destroy(proxy->sources);
	cfg_unref((struct cfg *)proxy->cfg);
	pthread_mutex_destroy(&proxy->lock);
	g_free(proxy);
}

static struct proxy_listener *find_listener_by_name(const struct proxy_server *proxy,
						    const char *to)
{
	for (guint i = 0; i < proxy->listeners->len; i++) {
		struct proxy_listener *listener = g_ptr_array_index(proxy->listeners, i);
		if (strcmp(listener->to, to) == 0)
			return listener;
	}
	return NULL;
}

static struct proxy_listener *make_listener(struct proxy_server *proxy, const char *to,
					    GError **error)
{
	struct proxy_listener *listener;
	int fd = mhd_listen("127.0.0.1:0", error);

	if (fd < 0)
		return NULL;
	fcntl(fd, F_SETFL, O_NONBLOCK);
	listener = g_new0(struct proxy_listener, 1);
	listener->fd = fd;
	g_strlcpy(listener->to, to, sizeof(listener->to));
	mhd_bound_address(fd, listener->address);
	g_ptr_array_add(proxy->listeners, listener);
	return listener;
}

bool proxy_front(struct proxy_server *proxy, const char *to, const char *data_centre,
		 const char *target, char *address, GError **error)
{
	struct proxy_listener *listener;
	bool known;

	pthread_mutex_lock(&proxy->lock);
	listener = find_listener_by_name(proxy, to);
	known = listener != NULL;
	if (!known)
		listener = make_listener(proxy, to, error);
	if (listener) {
		g_strlcpy(listener->target, target, sizeof(listener->target));
		g_strlcpy(listener->data_centre, data_centre, sizeof(listener->data_centre));
		g_strlcpy(address, listener->address, PROXY_ADDRESS_BYTES);
	}
	pthread_mutex_unlock(&proxy->lock);
	if (listener && !known) {
		struct epoll_event event = {.events = EPOLLIN | EPOLLET, .data.ptr = listener};
		/* edge-triggered: accept_all() accepts until none is pending */
		epoll_ctl(proxy->epoll, EPOLL_CTL_ADD, listener->fd, &event);
	}
	return listener != NULL;
}

static void copy_string(json_t *vm, const char *key, char *text, size_t size)
{
	const char *value = json_string_value(json_object_get(vm, key));

	g_strlcpy(text, value ? value : "", size);
}

void proxy_front_peer(struct proxy_server *proxy, const char *id, json_t *vm)
{
	char address[PROXY_ADDRESS_BYTES];
	char target[PROXY_ADDRESS_BYTES];
	char source[PROXY_ADDRESS_BYTES];
	char data_centre[PROXY_NAME_BYTES];
	char *to = g_strdup_printf("peer:%s", id);

	copy_string(vm, "peer_address", target, sizeof(target));
	copy_string(vm, "source_address", source, sizeof(source));
	copy_string(vm, "data_centre", data_centre, sizeof(data_centre));
	if (source[0]) {
		pthread_mutex_lock(&proxy->lock);
		g_hash_table_insert(proxy->sources, g_strdup(source), g_strdup(data_centre));
		pthread_mutex_unlock(&proxy->lock);
	}
	if (target[0] && proxy_front(proxy, to, data_centre, target, address, NULL))
		json_object_set_new(vm, "peer_address", json_string(address));
	g_free(to);
}

/* Applies the rules to open connections. */
static void apply_rules(struct proxy_server *proxy)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, proxy->conns);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct proxy_conn *conn = key;
		proxy_find_faults(proxy, conn->from, conn->to, &conn->faults);
		conn->timed = true; /* the next sweep forwards its data */
	}
}

bool proxy_set_rule(struct proxy_server *proxy, json_t *json)
{
	bool ok;

	pthread_mutex_lock(&proxy->lock);
	ok = proxy_change_rules(proxy, json);
	if (ok)
		apply_rules(proxy);
	pthread_mutex_unlock(&proxy->lock);
	eventfd_write(proxy->wake, 1);
	return ok;
}

json_t *proxy_state_json(struct proxy_server *proxy)
{
	json_t *json;

	pthread_mutex_lock(&proxy->lock);
	json = json_pack("{s:o, s:o}", "rules", proxy_rules_json(proxy), "traffic",
			 proxy_traffic_json(proxy));
	pthread_mutex_unlock(&proxy->lock);
	return json;
}
