/*
 * The way back: an upstream's answer to the caller, unchanged. Short answers are kept back until
 * they are whole, so that a broken one reaches nobody; streams are passed on as they come, those
 * that may be resumed in whole events.
 */
#include "req_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define KEPT_BYTES_MAX (256 * 1024)	/* a longer answer is passed on as it comes */
#define QUEUED_BYTES_MAX (256 * 1024)	/* towards a caller that reads slowly, before we pause */
#define PARTIAL_BYTES_MAX (1024 * 1024) /* of one event */

static enum leg_verdict judge(const struct http_client_head *head, const struct adp_answer *answer)
{
	if (head->status == 421 || answer->not_run)
		return LEG_NOT_RUN;
	if (head->status >= 500)
		return answer->is_signed ? LEG_FAILED : LEG_GARBLED;
	if (head->status < 300 && !answer->is_signed)
		return LEG_GARBLED;
	return LEG_GOOD;
}

static void keep_head(struct leg *leg, const struct http_client_head *head)
{
	struct req *r = leg->req;

	hdr_clear(&r->head);
	g_byte_array_set_size(r->body, 0);
	r->s->adp->upstream->backward(&head->headers, &r->head);
	r->status = head->status;
	r->length_bytes = head->until_close ? HTTP_SERVER_UNTIL_CLOSE : head->length_bytes;
	r->kept = leg;
}

static void begin(struct leg *leg)
{
	struct req *r = leg->req;

	r->begun = true;
	r->streaming = true;
	http_server_begin(r->http, r->status, &r->head, r->length_bytes);
}

static void win(struct leg *leg, const struct http_client_head *head)
{
	struct req *r = leg->req;

	r->winner = leg;
	for (uint32_t i = 0; i < r->n_legs; i++) {
		if (&r->legs[i] != leg)
			req_leg_cancel(&r->legs[i]);
	}
	if (r->begun)
		return; /* resumed: head and signature stay those of the first upstream */
	keep_head(leg, head);
	if ((r->route->kind == PUB_KIND_STREAM && head->status < 300) ||
	    head->length_bytes > KEPT_BYTES_MAX)
		begin(leg);
}

bool req_take_head(struct leg *leg, const struct http_client_head *head)
{
	struct req *r = leg->req;
	struct adp_answer answer;

	r->s->adp->upstream->read_answer(&head->headers, &answer);
	if (answer.attempt && strcmp(answer.attempt, r->ask.attempt) != 0) {
		log_warn("answer_of_another", "{s:s, s:s, s:s}", "request", r->ask.attempt,
			 "upstream", leg->upstream->id, "belongs_to", answer.attempt);
		return false;
	}
	leg->heard_ms = clock_now_ms();
	leg->status = head->status;
	leg->wrong = head->status == 421;
	leg->verdict = judge(head, &answer);
	leg->lacks_inputs = head->status == 409 && leg->verdict == LEG_NOT_RUN;
	if (leg->verdict == LEG_GOOD && !answer.attempt)
		leg->verdict = LEG_GARBLED;
	if (leg->verdict == LEG_GOOD)
		win(leg, head);
	else if (leg->verdict == LEG_FAILED && !r->winner)
		keep_head(leg, head);
	if (leg->call)
		req_arm(r);
	return true;
}

/* The id of an event, or -1. */
static int64_t event_id(const char *event, size_t len)
{
	const char *end = event + len;

	for (const char *line = event; line < end;) {
		const char *next = memchr(line, '\n', (size_t)(end - line));
		if (end - line > 3 && strncmp(line, "id:", 3) == 0)
			return strtoll(line + 3, NULL, 10);
		if (!next)
			break;
		line = next + 1;
	}
	return -1;
}

/* Length of the first whole event, its blank line included; 0: none is whole yet. */
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

static void pass_event(struct req *r, const char *event, size_t len)
{
	int64_t id = event_id(event, len);

	if (id >= 0 && id <= r->last_event)
		return; /* the caller has it already */
	if (id >= 0)
		r->last_event = id;
	http_server_write(r->http, event, len);
}

static void pass_events(struct req *r, const void *data, size_t len)
{
	size_t at = 0;
	size_t n;

	g_string_append_len(r->partial, data, (gssize)len);
	while ((n = event_bytes(r->partial->str + at, r->partial->len - at)) > 0) {
		pass_event(r, r->partial->str + at, n);
		at += n;
	}
	g_string_erase(r->partial, 0, (gssize)at);
}

static void note_first(struct req *r)
{
	if (r->first_ms > 0)
		return;
	r->first_ms = clock_now_ms();
	srv_observe(&r->s->first_byte, r->first_ms - r->began_ms);
	if (r->chain) { /* the engine has fetched its inputs */
		srv_chain_end(r->s, r->chain);
		r->chain = 0;
	}
}

static void pass_on(struct leg *leg, const void *data, size_t len)
{
	struct req *r = leg->req;

	if (r->route->resumable && r->partial->len + len <= PARTIAL_BYTES_MAX)
		pass_events(r, data, len);
	else
		http_server_write(r->http, data, len);
	if (http_server_queued_bytes(r->http) > QUEUED_BYTES_MAX && !leg->paused) {
		leg->paused = true;
		http_client_pause(leg->call, true);
	}
}

void req_take_data(struct leg *leg, const void *data, size_t len)
{
	struct req *r = leg->req;

	leg->heard_ms = clock_now_ms();
	if (r->winner == leg) {
		note_first(r);
		if (r->streaming) {
			pass_on(leg, data, len);
			return;
		}
	}
	if (r->kept != leg)
		return;
	g_byte_array_append(r->body, data, (guint)len);
	if (r->winner == leg && r->body->len > KEPT_BYTES_MAX) {
		begin(leg);
		http_server_write(r->http, r->body->data, r->body->len);
	}
}

/* The answer that was kept back until it was whole. */
static void answer_kept(struct req *r)
{
	int64_t length_bytes = r->length_bytes == HTTP_SERVER_UNTIL_CLOSE ? HTTP_SERVER_UNTIL_CLOSE
									  : (int64_t)r->body->len;

	http_server_begin(r->http, r->status, &r->head, length_bytes);
	http_server_write(r->http, r->body->data, r->body->len);
	http_server_finish(r->http);
}

void req_take_whole(struct leg *leg)
{
	struct req *r = leg->req;

	note_first(r);
	srv_count(r->s, SRV_SERVED);
	req_log(r, "served", r->status);
	if (r->streaming) {
		http_server_write(r->http, r->partial->str, r->partial->len);
		http_server_finish(r->http);
	} else {
		answer_kept(r);
	}
	req_free(r);
}

bool req_pass_failure(struct req *r)
{
	if (!r->kept || r->kept->verdict != LEG_FAILED)
		return false;
	srv_count(r->s, SRV_FAILED);
	req_set_reason(r, "the upstream failed it");
	req_log(r, "failed", r->status);
	answer_kept(r);
	req_free(r);
	return true;
}
