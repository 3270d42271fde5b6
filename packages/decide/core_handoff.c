/*
 * Handoff: a node without a slot sends a stage to a node that holds one. A non-idempotent stage is
 * tried elsewhere afterwards only if the other node answered that the stage did not run.
 */
#include "core_int.h"

#include "decide/eligible.h"

#include <string.h>

#define HANDOFF_PROBES 8 /* random upstreams checked to find an eligible one with a slot holder */

/* limit of the handoffs of a stage; this node sends the other attempts itself */
#define HANDOFF_ATTEMPTS_MAX (REQ_ATTEMPTS_MAX / 2)

/* a node whose last digest is older gets no non-idempotent stages */
#define HANDOFF_SILENCE_MAX_MS 2000

#define HANDOFFS_MAX 64 /* limit of the concurrent handoffs for a service */

/*
 * A non-idempotent stage needs a node that was heard of recently: if the node fails, the answer is
 * lost, whereas an idempotent stage is retried.
 */
static bool can_accept(const struct bb_node *node, bool idempotent, int64_t now_ms)
{
	if (node->draining_until_ms > now_ms)
		return false;
	return idempotent || (node->last_seen_ms != BB_NEVER &&
			      now_ms - node->last_seen_ms <= HANDOFF_SILENCE_MAX_MS);
}

/* Returns the holder of a random slot of an eligible upstream; NULL when none was found. */
static const struct bb_node *pick_holder(struct bb *bb, const struct bb_service *service,
					 bool idempotent, int64_t now_ms)
{
	const GPtrArray *ups = service->upstreams;

	for (uint32_t i = 0; i < HANDOFF_PROBES && ups->len > 0; i++) {
		const struct bb_upstream *up =
			g_ptr_array_index(ups, prng_below(&bb->prng, ups->len));
		const struct bb_node *holder;

		if (up->n_slots == 0 || eligible_check(bb, up, now_ms) != ELIGIBLE_OK)
			continue;
		holder = slot_owner(bb, up, (uint32_t)prng_below(&bb->prng, (uint64_t)up->n_slots));
		if (holder && strcmp(holder->vm, bb->self_vm) != 0 &&
		    can_accept(holder, idempotent, now_ms))
			return holder;
	}
	return NULL;
}

static void push_handoff(const struct req *req, const struct bb_node *holder, int64_t now_ms,
			 struct core_out *out)
{
	const struct req_stage *stage = &req->stages[req->stage];
	struct core_cmd *cmd = core_push(out, CORE_CMD_HANDOFF, req->id);

	cmd->stage = req->stage;
	cmd->attempt = req->n_attempts - 1;
	g_strlcpy(cmd->vm, holder->vm, sizeof(cmd->vm));
	g_strlcpy(cmd->address, holder->peer_address, sizeof(cmd->address));
	g_strlcpy(cmd->service, stage->service->name, sizeof(cmd->service));
	g_strlcpy(cmd->call, stage->call, sizeof(cmd->call));
	cmd->idempotent = stage->idempotent;
	cmd->keep_body = core_keeps_body(req);
	cmd->timeout_ms = req->deadline_at_ms - now_ms;
}

static void add_inflight(struct core_state *d, const struct req *req, int64_t now_ms)
{
	const struct core_inflight flight = {
		.req = req->id,
		.stage = req->stage,
		.attempt = req->n_attempts - 1,
		.upstream = CORE_HANDED_OFF,
		.service = req->stages[req->stage].service,
		.rank_index = bb_rank_index(req->rank),
		.sent_at_ms = now_ms,
	};

	g_hash_table_add(d->inflight_attempts, g_memdup2(&flight, sizeof(flight)));
}

static bool may_hand_off(const struct core_state *d, const struct req *req)
{
	const struct bb_service *service = req->stages[req->stage].service;

	/* the handoff message cannot carry the offset of an open stream */
	if (req->handed_off || req->stream_open || req->n_attempts >= HANDOFF_ATTEMPTS_MAX)
		return false;
	return service->capacity == 0 && service->handed_off < HANDOFFS_MAX &&
	       d->policy.slots == &slot_ops_rendezvous;
}

bool core_hand_off(struct core_state *d, struct req *req, int64_t now_ms, struct core_out *out)
{
	struct bb_service *service = req->stages[req->stage].service;
	const struct bb_node *holder;

	if (!may_hand_off(d, req))
		return false;
	holder = pick_holder(&d->bb, service, req->stages[req->stage].idempotent, now_ms);
	if (!holder)
		return false;
	req->attempts[req->n_attempts++] = (struct req_attempt){
		.state = REQ_ATTEMPT_SENT,
		.upstream = CORE_HANDED_OFF,
		.sent_at_ms = now_ms,
	};
	service->handed_off++;
	add_inflight(d, req, now_ms);
	push_handoff(req, holder, now_ms, out);
	return true;
}
