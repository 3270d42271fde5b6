#include "decide/eligible.h"

const char *eligible_reason_name(enum eligible_reason reason)
{
	static const char *const names[] = {
		[ELIGIBLE_OK] = "ok",
		[ELIGIBLE_NOT_IN_CONFIG] = "not_in_config",
		[ELIGIBLE_NOT_LISTED] = "not_listed",
		[ELIGIBLE_LEAVING] = "leaving",
		[ELIGIBLE_DATA_CENTRE_OUT] = "data_centre_out",
		[ELIGIBLE_VIEW_STALE] = "view_stale",
		[ELIGIBLE_EJECTED] = "ejected",
		[ELIGIBLE_FULL] = "full",
	};

	return names[reason];
}

static bool is_after_pause(const struct bb *bb, int64_t ms)
{
	return bb->resumed_at_ms == BB_NEVER || ms > bb->resumed_at_ms;
}

bool eligible_is_confirmed(const struct bb *bb, int64_t now_ms)
{
	return bb->cfg && bb->list && now_ms - bb->last_tick_ms <= ELIGIBLE_TICK_GAP_MS &&
	       is_after_pause(bb, MAX(bb->view_ms, bb->list_peer_confirmed_ms)) &&
	       is_after_pause(bb, MAX(bb->cfg_confirmed_ms, bb->places_peer_confirmed_ms));
}

bool eligible_view_ok(const struct bb *bb, int64_t now_ms)
{
	int64_t confirmed_ms = MAX(bb->view_ms, bb->list_peer_confirmed_ms);

	if (!eligible_is_confirmed(bb, now_ms))
		return false;
	return bb->others->len == 0 || now_ms - confirmed_ms <= bb->cfg->capacity.view_age_ms;
}

enum eligible_reason eligible_check(const struct bb *bb, const struct bb_upstream *up,
				    int64_t now_ms)
{
	if (!bb->cfg || !up->in_config)
		return ELIGIBLE_NOT_IN_CONFIG;
	if (!up->in_list)
		return ELIGIBLE_NOT_LISTED;
	if (up->leaving)
		return ELIGIBLE_LEAVING;
	if (!bb->cfg->places.data_centres[up->dc].in_service)
		return ELIGIBLE_DATA_CENTRE_OUT;
	if (!eligible_view_ok(bb, now_ms))
		return ELIGIBLE_VIEW_STALE;
	if (up->ejected_until_ms > now_ms)
		return ELIGIBLE_EJECTED;
	return ELIGIBLE_OK;
}
