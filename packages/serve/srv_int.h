/* Internals of a serving node. Everything is used by the event loop's thread alone. */
#ifndef SERVE_SRV_INT_H
#define SERVE_SRV_INT_H

#include "base/prng.h"
#include "decide/budget.h"
#include "decide/chain.h"
#include "decide/follow.h"
#include "decide/gossip.h"
#include "decide/lb.h"
#include "decide/policy.h"
#include "decide/reach.h"
#include "decide/spread.h"
#include "decide/stream_origin.h"
#include "decide/view.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "peer/peer.h"
#include "serve/srv.h"
#include "srv_traffic.h"

#include <jansson.h>

#define SRV_TICK_MS 100
#define POOL_ACCOUNTS_MAX 512 /* accounts of pools in the dump */
#define POOLS_MAX 64	      /* pools in logs, in the dump and in messages between owners */
#define SRV_ATTEMPTS_MAX 6    /* attempts for one caller's request, including refused ones */

/* Metrics of the node; X(identifier, exported name, help) */
#define SRV_COUNTERS(X)                                                                            \
	X(SRV_REQUESTS, "requests_total", "requests received from callers")                        \
	X(SRV_SERVED, "served_total", "upstream answers passed on completely")                     \
	X(SRV_REFUSED, "refused_total", "requests refused without being run")                      \
	X(SRV_FAILED, "failed_total", "requests that may have run and got no answer")              \
	X(SRV_CALLER_DISCONNECTS, "callers_gone_total",                                            \
	  "callers that disconnected before their answer")                                         \
	X(SRV_SENDS, "upstream_sends_total", "requests sent to upstreams")                         \
	X(SRV_LIMITED_SENDS, "upstream_limited_sends_total",                                       \
	  "requests sent to upstreams that name a limit")                                          \
	X(SRV_HELD_BACK, "upstream_held_back_total",                                               \
	  "requests that an upstream's limit kept from being sent")                                \
	X(SRV_BACKOFFS, "upstream_backoffs_total",                                                 \
	  "answers of upstreams that name a time to come back")                                    \
	X(SRV_BRITTLE_REFUSALS, "brittle_refusals_total",                                          \
	  "requests that brittle upstreams refused for want of room")                              \
	X(SRV_PERMIT_ASKS, "permit_asks_total", "asks for permits for limited upstreams")          \
	X(SRV_PERMITS_REFUSED, "permits_refused_total", "asks that got no permit")                 \
	X(SRV_PERMITS_GRANTED, "permits_granted_total", "permits granted to other nodes")          \
	X(SRV_ADVICE_MALFORMED, "upstream_advice_malformed_total",                                 \
	  "answers with fields about their upstream that can't be read")                           \
	X(SRV_PACE_IGNORED, "upstream_pace_ignored_total",                                         \
	  "answers of pool upstreams with a pace that is malformed or out of range")               \
	X(SRV_CONNECTIONS_OPENED, "upstream_connections_opened_total",                             \
	  "connections to upstreams opened for requests and pool calls")                           \
	X(SRV_CLOSED_REFUSAL, "upstream_closed_refusal_total",                                     \
	  "connections to upstreams closed after a refusal without an id")                         \
	X(SRV_CLOSED_REASON, "upstream_closed_reason_total",                                       \
	  "connections to pool upstreams closed after a response without all results")             \
	X(SRV_CLOSED_REPEATED, "upstream_closed_repeated_handle_total",                            \
	  "connections to pool upstreams closed after a second response")                          \
	X(SRV_REPEATS, "upstream_repeats_total",                                                   \
	  "repeated sends of a request: retries and hedges")                                       \
	X(SRV_POOL_CALLS, "pool_calls_total", "batch calls to pool upstreams")                     \
	X(SRV_POOL_PIECES, "pool_pieces_total", "pieces sent in pool calls")                       \
	X(SRV_CHAINS, "chains_total", "chains requested by this node")                             \
	X(SRV_ENGINES_PROPOSED, "engines_proposed_total",                                          \
	  "chains for which this node proposed an engine as their owner")                          \
	X(SRV_PLACEMENTS_INHERITED, "placements_inherited_total",                                  \
	  "times that this node, as a new owner, got the former owner's placements")               \
	X(SRV_PROPOSALS_TAKEN, "proposals_taken_total",                                            \
	  "requests sent to the engine that their chain's owner proposed")                         \
	X(SRV_PROPOSALS_LEFT, "proposals_left_total",                                              \
	  "requests sent elsewhere, as the proposed engine costs more")                            \
	X(SRV_PROPOSALS_UNUSABLE, "proposals_unusable_total",                                      \
	  "requests sent elsewhere, as the proposed engine can't be used from here")               \
	X(SRV_CHAIN_RETRIES, "chains_again_total", "chains requested again from another owner")    \
	X(SRV_SHARED_ROUNDS, "pool_rounds_shared_total",                                           \
	  "times that work of a short pool was assigned by shares of accounts")                    \
	X(SRV_OWNER_SUMS, "pool_owner_sums_total",                                                 \
	  "sums of accounts' work in pools that were accepted from other owners")                  \
	X(SRV_ROOM_WAITS, "pool_room_waits_total",                                                 \
	  "estimates of chains in which room for results took longer than time")                   \
	X(SRV_STAGES_HELD, "pool_stages_held_total",                                               \
	  "stages that waited as their results would have expired before they are used")           \
	X(SRV_RESUMPTIONS, "resumptions_total", "streams that callers asked to resume")            \
	X(SRV_ORIGIN_UNKNOWN, "resumptions_unknown_total",                                         \
	  "resumptions refused as the version that began the stream is unknown")                   \
	X(SRV_ORIGIN_NONE_LEFT, "resumptions_none_left_total",                                     \
	  "streams ended as no upstream of their version is left")                                 \
	X(SRV_CHECKS, "resumption_checks_total",                                                   \
	  "reports requested of upstreams before streams were resumed there")                      \
	X(SRV_CHECKS_FAILED, "resumption_checks_failed_total",                                     \
	  "of these, without an answer in time or with another start than in the entry")           \
	X(SRV_CHECKS_UNSUPPORTED, "resumption_checks_unsupported_total",                           \
	  "of these, at upstreams that give no report")                                            \
	X(SRV_RESUMPTIONS_UNCONFIRMED, "resumptions_unconfirmed_total",                            \
	  "streams ended as no upstream has confirmed that it runs their version")                 \
	X(SRV_ORIGIN_READS, "origin_reads_total",                                                  \
	  "resumptions for which the source was read, as one version alone was known")             \
	X(SRV_ORIGIN_NOTES, "origin_notes_total", "origins of streams sent to other nodes")        \
	X(SRV_ISOLATIONS, "isolations_total", "times that no upstream could be reached")           \
	X(SRV_PROBES, "upstream_probes_total",                                                     \
	  "connections opened only to see whether upstreams can be reached")                       \
	X(SRV_SOURCE_CALLS, "source_calls_total", "calls to the source of configuration")          \
	X(SRV_NEWS_SENT, "source_news_sent_total",                                                 \
	  "messages to other nodes about what the source has said")                                \
	X(SRV_NEWS_FOLLOWED, "source_news_followed_total",                                         \
	  "messages of other nodes about what the source has said, applied here")                  \
	X(SRV_NEWS_MISSED, "source_news_missed_total",                                             \
	  "such messages that couldn't be applied, so that this node read the source")             \
	X(SRV_SOURCE_CUTS, "source_cuts_total",                                                    \
	  "calls to the source that ended without an answer and were repeated at once")            \
	X(SRV_SOURCE_FAILURES, "source_failed_total",                                              \
	  "source calls that were refused, lost or malformed")                                     \
	X(SRV_LOOKUPS, "lookups_total", "address lookups answered")                                \
	X(SRV_CRASH_REPORTS, "crash_reports_total",                                                \
	  "crashes of upstreams reported to other nodes, with the prompt parts")                   \
	X(SRV_RELAYED, "relayed_total",                                                            \
	  "requests relayed to other nodes, as this one reaches no upstream")                      \
	X(SRV_RELAY_FAILURES, "relay_failures_total",                                              \
	  "relayed requests to which no complete answer was passed on")                            \
	X(SRV_RUN_REPORTS, "run_reports_total",                                                    \
	  "upstreams that ended under a request, as reported to other nodes")                      \
	X(SRV_RUN_ASKS, "run_asks_total",                                                          \
	  "requests that needed a grant to run, as they may crash upstreams")                      \
	X(SRV_RUNS_NOT_GRANTED, "runs_not_granted_total",                                          \
	  "requests ended as they may crash upstreams and were running elsewhere")                 \
	X(SRV_POISON_REFUSED, "poison_refused_total",                                              \
	  "requests refused because they crash upstreams")                                         \
	X(SRV_CROWDED, "upstreams_crowded_total",                                                  \
	  "times that a brittle upstream was found crowded, at the owner of its limit")            \
	X(SRV_QUARANTINED, "quarantined_total",                                                    \
	  "requests refused because a part of their prompt crashes upstreams")

