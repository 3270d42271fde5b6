/* Engines of the stub: single responses, streams and pools, with injected faults. */
#include "stub_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_ATTEMPT "X-Currantscale-Attempt-Id"
#define DEADLINE_MAX_MS 60000
#define CRASH_WAIT_MS 60000 /* of a run under which its engine crashes meanwhile */
#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

extern const struct http_server_limits stub_http_limits;

/* A request in progress at an engine. */
struct stub_run {
	struct stub_engine *engine;
	struct http_server_request *request; /* NULL after the client has disconnected */
	uv_timer_t timer;
	const char *version; /* of the engine when the run began */
	uint32_t next_event;
	bool started;
	bool until_close; /* the answer has neither a length nor chunks */
};

static const char *attempt_of(const struct http_server_request *request)
{
	const char *attempt = hdr_get(&request->headers, HEADER_ATTEMPT);

	return attempt ? attempt : "";
}

/* Adds the header fields of answers to requests that have run. */
static void put_signature(struct hdr_list *headers, struct stub_engine *e, const char *attempt)
{
	hdr_add(headers, HEADER_ATTEMPT, attempt);
	hdr_add(headers, "X-Currantscale-Response-Signature", e->id);
	stub_put_advice(e, STATUS_OK, headers);
}

static void on_run_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void end_run(struct stub_run *run)
{
	if (run->request)
		g_hash_table_remove(run->engine->open, run->request);
	uv_timer_stop(&run->timer);
	uv_close((uv_handle_t *)&run->timer, on_run_closed);
}

static void answer_plain(struct stub_run *run)
{
	struct stub_engine *e = run->engine;
	struct http_server_request *request = run->request;
	const char *attempt = attempt_of(request);
	struct hdr_list headers = {0};
	char *body = g_strdup_printf("body of %s", attempt);
	size_t len = strlen(body);

	put_signature(&headers, e, e->fault == STUB_FAULT_WRONG_ATTEMPT ? "another" : attempt);
	switch (e->fault) {
	case STUB_FAULT_CLOSE:
		http_server_abort(request);
		break;
	case STUB_FAULT_HANG:
		break;
	case STUB_FAULT_ERROR:
		http_server_respond(request, 500, &headers, "failed", 6);
		break;
	case STUB_FAULT_TRUNCATE:
		http_server_begin(request, 200, &headers, (int64_t)len);
		http_server_write(request, body, len / 2);
		http_server_abort(request);
		break;
	case STUB_FAULT_NO_LENGTH:
		http_server_begin(request, 200, &headers, HTTP_SERVER_UNTIL_CLOSE);
		http_server_write(request, body, len);
		http_server_finish(request);
		break;
	case STUB_FAULT_NO_LENGTH_RESET:
		http_server_begin(request, 200, &headers, HTTP_SERVER_UNTIL_CLOSE);
		http_server_write(request, body, len / 2);
		http_server_abort(request);
		break;
	default:
		http_server_respond(request, 200, &headers, body, len);
	}
	hdr_clear(&headers);
	g_free(body);
}

static void on_event(uv_timer_t *timer);

static char *event_text(const struct stub_run *run)
{
	return g_strdup_printf("id: %u\ndata: %s token %u\n\n", run->next_event, run->version,
			       run->next_event);
}

static void stream_event(struct stub_run *run)
{
	struct stub_engine *e = run->engine;
	struct hdr_list headers = {0};
	int64_t length_bytes;
	char *event;

	if (!run->started) {
		const char *last = hdr_get(&run->request->headers, "Last-Event-Id");
		run->next_event = last ? (uint32_t)strtoul(last, NULL, 10) + 1 : 0;
		put_signature(&headers, e, attempt_of(run->request));
		hdr_add(&headers, "Content-Type", "text/event-stream");
		length_bytes =
			e->fault == STUB_FAULT_NO_LENGTH || e->fault == STUB_FAULT_NO_LENGTH_CUT
				? HTTP_SERVER_UNTIL_CLOSE
				: stub_crash_note_answer(e, run->request);
		run->until_close = length_bytes == HTTP_SERVER_UNTIL_CLOSE;
		http_server_begin(run->request, 200, &headers, length_bytes);
		hdr_clear(&headers);
		run->started = true;
	}
	if (run->next_event >= e->options.events) {
		http_server_finish(run->request);
		end_run(run);
		return;
	}
	event = event_text(run);
	if (e->fault == STUB_FAULT_NO_LENGTH_CUT && run->next_event > 0) {
		http_server_write(run->request, event, strlen(event) / 2);
		http_server_finish(run->request);
		end_run(run);
	} else if (e->fault == STUB_FAULT_TRUNCATE && run->next_event > 0) {
		http_server_write(run->request, event, strlen(event) / 2);
		http_server_abort(run->request);
		end_run(run);
	} else {
		http_server_write(run->request, event, strlen(event));
		run->next_event++;
		uv_timer_start(&run->timer, on_event, (uint64_t)e->options.gap_ms, 0);
	}
	g_free(event);
}

