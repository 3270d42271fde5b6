/* What the machine allows a process, and the parts of it that are set apart for callers. */
#ifndef BASE_MACHINE_H
#define BASE_MACHINE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct machine_share {
	int64_t request_bytes;	    /* for all requests that are read or answered */
	uint32_t callers;	    /* connections of callers */
	uint32_t other_connections; /* of each of the other listeners */
};

/* 0 stands for what the operating system reports. */
struct machine_share machine_share(double memory_mb, double max_descriptors);

#ifdef __cplusplus
}
#endif

#endif