enum srv_counter {
#define SRV_ENUM(id, name, help) id,
	SRV_COUNTERS(SRV_ENUM)
#undef SRV_ENUM
		SRV_COUNTERS_N
};

#define SRV_BUCKETS 14

/* Latency histogram: bucket i counts the values of at most 2^i ms that no lower bucket counts. */
struct srv_histogram {
	uint64_t buckets[SRV_BUCKETS];
	uint64_t count;
	double sum_ms;
};

/* State of an upstream as observed by this node's requests. */
enum srv_run_result {
	SRV_RUN_CONFIRMED,
	SRV_RUN_FAILED,	     /* no valid answer, or the upstream has started again */
	SRV_RUN_UNSUPPORTED, /* it gives no report */
};

/* The newest request for an upstream's report; see srv_run_check.c. */
struct srv_run_check {
	struct http_client_call *call; /* NULL: none is under way */
	GString *body;		       /* NULL: none was requested */
	int status;
	int64_t sent_ms;	       /* 0: none was requested */
	int64_t born_ms;	       /* of the entry at that time */
	struct view_revision revision; /* the same */
	enum srv_run_result result;    /* of the newest one that has ended */
	int64_t ended_ms;
	bool has_connection; /* one was open after the answer, whose end would show a restart */
};

struct srv_upstream {
	struct srv *srv;
	char *id;
	char *address;
	struct http_client_origin *origin;
	uint32_t in_flight;
	uint32_t fails; /* consecutive failures without a connection or an answer */
	int64_t blocked_until_ms;
	int64_t unreachable_ms; /* when it was last unreachable from here; 0: never */
	bool is_reported;	/* blocked_until_ms is from another node's report */
	double failure_rate;	/* 0..1 as of failure_rate_ms; decays over time */
	int64_t failure_rate_ms;
	struct budget_token_bucket cold;
	struct srv_run_check check;
	int64_t seen_ms;  /* when the upstream was last in the published view */
	uint32_t n_refs;  /* attempts that refer to it, ended ones included */
	bool is_detached; /* replaced or removed; freed with the last reference */
};

