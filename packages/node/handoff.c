/* Stage handoff, requesting side. */
#include "node/handoff.h"

#include "base/clock.h"
#include "base/counter.h"
#include "handoff_int.h"

#include <string.h>

#define HANDOFF_TICK_MS 50
#define HANDOFF_ACK_TIMEOUT_MS 300 /* the attempt fails if it is not acknowledged in this time */
#define HANDOFF_GRACE_MS 100	   /* wait for the other node's refusal after the deadline */

struct pending {
	uint64_t id;
	struct httpreq *httpreq; /* owned reference */
	struct core_cmd cmd;
	int64_t began_ms;
	int64_t until_ms;
};

static void free_pending(gpointer data)
{
	struct pending *pending = data;

	httpreq_unref(pending->httpreq);
	g_free(pending);
}

struct handoff *handoff_new(struct node_server *n)
{
	struct handoff *h = g_new0(struct handoff, 1);

	h->node = n;
	pthread_mutex_init(&h->lock, NULL);
	h->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_pending);
	return h;
}

void handoff_free(struct handoff *h)
{
	g_hash_table_destroy(h->pending);
	pthread_mutex_destroy(&h->lock);
	g_free(h);
}

/* Posts an attempt's result to the decision core; data is its body if it is complete, else NULL. */
static void post_result(struct node_server *n, struct httpreq *httpreq, const struct core_cmd *cmd,
			int code, bool sent, int64_t took_ms, const ProtobufCBinaryData *data)
{
	struct core_event ev = {
		.type = CORE_EV_RESULT,
		.u.attempt = {.req = cmd->req,
			      .stage = cmd->stage,
			      .attempt = cmd->attempt,
			      .code = code,
			      .sent = sent,
			      .latency_us = took_ms * 1000,
			      .bytes = data ? data->len : 0},
	};
	GBytes *body = NULL;

	pthread_mutex_lock(&httpreq->lock);
	struct httpreq_attempt *record = httpreq_attempt(httpreq, cmd->stage, cmd->attempt);
	record->ended = true;
	if (data)
		g_byte_array_append(record->out, data->data, (guint)data->len);
	pthread_mutex_unlock(&httpreq->lock);
	if (data && cmd->keep_body)
		body = g_bytes_new(data->data, data->len);
	ev.u.attempt.body = body;
	node_handle_event(n, &ev);
	if (body)
		g_bytes_unref(body);
}

static bool may_send(struct node_server *n, const struct core_cmd *cmd)
{
	pthread_mutex_lock(&n->lock);
	bool ok = core_may_send(n->core_state, clock_now_ms(), cmd->req, cmd->stage, cmd->attempt);
	pthread_mutex_unlock(&n->lock);
	return ok;
}

static void add_pending(struct handoff *h, struct httpreq *httpreq, const struct core_cmd *cmd,
			uint64_t id)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->id = id;
	pending->httpreq = httpreq_ref(httpreq);
	pending->cmd = *cmd;
	pending->began_ms = clock_now_ms();
	pending->until_ms = pending->began_ms + MIN(cmd->timeout_ms, HANDOFF_ACK_TIMEOUT_MS);
	pthread_mutex_lock(&h->lock);
	g_hash_table_replace(h->pending, &pending->id, pending);
	pthread_mutex_unlock(&h->lock);
}

static void send_request(struct handoff *h, struct httpreq *httpreq, const struct core_cmd *cmd,
			 uint64_t id, GBytes *input)
{
	Peer__StageAsk stage_request = PEER__STAGE_ASK__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	gsize len = 0;

	stage_request.id = id;
	stage_request.service = (char *)cmd->service;
	stage_request.call = (char *)cmd->call;
	stage_request.account = httpreq->account;
	stage_request.request = httpreq->text_id;
	stage_request.attempt = cmd->attempt;
	stage_request.wait_ms = cmd->timeout_ms;
	stage_request.body.data = (uint8_t *)g_bytes_get_data(input, &len);
	stage_request.body.len = len;
	message.ttl_ms = MIN(cmd->timeout_ms, HANDOFF_ACK_TIMEOUT_MS);
	message.kind_case = PEER__MESSAGE__KIND_STAGE_ASK;
	message.stage_ask = &stage_request;
	peer_send(h->node->peer, cmd->vm, cmd->address, &message);
}

