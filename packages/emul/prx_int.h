/* Shared by the parts of the fault proxy; not for other packages. */
#ifndef EMUL_PRX_INT_H
#define EMUL_PRX_INT_H

#include "base/prng.h"

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#define PRX_NAME_BYTES 80
#define PRX_ADDRESS_BYTES 64

/* Faults of the links from a source address to a destination. */
struct prx_faults {
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

struct prx_rule {
	char *from; /* source IPv4 address; "*": any */
	char *to;   /* "*" matches any part of a destination's name */
	struct prx_faults faults;
};

struct prx_listener {
	int fd;
	char to[PRX_NAME_BYTES]; /* upstream, "platform" or "peer:VM" */
	char address[PRX_ADDRESS_BYTES];
	char target[PRX_ADDRESS_BYTES];
	char data_centre[PRX_NAME_BYTES]; /* "": of no region */
};

/* Bytes passed on between a source and a destination. */
struct prx_traffic {
	char from[PRX_NAME_BYTES];
	char to[PRX_NAME_BYTES];
	char from_region[PRX_NAME_BYTES];
	char to_region[PRX_NAME_BYTES];
	int64_t price_per_gb_cents;
	int64_t connections;
	int64_t bytes_up;
	int64_t bytes_down;
};

struct prx_block {
	int64_t ready_ms;
	GByteArray *bytes; /* NULL: the end of the direction */
	guint at;
};

/* One direction of a connection. */
struct prx_half {
	int in;
	int out;
	GQueue blocks; /* of struct prx_block */
	int64_t queued;
	int64_t read;
	int64_t written;
	bool ended;    /* end of the input was read */
	bool done;     /* end was passed on */
	bool blocked;  /* the last write found no room */
	double credit; /* bytes that may drip now */
	int64_t credit_ms;
};

struct emu_proxy;

struct prx_conn {
	struct emu_proxy *proxy;
	struct prx_half up; /* from the source to the destination */
	struct prx_half down;
	uint32_t client_events; /* registered with epoll */
	uint32_t server_events;
	char from[PRX_ADDRESS_BYTES];
	char to[PRX_NAME_BYTES];
	struct prx_faults faults;
	int64_t latency_ms; /* of the link between the regions */
	int64_t jitter_ms;
	struct prx_traffic *traffic;
	bool timed;  /* waits for a time */
	bool closed; /* to be freed */
};

struct emu_proxy {
	pthread_mutex_t lock; /* guards all below but the descriptors */
	pthread_t thread;
	bool started;
	bool stopping;
	int epoll;
	int wake;
	GPtrArray *listeners;
	GHashTable *conns; /* set of struct prx_conn */
	GPtrArray *rules;  /* newest last */
	GHashTable *traffic;
	GHashTable *sources; /* source address -> data centre */
	const struct cfg *cfg;
	bool latency; /* links between regions have the latency of the document */
	struct prng prng;
};

/* prx_con.c: proxy->lock held. */
void prx_conn_open(struct emu_proxy *proxy, const struct prx_listener *listener, int client,
		   const char *from);
/* Moves what can move; sets closed when nothing is left. */
void prx_conn_pump(struct prx_conn *conn, int64_t now_ms);
void prx_conn_free(struct prx_conn *conn);

/* prx_rul.c: proxy->lock held. */
void prx_find_faults(const struct emu_proxy *proxy, const char *from, const char *to,
		     struct prx_faults *faults);
/* Traffic of a pair; made when there is none; *latency_ms of its regions. */
struct prx_traffic *prx_find_traffic(struct emu_proxy *proxy, const char *from,
				     const struct prx_listener *listener, int64_t *latency_ms);
json_t *prx_traffic_json(const struct emu_proxy *proxy);
json_t *prx_rules_json(const struct emu_proxy *proxy);
/* {} clears all; a rule without faults is cleared. False when json is no rule. */
bool prx_change_rules(struct emu_proxy *proxy, json_t *json);
void prx_rule_free(void *rule);

#endif
