/*
 * Forwarding: a request whose ticket is owned elsewhere goes to its owner, and the owner's answer
 * comes back whole. Messages may be lost, so the sender repeats itself; the owner runs a ticket
 * once however often it is asked. When the owner stays silent the answer is unknown.
 */
#ifndef NODE_FWD_H
#define NODE_FWD_H

#include "node/node.h"

struct fwd;

struct fwd *fwd_new(struct node_server *n);
void fwd_free(struct fwd *f);

/* Starts the timer; the node's peer must be there. */
void fwd_start(struct fwd *f);

/* Hands a request on as a DEC_CMD_FORWARD says. */
void fwd_request(struct fwd *f, struct httpreq *httpreq, const struct dec_cmd *cmd);

/* Notes that vm owns the tickets of an incarnation. */
void fwd_record_owner(struct fwd *f, uint64_t incarnation, const char *vm);

/* Tells the other nodes anew which tickets were adopted here. */
void fwd_announce(struct fwd *f);

/* Requests handed on that wait for an answer. */
uint32_t fwd_pending(struct fwd *f);

/* Peer address of a node; false when it is not listed. Takes the decision lock. */
bool fwd_address(struct node_server *n, const char *vm, char address[BB_ADDRESS_BYTES]);

/* Messages of other nodes; they run on the peer thread. */
void fwd_receive_forward(struct fwd *f, const Peer__Message *message);
void fwd_receive_reply(struct fwd *f, const Peer__Message *message);
void fwd_receive_owner(struct fwd *f, const Peer__Message *message);
void fwd_receive_owner_request(struct fwd *f, const Peer__Message *message);

#endif
