/* A caller's request and the attempts to have an upstream answer it. */
#ifndef SERVE_SRV_REQ_INT_H
#define SERVE_SRV_REQ_INT_H

#include "srv_quarantine.h"

#include "decide/poison.h"

#define HELD_BACK_REASON "all upstreams limit their requests or have named a time to come back"

#define QUARANTINE_REASON "a part of the prompt crashes upstreams"
#define SHUTDOWN_REASON "node is shutting down"
#define SRV_NONE_LEFT_REASON "no upstream of the stream's version is left"
#define SRV_VERSION_UNKNOWN_REASON "the version that began the stream is unknown"

/* A node that doesn't answer in time is known to be silent by then, or answers again. */
#define SRV_VERSION_RETRY_MS 400
#define SHUTDOWN_RETRY_MS 100  /* another node can serve the request at once */
#define SRV_RELAY_RETRY_MS 200 /* another node can serve the request at once */

/* Most chains started for one request: a repeated one costs the pools as much as the first. */
#define CHAINS_MAX 2

/* Prefill rate of an engine, as the users specify it. */
#define PROMPT_TOKENS_PER_MS 38.4

/* No attempt is sent if less time than this is left. */
#define SEND_TIME_MIN_MS 40

struct srv_relay;
struct srv_req;

/* Classification of an upstream's answer by its head. */
enum srv_attempt_verdict {
	SRV_ATTEMPT_PENDING,  /* no head received yet */
	SRV_ATTEMPT_ACCEPTED, /* an answer that is passed on to the caller */
	SRV_ATTEMPT_NOT_RUN,  /* refused; the upstream did not run the request */
	SRV_ATTEMPT_FAILED,   /* the upstream reported a failure, with its signature */
	SRV_ATTEMPT_INVALID,  /* unsigned or malformed, or the connection broke */
};

/*
 * One request to an upstream for a caller's request. The id in meta.attempt is the caller's: all
 * attempts for the request carry it.
 */
struct srv_attempt {
	struct srv_req *req;
	struct srv_upstream *upstream;
	struct http_client_call *call; /* NULL after the call has ended */
	enum srv_attempt_verdict verdict;
	int status;
	const char *version; /* of the upstream when it was sent, interned; NULL: uncertain */
	int64_t born_ms;     /* of the upstream's run, as published when it was sent */
	int64_t sent_ms;
	int64_t last_data_ms; /* when bytes of the answer last arrived; sent_ms before that */
	/* start of its silence timeout: last_data_ms, or later if the timeout was restarted */
	int64_t timeout_from_ms;
	int64_t end_by_ms; /* when an answer that isn't passed on has to end; 0: never */
	int64_t begun_ms;  /* when an accepted answer's head arrived; 0: not yet */
	size_t n_bytes;	   /* of an answer that isn't passed on yet */
	bool is_good_noted;
	bool is_paused;
	bool is_silent;		/* other upstreams are preferred to its own one meanwhile */
	bool is_unsent;		/* no byte of it was written */
	bool is_wrong_address;	/* not sent, or the address belongs to another upstream */
	bool is_missing_inputs; /* the upstream could not fetch the chain's results */
};

/* The version that began a stream that may be resumed. */
struct srv_req_origin {
	uint64_t stream;
	const char *version; /* interned; NULL: not known, or the stream hasn't begun */
	enum stream_origin_source source;
	uint64_t ran_at; /* hash of the upstream at which a resumed stream broke off; 0: unknown */
	int64_t age_ms;	 /* of the record when it was found; -1: there was none */
	struct stream_resumption resumption;
	/* ids of the version's upstreams as another node knows them; NULL: not asked */
	char **candidates;
	bool is_waiting;		 /* for other nodes' answers */
	const struct srv_attempt *noted; /* attempt with an event that was passed on */
};

