/* What a round's messages say, and who receives them. */
#include "gossip_internal.h"

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

/* Adds up to most members of the list that are in this node's region, or those that aren't. */
static uint32_t add_members(const struct gossip *f, const GPtrArray *list, bool in_region,
			    uint32_t most, char (*targets)[GOSSIP_NAME_BYTES], uint32_t n)
{
	for (guint i = 0; i < list->len && most > 0; i++) {
		const struct gossip_member *m = list->pdata[i];
		if (gossip_is_in_region(f, m) != in_region)
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
		n_near += gossip_is_in_region(f, alive->pdata[i]);
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
