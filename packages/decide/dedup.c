#include "decide/dedup.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct dedup {
	GHashTable *known; /* hashes of the handles, as pointers */
	GPtrArray *calls[DEDUP_CALLS];
	uint32_t next;
};

struct dedup *dedup_new(void)
{
	struct dedup *d = g_new0(struct dedup, 1);

	d->known = g_hash_table_new(NULL, NULL);
	for (uint32_t i = 0; i < DEDUP_CALLS; i++)
		d->calls[i] = g_ptr_array_new();
	return d;
}

void dedup_free(struct dedup *d)
{
	if (!d)
		return;
	g_hash_table_unref(d->known);
	for (uint32_t i = 0; i < DEDUP_CALLS; i++)
		g_ptr_array_unref(d->calls[i]);
	g_free(d);
}

bool dedup_take(struct dedup *d, const char *const *handles, uint32_t n)
{
	GPtrArray *taken = g_ptr_array_new();
	GPtrArray *oldest = d->calls[d->next];
	bool is_new = true;

	for (uint32_t i = 0; i < n && is_new; i++) {
		gpointer hash = GSIZE_TO_POINTER(XXH64(handles[i], strlen(handles[i]), 0));
		is_new = g_hash_table_add(d->known, hash);
		if (is_new)
			g_ptr_array_add(taken, hash);
	}
	for (guint i = 0; i < oldest->len; i++)
		g_hash_table_remove(d->known, g_ptr_array_index(oldest, i));
	g_ptr_array_unref(oldest);
	d->calls[d->next] = taken;
	d->next = (d->next + 1) % DEDUP_CALLS;
	return is_new;
}