struct srv_req {
	struct srv *s;
	GList link; /* in srv->requests */
	struct http_server_request *http;
	struct pub_doc *doc; /* configuration in force when the request began */
	const struct pub_route *route;
	const struct pub_account *account;
	const struct pub_service *service;
	const char *service_name;
	struct adapter_request meta; /* borrows from http */
	uint64_t digest;	     /* of what it asks; 0: not computed yet */
	char **regions;		     /* allowed regions; NULL: any */
	int32_t rank;
	struct lb_request select;
	int64_t began_ms;
	int64_t aim_at_ms;
	int64_t end_at_ms; /* the earlier of the deadline and the route's timeout */
	int64_t first_ms;  /* when the first byte of the answer arrived; 0: none yet */
	int64_t chain_ms;  /* from the start of the request to the result of its latest chain */
	uint64_t chain;	   /* id of the active chain; 0: none */
	uint32_t n_chains; /* number of chains started for the request */
	char **handles;	   /* handles of the chain's results, NULL-terminated; NULL: none */
	/* when the upstream should have fetched the results; INT64_MAX: no check is due */
	int64_t fetch_check_at_ms;
	char *data_centre;    /* where most of the results' bytes are stored */
	char *proposed;	      /* engine that the chain's owner proposes; NULL: none */
	const char *proposal; /* what became of it, for the log */
	struct srv_attempt attempts[SRV_ATTEMPTS_MAX];
	uint32_t n_attempts;
	uint32_t runs;		      /* number of attempts that an upstream may have run */
	struct srv_attempt *winner;   /* the attempt whose answer is passed on */
	struct srv_attempt *buffered; /* the attempt whose answer is in head and body */
	bool response_started;	      /* part of the answer was sent to the caller */
	bool streaming;		      /* the answer is passed on as it arrives, not buffered */
	struct hdr_list head;	      /* head of the buffered answer */
	int status;
	int64_t length_bytes; /* of the buffered answer, as for http_server_begin() */
	GByteArray *body;
	GString *partial; /* an incomplete event of a resumable stream */
	GString *tail;	  /* the last bytes of the attempt's answer, to see whether an event ends */
	struct srv_req_origin origin;
	struct srv_relay *relay; /* NULL: not relayed to another node */
	int64_t last_event;	 /* id of the last event sent to the caller; -1: none */
	char *permit_for;	 /* upstream for which a permit was asked for; NULL: none */
	int64_t run_asked_ms;	 /* when a run was asked for; 0: none is being asked for */
	uint32_t granted_runs;	 /* of it, while it is suspected of crashing upstreams */
	char *granted_by;	 /* address of the node that granted the last; NULL: this one */
	int64_t granted_ms;	 /* identifies that grant there; 0: none that can be returned */
	uint32_t n_attempts_before_grant;
	int64_t send_at_ms;	      /* when to try again to send it; INT64_MAX: it doesn't wait */
	int64_t held_ms;	      /* when all upstreams first held it back; 0: never */
	struct srv_pick_report pick;  /* of the last choice of an upstream */
	struct srv_pick_trace *trace; /* of an explanation, which changes nothing; else NULL */
	uv_timer_t timer;
	char *reason; /* why the request ended, for the log and the answer */
};

enum srv_start_kind {
	SRV_START_GO_ON,
	SRV_START_REJECT, /* invalid or not allowed */
	SRV_START_REFUSE, /* may be retried */
	SRV_START_POISON,
	SRV_START_QUARANTINED,
	SRV_START_RELAY, /* this node reaches no upstream */
};

/* What is decided on a request when it arrives. */
struct srv_start {
	enum srv_start_kind kind;
	int status;	    /* REJECT and REFUSE */
	int64_t retry_ms;   /* REFUSE */
	const char *reason; /* static; REJECT, REFUSE and QUARANTINED */
	struct poison_verdict poison;
	struct quarantine_verdict quarantine;
};

/*
 * srv_req_start.c: decides on a request that has arrived, and sets its route, account, deadlines
 * and service. Changes the request alone.
 */
void srv_req_decide_start(struct srv_req *r, struct srv_start *start);

/* Returns whether the request needs a chain. */
bool srv_req_has_pieces(const struct srv_req *r);

/*
 * Fills the chain of a request that would go to the engine (NULL: unknown). doc borrows from the
 * request and from stages, which has PUB_STAGES_MAX entries.
 */
