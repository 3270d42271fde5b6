/*
 * A fleet of real processes for tests: the emulator and nodes, on ports that the kernel chose.
 * Each node connects from a loopback address of its own, so that faults can be set by link.
 */
#ifndef TESTS_FLEET_H
#define TESTS_FLEET_H

#include "base/hcl.h"

#include <jansson.h>
#include <sys/types.h>

#define FLEET_NODES_MAX 16
#define FLEET_ADDRESS_BYTES 64

struct fleet_node {
	char vm[32];
	char data_centre[32];
	char caller[FLEET_ADDRESS_BYTES];
	char admin[FLEET_ADDRESS_BYTES];
	char peer[FLEET_ADDRESS_BYTES];
	char source[FLEET_ADDRESS_BYTES];
	pid_t pid; /* 0: not running */
};

struct fleet {
	char *dir; /* settings and logs */
	pid_t emulator;
	char platform[FLEET_ADDRESS_BYTES];	      /* of controls */
	char platform_for_nodes[FLEET_ADDRESS_BYTES]; /* the proxy's when there is one */
	struct fleet_node nodes[FLEET_NODES_MAX];
	uint32_t n_nodes;
	struct hcl *http;
};

/* Starts the emulator on an example document and n nodes spread over its data centres. */
struct fleet *fleet_new(const char *example, uint32_t n_nodes);

/* The same behind the fault proxy; latency: links have the document's latency. */
struct fleet *fleet_new_proxied(const char *example, uint32_t n_nodes, bool latency);

/* Kills what still runs and removes the folder. */
void fleet_free(struct fleet *f);

/* Starts a node that is not running and lists it as live. */
void fleet_start_node(struct fleet *f, uint32_t i);

/* Sends a signal; SIGKILL and SIGTERM also wait for the end. Returns its wait status. */
int fleet_signal_node(struct fleet *f, uint32_t i, int sig);

/* Waits until the node says that it is ready. */
void fleet_wait_ready(struct fleet *f, uint32_t i);

/* Lists an entry node's VM as "live" or "leaving"; NULL takes it from the list. */
void fleet_set_node_state(struct fleet *f, uint32_t i, const char *state);

/* Lists any VM. */
void fleet_set_vm_state(struct fleet *f, const char *vm, const char *data_centre,
			const char *state);

/* Publishes a document: the current one with the first occurrence of from replaced by to. */
void fleet_edit_config(struct fleet *f, const char *from, const char *to);

/* The same with two replacements in one publication. */
void fleet_edit_config2(struct fleet *f, const char *from, const char *to, const char *from2,
			const char *to2);

/* Text of the document that is published; g_free() it. */
char *fleet_get_config(struct fleet *f);

struct fleet_request {
	const char *path;
	const char *body;
	const char *key;	 /* NULL: driver-key */
	const char *ticket;	 /* NULL: none */
	const char *deadline_ms; /* NULL: none */
	int64_t timeout_ms;	 /* of the call; 0: a long one */
};

struct fleet_answer {
	bool ok; /* a whole answer came */
	int status;
	char outcome[16]; /* "" when none came */
	char *body;	  /* NUL-terminated; g_free() by fleet_answer_clear() */
	char *ticket;	  /* Currantscale-Ticket, or NULL */
	char *request;	  /* Currantscale-Request, or NULL */
	char *retry_after;
};

void fleet_send(struct fleet *f, uint32_t node, const struct fleet_request *request,
		struct fleet_answer *answer);
/* The same through a client of the caller's own, from any thread. */
void fleet_send_with(struct fleet *f, struct hcl *http, uint32_t node,
		     const struct fleet_request *request, struct fleet_answer *answer);
void fleet_answer_clear(struct fleet_answer *answer);

/* A fresh ticket of a node; g_free() it. */
char *fleet_get_ticket(struct fleet *f, uint32_t node);

/* The same from any thread; NULL when the node gives none. */
char *fleet_try_get_ticket(struct fleet *f, struct hcl *http, uint32_t node);

/* GET of any path; NULL when it fails; the caller drops the reference. */
json_t *fleet_get_json(struct fleet *f, const char *address, const char *path);

/* PUT of JSON to a control of the emulator; takes json. */
void fleet_put_control(struct fleet *f, const char *path, json_t *json);

/* Changes settings or faults of an emulated upstream ("*": of all); json as text. */
void fleet_set_upstream(struct fleet *f, const char *name, const char *json);

/*
 * Sets faults of a link; to is an upstream, "platform" or "peer:VM", "*" matches any; json such as
 * {"black_hole":true}, "{}" clears the rule.
 */
void fleet_set_link(struct fleet *f, const char *from, const char *to, const char *json);

/* The emulator's log of arrivals; the caller drops the reference. */
json_t *fleet_get_log(struct fleet *f);

/* Arrivals of a call; upstream and request may be NULL for any. */
int fleet_count_arrivals(const json_t *log, const char *upstream, const char *call,
			 const char *request);

/* The node's dump; the caller drops the reference. */
json_t *fleet_get_dump(struct fleet *f, uint32_t node);

/* Polls until test(arg) holds; fails the test after wait_ms. */
typedef bool (*fleet_condition_fn)(struct fleet *f, void *arg);
void fleet_wait_until(struct fleet *f, fleet_condition_fn test, void *arg, int64_t wait_ms,
		      const char *what);

#endif
