/* Listener for callers: addresses, tickets, pipelines and services over HTTP/1.1. */
#include "base/clock.h"
#include "base/counter.h"
#include "base/mhd.h"
#include "ent_int.h"

#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#define ENT_THREADS 2
#define ENT_TIMEOUT_S 10 /* of a connection on which nothing moves */
#define ENT_CONNECTIONS 2048
#define ENT_CONNECTION_BYTES (16 * 1024)
#define ENT_BODY_BYTES_MAX (1024 * 1024) /* until a configuration is in force */
#define ENT_TICKETS 64			 /* tickets in an address answer */
#define ENT_DEADLINE_MS_MAX 600000
#define ENT_PREFIX_BYTES 256

/* True when every node would refuse the same bytes at any time. */
static bool is_refused_everywhere(enum err_code code)
{
	return code == ERR_BAD_REQUEST || code == ERR_TICKET_MALFORMED || code == ERR_NOT_FOUND ||
	       code == ERR_DEADLINE_EXPIRED;
}

/*
 * What holds for a request that is refused before the decisions saw it. Where the refusal hangs on
 * this node's configuration, a copy of a request with a ticket may still run elsewhere, unless its
 * ticket is owned here and gets a tombstone.
 */
static enum err_outcome early_outcome(struct nod *n, struct MHD_Connection *conn,
				      enum err_code code)
{
	const char *text = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, HEADER_TICKET);
	enum err_outcome outcome;
	struct tkt_id id;

	if (!text || is_refused_everywhere(code) || !tkt_parse(text, &id, NULL))
		return err_info(code)->outcome;
	/* nobody without an account may use a ticket up */
	if (code == ERR_UNAUTHORISED || code == ERR_NOT_READY)
		return ERR_OUTCOME_UNKNOWN;
	pthread_mutex_lock(&n->lock);
	outcome = tkt_refuse(n->dec->tickets, &id, code, clock_wall_ms());
	pthread_mutex_unlock(&n->lock);
	return outcome;
}

/* Refuses before the decisions saw the request. */
static enum MHD_Result refuse(struct nod *n, struct MHD_Connection *conn, struct hrq *hrq,
			      enum err_code code)
{
	hrq->state = HRQ_DONE;
	hrq->code = code;
	hrq->outcome = early_outcome(n, conn, code);
	if (err_info(code)->retry_later)
		hrq->retry_after_ms = CLOCK_MS_PER_S;
	counter_add(hrq->outcome == ERR_OUTCOME_NOT_RUN ? COUNTER_NOT_RUN : COUNTER_UNKNOWN, 1);
	return ent_queue_error(conn, hrq);
}

static bool read_deadline(struct MHD_Connection *conn, int64_t *wait_ms)
{
	const char *text = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, HEADER_DEADLINE);
	gint64 value = 0;

	if (text && !g_ascii_string_to_signed(text, 10, 0, ENT_DEADLINE_MS_MAX, &value, NULL))
		return false;
	*wait_ms = value;
	return !text || value > 0;
}

static enum err_code read_ticket(struct MHD_Connection *conn, struct hrq *hrq,
				 struct dec_ev_request *ev)
{
	const char *text = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, HEADER_TICKET);

	ev->has_ticket = text != NULL;
	if (text &&
	    (strlen(text) >= sizeof(hrq->given_ticket) || !tkt_parse(text, &ev->ticket, NULL)))
		return ERR_TICKET_MALFORMED;
	g_strlcpy(hrq->given_ticket, text ? text : "", sizeof(hrq->given_ticket));
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
				  const char *url, struct hrq *hrq, struct dec_ev_request *ev)
{
	const char *key = mhd_bearer(conn);
	enum err_code code;

	if (has_repeated_header(conn))
		return ERR_BAD_REQUEST;
	ev->account = key ? cfg_find_account(cfg, key) : -1;
	if (ev->account < 0)
		return ERR_UNAUTHORISED;
	code = tgt_read(cfg, url, ev);
	if (code != ERR_NONE)
		return code;
	if (hrq->too_large)
		return ERR_TOO_LARGE;
	if (!read_deadline(conn, &ev->wait_ms))
		return ERR_DEADLINE_EXPIRED;
	ev->id = hrq->id;
	ev->body_bytes = hrq->body->len;
	ev->prefix_hash = XXH64(hrq->body->data, MIN(hrq->body->len, ENT_PREFIX_BYTES), 0);
	ev->now_wall_ms = clock_wall_ms();
	hrq->target = g_strdup(url);
	hrq->account = g_strdup(cfg->accounts.items[ev->account].name);
	return read_ticket(conn, hrq, ev);
}

