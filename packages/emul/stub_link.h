/* Links of nodes to the stub: internal declarations. All functions run on the stub's loop. */
#ifndef EMUL_STUB_LINK_H
#define EMUL_STUB_LINK_H

#include "stub_int.h"

struct stub_relay;

/* What a relay does with the response to a request. */
enum stub_repeat {
	STUB_REPEAT_OTHER, /* it isn't kept */
	STUB_REPEAT_KEEP,  /* it is kept in place of the last one */
	STUB_REPEAT_SEND,  /* the same, and the last one that was kept is sent before it */
};

struct stub_relay_handler {
	/* Called with the first bytes of each request. */
	enum stub_repeat (*on_request)(void *arg, const char *bytes, size_t len);
	/* The relay is freed after this. */
	void (*on_closed)(void *arg, struct stub_relay *relay);
};

/* Takes over the connection fd and connects to the target; resets fd if that fails. */
struct stub_relay *stub_relay_open(uv_loop_t *loop, int fd, const char *target,
				   const struct stub_relay_handler *handler, void *arg);

/* Reads nothing from either side while it is held. */
void stub_relay_hold(struct stub_relay *r, bool is_held);

/* Resets both connections. */
void stub_relay_reset(struct stub_relay *r);

#endif
