/* Series of measurements and their fits; each prints one JSON line. */
#ifndef TESTS_CAPACITY_H
#define TESTS_CAPACITY_H

#include "sizes.h"

#include <stdbool.h>
#include <stddef.h>

#define CAP_POINTS_MAX 8

struct cap_series {
	const char *what;
	const char *unit;
	const char *against;
	double x[CAP_POINTS_MAX];
	double y[CAP_POINTS_MAX];
	size_t n;
};

void cap_add(struct cap_series *s, double x, double y);

/* Least squares with the standard error of the slope; "at" is the fit's value there. */
void cap_print(const struct cap_series *s, double at);

/* Processor time of this process, of this thread, and heap in use. */
double cap_process_us(void);
double cap_thread_us(void);
double cap_heap_bytes(void);

/* Resident memory of a process in bytes. */
double cap_resident_bytes(int pid);

/* What all TCP sockets of this process sent: payload, and with 52 bytes of headers a segment. */
struct cap_sent {
	double payload;
	double wire;
};
struct cap_sent cap_sent(void);

/* Parts of the program. */
void cap_peers(void);
void cap_polls(void);
void cap_nodes(void);

#endif
