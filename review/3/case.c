/*
 * An engine answers with a stream that has no length and ends with its connection. The node that
 * passes it on is killed in the middle. What the client has must not look like a complete answer.
 */
#include "../stand/stand.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NODES 7
#define ENGINES 9
#define STREAMS_PER_NODE 40 /* one of them is without a length: a share of 0.025 */
#define EVENTS 60
#define EVENT_MS 50
#define KILL_AT_MS 1500
#define RESTART_MS 1000

static const char config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"navrh-trasy\",\"host\":\"trasy.example\","
	"\"pathPrefix\":\"/trasy/\",\"kind\":\"streaming\",\"timeoutMs\":20000,"
	"\"targetLatencyMs\":1800,\"gapAimMs\":250,\"priority\":2,\"maxAttempts\":1,"
	"\"sticky\":true,\"service\":\"jazykovy-model\"}],"
	"\"services\":[{\"name\":\"jazykovy-model\",\"healthPath\":\"/healthz\",\"maxConns\":490,"
	"\"coldStartS\":3.0,\"coldPerS\":9.4,\"engine\":{\"slots\":96,\"kvTokens\":255091}}],"
	"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000},"
	"\"tenants\":[{\"name\":\"zdruzenie\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";

struct stream {
	const struct node *node;
	char id[17];
	struct reply reply;
	pthread_t thread;
};

static struct stream streams[NODES * STREAMS_PER_NODE];

/* Each request's number is in its id. */
static bool is_without_length(const char *id)
{
	return strtoul(id + 8, NULL, 16) % STREAMS_PER_NODE == 0;
}

static void event_text(const char *id, int i, char out[128])
{
	snprintf(out, 128, "id: %d\ndata: part %d of %s................\n\n", i, i, id);
}

static bool serve_engine(struct request *r)
{
	char id[64] = "";
	char head[512];
	char event[128];
	char chunk[192];
	bool chunked;

	field(r->head, "X-Currantscale-Attempt-Id", id, sizeof(id));
	chunked = !is_without_length(id);
	record("engine %s: runs %s, its answer has %s", (const char *)r->user, id,
	       chunked ? "chunks" : "no length");
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		 "X-Currantscale-Attempt-Id: %s\r\n"
		 "X-Currantscale-Response-Signature: sig.%s\r\n"
		 "X-Currantscale-Weight-Versions: 1\r\n%s\r\n",
		 id, id, chunked ? "Transfer-Encoding: chunked\r\n" : "Connection: close\r\n");
	sleep_ms(100);
	if (!send_all(r->fd, head, strlen(head)))
		return false;
	for (int i = 1; i <= EVENTS; i++) {
		event_text(id, i, event);
		if (chunked)
			snprintf(chunk, sizeof(chunk), "%zx\r\n%s\r\n", strlen(event), event);
		else
			snprintf(chunk, sizeof(chunk), "%s", event);
		if (!send_all(r->fd, chunk, strlen(chunk)))
			return false;
		sleep_ms(EVENT_MS);
	}
	if (chunked)
		return send_all(r->fd, "0\r\n\r\n", 5);
	record("engine %s: the whole answer to %s is sent", (const char *)r->user, id);
	return false; /* the connection's end ends the answer */
}

static void *run_stream(void *arg)
{
	struct stream *s = arg;
	char fields[512];

	snprintf(fields, sizeof(fields),
		 "X-Currantscale-Attempt-Id: %s\r\nX-Currantscale-Deadline-Ms: 20000\r\n"
		 "X-Currantscale-Key: key-1\r\nX-Currantscale-Model: m\r\n"
		 "X-Currantscale-Token-Usage: 543,280\r\n"
		 "X-Currantscale-Prompt-Prefix: 5c1e07a2:103,%s:440\r\n",
		 s->id, s->id);
	call(s->node->front, "POST", "trasy.example", "/trasy/2f", fields, "hello", 5, 20000,
	     &s->reply);
	return NULL;
}

/* Returns whether the rule is broken for the stream. */
static bool judge(const struct stream *s, bool *is_whole)
{
	struct text whole = {0};
	char event[128];
	bool has_signature;
	char value[128];
	bool looks_complete;

	for (int i = 1; i <= EVENTS; i++) {
		event_text(s->id, i, event);
		text_add(&whole, event, strlen(event));
	}
	has_signature =
		field(s->reply.head, "X-Currantscale-Response-Signature", value, sizeof(value));
	looks_complete = s->reply.status == 200 && has_signature && s->reply.end == END_COMPLETE;
	*is_whole = looks_complete && s->reply.body.len == whole.len &&
		    memcmp(s->reply.body.data, whole.data, whole.len) == 0;
	if (!*is_whole)
		record("client of %s: %s status %d, framed %s, %s, %zu of %zu bytes%s",
		       s->node->front, s->id, s->reply.status, framing_name(s->reply.framing),
		       end_name(s->reply.end), s->reply.body.len, whole.len,
		       looks_complete ? ": BROKEN, it looks complete" : "");
	text_free(&whole);
	return looks_complete && !*is_whole;
}

int main(int argc, char **argv)
{
	static const char *const zones[] = {"zapad-trnava", "stred-zilina", "vychod-kosice"};
	static char names[ENGINES][16];
	bool trouble = stand_begin(argc > 1 ? argv[1] : ".", 60);
	struct store store = {0};
	int n_broken = 0;
	int n_whole = 0;

	store_start(&store, "127.0.0.1");
	store_put("op/config", config);
	for (int i = 0; i < ENGINES; i++) {
		char at[64];
		snprintf(names[i], sizeof(names[i]), "i-%08x", 0x1000 + i);
		serve("127.0.0.1", serve_engine, names[i], at);
		store_put_engine(names[i], "jazykovy-model", at, zones[i % 3], 96, "ready");
	}
	nodes_start(NODES, &store);
	for (int i = 0; i < NODES * STREAMS_PER_NODE; i++) {
		streams[i].node = &nodes[i / STREAMS_PER_NODE];
		new_id(streams[i].id);
		pthread_create(&streams[i].thread, NULL, run_stream, &streams[i]);
	}
	sleep_ms(KILL_AT_MS);
	if (trouble) {
		node_signal(&nodes[3], SIGKILL);
		sleep_ms(RESTART_MS);
		node_start(&nodes[3]);
	}
	for (int i = 0; i < NODES * STREAMS_PER_NODE; i++) {
		bool is_whole;
		pthread_join(streams[i].thread, NULL);
		n_broken += judge(&streams[i], &is_whole);
		n_whole += is_whole;
	}
	record("%d of %d answers are whole; %d end early and look complete", n_whole,
	       NODES * STREAMS_PER_NODE, n_broken);
	if (n_whole < NODES * STREAMS_PER_NODE / 2)
		cannot("most requests weren't served");
	stand_end(n_broken > 0 ? STAND_BROKEN : STAND_OK);
}