/* Counts events of the present second. */
struct srv_rate {
	int64_t since_ms;
	uint32_t n;
};

/* What the node has done since the last "load" line in its log. */
struct srv_load {
	int64_t logged_ms;
	int64_t cpu_ms;	    /* processor time used at logged_ms */
	int64_t lag_max_ms; /* by which ticks were late */
	int64_t lag_sum_ms;
	int64_t ticks;
};

struct gate;
struct poison;
struct quarantine;
struct srv_feed;
struct srv_relays;
struct srv_reach;
struct srv_req;
struct srv_chain_request;

struct srv {
	uv_loop_t loop;
	struct srvconf *set;
	char *settings_path;
	int64_t settings_mtime_ms;
	const struct adapter_ops *adapter;
	struct prng prng;
	struct view_state *view;
	struct gossip *fleet;
	struct srv_reach *reach;
	struct chain_sched *chains;
	struct spread *spread; /* what this node has placed at engines as an owner */
	struct quarantine *quarantine;
	struct gate *gate;
	int64_t gate_ticked_ms;
	bool is_pool_update_due; /* an upstream has said that it leaves */
	int64_t malformed_logged_ms;
	GQueue permit_waiters; /* struct srv_req */
	GHashTable *returns;   /* service -> int64_t: when the last refused caller may return */
	struct srv_rate crash_reports;
	struct poison *poison;
	int64_t poison_ticked_ms;
	GHashTable *poison_probes; /* hash of an upstream's run -> struct poison_probe, owned */
	struct srv_rate run_reports;
	struct peer *peer;
	uv_poll_t peer_poll;
	struct http_budget *budget; /* memory for requests, of all listeners together */
	struct http_server *front;  /* callers' listener; NULL until the node is first ready */
	struct http_server *ready;
	struct http_server *lookup;
	struct http_server *admin;
	struct http_server *metrics;
	struct srv_feed *feed;
	GHashTable *upstreams; /* id -> struct srv_upstream */
	struct srv_relays *relays;
	GHashTable *budgets;	    /* service -> struct budget_window (retries) */
	GHashTable *chain_requests; /* chain id -> struct srv_chain_request */
	GQueue requests;	    /* struct srv_req: callers' requests in progress */
	uint64_t next_chain;
	struct stream_origin *origins;
	GQueue check_waiters;	 /* struct srv_req that wait for an upstream's report */
	GHashTable *resumptions; /* set of struct srv_req that wait for their stream's version */
	int64_t origins_noted_ms;
	uv_timer_t tick;
	uv_timer_t chain_timer;
	uv_timer_t unsent_timer; /* runs while chains wait to be sent to their owner */
	uv_timer_t flush_timer;	 /* runs while messages wait for links to other nodes */
	uv_timer_t gossip_timer;
	uint32_t gossip_rounds;
	uv_signal_t on_term;
	uv_signal_t on_int;
	uv_signal_t on_hup;
	int64_t started_ms;
	int64_t last_tick_ms;
	int64_t stop_began_ms; /* 0: not stopping */
	int64_t stop_by_ms;    /* all requests are answered by then; INT64_MAX: not stopping */
	struct view_revision snapshot_revision; /* of the newest snapshot applied */
	int64_t snapshot_requested_ms; /* when a snapshot was last requested from another node */
	GPtrArray *regions; /* struct srv_region: those of the data centres in the settings */
	bool is_split;	    /* each region has an owner; otherwise one node owns all */
	bool is_ready;
	bool is_front_open;	    /* the callers' listener was opened */
	bool is_front_closed;	    /* the node is stopping and the listener was closed */
	uint64_t requests_at_close; /* SRV_REQUESTS when the listener was closed */
	bool stopped;
	uint64_t counters[SRV_COUNTERS_N];
	struct srv_traffic traffic;
	struct srv_load load;
	struct srv_histogram first_byte;
	struct srv_histogram chain_time;
	struct srv_histogram chain_ack; /* from submitting a chain until its owner confirms it */
	struct srv_histogram loop_lag;	/* by which ticks are late */
};

