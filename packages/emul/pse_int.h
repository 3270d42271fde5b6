#ifndef EMUL_PSE_INT_H
#define EMUL_PSE_INT_H

#include "emul/pse.h"
#include "http/http_server.h"

#include <jansson.h>
#include <pthread.h>

/* A watch that waits for news. */
struct pse_watch {
	struct http_server_request *request;
	int64_t after;
	int64_t until_ms;
};

struct pse_engine {
	struct pse *p;
	char *id;
	char *service;
	char *zone;
	struct pse_engine_options options;
	struct http_server *listener;
	enum pse_fault fault;
	GHashTable *runs; /* attempt -> count */
	GHashTable *results;
	GHashTable *open; /* request -> struct pse_run */
	struct pse_seen seen;
	uint32_t next_result;
	int64_t busy_until_ms; /* of a pool's engine */
};

struct pse {
	pthread_mutex_t lock; /* guards everything below but the loop */
	pthread_t thread;
	uv_loop_t loop;
	uv_async_t wake;
	uv_timer_t tick;
	struct http_server *store;
	GArray *log; /* of struct pse_item, in the order of their writing */
	GPtrArray *watches;
	GHashTable *engines;
	GPtrArray *starting; /* engines whose listener is still to be opened by the loop */
	enum pse_store_fault store_fault;
	int64_t floor; /* revisions below are forgotten */
	uint64_t sequence;
	bool stopping;
};

struct pse_item {
	char *key;
	char *value; /* NULL: deleted */
	int64_t revision;
};

/* pse_store.c */
bool pse_store_start(struct pse *p, GError **error);
void pse_store_tick(struct pse *p, int64_t now_ms);

/* pse_engine.c */
void pse_engine_start(struct pse_engine *e);

void pse_answer_json(struct http_server_request *request, int status, json_t *root);

#endif
