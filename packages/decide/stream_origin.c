#include "decide/stream_origin.h"

#include <string.h>
#include <xxhash.h>

struct entry {
	struct stream_origin_record record;
	bool is_untold; /* other nodes have to know it once more than one version may be meant */
};

struct seen_version {
	const char *version; /* interned */
	int64_t seen_ms;     /* last */
	int64_t first_ms;
	bool was_there; /* when the node began to follow the source */
};

struct stream_origin {
	GHashTable *entries;	   /* stream -> struct entry; keys are in the entries */
	GQueue order;		   /* struct entry, as they were noted */
	GHashTable *untold;	   /* set of struct entry */
	GHashTable *versions;	   /* service (interned) -> GArray of struct seen_version */
	int64_t as_of_ms;	   /* of the newest view; 0: there was none */
	int64_t read_ms;	   /* the view has all that the source held then; 0: none */
	int64_t valid_from_ms;	   /* an older view may be out of date */
	int64_t followed_since_ms; /* since when no change at the source was missed */
	int64_t complete_since_ms; /* since when all versions are known; 0: by following alone */
};

struct stream_origin *stream_origin_new(void)
{
	struct stream_origin *o = g_new0(struct stream_origin, 1);

	o->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&o->order);
	o->untold = g_hash_table_new(NULL, NULL);
	o->versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_array_unref);
	return o;
}

void stream_origin_free(struct stream_origin *o)
{
	if (!o)
		return;
	g_hash_table_destroy(o->untold);
	g_queue_clear(&o->order);
	g_hash_table_destroy(o->entries);
	g_hash_table_destroy(o->versions);
	g_free(o);
}

uint64_t stream_origin_hash(const char *attempt)
{
	return XXH64(attempt, strlen(attempt), 0);
}

const char *stream_origin_source_name(enum stream_origin_source source)
{
	static const char *const names[] = {
		[STREAM_ORIGIN_NONE] = "",	 [STREAM_ORIGIN_BEGUN] = "begun",
		[STREAM_ORIGIN_NOTED] = "noted", [STREAM_ORIGIN_REPLY] = "reply",
		[STREAM_ORIGIN_ONLY] = "only",
	};

	return names[source];
}

static GArray *versions_of(struct stream_origin *o, const char *service)
{
	GArray *list = g_hash_table_lookup(o->versions, service);

	if (!list) {
		list = g_array_new(FALSE, FALSE, sizeof(struct seen_version));
		g_hash_table_insert(o->versions, (gpointer)g_intern_string(service), list);
	}
	return list;
}

void stream_origin_note_version(struct stream_origin *o, const char *service, const char *version,
				int64_t now_ms)
{
	GArray *list = versions_of(o, service);
	struct seen_version added;

	for (guint i = 0; i < list->len; i++) {
		struct seen_version *seen = &g_array_index(list, struct seen_version, i);
		if (strcmp(seen->version, version) == 0) {
			seen->seen_ms = MAX(seen->seen_ms, now_ms);
			return;
		}
	}
	added = (struct seen_version){
		.version = g_intern_string(version), .seen_ms = now_ms, .first_ms = now_ms};
	g_array_append_val(list, added);
}

void stream_origin_note_upstreams(struct stream_origin *o, const struct view_state *v,
				  int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, v->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pub_upstream *doc = ((const struct view_upstream *)value)->doc;
		stream_origin_note_version(o, doc->service, doc->version, now_ms);
	}
}

static void begin_to_follow(struct stream_origin *o, int64_t as_of_ms)
{
	GHashTableIter iter;
	gpointer value;

	o->followed_since_ms = as_of_ms;
	o->complete_since_ms = 0;
	g_hash_table_iter_init(&iter, o->versions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GArray *list = value;
		for (guint i = 0; i < list->len; i++)
			g_array_index(list, struct seen_version, i).was_there = true;
	}
}

void stream_origin_note_view(struct stream_origin *o, int64_t as_of_ms, bool has_history)
{
	bool is_gap = !has_history && as_of_ms - o->as_of_ms > STREAM_ORIGIN_FRESH_MS;

	if (o->as_of_ms == 0 || is_gap)
		begin_to_follow(o, as_of_ms);
	o->as_of_ms = MAX(o->as_of_ms, as_of_ms);
}

void stream_origin_note_first_start(struct stream_origin *o, int64_t now_ms)
{
	o->complete_since_ms = now_ms;
}

void stream_origin_note_read(struct stream_origin *o, int64_t sent_ms)
{
	o->read_ms = MAX(o->read_ms, sent_ms);
}

void stream_origin_distrust_view(struct stream_origin *o, int64_t now_ms)
{
	o->valid_from_ms = now_ms;
}

