/* Token buckets of accounts and requests for leases; quota_lease.c grants them. */
#include "quota_internal.h"

#include "decide/eligible.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define RETRY_AFTER_MIN_MS 200
#define RETRY_AFTER_MAX_MS 30000
#define DEMAND_SAMPLE_MS 500   /* interval between demand samples */
#define DEMAND_WEIGHT 0.5      /* weight of the newest sample in the moving average */
#define DEMAND_HEADROOM 1.25   /* requested rate as a multiple of the demand */
#define ACTIVE_ACCOUNT_MS 2000 /* no leases are requested for an account idle for longer */
#define ENOUGH_RATIO 0.9       /* of the wanted rate; above it, no other parts are requested */

uint64_t quota_account_hash(const char *name)
{
	return XXH64(name, strlen(name), 0);
}

static double to_seconds(int64_t ms)
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
	return (double)limit_per_s / quota->n_listed * to_seconds(to_ms - from_ms);
}

/* A node with a stale view gets no floor: the fleet may have grown in the meantime. */
static double lease_earned(const struct quota *quota, const struct bb *bb, uint64_t account,
			   int64_t limit_per_s, int64_t from_ms, int64_t to_ms)
{
	const struct quota_bucket *bucket = g_hash_table_lookup(quota->buckets, &account);
	double sum = 0;

	if (eligible_view_ok(bb, to_ms))
		sum = equal_earned(quota, bb, account, limit_per_s, from_ms, to_ms) *
		      QUOTA_FLOOR_PCT / 100;
	for (uint32_t i = 0; bucket && i < QUOTA_PARTS_MAX; i++) {
		const struct quota_lease *lease = &bucket->lease[i];
		if (lease->until_ms != BB_NEVER)
			sum += lease->per_s * to_seconds(MIN(to_ms, lease->until_ms) - from_ms);
	}
	return sum;
}

const struct quota_ops quota_ops_none = {.name = "none", .earned = none_earned};
const struct quota_ops quota_ops_equal = {.name = "equal", .earned = equal_earned};
const struct quota_ops quota_ops_lease = {
	.name = "lease", .earned = lease_earned, .uses_leases = true};

static double rate_of(const struct quota *quota, const struct bb *bb, uint64_t account,
		      int64_t limit_per_s, int64_t now_ms)
{
	/* Measured over the next millisecond, when leases that end now no longer count. */
	return quota->ops->earned(quota, bb, account, limit_per_s, now_ms, now_ms + 1) *
	       QUOTA_MS_PER_S;
}

double quota_rate(const struct quota *quota, const struct bb *bb, const struct cfg_account *account,
		  int64_t now_ms)
{
	return rate_of(quota, bb, quota_account_hash(account->name), account->limit_per_s, now_ms);
}

static void refill(const struct quota *quota, const struct bb *bb, struct quota_bucket *bucket,
		   int64_t now_ms)
{
	double rate = rate_of(quota, bb, bucket->account, bucket->limit_per_s, now_ms);
	double max_tokens = MAX(rate * QUOTA_BURST_MS / QUOTA_MS_PER_S, 1.0);

	bucket->tokens += quota->ops->earned(quota, bb, bucket->account, bucket->limit_per_s,
					     bucket->refilled_ms, now_ms);
	bucket->tokens = MIN(bucket->tokens, max_tokens);
	bucket->refilled_ms = MAX(bucket->refilled_ms, now_ms);
}

static struct quota_bucket *ensure_bucket(struct quota *quota, const struct bb *bb,
					  const struct cfg_account *account, int64_t now_ms)
{
	uint64_t hash = quota_account_hash(account->name);
	struct quota_bucket *bucket = g_hash_table_lookup(quota->buckets, &hash);

	if (!bucket) {
		bucket = g_new0(struct quota_bucket, 1);
		bucket->account = hash;
		/* The account was idle for this time, else its bucket would still exist. */
		bucket->refilled_ms = MAX(now_ms - QUOTA_IDLE_MS, quota->started_ms);
		bucket->demand_ms = now_ms;
		for (uint32_t i = 0; i < QUOTA_PARTS_MAX; i++)
			bucket->lease[i].until_ms = BB_NEVER;
		g_hash_table_insert(quota->buckets, &bucket->account, bucket);
	}
	if (bucket->limit_per_s != account->limit_per_s && bucket->limit_per_s > 0)
		refill(quota, bb, bucket, now_ms);
	bucket->limit_per_s = account->limit_per_s;
	return bucket;
}

static void count_demand(struct quota_bucket *bucket, int64_t now_ms)
{
	int64_t passed_ms = now_ms - bucket->demand_ms;
	double sample_per_s;

	if (passed_ms < DEMAND_SAMPLE_MS)
		return;
	sample_per_s = bucket->arrived / to_seconds(passed_ms);
	bucket->demand_per_s += (sample_per_s - bucket->demand_per_s) * DEMAND_WEIGHT;
	bucket->arrived = 0;
	bucket->demand_ms = now_ms;
}

