#include "decide/fle.h"

#include <string.h>
#include <xxhash.h>

struct fle {
	struct fle_member self;
	GHashTable *members; /* peer address -> struct fle_member, without the node itself */
	uint64_t rounds;
};

struct fle *fle_new(const struct fle_record *self, int64_t now_ms)
{
	struct fle *f = g_new0(struct fle, 1);

	f->self.record = *self;
	f->self.heard_ms = now_ms;
	f->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return f;
}

void fle_free(struct fle *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->members);
	g_free(f);
}

void fle_set_self(struct fle *f, bool ready, bool leaving)
{
	f->self.record.ready = ready;
	f->self.record.leaving = leaving;
}

static bool is_newer(const struct fle_record *a, const struct fle_record *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->beat > b->beat;
}

static bool take_one(struct fle *f, const struct fle_record *r, int64_t now_ms)
{
	struct fle_member *m;
	bool changed;

	if (r->peer_address[0] == '\0')
		return false;
	if (strcmp(r->peer_address, f->self.record.peer_address) == 0) {
		/* our past start had a clock ahead of this one's: outbid what others believe */
		if (r->incarnation > f->self.record.incarnation)
			f->self.record.incarnation = r->incarnation + 1;
		return false;
	}
	m = g_hash_table_lookup(f->members, r->peer_address);
	if (!m) {
		if (g_hash_table_size(f->members) >= FLE_MEMBERS_MAX)
			return false;
		m = g_new0(struct fle_member, 1);
		m->record = *r;
		m->heard_ms = now_ms;
		g_hash_table_insert(f->members, m->record.peer_address, m);
		return true;
	}
	if (!is_newer(r, &m->record))
		return false;
	changed = !fle_is_alive(f, m, now_ms) || m->record.ready != r->ready ||
		  m->record.leaving != r->leaving || m->record.incarnation != r->incarnation;
	m->record = *r;
	m->heard_ms = now_ms;
	return changed;
}

bool fle_take(struct fle *f, const struct fle_record *records, uint32_t n, int64_t now_ms)
{
	bool changed = false;

	for (uint32_t i = 0; i < n; i++)
		changed = take_one(f, &records[i], now_ms) || changed;
	return changed;
}

static gboolean is_forgotten(gpointer key, gpointer value, gpointer arg)
{
	const struct fle_member *m = value;
	const int64_t *now_ms = arg;

	return *now_ms - m->heard_ms > (m->record.leaving ? FLE_LEFT_MS : FLE_FORGET_MS);
}

void fle_round(struct fle *f, int64_t now_ms)
{
	f->self.record.beat++;
	f->self.heard_ms = now_ms;
	f->rounds++;
	g_hash_table_foreach_remove(f->members, is_forgotten, &now_ms);
}

bool fle_is_alive(const struct fle *f, const struct fle_member *m, int64_t now_ms)
{
	int64_t silent_ms =
		FLE_SILENT_MS + FLE_SILENT_MS_PER_MEMBER * (int64_t)g_hash_table_size(f->members);

	return m == &f->self || now_ms - m->heard_ms <= silent_ms;
}

/* Members that are alive, or all, in random order; free with g_ptr_array_unref(). */
static GPtrArray *draw(struct fle *f, bool alive_only, struct prng *prng, int64_t now_ms)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!alive_only || fle_is_alive(f, value, now_ms))
			g_ptr_array_add(list, value);
	}
	for (guint i = list->len; i > 1; i--) {
		guint k = (guint)prng_below(prng, i);
		gpointer kept = list->pdata[i - 1];
		list->pdata[i - 1] = list->pdata[k];
		list->pdata[k] = kept;
	}
	return list;
}

uint32_t fle_fill(struct fle *f, struct fle_record *records, uint32_t room, struct prng *prng,
		  int64_t now_ms)
{
	GPtrArray *list = draw(f, true, prng, now_ms);
	uint32_t n = 0;

	records[n++] = f->self.record;
	for (guint i = 0; i < list->len && n < room; i++)
		records[n++] = ((struct fle_member *)list->pdata[i])->record;
	g_ptr_array_unref(list);
	return n;
}

static uint32_t add_target(const struct fle *f, char (*targets)[FLE_NAME_BYTES], uint32_t n,
			   const char *address)
{
	if (strcmp(address, f->self.record.peer_address) == 0)
		return n;
	for (uint32_t i = 0; i < n; i++) {
		if (strcmp(targets[i], address) == 0)
			return n;
	}
	g_strlcpy(targets[n], address, FLE_NAME_BYTES);
	return n + 1;
}

