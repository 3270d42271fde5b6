/* Shared by the two sides of a planned stop; not for other modules. */
#ifndef NODE_REL_INT_H
#define NODE_REL_INT_H

#include "node/rel.h"

/* The tickets of one incarnation on their way to the successor. */
struct rel_transfer {
	struct ticket_release release;
	bool acked;
};

struct rel {
	struct nod *node;
	pthread_mutex_t lock; /* guards drn, offer_taken, successor and releases */
	struct drain drain;
	bool offer_taken;
	char successor[BB_NAME_BYTES];
	uint64_t successor_incarnation;
	GArray *releases; /* struct rel_transfer; grows in the stepping thread alone */
	/* the stepping thread's */
	bool closed;
	bool given_up;
	int64_t news_at_ms;
	uint32_t news_next; /* the next node to be told */
	int64_t send_at_ms;
};

/* Sends a release to one incarnation of a node. */
void rel_send(struct nod *n, const char *vm, const char *address, uint64_t incarnation,
	      const struct ticket_release *release);

#endif
