/* Shared by the parts of the decision core; not for other packages. */
#ifndef DECIDE_CORE_INT_H
#define DECIDE_CORE_INT_H

#include "decide/core.h"

#define CORE_HANDED_OFF UINT32_MAX /* stands for the upstream of an attempt at another node */

/* An attempt that an upstream has not ended yet; it outlives its request. */
struct core_inflight {
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
	bool withheld;	/* core_may_send() forbade it */
};

/* A request that waits for the answer of a running one with its ticket. */
struct core_waiter {
	uint64_t id;
	int64_t deadline_at_ms;
};

guint core_inflight_hash(gconstpointer key);
gboolean core_inflight_equal(gconstpointer a, gconstpointer b);

/* True when the result of the current stage goes into the ticket table. */
bool core_keeps_body(const struct req *req);

/* Appends a zeroed command of a type and returns it; valid until the next append. */
struct core_cmd *core_push(struct core_out *out, enum core_cmd_type type, uint64_t req);

/* Appends a command for a node; none for NULL. */
void core_push_to_node(struct core_out *out, enum core_cmd_type type, const struct bb_node *node);

void core_push_refusal(struct core_out *out, uint64_t req, int code, enum err_outcome outcome,
		       int64_t retry_after_ms);

/* True when the request may run here; else it has been answered, joined or forwarded. */
bool core_claim_ticket(struct core_state *d, struct req *req, int64_t now_ms,
		       const struct core_ev_request *ev, struct core_out *out);

/* Gives up repeats that joined a running ticket at their own deadlines. */
void core_tick_waiters(struct core_state *d, int64_t now_ms, struct core_out *out);

/* Takes the request from its account's limit; the verdict refuses when nothing is left. */
struct admit_verdict core_take_quota(struct core_state *d, const struct req *req,
				     const struct core_ev_request *ev, int64_t now_ms);

void core_handle_demand(struct core_state *d, int64_t now_ms, const struct shr_message *message,
			struct core_out *out);
void core_tick_quota(struct core_state *d, int64_t now_ms, struct core_out *out);

/* NULL when the attempt has ended or was never sent. */
struct core_inflight *core_find_inflight(const struct core_state *d, uint64_t req, uint32_t stage,
					 uint32_t attempt);

/*
 * Sends an attempt of the current stage now; false when no upstream may take it. A hedge never
 * goes to an upstream that was tried, nor before requests that wait.
 */
bool core_send_attempt(struct core_state *d, struct req *req, bool hedge, int64_t now_ms,
		       struct core_out *out);

/*
 * Hands an attempt of the current stage to a node that holds a slot, when this one has none of any
 * upstream of the service; false when it doesn't.
 */
bool core_hand_off(struct core_state *d, struct req *req, int64_t now_ms, struct core_out *out);

/* Ends a request's outstanding attempts but one (REQ_ATTEMPTS_MAX: all) and tells upstreams. */
void core_cancel_attempts(struct core_state *d, struct req *req, uint32_t keep, int64_t now_ms,
			  struct core_out *out);

/* Refuses a request, cancels its attempts, ends its ticket and forgets it. */
void core_refuse(struct core_state *d, struct req *req, int code, int64_t retry_after_ms,
		 int64_t now_ms, struct core_out *out);

/* Ends a request whose last stage's result was accepted; body as in core_ev_attempt. */
void core_finish(struct core_state *d, struct req *req, GBytes *body, struct core_out *out);

/* Sends an attempt of the current stage or puts the request into its service's queue. */
void core_start_stage(struct core_state *d, struct req *req, int64_t now_ms, struct core_out *out);

/* Sends waiting requests of a service as far as its upstreams take them. */
void core_run_queue(struct core_state *d, struct bb_service *service, int64_t now_ms,
		    struct core_out *out);

/* Puts every queue into the order of the policy in force. */
void core_sort_queues(struct core_state *d);

/* Makes room for a request by refusing the last of a lower class; false when there is none. */
bool core_shed(struct core_state *d, const struct req *req, int64_t now_ms, struct core_out *out);

/* Sets when the request is looked at again, from its deadline and its hedge. */
void core_schedule_wake(struct core_state *d, struct req *req, int64_t now_ms);

void core_handle_first_byte(struct core_state *d, int64_t now_ms, const struct core_ev_attempt *ev,
			    struct core_out *out);
void core_handle_result(struct core_state *d, int64_t now_ms, const struct core_ev_attempt *ev,
			struct core_out *out);

/* Hedges and expiry of the requests that are due; queues. */
void core_tick_requests(struct core_state *d, int64_t now_ms, struct core_out *out);

#endif
