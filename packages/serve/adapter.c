#include "serve/adapter.h"

void adapter_change_clear(struct adapter_change *change)
{
	pub_doc_unref(change->doc);
	pub_upstream_free(change->upstream);
	g_free(change->id);
	g_free(change->why);
	*change = (struct adapter_change){0};
}

void adapter_feed_reply_clear(struct adapter_feed_reply *reply)
{
	for (guint i = 0; reply->changes && i < reply->changes->len; i++)
		adapter_change_clear(&g_array_index(reply->changes, struct adapter_change, i));
	if (reply->changes)
		g_array_unref(reply->changes);
	g_free(reply->last_key);
	*reply = (struct adapter_feed_reply){0};
}

void adapter_lookup_clear(struct adapter_lookup *lookup)
{
	g_free(lookup->host);
	g_free(lookup->region);
	g_free(lookup->data_centre);
	*lookup = (struct adapter_lookup){0};
}
