/*
 * The node: joins the decisions to the listeners, the workers, the platform and the other nodes.
 *
 * Lock order, outermost first: nod.lock (decisions), nod.table_lock (requests), hrq.lock.
 * Commands of the decisions are carried out with nod.lock dropped.
 */
#ifndef NODE_NOD_H
#define NODE_NOD_H

#include "base/hcl.h"
#include "base/tmr.h"
#include "base/wkp.h"
#include "decide/dec.h"
#include "model/set.h"
#include "node/hrq.h"
#include "peer/peer.h"

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

struct nod {
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
	gint reading_config; /* atomic: a read is under way */
	gint reading_list;
	char *config_etag; /* touched by the config reader alone */
	gint stopping;
};

/* NULL with *error set. The caller frees with nod_free(). */
struct nod *nod_new(struct set *set, GError **error);

/* Stops listeners and workers; requests that still run are answered as not complete. */
void nod_free(struct nod *n);

/* Hands one event to the decisions and carries out what they command. */
void nod_event(struct nod *n, const struct dec_event *ev);

/* The configuration in force with a reference, NULL when there is none; cfg_unref() it. */
struct cfg *nod_cfg(struct nod *n);

/* Puts a request into the node's table, which takes its own reference. */
void nod_add_req(struct nod *n, struct hrq *hrq);
void nod_remove_req(struct nod *n, uint64_t id);

/* NULL when it is not in the table; the caller drops the reference. */
struct hrq *nod_find_req(struct nod *n, uint64_t id);

uint64_t nod_next_id(struct nod *n);
uint32_t nod_requests(struct nod *n);

/* Carries out the commands; takes what they own. run.c */
void run_cmds(struct nod *n, struct dec_out *out);

/* Listener for callers. ent.c */
bool ent_start(struct nod *n, GError **error);

/* Messages with other nodes. msg.c */
bool msg_start(struct nod *n, GError **error);

/* Sends a digest, or the request for a VM list, to the node that the command names. msg.c */
void msg_send_digest(struct nod *n, const struct dec_cmd *cmd);
void msg_ask_list(struct nod *n, const struct dec_cmd *cmd);

/* Reads the load report of the upstream that the command names. rpt.c */
void rpt_poll(struct nod *n, const struct dec_cmd *cmd);

/* Listener for operators. adn.c */
bool adn_start(struct nod *n, GError **error);

/* Reads configuration and VM list from the platform, periodically. plt.c */
void plt_start(struct nod *n);

/* Sends one attempt to an upstream; owns att. ups.c */
struct ups_attempt {
	struct nod *node;
	struct hrq *hrq;
	struct dec_cmd cmd;
};
void ups_send(void *att);

/* Tells an upstream to drop an attempt; owns att. ups.c */
void ups_cancel(void *att);

/* State of the node as JSON; the caller drops the reference. dmp.c */
json_t *dmp_state(struct nod *n);

#endif
