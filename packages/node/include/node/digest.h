/* Conversion between the decision core's structs and protocol messages. */
#ifndef NODE_DIGEST_H
#define NODE_DIGEST_H

#include "decide/member.h"
#include "model/vmlist.h"
#include "peer/peer.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Ages and waits in other nodes' messages count as at most this, so that they fit into times. */
#define DIGEST_TIME_MAX_MS 86400000
/* The same for the requests that an upstream runs, or that wait there. */
#define DIGEST_LOAD_MAX 1000000

/* A protocol view and its arrays. Its strings are borrowed from the converted digest. */
struct digest_message {
	Peer__View view;
	Peer__Upstream upstreams[MEMBER_REPORTS_MAX];
	Peer__Upstream *upstream_at[MEMBER_REPORTS_MAX];
	char *departed_at[MEMBER_DEPARTED_MAX];
};

void digest_to_message(const struct member_digest *from, struct digest_message *to);
void digest_from_message(const Peer__View *from, const char *vm, uint64_t incarnation,
			 struct member_digest *to);

/* Free the result with digest_free_list(). The strings in the result are borrowed from list. */
Peer__ListReply *digest_list_to_message(const struct vmlist *list, int64_t age_ms);
void digest_free_list(Peer__ListReply *reply);

/* The caller owns the returned list. */
struct vmlist *digest_list_from_message(const Peer__ListReply *reply);

#ifdef __cplusplus
}
#endif

#endif
