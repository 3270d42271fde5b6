/* Caller listener: addresses, tickets, pipelines and services over HTTP/1.1. */
#include "base/clock.h"
#include "base/counter.h"
#include "base/machine.h"
#include "base/mhd.h"
#include "entry_int.h"
#include "entry_limit.h"

#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define ENTRY_THREADS 2
#define ENTRY_IDLE_TIMEOUT_S 10 /* connections that are idle for longer are closed */
/* Within a body. */
#define ENTRY_STALL_TIMEOUT_S 5
/* Time for a body, however slowly it goes on: at 36 KB/s, the default limit of 1 MiB. */
#define ENTRY_BODY_MS_MAX 30000
/* What still comes of a body that will be refused is discarded for so long. */
#define ENTRY_DISCARD_MS 1000
#define ENTRY_CONNECTIONS_MAX 2048
#define ENTRY_CONNECTION_BYTES (16 * 1024)
#define ENTRY_BODY_BYTES_MAX (1024 * 1024) /* body limit until a configuration is in force */
#define ENTRY_ADDRESS_TICKETS 64	   /* issued with each answer to an address query */
#define ENTRY_DEADLINE_MS_MAX 600000
#define ENTRY_PREFIX_BYTES 256

/* True if every node refuses such a request at any time. */
static bool is_refused_everywhere(enum err_code code)
{
	return code == ERR_BAD_REQUEST || code == ERR_TICKET_MALFORMED || code == ERR_NOT_FOUND ||
	       code == ERR_DEADLINE_EXPIRED;
}

/*
 * Returns the outcome of a request that is refused before it reaches the decision core. If the
 * refusal depends on this node's configuration and the request carries a ticket, another copy of it
 * may still run on another node, unless this node owns the ticket and marks it as refused.
 */
static enum err_outcome early_outcome(struct node_server *n, struct MHD_Connection *conn,
				      enum err_code code)
{
	const char *text = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, HEADER_TICKET);
	enum err_outcome outcome;
	struct ticket_id id;

	if (!text || is_refused_everywhere(code) || !ticket_parse(text, &id, NULL))
		return err_info(code)->outcome;
	/* a caller whose account is not verified must not invalidate a ticket */
	if (code == ERR_UNAUTHORISED || code == ERR_NOT_READY)
		return ERR_OUTCOME_UNKNOWN;
	pthread_mutex_lock(&n->lock);
	outcome = ticket_refuse(n->core_state->tickets, &id, code, clock_wall_ms());
	pthread_mutex_unlock(&n->lock);
	return outcome;
}

/* Refuses a request that has not reached the decision core. */
static enum MHD_Result refuse(struct node_server *n, struct MHD_Connection *conn,
			      struct httpreq *httpreq, enum err_code code)
{
	httpreq->state = HTTPREQ_DONE;
	httpreq->code = code;
	httpreq->outcome = early_outcome(n, conn, code);
	if (err_info(code)->retry_later)
		httpreq->retry_after_ms = CLOCK_MS_PER_S;
	counter_add(httpreq->outcome == ERR_OUTCOME_NOT_RUN ? COUNTER_NOT_RUN : COUNTER_UNKNOWN, 1);
	return entry_queue_error(conn, httpreq);
}

static bool read_deadline(struct MHD_Connection *conn, int64_t *wait_ms)
{
	const char *text = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, HEADER_DEADLINE);
	gint64 value = 0;

	if (text && !g_ascii_string_to_signed(text, 10, 0, ENTRY_DEADLINE_MS_MAX, &value, NULL))
		return false;
	*wait_ms = value;
	return !text || value > 0;
}

static enum err_code read_ticket(struct MHD_Connection *conn, struct httpreq *httpreq,
				 struct core_ev_request *ev)
{
	const char *text = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, HEADER_TICKET);

	ev->has_ticket = text != NULL;
	if (text && (strlen(text) >= sizeof(httpreq->given_ticket) ||
		     !ticket_parse(text, &ev->ticket, NULL)))
		return ERR_TICKET_MALFORMED;
	g_strlcpy(httpreq->given_ticket, text ? text : "", sizeof(httpreq->given_ticket));
	return ERR_NONE;
}

static bool has_repeated_header(struct MHD_Connection *conn)
{
	static const char *const names[] = {HEADER_DEADLINE, HEADER_TICKET, "Authorization",
					    "Content-Length"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (mhd_is_header_repeated(conn, names[i]))
			return true;
	}
	return false;
}

