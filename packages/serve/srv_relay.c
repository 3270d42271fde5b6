/*
 * Relays callers' requests to another node while this one reaches no upstream. The other node
 * serves a request as its own and relays it no further. Its answer is passed on as it arrives.
 */
#include "srv_gate.h"
#include "srv_req_int.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/relay.h"

#include <string.h>

#define RELAYS_MAX 256			  /* relayed at a time */
#define BODY_BYTES_MAX (32 * 1024 * 1024) /* of their bodies */
#define QUEUED_BYTES_MAX (256 * 1024)	  /* with more, reading from the other node pauses */
#define TRIES_MAX 2			  /* the second only if nothing was sent */
#define CONNECT_TIMEOUT_MS 400
#define AVOID_MS 1000	    /* for which a node is avoided that couldn't be connected to */
#define NODE_KEEP_MS 20000  /* for which connections to a node are kept without use */
#define STATUS_REDIRECT 300 /* lower ones are successes */
#define STATUS_SERVER_ERROR 500
#define REASON_NO_NODE "this node reaches no upstream, and no other node can serve the request"
#define REASON_RELAYED "relayed to a node that reaches no upstream"
#define REASON_FULL "this node reaches no upstream, and relays too many requests"

/* Another node, as this one relays to it. */
struct relay_node {
	struct http_client_origin *origin;
	uint32_t n_active;
	int64_t used_ms;
	int64_t avoid_until_ms;
};

struct srv_relays {
	GHashTable *nodes; /* address for callers -> struct relay_node */
	uint32_t n_active;
	size_t body_bytes; /* of the requests being relayed */
};

struct srv_relay {
	struct http_client_call *call; /* NULL after it has ended */
	struct relay_node *node;       /* NULL: none was chosen */
	char *attempt; /* the caller's attempt id, for the log after the request was answered */
	char address[GOSSIP_NAME_BYTES];
	uint32_t n_tries;
	int status; /* of the answer; 0: none has come */
	size_t body_bytes;
	int64_t began_ms;
	int64_t isolated_ms; /* for how long this node had known that it reaches no upstream */
	bool is_paused;
	bool is_complete;
};

static void free_node(gpointer value)
{
	struct relay_node *node = value;

	http_client_origin_free(node->origin);
	g_free(node);
}

struct srv_relays *srv_relays_new(void)
{
	struct srv_relays *relays = g_new0(struct srv_relays, 1);

	relays->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_node);
	return relays;
}

void srv_relays_free(struct srv_relays *relays)
{
	g_hash_table_destroy(relays->nodes);
	g_free(relays);
}

