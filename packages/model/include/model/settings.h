/* Settings of one node, read once at startup from a YAML file. */
#ifndef MODEL_SETTINGS_H
#define MODEL_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct settings {
	char *vm; /* id in the VM list */
	char *data_centre;
	char *caller_address;	/* host:port for callers; port 0: chosen by the kernel */
	char *admin_address;	/* host:port of the operators' listener */
	char *peer_address;	/* host:port of the listener for other nodes */
	char *platform_address; /* host:port of the configuration service and VM list */
	char *source_address;	/* IPv4 address of outgoing connections; NULL: any */
	char *admin_key;	/* bearer token of operators */
	char *log_level;
	int64_t service_threads; /* threads in each service's worker pool (bulkhead) */
	int64_t tick_ms;	 /* interval between ticks of the decision timer */
	int64_t seed;		 /* of the random number generator; 0: taken from the system */
	int64_t memory_mb;	 /* of the machine; 0: what the operating system reports */
	int64_t max_descriptors; /* that the node may open; 0: RLIMIT_NOFILE */
};

/*
 * Returns NULL with *error naming line, key and reason when the file is invalid. The caller frees
 * the result with settings_free().
 */
struct settings *settings_load(const char *path, GError **error);
void settings_free(struct settings *set);

#ifdef __cplusplus
}
#endif

#endif
