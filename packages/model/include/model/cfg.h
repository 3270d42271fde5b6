/*
 * The configuration document: one YAML document whose top-level sections are owned by different
 * teams, each with a revision of its own. A parsed document is immutable.
 */
#ifndef MODEL_CFG_H
#define MODEL_CFG_H

#include "model/schema.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum cfg_section_id {
	CFG_PLACES,    /* data centres, regions and the links between regions */
	CFG_SERVICES,  /* services and their calls */
	CFG_UPSTREAMS, /* upstreams of each service */
	CFG_MODELS,    /* placement of models on engines */
	CFG_PIPELINES, /* pipelines and stages */
	CFG_ACCOUNTS,  /* priority classes and client accounts */
	CFG_ROUTING,   /* policy and its weights */
	CFG_CAPACITY,  /* limits, hold-offs and budgets */
	CFG_SECTIONS,
};

enum cfg_kind { CFG_KIND_ENGINE, CFG_KIND_POOL, CFG_KIND_PLAIN };

enum cfg_policy { CFG_POLICY_ADAPTIVE, CFG_POLICY_BASELINE };

struct cfg_data_centre {
	char *name;
	char *region;
	bool in_service; /* false: taken out by operators */
	int line;	 /* in the document */
};

struct cfg_link {
	char *from; /* region */
	char *to;   /* region */
	int64_t latency_ms;
	int64_t price_per_gb_cents;
	int line; /* in the document */
};

struct cfg_places {
	int64_t revision;
	struct cfg_data_centre *data_centres;
	uint32_t n_data_centres;
	struct cfg_link *links;
	uint32_t n_links;
};

struct cfg_call {
	char *name;
	bool idempotent;
	int line; /* in the document */
};

struct cfg_service {
	char *name;
	int kind; /* enum cfg_kind */
	struct cfg_call *calls;
	uint32_t n_calls;
	bool checks_fencing;	  /* its upstreams refuse an order with an old fencing number */
	int64_t cold_limit;	  /* concurrent requests that an upstream in a cold start bears */
	int64_t warm_limit;	  /* concurrent requests that a warm upstream bears */
	int64_t cost_cents_per_k; /* price of a thousand requests, for cost by stage */
	int line;		  /* in the document */
};

struct cfg_services {
	int64_t revision;
	struct cfg_service *items;
	uint32_t n_items;
};

struct cfg_upstream {
	char *name;
	char *service;
	char *address; /* host:port */
	char *vm;      /* id in the VM list */
	char *data_centre;
	uint32_t svc; /* index into services, set by cfg_resolve() */
	uint32_t dc;  /* index into data centres, set by cfg_resolve() */
	int line;     /* in the document */
};

struct cfg_upstreams {
	int64_t revision;
	struct cfg_upstream *items;
	uint32_t n_items;
};

struct cfg_model {
	char *name;
	char *version;
	char *role;	  /* "prefill", "decode" or "mixed" */
	char **upstreams; /* engines that have to hold it */
	uint32_t n_upstreams;
	int line; /* in the document */
};

struct cfg_models {
	int64_t revision;
	struct cfg_model *items;
	uint32_t n_items;
};

struct cfg_stage {
	char *name;
	char *service;
	char *call;	 /* of a plain service; NULL: the service's default call */
	bool stream;	 /* its output is passed on to the caller as it is made */
	uint32_t svc;	 /* set by cfg_resolve() */
	bool idempotent; /* set by cfg_resolve() */
	int line;	 /* in the document */
};

struct cfg_pipeline {
	char *name;
	int64_t deadline_ms;
	struct cfg_stage *stages;
	uint32_t n_stages;
	int line; /* in the document */
};

struct cfg_pipelines {
	int64_t revision;
	struct cfg_pipeline *items;
	uint32_t n_items;
};

struct cfg_class {
	char *name;
	int64_t rank;	      /* 0 is served first */
	int64_t reserved_pct; /* share of each stage kept for it */
	int line;	      /* in the document */
};

struct cfg_account {
	char *name;
	char *class_name;
	char *key_sha256;    /* lower-case hex digest of the key */
	int64_t limit_per_s; /* over the whole fleet */
	uint32_t cls;	     /* set by cfg_resolve() */
	int line;	     /* in the document */
};

struct cfg_accounts {
	int64_t revision;
	struct cfg_class *classes;
	uint32_t n_classes;
	struct cfg_account *items;
	uint32_t n_items;
};

