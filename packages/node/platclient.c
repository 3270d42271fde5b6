/*
 * Watches the platform's configuration and VM list by long polling.
 *
 * The platform counts every call, and a long poll as one call. An idle node makes 1.5 calls a
 * second. Whatever the platform answers, the pauses below keep a node under 4 calls a second, so
 * that 410 nodes stay within 2,000 calls a second.
 */
#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/prng.h"
#include "node/node.h"

#include <string.h>

#define PLATCLIENT_CONFIG_WAIT_MS 2000
#define PLATCLIENT_LIST_WAIT_MS 1000 /* also the period at which the list is confirmed */
#define PLATCLIENT_PAUSE_MS 500	     /* per call made, after a failure, change or early return */
#define PLATCLIENT_BACKOFF_MS 1000   /* delay after a failure; doubles with each further one */
#define PLATCLIENT_CONFIG_BACKOFF_MAX_MS 4000
#define PLATCLIENT_LIST_BACKOFF_MAX_MS 2000
#define PLATCLIENT_BACKOFF_DOUBLINGS 3
#define PLATCLIENT_TIMEOUT_MS 2000 /* of a call, in addition to the wait of a long poll */
#define PLATCLIENT_BYTES_MAX (4 * 1024 * 1024)
#define PLATCLIENT_SECTIONS_MAX 2  /* if more have changed, the whole document is read */
#define PLATCLIENT_STOP_POLL_MS 50 /* how often a pause checks whether the node is stopping */
#define PLATCLIENT_PATH_BYTES 256
#define PLATCLIENT_NOT_MODIFIED 304

/* State of the watch of the configuration or of the VM list. */
struct watch {
	struct node_server *node;
	struct prng prng;
	char *tag;	   /* ETag of the last version read; NULL for none */
	uint32_t failures; /* number of consecutive failed steps */
	uint32_t calls;	   /* calls made in the current step */
	/* the fields below are used by the configuration watch only */
	char *tags[CFG_SECTIONS]; /* tags of the section versions last read */
	bool index_missing; /* the platform has no index of sections, only the whole document */
};

enum step { STEP_FAILED, STEP_SAME, STEP_CHANGED };

static bool call(struct watch *w, const char *path, int64_t wait_ms, struct fetch_response *answer)
{
	const struct fetch_request call = {
		.method = "GET",
		.address = w->node->set->platform_address,
		.path = path,
		.timeout_ms = wait_ms + PLATCLIENT_TIMEOUT_MS,
		.idempotent = true,
		.max_bytes = PLATCLIENT_BYTES_MAX,
		.want_headers = {"ETag"},
	};
	GError *error = NULL;

	w->calls++;
	counter_add(COUNTER_CONFIG_READS, 1);
	if (fetch_perform(w->node->http, &call, answer, &error))
		return true;
	if (w->failures == 0)
		log_warn("platform_unreachable", "{s:s, s:s}", "path", path, "reason",
			 error->message);
	g_error_free(error);
	return false;
}

static bool poll_watch(struct watch *w, const char *path, int64_t wait_ms,
		       struct fetch_response *answer)
{
	char full[PLATCLIENT_PATH_BYTES];

	if (w->tag)
		g_snprintf(full, sizeof(full), "%s?after=%s&wait_ms=%d", path, w->tag,
			   (int)wait_ms);
	else
		g_strlcpy(full, path, sizeof(full));
	return call(w, full, wait_ms, answer);
}

static void set_text(char **at, const char *text)
{
	g_free(*at);
	*at = g_strdup(text);
}

static bool read_document(struct watch *w)
{
	struct fetch_response answer;
	bool ok = call(w, "/v1/config", 0, &answer) && answer.status == 200;

	if (ok)
		confsync_offer_document(w->node, (const char *)answer.body->data, answer.body->len);
	fetch_response_clear(&answer);
	return ok;
}

