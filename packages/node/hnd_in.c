/* Hand-over of stages, the holder's side: a stage of another node runs like a local request. */
#include "base/clock.h"
#include "hnd_int.h"
#include "node/fwd.h"

#include <string.h>

#define HND_REPLY_TTL_MS 5000

/* Who gets the answer. */
struct inbound {
	struct nod *node;
	char *vm;
	uint64_t incarnation;
	uint64_t id;
};

static void send_reply(struct nod *n, const char *vm, uint64_t incarnation, Peer__StageReply *reply)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	char address[BB_ADDRESS_BYTES];

	message.to_incarnation = incarnation;
	message.ttl_ms = HND_REPLY_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_STAGE_REPLY;
	message.stage_reply = reply;
	if (fwd_address(n, vm, address))
		peer_send(n->peer, vm, address, &message);
}

static void send_taken(struct nod *n, const Peer__Message *ask)
{
	Peer__StageReply reply = PEER__STAGE_REPLY__INIT;

	reply.id = ask->stage_ask->id;
	reply.taken = true;
	send_reply(n, ask->from_vm, ask->from_incarnation, &reply);
}

static void free_inbound(struct inbound *in)
{
	g_free(in->vm);
	g_free(in);
}

static void done(struct hrq *hrq, void *arg)
{
	Peer__StageReply reply = PEER__STAGE_REPLY__INIT;
	struct inbound *in = arg;
	gsize len = 0;

	reply.id = in->id;
	reply.code = hrq->code;
	reply.outcome = (int32_t)hrq->outcome;
	if (hrq->answer) {
		reply.body.data = (uint8_t *)g_bytes_get_data(hrq->answer, &len);
		reply.body.len = len;
	}
	send_reply(in->node, in->vm, in->incarnation, &reply);
	free_inbound(in);
}

static struct hrq *make_request(struct nod *n, const Peer__Message *message)
{
	const Peer__StageAsk *ask = message->stage_ask;
	struct hrq *hrq = hrq_new(nod_next_id(n), n->set->vm, n->incarnation);
	struct inbound *in = g_new0(struct inbound, 1);

	in->node = n;
	in->vm = g_strdup(message->from_vm);
	in->incarnation = message->from_incarnation;
	in->id = ask->id;
	/* the caller's request, with attempts that no other node numbers so */
	g_strlcpy(hrq->text_id, ask->request, sizeof(hrq->text_id));
	hrq->first_attempt = (ask->attempt + 1) * REQ_ATTEMPTS_MAX;
	hrq->state = HRQ_RUNNING;
	hrq->input = g_bytes_new(ask->body.data, ask->body.len);
	hrq->target = g_strdup_printf("/v1/services/%s/%s", ask->service, ask->call);
	hrq->account = g_strdup(ask->account);
	hrq->on_done = done;
	hrq->on_done_arg = in;
	return hrq;
}

static enum err_code fill_event(const struct hrq *hrq, struct cfg *cfg, int64_t wait_ms,
				struct dec_ev_request *ev)
{
	enum err_code code = cfg ? tgt_read(cfg, hrq->target, ev) : ERR_NOT_READY;

	ev->cfg = cfg;
	ev->id = hrq->id;
	ev->handed = true;
	ev->wait_ms = MAX(wait_ms, 1);
	ev->body_bytes = g_bytes_get_size(hrq->input);
	ev->now_wall_ms = clock_wall_ms();
	ev->account = -1;
	for (uint32_t i = 0; cfg && i < cfg->accounts.n_items; i++) {
		if (strcmp(cfg->accounts.items[i].name, hrq->account) == 0)
			ev->account = (int)i;
	}
	return code == ERR_NONE && ev->account < 0 ? ERR_UNAUTHORISED : code;
}

void hnd_take_ask(struct hnd *h, const Peer__Message *message)
{
	struct nod *n = h->node;
	struct cfg *cfg = nod_cfg(n);
	struct hrq *hrq = make_request(n, message);
	struct dec_event ev = {.type = DEC_EV_REQUEST};
	enum err_code code = fill_event(hrq, cfg, message->stage_ask->wait_ms, &ev.u.request);

	send_taken(n, message);
	if (!nod_add_req(n, hrq))
		free_inbound(hrq->on_done_arg);
	else if (code == ERR_NONE)
		nod_event(n, &ev);
	else
		run_refusal(n, hrq, code, ERR_OUTCOME_NOT_RUN, 0);
	cfg_unref(cfg);
	hrq_unref(hrq);
}
