/*
 * Measured error of the estimates of admission, and rates at which backlogs fall. Kept for each
 * pool, in memory only: a new owner begins without samples.
 */
#ifndef DECIDE_CHAIN_ESTIMATE_INTERNAL_H
#define DECIDE_CHAIN_ESTIMATE_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

struct chain_sched;
struct job;
struct pool;

/* Newest errors kept for a pool and class. */
#define CHAIN_ERROR_SAMPLES 256
/* Older samples don't count: waves of traffic change a pool's load within some tens of seconds. */
#define CHAIN_ERROR_AGE_MAX_MS 10000
/* The quantiles are computed at most this often, as it takes a sort of the samples. */
#define CHAIN_ERROR_REFRESH_MS 100

/* Backlogs of the last 1.6 s, for the rate at which they fall. */
#define CHAIN_BACKLOG_SAMPLES 16

struct chain_error_sample {
	int64_t at_ms;
	int64_t error_ms;
};

/* Quantiles of the actual time less the estimated time to the last result. */
struct chain_error_quantiles {
	uint32_t n;	/* samples that count */
	int64_t age_ms; /* of the newest one; -1: there is none */
	int64_t p10_ms;
	int64_t p50_ms;
	int64_t p90_ms;
};

struct chain_errors {
	struct chain_error_sample samples[CHAIN_ERROR_SAMPLES]; /* a ring */
	uint32_t next;
	uint32_t n;
	int64_t computed_ms; /* when the quantiles were computed; 0: never */
	struct chain_error_quantiles quantiles;
};

/* Time to finish the pool's work, as sampled in each review of late chains. */
struct chain_backlog {
	struct {
		int64_t at_ms;
		double wait_ms;
	} samples[CHAIN_BACKLOG_SAMPLES]; /* a ring */
	uint32_t next;
	uint32_t n;
};

/* Notes the error of the estimate of a chain whose last result would be ready at ready_ms. */
void chain_note_error(const struct job *job, int64_t ready_ms, int64_t now_ms);

/* Returns the quantiles as of now; with too few samples only n and age_ms are set. */
struct chain_error_quantiles chain_get_errors(struct pool *pool, bool late, int64_t now_ms);

/*
 * Decides whether a chain that can't be in time is admitted as late, by the bound that applies to
 * it, which is noted in the job.
 */
bool chain_fits_late(const struct chain_sched *c, struct job *job, int64_t now_ms);

/* Samples the time to finish the pool's work. */
void chain_note_backlog(struct pool *pool, double wait_ms, int64_t now_ms);

/* Returns by how many ms the backlog falls in each ms, within bounds. */
double chain_backlog_rate(const struct pool *pool, int64_t now_ms);

/*
 * Returns when the refused chain would be admitted in time if it came again: once the work that is
 * now ahead of it has fallen so far that its estimate meets its latency target. It won't be
 * admitted as late then, as its deadline comes nearer by as much as the work falls at most.
 */
int64_t chain_retry_after_ms(const struct job *job, int64_t now_ms);

#endif