static int64_t retry_after_ms(const struct quota *quota, const struct bb *bb,
			      const struct quota_bucket *bucket, int64_t now_ms)
{
	double rate = rate_of(quota, bb, bucket->account, bucket->limit_per_s, now_ms);
	double wait_ms = rate > 0 ? (1.0 - bucket->tokens) / rate * QUOTA_MS_PER_S : QUOTA_LEASE_MS;

	/* A new lease may raise the rate before the next token is due at the present rate. */
	if (quota->ops->uses_leases)
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
	refill(quota, bb, bucket, now_ms);
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

/* Returns the rate that meets the demand of a bucket with headroom, at most the limit. */
static double wanted_per_s(const struct quota_bucket *bucket)
{
	double target_per_s = bucket->demand_per_s;
	double current_per_s = bucket->arrived * QUOTA_MS_PER_S / DEMAND_SAMPLE_MS;

	target_per_s = MAX(target_per_s, current_per_s) * DEMAND_HEADROOM + 1;
	return MIN(target_per_s, (double)bucket->limit_per_s);
}

static bool wants_part(const struct quota *quota, const struct bb *bb,
		       const struct quota_bucket *bucket, uint32_t part, uint32_t own_part,
		       int64_t now_ms)
{
	double rate = rate_of(quota, bb, bucket->account, bucket->limit_per_s, now_ms);

	if (now_ms < bucket->lease[part].next_request_ms)
		return false;
	/*
	 * The part of this node's data centre is always requested and live leases are renewed;
	 * other parts are requested only if the rate is too low.
	 */
	return part == own_part || bucket->lease[part].until_ms > now_ms ||
	       rate < wanted_per_s(bucket) * ENOUGH_RATIO;
}

static void add_request(const struct quota *quota, const struct bb *bb, struct quota_bucket *bucket,
			uint32_t part, int64_t now_ms, struct quota_message *request)
{
	const char *owner = quota_part_owner(quota, bucket->account, part);

	if (!owner || request->n_entries == QUOTA_ENTRIES_MAX)
		return;
	if (request->n_entries > 0 && strcmp(request->vm, owner) != 0)
		return;
	g_strlcpy(request->vm, owner, sizeof(request->vm));
	request->entries[request->n_entries++] = (struct quota_entry){
		.account = bucket->account,
		.part = part,
		.per_s = wanted_per_s(bucket),
	};
	bucket->lease[part].next_request_ms = now_ms + QUOTA_REQUEST_INTERVAL_MS;
}

struct due {
	struct quota_bucket *bucket;
	uint32_t part;
};

static gint compare_due(gconstpointer a, gconstpointer b)
{
	const struct due *x = a;
	const struct due *y = b;
	int64_t x_ms = x->bucket->lease[x->part].next_request_ms;
	int64_t y_ms = y->bucket->lease[y->part].next_request_ms;

	return (x_ms > y_ms) - (x_ms < y_ms);
}

/* Returns the buckets and parts for which a lease request is due, the longest overdue first. */
static GArray *due_buckets(struct quota *quota, const struct bb *bb, int64_t now_ms)
{
	int own_part = cfg_find_data_centre(bb->cfg, bb->self_dc);
	GArray *due = g_array_new(FALSE, FALSE, sizeof(struct due));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quota->buckets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quota_bucket *bucket = value;

		if (now_ms - bucket->seen_ms > ACTIVE_ACCOUNT_MS)
			continue;
		count_demand(bucket, now_ms);
		refill(quota, bb, bucket, now_ms);
		for (uint32_t part = 0; part < quota->n_parts; part++) {
			const struct due item = {bucket, part};
			if (wants_part(quota, bb, bucket, part, (uint32_t)own_part, now_ms))
				g_array_append_val(due, item);
		}
	}
	g_array_sort(due, compare_due);
	return due;
}

bool quota_build_request(struct quota *quota, const struct bb *bb, int64_t now_ms,
			 struct quota_message *request)
{
	GArray *due;

	memset(request, 0, sizeof(*request));
	if (!quota->ops->uses_leases || now_ms < quota->request_due_ms ||
	    !eligible_view_ok(bb, now_ms))
		return false;
	request->asked_ms = now_ms;
	due = due_buckets(quota, bb, now_ms);
	for (guint i = 0; i < due->len; i++) {
		const struct due *item = &g_array_index(due, struct due, i);
		add_request(quota, bb, item->bucket, item->part, now_ms, request);
	}
	g_array_unref(due);
	if (request->n_entries > 0 && strcmp(request->vm, bb->self_vm) != 0)
		quota->request_due_ms = now_ms + (int64_t)QUOTA_MS_PER_S / QUOTA_REQUESTS_PER_S;
	return request->n_entries > 0;
}

static void apply_lease(const struct quota *quota, const struct bb *bb, struct quota_bucket *bucket,
			const struct quota_entry *entry, int64_t asked_ms, int64_t now_ms)
{
	struct quota_lease *lease = &bucket->lease[entry->part];

	if (lease->until_ms != BB_NEVER && asked_ms <= lease->asked_ms)
		return;
	/* The time up to now is credited at the rate of the previous lease. */
	refill(quota, bb, bucket, now_ms);
	lease->per_s = entry->per_s;
	lease->asked_ms = asked_ms;
	lease->until_ms = asked_ms + QUOTA_LEASE_MS;
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
			apply_lease(quota, bb, bucket, entry, reply->asked_ms, now_ms);
	}
}

uint32_t quota_account_count(const struct quota *quota)
{
	return g_hash_table_size(quota->buckets);
}
