/* Versions of the software of the stub's engines. */
#include "stub_int.h"

#include "base/clock.h"

#include <string.h>

#define VERSION_DEFAULT "v1"
#define RESTART_MS 150 /* between an engine's new entry and its first answer */

const char *stub_version_of(const struct stub_engine_options *options)
{
	return g_intern_string(options->version ? options->version : VERSION_DEFAULT);
}

int64_t stub_next_born_ms(const struct stub_engine *e)
{
	return MAX(e->born_ms + 1, g_get_real_time() / CLOCK_US_PER_MS);
}

static void set_version(struct stub *s, const char *id, const char *version, bool restarts)
{
	struct stub_engine *e;

	pthread_mutex_lock(&s->lock);
	e = g_hash_table_lookup(s->engines, id);
	e->version = g_intern_string(version);
	if (restarts) {
		e->born_ms = stub_next_born_ms(e);
		e->down_until_ms = clock_now_ms() + RESTART_MS;
	}
	pthread_mutex_unlock(&s->lock);
	if (restarts)
		stub_start(s, e);
}

void stub_set_version(struct stub *s, const char *id, const char *version, bool restarts)
{
	set_version(s, id, version, restarts);
	stub_publish(s, id, "ready");
}

void stub_set_report(struct stub *s, const char *id, enum stub_report report)
{
	pthread_mutex_lock(&s->lock);
	((struct stub_engine *)g_hash_table_lookup(s->engines, id))->report = report;
	pthread_mutex_unlock(&s->lock);
}

bool stub_answer_report(struct stub_engine *e, struct http_server_request *request)
{
	if (strcmp(request->target, "/-/report") != 0)
		return false;
	e->stats.reports++;
	if (clock_now_ms() < e->down_until_ms)
		http_server_abort(request);
	else if (e->report == STUB_REPORT_MISSING)
		http_server_respond(request, 404, NULL, "", 0);
	else if (e->report == STUB_REPORT_GIVEN)
		stub_answer_json(request, 200, NULL,
				 json_pack("{s:s, s:I}", "version", e->version, "born",
					   (json_int_t)e->born_ms));
	return true;
}

void stub_restart_unpublished(struct stub *s, const char *id, const char *version)
{
	set_version(s, id, version, true);
}
