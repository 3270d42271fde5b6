/* Shared by the parts of the emulator; not for other packages. */
#ifndef EMUL_EMU_INT_H
#define EMUL_EMU_INT_H

#include "base/rnd.h"
#include "emul/emu.h"
#include "model/cfg.h"
#include "proxy.h"

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

/* Settings of an upstream that a test changes; 0 is off but where noted. All int64_t. */
struct emu_settings {
	int64_t service_ms;	/* time of one request */
	int64_t service_ms_p99; /* heavy tail: its 99th percentile */
	int64_t tokens;		/* of a generated answer */
	int64_t token_ms;	/* between tokens of an engine that runs one request */
	int64_t fail_pct;	/* answers 500 after the run */
	int64_t refuse;		/* answers 503, nothing run */
	int64_t down;		/* closes every connection */
	int64_t straggle_pct;	/* of the requests take straggle_ms more */
	int64_t straggle_ms;
	int64_t lie_warm;	 /* reports to be warm always */
	int64_t report_lag_ms;	 /* reports and cache events are up to this old */
	int64_t drop_after_read; /* runs the request and closes without an answer */
	int64_t cut_after_bytes; /* of each answer; -1: never */
	int64_t odd_chunks;	 /* answers in pieces of odd sizes */
	int64_t wrong_request;	 /* answers with another request's id */
	int64_t warm_after;	 /* completions that end a cold start */
	int64_t cold_limit;	 /* concurrent requests that it bears while cold */
	int64_t warm_limit;	 /* and warm; more wait for a slot */
	int64_t warm_after_ms;	 /* time that ends it as well; 0: only completions do */
	int64_t ignore_rank;	 /* serves in order of arrival */
};

enum emu_outcome {
	EMU_OUTCOME_RUNNING,
	EMU_OUTCOME_COMPLETE,  /* the whole answer was handed to the socket */
	EMU_OUTCOME_REFUSED,   /* nothing was run */
	EMU_OUTCOME_FAILED,    /* ran; answered 500 */
	EMU_OUTCOME_CANCELLED, /* ran or waited until it was cancelled */
	EMU_OUTCOME_LOST,      /* the upstream restarted or went down during it */
	EMU_OUTCOME_DROPPED,   /* ran; the connection was closed or cut on purpose */
	EMU_OUTCOME_ABANDONED, /* ran; the reader closed the connection */
	EMU_OUTCOMES,
};

/* One arrival of the log. Fields but the atomic references are guarded by emu.lock. */
struct emu_arrival {
	gint refs;
	int64_t number; /* from 1 */
	int64_t change; /* number of its last change in the whole log */
	int64_t t_ms;
	int64_t end_ms; /* 0: running */
	const char *upstream;
	char call[64];
	char request[80];
	char attempt[16];
	char source[24];
	uint32_t tag; /* of the input; in each token of its answer */
	bool ran;
	bool over_cold;	 /* above the limit of an upstream that was cold */
	int64_t booking; /* number of the booking that it made; 0: none */
	enum emu_outcome end;
};

struct emu_log {
	GQueue arrivals; /* of struct emu_arrival, oldest first, bounded */
	int64_t numbers;
	int64_t changes;
	int64_t bookings;
};

#define EMU_CACHE_ENTRIES 64

struct emu_cache_event {
	int64_t number;
	int64_t t_ms;
	uint64_t prefix;
	bool added; /* else evicted */
};

/* Prefix cache of an engine. */
struct emu_cache {
	GQueue prefixes; /* of uint64_t *, newest first */
	GQueue events;	 /* of struct emu_cache_event, bounded */
	int64_t numbers;
};

/* What GET /v1/load shows. */
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
	int64_t cold_overruns; /* of these, in a cold start */
	int64_t overruns;      /* arrivals above what it bears */
	int64_t most_running;  /* the highest it saw, waiting ones included */
	int64_t ends[EMU_OUTCOMES];
};

struct emu_traffic {
	int64_t bytes_in;  /* bodies of requests */
	int64_t bytes_out; /* bodies of answers */
};

/* What an engine was ordered to hold. */
struct emu_orders {
	bool checks_fencing;
	int64_t load_ms;   /* time of a load */
	int64_t answer_ms; /* until it says what it holds */
	int64_t fence;	   /* the highest seen */
	char model[64];
	char version[64];
	char role[64];
	int64_t loaded_ms;
	json_t *log; /* every order that came */
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
	char address[64];	 /* where it listens */
	char public_address[64]; /* in the document: the proxy's when there is one */
	struct MHD_Daemon *daemon;
	pthread_mutex_t lock;  /* guards all below */
	pthread_cond_t slot;   /* a run may start */
	pthread_cond_t change; /* a run was cancelled or lost */
	struct emu_settings set;
	struct rnd rnd;
	uint64_t incarnation;
	bool stopping;
	int64_t running;     /* waiting ones included */
	int64_t active;	     /* of these, at work */
	int64_t completions; /* in this incarnation */
	int64_t started_ms;  /* first arrival of this incarnation; 0: none yet */
	int64_t orders;	     /* numbers the waiting ones */
	GList *runs;	     /* of struct emu_run */
	struct emu_cache cache;
	struct emu_report shown;
	struct emu_counts counts;
	struct emu_orders orders_held;
	GHashTable *traffic; /* source address -> struct emu_traffic */
};

