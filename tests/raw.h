/* Raw client socket for tests. */
#ifndef TESTS_RAW_H
#define TESTS_RAW_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Connects to IPv4:port; fails the test on an error. */
int raw_connect(const char *address);

/* Writes all bytes; stops silently when the peer has closed the connection. */
void raw_write(int fd, const char *data, size_t len);
void raw_write_text(int fd, const char *text);

/* Returns all bytes read until the connection ends or nothing arrives for wait_ms. */
GString *raw_read(int fd, int64_t wait_ms);

/* The same; says whether the connection was reset, and not closed in order. */
GString *raw_read_to_end(int fd, int64_t wait_ms, bool *was_reset);

/* Returns the body of a chunked response; of an incomplete one, the part received. */
GString *raw_unchunk(const GString *response);

#endif
