/*
 * currantscale load NODE: open-loop load generator. Request times follow a seeded schedule and
 * latency is measured from the scheduled time, so that a slow system does not reduce its own load.
 */
#include "cli/load.h"

#include "base/clock.h"
#include "base/workpool.h"
#include "cli/cli.h"

#include <argp.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define HISTOGRAM_BINS 240
#define HISTOGRAM_MIN_US 100.0
#define HISTOGRAM_MAX_US 1e8
#define QUEUE_MAX 100000    /* jobs that wait for a thread; more are dropped */
#define REFRESH_MIN_MS 1000 /* minimum TTL of the addresses; also the interval of retries */

enum { KEY_OUTAGE = 1000, KEY_CSV, KEY_RECORDS };

static const struct argp_option options[] = {
	{"rate", 'r', "N", 0, "Requests per second (default 50)", 0},
	{"seconds", 't', "N", 0, "Duration of the load in seconds (default 10)", 0},
	{"deadline-ms", 'd', "N", 0, "Deadline of each request in ms (default 4000)", 0},
	{"seed", 's', "N", 0, "Seed of the schedule and the mix (default 1)", 0},
	{"threads", 'c', "N", 0, "Maximum concurrent requests (default 256)", 0},
	{"entry", 'e', "WEIGHT,CLASS,KEY,PATH,BYTES", 0, "Entry of the mix; may be repeated", 0},
	{"mix", 'm', "FILE", 0, "Read entries from FILE, one per line; # starts a comment", 0},
	{"platform", 'p', "HOST:PORT", 0,
	 "Address of the emulator, to report cost and verify promises", 0},
	{"out", KEY_OUTAGE, "DC,FROM,UNTIL", 0,
	 "Take a data centre out of service from second FROM to second UNTIL", 0},
	{"csv", KEY_CSV, "FILE", 0, "Write a CSV row for each entry of the mix", 0},
	{"records", KEY_RECORDS, "FILE", 0, "Write a CSV row for each request", 0},
	{"json", 'j', NULL, 0, "Print the result as JSON", 0},
	{0},
};

static bool add_entry(struct load *load, const char *text)
{
	char **parts = g_strsplit(text, ",", 5);
	struct load_entry *entry = &load->entries[load->n_entries];
	bool ok = g_strv_length(parts) == 5 && load->n_entries < LOAD_ENTRIES_MAX;

	if (ok) {
		entry->weight = g_ascii_strtoll(parts[0], NULL, 10);
		g_strlcpy(entry->class_name, parts[1], sizeof(entry->class_name));
		g_strlcpy(entry->key, parts[2], sizeof(entry->key));
		g_strlcpy(entry->path, parts[3], sizeof(entry->path));
		entry->bytes = g_ascii_strtoll(parts[4], NULL, 10);
		load->n_entries++;
	}
	g_strfreev(parts);
	return ok && entry->weight > 0 && entry->bytes >= 0;
}

static bool read_mix(struct load *load, const char *path)
{
	char *text = NULL;
	char **lines;
	bool ok = g_file_get_contents(path, &text, NULL, NULL);

	lines = g_strsplit(ok ? text : "", "\n", -1);
	for (char **line = lines; *line; line++) {
		if (**line && **line != '#')
			ok = add_entry(load, *line) && ok;
	}
	g_strfreev(lines);
	g_free(text);
	return ok;
}

static bool read_outage(struct load_options *o, char *text)
{
	char *from = strchr(text, ',');
	char *until = from ? strchr(from + 1, ',') : NULL;

	if (!until)
		return false;
	*from = '\0';
	o->outage_dc = text;
	o->outage_start_s = g_ascii_strtod(from + 1, NULL);
	o->outage_end_s = g_ascii_strtod(until + 1, NULL);
	return o->outage_end_s > o->outage_start_s;
}

