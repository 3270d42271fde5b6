/* Request forwarding, sender side. */
#include "node/fwd.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "fwd_int.h"

#include <string.h>

#define FWD_TICK_MS 50
#define FWD_RESEND_MS 100	  /* resend period until the owner accepts the request */
#define FWD_PROBE_MS 400	  /* probe period after the request was accepted */
#define FWD_OWNER_TIMEOUT_MS 2000 /* the request fails after this time without a reply */
#define FWD_GRACE_MS 300	  /* wait for the owner's refusal after the deadline */
#define FWD_ANNOUNCE_MS 250

struct fwd_pending {
	uint64_t id;
	struct httpreq *httpreq; /* owned reference */
	char vm[BB_NAME_BYTES];	 /* issuer of the ticket */
	uint64_t incarnation;	 /* of the issuer */
	int64_t until_ms;	 /* deadline of the request plus FWD_GRACE_MS; it fails then */
	int64_t last_reply_ms;	 /* time of the owner's last reply; before one, the start time */
	int64_t next_ms;	 /* time of the next send */
	bool taken;		 /* the owner has accepted the request */
	bool had_address;	 /* the owner's address was known for at least one send */
};

static void free_pending(gpointer data)
{
	struct fwd_pending *pending = data;

	httpreq_unref(pending->httpreq);
	g_free(pending);
}

struct fwd *fwd_new(struct node_server *n)
{
	struct fwd *f = g_new0(struct fwd, 1);

	f->node = n;
	pthread_mutex_init(&f->lock, NULL);
	f->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_pending);
	f->owners = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	f->announced = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->running = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return f;
}

void fwd_free(struct fwd *f)
{
	g_hash_table_destroy(f->pending);
	g_hash_table_destroy(f->owners);
	g_hash_table_destroy(f->announced);
	g_hash_table_destroy(f->running);
	pthread_mutex_destroy(&f->lock);
	g_free(f);
}

uint32_t fwd_pending(struct fwd *f)
{
	pthread_mutex_lock(&f->lock);
	uint32_t count = g_hash_table_size(f->pending);
	pthread_mutex_unlock(&f->lock);
	return count;
}

bool fwd_address(struct node_server *n, const char *vm, char address[BB_ADDRESS_BYTES])
{
	const struct bb_node *node;

	pthread_mutex_lock(&n->lock);
	node = bb_node(&n->core_state->bb, vm);
	g_strlcpy(address, node && node->in_list ? node->peer_address : "", BB_ADDRESS_BYTES);
	pthread_mutex_unlock(&n->lock);
	return address[0] != '\0';
}

/* A message for a pending request, to be sent after the lock is released. */
struct outgoing {
	struct httpreq *httpreq; /* a reference */
	uint64_t id;
	int64_t wait_ms;
	bool probe;
	uint64_t incarnation;
	char vm[BB_NAME_BYTES];
};

static void send_forward(struct fwd *f, const struct outgoing *out, const char *address)
{
	struct httpreq *httpreq = out->httpreq;
	Peer__Forward forward = PEER__FORWARD__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	GBytes *input;
	gsize len = 0;

	pthread_mutex_lock(&httpreq->lock);
	input = g_bytes_ref(httpreq->input);
	pthread_mutex_unlock(&httpreq->lock);
	forward.id = out->id;
	forward.ticket = httpreq->given_ticket;
	forward.target = httpreq->target;
	forward.account = httpreq->account;
	forward.wait_ms = out->wait_ms;
	forward.probe = out->probe;
	if (!out->probe) {
		forward.body.data = (uint8_t *)g_bytes_get_data(input, &len);
		forward.body.len = len;
	}
	message.ttl_ms = MIN(out->wait_ms, FWD_OWNER_TIMEOUT_MS);
	message.kind_case = PEER__MESSAGE__KIND_FORWARD;
	message.forward = &forward;
	peer_send(f->node->peer, out->vm, address, &message);
	g_bytes_unref(input);
}

static void record_address(struct fwd *f, uint64_t id)
{
	pthread_mutex_lock(&f->lock);
	struct fwd_pending *pending = g_hash_table_lookup(f->pending, &id);
	if (pending)
		pending->had_address = true;
	pthread_mutex_unlock(&f->lock);
}

static void send_all(struct fwd *f, GArray *sends)
{
	char address[BB_ADDRESS_BYTES];

	for (guint i = 0; i < sends->len; i++) {
		struct outgoing *out = &g_array_index(sends, struct outgoing, i);

		/* an owner with this node's name is an earlier incarnation, which no longer runs */
		if (strcmp(out->vm, f->node->set->vm) != 0 &&
		    fwd_address(f->node, out->vm, address)) {
			record_address(f, out->id);
			send_forward(f, out, address);
		} else {
			fwd_request_owner(f, out->incarnation);
		}
		httpreq_unref(out->httpreq);
	}
}

