#include "decide/view.h"

#include <string.h>

static void free_upstream(gpointer data)
{
	struct view_upstream *u = data;

	pub_upstream_free(u->doc);
	g_free(u);
}

struct view_state *view_new(int64_t heartbeat_ms)
{
	struct view_state *v = g_new0(struct view_state, 1);

	v->doubt_ms = VIEW_LAPSE_HEARTBEATS * heartbeat_ms + VIEW_RETURN_GRACE_MS;
	v->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_upstream);
	v->out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	v->out_seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	v->out_missing = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	v->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return v;
}

void view_free(struct view_state *v)
{
	if (!v)
		return;
	g_hash_table_destroy(v->upstreams);
	g_hash_table_destroy(v->out);
	g_hash_table_destroy(v->out_seen);
	g_hash_table_destroy(v->out_missing);
	g_hash_table_destroy(v->gone);
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

int view_compare(struct view_revision a, struct view_revision b)
{
	if (a.epoch != b.epoch)
		return a.epoch < b.epoch ? -1 : 1;
	return (a.number > b.number) - (a.number < b.number);
}

/* The entries of old copies lapse only while the source answers, so doubts last from then on. */
static void extend_doubts(struct view_state *v, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, v->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct view_upstream *u = value;
		if (u->doubted_until_ms > 0)
			u->doubted_until_ms = now_ms + v->doubt_ms;
	}
}

bool view_raise_epoch(struct view_state *v, int64_t epoch, int64_t revision, int64_t now_ms)
{
	bool is_empty = !v->doc && g_hash_table_size(v->upstreams) == 0;

	if (epoch <= v->epoch)
		return false;
	v->epoch = epoch;
	if (is_empty)
		return true;
	v->restored_revision = revision;
	v->epoch_raised_ms = now_ms;
	v->source_recovered_ms = now_ms;
	extend_doubts(v, now_ms);
	return true;
}

/* Returns whether the entry may stem from the copy that the source was restored from. */
static bool may_be_copied(const struct view_state *v, struct view_revision revision)
{
	return revision.epoch == v->epoch && revision.number <= v->restored_revision;
}

uint32_t view_count_doubted(const struct view_state *v)
{
	uint32_t n = g_hash_table_size(v->out_missing);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, v->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct view_upstream *u = value;
		n += u->missing_since_ms > 0 || u->doubted_until_ms > 0;
	}
	return n;
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
	       g_strcmp0(a->version, b->version) != 0 ||
	       (a->cold_left_ms > 0) != (b->cold_left_ms > 0);
}

static bool add_upstream(struct view_state *v, struct pub_upstream *doc,
			 struct view_revision revision, int64_t now_ms)
{
	const struct view_gone *gone = g_hash_table_lookup(v->gone, doc->id);
	struct view_upstream *u;

	if (gone && view_compare(revision, gone->revision) < 0) {
		pub_upstream_free(doc);
		return false;
	}
	u = g_new0(struct view_upstream, 1);
	u->doc = doc;
	u->revision = revision;
	u->confirmed_ms = now_ms;
	u->present = true;
	/*
	 * Until the first full read is complete, a new entry doesn't mean a restart, and only the
	 * entry's own cold time applies.
	 */
	u->cold_until_ms = cold_until(v, doc, v->complete, now_ms);
	if (gone && gone->revision.epoch < revision.epoch && may_be_copied(v, revision) &&
	    doc->born_ms <= gone->born_ms)
		u->doubted_until_ms = now_ms + v->doubt_ms;
	else
		g_hash_table_remove(v->gone, doc->id);
	g_hash_table_insert(v->upstreams, u->doc->id, u);
	return true;
}

/*
 * Handles an entry that may stem from a copy made before the view's. Returns false if the view's
 * entry is from a later start of the upstream: it then stands until it is written again.
 */
static bool weigh_copied(const struct view_state *v, struct view_upstream *u,
			 const struct pub_upstream *doc, int64_t now_ms)
{
	const struct view_gone *gone = g_hash_table_lookup(v->gone, doc->id);
	bool has_ended = gone && doc->born_ms <= gone->born_ms;

	if (doc->born_ms < u->doc->born_ms) {
		if (u->missing_since_ms == 0)
			u->missing_since_ms = now_ms;
		return false;
	}
	if (has_ended ||
	    (doc->born_ms == u->doc->born_ms && (u->deleted || u->doubted_until_ms > 0)))
		u->doubted_until_ms = now_ms + v->doubt_ms;
	else
		u->doubted_until_ms = 0;
	return true;
}

bool view_put_upstream(struct view_state *v, struct pub_upstream *doc,
		       struct view_revision revision, int64_t now_ms)
{
	struct view_upstream *u = g_hash_table_lookup(v->upstreams, doc->id);
	bool was_doubted;
	bool is_copied;
	bool changed;
	int order;