/* False when it was answered since it stands in the table: the node may be stopping. */
static bool suspend(struct nod *n, struct hrq *hrq)
{
	bool suspended = false;

	pthread_mutex_lock(&hrq->lock);
	if (hrq->state == HRQ_RUNNING) {
		hrq->suspended = true;
		MHD_suspend_connection(hrq->conn);
		gon_watch(n->gone, hrq);
		suspended = true;
	}
	pthread_mutex_unlock(&hrq->lock);
	return suspended;
}

static enum MHD_Result submit(struct nod *n, struct MHD_Connection *conn, const char *url,
			      struct hrq *hrq)
{
	struct dec_event ev = {.type = DEC_EV_REQUEST};
	struct cfg *cfg = nod_cfg(n);
	enum err_code code = cfg ? read_request(conn, cfg, url, hrq, &ev.u.request) : ERR_NOT_READY;

	if (code != ERR_NONE) {
		cfg_unref(cfg);
		return refuse(n, conn, hrq, code);
	}
	ev.u.request.cfg = cfg;
	counter_add(COUNTER_REQUESTS, 1);
	hrq->input = g_bytes_new(hrq->body->data, hrq->body->len);
	hrq->state = HRQ_RUNNING;
	if (!nod_add_req(n, hrq)) {
		cfg_unref(cfg);
		return refuse(n, conn, hrq, ERR_DRAINING);
	}
	if (!suspend(n, hrq)) {
		cfg_unref(cfg);
		return ent_queue_result(conn, hrq);
	}
	nod_event(n, &ev);
	cfg_unref(cfg);
	return MHD_YES;
}

static void append_body(struct nod *n, struct hrq *hrq, const char *data, size_t len)
{
	struct cfg *cfg = nod_cfg(n);
	size_t max = cfg ? (size_t)cfg->capacity.max_body_bytes : ENT_BODY_BYTES_MAX;

	cfg_unref(cfg);
	if (hrq->body->len + len > max)
		hrq->too_large = true;
	if (!hrq->too_large)
		g_byte_array_append(hrq->body, (const guint8 *)data, (guint)len);
}

/* Tickets in a row; none once they were released to a successor. */
static json_t *ticket_json(struct nod *n, uint32_t count)
{
	char text[TKT_TEXT_BYTES] = "";
	struct tkt_id id;
	bool ok;

	pthread_mutex_lock(&n->lock);
	ok = tkt_issue(n->dec->tickets, count, clock_wall_ms(), &id);
	pthread_mutex_unlock(&n->lock);
	if (ok) {
		counter_add(COUNTER_TICKETS_ISSUED, count);
		tkt_format(&id, text);
	}
	return json_pack("{s:s, s:I}", "first", text, "count", (json_int_t)(ok ? count : 0));
}

/* Callers are sent to it: listed, and not about to stop. */
static bool is_serving(const struct nod *n, const struct bb_node *node, int64_t now_ms)
{
	if (strcmp(node->vm, n->set->vm) == 0 && n->dec->bb.draining)
		return false;
	return node->in_list && !node->leaving && node->draining_until_ms <= now_ms;
}

static json_t *addresses_json(struct nod *n)
{
	json_t *list = json_array();
	int64_t now_ms = clock_now_ms();
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&n->lock);
	g_hash_table_iter_init(&iter, n->dec->bb.nodes);
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

static enum MHD_Result answer_json(struct MHD_Connection *conn, struct hrq *hrq, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	hrq->answer = g_bytes_new_take(text, strlen(text));
	hrq->state = HRQ_DONE;
	return ent_queue_answer(conn, hrq);
}

static enum MHD_Result answer_addresses(struct nod *n, struct MHD_Connection *conn, struct hrq *hrq)
{
	struct cfg *cfg = nod_cfg(n);
	json_t *json;

