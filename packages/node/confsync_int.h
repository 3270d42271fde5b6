/* State of the configuration synchronisation, shared by the files of the module. */
#ifndef NODE_CONFSYNC_INT_H
#define NODE_CONFSYNC_INT_H

#include "base/prng.h"
#include "decide/cfgrev.h"
#include "node/node.h"

/* An accepted section, as read by the peer thread. */
struct confsync_view {
	int64_t revision;
	uint64_t hash;
	GBytes *text; /* NULL for none */
};

/* The last request for a section; prevents concurrent requests for the same text. */
struct confsync_request {
	uint64_t hash;
	int64_t at_ms;
};

struct confsync {
	pthread_mutex_t lock; /* guards cfgrev and active; held while a section is parsed */
	struct cfgrev *cfgrev;
	pthread_mutex_t view_lock; /* innermost; guards the fields down to prng, not active */
	struct confsync_view views[CFG_SECTIONS];
	/* newest versions that peers reported; text is NULL */
	struct confsync_view newest[CFG_SECTIONS];
	struct confsync_request requests[CFG_SECTIONS];
	GHashTable *peers_seen; /* ids of the VMs that sent a digest */
	bool service_answered;
	bool active; /* set once accepted sections may be put in force; guarded by lock */
	int64_t started_ms;
	struct prng prng;
	pthread_mutex_t send_lock; /* guards stopped; held during a send */
	bool stopped;
};

/* confsync.c */
/* Returns whether accepted sections may be put in force. */
bool confsync_is_active(struct confsync *m);
/* Accepts those sections that are newer; puts them in force and announces them to other nodes. */
void confsync_offer(struct node_server *n, const struct cfg_section_text texts[CFG_SECTIONS],
		    enum cfgrev_source source);
/* Returns whether the view is older than the version with this revision and hash. */
bool confsync_is_behind(const struct confsync_view *view, int64_t revision, uint64_t hash);

/* confsync_msg.c */
/* Returns the nodes in the VM list except this one: struct target of confsync_msg.c. */
GArray *confsync_listed_nodes(struct node_server *n);
/* Sends digests to as many of these nodes as fanout says, drawn at random. */
void confsync_send_digests(struct node_server *n, uint32_t fanout);

#endif
