#include "gate_internal.h"

#include <math.h>
#include <string.h>

#define NO_LIMIT (-1.0)

static void free_record(gpointer data)
{
	struct gate_record *r = data;

	gate_clear_room(&r->room);
	g_free(r->id);
	g_free(r);
}

struct gate *gate_new(const struct gate_fleet *fleet, int64_t now_ms)
{
	struct gate *g = g_new0(struct gate, 1);

	g->started_ms = now_ms;
	g->fleet = *fleet;
	g->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_record);
	return g;
}

void gate_free(struct gate *g)
{
	if (!g)
		return;
	g_hash_table_destroy(g->records);
	g_free(g);
}

const char *gate_state_name(enum gate_state state)
{
	static const char *const names[] = {
		[GATE_OPEN] = "open",	    [GATE_UNPERMITTED] = "unpermitted",
		[GATE_PENDING] = "pending", [GATE_LIMITED] = "limited",
		[GATE_FULL] = "full",	    [GATE_BACKOFF] = "backoff",
		[GATE_LEAVING] = "leaving",
	};

	return names[state];
}

double gate_limit_of(const struct gate_record *r, int64_t now_ms)
{
	double per_s = gate_recovery_per_s(r, now_ms);

	if (r->limit_per_s >= 0 && r->limit_per_s < GATE_UNBINDING_PER_S)
		per_s = per_s >= 0 ? MIN(per_s, r->limit_per_s) : r->limit_per_s;
	return per_s;
}

bool gate_is_limited(const struct gate_record *r, int64_t now_ms)
{
	return gate_limit_of(r, now_ms) >= 0;
}

struct gate_record *gate_find(const struct gate *g, struct gate_run run)
{
	struct gate_record *r = g_hash_table_lookup(g->records, run.id);

	return r && (run.born_ms == 0 || run.born_ms <= r->born_ms || r->born_ms == 0) ? r : NULL;
}

/* Returns the record of the run, which replaces one of a former run; NULL if there are too many. */
static struct gate_record *add_record(struct gate *g, struct gate_run run, int64_t now_ms)
{
	struct gate_record *r = gate_find(g, run);

	if (r) {
		r->born_ms = MAX(r->born_ms, run.born_ms);
		return r;
	}
	g_hash_table_remove(g->records, run.id);
	if (g_hash_table_size(g->records) >= GATE_RECORDS_MAX || strlen(run.id) >= GATE_ID_BYTES)
		return NULL;
	r = g_new0(struct gate_record, 1);
	r->id = g_strdup(run.id);
	r->born_ms = run.born_ms;
	r->published_ms = now_ms;
	r->limit_per_s = NO_LIMIT;
	r->told_per_s = NO_LIMIT;
	r->brittle.refusals_per_s = NO_LIMIT;
	g_hash_table_insert(g->records, r->id, r);
	return r;
}

/* Returns whether the run is older than the one that is known. */
static bool is_former(const struct gate *g, struct gate_run run)
{
	const struct gate_record *r = g_hash_table_lookup(g->records, run.id);

	return r && run.born_ms > 0 && run.born_ms < r->born_ms;
}

/* Returns whether news of that time, which name a limit or don't, replace what is known. */
static bool is_news(const struct gate_record *r, bool is_named, int64_t as_of_ms)
{
	if (!is_named && r->limit_per_s >= 0)
		return as_of_ms >= r->limit_ms + GATE_ORDER_MARGIN_MS;
	return as_of_ms > r->limit_ms;
}

static bool differs(double a, double b)
{
	if (a < 0 || b < 0)
		return (a < 0) != (b < 0);
	return fabs(a - b) > GATE_TELL_SHARE * MAX(a, b);
}

static void set_limit(struct gate *g, struct gate_record *r, double per_s, int64_t as_of_ms,
		      int64_t now_ms)
{
	if (gate_is_limited(r, now_ms))
		gate_fill_bucket(g, r, now_ms); /* at the former rate */
	r->limit_per_s = per_s;
	r->limit_ms = as_of_ms;
}

struct gate_record *gate_find_or_add(struct gate *g, struct gate_run run, int64_t now_ms)
{
	return is_former(g, run) ? NULL : add_record(g, run, now_ms);
}

bool gate_note_limit(struct gate *g, struct gate_run run, double per_s, int64_t sent_ms,
		     int64_t now_ms)
{
	bool is_named = per_s >= 0;
	int64_t as_of_ms = is_named ? now_ms : sent_ms;
	struct gate_record *r;

	if (is_former(g, run) || (!is_named && !gate_find(g, run)))
		return false;
	r = add_record(g, run, now_ms);
	if (!r || !is_news(r, is_named, as_of_ms))
		return false;
	set_limit(g, r, is_named ? per_s : NO_LIMIT, as_of_ms, now_ms);
	if (!differs(r->limit_per_s, r->told_per_s))
		return false;
	r->told_per_s = r->limit_per_s;
	return true;
}

bool gate_note_leaving(struct gate *g, struct gate_run run, int64_t now_ms)
{
	struct gate_record *r = gate_find_or_add(g, run, now_ms);

	if (!r || r->leaving_ms != 0)
		return false;
	r->leaving_ms = now_ms;
	return true;
}

