#include "base/err.h"

static const struct err_info err_table[ERR_CODES] = {
	[ERR_NONE] = {"none", 200, ERR_OUTCOME_COMPLETE, false},
	[ERR_BAD_REQUEST] = {"bad_request", 400, ERR_OUTCOME_NOT_RUN, false},
	[ERR_TOO_LARGE] = {"too_large", 413, ERR_OUTCOME_NOT_RUN, false},
	[ERR_BAD_JSON] = {"bad_json", 400, ERR_OUTCOME_NOT_RUN, false},
	[ERR_NOT_FOUND] = {"not_found", 404, ERR_OUTCOME_NOT_RUN, false},
	[ERR_UNKNOWN_PIPELINE] = {"unknown_pipeline", 404, ERR_OUTCOME_NOT_RUN, false},
	[ERR_UNKNOWN_SERVICE] = {"unknown_service", 404, ERR_OUTCOME_NOT_RUN, false},
	[ERR_UNKNOWN_CALL] = {"unknown_call", 404, ERR_OUTCOME_NOT_RUN, false},
	[ERR_UNAUTHORISED] = {"unauthorised", 401, ERR_OUTCOME_NOT_RUN, false},
	[ERR_DEADLINE_EXPIRED] = {"deadline_expired", 504, ERR_OUTCOME_NOT_RUN, false},
	[ERR_DEADLINE_UNREACHABLE] = {"deadline_unreachable", 503, ERR_OUTCOME_NOT_RUN, true},
	[ERR_NO_UPSTREAM] = {"no_upstream", 503, ERR_OUTCOME_NOT_RUN, true},
	[ERR_OVERLOADED] = {"overloaded", 503, ERR_OUTCOME_NOT_RUN, true},
	[ERR_RATE_LIMITED] = {"rate_limited", 429, ERR_OUTCOME_NOT_RUN, true},
	[ERR_TICKET_REQUIRED] = {"ticket_required", 428, ERR_OUTCOME_NOT_RUN, false},
	[ERR_TICKET_MALFORMED] = {"ticket_malformed", 400, ERR_OUTCOME_NOT_RUN, false},
	[ERR_TICKET_UNKNOWN] = {"ticket_unknown", 409, ERR_OUTCOME_UNKNOWN, false},
	[ERR_TICKET_EXPIRED] = {"ticket_expired", 409, ERR_OUTCOME_UNKNOWN, false},
	[ERR_TICKET_REFUSED] = {"ticket_refused", 409, ERR_OUTCOME_NOT_RUN, false},
	[ERR_OWNER_UNREACHABLE] = {"owner_unreachable", 503, ERR_OUTCOME_UNKNOWN, true},
	[ERR_UPSTREAM_BROKEN] = {"upstream_broken", 502, ERR_OUTCOME_UNKNOWN, false},
	[ERR_UPSTREAM_REFUSED] = {"upstream_refused", 503, ERR_OUTCOME_NOT_RUN, true},
	[ERR_UPSTREAM_TIMEOUT] = {"upstream_timeout", 504, ERR_OUTCOME_UNKNOWN, false},
	[ERR_STREAM_CUT] = {"stream_cut", 502, ERR_OUTCOME_UNKNOWN, false},
	[ERR_NO_RESUME] = {"no_resume", 502, ERR_OUTCOME_UNKNOWN, false},
	[ERR_PARTLY_DONE] = {"partly_done", 503, ERR_OUTCOME_UNKNOWN, true},
	[ERR_NOT_READY] = {"not_ready", 503, ERR_OUTCOME_NOT_RUN, true},
	[ERR_DRAINING] = {"draining", 503, ERR_OUTCOME_NOT_RUN, true},
	[ERR_YAML] = {"yaml", 400, ERR_OUTCOME_NOT_RUN, false},
	[ERR_CONFIG_UNKNOWN_KEY] = {"unknown_key", 400, ERR_OUTCOME_NOT_RUN, false},
	[ERR_CONFIG_DUPLICATE_KEY] = {"duplicate_key", 400, ERR_OUTCOME_NOT_RUN, false},
	[ERR_CONFIG_MISSING_KEY] = {"missing_key", 400, ERR_OUTCOME_NOT_RUN, false},
	[ERR_CONFIG_BAD_VALUE] = {"bad_value", 400, ERR_OUTCOME_NOT_RUN, false},
	[ERR_CONFIG_BAD_REFERENCE] = {"bad_reference", 400, ERR_OUTCOME_NOT_RUN, false},
	[ERR_CONFIG_STALE] = {"stale_revision", 409, ERR_OUTCOME_NOT_RUN, false},
	[ERR_CONFIG_CONFLICT] = {"revision_conflict", 409, ERR_OUTCOME_NOT_RUN, false},
	[ERR_SETTINGS] = {"bad_settings", 500, ERR_OUTCOME_NOT_RUN, false},
	[ERR_IO] = {"io", 502, ERR_OUTCOME_UNKNOWN, false},
	[ERR_PROTOCOL] = {"protocol", 502, ERR_OUTCOME_UNKNOWN, false},
};

GQuark err_quark(void)
{
	return g_quark_from_static_string("currantscale");
}

const struct err_info *err_info(int code)
{
	if (code < 0 || code >= ERR_CODES)
		return &err_table[ERR_PROTOCOL];
	return &err_table[code];
}

const char *err_outcome_name(enum err_outcome outcome)
{
	static const char *const names[] = {
		[ERR_OUTCOME_COMPLETE] = "complete",
		[ERR_OUTCOME_NOT_RUN] = "not_run",
		[ERR_OUTCOME_UNKNOWN] = "unknown",
	};

	return names[outcome];
}

bool err_set(GError **error, enum err_code code, const char *format, ...)
{
	va_list args;

	if (!error)
		return false;
	va_start(args, format);
	*error = g_error_new_valist(ERR_DOMAIN, code, format, args);
	va_end(args);
	return false;
}
