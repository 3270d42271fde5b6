/* Internal declarations of the emulator. */
#ifndef EMUL_EMU_INT_H
#define EMUL_EMU_INT_H

#include "base/prng.h"
#include "emul/emu.h"
#include "model/cfg.h"
#include "proxy.h"

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

/*
 * Behaviour of an upstream, set by tests. Unless noted, 0 disables a setting. All fields are
 * int64_t, since emu_control.c accesses them by offset.
 */
struct emu_settings {
	int64_t service_ms;	/* median service time of a request */
	int64_t service_ms_p99; /* 99th percentile of a log-normal service time */
	int64_t tokens;		/* number of tokens in a generated answer */
	int64_t token_ms;	/* time per token if one request runs */
	int64_t fail_pct;	/* percentage of runs answered with 500 */
	int64_t refuse;		/* answers 503 without running the request */
	int64_t down;		/* refuses new connections and aborts all requests */
	int64_t straggle_pct;	/* percentage of requests delayed by straggle_ms */
	int64_t straggle_ms;
	int64_t lie_warm;	 /* load reports say that the upstream is warm */
	int64_t report_lag_ms;	 /* maximum age of load reports; extra delay of cache events */
	int64_t drop_after_read; /* runs the request, then closes without an answer */
	int64_t cut_after_bytes; /* closes after so many bytes of an answer; -1: never */
	int64_t odd_chunks;	 /* writes answers in random chunks of a few bytes */
	int64_t wrong_request;	 /* answers with the id of another request */
	int64_t warm_after;	 /* completions after which the upstream is warm */
	int64_t cold_limit;	 /* number of requests above which a cold upstream is overloaded */
	int64_t warm_limit;	 /* number of slots; further requests wait */
	int64_t warm_after_ms;	 /* warm this long after the first arrival; 0: time has no effect */
	int64_t ignore_rank;	 /* serves waiting requests in order of arrival */
};

enum emu_outcome {
	EMU_OUTCOME_RUNNING,
	EMU_OUTCOME_COMPLETE,  /* the whole answer was handed to the socket */
	EMU_OUTCOME_REFUSED,   /* not run */
	EMU_OUTCOME_FAILED,    /* ran and was answered with 500 */
	EMU_OUTCOME_CANCELLED, /* cancelled while running or waiting */
	EMU_OUTCOME_LOST,      /* the upstream restarted or went down during the run */
	EMU_OUTCOME_DROPPED,   /* ran, but a fault setting closed the connection */
	EMU_OUTCOME_ABANDONED, /* ran, but the client closed the connection */
	EMU_OUTCOMES,
};

/* Log entry of a request. emu.lock guards all fields but refs, which is atomic. */
struct emu_arrival {
	gint refs;
	int64_t number; /* in order of arrival, from 1 */
	int64_t change; /* log-wide sequence number of the last change */
	int64_t t_ms;	/* time of arrival */
	int64_t end_ms; /* 0: still running */
	const char *upstream;
	char call[64];
	char request[80];
	char attempt[16];
	char source[24];
	uint32_t tag; /* hash of the input, part of each token of the answer */
	bool ran;
	bool over_cold;	 /* exceeded the cold_limit of a cold upstream on arrival */
	int64_t booking; /* sequence number of its non-idempotent execution; 0: none */
	enum emu_outcome outcome;
};

struct emu_log {
	GQueue arrivals; /* struct emu_arrival, oldest first, bounded */
	int64_t last_number;
	int64_t last_change;
	int64_t bookings; /* number of non-idempotent executions */
};

#define EMU_CACHE_ENTRIES 64

struct emu_cache_event {
	int64_t number;
	int64_t t_ms;
	uint64_t prefix;
	bool added; /* false: evicted */
};

/* Prefix cache of an engine. */
struct emu_cache {
	GQueue prefixes; /* uint64_t *, most recently used first */
	GQueue events;	 /* struct emu_cache_event, bounded */
	int64_t last_number;
};

/* Load report that GET /v1/load returns. */
struct emu_report {
	int64_t at_ms;
	uint64_t incarnation;
	bool warm;
	int64_t running;
	int64_t queued;
};

struct emu_counts {
	int64_t arrivals;
	int64_t ran;
	int64_t bookings;
	int64_t cold_overruns; /* arrivals above cold_limit while cold */
	int64_t overruns;      /* arrivals above cold_limit or, once warm, warm_limit */
	int64_t most_running;  /* highest number of requests at a time, including waiting ones */
	int64_t outcomes[EMU_OUTCOMES];
};

struct emu_traffic {
	int64_t bytes_in;  /* request bodies */
	int64_t bytes_out; /* response bodies */
};

/* The model assigned to an engine, and the orders it has received. */
struct emu_orders {
	bool checks_fencing;
	int64_t load_ms;   /* time to load a model */
	int64_t answer_ms; /* delay of GET /v1/orders */
	int64_t fence;	   /* highest fencing number received */
	char model[64];
	char version[64];
	char role[64];
	int64_t loaded_ms;
	json_t *log; /* all orders received, including refused ones */
};

