/* Quarantine of prompt parts that crash upstreams: evidence of this node and exchange of it. */
#ifndef SERVE_SRV_QUARANTINE_H
#define SERVE_SRV_QUARANTINE_H

#include "srv_int.h"

#include "decide/quarantine.h"

/* Notes an answer that was begun well at begun_ms: it is complete, or has gone on for long enough.
 */
void srv_quarantine_note_good(struct srv *s, const struct adapter_request *meta, int64_t begun_ms);

/* Notes that the upstream broke off an answer that it had begun at begun_ms, not long before. */
void srv_quarantine_note_crash(struct srv *s, const struct adapter_request *meta,
			       const struct srv_upstream *u, int64_t begun_ms);

/* Decides whether the request may be sent; at a trial, call quarantine_note_trial() when it is. */
void srv_quarantine_check(struct srv *s, const struct adapter_request *meta,
			  struct quarantine_verdict *verdict);
void srv_quarantine_log_refusal(const struct adapter_request *meta,
				const struct quarantine_verdict *verdict);

/* Sends all evidence to a node that has joined or was silent. */
void srv_quarantine_send_all(struct srv *s, const char *to, int64_t now_ms);

/* Called in each gossip round with a node that gets its message. */
void srv_quarantine_round(struct srv *s, const char *to, int64_t now_ms);
void srv_quarantine_message(struct srv *s, const char *from, const Peer__PromptEvidence *in);

/* Returns whether this node, a struct srv, makes the fleet's trials of the part or request. */
bool srv_quarantine_may_try(void *arg, uint64_t id);

/* Logs the parts that went into quarantine or left it. */
void srv_quarantine_tick(struct srv *s, int64_t now_ms);

#endif
