/* Digest of what a request asks. */
#include "decide/poison.h"

#include <glib.h>
#include <string.h>

#define SHA256_BYTES 32

/* The length goes before the bytes, so that no two sequences of fields look alike. */
static void add_bytes(GChecksum *sum, const void *bytes, size_t len)
{
	uint64_t len_le = GUINT64_TO_LE((uint64_t)len);

	g_checksum_update(sum, (const guchar *)&len_le, sizeof(len_le));
	if (len > 0)
		g_checksum_update(sum, bytes, (gssize)len);
}

static void add_text(GChecksum *sum, const char *text)
{
	add_bytes(sum, text, text ? strlen(text) : 0);
}

uint64_t poison_digest(const struct poison_request *request)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 bytes[SHA256_BYTES];
	gsize len = sizeof(bytes);
	uint64_t digest_le;

	add_text(sum, request->method);
	add_text(sum, request->host);
	add_text(sum, request->target);
	add_text(sum, request->account);
	add_bytes(sum, request->body, request->len);
	for (uint32_t i = 0; request->len == 0 && i < request->n_parts; i++) {
		uint64_t part_le = GUINT64_TO_LE(request->parts[i]);
		add_bytes(sum, &part_le, sizeof(part_le));
	}
	g_checksum_get_digest(sum, bytes, &len);
	g_checksum_free(sum);
	memcpy(&digest_le, bytes, sizeof(digest_le));
	digest_le = GUINT64_FROM_LE(digest_le);
	return digest_le != 0 ? digest_le : 1;
}
