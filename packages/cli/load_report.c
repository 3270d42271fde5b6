/*
 * Result of a load: figures by class, cost from the emulator's counters, and the promises, judged
 * from the emulator's log and the callers' answers alone.
 */
#include "base/clk.h"
#include "cli/cli.h"
#include "cli/load.h"

#include <string.h>

#define LEAVE_MS 3000 /* the brief's "a few seconds" */
#define BYTES_PER_GB 1e9
#define PER_K 1000.0

struct verdict {
	int64_t bookings_sent;
	int64_t outcomes[LOAD_OUTCOMES];
	int64_t doubled;	/* one ticket, more than one run */
	int64_t false_not_run;	/* said not_run, but it ran */
	int64_t false_complete; /* said complete, but it did not run */
	int64_t wrong_answers;	/* tokens of another request, or of two */
	int64_t sent_to_out;	/* arrivals in the data centre that was out */
	int64_t unserved;	/* parts of the mix of which nothing was complete */
	int64_t overruns;	/* arrivals above what an upstream bears */
};

static const char *text_of(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}

static int64_t number_of(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static double quantile_ms(const gsl_histogram *h, double q)
{
	double wanted = gsl_histogram_sum(h) * q;
	double sum = 0;
	double low = 0;
	double high = 0;

	for (size_t i = 0; i < gsl_histogram_bins(h) && wanted > 0; i++) {
		sum += gsl_histogram_get(h, i);
		gsl_histogram_get_range(h, i, &low, &high);
		if (sum >= wanted)
			break;
	}
	return high / CLK_US_PER_MS;
}

static double percent(int64_t part, int64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 100;
}

static json_t *entry_json(const struct load_entry *e)
{
	return json_pack("{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:f, s:I, s:f, s:f, s:f, s:f, s:f, "
			 "s:f, s:f, s:f, s:I}",
			 "class", e->class_name, "path", e->path, "sent", (json_int_t)e->sent,
			 "complete", (json_int_t)e->outcomes[LOAD_COMPLETE], "not_run",
			 (json_int_t)e->outcomes[LOAD_NOT_RUN], "unknown",
			 (json_int_t)e->outcomes[LOAD_UNKNOWN], "unreachable",
			 (json_int_t)e->outcomes[LOAD_UNREACHABLE], "in_deadline_pct",
			 percent(e->in_deadline, e->sent), "sent_away", (json_int_t)e->sent_away,
			 "in_deadline_away_pct", percent(e->in_deadline_away, e->sent_away),
			 "p50_ms", quantile_ms(e->total_us, 0.5), "p95_ms",
			 quantile_ms(e->total_us, 0.95), "p99_ms", quantile_ms(e->total_us, 0.99),
			 "first_p50_ms", quantile_ms(e->first_us, 0.5), "first_p99_ms",
			 quantile_ms(e->first_us, 0.99), "first_p95_ms",
			 quantile_ms(e->first_us, 0.95), "gap_p95_ms", quantile_ms(e->gap_us, 0.95),
			 "gaps", (json_int_t)gsl_histogram_sum(e->gap_us));
}

static void add(json_t *sums, const char *name, const char *key, double value)
{
	json_t *sum = json_object_get(sums, name);

	if (!sum) {
		json_object_set_new(sums, name, json_object());
		sum = json_object_get(sums, name);
	}
	json_object_set_new(sum, key,
			    json_real(json_real_value(json_object_get(sum, key)) + value));
}

/* Runs and cost by stage's service. */
static json_t *stages_json(const json_t *state)
{
	json_t *sums = json_object();
	const char *name;
	json_t *up;

	json_object_foreach(json_object_get(state, "upstreams"), name, up)
	{
		double ran = (double)number_of(up, "ran");
		add(sums, text_of(up, "service"), "runs", ran);
		add(sums, text_of(up, "service"), "cents",
		    ran * (double)number_of(up, "cost_cents_per_k") / PER_K);
	}
	return sums;
}

/* Bytes and cost by link that has a price. */
static json_t *links_json(const json_t *state)
{
	json_t *sums = json_object();
	json_t *link;
	size_t i;

	json_array_foreach(json_object_get(json_object_get(state, "links"), "traffic"), i, link)
	{
		double bytes =
			(double)(number_of(link, "bytes_up") + number_of(link, "bytes_down"));
		int64_t price = number_of(link, "price_per_gb_cents");
		char *name;
		if (price == 0)
			continue;
		name = g_strdup_printf("%s-%s", text_of(link, "from_region"),
				       text_of(link, "to_region"));
		add(sums, name, "bytes", bytes);
		add(sums, name, "cents", bytes / BYTES_PER_GB * (double)price);
		g_free(name);
	}
	return sums;
}

/* Bookings by tag of their body; engine tags by request. */
struct ledger {
	GHashTable *bookings;
	GHashTable *tags; /* "REQUEST TAG" of runs whose answers carry it */
};

static void read_log(struct load *load, const json_t *state, const json_t *log,
		     struct ledger *ledger, struct verdict *v)
{
	json_t *ups = json_object_get(state, "upstreams");
	json_t *entry;
	size_t i;

	json_array_foreach((json_t *)log, i, entry)
	{
		uint32_t tag = (uint32_t)g_ascii_strtoull(text_of(entry, "tag"), NULL, 16);
		json_t *up = json_object_get(ups, text_of(entry, "upstream"));
		int64_t t_ms = number_of(entry, "t_ms");
		gpointer key = GUINT_TO_POINTER(tag);
		if (number_of(entry, "booking") > 0)
			g_hash_table_insert(ledger->bookings, key,
					    GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(
								    ledger->bookings, key)) +
							    1));
		g_hash_table_add(ledger->tags,
				 g_strdup_printf("%s %08x", text_of(entry, "request"), tag));
		if (load->outage_start_ms > 0 && t_ms > load->outage_start_ms + LEAVE_MS &&
		    (load->outage_end_ms == 0 || t_ms < load->outage_end_ms) &&
		    strcmp(text_of(up, "data_centre"), load->options.outage_dc) == 0)
			v->sent_to_out++;
	}
}

