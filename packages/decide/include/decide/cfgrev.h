/*
 * Acceptance of configuration sections from the configuration service and from peers. No I/O; the
 * caller serialises calls.
 *
 * The highest revision of each section is in force; among equal revisions, the one with the higher
 * hash. It is never replaced by a lower one. A section that is invalid by itself, or whose
 * references fail, is refused and the one in force stays. A section in force at another node was
 * accepted there, so it is accepted here too, even when a reference between two such sections
 * fails: items with a dangling reference are then left out. What is in force is therefore the
 * maximum of all accepted sections, and nodes that exchange sections converge in any order.
 */
#ifndef DECIDE_CFGREV_H
#define DECIDE_CFGREV_H

#include "model/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cfgrev;

enum cfgrev_source {
	CFGREV_SERVICE, /* read from the configuration service */
	CFGREV_PEER,	/* in force at another node */
};

/* Outcome of an offer. */
struct cfgrev_result {
	struct cfg *cfg; /* new configuration in force, owned; NULL: no change */
	uint32_t accepted;
	uint32_t refused;
	uint32_t stale;
	uint32_t conflicts; /* equal revision, different content; each content counted once */
	GPtrArray *faults; /* struct schema_fault: reasons for refused sections and omitted items */
};

/* A section; revision 0: none. */
struct cfgrev_section {
	int64_t revision;
	uint64_t hash;
	char *text;
	size_t len;
	int line; /* of its key in the document that it came from */
};

struct cfgrev *cfgrev_new(void);
void cfgrev_free(struct cfgrev *c);

/*
 * Offers sections; those with a NULL text are absent. Fills result, to be freed with
 * cfgrev_result_clear().
 */
void cfgrev_offer(struct cfgrev *c, const struct cfg_section_text texts[CFG_SECTIONS],
		  enum cfgrev_source source, struct cfgrev_result *result);

/* Offers all sections of the configuration service's document. */
void cfgrev_offer_document(struct cfgrev *c, const char *text, size_t len,
			   struct cfgrev_result *result);

void cfgrev_result_clear(struct cfgrev_result *result);

/* True when a section in force at another node takes precedence over the one here. */
bool cfgrev_is_newer(const struct cfgrev *c, enum cfg_section_id id, int64_t revision,
		     uint64_t hash);

/* The section in force; borrowed until the next offer. */
const struct cfgrev_section *cfgrev_section(const struct cfgrev *c, enum cfg_section_id id);

/*
 * Configuration in force, borrowed until the next offer; NULL while a required section is missing.
 */
struct cfg *cfgrev_current(const struct cfgrev *c);

/* Hash of a section's text. */
uint64_t cfgrev_hash(const char *text, size_t len);

#ifdef __cplusplus
}
#endif

#endif
