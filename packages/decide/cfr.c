#include "decide/cfr.h"

#include <string.h>
#include <xxhash.h>

#define CFR_SEEN 16 /* contents of a section that are remembered as not to be taken */

struct cfr {
	struct cfr_section force[CFG_SECTIONS];
	struct cfr_section held[CFG_SECTIONS]; /* good by itself, but not with the others yet */
	uint64_t seen[CFG_SECTIONS][CFR_SEEN]; /* hashes of refused and lost contents */
	uint32_t next_seen[CFG_SECTIONS];
	GHashTable *known_faults; /* references that fail among what is in force */
	struct cfg *cfg;
	bool is_pruned; /* items were left out of cfg */
};

/* One offer while it is judged. */
struct offer {
	struct cfr_section next[CFG_SECTIONS]; /* revision 0: none */
	bool from_peer[CFG_SECTIONS];
	struct cfr_result *result;
};

struct cfr *cfr_new(void)
{
	struct cfr *c = g_new0(struct cfr, 1);

	c->known_faults = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return c;
}

static void clear_section(struct cfr_section *section)
{
	g_free(section->text);
	memset(section, 0, sizeof(*section));
}

/* Hands a section on; what stood in to is freed. */
static void move_section(struct cfr_section *to, struct cfr_section *from)
{
	char *old = to->text;

	*to = *from;
	memset(from, 0, sizeof(*from));
	g_free(old);
}

void cfr_free(struct cfr *c)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		clear_section(&c->force[i]);
		clear_section(&c->held[i]);
	}
	g_hash_table_destroy(c->known_faults);
	cfg_unref(c->cfg);
	g_free(c);
}

uint64_t cfr_hash(const char *text, size_t len)
{
	return XXH64(text, len, 0);
}

static int compare(const struct cfr_section *a, int64_t revision, uint64_t hash)
{
	if (a->revision != revision)
		return a->revision < revision ? -1 : 1;
	return a->hash < hash ? -1 : a->hash > hash;
}

static bool is_seen(const struct cfr *c, int id, uint64_t hash)
{
	for (int i = 0; i < CFR_SEEN; i++) {
		if (c->seen[id][i] == hash)
			return true;
	}
	return false;
}

static void remember(struct cfr *c, int id, uint64_t hash)
{
	c->seen[id][c->next_seen[id]++ % CFR_SEEN] = hash;
}

bool cfr_wants(const struct cfr *c, enum cfg_section_id id, int64_t revision, uint64_t hash)
{
	return compare(&c->force[id], revision, hash) < 0;
}

const struct cfr_section *cfr_section(const struct cfr *c, enum cfg_section_id id)
{
	return &c->force[id];
}

struct cfg *cfr_cfg(const struct cfr *c)
{
	return c->cfg;
}

static void copy_section(struct cfr_section *to, const struct cfg_section_text *text,
			 int64_t revision, uint64_t hash)
{
	clear_section(to);
	to->revision = revision;
	to->hash = hash;
	to->text = g_strndup(text->text, text->len);
	to->len = text->len;
	to->line = text->line;
}

/* True when the section goes before the one in force. */
static bool goes_first(struct cfr *c, int id, int64_t revision, uint64_t hash,
		       struct cfr_result *result)
{
	const struct cfr_section *force = &c->force[id];

	if (revision < force->revision) {
		result->stale++;
		return false;
	}
	if (revision == force->revision) {
		result->conflicts++;
		remember(c, id, MIN(hash, force->hash));
	}
	return compare(force, revision, hash) < 0;
}

static void judge_section(struct cfr *c, int id, const struct cfg_section_text *text,
			  enum cfr_source source, struct offer *offer)
{
	uint64_t hash = cfr_hash(text->text, text->len);
	int64_t revision;

	if (c->force[id].revision && c->force[id].hash == hash)
		return;
	if (is_seen(c, id, hash) || (source == CFR_SERVICE && c->held[id].hash == hash))
		return;
	revision = cfg_check_section(id, text, offer->result->faults);
	if (revision == 0) {
		offer->result->refused++;
		remember(c, id, hash);
		return;
	}
	if (!goes_first(c, id, revision, hash, offer->result))
		return;
	copy_section(&offer->next[id], text, revision, hash);
	offer->from_peer[id] = source == CFR_PEER;
}

/* Sections that were held back get another chance with each offer. */
static void add_held(struct cfr *c, struct offer *offer)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		struct cfr_section *held = &c->held[i];

		if (held->revision == 0)
			continue;
		if (compare(held, c->force[i].revision, c->force[i].hash) <= 0 ||
		    offer->from_peer[i] ||
		    compare(held, offer->next[i].revision, offer->next[i].hash) <= 0) {
			if (!offer->from_peer[i])
				clear_section(held);
			continue;
		}
		move_section(&offer->next[i], held);
	}
}

static void hold(struct cfr *c, struct offer *offer, int id)
{
	move_section(&c->held[id], &offer->next[id]);
}

