/* Shared by the parts of the fault proxy; not for other packages. */
#ifndef EMUL_PROXY_INT_H
#define EMUL_PROXY_INT_H

#include "base/rnd.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#define PROXY_NAME_BYTES 80
#define PROXY_ADDRESS_BYTES 64

/* Faults of the links from a source address to a destination. */
struct proxy_faults {
	int64_t delay_ms;		/* in each direction, beside the latency of the regions */
	int64_t jitter_ms;		/* up to this more, drawn for each connection */
	int64_t cut_after_bytes;	/* resets once so many came from the source; -1: never */
	int64_t cut_answer_after_bytes; /* resets once so many went back to it; -1: never */
	int64_t black_hole;		/* nothing passes; it waits, as TCP would send it again */
	int64_t one_way;		/* nothing passes from the source to the destination */
	int64_t one_way_back;		/* nothing passes from the destination to the source */
	int64_t drip_bps;		/* bytes a second in each direction; 0: unbounded */
	int64_t refuse;			/* resets new connections and those that stand */
};

struct proxy_rule {
	char *from; /* source IPv4 address; "*": any */
	char *to;   /* "*" matches any part of a destination's name */
	struct proxy_faults faults;
};

struct proxy_listener {
	int fd;
	char to[PROXY_NAME_BYTES]; /* upstream, "platform" or "peer:VM" */
	char address[PROXY_ADDRESS_BYTES];
	char target[PROXY_ADDRESS_BYTES];
	char data_centre[PROXY_NAME_BYTES]; /* "": of no region */
};

/* Bytes passed on between a source and a destination. */
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
	GByteArray *bytes; /* NULL: the end of the direction */
	guint at;
};

/* One direction of a connection. */
struct proxy_direction {
	int in;
	int out;
	GQueue blocks; /* of struct proxy_block */
	int64_t queued;
	int64_t read;
	int64_t written;
	bool ended;    /* end of the input was read */
	bool done;     /* end was passed on */
	bool blocked;  /* the last write found no room */
	double credit; /* bytes that may drip now */
	int64_t credit_ms;
};

struct proxy_server;

struct proxy_conn {
	struct proxy_server *proxy;
	struct proxy_direction up; /* from the source to the destination */
	struct proxy_direction down;
	uint32_t client_events; /* registered with epoll */
	uint32_t server_events;
	char from[PROXY_ADDRESS_BYTES];
	char to[PROXY_NAME_BYTES];
	struct proxy_faults faults;
	int64_t latency_ms; /* of the link between the regions */
	int64_t jitter_ms;
	struct proxy_traffic *traffic;
	bool timed;  /* waits for a time */
	bool closed; /* to be freed */
};

struct proxy_server {
	pthread_mutex_t lock; /* guards all below but the descriptors */
	pthread_t thread;
	bool started;
	bool stopping;
	int epoll;
	int wake;
	GPtrArray *listeners;
	GHashTable *conns; /* set of struct proxy_conn */
	GPtrArray *rules;  /* newest last */
	GHashTable *traffic;
	GHashTable *sources; /* source address -> data centre */
	const struct cfg *cfg;
	bool latency; /* links between regions have the latency of the document */
	struct rnd rnd;
};

/* prx_con.c: proxy->lock held. */
void proxy_conn_open(struct proxy_server *proxy, const struct proxy_listener *listener, int client,
		     const char *from);
/* Moves what can move; sets closed when nothing is left. */
void proxy_conn_pump(struct proxy_conn *conn, int64_t now_ms);
void proxy_conn_free(struct proxy_conn *conn);

/* prx_rul.c: proxy->lock held. */
void proxy_find_faults(const struct proxy_server *proxy, const char *from, const char *to,
		       struct proxy_faults *faults);
/* Traffic of a pair; made when there is none; *latency_ms of its regions. */
struct proxy_traffic *proxy_find_traffic(struct proxy_server *proxy, const char *from,
					 const struct proxy_listener *listener,
					 int64_t *latency_ms);
json_t *proxy_traffic_json(const struct proxy_server *proxy);
json_t *proxy_rules_json(const struct proxy_server *proxy);
/* {} clears all; a rule without faults is cleared. False when json is no rule. */
bool proxy_change_rules(struct proxy_server *proxy, json_t *json);
void proxy_rule_free(void *rule);

#endif
