/*
 * Passes an upstream's answer to the caller, unchanged. Short answers are buffered until complete,
 * so that the caller never sees a broken one. Streams are passed on as they arrive; resumable ones
 * in complete events.
 */
#include "srv_gate.h"
#include "srv_poison.h"

#include "base/clock.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define BUFFERED_BYTES_MAX (256 * 1024) /* longer answers are streamed */
/* With more bytes queued for the caller, reading from the upstream pauses. */
#define QUEUED_BYTES_MAX (256 * 1024)
/* Limit of an incomplete event of a resumable stream. */
#define PARTIAL_BYTES_MAX (1024 * 1024)
/* Limits of an answer that isn't passed on before it is complete: a failure, or a refusal. */
#define UNREAD_BYTES_MAX (1024 * 1024)
#define UNREAD_TIMEOUT_MS 500
/* The blank line that ends an event, and the end of the line before it. */
#define EVENT_END_BYTES_MAX 3
#define STATUS_REDIRECT 300 /* lower ones are successes */

static enum srv_attempt_verdict classify(const struct http_client_head *head,
					 const struct adapter_answer *answer)
{
	if (head->status == 421 || answer->not_run)
		return SRV_ATTEMPT_NOT_RUN;
	if (head->status >= 500)
		return answer->is_signed ? SRV_ATTEMPT_FAILED : SRV_ATTEMPT_INVALID;
	if (head->status < 300 && !answer->is_signed)
		return SRV_ATTEMPT_INVALID;
	return SRV_ATTEMPT_ACCEPTED;
}

static void buffer_head(struct srv_attempt *attempt, const struct http_client_head *head)
{
	struct srv_req *r = attempt->req;

	hdr_clear(&r->head);
	g_byte_array_set_size(r->body, 0);
	r->s->adapter->upstream->filter_response(&head->headers, &r->head);
	r->status = head->status;
	r->length_bytes = head->length_bytes;
	r->buffered = attempt;
}

static void start_answer(struct srv_attempt *attempt)
{
	struct srv_req *r = attempt->req;

	r->response_started = true;
	r->streaming = true;
	srv_origin_note_answer(attempt);
	http_server_begin(r->http, r->status, &r->head, r->length_bytes);
}

static void accept_answer(struct srv_attempt *attempt, const struct http_client_head *head)
{
	struct srv_req *r = attempt->req;

	r->winner = attempt;
	/* what has come of an event of the attempt before is dropped */
	g_string_truncate(r->partial, 0);
	g_string_truncate(r->tail, 0);
	srv_attempt_note_progress(attempt);
	if (r->response_started)
		return; /* a resumed stream: the caller already has a head and signature */
	buffer_head(attempt, head);
	if ((r->route->kind == PUB_KIND_STREAM && head->status < 300) ||
	    head->length_bytes > BUFFERED_BYTES_MAX)
		start_answer(attempt);
}

