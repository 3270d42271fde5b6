/* Calls that the commands share. Every answer is freed with hcl_answer_clear(). */
#ifndef CLI_CLIENT_H
#define CLI_CLIENT_H

#include "base/hcl.h"

#include <jansson.h>

#define CLIENT_ADDRESS_BYTES 64
#define CLIENT_TICKET_BYTES 160

/* Headers kept of each answer, by index. */
enum client_header { CLIENT_OUTCOME, CLIENT_TICKET, CLIENT_REQUEST, CLIENT_RETRY_AFTER };

struct ask {
	const char *method;
	const char *address;
	const char *path;
	const char *key;	 /* NULL: none */
	const char *ticket;	 /* NULL: none */
	const char *deadline_ms; /* NULL: none */
	const char *body;	 /* NULL: none */
	int64_t timeout_ms;	 /* 0: a minute */
	hcl_block_fn on_block;	 /* NULL: collected */
	void *on_block_arg;
};

/* True when a whole answer came, whatever its status. */
bool ask(struct hcl *http, const struct ask *a, struct hcl_answer *answer);

/* The answer's body as JSON; NULL when none came or status is not 200; caller drops it. */
json_t *client_get_json(struct hcl *http, const char *address, const char *path, const char *key);

/* PUT of a text; false when it was not taken. */
bool client_put(struct hcl *http, const char *address, const char *path, const char *text);

/* Exit code of what a caller may conclude from an answer. */
int client_exit_code(const struct hcl_answer *answer, bool whole);

/* "complete", "not_run", "unknown" or "unreachable". */
const char *client_outcome_name(int exit_code);

/* True when the error of the answer has this code. */
bool client_has_error(const struct hcl_answer *answer, const char *code);

#endif
