/* Parts of account limits that this node owns, and the leases on them. */
#include "quota_internal.h"

#include "decide/slot.h"

#include <string.h>
#include <xxhash.h>

#define CLOCK_DRIFT_MS 100 /* bound on two clocks' drift during a lease, plus a tick */

static guint part_hash(gconstpointer key)
{
	const struct quota_part *part = key;

	return g_int64_hash(&part->account) * 31 + part->part;
}

static gboolean part_equal(gconstpointer a, gconstpointer b)
{
	const struct quota_part *x = a;
	const struct quota_part *y = b;

	return x->account == y->account && x->part == y->part;
}

static void clear_borrowers(struct quota_part *part)
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

struct quota *quota_new(int64_t now_ms)
{
	struct quota *quota = g_new0(struct quota, 1);

	quota->ops = &quota_ops_lease;
	quota->started_ms = now_ms;
	quota->shrunk_ms = BB_NEVER;
	quota->buckets = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	quota->parts = g_hash_table_new_full(part_hash, part_equal, free_part, NULL);
	return quota;
}

static void clear_members(struct quota *quota)
{
	for (uint32_t i = 0; i < QUOTA_PARTS_MAX; i++) {
		if (quota->members_by_dc[i])
			g_array_unref(quota->members_by_dc[i]);
		quota->members_by_dc[i] = NULL;
	}
	if (quota->all_members)
		g_array_unref(quota->all_members);
	quota->all_members = NULL;
}

void quota_free(struct quota *quota)
{
	clear_members(quota);
	g_hash_table_destroy(quota->buckets);
	g_hash_table_destroy(quota->parts);
	g_free(quota);
}

void quota_set_ops(struct quota *quota, const struct quota_ops *ops)
{
	quota->ops = ops;
}

/* Rendezvous hashing (Thaler, Ravishankar, 1998): the node with the highest score wins. */
const char *quota_part_owner(const struct quota *quota, uint64_t account, uint32_t part)
{
	const GArray *members = quota->all_members;
	const char *best = NULL;
	uint64_t best_score = 0;

	if (part < quota->n_parts && quota->members_by_dc[part]->len > 0)
		members = quota->members_by_dc[part];
	for (guint i = 0; members && i < members->len; i++) {
		const struct quota_member *member = &g_array_index(members, struct quota_member, i);
		uint64_t key[2] = {member->hash, account + part};
		uint64_t score = XXH64(key, sizeof(key), 0);

		if (!best || score > best_score) {
			best = member->vm;
			best_score = score;
		}
	}
	return best;
}

/* Collects the listed nodes that are not leaving, in total and by data centre. */
static void set_members(struct quota *quota, const struct bb *bb)
{
	clear_members(quota);
	quota->n_parts = MIN(bb->cfg->places.n_data_centres, QUOTA_PARTS_MAX);
	quota->all_members = g_array_new(FALSE, TRUE, sizeof(struct quota_member));
	for (uint32_t i = 0; i < quota->n_parts; i++)
		quota->members_by_dc[i] = g_array_new(FALSE, TRUE, sizeof(struct quota_member));
	for (uint32_t i = 0; i < bb->list->n_vms; i++) {
		const struct vmlist_vm *vm = &bb->list->vms[i];
		struct quota_member member = {.hash = XXH64(vm->id, strlen(vm->id), 0)};
		int dc = cfg_find_data_centre(bb->cfg, vm->data_centre);

		if (!vm->entry || vm->leaving)
			continue;
		g_strlcpy(member.vm, vm->id, sizeof(member.vm));
		g_array_append_val(quota->all_members, member);
		if (dc >= 0 && (uint32_t)dc < quota->n_parts)
			g_array_append_val(quota->members_by_dc[dc], member);
	}
}

/* A longer VM list lowers the floor at once; a shorter one raises it in quota_raise_floor(). */
static void set_listed_count(struct quota *quota, const struct bb *bb, int64_t now_ms)
{
	uint32_t n = 0;

	quota->self_listed = false;
	for (uint32_t i = 0; i < bb->list->n_vms; i++) {
		n += bb->list->vms[i].entry;
		quota->self_listed =
			quota->self_listed || strcmp(bb->list->vms[i].id, bb->self_vm) == 0;
	}
	quota->n_listed_newest = n;
	if (n >= quota->n_listed) {
		quota->n_listed = n;
		quota->shrunk_ms = BB_NEVER;
	} else {
		quota->shrunk_ms = now_ms;
	}
}

