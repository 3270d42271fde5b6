/* Shared by the files of the choice of engines; see decide/spread.h. */
#ifndef DECIDE_SPREAD_INTERNAL_H
#define DECIDE_SPREAD_INTERNAL_H

#include "decide/spread.h"

#include <glib.h>

#define US_PER_MS 1000.0
/*
 * Time constant of the work placed lately. An engine that is idle half of the time has no backlog
 * when it exceeds its share, so the backlog alone doesn't bound shares. Over 10 s an owner places
 * ten or more requests at an engine, so a request more or less stays below the bound.
 */
#define RECENT_MS 10000.0
/*
 * Sessions of an engine that an owner remembers: an engine keeps the parts of some hundred
 * sessions.
 */
#define SESSIONS_N 256
/* Other owners whose placements are kept: one for each region. */
#define OWNERS_MAX 8
#define OWNER_NAME_BYTES 64

struct engine {
	char *id;
	char *service;
	char *data_centre;
	char *region;
	bool is_usable;
	bool is_listed;
	int64_t cold_until_ms;
	double backlog_us; /* as of at_ms */
	int64_t at_ms;
	double recent; /* work placed lately, times the scale at that time */
	/* as of when the owner was heard */
	uint32_t others_us[OWNERS_MAX];
	double others_recent[OWNERS_MAX];
	uint64_t sessions[SESSIONS_N]; /* placed there last, by their ids modulo SESSIONS_N */
	bool is_touched;	       /* work was placed since the loads were last told */
	/* of the choice in progress */
	double total_us;
	double total_recent;
	double order;	  /* position in the session's order */
	double cost;	  /* by which engines are compared */
	bool is_open;	  /* may be used */
	bool has_session; /* keeps the session's part; the first engine if no other does */
	bool may_fill;	  /* up to its bound; otherwise it gets the request only below the mean */
};

struct owner {
	char name[OWNER_NAME_BYTES];
	char region[OWNER_NAME_BYTES]; /* empty: unknown */
	int64_t heard_ms;
	bool is_known;
	bool is_inherited; /* another owner was told its placements since it was heard */
};

struct spread {
	GHashTable *by_id;  /* id -> struct engine */
	GPtrArray *engines; /* all of by_id */
	struct owner owners[OWNERS_MAX];
	double mean_work_us; /* of a request; 0: there was none */
	double share_max;    /* of the work placed lately, as a multiple of the mean */
	int64_t scale_from_ms;
	uint32_t asks_left; /* for the placements of the former owner */
	int64_t asked_ms;
	bool is_successor; /* has asked, or will, and has no answer */
};

static inline struct engine *engine_at(const struct spread *sp, guint i)
{
	return g_ptr_array_index(sp->engines, i);
}

double spread_drain(double backlog_us, int64_t since_ms, int64_t now_ms);

/* Returns whether what the owner has told counts. */
bool spread_owner_counts(const struct owner *owner, int64_t now_ms);

/* Returns the backlog from all owners. */
double spread_total_backlog_us(const struct spread *sp, const struct engine *e, int64_t now_ms);

/* Returns the work that all owners have placed lately, times the scale. */
double spread_total_recent(const struct spread *sp, const struct engine *e, int64_t now_ms);

/* Returns how much more work placed now weighs than work that was placed at scale_from_ms. */
double spread_scale_at(struct spread *sp, int64_t now_ms);

int64_t spread_oldest_input_ms(const struct spread *sp, int64_t now_ms);

#endif
