/* Internal declarations of the fault proxy. */
#ifndef EMUL_PROXY_INT_H
#define EMUL_PROXY_INT_H

#include "base/prng.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#define PROXY_NAME_BYTES 80
#define PROXY_ADDRESS_BYTES 64

/* Faults of the connections from a source address to a destination. */
struct proxy_faults {
	int64_t delay_ms;	 /* per direction, added to the latency between regions */
	int64_t jitter_ms;	 /* maximum extra delay, drawn per connection */
	int64_t cut_after_bytes; /* resets after that many bytes from the source; -1: never */
	int64_t cut_answer_after_bytes; /* resets after that many bytes to the source; -1: never */
	int64_t black_hole;   /* delays all data until cleared, as TCP retransmission would */
	int64_t one_way;      /* holds data from the source to the destination */
	int64_t one_way_back; /* holds data from the destination to the source */
	int64_t drip_bps;     /* bytes per second in each direction; 0: unlimited */
	int64_t refuse;	      /* resets new and open connections */
};

struct proxy_rule {
	char *from; /* source IPv4 address; "*": any */
	char *to;   /* pattern of destination names; "*" matches any substring */
	struct proxy_faults faults;
};

struct proxy_listener {
	int fd;
	char to[PROXY_NAME_BYTES]; /* upstream, "platform" or "peer:VM" */
	char address[PROXY_ADDRESS_BYTES];
	char target[PROXY_ADDRESS_BYTES];
	char data_centre[PROXY_NAME_BYTES]; /* "": in none */
};

/* Bytes forwarded between a source and a destination. */
struct proxy_traffic {
	char from[PROXY_NAME_BYTES];
	char to[PROXY_NAME_BYTES];
	char from_region[PROXY_NAME_BYTES];
	char to_region[PROXY_NAME_BYTES];
	int64_t price_per_gb_cents;
	int64_t connections;
	int64_t bytes_up;
	int64_t bytes_down;
};

struct proxy_block {
	int64_t ready_ms;
	GByteArray *bytes; /* NULL: end of stream */
	guint at;	   /* offset of the first byte not yet written */
};

/* One direction of a connection. */
struct proxy_direction {
	int in;
	int out;
	GQueue blocks;	/* struct proxy_block, oldest first */
	int64_t queued; /* bytes in blocks */
	int64_t read;
	int64_t written;
	bool eof_read; /* end of stream was read from in */
	bool eof_sent; /* end of stream was forwarded to out */
	bool blocked;  /* the last write would have blocked */
	double credit; /* bytes that drip_bps allows now */
	int64_t credit_ms;
};

struct proxy_server;

struct proxy_conn {
	struct proxy_server *proxy;
	struct proxy_direction up; /* from the source to the destination */
	struct proxy_direction down;
	uint32_t client_events; /* events registered with epoll */
	uint32_t server_events;
	char from[PROXY_ADDRESS_BYTES];
	char to[PROXY_NAME_BYTES];
	struct proxy_faults faults;
	int64_t latency_ms; /* between the regions of source and destination */
	int64_t jitter_ms;
	struct proxy_traffic *traffic;
	bool timed;  /* has data that is due later */
	bool closed; /* freed by the next sweep */
};

struct proxy_server {
	pthread_mutex_t lock; /* guards the fields below, except file descriptors */
	pthread_t thread;
	bool started;
	bool stopping;
	int epoll;
	int wake;
	GPtrArray *listeners;
	GHashTable *conns; /* set of struct proxy_conn */
	GPtrArray *rules;  /* struct proxy_rule, newest last */
	GHashTable *traffic;
	GHashTable *sources; /* source address -> data centre */
	const struct cfg *cfg;
	bool latency; /* applies the configured latency between regions */
	struct prng prng;
};

/* proxy_conn.c: the caller holds proxy->lock. */
void proxy_conn_open(struct proxy_server *proxy, const struct proxy_listener *listener, int client,
		     const char *from);
/* Forwards the data that is due; sets conn->closed once the connection has ended. */
void proxy_conn_pump(struct proxy_conn *conn, int64_t now_ms);
void proxy_conn_free(struct proxy_conn *conn);

/* proxy_rules.c: the caller holds proxy->lock. */
void proxy_find_faults(const struct proxy_server *proxy, const char *from, const char *to,
		       struct proxy_faults *faults);
/*
 * Finds or creates the traffic entry of a pair; sets *latency_ms to the latency between its
 * regions.
 */
struct proxy_traffic *proxy_find_traffic(struct proxy_server *proxy, const char *from,
					 const struct proxy_listener *listener,
					 int64_t *latency_ms);
json_t *proxy_traffic_json(const struct proxy_server *proxy);
json_t *proxy_rules_json(const struct proxy_server *proxy);
/*
 * Sets the rule for a pair of source and destination. {} removes all rules; a rule without faults
 * removes that of its pair. False if json is not a valid rule.
 */
bool proxy_change_rules(struct proxy_server *proxy, json_t *json);
void proxy_rule_free(void *rule);

#endif