void srv_relays_tick(struct srv_relays *relays, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, relays->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct relay_node *node = value;
		http_client_close_idle(node->origin, now_ms);
		if (node->n_active == 0 && now_ms - node->used_ms > NODE_KEEP_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* Returns the node with that address; NULL if the address is invalid. */
static struct relay_node *get_node(struct srv *s, const char *address)
{
	struct relay_node *node = g_hash_table_lookup(s->relays->nodes, address);
	struct http_client_origin *origin;

	if (node)
		return node;
	origin = http_client_origin_new(&s->loop, address);
	if (!origin) {
		log_warn("relay_address", "{s:s}", "address", address);
		return NULL;
	}
	node = g_new0(struct relay_node, 1);
	node->origin = origin;
	g_hash_table_insert(s->relays->nodes, g_strdup(address), node);
	return node;
}

struct search {
	struct srv *s;
	struct relay_query query;
	struct relay_choice choice;
	int64_t now_ms;
};

static void consider(void *arg, const struct gossip_member *m)
{
	struct search *search = arg;
	struct srv *s = search->s;
	const struct relay_node *node;
	struct relay_candidate candidate;

	if (strcmp(m->record.peer_address, s->set->peer_address) == 0)
		return;
	node = g_hash_table_lookup(s->relays->nodes, m->record.caller_address);
	candidate = (struct relay_candidate){
		.address = m->record.caller_address,
		.data_centre = m->record.data_centre,
		.region = m->record.region,
		.alive = gossip_is_alive(s->fleet, m, search->now_ms),
		.ready = m->record.ready,
		.leaving = m->record.leaving,
		.isolated = m->record.isolated,
		.avoided = (node && search->now_ms < node->avoid_until_ms) ||
			   (m->suspected_ms > 0 &&
			    search->now_ms - m->suspected_ms < GOSSIP_SUSPECT_MS),
	};
	relay_choice_add(&search->choice, &search->query, &candidate, &s->prng);
}

/* Returns the address of the node to relay the request to; NULL if there is none. */
static const char *choose_node(const struct srv_req *r, int64_t now_ms)
{
	struct srv *s = r->s;
	struct search search = {
		.s = s,
		.query = {.data_centre = s->set->data_centre,
			  .region = s->set->region,
			  .regions = r->regions,
			  .tried = r->relay->n_tries > 0 ? r->relay->address : NULL},
		.now_ms = now_ms,
	};

	relay_choice_init(&search.choice);
	gossip_foreach(s->fleet, consider, &search);
	return search.choice.address;
}

static void release_node(struct srv_relay *relay)
{
	relay->call = NULL;
	if (relay->node)
		relay->node->n_active--;
	relay->node = NULL;
}

/* Ends the request after the whole answer was passed on. */
static void finish(struct srv_req *r)
{
	r->relay->is_complete = true;
	srv_req_log(r, "relayed", r->relay->status);
	http_server_finish(r->http);
	srv_req_free(r);
}

static bool on_head(void *arg, const struct http_client_head *head)
{
	struct srv_req *r = arg;
	struct adapter_answer answer;
	struct hdr_list headers = {0};

	r->s->adapter->upstream->read_answer(&head->headers, &answer);
	if (answer.attempt && strcmp(answer.attempt, r->meta.attempt) != 0) {
		log_warn("answer_of_another", "{s:s, s:s, s:s}", "request", r->meta.attempt, "node",
			 r->relay->address, "belongs_to", answer.attempt);
		return false;
	}
	r->relay->status = head->status;
	if (head->status < STATUS_REDIRECT && !(answer.is_signed && answer.attempt)) {
		srv_req_fail(r, 502, "another node sent an answer without a signature");
		return true;
	}
	if (head->status < STATUS_SERVER_ERROR && !answer.attempt) {
		/* the node's own, by another configuration than this node's; it runs nothing */
		srv_req_refuse(r, SRV_RELAY_RETRY_MS, "another node rejected the request");
		return true;
	}
	r->s->adapter->upstream->filter_response(&head->headers, &headers);
	r->response_started = true;
	r->first_ms = clock_now_ms();
	http_server_begin(r->http, head->status, &headers, head->length_bytes);
	hdr_clear(&headers);
	return true;
}

static bool on_data(void *arg, const void *data, size_t len)
{
	struct srv_req *r = arg;

	http_server_write(r->http, data, len);
	if (http_server_queued_bytes(r->http) > QUEUED_BYTES_MAX && !r->relay->is_paused) {
		r->relay->is_paused = true;
		http_client_pause(r->relay->call, true);
	}
	return true;
}

static bool send_to_node(struct srv_req *r);

static void on_end(void *arg, enum http_client_result end)
{
	struct srv_req *r = arg;
	struct srv_relay *relay = r->relay;

	if (end == HTTP_CLIENT_NOT_SENT) {
		relay->node->avoid_until_ms = clock_now_ms() + AVOID_MS;
		log_info("relay_unreachable", "{s:s, s:s}", "request", r->meta.attempt, "node",
			 relay->address);
	}
	release_node(relay);
	switch (end) {
	case HTTP_CLIENT_DONE:
		finish(r);
		break;
	case HTTP_CLIENT_NOT_SENT:
		if (!send_to_node(r))
			srv_req_refuse(r, SRV_RELAY_RETRY_MS, REASON_NO_NODE);
		break;
	case HTTP_CLIENT_BROKEN:
		srv_req_fail(r, 502, "another node broke off the answer");
		break;
	case HTTP_CLIENT_MALFORMED:
		srv_req_fail(r, 502, "another node sent a malformed answer");
		break;
	}
}

static const struct http_client_ops relay_ops = {
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

static void start_call(struct srv_req *r, int64_t now_ms)
{
	struct srv_relay *relay = r->relay;
	struct hdr_list headers = {0};
	const struct adapter_relay fields = {
		.vm = r->s->set->vm,
		.deadline_ms = r->end_at_ms - now_ms,
	};

	r->s->adapter->caller->relay(&r->http->headers, &fields, &headers);
	const struct http_client_request request = {
		.method = r->http->method,
		.target = r->http->target,
		.headers = &headers,
		.body = r->http->body->data,
		.len = r->http->body->len,
		.once = true, /* a break would leave open whether it ran */
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
	};
	relay->call = http_client_start(relay->node->origin, &request, &relay_ops, r);
	hdr_clear(&headers);
}

/* Returns false if no node is left to which the request could be sent. */
static bool send_to_node(struct srv_req *r)
{
	struct srv_relay *relay = r->relay;
	int64_t now_ms = clock_now_ms();
	const char *address;

	while (relay->n_tries < TRIES_MAX && r->end_at_ms - now_ms >= SEND_TIME_MIN_MS &&
	       (address = choose_node(r, now_ms))) {
		g_strlcpy(relay->address, address, sizeof(relay->address));
		relay->n_tries++;
		relay->node = get_node(r->s, address);
		if (!relay->node)
			continue;
		relay->node->n_active++;
		relay->node->used_ms = now_ms;
		start_call(r, now_ms);
		if (relay->call) {
			srv_relay_arm_timer(r);
			return true;
		}
		relay->node->avoid_until_ms = now_ms + AVOID_MS;
		release_node(relay);
	}
	return false;
}

/* Ends what the request waited for at this node. */
static void stop_serving(struct srv_req *r)
{
	srv_permit_stop_waiting(r);
	srv_origin_cancel(r);
	if (r->chain)
		srv_chain_release(r->s, r->chain);
	r->chain = 0;
}

static bool has_room(const struct srv_req *r)
{
	const struct srv_relays *relays = r->s->relays;

	return relays->n_active < RELAYS_MAX &&
	       relays->body_bytes + r->http->body->len <= BODY_BYTES_MAX;
}

/* Returns NULL if the request was relayed; else why it wasn't. */
static const char *start(struct srv_req *r)
{
	struct srv_relays *relays = r->s->relays;
	size_t body_bytes = r->http->body->len;

	if (!has_room(r))
		return REASON_FULL;
	r->relay = g_new0(struct srv_relay, 1);
	r->relay->attempt = g_strdup(r->meta.attempt);
	r->relay->began_ms = clock_now_ms();
	r->relay->isolated_ms = srv_reach_age_ms(r->s, r->relay->began_ms);
	r->relay->body_bytes = body_bytes;
	relays->n_active++;
	relays->body_bytes += body_bytes;
	if (send_to_node(r)) {
		srv_count(r->s, SRV_RELAYED);
		return NULL;
	}
	return REASON_NO_NODE;
}

static bool is_allowed(const struct srv_req *r)
{
	const struct relay_progress progress = {
		.is_relayed = r->meta.relayed_by != NULL,
		.runs = r->runs,
		.active = srv_req_count_active(r),
		.response_started = r->response_started,
	};

	return !r->relay && relay_is_allowed(&progress);
}

bool srv_relay_take_over(struct srv_req *r)
{
	const char *reason;

	if (!srv_reach_is_isolated(r->s) || !is_allowed(r))
		return false;
	stop_serving(r);
	reason = start(r);
	if (reason)
		srv_req_refuse(r, SRV_RELAY_RETRY_MS, reason);
	return true;
}

const char *srv_relay_obstacle(const struct srv_req *r)
{
	if (!is_allowed(r))
		return REASON_RELAYED;
	return has_room(r) ? NULL : REASON_FULL;
}

void srv_relay_start(struct srv_req *r)
{
	const char *reason = is_allowed(r) ? start(r) : REASON_RELAYED;

	if (reason)
		srv_req_refuse(r, SRV_RELAY_RETRY_MS, reason);
}

void srv_relay_drained(struct srv_req *r)
{
	if (!r->relay->is_paused || !r->relay->call)
		return;
	r->relay->is_paused = false;
	http_client_pause(r->relay->call, false);
}

static void on_timer(uv_timer_t *timer)
{
	struct srv_req *r = timer->data;
	bool was_sent =
		r->response_started || (r->relay->call && http_client_was_sent(r->relay->call));

	if (clock_now_ms() < r->end_at_ms)
		srv_relay_arm_timer(r);
	else if (r->end_at_ms == r->s->stop_by_ms)
		srv_req_end_stopped(r, was_sent);
	else if (was_sent)
		srv_req_fail(r, 504, "deadline or route timeout expired");
	else
		srv_req_refuse(r, 0, "deadline or route timeout expired");
}

void srv_relay_arm_timer(struct srv_req *r)
{
	uv_timer_start(&r->timer, on_timer, (uint64_t)MAX(r->end_at_ms - clock_now_ms(), 1), 0);
}

static void note_end(const struct srv_req *r)
{
	const struct srv_relay *relay = r->relay;

	if (!relay->is_complete)
		srv_count(r->s, SRV_RELAY_FAILURES);
	log_info("relayed", "{s:s, s:s, s:s, s:i, s:i, s:I, s:I, s:I}", "request", relay->attempt,
		 "node", relay->address, "outcome",
		 relay->is_complete ? "complete" : (r->reason ? r->reason : ""), "status",
		 relay->status, "tries", (int)relay->n_tries, "body_bytes",
		 (json_int_t)relay->body_bytes, "isolated_ms", (json_int_t)relay->isolated_ms,
		 "total_ms", (json_int_t)(clock_now_ms() - relay->began_ms));
}

void srv_relay_clear(struct srv_req *r)
{
	struct srv_relay *relay = r->relay;
	struct srv_relays *relays = r->s->relays;

	if (!relay)
		return;
	if (relay->call)
		http_client_cancel(relay->call);
	release_node(relay);
	if (relay->n_tries > 0)
		note_end(r);
	relays->n_active--;
	relays->body_bytes -= relay->body_bytes;
	g_free(relay->attempt);
	g_free(relay);
	r->relay = NULL;
}
