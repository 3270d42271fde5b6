/*
 * Tickets: a non-idempotent request runs only on the incarnation of the node that issued its
 * ticket, and there at most once. A planned stop releases the tickets of an incarnation to one
 * successor, which then owns them in its place.
 *
 * The table is bounded. An entry that is dropped raises the low-water mark of its incarnation, and
 * a serial below the mark never runs, whatever expiry its text claims.
 */
#ifndef DECIDE_TICKET_H
#define DECIDE_TICKET_H

#include "base/err.h"
#include "decide/bb.h"

#ifdef __cplusplus
extern "C" {
#endif

#define TICKET_TEXT_BYTES 128
#define TICKET_LIFETIME_MS INT64_C(600000)
#define TICKET_ENTRIES_MAX 16384		 /* ended tickets that are kept */
#define TICKET_BODY_BYTES_MAX (4 * 1024 * 1024)	 /* of all stored answers */
#define TICKET_CHECKPOINT_BYTES_MAX (256 * 1024) /* of a stage's result that is carried on from */
#define TICKET_ADOPTED_MAX 64			 /* incarnations taken over from other nodes */

struct ticket_id {
	char vm[BB_NAME_BYTES];
	uint64_t incarnation;
	uint64_t serial;
	int64_t expires_wall_ms;
};

/* False with *error set (ERR_TICKET_MALFORMED). */
bool ticket_parse(const char *text, struct ticket_id *id, GError **error);

/* Writes at most TICKET_TEXT_BYTES. */
void ticket_format(const struct ticket_id *id, char *text);

enum ticket_verdict {
	TICKET_RUN,	/* first use: run it */
	TICKET_JOIN,	/* it runs now: wait for the answer */
	TICKET_REPLAY,	/* it ended: give the stored answer */
	TICKET_FORWARD, /* not owned here */
	TICKET_UNKNOWN, /* can't be told whether it ran */
	TICKET_NOT_RUN, /* tombstone: it did not run and never will */
};

/* Answer of an ended ticket. Body is opaque here. */
struct ticket_answer {
	enum err_outcome outcome;
	int code;
	GBytes *body;	     /* the answer; with next_stage the input of that stage; else NULL */
	uint32_t next_stage; /* of UNKNOWN: a repeat goes on from there; 0: it can't */
	uint32_t plan;	     /* digest of the stages, so that a repeat goes on with the same */
};

struct ticket_table;

struct ticket_table *ticket_new(const char *vm, uint64_t incarnation);
void ticket_free(struct ticket_table *t);

/*
 * Issues n tickets in a row; *first is the first, serials follow. False once the own tickets were
 * released: nobody here could run them.
 */
bool ticket_issue(struct ticket_table *t, uint32_t n, int64_t now_wall_ms, struct ticket_id *first);

/* Claims the ticket for request req. For TICKET_JOIN *running is the request that runs. */
enum ticket_verdict ticket_claim(struct ticket_table *t, const struct ticket_id *id, uint64_t req,
				 int64_t now_wall_ms, uint64_t *running);

/* Stores the answer; takes its own reference to body. NOT_RUN leaves a tombstone. */
void ticket_finish(struct ticket_table *t, const struct ticket_id *id,
		   const struct ticket_answer *answer);

/*
 * A request with this ticket is refused before it is claimed: what may its caller be told?
 * NOT_RUN when a tombstone stands here, which this call leaves if the ticket is unused; else
 * UNKNOWN, since another copy may run.
 */
enum err_outcome ticket_refuse(struct ticket_table *t, const struct ticket_id *id, int code,
			       int64_t now_wall_ms);

/* Answer of an ended ticket, NULL when it has none; owned by the table. */
const struct ticket_answer *ticket_answer(const struct ticket_table *t, const struct ticket_id *id);

/*
 * An ended ticket whose answer has a next_stage runs again for req, from that stage on. Returns the
 * stage's input, which the caller unrefs; NULL when there is nothing to go on from.
 */
GBytes *ticket_reopen(struct ticket_table *t, const struct ticket_id *id, uint64_t req);

uint32_t ticket_count(const struct ticket_table *t);

/* Bytes of stored answers. */
uint64_t ticket_body_bytes(const struct ticket_table *t);

struct ticket_record {
	uint64_t serial;
	struct ticket_answer answer;
};

/* What a successor needs to own the tickets of an incarnation. */
struct ticket_release {
	uint64_t incarnation;
	uint64_t next_serial;
	uint64_t low_water;
	int64_t expires_wall_ms; /* of the last ticket issued */
	GArray *records;	 /* struct ticket_record, a reference to each body */
};

/*
 * Gives up the tickets of an incarnation for good: from here on this table runs none of them.
 * Tickets that still run are released as unknown. False when they are not owned here.
 */
bool ticket_release(struct ticket_table *t, uint64_t incarnation, struct ticket_release *release);
void ticket_release_clear(struct ticket_release *release);

/*
 * Owns the tickets of a release from here on; takes references of its own. A repeat changes
 * nothing. False when TICKET_ADOPTED_MAX is reached.
 */
bool ticket_adopt(struct ticket_table *t, const struct ticket_release *release,
		  int64_t now_wall_ms);

/* True when this table owns the tickets of the incarnation. */
bool ticket_owns(const struct ticket_table *t, uint64_t incarnation);

/* Incarnations whose tickets are owned here, the own one first; the caller unrefs. */
GArray *ticket_owned_incarnations(const struct ticket_table *t);

#ifdef __cplusplus
}
#endif

#endif
