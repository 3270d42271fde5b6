/* Shared by the two sides of a planned stop; not for other modules. */
#ifndef NODE_RELEASE_INT_H
#define NODE_RELEASE_INT_H

#include "node/release.h"

/* The tickets of one incarnation on their way to the successor. */
struct release_transfer {
	struct tkt_release release;
	bool acked;
};

struct releaser {
	struct node_server *node;
	pthread_mutex_t lock; /* guards drn, offer_taken, successor and releases */
	struct drn drn;
	bool offer_taken;
	char successor[BB_NAME_BYTES];
	uint64_t successor_incarnation;
	GArray *releases; /* struct release_transfer; grows in the stepping thread alone */
	/* the stepping thread's */
	bool closed;
	bool given_up;
	int64_t news_at_ms;
	uint32_t news_next; /* the next node to be told */
	int64_t send_at_ms;
};

/* Sends a release to one incarnation of a node. */
void release_send(struct node_server *n, const char *vm, const char *address, uint64_t incarnation,
		  const struct tkt_release *release);

#endif
