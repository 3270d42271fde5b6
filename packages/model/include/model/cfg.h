/*
 * Configuration document: a YAML document whose top-level sections are owned by different teams,
 * each with its own revision. A parsed document is immutable.
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
	CFG_MODELS,    /* which engines serve which models */
	CFG_PIPELINES, /* pipelines and stages */
	CFG_ACCOUNTS,  /* priority classes and client accounts */
	CFG_ROUTING,   /* routing policy and its weights */
	CFG_CAPACITY,  /* time limits, body size and concurrency */
	CFG_SECTIONS,
};

enum cfg_kind { CFG_KIND_ENGINE, CFG_KIND_POOL, CFG_KIND_PLAIN };

enum cfg_policy { CFG_POLICY_ADAPTIVE, CFG_POLICY_BASELINE };

struct cfg_data_centre {
	char *name;
	char *region;
	bool in_service; /* false: taken out of service by operators */
	int line;	 /* line number in the document */
};

struct cfg_link {
	char *from; /* region */
	char *to;   /* region */
	int64_t latency_ms;
	int64_t price_per_gb_cents;
	int line;
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
	int line;
};

struct cfg_service {
	char *name;
	int kind; /* enum cfg_kind */
	struct cfg_call *calls;
	uint32_t n_calls;
	bool checks_fencing;	  /* upstreams reject orders with an old fencing number */
	int64_t cold_limit;	  /* concurrent requests per upstream during its cold start */
	int64_t warm_limit;	  /* concurrent requests per warm upstream */
	int64_t cost_cents_per_k; /* price of a thousand requests, for cost per stage */
	int line;
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
	uint32_t service_index; /* index into services, set by cfg_resolve() */
	uint32_t dc;		/* index into data centres, set by cfg_resolve() */
	int line;
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
	char **upstreams; /* engines that must have it loaded */
	uint32_t n_upstreams;
	int line;
};

struct cfg_models {
	int64_t revision;
	struct cfg_model *items;
	uint32_t n_items;
};

struct cfg_stage {
	char *name;
	char *service;
	char *call;		/* required for a plain service */
	bool stream;		/* output is forwarded to the caller as it is produced */
	uint32_t service_index; /* index into services, set by cfg_resolve() */
	bool idempotent;	/* may be repeated; set by cfg_resolve() */
	int line;
};

struct cfg_pipeline {
	char *name;
	int64_t deadline_ms;
	struct cfg_stage *stages;
	uint32_t n_stages;
	int line;
};

struct cfg_pipelines {
	int64_t revision;
	struct cfg_pipeline *items;
	uint32_t n_items;
};

struct cfg_class {
	char *name;
	int64_t rank;	      /* 0 is the most urgent */
	int64_t reserved_pct; /* percentage of each stage's capacity reserved for the class */
	int line;
};

struct cfg_account {
	char *name;
	char *class_name;
	char *key_sha256;     /* lower-case hex digest of the API key */
	int64_t limit_per_s;  /* requests per second over all nodes */
	uint32_t class_index; /* index into classes, set by cfg_check_local() */
	int line;
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
	int64_t cost_weight_pct;  /* latency that one cent is worth, in hundredths of a ms */
	int64_t hedge_budget_pct; /* hedges per hundred first attempts */
	int64_t retry_budget_pct; /* retries per hundred first attempts */
	int64_t eject_failures;	  /* consecutive failures that eject an upstream */
	int64_t eject_ms;	  /* duration of an ejection */
};

struct cfg_capacity {
	int64_t revision;
	int64_t list_lag_ms;	/* upper bound on the age of a fetched VM list */
	int64_t view_age_ms;	/* a node with an older view gives up its slots */
	int64_t longest_ms;	/* maximum time that a request holds a slot */
	int64_t address_ttl_ms; /* how long callers may cache a list of addresses */
	int64_t max_body_bytes;
	int64_t max_in_flight; /* concurrent requests of a node */
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
	int lines[CFG_SECTIONS]; /* line of each section's key; 0: absent */
	gint refs;
};

/* Returns the top-level key of a section. */
const char *cfg_section_name(enum cfg_section_id id);

const struct schema_map *cfg_section_map(enum cfg_section_id id);

/* Returns the struct of a section within cfg, which its schema describes. */
void *cfg_section_at(struct cfg *cfg, enum cfg_section_id id);

/* Returns the schema of the elements of a section's "items", or NULL when it has none. */
const struct schema_map *cfg_item_map(enum cfg_section_id id);

/* Returns the revision of a section, or 0 when the section is absent. */
int64_t cfg_revision(const struct cfg *cfg, enum cfg_section_id id);

/*
 * Parses and validates a whole document. Returns NULL, with faults added, when it is invalid. Item
 * values and references are checked only after every section has loaded, so the document may have
 * more faults than were added. The caller releases the result with cfg_unref().
 */
struct cfg *cfg_parse(const char *text, size_t len, GPtrArray *faults);

/* Text of one section, without the comments and blank lines that follow it. */
struct cfg_section_text {
	const char *text; /* borrowed; NULL: absent */
	size_t len;
	int line; /* line number of its key in the document, from 1 */
};

/*
 * Splits a document into the texts of its sections by lines, without parsing YAML, so that a
 * syntax error invalidates only its own section. A duplicate section is left out. Returns false
 * when a fault was added.
 */
bool cfg_split(const char *text, size_t len, struct cfg_section_text texts[CFG_SECTIONS],
	       GPtrArray *faults);

/*
 * Parses one section and runs the checks that need no other section. Returns its revision, or 0
 * with faults added. Fault lines refer to the whole document.
 */
int64_t cfg_check_section(enum cfg_section_id id, const struct cfg_section_text *text,
			  GPtrArray *faults);

/*
 * Parses the texts of all sections into one configuration without resolving references. Returns
 * NULL, with faults added, when a section is invalid or a required one is absent.
 */
struct cfg *cfg_join(const struct cfg_section_text texts[CFG_SECTIONS], GPtrArray *faults);

/*
 * Like cfg_join(), but copies the sections marked in from_base out of base instead of parsing them.
 * base must have been parsed from the same texts and not been pruned since; it may be NULL when no
 * section is marked.
 */
struct cfg *cfg_join_reusing(const struct cfg_section_text texts[CFG_SECTIONS],
			     const struct cfg *base, const bool from_base[CFG_SECTIONS],
			     GPtrArray *faults);

/* Returns whether a configuration must have the section. */
bool cfg_is_required(enum cfg_section_id id);

/* Runs the checks that need no other section. Returns false when a fault was added. */
bool cfg_check_local(struct cfg *cfg, enum cfg_section_id id, GPtrArray *faults);

/*
 * Checks references between sections and fills the index fields. Returns false when a fault was
 * added.
 */
bool cfg_resolve(struct cfg *cfg, GPtrArray *faults);

/* Removes each item with an unresolvable reference and resolves the rest. */
void cfg_prune(struct cfg *cfg);

struct cfg *cfg_ref(struct cfg *cfg);
void cfg_unref(struct cfg *cfg);

/* Return the index of the named item, or -1 when there is none. */
int cfg_find_service(const struct cfg *cfg, const char *name);
int cfg_find_pipeline(const struct cfg *cfg, const char *name);
int cfg_find_data_centre(const struct cfg *cfg, const char *name);
int cfg_find_call(const struct cfg_service *service, const char *name);

/* Finds the client account of an API key in constant time. Returns its index or -1. */
int cfg_find_account(const struct cfg *cfg, const char *key);

#ifdef __cplusplus
}
#endif

#endif
