/*
 * Error of the estimates of admission, the bound for late chains that follows from it, and when a
 * refused chain would be admitted.
 */
#include "chain_internal.h"

#include <math.h>
#include <stdlib.h>

/* Rules that decide on admission, as logged. */
#define RULE_FIXED "fixed"
#define RULE_ERROR "error"

#define PCT_LOW 10
#define PCT_MEDIAN 50
#define PCT_HIGH 90
#define PCT_ALL 100

/* A backlog that falls more slowly, or doesn't, counts as falling by 1 ms in 4. */
#define BACKLOG_RATE_MIN 0.25
/* The upstreams of a pool finish at most 1 ms of their backlog in each ms. */
#define BACKLOG_RATE_MAX 1.0
/* Samples that span less time give no rate: single calls take up to 0.4 s. */
#define BACKLOG_SPAN_MIN_MS 400
/* Older samples of the backlog don't count; the timer rests while there is no chain. */
#define BACKLOG_AGE_MAX_MS 2000

static void add_error(struct chain_errors *errors, int64_t error_ms, int64_t now_ms)
{
	errors->samples[errors->next] = (struct chain_error_sample){now_ms, error_ms};
	errors->next = (errors->next + 1) % CHAIN_ERROR_SAMPLES;
	errors->n = MIN(errors->n + 1, CHAIN_ERROR_SAMPLES);
}

void chain_note_error(const struct job *job, int64_t ready_ms, int64_t now_ms)
{
	int64_t estimate_ms = job->expect_at_ms - CHAIN_FIRST_TOKEN_MS;

	if (job->binding)
		add_error(&job->binding->errors[job->bound.late], ready_ms - estimate_ms, now_ms);
}

static int compare_ms(const void *left, const void *right)
{
	const int64_t *a = left;
	const int64_t *b = right;

	return *a < *b ? -1 : *a > *b;
}

static struct chain_error_quantiles compute_errors(const struct chain_errors *errors,
						   int64_t now_ms)
{
	struct chain_error_quantiles q = {.age_ms = -1};
	int64_t sorted[CHAIN_ERROR_SAMPLES];

	for (uint32_t i = 0; i < errors->n; i++) {
		const struct chain_error_sample *sample = &errors->samples[i];
		int64_t age_ms = now_ms - sample->at_ms;
		if (age_ms > CHAIN_ERROR_AGE_MAX_MS)
			continue;
		sorted[q.n++] = sample->error_ms;
		q.age_ms = q.age_ms < 0 ? age_ms : MIN(q.age_ms, age_ms);
	}
	if (q.n < CHAIN_ERROR_SAMPLES_MIN)
		return q;
	qsort(sorted, q.n, sizeof(sorted[0]), compare_ms);
	q.p10_ms = sorted[q.n * PCT_LOW / PCT_ALL];
	q.p50_ms = sorted[q.n * PCT_MEDIAN / PCT_ALL];
	q.p90_ms = sorted[q.n * PCT_HIGH / PCT_ALL];
	return q;
}

struct chain_error_quantiles chain_get_errors(struct pool *pool, bool late, int64_t now_ms)
{
	struct chain_errors *errors = &pool->errors[late];

	if (errors->computed_ms == 0 || now_ms - errors->computed_ms >= CHAIN_ERROR_REFRESH_MS) {
		errors->quantiles = compute_errors(errors, now_ms);
		errors->computed_ms = now_ms;
	}
	return errors->quantiles;
}

static bool needs_large_pools_only(const struct job *job)
{
	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		if (s->n_pieces > 0 && (!s->pool || !chain_share_is_large(s->pool)))
			return false;
	}
	return true;
}

/*
 * Returns whether the bound from measured errors applies to the chain: the policy is on, every pool
 * that it needs is large, and enough errors of late chains are known for the binding pool.
 */
