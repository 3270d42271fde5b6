/* Buckets of accounts: what a node may admit, and what it asks for; quota_part.c lends. */
#include "quota_internal.h"

#include "decide/eligible.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define RETRY_AFTER_MIN_MS 200
#define RETRY_AFTER_MAX_MS 30000
#define DEMAND_MS 500	     /* over which demand is counted */
#define DEMAND_WEIGHT 0.5    /* of the last count in the moving mean */
#define DEMAND_HEADROOM 1.25 /* asked for above the demand */
#define ACTIVE_MS 2000	     /* an account not seen for so long asks for nothing */
#define NEAR_ENOUGH 0.9	     /* of the demand met by own part: no other is asked */

uint64_t quota_account_hash(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static double seconds(int64_t ms)
{
	return (double)MAX(ms, 0) / QUOTA_MS_PER_S;
}

static double none_earned(const struct quota *quota, const struct bb *bb, uint64_t account,
			  int64_t limit_per_s, int64_t from_ms, int64_t to_ms)
{
	return INFINITY;
}

static double equal_earned(const struct quota *quota, const struct bb *bb, uint64_t account,
			   int64_t limit_per_s, int64_t from_ms, int64_t to_ms)
{
	if (!quota->self_listed)
		return 0;
	return (double)limit_per_s / quota->n_listed * seconds(to_ms - from_ms);
}

/* A node that is not sure of its view earns nothing: the fleet may have changed around it. */
static double lease_earned(const struct quota *quota, const struct bb *bb, uint64_t account,
			   int64_t limit_per_s, int64_t from_ms, int64_t to_ms)
{
	const struct quota_bucket *bucket = g_hash_table_lookup(quota->buckets, &account);
	double sum = 0;

	if (eligible_view_ok(bb, to_ms))
		sum = equal_earned(quota, bb, account, limit_per_s, from_ms, to_ms) *
		      QUOTA_FLOOR_PCT / 100;
	for (uint32_t i = 0; bucket && i < QUOTA_PARTS_MAX; i++) {
		const struct quota_lease *lent = &bucket->lent[i];
		if (lent->until_ms != BB_NEVER)
			sum += lent->per_s * seconds(MIN(to_ms, lent->until_ms) - from_ms);
	}
	return sum;
}

const struct quota_ops quota_ops_none = {.name = "none", .earned = none_earned};
const struct quota_ops quota_ops_equal = {.name = "equal", .earned = equal_earned};
const struct quota_ops quota_ops_lease = {.name = "lease", .earned = lease_earned, .lends = true};

static double rate_of(const struct quota *quota, const struct bb *bb, uint64_t account,
		      int64_t limit_per_s, int64_t now_ms)
{
	/* over a millisecond from now: leases that end now count no more */
	return quota->ops->earned(quota, bb, account, limit_per_s, now_ms, now_ms + 1) *
	       QUOTA_MS_PER_S;
}

double quota_rate(const struct quota *quota, const struct bb *bb, const struct cfg_account *account,
		  int64_t now_ms)
{
	return rate_of(quota, bb, quota_account_hash(account->name), account->limit_per_s, now_ms);
}

static void fill(const struct quota *quota, const struct bb *bb, struct quota_bucket *bucket,
		 int64_t now_ms)
{
	double rate = rate_of(quota, bb, bucket->account, bucket->limit_per_s, now_ms);
	double most = MAX(rate * QUOTA_BURST_MS / QUOTA_MS_PER_S, 1.0);

	bucket->tokens += quota->ops->earned(quota, bb, bucket->account, bucket->limit_per_s,
					     bucket->filled_ms, now_ms);
	bucket->tokens = MIN(bucket->tokens, most);
	bucket->filled_ms = MAX(bucket->filled_ms, now_ms);
}

static struct quota_bucket *ensure_bucket(struct quota *quota, const struct bb *bb,
					  const struct cfg_account *account, int64_t now_ms)
{
	uint64_t hash = quota_account_hash(account->name);
	struct quota_bucket *bucket = g_hash_table_lookup(quota->buckets, &hash);

	if (!bucket) {
		bucket = g_new0(struct quota_bucket, 1);
		bucket->account = hash;
		/* not used for at least so long, or it would be in memory */
		bucket->filled_ms = MAX(now_ms - QUOTA_IDLE_MS, quota->started_ms);
		bucket->demand_ms = now_ms;
		for (uint32_t i = 0; i < QUOTA_PARTS_MAX; i++)
			bucket->lent[i].until_ms = BB_NEVER;
		g_hash_table_insert(quota->buckets, &bucket->account, bucket);
	}
	if (bucket->limit_per_s != account->limit_per_s && bucket->limit_per_s > 0)
		fill(quota, bb, bucket, now_ms);
	bucket->limit_per_s = account->limit_per_s;
	return bucket;
}

static void count_demand(struct quota_bucket *bucket, int64_t now_ms)
{
	int64_t passed_ms = now_ms - bucket->demand_ms;
	double now_per_s;

	if (passed_ms < DEMAND_MS)
		return;
	now_per_s = bucket->arrived / seconds(passed_ms);
	bucket->demand_per_s += (now_per_s - bucket->demand_per_s) * DEMAND_WEIGHT;
	bucket->arrived = 0;
	bucket->demand_ms = now_ms;
}

static int64_t retry_after_ms(const struct quota *quota, const struct bb *bb,
			      const struct quota_bucket *bucket, int64_t now_ms)
{
	double rate = rate_of(quota, bb, bucket->account, bucket->limit_per_s, now_ms);
	double wait_ms = rate > 0 ? (1.0 - bucket->tokens) / rate * QUOTA_MS_PER_S : QUOTA_LEASE_MS;

	/* a lease may come sooner than the present rate gives one */
	if (quota->ops->lends)
		wait_ms = MIN(wait_ms, QUOTA_LEASE_MS);
	return (int64_t)CLAMP(wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

bool quota_take(struct quota *quota, const struct bb *bb, const struct cfg_account *account,
		int64_t now_ms, int64_t *retry_ms)
{
	struct quota_bucket *bucket;

	if (quota->ops == &quota_ops_none || account->limit_per_s >= QUOTA_UNLIMITED_PER_S)
		return true;
	bucket = ensure_bucket(quota, bb, account, now_ms);
	bucket->seen_ms = now_ms;
	bucket->arrived++;
	count_demand(bucket, now_ms);
	fill(quota, bb, bucket, now_ms);
	if (bucket->tokens >= 1.0) {
		bucket->tokens -= 1.0;
		return true;
	}
	*retry_ms = retry_after_ms(quota, bb, bucket, now_ms);
	return false;
}

void quota_sweep(struct quota *quota, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (now_ms < quota->sweep_at_ms)
		return;
	quota->sweep_at_ms = now_ms + QUOTA_IDLE_MS / 10;
	g_hash_table_iter_init(&iter, quota->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct quota_bucket *bucket = value;
		if (now_ms - bucket->seen_ms > QUOTA_IDLE_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* Rate that would meet the demand of a bucket. */
static double wanted(const struct quota_bucket *bucket)
{
	double want = bucket->demand_per_s;
	double first = bucket->arrived * QUOTA_MS_PER_S / DEMAND_MS;

	want = MAX(want, first) * DEMAND_HEADROOM + 1;
	return MIN(want, (double)bucket->limit_per_s);
}

static bool wants_part(const struct quota *quota, const struct bb *bb,
		       const struct quota_bucket *bucket, uint32_t part, uint32_t own,
		       int64_t now_ms)
{
	double rate = rate_of(quota, bb, bucket->account, bucket->limit_per_s, now_ms);

	if (now_ms < bucket->lent[part].next_ask_ms)
		return false;
	/* what it holds is renewed; further parts are asked for when the near one doesn't do */
	return part == own || bucket->lent[part].until_ms > now_ms ||
	       rate < wanted(bucket) * NEAR_ENOUGH;
}

static void add_question(const struct quota *quota, const struct bb *bb,
			 struct quota_bucket *bucket, uint32_t part, int64_t now_ms,
			 struct quota_message *ask)
{
	const char *keeper = quota_part_owner(quota, bucket->account, part);

	if (!keeper || ask->n_entries == QUOTA_ENTRIES_MAX)
		return;
	if (ask->n_entries > 0 && strcmp(ask->vm, keeper) != 0)
		return;
	g_strlcpy(ask->vm, keeper, sizeof(ask->vm));
	ask->entries[ask->n_entries++] = (struct quota_entry){
		.account = bucket->account,
		.part = part,
		.per_s = wanted(bucket),
	};
	bucket->lent[part].next_ask_ms = now_ms + QUOTA_REQUEST_INTERVAL_MS;
}

struct due {
	struct quota_bucket *bucket;
	uint32_t part;
};

static gint compare_due(gconstpointer a, gconstpointer b)
{
	const struct due *x = a;
	const struct due *y = b;
	int64_t x_ms = x->bucket->lent[x->part].next_ask_ms;
	int64_t y_ms = y->bucket->lent[y->part].next_ask_ms;

	return (x_ms > y_ms) - (x_ms < y_ms);
}

/* Buckets with a part to ask for, the one that waits longest first. */
static GArray *due_buckets(struct quota *quota, const struct bb *bb, int64_t now_ms)
{
	int own = cfg_find_data_centre(bb->cfg, bb->self_dc);
	GArray *due = g_array_new(FALSE, FALSE, sizeof(struct due));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quota_bucket *bucket = value;

		if (now_ms - bucket->seen_ms > ACTIVE_MS)
			continue;
		count_demand(bucket, now_ms);
		fill(quota, bb, bucket, now_ms);
		for (uint32_t part = 0; part < quota->n_parts; part++) {
			const struct due one = {bucket, part};
			if (wants_part(quota, bb, bucket, part, (uint32_t)own, now_ms))
				g_array_append_val(due, one);
		}
	}
	g_array_sort(due, compare_due);
	return due;
}

bool quota_build_request(struct quota *quota, const struct bb *bb, int64_t now_ms,
			 struct quota_message *ask)
{
	GArray *due;

	memset(ask, 0, sizeof(*ask));
	if (!quota->ops->lends || now_ms < quota->ask_at_ms || !eligible_view_ok(bb, now_ms))
		return false;
	ask->asked_ms = now_ms;
	due = due_buckets(quota, bb, now_ms);
	for (guint i = 0; i < due->len; i++) {
		const struct due *one = &g_array_index(due, struct due, i);
		add_question(quota, bb, one->bucket, one->part, now_ms, ask);
	}
	g_array_unref(due);
	if (ask->n_entries > 0 && strcmp(ask->vm, bb->self_vm) != 0)
		quota->ask_at_ms = now_ms + (int64_t)QUOTA_MS_PER_S / QUOTA_REQUESTS_PER_S;
	return ask->n_entries > 0;
}

static void take_lease(const struct quota *quota, const struct bb *bb, struct quota_bucket *bucket,
		       const struct quota_entry *entry, int64_t asked_ms, int64_t now_ms)
{
	struct quota_lease *lent = &bucket->lent[entry->part];

	if (lent->until_ms != BB_NEVER && asked_ms <= lent->asked_ms)
		return;
	/* what was earned under the lease before is not lost, nor earned at the new rate */
	fill(quota, bb, bucket, now_ms);
	lent->per_s = entry->per_s;
	lent->asked_ms = asked_ms;
	lent->until_ms = asked_ms + QUOTA_LEASE_MS;
}

void quota_handle_reply(struct quota *quota, const struct bb *bb, const struct quota_message *reply,
			int64_t now_ms)
{
	if (reply->asked_ms > now_ms || reply->asked_ms + QUOTA_LEASE_MS <= now_ms)
		return;
	for (uint32_t i = 0; i < reply->n_entries; i++) {
		const struct quota_entry *entry = &reply->entries[i];
		struct quota_bucket *bucket = g_hash_table_lookup(quota->buckets, &entry->account);

		if (bucket && entry->part < QUOTA_PARTS_MAX && entry->per_s >= 0)
			take_lease(quota, bb, bucket, entry, reply->asked_ms, now_ms);
	}
}

uint32_t quota_account_count(const struct quota *quota)
{
	return g_hash_table_size(quota->buckets);
}
