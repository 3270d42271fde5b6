/* Conversion between the structs of the decisions and the messages of the protocol. */
#ifndef NODE_DIG_H
#define NODE_DIG_H

#include "decide/mem.h"
#include "model/vmlist.h"
#include "peer/peer.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A protocol digest over the fields of a digest, whose strings it borrows. */
struct dig_message {
	Peer__View view;
	Peer__Upstream upstreams[MEM_NEWS_MAX];
	Peer__Upstream *upstream_at[MEM_NEWS_MAX];
	char *departed_at[MEM_DEPARTED_MAX];
};

void dig_to_message(const struct mem_digest *from, struct dig_message *to);
void dig_from_message(const Peer__View *from, const char *vm, uint64_t incarnation,
		      struct mem_digest *to);

/* The caller frees with dig_free_list(); strings are borrowed from the list. */
Peer__ListReply *dig_list_to_message(const struct vmlist *list, int64_t age_ms);
void dig_free_list(Peer__ListReply *reply);

/* The caller owns the list. */
struct vmlist *dig_list_from_message(const Peer__ListReply *reply);

#ifdef __cplusplus
}
#endif

#endif