int64_t stream_origin_as_of_ms(const struct stream_origin *o)
{
	return o->as_of_ms;
}

bool stream_origin_is_fresh(const struct stream_origin *o, int64_t now_ms)
{
	return o->as_of_ms > 0 && now_ms - o->as_of_ms <= STREAM_ORIGIN_FRESH_MS &&
	       o->as_of_ms >= o->valid_from_ms;
}

/* Returns whether the node knew, when the request came, all versions that may have begun a stream.
 */
static bool is_complete_for(const struct stream_origin *o, int64_t came_ms, int64_t now_ms)
{
	return o->complete_since_ms > 0 && came_ms >= o->complete_since_ms &&
	       stream_origin_is_fresh(o, now_ms);
}

int64_t stream_origin_followed_ms(const struct stream_origin *o, int64_t now_ms)
{
	int64_t followed_ms = o->as_of_ms - o->followed_since_ms;

	if (!stream_origin_is_fresh(o, now_ms))
		return 0;
	/* the request for which another node asks came at most STREAM_ORIGIN_ASK_MS ago */
	if (is_complete_for(o, now_ms - STREAM_ORIGIN_ASK_MS, now_ms))
		return STREAM_ORIGIN_KEEP_MS;
	return CLAMP(followed_ms, 0, STREAM_ORIGIN_KEEP_MS);
}

bool stream_origin_is_following(const struct stream_origin *o, int64_t now_ms)
{
	return stream_origin_is_fresh(o, now_ms) &&
	       now_ms - o->followed_since_ms >= STREAM_ORIGIN_KEEP_MS;
}

uint32_t stream_origin_list_versions(const struct stream_origin *o, const char *service,
				     const char **versions, uint32_t capacity, int64_t now_ms)
{
	const GArray *list = g_hash_table_lookup(o->versions, service);
	uint32_t n = 0;

	for (guint i = 0; list && i < list->len && n < capacity; i++) {
		const struct seen_version *seen = &g_array_index(list, struct seen_version, i);
		if (now_ms - seen->seen_ms <= STREAM_ORIGIN_KEEP_MS)
			versions[n++] = seen->version;
	}
	return n;
}

const char *stream_origin_only_version(const struct stream_origin *o, const char *service,
				       int64_t now_ms)
{
	const char *versions[2];
	uint32_t n = stream_origin_list_versions(o, service, versions, 2, now_ms);

	return n == 1 && stream_origin_is_following(o, now_ms) ? versions[0] : NULL;
}

bool stream_origin_is_settled(const struct stream_origin *o, const char *service,
			      const char *version, int64_t now_ms)
{
	const GArray *list = g_hash_table_lookup(o->versions, service);

	for (guint i = 0; list && i < list->len; i++) {
		const struct seen_version *seen = &g_array_index(list, struct seen_version, i);
		if (strcmp(seen->version, version) == 0)
			return seen->was_there || now_ms - seen->first_ms >= STREAM_ORIGIN_FRESH_MS;
	}
	return false;
}

static bool is_outdated(const struct entry *e, int64_t now_ms)
{
	return now_ms - e->record.began_ms > STREAM_ORIGIN_KEEP_MS;
}

static struct entry *find(const struct stream_origin *o, uint64_t stream, int64_t now_ms)
{
	struct entry *e = g_hash_table_lookup(o->entries, &stream);

	return e && !is_outdated(e, now_ms) ? e : NULL;
}

static void delete_entry(struct stream_origin *o, struct entry *e)
{
	g_hash_table_remove(o->untold, e);
	g_hash_table_remove(o->entries, &e->record.stream);
}

static struct entry *add_entry(struct stream_origin *o, const struct stream_origin_record *record)
{
	struct entry *e = g_hash_table_lookup(o->entries, &record->stream);

	if (e) { /* outdated, but not deleted yet: it keeps its place */
		e->record = *record;
		return e;
	}
	if (g_hash_table_size(o->entries) >= STREAM_ORIGIN_RECORDS_MAX)
		delete_entry(o, g_queue_pop_head(&o->order));
	e = g_new0(struct entry, 1);
	e->record = *record;
	g_hash_table_insert(o->entries, &e->record.stream, e);
	g_queue_push_tail(&o->order, e);
	return e;
}

static bool is_same_version(const struct stream_origin_record *a,
			    const struct stream_origin_record *b)
{
	return a->version && b->version && strcmp(a->version, b->version) == 0 &&
	       strcmp(a->service, b->service) == 0;
}

