/*
 * Planned stop: leaves the address answers, ends what runs, and hands the tickets to a successor.
 * A release is bound to the incarnation that took the offer, so that a successor that restarted in
 * between drops it: at most one node believes that it owns a ticket, whichever message is lost.
 */
#ifndef NODE_REL_H
#define NODE_REL_H

#include "decide/drain.h"
#include "node/nod.h"

struct rel;

struct rel *rel_new(struct nod *n);
void rel_free(struct rel *r);

/* Begins a planned stop. */
void rel_begin(struct rel *r);

/* Does what is due; DRAIN_DONE: the process may exit. Called by one thread. */
enum drain_phase_id rel_step(struct rel *r, bool hurry);

/* State for the dump; the caller drops the reference. */
json_t *rel_dump(struct rel *r);

/* Messages of other nodes; they run on the peer thread. */
void rel_take_digest(struct rel *r, const Peer__Message *message);
void rel_take_offer(struct rel *r, const Peer__Message *message);
void rel_take_offer_ack(struct rel *r, const Peer__Message *message);
void rel_take_release(struct rel *r, const Peer__Message *message);
void rel_take_release_ack(struct rel *r, const Peer__Message *message);

#endif
