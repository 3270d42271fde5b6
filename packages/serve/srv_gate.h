/*
 * The gate before upstreams: what their answers say about them, the permits for limited ones, and
 * the exchange of both with other nodes. The decisions are in decide/gate.h.
 */
#ifndef SERVE_SRV_GATE_H
#define SERVE_SRV_GATE_H

#include "srv_int.h"

#include "decide/gate.h"

struct gate *srv_gate_new(struct srv *s);

/* Returns the upstream's run as published; borrows the id. */
struct gate_run srv_gate_run_of(const struct srv *s, const char *id);

/*
 * Notes what the head of an answer says about the upstream. request: id of the caller's attempt
 * that was answered, for the log; empty for a pool call.
 */
void srv_gate_note_answer(struct srv *s, struct gate_run run, int64_t sent_ms, int status,
			  const struct adapter_answer *answer, const char *request);

/*
 * Starts a call to an upstream. All requests to upstreams go through here. Returns NULL if the gate
 * holds it back or there is no socket.
 */
struct http_client_call *srv_gate_call(struct srv *s, struct srv_upstream *u, bool is_urgent,
				       const struct http_client_request *request,
				       const struct http_client_ops *ops, void *arg);

/* Returns whether the published run has said that it leaves. */
bool srv_gate_is_leaving(const struct srv *s, const struct view_upstream *entry);

/*
 * Returns the gate's verdict as a JSON object: the state, the limit (below 0: none), the age of
 * what decided, and the time until it may change (-1: it said nothing, no end).
 */
json_t *srv_gate_json(struct srv *s, const struct pub_upstream *doc, bool is_urgent,
		      int64_t now_ms);

/* Logs which upstreams of its service hold the request back, and since when and until when. */
void srv_gate_log_refusal(struct srv *s, const char *request, const char *service, bool is_urgent,
			  int64_t retry_ms);

/* Logs what another node told of an upstream. */
void srv_gate_log_notice(const struct gate_notice *notice, const char *from, int64_t now_ms);

/*
 * Takes the other upstreams of its service for brittle too, until they say otherwise: all of them
 * are filled by the same burst.
 */
void srv_gate_spread_brittle(struct srv *s, const char *id, double per_s, int64_t now_ms);

/*
 * srv_gate_msg.c: reads another node's notice, which it borrows from. Returns false if it names no
 * upstream or a rate that isn't a number.
 */
bool srv_gate_decode(const Peer__UpstreamNotice *in, struct gate_notice *out, int64_t now_ms);

/* Tells all nodes what is known of the run. */
void srv_gate_tell_all(struct srv *s, struct gate_run run, int64_t now_ms);

/* Asks the limit's owner for permits for n_waiting requests. */
void srv_gate_ask(struct srv *s, struct gate_run run, uint32_t n_waiting, bool is_urgent);

/* Tells the limit's owner what this node has in progress at a brittle upstream, if it has changed.
 */
void srv_gate_note_use(struct srv *s, const char *id);

/* Sends all notices to a node that has joined or was silent. */
void srv_gate_send_all(struct srv *s, const char *to, int64_t now_ms);

/* Called in each gossip round with a node that gets its message. */
void srv_gate_round(struct srv *s, const char *to, int64_t now_ms);
void srv_gate_message(struct srv *s, const Peer__Message *message);
void srv_gate_tick(struct srv *s, int64_t now_ms);

/*
 * srv_gate_pool.c: hold calls to one pool upstream, or to all of which something was said, back
 * while the gate is closed; ask for permits where pieces wait.
 */
void srv_gate_update_pool(struct srv *s, const char *id, int64_t now_ms);
void srv_gate_update_pools(struct srv *s, int64_t now_ms);

/* srv_permit.c: requests that wait for a permit. */
void srv_permit_wait(struct srv_req *r, struct srv_upstream *u, int64_t now_ms);
void srv_permit_stop_waiting(struct srv_req *r);

/* Returns whether a permit has to be asked for before the request can be sent there. */
bool srv_permit_is_needed(const struct srv_req *r, const struct srv_upstream *u, int64_t now_ms);

/*
 * Lets a request on which work has been done wait a little until an upstream is open; returns
 * whether it waits.
 */
bool srv_permit_wait_until_open(struct srv_req *r, int64_t now_ms);

/* Sends the requests that wait for the upstream, or lets them choose another one. */
void srv_permit_wake(struct srv *s, const char *id);

#endif
