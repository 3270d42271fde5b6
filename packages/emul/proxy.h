/* Fault-injecting TCP proxy of the emulator. Thread-safe; internal to the package. */
#ifndef EMUL_PROXY_H
#define EMUL_PROXY_H

#include "base/err.h"

#include <jansson.h>

struct cfg;
struct proxy_server;

/* If latency is set, connections between regions get the one-way latency in the configuration. */
struct proxy_server *proxy_new(struct cfg *cfg, bool latency, uint64_t seed);
void proxy_free(struct proxy_server *proxy);

/*
 * Opens a listener that forwards to target and writes its address, of at most 64 bytes. A
 * destination `to` that has a listener keeps it, with the new target. False with *error set on
 * failure.
 */
bool proxy_front(struct proxy_server *proxy, const char *to, const char *data_centre,
		 const char *target, char *address, GError **error);

/*
 * Replaces the peer address in the VM list entry vm by a proxy address, and records the data centre
 * of the source address that the VM connects from.
 */
void proxy_front_peer(struct proxy_server *proxy, const char *id, json_t *vm);

/*
 * Sets the rule {"from", "to", faults...}; {} removes all rules. False if json is not a valid
 * rule.
 */
bool proxy_set_rule(struct proxy_server *proxy, json_t *json);

/* Returns the rules, and the traffic by source and destination, as JSON. The caller owns it. */
json_t *proxy_state_json(struct proxy_server *proxy);

#endif
