#include "decide/cfgrev.h"

#include <string.h>
#include <xxhash.h>

#define CFGREV_REJECTED_MAX 16 /* number of rejected contents that are remembered per section */

struct cfgrev {
	struct cfgrev_section in_force[CFG_SECTIONS];
	/* valid by themselves; wait for sections that are missing or that they refer to */
	struct cfgrev_section pending[CFG_SECTIONS];
	/* rings of content hashes: refused, or lower in a conflict of equal revisions */
	uint64_t rejected[CFG_SECTIONS][CFGREV_REJECTED_MAX];
	uint32_t next_rejected[CFG_SECTIONS];
	GHashTable *known_faults; /* failing references among the sections in force */
	struct cfg *cfg;
	bool is_pruned; /* cfg omits items with failing references */
};

/* An offer in progress. */
struct offer {
	struct cfgrev_section next[CFG_SECTIONS]; /* revision 0: none */
	bool from_peer[CFG_SECTIONS];
	struct cfgrev_result *result;
};

struct cfgrev *cfgrev_new(void)
{
	struct cfgrev *c = g_new0(struct cfgrev, 1);

	c->known_faults = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

static void clear_section(struct cfgrev_section *section)
{
	g_free(section->text);
	memset(section, 0, sizeof(*section));
}

/* Moves a section, freeing the previous text of the destination. */
static void move_section(struct cfgrev_section *to, struct cfgrev_section *from)
{
	char *old = to->text;

	*to = *from;
	memset(from, 0, sizeof(*from));
	g_free(old);
}

void cfgrev_free(struct cfgrev *c)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		clear_section(&c->in_force[i]);
		clear_section(&c->pending[i]);
	}
	g_hash_table_destroy(c->known_faults);
	cfg_unref(c->cfg);
	g_free(c);
}

uint64_t cfgrev_hash(const char *text, size_t len)
{
	return XXH64(text, len, 0);
}

static int compare(const struct cfgrev_section *a, int64_t revision, uint64_t hash)
{
	if (a->revision != revision)
		return a->revision < revision ? -1 : 1;
	return a->hash < hash ? -1 : a->hash > hash;
}

static bool is_rejected(const struct cfgrev *c, int id, uint64_t hash)
{
	for (int i = 0; i < CFGREV_REJECTED_MAX; i++) {
		if (c->rejected[id][i] == hash)
			return true;
	}
	return false;
}

static void add_rejected(struct cfgrev *c, int id, uint64_t hash)
{
	c->rejected[id][c->next_rejected[id]++ % CFGREV_REJECTED_MAX] = hash;
}

bool cfgrev_is_newer(const struct cfgrev *c, enum cfg_section_id id, int64_t revision,
		     uint64_t hash)
{
	return compare(&c->in_force[id], revision, hash) < 0;
}

const struct cfgrev_section *cfgrev_section(const struct cfgrev *c, enum cfg_section_id id)
{
	return &c->in_force[id];
}

struct cfg *cfgrev_current(const struct cfgrev *c)
{
	return c->cfg;
}

static void copy_section(struct cfgrev_section *to, const struct cfg_section_text *text,
			 int64_t revision, uint64_t hash)
{
	clear_section(to);
	to->revision = revision;
	to->hash = hash;
	to->text = g_strndup(text->text, text->len);
	to->len = text->len;
	to->line = text->line;
}

/* True when the section takes precedence over the one in force. */
static bool takes_precedence(struct cfgrev *c, int id, int64_t revision, uint64_t hash,
			     struct cfgrev_result *result)
{
	const struct cfgrev_section *in_force = &c->in_force[id];

	if (revision < in_force->revision) {
		result->stale++;
		return false;
	}
	if (revision == in_force->revision) {
		result->conflicts++;
		add_rejected(c, id, MIN(hash, in_force->hash));
	}
	return compare(in_force, revision, hash) < 0;
}

