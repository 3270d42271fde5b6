/*
 * Bytes that arrive in parts, kept in blocks of their own: memory is never copied to grow, and what
 * is held exceeds the bytes by one block at most.
 */
#ifndef BASE_BLOCKS_H
#define BASE_BLOCKS_H

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

struct blocks_block;

/* Zero-initialised it is empty. */
struct blocks {
	struct blocks_block *first;
	struct blocks_block *last;
	gsize len;
	gsize held_bytes; /* allocated */
};

void blocks_append(struct blocks *b, const void *data, gsize len);
void blocks_clear(struct blocks *b);

/* Moves the bytes to a new array, and leaves b empty. */
GByteArray *blocks_join(struct blocks *b);

#ifdef __cplusplus
}
#endif

#endif
