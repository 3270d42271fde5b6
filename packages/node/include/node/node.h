/*
 * The node: connects the decision core to the listeners, workers, platform and other nodes.
 *
 * Lock order, outermost first: confsync.lock, node_server.lock (decision core), fwd.lock,
 * handoff.lock, node_server.table_lock, httpreq.lock. releaser.lock is taken while none of these is
 * held, and none of these is taken under it. Commands of the decision core are executed after
 * node_server.lock is released.
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "base/fetch.h"
#include "base/timer.h"
#include "base/workpool.h"
#include "decide/core.h"
#include "model/settings.h"
#include "node/httpreq.h"
#include "peer/peer.h"

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

struct node_server {
	struct settings *set; /* borrowed */
	uint64_t incarnation;
	pthread_mutex_t lock; /* guards core_state */
	struct core_state *core_state;
	struct cfg *cfg;	    /* configuration in force, owned, or NULL; read under RCU */
	pthread_mutex_t table_lock; /* guards reqs and pools */
	GHashTable *reqs;	    /* id -> struct httpreq, one reference each */
	GHashTable *pools;	    /* service name -> struct workpool */
	uint64_t next_id;	    /* atomic: last id that node_next_id() returned */
	struct peer *peer;
	struct fetch_client *http;
	struct timer_service *timers;
	struct workpool *background; /* platform reads, load reports, cancels */
	struct MHD_Daemon *entry;
	struct MHD_Daemon *admin;
	struct entry_limit *entry_limit; /* of the callers' listener */
	struct entry_limit *admin_limit; /* of the operators' listener */
	char caller_address[64];
	char admin_address[64];
	struct order_controller *orders;
	struct confsync *config; /* configuration acceptance and gossip */
	struct fwd *fwd;
	struct handoff *handoff;
	struct releaser *releaser;
	struct disconnect_monitor *disconnects;
	gint callers;  /* atomic: number of exchanges with callers in progress */
	gint draining; /* atomic: 1 once a planned stop has begun */
	gint stopping; /* atomic, set under table_lock: 1 if no more requests are accepted */
};

/* NULL with *error set on failure. Free with node_free(). */
struct node_server *node_new(struct settings *set, GError **error);

/* Stops listeners and workers. Requests that still run get an error with an unknown outcome. */
void node_free(struct node_server *n);

/* Passes an event to the decision core and executes the resulting commands. */
void node_handle_event(struct node_server *n, const struct core_event *ev);

/* Returns the configuration in force, or NULL. The caller drops the reference with cfg_unref(). */
struct cfg *node_cfg(struct node_server *n);

/* Adds a request to the table, which takes a reference; false if the node is stopping. */
bool node_add_request(struct node_server *n, struct httpreq *httpreq);
void node_remove_request(struct node_server *n, uint64_t id);

/* Returns a reference to a request in the table, which the caller drops; NULL if there is none. */
struct httpreq *node_find_request(struct node_server *n, uint64_t id);

/* Returns a request id that is unique within this incarnation. */
uint64_t node_next_id(struct node_server *n);

/* Number of requests in the table. */
uint32_t node_request_count(struct node_server *n);

/* Executes the commands in out, which the caller frees. run.c */
void run_cmds(struct node_server *n, struct core_out *out);

/* Answers a request with an error, and with a fresh ticket if its caller needs one. run.c */
void run_refuse(struct node_server *n, struct httpreq *httpreq, int code, enum err_outcome outcome,
		int64_t retry_after_ms);

/* Answers a request with body, adding a reference to it; NULL sends an empty body. run.c */
void run_answer(struct node_server *n, struct httpreq *httpreq, GBytes *body);

/* Writes a new ticket of this node to text, or "" if its tickets have been released. run.c */
void run_fresh_ticket(struct node_server *n, char text[TICKET_TEXT_BYTES]);

/*
 * Sets the pipeline, or the service and call, that /v1/pipelines/NAME or /v1/services/NAME/CALL
 * refers to. Returns ERR_NONE or the error to answer with. target.c
 */
enum err_code target_parse(const struct cfg *cfg, const char *url, struct core_ev_request *ev);

/* Starts the listener for callers; false with *error set on failure. entry.c */
bool entry_start(struct node_server *n, GError **error);

/* Tells the decision core when a caller disconnects before it is answered. disconnect.c */
struct disconnect_monitor *disconnect_new(struct node_server *n);
void disconnect_free(struct disconnect_monitor *g);

/* Watches the suspended connection of a request. Call with the request's lock held. */
void disconnect_watch(struct disconnect_monitor *g, struct httpreq *httpreq);

/* Starts the message exchange with other nodes; false with *error set on failure. msg.c */
bool msg_start(struct node_server *n, GError **error);

/* Sends a digest or a VM list request to the node that the command names. msg.c */
void msg_send_digest(struct node_server *n, const struct core_cmd *cmd);
void msg_request_list(struct node_server *n, const struct core_cmd *cmd);

/* Queues a read of the load report of the upstream that the command names. reportpoll.c */
void reportpoll_submit(struct node_server *n, const struct core_cmd *cmd);

/* Starts the listener for operators; false with *error set on failure. admin.c */
bool admin_start(struct node_server *n, GError **error);

/* Starts the watches of the platform's configuration and VM list. platclient.c */
void platclient_start(struct node_server *n);

/*
 * Configuration synchronisation. Sections from the configuration service and from other nodes are
 * checked in the same way before they are accepted. Digests announce accepted sections to other
 * nodes. confsync.c
 */
struct confsync *confsync_new(struct node_server *n);
void confsync_start(struct node_server *n);

/* Waits for a send in progress; no message is sent after the return. */
void confsync_stop(struct node_server *n);
void confsync_free(struct confsync *m);

/* Offers sections read from the configuration service; blocks while they are parsed. */
void confsync_offer_document(struct node_server *n, const char *text, size_t len);
void confsync_offer_section(struct node_server *n, enum cfg_section_id id,
			    const struct cfg_section_text *text);

/* Records that the configuration service answered, with or without a change. */
void confsync_service_answered(struct node_server *n);

/* Handles digests, section requests and section replies; does not block. confsync_msg.c */
void confsync_receive(struct node_server *n, const Peer__Message *message);

/* Returns revision and hash of each accepted section as JSON. The caller drops the reference. */
json_t *confsync_dump(struct node_server *n);

/* Sends orders to engines that assign models to them. order.c */
struct order_controller *order_new(void);
void order_start(struct node_server *n);
void order_free(struct order_controller *o);

/* An attempt of a stage at an upstream. upstream_call.c */
struct upstream_call_attempt {
	struct node_server *node;
	struct httpreq *httpreq;
	struct core_cmd cmd;
};

/* Sends the attempt and posts its result; takes ownership of att. */
void upstream_call_send(void *att);

/* Cancels an attempt at its upstream; takes ownership of att. */
void upstream_call_cancel(void *att);

/* Returns the state of the node as JSON. The caller drops the reference. dump.c */
json_t *dump_state(struct node_server *n);

#endif
