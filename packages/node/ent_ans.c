/* Answers to callers: errors, whole bodies and streams. */
#include "base/clock.h"
#include "ent_int.h"

#include <string.h>

#define ENT_BLOCK_BYTES 4096

#define FRESH_TICKET_HINT                                                                          \
	"if the old ticket was never sent before, nothing ran: send the request with this one"

/* A caller of a node that leaves is to connect elsewhere next time. */
static void add_connection(struct MHD_Response *response, const struct hrq *hrq)
{
	if (hrq->draining && g_atomic_int_get(hrq->draining))
		MHD_add_response_header(response, "Connection", "close");
}

/* Rounds up: a caller that comes back early is refused again. */
static void add_retry_after(struct MHD_Response *response, int64_t retry_after_ms)
{
	char text[24];

	if (retry_after_ms <= 0)
		return;
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
		   (retry_after_ms + CLOCK_MS_PER_S - 1) / CLOCK_MS_PER_S);
	MHD_add_response_header(response, "Retry-After", text);
}

enum MHD_Result ent_queue_error(struct MHD_Connection *conn, struct hrq *hrq)
{
	const struct err_info *info = err_info(hrq->code);
	json_t *json = json_pack("{s:{s:s, s:s, s:s, s:I}}", "error", "code", info->name, "outcome",
				 err_outcome_name(hrq->outcome), "request", hrq->text_id,
				 "retry_after_ms", (json_int_t)hrq->retry_after_ms);
	char *text;
	struct MHD_Response *response;
	enum MHD_Result rc;

	if (hrq->ticket[0])
		json_object_set_new(json_object_get(json, "error"), "ticket",
				    json_string(hrq->ticket));
	if (hrq->ticket[0] && hrq->outcome == ERR_OUTCOME_UNKNOWN)
		json_object_set_new(json_object_get(json, "error"), "hint",
				    json_string(FRESH_TICKET_HINT));
	text = json_dumps(json, JSON_COMPACT);
	response = MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", "application/json");
	MHD_add_response_header(response, HEADER_REQUEST, hrq->text_id);
	MHD_add_response_header(response, HEADER_OUTCOME, err_outcome_name(hrq->outcome));
	if (hrq->ticket[0])
		MHD_add_response_header(response, HEADER_TICKET, hrq->ticket);
	add_retry_after(response, hrq->retry_after_ms);
	add_connection(response, hrq);
	rc = MHD_queue_response(conn, (unsigned)info->http_status, response);
	MHD_destroy_response(response);
	json_decref(json);
	hrq->answered = true;
	return rc;
}

enum MHD_Result ent_queue_answer(struct MHD_Connection *conn, struct hrq *hrq)
{
	gsize len = 0;
	const void *data = hrq->answer ? g_bytes_get_data(hrq->answer, &len) : "";
	struct MHD_Response *response =
		MHD_create_response_from_buffer(len, (void *)data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	MHD_add_response_header(response, HEADER_REQUEST, hrq->text_id);
	MHD_add_response_header(response, HEADER_OUTCOME, err_outcome_name(ERR_OUTCOME_COMPLETE));
	add_connection(response, hrq);
	rc = MHD_queue_response(conn, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	hrq->answered = true;
	return rc;
}

/* Hands the next bytes of a stream to the listener; suspends while there are none. */
static ssize_t read_stream(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct hrq *hrq = arg;
	GByteArray *out;
	ssize_t n = 0;

	pthread_mutex_lock(&hrq->lock);
	out = hrq->streamed->out;
	if (out->len > 0) {
		n = (ssize_t)MIN(out->len, max);
		memcpy(buf, out->data, (size_t)n);
		g_byte_array_remove_range(out, 0, (guint)n);
		pthread_cond_broadcast(&hrq->room);
	} else if (hrq->stream_end) {
		n = MHD_CONTENT_READER_END_OF_STREAM;
	} else if (hrq->stream_cut) {
		n = MHD_CONTENT_READER_END_WITH_ERROR;
	} else {
		hrq->suspended = true;
		MHD_suspend_connection(hrq->conn);
	}
	pthread_mutex_unlock(&hrq->lock);
	return n;
}

static void release_stream(void *arg)
{
	hrq_unref(arg);
}

static enum MHD_Result queue_stream(struct MHD_Connection *conn, struct hrq *hrq)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, ENT_BLOCK_BYTES, read_stream, hrq_ref(hrq), release_stream);
	enum MHD_Result rc;

	MHD_add_response_header(response, HEADER_REQUEST, hrq->text_id);
	/* holds only with the chunk terminator: a cut stream never sends it */
	MHD_add_response_header(response, HEADER_OUTCOME, err_outcome_name(ERR_OUTCOME_COMPLETE));
	add_connection(response, hrq);
	rc = MHD_queue_response(conn, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	hrq->answered = true;
	return rc;
}

enum MHD_Result ent_queue_result(struct MHD_Connection *conn, struct hrq *hrq)
{
	enum MHD_Result rc = MHD_YES;

	pthread_mutex_lock(&hrq->lock);
	if (hrq->answered)
		rc = MHD_YES;
	else if (hrq->state == HRQ_STREAM)
		rc = queue_stream(conn, hrq);
	else if (hrq->state == HRQ_DONE && hrq->outcome == ERR_OUTCOME_COMPLETE)
		rc = ent_queue_answer(conn, hrq);
	else if (hrq->state == HRQ_DONE)
		rc = ent_queue_error(conn, hrq);
	pthread_mutex_unlock(&hrq->lock);
	return rc;
}