/* Adds a record, or renews the one that is known. An uncertain version stays so. */
static struct entry *note(struct stream_origin *o, const struct stream_origin_record *record,
			  int64_t now_ms)
{
	struct entry *e = find(o, record->stream, now_ms);

	if (!e)
		return add_entry(o, record);
	if (!is_same_version(&e->record, record))
		e->record.version = NULL;
	if (record->began_ms >= e->record.began_ms && record->upstream != 0)
		e->record.upstream = record->upstream;
	e->record.began_ms = MAX(e->record.began_ms, record->began_ms);
	return e;
}

void stream_origin_begin(struct stream_origin *o, uint64_t stream, const char *service,
			 const char *version, const char *upstream, int64_t now_ms)
{
	const struct stream_origin_record record = {
		.stream = stream,
		.service = g_intern_string(service),
		.version = g_intern_string(version),
		.began_ms = now_ms,
		.source = STREAM_ORIGIN_BEGUN,
		.upstream = stream_origin_hash(upstream),
	};
	struct entry *e = note(o, &record, now_ms);

	e->record.upstream = record.upstream;
	e->is_untold = true;
	g_hash_table_add(o->untold, e);
}

void stream_origin_learn(struct stream_origin *o, const struct stream_origin_record *record,
			 int64_t now_ms)
{
	struct stream_origin_record copy = *record;

	copy.service = g_intern_string(record->service);
	copy.version = g_intern_string(record->version);
	if (now_ms - copy.began_ms <= STREAM_ORIGIN_KEEP_MS)
		note(o, &copy, now_ms);
}

const struct stream_origin_record *stream_origin_find(const struct stream_origin *o,
						      uint64_t stream, int64_t now_ms)
{
	const struct entry *e = find(o, stream, now_ms);

	return e ? &e->record : NULL;
}

static void set_told(struct stream_origin *o, struct entry *e)
{
	e->is_untold = false;
	g_hash_table_remove(o->untold, e);
}

void stream_origin_complete(struct stream_origin *o, uint64_t stream)
{
	struct entry *e = g_hash_table_lookup(o->entries, &stream);

	if (e)
		set_told(o, e);
}

bool stream_origin_note_restart(struct stream_origin *o, const char *upstream, const char *version,
				int64_t now_ms)
{
	uint64_t hash = stream_origin_hash(upstream);
	GHashTableIter iter;
	gpointer value;
	int64_t since_ms = MIN(now_ms, o->as_of_ms) - STREAM_ORIGIN_DOUBT_MS;
	bool any = false;

	g_hash_table_iter_init(&iter, o->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *e = value;
		if (e->record.upstream != hash || !e->record.version ||
		    strcmp(e->record.version, version) == 0 || e->record.began_ms < since_ms)
			continue;
		any = true;
		e->record.version = NULL;
		if (e->record.source != STREAM_ORIGIN_BEGUN)
			continue;
		e->is_untold = true;
		g_hash_table_add(o->untold, e);
	}
	return any;
}

void stream_origin_tell(struct stream_origin *o, bool always, stream_origin_fn fn, void *arg,
			int64_t now_ms)
{
	GList *untold = g_hash_table_get_keys(o->untold);

	for (GList *at = untold; at; at = at->next) {
		struct entry *e = at->data;
		if (!always && stream_origin_only_version(o, e->record.service, now_ms))
			continue;
		if (is_outdated(e, now_ms) || fn(arg, &e->record))
			set_told(o, e);
	}
	g_list_free(untold);
}

void stream_origin_foreach(const struct stream_origin *o, stream_origin_fn fn, void *arg,
			   int64_t now_ms)
{
	for (GList *at = o->order.head; at; at = at->next) {
		const struct entry *e = at->data;
		if (!is_outdated(e, now_ms))
			fn(arg, &e->record);
	}
}

static void expire_versions(GArray *list, int64_t now_ms)
{
	for (guint i = list->len; i > 0; i--) {
		if (now_ms - g_array_index(list, struct seen_version, i - 1).seen_ms >
		    STREAM_ORIGIN_KEEP_MS)
			g_array_remove_index_fast(list, i - 1);
	}
}

