/*
 * Bounds on what callers' connections and the bodies of their requests take. The HTTP library can't
 * close a connection for another thread: its socket is shut down, and the library closes it next.
 */
#include "entry_limit.h"

#include "base/blocks.h"
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#include <jansson.h>
#include <pthread.h>
#include <sys/socket.h>

/* Of the connections that callers may have, a quarter covers those that are being closed. */
#define ENTRY_OPEN_SHARE 0.75
/*
 * Memory of the kernel for what was received and not read of a request with a body: about 4 MB/s at
 * a round trip of 6 ms. Requests behind one in progress stay there, so all callers may fill it at
 * once.
 */
#define ENTRY_RECEIVE_BYTES (32 * 1024)

struct entry_limit {
	pthread_mutex_t lock; /* guards all fields and all struct entry_conn */
	int64_t max_bytes;
	int64_t used_bytes;
	int64_t conn_bytes;
	uint32_t max_conns;
	GQueue conns;	/* struct entry_conn that are not shut down, oldest first */
	GQueue reading; /* those with an incomplete request, incomplete for longest first */
};

struct entry_conn {
	struct MHD_Connection *conn;
	GList link;
	GList reading_link;
	bool is_shut;
	bool is_reading;
	bool is_busy;	  /* a complete request is in progress */
	bool is_used;	  /* has sent a complete request */
	bool is_shed;	  /* its body was dropped to make room */
	bool is_wide;	  /* has the receive buffer of a request with a body */
	int64_t since_ms; /* of the request, or since the last one ended */
	int64_t held_bytes;
	struct blocks body; /* of an incomplete request */
};

static const struct {
	const char *name;
	enum counter_id counter;
} reasons[] = {
	[ENTRY_REFUSED_BUDGET] = {"budget", COUNTER_REFUSED_BUDGET},
	[ENTRY_REFUSED_CONNECTIONS] = {"connections", COUNTER_REFUSED_CONNECTIONS},
	[ENTRY_REFUSED_STALLED] = {"stalled", COUNTER_REFUSED_STALLED},
	[ENTRY_REFUSED_TOO_LARGE] = {"too_large", COUNTER_REFUSED_TOO_LARGE},
};

struct entry_limit *entry_limit_new(int64_t max_bytes, int64_t conn_bytes, uint32_t max_conns)
{
	struct entry_limit *l = g_new0(struct entry_limit, 1);

	pthread_mutex_init(&l->lock, NULL);
	l->max_bytes = max_bytes;
	l->conn_bytes = conn_bytes + MHD_WAITING_BYTES;
	l->max_conns = MAX((uint32_t)(max_conns * ENTRY_OPEN_SHARE), 1);
	return l;
}

void entry_limit_free(struct entry_limit *l)
{
	if (!l)
		return;
	pthread_mutex_destroy(&l->lock);
	g_free(l);
}

void entry_limit_note(enum entry_refusal reason, int64_t held_bytes, int64_t age_ms)
{
	counter_add(reasons[reason].counter, 1);
	log_info("caller_refused", "{s:s, s:I, s:I}", "reason", reasons[reason].name, "held_bytes",
		 (json_int_t)held_bytes, "age_ms", (json_int_t)age_ms);
}

static struct entry_conn *conn_of(struct MHD_Connection *conn)
{
	return MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
}