void gate_note_backoff(struct gate *g, struct gate_run run, int64_t wait_ms, int64_t now_ms)
{
	struct gate_record *r = gate_find_or_add(g, run, now_ms);

	if (!r)
		return;
	wait_ms = CLAMP(wait_ms, 0, GATE_BACKOFF_MAX_MS);
	r->backoff_ms = now_ms;
	r->backoff_until_ms = MAX(r->backoff_until_ms, now_ms + wait_ms);
}

bool gate_merge(struct gate *g, const struct gate_notice *notice, int64_t now_ms)
{
	bool is_named = notice->limit_per_s >= 0;
	struct gate_record *r;
	bool is_changed;

	r = gate_find_or_add(g, notice->run, now_ms);
	if (!r)
		return false;
	is_changed = gate_merge_brittle(g, r, notice, now_ms);
	r->room.crowded_ms = MAX(r->room.crowded_ms, notice->crowded_ms);
	if (notice->leaving_ms != 0 && r->leaving_ms == 0) {
		is_changed = true;
		r->leaving_ms = notice->leaving_ms;
	}
	if (notice->limit_ms == 0 || !is_news(r, is_named, notice->limit_ms))
		return is_changed;
	is_changed |= differs(r->limit_per_s, notice->limit_per_s);
	set_limit(g, r, is_named ? notice->limit_per_s : NO_LIMIT, notice->limit_ms, now_ms);
	r->told_per_s = r->limit_per_s;
	return is_changed;
}

static void fill_notice(const struct gate_record *r, struct gate_notice *notice)
{
	*notice = (struct gate_notice){
		.run = {r->id, r->born_ms},
		.limit_per_s = r->limit_per_s,
		.limit_ms = r->limit_ms,
		.leaving_ms = r->leaving_ms,
		.brittle_per_s = r->brittle.refusals_per_s,
		.brittle_ms = r->brittle.said_ms,
		.refused_ms = r->brittle.refused_ms,
		.crowded_ms = r->room.crowded_ms,
	};
}

bool gate_get_notice(const struct gate *g, struct gate_run run, struct gate_notice *notice)
{
	const struct gate_record *r = gate_find(g, run);

	if (r)
		fill_notice(r, notice);
	return r != NULL;
}

void gate_foreach(struct gate *g, void (*fn)(void *arg, const struct gate_notice *notice),
		  void *arg)
{
	struct gate_notice notice;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fill_notice(value, &notice);
		fn(arg, &notice);
	}
}

static void check_record(struct gate *g, struct gate_record *r, bool is_urgent, int64_t now_ms,
			 struct gate_verdict *verdict)
{
	*verdict = (struct gate_verdict){.state = GATE_OPEN, .per_s = NO_LIMIT};
	if (r && r->leaving_ms != 0) {
		verdict->state = GATE_LEAVING;
		verdict->until_ms = INT64_MAX;
		verdict->told_ms = r->leaving_ms;
		return;
	}
	if (r && gate_needs_permit(r, now_ms))
		gate_check_limit(g, r, is_urgent, now_ms, verdict);
	verdict->is_overloaded = r && gate_recovery_per_s(r, now_ms) >= 0;
	if (r && gate_full_until_ms(r, now_ms) > 0) {
		verdict->state = GATE_FULL;
		verdict->until_ms = gate_full_until_ms(r, now_ms);
		verdict->told_ms = r->brittle.refused_ms;
	}
	if (r && now_ms < r->backoff_until_ms) {
		verdict->state = GATE_BACKOFF;
		verdict->until_ms = r->backoff_until_ms;
		verdict->told_ms = r->backoff_ms;
	}
}

void gate_check(struct gate *g, struct gate_run run, bool is_urgent, int64_t now_ms,
		struct gate_verdict *verdict)
{
	check_record(g, gate_find(g, run), is_urgent, now_ms, verdict);
}

void gate_peek(struct gate *g, struct gate_run run, bool is_urgent, int64_t now_ms,
	       struct gate_verdict *verdict)
{
	const struct gate_record *r = gate_find(g, run);
	struct gate_record copy;

	/* buckets, asks and ownership are brought up to date in the copy */
	if (r)
		copy = *r;
	check_record(g, r ? &copy : NULL, is_urgent, now_ms, verdict);
}

bool gate_take(struct gate *g, struct gate_run run, bool is_urgent, int64_t now_ms)
{
	struct gate_record *r = gate_find(g, run);

	if (r && (r->leaving_ms != 0 || now_ms < r->backoff_until_ms ||
		  gate_full_until_ms(r, now_ms) > 0))
		return false;
	return !r || !gate_needs_permit(r, now_ms) || gate_spend_permit(g, r, is_urgent, now_ms);
}

static gboolean is_expired(const struct gate *g, struct gate_record *r, int64_t now_ms)
{
	if (g->fleet.is_published(g->fleet.arg, r->id))
		r->published_ms = now_ms;
	return now_ms - r->published_ms > GATE_KEEP_MS;
}

void gate_tick(struct gate *g, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct gate_record *r = value;
		if (is_expired(g, r, now_ms))
			g_hash_table_iter_remove(&iter);
		else if (gate_needs_permit(r, now_ms))
			gate_fill_bucket(g, r, now_ms);
	}
}
