/* Permits for limited upstreams: the bucket of a limit's owner, and what other nodes hold of it. */
#include "gate_internal.h"

#include <math.h>

#define RETURN_MIN_MS 100
#define RETURN_MAX_MS 5000

bool gate_needs_permit(const struct gate_record *r, int64_t now_ms)
{
	return gate_is_limited(r, now_ms) || gate_is_crowded(r, now_ms);
}

static double rate_per_s(const struct gate_record *r, int64_t now_ms)
{
	return MAX(gate_limit_of(r, now_ms), GATE_PROBE_PER_S);
}

/* Returns the rate at which the bucket fills now. */
static double granted_per_s(const struct gate_record *r, int64_t now_ms)
{
	double share = r->bucket.share;

	if (now_ms - r->bucket.owned_since_ms < GATE_TAKEOVER_MS)
		share = MIN(share, GATE_TAKEOVER_SHARE);
	return rate_per_s(r, now_ms) * share;
}

/* Asks at times whether this node is the limit's owner. */
static void refresh_owner(struct gate *g, struct gate_record *r, int64_t now_ms)
{
	struct gate_bucket *b = &r->bucket;
	int64_t age_ms = now_ms - r->owner_checked_ms;
	bool is_first = r->owner_checked_ms == 0;
	double share;

	if (!is_first && age_ms < GATE_TICK_MS)
		return;
	share = g->fleet.owned_share(g->fleet.arg, r->id);
	/* A gap means that this node didn't run: another one may have been the owner meanwhile. */
	if (share <= 0 || age_ms > 3 * GATE_TICK_MS)
		*b = (struct gate_bucket){0};
	if (share > 0 && b->owned_since_ms == 0) {
		*b = (struct gate_bucket){.owned_since_ms = now_ms, .filled_ms = now_ms};
		/* a limit that was just named had no other owner */
		if (is_first && now_ms - g->started_ms >= GATE_TAKEOVER_MS)
			b->owned_since_ms -= GATE_TAKEOVER_MS;
	}
	b->share = share;
	r->owner_checked_ms = now_ms;
}

void gate_fill_bucket(struct gate *g, struct gate_record *r, int64_t now_ms)
{
	struct gate_bucket *b = &r->bucket;
	double size = GATE_BURST + rate_per_s(r, now_ms) * GATE_BURST_MS / GATE_MS_PER_S;

	refresh_owner(g, r, now_ms);
	if (b->owned_since_ms == 0 || !gate_is_limited(r, now_ms))
		return;
	b->tokens += granted_per_s(r, now_ms) * (double)(now_ms - b->filled_ms) / GATE_MS_PER_S;
	b->tokens = MIN(b->tokens, size);
	b->filled_ms = now_ms;
}

/* Returns the tokens that must be in the bucket for one of them to be granted. */
static double tokens_needed(const struct gate_bucket *b, bool is_urgent, int64_t now_ms)
{
	bool has_waited = b->waiting_since_ms > 0 && now_ms - b->waiting_since_ms > GATE_RESERVE_MS;

	return is_urgent || has_waited ? 1.0 : GATE_BURST;
}

/* Takes up to want tokens from the owner's bucket; returns how many. */
static uint32_t take_tokens(struct gate_record *r, uint32_t want, bool is_urgent, int64_t now_ms)
{
	struct gate_bucket *b = &r->bucket;
	double spare = b->tokens - tokens_needed(b, is_urgent, now_ms) + 1;
	uint32_t n = spare < 1 ? 0 : (uint32_t)MIN(floor(spare), (double)want);

	b->tokens -= n;
	if (n > 0 && !is_urgent)
		b->waiting_since_ms = 0;
	else if (n == 0 && !is_urgent && b->waiting_since_ms == 0)
		b->waiting_since_ms = now_ms;
	return n;
}