void srv_req_fill_chain(const struct srv_req *r, const struct srv_upstream *engine,
			struct chain_stage_spec *stages, struct chain_job_spec *doc);

/* Returns why no upstream was chosen, and plans when the caller should return. */
const char *srv_req_unserved_reason(const struct srv_req *r);
int64_t srv_req_plan_return(struct srv_req *r);

void srv_req_free(struct srv_req *r);
void srv_req_log(struct srv_req *r, const char *outcome, int status);
void srv_req_set_reason(struct srv_req *r, const char *reason);
bool srv_req_is_repeatable(const struct srv_req *r);

/* Returns whether the request goes before others at limited upstreams: by rank, or as it has begun.
 */
bool srv_req_is_urgent(const struct srv_req *r);

/* Returns whether each upstream that could run the request is closed by what it said. */
bool srv_req_is_held_back(const struct srv_req *r);

/* The next six functions end a request and free it. */

/* For a request that has not run: the caller may retry it after retry_ms (0: no hint). */
void srv_req_refuse(struct srv_req *r, int64_t retry_ms, const char *reason);

/* For a request that is invalid or not allowed. */
void srv_req_reject(struct srv_req *r, int status, const char *reason);

/* For a request that may have run. */
void srv_req_fail(struct srv_req *r, int status, const char *reason);

/* For a request that can't be sent again: fails it if it may have run, refuses it otherwise. */
void srv_req_end_unserved(struct srv_req *r, const char *reason);

/* For a request whose prompt has a part in quarantine; fails it if it may have run. */
void srv_req_end_quarantined(struct srv_req *r, const struct quarantine_verdict *verdict);

/* For a request that the node can't complete before it exits. */
void srv_req_end_stopped(struct srv_req *r, bool was_sent);

/* Starts the chain or the first attempt. */
void srv_req_proceed(struct srv_req *r);

/* Starts a new chain after the results of the previous one were lost. */
void srv_req_restart_chain(struct srv_req *r);

/*
 * srv_spread.c: say what the owner of the request's chain needs to propose an engine, which is
 * nothing where regions have no owners; note what became of a proposal, with the first attempt.
 */
void srv_spread_fill_prompt(const struct srv_req *r, struct chain_prompt *prompt);
void srv_spread_note_proposal(struct srv_req *r, const struct srv_upstream *u);

/* srv_attempt.c */
void srv_req_send(struct srv_req *r);

/* Returns the upstream that the request would be sent to now; NULL when none is available. */
struct srv_upstream *srv_req_pick(struct srv_req *r, int64_t now_ms);
void srv_attempt_cancel(struct srv_attempt *attempt);

/* Called when bytes of an answer have arrived. */
void srv_attempt_note_data(struct srv_attempt *attempt);

/* Called when its head was accepted or its bytes are passed on; closes the other attempts. */
void srv_attempt_note_progress(struct srv_attempt *attempt);

/* Closes the request's other attempts, and counts those that an upstream may have run. */
void srv_attempt_cancel_others(struct srv_attempt *attempt);

/* Logs how an attempt ended, or what became of it. */
void srv_attempt_log(const struct srv_attempt *attempt, const char *outcome);

/* Called when an attempt has ended without an answer for the caller. May free the request. */
void srv_attempt_retry_or_end(struct srv_attempt *attempt, const char *outcome);

/*
 * Returns whether the upstream could not get the chain's results: the owner freed them when they
 * should have been fetched, or the upstream that held them is gone.
 */
bool srv_attempt_is_missing_inputs(const struct srv_attempt *attempt);

/* Returns the newest attempt in progress; NULL if there is none. */
struct srv_attempt *srv_req_last_active(struct srv_req *r);

/* Returns why no further attempt is allowed; NULL if one is allowed. */
const char *srv_req_no_send_reason(struct srv_req *r, int64_t now_ms);

/* Returns whether the request may be the cause of a crash: it is run once only. */
bool srv_req_is_doubted(const struct srv_req *r);

/* Returns the number of attempts that an upstream has run or may yet run. */
uint32_t srv_req_count_runs(const struct srv_req *r);

/* Returns the number of attempts in progress. */
uint32_t srv_req_count_active(const struct srv_req *r);

