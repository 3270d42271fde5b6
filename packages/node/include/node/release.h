/*
 * Planned stop: leaves the address answers, ends what runs, and hands the tickets to a successor.
 * A release is bound to the incarnation that took the offer, so that a successor that restarted in
 * between drops it: at most one node believes that it owns a ticket, whichever message is lost.
 */
#ifndef NODE_RELEASE_H
#define NODE_RELEASE_H

#include "decide/drn.h"
#include "node/node.h"

struct releaser;

struct releaser *release_new(struct node_server *n);
void release_free(struct releaser *r);

/* Begins a planned stop. */
void release_begin(struct releaser *r);

/* Does what is due; DRN_DONE: the process may exit. Called by one thread. */
enum drn_phase release_step(struct releaser *r, bool hurry);

/* State for the dump; the caller drops the reference. */
json_t *release_dump(struct releaser *r);

/* Messages of other nodes; they run on the peer thread. */
void release_receive_digest(struct releaser *r, const Peer__Message *message);
void release_receive_offer(struct releaser *r, const Peer__Message *message);
void release_receive_offer_ack(struct releaser *r, const Peer__Message *message);
void release_receive_release(struct releaser *r, const Peer__Message *message);
void release_receive_release_ack(struct releaser *r, const Peer__Message *message);

#endif
