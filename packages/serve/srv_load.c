/* A log line at intervals that says how busy the node has been since the last one. */
#include "srv_int.h"

#include "base/log.h"

#include <sys/resource.h>

#define LOAD_INTERVAL_MS 5000
#define MS_PER_S 1000
#define US_PER_MS 1000

/* Returns the processor time that the process has used so far. */
static int64_t cpu_ms(void)
{
	struct rusage use;

	if (getrusage(RUSAGE_SELF, &use) != 0)
		return 0; /* can't fail for RUSAGE_SELF */
	return ((int64_t)use.ru_utime.tv_sec + use.ru_stime.tv_sec) * MS_PER_S +
	       (use.ru_utime.tv_usec + use.ru_stime.tv_usec) / US_PER_MS;
}

static json_t *owned_regions_json(const struct srv *s)
{
	json_t *list = json_array();

	for (guint i = 0; i < s->regions->len; i++) {
		const struct srv_region *region = g_ptr_array_index(s->regions, i);
		if (region->is_owned)
			json_array_append_new(list, json_string(region->name));
	}
	return list;
}

void srv_load_note_tick(struct srv *s, int64_t late_ms, int64_t now_ms)
{
	struct srv_load *load = &s->load;
	int64_t used_ms;

	srv_histogram_observe(&s->loop_lag, late_ms);
	load->lag_max_ms = MAX(load->lag_max_ms, late_ms);
	load->lag_sum_ms += late_ms;
	load->ticks++;
	if (now_ms - load->logged_ms < LOAD_INTERVAL_MS)
		return;
	used_ms = cpu_ms();
	log_info("load", "{s:I, s:I, s:I, s:I, s:i, s:o, s:I, s:o}", "interval_ms",
		 (json_int_t)(now_ms - load->logged_ms), "cpu_ms",
		 (json_int_t)(used_ms - load->cpu_ms), "lag_mean_ms",
		 (json_int_t)(load->lag_sum_ms / load->ticks), "lag_max_ms",
		 (json_int_t)load->lag_max_ms, "chains", (int)chain_count_jobs(s->chains), "owned",
		 owned_regions_json(s), "source_calls", (json_int_t)s->counters[SRV_SOURCE_CALLS],
		 "sent_other_region", srv_traffic_json(&s->traffic, SRV_OTHER_REGION));
	*load = (struct srv_load){.logged_ms = now_ms, .cpu_ms = used_ms};
}
