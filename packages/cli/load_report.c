/*
 * Report of a load: results per mix entry, cost from the emulator's counters, and the promises,
 * verified against the emulator's log and the responses to callers alone.
 */
#include "base/clock.h"
#include "cli/cli.h"
#include "cli/load.h"

#include <string.h>

#define OUTAGE_GRACE_MS 3000 /* time for the nodes to stop sending to a data centre */
#define BYTES_PER_GB 1e9
#define REQUESTS_PER_K 1000.0

/* Result of the verification. The counts from doubled to unserved are of broken promises. */
struct promise_counts {
	int64_t bookings_sent;
	int64_t outcomes[LOAD_OUTCOMES];
	int64_t doubled;	/* bookings that ran more than once */
	int64_t false_not_run;	/* bookings reported as not_run that ran */
	int64_t false_complete; /* bookings reported as complete that did not run */
	int64_t wrong_answers; /* responses with tokens of another request or of several requests */
	/* runs that started in the data centre later than OUTAGE_GRACE_MS into its outage */
	int64_t sent_to_out;
	int64_t unserved; /* mix entries with requests, none of which was complete */
	int64_t overruns; /* requests beyond the capacity of an upstream; not a broken promise */
};

static const char *string_field(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}

static int64_t integer_field(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

static double quantile_ms(const gsl_histogram *h, double q)
{
	double target = gsl_histogram_sum(h) * q;
	double sum = 0;
	double low = 0;
	double high = 0;

	for (size_t i = 0; i < gsl_histogram_bins(h) && target > 0; i++) {
		sum += gsl_histogram_get(h, i);
		gsl_histogram_get_range(h, i, &low, &high);
		if (sum >= target)
			break;
	}
	return high / CLOCK_US_PER_MS;
}

static double percent(int64_t part, int64_t whole)
{
	return whole ? 100.0 * (double)part / (double)whole : 100;
}

static json_t *entry_json(const struct load_entry *e)
{
	return json_pack(
		"{s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:f, s:I, s:f, s:f, s:f, s:f, s:f, "
		"s:f, s:f, s:f, s:I}",
		"class", e->class_name, "path", e->path, "sent", (json_int_t)e->sent, "complete",
		(json_int_t)e->outcomes[LOAD_COMPLETE], "not_run",
		(json_int_t)e->outcomes[LOAD_NOT_RUN], "unknown",
		(json_int_t)e->outcomes[LOAD_UNKNOWN], "unreachable",
		(json_int_t)e->outcomes[LOAD_UNREACHABLE], "in_deadline_pct",
		percent(e->in_deadline, e->sent), "sent_away", (json_int_t)e->sent_in_outage,
		"in_deadline_away_pct", percent(e->in_deadline_in_outage, e->sent_in_outage),
		"p50_ms", quantile_ms(e->total_us, 0.5), "p95_ms", quantile_ms(e->total_us, 0.95),
		"p99_ms", quantile_ms(e->total_us, 0.99), "first_p50_ms",
		quantile_ms(e->first_us, 0.5), "first_p99_ms", quantile_ms(e->first_us, 0.99),
		"first_p95_ms", quantile_ms(e->first_us, 0.95), "gap_p95_ms",
		quantile_ms(e->gap_us, 0.95), "gaps", (json_int_t)gsl_histogram_sum(e->gap_us));
}

static void add_to_sum(json_t *sums, const char *name, const char *key, double value)
{
	json_t *sum = json_object_get(sums, name);

	if (!sum) {
		json_object_set_new(sums, name, json_object());
		sum = json_object_get(sums, name);
	}
	json_object_set_new(sum, key,
			    json_real(json_real_value(json_object_get(sum, key)) + value));
}

/* Returns the number of runs and their cost for each service. */
static json_t *stages_json(const json_t *state)
{
	json_t *sums = json_object();
	const char *name;
	json_t *up;

	json_object_foreach(json_object_get(state, "upstreams"), name, up)
	{
		double run_count = (double)integer_field(up, "ran");
		add_to_sum(sums, string_field(up, "service"), "runs", run_count);
		add_to_sum(sums, string_field(up, "service"), "cents",
			   run_count * (double)integer_field(up, "cost_cents_per_k") /
				   REQUESTS_PER_K);
	}
	return sums;
}

/* Returns the bytes sent and their cost for each link that has a price. */
static json_t *links_json(const json_t *state)
{
	json_t *sums = json_object();
	json_t *link;
	size_t i;

	json_array_foreach(json_object_get(json_object_get(state, "links"), "traffic"), i, link)
	{
		double bytes = (double)(integer_field(link, "bytes_up") +
					integer_field(link, "bytes_down"));
		int64_t price = integer_field(link, "price_per_gb_cents");
		char *name;
		if (price == 0)
			continue;
		name = g_strdup_printf("%s-%s", string_field(link, "from_region"),
				       string_field(link, "to_region"));
		add_to_sum(sums, name, "bytes", bytes);
		add_to_sum(sums, name, "cents", bytes / BYTES_PER_GB * (double)price);
		g_free(name);
	}
	return sums;
}

/* Index of the emulator's log. */
struct log_index {
	GHashTable *bookings; /* tag of the request body -> number of runs */
	GHashTable *tags;     /* set of "REQUEST TAG": request id and tag of the body of each run */
};

static void index_log(struct load *load, const json_t *state, const json_t *log,
		      struct log_index *log_index, struct promise_counts *counts)
{
	json_t *upstreams = json_object_get(state, "upstreams");
	json_t *entry;
	size_t i;

	json_array_foreach((json_t *)log, i, entry)
	{
		uint32_t tag = (uint32_t)g_ascii_strtoull(string_field(entry, "tag"), NULL, 16);
		json_t *up = json_object_get(upstreams, string_field(entry, "upstream"));
		int64_t t_ms = integer_field(entry, "t_ms");
		gpointer key = GUINT_TO_POINTER(tag);
		if (integer_field(entry, "booking") > 0)
			g_hash_table_insert(log_index->bookings, key,
					    GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(
								    log_index->bookings, key)) +
							    1));
		g_hash_table_add(log_index->tags,
				 g_strdup_printf("%s %08x", string_field(entry, "request"), tag));
		if (load->outage_start_ms > 0 && t_ms > load->outage_start_ms + OUTAGE_GRACE_MS &&
		    (load->outage_end_ms == 0 || t_ms < load->outage_end_ms) &&
		    strcmp(string_field(up, "data_centre"), load->options.outage_dc) == 0)
			counts->sent_to_out++;
	}
}

