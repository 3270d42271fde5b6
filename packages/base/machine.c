#include "base/machine.h"

#include <glib.h>
#include <sys/resource.h>
#include <unistd.h>

#define BYTES_PER_MB (1024.0 * 1024.0)
/*
 * Of the smallest machine's 160 MB, control may take 64 in a large fleet, and the kernel 20 for
 * connections that the process hasn't read yet. Answers, upstream connections and what the
 * allocator can't return share the rest with requests.
 */
#define MACHINE_REQUEST_SHARE 0.2
/* Kept for files, logs and the process itself; of few descriptors, a quarter. */
#define MACHINE_FILES 200
#define MACHINE_FILES_SHARE 0.25
/*
 * A request in progress holds its caller's connection and one to an upstream, so callers get two
 * fifths. The last fifth is for other nodes, the source and the other listeners.
 */
#define MACHINE_CALLERS_SHARE 0.4
#define MACHINE_OTHER_SHARE 0.025
#define MACHINE_OTHER_MIN 3
#define MACHINE_OTHER_MAX 64

static double memory_bytes(double memory_mb)
{
	if (memory_mb > 0)
		return memory_mb * BYTES_PER_MB;
	return (double)sysconf(_SC_PHYS_PAGES) * (double)sysconf(_SC_PAGESIZE);
}

static double descriptors(double max)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return max;
	return max > 0 ? MIN(max, (double)limit.rlim_cur) : (double)limit.rlim_cur;
}

struct machine_share machine_share(double memory_mb, double max_descriptors)
{
	double all = MIN(descriptors(max_descriptors), (double)G_MAXINT32);
	double free = all - MIN(MACHINE_FILES, all * MACHINE_FILES_SHARE);

	return (struct machine_share){
		.request_bytes = (int64_t)(memory_bytes(memory_mb) * MACHINE_REQUEST_SHARE),
		.callers = (uint32_t)(free * MACHINE_CALLERS_SHARE),
		.other_connections = (uint32_t)CLAMP(free * MACHINE_OTHER_SHARE, MACHINE_OTHER_MIN,
						     MACHINE_OTHER_MAX),
	};
}
