/* Account limits: what an arriving request takes, and the messages between nodes. */
#include "dec_int.h"

#include <string.h>

/* The account's limit over the fleet. */
struct adm_verdict dec_take_share(struct dec *d, const struct req *req,
				  const struct dec_ev_request *ev, int64_t now_ms)
{
	const struct cfg *cfg = ev->cfg ? ev->cfg : d->bb.cfg;
	struct adm_verdict verdict = {.code = ERR_NONE};

	if (!quota_take(d->shares, &d->bb, &cfg->accounts.items[req->account], now_ms,
			&verdict.retry_after_ms))
		verdict.code = ERR_RATE_LIMITED;
	return verdict;
}

static void push_demand(struct dec *d, const struct quota_message *message, struct dec_out *out)
{
	const struct bb_node *node = bb_node(&d->bb, message->vm);

	if (!node)
		return;
	dec_push_to_node(out, DEC_CMD_DEMAND, node);
	g_array_index(out->cmds, struct dec_cmd, out->cmds->len - 1).demand =
		g_memdup2(message, sizeof(*message));
}

void dec_handle_demand(struct dec *d, int64_t now_ms, const struct quota_message *message,
		       struct dec_out *out)
{
	struct quota_message reply;

	if (message->reply)
		quota_handle_reply(d->shares, &d->bb, message, now_ms);
	else if (quota_handle_request(d->shares, &d->bb, message, now_ms, &reply))
		push_demand(d, &reply, out);
}

/* The keeper of a part is among those who borrow from it. */
static void lend_to_self(struct dec *d, int64_t now_ms, struct quota_message *ask)
{
	struct quota_message reply;

	ask->incarnation = d->bb.incarnation;
	if (quota_handle_request(d->shares, &d->bb, ask, now_ms, &reply))
		quota_handle_reply(d->shares, &d->bb, &reply, now_ms);
}

void dec_tick_shares(struct dec *d, int64_t now_ms, struct dec_out *out)
{
	struct quota_message ask;

	quota_raise_floor(d->shares, &d->bb, now_ms);
	quota_sweep(d->shares, now_ms);
	while (quota_build_request(d->shares, &d->bb, now_ms, &ask)) {
		if (strcmp(ask.vm, d->bb.self_vm) == 0)
			lend_to_self(d, now_ms, &ask);
		else
			push_demand(d, &ask, out);
	}
}
