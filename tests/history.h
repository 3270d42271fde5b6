/* What callers of a storm saw, and the judgement of it against the emulator's log. */
#ifndef TESTS_HISTORY_H
#define TESTS_HISTORY_H

#include "fleet.h"
#include "model/cfg.h"

#include <pthread.h>

#define HISTORY_BODY_BYTES 40

enum history_kind { HISTORY_PIPELINE, HISTORY_LOOKUP, HISTORY_BOOKING, HISTORY_KINDS };

/* One request of a caller with all its tries. */
struct history_request {
	enum history_kind kind;
	char body[HISTORY_BODY_BYTES]; /* unlike any other's */
	bool complete;
	bool refused;	       /* the answer was not_run */
	bool unknown;	       /* an answer was unknown, or none came */
	char *answer;	       /* the whole one, or NULL */
	char *refused_request; /* id of the request that was answered not_run, or NULL */
	char *refused_code;
	char code[32]; /* of the last answer that was not complete; "none" when none came */
};

struct history {
	pthread_mutex_t lock; /* guards entries; an entry is its caller's alone */
	GPtrArray *entries;
};

/* An upstream's VM or a data centre was to get no new work from from_ms until to_ms. */
struct history_exclusion {
	const char *vm;		 /* NULL: any */
	const char *data_centre; /* NULL: any */
	int64_t from_ms;
	int64_t to_ms;
};

/* An upstream was restarted with no word of it: it is cold, and no node can know yet. */
struct history_restart {
	const char *upstream;
	int64_t at_ms;
};

void history_init(struct history *book);
void history_clear(struct history *book);

/* A new entry of a caller; the book owns it. */
struct history_request *history_request(struct history *book, uint32_t caller, uint32_t n,
					int kind);

/* Notes one answer. */
void history_note_answer(struct history_request *entry, const struct fleet_answer *answer);

/* What the fault thread did, as far as the promises depend on it. */
struct history_faults {
	GArray *windows;  /* struct history_exclusion; the fault thread's until all have ended */
	GArray *restarts; /* struct history_restart, of upstreams */
};

/* Prints figures and every broken promise; returns how many. */
int history_verify(const struct history *book, const json_t *log,
		   const struct history_faults *deeds, const struct cfg *cfg);

#endif
