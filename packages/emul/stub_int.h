#ifndef EMUL_STUB_INT_H
#define EMUL_STUB_INT_H

#include "emul/stub.h"
#include "http/http_server.h"

#include <jansson.h>
#include <pthread.h>

/* A pending watch request. */
struct stub_watch {
	struct http_server_request *request;
	int64_t after;
	int64_t until_ms;
};

struct stub_engine {
	struct stub *s;
	char *id;
	char *service;
	char *zone;
	struct stub_engine_options options;
	struct http_server *listener;
	enum stub_fault fault;
	GHashTable *runs; /* attempt -> number of runs */
	GHashTable *results;
	GHashTable *open; /* request -> struct stub_run */
	struct stub_stats stats;
	uint32_t next_result;
	int64_t busy_until_ms; /* pool engines only */
};

struct stub {
	pthread_mutex_t lock; /* guards the fields below, except the loop and its handles */
	pthread_t thread;
	uv_loop_t loop;
	uv_async_t wake;
	uv_timer_t tick;
	struct http_server *store;
	GArray *log; /* struct stub_item in order of revision */
	GPtrArray *watches;
	GHashTable *engines;
	GPtrArray *starting; /* engines whose listener the loop has yet to open */
	enum stub_store_fault store_fault;
	int64_t compacted_revision; /* newest revision at the last STUB_STORE_COMPACTED */
	uint64_t sequence;
	bool stopping;
};

struct stub_item {
	char *key;
	char *value; /* NULL: deleted */
	int64_t revision;
};

/* stub_store.c */
bool stub_store_start(struct stub *s, GError **error);
void stub_store_tick(struct stub *s, int64_t now_ms);

/* stub_engine.c */
void stub_engine_start(struct stub_engine *e);

void stub_answer_json(struct http_server_request *request, int status, json_t *root);

#endif