static inline bool srv_has_policy(const struct srv *s, enum policy policy)
{
	return policy_is_on(s->set->policies_off, policy);
}

static inline void srv_count(struct srv *s, enum srv_counter counter)
{
	s->counters[counter]++;
}

void srv_histogram_observe(struct srv_histogram *h, int64_t ms);

/* Counts an event. Returns whether it is among the first per_s of its second. */
bool srv_rate_take(struct srv_rate *rate, uint32_t per_s, int64_t now_ms);

/* Returns the ids as hexadecimal text, separated by commas. Free with g_free(). */
char *srv_hex_ids(const uint64_t *ids, uint32_t n);

/* srv_load.c: notes by how much a tick was late, and logs the load at intervals. */
void srv_load_note_tick(struct srv *s, int64_t late_ms, int64_t now_ms);

/* srv_feed.c */
struct srv_feed *srv_feed_new(struct srv *s);
void srv_feed_free(struct srv_feed *feed);
void srv_feed_tick(struct srv_feed *feed, int64_t now_ms);

/* srv_feed_apply.c: applies changes, in this order. Returns whether any affects routing. */
bool srv_feed_apply(struct srv *s, GArray *changes, int64_t now_ms);

/* Returns the time since the last successful call to the source; -1: there was none. */
int64_t srv_feed_age_ms(const struct srv_feed *feed, int64_t now_ms);

/*
 * Asks the source at once what has changed; srv_origin_note_read() tells when it has answered.
 * Returns false if the source is unavailable.
 */
bool srv_feed_read_now(struct srv_feed *feed, int64_t now_ms);

/* Returns how far the reading of the source got: its epoch and revision. */
struct view_revision srv_feed_revision(const struct srv_feed *feed);

/* True if the last call to the source failed, or none has succeeded yet. */
bool srv_feed_is_unavailable(const struct srv_feed *feed);

