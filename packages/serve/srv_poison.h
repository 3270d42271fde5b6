/* Requests that crash the upstreams that run them: evidence of this node and exchange of it. */
#ifndef SERVE_SRV_POISON_H
#define SERVE_SRV_POISON_H

#include "srv_req_int.h"

#include "decide/poison.h"

/* Returns the digest of what the request asks; computed when it is first needed. */
uint64_t srv_poison_digest(struct srv_req *r);

/* Notes that the upstream ended, or broke its connection, while it ran the request. */
void srv_poison_note_end(struct srv_attempt *attempt);

#endif
