/*
 * Acceptance of configuration sections, from whatever source they come. No I/O; the caller
 * serialises calls.
 *
 * The highest revision of each section is in force, of equal revisions the one with the higher
 * hash; it never goes back. A section that is bad by itself, or whose references fail, is refused
 * and the one in force stays. A section that is in force at another node was accepted there, so it
 * is taken here too, also when a reference between two such sections fails: the items that name
 * what does not exist are then left out. So what is in force is a maximum over what was accepted
 * anywhere, and nodes that hear of each other agree, whatever the order.
 */
#ifndef DECIDE_CFR_H
#define DECIDE_CFR_H

#include "model/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cfr;

enum cfr_source {
	CFR_SERVICE, /* published; not yet accepted */
	CFR_PEER,    /* in force at another node */
};

/* What an offer came to. */
struct cfr_result {
	struct cfg *cfg; /* to be put in force; NULL: nothing changed */
	uint32_t accepted;
	uint32_t refused;
	uint32_t stale;
	uint32_t conflicts; /* equal revision, unequal content; each content counted once */
	GPtrArray *faults;  /* struct schema_fault: why sections were refused or items left out */
};

/* State of a section that is in force; revision 0: none. */
struct cfr_section {
	int64_t revision;
	uint64_t hash;
	char *text;
	size_t len;
	int line;
};

struct cfr *cfr_new(void);
void cfr_free(struct cfr *c);

/* Offers sections; those with a NULL text are absent. Fills result; free with cfr_result_clear().
 */
void cfr_offer(struct cfr *c, const struct cfg_section_text texts[CFG_SECTIONS],
	       enum cfr_source source, struct cfr_result *result);

/* Offers the whole document of the configuration service. */
void cfr_offer_document(struct cfr *c, const char *text, size_t len, struct cfr_result *result);

void cfr_result_clear(struct cfr_result *result);

/* True when a section that is in force at another node goes before the one here. */
bool cfr_wants(const struct cfr *c, enum cfg_section_id id, int64_t revision, uint64_t hash);

/* Borrowed until the next offer. */
const struct cfr_section *cfr_section(const struct cfr *c, enum cfg_section_id id);

/* Configuration in force, borrowed until the next offer; NULL while a required section lacks. */
struct cfg *cfr_cfg(const struct cfr *c);

/* Hash of a section's text. */
uint64_t cfr_hash(const char *text, size_t len);

#ifdef __cplusplus
}
#endif

#endif
