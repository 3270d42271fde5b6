/* Forwarding, the sender's side. */
#include "node/fwd.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "fwd_int.h"

#include <string.h>

#define FWD_TICK_MS 50
#define FWD_REPEAT_MS 100   /* until the owner has taken the request */
#define FWD_PROBE_MS 400    /* afterwards */
#define FWD_SILENCE_MS 2000 /* without a word of the owner its request is given up */
#define FWD_GRACE_MS 300    /* past the deadline, so that the owner's own refusal comes first */
#define FWD_ANNOUNCE_MS 250

struct fwd_pending {
	uint64_t id;
	struct hrq *hrq; /* a reference */
	char vm[BB_NAME_BYTES];
	uint64_t incarnation; /* of the ticket */
	int64_t until_ms;
	int64_t heard_ms; /* last word of the owner, or the start */
	int64_t next_ms;  /* of the next repeat */
	bool taken;
	bool had_address;
};

static void free_pending(gpointer data)
{
	struct fwd_pending *pending = data;

	hrq_unref(pending->hrq);
	g_free(pending);
}

struct fwd *fwd_new(struct nod *n)
{
	struct fwd *f = g_new0(struct fwd, 1);

	f->node = n;
	pthread_mutex_init(&f->lock, NULL);
	f->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_pending);
	f->owners = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	f->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->running = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return f;
}

