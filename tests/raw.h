/* A caller's socket, byte by byte. */
#ifndef TESTS_RAW_H
#define TESTS_RAW_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* Connects to host:port; fails the test when it can't. */
int raw_connect(const char *address);

/* Writes all; stops without a fault when the other side has closed. */
void raw_write(int fd, const char *data, size_t len);
void raw_write_text(int fd, const char *text);

/* Reads to the end of the connection or until nothing came for wait_ms; NUL-terminated. */
GString *raw_read(int fd, int64_t wait_ms);

/* Body of a chunked answer, as far as it came. */
GString *raw_unchunk(const GString *answer);

#endif
