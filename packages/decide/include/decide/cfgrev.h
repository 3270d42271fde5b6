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
#ifndef DECIDE_CFGREV_H
#define DECIDE_CFGREV_H

#include "model/cfg.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cfgrev;

enum cfgrev_source {
	CFGREV_SERVICE, /* published; not yet accepted */
	CFGREV_PEER,	/* in force at another node */
};

/* What an offer came to. */
struct cfgrev_result {
	struct cfg *cfg; /* to be put in force; NULL: nothing changed */
	uint32_t accepted;
	uint32_t refused;
	uint32_t stale;
	uint32_t conflicts; /* equal revision, unequal content; each content counted once */
	GPtrArray *faults;  /* struct sch_fault: why sections were refused or items left out */
};

/* State of a section that is in force; revision 0: none. */
struct cfgrev_section {
	int64_t revision;
	uint64_t hash;
	char *text;
	size_t len;
	int line;
};

struct cfgrev *cfgrev_new(void);
void cfgrev_free(struct cfgrev *c);

/* Offers sections; those with a NULL text are absent. Fills result; free with
 * cfgrev_result_clear().
 */
void cfgrev_offer(struct cfgrev *c, const struct cfg_text texts[CFG_SECTIONS],
		  enum cfgrev_source source, struct cfgrev_result *result);

/* Offers the whole document of the configuration service. */
void cfgrev_offer_document(struct cfgrev *c, const char *text, size_t len,
			   struct cfgrev_result *result);

void cfgrev_result_clear(struct cfgrev_result *result);

/* True when a section that is in force at another node goes before the one here. */
bool cfgrev_is_newer(const struct cfgrev *c, enum cfg_section_id id, int64_t revision,
		     uint64_t hash);

/* Borrowed until the next offer. */
const struct cfgrev_section *cfgrev_section(const struct cfgrev *c, enum cfg_section_id id);

/* Configuration in force, borrowed until the next offer; NULL while a required section lacks. */
struct cfg *cfgrev_current(const struct cfgrev *c);

/* Hash of a section's text. */
uint64_t cfgrev_hash(const char *text, size_t len);

#ifdef __cplusplus
}
#endif

#endif
