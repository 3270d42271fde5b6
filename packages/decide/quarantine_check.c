/* Checks of requests, trials and changes for the log. */
#include "quarantine_internal.h"

#define RETRY_AFTER_MIN_MS 1000 /* while a trial is due */

/* Returns when the part may be tried next; QUARANTINE_NEVER_MS: no more. */
static int64_t next_trial_ms(const struct quarantine *q, const struct suspect *suspect)
{
	const int64_t *started_ms = g_hash_table_lookup(q->trials, &suspect->part);
	int64_t due_ms;

	if (suspect->n_failed >= QUARANTINE_TRIALS_MAX)
		return QUARANTINE_NEVER_MS;
	due_ms = suspect->last_ms + quarantine_trial_wait_ms[suspect->n_failed];
	if (started_ms && *started_ms > suspect->last_ms)
		due_ms = MAX(due_ms, *started_ms + QUARANTINE_TRIAL_END_MS);
	return due_ms;
}

/* Who may make trials, as given by the caller. */
struct trier {
	bool (*may_try)(void *arg, uint64_t part);
	void *arg;
};

static void check_part(const struct quarantine *q, const struct suspect *suspect,
		       const struct trier *trier, int64_t now_ms,
		       struct quarantine_verdict *verdict)
{
	int64_t due_ms;

	*verdict = (struct quarantine_verdict){
		.state = QUARANTINE_DOUBTED,
		.part = suspect->part,
		.n_crashes = suspect->n_counted,
		.n_upstreams = suspect->n_all,
		.first_crash_ms = suspect->first_ms,
		.last_crash_ms = suspect->last_ms,
	};
	if (!suspect->blocked)
		return;
	due_ms = next_trial_ms(q, suspect);
	if (due_ms <= now_ms && trier->may_try && trier->may_try(trier->arg, suspect->part)) {
		verdict->state = QUARANTINE_TRIAL;
		return;
	}
	verdict->state = QUARANTINE_BLOCKED;
	if (due_ms != QUARANTINE_NEVER_MS)
		verdict->retry_after_ms = MAX(due_ms - now_ms, RETRY_AFTER_MIN_MS);
}

/* Returns the time until the part may be sent; a part without a next trial waits longest. */
static int64_t wait_of(const struct quarantine_verdict *verdict)
{
	return verdict->retry_after_ms > 0 ? verdict->retry_after_ms : QUARANTINE_NEVER_MS;
}

static bool is_stricter(const struct quarantine_verdict *a, const struct quarantine_verdict *b)
{
	static const uint32_t strictness[] = {
		[QUARANTINE_CLEAR] = 0,
		[QUARANTINE_DOUBTED] = 1,
		[QUARANTINE_TRIAL] = 2,
		[QUARANTINE_BLOCKED] = 3,
	};

	if (a->state != b->state)
		return strictness[a->state] > strictness[b->state];
	if (a->state == QUARANTINE_DOUBTED)
		return a->n_upstreams > b->n_upstreams;
	return a->state == QUARANTINE_BLOCKED && wait_of(a) > wait_of(b);
}

void quarantine_check(struct quarantine *q, const uint64_t *parts, uint32_t n,
		      bool (*may_try)(void *arg, uint64_t part), void *arg, int64_t now_ms,
		      struct quarantine_verdict *verdict)
{
	const struct trier trier = {.may_try = may_try, .arg = arg};

	*verdict = (struct quarantine_verdict){.state = QUARANTINE_CLEAR};
	if (q->reports->len == 0)
		return;
	quarantine_refresh(q, now_ms);
	if (g_hash_table_size(q->suspects) == 0)
		return;
	for (uint32_t i = 0; i < n; i++) {
		const struct suspect *suspect = quarantine_find_suspect(q, parts[i]);
		struct quarantine_verdict found;
		if (!suspect)
			continue;
		check_part(q, suspect, &trier, now_ms, &found);
		if (is_stricter(&found, verdict))
			*verdict = found;
	}
}

void quarantine_note_trial(struct quarantine *q, uint64_t part, int64_t now_ms)
{
	const struct suspect *suspect;

	quarantine_refresh(q, now_ms);
	suspect = quarantine_find_suspect(q, part);
	if (suspect && suspect->blocked)
		g_hash_table_replace(q->trials, g_memdup2(&part, sizeof(part)),
				     g_memdup2(&now_ms, sizeof(now_ms)));
}

static void fill_change(const struct quarantine *q, const struct suspect *suspect,
			struct quarantine_change *change)
{
	int64_t counted_ms = 0;

	*change = (struct quarantine_change){
		.part = suspect->part,
		.blocked = true,
		.n_crashes = suspect->n_counted,
		.first_crash_ms = suspect->first_ms,
		.last_crash_ms = suspect->last_ms,
	};
	for (guint i = 0; i < q->reports->len && change->n < QUARANTINE_CHANGE_CRASHES_MAX; i++) {
		const struct report *report = g_ptr_array_index(q->reports, i);
		if (!report->explained || report->cause != suspect->part ||
		    !quarantine_find_part(report, suspect->part))
			continue;
		if (change->n > 0 && report->at_ms - counted_ms < QUARANTINE_SPACING_MS)
			continue;
		counted_ms = report->at_ms;
		change->upstreams[change->n] = report->upstream;
		change->crash_ms[change->n++] = counted_ms;
	}
}

/* Finds a part in quarantine that hasn't been told, and brings the told ones up to date. */
static bool find_entered(struct quarantine *q, struct quarantine_change *change)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, q->suspects);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct suspect *suspect = value;
		struct quarantine_change *told = g_hash_table_lookup(q->told, &suspect->part);
		if (!suspect->blocked)
			continue;
		fill_change(q, suspect, change);
		if (!told) {
			told = g_memdup2(change, sizeof(*change));
			g_hash_table_insert(q->told, &told->part, told);
			return true;
		}
		*told = *change;
	}
	return false;
}

static bool find_left(struct quarantine *q, struct quarantine_change *change)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, q->told);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct quarantine_change *told = value;
		const struct suspect *suspect = quarantine_find_suspect(q, told->part);
		if (suspect && suspect->blocked)
			continue;
		*change = *told;
		change->blocked = false;
		g_hash_table_iter_remove(&iter);
		return true;
	}
	return false;
}

bool quarantine_next_change(struct quarantine *q, struct quarantine_change *change, int64_t now_ms)
{
	quarantine_refresh(q, now_ms);
	if (!q->has_changes)
		return false;
	if (find_entered(q, change) || find_left(q, change))
		return true;
	q->has_changes = false;
	return false;
}

uint32_t quarantine_count(struct quarantine *q, int64_t now_ms)
{
	quarantine_refresh(q, now_ms);
	return q->n_blocked;
}