/* An emulated upstream. */
struct emu_upstream {
	struct emu *emu;
	char *name;
	char *service;
	char *data_centre;
	int kind; /* enum cfg_kind */
	int64_t cost_cents_per_k;
	char **bookings;	 /* names of the non-idempotent calls */
	char address[64];	 /* bound address */
	char public_address[64]; /* published address: the proxy's if there is one */
	struct MHD_Daemon *daemon;
	pthread_mutex_t lock;  /* guards the fields below */
	pthread_cond_t slot;   /* a slot may be free */
	pthread_cond_t change; /* a run was cancelled or lost */
	struct emu_settings settings;
	struct prng prng;
	uint64_t incarnation;
	bool stopping;
	int64_t running;     /* number of requests, including waiting ones */
	int64_t active;	     /* number of requests that hold a slot */
	int64_t completions; /* requests completed by this incarnation */
	int64_t started_ms;  /* first arrival of this incarnation; 0: none */
	int64_t last_order;  /* number of runs begun; gives each its emu_run.order */
	GList *runs;	     /* struct emu_run */
	struct emu_cache cache;
	struct emu_report last_report;
	struct emu_counts counts;
	struct emu_orders orders_held;
	GHashTable *traffic; /* source address -> struct emu_traffic */
};

/* Faults of the platform, set by tests. */
struct emu_faults {
	bool down;	   /* closes every connection without an answer */
	bool stale;	   /* serves the document as it was when this was set */
	bool no_index;	   /* serves only the whole document, no index or sections */
	bool no_watch;	   /* answers watches without waiting for a change */
	char *only_source; /* serves only this source address; NULL: serves all */
};

/* A request in progress, owned by its connection's thread. */
struct emu_run {
	struct emu_upstream *up;
	struct emu_arrival *arrival;
	uint64_t incarnation;
	int64_t rank;
	int64_t order; /* in order of arrival, from 1 */
	bool active;   /* holds a slot */
	bool cancelled;
	uint32_t tag;
};

struct emu {
	char *listen;
	char address[64];
	struct MHD_Daemon *platform;
	pthread_mutex_t lock;	/* guards the fields below, except upstreams */
	pthread_cond_t changed; /* document, VM list, faults or stopping changed */
	bool stopping;
	struct emu_faults faults;
	char *stale_document; /* NULL: faults.stale is off */
	GHashTable *calls;    /* source address -> number of platform calls */
	char *document;
	uint64_t document_version;
	json_t *vms; /* VM id -> its object in the VM list */
	int64_t vms_version;
	struct emu_log log;
	struct emu_upstream *upstreams;
	uint32_t n_upstreams;
	struct prng prng;
	struct proxy_server *proxy; /* NULL: none */
	char proxied_address[64];   /* platform address for nodes, the proxy's if there is one */
};

/* emu_upstream.c */
bool emu_upstream_start(struct emu_upstream *up, GError **error);

/* emu_platform.c */
bool emu_platform_start(struct emu *e, GError **error);
void emu_platform_stop(struct emu *e);

/* emu_orders.c */
enum MHD_Result emu_answer_orders(struct emu_upstream *up, struct MHD_Connection *conn,
				  const char *method, const GByteArray *body);
enum MHD_Result emu_control_orders(struct emu *e, struct MHD_Connection *conn, const char *method,
				   const GByteArray *body);

/* emu_watch.c: answers on conn, after a wait if the request is a long poll. */
enum MHD_Result emu_answer_config(struct emu *e, struct MHD_Connection *conn, const char *url);
enum MHD_Result emu_answer_vms(struct emu *e, struct MHD_Connection *conn);

/* emu_log.c: functions with an emu argument take emu.lock themselves. */
struct emu_arrival *emu_log_add(struct emu *e, const struct emu_arrival *from);
void emu_log_mark_over_cold(struct emu *e, struct emu_arrival *arrival);
void emu_log_mark_ran(struct emu *e, struct emu_arrival *arrival, bool booking);
/* Records the outcome and drops the run's reference. */
void emu_log_end(struct emu *e, struct emu_arrival *arrival, enum emu_outcome outcome);
/* Entries changed after the change number `since`, in order of arrival; the caller owns them. */
json_t *emu_log_json(struct emu *e, int64_t since);
void emu_log_clear(struct emu_log *log);
const char *emu_outcome_name(enum emu_outcome outcome);

/* emu_run.c */
bool emu_is_warm(const struct emu_upstream *up); /* the caller holds up->lock */
struct emu_run *emu_run_begin(struct emu_upstream *up, const struct emu_arrival *arrival,
			      int64_t rank);
/* Waits for a slot, then for the service time. False with *outcome set if the run fails. */
bool emu_run_work(struct emu_run *run, uint64_t prefix, enum emu_outcome *outcome);
/* Waits for the time of one token. False with *outcome set if the run was cancelled or lost. */
bool emu_run_token(struct emu_run *run, enum emu_outcome *outcome);
void emu_run_end(struct emu_run *run, enum emu_outcome outcome);
void emu_run_cancel(struct emu_upstream *up, const char *request, const char *attempt);
/* Starts a new, cold incarnation; runs in progress are lost. */
void emu_run_restart(struct emu_upstream *up);
/* Aborts all runs when the emulator stops. */
void emu_run_stop(struct emu_upstream *up);
void emu_count_bytes(struct emu_upstream *up, const char *source, int64_t in, int64_t out);

/* emu_cache.c: the caller holds up->lock, except to clear the cache of an idle upstream. */
/* Makes prefix the most recently used entry; true if it was cached already. */
bool emu_cache_use(struct emu_upstream *up, uint64_t prefix);
json_t *emu_cache_events(struct emu_upstream *up, int64_t since);
void emu_cache_clear(struct emu_cache *cache);

/* emu_answer.c: the answer to body, from offset on. */
struct MHD_Response *emu_answer_new(struct emu_run *run, const GByteArray *body, int64_t offset);

/* emu_control.c: control interface for tests. False if url is not part of it. */
bool emu_control(struct emu *e, struct MHD_Connection *conn, const char *url, const char *method,
		 const GByteArray *body, enum MHD_Result *rc);
extern const struct emu_settings emu_default_settings;

#endif
