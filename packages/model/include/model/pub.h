/*
 * What the platform publishes, decoded: routes, services, client accounts, upstreams and data
 * centres that are out of service. A document is immutable once read and counted by reference, so
 * that a request keeps the one under which it began.
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

/* What may be repeated. */
enum pub_kind {
	PUB_KIND_IDEMPOTENT,
	PUB_KIND_ONCE,	 /* at most one run for each attempt of a caller */
	PUB_KIND_STREAM, /* a series of events; runs once unless the route is resumable */
};

struct pub_stage {
	char *service;
	uint32_t after; /* bit i: needs the results of stage i */
	int64_t result_bytes;
};

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
	int64_t aim_ms;	    /* a later answer earns less */
	int64_t gap_aim_ms; /* longest pause between events; 0: none stated */
	int32_t rank;	    /* 0 is the most urgent */
	struct pub_share *shares;
	uint32_t n_shares;
	int32_t max_upstreams; /* that one attempt may be sent to */
	struct pub_stage *stages;
	uint32_t n_stages;
	bool is_public; /* needs no key */
	bool resumable;
	char **regions; /* where it may be served; NULL: anywhere */
};

/* A model engine's limits. */
struct pub_engine {
	bool present;
	int64_t slots;
	int64_t kv_tokens;
	int64_t handle_ms;
};

/* A pool that works on pieces of stages, by calls that hold several. */
struct pub_pool {
	bool present;
	int32_t slots; /* calls in progress at a time */
	int32_t queue_depth;
	int32_t batch_size;
	double call_ms;
	double piece_ms;
	int64_t room_bytes; /* for results, at one upstream */
	int64_t handle_ms;  /* a result is kept this long unless it is freed */
};

struct pub_service {
	char *name;
	int32_t max_connections; /* of one upstream, over all callers */
	double cold_ms;		 /* after a start */
	double cold_per_s;	 /* requests that a cold upstream bears; 0: no limit */
	struct pub_engine engine;
	struct pub_pool pool;
};

struct pub_account {
	char *name;
	char **keys;
	int32_t rank; /* goes before the route's; -1: none of its own */
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
	struct pub_limits limits;
	GHashTable *by_key; /* key -> struct pub_account */
	char *source;	    /* its text as it was published, for other nodes; NULL: not kept */
	int refs;
};

struct pub_upstream {
	char *id;
	char *service;
	char *address;
	char *data_centre;
	bool leaving;
	int64_t cold_left_ms; /* as of the entry's writing */
	int64_t slots;
	int64_t born_ms;  /* wall time of its start; 0: not stated */
	int64_t sequence; /* counts what it did; starts anew with each start */
};

/* An empty document, for a reader to fill; ends with pub_doc_build_index(). */
struct pub_doc *pub_doc_new(void);

/* Builds the indexes. */
void pub_doc_build_index(struct pub_doc *doc);

struct pub_doc *pub_doc_ref(struct pub_doc *doc);
void pub_doc_unref(struct pub_doc *doc);

/* The route of that host with the longest prefix that begins the path; NULL when there is none. */
const struct pub_route *pub_find_route(const struct pub_doc *doc, const char *host,
				       const char *path);
const struct pub_service *pub_find_service(const struct pub_doc *doc, const char *name);
const struct pub_account *pub_find_account(const struct pub_doc *doc, const char *key);

/* True when the region is among them, or regions is NULL. */
bool pub_allows_region(char *const *regions, const char *region);

void pub_upstream_free(struct pub_upstream *upstream);

#ifdef __cplusplus
}
#endif

#endif
