/* Duties among the members: who is listed, owns tasks, shares limits and reads the source. */
#include "gossip_internal.h"

#include <xxhash.h>

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

uint32_t gossip_list_callers(const struct gossip *f, const char *region, bool is_bound,
			     const char **addresses, uint32_t capacity, int64_t now_ms)
{
	uint32_t enough = is_bound ? 1 : GOSSIP_REGION_NODES_MIN;
	const struct {
		const char *region;
		bool is_isolation_ignored;
		uint32_t enough;
	} tries[] = {
		{region, false, enough},
		{NULL, false, 1},
		{region, true, enough},
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
 * Returns whether the fleet has just started as a whole: most members weren't ready yet when this
 * node first heard of them.
 */
static bool is_fleet_starting(const struct gossip *f, int64_t now_ms)
{
	return now_ms - f->started_ms < GOSSIP_FLEET_START_MS &&
	       f->n_met_unready >= GOSSIP_FLEET_START_MEMBERS && f->n_met_unready > f->n_met_ready;
}

/*
 * Returns whether a is preferred to b as owner of a region: ready members first, then those that
 * reach upstreams, then those in the region, then those with the largest share of a core, then the
 * longest-running. While the fleet starts as a whole, members become ready one after the other, and
 * each node hears of it at another time: readiness then doesn't count, so that all nodes that know
 * the same members choose the same owner.
 */
static bool precedes(const char *region, bool is_starting, const struct gossip_member *a,
		     const struct gossip_member *b)
{
	bool a_is_there = strcmp(a->record.region, region) == 0;
	bool b_is_there = strcmp(b->record.region, region) == 0;

	if (!is_starting && a->record.ready != b->record.ready)
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
	bool is_starting = is_fleet_starting(f, now_ms);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (may_own(f, value, except, now_ms) &&
		    (!best || precedes(region, is_starting, value, best)))
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
	return r->reads_beats && r->ready && !r->leaving && !r->isolated &&
	       gossip_is_in_region(f, m) && gossip_is_alive(f, m, now_ms);
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
