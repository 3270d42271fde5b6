/* Internal interface of request forwarding. */
#ifndef NODE_FWD_INT_H
#define NODE_FWD_INT_H

#include "node/fwd.h"

struct fwd {
	struct node_server *node;
	pthread_mutex_t lock;  /* guards all fields below */
	GHashTable *pending;   /* request id -> struct fwd_pending, owned */
	GHashTable *owners;    /* incarnation -> struct fwd_owner, owned */
	GHashTable *announced; /* "VM INCARNATION" -> announcements of adopted tickets sent to it */
	GHashTable *running;   /* keys of the requests that run here for other nodes */
	int64_t announce_at_ms;
	gint request_cursor; /* atomic: next node to send an owner request to */
};

/*
 * Copies the node to contact for a ticket: the known successor, with true, or else the issuer. Call
 * with the lock held.
 */
bool fwd_find_owner(struct fwd *f, uint64_t incarnation, const char *issuer,
		    char vm[BB_NAME_BYTES]);

/* Announces the tickets adopted here to nodes with announcements outstanding. */
void fwd_send_adopted(struct fwd *f);

/* Sends an owner request for an incarnation to some nodes, round robin. */
void fwd_request_owner(struct fwd *f, uint64_t incarnation);

/*
 * Builds the event of a request received from a caller or another node. The caller drops the
 * reference ev->cfg, also after an error.
 */
enum err_code fwd_fill_event(struct node_server *n, const struct httpreq *httpreq, int64_t wait_ms,
			     struct core_ev_request *ev);

#endif
