/*
 * Watches the configuration and the VM list at the platform.
 *
 * The service counts each call, a waiting watch as one. At rest a node makes 1.5 calls a second;
 * the pauses below hold it under 4 whatever the service answers, so that 410 nodes stay within
 * 2,000.
 */
#include "base/clk.h"
#include "base/ctr.h"
#include "base/log.h"
#include "base/rnd.h"
#include "node/nod.h"

#include <string.h>

#define PLT_CONFIG_WAIT_MS 2000
#define PLT_LIST_WAIT_MS 1000 /* also how often the list is confirmed */
#define PLT_PAUSE_MS 500      /* for each call of a step that did not wait its time */
#define PLT_BACKOFF_MS 1000   /* after a first failure; doubles with each */
#define PLT_CONFIG_BACKOFF_MAX_MS 4000
#define PLT_LIST_BACKOFF_MAX_MS 2000
#define PLT_BACKOFF_DOUBLINGS 3
#define PLT_TIMEOUT_MS 2000 /* beyond the wait of a watch */
#define PLT_BYTES_MAX (4 * 1024 * 1024)
#define PLT_SECTIONS_MAX 2 /* more that changed are read as the whole document */
#define PLT_STOP_MS 50	   /* how often a pause looks whether the node stops */
#define PLT_PATH_BYTES 256
#define PLT_NOT_MODIFIED 304

/* What one of the two watches holds. */
struct watch {
	struct nod *node;
	struct rnd rnd;
	char *tag; /* of what was read last; NULL: nothing */
	uint32_t failures;
	uint32_t calls; /* of the current step */
	/* of the configuration alone */
	char *tags[CFG_SECTIONS];
	bool no_index; /* the service knows the whole document alone */
};

enum step { STEP_FAILED, STEP_SAME, STEP_CHANGED };

static bool call(struct watch *w, const char *path, int64_t wait_ms, struct hcl_answer *answer)
{
	const struct hcl_call call = {
		.method = "GET",
		.address = w->node->set->platform_address,
		.path = path,
		.timeout_ms = wait_ms + PLT_TIMEOUT_MS,
		.idempotent = true,
		.max_bytes = PLT_BYTES_MAX,
		.want_headers = {"ETag"},
	};
	GError *error = NULL;

	w->calls++;
	ctr_add(CTR_CONFIG_READS, 1);
	if (hcl_do(w->node->http, &call, answer, &error))
		return true;
	if (w->failures == 0)
		log_warn("platform_unreachable", "{s:s, s:s}", "path", path, "reason",
			 error->message);
	g_error_free(error);
	return false;
}

static bool call_watch(struct watch *w, const char *path, int64_t wait_ms,
		       struct hcl_answer *answer)
{
	char full[PLT_PATH_BYTES];

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
	struct hcl_answer answer;
	bool ok = call(w, "/v1/config", 0, &answer) && answer.status == 200;

	if (ok)
		mcf_offer_document(w->node, (const char *)answer.body->data, answer.body->len);
	hcl_answer_clear(&answer);
	return ok;
}

static bool read_section(struct watch *w, int id, int line)
{
	char path[PLT_PATH_BYTES];
	struct hcl_answer answer;
	bool ok;

	g_snprintf(path, sizeof(path), "/v1/config/%s", cfg_section_name(id));
	ok = call(w, path, 0, &answer) && answer.status == 200;
	if (ok) {
		const struct cfg_section_text text = {(const char *)answer.body->data,
						      answer.body->len, line};
		mcf_offer_section(w->node, id, &text);
	}
	hcl_answer_clear(&answer);
	return ok;
}

/* Reads what the index gives other tags for; false when a read failed. */
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
	if (n_changed > PLT_SECTIONS_MAX && !read_document(w))
		return false;
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (!tags[i])
			continue;
		if (n_changed > PLT_SECTIONS_MAX || read_section(w, i, MAX(lines[i], 1)))
			set_text(&w->tags[i], tags[i]);
		else
			ok = false;
	}
	return ok;
}

static enum step take_index(struct watch *w, const struct hcl_answer *answer)
{
	json_t *index = json_loadb((const char *)answer->body->data, answer->body->len, 0, NULL);
	bool ok = json_is_object(json_object_get(index, "sections")) && read_changed(w, index);

	json_decref(index);
	return ok ? STEP_CHANGED : STEP_FAILED;
}

static enum step take_config(struct watch *w, const struct hcl_answer *answer)
{
	enum step step = STEP_CHANGED;

	if (answer->status == PLT_NOT_MODIFIED)
		return STEP_SAME;
	if (answer->status != 200)
		return STEP_FAILED;
	if (w->no_index)
		mcf_offer_document(w->node, (const char *)answer->body->data, answer->body->len);
	else
		step = take_index(w, answer);
	if (step == STEP_CHANGED)
		set_text(&w->tag, answer->headers[0]);
	return step;
}