static enum err_code read_request(struct MHD_Connection *conn, const struct cfg *cfg,
				  const char *url, struct httpreq *httpreq,
				  struct core_ev_request *ev)
{
	const char *key = mhd_bearer(conn);
	enum err_code code;

	if (has_repeated_header(conn))
		return ERR_BAD_REQUEST;
	ev->account = key ? cfg_find_account(cfg, key) : -1;
	if (ev->account < 0)
		return ERR_UNAUTHORISED;
	code = target_parse(cfg, url, ev);
	if (code != ERR_NONE)
		return code;
	if (httpreq->too_large)
		return ERR_TOO_LARGE;
	if (httpreq->shed)
		return ERR_OVERLOADED;
	if (!read_deadline(conn, &ev->wait_ms))
		return ERR_DEADLINE_EXPIRED;
	ev->id = httpreq->id;
	ev->body_bytes = httpreq->body->len;
	ev->prefix_hash =
		XXH64(httpreq->body->data, MIN(httpreq->body->len, ENTRY_PREFIX_BYTES), 0);
	ev->now_wall_ms = clock_wall_ms();
	httpreq->target = g_strdup(url);
	httpreq->account = g_strdup(cfg->accounts.items[ev->account].name);
	return read_ticket(conn, httpreq, ev);
}

/* False if the request has been answered since it was added to the table: the node is stopping. */
static bool suspend(struct node_server *n, struct httpreq *httpreq)
{
	bool suspended = false;

	pthread_mutex_lock(&httpreq->lock);
	if (httpreq->state == HTTPREQ_RUNNING) {
		httpreq->suspended = true;
		MHD_suspend_connection(httpreq->conn);
		disconnect_watch(n->disconnects, httpreq);
		suspended = true;
	}
	pthread_mutex_unlock(&httpreq->lock);
	return suspended;
}

static enum MHD_Result submit(struct node_server *n, struct MHD_Connection *conn, const char *url,
			      struct httpreq *httpreq)
{
	struct core_event ev = {.type = CORE_EV_REQUEST};
	struct cfg *cfg = node_cfg(n);
	enum err_code code =
		cfg ? read_request(conn, cfg, url, httpreq, &ev.u.request) : ERR_NOT_READY;

	if (code != ERR_NONE) {
		cfg_unref(cfg);
		return refuse(n, conn, httpreq, code);
	}
	ev.u.request.cfg = cfg;
	counter_add(COUNTER_REQUESTS, 1);
	httpreq->input = g_bytes_new(httpreq->body->data, httpreq->body->len);
	httpreq->state = HTTPREQ_RUNNING;
	if (!node_add_request(n, httpreq)) {
		cfg_unref(cfg);
		return refuse(n, conn, httpreq, ERR_DRAINING);
	}
	if (!suspend(n, httpreq)) {
		cfg_unref(cfg);
		return entry_queue_result(conn, httpreq);
	}
	node_handle_event(n, &ev);
	cfg_unref(cfg);
	return MHD_YES;
}

static size_t body_max(struct node_server *n)
{
	struct cfg *cfg = node_cfg(n);
	size_t max = cfg ? (size_t)cfg->capacity.max_body_bytes : ENTRY_BODY_BYTES_MAX;

	cfg_unref(cfg);
	return max;
}

static void note_too_large(struct node_server *n, struct MHD_Connection *conn,
			   struct httpreq *httpreq)
{
	httpreq->too_large = true;
	httpreq->refused_ms = clock_now_ms();
	entry_limit_note(ENTRY_REFUSED_TOO_LARGE,
			 (int64_t)entry_limit_body_bytes(n->entry_limit, conn),
			 httpreq->refused_ms - httpreq->began_ms);
	entry_limit_drop(n->entry_limit, conn);
}

/* Returns false if the connection has to be closed: the library sends no answer within a body. */
static bool append_body(struct node_server *n, struct MHD_Connection *conn, struct httpreq *httpreq,
			const char *data, size_t len)
{
	int64_t now_ms = clock_now_ms();

	if (httpreq->refused_ms > 0)
		return now_ms - httpreq->refused_ms <= ENTRY_DISCARD_MS;
	if (now_ms - httpreq->began_ms > ENTRY_BODY_MS_MAX) {
		entry_limit_note(ENTRY_REFUSED_STALLED,
				 (int64_t)entry_limit_body_bytes(n->entry_limit, conn),
				 now_ms - httpreq->began_ms);
		return false;
	}
	if (entry_limit_body_bytes(n->entry_limit, conn) + len > body_max(n)) {
		note_too_large(n, conn, httpreq);
	} else if (!entry_limit_append(n->entry_limit, conn, data, len)) {
		httpreq->shed = true;
		httpreq->refused_ms = now_ms;
	}
	return true;
}

