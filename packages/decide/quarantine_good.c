/* Good answers, and what they contradict. */
#include "quarantine_internal.h"

const struct good *quarantine_find_good(const struct quarantine *q, uint64_t part)
{
	return g_hash_table_lookup(q->goods, &part);
}

bool quarantine_is_cleared(const struct quarantine *q, uint64_t part, int64_t crash_ms)
{
	const struct good *good = quarantine_find_good(q, part);

	return good && quarantine_outweighs(good->at_ms, crash_ms);
}

void quarantine_mark_recovered(struct quarantine *q, uint64_t part, int64_t last_crash_ms)
{
	struct good *good = g_hash_table_lookup(q->goods, &part);

	good->has_recovered = true;
	good->recovered_ms = last_crash_ms;
}

static bool has_recovered(const struct good *good, int64_t crash_ms)
{
	return good && good->has_recovered && crash_ms <= good->recovered_ms;
}

bool quarantine_is_forgotten(const struct quarantine *q, const struct quarantine_crash *crash)
{
	for (uint32_t i = 0; i < crash->n_parts; i++) {
		if (has_recovered(quarantine_find_good(q, crash->parts[i].id), crash->at_ms))
			return true;
	}
	return false;
}

static void drop_good(struct quarantine *q, struct good *good)
{
	g_queue_unlink(&q->good_order, &good->link);
	g_hash_table_remove(q->goods, &good->part);
}

static void drop_expired(struct quarantine *q, int64_t now_ms)
{
	struct good *oldest = g_queue_peek_head(&q->good_order);

	while (oldest && now_ms - oldest->at_ms > QUARANTINE_KEEP_MS) {
		drop_good(q, oldest);
		oldest = g_queue_peek_head(&q->good_order);
	}
}

static struct good *add_good(struct quarantine *q, uint64_t part, int64_t at_ms)
{
	struct good *good = g_new0(struct good, 1);

	if (g_hash_table_size(q->goods) >= QUARANTINE_GOODS_MAX)
		drop_good(q, g_queue_peek_head(&q->good_order));
	good->part = part;
	good->at_ms = at_ms;
	good->link.data = good;
	g_hash_table_insert(q->goods, &good->part, good);
	g_queue_push_tail_link(&q->good_order, &good->link);
	return good;
}

/* Moves the part's latest good answer to at_ms and the end of the order, unless it is older. */
static struct good *advance_good(struct quarantine *q, uint64_t part, int64_t at_ms)
{
	struct good *good = g_hash_table_lookup(q->goods, &part);

	if (!good)
		return add_good(q, part, at_ms);
	if (at_ms <= good->at_ms)
		return good;
	good->at_ms = at_ms;
	g_queue_unlink(&q->good_order, &good->link);
	g_queue_push_tail_link(&q->good_order, &good->link);
	return good;
}

/* Returns whether a good answer at at_ms outweighs a crash that counts against the part. */
static bool changes_verdict(const struct quarantine *q, uint64_t part, int64_t at_ms)
{
	const struct suspect *suspect = g_hash_table_lookup(q->suspects, &part);

	return suspect && quarantine_outweighs(at_ms, suspect->first_ms);
}

bool quarantine_note_good(struct quarantine *q, const uint64_t *parts, uint32_t n, int64_t begun_ms,
			  int64_t now_ms)
{
	bool changes = false;

	drop_expired(q, now_ms);
	if (q->reports->len > 0)
		quarantine_refresh(q, now_ms);
	for (uint32_t i = 0; i < n; i++) {
		struct good *good = advance_good(q, parts[i], begun_ms);
		good->own_ms = good->has_own ? MAX(good->own_ms, begun_ms) : begun_ms;
		good->has_own = true;
		changes |= changes_verdict(q, parts[i], begun_ms);
	}
	q->dirty |= changes;
	return changes;
}

bool quarantine_merge_good(struct quarantine *q, const struct quarantine_good *good, int64_t now_ms)
{
	const struct good *known = quarantine_find_good(q, good->part);
	int64_t at_ms = MIN(good->at_ms, now_ms);

	drop_expired(q, now_ms);
	if (now_ms - at_ms > QUARANTINE_KEEP_MS || (known && at_ms <= known->at_ms))
		return false;
	advance_good(q, good->part, at_ms);
	q->dirty |= changes_verdict(q, good->part, at_ms);
	return true;
}

/* Counts the part's crashes as the verdict does, but without regard to good answers. */
static uint32_t count_spaced(const struct quarantine *q, uint64_t part)
{
	int64_t last_ms = 0;
	uint32_t n = 0;

	for (guint i = 0; i < q->reports->len; i++) {
		const struct report *report = g_ptr_array_index(q->reports, i);
		if (!quarantine_find_part(report, part))
			continue;
		if (n > 0 && report->at_ms - last_ms < QUARANTINE_SPACING_MS)
			continue;
		last_ms = report->at_ms;
		n++;
	}
	return n;
}

uint32_t quarantine_contradict(struct quarantine *q, const struct quarantine_crash *crash,
			       struct quarantine_good *goods, uint32_t capacity, int64_t now_ms)
{
	uint32_t n = 0;

	quarantine_refresh(q, now_ms);
	for (uint32_t i = 0; i < crash->n_parts && n < capacity; i++) {
		uint64_t part = crash->parts[i].id;
		const struct good *good = quarantine_find_good(q, part);
		if (!good || !good->has_own || !quarantine_outweighs(good->own_ms, crash->at_ms))
			continue;
		if (!has_recovered(good, crash->at_ms) && count_spaced(q, part) < 2)
			continue;
		goods[n++] = (struct quarantine_good){.part = part, .at_ms = good->own_ms};
	}
	return n;
}

static void tell_goods(const struct quarantine *q, const struct report *report, GHashTable *seen,
		       void (*fn)(void *arg, const struct quarantine_good *good), void *arg)
{
	for (guint i = 0; i < report->parts->len; i++) {
		const struct report_part *part =
			&g_array_index(report->parts, struct report_part, i);
		const struct good *good = quarantine_find_good(q, part->id);
		if (!good || !g_hash_table_add(seen, (gpointer)&good->part))
			continue;
		fn(arg, &(struct quarantine_good){.part = good->part, .at_ms = good->at_ms});
	}
}

void quarantine_foreach_good(struct quarantine *q,
			     void (*fn)(void *arg, const struct quarantine_good *good), void *arg,
			     int64_t now_ms)
{
	GHashTable *seen = g_hash_table_new(g_int64_hash, g_int64_equal);

	quarantine_refresh(q, now_ms);
	for (guint i = 0; i < q->reports->len; i++) {
		const struct report *report = g_ptr_array_index(q->reports, i);
		if (quarantine_is_told(report, now_ms))
			tell_goods(q, report, seen, fn, arg);
	}
	g_hash_table_destroy(seen);
}
