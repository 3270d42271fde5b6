#include "decide/gossip.h"

#include <string.h>
#include <xxhash.h>

struct gossip {
	struct gossip_member self;
	GHashTable *members; /* peer address -> struct gossip_member, without the node itself */
	/*
	 * gossip_member.key -> the same members; NULL for a key that two members have had, whose
	 * heartbeats then come with their records alone
	 */
	GHashTable *by_key;
	uint64_t rounds;
	int64_t changed_ms; /* when a member last changed */
};

struct gossip *gossip_new(const struct gossip_record *self, int64_t now_ms)
{
	struct gossip *f = g_new0(struct gossip, 1);

	f->self.record = *self;
	f->self.heard_ms = now_ms;
	f->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	f->by_key = g_hash_table_new(NULL, NULL);
	f->changed_ms = now_ms;
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
	return true;
}

static bool merge_record(struct gossip *f, const struct gossip_record *r, int64_t now_ms)
{
	struct gossip_member *m;
	bool changed;

	if (r->peer_address[0] == '\0')
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

static uint32_t age_ms(const struct gossip_member *m, int64_t now_ms)
{
	return (uint32_t)MAX(now_ms - m->heard_ms, 0);
}

static struct gossip_record record_to_send(const struct gossip_member *m, int64_t now_ms)
{
	struct gossip_record r = m->record;

	r.age_ms = age_ms(m, now_ms);
	return r;
}

uint32_t gossip_find_records(const struct gossip *f, const uint32_t *keys, uint32_t n,
			     struct gossip_record *records, int64_t now_ms)
{
	uint32_t n_found = 0;

	records[n_found++] = f->self.record;
	for (uint32_t i = 0; i < n && i < GOSSIP_RECORDS_MAX && n_found < GOSSIP_RECORDS_MAX; i++) {
		const struct gossip_member *m =
			g_hash_table_lookup(f->by_key, GUINT_TO_POINTER(keys[i]));
		if (m)
			records[n_found++] = record_to_send(m, now_ms);
	}
	return n_found;
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

/*
 * Returns the members in random order, without the silent ones if alive_only is set. Free with
 * g_ptr_array_unref().
 */
static GPtrArray *list_shuffled(struct gossip *f, bool alive_only, struct prng *prng,
				int64_t now_ms)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!alive_only || gossip_is_alive(f, value, now_ms))
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

/* Returns when the member changed, if that is news; 0: it isn't. */
static int64_t news_ms(const struct gossip_member *m, int64_t now_ms)
{
	return now_ms - m->news_ms < GOSSIP_NEWS_MS ? m->news_ms : 0;
}

/* Orders members that are news before others, the latest first. */
static gint compare_news(gconstpointer left, gconstpointer right, gpointer arg)
{
	int64_t now_ms = *(const int64_t *)arg;
	int64_t a = news_ms(*(const struct gossip_member *const *)left, now_ms);
	int64_t b = news_ms(*(const struct gossip_member *const *)right, now_ms);

	return (a < b) - (a > b);
}

/* Returns how many records a message to the receiver has at most. */
static uint32_t max_records(const struct gossip *f, const char *receiver, int64_t now_ms)
{
	const struct gossip_member *m = g_hash_table_lookup(f->members, receiver);

	if (!m || !m->record.reads_beats || now_ms - f->changed_ms < GOSSIP_SETTLED_MS ||
	    g_hash_table_size(f->members) < GOSSIP_RECORDS_MAX)
		return GOSSIP_RECORDS_MAX;
	return GOSSIP_RECORDS_SETTLED;
}

uint32_t gossip_fill_records(struct gossip *f, const char *receiver, struct gossip_record *records,
			     uint32_t capacity, struct prng *prng, int64_t now_ms)
{
	GPtrArray *list = list_shuffled(f, true, prng, now_ms);
	uint32_t n = 0;

	capacity = MIN(capacity, max_records(f, receiver, now_ms));
	if (now_ms - f->changed_ms < GOSSIP_NEWS_MS)
		g_ptr_array_sort_with_data(list, compare_news, &now_ms);
	records[n++] = f->self.record;
	for (guint i = 0; i < list->len && n < capacity; i++)
		records[n++] = record_to_send(list->pdata[i], now_ms);
	g_ptr_array_unref(list);
	return n;
}

/* Orders members by when their heartbeats arrived, the latest first: others may not know them yet.
 */
static gint compare_learned(gconstpointer left, gconstpointer right)
{
	const struct gossip_member *a = *(const struct gossip_member *const *)left;
	const struct gossip_member *b = *(const struct gossip_member *const *)right;

	return (a->learned_ms < b->learned_ms) - (a->learned_ms > b->learned_ms);
}

uint32_t gossip_fill_beats(struct gossip *f, struct gossip_beat *beats, uint32_t capacity,
			   struct prng *prng, int64_t now_ms)
{
	GPtrArray *list;
	uint32_t n = 0;

	if (g_hash_table_size(f->members) < GOSSIP_RECORDS_MAX)
		return 0;
	list = list_shuffled(f, true, prng, now_ms);
	if (list->len > capacity)
		g_ptr_array_sort(list, compare_learned);
	for (; n < list->len && n < capacity; n++) {
		const struct gossip_member *m = list->pdata[n];
		beats[n] = (struct gossip_beat){
			.member = m->key,
			.beat = m->record.beat,
			.age_ms = age_ms(m, now_ms),
			.ready = m->record.ready,
			.leaving = m->record.leaving,
			.isolated = m->record.isolated,
		};
	}
	g_ptr_array_unref(list);
	return n;
}

static uint32_t add_target(const struct gossip *f, char (*targets)[GOSSIP_NAME_BYTES], uint32_t n,
			   const char *address)
{
	if (strcmp(address, f->self.record.peer_address) == 0)
		return n;
	for (uint32_t i = 0; i < n; i++) {
		if (strcmp(targets[i], address) == 0)
			return n;
	}
	g_strlcpy(targets[n], address, GOSSIP_NAME_BYTES);
	return n + 1;
}

static bool is_in_region(const struct gossip *f, const struct gossip_member *m)
{
	return strcmp(m->record.region, f->self.record.region) == 0;
}

/* Adds up to most members of the list that are in this node's region, or those that aren't. */
static uint32_t add_members(const struct gossip *f, const GPtrArray *list, bool in_region,
			    uint32_t most, char (*targets)[GOSSIP_NAME_BYTES], uint32_t n)
{
	for (guint i = 0; i < list->len && most > 0; i++) {
		const struct gossip_member *m = list->pdata[i];
		if (is_in_region(f, m) != in_region)
			continue;
		n = add_target(f, targets, n, m->record.peer_address);
		most--;
	}
	return n;
}

/* Adds the round's live members, most of them from this node's region if it has enough. */
static uint32_t add_live(const struct gossip *f, const GPtrArray *alive, struct prng *prng,
			 char (*targets)[GOSSIP_NAME_BYTES], uint32_t n, uint32_t capacity)
{
	uint32_t most = MIN(GOSSIP_FANOUT, capacity - n);
	uint32_t n_near = 0;
	uint32_t n_far;

	for (guint i = 0; i < alive->len; i++)
		n_near += is_in_region(f, alive->pdata[i]);
	if (n_near < GOSSIP_REGION_MEMBERS_MIN) {
		for (guint i = 0; i < alive->len && i < most; i++)
			n = add_target(
				f, targets, n,
				((struct gossip_member *)alive->pdata[i])->record.peer_address);
		return n;
	}
	n_far = most > 0 && n_near < alive->len && prng_below(prng, GOSSIP_BRIDGE_ROUNDS) == 0;
	n = add_members(f, alive, true, most - n_far, targets, n);
	return add_members(f, alive, false, n_far, targets, n);
}

uint32_t gossip_pick_targets(struct gossip *f, const char *const *seeds, uint32_t n_seeds,
			     struct prng *prng, char (*targets)[GOSSIP_NAME_BYTES],
			     uint32_t capacity, int64_t now_ms)
{
	GPtrArray *alive = list_shuffled(f, true, prng, now_ms);
	uint32_t seed_rounds =
		alive->len < GOSSIP_LARGE_FLEET ? GOSSIP_SEED_ROUNDS : GOSSIP_LARGE_SEED_ROUNDS;
	uint32_t n = 0;

	for (uint32_t i = 0; f->rounds <= GOSSIP_JOIN_ROUNDS && i < n_seeds && n < capacity; i++)
		n = add_target(f, targets, n, seeds[i]);
	n = add_live(f, alive, prng, targets, n, capacity);
	if (f->rounds % seed_rounds == 0 || alive->len < GOSSIP_FANOUT) {
		/* A silent member may be reachable again after a partition. */
		GPtrArray *all = list_shuffled(f, false, prng, now_ms);
		if (all->len > 0 && n < capacity)
			n = add_target(
				f, targets, n,
				((struct gossip_member *)all->pdata[0])->record.peer_address);
		g_ptr_array_unref(all);
		if (n_seeds > 0 && n < capacity)
			n = add_target(f, targets, n, seeds[prng_below(prng, n_seeds)]);
	}
	g_ptr_array_unref(alive);
	return n;
}

uint32_t gossip_pick_live(struct gossip *f, struct prng *prng, char (*targets)[GOSSIP_NAME_BYTES],
			  uint32_t capacity, int64_t now_ms)
{
	GPtrArray *alive = list_shuffled(f, true, prng, now_ms);
	uint32_t n = 0;

	for (guint i = 0; i < alive->len && n < capacity; i++)
		n = add_target(f, targets, n,
			       ((struct gossip_member *)alive->pdata[i])->record.peer_address);
	g_ptr_array_unref(alive);
	return n;
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

struct listing {
	const struct gossip *fleet;
	const char *region; /* NULL: any */
	bool is_isolation_ignored;
	const char **addresses;
	uint32_t n;
	uint32_t capacity;
	int64_t now_ms;
};

static void list_caller(void *arg, const struct gossip_member *m)
{
	struct listing *l = arg;
	const struct gossip_record *r = &m->record;

	if (l->n >= l->capacity || !r->ready || r->leaving ||
	    !gossip_is_alive(l->fleet, m, l->now_ms))
		return;
	if ((r->isolated && !l->is_isolation_ignored) ||
	    (l->region && strcmp(l->region, r->region) != 0))
		return;
	l->addresses[l->n++] = r->caller_address;
}

uint32_t gossip_list_callers(const struct gossip *f, const char *region, const char **addresses,
			     uint32_t capacity, int64_t now_ms)
{
	const struct {
		const char *region;
		bool is_isolation_ignored;
		uint32_t enough;
	} tries[] = {
		{region, false, GOSSIP_REGION_NODES_MIN},
		{NULL, false, 1},
		{region, true, GOSSIP_REGION_NODES_MIN},
		{NULL, true, 0},
	};
	struct listing l = {
		.fleet = f, .addresses = addresses, .capacity = capacity, .now_ms = now_ms};

	for (size_t i = 0; i < G_N_ELEMENTS(tries); i++) {
		l.n = 0;
		l.region = tries[i].region;
		l.is_isolation_ignored = tries[i].is_isolation_ignored;
		gossip_foreach(f, list_caller, &l);
		if (l.n >= tries[i].enough)
			break;
	}
	return l.n;
}

static uint64_t weight(const char *task, const struct gossip_member *m)
{
	XXH64_hash_t seed = XXH64(task, strlen(task), 0);

	return XXH64(m->record.peer_address, strlen(m->record.peer_address), seed);
}

static bool may_own(const struct gossip *f, const struct gossip_member *m, const char *except,
		    int64_t now_ms)
{
	if (!gossip_is_alive(f, m, now_ms) || m->record.leaving)
		return false;
	if (m->suspected_ms > 0 && now_ms - m->suspected_ms < GOSSIP_SUSPECT_MS)
		return false;
	return !except || strcmp(except, m->record.peer_address) != 0;
}

/*
 * Returns whether a is preferred to b as owner of a region: ready members first, then those that
 * reach upstreams, then those in the region, then those with the largest share of a core, then the
 * longest-running. Right after a start of the whole fleet no member is ready.
 */
static bool precedes(const char *region, const struct gossip_member *a,
		     const struct gossip_member *b)
{
	bool a_is_there = strcmp(a->record.region, region) == 0;
	bool b_is_there = strcmp(b->record.region, region) == 0;

	if (a->record.ready != b->record.ready)
		return a->record.ready;
	if (a->record.isolated != b->record.isolated)
		return b->record.isolated;
	if (a_is_there != b_is_there)
		return a_is_there;
	if (a->record.cpu_millis != b->record.cpu_millis)
		return a->record.cpu_millis > b->record.cpu_millis;
	if (a->record.incarnation != b->record.incarnation)
		return a->record.incarnation < b->record.incarnation;
	return strcmp(a->record.peer_address, b->record.peer_address) < 0;
}

const struct gossip_member *gossip_owner(const struct gossip *f, const char *region,
					 const char *except, int64_t now_ms)
{
	const struct gossip_member *best = may_own(f, &f->self, except, now_ms) ? &f->self : NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (may_own(f, value, except, now_ms) && (!best || precedes(region, value, best)))
			best = value;
	}
	return best ? best : &f->self;
}

const struct gossip_member *gossip_task_owner(const struct gossip *f, const char *task,
					      int64_t now_ms)
{
	const struct gossip_record *self = &f->self.record;
	const struct gossip_member *best = self->ready && !self->leaving ? &f->self : NULL;
	uint64_t best_weight = best ? weight(task, best) : 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gossip_member *m = value;
		uint64_t own = weight(task, m);
		if (!m->record.ready || m->record.leaving || !gossip_is_alive(f, m, now_ms))
			continue;
		if (!best || own > best_weight) {
			best = m;
			best_weight = own;
		}
	}
	return best;
}

