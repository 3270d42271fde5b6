/* Shared by the quarantine sources; not for other modules. */
#ifndef DECIDE_QUARANTINE_INTERNAL_H
#define DECIDE_QUARANTINE_INTERNAL_H

#include "decide/quarantine.h"

#include <glib.h>

#define QUARANTINE_NEVER_MS INT64_MAX

struct report_part {
	uint64_t id;
	uint32_t depth;
	bool cleared; /* a good answer outweighs the crash; stays so, as good answers only advance
		       */
};

/*
 * Parts that were reported with one crash of an upstream at the same time. A part stands in one
 * report of the crash, the earliest that names it.
 */
struct report {
	uint64_t upstream;
	int64_t at_ms;
	int64_t heard_ms;     /* when this node first knew of it */
	bool explained;	      /* a part in quarantine explains the crash; set by each verdict */
	uint64_t cause;	      /* that part */
	struct report *first; /* of the same crash; valid within a verdict only */
	GArray *parts;	      /* struct report_part, in order of id */
};

struct good {
	uint64_t part;
	int64_t at_ms;
	bool has_own;
	int64_t own_ms; /* this node's own latest one */
	bool has_recovered;
	int64_t recovered_ms; /* crashes with the part up to then are forgotten */
	GList link;	      /* in quarantine.good_order */
};

/* A part with crashes that count against it. */
struct suspect {
	uint64_t part;
	uint32_t depth;
	uint32_t n_counted;
	uint32_t n_all; /* reports, counted or not */
	int64_t first_ms;
	int64_t counted_ms; /* the last counted one */
	int64_t last_ms;
	bool blocked;	   /* in quarantine */
	uint32_t order;	   /* among the parts in quarantine */
	uint32_t n_failed; /* trials that ended in a crash */
};

struct quarantine {
	GPtrArray *reports;   /* struct report, owned, by time, then upstream */
	GHashTable *goods;    /* part -> struct good, owned */
	GQueue good_order;    /* struct good, borrowed, the one noted first at the head */
	GHashTable *suspects; /* part -> struct suspect, owned */
	uint32_t n_blocked;
	GHashTable *trials; /* part in quarantine -> start of its last trial (int64_t), owned */
	GHashTable *told; /* part -> struct quarantine_change, owned: those in the log as blocked */
	bool has_changes; /* told may differ from the suspects */
	bool dirty;	  /* the evidence has changed since the last verdict */
	int64_t expires_ms; /* when the next report expires; QUARANTINE_NEVER_MS: none */
};

static inline bool quarantine_outweighs(int64_t good_ms, int64_t crash_ms)
{
	return crash_ms - good_ms < QUARANTINE_HOLD_MS;
}

const struct good *quarantine_find_good(const struct quarantine *q, uint64_t part);
/* Marks the part as sound again after its crashes up to last_crash_ms. */
void quarantine_mark_recovered(struct quarantine *q, uint64_t part, int64_t last_crash_ms);
/* Returns whether a part of the crash has recovered since. */
bool quarantine_is_forgotten(const struct quarantine *q, const struct quarantine_crash *crash);
bool quarantine_is_cleared(const struct quarantine *q, uint64_t part, int64_t crash_ms);

/* Returns the report's entry of the part, or NULL. */
struct report_part *quarantine_find_part(const struct report *report, uint64_t part);

/* Returns whether the others are told of the report. */
bool quarantine_is_told(const struct report *report, int64_t now_ms);

/* Nodes' times of a crash differ by the transit of the reports. */
#define QUARANTINE_TRIAL_SLACK_MS 5000

struct suspect *quarantine_find_suspect(const struct quarantine *q, uint64_t part);

/* Time from a part's last crash until its next trial, by the number of failed ones. */
extern const int64_t quarantine_trial_wait_ms[QUARANTINE_TRIALS_MAX];

/* Brings the verdict up to date with the evidence and the clock. */
void quarantine_refresh(struct quarantine *q, int64_t now_ms);

#endif