bool srv_attempt_handle_head(struct srv_attempt *attempt, const struct http_client_head *head)
{
	struct srv_req *r = attempt->req;
	struct adapter_answer answer;

	r->s->adapter->upstream->read_answer(&head->headers, &answer);
	if (answer.attempt && strcmp(answer.attempt, r->meta.attempt) != 0) {
		log_warn("answer_of_another", "{s:s, s:s, s:s}", "request", r->meta.attempt,
			 "upstream", attempt->upstream->id, "belongs_to", answer.attempt);
		return false;
	}
	srv_attempt_note_data(attempt);
	attempt->status = head->status;
	attempt->is_wrong_address = head->status == 421;
	if (!attempt->is_wrong_address)
		srv_gate_note_answer(r->s,
				     (struct gate_run){attempt->upstream->id, attempt->born_ms},
				     attempt->sent_ms, head->status, &answer, r->meta.attempt);
	if (!attempt->is_wrong_address)
		srv_poison_note_answer(attempt);
	attempt->verdict = classify(head, &answer);
	if (attempt->verdict == SRV_ATTEMPT_NOT_RUN && !answer.attempt &&
	    srv_has_policy(r->s, POLICY_SECOND_ANSWERS))
		http_client_bar_once(attempt->call);
	attempt->is_missing_inputs = head->status == 409 && attempt->verdict == SRV_ATTEMPT_NOT_RUN;
	if (attempt->verdict == SRV_ATTEMPT_ACCEPTED && !answer.attempt)
		attempt->verdict = SRV_ATTEMPT_INVALID;
	/* a stream goes on with events alone */
	if (attempt->verdict == SRV_ATTEMPT_ACCEPTED && r->response_started &&
	    head->status >= STATUS_REDIRECT)
		attempt->verdict = SRV_ATTEMPT_FAILED;
	if (attempt->verdict == SRV_ATTEMPT_ACCEPTED) {
		attempt->begun_ms = attempt->last_data_ms;
		accept_answer(attempt, head);
	}
	if (attempt->verdict == SRV_ATTEMPT_FAILED && !r->winner && !r->response_started)
		buffer_head(attempt, head);
	if (attempt->verdict != SRV_ATTEMPT_ACCEPTED)
		attempt->end_by_ms = attempt->last_data_ms + UNREAD_TIMEOUT_MS;
	if (attempt->call)
		srv_req_arm_timer(r);
	return true;
}

/* Returns the number in the text; -1 if it is none, or beyond the bound. */
static int64_t parse_event_id(const char *text, size_t len)
{
	int64_t id = 0;
	size_t i = 0;

	while (len > 0 && g_ascii_isspace(text[len - 1]))
		len--;
	while (i < len && text[i] == ' ')
		i++;
	if (i == len)
		return -1;
	for (; i < len; i++) {
		if (!g_ascii_isdigit(text[i]))
			return -1;
		id = id * 10 + (text[i] - '0');
		if (id > ADAPTER_EVENT_ID_MAX)
			return -1;
	}
	return id;
}

int64_t srv_answer_event_id(const char *event, size_t len)
{
	const char *end = event + len;

	for (const char *line = event; line < end;) {
		const char *next = memchr(line, '\n', (size_t)(end - line));
		const char *line_end = next ? next : end;
		if (line_end - line >= 3 && strncmp(line, "id:", 3) == 0)
			return parse_event_id(line + 3, (size_t)(line_end - line - 3));
		if (!next)
			break;
		line = next + 1;
	}
	return -1;
}

/* Returns the length of the first event including its blank line; 0: it is incomplete. */
static size_t event_bytes(const char *text, size_t len)
{
	for (size_t i = 1; i < len; i++) {
		if (text[i] != '\n')
			continue;
		if (text[i - 1] == '\n')
			return i + 1;
		if (i >= 3 && text[i - 1] == '\r' && text[i - 2] == '\n')
			return i + 1;
	}
	return 0;
}

static void forward_event(struct srv_req *r, const char *event, size_t len)
{
	int64_t id = srv_answer_event_id(event, len);

	if (id >= 0 && id <= r->last_event)
		return; /* the caller has received this event from a former attempt */
	if (id >= 0)
		r->last_event = id;
	srv_origin_note_event(r);
	http_server_write(r->http, event, len);
}

static void forward_events(struct srv_req *r, const void *data, size_t len)
{
	size_t offset = 0;
	size_t n;

	g_string_append_len(r->partial, data, (gssize)len);
	while ((n = event_bytes(r->partial->str + offset, r->partial->len - offset)) > 0) {
		forward_event(r, r->partial->str + offset, n);
		offset += n;
	}
	g_string_erase(r->partial, 0, (gssize)offset);
}

static void note_first_byte(struct srv_req *r)
{
	if (r->first_ms > 0)
		return;
	r->first_ms = clock_now_ms();
	srv_histogram_observe(&r->s->first_byte, r->first_ms - r->began_ms);
	if (r->chain) { /* the upstream has fetched the results: free them */
		srv_chain_release(r->s, r->chain);
		r->chain = 0;
	}
}

