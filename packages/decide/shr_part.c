/* Parts of account limits that this node keeps, and their leases. */
#include "shr_int.h"

#include "decide/slt.h"

#include <string.h>
#include <xxhash.h>

#define DRIFT_MS 100 /* between two clocks over a lease, and a tick */

static guint part_hash(gconstpointer key)
{
	const struct shr_part *part = key;

	return g_int64_hash(&part->account) * 31 + part->part;
}

static gboolean part_equal(gconstpointer a, gconstpointer b)
{
	const struct shr_part *x = a;
	const struct shr_part *y = b;

	return x->account == y->account && x->part == y->part;
}

static void clear_borrowers(struct shr_part *part)
{
	if (part->borrowers)
		g_array_unref(part->borrowers);
	part->borrowers = NULL;
}

static void free_part(gpointer data)
{
	clear_borrowers(data);
	g_free(data);
}

struct shr *shr_new(int64_t now_ms)
{
	struct shr *shr = g_new0(struct shr, 1);

	shr->ops = &shr_lease;
	shr->started_ms = now_ms;
	shr->fewer_ms = BB_NEVER;
	shr->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	shr->parts = g_hash_table_new_full(part_hash, part_equal, free_part, NULL);
	return shr;
}

static void clear_members(struct shr *shr)
{
	for (uint32_t i = 0; i < SHR_PARTS_MAX; i++) {
		if (shr->dcs[i])
			g_array_unref(shr->dcs[i]);
		shr->dcs[i] = NULL;
	}
	if (shr->all)
		g_array_unref(shr->all);
	shr->all = NULL;
}

void shr_free(struct shr *shr)
{
	clear_members(shr);
	g_hash_table_destroy(shr->buckets);
	g_hash_table_destroy(shr->parts);
	g_free(shr);
}

void shr_set_ops(struct shr *shr, const struct shr_ops *ops)
{
	shr->ops = ops;
}

/* Rendezvous hashing (Thaler, Ravishankar, 1998): the node of the highest score wins. */
const char *shr_keeper(const struct shr *shr, uint64_t account, uint32_t part)
{
	const GArray *members = shr->all;
	const char *best = NULL;
	uint64_t best_score = 0;

	if (part < shr->n_parts && shr->dcs[part]->len > 0)
		members = shr->dcs[part];
	for (guint i = 0; members && i < members->len; i++) {
		const struct shr_member *member = &g_array_index(members, struct shr_member, i);
		uint64_t key[2] = {member->hash, account + part};
		uint64_t score = XXH64(key, sizeof(key), 0);

		if (!best || score > best_score) {
			best = member->vm;
			best_score = score;
		}
	}
	return best;
}

/* Members in the order of the list: the keeper depends on their names alone. */
static void set_members(struct shr *shr, const struct bb *bb)
{
	clear_members(shr);
	shr->n_parts = MIN(bb->cfg->places.n_data_centres, SHR_PARTS_MAX);
	shr->all = g_array_new(FALSE, TRUE, sizeof(struct shr_member));
	for (uint32_t i = 0; i < shr->n_parts; i++)
		shr->dcs[i] = g_array_new(FALSE, TRUE, sizeof(struct shr_member));
	for (uint32_t i = 0; i < bb->list->n_vms; i++) {
		const struct vmlist_vm *vm = &bb->list->vms[i];
		struct shr_member member = {.hash = XXH64(vm->id, strlen(vm->id), 0)};
		int dc = cfg_find_data_centre(bb->cfg, vm->data_centre);

		if (!vm->entry || vm->leaving)
			continue;
		g_strlcpy(member.vm, vm->id, sizeof(member.vm));
		g_array_append_val(shr->all, member);
		if (dc >= 0 && (uint32_t)dc < shr->n_parts)
			g_array_append_val(shr->dcs[dc], member);
	}
}

/* A smaller share counts at once, a larger one once all know the list. */
static void set_listed(struct shr *shr, const struct bb *bb, int64_t now_ms)
{
	uint32_t n = 0;

	shr->self_listed = false;
	for (uint32_t i = 0; i < bb->list->n_vms; i++) {
		n += bb->list->vms[i].entry;
		shr->self_listed =
			shr->self_listed || strcmp(bb->list->vms[i].id, bb->self_vm) == 0;
	}
	shr->fewer = n;
	if (n >= shr->n_listed) {
		shr->n_listed = n;
		shr->fewer_ms = BB_NEVER;
	} else {
		shr->fewer_ms = now_ms;
	}
}

