/* A request on its way through its stages, as the decisions see it: no bytes, only their sizes. */
#ifndef DECIDE_REQ_H
#define DECIDE_REQ_H

#include "decide/bb.h"
#include "decide/ticket.h"

#ifdef __cplusplus
extern "C" {
#endif

#define REQ_STAGES_MAX 8
#define REQ_ATTEMPTS_MAX 4

struct req_stage {
	struct bb_service *service; /* borrowed */
	char call[BB_NAME_BYTES];   /* "run" for engines and pools */
	bool idempotent;
	bool stream;
};

enum req_attempt_state {
	REQ_ATTEMPT_NONE,
	REQ_ATTEMPT_SENT,
	REQ_ATTEMPT_ENDED,
};

struct req_attempt {
	enum req_attempt_state state;
	uint32_t upstream;
	int64_t sent_at_ms;
	bool hedge;
	bool may_have_run; /* its bytes may have left, and nobody said that nothing ran */
};

struct req {
	uint64_t id;
	struct req_stage stages[REQ_STAGES_MAX];
	uint32_t n_stages;
	uint32_t stage;				       /* the current one */
	struct req_attempt attempts[REQ_ATTEMPTS_MAX]; /* of the current stage */
	uint32_t n_attempts;
	int account;
	uint32_t cls;
	int64_t rank; /* 0 is served first */
	int64_t arrived_ms;
	int64_t deadline_at_ms;
	uint64_t body_bytes; /* input of the current stage */
	uint64_t prefix_hash;
	bool has_ticket;
	struct ticket_id ticket;
	bool stream_open;	   /* bytes of the last stage already went to the caller */
	uint64_t relayed_bytes;	   /* of that stream, by attempts that ended */
	GBytes *held;		   /* result of the last non-idempotent stage, owned; or NULL */
	uint32_t checkpoint_stage; /* the stage that it is the input of */
	bool handed_off;	   /* a stage for another node: not handed on */
	bool ran;		   /* an attempt of an earlier stage ran */
	GSequenceIter *waiting;	   /* place in its service's queue, NULL when not waiting */
	GSequenceIter *wake;	   /* place in the queue of times; NULL until the first one */
	int64_t wake_at_ms;	   /* when the request is looked at again */
	int64_t hedge_at_ms;	   /* when to hedge; BB_NEVER: not */
	int last_code;		   /* failure of the last attempt */
};

#ifdef __cplusplus
}
#endif

#endif
