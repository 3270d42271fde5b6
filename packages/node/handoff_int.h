/* Internal interface of stage handoff. */
#ifndef NODE_HANDOFF_INT_H
#define NODE_HANDOFF_INT_H

#include "node/handoff.h"

#define HANDOFF_BYTES_MAX (8 * 1024 * 1024) /* of a stage's input, and of its result */

struct handoff {
	struct node_server *node;
	pthread_mutex_t lock; /* guards pending */
	GHashTable *pending;  /* id -> attempt handed off to another node, owned */
};

#endif
