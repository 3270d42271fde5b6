/* Messages with other nodes: what comes in becomes events, what the decisions order goes out. */
#include "node/fwd.h"
#include "node/nod.h"
#include "node/rel.h"

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
	default:
		break;
	}
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
