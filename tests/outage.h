/*
 * Outages of the soak: a node or half of them reach no upstream for some seconds, while callers,
 * the source and other nodes reach them; or a sound upstream sends nothing for a moment. The soak's
 * own checks hold beside them.
 */
#ifndef TESTS_OUTAGE_H
#define TESTS_OUTAGE_H

#include "cluster.h"

#include <stdint.h>

/* The choices have a generator of their own, so that other faults stay those of their seed. */
void outage_start(struct cluster *c, uint64_t seed);

/* Ends an outage whose time is over, or may begin the next; may pause an upstream. */
void outage_change(void);

/* Ends all, and prints how many there were. */
void outage_clear(void);

#endif
