/* Messages with other nodes: what comes in becomes events, what the decisions order goes out. */
#include "base/clock.h"
#include "node/dig.h"
#include "node/dmd.h"
#include "node/fwd.h"
#include "node/hnd.h"
#include "node/nod.h"
#include "node/rel.h"

#include <string.h>

static void take_view(struct nod *n, const Peer__Message *message)
{
	struct mem_digest digest;
	const struct dec_event ev = {.type = DEC_EV_DIGEST, .u.digest = &digest};

	dig_from_message(message->view, message->from_vm, message->from_incarnation, &digest);
	nod_event(n, &ev);
}

/* Answers with the own list, unless it is no newer than the asker's. */
static void answer_list(struct nod *n, const Peer__Message *ask)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	char address[BB_ADDRESS_BYTES] = "";
	Peer__ListReply *reply = NULL;

	pthread_mutex_lock(&n->lock);
	const struct bb *bb = &n->dec->bb;
	const struct bb_node *to = bb_node(bb, ask->from_vm);
	if (to && bb->list && bb->list->version > ask->list_ask->version) {
		reply = dig_list_to_message(bb->list, clock_now_ms() - bb->view_ms);
		g_strlcpy(address, to->peer_address, sizeof(address));
		message.kind_case = PEER__MESSAGE__KIND_LIST_REPLY;
		message.list_reply = reply;
		message.to_incarnation = ask->from_incarnation;
		message.ttl_ms = MEM_TTL_MS;
		peer_send(n->peer, ask->from_vm, address, &message);
	}
	pthread_mutex_unlock(&n->lock);
	if (reply)
		dig_free_list(reply);
}

static void take_list(struct nod *n, const Peer__ListReply *reply)
{
	const struct dec_event ev = {
		.type = DEC_EV_LIST,
		.at_ms = clock_now_ms() - reply->age_ms,
		.u.list = dig_list_from_message(reply),
	};

	nod_event(n, &ev);
}

static void take_message(void *arg, const Peer__Message *message)
{
	struct nod *n = arg;

	switch (message->kind_case) {
	case PEER__MESSAGE__KIND_DIGEST:
		rel_take_digest(n->rel, message);
		mcf_take(n, message);
		break;
	case PEER__MESSAGE__KIND_FORWARD:
		fwd_take_forward(n->fwd, message);
		break;
	case PEER__MESSAGE__KIND_FORWARD_REPLY:
		fwd_take_reply(n->fwd, message);
		break;
	case PEER__MESSAGE__KIND_OWNER:
		fwd_take_owner(n->fwd, message);
		break;
	case PEER__MESSAGE__KIND_OWNER_ASK:
		fwd_take_owner_ask(n->fwd, message);
		break;
	case PEER__MESSAGE__KIND_OFFER:
		rel_take_offer(n->rel, message);
		break;
	case PEER__MESSAGE__KIND_OFFER_ACK:
		rel_take_offer_ack(n->rel, message);
		break;
	case PEER__MESSAGE__KIND_RELEASE:
		rel_take_release(n->rel, message);
		break;
	case PEER__MESSAGE__KIND_RELEASE_ACK:
		rel_take_release_ack(n->rel, message);
		break;
	case PEER__MESSAGE__KIND_SECTION_ASK:
	case PEER__MESSAGE__KIND_SECTION_REPLY:
		mcf_take(n, message);
		break;
	case PEER__MESSAGE__KIND_VIEW:
		take_view(n, message);
		break;
	case PEER__MESSAGE__KIND_DEMAND:
		dmd_take(n, message);
		break;
	case PEER__MESSAGE__KIND_LIST_ASK:
		answer_list(n, message);
		break;
	case PEER__MESSAGE__KIND_LIST_REPLY:
		take_list(n, message->list_reply);
		break;
	case PEER__MESSAGE__KIND_STAGE_ASK:
		hnd_take_ask(n->hnd, message);
		break;
	case PEER__MESSAGE__KIND_STAGE_REPLY:
		hnd_take_reply(n->hnd, message);
		break;
	default:
		break;
	}
}

void msg_send_digest(struct nod *n, const struct dec_cmd *cmd)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	struct mem_digest digest;
	struct dig_message out;

	pthread_mutex_lock(&n->lock);
	mem_fill(&n->dec->bb, &digest, clock_now_ms());
	pthread_mutex_unlock(&n->lock);
	dig_to_message(&digest, &out);
	message.kind_case = PEER__MESSAGE__KIND_VIEW;
	message.view = &out.view;
	message.ttl_ms = MEM_TTL_MS;
	peer_send(n->peer, cmd->vm, cmd->address, &message);
}

void msg_ask_list(struct nod *n, const struct dec_cmd *cmd)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	Peer__ListAsk ask = PEER__LIST_ASK__INIT;

	pthread_mutex_lock(&n->lock);
	ask.version = n->dec->bb.list ? n->dec->bb.list->version : 0;
	pthread_mutex_unlock(&n->lock);
	message.kind_case = PEER__MESSAGE__KIND_LIST_ASK;
	message.list_ask = &ask;
	message.ttl_ms = MEM_TTL_MS;
	peer_send(n->peer, cmd->vm, cmd->address, &message);
}

bool msg_start(struct nod *n, GError **error)
{
	const struct peer_options options = {
		.vm = n->set->vm,
		.incarnation = n->incarnation,
		.listen = n->set->peer_address,
		.source = n->set->source_address,
		.on_message = take_message,
		.arg = n,
	};

	n->peer = peer_new(&options, error);
	return n->peer != NULL;
}
