/*
 * The node: joins the decisions to the listeners, the workers, the platform and the other nodes.
 *
 * Lock order, outermost first: the lock of mcf.c, nod.lock (decisions), fwd.lock, hnd.lock,
 * nod.table_lock (requests), hrq.lock. rel.lock is taken with none of them held and held over none
 * of them. Commands of the decisions are carried out with nod.lock dropped.
 */
#ifndef NODE_NOD_H
#define NODE_NOD_H

#include "base/hcl.h"
#include "base/tmr.h"
#include "base/wkp.h"
#include "decide/dec.h"
#include "model/settings.h"
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
	struct ord *orders;
	struct mcf *config; /* acceptance and spread of the configuration */
	struct fwd *fwd;
	struct hnd *hnd;
	struct rel *rel;
	struct gon *gone;
	gint callers;  /* atomic: exchanges with callers that have begun and not ended */
	gint draining; /* atomic: a planned stop has begun */
	gint stopping; /* atomic, set under table_lock: takes no request any more */
};

/* NULL with *error set. The caller frees with nod_free(). */
struct nod *nod_new(struct set *set, GError **error);

/* Stops listeners and workers; requests that still run are answered as not complete. */
void nod_free(struct nod *n);

/* Hands one event to the decisions and carries out what they command. */
void nod_event(struct nod *n, const struct dec_event *ev);

/* The configuration in force with a reference, NULL when there is none; cfg_unref() it. */
struct cfg *nod_cfg(struct nod *n);

/* Puts a request into the node's table, which takes its own reference; false when it stops. */
bool nod_add_req(struct nod *n, struct hrq *hrq);
void nod_remove_req(struct nod *n, uint64_t id);

/* NULL when it is not in the table; the caller drops the reference. */
struct hrq *nod_find_req(struct nod *n, uint64_t id);

uint64_t nod_next_id(struct nod *n);
uint32_t nod_requests(struct nod *n);

/* Carries out the commands; takes what they own. run.c */
void run_cmds(struct nod *n, struct dec_out *out);

/* Answers a request as not complete; adds a fresh ticket where its caller needs one. run.c */
void run_refusal(struct nod *n, struct hrq *hrq, int code, enum err_outcome outcome,
		 int64_t retry_after_ms);

/* Answers a request with a whole body, of which it takes a reference; NULL is empty. run.c */
void run_answer(struct nod *n, struct hrq *hrq, GBytes *body);

/* Writes a fresh ticket of this node; "" once its tickets were released. run.c */
void run_fresh_ticket(struct nod *n, char text[TKT_TEXT_BYTES]);

/* Finds what /v1/pipelines/NAME or /v1/services/NAME/CALL names. tgt.c */
enum err_code tgt_read(const struct cfg *cfg, const char *url, struct dec_ev_request *ev);

/* Listener for callers. ent.c */
bool ent_start(struct nod *n, GError **error);

/* Tells the decisions which callers leave while their answer is awaited. gon.c */
struct gon *gon_new(struct nod *n);
void gon_free(struct gon *g);

/* A caller's connection is suspended. Call with hrq->lock held. */
void gon_watch(struct gon *g, struct hrq *hrq);

/* Messages with other nodes. msg.c */
bool msg_start(struct nod *n, GError **error);

/* Sends a digest, or the request for a VM list, to the node that the command names. msg.c */
void msg_send_digest(struct nod *n, const struct dec_cmd *cmd);
void msg_ask_list(struct nod *n, const struct dec_cmd *cmd);

/* Reads the load report of the upstream that the command names. rpt.c */
void rpt_poll(struct nod *n, const struct dec_cmd *cmd);

/* Listener for operators. adn.c */
bool adn_start(struct nod *n, GError **error);

/* Watches configuration and VM list at the platform. plt.c */
void plt_start(struct nod *n);

/*
 * Configuration of the node: what the service publishes and what other nodes have in force goes
 * through one acceptance (decide/cfr.h), and spreads by digests. mcf.c
 */
struct mcf *mcf_new(struct nod *n);
void mcf_start(struct nod *n);

/* No message is sent by it any more. */
void mcf_stop(struct nod *n);
void mcf_free(struct mcf *m);

/* Sections that the configuration service gave; blocks while they are parsed. */
void mcf_offer_document(struct nod *n, const char *text, size_t len);
void mcf_offer_section(struct nod *n, enum cfg_section_id id, const struct cfg_section_text *text);

/* The service answered, whether or not there was news. */
void mcf_service_answered(struct nod *n);

/* Takes digests, questions for sections and their answers; does not block. */
void mcf_take(struct nod *n, const Peer__Message *message);

/* Sections in force with revision and hash; the caller drops the reference. */
json_t *mcf_dump(struct nod *n);

/* Orders to engines. ord.c */
struct ord *ord_new(void);
void ord_start(struct nod *n);
void ord_free(struct ord *o);

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
