/*
 * An engine's entry is removed from the store, and the engine serves on for a while. The store
 * cuts each watch that waits for 0.8 s. No request may reach the engine once drainMs have
 * passed since the removal was acknowledged.
 */
#include "../stand/stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 7
#define ENGINES 3
#define LOOKUPS 500
#define LOOKUP_MS 40 /* between two: 25 a second */
#define WORK_MS 30
#define REMOVE_AT 150	/* the lookup at which the entry is removed: after 6 s */
#define LINGER_MS 12000 /* for which the engine serves after that */
#define DRAIN_MS 2500
#define CUT_AFTER_MS 800

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"stav-zberu\",\"host\":\"register.example\","
	"\"pathPrefix\":\"/stav/\",\"kind\":\"idempotent\",\"timeoutMs\":1500,"
	"\"targetLatencyMs\":200,\"priority\":2,\"maxAttempts\":2,"
	"\"service\":\"zberny-register\"}],"
	"\"services\":[{\"name\":\"zberny-register\",\"healthPath\":\"/healthz\","
	"\"maxConns\":100}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000},"
	"\"tenants\":[{\"name\":\"zdruzenie\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";

struct lookup {
	const struct node *node;
	char id[17];
	struct reply reply;
	pthread_t thread;
};

static struct lookup lookups[LOOKUPS];
static char ids[ENGINES][24];
static volatile int64_t removed_ms; /* when the store acknowledged it; 0: not yet */
static int n_late;
static int64_t last_late_ms;

static bool serve_engine(struct request *r)
{
	const char *name = r->user;
	char id[64] = "";
	char extra[256];
	char value[64];
	int64_t late_ms;

	if (field(r->head, "X-Currantscale-Expect-Instance", value, sizeof(value)) &&
	    strcmp(value, name) != 0)
		return answer(r->fd, 421, "", "", 0);
	field(r->head, "X-Currantscale-Attempt-Id", id, sizeof(id));
	late_ms = removed_ms > 0 ? now_ms() - removed_ms : 0;
	if (strcmp(name, ids[0]) == 0 && late_ms > DRAIN_MS) {
		__atomic_add_fetch(&n_late, 1, __ATOMIC_RELAXED);
		last_late_ms = late_ms;
		record("engine %s: BROKEN, gets %s %lld ms after its removal was acknowledged",
		       name, id, (long long)late_ms);
	} else {
		record("engine %s: runs %s", name, id);
	}
	sleep_ms(WORK_MS);
	snprintf(extra, sizeof(extra),
		 "X-Currantscale-Attempt-Id: %s\r\nX-Currantscale-Response-Signature: sig.%s\r\n",
		 id, id);
	return answer(r->fd, 200, extra, id, strlen(id));
}

static void *run_lookup(void *arg)
{
	struct lookup *l = arg;
	char fields[256];

	snprintf(fields, sizeof(fields),
		 "X-Currantscale-Attempt-Id: %s\r\nX-Currantscale-Deadline-Ms: 3000\r\n"
		 "X-Currantscale-Key: key-1\r\n",
		 l->id);
	call(l->node->front, "GET", "register.example", "/stav/2f", fields, "", 0, 3000, &l->reply);
	return NULL;
}

int main(int argc, char **argv)
{
	static const char *const zones[] = {"zapad-trnava", "stred-zilina", "vychod-kosice"};
	bool trouble = stand_begin(argc > 1 ? argv[1] : ".", 60);
	struct store store = {0};
	char key[64];
	int n_served = 0;

	store_start(&store, "127.0.0.1");
	store_put("op/config", config);
	for (int i = 0; i < ENGINES; i++) {
		char at[64];
		snprintf(ids[i], sizeof(ids[i]), "i-%08x", 0x4000 + i);
		serve("127.0.0.1", serve_engine, ids[i], at);
		store_put_engine(ids[i], "zberny-register", at, zones[i], 6, "ready");
	}
	nodes_start(NODES, &store);
	if (trouble) {
		record("store: cuts each watch that waits for %d ms from now on", CUT_AFTER_MS);
		store.cut_after_ms = CUT_AFTER_MS;
	}
	snprintf(key, sizeof(key), "servers/%s", ids[0]);
	for (int i = 0; i < LOOKUPS; i++) {
		lookups[i].node = &nodes[i % NODES];
		new_id(lookups[i].id);
		pthread_create(&lookups[i].thread, NULL, run_lookup, &lookups[i]);
		if (i == REMOVE_AT)
			removed_ms = store_delete(key);
		if (removed_ms > 0 && now_ms() - removed_ms > LINGER_MS) {
			for (int k = 0; k <= i; k++)
				pthread_join(lookups[k].thread, NULL);
			for (int k = 0; k <= i; k++)
				n_served += lookups[k].reply.status == 200;
			record("%d of %d lookups were served; %d reached the engine that was gone, "
			       "the last %lld ms after the ack",
			       n_served, i + 1, n_late, (long long)last_late_ms);
			if (n_served < i / 2)
				cannot("most lookups weren't served");
			stand_end(n_late > 0 ? STAND_BROKEN : STAND_OK);
		}
		sleep_ms(LOOKUP_MS);
	}
	cannot("too few lookups");
}
