/*
 * Hand-over: a node without a slot gives a stage to one that holds one. A non-idempotent stage is
 * handed at most once: only an answer that says that nothing ran lets it go elsewhere.
 */
#include "dec_int.h"

#include "decide/elg.h"

#include <string.h>

#define HAND_PROBES 8 /* upstreams looked at for an eligible one with a holder */
#define HAND_TRIES (REQ_ATTEMPTS_MAX / 2) /* the other attempts are kept for upstreams */
#define HAND_HEARD_MS 2000 /* a node not heard of since gets no non-idempotent stage */
#define HANDED_MAX 64	   /* attempts of a service at other nodes */

/* Losing a non-idempotent stage with its node costs an answer; losing another costs a retry. */
static bool may_take(const struct bb_node *node, bool idempotent, int64_t now_ms)
{
	if (node->draining_until_ms > now_ms)
		return false;
	return idempotent ||
	       (node->heard_at_ms != BB_NEVER && now_ms - node->heard_at_ms <= HAND_HEARD_MS);
}

/* The holder of a random slot of an eligible upstream; NULL when none was found. */
static const struct bb_node *pick_holder(struct bb *bb, const struct bb_service *service,
					 bool idempotent, int64_t now_ms)
{
	const GPtrArray *ups = service->upstreams;

	for (uint32_t i = 0; i < HAND_PROBES && ups->len > 0; i++) {
		const struct bb_upstream *up =
			g_ptr_array_index(ups, prng_below(&bb->prng, ups->len));
		const struct bb_node *holder;

		if (up->n_slots == 0 || elg_check(bb, up, now_ms) != ELG_OK)
			continue;
		holder = slt_holder(bb, up, (uint32_t)prng_below(&bb->prng, (uint64_t)up->n_slots));
		if (holder && strcmp(holder->vm, bb->self_vm) != 0 &&
		    may_take(holder, idempotent, now_ms))
			return holder;
	}
	return NULL;
}

static void push_hand(const struct req *req, const struct bb_node *holder, int64_t now_ms,
		      struct dec_out *out)
{
	const struct req_stage *stage = &req->stages[req->stage];
	struct dec_cmd *cmd = dec_push(out, DEC_CMD_HAND, req->id);

	cmd->stage = req->stage;
	cmd->attempt = req->n_attempts - 1;
	g_strlcpy(cmd->vm, holder->vm, sizeof(cmd->vm));
	g_strlcpy(cmd->address, holder->peer_address, sizeof(cmd->address));
	g_strlcpy(cmd->service, stage->service->name, sizeof(cmd->service));
	g_strlcpy(cmd->call, stage->call, sizeof(cmd->call));
	cmd->idempotent = stage->idempotent;
	cmd->keep_body = dec_keeps_body(req);
	cmd->timeout_ms = req->deadline_at_ms - now_ms;
}

static void add_flight(struct dec *d, const struct req *req, int64_t now_ms)
{
	const struct dec_flight flight = {
		.req = req->id,
		.stage = req->stage,
		.attempt = req->n_attempts - 1,
		.upstream = DEC_HANDED,
		.service = req->stages[req->stage].service,
		.rank = bb_rank(req->rank),
		.sent_at_ms = now_ms,
	};

	g_hash_table_add(d->flights, g_memdup2(&flight, sizeof(flight)));
}

static bool may_hand(const struct dec *d, const struct req *req)
{
	const struct bb_service *service = req->stages[req->stage].service;

	/* what was passed on of a stream can't be told to the other node */
	if (req->handed || req->stream_open || req->n_attempts >= HAND_TRIES)
		return false;
	return service->capacity == 0 && service->handed < HANDED_MAX &&
	       d->policy.slots == &slt_rendezvous;
}

bool dec_hand_over(struct dec *d, struct req *req, int64_t now_ms, struct dec_out *out)
{
	struct bb_service *service = req->stages[req->stage].service;
	const struct bb_node *holder;

	if (!may_hand(d, req))
		return false;
	holder = pick_holder(&d->bb, service, req->stages[req->stage].idempotent, now_ms);
	if (!holder)
		return false;
	req->attempts[req->n_attempts++] = (struct req_attempt){
		.state = REQ_ATTEMPT_SENT,
		.upstream = DEC_HANDED,
		.sent_at_ms = now_ms,
	};
	service->handed++;
	add_flight(d, req, now_ms);
	push_hand(req, holder, now_ms, out);
	return true;
}
