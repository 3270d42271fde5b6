/*
 * Error codes. Every error is a GError in the domain ERR_DOMAIN with an enum err_code as its code.
 * err_info() gives the stable name of a code, the HTTP status returned to the caller and the
 * outcome of the request.
 */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What a caller may conclude about the execution of its request. */
enum err_outcome {
	ERR_OUTCOME_COMPLETE, /* the complete response is attached */
	ERR_OUTCOME_NOT_RUN,  /* the request did not run and never will */
	ERR_OUTCOME_UNKNOWN,  /* the request may or may not have run */
};

enum err_code {
	ERR_NONE,
	ERR_BAD_REQUEST,
	ERR_TOO_LARGE,
	ERR_BAD_JSON,
	ERR_NOT_FOUND,
	ERR_UNKNOWN_PIPELINE,
	ERR_UNKNOWN_SERVICE,
	ERR_UNKNOWN_CALL,
	ERR_UNAUTHORISED,
	ERR_DEADLINE_EXPIRED,
	ERR_DEADLINE_UNREACHABLE,
	ERR_NO_UPSTREAM,
	ERR_OVERLOADED,
	ERR_RATE_LIMITED,
	ERR_TICKET_REQUIRED,
	ERR_TICKET_MALFORMED,
	ERR_TICKET_UNKNOWN,
	ERR_TICKET_EXPIRED,
	ERR_TICKET_REFUSED,
	ERR_OWNER_UNREACHABLE,
	ERR_UPSTREAM_BROKEN,
	ERR_UPSTREAM_REFUSED,
	ERR_UPSTREAM_TIMEOUT,
	ERR_STREAM_CUT,
	ERR_NO_RESUME,
	ERR_PARTLY_DONE,
	ERR_NOT_READY,
	ERR_DRAINING,
	ERR_YAML,
	ERR_CONFIG_UNKNOWN_KEY,
	ERR_CONFIG_DUPLICATE_KEY,
	ERR_CONFIG_MISSING_KEY,
	ERR_CONFIG_BAD_VALUE,
	ERR_CONFIG_BAD_REFERENCE,
	ERR_CONFIG_STALE,
	ERR_CONFIG_CONFLICT,
	ERR_SETTINGS,
	ERR_IO,
	ERR_PROTOCOL,
	ERR_CODES,
};

struct err_info {
	const char *name;	  /* stable; used in responses and logs */
	int http_status;	  /* status of the response to the caller */
	enum err_outcome outcome; /* default outcome; may differ once an attempt has been sent */
	bool retry_later; /* a later retry may succeed; the response has a Retry-After header */
};

#define ERR_DOMAIN (err_quark())

GQuark err_quark(void);

/* Returns the description of a code, or that of ERR_PROTOCOL if the code is out of range. */
const struct err_info *err_info(int code);

/* Returns the name of an outcome: "complete", "not_run" or "unknown". */
const char *err_outcome_name(enum err_outcome outcome);

/* Sets *error unless error is NULL. Always returns false, so that callers can return the result. */
bool err_set(GError **error, enum err_code code, const char *format, ...) G_GNUC_PRINTF(3, 4);

#ifdef __cplusplus
}
#endif

#endif
