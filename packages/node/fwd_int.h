/* Shared by the two sides of forwarding; not for other modules. */
#ifndef NODE_FWD_INT_H
#define NODE_FWD_INT_H

#include "node/fwd.h"

struct fwd {
	struct node_server *node;
	pthread_mutex_t lock; /* guards all below */
	GHashTable *pending;  /* request id -> struct fwd_pending, owned */
	GHashTable *owners;   /* incarnation -> struct fwd_owner, owned */
	GHashTable *told;     /* "VM INCARNATION" -> times it was told what was adopted here */
	GHashTable *running;  /* set of keys of requests that run here for other nodes */
	int64_t announce_at_ms;
	gint asks; /* atomic: whose turn it is to be asked for an owner */
};

/*
 * Who is to be asked now for a ticket: the successor when one is known, else its issuer; true for a
 * successor. Lock held.
 */
bool fwd_find_owner(struct fwd *f, uint64_t incarnation, const char *issuer,
		    char vm[BB_NAME_BYTES]);

/* Tells nodes that have not heard it often enough which tickets were adopted here. */
void fwd_send_adopted(struct fwd *f);

/* Asks some nodes, in turn, who owns the tickets of an incarnation. */
void fwd_request_owner(struct fwd *f, uint64_t incarnation);

/*
 * Builds the event of a request from what a caller or another node gave. ev->cfg is a reference
 * that the caller drops, also after an error.
 */
enum err_code fwd_fill_event(struct node_server *n, const struct httpreq *httpreq, int64_t wait_ms,
			     struct dec_ev_request *ev);

#endif