static void own_part(struct quota *quota, const struct cfg_account *account, uint64_t hash,
		     uint32_t index, int64_t now_ms)
{
	const struct quota_part key = {.account = hash, .part = index};
	struct quota_part *part = g_hash_table_lookup(quota->parts, &key);

	if (!part) {
		part = g_new0(struct quota_part, 1);
		*part = key;
		part->since_ms = now_ms;
		g_hash_table_add(quota->parts, part);
	}
	part->owned = true;
	part->per_s = (double)account->limit_per_s * (100 - QUOTA_FLOOR_PCT) / 100 / quota->n_parts;
}

static gboolean remove_lost(gpointer key, gpointer value, gpointer data)
{
	struct quota_part *part = key;
	bool lost = !part->owned;

	part->owned = false;
	return lost;
}

void quota_recompute(struct quota *quota, const struct bb *bb, int64_t now_ms)
{
	if (!bb->cfg || !bb->list)
		return;
	set_members(quota, bb);
	set_listed_count(quota, bb, now_ms);
	for (uint32_t i = 0; i < bb->cfg->accounts.n_items; i++) {
		const struct cfg_account *account = &bb->cfg->accounts.items[i];
		uint64_t hash = quota_account_hash(account->name);

		if (account->limit_per_s >= QUOTA_UNLIMITED_PER_S)
			continue;
		for (uint32_t part = 0; part < quota->n_parts; part++) {
			const char *owner = quota_part_owner(quota, hash, part);
			if (owner && strcmp(owner, bb->self_vm) == 0)
				own_part(quota, account, hash, part, now_ms);
		}
	}
	g_hash_table_foreach_remove(quota->parts, remove_lost, NULL);
}

/*
 * True when no other node still grants or uses what this node took over at since_ms: all nodes have
 * applied the VM list, or the views of those that have not are stale, and older leases have ended.
 */
static bool is_takeover_done(const struct bb *bb, int64_t since_ms, int64_t now_ms)
{
	int64_t lease_ms = QUOTA_LEASE_MS + CLOCK_DRIFT_MS;
	const struct cfg_capacity *capacity = &bb->cfg->capacity;
	int64_t view_ms = capacity->list_lag_ms + capacity->view_age_ms;

	if (now_ms - since_ms >= view_ms + lease_ms)
		return true;
	return bb->converged_ms != BB_NEVER && now_ms - MAX(since_ms, bb->converged_ms) >= lease_ms;
}

void quota_raise_floor(struct quota *quota, const struct bb *bb, int64_t now_ms)
{
	if (quota->shrunk_ms == BB_NEVER || !is_takeover_done(bb, quota->shrunk_ms, now_ms))
		return;
	quota->n_listed = quota->n_listed_newest;
	quota->shrunk_ms = BB_NEVER;
}

static double granted_per_s(const struct quota_borrower *borrower, int64_t now_ms)
{
	double max_per_s = 0;

	for (uint32_t i = 0; i < QUOTA_GRANTS_MAX; i++) {
		if (now_ms < borrower->grants[i].until_ms)
			max_per_s = MAX(max_per_s, borrower->grants[i].per_s);
	}
	return max_per_s;
}

static bool is_live(const struct quota_borrower *borrower, int64_t now_ms)
{
	for (uint32_t i = 0; i < QUOTA_GRANTS_MAX; i++) {
		if (now_ms < borrower->grants[i].until_ms)
			return true;
	}
	return false;
}

/*
 * Returns the entry of the requester among the borrowers, adding it if it is missing. Drops
 * borrowers whose grants have all ended.
 */
static struct quota_borrower *find_borrower(struct quota_part *part,
					    const struct quota_message *request, int64_t now_ms)
{
	struct quota_borrower *found = NULL;
	struct quota_borrower added = {.incarnation = request->incarnation};

	if (!part->borrowers)
		part->borrowers = g_array_new(FALSE, TRUE, sizeof(struct quota_borrower));
	for (guint i = part->borrowers->len; i-- > 0;) {
		if (!is_live(&g_array_index(part->borrowers, struct quota_borrower, i), now_ms))
			g_array_remove_index_fast(part->borrowers, i);
	}
	for (guint i = 0; i < part->borrowers->len && !found; i++) {
		struct quota_borrower *at =
			&g_array_index(part->borrowers, struct quota_borrower, i);
		if (at->incarnation == request->incarnation && strcmp(at->vm, request->vm) == 0)
			found = at;
	}
	if (found)
		return found;
	g_strlcpy(added.vm, request->vm, sizeof(added.vm));
	g_array_append_val(part->borrowers, added);
	return &g_array_index(part->borrowers, struct quota_borrower, part->borrowers->len - 1);
}

