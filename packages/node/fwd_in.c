/* Forwarding, the owner's side: a request of another node runs here like a local one. */
#include "base/clock.h"
#include "base/counter.h"
#include "fwd_int.h"

#define FWD_REPLY_TTL_MS 5000

/* Who gets the answer. */
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

static void send_taken(struct fwd *f, const Peer__Message *message)
{
	Peer__ForwardReply reply = PEER__FORWARD_REPLY__INIT;

	reply.id = message->forward->id;
	reply.taken = true;
	send_reply(f, message->from_vm, message->from_incarnation, &reply);
}

static void send_answer(struct fwd *f, const char *vm, uint64_t incarnation, uint64_t id,
			const struct tkt_answer *answer, int64_t retry_after_ms)
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

static void done(struct hrq *hrq, void *arg)
{
	struct inbound *in = arg;
	const struct tkt_answer answer = {
		.outcome = hrq->outcome, .code = hrq->code, .body = hrq->answer};

	pthread_mutex_lock(&in->fwd->lock);
	g_hash_table_remove(in->fwd->running, in->key);
	pthread_mutex_unlock(&in->fwd->lock);
	/* released in between: the sender finds the successor and asks there */
	if (hrq->outcome == ERR_OUTCOME_COMPLETE || hrq->code != ERR_OWNER_UNREACHABLE)
		send_answer(in->fwd, in->vm, in->incarnation, in->id, &answer, hrq->retry_after_ms);
	free_inbound(in);
}

/* The answer of an ended ticket, with a reference to its body. */
static bool find_answer(struct nod *n, const struct tkt_id *id, struct tkt_answer *answer)
{
	const struct tkt_answer *found;

	pthread_mutex_lock(&n->lock);
	found = tkt_owns(n->dec->tickets, id->incarnation) ? tkt_answer(n->dec->tickets, id) : NULL;
	if (found) {
		*answer = *found;
		if (answer->body)
			g_bytes_ref(answer->body);
	}
	pthread_mutex_unlock(&n->lock);
	return found != NULL;
}

static void answer_probe(struct fwd *f, const Peer__Message *message, const struct tkt_id *id)
{
	struct tkt_answer answer;

	if (!find_answer(f->node, id, &answer))
		return;
	send_answer(f, message->from_vm, message->from_incarnation, message->forward->id, &answer,
		    0);
	if (answer.body)
		g_bytes_unref(answer.body);
}

static struct hrq *make_request(struct fwd *f, const Peer__Message *message, char *key)
{
	const Peer__Forward *forward = message->forward;
	struct nod *n = f->node;
	struct hrq *hrq = hrq_new(nod_next_id(n), n->set->vm, n->incarnation);
	struct inbound *in = g_new0(struct inbound, 1);

	in->fwd = f;
	in->key = key;
	in->vm = g_strdup(message->from_vm);
	in->incarnation = message->from_incarnation;
	in->id = forward->id;
	hrq->state = HRQ_RUNNING;
	hrq->input = g_bytes_new(forward->body.data, forward->body.len);
	hrq->target = g_strdup(forward->target);
	hrq->account = g_strdup(forward->account);
	g_strlcpy(hrq->given_ticket, forward->ticket, sizeof(hrq->given_ticket));
	hrq->on_done = done;
	hrq->on_done_arg = in;
	return hrq;
}

/* Refuses what this node's configuration does not know, with a tombstone first. */
static void refuse(struct nod *n, struct hrq *hrq, const struct tkt_id *id, enum err_code code)
{
	enum err_outcome outcome;

	pthread_mutex_lock(&n->lock);
	outcome = tkt_refuse(n->dec->tickets, id, code, clock_wall_ms());
	pthread_mutex_unlock(&n->lock);
	run_refusal(n, hrq, code, outcome, 0);
}

static void run(struct fwd *f, struct hrq *hrq, const struct tkt_id *id, int64_t wait_ms)
{
	struct dec_event ev = {.type = DEC_EV_REQUEST};
	enum err_code code = fwd_fill_event(f->node, hrq, MAX(wait_ms, 1), &ev.u.request);

	ev.u.request.forwarded = true;
	if (!nod_add_req(f->node, hrq))
		free_inbound(hrq->on_done_arg);
	else if (code == ERR_NONE)
		nod_event(f->node, &ev);
	else
		refuse(f->node, hrq, id, code);
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

static bool owns(struct nod *n, uint64_t incarnation)
{
	pthread_mutex_lock(&n->lock);
	bool owned = tkt_owns(n->dec->tickets, incarnation);
	pthread_mutex_unlock(&n->lock);
	return owned;
}

void fwd_take_forward(struct fwd *f, const Peer__Message *message)
{
	const Peer__Forward *forward = message->forward;
	struct tkt_id id;
	char *key;

	if (!tkt_parse(forward->ticket, &id, NULL) || !owns(f->node, id.incarnation))
		return;
	key = make_key(message);
	if (is_running(f, key)) {
		send_taken(f, message);
		g_free(key);
		return;
	}
	if (forward->probe) {
		answer_probe(f, message, &id);
		g_free(key);
		return;
	}
	mark_running(f, key);
	send_taken(f, message);
	struct hrq *hrq = make_request(f, message, key);
	run(f, hrq, &id, forward->wait_ms);
	hrq_unref(hrq);
}