static void queue_send(struct fwd *f, struct fwd_pending *pending, int64_t now_ms, GArray *sends)
{
	struct outgoing out = {.httpreq = httpreq_ref(pending->httpreq),
			       .id = pending->id,
			       .wait_ms = MAX(pending->until_ms - FWD_GRACE_MS - now_ms, 1),
			       .probe = pending->taken};

	fwd_find_owner(f, pending->incarnation, pending->vm, out.vm);
	out.incarnation = pending->incarnation;
	pending->next_ms = now_ms + (pending->taken ? FWD_PROBE_MS : FWD_RESEND_MS);
	g_array_append_val(sends, out);
}

/*
 * Removes a pending request and returns a reference to it; NULL if it has been answered. Call with
 * the lock held.
 */
static struct httpreq *remove_pending(struct fwd *f, uint64_t id)
{
	struct fwd_pending *pending = g_hash_table_lookup(f->pending, &id);
	struct httpreq *httpreq;

	if (!pending)
		return NULL;
	httpreq = httpreq_ref(pending->httpreq);
	g_hash_table_remove(f->pending, &id);
	return httpreq;
}

/* True if this node owns the tickets, which it may have adopted while forwarding a request. */
static bool is_owned_here(struct node_server *n, uint64_t incarnation)
{
	pthread_mutex_lock(&n->lock);
	bool owned = ticket_owns(n->core_state->tickets, incarnation);
	pthread_mutex_unlock(&n->lock);
	return owned;
}

enum err_code fwd_fill_event(struct node_server *n, const struct httpreq *httpreq, int64_t wait_ms,
			     struct core_ev_request *ev)
{
	struct cfg *cfg = node_cfg(n);
	enum err_code code = cfg ? target_parse(cfg, httpreq->target, ev) : ERR_NOT_READY;

	ev->account = -1;
	for (uint32_t i = 0; cfg && i < cfg->accounts.n_items; i++) {
		if (strcmp(cfg->accounts.items[i].name, httpreq->account) == 0)
			ev->account = (int)i;
	}
	ev->cfg = cfg;
	if (code == ERR_NONE && ev->account < 0)
		code = ERR_UNAUTHORISED;
	ev->id = httpreq->id;
	ev->wait_ms = wait_ms;
	ev->body_bytes = g_bytes_get_size(httpreq->input);
	ev->has_ticket = true;
	ev->now_wall_ms = clock_wall_ms();
	if (code == ERR_NONE && !ticket_parse(httpreq->given_ticket, &ev->ticket, NULL))
		code = ERR_TICKET_MALFORMED;
	return code;
}

static void run_here(struct fwd *f, struct httpreq *httpreq, int64_t wait_ms)
{
	struct core_event ev = {.type = CORE_EV_REQUEST};
	enum err_code code = fwd_fill_event(f->node, httpreq, wait_ms, &ev.u.request);

	if (code == ERR_NONE)
		node_handle_event(f->node, &ev);
	else
		run_refuse(f->node, httpreq, code, ERR_OUTCOME_UNKNOWN, 0);
	cfg_unref(ev.u.request.cfg);
}

static bool has_timed_out(const struct fwd_pending *pending, int64_t now_ms)
{
	return now_ms >= pending->until_ms ||
	       now_ms >= pending->last_reply_ms + FWD_OWNER_TIMEOUT_MS;
}

static void fail_request(struct fwd *f, uint64_t id)
{
	struct fwd_pending *pending;
	struct httpreq *httpreq;
	enum err_code code;

	pthread_mutex_lock(&f->lock);
	pending = g_hash_table_lookup(f->pending, &id);
	code = pending && pending->had_address ? ERR_OWNER_UNREACHABLE : ERR_TICKET_UNKNOWN;
	httpreq = remove_pending(f, id);
	pthread_mutex_unlock(&f->lock);
	if (!httpreq)
		return;
	run_refuse(f->node, httpreq, code, ERR_OUTCOME_UNKNOWN, 0);
	httpreq_unref(httpreq);
}

static void run_adopted(struct fwd *f, uint64_t id, int64_t now_ms)
{
	struct fwd_pending *pending;
	struct httpreq *httpreq;
	int64_t wait_ms = 0;

	pthread_mutex_lock(&f->lock);
	pending = g_hash_table_lookup(f->pending, &id);
	if (pending)
		wait_ms = pending->until_ms - FWD_GRACE_MS - now_ms;
	httpreq = remove_pending(f, id);
	pthread_mutex_unlock(&f->lock);
	if (!httpreq)
		return;
	run_here(f, httpreq, MAX(wait_ms, 1));
	httpreq_unref(httpreq);
}

