/* Work of an emulated upstream: slots by priority, cold starts, batching, cancel and restart. */
#include "base/clk.h"
#include "emu_int.h"

#include <math.h>
#include <string.h>

#define COLD_FAIL_FACTOR 3 /* of the cold limit, at which a cold upstream only fails */
#define P99_NORMAL 2.326   /* 99th percentile of the standard normal distribution */
#define HIT_DIVISOR 4	   /* a prefix in the cache shortens the time to the first token by this */

bool emu_is_warm(const struct emu_upstream *up)
{
	if (up->completions >= up->set.warm_after)
		return true;
	return up->set.warm_after_ms > 0 && up->started_ms > 0 &&
	       clk_now_ms() >= up->started_ms + up->set.warm_after_ms;
}

static void wait_until(pthread_cond_t *cond, pthread_mutex_t *lock, int64_t until_ms)
{
	struct timespec at = {
		.tv_sec = until_ms / CLK_MS_PER_S,
		.tv_nsec = until_ms % CLK_MS_PER_S * CLK_NS_PER_MS,
	};

	pthread_cond_timedwait(cond, lock, &at);
}

static int64_t monotonic_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * CLK_MS_PER_S + now.tv_nsec / CLK_NS_PER_MS;
}

/* The way in which a run ends early; false when it goes on. up->lock held. */
static bool is_broken(const struct emu_run *run, enum emu_outcome *end)
{
	const struct emu_upstream *up = run->up;

	if (run->cancelled)
		*end = EMU_OUTCOME_CANCELLED;
	else if (run->incarnation != up->incarnation || up->stopping || up->set.down)
		*end = EMU_OUTCOME_LOST;
	else
		return false;
	return true;
}

/* up->lock held; false when the run broke off. */
static bool work_for(struct emu_run *run, int64_t work_ms, enum emu_outcome *end)
{
	int64_t until_ms = monotonic_ms() + work_ms;

	while (!is_broken(run, end)) {
		if (monotonic_ms() >= until_ms)
			return true;
		wait_until(&run->up->change, &run->up->lock, until_ms);
	}
	return false;
}

static int64_t limit_of(const struct emu_upstream *up)
{
	return emu_is_warm(up) ? up->set.warm_limit : up->set.cold_limit;
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
		up->started_ms = clk_now_ms();
	run->incarnation = up->incarnation;
	run->order = ++up->orders;
	up->runs = g_list_prepend(up->runs, run);
	up->running++;
	up->counts.arrivals++;
	up->counts.most_running = MAX(up->counts.most_running, up->running);
	if (up->running > limit_of(up)) {
		up->counts.overruns++;
		over_cold = !emu_is_warm(up);
		up->counts.cold_overruns += over_cold;
	}
	pthread_mutex_unlock(&up->lock);
	if (over_cold)
		emu_log_mark_over_cold(up->emu, run->arrival);
	return run;
}

static bool goes_before(const struct emu_run *a, const struct emu_run *b)
{
	if (a->rank != b->rank && !a->up->set.ignore_rank)
		return a->rank < b->rank;
	return a->order < b->order;
}

/* No waiting run goes before this one. */
static bool is_next(const struct emu_run *run)
{
	for (GList *at = run->up->runs; at; at = at->next) {
		const struct emu_run *other = at->data;
		if (other->active || other->incarnation != run->up->incarnation)
			continue;
		if (goes_before(other, run))
			return false;
	}
	return true;
}

static bool wait_for_slot(struct emu_run *run, enum emu_outcome *end)
{
	struct emu_upstream *up = run->up;

	while (!is_broken(run, end)) {
		if (up->active < up->set.warm_limit && is_next(run)) {
			up->active++;
			run->active = true;
			pthread_cond_broadcast(&up->slot);
			return true;
		}
		pthread_cond_wait(&up->slot, &up->lock);
	}
	return false;
}

/* Log-normal with the median and 99th percentile that were set. */
static double heavy_tail(struct emu_upstream *up, double median_ms)
{
	double sigma = log((double)up->set.service_ms_p99 / median_ms) / P99_NORMAL;
	double radius = sqrt(-2 * log(1 - rnd_unit(&up->rnd)));

	return median_ms * exp(sigma * radius * cos(2 * G_PI * rnd_unit(&up->rnd)));
}

/* A cold upstream above its limit gets slower with the square of the excess. */
static double cold_factor(const struct emu_upstream *up)
{
	double excess = (double)up->running / (double)MAX(up->set.cold_limit, 1);

	return emu_is_warm(up) || excess <= 1 ? 1 : excess * excess;
}

static int64_t service_time(struct emu_upstream *up, uint64_t prefix)
{
	double wait_ms = (double)up->set.service_ms;

	if (up->set.service_ms_p99 > up->set.service_ms && up->set.service_ms > 0)
		wait_ms = heavy_tail(up, wait_ms);
	if (up->kind == CFG_KIND_ENGINE && emu_cache_use(up, prefix))
		wait_ms /= HIT_DIVISOR;
	wait_ms *= cold_factor(up);
	if ((int64_t)rnd_below(&up->rnd, 100) < up->set.straggle_pct)
		wait_ms += (double)up->set.straggle_ms;
	return (int64_t)wait_ms;
}

static bool fails(struct emu_upstream *up)
{
	if (!emu_is_warm(up) && up->running > COLD_FAIL_FACTOR * up->set.cold_limit)
		return true;
	return (int64_t)rnd_below(&up->rnd, 100) < up->set.fail_pct;
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

bool emu_run_work(struct emu_run *run, uint64_t prefix, enum emu_outcome *end)
{
	struct emu_upstream *up = run->up;
	bool ok;

	pthread_mutex_lock(&up->lock);
	ok = wait_for_slot(run, end);
	if (ok) {
		mark_ran(run);
		ok = work_for(run, service_time(up, prefix), end);
	}
	if (ok && fails(up)) {
		*end = EMU_OUTCOME_FAILED;
		ok = false;
	}
	pthread_mutex_unlock(&up->lock);
	return ok;
}

bool emu_run_token(struct emu_run *run, enum emu_outcome *end)
{
	struct emu_upstream *up = run->up;
	double wait_ms;
	bool ok;

	pthread_mutex_lock(&up->lock);
	wait_ms = (double)up->set.token_ms * cold_factor(up);
	wait_ms += wait_ms * (double)(up->active - 1) / (double)MAX(up->set.warm_limit, 1);
	ok = work_for(run, (int64_t)wait_ms, end);
	pthread_mutex_unlock(&up->lock);
	return ok;
}

void emu_run_end(struct emu_run *run, enum emu_outcome end)
{
	struct emu_upstream *up = run->up;

	pthread_mutex_lock(&up->lock);
	up->runs = g_list_remove(up->runs, run);
	if (run->incarnation == up->incarnation) {
		up->running--;
		up->active -= run->active;
		up->completions += end == EMU_OUTCOME_COMPLETE;
	}
	up->counts.ends[end]++;
	pthread_cond_broadcast(&up->slot);
	pthread_mutex_unlock(&up->lock);
	emu_log_end(up->emu, run->arrival, end);
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
	up->incarnation = rnd_next(&up->rnd) | 1;
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
