#include "history.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define NO_WORK_AFTER_MS 3000 /* "a few seconds" of the brief */
#define TOKENS 10	      /* that the emulator's engines generate */
#define PRINTED_MAX 10	      /* lines of one kind */

struct verdict {
	int broken;
	int runs_doubled;
	int counts[HISTORY_KINDS][3]; /* complete, not_run, unknown */
};

void history_init(struct history *book)
{
	pthread_mutex_init(&book->lock, NULL);
	book->entries = g_ptr_array_new();
}

void history_clear(struct history *book)
{
	for (guint i = 0; i < book->entries->len; i++) {
		struct history_request *entry = g_ptr_array_index(book->entries, i);

		g_free(entry->answer);
		g_free(entry->refused_request);
		g_free(entry->refused_code);
		g_free(entry);
	}
	g_ptr_array_unref(book->entries);
	pthread_mutex_destroy(&book->lock);
}

struct history_request *history_request(struct history *book, uint32_t caller, uint32_t n, int kind)
{
	struct history_request *entry = g_new0(struct history_request, 1);

	entry->kind = (enum history_kind)kind;
	g_snprintf(entry->body, sizeof(entry->body), "caller%u-request%u", caller, n);
	pthread_mutex_lock(&book->lock);
	g_ptr_array_add(book->entries, entry);
	pthread_mutex_unlock(&book->lock);
	return entry;
}

static void note_code(struct history_request *entry, const struct fleet_answer *answer)
{
	json_t *json = json_loads(answer->body, 0, NULL);
	json_t *error = json_object_get(json, "error");
	const char *code = json_string_value(json_object_get(error, "code"));

	if (!code)
		code = answer->status ? "cut" : "none";
	g_strlcpy(entry->code, code, sizeof(entry->code));
	json_decref(json);
}

void history_note_answer(struct history_request *entry, const struct fleet_answer *answer)
{
	if (answer->ok && strcmp(answer->outcome, "complete") == 0) {
		entry->complete = true;
		entry->answer = g_strdup(answer->body);
		return;
	}
	note_code(entry, answer);
	if (answer->ok && strcmp(answer->outcome, "not_run") == 0) {
		entry->refused = true;
		entry->refused_request = g_strdup(answer->request);
		entry->refused_code = g_strdup(answer->body);
	} else {
		entry->unknown = true;
	}
}

static void break_promise(struct verdict *verdict, const char *what, const char *detail)
{
	if (verdict->broken++ < PRINTED_MAX)
		printf("BROKEN %s: %s\n", what, detail);
}

static uint32_t tag_of(const char *text)
{
	return (uint32_t)XXH64(text, strlen(text), 0);
}

static char *expected_answer(const struct history_request *entry)
{
	GString *text;
	char *input;

	if (entry->kind != HISTORY_PIPELINE)
		return g_strdup_printf("weighbridge(%s)", entry->body);
	input = g_strdup_printf("reranker(retriever(encoder(%s)))", entry->body);
	text = g_string_new(NULL);
	for (int i = 0; i < TOKENS; i++)
		g_string_append_printf(text, "token%d.%08x\n", i, tag_of(input));
	g_free(input);
	return g_string_free(text, FALSE);
}

static void judge_answer(struct verdict *verdict, const struct history_request *entry)
{
	char *expected = expected_answer(entry);

	if (entry->complete && strcmp(entry->answer, expected) != 0)
		break_promise(verdict, "whole answer to its own request", entry->answer);
	g_free(expected);
}

/* Runs of bookings by the tag of their body. */
static GHashTable *count_bookings(const json_t *log)
{
	GHashTable *runs = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;
	json_t *arrival;

	json_array_foreach((json_t *)log, i, arrival)
	{
		const char *tag = json_string_value(json_object_get(arrival, "tag"));

		if (json_integer_value(json_object_get(arrival, "booking")) == 0)
			continue;
		int n = GPOINTER_TO_INT(g_hash_table_lookup(runs, tag));
		g_hash_table_insert(runs, (gpointer)tag, GINT_TO_POINTER(n + 1));
	}
	return runs;
}

static void judge_booking(struct verdict *verdict, const struct history_request *entry,
			  GHashTable *runs)
{
	char tag[16];
	char detail[128];
	int n;

	g_snprintf(tag, sizeof(tag), "%08x", tag_of(entry->body));
	n = GPOINTER_TO_INT(g_hash_table_lookup(runs, tag));
	g_snprintf(detail, sizeof(detail), "%s ran %d times", entry->body, n);
	if (n > 1)
		break_promise(verdict, "at most once", detail);
	if (entry->complete && n != 1)
		break_promise(verdict, "a complete booking ran", detail);
	if (entry->refused && n != 0) {
		break_promise(verdict, "not_run is true of a booking", detail);
		printf("  %s\n", entry->refused_code);
	}
}

static GHashTable *requests_that_ran(const json_t *log)
{
	GHashTable *ran = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;
	json_t *arrival;

	json_array_foreach((json_t *)log, i, arrival)
	{
		if (json_is_true(json_object_get(arrival, "ran")))
			g_hash_table_add(ran, (gpointer)json_string_value(
						      json_object_get(arrival, "request")));
	}
	return ran;
}

