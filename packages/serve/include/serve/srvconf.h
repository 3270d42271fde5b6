/* Settings of a node that serves through an adapter: a YAML file that can be reloaded. */
#ifndef SERVE_SRVCONF_H
#define SERVE_SRVCONF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct srvconf_data_centre {
	char *name;
	char *region;
};

struct srvconf {
	char *adapter; /* name of the adapter_ops to use */
	char *vm;
	char *data_centre;
	char *region;

	/* Listeners of this node, as host:port. */
	char *caller_address;
	char *ready_address;
	char *lookup_address;  /* address lookups by callers */
	char *admin_address;   /* status and dump for operators */
	char *metrics_address; /* NULL: no metrics listener */
	char *peer_address;    /* for other nodes, over ZeroMQ */

	char *source_address; /* source of configuration and upstreams */
	char **seeds;	      /* admin addresses of some nodes; may be outdated */
	uint32_t n_seeds;
	struct srvconf_data_centre *data_centres;
	uint32_t n_data_centres;
	char *log_level;
	int64_t log_lines_per_s;

	/* Decimal numbers, to be read with srvconf_number(). */
	char *lookup_ttl_s;
	char *stop_grace_s;
	char *retry_ratio;
	char *retry_window_s;
	char *retry_slack;
	char *cold_factor;
	char *cold_slack;
	bool first_start;    /* the whole system starts, and served nothing before */
	char **switched_off; /* names of policies */
	uint32_t n_switched_off;
	uint32_t policies_off; /* the same as bits, see policy_is_on() */
	char *heartbeat_ms;    /* interval between heartbeats of upstreams to the source */
	char *cpu_share;       /* cores that the node may use; 0: unknown */
	char *memory_mb;       /* of the machine; 0: what the operating system reports */
	char *max_descriptors; /* that the node may open; 0: RLIMIT_NOFILE */
	char *engine_share;    /* see spread_set_share(); 0: SPREAD_SHARE */
};

/* True if the file has the "adapter" key, which marks the settings of a node with an adapter. */
bool srvconf_has_adapter(const char *path);

/* Returns NULL with line, key and reason in *error. Release with srvconf_free(). */
struct srvconf *srvconf_load(const char *path, GError **error);
void srvconf_free(struct srvconf *set);

/* Parses a number that srvconf_load() has validated. */
double srvconf_number(const char *text);

/* Returns the region of a data centre, "" if unknown. */
const char *srvconf_region_of(const struct srvconf *set, const char *data_centre);

#endif
