#include "decide/elg.h"

const char *elg_reason_name(enum elg_reason reason)
{
	static const char *const names[] = {
		[ELG_OK] = "ok",
		[ELG_NOT_IN_CONFIG] = "not_in_config",
		[ELG_NOT_LISTED] = "not_listed",
		[ELG_LEAVING] = "leaving",
		[ELG_DATA_CENTRE_OUT] = "data_centre_out",
		[ELG_VIEW_STALE] = "view_stale",
		[ELG_EJECTED] = "ejected",
		[ELG_FULL] = "full",
	};

	return names[reason];
}

static bool is_after_pause(const struct bb *bb, int64_t ms)
{
	return bb->resumed_at_ms == BB_NEVER || ms > bb->resumed_at_ms;
}

bool elg_is_sure(const struct bb *bb, int64_t now_ms)
{
	return bb->cfg && bb->list && now_ms - bb->last_tick_ms <= ELG_GAP_MS &&
	       is_after_pause(bb, MAX(bb->view_ms, bb->view_peer_ms)) &&
	       is_after_pause(bb, MAX(bb->cfg_confirmed_ms, bb->cfg_peer_ms));
}

bool elg_view_ok(const struct bb *bb, int64_t now_ms)
{
	int64_t confirmed_ms = MAX(bb->view_ms, bb->view_peer_ms);

	if (!elg_is_sure(bb, now_ms))
		return false;
	return bb->others->len == 0 || now_ms - confirmed_ms <= bb->cfg->capacity.view_age_ms;
}

enum elg_reason elg_check(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms)
{
	if (!bb->cfg || !up->in_config)
		return ELG_NOT_IN_CONFIG;
	if (!up->in_list)
		return ELG_NOT_LISTED;
	if (up->leaving)
		return ELG_LEAVING;
	if (!bb->cfg->places.data_centres[up->dc].in_service)
		return ELG_DATA_CENTRE_OUT;
	if (!elg_view_ok(bb, now_ms))
		return ELG_VIEW_STALE;
	if (up->ejected_until_ms > now_ms)
		return ELG_EJECTED;
	return ELG_OK;
}
