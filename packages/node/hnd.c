/* Hand-over of stages, the asking node's side. */
#include "node/hnd.h"

#include "base/clock.h"
#include "base/counter.h"
#include "hnd_int.h"

#include <string.h>

#define HND_TICK_MS 50
#define HND_TAKEN_MS 300 /* for the first word of the other node */
#define HND_GRACE_MS 100 /* past the deadline, so that the other node's refusal comes first */

struct pending {
	uint64_t id;
	struct hrq *hrq; /* a reference */
	struct dec_cmd cmd;
	int64_t began_ms;
	int64_t until_ms;
};

static void free_pending(gpointer data)
{
	struct pending *pending = data;

	hrq_unref(pending->hrq);
	g_free(pending);
}

struct hnd *hnd_new(struct nod *n)
{
	struct hnd *h = g_new0(struct hnd, 1);

	h->node = n;
	pthread_mutex_init(&h->lock, NULL);
	h->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_pending);
	return h;
}

void hnd_free(struct hnd *h)
{
	g_hash_table_destroy(h->pending);
	pthread_mutex_destroy(&h->lock);
	g_free(h);
}

/* Tells the decisions how an attempt ended; data is the result of one that is whole. */
static void post_result(struct nod *n, struct hrq *hrq, const struct dec_cmd *cmd, int code,
			bool sent, int64_t took_ms, const ProtobufCBinaryData *data)
{
	struct dec_event ev = {
		.type = DEC_EV_RESULT,
		.u.attempt = {.req = cmd->req,
			      .stage = cmd->stage,
			      .attempt = cmd->attempt,
			      .code = code,
			      .sent = sent,
			      .latency_us = took_ms * 1000,
			      .bytes = data ? data->len : 0},
	};
	GBytes *body = NULL;

	pthread_mutex_lock(&hrq->lock);
	struct hrq_attempt *record = hrq_attempt(hrq, cmd->stage, cmd->attempt);
	record->ended = true;
	if (data)
		g_byte_array_append(record->out, data->data, (guint)data->len);
	pthread_mutex_unlock(&hrq->lock);
	if (data && cmd->keep_body)
		body = g_bytes_new(data->data, data->len);
	ev.u.attempt.body = body;
	nod_event(n, &ev);
	if (body)
		g_bytes_unref(body);
}

static bool may_send(struct nod *n, const struct dec_cmd *cmd)
{
	pthread_mutex_lock(&n->lock);
	bool ok = dec_may_send(n->dec, clock_now_ms(), cmd->req, cmd->stage, cmd->attempt);
	pthread_mutex_unlock(&n->lock);
	return ok;
}

static void add_pending(struct hnd *h, struct hrq *hrq, const struct dec_cmd *cmd, uint64_t id)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->id = id;
	pending->hrq = hrq_ref(hrq);
	pending->cmd = *cmd;
	pending->began_ms = clock_now_ms();
	pending->until_ms = pending->began_ms + MIN(cmd->timeout_ms, HND_TAKEN_MS);
	pthread_mutex_lock(&h->lock);
	g_hash_table_replace(h->pending, &pending->id, pending);
	pthread_mutex_unlock(&h->lock);
}

static void send_ask(struct hnd *h, struct hrq *hrq, const struct dec_cmd *cmd, uint64_t id,
		     GBytes *input)
{
	Peer__StageAsk ask = PEER__STAGE_ASK__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	gsize len = 0;

	ask.id = id;
	ask.service = (char *)cmd->service;
	ask.call = (char *)cmd->call;
	ask.account = hrq->account;
	ask.request = hrq->text_id;
	ask.attempt = cmd->attempt;
	ask.wait_ms = cmd->timeout_ms;
	ask.body.data = (uint8_t *)g_bytes_get_data(input, &len);
	ask.body.len = len;
	message.ttl_ms = MIN(cmd->timeout_ms, HND_TAKEN_MS);
	message.kind_case = PEER__MESSAGE__KIND_STAGE_ASK;
	message.stage_ask = &ask;
	peer_send(h->node->peer, cmd->vm, cmd->address, &message);
}

void hnd_ask(struct hnd *h, struct hrq *hrq, const struct dec_cmd *cmd)
{
	uint64_t id = nod_next_id(h->node);
	GBytes *input;

	pthread_mutex_lock(&hrq->lock);
	input = hrq->input ? g_bytes_ref(hrq->input) : g_bytes_new(NULL, 0);
	pthread_mutex_unlock(&hrq->lock);
	if (g_bytes_get_size(input) > HND_BYTES_MAX || !may_send(h->node, cmd)) {
		post_result(h->node, hrq, cmd, ERR_OVERLOADED, false, 0, NULL);
	} else {
		counter_add(COUNTER_HANDED_OFF, 1);
		add_pending(h, hrq, cmd, id);
		send_ask(h, hrq, cmd, id, input);
	}
	g_bytes_unref(input);
}

/* Takes an attempt out of the pending ones; NULL when it has ended. */
static struct pending *take_pending(struct hnd *h, uint64_t id)
{
	struct pending *pending;

	pthread_mutex_lock(&h->lock);
	pending = g_hash_table_lookup(h->pending, &id);
	if (pending)
		g_hash_table_steal(h->pending, &id);
	pthread_mutex_unlock(&h->lock);
	return pending;
}

static void note_taken(struct hnd *h, uint64_t id)
{
	pthread_mutex_lock(&h->lock);
	struct pending *pending = g_hash_table_lookup(h->pending, &id);
	if (pending)
		pending->until_ms = pending->began_ms + pending->cmd.timeout_ms + HND_GRACE_MS;
	pthread_mutex_unlock(&h->lock);
}

void hnd_take_reply(struct hnd *h, const Peer__Message *message)
{
	const Peer__StageReply *reply = message->stage_reply;
	struct pending *pending;
	bool whole = reply->outcome == ERR_OUTCOME_COMPLETE;

	/* ids repeat after a restart: a reply to a past incarnation is not ours */
	if (message->to_incarnation != h->node->incarnation)
		return;
	if (reply->taken) {
		note_taken(h, reply->id);
		return;
	}
	pending = take_pending(h, reply->id);
	if (!pending) {
		counter_add(COUNTER_LATE_RESULTS, 1);
		return;
	}
	post_result(h->node, pending->hrq, &pending->cmd, whole ? ERR_NONE : reply->code,
		    reply->outcome != ERR_OUTCOME_NOT_RUN, clock_now_ms() - pending->began_ms,
		    whole ? &reply->body : NULL);
	free_pending(pending);
}

static void tick(void *arg, int64_t now_ms)
{
	struct hnd *h = arg;
	GPtrArray *late = g_ptr_array_new_with_free_func(free_pending);
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&h->lock);
	g_hash_table_iter_init(&iter, h->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending *pending = value;
		if (now_ms < pending->until_ms)
			continue;
		g_hash_table_iter_steal(&iter);
		g_ptr_array_add(late, pending);
	}
	pthread_mutex_unlock(&h->lock);
	for (guint i = 0; i < late->len; i++) {
		const struct pending *pending = late->pdata[i];
		post_result(h->node, pending->hrq, &pending->cmd, ERR_OWNER_UNREACHABLE, true, 0,
			    NULL);
	}
	g_ptr_array_unref(late);
}

void hnd_start(struct hnd *h)
{
	timer_every(h->node->timers, HND_TICK_MS, tick, h);
}