static json_t *make_result(struct stub_engine *e, const char *attempt)
{
	char *handle;

	if (g_hash_table_size(e->results) >= e->options.results_max)
		return json_pack("{s:s}", "reason", "room");
	handle = g_strdup_printf("%s/%s-%u", e->address, e->id, e->next_result++);
	g_hash_table_add(e->results, handle);
	g_hash_table_insert(e->s->makers, g_strdup(handle), g_strdup(attempt));
	return json_pack("{s:s}", "handle", handle);
}

static void check_input(struct stub_engine *e, const char *handle, const char *attempt)
{
	const char *maker = g_hash_table_lookup(e->s->makers, handle);

	e->stats.foreign += maker && strcmp(maker, attempt) != 0;
}

static void answer_pieces(struct stub_run *run)
{
	const GByteArray *body = run->request->body;
	json_t *root = json_loadb((const char *)body->data, body->len, 0, NULL);
	json_t *results = json_array();
	struct hdr_list headers = {0};
	size_t i;
	size_t k;
	json_t *item;
	json_t *input;

	json_array_foreach(json_object_get(root, "items"), i, item)
	{
		const char *attempt = json_string_value(json_object_get(item, "id"));
		json_array_foreach(json_object_get(item, "inputs"), k, input)
			check_input(run->engine, json_string_value(input), attempt);
		json_array_append_new(results, make_result(run->engine, attempt));
	}
	stub_put_advice(run->engine, STATUS_OK, &headers);
	stub_answer_json(run->request, STATUS_OK, &headers, json_pack("{s:o}", "items", results));
	hdr_clear(&headers);
	json_decref(root);
}

static void on_event(uv_timer_t *timer)
{
	struct stub_run *run = timer->data;
	struct stub *s = run->engine->s;
	int64_t now_ms = clock_now_ms();

	pthread_mutex_lock(&s->lock);
	if (!run->request) {
		end_run(run);
	} else if (now_ms < run->engine->silent_until_ms) {
		uv_timer_start(timer, on_event, (uint64_t)(run->engine->silent_until_ms - now_ms),
			       0);
	} else if (run->engine->options.kind == STUB_STREAM &&
		   run->engine->fault != STUB_FAULT_CLOSE &&
		   run->engine->fault != STUB_FAULT_HANG) {
		stream_event(run);
	} else {
		struct http_server_request *request = run->request;
		if (run->engine->options.kind == STUB_POOL)
			answer_pieces(run);
		else
			answer_plain(run);
		run->request = request;
		end_run(run);
	}
	pthread_mutex_unlock(&s->lock);
}

static void refuse(struct stub_engine *e, struct http_server_request *request, int status)
{
	struct hdr_list headers = {0};

	if (e->fault != STUB_FAULT_SHED_NO_ID)
		hdr_add(&headers, HEADER_ATTEMPT, attempt_of(request));
	hdr_add(&headers, "X-Currantscale-Not-Executed", "1");
	stub_put_advice(e, status, &headers);
	http_server_respond(request, status, &headers, "", 0);
	hdr_clear(&headers);
}

