/* Calls that the commands share. Every answer is freed with fetch_response_clear(). */
#ifndef CLI_ASK_H
#define CLI_ASK_H

#include "base/fetch.h"

#include <jansson.h>

#define ASK_ADDRESS_BYTES 64
#define ASK_TICKET_BYTES 160

/* Headers kept of each answer, by index. */
enum ask_header { ASK_OUTCOME, ASK_TICKET, ASK_REQUEST, ASK_RETRY_AFTER };

struct ask {
	const char *method;
	const char *address;
	const char *path;
	const char *key;	 /* NULL: none */
	const char *ticket;	 /* NULL: none */
	const char *deadline_ms; /* NULL: none */
	const char *body;	 /* NULL: none */
	int64_t timeout_ms;	 /* 0: a minute */
	fetch_block_fn on_block; /* NULL: collected */
	void *on_block_arg;
};

/* True when a whole answer came, whatever its status. */
bool ask(struct fetch_client *http, const struct ask *a, struct fetch_response *answer);

/* The answer's body as JSON; NULL when none came or status is not 200; caller drops it. */
json_t *ask_json(struct fetch_client *http, const char *address, const char *path, const char *key);

/* PUT of a text; false when it was not taken. */
bool ask_put(struct fetch_client *http, const char *address, const char *path, const char *text);

/* Exit code of what a caller may conclude from an answer. */
int ask_exit_code(const struct fetch_response *answer, bool whole);

/* "complete", "not_run", "unknown" or "unreachable". */
const char *ask_outcome(int exit_code);

/* True when the error of the answer has this code. */
bool ask_has_error(const struct fetch_response *answer, const char *code);

#endif
