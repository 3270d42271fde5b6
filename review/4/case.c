/*
 * The operator takes away one tenant after the other, until none is left. A request whose key no
 * configuration ever held must not run, nor one with a key that was taken away.
 */
#include "../stand/stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 3
#define ENGINES 3
#define TENANTS 5
#define GAP_MS 1500
#define APPLY_MS 2500 /* configApplyMs */
#define REQUESTS 60

static char ids[ENGINES][24];
static int n_runs;

static bool serve_engine(struct request *r)
{
	char id[64] = "";
	char tenant[64] = "no tenant";
	char extra[256];
	char value[64];

	if (field(r->head, "X-Currantscale-Expect-Instance", value, sizeof(value)) &&
	    strcmp(value, r->user) != 0)
		return answer(r->fd, 421, "", "", 0);
	field(r->head, "X-Currantscale-Attempt-Id", id, sizeof(id));
	field(r->head, "X-Currantscale-Tenant", tenant, sizeof(tenant));
	__atomic_add_fetch(&n_runs, 1, __ATOMIC_RELAXED);
	record("engine %s: runs %s for %s", (const char *)r->user, id, tenant);
	snprintf(extra, sizeof(extra),
		 "X-Currantscale-Attempt-Id: %s\r\nX-Currantscale-Response-Signature: sig.%s\r\n",
		 id, id);
	return answer(r->fd, 200, extra, id, strlen(id));
}

/* Publishes a configuration with the last n of the tenants. */
static int64_t publish(int version, int n)
{
	struct text t = {0};
	int64_t acked_ms;

	text_print(&t,
		   "{\"version\":%d,\"routes\":[{\"name\":\"zapis-vazenia\","
		   "\"host\":\"register.example\",\"pathPrefix\":\"/zapis/\","
		   "\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":200,"
		   "\"priority\":2,\"maxAttempts\":1,\"service\":\"zberny-register\"}],"
		   "\"services\":[{\"name\":\"zberny-register\",\"healthPath\":\"/healthz\","
		   "\"maxConns\":100}],"
		   "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
		   "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[",
		   version);
	for (int i = TENANTS - n; i < TENANTS; i++)
		text_print(&t, "%s{\"name\":\"tenant-%d\",\"apiKeys\":[\"key-%d\"]}",
			   i > TENANTS - n ? "," : "", i, i);
	text_print(&t, "]}");
	acked_ms = store_put("op/config", t.data);
	record("operator: version %d has %d tenants", version, n);
	text_free(&t);
	return acked_ms;
}

/* Sends requests with the key to all nodes; returns how many were answered with the status. */
static int send_requests(const char *key, int n, int status)
{
	int n_found = 0;

	for (int i = 0; i < n; i++) {
		struct reply reply;
		char fields[256];
		char id[17];

		new_id(id);
		snprintf(fields, sizeof(fields),
			 "X-Currantscale-Attempt-Id: %s\r\nX-Currantscale-Deadline-Ms: 3000\r\n"
			 "X-Currantscale-Key: %s\r\n",
			 id, key);
		call(nodes[i % NODES].front, "POST", "register.example", "/zapis/2f", fields,
		     "ticket", 6, 3000, &reply);
		record("client of %s: %s with %s, status %d", nodes[i % NODES].front, id, key,
		       reply.status);
		n_found += reply.status == status;
		reply_free(&reply);
	}
	return n_found;
}

int main(int argc, char **argv)
{
	static const char *const zones[] = {"zapad-trnava", "stred-zilina", "vychod-kosice"};
	bool trouble = stand_begin(argc > 1 ? argv[1] : ".", 60);
	struct store store = {0};
	int last = trouble ? 0 : 1;
	int n_before;

	store_start(&store, "127.0.0.1");
	publish(7, TENANTS);
	for (int i = 0; i < ENGINES; i++) {
		char at[64];
		snprintf(ids[i], sizeof(ids[i]), "i-%08x", 0x6000 + i);
		serve("127.0.0.1", serve_engine, ids[i], at);
		store_put_engine(ids[i], "zberny-register", at, zones[i], 6, "ready");
	}
	nodes_start(NODES, &store);
	if (send_requests("key-0", 6, 200) < 6 || send_requests("key-unknown", 6, 401) < 6)
		cannot("the first configuration isn't in force");
	for (int n = TENANTS - 1; n >= last; n--) {
		sleep_ms(GAP_MS);
		publish(7 + 3 * (TENANTS - n), n);
	}
	sleep_ms(APPLY_MS + 1000);
	n_before = n_runs;
	send_requests("key-0", REQUESTS / 2, 401);
	send_requests("key-unknown", REQUESTS / 2, 401);
	record("%d of %d requests ran that no configuration in force allows%s", n_runs - n_before,
	       REQUESTS, n_runs > n_before ? ": BROKEN" : "");
	stand_end(n_runs > n_before ? STAND_BROKEN : STAND_OK);
}
