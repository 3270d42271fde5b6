/* Helpers for listening sockets and libmicrohttpd servers. */
#ifndef BASE_MHD_H
#define BASE_MHD_H

#include "base/err.h"

#include <microhttpd.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Memory of the kernel for the bytes of an accepted connection that were received and not read.
 * Half of it is the kernel's own bookkeeping: 48 KiB in flight give 8 MB/s at a round trip of 6 ms.
 * With less, a segment of the loopback device (64 KiB) fills it, and the end of a connection isn't
 * seen behind it.
 */
#define MHD_RECEIVE_BYTES (96 * 1024)

/*
 * The same for a connection without a request, and for one that waits to be accepted. A process
 * that gets no processor time for a moment reads none of them: with the size above each held 64
 * KiB, which is 130 MB for the 2,072 connections of a machine of 160 MB.
 */
#define MHD_WAITING_BYTES (8 * 1024)

/*
 * Listens on IPv4:port; returns the socket, or -1 with *error set. Port 0: any free port. Accepted
 * connections have MHD_RECEIVE_BYTES.
 */
int mhd_listen(const char *address, GError **error);

/*
 * Sets the kernel's memory for the bytes of a connection that were received and not read.
 * Connections inherit it from the socket that listens.
 */
void mhd_set_receive_bytes(int fd, int receive_bytes);

/* Writes the IPv4:port address of a listening socket to text, which must have 64 bytes. */
void mhd_bound_address(int fd, char *text);

/* Queues a complete response with the given status and content type; copies body. */
enum MHD_Result mhd_respond(struct MHD_Connection *conn, unsigned status, const char *type,
			    const void *body, size_t len);

/* Returns whether the request's bearer token equals key. The comparison takes constant time. */
bool mhd_has_bearer(struct MHD_Connection *conn, const char *key);

/* Returns the bearer token of the request, borrowed from the connection, or NULL. */
const char *mhd_bearer(struct MHD_Connection *conn);

/* Returns whether the request has the header more than once. */
bool mhd_is_header_repeated(struct MHD_Connection *conn, const char *name);

#ifdef __cplusplus
}
#endif

#endif