static bool announces_too_much(struct node_server *n, struct MHD_Connection *conn)
{
	const char *text = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "Content-Length");

	return text && g_ascii_strtoull(text, NULL, 10) > body_max(n);
}

/* Issues consecutive tickets, or none once the tickets have been released to a successor. */
static json_t *ticket_json(struct node_server *n, uint32_t count)
{
	char text[TICKET_TEXT_BYTES] = "";
	struct ticket_id id;
	bool ok;

	pthread_mutex_lock(&n->lock);
	ok = ticket_issue(n->core_state->tickets, count, clock_wall_ms(), &id);
	pthread_mutex_unlock(&n->lock);
	if (ok) {
		counter_add(COUNTER_TICKETS_ISSUED, count);
		ticket_format(&id, text);
	}
	return json_pack("{s:s, s:I}", "first", text, "count", (json_int_t)(ok ? count : 0));
}

/* True if callers may be directed to the node: it is in the VM list and not stopping. */
static bool is_serving(const struct node_server *n, const struct bb_node *node, int64_t now_ms)
{
	if (strcmp(node->vm, n->set->vm) == 0 && n->core_state->bb.draining)
		return false;
	return node->in_list && !node->leaving && node->draining_until_ms <= now_ms;
}

static json_t *addresses_json(struct node_server *n)
{
	json_t *list = json_array();
	int64_t now_ms = clock_now_ms();
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&n->lock);
	g_hash_table_iter_init(&iter, n->core_state->bb.nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bb_node *node = value;
		if (is_serving(n, node, now_ms))
			json_array_append_new(list, json_pack("{s:s, s:s, s:s}", "vm", node->vm,
							      "address", node->caller_address,
							      "data_centre", node->data_centre));
	}
	pthread_mutex_unlock(&n->lock);
	return list;
}

static json_t *revisions_json(const struct cfg *cfg)
{
	json_t *json = json_object();

	for (int i = 0; cfg && i < CFG_SECTIONS; i++)
		json_object_set_new(json, cfg_section_name(i), json_integer(cfg_revision(cfg, i)));
	return json;
}

static enum MHD_Result answer_json(struct MHD_Connection *conn, struct httpreq *httpreq,
				   json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	httpreq->answer = g_bytes_new_take(text, strlen(text));
	httpreq->state = HTTPREQ_DONE;
	return entry_queue_answer(conn, httpreq);
}

static enum MHD_Result answer_addresses(struct node_server *n, struct MHD_Connection *conn,
					struct httpreq *httpreq)
{
	struct cfg *cfg = node_cfg(n);
	json_t *json;

	if (!cfg)
		return refuse(n, conn, httpreq, ERR_NOT_READY);
	json = json_pack("{s:o, s:I, s:o, s:o}", "addresses", addresses_json(n), "ttl_ms",
			 (json_int_t)cfg->capacity.address_ttl_ms, "revisions", revisions_json(cfg),
			 "tickets", ticket_json(n, ENTRY_ADDRESS_TICKETS));
	cfg_unref(cfg);
	return answer_json(conn, httpreq, json);
}

static enum MHD_Result answer_ticket(struct node_server *n, struct MHD_Connection *conn,
				     struct httpreq *httpreq)
{
	struct cfg *cfg = node_cfg(n);
	const char *key = mhd_bearer(conn);
	int account = cfg && key ? cfg_find_account(cfg, key) : -1;
	enum err_code code = cfg ? ERR_UNAUTHORISED : ERR_NOT_READY;

	cfg_unref(cfg);
	if (account < 0)
		return refuse(n, conn, httpreq, code);
	return answer_json(conn, httpreq, ticket_json(n, 1));
}

static enum MHD_Result dispatch(struct node_server *n, struct MHD_Connection *conn, const char *url,
				const char *method, struct httpreq *httpreq)
{
	if (strcmp(method, "GET") == 0 && strcmp(url, "/v1/addresses") == 0)
		return answer_addresses(n, conn, httpreq);
	if (strcmp(method, "POST") != 0)
		return refuse(n, conn, httpreq, ERR_NOT_FOUND);
	if (strcmp(url, "/v1/tickets") == 0)
		return answer_ticket(n, conn, httpreq);
	return submit(n, conn, url, httpreq);
}

