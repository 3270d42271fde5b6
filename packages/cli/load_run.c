/* Sends one request of a load and records its outcome. */
#include "base/clock.h"
#include "cli/cli.h"
#include "cli/load.h"

#include <string.h>
#include <xxhash.h>

#define ATTEMPTS_MAX 3
#define TIMEOUT_SLACK_MS 2000 /* added to the deadline to get the timeout of an attempt */
#define HTTP_TICKET_REQUIRED 428
#define TAG_HEX_DIGITS 8

struct block_reader {
	GByteArray *bytes;
	int64_t first_us; /* arrival of the first block; until then the scheduled time */
	int64_t last_us;  /* arrival of the latest block; 0: none yet */
	GArray *gaps_us;  /* int64_t: times between consecutive blocks */
};

static bool read_block(void *arg, const char *data, size_t len)
{
	struct block_reader *block_reader = arg;
	int64_t now_us = clock_now_us();
	int64_t gap_us = now_us - block_reader->last_us;

	if (block_reader->bytes->len == 0)
		block_reader->first_us = now_us;
	else
		g_array_append_val(block_reader->gaps_us, gap_us);
	block_reader->last_us = now_us;
	g_byte_array_append(block_reader->bytes, (const guint8 *)data, (guint)len);
	return true;
}

static char *pick_address(struct load *load)
{
	char *address;

	pthread_mutex_lock(&load->lock);
	address = g_strdup(
		g_ptr_array_index(load->addresses, prng_below(&load->prng, load->addresses->len)));
	pthread_mutex_unlock(&load->lock);
	return address;
}

/* Makes a unique body, so that its digest identifies the request in the emulator's log. */
static char *make_body(const struct load_job *job)
{
	GString *body = g_string_new(NULL);

	g_string_printf(body, "%" G_GUINT64_FORMAT "-%" G_GINT64_FORMAT "-",
			job->load->options.seed, job->number);
	while ((int64_t)body->len < job->entry->bytes)
		g_string_append_c(body, 'x');
	return g_string_free(body, FALSE);
}

static int send_attempt(struct load_job *job, const char *address, const char *ticket,
			const char *body, struct block_reader *block_reader,
			struct fetch_response *response)
{
	char deadline[24];
	const struct client_request call = {
		.method = "POST",
		.address = address,
		.path = job->entry->path,
		.key = job->entry->key,
		.ticket = ticket,
		.deadline_ms = deadline,
		.body = body,
		.timeout_ms = job->load->options.deadline_ms + TIMEOUT_SLACK_MS,
		.on_block = read_block,
		.on_block_arg = block_reader,
	};
	bool is_complete;

	g_snprintf(deadline, sizeof(deadline), "%" G_GINT64_FORMAT, job->load->options.deadline_ms);
	g_byte_array_set_size(block_reader->bytes, 0);
	g_array_set_size(block_reader->gaps_us, 0);
	is_complete = client_request(job->load->http, &call, response);
	return client_exit_code(response, is_complete);
}

/*
 * Sends a request, with at most ATTEMPTS_MAX attempts. It is sent again only if it did not run or
 * its ticket prevents a second run. Returns the exit code for the last attempt.
 */
static int send_request(struct load_job *job, const char *body, struct block_reader *block_reader,
			char *request)
{
	char *ticket = NULL;
	int code = CLI_EXIT_UNREACHABLE;

	for (int i = 0; i < ATTEMPTS_MAX; i++) {
		struct fetch_response response;
		char *address = pick_address(job->load);
		code = send_attempt(job, address, ticket, body, block_reader, &response);
		bool needs_ticket = response.status == HTTP_TICKET_REQUIRED;
		bool retry = needs_ticket || code == CLI_EXIT_UNREACHABLE ||
			     client_has_error(&response, "draining") ||
			     (ticket && code == CLI_EXIT_UNKNOWN);
		if (needs_ticket && response.headers[CLIENT_TICKET]) {
			g_free(ticket);
			ticket = g_strdup(response.headers[CLIENT_TICKET]);
		}
		g_strlcpy(request,
			  response.headers[CLIENT_REQUEST] ? response.headers[CLIENT_REQUEST] : "",
			  sizeof(((struct load_record *)0)->request));
		fetch_response_clear(&response);
		g_free(address);
		if (!retry)
			break;
	}
	g_free(ticket);
	return code;
}