static void keep_part(struct shr *shr, const struct cfg_account *account, uint64_t hash,
		      uint32_t index, int64_t now_ms)
{
	const struct shr_part key = {.account = hash, .part = index};
	struct shr_part *part = g_hash_table_lookup(shr->parts, &key);

	if (!part) {
		part = g_new0(struct shr_part, 1);
		*part = key;
		part->since_ms = now_ms;
		g_hash_table_add(shr->parts, part);
	}
	part->kept = true;
	part->per_s = (double)account->limit_per_s * (100 - SHR_FLOOR_PCT) / 100 / shr->n_parts;
}

static gboolean drop_lost(gpointer key, gpointer value, gpointer data)
{
	struct shr_part *part = key;
	bool lost = !part->kept;

	part->kept = false;
	return lost;
}

void shr_recompute(struct shr *shr, const struct bb *bb, int64_t now_ms)
{
	if (!bb->cfg || !bb->list)
		return;
	set_members(shr, bb);
	set_listed(shr, bb, now_ms);
	for (uint32_t i = 0; i < bb->cfg->accounts.n_items; i++) {
		const struct cfg_account *account = &bb->cfg->accounts.items[i];
		uint64_t hash = shr_account_hash(account->name);

		if (account->limit_per_s >= SHR_UNLIMITED_PER_S)
			continue;
		for (uint32_t part = 0; part < shr->n_parts; part++) {
			const char *keeper = shr_keeper(shr, hash, part);
			if (keeper && strcmp(keeper, bb->self_vm) == 0)
				keep_part(shr, account, hash, part, now_ms);
		}
	}
	g_hash_table_foreach_remove(shr->parts, drop_lost, NULL);
}

/*
 * Nobody lends or uses what came here at since_ms any more: all nodes have applied the list, or
 * the views of those that have not are too old, and leases given before have ended.
 */
static bool is_settled(const struct bb *bb, int64_t since_ms, int64_t now_ms)
{
	int64_t lease_ms = SHR_LEASE_MS + DRIFT_MS;
	const struct cfg_capacity *capacity = &bb->cfg->capacity;
	int64_t view_ms = capacity->list_lag_ms + capacity->view_age_ms;

	if (now_ms - since_ms >= view_ms + lease_ms)
		return true;
	return bb->agreed_ms != BB_NEVER && now_ms - MAX(since_ms, bb->agreed_ms) >= lease_ms;
}

void shr_settle(struct shr *shr, const struct bb *bb, int64_t now_ms)
{
	if (shr->fewer_ms == BB_NEVER || !is_settled(bb, shr->fewer_ms, now_ms))
		return;
	shr->n_listed = shr->fewer;
	shr->fewer_ms = BB_NEVER;
}

static double held(const struct shr_borrower *borrower, int64_t now_ms)
{
	double most = 0;

	for (uint32_t i = 0; i < SHR_GRANTS_MAX; i++) {
		if (now_ms < borrower->grants[i].until_ms)
			most = MAX(most, borrower->grants[i].per_s);
	}
	return most;
}

static bool is_live(const struct shr_borrower *borrower, int64_t now_ms)
{
	for (uint32_t i = 0; i < SHR_GRANTS_MAX; i++) {
		if (now_ms < borrower->grants[i].until_ms)
			return true;
	}
	return false;
}

/* The asker among the borrowers; drops those whose leases have all ended. */
static struct shr_borrower *find_borrower(struct shr_part *part, const struct shr_message *ask,
					  int64_t now_ms)
{
	struct shr_borrower *found = NULL;
	struct shr_borrower fresh = {.incarnation = ask->incarnation};

	if (!part->borrowers)
		part->borrowers = g_array_new(FALSE, TRUE, sizeof(struct shr_borrower));
	for (guint i = part->borrowers->len; i-- > 0;) {
		if (!is_live(&g_array_index(part->borrowers, struct shr_borrower, i), now_ms))
			g_array_remove_index_fast(part->borrowers, i);
	}
	for (guint i = 0; i < part->borrowers->len && !found; i++) {
		struct shr_borrower *at = &g_array_index(part->borrowers, struct shr_borrower, i);
		if (at->incarnation == ask->incarnation && strcmp(at->vm, ask->vm) == 0)
			found = at;
	}
	if (found)
		return found;
	g_strlcpy(fresh.vm, ask->vm, sizeof(fresh.vm));
	g_array_append_val(part->borrowers, fresh);
	return &g_array_index(part->borrowers, struct shr_borrower, part->borrowers->len - 1);
}