static int socket_of(const struct entry_conn *c)
{
	return MHD_get_connection_info(c->conn, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
}

static void set_wide(struct entry_conn *c, bool is_wide)
{
	if (c->is_wide == is_wide)
		return;
	c->is_wide = is_wide;
	mhd_set_receive_bytes(socket_of(c), is_wide ? ENTRY_RECEIVE_BYTES : MHD_WAITING_BYTES);
}

static void stop_reading(struct entry_limit *l, struct entry_conn *c)
{
	if (c->is_reading)
		g_queue_unlink(&l->reading, &c->reading_link);
	c->is_reading = false;
}

static void hold(struct entry_limit *l, struct entry_conn *c, int64_t bytes)
{
	l->used_bytes += bytes - c->held_bytes;
	c->held_bytes = bytes;
}

/* Unused ones go first, oldest first; then those that have been idle for longest. */
static struct entry_conn *choose_victim(struct entry_limit *l)
{
	struct entry_conn *idle = NULL;

	for (GList *at = l->conns.head; at; at = at->next) {
		struct entry_conn *c = at->data;
		if (c->is_busy)
			continue;
		if (!c->is_used)
			return c;
		if (!idle || c->since_ms < idle->since_ms)
			idle = c;
	}
	return idle;
}

static void shut_one(struct entry_limit *l)
{
	struct entry_conn *victim = choose_victim(l);

	if (!victim)
		return;
	entry_limit_note(ENTRY_REFUSED_CONNECTIONS, victim->held_bytes,
			 clock_now_ms() - victim->since_ms);
	victim->is_shut = true;
	g_queue_unlink(&l->conns, &victim->link);
	shutdown(socket_of(victim), SHUT_RDWR);
}

static struct entry_conn *add_conn(struct entry_limit *l, struct MHD_Connection *conn)
{
	struct entry_conn *c = g_new0(struct entry_conn, 1);

	c->conn = conn;
	c->since_ms = clock_now_ms();
	c->link.data = c;
	c->reading_link.data = c;
	pthread_mutex_lock(&l->lock);
	g_queue_push_tail_link(&l->conns, &c->link);
	hold(l, c, l->conn_bytes);
	if (l->conns.length > l->max_conns)
		shut_one(l);
	pthread_mutex_unlock(&l->lock);
	return c;
}

static void drop_body(struct entry_limit *l, struct entry_conn *c)
{
	stop_reading(l, c);
	blocks_clear(&c->body);
	hold(l, c, l->conn_bytes);
}

static void remove_conn(struct entry_limit *l, struct entry_conn *c)
{
	pthread_mutex_lock(&l->lock);
	drop_body(l, c);
	hold(l, c, 0);
	if (!c->is_shut)
		g_queue_unlink(&l->conns, &c->link);
	pthread_mutex_unlock(&l->lock);
	g_free(c);
}

void entry_limit_on_connection(void *arg, struct MHD_Connection *conn, void **context,
			       enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		*context = add_conn(arg, conn);
	else if (*context)
		remove_conn(arg, *context);
}

/* Frees the body; the thread of its connection reads the flag before it touches the body again. */
static void shed(struct entry_limit *l, struct entry_conn *c)
{
	entry_limit_note(ENTRY_REFUSED_BUDGET, c->held_bytes, clock_now_ms() - c->since_ms);
	c->is_shed = true;
	drop_body(l, c);
}

/* Makes room for the connection; false if it was shed itself. */
static bool make_room(struct entry_limit *l, struct entry_conn *c)
{
	while (l->used_bytes > l->max_bytes) {
		struct entry_conn *oldest = g_queue_peek_head(&l->reading);
		bool is_alone = l->used_bytes - c->held_bytes <= l->max_bytes / 2 &&
				l->reading.length <= c->is_reading;
		if (is_alone)
			return true;
		if (!oldest)
			oldest = c;
		shed(l, oldest);
		if (oldest == c)
			return false;
	}
	return true;
}

void entry_limit_drop(struct entry_limit *l, struct MHD_Connection *conn)
{
	pthread_mutex_lock(&l->lock);
	drop_body(l, conn_of(conn));
	pthread_mutex_unlock(&l->lock);
}

void entry_limit_begin(struct entry_limit *l, struct MHD_Connection *conn)
{
	struct entry_conn *c = conn_of(conn);

	pthread_mutex_lock(&l->lock);
	c->is_shed = false;
	c->is_reading = true;
	c->since_ms = clock_now_ms();
	g_queue_push_tail_link(&l->reading, &c->reading_link);
	hold(l, c, l->conn_bytes + ENTRY_RECEIVE_BYTES);
	make_room(l, c);
	pthread_mutex_unlock(&l->lock);
}

bool entry_limit_append(struct entry_limit *l, struct MHD_Connection *conn, const char *data,
			size_t len)
{
	struct entry_conn *c = conn_of(conn);
	bool fits;

	pthread_mutex_lock(&l->lock);
	fits = !c->is_shed;
	if (fits) {
		set_wide(c, true);
		blocks_append(&c->body, data, len);
		hold(l, c, l->conn_bytes + ENTRY_RECEIVE_BYTES + (int64_t)c->body.held_bytes);
		fits = make_room(l, c);
	}
	pthread_mutex_unlock(&l->lock);
	return fits;
}

size_t entry_limit_body_bytes(struct entry_limit *l, struct MHD_Connection *conn)
{
	size_t len;

	pthread_mutex_lock(&l->lock);
	len = conn_of(conn)->body.len;
	pthread_mutex_unlock(&l->lock);
	return len;
}

GByteArray *entry_limit_complete(struct entry_limit *l, struct MHD_Connection *conn)
{
	struct entry_conn *c = conn_of(conn);
	GByteArray *body = NULL;

	pthread_mutex_lock(&l->lock);
	c->is_used = true;
	c->is_busy = true;
	stop_reading(l, c);
	if (!c->is_shed) {
		/* the body, and its copy that is sent to upstreams */
		hold(l, c, l->conn_bytes + ENTRY_RECEIVE_BYTES + 2 * (int64_t)c->body.len);
		if (make_room(l, c))
			body = blocks_join(&c->body);
	}
	pthread_mutex_unlock(&l->lock);
	return body;
}

void entry_limit_end(struct entry_limit *l, struct MHD_Connection *conn)
{
	struct entry_conn *c = conn_of(conn);

	pthread_mutex_lock(&l->lock);
	stop_reading(l, c);
	c->is_busy = false;
	blocks_clear(&c->body);
	c->since_ms = clock_now_ms();
	set_wide(c, false);
	hold(l, c, l->conn_bytes);
	pthread_mutex_unlock(&l->lock);
}
