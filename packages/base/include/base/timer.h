/*
 * Timer service: one thread runs callbacks when they are due. A callback must not block; slow work
 * belongs in a worker pool.
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

/* Starts the thread. Free with timer_service_free(). */
struct timer_service *timer_service_new(void);

/* Stops the thread; pending callbacks are dropped. */
void timer_service_free(struct timer_service *service);

/* Calls fn once at the time at_ms of clock_now_ms(), or as soon as possible if it has passed. */
void timer_once(struct timer_service *service, int64_t at_ms, timer_fn fn, void *arg);

/* Calls fn every period_ms until the service is freed; missed calls are not made up for. */
void timer_every(struct timer_service *service, int64_t period_ms, timer_fn fn, void *arg);

#ifdef __cplusplus
}
#endif

#endif
