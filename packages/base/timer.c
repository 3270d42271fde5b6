#include "base/timer.h"

#include "base/clock.h"

#include <glib.h>
#include <pthread.h>
#include <time.h>

struct timer_entry {
	int64_t at_ms;
	int64_t period_ms; /* 0: once */
	timer_fn fn;
	void *arg;
};

struct timer_service {
	pthread_t thread;
	pthread_mutex_t lock; /* guards entries and stop; never held during a callback */
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

static void insert_entry(struct timer_service *t, struct timer_entry *entry)
{
	g_sequence_insert_sorted(t->entries, entry, compare_entries, NULL);
}

static void wait_until(struct timer_service *t, int64_t at_ms)
{
	int64_t wait_ms = at_ms - clock_now_ms();
	struct timespec ts;

	/* the condition waits on the monotonic clock, entries are on the boot-time clock */
	clock_gettime(CLOCK_MONOTONIC, &ts);
	if (wait_ms < 0)
		wait_ms = 0;
	ts.tv_sec += wait_ms / CLOCK_MS_PER_S;
	ts.tv_nsec += (wait_ms % CLOCK_MS_PER_S) * CLOCK_NS_PER_MS;
	if (ts.tv_nsec >= CLOCK_NS_PER_MS * CLOCK_MS_PER_S) {
		ts.tv_sec++;
		ts.tv_nsec -= CLOCK_NS_PER_MS * CLOCK_MS_PER_S;
	}
	pthread_cond_timedwait(&t->wake, &t->lock, &ts);
}

/* Runs the entry with the lock dropped. */
static void fire(struct timer_service *t, GSequenceIter *iter)
{
	struct timer_entry *entry = g_sequence_get(iter);
	struct timer_entry call = *entry;
	int64_t now_ms = clock_now_ms();

	g_sequence_remove(iter);
	if (call.period_ms > 0) {
		struct timer_entry *next = g_new(struct timer_entry, 1);
		*next = call;
		next->at_ms = now_ms + call.period_ms;
		insert_entry(t, next);
	}
	pthread_mutex_unlock(&t->lock);
	call.fn(call.arg, now_ms);
	pthread_mutex_lock(&t->lock);
}

static void *run(void *arg)
{
	struct timer_service *t = arg;

	pthread_mutex_lock(&t->lock);
	while (!t->stop) {
		GSequenceIter *first = g_sequence_get_begin_iter(t->entries);

		if (g_sequence_iter_is_end(first)) {
			pthread_cond_wait(&t->wake, &t->lock);
			continue;
		}
		const struct timer_entry *entry = g_sequence_get(first);
		if (entry->at_ms > clock_now_ms())
			wait_until(t, entry->at_ms);
		else
			fire(t, first);
	}
	pthread_mutex_unlock(&t->lock);
	return NULL;
}

struct timer_service *timer_service_new(void)
{
	struct timer_service *t = g_new0(struct timer_service, 1);
	pthread_condattr_t attr;

	pthread_mutex_init(&t->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&t->wake, &attr);
	pthread_condattr_destroy(&attr);
	t->entries = g_sequence_new(g_free);
	pthread_create(&t->thread, NULL, run, t);
	return t;
}

void timer_service_free(struct timer_service *t)
{
	pthread_mutex_lock(&t->lock);
	t->stop = true;
	pthread_cond_signal(&t->wake);
	pthread_mutex_unlock(&t->lock);
	pthread_join(t->thread, NULL);
	g_sequence_free(t->entries);
	pthread_cond_destroy(&t->wake);
	pthread_mutex_destroy(&t->lock);
	g_free(t);
}

static void add(struct timer_service *t, const struct timer_entry *entry)
{
	pthread_mutex_lock(&t->lock);
	insert_entry(t, g_memdup2(entry, sizeof(*entry)));
	pthread_cond_signal(&t->wake);
	pthread_mutex_unlock(&t->lock);
}

void timer_once(struct timer_service *t, int64_t at_ms, timer_fn fn, void *arg)
{
	const struct timer_entry entry = {.at_ms = at_ms, .fn = fn, .arg = arg};

	add(t, &entry);
}

void timer_every(struct timer_service *t, int64_t period_ms, timer_fn fn, void *arg)
{
	const struct timer_entry entry = {
		.at_ms = clock_now_ms() + period_ms,
		.period_ms = period_ms,
		.fn = fn,
		.arg = arg,
	};

	add(t, &entry);
}
