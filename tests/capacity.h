/* Measurement series with linear fits; each prints one JSON line. */
#ifndef TESTS_CAPACITY_H
#define TESTS_CAPACITY_H

#include "sizes.h"

#include <stdbool.h>
#include <stddef.h>

#define CAP_POINTS_MAX 8

struct cap_series {
	const char *what;    /* meaning of y */
	const char *unit;    /* of y */
	const char *against; /* meaning of x */
	double x[CAP_POINTS_MAX];
	double y[CAP_POINTS_MAX];
	size_t n; /* number of points */
};

void cap_add(struct cap_series *s, double x, double y);

/* Prints a least-squares fit, the standard error of its slope, and its value at x = at. */
void cap_print(const struct cap_series *s, double at);

/* CPU time of this process, CPU time of this thread, and heap bytes in use. */
double cap_process_us(void);
double cap_thread_us(void);
double cap_heap_bytes(void);

/* Resident memory of a process. */
double cap_resident_bytes(int pid);

/* Bytes sent by all TCP sockets of this process; wire adds 52 bytes of headers per segment. */
struct cap_sent {
	double payload;
	double wire;
};
struct cap_sent cap_sent(void);

/* Each runs one group of measurements and prints its series. */
void cap_peers(void);
void cap_polls(void);
void cap_nodes(void);

#endif
