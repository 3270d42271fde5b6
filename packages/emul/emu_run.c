/*
 * Requests in progress at an emulated upstream: slots by priority, cold starts, batching,
 * cancellation and restarts.
 */
#include "base/clock.h"
#include "emu_int.h"

#include <math.h>
#include <string.h>

/* With more requests than this multiple of cold_limit, a cold upstream fails every request. */
#define COLD_FAIL_FACTOR 3

#define NORMAL_P99 2.326    /* 99th percentile of the standard normal distribution */
#define CACHE_HIT_DIVISOR 4 /* a cache hit divides the service time by this */

bool emu_is_warm(const struct emu_upstream *up)
{
	if (up->completions >= up->settings.warm_after)
		return true;
	return up->settings.warm_after_ms > 0 && up->started_ms > 0 &&
	       clock_now_ms() >= up->started_ms + up->settings.warm_after_ms;
}

static void wait_until(pthread_cond_t *cond, pthread_mutex_t *lock, int64_t until_ms)
{
	struct timespec at = {
		.tv_sec = until_ms / CLOCK_MS_PER_S,
		.tv_nsec = until_ms % CLOCK_MS_PER_S * CLOCK_NS_PER_MS,
	};

	pthread_cond_timedwait(cond, lock, &at);
}

static int64_t monotonic_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * CLOCK_MS_PER_S + now.tv_nsec / CLOCK_NS_PER_MS;
}

/* True, with *outcome set, if the run has to end early. The caller holds up->lock. */
static bool is_interrupted(const struct emu_run *run, enum emu_outcome *outcome)
{
	const struct emu_upstream *up = run->up;

	if (run->cancelled)
		*outcome = EMU_OUTCOME_CANCELLED;
	else if (run->incarnation != up->incarnation || up->stopping || up->settings.down)
		*outcome = EMU_OUTCOME_LOST;
	else
		return false;
	return true;
}

/* Waits for work_ms; false if the run was interrupted. The caller holds up->lock. */
static bool work_for(struct emu_run *run, int64_t work_ms, enum emu_outcome *outcome)
{
	int64_t until_ms = monotonic_ms() + work_ms;

	while (!is_interrupted(run, outcome)) {
		if (monotonic_ms() >= until_ms)
			return true;
		wait_until(&run->up->change, &run->up->lock, until_ms);
	}
	return false;
}

static int64_t concurrency_limit(const struct emu_upstream *up)
{
	return emu_is_warm(up) ? up->settings.warm_limit : up->settings.cold_limit;
}

struct emu_run *emu_run_begin(struct emu_upstream *up, const struct emu_arrival *arrival,
			      int64_t rank)
{
	struct emu_run *run = g_new0(struct emu_run, 1);
	bool over_cold = false;

	run->up = up;
	run->rank = rank;
	run->tag = arrival->tag;
	run->arrival = emu_log_add(up->emu, arrival);
	pthread_mutex_lock(&up->lock);
	if (!up->started_ms)
		up->started_ms = clock_now_ms();
	run->incarnation = up->incarnation;
	run->order = ++up->last_order;
	up->runs = g_list_prepend(up->runs, run);
	up->running++;
	up->counts.arrivals++;
	up->counts.most_running = MAX(up->counts.most_running, up->running);
	if (up->running > concurrency_limit(up)) {
		up->counts.overruns++;
		over_cold = !emu_is_warm(up);
		up->counts.cold_overruns += over_cold;
	}
	pthread_mutex_unlock(&up->lock);
	if (over_cold)
		emu_log_mark_over_cold(up->emu, run->arrival);
	return run;
}

static bool has_precedence(const struct emu_run *a, const struct emu_run *b)
{
	if (a->rank != b->rank && !a->up->settings.ignore_rank)
		return a->rank < b->rank;
	return a->order < b->order;
}

/* True if no other waiting run has precedence over this one. */
static bool is_next(const struct emu_run *run)
{
	for (GList *at = run->up->runs; at; at = at->next) {
		const struct emu_run *other = at->data;
		if (other->active || other->incarnation != run->up->incarnation)
			continue;
		if (has_precedence(other, run))
			return false;
	}
	return true;
}

static bool wait_for_slot(struct emu_run *run, enum emu_outcome *outcome)
{
	struct emu_upstream *up = run->up;

	while (!is_interrupted(run, outcome)) {
		if (up->active < up->settings.warm_limit && is_next(run)) {
			up->active++;
			run->active = true;
			pthread_cond_broadcast(&up->slot);
			return true;
		}
		pthread_cond_wait(&up->slot, &up->lock);
	}
	return false;
}

/* Samples a log-normal distribution with median_ms and the 99th percentile service_ms_p99. */
static double sample_heavy_tail(struct emu_upstream *up, double median_ms)
{
	double sigma = log((double)up->settings.service_ms_p99 / median_ms) / NORMAL_P99;
	double radius = sqrt(-2 * log(1 - prng_unit(&up->prng)));

	return median_ms * exp(sigma * radius * cos(2 * G_PI * prng_unit(&up->prng)));
}

