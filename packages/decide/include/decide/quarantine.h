/*
 * Quarantine of prompt parts whose requests crash the upstreams that begin to answer them. Nodes
 * tell each other of crashes and of good answers; the verdict is a pure function of this evidence,
 * so nodes with the same evidence agree. Times are monotonic milliseconds of this node; the caller
 * converts those of other nodes. Part ids are not 0.
 */
#ifndef DECIDE_QUARANTINE_H
#define DECIDE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A request is among the possible causes of a crash if its answer began at most this long before.
 * An answer that goes on for longer was begun well.
 */
#define QUARANTINE_BEGIN_MS 1500
#define QUARANTINE_HOLD_MS 20000      /* a good answer outweighs crashes until this long after it */
#define QUARANTINE_SPACING_MS 300     /* crashes of a part closer to each other count once */
#define QUARANTINE_CRASHES 3	      /* count at which a part goes into quarantine */
#define QUARANTINE_DOUBT_UPSTREAMS 2  /* fewer may be broken answers of one upstream */
#define QUARANTINE_TRIALS_MAX 1	      /* failed trials after which none is made */
#define QUARANTINE_TRIAL_END_MS 30000 /* a trial without a result for this long wasn't made */
#define QUARANTINE_REPORTS_MAX 256    /* of crashes */
#define QUARANTINE_REPORT_PARTS_MAX 128
#define QUARANTINE_GOODS_MAX 8192
#define QUARANTINE_KEEP_MS 600000 /* for good answers, and for crashes that nothing explains */
/* For crashes of a part in quarantine, counted from its last one. */
#define QUARANTINE_KEEP_BLOCKED_MS 86400000
#define QUARANTINE_CHANGE_CRASHES_MAX 8

struct quarantine_part {
	uint64_t id;
	uint32_t depth; /* position in the prompt; the first part has 0 */
};

/* Upstream that ended, with the parts of the requests that it had just begun to answer. */
struct quarantine_crash {
	uint64_t upstream; /* hash of its id and start: one run of it, which ends once */
	int64_t at_ms;
	const struct quarantine_part *parts;
	uint32_t n_parts;
};

/* Latest answer on the part that was begun well. */
struct quarantine_good {
	uint64_t part;
	int64_t at_ms;
};

enum quarantine_state {
	QUARANTINE_CLEAR,
	QUARANTINE_DOUBTED, /* no second run from QUARANTINE_DOUBT_UPSTREAMS on */
	QUARANTINE_BLOCKED, /* don't send */
	QUARANTINE_TRIAL,   /* as doubted; call quarantine_note_trial() when it is sent */
};

struct quarantine_verdict {
	enum quarantine_state state; /* the strictest over the parts; BLOCKED is, then TRIAL */
	uint64_t part;		     /* the part that decided; 0: none */
	uint32_t n_crashes;	     /* counted against it */
	uint32_t n_upstreams;	     /* that crashed under it, also at one moment */
	int64_t first_crash_ms;
	int64_t last_crash_ms;
	int64_t retry_after_ms; /* BLOCKED: until the next trial; 0: none is planned */
};

/* A part went into quarantine or left it. */
struct quarantine_change {
	uint64_t part;
	bool blocked;
	uint32_t n_crashes;
	int64_t first_crash_ms;
	int64_t last_crash_ms;
	/* the first of the crashes counted */
	uint64_t upstreams[QUARANTINE_CHANGE_CRASHES_MAX];
	int64_t crash_ms[QUARANTINE_CHANGE_CRASHES_MAX];
	uint32_t n;
};

/* Numbers of table entries, for the dump. */
struct quarantine_size {
	uint32_t reports; /* of crashes */
	uint32_t parts;	  /* in them */
	uint32_t goods;
	uint32_t suspects; /* parts with a count */
	uint32_t blocked;
	uint32_t trials;
};

struct quarantine;

struct quarantine *quarantine_new(void);
void quarantine_free(struct quarantine *q);

/*
 * Notes that an answer on these parts was begun well at begun_ms. Returns whether this outweighs a
 * crash that counted; the other nodes should then be told of the parts' good answers.
 */
bool quarantine_note_good(struct quarantine *q, const uint64_t *parts, uint32_t n, int64_t begun_ms,
			  int64_t now_ms);

/*
 * Notes that the upstream ended, and that this node had a request there whose answer began at most
 * QUARANTINE_BEGIN_MS before. The parts are all but the last of this request, in order; a call is
 * made for each such request. Returns the number of parts that the report holds after leaving out
 * those with a recent good answer (0: nothing to tell the others), written to report (capacity n).
 */
uint32_t quarantine_note_crash(struct quarantine *q, uint64_t upstream, const uint64_t *parts,
			       uint32_t n, struct quarantine_part *report, int64_t now_ms);

/*
 * Merge others' reports. Return whether they changed the evidence: a crash or part that counts, or
 * a later good answer. All reports of one run of an upstream tell of one crash; the earliest time
 * told counts for each part. So a living upstream that breaks answers can't convict a part alone.
 * quarantine_contradict() should follow each report, also one that changes nothing: the reporter
 * may have missed a good answer.
 */
bool quarantine_merge_crash(struct quarantine *q, const struct quarantine_crash *crash,
			    int64_t now_ms);
bool quarantine_merge_good(struct quarantine *q, const struct quarantine_good *good,
			   int64_t now_ms);

/* may_try: whether this node makes the fleet's trials of the part. */
void quarantine_check(struct quarantine *q, const uint64_t *parts, uint32_t n,
		      bool (*may_try)(void *arg, uint64_t part), void *arg, int64_t now_ms,
		      struct quarantine_verdict *verdict);
void quarantine_note_trial(struct quarantine *q, uint64_t part, int64_t now_ms);

/*
 * Call fn for the evidence worth telling a node that joins, or from time to time: crashes of parts
 * in quarantine and those of the last minute; good answers on parts in them. fn must not call this
 * module.
 */
void quarantine_foreach_crash(struct quarantine *q,
			      void (*fn)(void *arg, const struct quarantine_crash *crash),
			      void *arg, int64_t now_ms);
void quarantine_foreach_good(struct quarantine *q,
			     void (*fn)(void *arg, const struct quarantine_good *good), void *arg,
			     int64_t now_ms);

/*
 * Writes this node's own good answers that outweigh the crash, for the reporter, and returns their
 * number. Parts with fewer than two crashes are left out.
 */
uint32_t quarantine_contradict(struct quarantine *q, const struct quarantine_crash *crash,
			       struct quarantine_good *goods, uint32_t capacity, int64_t now_ms);

/*
 * Returns the next part that went into quarantine or left it since the last call, for the log;
 * false when there is none.
 */
bool quarantine_next_change(struct quarantine *q, struct quarantine_change *change, int64_t now_ms);

/* Returns the number of parts in quarantine. */
uint32_t quarantine_count(struct quarantine *q, int64_t now_ms);
bool quarantine_has_evidence(struct quarantine *q, int64_t now_ms);
void quarantine_measure(const struct quarantine *q, struct quarantine_size *size);

#ifdef __cplusplus
}
#endif

#endif
