/*
 * Bounded worker pool: threads start on demand and exit after being idle. Each pool is a bulkhead,
 * so blocking work exhausts its own pool and no other.
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

/* max_queued limits the jobs that wait for a thread. Free with workpool_free(). */
struct workpool *workpool_new(uint32_t max_threads, uint32_t max_queued);

/* Rejects new jobs and waits until all submitted jobs have run. */
void workpool_stop(struct workpool *pool);

/* Stops the pool first if workpool_stop() was not called. */
void workpool_free(struct workpool *pool);

/*
 * Returns false when the queue is full, no thread can be started or the pool is stopping. fn is
 * then not called and the caller keeps arg.
 */
bool workpool_submit(struct workpool *pool, workpool_fn fn, void *arg);

/* Number of live threads. */
uint32_t workpool_threads(struct workpool *pool);

#ifdef __cplusplus
}
#endif

#endif