	if (!u)
		return add_upstream(v, doc, revision, now_ms);
	u->present = true;
	order = view_compare(revision, u->revision);
	was_doubted = u->doubted_until_ms > 0;
	is_copied = u->revision.epoch < revision.epoch && may_be_copied(v, revision);
	if (order < 0 || (is_copied && !weigh_copied(v, u, doc, now_ms))) {
		pub_upstream_free(doc);
		return false;
	}
	if (order > 0 && !is_copied) {
		u->doubted_until_ms = 0;
		u->confirmed_ms = now_ms;
	}
	changed = u->missing_since_ms > 0 || was_doubted != (u->doubted_until_ms > 0) ||
		  affects_routing(u->doc, doc);
	u->cold_until_ms =
		MAX(u->cold_until_ms, cold_until(v, doc, doc->born_ms != u->doc->born_ms, now_ms));
	/* A leaving upstream serves again only after a restart. */
	if (u->doc->leaving && doc->born_ms == u->doc->born_ms)
		doc->leaving = true;
	u->revision = revision;
	u->missing_since_ms = 0;
	u->deleted = false;
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

/* Notes the removal of an upstream that is about to leave the view. */
static void remember_gone(struct view_state *v, const struct view_upstream *u,
			  struct view_revision revision, int64_t now_ms)
{
	const struct view_gone *before = g_hash_table_lookup(v->gone, u->doc->id);
	struct view_gone *gone = g_new0(struct view_gone, 1);

	gone->revision = revision;
	gone->born_ms = MAX(u->doc->born_ms, before ? before->born_ms : 0);
	gone->removed_ms = now_ms;
	g_hash_table_replace(v->gone, g_strdup(u->doc->id), gone);
}

bool view_remove_upstream(struct view_state *v, const char *id, struct view_revision revision,
			  int64_t now_ms)
{
	struct view_upstream *u = g_hash_table_lookup(v->upstreams, id);

	if (!u || view_compare(revision, u->revision) < 0)
		return false;
	if (in_source_outage(v, now_ms) && !u->doc->leaving) {
		/* A copy that lacks the entry may be older than the entry. */
		if (u->missing_since_ms == 0) {
			u->deleted = revision.epoch == u->revision.epoch;
			u->missing_since_ms = now_ms;
		}
		u->revision = revision;
		return false;
	}
	remember_gone(v, u, revision, now_ms);
	g_hash_table_remove(v->upstreams, id);
	return true;
}

void view_drop_upstream(struct view_state *v, const char *id, int64_t now_ms)
{
	struct view_upstream *u = g_hash_table_lookup(v->upstreams, id);

	if (!u)
		return;
	remember_gone(v, u, u->revision, now_ms);
	g_hash_table_remove(v->upstreams, id);
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

	g_hash_table_remove(v->out_missing, data_centre);
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

static void remove_absent(struct view_state *v, struct view_revision revision, int64_t now_ms)
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

/* Returns whether the source was restored so lately that its writers may not have caught up. */
static bool in_restore_grace(const struct view_state *v, int64_t now_ms)
{
	return v->epoch_raised_ms > 0 && now_ms - v->epoch_raised_ms < VIEW_RETURN_GRACE_MS;
}

/* Returns to service the data centres that the full read doesn't list as out of service. */
static void end_outages(struct view_state *v, int64_t now_ms)
{
	GList *out = g_hash_table_get_keys(v->out);

	for (GList *at = out; at; at = at->next) {
		char *name = g_strdup(at->data);
		if (g_hash_table_contains(v->out_seen, name))
			g_hash_table_remove(v->out_missing, name);
		else if (in_restore_grace(v, now_ms))
			g_hash_table_add(v->out_missing, g_strdup(name));
		else
			view_set_out_of_service(v, name, false, now_ms);
		g_free(name);
	}
	g_list_free(out);
}

void view_end_read(struct view_state *v, struct view_revision revision, int64_t now_ms)
{
	remove_absent(v, revision, now_ms);
	end_outages(v, now_ms);
	v->complete = true;
}

void view_set_source_down(struct view_state *v, bool down, int64_t now_ms)
{
	if (down && v->source_down_since_ms == 0)
		v->source_down_since_ms = now_ms;
	if (!down && v->source_down_since_ms > 0) {
		v->source_down_since_ms = 0;
		v->source_recovered_ms = now_ms;
		extend_doubts(v, now_ms);
	}
}

static bool expire_outages(struct view_state *v, int64_t now_ms)
{
	GList *names = g_hash_table_get_keys(v->out_missing);
	bool any = names != NULL;

	for (GList *at = names; at; at = at->next) {
		char *name = g_strdup(at->data);
		view_set_out_of_service(v, name, false, now_ms);
		g_free(name);
	}
	g_list_free(names);
	return any;
}

static gboolean is_gone_outdated(gpointer id, gpointer value, gpointer now_ms)
{
	(void)id;
	return *(int64_t *)now_ms - ((struct view_gone *)value)->removed_ms > VIEW_GONE_KEEP_MS;
}

bool view_expire(struct view_state *v, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	bool any;

	if (in_source_outage(v, now_ms))
		return false;
	any = expire_outages(v, now_ms);
	g_hash_table_iter_init(&iter, v->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct view_upstream *u = value;
		if (u->missing_since_ms > 0) {
			remember_gone(v, u, u->revision, now_ms);
			g_hash_table_iter_remove(&iter);
			any = true;
		} else if (u->doubted_until_ms > 0 && now_ms >= u->doubted_until_ms) {
			u->doubted_until_ms = 0;
			any = true;
		}
	}
	g_hash_table_foreach_remove(v->gone, is_gone_outdated, &now_ms);
	return any;
}

const char *view_obstacle(const struct view_state *v, const struct view_upstream *u)
{
	if (u->doc->leaving)
		return "leaving";
	if (u->doubted_until_ms != 0)
		return "doubted";
	return g_hash_table_contains(v->out, u->doc->data_centre) ? "out of service" : NULL;
}

bool view_is_usable(const struct view_state *v, const struct view_upstream *u)
{
	return !view_obstacle(v, u);
}

bool view_is_cold(const struct view_upstream *u, int64_t now_ms)
{
	return u->cold_until_ms > now_ms;
}