static bool read_section(struct watch *w, int id, int line)
{
	char path[PLATCLIENT_PATH_BYTES];
	struct fetch_response answer;
	bool ok;

	g_snprintf(path, sizeof(path), "/v1/config/%s", cfg_section_name(id));
	ok = call(w, path, 0, &answer) && answer.status == 200;
	if (ok) {
		const struct cfg_section_text text = {(const char *)answer.body->data,
						      answer.body->len, line};
		confsync_offer_section(w->node, id, &text);
	}
	fetch_response_clear(&answer);
	return ok;
}

/* Reads the sections whose tag in the index has changed; false if a read failed. */
static bool read_changed(struct watch *w, json_t *index)
{
	const char *tags[CFG_SECTIONS] = {0};
	int lines[CFG_SECTIONS] = {0};
	int n_changed = 0;
	bool ok = true;

	for (int i = 0; i < CFG_SECTIONS; i++) {
		json_t *entry =
			json_object_get(json_object_get(index, "sections"), cfg_section_name(i));
		const char *tag = json_string_value(json_object_get(entry, "tag"));

		if (!tag || (w->tags[i] && strcmp(w->tags[i], tag) == 0))
			continue;
		tags[i] = tag;
		lines[i] = (int)json_integer_value(json_object_get(entry, "line"));
		n_changed++;
	}
	if (n_changed > PLATCLIENT_SECTIONS_MAX && !read_document(w))
		return false;
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (!tags[i])
			continue;
		if (n_changed > PLATCLIENT_SECTIONS_MAX || read_section(w, i, MAX(lines[i], 1)))
			set_text(&w->tags[i], tags[i]);
		else
			ok = false;
	}
	return ok;
}

static enum step apply_index(struct watch *w, const struct fetch_response *answer)
{
	json_t *index = json_loadb((const char *)answer->body->data, answer->body->len, 0, NULL);
	bool ok = json_is_object(json_object_get(index, "sections")) && read_changed(w, index);

	json_decref(index);
	return ok ? STEP_CHANGED : STEP_FAILED;
}

static enum step apply_config(struct watch *w, const struct fetch_response *answer)
{
	enum step step = STEP_CHANGED;

	if (answer->status == PLATCLIENT_NOT_MODIFIED)
		return STEP_SAME;
	if (answer->status != 200)
		return STEP_FAILED;
	if (w->index_missing)
		confsync_offer_document(w->node, (const char *)answer->body->data,
					answer->body->len);
	else
		step = apply_index(w, answer);
	if (step == STEP_CHANGED)
		set_text(&w->tag, answer->headers[0]);
	return step;
}

static void confirm_config(struct node_server *n, int64_t asked_ms)
{
	const struct core_event ev = {.type = CORE_EV_CONFIG_CONFIRMED, .at_ms = asked_ms};

	node_handle_event(n, &ev);
}

static enum step step_config(struct watch *w)
{
	int64_t asked_ms = clock_now_ms();
	const char *path = w->index_missing ? "/v1/config" : "/v1/config/index";
	struct fetch_response answer;
	enum step step = STEP_FAILED;

	if (poll_watch(w, path, PLATCLIENT_CONFIG_WAIT_MS, &answer)) {
		if (answer.status == 404 && !w->index_missing) {
			w->index_missing = true;
			set_text(&w->tag, NULL);
			step = STEP_SAME;
		} else {
			step = apply_config(w, &answer);
		}
	}
	fetch_response_clear(&answer);
	if (step == STEP_FAILED)
		w->index_missing = false;
	else if (w->tag)
		confsync_service_answered(w->node);
	if (step == STEP_SAME && w->tag)
		confirm_config(w->node, asked_ms);
	return step;
}

static enum step apply_list(struct watch *w, const struct fetch_response *answer, int64_t asked_ms)
{
	GError *error = NULL;
	struct vmlist *list;

