/* Quotas of accounts: charging requests, and the quota messages between nodes. */
#include "core_int.h"

#include <string.h>

struct admit_verdict core_take_quota(struct core_state *d, const struct req *req,
				     const struct core_ev_request *ev, int64_t now_ms)
{
	const struct cfg *cfg = ev->cfg ? ev->cfg : d->bb.cfg;
	struct admit_verdict verdict = {.code = ERR_NONE};

	if (!quota_take(d->shares, &d->bb, &cfg->accounts.items[req->account], now_ms,
			&verdict.retry_after_ms))
		verdict.code = ERR_RATE_LIMITED;
	return verdict;
}

static void push_demand(struct core_state *d, const struct quota_message *message,
			struct core_out *out)
{
	const struct bb_node *node = bb_node(&d->bb, message->vm);

	if (!node)
		return;
	core_push_to_node(out, CORE_CMD_DEMAND, node);
	g_array_index(out->cmds, struct core_cmd, out->cmds->len - 1).demand =
		g_memdup2(message, sizeof(*message));
}

void core_handle_demand(struct core_state *d, int64_t now_ms, const struct quota_message *message,
			struct core_out *out)
{
	struct quota_message reply;

	if (message->reply)
		quota_handle_reply(d->shares, &d->bb, message, now_ms);
	else if (quota_handle_request(d->shares, &d->bb, message, now_ms, &reply))
		push_demand(d, &reply, out);
}

/* Handles a quota request of this node to itself, as one of the nodes that lease out quota. */
static void lend_to_self(struct core_state *d, int64_t now_ms, struct quota_message *request)
{
	struct quota_message reply;

	request->incarnation = d->bb.incarnation;
	if (quota_handle_request(d->shares, &d->bb, request, now_ms, &reply))
		quota_handle_reply(d->shares, &d->bb, &reply, now_ms);
}

void core_tick_quota(struct core_state *d, int64_t now_ms, struct core_out *out)
{
	struct quota_message request;

	quota_raise_floor(d->shares, &d->bb, now_ms);
	quota_sweep(d->shares, now_ms);
	while (quota_build_request(d->shares, &d->bb, now_ms, &request)) {
		if (strcmp(request.vm, d->bb.self_vm) == 0)
			lend_to_self(d, now_ms, &request);
		else
			push_demand(d, &request, out);
	}
}