/* Grants up to want permits, as its owner; returns how many. */
static uint32_t grant(struct gate *g, struct gate_record *r, uint32_t want, bool is_urgent,
		      int64_t now_ms)
{
	if (gate_is_crowded(r, now_ms))
		want = MIN(want, gate_count_room(g, r, now_ms));
	if (want > 0 && gate_is_limited(r, now_ms))
		want = take_tokens(r, want, is_urgent, now_ms);
	return want;
}

/* Returns how long until the bucket holds a token to grant. */
static int64_t token_in_ms(const struct gate_record *r, bool is_urgent, int64_t now_ms)
{
	double missing = tokens_needed(&r->bucket, is_urgent, now_ms) - r->bucket.tokens;

	if (missing <= 0)
		return 0;
	return (int64_t)ceil(MIN(missing / granted_per_s(r, now_ms), 3600) * GATE_MS_PER_S);
}

/* Returns how long until a permit may be granted, at the owner. */
static int64_t permit_in_ms(struct gate *g, struct gate_record *r, bool is_urgent, int64_t now_ms)
{
	int64_t wait_ms = 0;

	if (gate_is_limited(r, now_ms))
		wait_ms = token_in_ms(r, is_urgent, now_ms);
	if (gate_is_crowded(r, now_ms) && gate_count_room(g, r, now_ms) == 0)
		wait_ms = MAX(wait_ms, GATE_ROOM_WAIT_MS);
	return wait_ms;
}

static struct gate_batch *find_batch(struct gate_record *r, int64_t now_ms)
{
	struct gate_batch *first = NULL;

	for (int i = 0; i < GATE_BATCHES_MAX; i++) {
		struct gate_batch *batch = &r->batches[i];
		if (batch->n > 0 && now_ms < batch->until_ms &&
		    (!first || batch->until_ms < first->until_ms))
			first = batch;
	}
	return first;
}

static bool is_asking(const struct gate_record *r, int64_t now_ms)
{
	return r->asked_ms > 0 && now_ms - r->asked_ms < GATE_ASK_TIMEOUT_MS;
}

/* Counts an ask that was never answered as refused. */
static void expire_ask(struct gate_record *r, int64_t now_ms)
{
	if (r->asked_ms == 0 || is_asking(r, now_ms))
		return;
	r->hold_until_ms = r->asked_ms + GATE_ASK_TIMEOUT_MS + GATE_HOLD_MAX_MS;
	r->asked_ms = 0;
}

void gate_check_limit(struct gate *g, struct gate_record *r, bool is_urgent, int64_t now_ms,
		      struct gate_verdict *verdict)
{
	verdict->per_s = gate_limit_of(r, now_ms);
	verdict->told_ms = MAX(MAX(r->limit_ms, r->brittle.refused_ms), r->room.crowded_ms);
	gate_fill_bucket(g, r, now_ms);
	expire_ask(r, now_ms);
	if (r->bucket.owned_since_ms > 0) {
		verdict->until_ms = now_ms + permit_in_ms(g, r, is_urgent, now_ms);
		verdict->state = verdict->until_ms > now_ms ? GATE_LIMITED : GATE_OPEN;
	} else if (find_batch(r, now_ms)) {
		verdict->state = GATE_OPEN;
	} else if (is_asking(r, now_ms)) {
		verdict->state = GATE_PENDING;
		verdict->until_ms = r->asked_ms + GATE_ASK_TIMEOUT_MS;
	} else if (now_ms < r->hold_until_ms) {
		verdict->state = GATE_LIMITED;
		verdict->until_ms = r->hold_until_ms;
	} else {
		verdict->state = GATE_UNPERMITTED;
	}
}

static void count_taken(struct gate_record *r, int64_t now_ms)
{
	int64_t age_ms = now_ms - r->taken_since_ms;

	if (age_ms >= (int64_t)GATE_MS_PER_S) {
		r->n_taken_before = age_ms < 2 * (int64_t)GATE_MS_PER_S ? r->n_taken : 0;
		r->n_taken = 0;
		r->taken_since_ms = now_ms;
	}
	r->n_taken++;
}

