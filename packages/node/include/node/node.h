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
	pthread_mutex_t lock; /* guards dec */
	struct core_state *core_state;
	struct cfg *cfg;	    /* published to readers by RCU; holds a reference */
	pthread_mutex_t table_lock; /* guards reqs and pools */
	GHashTable *reqs;	    /* id -> struct httpreq, one reference each */
	GHashTable *pools;	    /* service name -> struct wkp */
	uint64_t next_id;	    /* atomic */
	struct peer *peer;
	struct fetch_client *http;
	struct timer_service *timers;
	struct workpool *background; /* platform reads, load reports, cancels */
	struct MHD_Daemon *entry;
	struct MHD_Daemon *admin;
	char caller_address[64];
	char admin_address[64];
	struct order_controller *orders;
	struct confsync *config; /* configuration acceptance and gossip */
	struct fwd *fwd;
	struct handoff *handoff;
	struct releaser *releaser;
	struct disconnect_monitor *disconnects;
	gint callers;  /* atomic: exchanges with callers that are in progress */
	gint draining; /* atomic: a planned stop is in progress */
	gint stopping; /* atomic, set under table_lock: no request is accepted */
};

/* NULL with *error set on failure. Free with node_free(). */
struct node_server *node_new(struct settings *set, GError **error);

/* Stops listeners and workers. Requests that still run get an error with an unknown outcome. */
void node_free(struct node_server *n);

/* Passes an event to the decision core and executes the resulting commands. */
void node_handle_event(struct node_server *n, const struct core_event *ev);

/* The configuration in force, or NULL. The caller drops the reference with cfg_unref(). */
struct cfg *node_cfg(struct node_server *n);

/* Adds a request to the table, which takes a reference; false if the node is stopping. */
bool node_add_request(struct node_server *n, struct httpreq *httpreq);
void node_remove_request(struct node_server *n, uint64_t id);

/* NULL if the request is not in the table. The caller drops the reference. */
struct httpreq *node_find_request(struct node_server *n, uint64_t id);

uint64_t node_next_id(struct node_server *n);
uint32_t node_request_count(struct node_server *n);

/* Executes commands and takes ownership of what they hold. run.c */
void run_cmds(struct node_server *n, struct core_out *out);

/* Answers a request with an error, and with a fresh ticket if its caller needs one. run.c */
void run_refuse(struct node_server *n, struct httpreq *httpreq, int code, enum err_outcome outcome,
		int64_t retry_after_ms);

/* Answers a request with a body, which is referenced; NULL for an empty one. run.c */
void run_answer(struct node_server *n, struct httpreq *httpreq, GBytes *body);

/* Issues a ticket of this node; "" after its tickets were released. run.c */
void run_fresh_ticket(struct node_server *n, char text[TICKET_TEXT_BYTES]);

/* Resolves /v1/pipelines/NAME or /v1/services/NAME/CALL. target.c */
enum err_code target_parse(const struct cfg *cfg, const char *url, struct core_ev_request *ev);

/* Starts the listener for callers. entry.c */
bool entry_start(struct node_server *n, GError **error);

/* Reports to the decision core callers that disconnect before their answer. disconnect.c */
struct disconnect_monitor *disconnect_new(struct node_server *n);
void disconnect_free(struct disconnect_monitor *g);

/* Watches the suspended connection of a request. Call with the request's lock held. */
void disconnect_watch(struct disconnect_monitor *g, struct httpreq *httpreq);

/* Starts the message exchange with other nodes. msg.c */
bool msg_start(struct node_server *n, GError **error);

/* Sends a digest or a VM list request to the node that the command names. msg.c */
void msg_send_digest(struct node_server *n, const struct core_cmd *cmd);
void msg_request_list(struct node_server *n, const struct core_cmd *cmd);

/* Queues a read of the load report of the upstream that the command names. reportpoll.c */
void reportpoll_submit(struct node_server *n, const struct core_cmd *cmd);

/* Starts the listener for operators. admin.c */
bool admin_start(struct node_server *n, GError **error);

/* Starts the watches of the platform's configuration and VM list. platclient.c */
void platclient_start(struct node_server *n);

/*
 * Configuration synchronisation. Sections from the configuration service and from other nodes pass
 * the same acceptance check and spread by digests. confsync.c
 */
struct confsync *confsync_new(struct node_server *n);
void confsync_start(struct node_server *n);

/* After this call the module sends no message. */
void confsync_stop(struct node_server *n);
void confsync_free(struct confsync *m);

/* Offers sections read from the configuration service; blocks while they are parsed. */
void confsync_offer_document(struct node_server *n, const char *text, size_t len);
void confsync_offer_section(struct node_server *n, enum cfg_section_id id,
			    const struct cfg_section_text *text);

/* Records that the service answered, with or without a change. */
void confsync_service_answered(struct node_server *n);

/* Handles digests, section requests and section replies; does not block. */
void confsync_receive(struct node_server *n, const Peer__Message *message);

/* Revision and hash of each section in force. The caller drops the reference. */
json_t *confsync_dump(struct node_server *n);

/* Placement orders to engines. order.c */
struct order_controller *order_new(void);
void order_start(struct node_server *n);
void order_free(struct order_controller *o);

/* An attempt of a stage at an upstream. upcall.c */
struct upcall_attempt {
	struct node_server *node;
	struct httpreq *httpreq;
	struct core_cmd cmd;
};

/* Sends the attempt and posts its result; takes ownership of att. */
void upcall_send(void *att);

/* Cancels an attempt at its upstream; takes ownership of att. */
void upcall_cancel(void *att);

/* State of the node as JSON. The caller drops the reference. dump.c */
json_t *dump_state(struct node_server *n);

#endif
