/*
 * Worker pool with a cap: threads are made on demand and end after being idle. One pool stands
 * for one bulkhead, so work that blocks fills its own pool and no other.
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

/* max_threads bounds threads, max_queued what waits for one; the caller frees with workpool_free().
 */
struct workpool *workpool_new(uint32_t max_threads, uint32_t max_queued);

/* Takes no more work and waits until what was submitted has run. */
void workpool_stop(struct workpool *p);

/* Stops it first when that has not been done. */
void workpool_free(struct workpool *p);

/* False when the queue is full or the pool stops; fn is then not called and arg stays the caller's.
 */
bool workpool_submit(struct workpool *p, workpool_fn fn, void *arg);

/* Threads alive now. */
uint32_t workpool_threads(struct workpool *p);

#ifdef __cplusplus
}
#endif

#endif