static void judge_entries(struct verdict *verdict, const struct history *book, const json_t *log)
{
	GHashTable *bookings = count_bookings(log);
	GHashTable *ran = requests_that_ran(log);

	for (guint i = 0; i < book->entries->len; i++) {
		const struct history_request *entry = g_ptr_array_index(book->entries, i);
		int outcome = entry->complete ? 0 : entry->refused ? 1 : 2;

		verdict->counts[entry->kind][outcome]++;
		judge_answer(verdict, entry);
		if (entry->kind == HISTORY_BOOKING)
			judge_booking(verdict, entry, bookings);
		if (entry->refused_request && g_hash_table_contains(ran, entry->refused_request)) {
			break_promise(verdict, "not_run is true", entry->refused_request);
			printf("  %s\n", entry->refused_code);
		}
	}
	g_hash_table_destroy(bookings);
	g_hash_table_destroy(ran);
}

static const struct cfg_upstream *find_upstream(const struct cfg *cfg, const char *name)
{
	for (uint32_t i = 0; i < cfg->upstreams.n_items; i++) {
		if (strcmp(cfg->upstreams.items[i].name, name) == 0)
			return &cfg->upstreams.items[i];
	}
	return NULL;
}

static bool is_within(const struct history_exclusion *window, const struct cfg_upstream *up,
		      int64_t at_ms)
{
	if (window->vm && strcmp(window->vm, up->vm) != 0)
		return false;
	if (window->data_centre && strcmp(window->data_centre, up->data_centre) != 0)
		return false;
	return at_ms > window->from_ms + NO_WORK_AFTER_MS && at_ms < window->to_ms;
}

static void judge_windows(struct verdict *verdict, const json_t *log, const GArray *windows,
			  const struct cfg *cfg)
{
	char detail[160];
	size_t i;
	json_t *arrival;

	json_array_foreach((json_t *)log, i, arrival)
	{
		const char *name = json_string_value(json_object_get(arrival, "upstream"));
		const struct cfg_upstream *up = find_upstream(cfg, name);
		int64_t at_ms = json_integer_value(json_object_get(arrival, "t_ms"));

		for (guint k = 0; k < windows->len; k++) {
			const struct history_exclusion *window =
				&g_array_index(windows, struct history_exclusion, k);
			if (!is_within(window, up, at_ms))
				continue;
			g_snprintf(detail, sizeof(detail), "%s got %s %d ms after", name,
				   json_string_value(json_object_get(arrival, "request")),
				   (int)(at_ms - window->from_ms));
			break_promise(verdict, "no new work to what leaves", detail);
		}
	}
}

/*
 * An upstream that turns cold unannounced keeps its load until news of it comes: only then, and no
 * longer than for the brief's few seconds, may it get more than its cold limit (docs/PROMISES.md,
 * 2).
 */
static bool is_unannounced(const GArray *restarts, const char *upstream, int64_t at_ms)
{
	for (guint i = 0; i < restarts->len; i++) {
		const struct history_restart *restart =
			&g_array_index(restarts, struct history_restart, i);

		if (strcmp(restart->upstream, upstream) == 0 && at_ms >= restart->at_ms &&
		    at_ms <= restart->at_ms + NO_WORK_AFTER_MS)
			return true;
	}
	return false;
}

static void judge_cold(struct verdict *verdict, const json_t *log, const GArray *restarts)
{
	char detail[160];
	size_t i;
	json_t *arrival;

	json_array_foreach((json_t *)log, i, arrival)
	{
		const char *name = json_string_value(json_object_get(arrival, "upstream"));
		int64_t at_ms = json_integer_value(json_object_get(arrival, "t_ms"));

		if (!json_is_true(json_object_get(arrival, "over_cold")))
			continue;
		g_snprintf(detail, sizeof(detail), "%s got %s from %s above its cold limit", name,
			   json_string_value(json_object_get(arrival, "request")),
			   json_string_value(json_object_get(arrival, "source")));
		if (is_unannounced(restarts, name, at_ms))
			printf("storm just restarted: %s\n", detail);
		else
			break_promise(verdict, "cold upstreams", detail);
	}
}

static void print_codes(const struct history *book)
{
	GHashTable *codes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer code;
	gpointer n;

	for (guint i = 0; i < book->entries->len; i++) {
		const struct history_request *entry = g_ptr_array_index(book->entries, i);

		if (entry->complete)
			continue;
		n = g_hash_table_lookup(codes, entry->code);
		g_hash_table_insert(codes, g_strdup(entry->code),
				    GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
	}
	g_hash_table_iter_init(&iter, codes);
	while (g_hash_table_iter_next(&iter, &code, &n))
		printf("storm %s: %d\n", (char *)code, GPOINTER_TO_INT(n));
	g_hash_table_destroy(codes);
}

static void print_counts(const struct verdict *verdict)
{
	static const char *const kinds[HISTORY_KINDS] = {"pipeline", "lookup", "booking"};

	for (int i = 0; i < HISTORY_KINDS; i++)
		printf("storm %-8s complete %d, not_run %d, unknown %d\n", kinds[i],
		       verdict->counts[i][0], verdict->counts[i][1], verdict->counts[i][2]);
}

int history_verify(const struct history *book, const json_t *log,
		   const struct history_faults *deeds, const struct cfg *cfg)
{
	struct verdict verdict = {0};

	judge_entries(&verdict, book, log);
	judge_windows(&verdict, log, deeds->windows, cfg);
	judge_cold(&verdict, log, deeds->restarts);
	print_counts(&verdict);
	print_codes(book);
	return verdict.broken;
}
