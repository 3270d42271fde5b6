/*
 * Shares of accounts across the owners of regions, by distributed start-time fair queueing. Owners
 * tell each other the work that they have given each account, as sums since their start. Work
 * that an account received elsewhere delays its next start here. Design:
 * docs/design/account-shares.md.
 */
#include "chain_share_internal.h"

#include <math.h>
#include <string.h>

/* Owners whose sums are newer count as sharers of an account; the same as for their loads. */
#define OWNER_AGE_MAX_MS 500
/* A sum that grew by more than ten minutes of one upstream is a new starting point. */
#define SUM_JUMP_MAX_MS 600000
/* Work elsewhere puts an account ahead of the pool's virtual time by so many full calls at most. */
#define DEBT_CALLS_MAX 2
/*
 * Work elsewhere that may delay an account at once, in full calls of each upstream, 1.5 s: with
 * less, work is forgotten while messages are 600 ms old. An account in three regions then gets 1.5
 * times the share of others with one call, and 1.1 times with two or more.
 */
#define DELAY_CALLS 4
/*
 * Work elsewhere counts for no more than this times the account's work here and the number of other
 * owners, so that it isn't starved here. In trials an account got up to 1.2 times the share of
 * others with 1 and a quarter of messages lost, and 1.15 times with 2 and messages 1,200 ms old.
 */
#define ELSEWHERE_FACTOR 1.25

static bool is_recent(const struct chain_share_owner *owner, int64_t now_ms)
{
	return owner->run > 0 && now_ms - owner->heard_ms <= OWNER_AGE_MAX_MS;
}

static uint32_t count_owners(const struct chain_sched *c, int64_t now_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < CHAIN_SHARE_OWNERS_MAX; i++)
		n += is_recent(&c->owners[i], now_ms);
	return n;
}

/* Returns the owner's place in the list; a silent one gives way. NULL if none does. */
static struct chain_share_owner *find_owner(struct chain_sched *c, const char *address,
					    uint64_t incarnation, int64_t now_ms)
{
	struct chain_share_owner *place = NULL;

	for (uint32_t i = 0; i < CHAIN_SHARE_OWNERS_MAX; i++) {
		struct chain_share_owner *owner = &c->owners[i];
		if (owner->run > 0 && strcmp(owner->address, address) == 0) {
			place = owner;
			break;
		}
		if (!is_recent(owner, now_ms) && (!place || owner->heard_ms < place->heard_ms))
			place = owner;
	}
	if (!place || strlen(address) >= sizeof(place->address))
		return NULL;
	if (place->run == 0 || strcmp(place->address, address) != 0 ||
	    place->incarnation != incarnation) {
		g_strlcpy(place->address, address, sizeof(place->address));
		place->incarnation = incarnation;
		place->run = ++c->owner_runs;
	}
	place->heard_ms = now_ms;
	return place;
}

/* Returns the work elsewhere that may delay an account at once. */
static double delay_max_ms(const struct chain_sched *c, const struct pool *pool)
{
	uint32_t n = 0;

	for (guint i = 0; i < pool->upstreams->len; i++) {
		const struct upstream *u = g_ptr_array_index(pool->upstreams, i);
		n += u->usable && chain_owns_region(c, u->region);
	}
	return chain_share_call_ms(pool) * DELAY_CALLS * MAX(n, 1);
}

/* Returns the work that the owner has given the account since its last message. */
static uint64_t take_growth(struct chain_share_sum *last, const struct chain_share_owner *owner,
			    uint64_t given_ms)
{
	bool is_known = last->run == owner->run && given_ms >= last->given_ms;
	uint64_t growth_ms = is_known ? given_ms - last->given_ms : 0;

	*last = (struct chain_share_sum){.run = owner->run, .given_ms = given_ms};
	return growth_ms <= SUM_JUMP_MAX_MS ? growth_ms : 0;
}

