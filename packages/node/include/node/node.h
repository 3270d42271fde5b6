/*
 * The node: joins the decisions to the listeners, the workers, the platform and the other nodes.
 *
 * Lock order, outermost first: the lock of mcf.c, nod.lock (decisions), fwd.lock, hnd.lock,
 * nod.table_lock (requests), hrq.lock. rel.lock is taken with none of them held and held over none
 * of them. Commands of the decisions are carried out with nod.lock dropped.
 */
#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "base/hcl.h"
#include "base/tmr.h"
#include "base/wkp.h"
#include "decide/dec.h"
#include "model/set.h"
#include "node/httpreq.h"
#include "peer/peer.h"

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

struct node_server {
	struct set *set; /* borrowed */
	uint64_t incarnation;
	pthread_mutex_t lock; /* guards dec */
	struct dec *dec;
	struct cfg *cfg;	    /* what readers see, under RCU; a reference of its own */
	pthread_mutex_t table_lock; /* guards reqs and pools */
	GHashTable *reqs;	    /* id -> struct hrq, a reference each */
	GHashTable *pools;	    /* service name -> struct wkp */
	uint64_t next_id;	    /* atomic */
	struct peer *peer;
	struct hcl *http;
	struct tmr *timers;
	struct wkp *side; /* platform reads, reports, cancels */
	struct MHD_Daemon *entry;
	struct MHD_Daemon *admin;
	char caller_address[64];
	char admin_address[64];
	struct order_controller *orders;
	struct confsync *config; /* acceptance and spread of the configuration */
	struct fwd *fwd;
	struct handoff *handoff;
	struct releaser *releaser;
	struct disconnect_monitor *gone;
	gint callers;  /* atomic: exchanges with callers that have begun and not ended */
	gint draining; /* atomic: a planned stop has begun */
	gint stopping; /* atomic, set under table_lock: takes no request any more */
};

/* NULL with *error set. The caller frees with node_free(). */
struct node_server *node_new(struct set *set, GError **error);

/* Stops listeners and workers; requests that still run are answered as not complete. */
void node_free(struct node_server *n);

/* Hands one event to the decisions and carries out what they command. */
void node_handle_event(struct node_server *n, const struct dec_event *ev);

/* The configuration in force with a reference, NULL when there is none; cfg_unref() it. */
struct cfg *node_cfg(struct node_server *n);

/* Puts a request into the node's table, which takes its own reference; false when it stops. */
bool node_add_request(struct node_server *n, struct httpreq *httpreq);
void node_remove_request(struct node_server *n, uint64_t id);

/* NULL when it is not in the table; the caller drops the reference. */
struct httpreq *node_find_request(struct node_server *n, uint64_t id);

uint64_t node_next_id(struct node_server *n);
uint32_t node_request_count(struct node_server *n);

/* Carries out the commands; takes what they own. run.c */
void run_cmds(struct node_server *n, struct dec_out *out);

/* Answers a request as not complete; adds a fresh ticket where its caller needs one. run.c */
void run_refuse(struct node_server *n, struct httpreq *httpreq, int code, enum err_outcome outcome,
		int64_t retry_after_ms);

/* Answers a request with a whole body, of which it takes a reference; NULL is empty. run.c */
void run_answer(struct node_server *n, struct httpreq *httpreq, GBytes *body);

/* Writes a fresh ticket of this node; "" once its tickets were released. run.c */
void run_fresh_ticket(struct node_server *n, char text[TKT_TEXT_BYTES]);

/* Finds what /v1/pipelines/NAME or /v1/services/NAME/CALL names. tgt.c */
enum err_code target_parse(const struct cfg *cfg, const char *url, struct dec_ev_request *ev);

/* Listener for callers. ent.c */
bool entry_start(struct node_server *n, GError **error);

/* Tells the decisions which callers leave while their answer is awaited. gon.c */
struct disconnect_monitor *disconnect_new(struct node_server *n);
void disconnect_free(struct disconnect_monitor *g);

/* A caller's connection is suspended. Call with hrq->lock held. */
void disconnect_watch(struct disconnect_monitor *g, struct httpreq *httpreq);

/* Messages with other nodes. msg.c */
bool msg_start(struct node_server *n, GError **error);

/* Sends a digest, or the request for a VM list, to the node that the command names. msg.c */
void msg_send_digest(struct node_server *n, const struct dec_cmd *cmd);
void msg_request_list(struct node_server *n, const struct dec_cmd *cmd);

/* Reads the load report of the upstream that the command names. rpt.c */
void reportpoll_submit(struct node_server *n, const struct dec_cmd *cmd);

/* Listener for operators. adn.c */
bool admin_start(struct node_server *n, GError **error);

/* Watches configuration and VM list at the platform. plt.c */
void platclient_start(struct node_server *n);

/*
 * Configuration of the node: what the service publishes and what other nodes have in force goes
 * through one acceptance (decide/cfr.h), and spreads by digests. mcf.c
 */
struct confsync *confsync_new(struct node_server *n);
void confsync_start(struct node_server *n);

/* No message is sent by it any more. */
void confsync_stop(struct node_server *n);
void confsync_free(struct confsync *m);

/* Sections that the configuration service gave; blocks while they are parsed. */
void confsync_offer_document(struct node_server *n, const char *text, size_t len);
void confsync_offer_section(struct node_server *n, enum cfg_section_id id,
			    const struct cfg_text *text);

/* The service answered, whether or not there was news. */
void confsync_service_answered(struct node_server *n);

/* Takes digests, questions for sections and their answers; does not block. */
void confsync_receive(struct node_server *n, const Peer__Message *message);

/* Sections in force with revision and hash; the caller drops the reference. */
json_t *confsync_dump(struct node_server *n);

/* Orders to engines. ord.c */
struct order_controller *order_new(void);
void order_start(struct node_server *n);
void order_free(struct order_controller *o);

/* Sends one attempt to an upstream; owns att. ups.c */
struct upcall_attempt {
	struct node_server *node;
	struct httpreq *httpreq;
	struct dec_cmd cmd;
};
void upcall_send(void *att);

/* Tells an upstream to drop an attempt; owns att. ups.c */
void upcall_cancel(void *att);

/* State of the node as JSON; the caller drops the reference. dmp.c */
json_t *dump_state(struct node_server *n);

#endif
