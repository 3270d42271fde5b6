/* The published view: what may be believed, for how long, and that nothing goes back. */
#include "run_tests.h"

#include "decide/pvw.h"

#include <string.h>

#define T0 10000

static struct pvw *v;

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

static const struct pvw_upstream *find(const char *id)
{
	return g_hash_table_lookup(v->upstreams, id);
}

static bool usable(const char *id)
{
	const struct pvw_upstream *u = find(id);

	return u && pvw_is_usable(v, u);
}

static void start(void)
{
	v = pvw_new();
	pvw_take_doc(v, doc(5));
	pvw_read_begin(v);
	pvw_take_upstream(v, entry("u", false, 1, 0), 10, T0);
	pvw_read_end(v, 10, T0);
}

START_TEST(versions_never_go_back)
{
	static const struct {
		int64_t version;
		bool taken;
	} cases[] = {{5, false}, {4, false}, {9, true}, {8, false}, {9, false}, {10, true}};

	start();
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		ck_assert_int_eq(pvw_take_doc(v, doc(cases[i].version)), cases[i].taken);
	ck_assert_int_eq(v->doc->version, 10);
	pvw_free(v);
}
END_TEST

START_TEST(older_entries_are_passed_over)
{
	start();
	pvw_take_upstream(v, entry("u", true, 1, 0), 20, T0);
	ck_assert(!usable("u"));
	ck_assert(!pvw_take_upstream(v, entry("u", false, 1, 0), 15, T0));
	ck_assert(!usable("u"));
	/* it says that it is ready again, and is the same start: it still leaves */
	pvw_take_upstream(v, entry("u", false, 1, 0), 25, T0);
	ck_assert(!usable("u"));
	/* a new start under its id serves, cold */
	pvw_take_upstream(v, entry("u", false, 2, 0), 30, T0);
	ck_assert(usable("u"));
	ck_assert(pvw_is_cold(find("u"), T0 + 2999));
	ck_assert(!pvw_is_cold(find("u"), T0 + 3001));
	pvw_free(v);
}
END_TEST

static const struct {
	const char *name;
	int64_t away_ms;   /* the source is away from T0 for so long; 0: never */
	int64_t drop_ms;   /* after T0, when the deletion is heard of */
	int64_t return_ms; /* after T0, when the entry is written again; 0: never */
	int64_t at_ms;	   /* after T0 */
	bool usable;
} lapses[] = {
	{"deleted in calm", 0, 100, 0, 100, false},
	{"lapsed during an outage, at once", 1000, 1010, 0, 1020, true},
	{"lapsed during an outage, not back in time", 1000, 1010, 0, 3100, false},
	{"lapsed during an outage, back in time", 1000, 1010, 2500, 9000, true},
	{"deleted long after an outage", 1000, 5000, 0, 5000, false},
};

START_TEST(lapses_after_an_outage)
{
	for (size_t i = 0; i < G_N_ELEMENTS(lapses); i++) {
		start();
		if (lapses[i].away_ms > 0) {
			pvw_set_away(v, true, T0);
			pvw_set_away(v, false, T0 + lapses[i].away_ms);
		}
		pvw_drop_upstream(v, "u", 30, T0 + lapses[i].drop_ms);
		for (int64_t ms = lapses[i].drop_ms; ms <= lapses[i].at_ms; ms += 10) {
			if (ms == lapses[i].return_ms)
				pvw_take_upstream(v, entry("u", false, 1, 0), 40, T0 + ms);
			pvw_tick(v, T0 + ms);
		}
		ck_assert_msg(usable("u") == lapses[i].usable, "%s", lapses[i].name);
		pvw_free(v);
	}
}
END_TEST

START_TEST(a_leaving_one_isnt_kept_after_an_outage)
{
	start();
	pvw_take_upstream(v, entry("u", true, 1, 0), 20, T0);
	pvw_set_away(v, true, T0);
	pvw_set_away(v, false, T0 + 1000);
	ck_assert(pvw_drop_upstream(v, "u", 30, T0 + 1010));
	ck_assert_ptr_null(find("u"));
	pvw_free(v);
}
END_TEST

START_TEST(a_read_drops_what_it_does_not_name)
{
	start();
	pvw_read_begin(v);
	pvw_take_upstream(v, entry("w", false, 1, 0), 40, T0);
	pvw_read_end(v, 50, T0);
	ck_assert(!usable("u"));
	ck_assert(usable("w"));
	pvw_free(v);
}
END_TEST

START_TEST(centres_return_cold)
{
	start();
	ck_assert(pvw_set_out(v, "a", true, T0));
	ck_assert(!pvw_set_out(v, "a", true, T0));
	ck_assert(!usable("u"));
	ck_assert(pvw_set_out(v, "a", false, T0 + 5000));
	ck_assert(usable("u"));
	ck_assert(pvw_is_cold(find("u"), T0 + 7999));
	ck_assert(!pvw_is_cold(find("u"), T0 + 8001));
	/* a read that no longer names it puts it back in service too */
	pvw_set_out(v, "a", true, T0 + 9000);
	pvw_read_begin(v);
	pvw_take_upstream(v, entry("u", false, 1, 0), 60, T0 + 9500);
	pvw_read_end(v, 60, T0 + 9500);
	ck_assert(usable("u"));
	pvw_free(v);
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
	};

	return run_tests("unit_view", tests, G_N_ELEMENTS(tests));
}
