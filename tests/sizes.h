/* Generated configuration documents and VM lists of any size, for capacity measurements. */
#ifndef TESTS_SIZES_H
#define TESTS_SIZES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sizes {
	uint32_t nodes;	    /* node-0, node-1 and so on, spread over the data centres */
	uint32_t upstreams; /* engines up-0, up-1 and so on, on VMs u-0, u-1 and so on */
	uint32_t accounts;
	uint32_t pipelines;
	uint32_t models; /* model-0 runs on all engines, the others on none */
	uint32_t data_centres;
	const char *address; /* shared by all upstreams */
};

/* The size that a deployment has to support. */
extern const struct sizes sizes_target;

/* A document with revision 1 in all sections but routing. Free with g_string_free(). */
GString *sizes_document(const struct sizes *s, int64_t routing_revision);

/* The VM list as JSON; its nodes have no peer address. Free with g_string_free(). */
GString *sizes_list(const struct sizes *s, int64_t version);

#endif
