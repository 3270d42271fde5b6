/* Fault-injecting TCP proxy of the emulator; not for other packages. Safe from any thread. */
#ifndef EMUL_PROXY_H
#define EMUL_PROXY_H

#include "base/err.h"

#include <jansson.h>

struct cfg;
struct proxy_server;

/* latency: links between regions take the one-way latency of the document. */
struct proxy_server *proxy_new(struct cfg *cfg, bool latency, uint64_t seed);
void proxy_free(struct proxy_server *proxy);

/*
 * Fronts a destination: writes the proxy's address, with room for 64 bytes. A destination that
 * is known keeps its address and gets the new target.
 */
bool proxy_front(struct proxy_server *proxy, const char *to, const char *data_centre,
		 const char *target, char *address, GError **error);

/* Fronts the peer address of a VM object, in place, and learns where its source address is. */
void proxy_front_peer(struct proxy_server *proxy, const char *id, json_t *vm);

/* {"from", "to", faults...}; {} clears all. False when it is no rule. */
bool proxy_set_rule(struct proxy_server *proxy, json_t *json);

/* Rules in force, and bytes by source and destination. */
json_t *proxy_json(struct proxy_server *proxy);

#endif
