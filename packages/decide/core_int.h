/* Declarations shared by the core_*.c files; private to this package. */
#ifndef DECIDE_CORE_INT_H
#define DECIDE_CORE_INT_H

#include "decide/core.h"

#define CORE_HANDED_OFF UINT32_MAX /* upstream id of an attempt handed off to another node */

/* An attempt whose result is outstanding. It may last longer than its request. */
struct core_inflight {
	uint64_t req;
	uint32_t stage;
	uint32_t attempt;
	uint32_t upstream;
	/* the attempt counts for this service even if a new configuration moves the upstream */
	struct bb_service *service;
	uint32_t rank_index; /* index into bb_service.uses */
	int64_t sent_at_ms;
	/* cancelled before it was slow, so its failure does not count against the upstream */
	bool cancelled;
	bool resumed;  /* continues an open stream, so its latency is not recorded */
	bool withheld; /* core_may_send() returned false, so nothing was sent */
};

/* A repeat that waits for the answer of the running request with the same ticket. */
struct core_waiter {
	uint64_t id;
	int64_t deadline_at_ms;
};

guint core_inflight_hash(gconstpointer key);
gboolean core_inflight_equal(gconstpointer a, gconstpointer b);

/* True when the result of the current stage is stored in the ticket table. */
bool core_keeps_body(const struct req *req);

/* Appends a zeroed command; the pointer is valid until the next append. */
struct core_cmd *core_push(struct core_out *out, enum core_cmd_type type, uint64_t req);

/* Appends a command for a node; does nothing when node is NULL. */
void core_push_to_node(struct core_out *out, enum core_cmd_type type, const struct bb_node *node);

void core_push_refusal(struct core_out *out, uint64_t req, int code, enum err_outcome outcome,
		       int64_t retry_after_ms);

/*
 * Claims the ticket of a request. True when the request has to run; false when it was answered,
 * joined to a running one or forwarded instead.
 */
bool core_claim_ticket(struct core_state *d, struct req *req, int64_t now_ms,
		       const struct core_ev_request *ev, struct core_out *out);

/* Refuses the waiters whose own deadlines have passed. */
void core_tick_waiters(struct core_state *d, int64_t now_ms, struct core_out *out);

/* Charges a request to the fleet-wide quota of its account; refuses when the quota is used up. */
struct admit_verdict core_take_quota(struct core_state *d, const struct req *req,
				     const struct core_ev_request *ev, int64_t now_ms);

void core_handle_demand(struct core_state *d, int64_t now_ms, const struct quota_message *message,
			struct core_out *out);
void core_tick_quota(struct core_state *d, int64_t now_ms, struct core_out *out);

/* Returns an attempt in flight; NULL when it has ended or was never started. */
struct core_inflight *core_find_inflight(const struct core_state *d, uint64_t req, uint32_t stage,
					 uint32_t attempt);

/*
 * Sends an attempt of the current stage. False when no upstream can take it now or the stage has
 * used REQ_ATTEMPTS_MAX. A hedge is never sent to an upstream that was tried, nor ahead of queued
 * requests of the same or a better rank.
 */
bool core_send_attempt(struct core_state *d, struct req *req, bool hedge, int64_t now_ms,
		       struct core_out *out);

/*
 * Hands an attempt of the current stage to a node that holds a slot, when this node has no slot of
 * any upstream of the service. False when the attempt was not handed off.
 */
bool core_hand_off(struct core_state *d, struct req *req, int64_t now_ms, struct core_out *out);

/* Cancels the outstanding attempts of a request except keep; REQ_ATTEMPTS_MAX keeps none. */
void core_cancel_attempts(struct core_state *d, struct req *req, uint32_t keep, int64_t now_ms,
			  struct core_out *out);

/* Refuses a request, cancels its attempts, ends its ticket and frees it. */
void core_refuse(struct core_state *d, struct req *req, int code, int64_t retry_after_ms,
		 int64_t now_ms, struct core_out *out);

/* Finishes and frees a request after its last stage; body as in core_ev_attempt. */
void core_finish(struct core_state *d, struct req *req, GBytes *body, struct core_out *out);

/* Sends an attempt of the current stage, or queues the request at the service. */
void core_start_stage(struct core_state *d, struct req *req, int64_t now_ms, struct core_out *out);

/* Sends queued requests of a service until its upstreams have no capacity left. */
void core_run_queue(struct core_state *d, struct bb_service *service, int64_t now_ms,
		    struct core_out *out);

/* Sorts every queue by the policy in force. */
void core_sort_queues(struct core_state *d);

/* Makes room by refusing a queued request of a worse rank than req; false when there is none. */
bool core_shed(struct core_state *d, const struct req *req, int64_t now_ms, struct core_out *out);

/* Schedules the next check of a request at its expiry, or when its hedge is due if earlier. */
void core_schedule_wake(struct core_state *d, struct req *req, int64_t now_ms);

void core_handle_first_byte(struct core_state *d, int64_t now_ms, const struct core_ev_attempt *ev,
			    struct core_out *out);
void core_handle_result(struct core_state *d, int64_t now_ms, const struct core_ev_attempt *ev,
			struct core_out *out);

/* Hedges or refuses the requests whose wake time has come, then runs all queues. */
void core_tick_requests(struct core_state *d, int64_t now_ms, struct core_out *out);

#endif
