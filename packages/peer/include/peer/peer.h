/*
 * Messages between nodes over ZeroMQ: one ROUTER socket takes what comes, one DEALER socket for
 * each node that is sent to. All sockets belong to one thread; peer_send() may be called from
 * any thread. Delivery is not assured: a message is lost, or dropped when older than its ttl_ms.
 */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include "base/err.h"
#include "peer/peer.pb-c.h"

struct peer;

/* Runs on the peer thread and must not block; message is freed after the call. */
typedef void (*peer_fn)(void *arg, const Peer__Message *message);

struct peer_options {
	const char *vm;
	uint64_t incarnation;
	const char *listen; /* host:port; port 0: the kernel chooses */
	const char *source; /* IPv4 address to connect from; NULL: any */
	peer_fn on_message;
	void *arg;
	/*
	 * No thread is started: all calls come from the caller's loop, which calls peer_receive()
	 * when the descriptor of peer_fd() is readable.
	 */
	bool threadless;
};

/* NULL with *error set. The caller frees with peer_free(). */
struct peer *peer_new(const struct peer_options *options, GError **error);
void peer_free(struct peer *p);

/* Of a threadless service: readable when a message may have come. */
int peer_fd(const struct peer *p);

/* Takes all messages that have come. */
void peer_receive(struct peer *p);

/* host:port that is listened on; borrowed. */
const char *peer_address(const struct peer *p);

/*
 * Sends to the node vm at address (host:port). The envelope fields (from, to_vm, sent time) are
 * filled here; kind, to_incarnation and ttl_ms are the caller's. The message stays the caller's.
 */
void peer_send(struct peer *p, const char *vm, const char *address, Peer__Message *message);

#endif
