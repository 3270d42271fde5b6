#include "decide/poison.h"

#include <glib.h>
#include <string.h>

#define NEVER_MS INT64_MAX

struct record {
	uint64_t request;
	struct poison_end ends[POISON_ENDS_MAX]; /* by time */
	uint32_t n_ends;
	int64_t good_ms; /* INT64_MIN: there was none */
	int64_t heard_ms;
	int64_t trial_ms;   /* start of the last trial; 0: there was none */
	int64_t granted_ms; /* of the last run, at the node that grants them; 0: none is running */
	GList link;	    /* in poison.order */
	bool is_told_refused; /* as in the log */
	struct poison_change told;
};

struct poison {
	GHashTable *records; /* request -> struct record, owned */
	GQueue order;	     /* struct record, borrowed, the one heard of first at the head */
	GHashTable *alive;   /* upstream -> struct poison_alive, owned */
	int64_t last_end_ms; /* of all upstreams; INT64_MIN: there was none */
	bool has_changes;    /* verdicts may differ from those in the log */
};

struct poison *poison_new(void)
{
	struct poison *p = g_new0(struct poison, 1);

	p->records = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&p->order);
	p->alive = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	p->last_end_ms = INT64_MIN;
	return p;
}

void poison_free(struct poison *p)
{
	if (!p)
		return;
	g_hash_table_destroy(p->records);
	g_hash_table_destroy(p->alive);
	g_free(p);
}

bool poison_is_empty(const struct poison *p)
{
	return g_hash_table_size(p->records) == 0;
}

static struct record *find_record(const struct poison *p, uint64_t request)
{
	return g_hash_table_lookup(p->records, &request);
}

static bool is_alive(const struct poison *p, const struct poison_end *end)
{
	const struct poison_alive *alive = g_hash_table_lookup(p->alive, &end->upstream);

	return alive && alive->sent_ms > end->at_ms &&
	       alive->sent_ms <= end->at_ms + POISON_ALIVE_MS;
}

static bool is_outweighed(const struct record *r, const struct poison_end *end)
{
	return r->good_ms != INT64_MIN && end->at_ms < r->good_ms + POISON_HOLD_MS;
}

static bool counts(const struct poison *p, const struct record *r, const struct poison_end *end)
{
	return !is_outweighed(r, end) && !is_alive(p, end);
}

/* The verdict without regard to trials that are due. */
struct judgement {
	struct poison_verdict verdict;
	bool has_failed; /* a trial ended in an end */
};

/*
 * Runs that overlap may have ended for one reason that has nothing to do with the request. A run
 * that was sent after all ends before it, and ended too, is a further step.
 */
static struct judgement judge(const struct poison *p, const struct record *r)
{
	struct judgement j = {.verdict.state = POISON_CLEAR};
	struct poison_verdict *v = &j.verdict;

	for (uint32_t i = 0; i < r->n_ends; i++) {
		const struct poison_end *end = &r->ends[i];
		if (!counts(p, r, end))
			continue;
		j.has_failed |= v->state == POISON_REFUSED &&
				end->at_ms - v->last_ms >= POISON_TRIAL_MS - POISON_TRIAL_SLACK_MS;
		if (v->n_upstreams++ == 0)
			v->first_ms = end->at_ms;
		if (v->n_steps == 0 || end->sent_ms >= v->last_ms)
			v->n_steps++;
		v->last_ms = end->at_ms;
		v->state = v->n_upstreams >= POISON_UPSTREAMS && v->n_steps >= POISON_STEPS
				   ? POISON_REFUSED
				   : POISON_SUSPECTED;
	}
	return j;
}

static void drop_record(struct poison *p, struct record *r)
{
	g_queue_unlink(&p->order, &r->link);
	g_hash_table_remove(p->records, &r->request);
	p->has_changes = true;
}

/* Drops the oldest record that isn't refused; if there is none, the oldest. */
static void drop_oldest(struct poison *p)
{
	struct record *oldest = g_queue_peek_head(&p->order);

	for (const GList *at = p->order.head; at; at = at->next) {
		if (judge(p, at->data).verdict.state != POISON_REFUSED) {
			oldest = at->data;
			break;
		}
	}
	if (oldest)
		drop_record(p, oldest);
}

static struct record *need_record(struct poison *p, uint64_t request, int64_t now_ms)
{
	struct record *r = find_record(p, request);

	if (r)
		return r;
	if (g_hash_table_size(p->records) >= POISON_REQUESTS_MAX)
		drop_oldest(p);
	r = g_new0(struct record, 1);
	r->request = request;
	r->good_ms = INT64_MIN;
	r->heard_ms = now_ms;
	r->link.data = r;
	g_hash_table_insert(p->records, &r->request, r);
	g_queue_push_tail_link(&p->order, &r->link);
	return r;
}

