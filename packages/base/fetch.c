#include "base/fetch.h"

#include "base/clock.h"

#include <arpa/inet.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <pthread.h>
#include <string.h>

#define FETCH_BLOCK_BYTES 8192
#define FETCH_IDLE_MAX 32 /* maximum number of idle sessions kept per address */
#define FETCH_HOST_BYTES 64
#define FETCH_PORT_MAX 65535
#define FETCH_STATUS_NO_CONTENT 204
#define FETCH_STATUS_NOT_MODIFIED 304

struct fetch_client {
	pthread_mutex_t lock; /* protects idle; never held during a request */
	ne_inet_addr *source; /* local address; NULL: any */
	GHashTable *idle;     /* address -> GQueue of ne_session */
};

static void free_sessions(gpointer data)
{
	g_queue_free_full(data, (GDestroyNotify)ne_session_destroy);
}

static ne_inet_addr *parse_local_address(const char *text)
{
	struct in_addr in;

	if (inet_pton(AF_INET, text, &in) != 1)
		return NULL;
	return ne_iaddr_make(ne_iaddr_ipv4, (unsigned char *)&in);
}

struct fetch_client *fetch_client_new(const char *source)
{
	struct fetch_client *client = g_new0(struct fetch_client, 1);

	ne_sock_init();
	pthread_mutex_init(&client->lock, NULL);
	if (source)
		client->source = parse_local_address(source);
	client->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_sessions);
	return client;
}

void fetch_client_free(struct fetch_client *client)
{
	g_hash_table_destroy(client->idle);
	if (client->source)
		ne_iaddr_free(client->source);
	pthread_mutex_destroy(&client->lock);
	g_free(client);
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

static ne_session *pop_idle_session(struct fetch_client *client, const char *address)
{
	ne_session *session = NULL;

	pthread_mutex_lock(&client->lock);
	GQueue *queue = g_hash_table_lookup(client->idle, address);
	if (queue)
		session = g_queue_pop_head(queue);
	pthread_mutex_unlock(&client->lock);
	return session;
}

static void push_idle_session(struct fetch_client *client, const char *address, ne_session *session)
{
	pthread_mutex_lock(&client->lock);
	GQueue *queue = g_hash_table_lookup(client->idle, address);
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(client->idle, g_strdup(address), queue);
	}
	if (g_queue_get_length(queue) < FETCH_IDLE_MAX) {
		g_queue_push_head(queue, session);
		session = NULL;
	}
	pthread_mutex_unlock(&client->lock);
	if (session)
		ne_session_destroy(session);
}