/* Sets the timer to the earliest of the request's timeouts. */
void srv_req_arm_timer(struct srv_req *r);

/* srv_silence.c: returns when the newest attempt has been silent for too long; INT64_MAX: never. */
int64_t srv_silence_deadline_ms(struct srv_req *r);

/* Hedges a request whose upstream is silent; may free the request. */
void srv_silence_handle(struct srv_req *r, int64_t now_ms);

/* Returns when the older of a stream's attempts is to be closed; INT64_MAX: there is one only. */
int64_t srv_silence_overlap_end_ms(struct srv_req *r, int64_t now_ms);

/* Leaves a stream to its newest attempt, which the upstream has neither refused nor broken. */
void srv_silence_end_overlap(struct srv_req *r);

/*
 * Returns the id of a stream's event; -1 if it has none, or one that isn't a number up to
 * ADAPTER_EVENT_ID_MAX: by such an id later events would be taken for repeated ones.
 */
int64_t srv_answer_event_id(const char *event, size_t len);

/*
 * srv_answer.c: passes answers to the caller. srv_attempt_handle_head() returns false if the answer
 * belongs to another request.
 */
bool srv_attempt_handle_head(struct srv_attempt *attempt, const struct http_client_head *head);
/* Returns false if the answer is longer than any that is valid. */
bool srv_attempt_handle_data(struct srv_attempt *attempt, const void *data, size_t len);
void srv_attempt_handle_end(struct srv_attempt *attempt);

/* Notes that a stream was begun well; does nothing if it was noted before. */
void srv_attempt_note_good(struct srv_attempt *attempt);

/* Returns whether the answer is a stream that ends inside an event: it was broken off. */
bool srv_attempt_is_cut(const struct srv_attempt *attempt);

/*
 * Ends the request with a failure that an upstream reported and that is buffered. Returns false if
 * there is none.
 */
bool srv_req_forward_failure(struct srv_req *r);

/*
 * srv_relay.c: relays a request to another node if this one reaches no upstream. srv_relay_start()
 * refuses a request that no node may serve.
 */
void srv_relay_start(struct srv_req *r);

/* Returns why the request can't be relayed whatever other nodes there are; NULL if it can. */
const char *srv_relay_obstacle(const struct srv_req *r);

/*
 * Relays a request in progress, of which nothing can have run. Returns whether it was relayed or
 * has ended, which may have freed it. Only while no attempt is active.
 */
bool srv_relay_take_over(struct srv_req *r);

void srv_relay_drained(struct srv_req *r);
void srv_relay_arm_timer(struct srv_req *r);
void srv_relay_clear(struct srv_req *r);

/* srv_origin.c: finds the version of a resumed stream, then starts or refuses the request. */
void srv_origin_start(struct srv_req *r);

/* Decides by what this node knows now, without asking other nodes or the source. */
struct stream_origin_decision srv_origin_peek(struct srv_req *r, int64_t now_ms);
void srv_origin_decide(struct srv_req *r);
void srv_origin_cancel(struct srv_req *r);
void srv_origin_clear(struct srv_req *r);

/* Returns until when other nodes' answers are waited for; INT64_MAX: they aren't. */
int64_t srv_origin_wait_until_ms(const struct srv_req *r);

/* Returns whether the caller resumes a stream that an earlier attempt began. */
bool srv_origin_is_resumption(const struct srv_req *r);

/* Returns whether the request will begin a stream that may be resumed. */
bool srv_origin_begins(const struct srv_req *r);

/* Returns whether a stream that has broken off may go on within this answer. */
bool srv_origin_may_go_on(const struct srv_req *r, int64_t now_ms);

/* Returns whether the stream has a version of which no usable upstream is left. */
bool srv_origin_is_none_left(const struct srv_req *r);
void srv_origin_end_none_left(struct srv_req *r);

/* Called when the head of an answer, the first event of an attempt, and all events are passed on.
 */
void srv_origin_note_answer(struct srv_attempt *attempt);
void srv_origin_note_event(struct srv_req *r);
void srv_origin_note_complete(struct srv_req *r);

#endif