static void check_section(struct cfgrev *c, int id, const struct cfg_section_text *text,
			  enum cfgrev_source source, struct offer *offer)
{
	uint64_t hash = cfgrev_hash(text->text, text->len);
	int64_t revision;

	if (c->in_force[id].revision && c->in_force[id].hash == hash)
		return;
	if (is_rejected(c, id, hash) || (source == CFGREV_SERVICE && c->pending[id].hash == hash))
		return;
	revision = cfg_check_section(id, text, offer->result->faults);
	if (revision == 0) {
		offer->result->refused++;
		add_rejected(c, id, hash);
		return;
	}
	if (!takes_precedence(c, id, revision, hash, offer->result))
		return;
	copy_section(&offer->next[id], text, revision, hash);
	offer->from_peer[id] = source == CFGREV_PEER;
}

/* Retries pending sections with each offer; drops those that are outdated. */
static void add_pending(struct cfgrev *c, struct offer *offer)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		struct cfgrev_section *pending = &c->pending[i];

		if (pending->revision == 0)
			continue;
		if (compare(pending, c->in_force[i].revision, c->in_force[i].hash) <= 0 ||
		    offer->from_peer[i] ||
		    compare(pending, offer->next[i].revision, offer->next[i].hash) <= 0) {
			if (!offer->from_peer[i])
				clear_section(pending);
			continue;
		}
		move_section(&offer->next[i], pending);
	}
}

static void postpone(struct cfgrev *c, struct offer *offer, int id)
{
	move_section(&c->pending[id], &offer->next[id]);
}

static const struct cfgrev_section *chosen(const struct cfgrev *c, const struct offer *offer,
					   int id)
{
	return offer->next[id].revision ? &offer->next[id] : &c->in_force[id];
}

static bool is_complete(const struct cfgrev *c, const struct offer *offer)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (cfg_is_required(i) && chosen(c, offer, i)->revision == 0)
			return false;
	}
	return true;
}

static struct cfg *join(const struct cfgrev *c, const struct offer *offer, GPtrArray *faults)
{
	struct cfg_section_text texts[CFG_SECTIONS] = {0};
	bool same[CFG_SECTIONS] = {false};

	for (int i = 0; i < CFG_SECTIONS; i++) {
		const struct cfgrev_section *section = chosen(c, offer, i);
		texts[i] = (struct cfg_section_text){section->text, section->len, section->line};
		/* Copying an unchanged section costs about a tenth of parsing it. */
		same[i] = c->cfg && !c->is_pruned && section == &c->in_force[i];
	}
	return cfg_join_reusing(texts, c->cfg, same, faults);
}

static char *fault_id(const struct schema_fault *fault)
{
	return g_strdup_printf("%s/%s/%s", fault->section, fault->key, fault->reason);
}

/* Returns the section that a failing reference points into. */
static int target_of(const struct schema_fault *fault)
{
	if (strcmp(fault->key, "data_centre") == 0)
		return CFG_PLACES;
	return strcmp(fault->key, "upstreams") == 0 ? CFG_UPSTREAMS : CFG_SERVICES;
}

static int section_of(const struct schema_fault *fault)
{
	int id = 0;

	while (strcmp(cfg_section_name(id), fault->section) != 0)
		id++;
	return id;
}

static bool may_postpone(const struct offer *offer, int id)
{
	return offer->next[id].revision && !offer->from_peer[id];
}

/*
 * Returns the published section to postpone because of a failing reference: the section with the
 * reference or, if that one is not part of the offer and the fault is new, the section that it
 * points into; -1: none.
 */
static int faulty_section(const struct cfgrev *c, const struct offer *offer,
			  const struct schema_fault *fault)
{
	char *id = fault_id(fault);
	bool known = g_hash_table_contains(c->known_faults, id);
	int owner = section_of(fault);
	int target = target_of(fault);

	g_free(id);
	if (may_postpone(offer, owner))
		return owner;
	return !known && may_postpone(offer, target) ? target : -1;
}