static void note_tail(struct srv_req *r, const char *data, size_t len)
{
	if (len > EVENT_END_BYTES_MAX) {
		data += len - EVENT_END_BYTES_MAX;
		len = EVENT_END_BYTES_MAX;
	}
	g_string_append_len(r->tail, data, (gssize)len);
	if (r->tail->len > EVENT_END_BYTES_MAX)
		g_string_erase(r->tail, 0, (gssize)(r->tail->len - EVENT_END_BYTES_MAX));
}

bool srv_attempt_is_cut(const struct srv_attempt *attempt)
{
	const struct srv_req *r = attempt->req;

	return r->winner == attempt && r->route->kind == PUB_KIND_STREAM &&
	       r->status < STATUS_REDIRECT && r->tail->len > 0 &&
	       !g_str_has_suffix(r->tail->str, "\n\n") && !g_str_has_suffix(r->tail->str, "\n\r\n");
}

static void forward_bytes(struct srv_req *r, const void *data, size_t len)
{
	srv_origin_note_event(r);
	http_server_write(r->http, data, len);
}

/* Returns false if an event is too long. */
static bool forward_data(struct srv_attempt *attempt, const void *data, size_t len)
{
	struct srv_req *r = attempt->req;

	if (r->route->resumable && r->partial->len + len > PARTIAL_BYTES_MAX)
		return false;
	if (r->route->resumable)
		forward_events(r, data, len);
	else
		forward_bytes(r, data, len);
	if (http_server_queued_bytes(r->http) > QUEUED_BYTES_MAX && !attempt->is_paused) {
		attempt->is_paused = true;
		http_client_pause(attempt->call, true);
	}
	return true;
}

void srv_attempt_note_good(struct srv_attempt *attempt)
{
	struct srv_req *r = attempt->req;

	if (attempt->is_good_noted || attempt->begun_ms == 0 || r->route->kind != PUB_KIND_STREAM ||
	    attempt->status >= 300)
		return;
	attempt->is_good_noted = true;
	srv_quarantine_note_good(r->s, &r->meta, attempt->begun_ms);
	srv_poison_note_good(attempt);
}

bool srv_attempt_handle_data(struct srv_attempt *attempt, const void *data, size_t len)
{
	struct srv_req *r = attempt->req;

	srv_attempt_note_data(attempt);
	if (attempt->begun_ms > 0 &&
	    attempt->last_data_ms - attempt->begun_ms > QUARANTINE_BEGIN_MS)
		srv_attempt_note_good(attempt);
	if (r->winner == attempt) {
		srv_attempt_note_progress(attempt);
		note_first_byte(r);
		note_tail(r, data, len);
		if (r->streaming)
			return forward_data(attempt, data, len);
	}
	attempt->n_bytes += len;
	if (r->winner != attempt && attempt->n_bytes > UNREAD_BYTES_MAX)
		return false;
	if (r->buffered != attempt)
		return true;
	g_byte_array_append(r->body, data, (guint)len);
	if (r->winner == attempt && r->body->len > BUFFERED_BYTES_MAX) {
		start_answer(attempt);
		http_server_write(r->http, r->body->data, r->body->len);
	}
	return true;
}

static void send_buffered(struct srv_req *r)
{
	http_server_respond(r->http, r->status, &r->head, r->body->data, r->body->len);
}

void srv_attempt_handle_end(struct srv_attempt *attempt)
{
	struct srv_req *r = attempt->req;

	note_first_byte(r);
	srv_origin_note_complete(r);
	srv_count(r->s, SRV_SERVED);
	srv_req_log(r, "served", r->status);
	if (r->streaming) {
		http_server_write(r->http, r->partial->str, r->partial->len);
		http_server_finish(r->http);
	} else {
		send_buffered(r);
	}
	srv_req_free(r);
}

bool srv_req_forward_failure(struct srv_req *r)
{
	if (!r->buffered || r->buffered->verdict != SRV_ATTEMPT_FAILED)
		return false;
	srv_count(r->s, SRV_FAILED);
	srv_req_set_reason(r, "the upstream reported a failure");
	srv_req_log(r, "failed", r->status);
	send_buffered(r);
	srv_req_free(r);
	return true;
}