static void judge_booking(const struct load_record *record, int runs, struct verdict *v)
{
	v->bookings_sent++;
	v->outcomes[record->outcome]++;
	v->doubled += runs > 1;
	v->false_not_run += record->outcome == LOAD_NOT_RUN && runs > 0;
	v->false_complete += record->outcome == LOAD_COMPLETE && runs == 0;
}

static void judge_answer(const struct load_record *record, const struct ledger *ledger,
			 struct verdict *v)
{
	char *key = g_strdup_printf("%s %08x", record->request, record->answer_tag);

	if (record->outcome == LOAD_COMPLETE && record->answer_tag)
		v->wrong_answers += record->mixed || !g_hash_table_contains(ledger->tags, key);
	g_free(key);
}

static bool is_booking(const struct load_record *record)
{
	return g_str_has_suffix(record->entry->path, "/book");
}

static void judge(struct load *load, const json_t *state, const json_t *log, struct verdict *v)
{
	struct ledger ledger = {
		.bookings = g_hash_table_new(NULL, NULL),
		.tags = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};
	const char *name;
	json_t *up;

	read_log(load, state, log, &ledger, v);
	for (guint i = 0; i < load->records->len; i++) {
		const struct load_record *record = g_ptr_array_index(load->records, i);
		gpointer runs = g_hash_table_lookup(ledger.bookings, GUINT_TO_POINTER(record->tag));
		if (is_booking(record))
			judge_booking(record, GPOINTER_TO_INT(runs), v);
		else
			judge_answer(record, &ledger, v);
	}
	json_object_foreach(json_object_get(state, "upstreams"), name, up) v->overruns +=
		number_of(up, "overruns");
	for (unsigned i = 0; i < load->n_entries; i++) {
		const struct load_entry *entry = &load->entries[i];
		v->unserved += entry->sent > 0 && entry->outcomes[LOAD_COMPLETE] == 0;
	}
	g_hash_table_destroy(ledger.bookings);
	g_hash_table_destroy(ledger.tags);
}

static json_t *verdict_json(const struct verdict *v)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "bookings_sent",
			 (json_int_t)v->bookings_sent, "complete",
			 (json_int_t)v->outcomes[LOAD_COMPLETE], "not_run",
			 (json_int_t)v->outcomes[LOAD_NOT_RUN], "unknown",
			 (json_int_t)v->outcomes[LOAD_UNKNOWN], "doubled", (json_int_t)v->doubled,
			 "false_not_run", (json_int_t)v->false_not_run, "false_complete",
			 (json_int_t)v->false_complete, "wrong_answers",
			 (json_int_t)v->wrong_answers, "sent_to_out", (json_int_t)v->sent_to_out,
			 "unserved", (json_int_t)v->unserved, "overruns", (json_int_t)v->overruns);
}

static bool is_broken(const struct verdict *v)
{
	return v->doubled || v->false_not_run || v->false_complete || v->wrong_answers ||
	       v->sent_to_out || v->unserved;
}

static void print_sums(const char *title, const json_t *sums, const char *key)
{
	const char *name;
	json_t *sum;

	printf("\n%-24s %12s %12s\n", title, key, "cents");
	json_object_foreach((json_t *)sums, name, sum)
		printf("%-24s %12.0f %12.4f\n", name, json_real_value(json_object_get(sum, key)),
		       json_real_value(json_object_get(sum, "cents")));
}