/*
 * Applies news of the source that another node has read; changes are struct adapter_change in the
 * order of their revisions. Returns false if the node has to read the source itself.
 */
bool srv_feed_follow(struct srv_feed *feed, const struct follow_news *news, GArray *changes);

/* srv_follow.c: tells the region's other nodes what the source has said, or follows what is told.
 */
void srv_follow_tell(struct srv *s, struct view_revision since, int64_t revision,
		     const GArray *changes, int64_t now_ms);
void srv_follow_message(struct srv *s, const char *from, const Peer__PublishedNews *wire);

/*
 * Entries of upstreams on the wire. The encoded one borrows from doc; free the decoded one, which
 * is NULL if the entry names no upstream that can be used.
 */
void srv_snapshot_encode(Peer__PublishedUpstream *out, const struct pub_upstream *doc,
			 int64_t cold_left_ms, struct view_revision revision);
struct pub_upstream *srv_snapshot_decode(const Peer__PublishedUpstream *in);

/* srv_snapshot.c: copies the published view from another node while the source is unavailable. */
void srv_snapshot_tick(struct srv *s, int64_t now_ms);
void srv_snapshot_message(struct srv *s, const Peer__Message *message);

/* srv.c: returns whether the node has just started and still hears of new members. */
bool srv_is_joining(const struct srv *s, int64_t now_ms);

/* srv_peer.c */
bool srv_peer_start(struct srv *s, uint64_t incarnation, GError **error);
void srv_peer_stop(struct srv *s);

/* Returns false if the message was dropped as the link to the node isn't open. */
bool srv_peer_send(struct srv *s, const char *peer_address, Peer__Message *message);

/*
 * Keeps the message for a second if the link to the node isn't open yet, as that of a node which
 * sends its first reply to another. Returns false if too many messages wait for that link.
 */
bool srv_peer_send_when_open(struct srv *s, const char *peer_address, Peer__Message *message);

/* Sends the message to all other nodes that are alive. */
void srv_peer_send_live(struct srv *s, Peer__Message *message, int64_t now_ms);

/* Sends this node's changed state to some nodes at once, which pass it on. */
void srv_peer_announce(struct srv *s, int64_t now_ms);

/* Sends a heartbeat to a member, which answers it with its own. Returns false if it was dropped. */
bool srv_peer_ask(struct srv *s, const struct gossip_member *m, int64_t now_ms);

/* srv_chain.c: chains owned by this node. srv_chain_client.c: chains requested by this node. */
GHashTable *srv_chain_requests_new(void);
void srv_chain_view_changed(struct srv *s);
void srv_chain_message(struct srv *s, const Peer__Message *message);
void srv_chain_tick(struct srv *s, int64_t now_ms);

/* A region whose chains this node may own. */
struct srv_region {
	char *name;
	bool is_owned;
	int64_t other_since_ms; /* since when another owner is available; 0: none is */
	int64_t asked_ms;	/* when that owner was asked for a heartbeat; 0: it wasn't */
	char greeted[GOSSIP_NAME_BYTES]; /* peer address of the owner that was greeted last */
	uint64_t greeted_incarnation;
	int64_t greeted_ms;
	bool is_linked; /* the greeted owner has answered */
};

/* srv_region.c: which regions this node owns. */
GPtrArray *srv_regions_new(void);

/* Adds the regions that the settings name. */
void srv_regions_configure(GPtrArray *regions, const struct srvconf *set);

/* Returns the region of a data centre; this node's own if it is unknown. */
const char *srv_region_of(const struct srv *s, const char *data_centre);

/* Returns the owner of a region's chains. except: a node to leave out; NULL: none. */
const struct gossip_member *srv_region_owner(const struct srv *s, const char *region,
					     const char *except, int64_t now_ms);

/* Decides, when the upstreams have changed, whether each region has an owner of its own. */
void srv_regions_view_changed(struct srv *s, int64_t now_ms);

/* Gains and loses regions; hands chains off once another node has owned theirs for a while. */
void srv_regions_update(struct srv *s, int64_t now_ms);

/* Returns the owners of the regions, for status and dump. */
json_t *srv_regions_json(const struct srv *s, int64_t now_ms);

/* Tells the owners of other regions how much work waits in this node's pools. */
void srv_region_send_load(struct srv *s, int64_t now_ms);

