/* Links of nodes to the stub: internal declarations. All functions run on the stub's loop. */
#ifndef EMUL_STUB_LINK_H
#define EMUL_STUB_LINK_H

#include "stub_int.h"

struct stub_relay;

struct stub_relay_handler {
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