static const struct cfr_section *chosen(const struct cfr *c, const struct offer *offer, int id)
{
	return offer->next[id].revision ? &offer->next[id] : &c->force[id];
}

static bool is_whole(const struct cfr *c, const struct offer *offer)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (cfg_is_required(i) && chosen(c, offer, i)->revision == 0)
			return false;
	}
	return true;
}

static struct cfg *join(const struct cfr *c, const struct offer *offer, GPtrArray *faults)
{
	struct cfg_section_text texts[CFG_SECTIONS] = {0};
	bool same[CFG_SECTIONS] = {false};

	for (int i = 0; i < CFG_SECTIONS; i++) {
		const struct cfr_section *section = chosen(c, offer, i);
		texts[i] = (struct cfg_section_text){section->text, section->len, section->line};
		/* a copy costs some tenth of a parse */
		same[i] = c->cfg && !c->is_pruned && section == &c->force[i];
	}
	return cfg_join_reusing(texts, c->cfg, same, faults);
}

static char *fault_id(const struct schema_fault *fault)
{
	return g_strdup_printf("%s/%s/%s", fault->section, fault->key, fault->reason);
}

/* The section that a failing reference points into. */
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

static bool may_drop(const struct offer *offer, int id)
{
	return offer->next[id].revision && !offer->from_peer[id];
}

/* The offered section that a failing reference speaks against; -1: none, it failed before. */
static int culprit(const struct cfr *c, const struct offer *offer, const struct schema_fault *fault)
{
	char *id = fault_id(fault);
	bool known = g_hash_table_contains(c->known_faults, id);
	int owner = section_of(fault);
	int target = target_of(fault);

	g_free(id);
	if (may_drop(offer, owner))
		return owner;
	return !known && may_drop(offer, target) ? target : -1;
}

static void move_fault(GPtrArray *from, guint i, GPtrArray *to)
{
	g_ptr_array_add(to, g_ptr_array_index(from, i));
	g_ptr_array_index(from, i) = NULL;
}

/* Holds back what the faults speak against; false when that is nothing. */
static bool drop_culprits(struct cfr *c, struct offer *offer, GPtrArray *faults)
{
	bool dropped = false;

	for (guint i = 0; i < faults->len; i++) {
		int id = culprit(c, offer, g_ptr_array_index(faults, i));

		if (id < 0)
			continue;
		hold(c, offer, id);
		offer->result->refused++;
		dropped = true;
		move_fault(faults, i, offer->result->faults);
	}
	return dropped;
}

/* Remembers references that fail although both sides are in force, and reports the new ones. */
static void note_faults(struct cfr *c, GPtrArray *faults, struct cfr_result *result)
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

static void put_in_force(struct cfr *c, struct offer *offer)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (offer->next[i].revision == 0)
			continue;
		move_section(&c->force[i], &offer->next[i]);
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

/* One try with all that is left of the offer; true when the offer is settled. */
static bool try_offer(struct cfr *c, struct offer *offer)
{
	GPtrArray *faults;
	struct cfg *cfg;

	if (is_empty(offer) || !is_whole(c, offer))
		return true;
	faults = g_ptr_array_new_with_free_func(free_fault);
	cfg = join(c, offer, faults);
	if (!cfg_resolve(cfg, faults) && drop_culprits(c, offer, faults)) {
		cfg_unref(cfg);
		g_ptr_array_unref(faults);
		return false;
	}
	c->is_pruned = faults->len > 0;
	if (c->is_pruned)
		cfg_prune(cfg);
	note_faults(c, faults, offer->result);
	put_in_force(c, offer);
	cfg_unref(c->cfg);
	c->cfg = cfg;
	offer->result->cfg = cfg_ref(cfg);
	g_ptr_array_unref(faults);
	return true;
}

/* Without a whole configuration nothing published is accepted yet. */
static void keep_rest(struct cfr *c, struct offer *offer)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (may_drop(offer, i))
			hold(c, offer, i);
	}
	put_in_force(c, offer);
}

void cfr_offer(struct cfr *c, const struct cfg_section_text texts[CFG_SECTIONS],
	       enum cfr_source source, struct cfr_result *result)
{
	struct offer offer = {.result = result};

	memset(result, 0, sizeof(*result));
	result->faults = schema_faults_new();
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (texts[i].text)
			judge_section(c, i, &texts[i], source, &offer);
	}
	if (is_empty(&offer))
		return;
	add_held(c, &offer);
	while (!try_offer(c, &offer))
		continue;
	keep_rest(c, &offer);
}

void cfr_offer_document(struct cfr *c, const char *text, size_t len, struct cfr_result *result)
{
	struct cfg_section_text texts[CFG_SECTIONS];
	GPtrArray *faults = schema_faults_new();

	cfg_split(text, len, texts, faults);
	cfr_offer(c, texts, CFR_SERVICE, result);
	g_ptr_array_extend_and_steal(result->faults, faults);
}

void cfr_result_clear(struct cfr_result *result)
{
	cfg_unref(result->cfg);
	g_ptr_array_unref(result->faults);
	memset(result, 0, sizeof(*result));
}