void fwd_free(struct fwd *f)
{
	g_hash_table_destroy(f->pending);
	g_hash_table_destroy(f->owners);
	g_hash_table_destroy(f->told);
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

bool fwd_address(struct nod *n, const char *vm, char address[BB_ADDRESS_BYTES])
{
	const struct bb_node *node;

	pthread_mutex_lock(&n->lock);
	node = bb_node(&n->dec->bb, vm);
	g_strlcpy(address, node && node->in_list ? node->peer_address : "", BB_ADDRESS_BYTES);
	pthread_mutex_unlock(&n->lock);
	return address[0] != '\0';
}

/* One message of a pending request, made with the lock dropped. */
struct outgoing {
	struct hrq *hrq; /* a reference */
	uint64_t id;
	int64_t wait_ms;
	bool probe;
	uint64_t incarnation;
	char vm[BB_NAME_BYTES];
};

static void send_forward(struct fwd *f, const struct outgoing *out, const char *address)
{
	struct hrq *hrq = out->hrq;
	Peer__Forward forward = PEER__FORWARD__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	GBytes *input;
	gsize len = 0;

	pthread_mutex_lock(&hrq->lock);
	input = g_bytes_ref(hrq->input);
	pthread_mutex_unlock(&hrq->lock);
	forward.id = out->id;
	forward.ticket = hrq->given_ticket;
	forward.target = hrq->target;
	forward.account = hrq->account;
	forward.wait_ms = out->wait_ms;
	forward.probe = out->probe;
	if (!out->probe) {
		forward.body.data = (uint8_t *)g_bytes_get_data(input, &len);
		forward.body.len = len;
	}
	message.ttl_ms = MIN(out->wait_ms, FWD_SILENCE_MS);
	message.kind_case = PEER__MESSAGE__KIND_FORWARD;
	message.forward = &forward;
	peer_send(f->node->peer, out->vm, address, &message);
	g_bytes_unref(input);
}

static void note_address(struct fwd *f, uint64_t id)
{
	pthread_mutex_lock(&f->lock);
	struct fwd_pending *pending = g_hash_table_lookup(f->pending, &id);
	if (pending)
		pending->had_address = true;
	pthread_mutex_unlock(&f->lock);
}

static void send_all(struct fwd *f, GArray *outs)
{
	char address[BB_ADDRESS_BYTES];

	for (guint i = 0; i < outs->len; i++) {
		struct outgoing *out = &g_array_index(outs, struct outgoing, i);

		/* a node by the own name is a past incarnation of this one */
		if (strcmp(out->vm, f->node->set->vm) != 0 &&
		    fwd_address(f->node, out->vm, address)) {
			note_address(f, out->id);
			send_forward(f, out, address);
		} else {
			fwd_ask_owner(f, out->incarnation);
		}
		hrq_unref(out->hrq);
	}
}

static void plan_send(struct fwd *f, struct fwd_pending *pending, int64_t now_ms, GArray *outs)
{
	struct outgoing out = {.hrq = hrq_ref(pending->hrq),
			       .id = pending->id,
			       .wait_ms = MAX(pending->until_ms - FWD_GRACE_MS - now_ms, 1),
			       .probe = pending->taken};

	fwd_find_owner(f, pending->incarnation, pending->vm, out.vm);
	out.incarnation = pending->incarnation;
	pending->next_ms = now_ms + (pending->taken ? FWD_PROBE_MS : FWD_REPEAT_MS);
	g_array_append_val(outs, out);
}

/* Takes a request out of the pending ones; NULL when its answer came already. Lock held. */
static struct hrq *take_pending(struct fwd *f, uint64_t id)
{
	struct fwd_pending *pending = g_hash_table_lookup(f->pending, &id);
	struct hrq *hrq;

	if (!pending)
		return NULL;
	hrq = hrq_ref(pending->hrq);
	g_hash_table_remove(f->pending, &id);
	return hrq;
}

/* Tickets that were adopted here while their requests were on their way elsewhere. */
static bool is_owned_here(struct nod *n, uint64_t incarnation)
{
	pthread_mutex_lock(&n->lock);
	bool owned = tkt_owns(n->dec->tickets, incarnation);
	pthread_mutex_unlock(&n->lock);
	return owned;
}

enum err_code fwd_fill_event(struct nod *n, const struct hrq *hrq, int64_t wait_ms,
			     struct dec_ev_request *ev)
{
	struct cfg *cfg = nod_cfg(n);
	enum err_code code = cfg ? tgt_read(cfg, hrq->target, ev) : ERR_NOT_READY;

	ev->account = -1;
	for (uint32_t i = 0; cfg && i < cfg->accounts.n_items; i++) {
		if (strcmp(cfg->accounts.items[i].name, hrq->account) == 0)
			ev->account = (int)i;
	}
	ev->cfg = cfg;
	if (code == ERR_NONE && ev->account < 0)
		code = ERR_UNAUTHORISED;
	ev->id = hrq->id;
	ev->wait_ms = wait_ms;
	ev->body_bytes = g_bytes_get_size(hrq->input);
	ev->has_ticket = true;
	ev->now_wall_ms = clock_wall_ms();
	if (code == ERR_NONE && !tkt_parse(hrq->given_ticket, &ev->ticket, NULL))
		code = ERR_TICKET_MALFORMED;
	return code;
}

static void run_here(struct fwd *f, struct hrq *hrq, int64_t wait_ms)
{
	struct dec_event ev = {.type = DEC_EV_REQUEST};
	enum err_code code = fwd_fill_event(f->node, hrq, wait_ms, &ev.u.request);

	if (code == ERR_NONE)
		nod_event(f->node, &ev);
	else
		run_refusal(f->node, hrq, code, ERR_OUTCOME_UNKNOWN, 0);
	cfg_unref(ev.u.request.cfg);
}

static bool is_given_up(const struct fwd_pending *pending, int64_t now_ms)
{
	return now_ms >= pending->until_ms || now_ms >= pending->heard_ms + FWD_SILENCE_MS;
}

static void give_up(struct fwd *f, uint64_t id)
{
	struct fwd_pending *pending;
	struct hrq *hrq;
	enum err_code code;

	pthread_mutex_lock(&f->lock);
	pending = g_hash_table_lookup(f->pending, &id);
	code = pending && pending->had_address ? ERR_OWNER_UNREACHABLE : ERR_TICKET_UNKNOWN;
	hrq = take_pending(f, id);
	pthread_mutex_unlock(&f->lock);
	if (!hrq)
		return;
	run_refusal(f->node, hrq, code, ERR_OUTCOME_UNKNOWN, 0);
	hrq_unref(hrq);
}

static void take_home(struct fwd *f, uint64_t id, int64_t now_ms)
{
	struct fwd_pending *pending;
	struct hrq *hrq;
	int64_t wait_ms = 0;

	pthread_mutex_lock(&f->lock);
	pending = g_hash_table_lookup(f->pending, &id);
	if (pending)
		wait_ms = pending->until_ms - FWD_GRACE_MS - now_ms;
	hrq = take_pending(f, id);
	pthread_mutex_unlock(&f->lock);
	if (!hrq)
		return;
	run_here(f, hrq, MAX(wait_ms, 1));
	hrq_unref(hrq);
}

struct due {
	uint64_t id;
	uint64_t incarnation;
	bool given_up;
};

static GArray *list_due(struct fwd *f, int64_t now_ms, GArray *outs)
{
	GArray *dues = g_array_new(FALSE, TRUE, sizeof(struct due));
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&f->lock);
	g_hash_table_iter_init(&iter, f->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fwd_pending *pending = value;
		const struct due due = {.id = pending->id,
					.incarnation = pending->incarnation,
					.given_up = is_given_up(pending, now_ms)};
		g_array_append_val(dues, due);
		if (!due.given_up && now_ms >= pending->next_ms)
			plan_send(f, pending, now_ms, outs);
	}
	pthread_mutex_unlock(&f->lock);
	return dues;
}

