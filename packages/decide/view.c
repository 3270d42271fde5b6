#include "decide/view.h"

#include <string.h>

static void free_upstream(gpointer data)
{
	struct view_upstream *u = data;

	pub_upstream_free(u->doc);
	g_free(u);
}

struct view_state *view_new(void)
{
	struct view_state *v = g_new0(struct view_state, 1);

	v->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_upstream);
	v->out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	v->out_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return v;
}

void view_free(struct view_state *v)
{
	if (!v)
		return;
	g_hash_table_destroy(v->upstreams);
	g_hash_table_destroy(v->out);
	g_hash_table_destroy(v->out_seen);
	pub_doc_unref(v->doc);
	g_free(v);
}

bool view_set_config(struct view_state *v, struct pub_doc *doc)
{
	if (v->doc && doc->version <= v->doc->version) {
		pub_doc_unref(doc);
		return false;
	}
	pub_doc_unref(v->doc);
	v->doc = doc;
	return true;
}

static double cold_ms_of(const struct view_state *v, const char *service)
{
	const struct pub_service *s = v->doc ? pub_find_service(v->doc, service) : NULL;

	return s ? s->cold_ms : 0;
}

/*
 * Returns the time until which the upstream is cold, or 0 if it isn't cold. After a restart it is
 * cold for at least the cold time of its service, even if the entry says otherwise.
 */
static int64_t cold_until(const struct view_state *v, const struct pub_upstream *doc,
			  bool restarted, int64_t now_ms)
{
	int64_t left_ms = doc->cold_left_ms;

	if (restarted)
		left_ms = MAX(left_ms, (int64_t)cold_ms_of(v, doc->service));
	return left_ms > 0 ? now_ms + left_ms : 0;
}

static bool affects_routing(const struct pub_upstream *a, const struct pub_upstream *b)
{
	return a->leaving != b->leaving || a->born_ms != b->born_ms ||
	       strcmp(a->address, b->address) != 0 || strcmp(a->service, b->service) != 0 ||
	       strcmp(a->data_centre, b->data_centre) != 0 ||
	       (a->cold_left_ms > 0) != (b->cold_left_ms > 0);
}

bool view_put_upstream(struct view_state *v, struct pub_upstream *doc, int64_t revision,
		       int64_t now_ms)
{
	struct view_upstream *u = g_hash_table_lookup(v->upstreams, doc->id);
	bool changed;

	if (!u) {
		u = g_new0(struct view_upstream, 1);
		u->doc = doc;
		u->revision = revision;
		u->present = true;
		/*
		 * Until the first full read is complete, a new entry doesn't mean a restart, and
		 * only the entry's own cold time applies.
		 */
		u->cold_until_ms = cold_until(v, doc, v->complete, now_ms);
		g_hash_table_insert(v->upstreams, u->doc->id, u);
		return true;
	}
	u->present = true;
	if (revision < u->revision) {
		pub_upstream_free(doc);
		return false;
	}
	changed = u->missing_since_ms > 0 || affects_routing(u->doc, doc);
	u->cold_until_ms =
		MAX(u->cold_until_ms, cold_until(v, doc, doc->born_ms != u->doc->born_ms, now_ms));
	/* A leaving upstream serves again only after a restart. */
	if (u->doc->leaving && doc->born_ms == u->doc->born_ms)
		doc->leaving = true;
	u->revision = revision;
	u->missing_since_ms = 0;
	g_hash_table_steal(v->upstreams, u->doc->id);
	pub_upstream_free(u->doc);
	u->doc = doc;
	g_hash_table_insert(v->upstreams, u->doc->id, u);
	return changed;
}

/*
 * Returns whether the source is in an outage or recovered less than VIEW_RETURN_GRACE_MS ago.
 * Entries that are deleted in that time may have expired and be rewritten soon.
 */
