#include "quarantine_internal.h"

#define TELL_MS 60000 /* the others are told of any crash for this long */

static void free_report(gpointer data)
{
	struct report *report = data;

	g_array_unref(report->parts);
	g_free(report);
}

struct quarantine *quarantine_new(void)
{
	struct quarantine *q = g_new0(struct quarantine, 1);

	q->reports = g_ptr_array_new_with_free_func(free_report);
	q->goods = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	g_queue_init(&q->good_order);
	q->suspects = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	q->trials = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
	q->told = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	q->expires_ms = QUARANTINE_NEVER_MS;
	return q;
}

void quarantine_free(struct quarantine *q)
{
	if (!q)
		return;
	g_ptr_array_unref(q->reports);
	g_hash_table_destroy(q->goods);
	g_hash_table_destroy(q->suspects);
	g_hash_table_destroy(q->trials);
	g_hash_table_destroy(q->told);
	g_free(q);
}

/* Returns the index of the first entry whose id isn't below the part's. */
static guint find_place(const struct report *report, uint64_t part)
{
	guint low = 0;
	guint high = report->parts->len;

	while (low < high) {
		guint middle = (low + high) / 2;
		if (g_array_index(report->parts, struct report_part, middle).id < part)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

struct report_part *quarantine_find_part(const struct report *report, uint64_t part)
{
	guint place = find_place(report, part);
	struct report_part *found;

	if (place == report->parts->len)
		return NULL;
	found = &g_array_index(report->parts, struct report_part, place);
	return found->id == part ? found : NULL;
}

/* Removes a part that counts no longer, if there is one. */
static void drop_cleared_part(struct report *report)
{
	for (guint i = 0; i < report->parts->len; i++) {
		if (g_array_index(report->parts, struct report_part, i).cleared) {
			g_array_remove_index(report->parts, i);
			return;
		}
	}
}

/* Returns whether there was room for the part. */
static bool insert_part(struct report *report, const struct report_part *part)
{
	if (report->parts->len >= QUARANTINE_REPORT_PARTS_MAX)
		drop_cleared_part(report);
	if (report->parts->len >= QUARANTINE_REPORT_PARTS_MAX)
		return false;
	g_array_insert_val(report->parts, find_place(report, part->id), *part);
	return true;
}

static bool precedes(const struct report *a, const struct report *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->upstream < b->upstream;
}

/* Returns the report of the upstream at this time; it is added if there is none. */
static struct report *need_report(struct quarantine *q, uint64_t upstream, int64_t at_ms,
				  int64_t now_ms)
{
	const struct report key = {.upstream = upstream, .at_ms = at_ms};
	guint place = q->reports->len;
	struct report *report;

	while (place > 0 && precedes(&key, g_ptr_array_index(q->reports, place - 1)))
		place--;
	report = place > 0 ? g_ptr_array_index(q->reports, place - 1) : NULL;
	if (report && report->at_ms == at_ms && report->upstream == upstream)
		return report;
	report = g_new0(struct report, 1);
	report->upstream = upstream;
	report->at_ms = at_ms;
	report->heard_ms = now_ms;
	report->parts = g_array_new(FALSE, FALSE, sizeof(struct report_part));
	g_ptr_array_insert(q->reports, (gint)place, report);
	return report;
}

/* Returns the report that already names the part with this crash, or NULL. */
static struct report *find_known(const struct quarantine *q, uint64_t upstream, uint64_t part)
{
	for (guint i = 0; i < q->reports->len; i++) {
		struct report *report = g_ptr_array_index(q->reports, i);
		if (report->upstream == upstream && quarantine_find_part(report, part))
			return report;
	}
	return NULL;
}

/* Takes a part out of a report; an empty report is dropped. */
static struct report_part take_part(struct quarantine *q, struct report *report, uint64_t id)
{
	struct report_part *part = quarantine_find_part(report, id);
	struct report_part taken = *part;

	g_array_remove_index(report->parts,
			     (guint)(part - (struct report_part *)(void *)report->parts->data));
	if (report->parts->len == 0)
		g_ptr_array_remove(q->reports, report);
	return taken;
}

/* Returns whether the part is new to the crash and counts. */
static bool add_part(struct quarantine *q, const struct quarantine_part *part, uint64_t upstream,
		     int64_t at_ms, int64_t now_ms)
{
	struct report *known = find_known(q, upstream, part->id);
	struct report_part added = {.id = part->id, .depth = part->depth};
	int64_t heard_ms = now_ms;

	if (known && known->at_ms <= at_ms) {
		struct report_part *same = quarantine_find_part(known, part->id);
		q->dirty |= part->depth > same->depth;
		same->depth = MAX(same->depth, part->depth);
		return false;
	}
	if (known) {
		heard_ms = known->heard_ms;
		added = take_part(q, known, part->id);
		added.depth = MAX(added.depth, part->depth);
		q->dirty = true;
	}
	added.cleared = added.cleared || quarantine_is_cleared(q, part->id, at_ms);
	return insert_part(need_report(q, upstream, at_ms, heard_ms), &added) && !known &&
	       !added.cleared;
}

/* Drops the oldest report that no part in quarantine explains; if there is none, the oldest. */
static void drop_oldest(struct quarantine *q, int64_t now_ms)
{
	guint victim = 0;

	quarantine_refresh(q, now_ms);
	if (q->reports->len <= QUARANTINE_REPORTS_MAX)
		return;
	for (guint i = 0; i < q->reports->len; i++) {
		const struct report *report = g_ptr_array_index(q->reports, i);
		if (!report->explained) {
			victim = i;
			break;
		}
	}
	g_ptr_array_remove_index(q->reports, victim);
	q->dirty = true;
}

bool quarantine_merge_crash(struct quarantine *q, const struct quarantine_crash *crash,
			    int64_t now_ms)
{
	int64_t at_ms = MIN(crash->at_ms, now_ms);
	bool changed = false;

	if (now_ms - at_ms > QUARANTINE_KEEP_BLOCKED_MS || quarantine_is_forgotten(q, crash))
		return false;
	for (uint32_t i = 0; i < crash->n_parts; i++)
		changed |= add_part(q, &crash->parts[i], crash->upstream, at_ms, now_ms);
	q->dirty |= changed;
	q->expires_ms = MIN(q->expires_ms, now_ms + QUARANTINE_KEEP_MS);
	if (q->reports->len > QUARANTINE_REPORTS_MAX)
		drop_oldest(q, now_ms);
	return changed;
}

uint32_t quarantine_note_crash(struct quarantine *q, uint64_t upstream, const uint64_t *parts,
			       uint32_t n, struct quarantine_part *report, int64_t now_ms)
{
	struct quarantine_crash crash = {.upstream = upstream, .at_ms = now_ms, .parts = report};

	for (uint32_t i = 0; i < n; i++) {
		if (quarantine_is_cleared(q, parts[i], now_ms))
			continue;
		report[crash.n_parts++] = (struct quarantine_part){.id = parts[i], .depth = i};
	}
	quarantine_merge_crash(q, &crash, now_ms);
	return crash.n_parts;
}

bool quarantine_is_told(const struct report *report, int64_t now_ms)
{
	return report->explained || now_ms - report->at_ms <= TELL_MS;
}

void quarantine_foreach_crash(struct quarantine *q,
			      void (*fn)(void *arg, const struct quarantine_crash *crash),
			      void *arg, int64_t now_ms)
{
	struct quarantine_part parts[QUARANTINE_REPORT_PARTS_MAX];

	quarantine_refresh(q, now_ms);
	for (guint i = 0; i < q->reports->len; i++) {
		const struct report *report = g_ptr_array_index(q->reports, i);
		struct quarantine_crash told = {
			.upstream = report->upstream, .at_ms = report->at_ms, .parts = parts};
		for (guint k = 0; k < report->parts->len; k++) {
			const struct report_part *part =
				&g_array_index(report->parts, struct report_part, k);
			if (!part->cleared)
				parts[told.n_parts++] = (struct quarantine_part){
					.id = part->id, .depth = part->depth};
		}
		if (told.n_parts > 0 && quarantine_is_told(report, now_ms))
			fn(arg, &told);
	}
}

bool quarantine_has_evidence(struct quarantine *q, int64_t now_ms)
{
	quarantine_refresh(q, now_ms);
	return q->reports->len > 0;
}

void quarantine_measure(const struct quarantine *q, struct quarantine_size *size)
{
	*size = (struct quarantine_size){
		.reports = q->reports->len,
		.goods = g_hash_table_size(q->goods),
		.suspects = g_hash_table_size(q->suspects),
		.blocked = q->n_blocked,
		.trials = g_hash_table_size(q->trials),
	};
	for (guint i = 0; i < q->reports->len; i++)
		size->parts += ((struct report *)g_ptr_array_index(q->reports, i))->parts->len;
}
