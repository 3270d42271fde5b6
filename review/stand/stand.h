/*
 * Stand-ins for the scripts of the review: the platform's store, engines, clients, and the
 * processes of the project. One process, a thread for each connection. All of them follow the
 * users' pages; a case sets what its disruption changes.
 */
#ifndef REVIEW_STAND_H
#define REVIEW_STAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define NODES_MAX 7
#define STAND_OK 0
#define STAND_BROKEN 1
#define STAND_CANNOT 2

/* Milliseconds of the steady clock since the start of the case. */
int64_t now_ms(void);
void sleep_ms(int64_t ms);

/* Writes a line to record.txt, with the time. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Ends the case as one that couldn't run. */
void cannot(const char *format, ...) __attribute__((format(printf, 1, 2), noreturn));

/*
 * Starts the case: record.txt is made in folder, processes are ended at exit, and the case ends
 * after limit_s at the latest. Returns whether the disruption is to be made (TROUBLE isn't 0).
 */
bool stand_begin(const char *folder, int limit_s);

/* Ends all processes and the case with that result. */
void stand_end(int result) __attribute__((noreturn));

/* A text that grows; ends with a NUL that len doesn't count. */
struct text {
	char *data;
	size_t len;
	size_t room;
};

void text_add(struct text *t, const void *data, size_t len);
void text_print(struct text *t, const char *format, ...) __attribute__((format(printf, 2, 3)));
void text_free(struct text *t);

/* HTTP server. */
struct request {
	int fd;
	uint64_t connection; /* its number, the same for all requests of a connection */
	char method[16];
	char target[1024];
	char *head; /* the header fields, each with its line end */
	char *body;
	size_t len;
	void *user;	   /* of the listener */
	struct text *late; /* what the connection's user keeps between requests */
};

/* Serves a request; returns whether the connection stays open. */
typedef bool (*serve_fn)(struct request *r);

/* Listens on a free port of the address (no port); writes "ADDRESS:PORT" to at. */
void serve(const char *ip, serve_fn fn, void *user, char at[64]);

/* Copies the field's value to value; returns whether the field is there. */
bool field(const char *head, const char *name, char *value, size_t room);

/* Sends all bytes; returns whether it could. */
bool send_all(int fd, const void *data, size_t len);

/* Sends an answer with a length. extra: further header lines, or "". */
bool answer(int fd, int status, const char *extra, const char *body, size_t len);

/* The platform's store. cut_after_ms: a waiting watch is cut after so long; 0: never. */
struct store {
	char at[64];
	int cut_after_ms;
};

void store_start(struct store *s, const char *ip);
int64_t store_put(const char *key, const char *value); /* returns the time of the ack */
int64_t store_delete(const char *key);

/* Writes the entry of an engine. */
int64_t store_put_engine(const char *id, const char *service, const char *address, const char *zone,
			 int slots, const char *state);

/* Nodes of the system, started with the command of the deploy file. */
struct node {
	char ip[32];
	char zone[32];
	char front[64];
	char ready[64];
	char directory[64];
	char settings[256];
	char log[256];
	int pid;
};

extern struct node nodes[NODES_MAX];
extern int n_nodes;

/* Starts n nodes, dealt to the three zones, and waits until all are ready. */
void nodes_start(int n, const struct store *store);
/* The node is killed when the thread ends that started it. */
void node_start(struct node *n);
void node_wait_ready(const struct node *n, int64_t timeout_ms);
void node_signal(const struct node *n, int number);
long node_rss_kb(const struct node *n);

/* Client. */
enum framing { FRAMED_LENGTH, FRAMED_CHUNKED, FRAMED_CLOSE };
enum end { END_COMPLETE, END_EARLY, END_RESET, END_TIMEOUT, END_NO_ANSWER, END_UNCONNECTED };

struct reply {
	int status;
	char head[8192];
	struct text body;
	enum framing framing;
	enum end end;
	int64_t took_ms;
};

int dial(const char *address, int timeout_ms);

/* Reads one answer from the socket. */
void read_reply(int fd, int64_t timeout_ms, struct reply *reply);

/* Sends a request on a new connection, reads the answer and closes. fields: header lines. */
void call(const char *address, const char *method, const char *host, const char *target,
	  const char *fields, const void *body, size_t len, int64_t timeout_ms,
	  struct reply *reply);
void reply_free(struct reply *reply);
const char *end_name(enum end end);
const char *framing_name(enum framing framing);

/* An attempt id that no other has. */
void new_id(char id[17]);

#endif
