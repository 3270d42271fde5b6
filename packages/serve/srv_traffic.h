/* Counts the bytes that a node sends, by purpose and distance. */
#ifndef SERVE_SRV_TRAFFIC_H
#define SERVE_SRV_TRAFFIC_H

#include "peer/peer.h"

#include <glib.h>
#include <jansson.h>

struct srv;

enum srv_distance {
	SRV_SAME_DATA_CENTRE,
	SRV_SAME_REGION,
	SRV_OTHER_REGION,
	SRV_DISTANCE_UNKNOWN,
	SRV_DISTANCES_N,
};

enum srv_purpose {
	SRV_MEMBERSHIP,	       /* heartbeats */
	SRV_CHAIN_TRAFFIC,     /* chains and the load of their owners */
	SRV_VIEW_COPIES,       /* copies of the published view */
	SRV_EVIDENCE,	       /* of requests and prompt parts that crash upstreams */
	SRV_ORIGINS,	       /* of streams */
	SRV_ADVICE,	       /* what upstreams say of themselves, and permits */
	SRV_UPSTREAM_REQUESTS, /* targets and bodies of requests to upstreams */
	SRV_PURPOSES_N,
};

struct srv_traffic {
	uint64_t bytes[SRV_PURPOSES_N][SRV_DISTANCES_N];
};

/* Counts a message of so many bytes to the node with the peer address. */
void srv_traffic_note_message(struct srv *s, const char *peer_address, Peer__Message__KindCase kind,
			      size_t bytes);

/* Counts a request of so many bytes to an upstream in the data centre. */
void srv_traffic_note_request(struct srv *s, const char *data_centre, size_t bytes);

/* Returns the bytes sent over that distance by purpose, for the log. */
json_t *srv_traffic_json(const struct srv_traffic *traffic, enum srv_distance distance);

/* Appends the counts in the format of the metrics listener. */
void srv_traffic_write(const struct srv_traffic *traffic, GString *out);

#endif
