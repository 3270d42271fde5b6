/* HTTP requests to nodes, shared by the commands. Free every response with fetch_response_clear().
 */
#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include "base/fetch.h"

#include <jansson.h>

#define CLIENT_ADDRESS_BYTES 64
#define CLIENT_TICKET_BYTES 160

/* Indices of the kept headers in fetch_response.headers. */
enum client_header { CLIENT_OUTCOME, CLIENT_TICKET, CLIENT_REQUEST, CLIENT_RETRY_AFTER };

struct client_request {
	const char *method;
	const char *address;
	const char *path;
	const char *key;	 /* API key or operators' key; NULL: none */
	const char *ticket;	 /* NULL: none */
	const char *deadline_ms; /* decimal number; NULL: none */
	const char *body;	 /* NULL: none */
	int64_t timeout_ms;	 /* 0: the default of 60 s */
	fetch_block_fn on_block; /* called for each block; NULL: the body is collected */
	void *on_block_arg;
};

/* Sends a request. Returns whether a complete response arrived, with any status. */
bool client_request(struct fetch_client *http, const struct client_request *request,
		    struct fetch_response *response);

/*
 * Sends a GET and returns the body as JSON, or NULL without a response of status 200. The caller
 * releases the result.
 */
json_t *client_get_json(struct fetch_client *http, const char *address, const char *path,
			const char *key);

/* Sends a PUT. Returns whether it was accepted with status 200. */
bool client_put(struct fetch_client *http, const char *address, const char *path, const char *text);

/*
 * Returns the exit code for the outcome that the response reports. is_complete: the result of
 * client_request().
 */
int client_exit_code(const struct fetch_response *response, bool is_complete);

/* Returns the outcome of an exit code: "complete", "not_run", "unknown" or "unreachable". */
const char *client_outcome_name(int exit_code);

/* Returns whether the response is an error with this code. */
bool client_has_error(const struct fetch_response *response, const char *code);

#endif
