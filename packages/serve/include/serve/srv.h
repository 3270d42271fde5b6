/* A node that serves callers through an adapter: one loop, one thread beside the log's. */
#ifndef SERVE_SRV_H
#define SERVE_SRV_H

#include "serve/adapter.h"
#include "serve/srvconf.h"

struct srv;

/* NULL with *error set. Takes ownership of set. path is read again when the file changes. */
struct srv *srv_new(struct srvconf *set, const char *path, const struct adapter_ops *adp,
		    GError **error);

/* Serves until a planned stop has ended. */
void srv_run(struct srv *s);
void srv_free(struct srv *s);

#endif
