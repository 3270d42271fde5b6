/* Internal to the caller listener: bounds on connections and on the memory of their requests. */
#ifndef NODE_ENTRY_LIMIT_H
#define NODE_ENTRY_LIMIT_H

#include "base/mhd.h"

struct entry_limit;

enum entry_refusal {
	ENTRY_REFUSED_BUDGET,
	ENTRY_REFUSED_CONNECTIONS,
	ENTRY_REFUSED_STALLED,
	ENTRY_REFUSED_TOO_LARGE,
};

/*
 * conn_bytes: what the library holds for a connection; max_conns: the most that it opens. A part of
 * them is left for those that are being closed.
 */
struct entry_limit *entry_limit_new(int64_t max_bytes, int64_t conn_bytes, uint32_t max_conns);
void entry_limit_free(struct entry_limit *l);

/* Counts and logs a refusal. */
void entry_limit_note(enum entry_refusal reason, int64_t held_bytes, int64_t age_ms);

/* For MHD_OPTION_NOTIFY_CONNECTION. */
void entry_limit_on_connection(void *arg, struct MHD_Connection *conn, void **context,
			       enum MHD_ConnectionNotificationCode code);

/* A request begins on the connection. */
void entry_limit_begin(struct entry_limit *l, struct MHD_Connection *conn);
/* Returns false if the body was dropped to make room for others. */
bool entry_limit_append(struct entry_limit *l, struct MHD_Connection *conn, const char *data,
			size_t len);
/* The body isn't needed any more: the request will be refused. */
void entry_limit_drop(struct entry_limit *l, struct MHD_Connection *conn);
/* Returns the length of the body so far. */
size_t entry_limit_body_bytes(struct entry_limit *l, struct MHD_Connection *conn);
/* The request is complete. Returns its body; NULL if it must be refused for lack of room. */
GByteArray *entry_limit_complete(struct entry_limit *l, struct MHD_Connection *conn);
/* The request has been answered, or its connection has ended. */
void entry_limit_end(struct entry_limit *l, struct MHD_Connection *conn);

#endif
