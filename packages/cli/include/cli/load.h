/* Shared by the parts of `currantscale load`. */
#ifndef CLI_LOAD_H
#define CLI_LOAD_H

#include "base/rnd.h"
#include "cli/client.h"

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <pthread.h>
#include <stdio.h>

#define LOAD_ENTRIES_MAX 16
#define LOAD_TEXT_BYTES 96

enum load_outcome {
	LOAD_COMPLETE,
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_UNREACHABLE,
	LOAD_OUTCOMES,
};

/* One line of the mix. */
struct load_entry {
	int64_t weight;
	char class_name[LOAD_TEXT_BYTES];
	char key[LOAD_TEXT_BYTES];
	char path[LOAD_TEXT_BYTES];
	int64_t bytes; /* of the body */
	int64_t sent;
	int64_t outcomes[LOAD_OUTCOMES];
	int64_t in_deadline;	  /* complete within it */
	int64_t sent_away;	  /* planned while the data centre was out */
	int64_t in_deadline_away; /* of these, complete within the deadline */
	gsl_histogram *total_us;  /* of complete ones, from their planned time */
	gsl_histogram *first_us;  /* to the first byte of a stream */
	gsl_histogram *gap_us;	  /* between the blocks of a stream */
};

/* What the judge needs of one request that was answered. */
struct load_record {
	struct load_entry *entry;
	uint32_t tag; /* of the body that was sent */
	enum load_outcome outcome;
	char request[80];
	uint32_t answer_tag;  /* in every token of the answer; 0: it has none */
	bool mixed;	      /* its tokens have different tags */
	int64_t scheduled_us; /* after the begin of the load */
	int64_t took_us;      /* from its planned time */
	int64_t first_us;     /* from its planned time to the first byte */
};

struct load_options {
	const char *node;     /* any address, to begin with */
	const char *platform; /* of the emulator, for cost and judging; NULL: none */
	const char *csv;
	const char *records; /* file of a row for each request; NULL: none */
	double rate;	     /* requests a second */
	double seconds;
	int64_t deadline_ms;
	int64_t threads;
	uint64_t seed;
	bool json;
	const char *outage_dc; /* NULL: none is taken out */
	double outage_start_s; /* after the begin */
	double outage_end_s;
};

struct load {
	struct load_options options;
	struct load_entry entries[LOAD_ENTRIES_MAX];
	unsigned n_entries;
	struct hcl *http;
	pthread_mutex_t lock; /* guards all below, and the entries' counts */
	GPtrArray *addresses; /* of char * */
	GPtrArray *records;   /* of struct load_record */
	struct rnd rnd;
	int64_t began_us; /* set before the first request */
	int64_t done;
	int64_t outage_start_ms; /* when the data centre was taken out; 0: not yet */
	int64_t outage_end_ms;
};

/* A request that is due. */
struct load_job {
	struct load *load;
	struct load_entry *entry;
	int64_t number;
	int64_t scheduled_us;
};

/* load_run.c */
void load_run(void *job); /* of a worker pool; frees job */

/* load_report.c: prints the result; the exit code tells whether a promise was broken. */
int load_report(struct load *load);

/* load_outage.c: takes the data centre out of service, or back, by publishing the document. */
bool load_set_dc_in_service(struct load *load, bool in_service);

#endif
