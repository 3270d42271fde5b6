/* Shared by the two sides of the hand-over; not for other modules. */
#ifndef NODE_HANDOFF_INT_H
#define NODE_HANDOFF_INT_H

#include "node/handoff.h"

#define HANDOFF_BYTES_MAX (8 * 1024 * 1024) /* of a stage's input and result */

struct handoff {
	struct node_server *node;
	pthread_mutex_t lock; /* guards pending */
	GHashTable *pending;  /* id -> attempts at other nodes, owned */
};

#endif