void handoff_request(struct handoff *h, struct httpreq *httpreq, const struct core_cmd *cmd)
{
	uint64_t id = node_next_id(h->node);
	GBytes *input;

	pthread_mutex_lock(&httpreq->lock);
	input = httpreq->input ? g_bytes_ref(httpreq->input) : g_bytes_new(NULL, 0);
	pthread_mutex_unlock(&httpreq->lock);
	if (g_bytes_get_size(input) > HANDOFF_BYTES_MAX || !may_send(h->node, cmd)) {
		post_result(h->node, httpreq, cmd, ERR_OVERLOADED, false, 0, NULL);
	} else {
		counter_add(COUNTER_HANDED_OFF, 1);
		add_pending(h, httpreq, cmd, id);
		send_request(h, httpreq, cmd, id, input);
	}
	g_bytes_unref(input);
}

/* Removes a pending attempt and returns it; NULL if it has ended. */
static struct pending *remove_pending(struct handoff *h, uint64_t id)
{
	struct pending *pending;

	pthread_mutex_lock(&h->lock);
	pending = g_hash_table_lookup(h->pending, &id);
	if (pending)
		g_hash_table_steal(h->pending, &id);
	pthread_mutex_unlock(&h->lock);
	return pending;
}

static void record_accepted(struct handoff *h, uint64_t id)
{
	pthread_mutex_lock(&h->lock);
	struct pending *pending = g_hash_table_lookup(h->pending, &id);
	if (pending)
		pending->until_ms = pending->began_ms + pending->cmd.timeout_ms + HANDOFF_GRACE_MS;
	pthread_mutex_unlock(&h->lock);
}

void handoff_receive_reply(struct handoff *h, const Peer__Message *message)
{
	const Peer__StageReply *reply = message->stage_reply;
	struct pending *pending;
	bool whole = reply->outcome == ERR_OUTCOME_COMPLETE;

	/* a restarted node uses the same ids again: drop replies to an earlier incarnation */
	if (message->to_incarnation != h->node->incarnation)
		return;
	if (reply->taken) {
		record_accepted(h, reply->id);
		return;
	}
	pending = remove_pending(h, reply->id);
	if (!pending) {
		counter_add(COUNTER_LATE_RESULTS, 1);
		return;
	}
	post_result(h->node, pending->httpreq, &pending->cmd, whole ? ERR_NONE : reply->code,
		    reply->outcome != ERR_OUTCOME_NOT_RUN, clock_now_ms() - pending->began_ms,
		    whole ? &reply->body : NULL);
	free_pending(pending);
}

static void tick(void *arg, int64_t now_ms)
{
	struct handoff *h = arg;
	GPtrArray *expired = g_ptr_array_new_with_free_func(free_pending);
	GHashTableIter iter;
	gpointer value;

	pthread_mutex_lock(&h->lock);
	g_hash_table_iter_init(&iter, h->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending *pending = value;
		if (now_ms < pending->until_ms)
			continue;
		g_hash_table_iter_steal(&iter);
		g_ptr_array_add(expired, pending);
	}
	pthread_mutex_unlock(&h->lock);
	for (guint i = 0; i < expired->len; i++) {
		const struct pending *pending = expired->pdata[i];
		post_result(h->node, pending->httpreq, &pending->cmd, ERR_OWNER_UNREACHABLE, true,
			    0, NULL);
	}
	g_ptr_array_unref(expired);
}

void handoff_start(struct handoff *h)
{
	timer_every(h->node->timers, HANDOFF_TICK_MS, tick, h);
}
