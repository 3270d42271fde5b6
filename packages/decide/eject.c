#include "decide/eject.h"

#define EJECT_DOUBLINGS_MAX 4 /* limit of the doublings of routing.eject_ms */

static uint32_t count_ejected(const struct bb_service *service, int64_t now_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < service->upstreams->len; i++) {
		const struct bb_upstream *up = g_ptr_array_index(service->upstreams, i);
		n += up->ejected_until_ms > now_ms;
	}
	return n;
}

/* Called only after repeated failures, because it scans all upstreams of the service. */
static void eject(struct bb *bb, struct bb_upstream *up, int64_t now_ms)
{
	uint32_t ejected = count_ejected(up->service, now_ms);

	if ((ejected + 1) * 2 > up->service->upstreams->len)
		return;
	up->ejected_until_ms = now_ms + (bb->cfg->routing.eject_ms << up->ejections);
	up->window = up->service->cold_limit;
	if (up->ejections < EJECT_DOUBLINGS_MAX)
		up->ejections++;
}

void eject_record_result(struct bb *bb, struct bb_upstream *up, bool healthy, int64_t now_ms)
{
	if (healthy) {
		up->failures = 0;
		up->ejections = 0;
		return;
	}
	if (++up->failures < bb->cfg->routing.eject_failures)
		return;
	up->failures = 0;
	if (up->ejected_until_ms <= now_ms)
		eject(bb, up, now_ms);
}
