/*
 * Beliefs about the pace of upstreams: by what factor work takes longer there than usual. Upstreams
 * report it in their answers, and it changes within a second, so a belief has an age: it starts at
 * the reported value and fades to what the pool usually shows. Times are inputs; the module reads
 * no clock.
 */
#ifndef DECIDE_PACE_H
#define DECIDE_PACE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Bounds on reported figures, in percent of the usual duration. Others are ignored. */
#define PACE_PCT_MIN 10
#define PACE_PCT_MAX 10000
/* Time constant of the fade: about the interval at which the pace of machines changes. */
#define PACE_FADE_MS 600

/* What a pool usually shows: averages over its upstreams and over time, valid if known. */
struct pace_usual {
	double factor;
	double speed; /* work done per unit of time: the mean of 1 / factor */
	bool known;
};

/* The belief about one run of an upstream; all zero before its first report. */
struct pace {
	int64_t born_ms;  /* identifies the run; 0: unknown */
	bool reported;	  /* this run has reported; false: its factor is 1 */
	double factor;	  /* latest report */
	int64_t heard_ms; /* time of the latest report */
};

/* Drops the belief if it is about another run than this one. */
void pace_set_run(struct pace *p, int64_t born_ms);

/*
 * Applies a report of the run that was born at born_ms. Returns false, without any change, for a
 * figure outside the bounds or a report of an earlier run.
 */
bool pace_note(struct pace *p, struct pace_usual *usual, int64_t born_ms, int32_t pct,
	       int64_t now_ms);

/* Returns the factor believed for a moment; 1 if the run has never reported. */
double pace_at(const struct pace *p, const struct pace_usual *usual, int64_t at_ms);

/*
 * Returns the mean factor believed over work that starts at from_ms and takes work_ms at factor 1;
 * exactly 1 if the run has never reported.
 */
double pace_over(const struct pace *p, const struct pace_usual *usual, int64_t from_ms,
		 double work_ms);

/* Returns the speed believed for a moment, as work done per unit of time; 1 as pace_at(). */
double pace_speed_at(const struct pace *p, const struct pace_usual *usual, int64_t at_ms);

/*
 * Returns the part of ratio, of a measured to the usual duration, that reports explain: any factor
 * between those at the start and at the end of the work may have applied.
 */
double pace_explained(double ratio, double start_factor, double end_factor);

/* Returns the age of the latest report of the run; -1: there is none. */
int64_t pace_age_ms(const struct pace *p, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
