/* What engines say of themselves in their answers, and when requests reached them. */
#include "stub_int.h"

#include "base/clock.h"

#define STATUS_UNAVAILABLE 503

/* Returns whether an answer that is about to be made reaches its client as the engine's own. */
static bool is_answering(const struct stub_engine *e)
{
	return e->fault != STUB_FAULT_HANG && e->fault != STUB_FAULT_CLOSE &&
	       e->fault != STUB_FAULT_WRONG_ATTEMPT && e->fault != STUB_FAULT_MISDIRECTED;
}

void stub_put_advice(struct stub_engine *e, int status, struct hdr_list *headers)
{
	if (e->advised_ms == 0 && is_answering(e))
		e->advised_ms = clock_now_ms();
	if (e->advice.limit)
		hdr_add(headers, "Server-Limit", e->advice.limit);
	if (e->advice.leaving)
		hdr_add(headers, "Server-Leaving", e->advice.leaving);
	if (e->advice.brittle)
		hdr_add(headers, "Server-Brittle", e->advice.brittle);
	if (e->advice.load)
		hdr_add(headers, "X-Currantscale-Engine-Load", e->advice.load);
	if (e->advice.retry_after && status == STATUS_UNAVAILABLE)
		hdr_add(headers, "Retry-After", e->advice.retry_after);
}

void stub_set_advice(struct stub *s, const char *id, const struct stub_advice *advice)
{
	static const struct stub_advice none;
	struct stub_engine *e;

	if (!advice)
		advice = &none;
	pthread_mutex_lock(&s->lock);
	e = g_hash_table_lookup(s->engines, id);
	e->advice = (struct stub_advice){
		.limit = g_intern_string(advice->limit),
		.leaving = g_intern_string(advice->leaving),
		.retry_after = g_intern_string(advice->retry_after),
		.brittle = g_intern_string(advice->brittle),
		.load = g_intern_string(advice->load),
	};
	e->advised_ms = 0;
	pthread_mutex_unlock(&s->lock);
}

int64_t stub_advised_ms(struct stub *s, const char *id)
{
	const struct stub_engine *e;
	int64_t at_ms;

	pthread_mutex_lock(&s->lock);
	e = g_hash_table_lookup(s->engines, id);
	at_ms = e->advised_ms;
	pthread_mutex_unlock(&s->lock);
	return at_ms;
}

static uint32_t count_arrivals(const struct stub_engine *e, int64_t from_ms, int64_t to_ms)
{
	uint32_t n = 0;

	for (guint i = 0; i < e->arrivals->len; i++) {
		int64_t at_ms = g_array_index(e->arrivals, int64_t, i);
		n += at_ms >= from_ms && at_ms < to_ms;
	}
	return n;
}

uint32_t stub_count_arrivals(struct stub *s, const char *id, int64_t from_ms, int64_t to_ms)
{
	uint32_t n;

	pthread_mutex_lock(&s->lock);
	n = count_arrivals(g_hash_table_lookup(s->engines, id), from_ms, to_ms);
	pthread_mutex_unlock(&s->lock);
	return n;
}

uint32_t stub_most_arrivals(struct stub *s, const char *id, int64_t from_ms, int64_t to_ms,
			    int64_t span_ms)
{
	const struct stub_engine *e;
	uint32_t most = 0;

	pthread_mutex_lock(&s->lock);
	e = g_hash_table_lookup(s->engines, id);
	for (guint i = 0; i < e->arrivals->len; i++) {
		int64_t at_ms = g_array_index(e->arrivals, int64_t, i);
		if (at_ms >= from_ms && at_ms < to_ms)
			most = MAX(most, count_arrivals(e, at_ms, MIN(at_ms + span_ms, to_ms)));
	}
	pthread_mutex_unlock(&s->lock);
	return most;
}
