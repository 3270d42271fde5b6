/* The view: which changes apply, in which order, and how long deleted entries are kept. */
#include "run_tests.h"

#include "decide/view.h"

#include <string.h>

#define T0 10000
#define HEARTBEAT_MS 1200
#define DOUBT_MS (VIEW_LAPSE_HEARTBEATS * HEARTBEAT_MS + VIEW_RETURN_GRACE_MS)

static struct view_state *v;

static struct view_revision in_epoch(int64_t epoch, int64_t number)
{
	return (struct view_revision){.epoch = epoch, .number = number};
}

static struct view_revision at(int64_t number)
{
	return in_epoch(1, number);
}

static struct pub_upstream *entry(const char *id, bool leaving, int64_t born_ms, int64_t cold_ms)
{
	struct pub_upstream *u = g_new0(struct pub_upstream, 1);

	u->id = g_strdup(id);
	u->service = g_strdup("s");
	u->address = g_strdup("127.0.0.1:1");
	u->data_centre = g_strdup("a");
	u->leaving = leaving;
	u->born_ms = born_ms;
	u->cold_left_ms = cold_ms;
	return u;
}

static struct pub_doc *doc(int64_t version)
{
	struct pub_doc *d = pub_doc_new();

	d->version = version;
	d->n_services = 1;
	d->services = g_new0(struct pub_service, 1);
	d->services[0].name = g_strdup("s");
	d->services[0].cold_ms = 3000;
	pub_doc_build_index(d);
	return d;
}

static const struct view_upstream *find(const char *id)
{
	return g_hash_table_lookup(v->upstreams, id);
}

static bool usable(const char *id)
{
	const struct view_upstream *u = find(id);

	return u && view_is_usable(v, u);
}

static void start(void)
{
	v = view_new(HEARTBEAT_MS);
	view_raise_epoch(v, 1, 10, T0);
	view_set_config(v, doc(5));
	view_begin_read(v);
	view_put_upstream(v, entry("u", false, 1, 0), at(10), T0);
	view_end_read(v, at(10), T0);
}

START_TEST(versions_never_go_back)
{
	static const struct {
		int64_t version;
		bool taken;
	} cases[] = {{5, false}, {4, false}, {9, true}, {8, false}, {9, false}, {10, true}};

	start();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		ck_assert_int_eq(view_set_config(v, doc(cases[i].version)), cases[i].taken);
	ck_assert_int_eq(v->doc->version, 10);
	view_free(v);
}
END_TEST

START_TEST(older_entries_are_passed_over)
{
	start();
	view_put_upstream(v, entry("u", true, 1, 0), at(20), T0);
	ck_assert(!usable("u"));
	ck_assert(!view_put_upstream(v, entry("u", false, 1, 0), at(15), T0));
	ck_assert(!usable("u"));
	/* A later entry of the same start that isn't leaving doesn't make the upstream usable
	 * again. */
	view_put_upstream(v, entry("u", false, 1, 0), at(25), T0);
	ck_assert(!usable("u"));
	/* After a restart under the same id the upstream is usable again, but cold. */
	view_put_upstream(v, entry("u", false, 2, 0), at(30), T0);
	ck_assert(usable("u"));
	ck_assert(view_is_cold(find("u"), T0 + 2999));
	ck_assert(!view_is_cold(find("u"), T0 + 3001));
	view_free(v);
}
END_TEST

static const struct {
	const char *name;
	int64_t outage_ms; /* duration of the outage that starts at T0; 0: none */
	int64_t delete_ms; /* time after T0 at which the deletion arrives */
	int64_t return_ms; /* time after T0 at which the entry is rewritten; 0: never */
	int64_t at_ms;	   /* time after T0 at which the view is checked */
	bool usable;
} expiries[] = {
	{"deleted without an outage", 0, 100, 0, 100, false},
	{"expired in an outage, within the grace period", 1000, 1010, 0, 1020, true},
	{"expired in an outage, not rewritten in time", 1000, 1010, 0, 3100, false},
	{"expired in an outage, rewritten in time", 1000, 1010, 2500, 9000, true},
	{"deleted long after an outage", 1000, 5000, 0, 5000, false},
};

