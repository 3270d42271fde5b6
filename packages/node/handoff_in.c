/* Stage handoff, executing side: runs a stage of another node like a local request. */
#include "base/clock.h"
#include "handoff_int.h"
#include "node/digest.h"
#include "node/fwd.h"

#include <string.h>

#define HANDOFF_REPLY_TTL_MS 5000

/* A stage that runs here for another node, which waits for its result. */
struct inbound {
	struct node_server *node;
	char *vm;
	uint64_t incarnation;
	uint64_t id;
};

static void send_reply(struct node_server *n, const char *vm, uint64_t incarnation,
		       Peer__StageReply *reply)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	char address[BB_ADDRESS_BYTES];

	message.to_incarnation = incarnation;
	message.ttl_ms = HANDOFF_REPLY_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_STAGE_REPLY;
	message.stage_reply = reply;
	if (fwd_address(n, vm, address))
		peer_send(n->peer, vm, address, &message);
}

static void send_accepted(struct node_server *n, const Peer__Message *stage_request)
{
	Peer__StageReply reply = PEER__STAGE_REPLY__INIT;

	reply.id = stage_request->stage_ask->id;
	reply.taken = true;
	send_reply(n, stage_request->from_vm, stage_request->from_incarnation, &reply);
}

static void free_inbound(struct inbound *in)
{
	g_free(in->vm);
	g_free(in);
}

static void send_result(struct httpreq *httpreq, void *arg)
{
	Peer__StageReply reply = PEER__STAGE_REPLY__INIT;
	struct inbound *in = arg;
	gsize len = 0;

	reply.id = in->id;
	reply.code = httpreq->code;
	reply.outcome = (int32_t)httpreq->outcome;
	if (httpreq->answer) {
		reply.body.data = (uint8_t *)g_bytes_get_data(httpreq->answer, &len);
		reply.body.len = len;
	}
	send_reply(in->node, in->vm, in->incarnation, &reply);
	free_inbound(in);
}

static struct httpreq *make_request(struct node_server *n, const Peer__Message *message)
{
	const Peer__StageAsk *stage_request = message->stage_ask;
	struct httpreq *httpreq = httpreq_new(node_next_id(n), n->set->vm, n->incarnation);
	struct inbound *in = g_new0(struct inbound, 1);

	in->node = n;
	in->vm = g_strdup(message->from_vm);
	in->incarnation = message->from_incarnation;
	in->id = stage_request->id;
	/* upstreams see the caller's request id, with attempt numbers that no other node uses */
	g_strlcpy(httpreq->text_id, stage_request->request, sizeof(httpreq->text_id));
	httpreq->first_attempt = (stage_request->attempt + 1) * REQ_ATTEMPTS_MAX;
	httpreq->state = HTTPREQ_RUNNING;
	httpreq->input = g_bytes_new(stage_request->body.data, stage_request->body.len);
	httpreq->target =
		g_strdup_printf("/v1/services/%s/%s", stage_request->service, stage_request->call);
	httpreq->account = g_strdup(stage_request->account);
	httpreq->on_done = send_result;
	httpreq->on_done_arg = in;
	return httpreq;
}

static enum err_code fill_event(const struct httpreq *httpreq, struct cfg *cfg, int64_t wait_ms,
				struct core_ev_request *ev)
{
	enum err_code code = cfg ? target_parse(cfg, httpreq->target, ev) : ERR_NOT_READY;

	ev->cfg = cfg;
	ev->id = httpreq->id;
	ev->handed_off = true;
	ev->wait_ms = CLAMP(wait_ms, 1, DIGEST_TIME_MAX_MS);
	ev->body_bytes = g_bytes_get_size(httpreq->input);
	ev->now_wall_ms = clock_wall_ms();
	ev->account = -1;
	for (uint32_t i = 0; cfg && i < cfg->accounts.n_items; i++) {
		if (strcmp(cfg->accounts.items[i].name, httpreq->account) == 0)
			ev->account = (int)i;
	}
	return code == ERR_NONE && ev->account < 0 ? ERR_UNAUTHORISED : code;
}

void handoff_receive_request(struct handoff *h, const Peer__Message *message)
{
	struct node_server *n = h->node;
	struct cfg *cfg = node_cfg(n);
	struct httpreq *httpreq = make_request(n, message);
	struct core_event ev = {.type = CORE_EV_REQUEST};
	enum err_code code = fill_event(httpreq, cfg, message->stage_ask->wait_ms, &ev.u.request);

	send_accepted(n, message);
	if (!node_add_request(n, httpreq))
		free_inbound(httpreq->on_done_arg);
	else if (code == ERR_NONE)
		node_handle_event(n, &ev);
	else
		run_refuse(n, httpreq, code, ERR_OUTCOME_NOT_RUN, 0);
	cfg_unref(cfg);
	httpreq_unref(httpreq);
}
