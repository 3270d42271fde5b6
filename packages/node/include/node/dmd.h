/* Messages about shares of accounts' limits (decide/quota.h). */
#ifndef NODE_DMD_H
#define NODE_DMD_H

#include "node/nod.h"

void dmd_send(struct nod *n, const struct core_cmd *cmd);
void dmd_take(struct nod *n, const Peer__Message *message);

#endif
