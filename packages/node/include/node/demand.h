/* Messages that request and grant leases on shares of account rate limits. */
#ifndef NODE_DEMAND_H
#define NODE_DEMAND_H

#include "node/node.h"

void demand_send(struct node_server *n, const struct core_cmd *cmd);
void demand_receive(struct node_server *n, const Peer__Message *message);

#endif