/*
 * Reads the tags of the tokens in a response. A token is a line "tokenN.TAG", where TAG is the
 * digest of the request body in 8 hex digits. All tags of a response have to be equal.
 */
static void read_tags(const GByteArray *bytes, struct load_record *record)
{
	char *text = g_strndup(bytes->len ? (const char *)bytes->data : "", bytes->len);
	char **lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line; line++) {
		const char *dot = strchr(*line, '.');
		if (!g_str_has_prefix(*line, "token"))
			continue;
		uint32_t tag = dot ? (uint32_t)g_ascii_strtoull(dot + 1, NULL, 16) : 0;
		record->mixed |= !dot || strlen(dot + 1) != TAG_HEX_DIGITS ||
				 (record->response_tag && record->response_tag != tag);
		record->response_tag = tag;
	}
	g_strfreev(lines);
	g_free(text);
}

static enum load_outcome outcome_of(int code)
{
	switch (code) {
	case CLI_EXIT_OK:
		return LOAD_COMPLETE;
	case CLI_EXIT_NOT_RUN:
		return LOAD_NOT_RUN;
	case CLI_EXIT_UNREACHABLE:
		return LOAD_UNREACHABLE;
	default:
		return LOAD_UNKNOWN;
	}
}

static bool is_during_outage(const struct load *load, int64_t scheduled_us)
{
	int64_t due_ms = scheduled_us / CLOCK_US_PER_MS;

	return load->outage_start_ms > 0 && due_ms >= load->outage_start_ms &&
	       (load->outage_end_ms == 0 || due_ms < load->outage_end_ms);
}

/* The caller holds load->lock. */
static void record_times(struct load_job *job, const struct block_reader *block_reader,
			 int64_t took_us)
{
	struct load_entry *entry = job->entry;

	gsl_histogram_increment(entry->total_us, (double)took_us);
	gsl_histogram_increment(entry->first_us,
				(double)(block_reader->first_us - job->scheduled_us));
	for (guint i = 0; i < block_reader->gaps_us->len; i++)
		gsl_histogram_increment(entry->gap_us,
					(double)g_array_index(block_reader->gaps_us, int64_t, i));
}

static void record_result(struct load_job *job, struct load_record *record,
			  const struct block_reader *block_reader)
{
	struct load_entry *entry = job->entry;
	struct load *load = job->load;
	int64_t took_us = clock_now_us() - job->scheduled_us;
	bool ok = record->outcome == LOAD_COMPLETE;
	bool met_deadline = ok && took_us <= load->options.deadline_ms * CLOCK_US_PER_MS;
	bool during_outage;

	record->scheduled_us = job->scheduled_us - load->start_us;
	record->took_us = took_us;
	record->first_us = block_reader->first_us - job->scheduled_us;
	pthread_mutex_lock(&load->lock);
	during_outage = is_during_outage(load, job->scheduled_us);
	entry->sent++;
	entry->outcomes[record->outcome]++;
	entry->in_deadline += met_deadline;
	entry->sent_in_outage += during_outage;
	entry->in_deadline_in_outage += during_outage && met_deadline;
	if (ok)
		record_times(job, block_reader, took_us);
	g_ptr_array_add(load->records, record);
	load->done++;
	pthread_mutex_unlock(&load->lock);
}

void load_run(void *arg)
{
	struct load_job *job = arg;
	struct load_record *record = g_new0(struct load_record, 1);
	struct block_reader block_reader = {
		.bytes = g_byte_array_new(),
		.first_us = job->scheduled_us,
		.gaps_us = g_array_new(FALSE, FALSE, sizeof(int64_t)),
	};
	char *body = make_body(job);

	record->entry = job->entry;
	record->tag = (uint32_t)XXH64(body, strlen(body), 0);
	record->outcome = outcome_of(send_request(job, body, &block_reader, record->request));
	read_tags(block_reader.bytes, record);
	record_result(job, record, &block_reader);
	g_array_unref(block_reader.gaps_us);
	g_byte_array_unref(block_reader.bytes);
	g_free(body);
	g_free(job);
}
