/*
 * Request forwarding. A request whose ticket another node owns is sent to that owner, which returns
 * the whole answer. Messages may be lost, so the sender repeats them; the owner runs a ticket once,
 * however many copies arrive. If the owner stops replying, the request's outcome is unknown.
 */
#ifndef NODE_FWD_H
#define NODE_FWD_H

#include "node/node.h"

struct fwd;

struct fwd *fwd_new(struct node_server *n);
void fwd_free(struct fwd *f);

/* Starts the retransmission timer. The node's peer must exist. */
void fwd_start(struct fwd *f);

/* Forwards a request as a CORE_CMD_FORWARD command specifies. */
void fwd_request(struct fwd *f, struct httpreq *httpreq, const struct core_cmd *cmd);

/* Records that vm owns the tickets of an incarnation. */
void fwd_record_owner(struct fwd *f, uint64_t incarnation, const char *vm);

/* Announces again to all other nodes that this node owns the tickets it adopted. */
void fwd_announce(struct fwd *f);

/* Number of forwarded requests that await an answer. */
uint32_t fwd_pending(struct fwd *f);

/* Copies the peer address of a node in the VM list; false if unknown. Takes the decision lock. */
bool fwd_address(struct node_server *n, const char *vm, char address[BB_ADDRESS_BYTES]);

/* Handlers for messages from other nodes; they run on the peer thread. */
void fwd_receive_forward(struct fwd *f, const Peer__Message *message);
void fwd_receive_reply(struct fwd *f, const Peer__Message *message);
void fwd_receive_owner(struct fwd *f, const Peer__Message *message);
void fwd_receive_owner_request(struct fwd *f, const Peer__Message *message);

#endif