static void tick(void *arg, int64_t now_ms)
{
	struct fwd *f = arg;
	GArray *outs = g_array_new(FALSE, TRUE, sizeof(struct outgoing));
	GArray *dues = list_due(f, now_ms, outs);

	send_all(f, outs);
	for (guint i = 0; i < dues->len; i++) {
		const struct due *due = &g_array_index(dues, struct due, i);
		if (is_owned_here(f->node, due->incarnation))
			take_home(f, due->id, now_ms);
		else if (due->given_up)
			give_up(f, due->id);
	}
	if (now_ms >= f->announce_at_ms) {
		f->announce_at_ms = now_ms + FWD_ANNOUNCE_MS;
		fwd_tell_adopted(f);
	}
	g_array_unref(outs);
	g_array_unref(dues);
}

void fwd_start(struct fwd *f)
{
	timer_every(f->node->timers, FWD_TICK_MS, tick, f);
}

void fwd_request(struct fwd *f, struct hrq *hrq, const struct dec_cmd *cmd)
{
	struct fwd_pending *pending = g_new0(struct fwd_pending, 1);
	GArray *outs = g_array_new(FALSE, TRUE, sizeof(struct outgoing));
	int64_t now_ms = clock_now_ms();

	counter_add(COUNTER_FORWARDS, 1);
	pending->id = hrq->id;
	pending->hrq = hrq_ref(hrq);
	pending->incarnation = cmd->ticket.incarnation;
	g_strlcpy(pending->vm, cmd->vm, sizeof(pending->vm));
	pending->until_ms = now_ms + cmd->timeout_ms + FWD_GRACE_MS;
	pending->heard_ms = now_ms;
	pthread_mutex_lock(&f->lock);
	g_hash_table_replace(f->pending, &pending->id, pending);
	plan_send(f, pending, now_ms, outs);
	pthread_mutex_unlock(&f->lock);
	send_all(f, outs);
	g_array_unref(outs);
}

static void note_taken(struct fwd *f, uint64_t id)
{
	pthread_mutex_lock(&f->lock);
	struct fwd_pending *pending = g_hash_table_lookup(f->pending, &id);
	if (pending) {
		pending->taken = true;
		pending->heard_ms = clock_now_ms();
	}
	pthread_mutex_unlock(&f->lock);
}

static void pass_answer(struct fwd *f, struct hrq *hrq, const Peer__ForwardReply *reply)
{
	GBytes *body;

	if (reply->outcome != ERR_OUTCOME_COMPLETE) {
		run_refusal(f->node, hrq, reply->code,
			    reply->outcome == ERR_OUTCOME_NOT_RUN ? ERR_OUTCOME_NOT_RUN
								  : ERR_OUTCOME_UNKNOWN,
			    reply->retry_after_ms);
		return;
	}
	body = g_bytes_new(reply->body.data, reply->body.len);
	run_answer(f->node, hrq, body);
	g_bytes_unref(body);
}

void fwd_take_reply(struct fwd *f, const Peer__Message *message)
{
	const Peer__ForwardReply *reply = message->forward_reply;
	struct hrq *hrq;

	/* ids repeat after a restart: a reply to a past incarnation is not ours */
	if (message->to_incarnation != f->node->incarnation)
		return;
	if (reply->taken) {
		note_taken(f, reply->id);
		return;
	}
	pthread_mutex_lock(&f->lock);
	hrq = take_pending(f, reply->id);
	pthread_mutex_unlock(&f->lock);
	if (!hrq) {
		counter_add(COUNTER_LATE_RESULTS, 1);
		return;
	}
	pass_answer(f, hrq, reply);
	hrq_unref(hrq);
}
