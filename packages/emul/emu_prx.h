/* Fault-injecting TCP proxy of the emulator; not for other packages. Safe from any thread. */
#ifndef EMUL_EMU_PRX_H
#define EMUL_EMU_PRX_H

#include "base/err.h"

#include <jansson.h>

struct cfg;
struct emu_proxy;

/* latency: links between regions take the one-way latency of the document. */
struct emu_proxy *emu_proxy_new(struct cfg *cfg, bool latency, uint64_t seed);
void emu_proxy_free(struct emu_proxy *proxy);

/*
 * Fronts a destination: writes the proxy's address, with room for 64 bytes. A destination that
 * is known keeps its address and gets the new target.
 */
bool emu_proxy_front(struct emu_proxy *proxy, const char *to, const char *data_centre,
		     const char *target, char *address, GError **error);

/* Fronts the peer address of a VM object, in place, and learns where its source address is. */
void emu_proxy_vm(struct emu_proxy *proxy, const char *id, json_t *vm);

/* {"from", "to", faults...}; {} clears all. False when it is no rule. */
bool emu_proxy_rule(struct emu_proxy *proxy, json_t *json);

/* Rules in force, and bytes by source and destination. */
json_t *emu_proxy_json(struct emu_proxy *proxy);

#endif
