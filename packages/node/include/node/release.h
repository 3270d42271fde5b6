/*
 * Planned stop: removes the node from address answers, finishes open requests and transfers the
 * tickets to a successor. A release message names the incarnation that accepted the offer, so a
 * successor that has restarted since then drops it: whichever message is lost, at most one node
 * owns a ticket.
 */
#ifndef NODE_RELEASE_H
#define NODE_RELEASE_H

#include "decide/drain.h"
#include "node/node.h"

struct releaser;

struct releaser *release_new(struct node_server *n);
void release_free(struct releaser *r);

/* Begins a planned stop. */
void release_begin(struct releaser *r);

/*
 * Performs the steps that are due and returns the phase reached; the process may exit on
 * DRAIN_DONE. With hurry, doesn't wait for open requests. Call from one thread only.
 */
enum drain_phase_id release_step(struct releaser *r, bool hurry);

/* Returns the state of the planned stop as JSON. The caller drops the reference. */
json_t *release_dump(struct releaser *r);

/* Handlers for messages from other nodes; they run on the peer thread. */
void release_receive_digest(struct releaser *r, const Peer__Message *message);
void release_receive_offer(struct releaser *r, const Peer__Message *message);
void release_receive_offer_ack(struct releaser *r, const Peer__Message *message);
void release_receive_release(struct releaser *r, const Peer__Message *message);
void release_receive_release_ack(struct releaser *r, const Peer__Message *message);

#endif