static void move_fault(GPtrArray *from, guint i, GPtrArray *to)
{
	g_ptr_array_add(to, g_ptr_array_index(from, i));
	g_ptr_array_index(from, i) = NULL;
}

/* Postpones the published sections that cause faults; false when no section was postponed. */
static bool postpone_faulty(struct cfgrev *c, struct offer *offer, GPtrArray *faults)
{
	bool postponed = false;

	for (guint i = 0; i < faults->len; i++) {
		int id = faulty_section(c, offer, g_ptr_array_index(faults, i));

		if (id < 0)
			continue;
		postpone(c, offer, id);
		offer->result->refused++;
		postponed = true;
		move_fault(faults, i, offer->result->faults);
	}
	return postponed;
}

/* Records failing references between sections in force; adds the new ones to the result. */
static void record_faults(struct cfgrev *c, GPtrArray *faults, struct cfgrev_result *result)
{
	GHashTable *before = c->known_faults;

	c->known_faults = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (guint i = 0; i < faults->len; i++) {
		char *id = fault_id(g_ptr_array_index(faults, i));

		if (!g_hash_table_contains(before, id))
			move_fault(faults, i, result->faults);
		g_hash_table_add(c->known_faults, id);
	}
	g_hash_table_destroy(before);
}

static void put_in_force(struct cfgrev *c, struct offer *offer)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (offer->next[i].revision == 0)
			continue;
		move_section(&c->in_force[i], &offer->next[i]);
		offer->result->accepted++;
	}
}

static bool is_empty(const struct offer *offer)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (offer->next[i].revision)
			return false;
	}
	return true;
}

static void free_fault(gpointer fault)
{
	if (fault)
		schema_fault_free(fault);
}

/* Tries the remaining sections of an offer; true when the offer is complete. */
static bool try_offer(struct cfgrev *c, struct offer *offer)
{
	GPtrArray *faults;
	struct cfg *cfg;

	if (is_empty(offer) || !is_complete(c, offer))
		return true;
	faults = g_ptr_array_new_with_free_func(free_fault);
	cfg = join(c, offer, faults);
	if (!cfg_resolve(cfg, faults) && postpone_faulty(c, offer, faults)) {
		cfg_unref(cfg);
		g_ptr_array_unref(faults);
		return false;
	}
	c->is_pruned = faults->len > 0;
	if (c->is_pruned)
		cfg_prune(cfg);
	record_faults(c, faults, offer->result);
	put_in_force(c, offer);
	cfg_unref(c->cfg);
	c->cfg = cfg;
	offer->result->cfg = cfg_ref(cfg);
	g_ptr_array_unref(faults);
	return true;
}

/* While the configuration is incomplete, published sections stay pending. */
static void finish_offer(struct cfgrev *c, struct offer *offer)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (may_postpone(offer, i))
			postpone(c, offer, i);
	}
	put_in_force(c, offer);
}

void cfgrev_offer(struct cfgrev *c, const struct cfg_section_text texts[CFG_SECTIONS],
		  enum cfgrev_source source, struct cfgrev_result *result)
{
	struct offer offer = {.result = result};

	memset(result, 0, sizeof(*result));
	result->faults = schema_faults_new();
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (texts[i].text)
			check_section(c, i, &texts[i], source, &offer);
	}
	if (is_empty(&offer))
		return;
	add_pending(c, &offer);
	while (!try_offer(c, &offer))
		continue;
	finish_offer(c, &offer);
}

void cfgrev_offer_document(struct cfgrev *c, const char *text, size_t len,
			   struct cfgrev_result *result)
{
	struct cfg_section_text texts[CFG_SECTIONS];
	GPtrArray *faults = schema_faults_new();

	cfg_split(text, len, texts, faults);
	cfgrev_offer(c, texts, CFGREV_SERVICE, result);
	g_ptr_array_extend_and_steal(result->faults, faults);
}

void cfgrev_result_clear(struct cfgrev_result *result)
{
	cfg_unref(result->cfg);
	g_ptr_array_unref(result->faults);
	memset(result, 0, sizeof(*result));
}
