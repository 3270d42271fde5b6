/* Log of the requests that reached the upstreams. Once it is full, the oldest are dropped. */
#include "base/clock.h"
#include "emu_int.h"

#define LOG_ARRIVALS_MAX 200000

const char *emu_outcome_name(enum emu_outcome outcome)
{
	static const char *const names[] = {
		[EMU_OUTCOME_RUNNING] = "running",     [EMU_OUTCOME_COMPLETE] = "complete",
		[EMU_OUTCOME_REFUSED] = "refused",     [EMU_OUTCOME_FAILED] = "failed",
		[EMU_OUTCOME_CANCELLED] = "cancelled", [EMU_OUTCOME_LOST] = "lost",
		[EMU_OUTCOME_DROPPED] = "dropped",     [EMU_OUTCOME_ABANDONED] = "abandoned",
	};

	return names[outcome];
}

static void unref(struct emu_arrival *arrival)
{
	if (g_atomic_int_dec_and_test(&arrival->refs))
		g_free(arrival);
}

static void mark_changed(struct emu_log *log, struct emu_arrival *arrival)
{
	arrival->change = ++log->last_change;
}

struct emu_arrival *emu_log_add(struct emu *e, const struct emu_arrival *from)
{
	struct emu_arrival *arrival = g_memdup2(from, sizeof(*from));

	arrival->refs = 2; /* references of the log and of the run */
	arrival->t_ms = clock_now_ms();
	pthread_mutex_lock(&e->lock);
	arrival->number = ++e->log.last_number;
	mark_changed(&e->log, arrival);
	g_queue_push_tail(&e->log.arrivals, arrival);
	if (g_queue_get_length(&e->log.arrivals) > LOG_ARRIVALS_MAX)
		unref(g_queue_pop_head(&e->log.arrivals));
	pthread_mutex_unlock(&e->lock);
	return arrival;
}

void emu_log_mark_over_cold(struct emu *e, struct emu_arrival *arrival)
{
	pthread_mutex_lock(&e->lock);
	arrival->over_cold = true;
	mark_changed(&e->log, arrival);
	pthread_mutex_unlock(&e->lock);
}

void emu_log_mark_ran(struct emu *e, struct emu_arrival *arrival, bool booking)
{
	pthread_mutex_lock(&e->lock);
	arrival->ran = true;
	if (booking)
		arrival->booking = ++e->log.bookings;
	mark_changed(&e->log, arrival);
	pthread_mutex_unlock(&e->lock);
}

void emu_log_end(struct emu *e, struct emu_arrival *arrival, enum emu_outcome outcome)
{
	pthread_mutex_lock(&e->lock);
	arrival->outcome = outcome;
	arrival->end_ms = clock_now_ms();
	mark_changed(&e->log, arrival);
	pthread_mutex_unlock(&e->lock);
	unref(arrival);
}

static json_t *arrival_json(const struct emu_arrival *a)
{
	char tag[16];

	g_snprintf(tag, sizeof(tag), "%08x", a->tag);
	return json_pack("{s:I, s:I, s:I, s:I, s:s, s:s, s:s, s:s, s:s, s:s, s:b, s:b, s:I, s:s}",
			 "number", (json_int_t)a->number, "change", (json_int_t)a->change, "t_ms",
			 (json_int_t)a->t_ms, "end_ms", (json_int_t)a->end_ms, "upstream",
			 a->upstream, "call", a->call, "request", a->request, "attempt", a->attempt,
			 "source", a->source, "tag", tag, "ran", a->ran, "over_cold", a->over_cold,
			 "booking", (json_int_t)a->booking, "end", emu_outcome_name(a->outcome));
}

json_t *emu_log_json(struct emu *e, int64_t since)
{
	json_t *list = json_array();

	pthread_mutex_lock(&e->lock);
	for (GList *at = e->log.arrivals.head; at; at = at->next) {
		const struct emu_arrival *arrival = at->data;
		if (arrival->change > since)
			json_array_append_new(list, arrival_json(arrival));
	}
	pthread_mutex_unlock(&e->lock);
	return list;
}

void emu_log_clear(struct emu_log *log)
{
	struct emu_arrival *arrival;

	while ((arrival = g_queue_pop_head(&log->arrivals)))
		unref(arrival);
}
