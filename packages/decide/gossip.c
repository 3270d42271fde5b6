/* Members: what is known of them, and how news of them are merged. */
#include "gossip_internal.h"

#include <xxhash.h>

struct gossip *gossip_new(const struct gossip_record *self, int64_t now_ms)
{
	struct gossip *f = g_new0(struct gossip, 1);

	f->self.record = *self;
	f->self.heard_ms = now_ms;
	f->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	f->by_key = g_hash_table_new(NULL, NULL);
	f->changed_ms = now_ms;
	f->started_ms = now_ms;
	return f;
}

void gossip_free(struct gossip *f)
{
	if (!f)
		return;
	g_hash_table_destroy(f->by_key);
	g_hash_table_destroy(f->members);
	g_free(f);
}

void gossip_set_self(struct gossip *f, bool ready, bool leaving)
{
	f->self.record.ready = ready;
	f->self.record.leaving = leaving;
}

void gossip_set_isolated(struct gossip *f, bool isolated)
{
	f->self.record.isolated = isolated;
}

static bool is_newer(const struct gossip_record *a, const struct gossip_record *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->beat > b->beat;
}

static uint32_t key_of(const struct gossip_record *r)
{
	return (uint32_t)XXH64(r->peer_address, strlen(r->peer_address), r->incarnation);
}

static void remove_key(struct gossip *f, const struct gossip_member *m)
{
	if (g_hash_table_lookup(f->by_key, GUINT_TO_POINTER(m->key)) == m)
		g_hash_table_remove(f->by_key, GUINT_TO_POINTER(m->key));
}

/* Replaces the member's record, and its key with it. */
static void put_record(struct gossip *f, struct gossip_member *m, const struct gossip_record *r)
{
	uint32_t key = key_of(r);
	bool is_known = g_hash_table_contains(f->by_key, GUINT_TO_POINTER(key));

	m->record = *r;
	if (is_known && m->key == key)
		return;
	remove_key(f, m);
	m->key = key;
	g_hash_table_insert(f->by_key, GUINT_TO_POINTER(key), is_known ? NULL : m);
}

static void note_change(struct gossip *f, struct gossip_member *m, int64_t now_ms)
{
	m->news_ms = now_ms;
	f->changed_ms = now_ms;
}

static bool add_member(struct gossip *f, const struct gossip_record *r, int64_t now_ms)
{
	struct gossip_member *m;

	if (g_hash_table_size(f->members) >= GOSSIP_MEMBERS_MAX)
		return false;
	m = g_new0(struct gossip_member, 1);
	put_record(f, m, r);
	m->heard_ms = now_ms - r->age_ms;
	m->learned_ms = now_ms;
	note_change(f, m, now_ms);
	g_hash_table_insert(f->members, m->record.peer_address, m);
	f->joined_ms = now_ms;
	if (r->ready)
		f->n_met_ready++;
	else
		f->n_met_unready++;
	return true;
}

static bool merge_record(struct gossip *f, const struct gossip_record *r, int64_t now_ms)
{
	struct gossip_member *m;
	bool changed;

	if (r->peer_address[0] == '\0' || r->incarnation >= GOSSIP_NUMBER_MAX ||
	    r->beat > GOSSIP_NUMBER_MAX)
		return false;
	if (strcmp(r->peer_address, f->self.record.peer_address) == 0) {
		/* The wall clock was ahead when this node last ran: supersede that record. */
		if (r->incarnation > f->self.record.incarnation)
			f->self.record.incarnation = r->incarnation + 1;
		return false;
	}
	m = g_hash_table_lookup(f->members, r->peer_address);
	if (!m)
		return add_member(f, r, now_ms);
	if (!is_newer(r, &m->record))
		return false;
	changed = !gossip_is_alive(f, m, now_ms) || m->record.ready != r->ready ||
		  m->record.leaving != r->leaving || m->record.incarnation != r->incarnation;
	if (changed || m->record.isolated != r->isolated)
		note_change(f, m, now_ms);
	put_record(f, m, r);
	m->heard_ms = MAX(m->heard_ms, now_ms - r->age_ms);
	m->learned_ms = now_ms;
	return changed;
}

