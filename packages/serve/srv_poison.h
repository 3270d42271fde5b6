/*
 * Requests that crash the upstreams that run them: collects evidence from this node's attempts,
 * exchanges it with the other nodes, and has runs of suspected requests granted.
 */
#ifndef SERVE_SRV_POISON_H
#define SERVE_SRV_POISON_H

#include "srv_req_int.h"

#define SRV_POISON_REASON "the request crashes upstreams"

/* Notes that the upstream ended, or broke its connection, while it ran the request. */
void srv_poison_note_end(struct srv_attempt *attempt);

/* Notes that the upstream has run the request and not ended, or that its answer began well. */
void srv_poison_note_good(struct srv_attempt *attempt);

/* Notes an answer of any kind: its upstream lives. */
void srv_poison_note_answer(const struct srv_attempt *attempt);

/* Decides whether the request may be sent. */
void srv_poison_check(struct srv_req *r, struct poison_verdict *verdict);

/* Returns whether an upstream has ended under the request: it runs once at a time. */
bool srv_poison_is_suspected(struct srv_req *r);

/* Returns whether a run that has ended may not be followed by another for the same attempt. */
bool srv_poison_is_doubted(struct srv_req *r);

/*
 * Asks for a run of a suspected request if it needs one. Returns whether the request waits for the
 * reply, or has ended, which may have freed it.
 */
bool srv_poison_wait(struct srv_req *r, int64_t now_ms);

/*
 * Called as the request is freed: returns a run that was granted and reached no upstream. Without
 * that the request would be refused at all nodes until the grant expires.
 */
void srv_poison_return_run(struct srv_req *r);

/* Ends a request that crashes upstreams. */
void srv_poison_end(struct srv_req *r, const struct poison_verdict *verdict);

/* Sends all evidence to a node that has joined or was silent. */
void srv_poison_send_all(struct srv *s, const char *to, int64_t now_ms);

/* Called in each gossip round with a node that gets its message. */
void srv_poison_round(struct srv *s, const char *to, int64_t now_ms);
void srv_poison_message(struct srv *s, const Peer__Message *message);
void srv_poison_tick(struct srv *s, int64_t now_ms);

/*
 * srv_poison_probe.c: counts the end of a run, and tells the other nodes, once a connection to its
 * upstream is refused. The table is freed after the loop has closed its handles.
 */
GHashTable *srv_poison_probes_new(void);
void srv_poison_confirm(struct srv *s, const struct srv_upstream *u, const struct poison_end *end);

/* srv_poison_msg.c: tells all live nodes of new evidence. */
void srv_poison_tell_end(struct srv *s, const struct poison_end *end, int64_t now_ms);
void srv_poison_tell_good(struct srv *s, const struct poison_good *good, int64_t now_ms);
void srv_poison_tell_alive(struct srv *s, const struct poison_alive *alive, int64_t now_ms);

void srv_poison_merge(struct srv *s, const char *from, const Peer__RunEvidence *in);

/* Logs which requests are refused from now on, or no longer. */
void srv_poison_log_changes(struct srv *s, int64_t now_ms);

#endif