/*
 * Returns the max-min fair share of the part for a wanted rate: borrowers that want less than a
 * common level get what they want, the others get the level.
 */
static double fair_share(const struct quota_part *part, double wanted_per_s)
{
	double left = part->per_s;
	guint n = part->borrowers->len;
	double level = left / n;

	/* Four rounds suffice: an inexact level is safe, as grants are bounded by the free rate. */
	for (int round = 0; round < 4; round++) {
		guint above = 0;
		left = part->per_s;
		for (guint i = 0; i < n; i++) {
			double want = g_array_index(part->borrowers, struct quota_borrower, i)
					      .wanted_per_s;
			above += want > level;
			left -= want > level ? 0 : want;
		}
		if (above == 0)
			break;
		level = left / above;
	}
	return MIN(wanted_per_s, MAX(level, 0));
}

static double free_per_s(const struct quota_part *part, const struct quota_borrower *borrower,
			 int64_t now_ms)
{
	double left = part->per_s;

	for (guint i = 0; i < part->borrowers->len; i++) {
		const struct quota_borrower *at =
			&g_array_index(part->borrowers, struct quota_borrower, i);
		left -= at == borrower ? 0 : granted_per_s(at, now_ms);
	}
	return MAX(left, 0);
}

static struct quota_grant *free_grant(struct quota_borrower *borrower, int64_t now_ms)
{
	for (uint32_t i = 0; i < QUOTA_GRANTS_MAX; i++) {
		if (now_ms >= borrower->grants[i].until_ms)
			return &borrower->grants[i];
	}
	return NULL;
}

static bool grant_lease(struct quota_part *part, const struct quota_message *request,
			double wanted_per_s, int64_t now_ms, double *per_s)
{
	struct quota_borrower *borrower = find_borrower(part, request, now_ms);
	struct quota_grant *grant = free_grant(borrower, now_ms);

	if (!grant || request->asked_ms < borrower->asked_ms)
		return false;
	borrower->asked_ms = request->asked_ms;
	borrower->wanted_per_s = wanted_per_s;
	*per_s = MIN(fair_share(part, wanted_per_s), free_per_s(part, borrower, now_ms));
	/* The borrower's lease starts at its request, so it ends before this grant. */
	*grant = (struct quota_grant){
		.per_s = *per_s,
		.until_ms = now_ms + QUOTA_LEASE_MS + CLOCK_DRIFT_MS,
	};
	return true;
}

/* Limits replies to QUOTA_REPLIES_PER_S, with a burst of one second. */
static bool may_reply(struct quota *quota, int64_t now_ms)
{
	int64_t cost_ms = (int64_t)QUOTA_MS_PER_S / QUOTA_REPLIES_PER_S;

	quota->replies_spent_ms = MAX(quota->replies_spent_ms, now_ms - (int64_t)QUOTA_MS_PER_S);
	if (quota->replies_spent_ms + cost_ms > now_ms)
		return false;
	quota->replies_spent_ms += cost_ms;
	return true;
}

bool quota_handle_request(struct quota *quota, const struct bb *bb,
			  const struct quota_message *request, int64_t now_ms,
			  struct quota_message *reply)
{
	memset(reply, 0, sizeof(*reply));
	if (!quota->ops->uses_leases || !bb->cfg || !bb->list || !slot_view_ok(bb, now_ms) ||
	    !may_reply(quota, now_ms))
		return false;
	g_strlcpy(reply->vm, request->vm, sizeof(reply->vm));
	reply->incarnation = request->incarnation;
	reply->reply = true;
	reply->asked_ms = request->asked_ms;
	for (uint32_t i = 0; i < request->n_entries && i < QUOTA_ENTRIES_MAX; i++) {
		const struct quota_entry *entry = &request->entries[i];
		const struct quota_part key = {.account = entry->account, .part = entry->part};
		struct quota_part *part = g_hash_table_lookup(quota->parts, &key);
		struct quota_entry *out = &reply->entries[reply->n_entries];

		if (!part || !is_takeover_done(bb, part->since_ms, now_ms) || !(entry->per_s > 0))
			continue;
		*out = *entry;
		reply->n_entries += grant_lease(part, request, entry->per_s, now_ms, &out->per_s);
	}
	return reply->n_entries > 0;
}
