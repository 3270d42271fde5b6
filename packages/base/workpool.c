#include "base/workpool.h"

#include "base/clock.h"

#include <glib.h>
#include <pthread.h>
#include <time.h>

#define WORKPOOL_IDLE_S 10
#define WORKPOOL_STACK_BYTES (256 * 1024)

struct workpool_job {
	workpool_fn fn;
	void *arg;
};

struct workpool {
	pthread_mutex_t lock; /* guards all below; never held while a job runs */
	pthread_cond_t wake;
	pthread_cond_t gone;
	GQueue jobs;
	uint32_t threads;
	uint32_t idle;
	uint32_t max_threads;
	uint32_t max_queued;
	bool stop;
};

/* False after a full idle period without work. */
static bool wait_for_job(struct workpool *p)
{
	struct timespec ts;
	int rc = 0;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_sec += WORKPOOL_IDLE_S;
	p->idle++;
	while (g_queue_is_empty(&p->jobs) && !p->stop && rc == 0)
		rc = pthread_cond_timedwait(&p->wake, &p->lock, &ts);
	p->idle--;
	return !g_queue_is_empty(&p->jobs);
}

static void *run(void *arg)
{
	struct workpool *p = arg;

	pthread_mutex_lock(&p->lock);
	while (wait_for_job(p)) {
		struct workpool_job *job = g_queue_pop_head(&p->jobs);

		pthread_mutex_unlock(&p->lock);
		job->fn(job->arg);
		g_free(job);
		pthread_mutex_lock(&p->lock);
	}
	p->threads--;
	if (p->threads == 0)
		pthread_cond_broadcast(&p->gone);
	pthread_mutex_unlock(&p->lock);
	return NULL;
}

struct workpool *workpool_new(uint32_t max_threads, uint32_t max_queued)
{
	struct workpool *p = g_new0(struct workpool, 1);

	pthread_mutex_init(&p->lock, NULL);
	pthread_cond_init(&p->wake, NULL);
	pthread_cond_init(&p->gone, NULL);
	g_queue_init(&p->jobs);
	p->max_threads = max_threads;
	p->max_queued = max_queued;
	return p;
}

void workpool_stop(struct workpool *p)
{
	pthread_mutex_lock(&p->lock);
	p->stop = true;
	pthread_cond_broadcast(&p->wake);
	while (p->threads > 0)
		pthread_cond_wait(&p->gone, &p->lock);
	pthread_mutex_unlock(&p->lock);
}

void workpool_free(struct workpool *p)
{
	workpool_stop(p);
	pthread_cond_destroy(&p->wake);
	pthread_cond_destroy(&p->gone);
	pthread_mutex_destroy(&p->lock);
	g_free(p);
}

static bool start_thread(struct workpool *p)
{
	pthread_attr_t attr;
	pthread_t thread;
	int rc;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, WORKPOOL_STACK_BYTES);
	rc = pthread_create(&thread, &attr, run, p);
	pthread_attr_destroy(&attr);
	if (rc == 0)
		p->threads++;
	return rc == 0;
}

bool workpool_submit(struct workpool *p, workpool_fn fn, void *arg)
{
	bool taken = false;

	pthread_mutex_lock(&p->lock);
	uint32_t queued = g_queue_get_length(&p->jobs);
	if (!p->stop && queued >= p->idle && p->threads < p->max_threads)
		start_thread(p);
	if (!p->stop && p->threads > 0 && queued < p->max_queued) {
		struct workpool_job *job = g_new(struct workpool_job, 1);
		*job = (struct workpool_job){.fn = fn, .arg = arg};
		g_queue_push_tail(&p->jobs, job);
		pthread_cond_signal(&p->wake);
		taken = true;
	}
	pthread_mutex_unlock(&p->lock);
	return taken;
}

uint32_t workpool_threads(struct workpool *p)
{
	pthread_mutex_lock(&p->lock);
	uint32_t n = p->threads;
	pthread_mutex_unlock(&p->lock);
	return n;
}
