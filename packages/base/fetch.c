#include "base/fetch.h"

#include "base/clock.h"

#include <arpa/inet.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>
#include <string.h>

#define FETCH_BLOCK_BYTES 8192
#define FETCH_IDLE_MAX 32 /* kept sessions of one address */
#define FETCH_HOST_BYTES 64
#define FETCH_PORT_MAX 65535
#define FETCH_STATUS_NO_CONTENT 204
#define FETCH_STATUS_NOT_MODIFIED 304

struct fetch_client {
	pthread_mutex_t lock; /* guards idle; never held during a call */
	ne_inet_addr *source; /* NULL: any */
	GHashTable *idle;     /* address -> GQueue of ne_session */
};

static void free_sessions(gpointer data)
{
	g_queue_free_full(data, (GDestroyNotify)ne_session_destroy);
}

static ne_inet_addr *parse_source(const char *text)
{
	struct in_addr in;

	if (inet_pton(AF_INET, text, &in) != 1)
		return NULL;
	return ne_iaddr_make(ne_iaddr_ipv4, (unsigned char *)&in);
}

struct fetch_client *fetch_client_new(const char *source)
{
	struct fetch_client *h = g_new0(struct fetch_client, 1);

	ne_sock_init();
	pthread_mutex_init(&h->lock, NULL);
	if (source)
		h->source = parse_source(source);
	h->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_sessions);
	return h;
}

void fetch_client_free(struct fetch_client *h)
{
	g_hash_table_destroy(h->idle);
	if (h->source)
		ne_iaddr_free(h->source);
	pthread_mutex_destroy(&h->lock);
	g_free(h);
}

bool fetch_split_address(const char *text, char *host, size_t host_bytes, uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	guint64 number;

	if (!colon || colon == text || (size_t)(colon - text) >= host_bytes)
		return false;
	if (!g_ascii_string_to_unsigned(colon + 1, 10, 0, FETCH_PORT_MAX, &number, NULL))
		return false;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	*port = (uint16_t)number;
	return true;
}

static ne_session *take_idle(struct fetch_client *h, const char *address)
{
	ne_session *session = NULL;

	pthread_mutex_lock(&h->lock);
	GQueue *queue = g_hash_table_lookup(h->idle, address);
	if (queue)
		session = g_queue_pop_head(queue);
	pthread_mutex_unlock(&h->lock);
	return session;
}

static void keep_idle(struct fetch_client *h, const char *address, ne_session *session)
{
	pthread_mutex_lock(&h->lock);
	GQueue *queue = g_hash_table_lookup(h->idle, address);
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(h->idle, g_strdup(address), queue);
	}
	if (g_queue_get_length(queue) < FETCH_IDLE_MAX) {
		g_queue_push_head(queue, session);
		session = NULL;
	}
	pthread_mutex_unlock(&h->lock);
	if (session)
		ne_session_destroy(session);
}

static ne_session *open_session(struct fetch_client *h, const struct fetch_request *call,
				GError **error)
{
	char host[FETCH_HOST_BYTES];
	uint16_t port;
	ne_session *session = call->idempotent ? take_idle(h, call->address) : NULL;

	if (session)
		return session;
	if (!fetch_split_address(call->address, host, sizeof(host), &port)) {
		err_set(error, ERR_IO, "%s is no address", call->address);
		return NULL;
	}
	session = ne_session_create("http", host, port);
	if (h->source)
		ne_set_localaddr(session, h->source);
	return session;
}

static void set_timeouts(ne_session *session, int64_t timeout_ms)
{
	int seconds = (int)((timeout_ms + CLOCK_MS_PER_S - 1) / CLOCK_MS_PER_S);

	if (seconds < 1)
		seconds = 1;
	ne_set_read_timeout(session, seconds);
	ne_set_connect_timeout(session, seconds);
}

/* The body on its way out. */
struct sender {
	const struct fetch_request *call;
	size_t written;
	bool asked;
	bool refused;
};

static bool may_send(struct sender *sender)
{
	if (!sender->asked && sender->call->may_send)
		sender->refused = !sender->call->may_send(sender->call->may_send_arg);
	sender->asked = true;
	return !sender->refused;
}

/* neon asks with room 0 to start from the beginning. */
static ssize_t provide_body(void *arg, char *buffer, size_t room)
{
	struct sender *sender = arg;
	size_t n = MIN(room, sender->call->body_len - sender->written);

	if (room == 0) {
		sender->written = 0;
		return 0;
	}
	if (!may_send(sender))
		return -1;
	memcpy(buffer, sender->call->body + sender->written, n);
	sender->written += n;
	return (ssize_t)n;
}