static bool in_source_outage(const struct view_state *v, int64_t now_ms)
{
	return v->source_down_since_ms > 0 ||
	       (v->source_recovered_ms > 0 &&
		now_ms - v->source_recovered_ms < VIEW_RETURN_GRACE_MS);
}

bool view_remove_upstream(struct view_state *v, const char *id, int64_t revision, int64_t now_ms)
{
	struct view_upstream *u = g_hash_table_lookup(v->upstreams, id);

	if (!u || revision < u->revision)
		return false;
	if (in_source_outage(v, now_ms) && !u->doc->leaving) {
		if (u->missing_since_ms == 0)
			u->missing_since_ms = now_ms;
		return false;
	}
	g_hash_table_remove(v->upstreams, id);
	return true;
}

/*
 * Marks the upstreams of a data centre as cold, because they may have restarted while it was out of
 * service.
 */
static void mark_cold(struct view_state *v, const char *data_centre, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, v->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct view_upstream *u = value;
		int64_t cold_ms = (int64_t)cold_ms_of(v, u->doc->service);
		if (strcmp(u->doc->data_centre, data_centre) == 0 && cold_ms > 0)
			u->cold_until_ms = MAX(u->cold_until_ms, now_ms + cold_ms);
	}
}

bool view_set_out_of_service(struct view_state *v, const char *data_centre, bool out,
			     int64_t now_ms)
{
	bool was_out = g_hash_table_contains(v->out, data_centre);

	if (out) {
		g_hash_table_add(v->out_seen, g_strdup(data_centre));
		g_hash_table_add(v->out, g_strdup(data_centre));
	} else if (was_out) {
		g_hash_table_remove(v->out, data_centre);
		mark_cold(v, data_centre, now_ms);
	}
	return was_out != out;
}

void view_begin_read(struct view_state *v)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(v->out_seen);
	g_hash_table_iter_init(&iter, v->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct view_upstream *)value)->present = false;
}

static void remove_absent(struct view_state *v, int64_t revision, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *absent = g_ptr_array_new_with_free_func(g_free);

	g_hash_table_iter_init(&iter, v->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct view_upstream *u = value;
		if (!u->present)
			g_ptr_array_add(absent, g_strdup(u->doc->id));
	}
	for (guint i = 0; i < absent->len; i++)
		view_remove_upstream(v, g_ptr_array_index(absent, i), revision, now_ms);
	g_ptr_array_unref(absent);
}

void view_end_read(struct view_state *v, int64_t revision, int64_t now_ms)
{
	GList *out = g_hash_table_get_keys(v->out);
	GList *names = NULL;

	remove_absent(v, revision, now_ms);
	for (GList *at = out; at; at = at->next) {
		if (!g_hash_table_contains(v->out_seen, at->data))
			names = g_list_prepend(names, g_strdup(at->data));
	}
	for (GList *at = names; at; at = at->next)
		view_set_out_of_service(v, at->data, false, now_ms);
	g_list_free(out);
	g_list_free_full(names, g_free);
	v->complete = true;
}

void view_set_source_down(struct view_state *v, bool down, int64_t now_ms)
{
	if (down && v->source_down_since_ms == 0)
		v->source_down_since_ms = now_ms;
	if (!down && v->source_down_since_ms > 0) {
		v->source_down_since_ms = 0;
		v->source_recovered_ms = now_ms;
	}
}

bool view_expire(struct view_state *v, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	bool any = false;

	if (in_source_outage(v, now_ms))
		return false;
	g_hash_table_iter_init(&iter, v->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct view_upstream *)value)->missing_since_ms == 0)
			continue;
		g_hash_table_iter_remove(&iter);
		any = true;
	}
	return any;
}

bool view_is_usable(const struct view_state *v, const struct view_upstream *u)
{
	return !u->doc->leaving && !g_hash_table_contains(v->out, u->doc->data_centre);
}

bool view_is_cold(const struct view_upstream *u, int64_t now_ms)
{
	return u->cold_until_ms > now_ms;
}