static ne_session *open_session(struct fetch_client *client, const struct fetch_request *request,
				GError **error)
{
	char host[FETCH_HOST_BYTES];
	uint16_t port;
	ne_session *session =
		request->idempotent ? pop_idle_session(client, request->address) : NULL;

	if (session)
		return session;
	if (!fetch_split_address(request->address, host, sizeof(host), &port)) {
		err_set(error, ERR_IO, "%s is not a host:port address", request->address);
		return NULL;
	}
	session = ne_session_create("http", host, port);
	if (client->source)
		ne_set_localaddr(session, client->source);
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

/* State of sending the request body. */
struct body_sender {
	const struct fetch_request *request;
	size_t written;
	bool checked;
	bool refused;
};

static bool may_send(struct body_sender *body_sender)
{
	if (!body_sender->checked && body_sender->request->may_send)
		body_sender->refused =
			!body_sender->request->may_send(body_sender->request->may_send_arg);
	body_sender->checked = true;
	return !body_sender->refused;
}

/* Body provider for neon, which calls it with room 0 before it sends the body from its start. */
static ssize_t provide_body(void *arg, char *buffer, size_t room)
{
	struct body_sender *body_sender = arg;
	size_t n = MIN(room, body_sender->request->body_len - body_sender->written);

	if (room == 0) {
		body_sender->written = 0;
		return 0;
	}
	if (!may_send(body_sender))
		return -1;
	memcpy(buffer, body_sender->request->body + body_sender->written, n);
	body_sender->written += n;
	return (ssize_t)n;
}

static ne_request *create_ne_request(ne_session *session, const struct fetch_request *request,
				     struct body_sender *body_sender)
{
	ne_request *ne_req = ne_request_create(session, request->method, request->path);

	ne_set_request_flag(ne_req, NE_REQFLAG_IDEMPOTENT, request->idempotent ? 1 : 0);
	for (uint32_t i = 0; i < request->n_headers; i++)
		ne_add_request_header(ne_req, request->headers[i].name, request->headers[i].value);
	if (request->body)
		ne_set_request_body_provider(ne_req, (ne_off_t)request->body_len, provide_body,
					     body_sender);
	return ne_req;
}

static bool consume_block(const struct fetch_request *request, struct fetch_response *response,
			  const char *data, size_t len, GError **error)
{
	if (request->on_block && response->status / 100 == 2) {
		if (!request->on_block(request->on_block_arg, data, len))
			return err_set(error, ERR_IO, "the response handler aborted the transfer");
		return true;
	}
	if (request->max_bytes > 0 && response->body->len + len > request->max_bytes)
		return err_set(error, ERR_TOO_LARGE, "response is larger than %zu bytes",
			       request->max_bytes);
	g_byte_array_append(response->body, (const guint8 *)data, (guint)len);
	return true;
}

static bool set_neon_error(ne_session *session, int rc, GError **error)
{
	return err_set(error, rc == NE_TIMEOUT ? ERR_UPSTREAM_TIMEOUT : ERR_IO, "%s",
		       ne_get_error(session));
}

/*
 * Returns whether the end of the body can be recognised. A body without Content-Length or
 * Transfer-Encoding ends when the connection closes, so it may be cut short.
 */
static bool has_framing(ne_request *ne_req, int status)
{
	if (status == FETCH_STATUS_NO_CONTENT || status == FETCH_STATUS_NOT_MODIFIED)
		return true; /* these responses have no body */
	return ne_get_response_header(ne_req, "Content-Length") ||
	       ne_get_response_header(ne_req, "Transfer-Encoding");
}

static bool read_response(ne_session *session, ne_request *ne_req,
			  const struct fetch_request *request, struct fetch_response *response,
			  GError **error)
{
	char block[FETCH_BLOCK_BYTES];
	ssize_t n;

	response->status = ne_get_status(ne_req)->code;
	for (uint32_t i = 0; i < G_N_ELEMENTS(request->want_headers); i++) {
		if (request->want_headers[i])
			response->headers[i] =
				g_strdup(ne_get_response_header(ne_req, request->want_headers[i]));
	}
	if (request->on_head && !request->on_head(request->on_head_arg, response))
		return err_set(error, ERR_PROTOCOL,
			       "the response handler rejected the response head");
	if (!has_framing(ne_req, response->status))
		return err_set(error, ERR_PROTOCOL,
			       "response has neither Content-Length nor Transfer-Encoding");
	while ((n = ne_read_response_block(ne_req, block, sizeof(block))) > 0) {
		if (!consume_block(request, response, block, (size_t)n, error))
			return false;
	}
	if (n < 0)
		return set_neon_error(session, NE_ERROR, error);
	return true;
}

bool fetch_perform(struct fetch_client *client, const struct fetch_request *request,
		   struct fetch_response *response, GError **error)
{
	ne_session *session;
	ne_request *ne_req;
	struct body_sender body_sender = {.request = request};
	bool ok;
	int rc;

	memset(response, 0, sizeof(*response));
	response->body = g_byte_array_new();
	/* Nothing is written for an empty body, so there is no later point at which to check. */
	if (request->body_len == 0 && !may_send(&body_sender))
		return err_set(error, ERR_IO, "request was abandoned before it was sent");
	session = open_session(client, request, error);
	if (!session)
		return false;
	set_timeouts(session, request->timeout_ms);
	ne_req = create_ne_request(session, request, &body_sender);
	rc = ne_begin_request(ne_req);
	response->sent = !body_sender.refused && rc != NE_CONNECT && rc != NE_LOOKUP;
	ok = rc == NE_OK ? read_response(session, ne_req, request, response, error)
			 : set_neon_error(session, rc, error);
	if (ok && ne_end_request(ne_req) != NE_OK)
		ok = set_neon_error(session, NE_ERROR, error);
	ne_request_destroy(ne_req);
	if (ok && request->idempotent)
		push_idle_session(client, request->address, session);
	else
		ne_session_destroy(session);
	return ok;
}

void fetch_response_clear(struct fetch_response *response)
{
	if (response->body)
		g_byte_array_unref(response->body);
	for (uint32_t i = 0; i < G_N_ELEMENTS(response->headers); i++)
		g_free(response->headers[i]);
	memset(response, 0, sizeof(*response));
}