/* body: NULL if it was dropped to make room for others. */
static void set_body(struct httpreq *httpreq, GByteArray *body)
{
	httpreq->shed = !body;
	if (!body)
		return;
	g_byte_array_unref(httpreq->body);
	httpreq->body = body;
}

static struct httpreq *begin(struct node_server *n, struct MHD_Connection *conn,
			     const char *version)
{
	struct httpreq *httpreq = httpreq_new(node_next_id(n), n->set->vm, n->incarnation);

	httpreq->conn = conn;
	httpreq->began_ms = clock_now_ms();
	httpreq->accepts_interim = strcmp(version, MHD_HTTP_VERSION_1_1) == 0;
	httpreq->draining = &n->draining;
	g_atomic_int_inc(&n->callers);
	entry_limit_begin(n->entry_limit, conn);
	MHD_set_connection_option(conn, MHD_CONNECTION_OPTION_TIMEOUT, ENTRY_STALL_TIMEOUT_S);
	return httpreq;
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *conn, const char *url,
			      const char *method, const char *version, const char *data,
			      size_t *len, void **state)
{
	struct node_server *n = arg;
	struct httpreq *httpreq = *state;

	if (!httpreq) {
		*state = begin(n, conn, version);
		if (!announces_too_much(n, conn))
			return MHD_YES;
		note_too_large(n, conn, *state);
		return dispatch(n, conn, url, method, *state);
	}
	if (*len > 0) {
		if (!append_body(n, conn, httpreq, data, *len))
			return MHD_NO;
		*len = 0;
		return MHD_YES;
	}
	if (httpreq->state == HTTPREQ_READING) {
		set_body(httpreq, entry_limit_complete(n->entry_limit, conn));
		MHD_set_connection_option(conn, MHD_CONNECTION_OPTION_TIMEOUT,
					  ENTRY_IDLE_TIMEOUT_S);
		return dispatch(n, conn, url, method, httpreq);
	}
	return entry_queue_result(conn, httpreq);
}

static void request_completed(void *arg, struct MHD_Connection *conn, void **state,
			      enum MHD_RequestTerminationCode reason)
{
	struct node_server *n = arg;
	struct httpreq *httpreq = *state;
	bool pending;

	if (!httpreq)
		return;
	if (reason == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED && httpreq->state == HTTPREQ_READING)
		entry_limit_note(ENTRY_REFUSED_STALLED,
				 (int64_t)entry_limit_body_bytes(n->entry_limit, conn),
				 clock_now_ms() - httpreq->began_ms);
	entry_limit_end(n->entry_limit, conn);
	pthread_mutex_lock(&httpreq->lock);
	pending = httpreq->state == HTTPREQ_RUNNING ||
		  (httpreq->state == HTTPREQ_STREAMING && !httpreq->stream_end);
	httpreq->disconnected = true;
	httpreq->conn = NULL;
	pthread_cond_broadcast(&httpreq->changed);
	pthread_mutex_unlock(&httpreq->lock);
	if (pending) {
		const struct core_event ev = {.type = CORE_EV_DISCONNECT, .u.req = httpreq->id};
		node_handle_event(n, &ev);
	}
	httpreq_unref(httpreq);
	g_atomic_int_add(&n->callers, -1);
	*state = NULL;
}

bool entry_start(struct node_server *n, GError **error)
{
	struct machine_share share =
		machine_share((double)n->set->memory_mb, (double)n->set->max_descriptors);
	unsigned max_conns = MIN(ENTRY_CONNECTIONS_MAX, share.callers);
	int fd = mhd_listen(n->set->caller_address, error);

	if (fd < 0)
		return false;
	mhd_set_receive_bytes(fd, MHD_WAITING_BYTES);
	n->entry_limit = entry_limit_new(share.request_bytes, ENTRY_CONNECTION_BYTES, max_conns);
	mhd_bound_address(fd, n->caller_address);
	n->entry = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle, n,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_THREAD_POOL_SIZE, ENTRY_THREADS,
		MHD_OPTION_NOTIFY_COMPLETED, request_completed, n, MHD_OPTION_CONNECTION_TIMEOUT,
		ENTRY_IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_CONNECTION, entry_limit_on_connection,
		n->entry_limit, MHD_OPTION_CONNECTION_LIMIT, max_conns,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)ENTRY_CONNECTION_BYTES, MHD_OPTION_END);
	if (!n->entry) {
		close(fd);
		return err_set(error, ERR_IO, "can't start the listener for callers");
	}
	return true;
}