	if (!cfg)
		return refuse(n, conn, hrq, ERR_NOT_READY);
	json = json_pack("{s:o, s:I, s:o, s:o}", "addresses", addresses_json(n), "ttl_ms",
			 (json_int_t)cfg->capacity.address_ttl_ms, "revisions", revisions_json(cfg),
			 "tickets", ticket_json(n, ENT_TICKETS));
	cfg_unref(cfg);
	return answer_json(conn, hrq, json);
}

static enum MHD_Result answer_ticket(struct nod *n, struct MHD_Connection *conn, struct hrq *hrq)
{
	struct cfg *cfg = nod_cfg(n);
	const char *key = mhd_bearer(conn);
	int account = cfg && key ? cfg_find_account(cfg, key) : -1;
	enum err_code code = cfg ? ERR_UNAUTHORISED : ERR_NOT_READY;

	cfg_unref(cfg);
	if (account < 0)
		return refuse(n, conn, hrq, code);
	return answer_json(conn, hrq, ticket_json(n, 1));
}

static enum MHD_Result dispatch(struct nod *n, struct MHD_Connection *conn, const char *url,
				const char *method, struct hrq *hrq)
{
	if (strcmp(method, "GET") == 0 && strcmp(url, "/v1/addresses") == 0)
		return answer_addresses(n, conn, hrq);
	if (strcmp(method, "POST") != 0)
		return refuse(n, conn, hrq, ERR_NOT_FOUND);
	if (strcmp(url, "/v1/tickets") == 0)
		return answer_ticket(n, conn, hrq);
	return submit(n, conn, url, hrq);
}

static enum MHD_Result handle(void *arg, struct MHD_Connection *conn, const char *url,
			      const char *method, const char *version, const char *data,
			      size_t *len, void **state)
{
	struct nod *n = arg;
	struct hrq *hrq = *state;

	if (!hrq) {
		hrq = hrq_new(nod_next_id(n), n->set->vm, n->incarnation);
		hrq->conn = conn;
		hrq->takes_interim = strcmp(version, MHD_HTTP_VERSION_1_1) == 0;
		hrq->draining = &n->draining;
		g_atomic_int_inc(&n->callers);
		*state = hrq;
		return MHD_YES;
	}
	if (*len > 0) {
		append_body(n, hrq, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (hrq->state == HRQ_READING)
		return dispatch(n, conn, url, method, hrq);
	return ent_queue_result(conn, hrq);
}

static void completed(void *arg, struct MHD_Connection *conn, void **state,
		      enum MHD_RequestTerminationCode why)
{
	struct nod *n = arg;
	struct hrq *hrq = *state;
	bool running;

	if (!hrq)
		return;
	pthread_mutex_lock(&hrq->lock);
	running = hrq->state == HRQ_RUNNING || (hrq->state == HRQ_STREAM && !hrq->stream_end);
	hrq->gone = true;
	hrq->conn = NULL;
	pthread_cond_broadcast(&hrq->room);
	pthread_mutex_unlock(&hrq->lock);
	if (running) {
		const struct dec_event ev = {.type = DEC_EV_CALLER_GONE, .u.req = hrq->id};
		nod_event(n, &ev);
	}
	hrq_unref(hrq);
	g_atomic_int_add(&n->callers, -1);
	*state = NULL;
}

bool ent_start(struct nod *n, GError **error)
{
	int fd = mhd_listen(n->set->caller_address, error);

	if (fd < 0)
		return false;
	mhd_bound_address(fd, n->caller_address);
	n->entry = MHD_start_daemon(
		MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle, n,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_THREAD_POOL_SIZE, ENT_THREADS,
		MHD_OPTION_NOTIFY_COMPLETED, completed, n, MHD_OPTION_CONNECTION_TIMEOUT,
		ENT_TIMEOUT_S, MHD_OPTION_CONNECTION_LIMIT, ENT_CONNECTIONS,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)ENT_CONNECTION_BYTES, MHD_OPTION_END);
	if (!n->entry) {
		close(fd);
		return err_set(error, ERR_IO, "the listener for callers does not start");
	}
	return true;
}
