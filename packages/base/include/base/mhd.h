/* Small helpers over libmicrohttpd that the listeners of all programs share. */
#ifndef BASE_MHD_H
#define BASE_MHD_H

#include "base/err.h"

#include <microhttpd.h>

#ifdef __cplusplus
extern "C" {
#endif

/* A socket that listens on host:port (port 0: the kernel chooses); -1 with *error set. */
int mhd_listen(const char *address, GError **error);

/* Writes host:port of a listening socket; text has room for 64 bytes. */
void mhd_bound_address(int fd, char *text);

/* Queues a whole answer of a content type; copies body. */
enum MHD_Result mhd_respond(struct MHD_Connection *conn, unsigned status, const char *type,
			    const void *body, size_t len);

/* True when the bearer key of the request is key, compared in constant time. */
bool mhd_has_bearer(struct MHD_Connection *conn, const char *key);

/* The bearer key of the request; NULL when there is none; borrowed from the connection. */
const char *mhd_bearer(struct MHD_Connection *conn);

/* True when a header stands more than once. */
bool mhd_is_header_repeated(struct MHD_Connection *conn, const char *name);

#ifdef __cplusplus
}
#endif

#endif
