#include "node/httpreq.h"

static void free_attempt(gpointer data)
{
	struct httpreq_attempt *attempt = data;

	g_byte_array_unref(attempt->out);
	g_free(attempt);
}

struct httpreq *httpreq_new(uint64_t id, const char *vm, uint64_t incarnation)
{
	struct httpreq *httpreq = g_new0(struct httpreq, 1);

	httpreq->refs = 1;
	httpreq->id = id;
	g_snprintf(httpreq->text_id, sizeof(httpreq->text_id),
		   "%s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT, vm, incarnation, id);
	pthread_mutex_init(&httpreq->lock, NULL);
	pthread_cond_init(&httpreq->changed, NULL);
	httpreq->body = g_byte_array_new();
	httpreq->attempts = g_ptr_array_new_with_free_func(free_attempt);
	return httpreq;
}

struct httpreq *httpreq_ref(struct httpreq *httpreq)
{
	g_atomic_int_inc(&httpreq->refs);
	return httpreq;
}

void httpreq_unref(struct httpreq *httpreq)
{
	if (!g_atomic_int_dec_and_test(&httpreq->refs))
		return;
	g_byte_array_unref(httpreq->body);
	g_ptr_array_unref(httpreq->attempts);
	if (httpreq->input)
		g_bytes_unref(httpreq->input);
	if (httpreq->answer)
		g_bytes_unref(httpreq->answer);
	g_free(httpreq->target);
	g_free(httpreq->account);
	pthread_cond_destroy(&httpreq->changed);
	pthread_mutex_destroy(&httpreq->lock);
	g_free(httpreq);
}

void httpreq_set_input(struct httpreq *httpreq, uint32_t stage, GBytes *input)
{
	pthread_mutex_lock(&httpreq->lock);
	if (httpreq->input)
		g_bytes_unref(httpreq->input);
	httpreq->input = g_bytes_ref(input);
	httpreq->input_stage = stage;
	pthread_cond_broadcast(&httpreq->changed);
	pthread_mutex_unlock(&httpreq->lock);
}

GBytes *httpreq_wait_input(struct httpreq *httpreq, uint32_t stage)
{
	GBytes *input;

	pthread_mutex_lock(&httpreq->lock);
	while (httpreq->input_stage < stage && !httpreq->finished)
		pthread_cond_wait(&httpreq->changed, &httpreq->lock);
	input = g_bytes_ref(httpreq->input);
	pthread_mutex_unlock(&httpreq->lock);
	return input;
}

void httpreq_set_ended(struct httpreq *httpreq)
{
	pthread_mutex_lock(&httpreq->lock);
	httpreq->finished = true;
	pthread_cond_broadcast(&httpreq->changed);
	pthread_mutex_unlock(&httpreq->lock);
}

void httpreq_resume_stream(struct httpreq *httpreq, uint32_t stage, uint32_t attempt)
{
	struct httpreq_attempt *next;
	struct httpreq_attempt *previous;

	pthread_mutex_lock(&httpreq->lock);
	next = httpreq_attempt(httpreq, stage, attempt);
	previous = httpreq->streamed;
	if (previous && previous != next) {
		g_byte_array_append(next->out, previous->out->data, previous->out->len);
		g_byte_array_set_size(previous->out, 0);
		httpreq->streamed = next;
	}
	pthread_mutex_unlock(&httpreq->lock);
}

void httpreq_wake(struct httpreq *httpreq)
{
	if (!httpreq->suspended || !httpreq->conn)
		return;
	httpreq->suspended = false;
	MHD_resume_connection(httpreq->conn);
}

struct httpreq_attempt *httpreq_attempt(struct httpreq *httpreq, uint32_t stage, uint32_t attempt)
{
	struct httpreq_attempt *record;

	for (guint i = 0; i < httpreq->attempts->len; i++) {
		record = g_ptr_array_index(httpreq->attempts, i);
		if (record->stage == stage && record->attempt == attempt)
			return record;
	}
	record = g_new0(struct httpreq_attempt, 1);
	record->stage = stage;
	record->attempt = attempt;
	record->out = g_byte_array_new();
	g_ptr_array_add(httpreq->attempts, record);
	return record;
}