static void confirm_config(struct nod *n, int64_t asked_ms)
{
	const struct dec_event ev = {.type = DEC_EV_CONFIG_SAME, .at_ms = asked_ms};

	nod_event(n, &ev);
}

static enum step step_config(struct watch *w)
{
	int64_t asked_ms = clk_now_ms();
	const char *path = w->no_index ? "/v1/config" : "/v1/config/index";
	struct hcl_answer answer;
	enum step step = STEP_FAILED;

	if (call_watch(w, path, PLT_CONFIG_WAIT_MS, &answer)) {
		if (answer.status == 404 && !w->no_index) {
			w->no_index = true;
			set_text(&w->tag, NULL);
			step = STEP_SAME;
		} else {
			step = take_config(w, &answer);
		}
	}
	hcl_answer_clear(&answer);
	if (step == STEP_FAILED)
		w->no_index = false;
	else if (w->tag)
		mcf_service_answered(w->node);
	if (step == STEP_SAME && w->tag)
		confirm_config(w->node, asked_ms);
	return step;
}

static enum step take_list(struct watch *w, const struct hcl_answer *answer, int64_t asked_ms)
{
	GError *error = NULL;
	struct vmlist *list;

	if (answer->status == PLT_NOT_MODIFIED) {
		const struct dec_event ev = {.type = DEC_EV_LIST_CONFIRMED, .u.asked_ms = asked_ms};
		nod_event(w->node, &ev);
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
	const struct dec_event ev = {.type = DEC_EV_LIST, .at_ms = asked_ms, .u.list = list};
	nod_event(w->node, &ev);
	set_text(&w->tag, answer->headers[0]);
	return STEP_CHANGED;
}

static enum step step_list(struct watch *w)
{
	int64_t asked_ms = clk_now_ms();
	struct hcl_answer answer;
	enum step step = STEP_FAILED;

	if (call_watch(w, "/v1/vms", PLT_LIST_WAIT_MS, &answer))
		step = take_list(w, &answer, asked_ms);
	hcl_answer_clear(&answer);
	return step;
}

/* Half of it is random, so that readers do not come back together. */
static int64_t backoff_ms(struct watch *w, int64_t max_ms)
{
	int64_t full_ms = (int64_t)PLT_BACKOFF_MS << MIN(w->failures, PLT_BACKOFF_DOUBLINGS);

	full_ms = MIN(full_ms, max_ms);
	return full_ms / 2 + (int64_t)rnd_below(&w->rnd, (uint64_t)full_ms / 2);
}

static void pause_for(struct nod *n, int64_t pause_ms)
{
	int64_t until_ms = clk_now_ms() + pause_ms;

	while (!g_atomic_int_get(&n->stopping) && clk_now_ms() < until_ms)
		clk_sleep_ms(MIN(PLT_STOP_MS, pause_ms));
}

static struct watch *new_watch(struct nod *n)
{
	struct watch *w = g_new0(struct watch, 1);

	w->node = n;
	w->rnd.state = rnd_os_seed();
	return w;
}

static void free_watch(struct watch *w)
{
	for (int i = 0; i < CFG_SECTIONS; i++)
		g_free(w->tags[i]);
	g_free(w->tag);
	g_free(w);
}

/* Steps until the node stops. A watch that waited its time needs no pause. */
static void watch(struct nod *n, enum step (*step_fn)(struct watch *w), int64_t wait_ms,
		  int64_t backoff_max_ms)
{
	struct watch *w = new_watch(n);

	while (!g_atomic_int_get(&n->stopping)) {
		int64_t began_ms = clk_now_ms();
		enum step step;

		w->calls = 0;
		step = step_fn(w);
		if (step == STEP_FAILED) {
			pause_for(n, MAX(backoff_ms(w, backoff_max_ms), PLT_PAUSE_MS * w->calls));
			w->failures++;
			continue;
		}
		w->failures = 0;
		if (step == STEP_CHANGED || clk_now_ms() - began_ms < wait_ms / 2)
			pause_for(n, PLT_PAUSE_MS * w->calls);
	}
	free_watch(w);
}

static void watch_config(void *arg)
{
	watch(arg, step_config, PLT_CONFIG_WAIT_MS, PLT_CONFIG_BACKOFF_MAX_MS);
}

static void watch_list(void *arg)
{
	watch(arg, step_list, PLT_LIST_WAIT_MS, PLT_LIST_BACKOFF_MAX_MS);
}

void plt_start(struct nod *n)
{
	wkp_submit(n->side, watch_config, n);
	wkp_submit(n->side, watch_list, n);
}