uint32_t fle_targets(struct fle *f, const char *const *seeds, uint32_t n_seeds, struct prng *prng,
		     char (*targets)[FLE_NAME_BYTES], uint32_t room, int64_t now_ms)
{
	GPtrArray *alive = draw(f, true, prng, now_ms);
	uint32_t n = 0;

	for (uint32_t i = 0; f->rounds <= FLE_JOIN_ROUNDS && i < n_seeds && n < room; i++)
		n = add_target(f, targets, n, seeds[i]);
	for (guint i = 0; i < alive->len && i < FLE_FANOUT && n < room; i++)
		n = add_target(f, targets, n,
			       ((struct fle_member *)alive->pdata[i])->record.peer_address);
	if (f->rounds % FLE_SEED_EVERY == 0 || alive->len < FLE_FANOUT) {
		/* one that is silent here may be alive behind a cut that has healed */
		GPtrArray *all = draw(f, false, prng, now_ms);
		if (all->len > 0 && n < room)
			n = add_target(f, targets, n,
				       ((struct fle_member *)all->pdata[0])->record.peer_address);
		g_ptr_array_unref(all);
		if (n_seeds > 0 && n < room)
			n = add_target(f, targets, n, seeds[prng_below(prng, n_seeds)]);
	}
	g_ptr_array_unref(alive);
	return n;
}

void fle_heard(struct fle *f, const char *peer_address, int64_t now_ms)
{
	struct fle_member *m = g_hash_table_lookup(f->members, peer_address);

	if (!m)
		return;
	m->heard_ms = now_ms;
	m->doubted_ms = 0;
}

void fle_doubt(struct fle *f, const char *peer_address, int64_t now_ms)
{
	struct fle_member *m = g_hash_table_lookup(f->members, peer_address);

	if (m)
		m->doubted_ms = now_ms;
}

void fle_excuse_gap(struct fle *f, int64_t gap_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct fle_member *)value)->heard_ms += gap_ms;
}

uint32_t fle_count_alive(const struct fle *f, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 1;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += fle_is_alive(f, value, now_ms);
	return n;
}

const struct fle_member *fle_find(const struct fle *f, const char *peer_address)
{
	if (strcmp(peer_address, f->self.record.peer_address) == 0)
		return &f->self;
	return g_hash_table_lookup(f->members, peer_address);
}

void fle_each(const struct fle *f, void (*fn)(void *arg, const struct fle_member *m), void *arg)
{
	GHashTableIter iter;
	gpointer value;

	fn(arg, &f->self);
	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(arg, value);
}

static uint64_t weight(const char *task, const struct fle_member *m)
{
	XXH64_hash_t seed = XXH64(task, strlen(task), 0);

	return XXH64(m->record.peer_address, strlen(m->record.peer_address), seed);
}

static bool may_own(const struct fle *f, const struct fle_member *m, const char *except,
		    int64_t now_ms)
{
	if (!fle_is_alive(f, m, now_ms) || m->record.leaving)
		return false;
	if (m->doubted_ms > 0 && now_ms - m->doubted_ms < FLE_DOUBT_MS)
		return false;
	return !except || strcmp(except, m->record.peer_address) != 0;
}

/* A ready one goes first; when all have just started, none is. */
static bool goes_first(const struct fle_member *a, const struct fle_member *b)
{
	if (a->record.ready != b->record.ready)
		return a->record.ready;
	if (a->record.incarnation != b->record.incarnation)
		return a->record.incarnation < b->record.incarnation;
	return strcmp(a->record.peer_address, b->record.peer_address) < 0;
}

const struct fle_member *fle_owner(const struct fle *f, const char *except, int64_t now_ms)
{
	const struct fle_member *best = may_own(f, &f->self, except, now_ms) ? &f->self : NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (may_own(f, value, except, now_ms) && (!best || goes_first(value, best)))
			best = value;
	}
	return best ? best : &f->self;
}

struct fle_share fle_share_of(const struct fle *f, const char *task, int64_t now_ms)
{
	struct fle_share share = {.sharers = 1, .recent = 1};
	uint64_t own = weight(task, &f->self);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fle_member *m = value;

		if (m->record.leaving && !fle_is_alive(f, m, now_ms))
			continue;
		share.sharers++;
		if (now_ms - m->heard_ms > FLE_RECENT_MS)
			continue;
		share.recent++;
		share.rank += weight(task, m) > own;
	}
	return share;
}
