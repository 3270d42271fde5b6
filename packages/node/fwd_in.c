/* Request forwarding, owner side: runs requests of other nodes like local ones. */
#include "base/clock.h"
#include "base/counter.h"
#include "fwd_int.h"
#include "node/digest.h"

#define FWD_REPLY_TTL_MS 5000

/* A forwarded request that runs here, and the node that waits for its answer. */
struct inbound {
	struct fwd *fwd;
	char *key;
	char *vm;
	uint64_t incarnation;
	uint64_t id;
};

static char *make_key(const Peer__Message *message)
{
	return g_strdup_printf("%s.%" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT, message->from_vm,
			       message->from_incarnation, message->forward->id);
}

static void send_reply(struct fwd *f, const char *vm, uint64_t incarnation,
		       Peer__ForwardReply *reply)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	char address[BB_ADDRESS_BYTES];

	message.to_incarnation = incarnation;
	message.ttl_ms = FWD_REPLY_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_FORWARD_REPLY;
	message.forward_reply = reply;
	if (fwd_address(f->node, vm, address))
		peer_send(f->node->peer, vm, address, &message);
}

static void send_accepted(struct fwd *f, const Peer__Message *message)
{
	Peer__ForwardReply reply = PEER__FORWARD_REPLY__INIT;

	reply.id = message->forward->id;
	reply.taken = true;
	send_reply(f, message->from_vm, message->from_incarnation, &reply);
}

static void send_answer(struct fwd *f, const char *vm, uint64_t incarnation, uint64_t id,
			const struct ticket_answer *answer, int64_t retry_after_ms)
{
	Peer__ForwardReply reply = PEER__FORWARD_REPLY__INIT;
	gsize len = 0;

	reply.id = id;
	reply.code = answer->code;
	reply.outcome = (int32_t)answer->outcome;
	reply.retry_after_ms = retry_after_ms;
	if (answer->body) {
		reply.body.data = (uint8_t *)g_bytes_get_data(answer->body, &len);
		reply.body.len = len;
	}
	send_reply(f, vm, incarnation, &reply);
}

static void free_inbound(struct inbound *in)
{
	g_free(in->key);
	g_free(in->vm);
	g_free(in);
}

static void send_result(struct httpreq *httpreq, void *arg)
{
	struct inbound *in = arg;
	const struct ticket_answer answer = {
		.outcome = httpreq->outcome, .code = httpreq->code, .body = httpreq->answer};

	pthread_mutex_lock(&in->fwd->lock);
	g_hash_table_remove(in->fwd->running, in->key);
	pthread_mutex_unlock(&in->fwd->lock);
	/* no reply if the ticket has been released: the sender then finds the successor */
	if (httpreq->outcome == ERR_OUTCOME_COMPLETE || httpreq->code != ERR_OWNER_UNREACHABLE)
		send_answer(in->fwd, in->vm, in->incarnation, in->id, &answer,
			    httpreq->retry_after_ms);
	free_inbound(in);
}

/* Copies the answer recorded for a ticket and references its body; false if there is none. */
static bool find_answer(struct node_server *n, const struct ticket_id *id,
			struct ticket_answer *answer)
{
	const struct ticket_answer *found;

	pthread_mutex_lock(&n->lock);
	found = ticket_owns(n->core_state->tickets, id->incarnation)
			? ticket_answer(n->core_state->tickets, id)
			: NULL;
	if (found) {
		*answer = *found;
		if (answer->body)
			g_bytes_ref(answer->body);
	}
	pthread_mutex_unlock(&n->lock);
	return found != NULL;
}

static void answer_probe(struct fwd *f, const Peer__Message *message, const struct ticket_id *id)
{
	struct ticket_answer answer;

	if (!find_answer(f->node, id, &answer))
		return;
	send_answer(f, message->from_vm, message->from_incarnation, message->forward->id, &answer,
		    0);
	if (answer.body)
		g_bytes_unref(answer.body);
}

static struct httpreq *make_request(struct fwd *f, const Peer__Message *message, char *key)
{
	const Peer__Forward *forward = message->forward;
	struct node_server *n = f->node;
	struct httpreq *httpreq = httpreq_new(node_next_id(n), n->set->vm, n->incarnation);
	struct inbound *in = g_new0(struct inbound, 1);

	in->fwd = f;
	in->key = key;
	in->vm = g_strdup(message->from_vm);
	in->incarnation = message->from_incarnation;
	in->id = forward->id;
	httpreq->state = HTTPREQ_RUNNING;
	httpreq->input = g_bytes_new(forward->body.data, forward->body.len);
	httpreq->target = g_strdup(forward->target);
	httpreq->account = g_strdup(forward->account);
	g_strlcpy(httpreq->given_ticket, forward->ticket, sizeof(httpreq->given_ticket));
	httpreq->on_done = send_result;
	httpreq->on_done_arg = in;
	return httpreq;
}

/* Refuses a request that this node can't resolve, and marks its ticket as refused. */
static void refuse(struct node_server *n, struct httpreq *httpreq, const struct ticket_id *id,
		   enum err_code code)
{
	enum err_outcome outcome;

	pthread_mutex_lock(&n->lock);
	outcome = ticket_refuse(n->core_state->tickets, id, code, clock_wall_ms());
	pthread_mutex_unlock(&n->lock);
	run_refuse(n, httpreq, code, outcome, 0);
}

static void run(struct fwd *f, struct httpreq *httpreq, const struct ticket_id *id, int64_t wait_ms)
{
	struct core_event ev = {.type = CORE_EV_REQUEST};
	enum err_code code = fwd_fill_event(f->node, httpreq, CLAMP(wait_ms, 1, DIGEST_TIME_MAX_MS),
					    &ev.u.request);

	ev.u.request.forwarded = true;
	if (!node_add_request(f->node, httpreq))
		free_inbound(httpreq->on_done_arg);
	else if (code == ERR_NONE)
		node_handle_event(f->node, &ev);
	else
		refuse(f->node, httpreq, id, code);
	cfg_unref(ev.u.request.cfg);
}

static bool is_running(struct fwd *f, const char *key)
{
	pthread_mutex_lock(&f->lock);
	bool running = g_hash_table_contains(f->running, key);
	pthread_mutex_unlock(&f->lock);
	return running;
}

static void mark_running(struct fwd *f, const char *key)
{
	pthread_mutex_lock(&f->lock);
	g_hash_table_add(f->running, g_strdup(key));
	pthread_mutex_unlock(&f->lock);
}

static bool owns_tickets(struct node_server *n, uint64_t incarnation)
{
	pthread_mutex_lock(&n->lock);
	bool owned = ticket_owns(n->core_state->tickets, incarnation);
	pthread_mutex_unlock(&n->lock);
	return owned;
}

void fwd_receive_forward(struct fwd *f, const Peer__Message *message)
{
	const Peer__Forward *forward = message->forward;
	struct ticket_id id;
	char *key;

	if (!ticket_parse(forward->ticket, &id, NULL) || !owns_tickets(f->node, id.incarnation))
		return;
	key = make_key(message);
	if (is_running(f, key)) {
		send_accepted(f, message);
		g_free(key);
		return;
	}
	if (forward->probe) {
		answer_probe(f, message, &id);
		g_free(key);
		return;
	}
	mark_running(f, key);
	send_accepted(f, message);
	struct httpreq *httpreq = make_request(f, message, key);
	run(f, httpreq, &id, forward->wait_ms);
	httpreq_unref(httpreq);
}