/*
 * The level up to which wants are met when all of them have to fit into the part: who wants less
 * gets it, the others get the level.
 */
static double fair_share(const struct shr_part *part, double wanted_per_s)
{
	double left = part->per_s;
	guint n = part->borrowers->len;
	double level = left / n;

	/* a few rounds come close enough; what is lent is bounded by what is free in any case */
	for (int round = 0; round < 4; round++) {
		guint above = 0;
		left = part->per_s;
		for (guint i = 0; i < n; i++) {
			double want =
				g_array_index(part->borrowers, struct shr_borrower, i).wanted_per_s;
			above += want > level;
			left -= want > level ? 0 : want;
		}
		if (above == 0)
			break;
		level = left / above;
	}
	return MIN(wanted_per_s, MAX(level, 0));
}

static double free_for(const struct shr_part *part, const struct shr_borrower *borrower,
		       int64_t now_ms)
{
	double left = part->per_s;

	for (guint i = 0; i < part->borrowers->len; i++) {
		const struct shr_borrower *at =
			&g_array_index(part->borrowers, struct shr_borrower, i);
		left -= at == borrower ? 0 : held(at, now_ms);
	}
	return MAX(left, 0);
}

static struct shr_grant *free_grant(struct shr_borrower *borrower, int64_t now_ms)
{
	for (uint32_t i = 0; i < SHR_GRANTS_MAX; i++) {
		if (now_ms >= borrower->grants[i].until_ms)
			return &borrower->grants[i];
	}
	return NULL;
}

static bool lend(struct shr_part *part, const struct shr_message *ask, double wanted_per_s,
		 int64_t now_ms, double *per_s)
{
	struct shr_borrower *borrower = find_borrower(part, ask, now_ms);
	struct shr_grant *grant = free_grant(borrower, now_ms);

	if (!grant || ask->asked_ms < borrower->asked_ms)
		return false;
	borrower->asked_ms = ask->asked_ms;
	borrower->wanted_per_s = wanted_per_s;
	*per_s = MIN(fair_share(part, wanted_per_s), free_for(part, borrower, now_ms));
	/* the borrower counts from its question, so its lease ends before this one */
	*grant = (struct shr_grant){
		.per_s = *per_s,
		.until_ms = now_ms + SHR_LEASE_MS + DRIFT_MS,
	};
	return true;
}

/* At most SHR_REPLIES_PER_S over a second. */
static bool may_reply(struct shr *shr, int64_t now_ms)
{
	int64_t cost_ms = (int64_t)SHR_MS_PER_S / SHR_REPLIES_PER_S;

	shr->reply_at_ms = MAX(shr->reply_at_ms, now_ms - (int64_t)SHR_MS_PER_S);
	if (shr->reply_at_ms + cost_ms > now_ms)
		return false;
	shr->reply_at_ms += cost_ms;
	return true;
}

bool shr_lend(struct shr *shr, const struct bb *bb, const struct shr_message *ask, int64_t now_ms,
	      struct shr_message *reply)
{
	memset(reply, 0, sizeof(*reply));
	if (!shr->ops->lends || !bb->cfg || !bb->list || !slt_view_ok(bb, now_ms) ||
	    !may_reply(shr, now_ms))
		return false;
	g_strlcpy(reply->vm, ask->vm, sizeof(reply->vm));
	reply->incarnation = ask->incarnation;
	reply->reply = true;
	reply->asked_ms = ask->asked_ms;
	for (uint32_t i = 0; i < ask->n_entries && i < SHR_ENTRIES_MAX; i++) {
		const struct shr_entry *entry = &ask->entries[i];
		const struct shr_part key = {.account = entry->account, .part = entry->part};
		struct shr_part *part = g_hash_table_lookup(shr->parts, &key);
		struct shr_entry *out = &reply->entries[reply->n_entries];

		if (!part || !is_settled(bb, part->since_ms, now_ms) || !(entry->per_s > 0))
			continue;
		*out = *entry;
		reply->n_entries += lend(part, ask, entry->per_s, now_ms, &out->per_s);
	}
	return reply->n_entries > 0;
}
