/*
 * Stage handoff. A node without a free slot sends an idempotent stage to a node that holds slots,
 * which runs it as a request of its own and returns the whole result. Messages may be lost: a
 * request that is not acknowledged in time is reported to the decision core as possibly executed;
 * the core then retries the stage.
 */
#ifndef NODE_HANDOFF_H
#define NODE_HANDOFF_H

#include "node/node.h"

struct handoff;

struct handoff *handoff_new(struct node_server *n);
void handoff_free(struct handoff *h);

/* Starts the timer that fails overdue attempts. The node's peer must exist. */
void handoff_start(struct handoff *h);

/* Hands off an attempt as a CORE_CMD_HANDOFF command specifies. */
void handoff_request(struct handoff *h, struct httpreq *httpreq, const struct core_cmd *cmd);

/* Handlers for messages from other nodes; they run on the peer thread. */
void handoff_receive_request(struct handoff *h, const Peer__Message *message);
void handoff_receive_reply(struct handoff *h, const Peer__Message *message);

#endif