void stream_origin_expire(struct stream_origin *o, int64_t now_ms)
{
	struct entry *e;
	GHashTableIter iter;
	gpointer value;

	/* a renewed record may hold up those behind it, which find() no longer returns */
	while ((e = g_queue_peek_head(&o->order)) && is_outdated(e, now_ms)) {
		g_queue_pop_head(&o->order);
		delete_entry(o, e);
	}
	g_hash_table_iter_init(&iter, o->versions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		expire_versions(value, now_ms);
}

uint32_t stream_origin_count(const struct stream_origin *o)
{
	return g_hash_table_size(o->entries);
}

/*
 * Returns whether the asked node has seen every version from before this one began to follow the
 * source, and for as long as a stream and its resumptions last.
 */
static bool is_vouched_by(const struct stream_origin *o, const struct stream_origin_answer *answer,
			  int64_t now_ms)
{
	int64_t as_of_ms = now_ms - answer->view_age_ms;

	return answer->followed_ms > 0 && o->as_of_ms > 0 && as_of_ms >= o->followed_since_ms &&
	       answer->followed_ms + answer->view_age_ms >= STREAM_ORIGIN_KEEP_MS;
}

void stream_origin_apply_answer(struct stream_origin *o, struct stream_resumption *r,
				const struct stream_origin_answer *answer, int64_t now_ms)
{
	r->answered++;
	if (answer->record && !answer->record->version)
		r->is_uncertain = true;
	else if (answer->record)
		stream_origin_learn(o, answer->record, now_ms);
	r->is_vouched_for = r->is_vouched_for || is_vouched_by(o, answer, now_ms);
	for (uint32_t i = 0; i < answer->n_versions; i++) {
		const char *version = g_intern_string(answer->versions[i]);
		r->has_several = r->has_several || (r->version && r->version != version);
		r->version = version;
	}
}

bool stream_origin_has_upstream(const struct view_state *v, const char *service,
				const char *version)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, v->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct view_upstream *u = value;
		if (strcmp(u->doc->service, service) == 0 &&
		    strcmp(u->doc->version, version) == 0 && view_is_usable(v, u))
			return true;
	}
	return false;
}

/*
 * Returns the only version that this node and the asked ones have seen lately; NULL if there may
 * have been another before the view of this node. One that came later may have begun the stream
 * too, unless the view was read since the request came.
 */
static const char *only_known(const struct stream_origin *o, const struct stream_resumption *r,
			      int64_t now_ms)
{
	const char *versions[2];
	uint32_t n = stream_origin_list_versions(o, r->service, versions, 2, now_ms);

	if (n != 1 || r->has_several || (r->version && r->version != versions[0]))
		return NULL;
	return r->is_vouched_for || stream_origin_is_following(o, now_ms) ||
			       is_complete_for(o, r->came_ms, now_ms)
		       ? versions[0]
		       : NULL;
}

static struct stream_origin_decision go_on(const struct stream_resumption *r,
					   const struct view_state *v, const char *version,
					   enum stream_origin_source source, int64_t age_ms)
{
	return (struct stream_origin_decision){
		.verdict = stream_origin_has_upstream(v, r->service, version)
				   ? STREAM_ORIGIN_GO_ON
				   : STREAM_ORIGIN_NONE_LEFT,
		.version = version,
		.source = source,
		.age_ms = age_ms,
	};
}

static struct stream_origin_decision with_record(const struct stream_resumption *r,
						 const struct view_state *v,
						 const struct stream_origin_record *record,
						 int64_t now_ms)
{
	struct stream_origin_decision d =
		go_on(r, v, record->version, record->source, now_ms - record->began_ms);

	d.upstream = record->upstream;
	return d;
}

static struct stream_origin_decision without_version(enum stream_origin_verdict verdict)
{
	return (struct stream_origin_decision){.verdict = verdict, .age_ms = -1};
}

int64_t stream_origin_wait_until_ms(const struct stream_resumption *r)
{
	return r->read_ms > 0 ? r->read_ms + STREAM_ORIGIN_READ_MS
			      : r->asked_ms + STREAM_ORIGIN_ASK_MS;
}

struct stream_origin_decision stream_origin_decide(const struct stream_origin *o,
						   const struct stream_resumption *r,
						   const struct view_state *v, int64_t now_ms)
{
	const struct stream_origin_record *record = stream_origin_find(o, r->stream, now_ms);
	const char *only;

	if (record && record->version && strcmp(record->service, r->service) == 0 &&
	    !r->is_uncertain)
		return with_record(r, v, record, now_ms);
	if (record || r->is_uncertain)
		return without_version(STREAM_ORIGIN_UNKNOWN);
	if (r->stream != 0 && r->asked_ms == 0)
		return without_version(STREAM_ORIGIN_ASK);
	if (r->answered < r->asked && now_ms - r->asked_ms < STREAM_ORIGIN_ASK_MS)
		return without_version(STREAM_ORIGIN_WAIT);
	only = only_known(o, r, now_ms);
	if (!only)
		return without_version(r->answered < r->asked ? STREAM_ORIGIN_UNKNOWN_YET
							      : STREAM_ORIGIN_UNKNOWN);
	if (o->read_ms >= r->came_ms)
		return go_on(r, v, only, STREAM_ORIGIN_ONLY, -1);
	if (r->read_ms == 0)
		return without_version(STREAM_ORIGIN_READ);
	return without_version(now_ms - r->read_ms < STREAM_ORIGIN_READ_MS
				       ? STREAM_ORIGIN_WAIT
				       : STREAM_ORIGIN_UNKNOWN_YET);
}
