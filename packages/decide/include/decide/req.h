/* State of a request in the decision core: sizes of its bodies, but not their bytes. */
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
	bool may_have_run; /* bytes may have been sent, and no answer says that nothing ran */
};

struct req {
	uint64_t id;
	struct req_stage stages[REQ_STAGES_MAX];
	uint32_t n_stages;
	uint32_t stage;				       /* index of the current stage */
	struct req_attempt attempts[REQ_ATTEMPTS_MAX]; /* of the current stage */
	uint32_t n_attempts;
	int account;	      /* index into the accounts of the configuration */
	uint32_t class_index; /* index of its class */
	int64_t rank;	      /* 0 is served first */
	int64_t arrived_ms;
	int64_t deadline_at_ms;
	uint64_t body_bytes; /* size of the input of the current stage */
	uint64_t prefix_hash;
	bool has_ticket;
	struct ticket_id ticket;
	bool stream_open;	   /* the caller already receives the bytes of the last stage */
	uint64_t relayed_bytes;	   /* bytes of the open stream that ended attempts produced */
	GBytes *checkpoint;	   /* result of the last non-idempotent stage, owned; may be NULL */
	uint32_t checkpoint_stage; /* index of the stage that takes the checkpoint as its input */
	bool handed_off; /* received as a single stage from another node; not handed off again */
	bool ran;	 /* an earlier stage was run */
	GSequenceIter *waiting; /* position in the service's queue; NULL when not queued */
	GSequenceIter *wake;	/* position in core_state.wake_queue; NULL until first scheduled */
	int64_t wake_at_ms;	/* time of the next check */
	int64_t hedge_at_ms;	/* when a hedge is due; BB_NEVER: never */
	int last_code;		/* error code of the last failed attempt */
};

#ifdef __cplusplus
}
#endif

#endif