bool gossip_merge(struct gossip *f, const struct gossip_record *records, uint32_t n, int64_t now_ms)
{
	bool changed = false;

	for (uint32_t i = 0; i < n; i++)
		changed = merge_record(f, &records[i], now_ms) || changed;
	return changed;
}

static bool merge_beat(struct gossip *f, const struct gossip_member *m, const struct gossip_beat *b,
		       int64_t now_ms)
{
	struct gossip_record r;

	if (b->beat <= m->record.beat)
		return false;
	r = m->record;
	r.beat = b->beat;
	r.age_ms = b->age_ms;
	r.ready = b->ready;
	r.leaving = b->leaving;
	r.isolated = b->isolated;
	return merge_record(f, &r, now_ms);
}

bool gossip_merge_beats(struct gossip *f, const struct gossip_beat *beats, uint32_t n,
			struct gossip_unknown *unknown, int64_t now_ms)
{
	bool changed = false;

	unknown->n = 0;
	for (uint32_t i = 0; i < n; i++) {
		gpointer key = GUINT_TO_POINTER(beats[i].member);
		const struct gossip_member *m = g_hash_table_lookup(f->by_key, key);
		if (m)
			changed = merge_beat(f, m, &beats[i], now_ms) || changed;
		else if (beats[i].member != key_of(&f->self.record) &&
			 !g_hash_table_contains(f->by_key, key) && unknown->n < GOSSIP_RECORDS_MAX)
			unknown->members[unknown->n++] = beats[i].member;
	}
	return changed;
}

static bool is_expired(const struct gossip_member *m, int64_t now_ms)
{
	return now_ms - m->heard_ms >
	       (m->record.leaving ? GOSSIP_FORGET_LEAVING_MS : GOSSIP_FORGET_MS);
}

static void forget_expired(struct gossip *f, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gossip_member *m = value;
		if (!is_expired(m, now_ms))
			continue;
		remove_key(f, m);
		g_hash_table_iter_remove(&iter);
	}
}

void gossip_begin_round(struct gossip *f, int64_t now_ms)
{
	f->self.record.beat++;
	f->self.heard_ms = now_ms;
	f->rounds++;
	forget_expired(f, now_ms);
}

bool gossip_is_alive(const struct gossip *f, const struct gossip_member *m, int64_t now_ms)
{
	int64_t silent_ms = GOSSIP_TIMEOUT_MS +
			    GOSSIP_TIMEOUT_MS_PER_MEMBER * (int64_t)g_hash_table_size(f->members);

	return m == &f->self || now_ms - m->heard_ms <= silent_ms;
}

void gossip_confirm_alive(struct gossip *f, const char *peer_address, int64_t now_ms)
{
	struct gossip_member *m = g_hash_table_lookup(f->members, peer_address);

	if (!m)
		return;
	m->heard_ms = now_ms;
	m->contact_ms = now_ms;
	m->suspected_ms = 0;
}

void gossip_suspect(struct gossip *f, const char *peer_address, int64_t now_ms)
{
	struct gossip_member *m = g_hash_table_lookup(f->members, peer_address);

	if (m)
		m->suspected_ms = now_ms;
}

void gossip_skip_gap(struct gossip *f, int64_t gap_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct gossip_member *)value)->heard_ms += gap_ms;
}

uint32_t gossip_count_alive(const struct gossip *f, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 1;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += gossip_is_alive(f, value, now_ms);
	return n;
}

int64_t gossip_last_joined_ms(const struct gossip *f)
{
	return f->joined_ms;
}

const struct gossip_member *gossip_find(const struct gossip *f, const char *peer_address)
{
	if (strcmp(peer_address, f->self.record.peer_address) == 0)
		return &f->self;
	return g_hash_table_lookup(f->members, peer_address);
}

void gossip_foreach(const struct gossip *f, void (*fn)(void *arg, const struct gossip_member *m),
		    void *arg)
{
	GHashTableIter iter;
	gpointer value;

	fn(arg, &f->self);
	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(arg, value);
}