/* True if a forwarded request lacks a required header, or has a wrong or forbidden one. */
static bool is_invalid(const struct stub_engine *e, const struct http_server_request *request)
{
	const char *deadline = hdr_get(&request->headers, "X-Currantscale-Deadline-Ms");
	const char *expect = hdr_get(&request->headers, "X-Currantscale-Expect-Instance");

	if (e->options.kind == STUB_POOL)
		return false;
	return hdr_get(&request->headers, "X-Currantscale-Key") || !deadline ||
	       strtol(deadline, NULL, 10) > DEADLINE_MAX_MS || !expect ||
	       hdr_get(&request->headers, "Kv-From") || !*attempt_of(request);
}

/* True if the request is for another start of the engine, or for another engine. */
static bool is_misdirected(const struct stub_engine *e, const struct http_server_request *request)
{
	const char *expect = hdr_get(&request->headers, "X-Currantscale-Expect-Instance");

	return expect && strcmp(expect, e->instance) != 0;
}

static void record_run(struct stub_engine *e, const char *attempt)
{
	uint32_t n = GPOINTER_TO_UINT(g_hash_table_lookup(e->runs, attempt)) + 1;

	g_hash_table_insert(e->runs, g_strdup(attempt), GUINT_TO_POINTER(n));
	e->stats.runs++;
	e->stats.most_runs = MAX(e->stats.most_runs, n);
}

static void begin_run(struct stub_engine *e, struct http_server_request *request)
{
	struct stub_run *run = g_new0(struct stub_run, 1);
	int64_t now_ms = clock_now_ms();
	int64_t start_ms = now_ms;

	record_run(e, attempt_of(request));
	if (e->options.kind != STUB_POOL && stub_crash_note_run(e, request))
		start_ms = now_ms + CRASH_WAIT_MS;
	if (e->options.kind == STUB_POOL) {
		start_ms = MAX(now_ms, e->busy_until_ms);
		e->busy_until_ms = start_ms + e->options.work_ms;
	}
	run->engine = e;
	run->version = e->version;
	run->request = request;
	uv_timer_init(&e->s->loop, &run->timer);
	run->timer.data = run;
	g_hash_table_insert(e->open, request, run);
	uv_timer_start(&run->timer, on_event, (uint64_t)(start_ms + e->options.work_ms - now_ms),
		       0);
}

static void free_results(struct stub_engine *e, struct http_server_request *request)
{
	json_t *root = json_loadb((const char *)request->body->data, request->body->len, 0, NULL);
	json_t *handles = json_object_get(root, "handles");
	struct hdr_list headers = {0};

	for (size_t i = 0; i < json_array_size(handles); i++)
		g_hash_table_remove(e->results, json_string_value(json_array_get(handles, i)));
	json_decref(root);
	stub_put_advice(e, STATUS_OK, &headers);
	http_server_respond(request, STATUS_OK, &headers, "{}", 2);
	hdr_clear(&headers);
}

static bool is_result_held(const struct stub *s, const char *handle)
{
	GHashTableIter iter;
	gpointer engine;

	g_hash_table_iter_init(&iter, s->engines);
	while (g_hash_table_iter_next(&iter, NULL, &engine)) {
		if (g_hash_table_contains(((struct stub_engine *)engine)->results, handle))
			return true;
	}
	return false;
}

static bool has_inputs(struct stub_engine *e, const struct http_server_request *request)
{
	const char *text = hdr_get(&request->headers, "X-Currantscale-Inputs");
	char **handles = g_strsplit(text ? text : "", ",", -1);
	bool held = true;

	for (char **at = handles; *at; at++) {
		held = held && is_result_held(e->s, *at);
		check_input(e, *at, attempt_of(request));
	}
	g_strfreev(handles);
	return held;
}

/* Returns the engine that has the address now. */
static struct stub_engine *current(struct stub_engine *e)
{
	while (e->successor)
		e = e->successor;
	return e;
}

static bool is_full(const struct stub_engine *e)
{
	return e->options.room > 0 && g_hash_table_size(e->open) >= e->options.room;
}

static void refuse_for_room(struct stub_engine *e, struct http_server_request *request)
{
	refuse(e, request, STATUS_UNAVAILABLE);
	stub_crash_note_refusal(e);
}

