/*
 * Choice of engines by the owners of regions. An owner answers each chain that becomes ready, so it
 * sees the requests of many nodes before they are sent, and proposes an engine for each. It keeps
 * the work that it has placed at each engine. A chain stays at the engine that nodes would choose
 * until that exceeds its share; then it gets the one that costs least, by the costs of decide/lb.h,
 * among those that don't exceed theirs.
 * The module does no I/O; docs/design/even-load.md has the reasons.
 */
#ifndef DECIDE_SPREAD_H
#define DECIDE_SPREAD_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Most engines in a message between owners: about 2 KB. */
#define SPREAD_LOADS_MAX 128
/* Placements of another owner that are older don't count: it may have lost its region. */
#define SPREAD_LOAD_AGE_MAX_MS 500
/* Bound on the work of one request as other nodes send it; the longest prompts take about 3 s. */
#define SPREAD_WORK_MAX_US 10000000U
/* Bound on the backlog of one engine, and on the work placed lately, as other owners send it. */
#define SPREAD_BACKLOG_MAX_US 600000000U

/*
 * Largest work placed lately at an engine, as a multiple of the mean, unless another is set. A
 * larger one moves fewer sessions away from the engines that keep their parts. Engines exceed the
 * aim of 1.25 in tests/unit_spread.c with 1.25.
 */
#define SPREAD_SHARE 1.24
#define SPREAD_SHARE_MIN 1.1 /* below, nearly all chains move */

struct spread;

struct spread_engine {
	const char *id;
	const char *service;
	const char *data_centre;
	const char *region;
	bool is_usable;
	int64_t cold_until_ms; /* it is cold before; 0: it isn't */
};

struct spread_request {
	const char *service;
	uint64_t session;    /* 0: no engine is chosen */
	uint32_t work_us;    /* time to read the parts of the prompt that no engine keeps */
	uint32_t session_us; /* time to read the session's part, at an engine that lacks it */
	bool is_by_cost;     /* false: the first in the session's order is chosen */
	/* NULL: unknown, and its cost doesn't count */
	const char *results_at;	  /* data centre of most of the results' bytes */
	const char *asker_at;	  /* data centre of the node that holds the request */
	const char *asker_region; /* set if asker_at is */
	char *const *regions;	  /* allowed regions, NULL-terminated; NULL: any */
	/* Returns whether the engine may be proposed; asked only of the one about to be chosen. */
	bool (*may_use)(void *arg, const char *id);
	void *arg;
};

struct spread_choice {
	const char *id;	      /* borrowed until the engines are set again; NULL: none */
	bool is_first;	      /* the session's first engine by hash */
	bool is_own;	      /* by cost: the engine that nodes choose without regard to load */
	double cost_ms;	      /* by cost: of the engine, with its load */
	uint32_t backlog_us;  /* of the engine, before this request */
	uint32_t mean_us;     /* mean backlog of the engines that may be used */
	int64_t input_age_ms; /* of the oldest placements of another owner that counted; 0: none */
};

/* The load of an engine, as owners tell each other. */
struct spread_load {
	const char *id;
	uint32_t backlog_us; /* work placed there that is expected to be unfinished */
	uint32_t placed_us;  /* work placed there lately; 0: as told before */
};

struct spread_stats {
	uint32_t engines;
	uint32_t loaded; /* engines with a backlog */
	uint32_t owners; /* other owners whose placements count now */
	uint32_t mean_us;
	uint32_t largest_us;
	const char *largest;  /* id of the engine with the largest backlog; NULL: none has one */
	int64_t input_age_ms; /* as in struct spread_choice */
};

struct spread *spread_new(void);

/* Sets the largest share of the work placed lately, for the choice by cost; see SPREAD_SHARE. */
void spread_set_share(struct spread *sp, double share);
void spread_free(struct spread *sp);

/* Applies the published engines. Those that aren't listed are removed, with their backlogs. */
void spread_set_engines(struct spread *sp, const struct spread_engine *engines, uint32_t n);

/* Chooses an engine and adds the request's work to its backlog. Returns false if there is none. */
bool spread_choose(struct spread *sp, const struct spread_request *request, int64_t now_ms,
		   struct spread_choice *choice);

/* Applies what another owner has placed; replaces what it told before. Unknown ids are ignored. */
void spread_note_loads(struct spread *sp, const char *owner, const struct spread_load *loads,
		       uint32_t n, int64_t now_ms);

/* Notes the region of an owner that was heard, for its successor. */
void spread_set_owner_region(struct spread *sp, const char *owner, const char *region);

/*
 * A new owner of a region asks the other owners, twice at most, for the placements of the former
 * owner of that region, which each of them has, and counts them as its own.
 */
void spread_begin_succession(struct spread *sp);

/* Returns whether the message that is about to be sent to the other owners should ask. */
bool spread_should_ask_former(struct spread *sp, int64_t now_ms);

/*
 * Writes what the last owner of the region before the successor has placed, drained until now; at
 * most capacity engines, those with most work first. Returns the number; 0: none is known. *former
 * is borrowed until another owner is heard. Its placements don't count here until it is heard
 * again, as the successor tells them from now on.
 */
uint32_t spread_get_former(struct spread *sp, const char *region, const char *successor,
			   struct spread_load *loads, uint32_t capacity, int64_t now_ms,
			   const char **former);

/*
 * Counts the former owner's placements as this owner's. Returns false, without effect, if the node
 * hasn't asked within a second, has an answer already, or there are none. Unknown ids are ignored.
 */
bool spread_inherit(struct spread *sp, const char *former, const struct spread_load *loads,
		    uint32_t n, int64_t now_ms);

/*
 * Writes the engines at which this owner has placed work that is expected to be unfinished, or has
 * placed work since the last call; if they are more than capacity, those with the largest backlogs,
 * and the others with a later call. Returns the number written.
 */
uint32_t spread_get_loads(struct spread *sp, struct spread_load *loads, uint32_t capacity,
			  int64_t now_ms);

void spread_get_stats(const struct spread *sp, int64_t now_ms, struct spread_stats *stats);

#ifdef __cplusplus
}
#endif

#endif
