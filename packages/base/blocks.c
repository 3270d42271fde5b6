#include "base/blocks.h"

#include <string.h>

/* The first block is small, as most bodies are; later ones double what is held, up to the most. */
#define BLOCKS_ROOM_MIN 1024
#define BLOCKS_ROOM_MAX 16384

struct blocks_block {
	struct blocks_block *next;
	gsize used;
	gsize room;
	guint8 data[];
};

static struct blocks_block *add_block(struct blocks *b)
{
	gsize room = CLAMP(b->held_bytes, BLOCKS_ROOM_MIN, BLOCKS_ROOM_MAX);
	struct blocks_block *block = g_malloc(sizeof(*block) + room);

	block->next = NULL;
	block->used = 0;
	block->room = room;
	if (b->last)
		b->last->next = block;
	else
		b->first = block;
	b->last = block;
	b->held_bytes += sizeof(*block) + room;
	return block;
}

void blocks_append(struct blocks *b, const void *data, gsize len)
{
	const guint8 *from = data;

	while (len > 0) {
		struct blocks_block *to = b->last;
		gsize n;
		if (!to || to->used == to->room)
			to = add_block(b);
		n = MIN(len, to->room - to->used);
		memcpy(to->data + to->used, from, n);
		to->used += n;
		b->len += n;
		from += n;
		len -= n;
	}
}

void blocks_clear(struct blocks *b)
{
	struct blocks_block *next;

	for (struct blocks_block *block = b->first; block; block = next) {
		next = block->next;
		g_free(block);
	}
	*b = (struct blocks){0};
}

GByteArray *blocks_join(struct blocks *b)
{
	guint8 *data = g_malloc(MAX(b->len, 1));
	guint8 *at = data;
	GByteArray *all;

	for (const struct blocks_block *block = b->first; block; block = block->next) {
		memcpy(at, block->data, block->used);
		at += block->used;
	}
	/* g_byte_array_sized_new() would round the room up to a power of two */
	all = g_byte_array_new_take(data, b->len); /* NOLINT(clang-analyzer-unix.Malloc): owned */
	blocks_clear(b);
	return all;
}
