/* Internal interface of the planned stop. */
#ifndef NODE_RELEASE_INT_H
#define NODE_RELEASE_INT_H

#include "node/release.h"

/* Latest wall time in another node's message: what is added to it still fits. */
#define RELEASE_WALL_MAX_MS (INT64_C(1) << 53)

/* The tickets of one incarnation, in transfer to the successor. */
struct release_transfer {
	struct ticket_release release;
	bool acked;
};

struct releaser {
	struct node_server *node;
	pthread_mutex_t lock; /* guards the fields down to releases */
	struct drain drain;
	bool offer_taken; /* the successor below has accepted the offer */
	char successor[BB_NAME_BYTES];
	uint64_t successor_incarnation;
	GArray *releases; /* struct release_transfer; only the thread of release_step() appends */
	/* the fields below are used only by the thread of release_step() */
	bool closed;
	bool relinquished; /* the tickets are given up: no request is started under them */
	int64_t notice_at_ms;
	uint32_t notice_next; /* index of the next node to notify */
	int64_t send_at_ms;
};

/* Sends a release message that only the given incarnation of node vm accepts. */
void release_send(struct node_server *n, const char *vm, const char *address, uint64_t incarnation,
		  const struct ticket_release *release);

/* Reads another node's message. Clear the result with release_clear(). */
void release_read(const Peer__Release *from, struct ticket_release *release);
void release_clear(struct ticket_release *release);

#endif