static bool uses_error_bound(const struct chain_sched *c, const struct job *job, int64_t now_ms)
{
	return policy_is_on(c->off, POLICY_LATE_BY_ERROR) && job->binding &&
	       chain_get_errors(job->binding, true, now_ms).n >= CHAIN_ERROR_SAMPLES_MIN &&
	       needs_large_pools_only(job);
}

bool chain_fits_late(const struct chain_sched *c, struct job *job, int64_t now_ms)
{
	int64_t in_ms = job->expect_at_ms - now_ms;
	struct chain_error_quantiles errors = {.age_ms = -1};

	if (job->binding)
		errors = chain_get_errors(job->binding, true, now_ms);
	job->bound = (struct chain_bound){
		.rule = RULE_FIXED,
		.pool = job->binding ? job->binding->service : NULL,
		.late = true,
		.samples = errors.n,
		.age_ms = errors.age_ms,
		.error_ms = errors.p90_ms,
	};
	if (!uses_error_bound(c, job, now_ms))
		return in_ms <= CHAIN_LATE_MAX_MS &&
		       now_ms + (int64_t)(in_ms * CHAIN_LATE_FACTOR) + CHAIN_DEADLINE_MARGIN_MS <=
			       job->deadline_at_ms;
	job->bound.rule = RULE_ERROR;
	job->bound.by_error = true;
	/*
	 * An estimate that proved too long isn't shortened: the errors are of shorter waits than
	 * those at the bound.
	 */
	return job->expect_at_ms + MAX(errors.p90_ms, 0) + CHAIN_DEADLINE_MARGIN_MS <=
		       job->deadline_at_ms &&
	       (!chain_has_begun(job) || in_ms <= chain_results_left_ms(job, now_ms));
}

void chain_note_backlog(struct pool *pool, double wait_ms, int64_t now_ms)
{
	struct chain_backlog *backlog = &pool->backlog;

	backlog->samples[backlog->next].at_ms = now_ms;
	backlog->samples[backlog->next].wait_ms = wait_ms;
	backlog->next = (backlog->next + 1) % CHAIN_BACKLOG_SAMPLES;
	backlog->n = MIN(backlog->n + 1, CHAIN_BACKLOG_SAMPLES);
}

double chain_backlog_rate(const struct pool *pool, int64_t now_ms)
{
	const struct chain_backlog *b = &pool->backlog;
	uint32_t newest = (b->next + CHAIN_BACKLOG_SAMPLES - 1) % CHAIN_BACKLOG_SAMPLES;
	uint32_t oldest = newest;
	int64_t span_ms;

	for (uint32_t i = 1; i < b->n; i++) {
		uint32_t at = (newest + CHAIN_BACKLOG_SAMPLES - i) % CHAIN_BACKLOG_SAMPLES;
		if (now_ms - b->samples[at].at_ms > BACKLOG_AGE_MAX_MS)
			break;
		oldest = at;
	}
	span_ms = b->samples[newest].at_ms - b->samples[oldest].at_ms;
	if (span_ms < BACKLOG_SPAN_MIN_MS)
		return BACKLOG_RATE_MIN;
	return CLAMP((b->samples[oldest].wait_ms - b->samples[newest].wait_ms) / (double)span_ms,
		     BACKLOG_RATE_MIN, BACKLOG_RATE_MAX);
}

int64_t chain_retry_after_ms(const struct job *job, int64_t now_ms)
{
	int64_t in_ms = job->expect_at_ms - now_ms;

	if (!job->bound.by_error)
		/*
		 * By then the estimate of a late chain is expected to be half of
		 * CHAIN_LATE_MAX_MS.
		 */
		return CLAMP(in_ms - CHAIN_LATE_MAX_MS / 2, CHAIN_RETRY_AFTER_MIN_MS,
			     CHAIN_RETRY_AFTER_MAX_MS);
	return CLAMP((int64_t)((double)(job->expect_at_ms - job->aim_at_ms) /
			       chain_backlog_rate(job->binding, now_ms)),
		     CHAIN_RETRY_AFTER_MIN_MS, CHAIN_RETRY_AFTER_LIMIT_MS);
}
