/* Types and functions shared by the files about the shares of a pool among accounts. */
#ifndef DECIDE_CHAIN_SHARE_INTERNAL_H
#define DECIDE_CHAIN_SHARE_INTERNAL_H

#include "chain_internal.h"

/* Work of the last seconds, in ms of upstream time. */
struct chain_share_use {
	double sum_ms;
	int64_t at_ms;
};

/* The last sum that another owner told of an account. */
struct chain_share_sum {
	uint64_t run; /* of the owner; another one: there is no sum */
	uint64_t given_ms;
};

/* An account in a pool. */
struct chain_share {
	char *name;
	struct chain_share_pool *in;
	uint32_t n_stages; /* stages of chains that are known here */
	double end_ms;	   /* virtual end of the work that it was given */
	struct chain_share_use use;
	double given_ms;  /* work that it was given here, since the owner knows it */
	uint64_t told_ms; /* of this, what other owners were told */
	struct chain_share_sum sums[CHAIN_SHARE_OWNERS_MAX];
	struct chain_share_use elsewhere; /* work given by other owners */
	double owed_ms;			  /* of that work, what doesn't count in end_ms yet */
	double allowed_ms; /* work elsewhere that may still count until it gets work here */
	uint64_t bytes_round;
	int64_t waiting_bytes; /* results of pieces that wait */
	int64_t in_time_bytes; /* of these, results of chains that aren't late */
	GList idle;	       /* link while there are no stages */
	bool is_lent;	       /* to a preview of a chain, and not in the table */
	/* while stages are listed or pieces counted */
	uint64_t round;
	struct chain_share *next;
	double tag_ms;
	uint32_t waiting; /* pieces of chains of the same class as the job */
	uint32_t running; /* of those that precede the job by due time, pieces that are running */
	uint32_t ahead;	  /* and pieces that wait */
	uint32_t in_time; /* pieces that wait, of chains in time */
};

struct chain_share_pool {
	GHashTable *accounts; /* name -> struct chain_share */
	GQueue idle;	      /* accounts without stages, those idle for longest first */
	double now_ms;	      /* virtual time */
	struct chain_share_use use;
	uint64_t round;
	uint64_t bytes_round;
};

/* Returns the duration of a full call, in ms of upstream time. */
double chain_share_call_ms(const struct pool *pool);

/* Returns the cost of one piece of a full call, in ms of upstream time. */
double chain_share_piece_ms(const struct pool *pool);

/* Returns the virtual time at which further work of the account starts. */
double chain_share_start_ms(const struct chain_share *share);

/* Returns the work of the last seconds that still counts. */
double chain_share_use_at(const struct chain_share_use *use, int64_t now_ms);

/* Adds work of now to that of the last seconds. */
void chain_share_add_use(struct chain_share_use *use, double ms, int64_t now_ms);

/* chain_share_owners.c */

/* Notes work that the account was given here. */
void chain_share_note_given(const struct chain_sched *c, struct chain_share *share, double cost_ms,
			    int64_t now_ms);

/* Delays the account's next start by work elsewhere, as far as the bound on debts allows. */
void chain_share_pay_owed(const struct pool *pool, struct chain_share *share);

#endif
