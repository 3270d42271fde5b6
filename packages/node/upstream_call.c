/* Calls to upstreams: sends and cancels attempts of a stage. */
#include "base/clock.h"
#include "base/counter.h"
#include "node/node.h"

#include <string.h>

#define UPSTREAM_CALL_STREAM_BUFFER_BYTES (64 * 1024) /* above it, the worker waits */
#define UPSTREAM_CALL_ANSWER_BYTES_MAX (8 * 1024 * 1024)
#define UPSTREAM_CALL_CANCEL_TIMEOUT_MS 1000
#define UPSTREAM_CALL_PATH_BYTES 128

struct reader {
	struct upstream_call_attempt *att;
	struct httpreq_attempt *record;
	bool started;
	int head_code;	/* enum err_code of a wrong answer head, or ERR_NONE */
	uint64_t bytes; /* number of body bytes read so far */
};

static void post_first_byte(struct upstream_call_attempt *att)
{
	const struct core_event ev = {
		.type = CORE_EV_FIRST_BYTE,
		.u.attempt = {.req = att->cmd.req,
			      .stage = att->cmd.stage,
			      .attempt = att->cmd.attempt},
	};

	node_handle_event(att->node, &ev);
}

/* Waits while the buffer of a stream is full; false if the caller left or the stream failed. */
static bool wait_for_room(struct httpreq *httpreq, const struct httpreq_attempt *record)
{
	while (record == httpreq->streamed &&
	       record->out->len > UPSTREAM_CALL_STREAM_BUFFER_BYTES && !httpreq->disconnected &&
	       !httpreq->stream_cut)
		pthread_cond_wait(&httpreq->changed, &httpreq->lock);
	return !(record == httpreq->streamed && (httpreq->disconnected || httpreq->stream_cut));
}

static bool append_block(void *arg, const char *data, size_t len)
{
	struct reader *reader = arg;
	struct httpreq *httpreq = reader->att->httpreq;
	bool proceed;

	pthread_mutex_lock(&httpreq->lock);
	g_byte_array_append(reader->record->out, (const guint8 *)data, (guint)len);
	reader->bytes += len;
	if (reader->record == httpreq->streamed)
		httpreq_wake(httpreq);
	proceed = wait_for_room(httpreq, reader->record) &&
		  reader->att->cmd.offset + reader->bytes <= UPSTREAM_CALL_ANSWER_BYTES_MAX;
	pthread_mutex_unlock(&httpreq->lock);
	if (!reader->started && reader->att->cmd.stream)
		post_first_byte(reader->att);
	reader->started = true;
	return proceed;
}

static void fill_call(struct fetch_request *call, const struct upstream_call_attempt *att,
		      const char *path, char texts[4][24])
{
	g_snprintf(texts[0], 24, "%u", att->httpreq->first_attempt + att->cmd.attempt);
	g_snprintf(texts[1], 24, "%" G_GINT64_FORMAT, att->cmd.rank);
	g_snprintf(texts[2], 24, "%" G_GINT64_FORMAT, att->cmd.timeout_ms);
	call->method = "POST";
	call->address = att->cmd.address;
	call->path = path;
	call->headers[0] = (struct fetch_header){"Currantscale-Request", att->httpreq->text_id};
	call->headers[1] = (struct fetch_header){"Currantscale-Attempt", texts[0]};
	call->headers[2] = (struct fetch_header){"Currantscale-Priority", texts[1]};
	call->headers[3] = (struct fetch_header){"Currantscale-Deadline-Ms", texts[2]};
	call->n_headers = 4;
	if (att->cmd.offset > 0) {
		g_snprintf(texts[3], 24, "%" G_GUINT64_FORMAT, att->cmd.offset);
		call->headers[call->n_headers++] =
			(struct fetch_header){"Currantscale-Offset", texts[3]};
	}
	call->timeout_ms = att->cmd.timeout_ms;
	call->idempotent = att->cmd.idempotent;
}

/* True if the answer continues at the offset that earlier attempts reached. */
static bool resumes_at_offset(const struct fetch_response *answer, uint64_t offset)
{
	guint64 at = 0;

	if (answer->headers[1] &&
	    !g_ascii_string_to_unsigned(answer->headers[1], 10, 0, G_MAXUINT64, &at, NULL))
		return false;
	return at == offset;
}

/*
 * Checks an answer before its body is read, since no byte of a wrong answer may reach the caller;
 * false if it is wrong.
 */