static void on_request(void *arg, struct http_server_request *request)
{
	struct stub_engine *e = current(arg);
	int64_t now_ms = clock_now_ms();
	bool is_for_another;

	pthread_mutex_lock(&e->s->lock);
	if (stub_answer_report(e, request)) {
		pthread_mutex_unlock(&e->s->lock);
		return;
	}
	is_for_another = e->fault == STUB_FAULT_MISDIRECTED || is_misdirected(e, request);
	e->stats.arrivals++;
	if (!is_for_another)
		g_array_append_val(e->arrivals, now_ms);
	e->stats.bad += is_invalid(e, request);
	if (e->options.kind == STUB_POOL && strcmp(request->target, "/-/stage-free") == 0)
		free_results(e, request);
	else if (now_ms < e->down_until_ms)
		http_server_abort(request);
	else if (e->fault == STUB_FAULT_SHED || e->fault == STUB_FAULT_SHED_NO_ID)
		refuse(e, request, STATUS_UNAVAILABLE);
	else if (is_for_another)
		refuse(e, request, 421);
	else if (!has_inputs(e, request))
		refuse(e, request, 409);
	else if (is_full(e))
		refuse_for_room(e, request);
	else
		begin_run(e, request);
	pthread_mutex_unlock(&e->s->lock);
}

static void on_disconnect(void *arg, struct http_server_request *request)
{
	struct stub_engine *e = current(arg);
	struct stub_run *run = g_hash_table_lookup(e->open, request);

	/* takes no lock: if the engine closes the connection, on_event() already holds it */
	if (!run)
		return;
	g_hash_table_remove(e->open, request);
	run->request = NULL;
}

static void break_off_runs(struct stub_engine *e)
{
	GList *runs = g_hash_table_get_values(e->open);

	for (GList *at = runs; at; at = at->next) {
		struct stub_run *run = at->data;
		http_server_abort(run->request);
		end_run(run);
	}
	g_list_free(runs);
}

static void open_listener(struct stub_engine *e)
{
	const struct http_server_handler handler = {
		.on_request = on_request,
		.on_disconnect = on_disconnect,
		.arg = e,
	};
	const char *address = e->address ? e->address : "127.0.0.1:0";
	GError *error = NULL;

	e->listener = http_server_new(&e->s->loop, address, &handler, &stub_http_limits, &error);
	if (!e->listener) {
		log_warn("stub_engine_down", "{s:s, s:s}", "engine", e->id, "reason",
			 error->message);
		g_error_free(error);
		return;
	}
	if (!e->address)
		e->address = g_strdup(http_server_address(e->listener));
}

/*
 * Breaks off the run's answer, in the middle of an event if is_mid_event: by a reset, or by an
 * orderly close inside an event if the answer has neither a length nor chunks.
 */
static void cut_run(struct stub_run *run, bool is_mid_event)
{
	char *event = event_text(run);

	if (run->started && (is_mid_event || run->until_close))
		http_server_write(run->request, event, strlen(event) / 2);
	if (run->started && run->until_close)
		http_server_finish(run->request);
	else
		http_server_abort(run->request);
	end_run(run);
	g_free(event);
}

void stub_pause_engine(struct stub *s, const char *id, int64_t for_ms)
{
	struct stub_engine *e;

	pthread_mutex_lock(&s->lock);
	e = g_hash_table_lookup(s->engines, id);
	e->silent_until_ms = clock_now_ms() + for_ms;
	pthread_mutex_unlock(&s->lock);
}

void stub_engine_stop(struct stub_engine *e)
{
	GList *runs = g_hash_table_get_values(e->open);
	bool is_mid_event = true;

	for (GList *at = runs; at; at = at->next) {
		cut_run(at->data, is_mid_event);
		is_mid_event = !is_mid_event;
	}
	g_list_free(runs);
	http_server_free(e->listener);
	e->listener = NULL;
}

void stub_engine_start(struct stub_engine *e)
{
	if (e->predecessor) {
		break_off_runs(e->predecessor);
		e->listener = e->predecessor->listener;
		e->address = g_strdup(e->predecessor->address);
		e->predecessor->successor = e;
		e->predecessor = NULL;
	} else {
		/* an end closes all connections, idle ones included */
		if (e->listener)
			stub_engine_stop(e);
		open_listener(e);
	}
	e->is_starting = false;
}