/*
 * Reads at most POOLS_MAX pools of another owner's message, which they borrow from. Returns their
 * number; 0 if the region isn't one of the regions.
 */
uint32_t srv_region_decode_load(const GPtrArray *regions, const Peer__RegionLoad *load,
				struct chain_pool_load *pools);

/* Reads at most CHAIN_ACCOUNT_WORK_MAX accounts, and none whose name is empty or too long. */
uint32_t srv_region_decode_accounts(const Peer__PoolLoad *pool, struct chain_account_work *work);

void srv_region_handle_load(struct srv *s, const char *from, uint64_t incarnation,
			    const Peer__RegionLoad *load);

/* Engines of a load message, which borrows from this. */
struct srv_spread_wire {
	Peer__EngineLoad engines[SPREAD_LOADS_MAX];
	Peer__EngineLoad *list[SPREAD_LOADS_MAX];
};

/* srv_spread.c: engines that this node proposes as an owner, see decide/spread.h. */
void srv_spread_view_changed(struct srv *s);

/* Chooses the engine to propose for a chain that is ready; choice->id is NULL if none is. */
void srv_spread_choose(struct srv *s, const struct chain_cmd *ready, int64_t now_ms,
		       struct spread_choice *choice);
/* Notes that this node owns its own region from now on, and did not before. */
void srv_spread_region_gained(struct srv *s);
void srv_spread_encode(struct srv *s, struct srv_spread_wire *wire, Peer__RegionLoad *load,
		       int64_t now_ms);
void srv_spread_decode(struct srv *s, const char *from, const Peer__RegionLoad *load,
		       int64_t now_ms);

/* Sends the new owner of the region what this node knows of its former owner's placements. */
void srv_spread_send_former(struct srv *s, const char *successor, const char *region,
			    int64_t now_ms);
void srv_spread_inherit(struct srv *s, const char *from, const Peer__FormerLoad *former,
			int64_t now_ms);

/* Returns the state of the placements for the dump. */
json_t *srv_spread_json(const struct srv *s, int64_t now_ms);

/* Notes that another node takes this one for the owner of the region: it is, for a while. */
void srv_regions_claim(struct srv *s, const char *region, int64_t now_ms);

struct srv_chain_result {
	bool ready;
	const char *const *handles; /* borrowed, NULL-terminated */
	const char *data_centre;    /* of most of the results' bytes; NULL: no preference */
	int64_t retry_after_ms;
	const char *reason;
	const char *engine; /* that the owner proposes; NULL: none */
};

typedef void (*srv_chain_fn)(void *arg, const struct srv_chain_result *result);

/*
 * Submits a chain to the owner and returns its id. fn is called once, unless srv_chain_release() is
 * called first.
 */
uint64_t srv_chain_submit(struct srv *s, const struct chain_job_spec *doc, srv_chain_fn fn,
			  void *arg);
void srv_chain_release(struct srv *s, uint64_t id);

/* State of a requested chain, for the log. */
struct srv_chain_status {
	const char *owner;    /* peer address, borrowed */
	bool is_acked;	      /* the owner has confirmed the chain */
	bool is_answered;     /* its results are ready */
	uint32_t attempts;    /* number of submissions */
	uint32_t n_results;   /* results that owners have reported so far */
	int64_t submitted_ms; /* when it was last submitted or handed off */
};

/* Returns false if the chain is unknown or has ended. */
bool srv_chain_get_status(const struct srv *s, uint64_t id, struct srv_chain_status *status);

/* Notifies the owner that the upstream should have fetched the chain's results by now. */
void srv_chain_note_fetched(struct srv *s, uint64_t id);

/* srv_upstream.c */
struct srv_upstream *srv_upstream_get(struct srv *s, const char *id, const char *address);

/* Keep an upstream from being freed while requests refer to it. */
void srv_upstream_ref(struct srv_upstream *u);
void srv_upstream_unref(struct srv_upstream *u);

/*
 * Returns what identifies one run of the upstream's process in reports of crashes: it may start
 * again under its id.
 */
uint64_t srv_upstream_run_hash(const char *id, int64_t born_ms);

void srv_upstream_note_success(struct srv_upstream *u, int64_t now_ms);

enum srv_failure {
	SRV_FAILURE_UNREACHABLE, /* no connection */
	SRV_FAILURE_BROKEN,	/* an incomplete, malformed or error answer, or a missed deadline */
	SRV_FAILURE_OVERLOADED, /* refused the request without running it */
};

