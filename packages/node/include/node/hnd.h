/*
 * Hand-over of idempotent stages: a node without a slot asks one that holds some, which runs the
 * stage as a request of its own and gives the whole result back. Messages may be lost: a question
 * not taken soon ends as one that may have run, and the decisions try again.
 */
#ifndef NODE_HND_H
#define NODE_HND_H

#include "node/nod.h"

struct hnd;

struct hnd *hnd_new(struct nod *n);
void hnd_free(struct hnd *h);

/* Starts the timer; the node's peer must be there. */
void hnd_start(struct hnd *h);

/* Hands an attempt over as a CORE_CMD_HANDOFF says. */
void hnd_ask(struct hnd *h, struct hrq *hrq, const struct core_cmd *cmd);

/* Messages of other nodes; they run on the peer thread. */
void hnd_take_ask(struct hnd *h, const Peer__Message *message);
void hnd_take_reply(struct hnd *h, const Peer__Message *message);

#endif