struct gossip_share gossip_compute_share(const struct gossip *f, const char *task, int64_t now_ms)
{
	struct gossip_share share = {.sharing_nodes = 1, .recent = 1};
	uint64_t own = weight(task, &f->self);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gossip_member *m = value;

		if (m->record.leaving && !gossip_is_alive(f, m, now_ms))
			continue;
		share.sharing_nodes++;
		if (now_ms - m->heard_ms > GOSSIP_RECENT_MS)
			continue;
		share.recent++;
		share.rank += weight(task, m) > own;
	}
	return share;
}

static bool may_read(const struct gossip *f, const struct gossip_member *m, int64_t now_ms)
{
	const struct gossip_record *r = &m->record;

	/* older builds read for themselves, and tell nothing */
	return r->reads_beats && r->ready && !r->leaving && !r->isolated && is_in_region(f, m) &&
	       gossip_is_alive(f, m, now_ms);
}

/* Counts the region's nodes that may read the source, and those of them that precede this one. */
static uint32_t count_readers(const struct gossip *f, uint32_t *n_before, int64_t now_ms)
{
	static const char task[] = "source";
	uint64_t own = weight(task, &f->self);
	uint32_t n = 0;
	GHashTableIter iter;
	gpointer value;

	*n_before = 0;
	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!may_read(f, value, now_ms))
			continue;
		n++;
		*n_before += weight(task, value) > own;
	}
	return n + may_read(f, &f->self, now_ms);
}

