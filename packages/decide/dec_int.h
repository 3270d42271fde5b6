/* Shared by the parts of the decision core; not for other packages. */
#ifndef DECIDE_DEC_INT_H
#define DECIDE_DEC_INT_H

#include "decide/dec.h"

#define DEC_HANDED UINT32_MAX /* stands for the upstream of an attempt at another node */

/* An attempt that an upstream has not ended yet; it outlives its request. */
struct dec_flight {
	uint64_t req;
	uint32_t stage;
	uint32_t attempt;
	uint32_t upstream;
	struct bb_service
		*service; /* it counts for, also when a configuration moves the upstream */
	uint32_t rank;	  /* place in bb_service.uses */
	int64_t sent_at_ms;
	bool cancelled; /* its failure says nothing of the upstream */
	bool resumed;	/* made a part of the answer only */
	bool withheld;	/* dec_may_send() forbade it */
};

/* A request that waits for the answer of a running one with its ticket. */
struct dec_join {
	uint64_t id;
	int64_t deadline_at_ms;
};

guint dec_flight_hash(gconstpointer key);
gboolean dec_flight_equal(gconstpointer a, gconstpointer b);

/* True when the result of the current stage goes into the ticket table. */
bool dec_keeps_body(const struct req *req);

/* Appends a zeroed command of a type and returns it; valid until the next append. */
struct dec_cmd *dec_push(struct dec_out *out, enum dec_cmd_type type, uint64_t req);

/* Appends a command for a node; none for NULL. */
void dec_push_to_node(struct dec_out *out, enum dec_cmd_type type, const struct bb_node *node);

void dec_push_refusal(struct dec_out *out, uint64_t req, int code, enum err_outcome outcome,
		      int64_t retry_after_ms);

/* True when the request may run here; else it has been answered, joined or forwarded. */
bool dec_claim_ticket(struct dec *d, struct req *req, int64_t now_ms,
		      const struct dec_ev_request *ev, struct dec_out *out);

/* Gives up repeats that joined a running ticket at their own deadlines. */
void dec_tick_joins(struct dec *d, int64_t now_ms, struct dec_out *out);

/* Takes the request from its account's limit; the verdict refuses when nothing is left. */
struct adm_verdict dec_take_share(struct dec *d, const struct req *req,
				  const struct dec_ev_request *ev, int64_t now_ms);

void dec_handle_demand(struct dec *d, int64_t now_ms, const struct quota_message *message,
		       struct dec_out *out);
void dec_tick_shares(struct dec *d, int64_t now_ms, struct dec_out *out);

/* NULL when the attempt has ended or was never sent. */
struct dec_flight *dec_find_flight(const struct dec *d, uint64_t req, uint32_t stage,
				   uint32_t attempt);

/*
 * Sends an attempt of the current stage now; false when no upstream may take it. A hedge never
 * goes to an upstream that was tried, nor before requests that wait.
 */
bool dec_send_attempt(struct dec *d, struct req *req, bool hedge, int64_t now_ms,
		      struct dec_out *out);

/*
 * Hands an attempt of the current stage to a node that holds a slot, when this one has none of any
 * upstream of the service; false when it doesn't.
 */
bool dec_hand_over(struct dec *d, struct req *req, int64_t now_ms, struct dec_out *out);

/* Ends a request's outstanding attempts but one (REQ_ATTEMPTS_MAX: all) and tells upstreams. */
void dec_cancel_attempts(struct dec *d, struct req *req, uint32_t keep, int64_t now_ms,
			 struct dec_out *out);

/* Refuses a request, cancels its attempts, ends its ticket and forgets it. */
void dec_refuse(struct dec *d, struct req *req, int code, int64_t retry_after_ms, int64_t now_ms,
		struct dec_out *out);

/* Ends a request whose last stage's result was accepted; body as in dec_ev_attempt. */
void dec_finish(struct dec *d, struct req *req, GBytes *body, struct dec_out *out);

/* Sends an attempt of the current stage or puts the request into its service's queue. */
void dec_start_stage(struct dec *d, struct req *req, int64_t now_ms, struct dec_out *out);

/* Sends waiting requests of a service as far as its upstreams take them. */
void dec_run_queue(struct dec *d, struct bb_service *service, int64_t now_ms, struct dec_out *out);

/* Puts every queue into the order of the policy in force. */
void dec_sort_queues(struct dec *d);

/* Makes room for a request by refusing the last of a lower class; false when there is none. */
bool dec_shed(struct dec *d, const struct req *req, int64_t now_ms, struct dec_out *out);

/* Sets when the request is looked at again, from its deadline and its hedge. */
void dec_plan_wake(struct dec *d, struct req *req, int64_t now_ms);

void dec_handle_first_byte(struct dec *d, int64_t now_ms, const struct dec_ev_attempt *ev,
			   struct dec_out *out);
void dec_handle_result(struct dec *d, int64_t now_ms, const struct dec_ev_attempt *ev,
		       struct dec_out *out);

/* Hedges and expiry of the requests that are due; queues. */
void dec_tick_requests(struct dec *d, int64_t now_ms, struct dec_out *out);

#endif
