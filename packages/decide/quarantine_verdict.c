/*
 * The verdict on parts. It is found by going through the reports in order of time, so that it
 * depends on the evidence alone and not on the order in which they arrived.
 */
#include "quarantine_internal.h"

const int64_t quarantine_trial_wait_ms[QUARANTINE_TRIALS_MAX] = {60000};

struct suspect *quarantine_find_suspect(const struct quarantine *q, uint64_t part)
{
	return g_hash_table_lookup(q->suspects, &part);
}

static struct suspect *need_suspect(struct quarantine *q, uint64_t part)
{
	struct suspect *suspect = quarantine_find_suspect(q, part);

	if (suspect)
		return suspect;
	suspect = g_new0(struct suspect, 1);
	suspect->part = part;
	g_hash_table_insert(q->suspects, &suspect->part, suspect);
	return suspect;
}

static void count_crash(struct suspect *suspect, const struct report_part *part, int64_t at_ms)
{
	suspect->depth = MAX(suspect->depth, part->depth);
	if (suspect->n_all++ == 0)
		suspect->first_ms = at_ms;
	suspect->last_ms = at_ms;
	if (suspect->n_counted > 0 && at_ms - suspect->counted_ms < QUARANTINE_SPACING_MS)
		return;
	suspect->n_counted++;
	suspect->counted_ms = at_ms;
}

static void count_parts(struct quarantine *q, const struct report *report)
{
	for (guint i = 0; i < report->parts->len; i++) {
		const struct report_part *part =
			&g_array_index(report->parts, struct report_part, i);
		if (!part->cleared)
			count_crash(need_suspect(q, part->id), part, report->at_ms);
	}
}

/* Returns the part of the report that went into quarantine first, or NULL. */
static struct suspect *find_cause(const struct quarantine *q, const struct report *report)
{
	struct suspect *cause = NULL;

	for (guint i = 0; i < report->parts->len; i++) {
		const struct report_part *part =
			&g_array_index(report->parts, struct report_part, i);
		struct suspect *suspect =
			part->cleared ? NULL : quarantine_find_suspect(q, part->id);
		if (suspect && suspect->blocked && (!cause || suspect->order < cause->order))
			cause = suspect;
	}
	return cause;
}

static bool is_likelier(const struct suspect *a, const struct suspect *b)
{
	if (a->n_counted != b->n_counted)
		return a->n_counted > b->n_counted;
	if (a->n_all != b->n_all)
		return a->n_all > b->n_all;
	if (a->depth != b->depth)
		return a->depth > b->depth;
	return a->part < b->part;
}

/* Returns the part of the report that now has to go into quarantine, or NULL. */
static struct suspect *find_culprit(const struct quarantine *q, const struct report *report)
{
	struct suspect *best = NULL;

	for (guint i = 0; i < report->parts->len; i++) {
		const struct report_part *part =
			&g_array_index(report->parts, struct report_part, i);
		struct suspect *suspect =
			part->cleared ? NULL : quarantine_find_suspect(q, part->id);
		if (!suspect || suspect->n_counted < QUARANTINE_CRASHES)
			continue;
		if (!best || is_likelier(suspect, best))
			best = suspect;
	}
	return best;
}

static gboolean is_not_blocked(gpointer key, gpointer value, gpointer arg)
{
	(void)key;
	(void)arg;
	return !((struct suspect *)value)->blocked;
}

/* Counts the first n reports again for the parts that aren't in quarantine. */
static void recount(struct quarantine *q, guint n)
{
	g_hash_table_foreach_remove(q->suspects, is_not_blocked, NULL);
	for (guint i = 0; i < n; i++) {
		const struct report *report = g_ptr_array_index(q->reports, i);
		if (!report->first->explained)
			count_parts(q, report);
	}
}

static void explain(const struct report *report, const struct suspect *cause)
{
	report->first->explained = true;
	report->first->cause = cause->part;
}

static const struct report_part *find_counting(const struct report *report, uint64_t id)
{
	const struct report_part *part = quarantine_find_part(report, id);

	return part && !part->cleared ? part : NULL;
}

/*
 * Puts the part into quarantine. The first n reports have been gone through; crashes with the part
 * count against no other one any more.
 */
static void block(struct quarantine *q, struct suspect *culprit, guint n)
{
	culprit->blocked = true;
	culprit->order = q->n_blocked++;
	for (guint i = 0; i < n; i++) {
		const struct report *report = g_ptr_array_index(q->reports, i);
		if (!report->first->explained && find_counting(report, culprit->part))
			explain(report, culprit);
	}
	recount(q, n);
}

/* A crash long after the part's last one was a trial, for no other request with it was sent. */
static void count_against_blocked(struct quarantine *q, const struct report *report)
{
	struct suspect *cause = quarantine_find_suspect(q, report->first->cause);
	const struct report_part *part = find_counting(report, cause->part);

	if (!part)
		return;
	if (cause->n_failed < QUARANTINE_TRIALS_MAX &&
	    report->at_ms - cause->last_ms >=
		    quarantine_trial_wait_ms[cause->n_failed] - QUARANTINE_TRIAL_SLACK_MS)
		cause->n_failed++;
	count_crash(cause, part, report->at_ms);
}

