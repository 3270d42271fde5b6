/* A node that serves callers through an adapter. It has one thread, and another for the log. */
#ifndef SERVE_SRV_H
#define SERVE_SRV_H

#include "serve/adapter.h"
#include "serve/srvconf.h"

struct srv;

/*
 * Returns NULL with *error set on failure. Takes ownership of set. The settings file at path is
 * reloaded when it changes.
 */
struct srv *srv_new(struct srvconf *set, const char *path, const struct adapter_ops *adapter,
		    GError **error);

/* Runs the event loop. Returns once a graceful shutdown has completed. */
void srv_run(struct srv *s);
void srv_free(struct srv *s);

#endif
