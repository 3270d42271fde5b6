/*
 * Hand-over of idempotent stages: a node without a slot asks one that holds some, which runs the
 * stage as a request of its own and gives the whole result back. Messages may be lost: a question
 * not taken soon ends as one that may have run, and the decisions try again.
 */
#ifndef NODE_HANDOFF_H
#define NODE_HANDOFF_H

#include "node/node.h"

struct handoff;

struct handoff *handoff_new(struct node_server *n);
void handoff_free(struct handoff *h);

/* Starts the timer; the node's peer must be there. */
void handoff_start(struct handoff *h);

/* Hands an attempt over as a DEC_CMD_HAND says. */
void handoff_request(struct handoff *h, struct httpreq *httpreq, const struct dec_cmd *cmd);

/* Messages of other nodes; they run on the peer thread. */
void handoff_receive_request(struct handoff *h, const Peer__Message *message);
void handoff_receive_reply(struct handoff *h, const Peer__Message *message);

#endif
