#include "node/hrq.h"

static void free_attempt(gpointer data)
{
	struct hrq_attempt *attempt = data;

	g_byte_array_unref(attempt->out);
	g_free(attempt);
}

struct hrq *hrq_new(uint64_t id, const char *vm, uint64_t incarnation)
{
	struct hrq *hrq = g_new0(struct hrq, 1);

	hrq->refs = 1;
	hrq->id = id;
	g_snprintf(hrq->text_id, sizeof(hrq->text_id),
		   "%s-%" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT, vm, incarnation, id);
	pthread_mutex_init(&hrq->lock, NULL);
	pthread_cond_init(&hrq->room, NULL);
	hrq->body = g_byte_array_new();
	hrq->attempts = g_ptr_array_new_with_free_func(free_attempt);
	return hrq;
}

struct hrq *hrq_ref(struct hrq *hrq)
{
	g_atomic_int_inc(&hrq->refs);
	return hrq;
}

void hrq_unref(struct hrq *hrq)
{
	if (!g_atomic_int_dec_and_test(&hrq->refs))
		return;
	g_byte_array_unref(hrq->body);
	g_ptr_array_unref(hrq->attempts);
	if (hrq->input)
		g_bytes_unref(hrq->input);
	if (hrq->answer)
		g_bytes_unref(hrq->answer);
	g_free(hrq->target);
	g_free(hrq->account);
	pthread_cond_destroy(&hrq->room);
	pthread_mutex_destroy(&hrq->lock);
	g_free(hrq);
}

void hrq_set_input(struct hrq *hrq, uint32_t stage, GBytes *input)
{
	pthread_mutex_lock(&hrq->lock);
	if (hrq->input)
		g_bytes_unref(hrq->input);
	hrq->input = g_bytes_ref(input);
	hrq->input_stage = stage;
	pthread_cond_broadcast(&hrq->room);
	pthread_mutex_unlock(&hrq->lock);
}

GBytes *hrq_wait_input(struct hrq *hrq, uint32_t stage)
{
	GBytes *input;

	pthread_mutex_lock(&hrq->lock);
	while (hrq->input_stage < stage && !hrq->over)
		pthread_cond_wait(&hrq->room, &hrq->lock);
	input = g_bytes_ref(hrq->input);
	pthread_mutex_unlock(&hrq->lock);
	return input;
}

void hrq_set_over(struct hrq *hrq)
{
	pthread_mutex_lock(&hrq->lock);
	hrq->over = true;
	pthread_cond_broadcast(&hrq->room);
	pthread_mutex_unlock(&hrq->lock);
}

void hrq_resume_stream(struct hrq *hrq, uint32_t stage, uint32_t attempt)
{
	struct hrq_attempt *next;
	struct hrq_attempt *before;

	pthread_mutex_lock(&hrq->lock);
	next = hrq_attempt(hrq, stage, attempt);
	before = hrq->streamed;
	if (before && before != next) {
		g_byte_array_append(next->out, before->out->data, before->out->len);
		g_byte_array_set_size(before->out, 0);
		hrq->streamed = next;
	}
	pthread_mutex_unlock(&hrq->lock);
}

void hrq_wake(struct hrq *hrq)
{
	if (!hrq->suspended || !hrq->conn)
		return;
	hrq->suspended = false;
	MHD_resume_connection(hrq->conn);
}

struct hrq_attempt *hrq_attempt(struct hrq *hrq, uint32_t stage, uint32_t attempt)
{
	struct hrq_attempt *record;

	for (guint i = 0; i < hrq->attempts->len; i++) {
		record = g_ptr_array_index(hrq->attempts, i);
		if (record->stage == stage && record->attempt == attempt)
			return record;
	}
	record = g_new0(struct hrq_attempt, 1);
	record->stage = stage;
	record->attempt = attempt;
	record->out = g_byte_array_new();
	g_ptr_array_add(hrq->attempts, record);
	return record;
}