static ne_request *make_request(ne_session *session, const struct fetch_request *call,
				struct sender *sender)
{
	ne_request *request = ne_request_create(session, call->method, call->path);

	ne_set_request_flag(request, NE_REQFLAG_IDEMPOTENT, call->idempotent ? 1 : 0);
	for (uint32_t i = 0; i < call->n_headers; i++)
		ne_add_request_header(request, call->headers[i].name, call->headers[i].value);
	if (call->body)
		ne_set_request_body_provider(request, (ne_off_t)call->body_len, provide_body,
					     sender);
	return request;
}

static bool take_block(const struct fetch_request *call, struct fetch_response *answer,
		       const char *data, size_t len, GError **error)
{
	if (call->on_block && answer->status / 100 == 2) {
		if (!call->on_block(call->on_block_arg, data, len))
			return err_set(error, ERR_IO, "the reader gave up");
		return true;
	}
	if (call->max_bytes > 0 && answer->body->len + len > call->max_bytes)
		return err_set(error, ERR_TOO_LARGE, "answer is larger than %zu bytes",
			       call->max_bytes);
	g_byte_array_append(answer->body, (const guint8 *)data, (guint)len);
	return true;
}

static bool neon_error(ne_session *session, int rc, GError **error)
{
	return err_set(error, rc == NE_TIMEOUT ? ERR_UPSTREAM_TIMEOUT : ERR_IO, "%s",
		       ne_get_error(session));
}

/* A body without a length or chunks ends wherever the connection does: never known as whole. */
static bool has_framing(ne_request *request, int status)
{
	if (status == FETCH_STATUS_NO_CONTENT || status == FETCH_STATUS_NOT_MODIFIED)
		return true; /* these have no body */
	return ne_get_response_header(request, "Content-Length") ||
	       ne_get_response_header(request, "Transfer-Encoding");
}

static bool read_answer(ne_session *session, ne_request *request, const struct fetch_request *call,
			struct fetch_response *answer, GError **error)
{
	char block[FETCH_BLOCK_BYTES];
	ssize_t n;

	answer->status = ne_get_status(request)->code;
	for (uint32_t i = 0; i < G_N_ELEMENTS(call->want_headers); i++) {
		if (call->want_headers[i])
			answer->headers[i] =
				g_strdup(ne_get_response_header(request, call->want_headers[i]));
	}
	if (call->on_head && !call->on_head(call->on_head_arg, answer))
		return err_set(error, ERR_PROTOCOL, "the reader refused the answer's head");
	if (!has_framing(request, answer->status))
		return err_set(error, ERR_PROTOCOL, "answer has neither length nor chunks");
	while ((n = ne_read_response_block(request, block, sizeof(block))) > 0) {
		if (!take_block(call, answer, block, (size_t)n, error))
			return false;
	}
	if (n < 0)
		return neon_error(session, NE_ERROR, error);
	return true;
}

bool fetch_perform(struct fetch_client *h, const struct fetch_request *call,
		   struct fetch_response *answer, GError **error)
{
	ne_session *session;
	ne_request *request;
	struct sender sender = {.call = call};
	bool ok;
	int rc;

	memset(answer, 0, sizeof(*answer));
	answer->body = g_byte_array_new();
	/* with no body there is no later moment to ask */
	if (call->body_len == 0 && !may_send(&sender))
		return err_set(error, ERR_IO, "given up before it was sent");
	session = open_session(h, call, error);
	if (!session)
		return false;
	set_timeouts(session, call->timeout_ms);
	request = make_request(session, call, &sender);
	rc = ne_begin_request(request);
	answer->sent = !sender.refused && rc != NE_CONNECT && rc != NE_LOOKUP;
	ok = rc == NE_OK ? read_answer(session, request, call, answer, error)
			 : neon_error(session, rc, error);
	if (ok && ne_end_request(request) != NE_OK)
		ok = neon_error(session, NE_ERROR, error);
	ne_request_destroy(request);
	if (ok && call->idempotent)
		keep_idle(h, call->address, session);
	else
		ne_session_destroy(session);
	return ok;
}

void fetch_response_clear(struct fetch_response *answer)
{
	if (answer->body)
		g_byte_array_unref(answer->body);
	for (uint32_t i = 0; i < G_N_ELEMENTS(answer->headers); i++)
		g_free(answer->headers[i]);
	memset(answer, 0, sizeof(*answer));
}
