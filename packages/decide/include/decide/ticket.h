/*
 * Tickets: a non-idempotent request runs at most once, and only at the owner of its ticket. The
 * owner is the incarnation (one start of the process) of the node that issued the ticket. A planned
 * stop releases the tickets of an incarnation to one successor, which owns them from then on.
 *
 * The table is bounded. Evicting an entry raises the low-water mark of its incarnation. A serial
 * below the mark that has no entry never runs, whatever expiry the ticket text claims.
 */
#ifndef DECIDE_TICKET_H
#define DECIDE_TICKET_H

#include "base/err.h"
#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TICKET_TEXT_BYTES 128 /* limit of the text form, including the final NUL */
#define TICKET_LIFETIME_MS INT64_C(600000)
#define TICKET_ENTRIES_MAX 16384		/* limit of the ended tickets that are kept */
#define TICKET_BODY_BYTES_MAX (4 * 1024 * 1024) /* limit of all stored answers together */
/* size limit of a stage result that a repeat can resume from */
#define TICKET_CHECKPOINT_BYTES_MAX (256 * 1024)
#define TICKET_ADOPTED_MAX 64 /* limit of the incarnations adopted from other nodes */

struct ticket_id {
	char vm[BB_NAME_BYTES];
	uint64_t incarnation;
	uint64_t serial;
	int64_t expires_wall_ms;
};

/* False with *error set (ERR_TICKET_MALFORMED) when text is not a ticket. */
bool ticket_parse(const char *text, struct ticket_id *id, GError **error);

/* Writes the text form, at most TICKET_TEXT_BYTES, to text. */
void ticket_format(const struct ticket_id *id, char *text);

enum ticket_verdict {
	TICKET_RUN,	/* first use: run the request */
	TICKET_JOIN,	/* a request with this ticket is running: wait for its answer */
	TICKET_REPLAY,	/* the request ended: return the stored answer, or resume from its result */
	TICKET_FORWARD, /* owned by another node: forward the request to it */
	TICKET_UNKNOWN, /* no record of whether it ran */
	TICKET_NOT_RUN, /* tombstone: the request did not run and never will */
};

/* Answer of an ended ticket. The table does not interpret body. */
struct ticket_answer {
	enum err_outcome outcome;
	int code;
	GBytes *body; /* the answer, or with next_stage the input of that stage; may be NULL */
	uint32_t next_stage; /* index of the stage that a repeat resumes at; 0: it cannot resume */
	uint32_t plan;	     /* hash of the stages; a repeat resumes only with the same hash */
};

struct ticket_table;

struct ticket_table *ticket_new(const char *vm, uint64_t incarnation);
void ticket_free(struct ticket_table *t);

/*
 * Issues n tickets with consecutive serials; *first is the first of them. Returns false once the
 * tickets of this incarnation were released to a successor, since this node could not run the
 * requests of new ones.
 */
bool ticket_issue(struct ticket_table *t, uint32_t n, int64_t now_wall_ms, struct ticket_id *first);

/* Claims the ticket for request req. For TICKET_JOIN, *running is the id of the running request. */
enum ticket_verdict ticket_claim(struct ticket_table *t, const struct ticket_id *id, uint64_t req,
				 int64_t now_wall_ms, uint64_t *running);

/*
 * Ends the ticket and stores its answer, with a reference of its own to the body. An answer with
 * the outcome NOT_RUN becomes a tombstone.
 */
void ticket_finish(struct ticket_table *t, const struct ticket_id *id,
		   const struct ticket_answer *answer);

/*
 * Returns the outcome to report for a request that is refused before it claims its ticket. NOT_RUN
 * when the ticket has a tombstone, which this call adds if the ticket is unused; otherwise UNKNOWN,
 * since another copy of the request may run.
 */
enum err_outcome ticket_refuse(struct ticket_table *t, const struct ticket_id *id, int code,
			       int64_t now_wall_ms);

/* Returns the answer of an ended ticket, owned by the table; NULL when there is none. */
const struct ticket_answer *ticket_answer(const struct ticket_table *t, const struct ticket_id *id);

/*
 * Reopens an ended ticket whose answer has a next_stage: it runs again for req, from that stage on.
 * Returns the input of the stage, which the caller unrefs; NULL when the ticket cannot be resumed.
 */
GBytes *ticket_reopen(struct ticket_table *t, const struct ticket_id *id, uint64_t req);

/* Returns the number of tickets that were claimed and are still in the table. */
uint32_t ticket_count(const struct ticket_table *t);

/* Returns the total size of the stored answers. */
uint64_t ticket_body_bytes(const struct ticket_table *t);

/* An ended ticket, as it is released to a successor. */
struct ticket_record {
	uint64_t serial;
	struct ticket_answer answer;
};

/* State that a successor needs to own the tickets of an incarnation. */
struct ticket_release {
	uint64_t incarnation;
	uint64_t next_serial;
	uint64_t low_water;	 /* a serial below it that has no record never runs */
	int64_t expires_wall_ms; /* at most 1 s before the last expiry; 0: none issued or all
				    expired */
	GArray *records;	 /* struct ticket_record, with a reference to each body */
};

/*
 * Releases the tickets of an incarnation for good: this table never runs one of them again. Tickets
 * that are still running are released as unknown. False when this table does not own them.
 */
bool ticket_release(struct ticket_table *t, uint64_t incarnation, struct ticket_release *release);
void ticket_release_clear(struct ticket_release *release);

/*
 * Adopts the tickets of a release, with references of its own to the bodies. Adopting a release
 * again has no effect. Returns false when TICKET_ADOPTED_MAX is reached.
 */
bool ticket_adopt(struct ticket_table *t, const struct ticket_release *release,
		  int64_t now_wall_ms);

/* True when this table owns the tickets of the incarnation. */
bool ticket_owns(const struct ticket_table *t, uint64_t incarnation);

/*
 * Returns the incarnations (uint64_t) whose tickets this table owns, its own one first. The caller
 * unrefs the array.
 */
GArray *ticket_owned_incarnations(const struct ticket_table *t);

#ifdef __cplusplus
}
#endif

#endif
