/*
 * Worker pool with a cap: threads are made on demand and end after being idle. One pool stands
 * for one bulkhead, so work that blocks fills its own pool and no other.
 */
#ifndef BASE_WKP_H
#define BASE_WKP_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct wkp;

typedef void (*wkp_fn)(void *arg);

/* max_threads bounds threads, max_queued what waits for one; the caller frees with wkp_free(). */
struct wkp *wkp_new(uint32_t max_threads, uint32_t max_queued);

/* Takes no more work and waits until what was submitted has run. */
void wkp_stop(struct wkp *p);

/* Stops it first when that has not been done. */
void wkp_free(struct wkp *p);

/* False when the queue is full or the pool stops; fn is then not called and arg stays the caller's.
 */
bool wkp_submit(struct wkp *p, wkp_fn fn, void *arg);

/* Threads alive now. */
uint32_t wkp_threads(struct wkp *p);

#ifdef __cplusplus
}
#endif

#endif