struct cfg_routing {
	int64_t revision;
	int policy;		  /* enum cfg_policy */
	int64_t cost_weight_pct;  /* ms of expected time that one cent is worth, in hundredths */
	int64_t hedge_budget_pct; /* hedges per hundred first tries */
	int64_t retry_budget_pct; /* retries per hundred first tries */
	int64_t eject_failures;	  /* failures in a row that eject an upstream */
	int64_t eject_ms;
};

struct cfg_capacity {
	int64_t revision;
	int64_t list_lag_ms;	/* the VM list is at most this old */
	int64_t view_age_ms;	/* older views give up their slots */
	int64_t longest_ms;	/* longest request on a slot */
	int64_t address_ttl_ms; /* how long callers keep an address answer */
	int64_t max_body_bytes;
	int64_t max_in_flight; /* requests of a node */
};

struct cfg {
	struct cfg_places places;
	struct cfg_services services;
	struct cfg_upstreams upstreams;
	struct cfg_models models;
	struct cfg_pipelines pipelines;
	struct cfg_accounts accounts;
	struct cfg_routing routing;
	struct cfg_capacity capacity;
	int lines[CFG_SECTIONS]; /* line of each section's key, 0 when absent */
	gint refs;
};

/* Name of a section's top-level key. */
const char *cfg_section_name(enum cfg_section_id id);

/* Schema of a section and the place of its struct within struct cfg. */
const struct schema_map *cfg_section_map(enum cfg_section_id id);
void *cfg_section_at(struct cfg *cfg, enum cfg_section_id id);

/* Schema of the members of a section's "items"; NULL when it has none. */
const struct schema_map *cfg_item_map(enum cfg_section_id id);

/* Revision of a section; 0 when absent. */
int64_t cfg_revision(const struct cfg *cfg, enum cfg_section_id id);

/*
 * Parses and checks a whole document. Returns NULL when any fault was found; every fault is added
 * to faults. The caller drops the result with cfg_unref().
 */
struct cfg *cfg_parse(const char *text, size_t len, GPtrArray *faults);

/* Text of one section: from the line of its key to its last line that is no comment. */
struct cfg_section_text {
	const char *text; /* borrowed; NULL: absent */
	size_t len;
	int line; /* of its key in the document, from 1 */
};

/*
 * Cuts a document into the texts of its sections, by lines and not by YAML, so that a syntax error
 * spoils its own section alone. A section that stands twice is left out. False when a fault was
 * added.
 */
bool cfg_split(const char *text, size_t len, struct cfg_section_text texts[CFG_SECTIONS],
	       GPtrArray *faults);

/*
 * Parses one section by itself and checks what needs no other section. Returns its revision, or 0
 * with faults added, whose lines are those of the document.
 */
int64_t cfg_check_section(enum cfg_section_id id, const struct cfg_section_text *text,
			  GPtrArray *faults);

/*
 * Parses the texts of all sections into one configuration, references not yet resolved. NULL with
 * faults added when one is bad or a required one is absent.
 */
struct cfg *cfg_join(const struct cfg_section_text texts[CFG_SECTIONS], GPtrArray *faults);

/*
 * The same, but sections that are marked come from base, which was parsed from the same texts and
 * not pruned since. base may be NULL when none is marked.
 */
struct cfg *cfg_join_reusing(const struct cfg_section_text texts[CFG_SECTIONS],
			     const struct cfg *base, const bool from_base[CFG_SECTIONS],
			     GPtrArray *faults);

/* True when a configuration can't do without the section. */
bool cfg_is_required(enum cfg_section_id id);

/* Checks what needs no other section. False when a fault was added. */
bool cfg_check_local(struct cfg *cfg, enum cfg_section_id id, GPtrArray *faults);

/* Checks references between sections and fills the index fields. False when a fault was added. */
bool cfg_resolve(struct cfg *cfg, GPtrArray *faults);

/* Drops each item with a reference that cfg_resolve() faulted, and resolves the rest. */
void cfg_prune(struct cfg *cfg);

struct cfg *cfg_ref(struct cfg *cfg);
void cfg_unref(struct cfg *cfg);

/* Indices by name; -1 when there is none. */
int cfg_find_service(const struct cfg *cfg, const char *name);
int cfg_find_pipeline(const struct cfg *cfg, const char *name);
int cfg_find_data_centre(const struct cfg *cfg, const char *name);
int cfg_find_call(const struct cfg_service *service, const char *name);

/* Index of the account whose key is given, compared in constant time; -1 when there is none. */
int cfg_find_account(const struct cfg *cfg, const char *key);

#ifdef __cplusplus
}
#endif

#endif
