/* Messages with other nodes: what comes in becomes events, what the decisions order goes out. */
#include "node/nod.h"

static void take_message(void *arg, const Peer__Message *message)
{
	mcf_take(arg, message);
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