static void check_booking(const struct load_record *record, int runs, struct promise_counts *counts)
{
	counts->bookings_sent++;
	counts->outcomes[record->outcome]++;
	counts->doubled += runs > 1;
	counts->false_not_run += record->outcome == LOAD_NOT_RUN && runs > 0;
	counts->false_complete += record->outcome == LOAD_COMPLETE && runs == 0;
}

static void check_response(const struct load_record *record, const struct log_index *log_index,
			   struct promise_counts *counts)
{
	char *key = g_strdup_printf("%s %08x", record->request, record->response_tag);

	if (record->outcome == LOAD_COMPLETE && record->response_tag)
		counts->wrong_answers +=
			record->mixed || !g_hash_table_contains(log_index->tags, key);
	g_free(key);
}

static bool is_booking(const struct load_record *record)
{
	return g_str_has_suffix(record->entry->path, "/book");
}

static void check_promises(struct load *load, const json_t *state, const json_t *log,
			   struct promise_counts *counts)
{
	struct log_index log_index = {
		.bookings = g_hash_table_new(NULL, NULL),
		.tags = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};
	const char *name;
	json_t *up;

	index_log(load, state, log, &log_index, counts);
	for (guint i = 0; i < load->records->len; i++) {
		const struct load_record *record = g_ptr_array_index(load->records, i);
		gpointer runs =
			g_hash_table_lookup(log_index.bookings, GUINT_TO_POINTER(record->tag));
		if (is_booking(record))
			check_booking(record, GPOINTER_TO_INT(runs), counts);
		else
			check_response(record, &log_index, counts);
	}
	json_object_foreach(json_object_get(state, "upstreams"), name, up) counts->overruns +=
		integer_field(up, "overruns");
	for (unsigned i = 0; i < load->n_entries; i++) {
		const struct load_entry *entry = &load->entries[i];
		counts->unserved += entry->sent > 0 && entry->outcomes[LOAD_COMPLETE] == 0;
	}
	g_hash_table_destroy(log_index.bookings);
	g_hash_table_destroy(log_index.tags);
}

static json_t *promises_json(const struct promise_counts *counts)
{
	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "bookings_sent",
		(json_int_t)counts->bookings_sent, "complete",
		(json_int_t)counts->outcomes[LOAD_COMPLETE], "not_run",
		(json_int_t)counts->outcomes[LOAD_NOT_RUN], "unknown",
		(json_int_t)counts->outcomes[LOAD_UNKNOWN], "doubled", (json_int_t)counts->doubled,
		"false_not_run", (json_int_t)counts->false_not_run, "false_complete",
		(json_int_t)counts->false_complete, "wrong_answers",
		(json_int_t)counts->wrong_answers, "sent_to_out", (json_int_t)counts->sent_to_out,
		"unserved", (json_int_t)counts->unserved, "overruns", (json_int_t)counts->overruns);
}

static bool any_broken(const struct promise_counts *counts)
{
	return counts->doubled || counts->false_not_run || counts->false_complete ||
	       counts->wrong_answers || counts->sent_to_out || counts->unserved;
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
		       percent(e->in_deadline, e->sent),
		       percent(e->in_deadline_in_outage, e->sent_in_outage),
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
		fprintf(out, "%.1f,%s,%s,%s,%.1f,%.1f\n", (double)r->scheduled_us / CLOCK_US_PER_MS,
			r->entry->class_name, r->entry->path, outcomes[r->outcome],
			(double)r->took_us / CLOCK_US_PER_MS,
			(double)r->first_us / CLOCK_US_PER_MS);
	}
	fclose(out);
}

static bool add_promises(struct load *load, json_t *result, struct promise_counts *counts)
{
	const char *platform = load->options.platform;
	json_t *state = client_get_json(load->http, platform, "/control/state", NULL);
	json_t *log = client_get_json(load->http, platform, "/control/log", NULL);
	bool ok = state && log;

	if (ok) {
		check_promises(load, state, log, counts);
		json_object_set_new(result, "stages", stages_json(state));
		json_object_set_new(result, "links", links_json(state));
		json_object_set_new(result, "promises", promises_json(counts));
	}
	json_decref(state);
	json_decref(log);
	return ok;
}

int load_report(struct load *load)
{
	json_t *result = json_object();
	json_t *classes = json_array();
	struct promise_counts counts = {0};
	bool verified;

	for (unsigned i = 0; i < load->n_entries; i++)
		json_array_append_new(classes, entry_json(&load->entries[i]));
	json_object_set_new(result, "seed", json_integer((json_int_t)load->options.seed));
	json_object_set_new(result, "classes", classes);
	verified = !load->options.platform || add_promises(load, result, &counts);
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
	if (!verified)
		return CLI_EXIT_UNREACHABLE;
	return any_broken(&counts) ? CLI_EXIT_FAULTS : CLI_EXIT_OK;
}
