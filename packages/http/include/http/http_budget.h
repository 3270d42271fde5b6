/*
 * Memory for requests that are being read or answered, shared by the HTTP servers of a process.
 * When it would be exceeded, the requests that have been incomplete for longest are refused first.
 */
#ifndef HTTP_HTTP_BUDGET_H
#define HTTP_HTTP_BUDGET_H

#include <stdint.h>

struct http_budget;

struct http_budget *http_budget_new(int64_t max_bytes);

/* Free the servers that use it first. */
void http_budget_free(struct http_budget *b);

/* What is held beyond a lowered maximum is refused with the next request that needs memory. */
void http_budget_set_max(struct http_budget *b, int64_t max_bytes);

int64_t http_budget_used_bytes(const struct http_budget *b);

#endif
