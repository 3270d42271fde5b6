/* An explanation in progress, shared by the files of the module. */
#ifndef SERVE_SRV_EXPLAIN_INT_H
#define SERVE_SRV_EXPLAIN_INT_H

#include "srv_req_int.h"

#define OUTCOME_REFUSED "refused"

struct srv_explain {
	struct srv *s;
	struct srv_req req;
	struct http_server_request http;
	struct srv_pick_trace trace;
	int64_t now_ms;
	json_t *root;
	json_t *decisions;
};

/* srv_explain.c */
/* Ages are of the newest news; below 0: there was none. */
void srv_explain_add_input(json_t *inputs, const char *name, json_t *value, int64_t age_ms);

/* Returns the list of the decision's inputs, borrowed. */
json_t *srv_explain_add_decision(struct srv_explain *e, const char *name, const char *outcome);

/* status and retry_ms are left out if 0. */
void srv_explain_set_result(struct srv_explain *e, const char *outcome, int status,
			    int64_t retry_ms, const char *reason);

/* Returns the age of the configuration and the list of upstreams. */
int64_t srv_explain_view_age_ms(const struct srv_explain *e);

/* srv_explain_chain.c: returns whether the chain may go on as far as is known here. */
bool srv_explain_chain(struct srv_explain *e, const struct srv_upstream *engine);

/* srv_explain_head.c: returns why the head is malformed; NULL if it is valid. */
const char *srv_explain_read_head(const json_t *root, struct http_server_request *http);

#endif
