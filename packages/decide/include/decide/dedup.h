/*
 * Recognises a response of a pool upstream that was received before on the same connection, by the
 * handles of its results. The memory of one connection.
 */
#ifndef DECIDE_DEDUP_H
#define DECIDE_DEDUP_H

#include <stdbool.h>
#include <stdint.h>

/* Calls that are remembered: an upstream sends a duplicate within a few calls. */
#define DEDUP_CALLS 16

struct dedup;

struct dedup *dedup_new(void);
void dedup_free(struct dedup *d);

/*
 * Remembers the handles of a response, in place of those of the oldest call. Returns false if one
 * of them is remembered already, or is there twice; the connection isn't to be used any more then.
 */
bool dedup_take(struct dedup *d, const char *const *handles, uint32_t n);

#endif