/* Counts and logs a connection that is closed because a late duplicate may arrive on it. */
void srv_upstream_note_closed(const struct srv_upstream *u, enum srv_counter reason);
void srv_upstream_note_failure(struct srv *s, struct srv_upstream *u, enum srv_failure failure,
			       int64_t now_ms);
double srv_upstream_failure_rate(const struct srv_upstream *u, int64_t now_ms);
void srv_upstream_sweep(struct srv *s, int64_t now_ms);
struct budget_window *srv_retry_budget(struct srv *s, const char *service);
bool srv_retry_allowed(struct srv *s, const char *service, int64_t now_ms);

/* Blocks an upstream that another node has reported as unreachable. */
void srv_upstream_note_report(struct srv *s, const char *id, int64_t wait_ms, int64_t now_ms);

/* Why upstreams of a service were left out. */
struct srv_pick_report {
	uint32_t n_usable;	 /* published, in service, of a version and region that may serve */
	uint32_t n_closed;	 /* the gate doesn't let a request through */
	uint32_t n_limited;	 /* of these, because of their limits */
	uint32_t n_overloaded;	 /* of these, because they are brittle and full */
	uint32_t n_unconfirmed;	 /* left out, as they didn't confirm that they still run */
	int64_t open_at_ms;	 /* when it may for the first of them */
	double per_s;		 /* sum of their limits */
	bool is_proposal_usable; /* see lb_is_proposal_usable() */
};

/* An upstream of the service in an explanation of a choice. */
struct srv_pick_row {
	const struct pub_upstream *doc; /* of the view */
	const char *region;
	const char *obstacle; /* why it isn't chosen; NULL: it may be */
	bool is_candidate;    /* false: it has no part in the choice */
	bool is_picked;
	struct lb_candidate candidate;
	struct lb_cost cost;
	int64_t blocked_ms;
	int64_t failures_age_ms; /* of the newest outcome; -1: there was none */
};

/* Explanation of a choice, which then changes nothing. */
struct srv_pick_trace {
	struct prng prng;	    /* copy of the node's */
	GArray *rows;		    /* struct srv_pick_row: the chosen one first, then by cost */
	struct srv_upstream *fresh; /* upstreams that the node hasn't used */
};

void srv_pick_trace_init(struct srv_pick_trace *trace, const struct srv *s);
void srv_pick_trace_clear(struct srv_pick_trace *trace);

struct srv_pick_criteria {
	const struct pub_service *service;
	const char *service_name;
	char *const *regions;
	const char *data_centre; /* where the request's inputs are stored; NULL: it has none */
	struct lb_request select;
	const char *version;		/* the stream's; NULL: any */
	char *const *candidates;	/* ids of the upstreams to choose from; NULL: any */
	const char *only;		/* id of the upstream to choose; NULL: any */
	uint64_t avoided;		/* hash of an upstream to leave out; 0: none */
	bool is_settled;		/* only versions at which streams should begin */
	const char *const *tried;	/* ids of the upstreams tried before, NULL-terminated */
	bool is_urgent;			/* see gate_check() */
	bool is_immediate;		/* only upstreams for which no permit has to be asked for */
	struct srv_pick_report *report; /* written */
	struct srv_pick_trace *trace;	/* NULL: the choice isn't explained */
};

/*
 * Returns the upstream for the next attempt; NULL if none is available. With a trace it is valid
 * until the trace is used again.
 */
struct srv_upstream *srv_upstream_pick(struct srv *s, const struct srv_pick_criteria *want,
				       int64_t now_ms);

/* srv_reach.c: whether this node reaches upstreams; see decide/reach.h. */
struct srv_reach *srv_reach_new(struct srv *s);

/* Call after the loop has closed its handles. */
void srv_reach_free(struct srv_reach *reach);

/* Returns whether this node knows that it reaches no upstream. */
bool srv_reach_is_isolated(const struct srv *s);

/* Returns for how long the node has known, or has known the contrary. */
int64_t srv_reach_age_ms(const struct srv *s, int64_t now_ms);

/* Notes what happened to a connection to an upstream. */
void srv_reach_note(struct srv *s, const char *id, enum reach_event event, int64_t now_ms);
void srv_reach_tick(struct srv *s, int64_t now_ms);

