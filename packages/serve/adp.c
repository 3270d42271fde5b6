#include "serve/adp.h"

void adp_change_clear(struct adp_change *change)
{
	pub_doc_unref(change->doc);
	pub_upstream_free(change->upstream);
	g_free(change->id);
	g_free(change->why);
	*change = (struct adp_change){0};
}

void adp_feed_reply_clear(struct adp_feed_reply *reply)
{
	for (guint i = 0; reply->changes && i < reply->changes->len; i++)
		adp_change_clear(&g_array_index(reply->changes, struct adp_change, i));
	if (reply->changes)
		g_array_unref(reply->changes);
	g_free(reply->last_key);
	*reply = (struct adp_feed_reply){0};
}

void adp_lookup_clear(struct adp_lookup *lookup)
{
	g_free(lookup->host);
	g_free(lookup->region);
	g_free(lookup->data_centre);
	*lookup = (struct adp_lookup){0};
}