/* Takes the end of that run of an upstream out of the record. Returns whether there was one. */
static bool take_end(struct record *r, uint64_t upstream, struct poison_end *taken)
{
	for (uint32_t i = 0; i < r->n_ends; i++) {
		if (r->ends[i].upstream != upstream)
			continue;
		*taken = r->ends[i];
		memmove(&r->ends[i], &r->ends[i + 1], (r->n_ends - i - 1) * sizeof(r->ends[0]));
		r->n_ends--;
		return true;
	}
	return false;
}

/* Drops the second end of a full record: the first gives its age, and all later ones stay steps. */
static void make_room(struct record *r)
{
	struct poison_end second;

	if (r->n_ends == POISON_ENDS_MAX)
		take_end(r, r->ends[1].upstream, &second);
}

static void insert_end(struct record *r, const struct poison_end *end)
{
	uint32_t i = r->n_ends++;

	for (; i > 0 && r->ends[i - 1].at_ms > end->at_ms; i--)
		r->ends[i] = r->ends[i - 1];
	r->ends[i] = *end;
}

bool poison_merge_end(struct poison *p, const struct poison_end *end, int64_t now_ms)
{
	struct poison_end merged = *end;
	struct poison_end known;
	struct record *r;
	bool is_known;

	merged.at_ms = MIN(merged.at_ms, now_ms);
	merged.sent_ms = MIN(merged.sent_ms, merged.at_ms);
	if (now_ms - merged.at_ms > POISON_KEEP_REFUSED_MS)
		return false;
	r = need_record(p, end->request, now_ms);
	is_known = take_end(r, end->upstream, &known);
	if (is_known && known.at_ms <= merged.at_ms)
		merged = known;
	make_room(r);
	insert_end(r, &merged);
	if (r->granted_ms > 0 && merged.sent_ms >= r->granted_ms)
		r->granted_ms = 0;
	p->last_end_ms = MAX(p->last_end_ms, merged.at_ms);
	p->has_changes = true;
	return !is_known && counts(p, r, &merged);
}

bool poison_merge_good(struct poison *p, const struct poison_good *good, int64_t now_ms)
{
	struct record *r = find_record(p, good->request);
	int64_t at_ms = MIN(good->at_ms, now_ms);
	uint32_t before;

	if (!r || at_ms <= r->good_ms)
		return false;
	before = judge(p, r).verdict.n_upstreams;
	r->good_ms = at_ms;
	if (r->granted_ms > 0 && at_ms >= r->granted_ms)
		r->granted_ms = 0;
	p->has_changes = true;
	return judge(p, r).verdict.n_upstreams != before;
}

bool poison_merge_alive(struct poison *p, const struct poison_alive *alive, int64_t now_ms)
{
	const struct poison_alive *known = g_hash_table_lookup(p->alive, &alive->upstream);
	struct poison_alive *added;

	if (now_ms - alive->sent_ms > POISON_KEEP_MS || (known && known->sent_ms >= alive->sent_ms))
		return false;
	if (!known && g_hash_table_size(p->alive) >= POISON_ALIVE_MAX)
		return false; /* the end counts: it is one among the several that are needed */
	added = g_memdup2(alive, sizeof(*alive));
	added->sent_ms = MIN(alive->sent_ms, now_ms);
	g_hash_table_replace(p->alive, &added->upstream, added);
	p->has_changes = true;
	return true;
}

bool poison_contradicts(const struct poison *p, uint64_t upstream, int64_t sent_ms)
{
	if (p->last_end_ms == INT64_MIN || sent_ms > p->last_end_ms + POISON_ALIVE_MS)
		return false;
	for (const GList *at = p->order.head; at; at = at->next) {
		const struct record *r = at->data;
		for (uint32_t i = 0; i < r->n_ends; i++) {
			const struct poison_end *end = &r->ends[i];
			if (end->upstream == upstream && sent_ms > end->at_ms &&
			    sent_ms <= end->at_ms + POISON_ALIVE_MS && !is_alive(p, end))
				return true;
		}
	}
	return false;
}

/* Returns when the request may be tried; NEVER_MS: no more. */
static int64_t trial_at_ms(const struct record *r, const struct judgement *j)
{
	int64_t at_ms = j->verdict.last_ms + POISON_TRIAL_MS;

	if (j->has_failed)
		return NEVER_MS;
	if (r->trial_ms > j->verdict.last_ms)
		at_ms = MAX(at_ms, r->trial_ms + POISON_TRIAL_END_MS);
	return at_ms;
}

void poison_check(const struct poison *p, uint64_t request,
		  bool (*may_try)(void *arg, uint64_t request), void *arg, int64_t now_ms,
		  struct poison_verdict *verdict)
{
	const struct record *r = find_record(p, request);
	struct judgement j;
	int64_t open_ms;