/* Returns the state, its age and the upstreams that failed as a JSON object. */
json_t *srv_reach_json(const struct srv *s, int64_t now_ms);

/* srv_req.c */
/* srv_limits.c */
/* Applies the settings' limits of the machine to the listeners that are open. */
void srv_limits_apply(struct srv *s);
/* Applies the published limits to the listener for callers. */
void srv_limits_update(struct srv *s);
/* What requests and connections take, and the most that they may. */
json_t *srv_limits_json(const struct srv *s);
/* Counts and logs a request that a listener refused, and adds when its caller may come back. */
void srv_limits_note_refusal(void *arg, const struct http_server_refusal *refusal,
			     struct hdr_list *headers);

void srv_req_begin(void *arg, struct http_server_request *request);
void srv_req_disconnected(void *arg, struct http_server_request *request);
void srv_req_drained(void *arg, struct http_server_request *request);

/* srv_relay.c: requests relayed to other nodes while this one reaches no upstream. */
struct srv_relays *srv_relays_new(void);
void srv_relays_free(struct srv_relays *relays);

/* Closes connections that have been idle; to be called about once a second. */
void srv_relays_tick(struct srv_relays *relays, int64_t now_ms);

/* Applies stop_by_ms to the requests in progress. */
void srv_req_bound_all(struct srv *s);

/* srv_stop.c: graceful shutdown. A second call, at a second signal, ends it at once. */
void srv_stop_begin(struct srv *s, int signal, int64_t now_ms);
void srv_stop_tick(struct srv *s, int64_t now_ms);

/* Returns whether a request that arrives now is served. */
bool srv_stop_admits(const struct srv *s, bool is_stream, int64_t now_ms);

/* Returns the latest time at which a request may be sent to an upstream; INT64_MAX: any. */
int64_t srv_stop_send_by_ms(const struct srv *s, bool is_stream);

/* srv_origin.c: which software version began a stream. */
void srv_origin_tick(struct srv *s, int64_t now_ms);
void srv_origin_message(struct srv *s, const Peer__Message *message);

/* Decides anew on the requests that wait for the source, which has answered. */
void srv_origin_decide_waiting(struct srv *s);

/* Hands all records to other nodes, when this one stops. */
void srv_origin_hand_over(struct srv *s, int64_t now_ms);

/* Applies an entry as view_put_upstream() does, and notes its version. */
bool srv_origin_put_upstream(struct srv *s, struct pub_upstream *doc, struct view_revision revision,
			     int64_t now_ms);

/*
 * Called when an answer to a question sent at sent_ms was applied to the view; for has_history see
 * stream_origin_note_view().
 */
void srv_origin_note_read(struct srv *s, int64_t sent_ms, bool has_history, int64_t now_ms);

/* The same for news that a reader of the source has just told. */
void srv_origin_note_news(struct srv *s, int64_t now_ms);

/* The same for the view of another node, which heard from the source age_ms ago. */
void srv_origin_note_snapshot(struct srv *s, int64_t age_ms, int64_t now_ms);

/* Called when the source has stopped answering. */
void srv_origin_note_source_lost(struct srv *s, int64_t now_ms);

/* Called at each tick, before last_tick_ms is set. */
void srv_origin_note_tick(struct srv *s, int64_t now_ms);

/* Returns whether the versions in the view may be trusted. */
bool srv_origin_is_view_fresh(const struct srv *s, int64_t now_ms);

/* Returns the version that an attempt at the upstream runs at; NULL if it isn't certain. */
const char *srv_origin_version_of(struct srv *s, const struct srv_upstream *u);

/* srv_explain.c: answers what would be done with a request whose head is in the body. */
void srv_explain(struct srv *s, struct http_server_request *request);

/* srv_endpoints.c: the listeners for lookups, readiness, operators and metrics. */
bool srv_endpoints_start(struct srv *s, GError **error);
void srv_endpoints_stop(struct srv *s);

/* Returns the state of the pools' queues as a JSON array. */
json_t *srv_pools_json(const struct srv *s);

/* srv_late.c: what decided on a chain's admission, counts of late chains, errors of estimates. */
json_t *srv_bound_json(const struct chain_bound *bound);
json_t *srv_late_json(const struct srv *s);
void srv_late_write(const struct srv *s, GString *out);

#endif