bool gossip_is_reader(const struct gossip *f, int64_t now_ms)
{
	uint32_t n_before;
	uint32_t n = count_readers(f, &n_before, now_ms);

	return !may_read(f, &f->self, now_ms) || n < GOSSIP_FOLLOWED_REGION_MIN ||
	       n_before < GOSSIP_READERS;
}

bool gossip_is_followed(const struct gossip *f, int64_t now_ms)
{
	uint32_t n_before;
	uint32_t n = count_readers(f, &n_before, now_ms);

	return may_read(f, &f->self, now_ms) && n >= GOSSIP_FOLLOWED_REGION_MIN &&
	       n_before < GOSSIP_READERS;
}

struct ranked {
	const struct gossip_member *member;
	uint64_t weight;
};

/* Inserts a member into the n best so far; returns their new number. */
static uint32_t insert_ranked(struct ranked *best, uint32_t n, uint32_t capacity,
			      struct ranked added)
{
	uint32_t at = n < capacity ? n : capacity - 1;

	if (n == capacity && added.weight <= best[at].weight)
		return n;
	for (; at > 0 && best[at - 1].weight < added.weight; at--)
		best[at] = best[at - 1];
	best[at] = added;
	return MIN(n + 1, capacity);
}

uint32_t gossip_rank(const struct gossip *f, uint64_t key, char (*addresses)[GOSSIP_NAME_BYTES],
		     uint32_t capacity, int64_t now_ms)
{
	struct ranked best[GOSSIP_RANK_MAX];
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;

	capacity = MIN(capacity, GOSSIP_RANK_MAX);
	g_hash_table_iter_init(&iter, f->members);
	while (capacity > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gossip_member *m = value;
		const char *address = m->record.peer_address;
		if (m->record.leaving || !gossip_is_alive(f, m, now_ms))
			continue;
		n = insert_ranked(best, n, capacity,
				  (struct ranked){m, XXH64(address, strlen(address), key)});
	}
	for (uint32_t i = 0; i < n; i++)
		g_strlcpy(addresses[i], best[i].member->record.peer_address, GOSSIP_NAME_BYTES);
	return n;
}