	*verdict = (struct poison_verdict){.state = POISON_CLEAR};
	if (!r)
		return;
	j = judge(p, r);
	*verdict = j.verdict;
	if (verdict->state != POISON_REFUSED)
		return;
	open_ms = trial_at_ms(r, &j);
	if (open_ms <= now_ms && may_try && may_try(arg, request)) {
		verdict->state = POISON_TRIAL;
		return;
	}
	if (open_ms == NEVER_MS)
		open_ms = verdict->last_ms + POISON_KEEP_REFUSED_MS;
	verdict->retry_after_ms = MAX(open_ms - now_ms, POISON_RETRY_MIN_MS);
}

void poison_note_trial(struct poison *p, uint64_t request, int64_t now_ms)
{
	struct record *r = find_record(p, request);

	if (r)
		r->trial_ms = now_ms;
}

void poison_grant_run(struct poison *p, uint64_t request, int64_t now_ms,
		      struct poison_grant *grant)
{
	struct record *r = need_record(p, request, now_ms);
	struct poison_verdict verdict;
	int64_t free_ms;

	poison_check(p, request, NULL, NULL, now_ms, &verdict);
	*grant = (struct poison_grant){.wait_ms = verdict.retry_after_ms};
	if (verdict.state == POISON_REFUSED)
		return;
	free_ms = r->granted_ms > 0 ? r->granted_ms + POISON_RUN_MS : now_ms;
	if (free_ms > now_ms) {
		grant->wait_ms = MAX(free_ms - now_ms, POISON_RETRY_MIN_MS);
		return;
	}
	r->granted_ms = now_ms;
	grant->is_granted = true;
	grant->granted_ms = now_ms;
}

void poison_return_run(struct poison *p, uint64_t request, int64_t granted_ms)
{
	struct record *r = find_record(p, request);

	if (r && r->granted_ms == granted_ms)
		r->granted_ms = 0;
}

static bool is_expired(const struct poison *p, const struct record *r, int64_t now_ms)
{
	struct poison_verdict verdict = judge(p, r).verdict;

	if (r->n_ends == 0)
		return now_ms - r->granted_ms > POISON_RUN_MS;
	if (verdict.state == POISON_REFUSED)
		return now_ms - verdict.last_ms > POISON_KEEP_REFUSED_MS;
	return now_ms - r->heard_ms > POISON_KEEP_MS;
}

void poison_tick(struct poison *p, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	for (const GList *at = p->order.head; at;) {
		struct record *r = at->data;
		at = at->next;
		if (is_expired(p, r, now_ms))
			drop_record(p, r);
	}
	g_hash_table_iter_init(&iter, p->alive);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now_ms - ((struct poison_alive *)value)->sent_ms > POISON_KEEP_MS)
			g_hash_table_iter_remove(&iter);
	}
}

void poison_foreach_end(const struct poison *p, void (*fn)(void *arg, const struct poison_end *end),
			void *arg)
{
	for (const GList *at = p->order.head; at; at = at->next) {
		const struct record *r = at->data;
		for (uint32_t i = 0; i < r->n_ends; i++) {
			if (counts(p, r, &r->ends[i]))
				fn(arg, &r->ends[i]);
		}
	}
}

void poison_foreach_good(const struct poison *p,
			 void (*fn)(void *arg, const struct poison_good *good), void *arg)
{
	for (const GList *at = p->order.head; at; at = at->next) {
		const struct record *r = at->data;
		if (r->good_ms != INT64_MIN && r->n_ends > 0)
			fn(arg, &(struct poison_good){r->request, r->good_ms});
	}
}

void poison_foreach_alive(const struct poison *p,
			  void (*fn)(void *arg, const struct poison_alive *alive), void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->alive);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(arg, value);
}

static void fill_change(const struct poison *p, const struct record *r,
			const struct poison_verdict *verdict, struct poison_change *change)
{
	*change = (struct poison_change){
		.request = r->request, .is_refused = true, .verdict = *verdict};
	for (uint32_t i = 0; i < r->n_ends; i++) {
		if (!counts(p, r, &r->ends[i]))
			continue;
		change->upstreams[change->n] = r->ends[i].upstream;
		change->end_ms[change->n++] = r->ends[i].at_ms;
	}
}

bool poison_next_change(struct poison *p, struct poison_change *change)
{
	for (const GList *at = p->has_changes ? p->order.head : NULL; at; at = at->next) {
		struct record *r = at->data;
		struct poison_verdict verdict = judge(p, r).verdict;
		if ((verdict.state == POISON_REFUSED) == r->is_told_refused)
			continue;
		r->is_told_refused = !r->is_told_refused;
		if (r->is_told_refused)
			fill_change(p, r, &verdict, &r->told);
		*change = r->told;
		change->is_refused = r->is_told_refused;
		return true;
	}
	p->has_changes = false;
	return false;
}

void poison_measure(const struct poison *p, struct poison_size *size)
{
	*size = (struct poison_size){.requests = g_hash_table_size(p->records)};
	for (const GList *at = p->order.head; at; at = at->next)
		size->refused += judge(p, at->data).verdict.state == POISON_REFUSED;
}
