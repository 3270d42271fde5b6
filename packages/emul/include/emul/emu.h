/*
 * Emulator of everything around the system: the platform (configuration service, VM list) and
 * all upstreams of a configuration document, each with a listener of its own. It keeps a log of
 * what arrived, which is the judge in tests.
 */
#ifndef EMUL_EMU_H
#define EMUL_EMU_H

#include "base/err.h"

#ifdef __cplusplus
extern "C" {
#endif

struct emu;

struct emu_options {
	const char *config_path; /* document to publish; addresses with port 0 are filled in */
	const char *listen;	 /* host:port of the platform */
	int64_t seed;
	bool proxy;   /* fronts upstreams, platform and nodes' peers by the fault proxy */
	bool latency; /* with the proxy: links between regions have the document's latency */
};

/* NULL with *error set. The caller frees with emu_free(). */
struct emu *emu_new(const struct emu_options *options, GError **error);
void emu_free(struct emu *e);

/* host:port of the platform; borrowed. */
const char *emu_address(const struct emu *e);

/* The same for nodes: the proxy's when there is one. */
const char *emu_node_address(const struct emu *e);

#ifdef __cplusplus
}
#endif

#endif
