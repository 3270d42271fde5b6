/* Settings of a node that serves through an adapter, read from a YAML file and read again later. */
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
	char *adapter; /* name of the platform that it speaks to */
	char *vm;
	char *data_centre;
	char *region;
	char *caller_address; /* host:port of the listeners */
	char *ready_address;
	char *lookup_address;  /* of those who ask which address to use */
	char *admin_address;   /* of operators: status and dump */
	char *metrics_address; /* NULL: none */
	char *peer_address;    /* of other nodes, over ZeroMQ */
	char *source_address;  /* of the source of configuration and upstreams */
	char **seeds;	       /* admin addresses of some nodes; stale at times */
	uint32_t n_seeds;
	struct srvconf_data_centre *data_centres;
	uint32_t n_data_centres;
	char *log_level;
	int64_t log_lines_per_s;
	char *lookup_ttl_s; /* numbers with fractions are read by srvconf_number() */
	char *stop_grace_s;
	char *retry_ratio;
	char *retry_window_s;
	char *retry_slack;
	char *cold_factor;
	char *cold_slack;
};

/* True when the file names an adapter: it is for this kind of node. */
bool srvconf_has_adapter(const char *path);

/* NULL with *error naming line, key and reason. The caller frees with srvconf_free(). */
struct srvconf *srvconf_load(const char *path, GError **error);
void srvconf_free(struct srvconf *set);

/* A number that srvconf_load() has checked. */
double srvconf_number(const char *text);

/* The region of a data centre; "" when it is not known. */
const char *srvconf_region_of(const struct srvconf *set, const char *data_centre);

#endif