/* Above cold_limit, a cold upstream slows down by the square of (requests / cold_limit). */
static double cold_factor(const struct emu_upstream *up)
{
	double excess = (double)up->running / (double)MAX(up->settings.cold_limit, 1);

	return emu_is_warm(up) || excess <= 1 ? 1 : excess * excess;
}

static int64_t service_time(struct emu_upstream *up, uint64_t prefix)
{
	double wait_ms = (double)up->settings.service_ms;

	if (up->settings.service_ms_p99 > up->settings.service_ms && up->settings.service_ms > 0)
		wait_ms = sample_heavy_tail(up, wait_ms);
	if (up->kind == CFG_KIND_ENGINE && emu_cache_use(up, prefix))
		wait_ms /= CACHE_HIT_DIVISOR;
	wait_ms *= cold_factor(up);
	if ((int64_t)prng_below(&up->prng, 100) < up->settings.straggle_pct)
		wait_ms += (double)up->settings.straggle_ms;
	return (int64_t)wait_ms;
}

static bool should_fail(struct emu_upstream *up)
{
	if (!emu_is_warm(up) && up->running > COLD_FAIL_FACTOR * up->settings.cold_limit)
		return true;
	return (int64_t)prng_below(&up->prng, 100) < up->settings.fail_pct;
}

static bool is_booking(const struct emu_upstream *up, const char *call)
{
	return g_strv_contains((const char *const *)up->bookings, call);
}

static void mark_ran(struct emu_run *run)
{
	struct emu_upstream *up = run->up;
	bool booking = is_booking(up, run->arrival->call);

	up->counts.ran++;
	up->counts.bookings += booking;
	emu_log_mark_ran(up->emu, run->arrival, booking);
}

bool emu_run_work(struct emu_run *run, uint64_t prefix, enum emu_outcome *outcome)
{
	struct emu_upstream *up = run->up;
	bool ok;

	pthread_mutex_lock(&up->lock);
	ok = wait_for_slot(run, outcome);
	if (ok) {
		mark_ran(run);
		ok = work_for(run, service_time(up, prefix), outcome);
	}
	if (ok && should_fail(up)) {
		*outcome = EMU_OUTCOME_FAILED;
		ok = false;
	}
	pthread_mutex_unlock(&up->lock);
	return ok;
}

bool emu_run_token(struct emu_run *run, enum emu_outcome *outcome)
{
	struct emu_upstream *up = run->up;
	double wait_ms;
	bool ok;

	pthread_mutex_lock(&up->lock);
	wait_ms = (double)up->settings.token_ms * cold_factor(up);
	wait_ms += wait_ms * (double)(up->active - 1) / (double)MAX(up->settings.warm_limit, 1);
	ok = work_for(run, (int64_t)wait_ms, outcome);
	pthread_mutex_unlock(&up->lock);
	return ok;
}

void emu_run_end(struct emu_run *run, enum emu_outcome outcome)
{
	struct emu_upstream *up = run->up;

	pthread_mutex_lock(&up->lock);
	up->runs = g_list_remove(up->runs, run);
	if (run->incarnation == up->incarnation) {
		up->running--;
		up->active -= run->active;
		up->completions += outcome == EMU_OUTCOME_COMPLETE;
	}
	up->counts.outcomes[outcome]++;
	pthread_cond_broadcast(&up->slot);
	pthread_mutex_unlock(&up->lock);
	emu_log_end(up->emu, run->arrival, outcome);
	g_free(run);
}

void emu_run_cancel(struct emu_upstream *up, const char *request, const char *attempt)
{
	pthread_mutex_lock(&up->lock);
	for (GList *at = up->runs; at; at = at->next) {
		struct emu_run *run = at->data;
		if (strcmp(run->arrival->request, request) == 0 &&
		    strcmp(run->arrival->attempt, attempt) == 0)
			run->cancelled = true;
	}
	pthread_cond_broadcast(&up->change);
	pthread_cond_broadcast(&up->slot);
	pthread_mutex_unlock(&up->lock);
}

void emu_run_restart(struct emu_upstream *up)
{
	pthread_mutex_lock(&up->lock);
	up->incarnation = prng_next(&up->prng) | 1;
	up->running = 0;
	up->active = 0;
	up->completions = 0;
	up->started_ms = 0;
	emu_cache_clear(&up->cache);
	pthread_cond_broadcast(&up->change);
	pthread_cond_broadcast(&up->slot);
	pthread_mutex_unlock(&up->lock);
}

void emu_run_stop(struct emu_upstream *up)
{
	pthread_mutex_lock(&up->lock);
	up->stopping = true;
	pthread_cond_broadcast(&up->change);
	pthread_cond_broadcast(&up->slot);
	pthread_mutex_unlock(&up->lock);
}

void emu_count_bytes(struct emu_upstream *up, const char *source, int64_t in, int64_t out)
{
	struct emu_traffic *traffic;

	pthread_mutex_lock(&up->lock);
	traffic = g_hash_table_lookup(up->traffic, source);
	if (!traffic) {
		traffic = g_new0(struct emu_traffic, 1);
		g_hash_table_insert(up->traffic, g_strdup(source), traffic);
	}
	traffic->bytes_in += in;
	traffic->bytes_out += out;
	pthread_mutex_unlock(&up->lock);
}
