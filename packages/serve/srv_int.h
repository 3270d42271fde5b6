/* The parts of a serving node. All of it belongs to the loop's thread. */
#ifndef SERVE_SRV_INT_H
#define SERVE_SRV_INT_H

#include "base/prng.h"
#include "decide/bud.h"
#include "decide/chn.h"
#include "decide/fle.h"
#include "decide/pvw.h"
#include "decide/sel.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "peer/peer.h"
#include "serve/srv.h"

#include <jansson.h>

#define SRV_TICK_MS 100
#define SRV_LEGS_MAX 6 /* sends of one request, refused ones included */

/* Metrics of the node; X(identifier, exported name, help) */
#define SRV_COUNTERS(X)                                                                            \
	X(SRV_REQUESTS, "requests_total", "requests read from callers")                            \
	X(SRV_SERVED, "served_total", "answers of upstreams passed on whole")                      \
	X(SRV_REFUSED, "refused_total", "requests answered as not run")                            \
	X(SRV_FAILED, "failed_total", "requests that may have run and have no answer")             \
	X(SRV_GONE, "callers_gone_total", "callers that left before their answer")                 \
	X(SRV_SENDS, "upstream_sends_total", "requests sent to upstreams")                         \
	X(SRV_REPEATS, "upstream_repeats_total", "sends after the first of a request")             \
	X(SRV_CALLS, "pool_calls_total", "calls of pieces")                                        \
	X(SRV_PIECES, "pool_pieces_total", "pieces in these calls")                                \
	X(SRV_CHAINS, "chains_total", "chains asked for by this node")                             \
	X(SRV_CHAINS_AGAIN, "chains_again_total", "chains asked for again of another owner")       \
	X(SRV_READS, "source_calls_total", "calls to the source of configuration")                 \
	X(SRV_READS_FAILED, "source_failed_total", "of them, refused, lost or malformed")          \
	X(SRV_LOOKUPS, "lookups_total", "questions for addresses answered")

enum srv_counter {
#define SRV_ENUM(id, name, help) id,
	SRV_COUNTERS(SRV_ENUM)
#undef SRV_ENUM
		SRV_COUNTERS_N
};

#define SRV_BUCKETS 14

/* Latencies in buckets that double from 1 ms. */
struct srv_histogram {
	uint64_t buckets[SRV_BUCKETS];
	uint64_t count;
	double sum_ms;
};

/* What this node knows of an upstream from its own calls. */
struct srv_upstream {
	char *id;
	char *address;
	struct http_client_origin *origin;
	uint32_t in_flight;
	uint32_t fails; /* in a row */
	int64_t blocked_until_ms;
	bool told;     /* the block came from another node */
	double failed; /* recent share of failures, decays */
	int64_t failed_ms;
	struct bud_tokens cold;
	int64_t seen_ms; /* in the published view */
};

struct srv_feed;
struct srv_ask;

struct srv {
	uv_loop_t loop;
	struct sst *set;
	char *settings_path;
	int64_t settings_mtime;
	const struct adp_ops *adp;
	struct prng prng;
	struct pvw *view;
	struct fle *fleet;
	struct chn *chains;
	struct peer *peer;
	uv_poll_t peer_poll;
	struct http_server *front;
	struct http_server *ready;
	struct http_server *lookup;
	struct http_server *admin;
	struct http_server *metrics;
	struct srv_feed *feed;
	GHashTable *upstreams; /* id -> struct srv_upstream */
	GHashTable *budgets;   /* service -> struct bud */
	GHashTable *asks;      /* chain id -> struct srv_ask */
	uint64_t next_chain;
	uv_timer_t tick;
	uv_timer_t chain_tick;
	uv_timer_t mesh_tick;
	uint32_t rounds; /* of gossip */
	uv_signal_t on_term;
	uv_signal_t on_int;
	uv_signal_t on_hup;
	int64_t started_ms;
	int64_t last_tick_ms;
	int64_t stop_began_ms;	    /* 0: none */
	int64_t copy_revision;	    /* of the newest copy taken */
	int64_t copy_asked_ms;	    /* when another node was last asked for what it holds */
	int64_t not_owner_since_ms; /* another node owns the chains; 0: this one does */
	bool is_ready;
	bool front_open; /* callers' listener has been opened */
	bool stopped;
	uint64_t counters[SRV_COUNTERS_N];
	struct srv_histogram first_byte;
	struct srv_histogram chain_time;
};