struct due_request {
	uint64_t id;
	uint64_t incarnation;
	bool timed_out;
};

static GArray *collect_due(struct fwd *f, int64_t now_ms, GArray *sends)
{
	GArray *due_requests = g_array_new(FALSE, TRUE, sizeof(struct due_request));
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&f->lock);
	g_hash_table_iter_init(&iter, f->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fwd_pending *pending = value;
		const struct due_request due_request = {.id = pending->id,
							.incarnation = pending->incarnation,
							.timed_out =
								has_timed_out(pending, now_ms)};
		g_array_append_val(due_requests, due_request);
		if (!due_request.timed_out && now_ms >= pending->next_ms)
			queue_send(f, pending, now_ms, sends);
	}
	pthread_mutex_unlock(&f->lock);
	return due_requests;
}

static void tick(void *arg, int64_t now_ms)
{
	struct fwd *f = arg;
	GArray *sends = g_array_new(FALSE, TRUE, sizeof(struct outgoing));
	GArray *due_requests = collect_due(f, now_ms, sends);

	send_all(f, sends);
	for (guint i = 0; i < due_requests->len; i++) {
		const struct due_request *due_request =
			&g_array_index(due_requests, struct due_request, i);
		if (is_owned_here(f->node, due_request->incarnation))
			run_adopted(f, due_request->id, now_ms);
		else if (due_request->timed_out)
			fail_request(f, due_request->id);
	}
	if (now_ms >= f->announce_at_ms) {
		f->announce_at_ms = now_ms + FWD_ANNOUNCE_MS;
		fwd_send_adopted(f);
	}
	g_array_unref(sends);
	g_array_unref(due_requests);
}

void fwd_start(struct fwd *f)
{
	timer_every(f->node->timers, FWD_TICK_MS, tick, f);
}

void fwd_request(struct fwd *f, struct httpreq *httpreq, const struct core_cmd *cmd)
{
	struct fwd_pending *pending = g_new0(struct fwd_pending, 1);
	GArray *sends = g_array_new(FALSE, TRUE, sizeof(struct outgoing));
	int64_t now_ms = clock_now_ms();

	counter_add(COUNTER_FORWARDS, 1);
	pending->id = httpreq->id;
	pending->httpreq = httpreq_ref(httpreq);
	pending->incarnation = cmd->ticket.incarnation;
	g_strlcpy(pending->vm, cmd->vm, sizeof(pending->vm));
	pending->until_ms = now_ms + cmd->timeout_ms + FWD_GRACE_MS;
	pending->last_reply_ms = now_ms;
	pthread_mutex_lock(&f->lock);
	g_hash_table_replace(f->pending, &pending->id, pending);
	queue_send(f, pending, now_ms, sends);
	pthread_mutex_unlock(&f->lock);
	send_all(f, sends);
	g_array_unref(sends);
}

static void record_accepted(struct fwd *f, uint64_t id)
{
	pthread_mutex_lock(&f->lock);
	struct fwd_pending *pending = g_hash_table_lookup(f->pending, &id);
	if (pending) {
		pending->taken = true;
		pending->last_reply_ms = clock_now_ms();
	}
	pthread_mutex_unlock(&f->lock);
}

static void deliver_answer(struct fwd *f, struct httpreq *httpreq, const Peer__ForwardReply *reply)
{
	GBytes *body;

	if (reply->outcome != ERR_OUTCOME_COMPLETE) {
		run_refuse(f->node, httpreq, reply->code,
			   reply->outcome == ERR_OUTCOME_NOT_RUN ? ERR_OUTCOME_NOT_RUN
								 : ERR_OUTCOME_UNKNOWN,
			   reply->retry_after_ms);
		return;
	}
	body = g_bytes_new(reply->body.data, reply->body.len);
	run_answer(f->node, httpreq, body);
	g_bytes_unref(body);
}

void fwd_receive_reply(struct fwd *f, const Peer__Message *message)
{
	const Peer__ForwardReply *reply = message->forward_reply;
	struct httpreq *httpreq;

	/* a restarted node uses the same ids again: drop replies to an earlier incarnation */
	if (message->to_incarnation != f->node->incarnation)
		return;
	if (reply->taken) {
		record_accepted(f, reply->id);
		return;
	}
	pthread_mutex_lock(&f->lock);
	httpreq = remove_pending(f, reply->id);
	pthread_mutex_unlock(&f->lock);
	if (!httpreq) {
		counter_add(COUNTER_LATE_RESULTS, 1);
		return;
	}
	deliver_answer(f, httpreq, reply);
	httpreq_unref(httpreq);
}