static bool check_head(void *arg, const struct fetch_response *answer)
{
	struct reader *reader = arg;
	const struct upstream_call_attempt *att = reader->att;

	if (answer->status != 200)
		return true;
	/* the answer to another request must never reach this one */
	if (!answer->headers[0] || strcmp(answer->headers[0], att->httpreq->text_id) != 0)
		reader->head_code = ERR_PROTOCOL;
	else if (!resumes_at_offset(answer, att->cmd.offset))
		reader->head_code = ERR_NO_RESUME;
	return reader->head_code == ERR_NONE;
}

/* Returns the error code for an upstream's answer; clears *sent if the upstream ran nothing. */
static int classify_result(const struct fetch_response *answer, bool ok, const GError *error,
			   const struct reader *reader, bool *sent)
{
	if (reader->head_code != ERR_NONE)
		return reader->head_code;
	if (!ok)
		return error->code == ERR_IO && answer->status ? ERR_STREAM_CUT : error->code;
	if (answer->status == 429 || answer->status == 503) {
		*sent = false;
		return ERR_UPSTREAM_REFUSED;
	}
	return answer->status == 200 ? ERR_NONE : ERR_UPSTREAM_BROKEN;
}

static void post_result(struct upstream_call_attempt *att, const struct reader *reader, int code,
			bool sent, int64_t latency_us)
{
	GBytes *body = NULL;

	pthread_mutex_lock(&att->httpreq->lock);
	reader->record->ended = true;
	if (code == ERR_NONE && att->cmd.keep_body)
		body = g_bytes_new(reader->record->out->data, reader->record->out->len);
	pthread_mutex_unlock(&att->httpreq->lock);
	const struct core_event ev = {
		.type = CORE_EV_RESULT,
		.u.attempt = {.req = att->cmd.req,
			      .stage = att->cmd.stage,
			      .attempt = att->cmd.attempt,
			      .code = code,
			      .sent = sent,
			      .latency_us = latency_us,
			      .bytes = reader->bytes,
			      .body = body},
	};
	node_handle_event(att->node, &ev);
	if (body)
		g_bytes_unref(body);
}

static void free_attempt(struct upstream_call_attempt *att)
{
	httpreq_unref(att->httpreq);
	g_free(att);
}

static bool may_send(void *arg)
{
	const struct upstream_call_attempt *att = arg;
	bool ok;

	pthread_mutex_lock(&att->node->lock);
	ok = core_may_send(att->node->core_state, clock_now_ms(), att->cmd.req, att->cmd.stage,
			   att->cmd.attempt);
	pthread_mutex_unlock(&att->node->lock);
	return ok;
}

void upstream_call_send(void *arg)
{
	struct upstream_call_attempt *att = arg;
	struct reader reader = {.att = att};
	struct fetch_request call = {
		.on_head = check_head,
		.on_head_arg = &reader,
		.on_block = append_block,
		.on_block_arg = &reader,
		.may_send = may_send,
		.may_send_arg = att,
	};
	struct fetch_response answer;
	GError *error = NULL;
	char path[UPSTREAM_CALL_PATH_BYTES];
	char texts[4][24];
	int64_t began_us = clock_now_us();

	pthread_mutex_lock(&att->httpreq->lock);
	reader.record = httpreq_attempt(att->httpreq, att->cmd.stage, att->cmd.attempt);
	pthread_mutex_unlock(&att->httpreq->lock);
	GBytes *input = httpreq_wait_input(att->httpreq, att->cmd.stage);
	g_snprintf(path, sizeof(path), "/v1/run/%s", att->cmd.call);
	fill_call(&call, att, path, texts);
	call.body = g_bytes_get_data(input, &call.body_len);
	if (!call.body)
		call.body = "";
	call.want_headers[0] = "Currantscale-Request";
	call.want_headers[1] = "Currantscale-Offset";
	bool ok = fetch_perform(att->node->http, &call, &answer, &error);
	if (att->cmd.cross_region && answer.sent)
		counter_add(COUNTER_CROSS_BYTES, call.body_len + reader.bytes);
	bool sent = answer.sent;
	int code = classify_result(&answer, ok, error, &reader, &sent);
	post_result(att, &reader, code, sent, clock_now_us() - began_us);
	fetch_response_clear(&answer);
	g_clear_error(&error);
	g_bytes_unref(input);
	free_attempt(att);
}

void upstream_call_cancel(void *arg)
{
	struct upstream_call_attempt *att = arg;
	struct fetch_request call = {0};
	struct fetch_response answer;
	char texts[4][24];

	fill_call(&call, att, "/v1/cancel", texts);
	call.timeout_ms = UPSTREAM_CALL_CANCEL_TIMEOUT_MS;
	call.idempotent = true;
	call.body = "";
	fetch_perform(att->node->http, &call, &answer, NULL);
	fetch_response_clear(&answer);
	free_attempt(att);
}