static void add_work(struct chain_share *share, double given_ms, double delay_ms, int64_t now_ms)
{
	double counted_ms = fmin(given_ms, fmin(share->allowed_ms, delay_ms));

	share->allowed_ms = fmin(share->allowed_ms, delay_ms) - counted_ms;
	share->owed_ms = fmin(share->owed_ms + counted_ms, delay_ms);
	chain_share_add_use(&share->elsewhere, given_ms, now_ms);
}

void chain_note_account_work(struct chain_sched *c, const struct chain_owner *from,
			     const char *service, const struct chain_account_work *work, uint32_t n,
			     int64_t now_ms)
{
	struct pool *pool = g_hash_table_lookup(c->pools, service);
	struct chain_share_owner *owner;
	double delay_ms;

	if (n == 0 || !pool || !policy_is_on(c->off, POLICY_OWNER_SHARES) ||
	    !chain_share_applies(c, pool))
		return;
	owner = find_owner(c, from->address, from->incarnation, now_ms);
	if (!owner)
		return;
	delay_ms = delay_max_ms(c, pool);
	for (uint32_t i = 0; i < MIN(n, CHAIN_ACCOUNT_WORK_MAX); i++) {
		struct chain_share *share =
			g_hash_table_lookup(pool->shares->accounts, work[i].account);
		uint64_t growth_ms;
		if (!share)
			continue; /* has had no chains here */
		growth_ms = take_growth(&share->sums[owner - c->owners], owner, work[i].given_ms);
		if (growth_ms == 0)
			continue;
		add_work(share, (double)growth_ms, delay_ms, now_ms);
		c->counters->owner_sums++;
	}
}

static uint64_t untold_ms(const struct chain_share *share)
{
	return (uint64_t)share->given_ms - share->told_ms;
}

static gint compare_untold(gconstpointer a, gconstpointer b)
{
	uint64_t ms_a = untold_ms(*(struct chain_share *const *)a);
	uint64_t ms_b = untold_ms(*(struct chain_share *const *)b);

	return (ms_a < ms_b) - (ms_a > ms_b);
}

uint32_t chain_take_account_work(struct chain_sched *c, const char *service,
				 struct chain_account_work *work, uint32_t capacity)
{
	const struct pool *pool = g_hash_table_lookup(c->pools, service);
	GPtrArray *changed;
	GHashTableIter iter;
	gpointer value;
	uint32_t n;

	if (!pool || !policy_is_on(c->off, POLICY_OWNER_SHARES) || !chain_share_applies(c, pool))
		return 0;
	changed = g_ptr_array_new();
	g_hash_table_iter_init(&iter, pool->shares->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct chain_share *share = value;
		if (untold_ms(share) > 0)
			g_ptr_array_add(changed, value);
	}
	g_ptr_array_sort(changed, compare_untold);
	n = MIN(changed->len, capacity);
	for (uint32_t i = 0; i < n; i++) {
		struct chain_share *share = g_ptr_array_index(changed, i);
		share->told_ms = (uint64_t)share->given_ms;
		work[i] = (struct chain_account_work){share->name, share->told_ms};
	}
	g_ptr_array_unref(changed);
	return n;
}

void chain_share_note_given(const struct chain_sched *c, struct chain_share *share, double cost_ms,
			    int64_t now_ms)
{
	share->given_ms += cost_ms;
	share->allowed_ms += cost_ms * ELSEWHERE_FACTOR * count_owners(c, now_ms);
}

void chain_share_pay_owed(const struct pool *pool, struct chain_share *share)
{
	double until_ms = pool->shares->now_ms + DEBT_CALLS_MAX * chain_share_call_ms(pool);
	double start_ms = chain_share_start_ms(share);
	double paid_ms = fmin(share->owed_ms, until_ms - start_ms);

	if (paid_ms <= 0)
		return;
	share->end_ms = start_ms + paid_ms;
	share->owed_ms -= paid_ms;
}
