/* The view: which changes apply, in which order, and how long deleted entries are kept. */
#include "run_tests.h"

#include "decide/view.h"

#include <string.h>

#define T0 10000

static struct view_state *v;

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
	v = view_new();
	view_set_config(v, doc(5));
	view_begin_read(v);
	view_put_upstream(v, entry("u", false, 1, 0), 10, T0);
	view_end_read(v, 10, T0);
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
	view_put_upstream(v, entry("u", true, 1, 0), 20, T0);
	ck_assert(!usable("u"));
	ck_assert(!view_put_upstream(v, entry("u", false, 1, 0), 15, T0));
	ck_assert(!usable("u"));
	/* A later entry of the same start that isn't leaving doesn't make the upstream usable
	 * again. */
	view_put_upstream(v, entry("u", false, 1, 0), 25, T0);
	ck_assert(!usable("u"));
	/* After a restart under the same id the upstream is usable again, but cold. */
	view_put_upstream(v, entry("u", false, 2, 0), 30, T0);
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
		view_remove_upstream(v, "u", 30, T0 + expiries[i].delete_ms);
		for (int64_t ms = expiries[i].delete_ms; ms <= expiries[i].at_ms; ms += 10) {
			if (ms == expiries[i].return_ms)
				view_put_upstream(v, entry("u", false, 1, 0), 40, T0 + ms);
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
	view_put_upstream(v, entry("u", true, 1, 0), 20, T0);
	view_set_source_down(v, true, T0);
	view_set_source_down(v, false, T0 + 1000);
	ck_assert(view_remove_upstream(v, "u", 30, T0 + 1010));
	ck_assert_ptr_null(find("u"));
	view_free(v);
}
END_TEST

START_TEST(a_read_drops_what_it_does_not_name)
{
	start();
	view_begin_read(v);
	view_put_upstream(v, entry("w", false, 1, 0), 40, T0);
	view_end_read(v, 50, T0);
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
	view_put_upstream(v, entry("u", false, 1, 0), 60, T0 + 9500);
	view_end_read(v, 60, T0 + 9500);
	ck_assert(usable("u"));
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
	};

	return run_tests("unit_view", tests, G_N_ELEMENTS(tests));
}
