#include "base/timer.h"

#include "base/clock.h"

#include <glib.h>
#include <pthread.h>
#include <time.h>

struct timer_entry {
	int64_t at_ms;
	int64_t period_ms; /* 0: the callback runs once */
	timer_fn fn;
	void *arg;
};

struct timer_service {
	pthread_t thread;
	pthread_mutex_t lock; /* protects entries and stop; never held during a callback */
	pthread_cond_t wake;
	GSequence *entries; /* sorted by at_ms */
	bool stop;
};

static gint compare_entries(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct timer_entry *x = a;
	const struct timer_entry *y = b;

	return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

static void insert_entry(struct timer_service *service, struct timer_entry *entry)
{
	g_sequence_insert_sorted(service->entries, entry, compare_entries, NULL);
}

static void wait_until(struct timer_service *service, int64_t at_ms)
{
	int64_t wait_ms = at_ms - clock_now_ms();
	struct timespec ts;

	/* The condition variable uses the monotonic clock; entries use the time since boot. */
	clock_gettime(CLOCK_MONOTONIC, &ts);
	if (wait_ms < 0)
		wait_ms = 0;
	ts.tv_sec += wait_ms / CLOCK_MS_PER_S;
	ts.tv_nsec += (wait_ms % CLOCK_MS_PER_S) * CLOCK_NS_PER_MS;
	if (ts.tv_nsec >= CLOCK_NS_PER_MS * CLOCK_MS_PER_S) {
		ts.tv_sec++;
		ts.tv_nsec -= CLOCK_NS_PER_MS * CLOCK_MS_PER_S;
	}
	pthread_cond_timedwait(&service->wake, &service->lock, &ts);
}

/* Reschedules a periodic entry, then runs the entry's callback with the lock released. */
static void run_entry(struct timer_service *service, GSequenceIter *iter)
{
	struct timer_entry *entry = g_sequence_get(iter);
	struct timer_entry call = *entry;
	int64_t now_ms = clock_now_ms();

	g_sequence_remove(iter);
	if (call.period_ms > 0) {
		struct timer_entry *next = g_new(struct timer_entry, 1);
		*next = call;
		next->at_ms = now_ms + call.period_ms;
		insert_entry(service, next);
	}
	pthread_mutex_unlock(&service->lock);
	call.fn(call.arg, now_ms);
	pthread_mutex_lock(&service->lock);
}

static void *run_timer_thread(void *arg)
{
	struct timer_service *service = arg;

	pthread_mutex_lock(&service->lock);
	while (!service->stop) {
		GSequenceIter *first = g_sequence_get_begin_iter(service->entries);

		if (g_sequence_iter_is_end(first)) {
			pthread_cond_wait(&service->wake, &service->lock);
			continue;
		}
		const struct timer_entry *entry = g_sequence_get(first);
		if (entry->at_ms > clock_now_ms())
			wait_until(service, entry->at_ms);
		else
			run_entry(service, first);
	}
	pthread_mutex_unlock(&service->lock);
	return NULL;
}

struct timer_service *timer_service_new(void)
{
	struct timer_service *service = g_new0(struct timer_service, 1);
	pthread_condattr_t attr;

	pthread_mutex_init(&service->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&service->wake, &attr);
	pthread_condattr_destroy(&attr);
	service->entries = g_sequence_new(g_free);
	pthread_create(&service->thread, NULL, run_timer_thread, service);
	return service;
}

void timer_service_free(struct timer_service *service)
{
	pthread_mutex_lock(&service->lock);
	service->stop = true;
	pthread_cond_signal(&service->wake);
	pthread_mutex_unlock(&service->lock);
	pthread_join(service->thread, NULL);
	g_sequence_free(service->entries);
	pthread_cond_destroy(&service->wake);
	pthread_mutex_destroy(&service->lock);
	g_free(service);
}

static void add_entry(struct timer_service *service, const struct timer_entry *entry)
{
	pthread_mutex_lock(&service->lock);
	insert_entry(service, g_memdup2(entry, sizeof(*entry)));
	pthread_cond_signal(&service->wake);
	pthread_mutex_unlock(&service->lock);
}

void timer_once(struct timer_service *service, int64_t at_ms, timer_fn fn, void *arg)
{
	const struct timer_entry entry = {.at_ms = at_ms, .fn = fn, .arg = arg};

	add_entry(service, &entry);
}

void timer_every(struct timer_service *service, int64_t period_ms, timer_fn fn, void *arg)
{
	const struct timer_entry entry = {
		.at_ms = clock_now_ms() + period_ms,
		.period_ms = period_ms,
		.fn = fn,
		.arg = arg,
	};

	add_entry(service, &entry);
}