START_TEST(lapses_after_an_outage)
{
	for (size_t i = 0; i < G_N_ELEMENTS(expiries); i++) {
		start();
		if (expiries[i].outage_ms > 0) {
			view_set_source_down(v, true, T0);
			view_set_source_down(v, false, T0 + expiries[i].outage_ms);
		}
		view_remove_upstream(v, "u", at(30), T0 + expiries[i].delete_ms);
		for (int64_t ms = expiries[i].delete_ms; ms <= expiries[i].at_ms; ms += 10) {
			if (ms == expiries[i].return_ms)
				view_put_upstream(v, entry("u", false, 1, 0), at(40), T0 + ms);
			view_expire(v, T0 + ms);
		}
		ck_assert_msg(usable("u") == expiries[i].usable, "%s", expiries[i].name);
		view_free(v);
	}
}
END_TEST

START_TEST(a_leaving_one_isnt_kept_after_an_outage)
{
	start();
	view_put_upstream(v, entry("u", true, 1, 0), at(20), T0);
	view_set_source_down(v, true, T0);
	view_set_source_down(v, false, T0 + 1000);
	ck_assert(view_remove_upstream(v, "u", at(30), T0 + 1010));
	ck_assert_ptr_null(find("u"));
	view_free(v);
}
END_TEST

START_TEST(a_read_drops_what_it_does_not_name)
{
	start();
	view_begin_read(v);
	view_put_upstream(v, entry("w", false, 1, 0), at(40), T0);
	view_end_read(v, at(50), T0);
	ck_assert(!usable("u"));
	ck_assert(usable("w"));
	view_free(v);
}
END_TEST

START_TEST(centres_return_cold)
{
	start();
	ck_assert(view_set_out_of_service(v, "a", true, T0));
	ck_assert(!view_set_out_of_service(v, "a", true, T0));
	ck_assert(!usable("u"));
	ck_assert(view_set_out_of_service(v, "a", false, T0 + 5000));
	ck_assert(usable("u"));
	ck_assert(view_is_cold(find("u"), T0 + 7999));
	ck_assert(!view_is_cold(find("u"), T0 + 8001));
	/* A full read that doesn't list a data centre as out of service returns it to service. */
	view_set_out_of_service(v, "a", true, T0 + 9000);
	view_begin_read(v);
	view_put_upstream(v, entry("u", false, 1, 0), at(60), T0 + 9500);
	view_end_read(v, at(60), T0 + 9500);
	ck_assert(usable("u"));
	view_free(v);
}
END_TEST

/* What happened to an upstream's entry, in the order of a case's steps. */
enum step {
	END,
	LEAVES,	     /* the view hears that it is leaving */
	REMOVED,     /* the view hears of its deletion */
	RESTARTED,   /* the view hears of a later start under the same id */
	RETURN_OLD,  /* restored; the copy has the entry as it was at first */
	RETURN_NONE, /* restored; the copy lacks the entry */
	WRITTEN,     /* written in the new epoch, with a revision below the view's */
	WRITTEN_LATER_START,
	DELETED, /* deleted in the new epoch */
	GRACE,	 /* the grace period passes */
	DOUBT,	 /* the time passes in which a silent upstream's entry lapses */
};

