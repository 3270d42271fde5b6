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
	pthread_mutex_t lock; /* protects the fields below; never held while a job runs */
	pthread_cond_t wake;
	pthread_cond_t all_exited;
	GQueue jobs;
	uint32_t threads;
	uint32_t idle;
	uint32_t max_threads;
	uint32_t max_queued;
	bool stop;
};

/* Waits for a job. Returns false when the idle period ends or the pool stops without one. */
static bool wait_for_job(struct workpool *pool)
{
	struct timespec ts;
	int rc = 0;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_sec += WORKPOOL_IDLE_S;
	pool->idle++;
	while (g_queue_is_empty(&pool->jobs) && !pool->stop && rc == 0)
		rc = pthread_cond_timedwait(&pool->wake, &pool->lock, &ts);
	pool->idle--;
	return !g_queue_is_empty(&pool->jobs);
}

static void *run_worker(void *arg)
{
	struct workpool *pool = arg;

	pthread_mutex_lock(&pool->lock);
	while (wait_for_job(pool)) {
		struct workpool_job *job = g_queue_pop_head(&pool->jobs);

		pthread_mutex_unlock(&pool->lock);
		job->fn(job->arg);
		g_free(job);
		pthread_mutex_lock(&pool->lock);
	}
	pool->threads--;
	if (pool->threads == 0)
		pthread_cond_broadcast(&pool->all_exited);
	pthread_mutex_unlock(&pool->lock);
	return NULL;
}

struct workpool *workpool_new(uint32_t max_threads, uint32_t max_queued)
{
	struct workpool *pool = g_new0(struct workpool, 1);

	pthread_mutex_init(&pool->lock, NULL);
	pthread_cond_init(&pool->wake, NULL);
	pthread_cond_init(&pool->all_exited, NULL);
	g_queue_init(&pool->jobs);
	pool->max_threads = max_threads;
	pool->max_queued = max_queued;
	return pool;
}

void workpool_stop(struct workpool *pool)
{
	pthread_mutex_lock(&pool->lock);
	pool->stop = true;
	pthread_cond_broadcast(&pool->wake);
	while (pool->threads > 0)
		pthread_cond_wait(&pool->all_exited, &pool->lock);
	pthread_mutex_unlock(&pool->lock);
}

void workpool_free(struct workpool *pool)
{
	workpool_stop(pool);
	pthread_cond_destroy(&pool->wake);
	pthread_cond_destroy(&pool->all_exited);
	pthread_mutex_destroy(&pool->lock);
	g_free(pool);
}

static bool start_thread(struct workpool *pool)
{
	pthread_attr_t attr;
	pthread_t thread;
	int rc;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, WORKPOOL_STACK_BYTES);
	rc = pthread_create(&thread, &attr, run_worker, pool);
	pthread_attr_destroy(&attr);
	if (rc == 0)
		pool->threads++;
	return rc == 0;
}

bool workpool_submit(struct workpool *pool, workpool_fn fn, void *arg)
{
	bool accepted = false;

	pthread_mutex_lock(&pool->lock);
	uint32_t queued = g_queue_get_length(&pool->jobs);
	if (!pool->stop && queued >= pool->idle && pool->threads < pool->max_threads)
		start_thread(pool);
	if (!pool->stop && pool->threads > 0 && queued < pool->max_queued) {
		struct workpool_job *job = g_new(struct workpool_job, 1);
		*job = (struct workpool_job){.fn = fn, .arg = arg};
		g_queue_push_tail(&pool->jobs, job);
		pthread_cond_signal(&pool->wake);
		accepted = true;
	}
	pthread_mutex_unlock(&pool->lock);
	return accepted;
}

uint32_t workpool_threads(struct workpool *pool)
{
	pthread_mutex_lock(&pool->lock);
	uint32_t n = pool->threads;
	pthread_mutex_unlock(&pool->lock);
	return n;
}