/*
 * Goes on with report i. A report can raise only the counts of its own parts, and the one blocked
 * explains it.
 */
static void judge_report(struct quarantine *q, guint i)
{
	const struct report *report = g_ptr_array_index(q->reports, i);
	const struct suspect *cause = report->first->explained ? NULL : find_cause(q, report);
	struct suspect *culprit;

	if (cause) {
		explain(report, cause);
		recount(q, i);
	}
	if (report->first->explained) {
		count_against_blocked(q, report);
		return;
	}
	count_parts(q, report);
	culprit = find_culprit(q, report);
	if (culprit)
		block(q, culprit, i + 1);
}

/* Finds the first report of each crash. */
static void group_reports(struct quarantine *q)
{
	GHashTable *firsts = g_hash_table_new(g_int64_hash, g_int64_equal); /* by upstream */

	for (guint i = 0; i < q->reports->len; i++) {
		struct report *report = g_ptr_array_index(q->reports, i);
		struct report *first = g_hash_table_lookup(firsts, &report->upstream);
		report->first = report;
		report->explained = false;
		if (first)
			report->first = first;
		else
			g_hash_table_insert(firsts, &report->upstream, report);
	}
	g_hash_table_destroy(firsts);
}

static void judge(struct quarantine *q)
{
	g_hash_table_remove_all(q->suspects);
	q->n_blocked = 0;
	group_reports(q);
	for (guint i = 0; i < q->reports->len; i++)
		judge_report(q, i);
	for (guint i = 0; i < q->reports->len; i++) {
		struct report *report = g_ptr_array_index(q->reports, i);
		report->explained = report->first->explained;
		report->cause = report->first->cause;
	}
	q->has_changes = true;
}

/* Returns whether the part was answered well long after its last crash, as in a trial. */
static bool has_recovered(const struct quarantine *q, const struct suspect *suspect)
{
	const struct good *good = quarantine_find_good(q, suspect->part);

	return good && good->at_ms - suspect->last_ms >=
			       quarantine_trial_wait_ms[0] - QUARANTINE_TRIAL_SLACK_MS;
}

/*
 * Forgets the crashes of parts in quarantine that are sound again; these parts have caused them, so
 * they don't count against others now.
 */
static void forget_recovered(struct quarantine *q)
{
	for (guint i = q->reports->len; i > 0; i--) {
		const struct report *report = g_ptr_array_index(q->reports, i - 1);
		const struct suspect *cause =
			report->explained ? quarantine_find_suspect(q, report->cause) : NULL;
		if (!cause || !has_recovered(q, cause))
			continue;
		quarantine_mark_recovered(q, cause->part, cause->last_ms);
		g_ptr_array_remove_index(q->reports, i - 1);
	}
}

static void mark_cleared(struct quarantine *q)
{
	for (guint i = 0; i < q->reports->len; i++) {
		struct report *report = g_ptr_array_index(q->reports, i);
		for (guint k = 0; k < report->parts->len; k++) {
			struct report_part *part =
				&g_array_index(report->parts, struct report_part, k);
			if (!part->cleared)
				part->cleared = quarantine_is_cleared(q, part->id, report->at_ms);
		}
	}
}

static int64_t expiry_ms_of(const struct quarantine *q, const struct report *report)
{
	if (report->explained)
		return quarantine_find_suspect(q, report->cause)->last_ms +
		       QUARANTINE_KEEP_BLOCKED_MS;
	return report->heard_ms + QUARANTINE_KEEP_MS;
}

/* Returns whether any report was dropped. */
static bool drop_expired(struct quarantine *q, int64_t now_ms)
{
	guint before = q->reports->len;

	q->expires_ms = QUARANTINE_NEVER_MS;
	for (guint i = before; i > 0; i--) {
		int64_t expiry_ms = expiry_ms_of(q, g_ptr_array_index(q->reports, i - 1));
		if (now_ms >= expiry_ms)
			g_ptr_array_remove_index(q->reports, i - 1);
		else
			q->expires_ms = MIN(q->expires_ms, expiry_ms);
	}
	return q->reports->len != before;
}

static gboolean is_trial_over(gpointer part, gpointer value, gpointer suspects)
{
	const struct suspect *suspect = g_hash_table_lookup(suspects, part);

	(void)value;
	return !suspect || !suspect->blocked;
}

void quarantine_refresh(struct quarantine *q, int64_t now_ms)
{
	if (!q->dirty && now_ms < q->expires_ms)
		return;
	if (q->dirty) {
		forget_recovered(q);
		mark_cleared(q);
		judge(q);
	}
	if (drop_expired(q, now_ms))
		judge(q);
	g_hash_table_foreach_remove(q->trials, is_trial_over, q->suspects);
	q->dirty = false;
}
