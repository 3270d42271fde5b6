/*
 * Emulates the platform (configuration service, VM list) and every upstream of a configuration
 * document, each with its own listener. Tests check the system against the emulator's log of
 * arrivals.
 */
#ifndef EMUL_EMU_H
#define EMUL_EMU_H

#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

struct emu;

struct emu_options {
	const char *config_path; /* document to publish; port 0 is replaced by the bound port */
	const char *listen;	 /* host:port of the platform */
	int64_t seed;
	bool proxy;   /* runs the fault proxy in front of upstreams, platform and nodes */
	bool latency; /* with proxy: applies the document's latency between regions */
};

/* Starts an emulator; NULL with *error set on failure. Free with emu_free(). */
struct emu *emu_new(const struct emu_options *options, GError **error);
void emu_free(struct emu *e);

/* host:port of the platform; borrowed. */
const char *emu_address(const struct emu *e);

/* Address of the platform as nodes reach it: the proxy's address if there is a proxy; borrowed. */
const char *emu_node_address(const struct emu *e);

#ifdef __cplusplus
}
#endif

#endif
