/* Feeds bytes to the HTTP client as the response of an upstream. */
#ifndef TESTS_FUZZ_CLIENT_H
#define TESTS_FUZZ_CLIENT_H

#include <stddef.h>

/*
 * The first byte says how often the bytes after it are sent, the second in how large pieces. Aborts
 * if the call doesn't end exactly once, or takes more than an answer may have.
 */
void fuzz_client(const char *data, size_t len);

#endif