/* Faults of the platform that a test sets. */
struct emu_faults {
	bool down;	   /* every call is cut without an answer */
	bool stale;	   /* serves the document of the time when this was set */
	bool no_index;	   /* knows the whole document alone */
	bool no_watch;	   /* answers at once */
	char *only_source; /* calls from other addresses are cut; NULL: none */
};

/* A request in progress. Owned by the thread of its connection. */
struct emu_run {
	struct emu_upstream *up;
	struct emu_arrival *arrival;
	uint64_t incarnation;
	int64_t rank;
	int64_t order;
	bool active;
	bool cancelled;
	uint32_t tag;
};

struct emu {
	char *listen;
	char address[64];
	struct MHD_Daemon *platform;
	pthread_mutex_t lock;	/* guards all below but the upstreams */
	pthread_cond_t changed; /* what a watch waits for, or stopping */
	bool stopping;
	struct emu_faults faults;
	char *stale_document; /* NULL: not stale */
	GHashTable *calls;    /* source address -> GUINT calls of the platform */
	char *document;
	uint64_t document_version;
	json_t *vms; /* id -> object of the VM list */
	int64_t vms_version;
	struct emu_log log;
	struct emu_upstream *upstreams;
	uint32_t n_upstreams;
	struct rnd rnd;
	struct proxy_server *proxy; /* NULL: none */
	char proxied[64];	    /* address of the platform behind it */
};

/* emu_ups.c */
bool emu_upstream_start(struct emu_upstream *up, GError **error);

/* emu_plt.c */
bool emu_platform_start(struct emu *e, GError **error);
void emu_platform_stop(struct emu *e);

/* emu_ord.c */
enum MHD_Result emu_answer_orders(struct emu_upstream *up, struct MHD_Connection *conn,
				  const char *method, const GByteArray *body);
enum MHD_Result emu_control_orders(struct emu *e, struct MHD_Connection *conn, const char *method,
				   const GByteArray *body);

/* emu_wch.c: what of the platform can be watched; conn is answered. */
enum MHD_Result emu_answer_config(struct emu *e, struct MHD_Connection *conn, const char *url);
enum MHD_Result emu_answer_vms(struct emu *e, struct MHD_Connection *conn);

/* emu_log.c: every call locks emu.lock by itself. */
struct emu_arrival *emu_log_add(struct emu *e, const struct emu_arrival *from);
void emu_log_mark_over_cold(struct emu *e, struct emu_arrival *arrival);
void emu_log_mark_ran(struct emu *e, struct emu_arrival *arrival, bool booking);
/* Writes how it ended and drops the reference. */
void emu_log_end(struct emu *e, struct emu_arrival *arrival, enum emu_outcome end);
/* Entries that changed after `since`, in order of arrival; the caller drops the reference. */
json_t *emu_log_json(struct emu *e, int64_t since);
void emu_log_clear(struct emu_log *log);
const char *emu_outcome_name(enum emu_outcome end);

/* emu_run.c */
bool emu_is_warm(const struct emu_upstream *up); /* up->lock held */
struct emu_run *emu_run_begin(struct emu_upstream *up, const struct emu_arrival *arrival,
			      int64_t rank);
/* Waits for a slot, then works; false with *end set when it did not come to an answer. */
bool emu_run_work(struct emu_run *run, uint64_t prefix, enum emu_outcome *end);
/* Time of one token; false when the run was cancelled or lost. */
bool emu_run_token(struct emu_run *run, enum emu_outcome *end);
void emu_run_end(struct emu_run *run, enum emu_outcome end);
void emu_run_cancel(struct emu_upstream *up, const char *request, const char *attempt);
/* Cold again under a new incarnation; running work is lost. */
void emu_run_restart(struct emu_upstream *up);
/* Ends all work, for the stop of the emulator. */
void emu_run_stop(struct emu_upstream *up);
void emu_count_bytes(struct emu_upstream *up, const char *source, int64_t in, int64_t out);

/* emu_csh.c: up->lock held by the caller. */
bool emu_cache_use(struct emu_upstream *up, uint64_t prefix);
json_t *emu_cache_events(struct emu_upstream *up, int64_t since);
void emu_cache_clear(struct emu_cache *cache);

/* emu_ans.c */
struct MHD_Response *emu_answer_new(struct emu_run *run, const GByteArray *body, int64_t offset);

/* emu_ctl.c: controls of a test; false when url is none of them. */
bool emu_control(struct emu *e, struct MHD_Connection *conn, const char *url, const char *method,
		 const GByteArray *body, enum MHD_Result *rc);
extern const struct emu_settings emu_default_settings;

#endif
