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
	int64_t weight; /* share of the requests, relative to the sum of all weights */
	char class_name[LOAD_TEXT_BYTES];
	char key[LOAD_TEXT_BYTES];
	char path[LOAD_TEXT_BYTES];
	int64_t bytes; /* size of the request body */
	int64_t sent;  /* finished requests, with any outcome */
	int64_t outcomes[LOAD_OUTCOMES];
	int64_t in_deadline;	       /* requests completed within the deadline */
	int64_t sent_in_outage;	       /* finished requests that were scheduled during the outage */
	int64_t in_deadline_in_outage; /* of these, completed within the deadline */
	gsl_histogram *total_us; /* complete requests: scheduled time to the end of the response */
	gsl_histogram *first_us; /* complete requests: scheduled time to the first byte */
	gsl_histogram *gap_us;	 /* complete requests: gaps between blocks of the response */
};

/* Result of one request. */
struct load_record {
	struct load_entry *entry;
	uint32_t tag; /* digest of the request body */
	enum load_outcome outcome;
	char request[80];      /* request id */
	uint32_t response_tag; /* tag of the last token in the response; 0: no tokens */
	bool mixed;	       /* the tokens of the response have different or malformed tags */
	int64_t scheduled_us;  /* scheduled time, relative to the start of the load */
	int64_t took_us;       /* from the scheduled time to the end of the response */
	int64_t first_us;      /* from the scheduled time to the first byte; 0: no byte arrived */
};

struct load_options {
	const char *node;     /* address of any node */
	const char *platform; /* address of the emulator, for cost and verification; NULL: none */
	const char *csv;      /* CSV file to write, with a row for each mix entry; NULL: none */
	const char *records;  /* CSV file to write, with a row for each request; NULL: none */
	double rate;	      /* requests per second */
	double seconds;	      /* duration of the load */
	int64_t deadline_ms;
	int64_t threads; /* limit of the concurrent requests */
	uint64_t seed;
	bool json;
	const char *outage_dc; /* data centre to take out of service; NULL: none */
	double outage_start_s; /* relative to the start of the load */
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
	int64_t start_us;	 /* start of the load, set before the first request */
	int64_t done;		 /* finished requests */
	int64_t outage_start_ms; /* last attempt to take the data centre out of service; 0: none */
	int64_t outage_end_ms;	 /* last attempt to return it to service; 0: none */
};

/* A scheduled request. */
struct load_job {
	struct load *load;
	struct load_entry *entry;
	int64_t number; /* of the request in the schedule, from 0 */
	int64_t scheduled_us;
};

/* Runs a struct load_job: sends the request, records its result and frees the job. */
void load_run(void *job);

/*
 * Prints the results and verifies the promises. Returns CLI_EXIT_OK, CLI_EXIT_FAULTS when a promise
 * was broken, or CLI_EXIT_UNREACHABLE when the emulator did not respond.
 */
int load_report(struct load *load);

/*
 * Takes the data centre out of service or returns it to service, by publishing an edited document.
 * Returns whether the platform accepted the document.
 */
bool load_set_dc_in_service(struct load *load, bool in_service);

#endif
