/* State of `currantscale load`, shared by its source files. */
#ifndef CLI_LOAD_H
#define CLI_LOAD_H

#include "base/prng.h"
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

/* One entry of the request mix, with its results. */
struct load_entry {
	int64_t weight;
	char class_name[LOAD_TEXT_BYTES];
	char key[LOAD_TEXT_BYTES];
	char path[LOAD_TEXT_BYTES];
	int64_t bytes; /* size of the body */
	int64_t sent;
	int64_t outcomes[LOAD_OUTCOMES];
	int64_t in_deadline;	  /* complete within the deadline */
	int64_t sent_away;	  /* scheduled during the outage of the data centre */
	int64_t in_deadline_away; /* those complete within the deadline */
	gsl_histogram *total_us;  /* latency of complete requests, from the scheduled time */
	gsl_histogram *first_us;  /* scheduled time to the first byte */
	gsl_histogram *gap_us;	  /* gaps between blocks of the response */
};

/* Result of one request. */
struct load_record {
	struct load_entry *entry;
	uint32_t tag; /* digest of the request body */
	enum load_outcome outcome;
	char request[80];      /* request id */
	uint32_t response_tag; /* tag of the tokens in the response; 0: no tokens */
	bool mixed;	       /* the tokens have different or malformed tags */
	int64_t scheduled_us;  /* scheduled time, from the start of the load */
	int64_t took_us;       /* from the scheduled time to the end of the response */
	int64_t first_us;      /* from the scheduled time to the first byte */
};

struct load_options {
	const char *node;     /* address of any node */
	const char *platform; /* address of the emulator, for cost and verification; NULL: none */
	const char *csv;      /* file of a row for each mix entry; NULL: none */
	const char *records;  /* file of a row for each request; NULL: none */
	double rate;	      /* requests per second */
	double seconds;
	int64_t deadline_ms;
	int64_t threads; /* maximum concurrent requests */
	uint64_t seed;
	bool json;
	const char *outage_dc; /* data centre to take out of service; NULL: none */
	double outage_start_s; /* from the start of the load */
	double outage_end_s;
};

struct load {
	struct load_options options;
	struct load_entry entries[LOAD_ENTRIES_MAX];
	unsigned n_entries;
	struct fetch_client *http;
	pthread_mutex_t lock; /* guards the members below and the results of the entries */
	GPtrArray *addresses; /* of char * */
	GPtrArray *records;   /* of struct load_record */
	struct prng prng;
	int64_t start_us;	 /* set before the first request */
	int64_t done;		 /* finished requests */
	int64_t outage_start_ms; /* when the data centre went out of service; 0: not yet */
	int64_t outage_end_ms;	 /* when it returned to service; 0: not yet */
};

/* A scheduled request. */
struct load_job {
	struct load *load;
	struct load_entry *entry;
	int64_t number;
	int64_t scheduled_us;
};

/* Job of the worker pool: sends one request and records the result. Frees job. */
void load_run(void *job);

/* Prints the results. Returns the exit code, which shows whether a promise was broken. */
int load_report(struct load *load);

/* Takes the data centre out of service or returns it, by publishing an edited document. */
bool load_set_dc_in_service(struct load *load, bool in_service);

#endif
