#include "decide/pace.h"

#include <math.h>

/*
 * Time constant of a pool's usual pace for one upstream that reports all the time; with n of them
 * it is n times shorter: 1.8 s with 17, three changes of the set of slow machines.
 */
#define USUAL_MS 30000.0
/*
 * Longest time for which a report counts in the usual pace: an upstream that was idle for a minute
 * doesn't tell how it was all that time.
 */
#define REPORT_SPAN_MS 600
/* Rounds in which the duration and the mean pace over it are solved for each other. */
#define MEAN_ROUNDS 2

void pace_set_run(struct pace *p, int64_t born_ms)
{
	if (p->born_ms != born_ms)
		*p = (struct pace){.born_ms = born_ms};
}

/*
 * Each report counts for the time since the upstream's previous one. Counted equally, slow
 * upstreams would weigh too little, as they answer less often.
 */
static void update_usual(struct pace_usual *usual, double factor, int64_t span_ms)
{
	double gain = 1 - exp(-(double)span_ms / USUAL_MS);

	if (!usual->known)
		*usual = (struct pace_usual){.factor = 1.0, .speed = 1.0, .known = true};
	usual->factor += gain * (factor - usual->factor);
	usual->speed += gain * (1 / factor - usual->speed);
}

bool pace_note(struct pace *p, struct pace_usual *usual, int64_t born_ms, int32_t pct,
	       int64_t now_ms)
{
	double factor = pct / 100.0;
	int64_t span_ms;

	if (pct < PACE_PCT_MIN || pct > PACE_PCT_MAX || born_ms < p->born_ms)
		return false;
	pace_set_run(p, born_ms);
	span_ms = p->reported ? now_ms - p->heard_ms : REPORT_SPAN_MS;
	if (span_ms < 0)
		span_ms = 0;
	if (span_ms > REPORT_SPAN_MS)
		span_ms = REPORT_SPAN_MS;
	update_usual(usual, factor, span_ms);
	p->reported = true;
	p->factor = factor;
	p->heard_ms = now_ms;
	return true;
}

/* Returns the weight of the latest report in the belief for a moment. */
static double weight_at(const struct pace *p, int64_t at_ms)
{
	return at_ms > p->heard_ms ? exp(-(double)(at_ms - p->heard_ms) / PACE_FADE_MS) : 1.0;
}

double pace_at(const struct pace *p, const struct pace_usual *usual, int64_t at_ms)
{
	if (!p->reported)
		return 1.0;
	return usual->factor + (p->factor - usual->factor) * weight_at(p, at_ms);
}

double pace_speed_at(const struct pace *p, const struct pace_usual *usual, int64_t at_ms)
{
	if (!p->reported)
		return 1.0;
	return usual->speed + (1 / p->factor - usual->speed) * weight_at(p, at_ms);
}

double pace_over(const struct pace *p, const struct pace_usual *usual, int64_t from_ms,
		 double work_ms)
{
	double start = pace_at(p, usual, from_ms);
	double mean = start;

	if (!p->reported)
		return 1.0;
	for (int i = 0; i < MEAN_ROUNDS; i++) {
		double fades = work_ms * mean / PACE_FADE_MS;
		if (fades > 0)
			mean = usual->factor + (start - usual->factor) * (1 - exp(-fades)) / fades;
	}
	return mean;
}

double pace_explained(double ratio, double start_factor, double end_factor)
{
	double least = fmin(start_factor, end_factor);
	double most = fmax(start_factor, end_factor);

	return fmin(fmax(ratio, least), most);
}

int64_t pace_age_ms(const struct pace *p, int64_t now_ms)
{
	if (!p->reported)
		return -1;
	return now_ms > p->heard_ms ? now_ms - p->heard_ms : 0;
}