static error_t parse_arg(int key, char *arg, struct argp_state *state)
{
	struct load *load = state->input;
	struct load_options *o = &load->options;
	bool ok = true;

	switch (key) {
	case 'r':
		o->rate = g_ascii_strtod(arg, NULL);
		break;
	case 't':
		o->seconds = g_ascii_strtod(arg, NULL);
		break;
	case 'd':
		o->deadline_ms = g_ascii_strtoll(arg, NULL, 10);
		break;
	case 's':
		o->seed = g_ascii_strtoull(arg, NULL, 10);
		break;
	case 'c':
		o->threads = g_ascii_strtoll(arg, NULL, 10);
		break;
	case 'e':
		ok = add_entry(load, arg);
		break;
	case 'm':
		ok = read_mix(load, arg);
		break;
	case 'p':
		o->platform = arg;
		break;
	case KEY_OUTAGE:
		ok = read_outage(o, arg);
		break;
	case KEY_CSV:
		o->csv = arg;
		break;
	case KEY_RECORDS:
		o->records = arg;
		break;
	case 'j':
		o->json = true;
		break;
	case ARGP_KEY_ARG:
		ok = !o->node;
		o->node = arg;
		break;
	case ARGP_KEY_END:
		ok = o->node && load->n_entries && o->rate > 0 && o->threads > 0 &&
		     o->deadline_ms > 0 && (!o->outage_dc || o->platform);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	if (!ok)
		argp_usage(state);
	return 0;
}

static const struct argp argp = {
	.options = options,
	.parser = parse_arg,
	.args_doc = "NODE",
	.doc = "Sends an open-loop load to the fleet that NODE belongs to.\v"
	       "Node addresses are refreshed when their TTL expires. With --platform these "
	       "promises are verified against the emulator's log and the responses: no booking "
	       "runs twice, none reported as not_run has run, each reported as complete has "
	       "run, no response contains tokens of another request, no work is sent to a data "
	       "centre more than 3 s after it was taken out of service, and each entry of the "
	       "mix that was used has a complete request. Exit status: 0, 1 a promise was "
	       "broken, 64 bad arguments, 3 no node addresses from NODE or no response from "
	       "the emulator.",
};

/* Makes a histogram with logarithmic bins. A quantile is off by at most the width of a bin, 6%. */
static gsl_histogram *make_histogram(void)
{
	gsl_histogram *h = gsl_histogram_alloc(HISTOGRAM_BINS);
	double range[HISTOGRAM_BINS + 1];

	range[0] = 0;
	for (int i = 1; i <= HISTOGRAM_BINS; i++)
		range[i] = HISTOGRAM_MIN_US * pow(HISTOGRAM_MAX_US / HISTOGRAM_MIN_US,
						  (double)(i - 1) / (HISTOGRAM_BINS - 1));
	gsl_histogram_set_ranges(h, range, HISTOGRAM_BINS + 1);
	return h;
}

/*
 * Fetches the addresses of all nodes from one node. Without a list in its response, keeps the old
 * ones. Returns the TTL in ms, at least REFRESH_MIN_MS; 0 when the addresses were kept.
 */
static int64_t refresh_addresses_from(struct load *load, const char *node)
{
	json_t *json = client_get_json(load->http, node, "/v1/addresses", NULL);
	json_t *list = json_object_get(json, "addresses");
	int64_t ttl_ms = json_integer_value(json_object_get(json, "ttl_ms"));
	bool has_addresses = json_array_size(list) > 0;
	json_t *entry;
	size_t i;

	pthread_mutex_lock(&load->lock);
	if (has_addresses)
		g_ptr_array_set_size(load->addresses, 0);
	json_array_foreach(list, i, entry) g_ptr_array_add(
		load->addresses, g_strdup(json_string_value(json_object_get(entry, "address"))));
	pthread_mutex_unlock(&load->lock);
	json_decref(json);
	return has_addresses ? MAX(ttl_ms, REFRESH_MIN_MS) : 0;
}

static int64_t refresh_addresses(struct load *load)
{
	int64_t ttl_ms = 0;

	for (guint i = 0; i <= load->addresses->len && ttl_ms == 0; i++) {
		char *node = g_strdup(i == 0 ? load->options.node
					     : g_ptr_array_index(load->addresses, i - 1));
		ttl_ms = refresh_addresses_from(load, node);
		g_free(node);
	}
	return ttl_ms;
}

static struct load_entry *pick_entry(struct load *load, struct prng *prng)
{
	int64_t total_weight = 0;
	int64_t pick;

	for (unsigned i = 0; i < load->n_entries; i++)
		total_weight += load->entries[i].weight;
	pick = (int64_t)prng_below(prng, (uint64_t)total_weight);
	for (unsigned i = 0; i < load->n_entries; i++) {
		pick -= load->entries[i].weight;
		if (pick < 0)
			return &load->entries[i];
	}
	return &load->entries[0];
}

/* State of the periodic tasks: address refresh, outage, progress output. */
struct periodic_tasks {
	int64_t start_ms;
	int64_t refresh_ms;
	int64_t progress_ms;
	bool outage_started;
	bool outage_ended;
};

static void run_periodic_tasks(struct load *load, struct periodic_tasks *tasks)
{
	const struct load_options *o = &load->options;
	int64_t now_ms = clock_now_ms();
	double at_s = (double)(now_ms - tasks->start_ms) / CLOCK_MS_PER_S;

	if (now_ms >= tasks->refresh_ms) {
		int64_t ttl_ms = refresh_addresses(load);
		tasks->refresh_ms = now_ms + (ttl_ms ? ttl_ms : REFRESH_MIN_MS);
	}
	if (o->outage_dc && !tasks->outage_started && at_s >= o->outage_start_s) {
		tasks->outage_started = load_set_dc_in_service(load, false);
		fprintf(stderr, "%5.1f s  taking %s out of service\n", at_s, o->outage_dc);
	}
	if (o->outage_dc && tasks->outage_started && !tasks->outage_ended &&
	    at_s >= o->outage_end_s) {
		tasks->outage_ended = load_set_dc_in_service(load, true);
		fprintf(stderr, "%5.1f s  returning %s to service\n", at_s, o->outage_dc);
	}
	if (now_ms >= tasks->progress_ms) {
		pthread_mutex_lock(&load->lock);
		fprintf(stderr, "%5.1f s  %lld requests finished, %u nodes\n", at_s,
			(long long)load->done, load->addresses->len);
		pthread_mutex_unlock(&load->lock);
		tasks->progress_ms = now_ms + 5 * CLOCK_MS_PER_S;
	}
}

static void submit(struct load *load, struct workpool *pool, struct prng *prng, int64_t number,
		   int64_t scheduled_us)
{
	struct load_job *job = g_new0(struct load_job, 1);

	job->load = load;
	job->entry = pick_entry(load, prng);
	job->number = number;
	job->scheduled_us = scheduled_us;
	if (!workpool_submit(pool, load_run, job))
		g_free(job);
}

static void run_schedule(struct load *load, struct workpool *pool)
{
	const struct load_options *o = &load->options;
	int64_t start_us = clock_now_us();
	struct periodic_tasks periodic_tasks = {.start_ms = clock_now_ms()};
	struct prng prng = {.state = o->seed};
	double at_s = 0;

	load->start_us = start_us;
	for (int64_t number = 0; at_s < o->seconds; number++) {
		int64_t scheduled_us =
			start_us + (int64_t)(at_s * CLOCK_MS_PER_S * CLOCK_US_PER_MS);
		run_periodic_tasks(load, &periodic_tasks);
		while (clock_now_us() < scheduled_us)
			clock_sleep_ms(1);
		submit(load, pool, &prng, number, scheduled_us);
		at_s += -log(1 - prng_unit(&prng)) / o->rate;
	}
}

static void free_load(struct load *load)
{
	for (unsigned i = 0; i < load->n_entries; i++) {
		gsl_histogram_free(load->entries[i].total_us);
		gsl_histogram_free(load->entries[i].first_us);
		gsl_histogram_free(load->entries[i].gap_us);
	}
	g_ptr_array_unref(load->addresses);
	g_ptr_array_unref(load->records);
	fetch_client_free(load->http);
	pthread_mutex_destroy(&load->lock);
	g_free(load);
}

int cli_load(int argc, char **argv)
{
	struct load *load = g_new0(struct load, 1);
	struct workpool *pool;
	int code = CLI_EXIT_UNREACHABLE;

	load->options = (struct load_options){
		.rate = 50, .seconds = 10, .deadline_ms = 4000, .threads = 256, .seed = 1};
	argp_parse(&argp, argc, argv, 0, NULL, load);
	pthread_mutex_init(&load->lock, NULL);
	load->http = fetch_client_new(NULL);
	load->prng.state = load->options.seed;
	load->addresses = g_ptr_array_new_with_free_func(g_free);
	load->records = g_ptr_array_new_with_free_func(g_free);
	for (unsigned i = 0; i < load->n_entries; i++) {
		load->entries[i].total_us = make_histogram();
		load->entries[i].first_us = make_histogram();
		load->entries[i].gap_us = make_histogram();
	}
	if (refresh_addresses(load) > 0) {
		pool = workpool_new((uint32_t)load->options.threads, QUEUE_MAX);
		run_schedule(load, pool);
		workpool_free(pool);
		code = load_report(load);
	} else {
		fprintf(stderr, "currantscale: no node addresses from %s\n", load->options.node);
	}
	free_load(load);
	return code;
}