bool gate_spend_permit(struct gate *g, struct gate_record *r, bool is_urgent, int64_t now_ms)
{
	struct gate_batch *batch;

	gate_fill_bucket(g, r, now_ms);
	count_taken(r, now_ms);
	if (r->bucket.owned_since_ms > 0)
		return grant(g, r, 1, is_urgent, now_ms) == 1;
	batch = find_batch(r, now_ms);
	if (batch)
		batch->n--;
	return batch != NULL;
}

void gate_begin_ask(struct gate *g, struct gate_run run, uint32_t n_waiting, bool is_urgent,
		    int64_t now_ms, struct gate_ask *ask)
{
	struct gate_record *r = gate_find(g, run);
	uint32_t soon;

	*ask = (struct gate_ask){.is_urgent = is_urgent, .asked_ms = now_ms};
	if (!r || !gate_get_notice(g, run, &ask->notice))
		return;
	/* as many as were used lately in the time for which permits hold */
	soon = (uint32_t)((double)MAX(r->n_taken, r->n_taken_before) * GATE_PERMIT_MS /
			  GATE_MS_PER_S);
	ask->want = CLAMP(MAX(n_waiting, soon), 1, GATE_WANT_MAX);
	r->asked_ms = now_ms;
}

void gate_note_reply(struct gate *g, const struct gate_reply *reply, int64_t now_ms)
{
	struct gate_record *r = gate_find(g, reply->run);
	int64_t until_ms;

	if (!r || reply->asked_ms > now_ms)
		return;
	until_ms = reply->asked_ms + GATE_PERMIT_MS;
	if (r->asked_ms == reply->asked_ms)
		r->asked_ms = 0;
	if (reply->n_granted == 0) {
		r->hold_until_ms =
			now_ms + CLAMP(reply->wait_ms, GATE_HOLD_MIN_MS, GATE_HOLD_MAX_MS);
		return;
	}
	for (int i = 0; i < GATE_BATCHES_MAX; i++) {
		struct gate_batch *batch = &r->batches[i];
		if (batch->n > 0 && now_ms < batch->until_ms)
			continue;
		*batch = (struct gate_batch){MIN(reply->n_granted, GATE_WANT_MAX), until_ms};
		break;
	}
}

void gate_handle_ask(struct gate *g, const struct gate_ask *ask, const char *node, int64_t now_ms,
		     struct gate_reply *reply)
{
	struct gate_record *r;

	*reply = (struct gate_reply){
		.run = ask->notice.run,
		.asked_ms = ask->asked_ms,
		.wait_ms = GATE_HOLD_MAX_MS,
	};
	gate_merge(g, &ask->notice, now_ms);
	r = gate_find(g, ask->notice.run);
	if (!r)
		return;
	/* the asker hasn't heard yet that the limit has ended */
	if (!gate_needs_permit(r, now_ms)) {
		reply->n_granted = MIN(ask->want, GATE_WANT_MAX);
		return;
	}
	gate_fill_bucket(g, r, now_ms);
	if (r->bucket.owned_since_ms == 0)
		return;
	reply->n_granted = grant(g, r, MIN(ask->want, GATE_WANT_MAX), ask->is_urgent, now_ms);
	reply->wait_ms = permit_in_ms(g, r, ask->is_urgent, now_ms);
	if (gate_is_crowded(r, now_ms))
		gate_note_grant(r, node, reply->n_granted, now_ms);
}

int64_t gate_plan_return(int64_t *next_ms, double per_s, uint32_t n_nodes, int64_t now_ms)
{
	double own_per_s = MAX(per_s, GATE_PROBE_PER_S) / MAX(n_nodes, 1);
	int64_t step_ms = (int64_t)MIN(GATE_MS_PER_S / own_per_s, RETURN_MAX_MS);

	*next_ms = MAX(*next_ms, now_ms) + step_ms;
	*next_ms = MIN(*next_ms, now_ms + RETURN_MAX_MS);
	return MAX(*next_ms - now_ms, RETURN_MIN_MS);
}
