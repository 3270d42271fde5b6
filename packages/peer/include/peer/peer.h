/*
 * Messages between nodes over ZeroMQ: one ROUTER socket receives, and one DEALER socket per peer
 * sends. All sockets belong to one thread; peer_send() may be called from any thread. Delivery is
 * not guaranteed: a message may be lost, and one older than its ttl_ms is dropped.
 */
#ifndef PEER_PEER_H
#define PEER_PEER_H

#include "base/err.h"
#include "peer/peer.pb-c.h"

struct peer;

/* Runs on the peer thread and must not block. The message is freed after the call. */
typedef void (*peer_fn)(void *arg, const Peer__Message *message);

struct peer_options {
	const char *vm;
	uint64_t incarnation;
	const char *listen; /* host:port; with port 0 the kernel chooses one */
	const char *source; /* IPv4 address to connect from; NULL for any */
	peer_fn on_message;
	void *arg;
	/*
	 * If set, no thread is started. All calls are made from the caller's event loop, which
	 * calls peer_receive() when the descriptor of peer_fd() is readable.
	 */
	bool threadless;
};

/* Starts a peer; NULL with *error set on failure. Free with peer_free(). */
struct peer *peer_new(const struct peer_options *options, GError **error);
void peer_free(struct peer *p);

/* Descriptor of a threadless peer, readable when a message may have arrived. */
int peer_fd(const struct peer *p);

/* Handles all messages that have arrived at a threadless peer. */
void peer_receive(struct peer *p);

/* host:port of the listening socket; borrowed. */
const char *peer_address(const struct peer *p);

/*
 * Sends to the node vm at address (host:port). Sets the fields from_vm, from_incarnation, to_vm and
 * sent_wall_ms. The caller sets kind, to_incarnation and ttl_ms, and keeps ownership of message.
 * Returns the size of the message in bytes, or 0 if it was dropped: a threadless peer drops
 * messages to a node whose link isn't open yet or has broken.
 */
size_t peer_send(struct peer *p, const char *vm, const char *address, Peer__Message *message);

/*
 * As peer_send() of a threadless peer, but keeps the message for up to keep_ms until the link is
 * open; messages on one link keep their order. Returns 0 only if too many wait already. Call
 * peer_flush() a few times in that period.
 */
size_t peer_send_when_open(struct peer *p, const char *vm, const char *address,
			   Peer__Message *message, int64_t keep_ms);

/* Sends what waits for links that have opened. Returns whether messages are left that wait. */
bool peer_flush(struct peer *p);

#endif
