/* Calls to upstreams: one attempt of a stage, and the cancel of one. */
#include "base/clock.h"
#include "base/counter.h"
#include "node/nod.h"

#include <string.h>

#define UPS_STREAM_BYTES_MAX (64 * 1024) /* kept for a slow caller before the worker waits */
#define UPS_ANSWER_BYTES_MAX (8 * 1024 * 1024)
#define UPS_CANCEL_MS 1000
#define UPS_PATH_BYTES 128

struct reader {
	struct ups_attempt *att;
	struct hrq_attempt *record;
	bool began;
	int head_code; /* why the answer's head was refused */
	uint64_t bytes;
};

static void post_first_byte(struct ups_attempt *att)
{
	const struct dec_event ev = {
		.type = DEC_EV_FIRST_BYTE,
		.u.attempt = {.req = att->cmd.req,
			      .stage = att->cmd.stage,
			      .attempt = att->cmd.attempt},
	};

	nod_event(att->node, &ev);
}

/* Waits while the caller of a stream takes nothing; false when it is gone. */
static bool wait_for_room(struct hrq *hrq, const struct hrq_attempt *record)
{
	while (record == hrq->streamed && record->out->len > UPS_STREAM_BYTES_MAX && !hrq->gone &&
	       !hrq->stream_cut)
		pthread_cond_wait(&hrq->room, &hrq->lock);
	return !(record == hrq->streamed && (hrq->gone || hrq->stream_cut));
}

static bool take_block(void *arg, const char *data, size_t len)
{
	struct reader *reader = arg;
	struct hrq *hrq = reader->att->hrq;
	bool go_on;

	pthread_mutex_lock(&hrq->lock);
	g_byte_array_append(reader->record->out, (const guint8 *)data, (guint)len);
	reader->bytes += len;
	if (reader->record == hrq->streamed)
		hrq_wake(hrq);
	go_on = wait_for_room(hrq, reader->record) &&
		reader->att->cmd.offset + reader->bytes <= UPS_ANSWER_BYTES_MAX;
	pthread_mutex_unlock(&hrq->lock);
	if (!reader->began && reader->att->cmd.stream)
		post_first_byte(reader->att);
	reader->began = true;
	return go_on;
}

static void fill_call(struct fetch_request *call, const struct ups_attempt *att, const char *path,
		      char texts[4][24])
{
	g_snprintf(texts[0], 24, "%u", att->hrq->first_attempt + att->cmd.attempt);
	g_snprintf(texts[1], 24, "%" G_GINT64_FORMAT, att->cmd.rank);
	g_snprintf(texts[2], 24, "%" G_GINT64_FORMAT, att->cmd.timeout_ms);
	call->method = "POST";
	call->address = att->cmd.address;
	call->path = path;
	call->headers[0] = (struct fetch_header){"Currantscale-Request", att->hrq->text_id};
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

/* True when the answer goes on where the attempts before it ended. */
static bool resumes_at(const struct fetch_response *answer, uint64_t offset)
{
	guint64 at = 0;

	if (answer->headers[1] &&
	    !g_ascii_string_to_unsigned(answer->headers[1], 10, 0, G_MAXUINT64, &at, NULL))
		return false;
	return at == offset;
}

/* Asked before the first byte of the answer is taken: none of a wrong one may be passed on. */
static bool take_head(void *arg, const struct fetch_response *answer)
{
	struct reader *reader = arg;
	const struct ups_attempt *att = reader->att;

	if (answer->status != 200)
		return true;
	/* an answer that belongs to another request must never reach this one */
	if (!answer->headers[0] || strcmp(answer->headers[0], att->hrq->text_id) != 0)
		reader->head_code = ERR_PROTOCOL;
	else if (!resumes_at(answer, att->cmd.offset))
		reader->head_code = ERR_NO_RESUME;
	return reader->head_code == ERR_NONE;
}

/* What an upstream's answer means; *sent turns false when it says that nothing ran. */
static int judge(const struct fetch_response *answer, bool ok, const GError *error,
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

static void post_result(struct ups_attempt *att, const struct reader *reader, int code, bool sent,
			int64_t latency_us)
{
	GBytes *body = NULL;

	pthread_mutex_lock(&att->hrq->lock);
	reader->record->ended = true;
	if (code == ERR_NONE && att->cmd.keep_body)
		body = g_bytes_new(reader->record->out->data, reader->record->out->len);
	pthread_mutex_unlock(&att->hrq->lock);
	const struct dec_event ev = {
		.type = DEC_EV_RESULT,
		.u.attempt = {.req = att->cmd.req,
			      .stage = att->cmd.stage,
			      .attempt = att->cmd.attempt,
			      .code = code,
			      .sent = sent,
			      .latency_us = latency_us,
			      .bytes = reader->bytes,
			      .body = body},
	};
	nod_event(att->node, &ev);
	if (body)
		g_bytes_unref(body);
}

static void free_attempt(struct ups_attempt *att)
{
	hrq_unref(att->hrq);
	g_free(att);
}

static bool may_send(void *arg)
{
	const struct ups_attempt *att = arg;
	bool ok;

	pthread_mutex_lock(&att->node->lock);
	ok = dec_may_send(att->node->dec, clock_now_ms(), att->cmd.req, att->cmd.stage,
			  att->cmd.attempt);
	pthread_mutex_unlock(&att->node->lock);
	return ok;
}

void ups_send(void *arg)
{
	struct ups_attempt *att = arg;
	struct reader reader = {.att = att};
	struct fetch_request call = {
		.on_head = take_head,
		.on_head_arg = &reader,
		.on_block = take_block,
		.on_block_arg = &reader,
		.may_send = may_send,
		.may_send_arg = att,
	};
	struct fetch_response answer;
	GError *error = NULL;
	char path[UPS_PATH_BYTES];
	char texts[4][24];
	int64_t began_us = clock_now_us();

	pthread_mutex_lock(&att->hrq->lock);
	reader.record = hrq_attempt(att->hrq, att->cmd.stage, att->cmd.attempt);
	pthread_mutex_unlock(&att->hrq->lock);
	GBytes *input = hrq_wait_input(att->hrq, att->cmd.stage);
	g_snprintf(path, sizeof(path), "/v1/run/%s", att->cmd.call);
	fill_call(&call, att, path, texts);
	call.body = g_bytes_get_data(input, &call.body_len);
	if (!call.body)
		call.body = "";
	call.want_headers[0] = "Currantscale-Request";
	call.want_headers[1] = "Currantscale-Offset";
	bool ok = fetch_perform(att->node->http, &call, &answer, &error);
	if (att->cmd.crosses && answer.sent)
		counter_add(COUNTER_CROSS_BYTES, call.body_len + reader.bytes);
	bool sent = answer.sent;
	int code = judge(&answer, ok, error, &reader, &sent);
	post_result(att, &reader, code, sent, clock_now_us() - began_us);
	fetch_response_clear(&answer);
	g_clear_error(&error);
	g_bytes_unref(input);
	free_attempt(att);
}

void ups_cancel(void *arg)
{
	struct ups_attempt *att = arg;
	struct fetch_request call = {0};
	struct fetch_response answer;
	char texts[4][24];

	fill_call(&call, att, "/v1/cancel", texts);
	call.timeout_ms = UPS_CANCEL_MS;
	call.idempotent = true;
	call.body = "";
	fetch_perform(att->node->http, &call, &answer, NULL);
	fetch_response_clear(&answer);
	free_attempt(att);
}