static inline void srv_count(struct srv *s, enum srv_counter counter)
{
	s->counters[counter]++;
}

void srv_observe(struct srv_histogram *h, int64_t ms);

/* srv_feed.c */
struct srv_feed *srv_feed_new(struct srv *s);
void srv_feed_free(struct srv_feed *feed);
void srv_feed_tick(struct srv_feed *feed, int64_t now_ms);

/* Age of what the view holds, in ms; -1: nothing was read yet. */
int64_t srv_feed_age_ms(const struct srv_feed *feed, int64_t now_ms);
int64_t srv_feed_revision(const struct srv_feed *feed);

/* True while the source has given no answer since the start, or its last call failed. */
bool srv_feed_is_away(const struct srv_feed *feed);

/* srv_copy.c: what another node holds of the source, for one that starts while it is away. */
void srv_copy_tick(struct srv *s, int64_t now_ms);
void srv_copy_message(struct srv *s, const Peer__Message *message);

/* srv_mesh.c */
bool srv_mesh_start(struct srv *s, uint64_t incarnation, GError **error);
void srv_mesh_stop(struct srv *s);
void srv_mesh_send(struct srv *s, const char *peer_address, Peer__Message *message);

/* srv_chain.c: the owner's side and the asker's. */
GHashTable *srv_chain_asks_new(void);
void srv_chain_view_changed(struct srv *s);
void srv_chain_message(struct srv *s, const Peer__Message *message);
void srv_chain_tick(struct srv *s, int64_t now_ms);

struct srv_chain_result {
	bool ready;
	const char *const *handles; /* borrowed, ends with NULL */
	const char *data_centre;    /* NULL: none is nearer than another */
	int64_t retry_after_ms;
	const char *reason;
};

typedef void (*srv_chain_fn)(void *arg, const struct srv_chain_result *result);

/* Asks the owner; fn is called once unless srv_chain_end() comes first. Returns the chain's id. */
uint64_t srv_chain_ask(struct srv *s, const struct chn_job_doc *doc, srv_chain_fn fn, void *arg);
void srv_chain_end(struct srv *s, uint64_t id);

/* The upstream that runs the request should have fetched the chain's results. */
void srv_chain_fetched(struct srv *s, uint64_t id);

/* Chains that this node owns go to the fleet's owner when that is another node. */
void srv_chain_check_owner(struct srv *s, int64_t now_ms);

/* srv_ups.c */
struct srv_upstream *srv_ups_get(struct srv *s, const char *id, const char *address);
void srv_ups_note_good(struct srv_upstream *u, int64_t now_ms);

enum srv_trouble {
	SRV_TROUBLE_UNREACHABLE, /* no connection, or silence */
	SRV_TROUBLE_BROKEN,	 /* an answer that broke off, was malformed or an error */
	SRV_TROUBLE_FULL,	 /* refused for load */
};

void srv_ups_note_bad(struct srv *s, struct srv_upstream *u, enum srv_trouble trouble,
		      int64_t now_ms);
double srv_ups_failed(const struct srv_upstream *u, int64_t now_ms);
void srv_ups_sweep(struct srv *s, int64_t now_ms);
struct bud *srv_ups_budget(struct srv *s, const char *service);
bool srv_ups_may_repeat(struct srv *s, const char *service, int64_t now_ms);

/* Others' word that an upstream doesn't answer. */
void srv_ups_take_word(struct srv *s, const char *id, int64_t wait_ms, int64_t now_ms);

struct srv_want {
	const struct pub_service *service;
	const char *service_name;
	char *const *regions;
	const char *data_centre; /* of the inputs; NULL: none */
	struct sel_request select;
	const char *const *tried; /* ids, ends with NULL */
};

/* The upstream for one send, with its published entry; NULL when there is none. */
struct srv_upstream *srv_ups_pick(struct srv *s, const struct srv_want *want, int64_t now_ms);

/* srv_req.c */
void srv_req_begin(void *arg, struct http_server_request *request);
void srv_req_gone(void *arg, struct http_server_request *request);
void srv_req_drained(void *arg, struct http_server_request *request);

/* srv_look.c: listeners besides the callers'. */
bool srv_look_start(struct srv *s, GError **error);
void srv_look_stop(struct srv *s);

/* The queues of the pools, as JSON. */
json_t *srv_put_pools(const struct srv *s);

#endif
