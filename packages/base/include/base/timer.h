/*
 * Timer service: one thread that calls subscribers back. A callback runs on the timer thread and
 * must not block; work of any length goes to a worker pool.
 */
#ifndef BASE_TIMER_H
#define BASE_TIMER_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct timer_service;

typedef void (*timer_fn)(void *arg, int64_t now_ms);

/* Starts the thread; the caller frees with timer_service_free(). */
struct timer_service *timer_service_new(void);

/* Stops the thread; callbacks not yet due are dropped. */
void timer_service_free(struct timer_service *t);

/* Calls fn once at at_ms (clock_now_ms), at once if that has passed. */
void timer_once(struct timer_service *t, int64_t at_ms, timer_fn fn, void *arg);

/* Calls fn every period_ms until the service is freed; a late call is not made up for. */
void timer_every(struct timer_service *t, int64_t period_ms, timer_fn fn, void *arg);

#ifdef __cplusplus
}
#endif

#endif