static void print_text(const struct load *load, const json_t *result)
{
	const json_t *promises = json_object_get(result, "promises");
	const char *name;
	json_t *value;

	printf("%-10s %-32s %6s %8s %7s %7s %11s %9s %8s %8s %8s\n", "class", "path", "sent",
	       "complete", "not_run", "unknown", "in deadline", "dc out", "p50 ms", "p99 ms",
	       "first ms");
	for (unsigned i = 0; i < load->n_entries; i++) {
		const struct load_entry *e = &load->entries[i];
		printf("%-10s %-32s %6lld %8lld %7lld %7lld %10.2f%% %8.2f%% %8.1f %8.1f %8.1f\n",
		       e->class_name, e->path, (long long)e->sent,
		       (long long)e->outcomes[LOAD_COMPLETE], (long long)e->outcomes[LOAD_NOT_RUN],
		       (long long)e->outcomes[LOAD_UNKNOWN] +
			       (long long)e->outcomes[LOAD_UNREACHABLE],
		       percent(e->in_deadline, e->sent), percent(e->in_deadline_away, e->sent_away),
		       quantile_ms(e->total_us, 0.5), quantile_ms(e->total_us, 0.99),
		       quantile_ms(e->first_us, 0.5));
	}
	if (!promises)
		return;
	print_sums("stage", json_object_get(result, "stages"), "runs");
	print_sums("paid link", json_object_get(result, "links"), "bytes");
	printf("\n%-24s %12s\n", "promise", "count");
	json_object_foreach((json_t *)promises, name, value)
		printf("%-24s %12lld\n", name, (long long)json_integer_value(value));
}

static void write_csv(const struct load *load)
{
	FILE *out = fopen(load->options.csv, "w");

	if (!out)
		return;
	fputs("class,path,sent,complete,not_run,unknown,unreachable,in_deadline,p50_ms,p95_ms,"
	      "p99_ms,first_p50_ms\n",
	      out);
	for (unsigned i = 0; i < load->n_entries; i++) {
		const struct load_entry *e = &load->entries[i];
		fprintf(out, "%s,%s,%lld,%lld,%lld,%lld,%lld,%lld,%.2f,%.2f,%.2f,%.2f\n",
			e->class_name, e->path, (long long)e->sent,
			(long long)e->outcomes[LOAD_COMPLETE], (long long)e->outcomes[LOAD_NOT_RUN],
			(long long)e->outcomes[LOAD_UNKNOWN],
			(long long)e->outcomes[LOAD_UNREACHABLE], (long long)e->in_deadline,
			quantile_ms(e->total_us, 0.5), quantile_ms(e->total_us, 0.95),
			quantile_ms(e->total_us, 0.99), quantile_ms(e->first_us, 0.5));
	}
	fclose(out);
}

static void write_records(const struct load *load)
{
	static const char *const outcomes[LOAD_OUTCOMES] = {"complete", "not_run", "unknown",
							    "unreachable"};
	FILE *out = fopen(load->options.records, "w");

	if (!out)
		return;
	fputs("due_ms,class,path,outcome,took_ms,first_ms\n", out);
	for (guint i = 0; i < load->records->len; i++) {
		const struct load_record *r = g_ptr_array_index(load->records, i);
		fprintf(out, "%.1f,%s,%s,%s,%.1f,%.1f\n", (double)r->scheduled_us / CLK_US_PER_MS,
			r->entry->class_name, r->entry->path, outcomes[r->outcome],
			(double)r->took_us / CLK_US_PER_MS, (double)r->first_us / CLK_US_PER_MS);
	}
	fclose(out);
}

static bool add_judgement(struct load *load, json_t *result, struct verdict *v)
{
	const char *platform = load->options.platform;
	json_t *state = client_get_json(load->http, platform, "/control/state", NULL);
	json_t *log = client_get_json(load->http, platform, "/control/log", NULL);
	bool ok = state && log;

	if (ok) {
		judge(load, state, log, v);
		json_object_set_new(result, "stages", stages_json(state));
		json_object_set_new(result, "links", links_json(state));
		json_object_set_new(result, "promises", verdict_json(v));
	}
	json_decref(state);
	json_decref(log);
	return ok;
}

int load_report(struct load *load)
{
	json_t *result = json_object();
	json_t *classes = json_array();
	struct verdict v = {0};
	bool judged;

	for (unsigned i = 0; i < load->n_entries; i++)
		json_array_append_new(classes, entry_json(&load->entries[i]));
	json_object_set_new(result, "seed", json_integer((json_int_t)load->options.seed));
	json_object_set_new(result, "classes", classes);
	judged = !load->options.platform || add_judgement(load, result, &v);
	if (load->options.csv)
		write_csv(load);
	if (load->options.records)
		write_records(load);
	if (load->options.json)
		json_dumpf(result, stdout, JSON_INDENT(1));
	else
		print_text(load, result);
	putchar('\n');
	json_decref(result);
	if (!judged)
		return CLI_EXIT_UNREACHABLE;
	return is_broken(&v) ? CLI_EXIT_FAULTS : CLI_EXIT_OK;
}
