/* Message exchange with other nodes: dispatches received messages and sends digests. */
#include "base/clock.h"
#include "node/demand.h"
#include "node/digest.h"
#include "node/fwd.h"
#include "node/handoff.h"
#include "node/node.h"
#include "node/release.h"

#include <string.h>

static void receive_view(struct node_server *n, const Peer__Message *message)
{
	struct member_digest digest;
	const struct core_event ev = {.type = CORE_EV_DIGEST, .u.digest = &digest};

	digest_from_message(message->view, message->from_vm, message->from_incarnation, &digest);
	node_handle_event(n, &ev);
}

/* Sends this node's VM list if it is newer than the requester's. */
static void send_list(struct node_server *n, const Peer__Message *list_request)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	char address[BB_ADDRESS_BYTES] = "";
	Peer__ListReply *reply = NULL;

	pthread_mutex_lock(&n->lock);
	const struct bb *bb = &n->core_state->bb;
	const struct bb_node *to = bb_node(bb, list_request->from_vm);
	if (to && bb->list && bb->list->version > list_request->list_ask->version) {
		reply = digest_list_to_message(bb->list, clock_now_ms() - bb->view_ms);
		g_strlcpy(address, to->peer_address, sizeof(address));
		message.kind_case = PEER__MESSAGE__KIND_LIST_REPLY;
		message.list_reply = reply;
		message.to_incarnation = list_request->from_incarnation;
		message.ttl_ms = MEMBER_DIGEST_TTL_MS;
		peer_send(n->peer, list_request->from_vm, address, &message);
	}
	pthread_mutex_unlock(&n->lock);
	if (reply)
		digest_free_list(reply);
}

static void receive_list(struct node_server *n, const Peer__ListReply *reply)
{
	const struct core_event ev = {
		.type = CORE_EV_LIST,
		.at_ms = clock_now_ms() - CLAMP(reply->age_ms, 0, DIGEST_TIME_MAX_MS),
		.u.list = digest_list_from_message(reply),
	};

	node_handle_event(n, &ev);
}

static void receive_message(void *arg, const Peer__Message *message)
{
	struct node_server *n = arg;

	switch (message->kind_case) {
	case PEER__MESSAGE__KIND_DIGEST:
		release_receive_digest(n->releaser, message);
		confsync_receive(n, message);
		break;
	case PEER__MESSAGE__KIND_FORWARD:
		fwd_receive_forward(n->fwd, message);
		break;
	case PEER__MESSAGE__KIND_FORWARD_REPLY:
		fwd_receive_reply(n->fwd, message);
		break;
	case PEER__MESSAGE__KIND_OWNER:
		fwd_receive_owner(n->fwd, message);
		break;
	case PEER__MESSAGE__KIND_OWNER_ASK:
		fwd_receive_owner_request(n->fwd, message);
		break;
	case PEER__MESSAGE__KIND_OFFER:
		release_receive_offer(n->releaser, message);
		break;
	case PEER__MESSAGE__KIND_OFFER_ACK:
		release_receive_offer_ack(n->releaser, message);
		break;
	case PEER__MESSAGE__KIND_RELEASE:
		release_receive_release(n->releaser, message);
		break;
	case PEER__MESSAGE__KIND_RELEASE_ACK:
		release_receive_release_ack(n->releaser, message);
		break;
	case PEER__MESSAGE__KIND_SECTION_ASK:
	case PEER__MESSAGE__KIND_SECTION_REPLY:
		confsync_receive(n, message);
		break;
	case PEER__MESSAGE__KIND_VIEW:
		receive_view(n, message);
		break;
	case PEER__MESSAGE__KIND_DEMAND:
		demand_receive(n, message);
		break;
	case PEER__MESSAGE__KIND_LIST_ASK:
		send_list(n, message);
		break;
	case PEER__MESSAGE__KIND_LIST_REPLY:
		receive_list(n, message->list_reply);
		break;
	case PEER__MESSAGE__KIND_STAGE_ASK:
		handoff_receive_request(n->handoff, message);
		break;
	case PEER__MESSAGE__KIND_STAGE_REPLY:
		handoff_receive_reply(n->handoff, message);
		break;
	default:
		break;
	}
}

void msg_send_digest(struct node_server *n, const struct core_cmd *cmd)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	struct member_digest digest;
	struct digest_message out;

	pthread_mutex_lock(&n->lock);
	member_fill_digest(&n->core_state->bb, &digest, clock_now_ms());
	pthread_mutex_unlock(&n->lock);
	digest_to_message(&digest, &out);
	message.kind_case = PEER__MESSAGE__KIND_VIEW;
	message.view = &out.view;
	message.ttl_ms = MEMBER_DIGEST_TTL_MS;
	peer_send(n->peer, cmd->vm, cmd->address, &message);
}

void msg_request_list(struct node_server *n, const struct core_cmd *cmd)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	Peer__ListAsk list_request = PEER__LIST_ASK__INIT;

	pthread_mutex_lock(&n->lock);
	list_request.version = n->core_state->bb.list ? n->core_state->bb.list->version : 0;
	pthread_mutex_unlock(&n->lock);
	message.kind_case = PEER__MESSAGE__KIND_LIST_ASK;
	message.list_ask = &list_request;
	message.ttl_ms = MEMBER_DIGEST_TTL_MS;
	peer_send(n->peer, cmd->vm, cmd->address, &message);
}

bool msg_start(struct node_server *n, GError **error)
{
	const struct peer_options options = {
		.vm = n->set->vm,
		.incarnation = n->incarnation,
		.listen = n->set->peer_address,
		.source = n->set->source_address,
		.on_message = receive_message,
		.arg = n,
	};

	n->peer = peer_new(&options, error);
	return n->peer != NULL;
}