static const struct {
	const char *name;
	enum step steps[8];
	bool usable;
} restores[] = {
	{"kept", {RETURN_OLD}, true},
	{"kept, after the grace period", {RETURN_OLD, GRACE}, true},
	{"lost, in the grace period", {RETURN_NONE}, true},
	{"lost, not written again", {RETURN_NONE, GRACE}, false},
	{"lost, written again", {RETURN_NONE, WRITTEN, GRACE}, true},
	{"lost, in a later copy", {RETURN_NONE, RETURN_OLD, GRACE}, true},
	{"lost twice, written between", {RETURN_NONE, WRITTEN, RETURN_NONE, GRACE}, false},
	{"leaving in the lost span", {LEAVES, RETURN_OLD, GRACE}, false},
	{"leaving, never written again", {LEAVES, RETURN_OLD, GRACE, DOUBT}, false},
	{"leaving, lost", {LEAVES, RETURN_NONE}, false},
	{"leaving, lost, in a later copy", {LEAVES, RETURN_NONE, RETURN_OLD, GRACE}, false},
	{"leaving, then a later start", {LEAVES, RETURN_OLD, WRITTEN_LATER_START}, true},
	{"gone in the lost span", {REMOVED, RETURN_OLD}, false},
	{"gone, in the grace period's end", {REMOVED, RETURN_OLD, GRACE}, false},
	{"gone, two returns", {REMOVED, RETURN_OLD, GRACE, RETURN_OLD, GRACE}, false},
	{"gone, lost, then in a copy", {REMOVED, RETURN_NONE, GRACE, RETURN_OLD}, false},
	{"gone, lapses", {REMOVED, RETURN_OLD, GRACE, DELETED, DOUBT}, false},
	{"gone, but the source keeps it", {REMOVED, RETURN_OLD, DOUBT}, true},
	{"gone, but written again", {REMOVED, RETURN_OLD, WRITTEN}, true},
	{"gone, then a later start", {REMOVED, RETURN_OLD, WRITTEN_LATER_START}, true},
	{"restarted in the lost span", {RESTARTED, RETURN_OLD}, true},
	{"restarted, not written again", {RESTARTED, RETURN_OLD, GRACE}, false},
	{"restarted, written again", {RESTARTED, RETURN_OLD, WRITTEN_LATER_START, GRACE}, true},
	{"deleted in the new epoch", {RETURN_OLD, GRACE, DELETED}, false},
};

/* State of the source while the steps of a case are played. */
struct history {
	int64_t epoch;
	int64_t number;
	int64_t now_ms;
	bool listed; /* the source's copy has the entry as it was at first */
};

static void read_restored(struct history *h)
{
	h->epoch++;
	h->number = 10;
	view_raise_epoch(v, h->epoch, h->number, h->now_ms);
	view_begin_read(v);
	view_put_upstream(v, entry("w", false, 1, 0), in_epoch(h->epoch, 3), h->now_ms);
	if (h->listed)
		view_put_upstream(v, entry("u", false, 1, 0), in_epoch(h->epoch, 10), h->now_ms);
	view_end_read(v, in_epoch(h->epoch, h->number), h->now_ms);
}

static void play(struct history *h, enum step step)
{
	switch (step) {
	case LEAVES:
		view_put_upstream(v, entry("u", true, 1, 0), in_epoch(h->epoch, 20), h->now_ms);
		break;
	case REMOVED:
		view_remove_upstream(v, "u", in_epoch(h->epoch, 30), h->now_ms);
		break;
	case RESTARTED:
		view_put_upstream(v, entry("u", false, 2, 0), in_epoch(h->epoch, 20), h->now_ms);
		break;
	case RETURN_OLD:
	case RETURN_NONE:
		h->listed = step == RETURN_OLD;
		read_restored(h);
		break;
	case WRITTEN:
	case WRITTEN_LATER_START:
		view_put_upstream(v, entry("u", false, step == WRITTEN ? 1 : 2, 0),
				  in_epoch(h->epoch, ++h->number), h->now_ms);
		break;
	case DELETED:
		view_remove_upstream(v, "u", in_epoch(h->epoch, ++h->number), h->now_ms);
		break;
	case GRACE:
	case DOUBT:
		h->now_ms += step == GRACE ? VIEW_RETURN_GRACE_MS + 1 : DOUBT_MS + 1;
		view_expire(v, h->now_ms);
		break;
	case END:
		break;
	}
}

