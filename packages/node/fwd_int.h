/* Internal interface of request forwarding. */
#ifndef NODE_FWD_INT_H
#define NODE_FWD_INT_H

#include "node/fwd.h"

struct fwd {
	struct node_server *node;
	pthread_mutex_t lock;  /* guards all fields below */
	GHashTable *pending;   /* request id -> struct fwd_pending, owned */
	GHashTable *owners;    /* incarnation -> struct fwd_owner, owned */
	GHashTable *announced; /* "VM INCARNATION" -> number of announcements sent to that node */
	GHashTable *running;   /* keys of the requests that run here for other nodes */
	int64_t announce_at_ms;
	gint request_cursor; /* atomic: index of the next node to send an owner request to */
};

/*
 * Copies to vm the node to contact for the tickets of an incarnation: the successor, if one is
 * known, else the issuer. True if a successor is known. Call with the lock held.
 */
bool fwd_find_owner(struct fwd *f, uint64_t incarnation, const char *issuer,
		    char vm[BB_NAME_BYTES]);

/*
 * Announces the adopted tickets to each node that has not been sent the full number of
 * announcements.
 */
void fwd_send_adopted(struct fwd *f);

/* Asks a few nodes, in rotation, for the owner of an incarnation's tickets. */
void fwd_request_owner(struct fwd *f, uint64_t incarnation);

/*
 * Builds the event of a request received from a caller or another node. The caller drops the
 * reference ev->cfg, also after an error. Returns ERR_NONE or the error to answer with.
 */
enum err_code fwd_fill_event(struct node_server *n, const struct httpreq *httpreq, int64_t wait_ms,
			     struct core_ev_request *ev);

#endif
