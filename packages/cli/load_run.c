/* One request of the load tool, from an address to its outcome. */
#include "base/clk.h"
#include "cli/cli.h"
#include "cli/load.h"

#include <string.h>
#include <xxhash.h>

#define RUN_TRIES 3
#define RUN_SLACK_MS 2000 /* beyond the deadline before a node counts as silent */
#define HTTP_TICKET_REQUIRED 428
#define TAG_DIGITS 8

struct reader {
	GByteArray *bytes;
	int64_t first_us;
	int64_t last_us;
	GArray *gaps_us; /* of int64_t, between blocks */
};

static bool take_block(void *arg, const char *data, size_t len)
{
	struct reader *reader = arg;
	int64_t now_us = clk_now_us();
	int64_t gap_us = now_us - reader->last_us;

	if (reader->bytes->len == 0)
		reader->first_us = now_us;
	else
		g_array_append_val(reader->gaps_us, gap_us);
	reader->last_us = now_us;
	g_byte_array_append(reader->bytes, (const guint8 *)data, (guint)len);
	return true;
}

static char *pick_address(struct load *load)
{
	char *address;

	pthread_mutex_lock(&load->lock);
	address = g_strdup(
		g_ptr_array_index(load->addresses, rnd_below(&load->rnd, load->addresses->len)));
	pthread_mutex_unlock(&load->lock);
	return address;
}

/* Unique, so that the emulator's log tells each request apart by the digest of its body. */
static char *make_body(const struct load_job *job)
{
	GString *body = g_string_new(NULL);

	g_string_printf(body, "%" G_GUINT64_FORMAT "-%" G_GINT64_FORMAT "-",
			job->load->options.seed, job->number);
	while ((int64_t)body->len < job->entry->bytes)
		g_string_append_c(body, 'x');
	return g_string_free(body, FALSE);
}

static int try_once(struct load_job *job, const char *address, const char *ticket, const char *body,
		    struct reader *reader, struct hcl_answer *answer)
{
	char deadline[24];
	const struct ask a = {
		.method = "POST",
		.address = address,
		.path = job->entry->path,
		.key = job->entry->key,
		.ticket = ticket,
		.deadline_ms = deadline,
		.body = body,
		.timeout_ms = job->load->options.deadline_ms + RUN_SLACK_MS,
		.on_block = take_block,
		.on_block_arg = reader,
	};
	bool whole;

	g_snprintf(deadline, sizeof(deadline), "%" G_GINT64_FORMAT, job->load->options.deadline_ms);
	g_byte_array_set_size(reader->bytes, 0);
	g_array_set_size(reader->gaps_us, 0);
	whole = ask(job->load->http, &a, answer);
	return client_exit_code(answer, whole);
}

/* Tries again where nothing ran, or where the ticket keeps a second run away. */
static int send_request(struct load_job *job, const char *body, struct reader *reader,
			char *request)
{
	char *ticket = NULL;
	int code = CLI_EXIT_UNREACHABLE;

	for (int i = 0; i < RUN_TRIES; i++) {
		struct hcl_answer answer;
		char *address = pick_address(job->load);
		code = try_once(job, address, ticket, body, reader, &answer);
		bool wants_ticket = answer.status == HTTP_TICKET_REQUIRED;
		bool again = wants_ticket || code == CLI_EXIT_UNREACHABLE ||
			     client_has_error(&answer, "draining") ||
			     (ticket && code == CLI_EXIT_UNKNOWN);
		if (wants_ticket && answer.headers[CLIENT_TICKET]) {
			g_free(ticket);
			ticket = g_strdup(answer.headers[CLIENT_TICKET]);
		}
		g_strlcpy(request,
			  answer.headers[CLIENT_REQUEST] ? answer.headers[CLIENT_REQUEST] : "",
			  sizeof(((struct load_record *)0)->request));
		hcl_answer_clear(&answer);
		g_free(address);
		if (!again)
			break;
	}
	g_free(ticket);
	return code;
}

/* Tokens read "tokenN.TAG"; all of one answer carry the digest of the same input. */
static void read_tags(const GByteArray *bytes, struct load_record *record)
{
	char *text = g_strndup(bytes->len ? (const char *)bytes->data : "", bytes->len);
	char **lines = g_strsplit(text, "\n", -1);

	for (char **line = lines; *line; line++) {
		const char *dot = strchr(*line, '.');
		if (!g_str_has_prefix(*line, "token"))
			continue;
		uint32_t tag = dot ? (uint32_t)g_ascii_strtoull(dot + 1, NULL, 16) : 0;
		record->mixed |= !dot || strlen(dot + 1) != TAG_DIGITS ||
				 (record->answer_tag && record->answer_tag != tag);
		record->answer_tag = tag;
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

static bool was_away(const struct load *load, int64_t scheduled_us)
{
	int64_t due_ms = scheduled_us / CLK_US_PER_MS;

	return load->outage_start_ms > 0 && due_ms >= load->outage_start_ms &&
	       (load->outage_end_ms == 0 || due_ms < load->outage_end_ms);
}

/* load->lock held. */
static void count_times(struct load_job *job, const struct reader *reader, int64_t took_us)
{
	struct load_entry *entry = job->entry;

	gsl_histogram_increment(entry->total_us, (double)took_us);
	gsl_histogram_increment(entry->first_us, (double)(reader->first_us - job->scheduled_us));
	for (guint i = 0; i < reader->gaps_us->len; i++)
		gsl_histogram_increment(entry->gap_us,
					(double)g_array_index(reader->gaps_us, int64_t, i));
}

static void count(struct load_job *job, struct load_record *record, const struct reader *reader)
{
	struct load_entry *entry = job->entry;
	struct load *load = job->load;
	int64_t took_us = clk_now_us() - job->scheduled_us;
	bool ok = record->outcome == LOAD_COMPLETE;
	bool in_time = ok && took_us <= load->options.deadline_ms * CLK_US_PER_MS;
	bool away;

	record->scheduled_us = job->scheduled_us - load->began_us;
	record->took_us = took_us;
	record->first_us = reader->first_us - job->scheduled_us;
	pthread_mutex_lock(&load->lock);
	away = was_away(load, job->scheduled_us);
	entry->sent++;
	entry->outcomes[record->outcome]++;
	entry->in_deadline += in_time;
	entry->sent_away += away;
	entry->in_deadline_away += away && in_time;
	if (ok)
		count_times(job, reader, took_us);
	g_ptr_array_add(load->records, record);
	load->done++;
	pthread_mutex_unlock(&load->lock);
}

void load_run(void *arg)
{
	struct load_job *job = arg;
	struct load_record *record = g_new0(struct load_record, 1);
	struct reader reader = {
		.bytes = g_byte_array_new(),
		.first_us = job->scheduled_us,
		.gaps_us = g_array_new(FALSE, FALSE, sizeof(int64_t)),
	};
	char *body = make_body(job);

	record->entry = job->entry;
	record->tag = (uint32_t)XXH64(body, strlen(body), 0);
	record->outcome = outcome_of(send_request(job, body, &reader, record->request));
	read_tags(reader.bytes, record);
	count(job, record, &reader);
	g_array_unref(reader.gaps_us);
	g_byte_array_unref(reader.bytes);
	g_free(body);
	g_free(job);
}