	if (answer->status == PLATCLIENT_NOT_MODIFIED) {
		const struct core_event ev = {.type = CORE_EV_LIST_CONFIRMED,
					      .u.asked_ms = asked_ms};
		node_handle_event(w->node, &ev);
		return STEP_SAME;
	}
	if (answer->status != 200)
		return STEP_FAILED;
	list = vmlist_parse((const char *)answer->body->data, answer->body->len, &error);
	if (!list) {
		log_error("list_refused", "{s:s}", "reason", error->message);
		g_error_free(error);
		return STEP_FAILED;
	}
	const struct core_event ev = {.type = CORE_EV_LIST, .at_ms = asked_ms, .u.list = list};
	node_handle_event(w->node, &ev);
	set_text(&w->tag, answer->headers[0]);
	return STEP_CHANGED;
}

static enum step step_list(struct watch *w)
{
	int64_t asked_ms = clock_now_ms();
	struct fetch_response answer;
	enum step step = STEP_FAILED;

	if (poll_watch(w, "/v1/vms", PLATCLIENT_LIST_WAIT_MS, &answer))
		step = apply_list(w, &answer, asked_ms);
	fetch_response_clear(&answer);
	return step;
}

/* Returns the delay after a failure; half of it is random, so that nodes don't retry together. */
static int64_t backoff_ms(struct watch *w, int64_t max_ms)
{
	int64_t full_ms = (int64_t)PLATCLIENT_BACKOFF_MS
			  << MIN(w->failures, PLATCLIENT_BACKOFF_DOUBLINGS);

	full_ms = MIN(full_ms, max_ms);
	return full_ms / 2 + (int64_t)prng_below(&w->prng, (uint64_t)full_ms / 2);
}

static void pause_unless_stopping(struct node_server *n, int64_t pause_ms)
{
	int64_t until_ms = clock_now_ms() + pause_ms;

	while (!g_atomic_int_get(&n->stopping) && clock_now_ms() < until_ms)
		clock_sleep_ms(MIN(PLATCLIENT_STOP_POLL_MS, pause_ms));
}

static struct watch *new_watch(struct node_server *n)
{
	struct watch *w = g_new0(struct watch, 1);

	w->node = n;
	w->prng.state = prng_os_seed();
	return w;
}

static void free_watch(struct watch *w)
{
	for (int i = 0; i < CFG_SECTIONS; i++)
		g_free(w->tags[i]);
	g_free(w->tag);
	g_free(w);
}

/*
 * Calls step_fn until the node stops. There is no pause after a long poll that reported no change
 * and lasted at least half of wait_ms.
 */
static void watch(struct node_server *n, enum step (*step_fn)(struct watch *w), int64_t wait_ms,
		  int64_t backoff_max_ms)
{
	struct watch *w = new_watch(n);

	while (!g_atomic_int_get(&n->stopping)) {
		int64_t began_ms = clock_now_ms();
		enum step step;

		w->calls = 0;
		step = step_fn(w);
		if (step == STEP_FAILED) {
			pause_unless_stopping(n, MAX(backoff_ms(w, backoff_max_ms),
						     PLATCLIENT_PAUSE_MS * w->calls));
			w->failures++;
			continue;
		}
		w->failures = 0;
		if (step == STEP_CHANGED || clock_now_ms() - began_ms < wait_ms / 2)
			pause_unless_stopping(n, PLATCLIENT_PAUSE_MS * w->calls);
	}
	free_watch(w);
}

static void watch_config(void *arg)
{
	watch(arg, step_config, PLATCLIENT_CONFIG_WAIT_MS, PLATCLIENT_CONFIG_BACKOFF_MAX_MS);
}

static void watch_list(void *arg)
{
	watch(arg, step_list, PLATCLIENT_LIST_WAIT_MS, PLATCLIENT_LIST_BACKOFF_MAX_MS);
}

void platclient_start(struct node_server *n)
{
	workpool_submit(n->background, watch_config, n);
	workpool_submit(n->background, watch_list, n);
}
