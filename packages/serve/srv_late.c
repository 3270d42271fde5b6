/* Late chains and the errors of estimates: for the log, the dump and the metrics. */
#include "srv_int.h"

#include "base/clock.h"

#include <jansson.h>

#define CLASSES 2 /* in time, late */

static const char *class_name(bool late)
{
	return late ? "late" : "in_time";
}

json_t *srv_bound_json(const struct chain_bound *bound)
{
	/* Errors decide on late chains alone. */
	if (!bound->late)
		return json_pack("{s:s, s:s?}", "rule", bound->rule, "pool", bound->pool);
	return json_pack("{s:s, s:s?, s:i, s:I, s:I}", "rule", bound->rule, "pool", bound->pool,
			 "samples", (int)bound->samples, "age_ms", (json_int_t)bound->age_ms,
			 "error_ms", (json_int_t)bound->error_ms);
}

static json_t *errors_json(const struct srv *s, int64_t now_ms)
{
	struct chain_error_stats stats[POOLS_MAX * CLASSES];
	uint32_t n = chain_get_error_stats(s->chains, stats, G_N_ELEMENTS(stats), now_ms);
	json_t *list = json_array();

	for (uint32_t i = 0; i < n; i++)
		json_array_append_new(list, json_pack("{s:s, s:s, s:i, s:I, s:I, s:I, s:I}", "pool",
						      stats[i].service, "class",
						      class_name(stats[i].late), "samples",
						      (int)stats[i].samples, "age_ms",
						      (json_int_t)stats[i].age_ms, "p10_ms",
						      (json_int_t)stats[i].p10_ms, "p50_ms",
						      (json_int_t)stats[i].p50_ms, "p90_ms",
						      (json_int_t)stats[i].p90_ms));
	return list;
}

json_t *srv_late_json(const struct srv *s)
{
	struct chain_late_stats late = chain_get_late_stats(s->chains);

	return json_pack(
		"{s:i, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "held", (int)late.n_held,
		"late_fixed", (json_int_t)late.n_late_fixed, "late_error",
		(json_int_t)late.n_late_error, "refused_fixed", (json_int_t)late.n_refused_fixed,
		"refused_error", (json_int_t)late.n_refused_error, "refused_waiting",
		(json_int_t)late.n_refused_waiting, "expired", (json_int_t)late.n_expired,
		"returned", (json_int_t)late.n_returned, "returned_admitted",
		(json_int_t)late.n_returned_admitted, "returned_served",
		(json_int_t)late.n_returned_served, "errors", errors_json(s, clock_now_ms()));
}

static void write_counters(const struct chain_late_stats *late, GString *out)
{
	const struct {
		const char *name;
		const char *help;
		uint64_t value;
	} counters[] = {
		{"chains_late_fixed_total", "chains admitted as late by the fixed bound",
		 late->n_late_fixed},
		{"chains_late_error_total", "chains admitted as late by the measured error",
		 late->n_late_error},
		{"chains_refused_fixed_total", "chains refused on arrival by the fixed bound",
		 late->n_refused_fixed},
		{"chains_refused_error_total", "chains refused on arrival by the measured error",
		 late->n_refused_error},
		{"chains_refused_waiting_total",
		 "held chains refused as they could no longer be served", late->n_refused_waiting},
		{"chains_expired_total", "chains refused as a stored result was about to expire",
		 late->n_expired},
		{"chains_returned_total", "chains that came again after a refusal",
		 late->n_returned},
		{"chains_returned_admitted_total", "of these, admitted", late->n_returned_admitted},
		{"chains_returned_served_total", "of these, all results were ready",
		 late->n_returned_served},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(counters); i++)
		g_string_append_printf(out,
				       "# HELP currantscale_%s %s\n# TYPE currantscale_%s counter\n"
				       "currantscale_%s %" G_GUINT64_FORMAT "\n",
				       counters[i].name, counters[i].help, counters[i].name,
				       counters[i].name, counters[i].value);
}

static void write_error(const struct chain_error_stats *stats, const char *quantile,
			int64_t error_ms, GString *out)
{
	char *pool = g_strescape(stats->service, NULL);

	g_string_append_printf(out,
			       "currantscale_chain_error_ms{pool=\"%s\",class=\"%s\","
			       "quantile=\"%s\"} %" G_GINT64_FORMAT "\n",
			       pool, class_name(stats->late), quantile, error_ms);
	g_free(pool);
}

static void write_errors(const struct chain_error_stats *stats, GString *out)
{
	if (stats->samples < CHAIN_ERROR_SAMPLES_MIN)
		return;
	write_error(stats, "0.1", stats->p10_ms, out);
	write_error(stats, "0.5", stats->p50_ms, out);
	write_error(stats, "0.9", stats->p90_ms, out);
}

static void write_samples(const struct chain_error_stats *stats, GString *out)
{
	char *pool = g_strescape(stats->service, NULL);

	g_string_append_printf(out,
			       "currantscale_chain_error_samples{pool=\"%s\",class=\"%s\"} %u\n",
			       pool, class_name(stats->late), stats->samples);
	g_free(pool);
}

void srv_late_write(const struct srv *s, GString *out)
{
	struct chain_late_stats late = chain_get_late_stats(s->chains);
	struct chain_error_stats stats[POOLS_MAX * CLASSES];
	uint32_t n = chain_get_error_stats(s->chains, stats, G_N_ELEMENTS(stats), clock_now_ms());

	write_counters(&late, out);
	g_string_append_printf(
		out,
		"# HELP currantscale_chains_held late chains that may not begin yet\n"
		"# TYPE currantscale_chains_held gauge\n"
		"currantscale_chains_held %u\n"
		"# HELP currantscale_chain_error_ms actual less estimated time to the "
		"last result\n"
		"# TYPE currantscale_chain_error_ms gauge\n",
		late.n_held);
	for (uint32_t i = 0; i < n; i++)
		write_errors(&stats[i], out);
	g_string_append(out, "# HELP currantscale_chain_error_samples estimates of the last 10 s "
			     "whose error is known\n"
			     "# TYPE currantscale_chain_error_samples gauge\n");
	for (uint32_t i = 0; i < n; i++)
		write_samples(&stats[i], out);
}
