/* Messages that request and grant leases on shares of account rate limits. */
#ifndef NODE_DEMAND_H
#define NODE_DEMAND_H

#include "node/node.h"

void demand_send(struct node_server *n, const struct core_cmd *cmd);
/* A rate that isn't a number counts as 0, one beyond QUOTA_UNLIMITED_PER_S as that. */
void demand_from_message(const Peer__Message *message, struct quota_message *to);
void demand_receive(struct node_server *n, const Peer__Message *message);

#endif
