/*
 * Following readers of the source: whether news that another node tells may be applied, and when a
 * node has to read the source itself. Nodes whose readers fall silent, miss something or are behind
 * read as if there were no readers, so readers only ever save calls.
 */
#ifndef DECIDE_FOLLOW_H
#define DECIDE_FOLLOW_H

#include "decide/view.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A follower reads the source itself once no reader has said anything for this long: longer than a
 * reader's watch and its pause, and short because it delays changes.
 */
#define FOLLOW_SILENCE_MS 1600

struct follow {
	int64_t news_ms; /* when news were last applied; 0: the node has to read itself */
};

/* What a reader says: all changes from since, exclusive, to revision. */
struct follow_news {
	int64_t epoch;
	int64_t since;
	int64_t revision;
	bool is_complete; /* false: there is more, which each node reads itself */
};

enum follow_verdict {
	FOLLOW_APPLY,
	FOLLOW_KNOWN, /* the node knows as much or more */
	FOLLOW_MISSED /* something before the news is missing here */
};

/*
 * Judges news at a node that knows the source up to a revision. An earlier epoch is outdated; of a
 * later one the node reads everything anew.
 */
enum follow_verdict follow_judge(struct follow *f, const struct follow_news *news,
				 struct view_revision known, int64_t now_ms);

/* Returns whether the node needn't read the source itself. */
bool follow_is_led(const struct follow *f, bool is_reader, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
