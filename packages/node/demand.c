#include "node/demand.h"

#include <string.h>

void demand_send(struct node_server *n, const struct core_cmd *cmd)
{
	const struct quota_message *from = cmd->demand;
	Peer__Message message = PEER__MESSAGE__INIT;
	Peer__Demand demand = PEER__DEMAND__INIT;
	Peer__AccountDemand entries[QUOTA_ENTRIES_MAX];
	Peer__AccountDemand *at[QUOTA_ENTRIES_MAX];

	for (uint32_t i = 0; i < from->n_entries; i++) {
		peer__account_demand__init(&entries[i]);
		entries[i].account = from->entries[i].account;
		entries[i].part = from->entries[i].part;
		entries[i].per_s = from->entries[i].per_s;
		at[i] = &entries[i];
	}
	demand.accounts = at;
	demand.n_accounts = from->n_entries;
	demand.asked_ms = from->asked_ms;
	demand.reply = from->reply;
	message.kind_case = PEER__MESSAGE__KIND_DEMAND;
	message.demand = &demand;
	message.to_incarnation = from->incarnation;
	message.ttl_ms = QUOTA_MESSAGE_TTL_MS;
	peer_send(n->peer, cmd->vm, cmd->address, &message);
}

static double bound_rate(double per_s)
{
	return per_s >= 0 ? MIN(per_s, QUOTA_UNLIMITED_PER_S) : 0; /* 0 also for NaN */
}

void demand_from_message(const Peer__Message *message, struct quota_message *to)
{
	const Peer__Demand *from = message->demand;

	*to = (struct quota_message){
		.incarnation = message->from_incarnation,
		.asked_ms = from->asked_ms,
		.reply = from->reply,
	};
	g_strlcpy(to->vm, message->from_vm, sizeof(to->vm));
	for (size_t i = 0; i < from->n_accounts && to->n_entries < QUOTA_ENTRIES_MAX; i++) {
		to->entries[to->n_entries++] = (struct quota_entry){
			.account = from->accounts[i]->account,
			.part = from->accounts[i]->part,
			.per_s = bound_rate(from->accounts[i]->per_s),
		};
	}
}

void demand_receive(struct node_server *n, const Peer__Message *message)
{
	struct quota_message to;
	const struct core_event ev = {.type = CORE_EV_DEMAND, .u.demand = &to};

	demand_from_message(message, &to);
	node_handle_event(n, &ev);
}
