/* Responses to callers: errors, whole bodies and streams. */
#include "base/clock.h"
#include "entry_int.h"

#include <string.h>

#define ENTRY_BLOCK_BYTES 4096

#define FRESH_TICKET_HINT                                                                          \
	"if the previous ticket was sent only once, nothing ran: resend the request with this "    \
	"ticket"

/* Closes the connection if the node is draining, so that the caller connects to another one. */
static void add_connection_close(struct MHD_Response *response, const struct httpreq *httpreq)
{
	if (httpreq->draining && g_atomic_int_get(httpreq->draining))
		MHD_add_response_header(response, "Connection", "close");
}

/* Rounds up, since a caller that retries early is refused again. */
static void add_retry_after(struct MHD_Response *response, int64_t retry_after_ms)
{
	char text[24];

	if (retry_after_ms <= 0)
		return;
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
		   (retry_after_ms + CLOCK_MS_PER_S - 1) / CLOCK_MS_PER_S);
	MHD_add_response_header(response, "Retry-After", text);
}

enum MHD_Result entry_queue_error(struct MHD_Connection *conn, struct httpreq *httpreq)
{
	const struct err_info *info = err_info(httpreq->code);
	json_t *json = json_pack("{s:{s:s, s:s, s:s, s:I}}", "error", "code", info->name, "outcome",
				 err_outcome_name(httpreq->outcome), "request", httpreq->text_id,
				 "retry_after_ms", (json_int_t)httpreq->retry_after_ms);
	char *text;
	struct MHD_Response *response;
	enum MHD_Result rc;

	if (httpreq->ticket[0])
		json_object_set_new(json_object_get(json, "error"), "ticket",
				    json_string(httpreq->ticket));
	if (httpreq->ticket[0] && httpreq->outcome == ERR_OUTCOME_UNKNOWN)
		json_object_set_new(json_object_get(json, "error"), "hint",
				    json_string(FRESH_TICKET_HINT));
	text = json_dumps(json, JSON_COMPACT);
	response = MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", "application/json");
	MHD_add_response_header(response, HEADER_REQUEST, httpreq->text_id);
	MHD_add_response_header(response, HEADER_OUTCOME, err_outcome_name(httpreq->outcome));
	if (httpreq->ticket[0])
		MHD_add_response_header(response, HEADER_TICKET, httpreq->ticket);
	add_retry_after(response, httpreq->retry_after_ms);
	add_connection_close(response, httpreq);
	rc = MHD_queue_response(conn, (unsigned)info->http_status, response);
	MHD_destroy_response(response);
	json_decref(json);
	httpreq->answered = true;
	return rc;
}

enum MHD_Result entry_queue_answer(struct MHD_Connection *conn, struct httpreq *httpreq)
{
	gsize len = 0;
	const void *data = httpreq->answer ? g_bytes_get_data(httpreq->answer, &len) : "";
	struct MHD_Response *response =
		MHD_create_response_from_buffer(len, (void *)data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	MHD_add_response_header(response, HEADER_REQUEST, httpreq->text_id);
	MHD_add_response_header(response, HEADER_OUTCOME, err_outcome_name(ERR_OUTCOME_COMPLETE));
	add_connection_close(response, httpreq);
	rc = MHD_queue_response(conn, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	httpreq->answered = true;
	return rc;
}

/* Reads the next bytes of a stream; suspends the connection if there are none. */
static ssize_t read_stream(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct httpreq *httpreq = arg;
	GByteArray *out;
	ssize_t n = 0;

	pthread_mutex_lock(&httpreq->lock);
	out = httpreq->streamed->out;
	if (out->len > 0) {
		n = (ssize_t)MIN(out->len, max);
		memcpy(buf, out->data, (size_t)n);
		g_byte_array_remove_range(out, 0, (guint)n);
		pthread_cond_broadcast(&httpreq->changed);
	} else if (httpreq->stream_end) {
		n = MHD_CONTENT_READER_END_OF_STREAM;
	} else if (httpreq->stream_cut) {
		n = MHD_CONTENT_READER_END_WITH_ERROR;
	} else {
		httpreq->suspended = true;
		MHD_suspend_connection(httpreq->conn);
	}
	pthread_mutex_unlock(&httpreq->lock);
	return n;
}

static void unref_stream(void *arg)
{
	httpreq_unref(arg);
}

static enum MHD_Result queue_stream(struct MHD_Connection *conn, struct httpreq *httpreq)
{
	struct MHD_Response *response =
		MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, ENTRY_BLOCK_BYTES, read_stream,
						  httpreq_ref(httpreq), unref_stream);
	enum MHD_Result rc;

	MHD_add_response_header(response, HEADER_REQUEST, httpreq->text_id);
	/* valid only with the final chunk, which a cut stream never sends */
	MHD_add_response_header(response, HEADER_OUTCOME, err_outcome_name(ERR_OUTCOME_COMPLETE));
	add_connection_close(response, httpreq);
	rc = MHD_queue_response(conn, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	httpreq->answered = true;
	return rc;
}

enum MHD_Result entry_queue_result(struct MHD_Connection *conn, struct httpreq *httpreq)
{
	enum MHD_Result rc = MHD_YES;

	pthread_mutex_lock(&httpreq->lock);
	if (httpreq->answered)
		rc = MHD_YES;
	else if (httpreq->state == HTTPREQ_STREAMING)
		rc = queue_stream(conn, httpreq);
	else if (httpreq->state == HTTPREQ_DONE && httpreq->outcome == ERR_OUTCOME_COMPLETE)
		rc = entry_queue_answer(conn, httpreq);
	else if (httpreq->state == HTTPREQ_DONE)
		rc = entry_queue_error(conn, httpreq);
	pthread_mutex_unlock(&httpreq->lock);
	return rc;
}
