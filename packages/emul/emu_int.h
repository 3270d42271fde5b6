/* Shared by the parts of the emulator; not for other packages. */
#ifndef EMUL_EMU_INT_H
#define EMUL_EMU_INT_H

#include "base/rnd.h"
#include "emul/emu.h"
#include "model/cfg.h"

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

/* An emulated upstream. */
struct emu_upstream {
	struct emu *emu;
	char *name;
	char *service;
	int kind; /* enum cfg_kind */
	int64_t cold_limit;
	int64_t warm_limit;
	char address[64];
	struct MHD_Daemon *daemon;
	pthread_mutex_t lock; /* guards all below */
	uint64_t incarnation;
	int64_t running;
	int64_t most_running; /* the highest it saw */
	int64_t overruns;     /* arrivals above what it bears */
	int64_t service_ms;   /* time of one request */
	int64_t tokens;	      /* of a generated answer */
	int64_t token_ms;     /* between tokens */
	int64_t completions;  /* in this incarnation; warm after EMU_WARM_AFTER */
};

/* Faults of the platform that a test sets. */
struct emu_faults {
	bool down;	   /* every call is cut without an answer */
	bool stale;	   /* serves the document of the time when this was set */
	bool no_index;	   /* knows the whole document alone */
	bool no_watch;	   /* answers at once */
	char *only_source; /* calls from other addresses are cut; NULL: none */
};

struct emu {
	char *listen;
	char address[64];
	struct MHD_Daemon *platform;
	pthread_mutex_t lock;	/* guards all below but the upstreams */
	pthread_cond_t changed; /* what a watch waits for, or stopping */
	bool stopping;
	struct emu_faults faults;
	char *stale_document;	/* NULL: not stale */
	GHashTable *calls;	/* source address -> GUINT calls of the platform */
	char *document;
	uint64_t document_version;
	json_t *vms; /* id -> object of the VM list */
	int64_t vms_version;
	json_t *log; /* array of arrivals */
	struct emu_upstream *upstreams;
	uint32_t n_upstreams;
	struct rnd rnd;
};

/* Collects a request body over the calls of a handler. */
struct emu_body {
	GByteArray *bytes;
};

/* emu_ups.c */
bool emu_upstream_start(struct emu_upstream *up, GError **error);

/* emu_plt.c */
bool emu_platform_start(struct emu *e, GError **error);
void emu_platform_stop(struct emu *e);

/* emu_wch.c: what of the platform can be watched; conn is answered. */
enum MHD_Result emu_answer_config(struct emu *e, struct MHD_Connection *conn, const char *url);
enum MHD_Result emu_answer_vms(struct emu *e, struct MHD_Connection *conn);

/* Appends an arrival to the log; takes entry. */
void emu_log(struct emu *e, json_t *entry);

#endif
