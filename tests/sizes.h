/* Documents and VM lists of any size, for measurements of capacity. */
#ifndef TESTS_SIZES_H
#define TESTS_SIZES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct sizes {
	uint32_t nodes;	    /* node-0, node-1 and so on, in turn in the data centres */
	uint32_t upstreams; /* engines up-0, up-1 and so on, each on a VM u-0, u-1 and so on */
	uint32_t accounts;
	uint32_t pipelines;
	uint32_t models; /* model-0 is on all engines, the others on none */
	uint32_t data_centres;
	const char *address; /* of all upstreams */
};

/* The size that the users want to carry. */
extern const struct sizes sizes_target;

/* The document with revision 1 in all sections but routing; g_string_free() it. */
GString *sizes_document(const struct sizes *s, int64_t routing_revision);

/* The VM list as JSON; nodes have no address to send to; g_string_free() it. */
GString *sizes_list(const struct sizes *s, int64_t version);

#endif
