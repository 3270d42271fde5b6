/* A caller's request and its sends to upstreams ("legs"). */
#ifndef SERVE_REQ_INT_H
#define SERVE_REQ_INT_H

#include "srv_int.h"

struct req;

/* What the head of an upstream's answer has shown. */
enum leg_verdict {
	LEG_OPEN,    /* no head yet */
	LEG_GOOD,    /* the answer that the caller gets */
	LEG_NOT_RUN, /* refused: it did not run there */
	LEG_FAILED,  /* the upstream's own failure, whole and signed */
	LEG_GARBLED, /* not an upstream's answer */
};

struct leg {
	struct req *req;
	struct srv_upstream *upstream;
	struct http_client_call *call; /* NULL once it has ended */
	enum leg_verdict verdict;
	int status;
	int64_t sent_ms;
	int64_t heard_ms; /* last byte of its answer */
	bool paused;
	bool wrong;	   /* another upstream has the address */
	bool lacks_inputs; /* results that it was to fetch are gone */
};

struct req {
	struct srv *s;
	struct http_server_request *http;
	struct pub_doc *doc; /* under which it began */
	const struct pub_route *route;
	const struct pub_account *account;
	const struct pub_service *service;
	const char *service_name;
	struct adp_ask ask; /* borrows from http */
	char **regions;	    /* where it may be served; NULL: anywhere */
	int32_t rank;
	struct sel_request select;
	int64_t began_ms;
	int64_t aim_at_ms;
	int64_t end_at_ms; /* its deadline or its route's timeout, whichever is first */
	int64_t first_ms;  /* of the answer's first byte; 0: none yet */
	int64_t chain_ms;
	uint64_t chain;	       /* id; 0: none */
	uint32_t asks;	       /* chains asked for */
	char **handles;	       /* results of its chain */
	int64_t fetched_at_ms; /* when they should be where it runs; INT64_MAX: the owner was told
				*/
	char *data_centre;     /* where most of their bytes lie */
	struct leg legs[SRV_LEGS_MAX];
	uint32_t n_legs;
	uint32_t runs;	      /* legs that may have begun to run */
	struct leg *winner;   /* whose answer is passed on */
	struct leg *kept;     /* whose answer head and body hold */
	bool begun;	      /* bytes of the answer went to the caller */
	bool streaming;	      /* the answer is passed on as it comes */
	struct hdr_list head; /* of the answer that is kept back until it is whole */
	int status;
	int64_t length_bytes; /* of the answer, as http_server_begin() takes it */
	GByteArray *body;
	GString *partial; /* of an event that isn't whole yet */
	int64_t last_event;
	uv_timer_t timer;
	char *reason; /* of its end, for the log */
};

/* srv_req.c */
void req_free(struct req *r);
void req_log(struct req *r, const char *outcome, int status);
void req_set_reason(struct req *r, const char *reason);
bool req_may_run_again(const struct req *r);

/* Ends of a request. It has not run and may come back; it is not allowed; it may have run. */
void req_refuse(struct req *r, int64_t retry_ms, const char *reason);
void req_reject(struct req *r, int status, const char *reason);
void req_fail(struct req *r, int status, const char *reason);
void req_give_up(struct req *r, const char *reason);

/* Asks for the results of its chain anew: those there were are gone. */
void req_ask_again(struct req *r);

/* srv_leg.c */
void req_send(struct req *r);

/* The upstream that the request would be sent to now; NULL when there is none. */
struct srv_upstream *req_pick(struct req *r, int64_t now_ms);
void req_leg_cancel(struct leg *leg);

/* Sets the timer to the next moment at which something has to be decided. */
void req_arm(struct req *r);

/* srv_ans.c: the way back. False: the answer belongs to another request. */
bool req_take_head(struct leg *leg, const struct http_client_head *head);
void req_take_data(struct leg *leg, const void *data, size_t len);
void req_take_whole(struct leg *leg);

/* Passes on the failure that an upstream gave, if it is there; false when there is none. */
bool req_pass_failure(struct req *r);

#endif
