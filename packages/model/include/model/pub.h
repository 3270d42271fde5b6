/*
 * Decoded form of what the platform publishes: a configuration of routes, services and client
 * accounts, and entries of upstreams. A document is immutable once read and reference-counted, so
 * that a request keeps the version under which it began.
 */
#ifndef MODEL_PUB_H
#define MODEL_PUB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define PUB_STAGES_MAX 16

/* Whether a request may be run more than once. */
enum pub_kind {
	PUB_KIND_IDEMPOTENT,
	PUB_KIND_ONCE,	 /* at most one run per attempt of the caller */
	PUB_KIND_STREAM, /* a series of events; runs once unless the route is resumable */
};

struct pub_stage {
	char *service;
	uint32_t after; /* bit i: depends on the results of stage i */
	int64_t result_bytes;
};

/* Share of a route's traffic that a service gets. */
struct pub_share {
	char *service;
	double weight;
};

struct pub_route {
	char *name;
	char *host;
	char *path_prefix;
	enum pub_kind kind;
	int64_t timeout_ms;
	int64_t aim_ms;	    /* latency objective; a later answer is worth less */
	int64_t gap_aim_ms; /* objective for the gap between events; 0: none */
	int32_t rank;	    /* 0 is the most urgent */
	struct pub_share *shares;
	uint32_t n_shares;
	int32_t max_upstreams; /* number of upstreams that one attempt may be sent to */
	struct pub_stage *stages;
	uint32_t n_stages;
	bool is_public; /* needs no API key */
	bool resumable;
	char **regions; /* regions that may serve the route; NULL: all */
};

/* Limits of a model engine. */
struct pub_engine {
	bool present;
	int64_t slots;
	int64_t kv_tokens;
	int64_t handle_ms;
};

/* A pool of workers that run the tasks (pieces) of stages, several batched in one call. */
struct pub_pool {
	bool present;
	int32_t slots; /* concurrent calls per upstream */
	int32_t queue_depth;
	int32_t batch_size;
	double call_ms;	    /* fixed time per call */
	double piece_ms;    /* additional time per task */
	int64_t room_bytes; /* storage for results at one upstream */
	int64_t handle_ms;  /* time after which a stored result expires unless it is freed */
};

struct pub_service {
	char *name;
	int32_t max_connections; /* per upstream, over all callers */
	double cold_ms;		 /* duration of the cold start */
	double cold_per_s; /* requests per second during the cold start; above 0 if cold_ms is */
	struct pub_engine engine;
	struct pub_pool pool;
};

struct pub_account {
	char *name;
	char **keys;
	int32_t rank; /* takes precedence over the rank of the route; -1: not set */
	char **regions;
};

struct pub_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

struct pub_doc {
	int64_t version;
	struct pub_route *routes;
	uint32_t n_routes;
	struct pub_service *services;
	uint32_t n_services;
	struct pub_account *accounts;
	uint32_t n_accounts;
	bool needs_key; /* requests need an account's key, even if there are no accounts */
	struct pub_limits limits;
	GHashTable *by_key; /* key -> struct pub_account */
	char *source;	    /* text as published, sent to other nodes; NULL: not kept */
	int refs;
};

struct pub_upstream {
	char *id;
	char *service;
	char *address;
	char *data_centre;
	char *version; /* of its software; upstreams of several may serve a service */
	bool leaving;
	int64_t cold_left_ms; /* remaining cold start when the entry was written */
	int64_t slots;
	int64_t born_ms;  /* wall time of the upstream's start; 0: unknown */
	int64_t sequence; /* event counter; reset at each start */
};

/* Returns an empty document. The reader fills it, then calls pub_doc_build_index(). */
struct pub_doc *pub_doc_new(void);

/* Builds the index of client accounts by API key. */
void pub_doc_build_index(struct pub_doc *doc);

struct pub_doc *pub_doc_ref(struct pub_doc *doc);
void pub_doc_unref(struct pub_doc *doc);

/* Return NULL when there is no match. A route is matched by host and longest path prefix. */
const struct pub_route *pub_find_route(const struct pub_doc *doc, const char *host,
				       const char *path);
const struct pub_service *pub_find_service(const struct pub_doc *doc, const char *name);
const struct pub_account *pub_find_account(const struct pub_doc *doc, const char *key);

/* Returns whether regions contains region; NULL allows all regions. */
bool pub_allows_region(char *const *regions, const char *region);

/*
 * Returns whether requests to the host may be bound to regions: by a route of the host, or by an
 * account, as the caller's account isn't known before the request. host NULL: any host.
 */
bool pub_is_host_bound(const struct pub_doc *doc, const char *host);

void pub_upstream_free(struct pub_upstream *upstream);

#ifdef __cplusplus
}
#endif

#endif
