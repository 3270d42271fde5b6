/*
 * Bounded worker pool: threads start on demand and exit after being idle. Each pool has its own
 * limit on threads, so blocking work in one pool does not take threads from another.
 */
#ifndef BASE_WORKPOOL_H
#define BASE_WORKPOOL_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct workpool;

typedef void (*workpool_fn)(void *arg);

/* max_queued is the maximum number of jobs that wait for a thread. Free with workpool_free(). */
struct workpool *workpool_new(uint32_t max_threads, uint32_t max_queued);

/* Rejects new jobs and waits until all submitted jobs have run. */
void workpool_stop(struct workpool *pool);

/* Calls workpool_stop(), which may have been called before, then frees the pool. */
void workpool_free(struct workpool *pool);

/*
 * Queues a call of fn. Returns false when the queue is full, no thread can be started or the pool
 * is stopping; fn is then not called and the caller keeps arg.
 */
bool workpool_submit(struct workpool *pool, workpool_fn fn, void *arg);

/* Returns the number of threads. */
uint32_t workpool_threads(struct workpool *pool);

#ifdef __cplusplus
}
#endif

#endif