START_TEST(restored_entries)
{
	for (size_t i = 0; i < G_N_ELEMENTS(restores); i++) {
		struct history h = {.epoch = 1, .number = 10, .now_ms = T0 + 60000};
		start();
		view_put_upstream(v, entry("w", false, 1, 0), at(3), T0);
		for (size_t k = 0; k < G_N_ELEMENTS(restores[i].steps); k++)
			play(&h, restores[i].steps[k]);
		ck_assert_msg(usable("u") == restores[i].usable, "%s", restores[i].name);
		ck_assert_msg(usable("w"), "%s: another upstream", restores[i].name);
		view_free(v);
	}
}
END_TEST

static const struct {
	const char *name;
	bool was_out;	      /* out of service before the source was restored */
	bool copied;	      /* the copy lists it as out of service */
	int64_t rewritten_ms; /* when it is written again; 0: never */
	int64_t at_ms;
	bool out;
} centres[] = {
	{"out, lost", true, false, 0, 100, true},
	{"out, lost, not written again", true, false, 0, 2100, false},
	{"out, lost, written again", true, false, 1000, 9000, true},
	{"out, kept", true, true, 0, 9000, true},
	{"back in the lost span", false, true, 0, 100, true},
};

START_TEST(restored_centres)
{
	for (size_t i = 0; i < G_N_ELEMENTS(centres); i++) {
		start();
		view_set_out_of_service(v, "a", centres[i].was_out, T0);
		view_raise_epoch(v, 2, 10, T0);
		view_begin_read(v);
		view_put_upstream(v, entry("u", false, 1, 0), in_epoch(2, 10), T0);
		if (centres[i].copied)
			view_set_out_of_service(v, "a", true, T0);
		view_end_read(v, in_epoch(2, 10), T0);
		for (int64_t ms = 0; ms <= centres[i].at_ms; ms += 100) {
			if (ms > 0 && ms == centres[i].rewritten_ms)
				view_set_out_of_service(v, "a", true, T0 + ms);
			view_expire(v, T0 + ms);
		}
		ck_assert_msg(usable("u") != centres[i].out, "%s", centres[i].name);
		view_free(v);
	}
}
END_TEST

/* Entries that another node sends from an earlier epoch, or from before a removal, are ignored. */
START_TEST(outdated_entries_after_a_return)
{
	start();
	view_put_upstream(v, entry("u", true, 1, 0), at(20), T0);
	view_raise_epoch(v, 2, 5, T0);
	ck_assert(!view_raise_epoch(v, 1, 90, T0));
	ck_assert_int_eq(v->epoch, 2);
	view_put_upstream(v, entry("u", false, 2, 0), in_epoch(2, 8), T0);
	ck_assert(!view_put_upstream(v, entry("u", true, 1, 0), at(99), T0));
	ck_assert(usable("u"));
	view_remove_upstream(v, "u", in_epoch(2, 12), T0 + 60000);
	ck_assert(!view_put_upstream(v, entry("u", false, 2, 0), in_epoch(2, 8), T0 + 60000));
	ck_assert_ptr_null(find("u"));
	view_free(v);
}
END_TEST

/* A configuration of the copy never replaces a newer one. */
START_TEST(restored_versions)
{
	start();
	view_set_config(v, doc(9));
	view_raise_epoch(v, 2, 5, T0);
	ck_assert(!view_set_config(v, doc(5)));
	ck_assert_int_eq(v->doc->version, 9);
	ck_assert(view_set_config(v, doc(10)));
	view_free(v);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		versions_never_go_back,
		older_entries_are_passed_over,
		lapses_after_an_outage,
		a_leaving_one_isnt_kept_after_an_outage,
		a_read_drops_what_it_does_not_name,
		centres_return_cold,
		restored_entries,
		restored_centres,
		outdated_entries_after_a_return,
		restored_versions,
	};

	return run_tests("unit_view", tests, G_N_ELEMENTS(tests));
}
