#include "decide/ticket.h"

#include <string.h>

/* tickets whose expiries differ by at most this share a struct batch */
#define TICKET_BATCH_MS 1000

struct issuer;

struct entry {
	uint64_t serial;
	uint64_t req;	       /* id of the request that claimed it */
	struct issuer *issuer; /* borrowed */
	bool ended;
	GList *in_ended;  /* link in ticket_table.ended */
	GList *in_bodies; /* link in ticket_table.bodies; NULL without a body */
	struct ticket_answer answer;
};

/*
 * Tickets with consecutive serials. The low-water mark is raised to the end of the batch once all
 * of them have expired; each ticket still has an expiry of its own.
 */
struct batch {
	uint64_t end; /* last serial + 1; the first serial is the end of the previous batch */
	/* of the first ticket; the last one expires up to TICKET_BATCH_MS later */
	int64_t expires_wall_ms;
};

/* An incarnation that issued tickets, and the state of these tickets. */
struct issuer {
	uint64_t incarnation;
	uint64_t next_serial;
	uint64_t low_water;  /* a serial below it that has no entry never runs */
	bool released;	     /* to a successor; this table no longer runs its tickets */
	GHashTable *entries; /* serial -> struct entry, owned */
	GQueue batches;	     /* struct batch, owned, oldest first */
};

struct ticket_table {
	char *vm;
	uint64_t incarnation;
	GHashTable *issuers; /* incarnation -> struct issuer, owned */
	GQueue ended;	     /* struct entry, borrowed, in the order in which they ended */
	GQueue bodies;	     /* entries of ended that have a body, in the same order */
	uint64_t bytes;	     /* total size of the bodies */
};

static void clear_body(struct ticket_answer *answer)
{
	if (answer->body)
		g_bytes_unref(answer->body);
	answer->body = NULL;
}

static void free_entry(gpointer data)
{
	struct entry *entry = data;

	clear_body(&entry->answer);
	g_free(entry);
}

static void free_issuer(gpointer data)
{
	struct issuer *issuer = data;

	g_hash_table_destroy(issuer->entries);
	g_queue_clear_full(&issuer->batches, g_free);
	g_free(issuer);
}

static struct issuer *add_issuer(struct ticket_table *t, uint64_t incarnation)
{
	struct issuer *issuer = g_new0(struct issuer, 1);

	issuer->incarnation = incarnation;
	issuer->next_serial = 1;
	issuer->low_water = 1;
	issuer->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_entry);
	g_queue_init(&issuer->batches);
	g_hash_table_insert(t->issuers, &issuer->incarnation, issuer);
	return issuer;
}

static struct issuer *find_issuer(const struct ticket_table *t, uint64_t incarnation)
{
	return g_hash_table_lookup(t->issuers, &incarnation);
}

static struct entry *find(const struct ticket_table *t, const struct ticket_id *id)
{
	const struct issuer *issuer = find_issuer(t, id->incarnation);

	return issuer ? g_hash_table_lookup(issuer->entries, &id->serial) : NULL;
}

struct ticket_table *ticket_new(const char *vm, uint64_t incarnation)
{
	struct ticket_table *t = g_new0(struct ticket_table, 1);

	t->vm = g_strdup(vm);
	t->incarnation = incarnation;
	t->issuers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_issuer);
	g_queue_init(&t->ended);
	g_queue_init(&t->bodies);
	add_issuer(t, incarnation);
	return t;
}

void ticket_free(struct ticket_table *t)
{
	g_queue_clear(&t->ended);
	g_queue_clear(&t->bodies);
	g_hash_table_destroy(t->issuers);
	g_free(t->vm);
	g_free(t);
}

static void record_issued(struct issuer *issuer, int64_t expires_wall_ms)
{
	struct batch *last = g_queue_peek_tail(&issuer->batches);

	if (!last || last->expires_wall_ms + TICKET_BATCH_MS < expires_wall_ms) {
		last = g_new0(struct batch, 1);
		last->expires_wall_ms = expires_wall_ms;
		g_queue_push_tail(&issuer->batches, last);
	}
	last->end = issuer->next_serial;
}

bool ticket_issue(struct ticket_table *t, uint32_t n, int64_t now_wall_ms, struct ticket_id *first)
{
	struct issuer *own = find_issuer(t, t->incarnation);

	if (own->released)
		return false;
	g_strlcpy(first->vm, t->vm, sizeof(first->vm));
	first->incarnation = t->incarnation;
	first->serial = own->next_serial;
	first->expires_wall_ms = now_wall_ms + TICKET_LIFETIME_MS;
	own->next_serial += n;
	record_issued(own, first->expires_wall_ms);
	return true;
}

static void drop_oldest(struct ticket_table *t)
{
	struct entry *entry = g_queue_pop_head(&t->ended);
	struct issuer *issuer = entry->issuer;

	if (g_queue_peek_head(&t->bodies) == entry) {
		g_queue_pop_head(&t->bodies);
		t->bytes -= g_bytes_get_size(entry->answer.body);
	}
	issuer->low_water = MAX(issuer->low_water, entry->serial + 1);
	g_hash_table_remove(issuer->entries, &entry->serial);
}

/* Drops the oldest body. Its entry is kept, but with an unknown outcome. */
static void drop_oldest_body(struct ticket_table *t)
{
	struct entry *entry = g_queue_pop_head(&t->bodies);

	t->bytes -= g_bytes_get_size(entry->answer.body);
	clear_body(&entry->answer);
	entry->answer.outcome = ERR_OUTCOME_UNKNOWN;
	entry->answer.code = ERR_TICKET_EXPIRED;
	entry->answer.next_stage = 0;
	entry->in_bodies = NULL;
}

static void raise_low_water(struct issuer *issuer, int64_t now_wall_ms)
{
	const struct batch *batch;

	while ((batch = g_queue_peek_head(&issuer->batches)) &&
	       batch->expires_wall_ms + TICKET_BATCH_MS <= now_wall_ms) {
		issuer->low_water = MAX(issuer->low_water, batch->end);
		g_free(g_queue_pop_head(&issuer->batches));
	}
}

static bool is_oldest_expired(const struct ticket_table *t)
{
	const struct entry *entry = g_queue_peek_head((GQueue *)&t->ended);

	return entry && entry->serial < entry->issuer->low_water;
}

static void trim(struct ticket_table *t)
{
	while (is_oldest_expired(t) || g_queue_get_length(&t->ended) > TICKET_ENTRIES_MAX)
		drop_oldest(t);
	while (t->bytes > TICKET_BODY_BYTES_MAX)
		drop_oldest_body(t);
}

static void add_entry(struct issuer *issuer, uint64_t serial, uint64_t req)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->serial = serial;
	entry->req = req;
	entry->issuer = issuer;
	g_hash_table_insert(issuer->entries, &entry->serial, entry);
}

static enum ticket_verdict claim_unused(struct issuer *issuer, const struct ticket_id *id,
					uint64_t req, int64_t now_wall_ms)
{
	if (id->serial >= issuer->next_serial || id->serial < issuer->low_water ||
	    id->expires_wall_ms <= now_wall_ms)
		return TICKET_UNKNOWN;
	add_entry(issuer, id->serial, req);
	return TICKET_RUN;
}

enum ticket_verdict ticket_claim(struct ticket_table *t, const struct ticket_id *id, uint64_t req,
				 int64_t now_wall_ms, uint64_t *running)
{
	struct issuer *issuer = find_issuer(t, id->incarnation);
	const struct entry *entry;

	if (!issuer || issuer->released ||
	    (id->incarnation == t->incarnation && strcmp(id->vm, t->vm) != 0))
		return TICKET_FORWARD;
	raise_low_water(issuer, now_wall_ms);
	trim(t);
	entry = g_hash_table_lookup(issuer->entries, &id->serial);
	if (!entry)
		return claim_unused(issuer, id, req, now_wall_ms);
	if (!entry->ended) {
		*running = entry->req;
		return TICKET_JOIN;
	}
	return entry->answer.outcome == ERR_OUTCOME_NOT_RUN ? TICKET_NOT_RUN : TICKET_REPLAY;
}

static void end_entry(struct ticket_table *t, struct entry *entry,
		      const struct ticket_answer *answer)
{
	entry->ended = true;
	entry->answer = *answer;
	g_queue_push_tail(&t->ended, entry);
	entry->in_ended = t->ended.tail;
	if (answer->body) {
		g_bytes_ref(answer->body);
		t->bytes += g_bytes_get_size(answer->body);
		g_queue_push_tail(&t->bodies, entry);
		entry->in_bodies = t->bodies.tail;
	}
	trim(t);
}

GBytes *ticket_reopen(struct ticket_table *t, const struct ticket_id *id, uint64_t req)
{
	struct entry *entry = find(t, id);
	GBytes *body;

	if (!entry || !entry->ended || entry->issuer->released || entry->answer.next_stage == 0)
		return NULL;
	body = entry->answer.body;
	t->bytes -= g_bytes_get_size(body);
	g_queue_delete_link(&t->ended, entry->in_ended);
	g_queue_delete_link(&t->bodies, entry->in_bodies);
	entry->in_bodies = NULL;
	memset(&entry->answer, 0, sizeof(entry->answer));
	entry->ended = false;
	entry->req = req;
	return body;
}

void ticket_finish(struct ticket_table *t, const struct ticket_id *id,
		   const struct ticket_answer *answer)
{
	struct entry *entry = find(t, id);

	if (entry && !entry->ended)
		end_entry(t, entry, answer);
}

enum err_outcome ticket_refuse(struct ticket_table *t, const struct ticket_id *id, int code,
			       int64_t now_wall_ms)
{
	const struct ticket_answer answer = {.outcome = ERR_OUTCOME_NOT_RUN, .code = code};
	uint64_t running;

	switch (ticket_claim(t, id, 0, now_wall_ms, &running)) {
	case TICKET_RUN:
		ticket_finish(t, id, &answer);
		return ERR_OUTCOME_NOT_RUN;
	case TICKET_NOT_RUN:
		return ERR_OUTCOME_NOT_RUN;
	default:
		return ERR_OUTCOME_UNKNOWN;
	}
}

const struct ticket_answer *ticket_answer(const struct ticket_table *t, const struct ticket_id *id)
{
	const struct entry *entry = find(t, id);

	return entry && entry->ended ? &entry->answer : NULL;
}

uint32_t ticket_count(const struct ticket_table *t)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, t->issuers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += g_hash_table_size(((struct issuer *)value)->entries);
	return count;
}

uint64_t ticket_body_bytes(const struct ticket_table *t)
{
	return t->bytes;
}

static void clear_record(gpointer data)
{
	clear_body(&((struct ticket_record *)data)->answer);
}

static void end_running(struct ticket_table *t, struct issuer *issuer)
{
	const struct ticket_answer answer = {.outcome = ERR_OUTCOME_UNKNOWN, .code = ERR_DRAINING};
	GList *entries = g_hash_table_get_values(issuer->entries);

	for (GList *at = entries; at; at = at->next) {
		struct entry *entry = at->data;
		if (!entry->ended) {
			entry->ended = true;
			entry->answer = answer;
			g_queue_push_tail(&t->ended, entry);
			entry->in_ended = t->ended.tail;
		}
	}
	g_list_free(entries);
}

/* Copies in the order in which the tickets ended, so that the successor drops the oldest first. */
static void copy_records(const struct ticket_table *t, const struct issuer *issuer, GArray *records)
{
	for (GList *at = t->ended.head; at; at = at->next) {
		const struct entry *entry = at->data;
		const struct ticket_record record = {.serial = entry->serial,
						     .answer = entry->answer};

		if (entry->issuer != issuer)
			continue;
		if (record.answer.body)
			g_bytes_ref(record.answer.body);
		g_array_append_val(records, record);
	}
}

bool ticket_release(struct ticket_table *t, uint64_t incarnation, struct ticket_release *release)
{
	struct issuer *issuer = find_issuer(t, incarnation);
	const struct batch *last;

	if (!issuer || issuer->released)
		return false;
	issuer->released = true;
	end_running(t, issuer);
	last = g_queue_peek_tail(&issuer->batches);
	release->incarnation = incarnation;
	release->next_serial = issuer->next_serial;
	release->low_water = issuer->low_water;
	release->expires_wall_ms = last ? last->expires_wall_ms : 0;
	release->records = g_array_new(FALSE, FALSE, sizeof(struct ticket_record));
	g_array_set_clear_func(release->records, clear_record);
	copy_records(t, issuer, release->records);
	return true;
}

void ticket_release_clear(struct ticket_release *release)
{
	if (release->records)
		g_array_unref(release->records);
	release->records = NULL;
}

bool ticket_adopt(struct ticket_table *t, const struct ticket_release *release, int64_t now_wall_ms)
{
	struct issuer *issuer = find_issuer(t, release->incarnation);

	/*
	 * This includes an incarnation that this table adopted and released again: a delayed
	 * duplicate of the release must not make it the owner again.
	 */
	if (issuer)
		return true;
	if (g_hash_table_size(t->issuers) > TICKET_ADOPTED_MAX)
		return false;
	issuer = add_issuer(t, release->incarnation);
	issuer->next_serial = release->next_serial;
	issuer->low_water = release->low_water;
	record_issued(issuer, release->expires_wall_ms);
	for (guint i = 0; i < release->records->len; i++) {
		const struct ticket_record *record =
			&g_array_index(release->records, struct ticket_record, i);
		if (g_hash_table_contains(issuer->entries, &record->serial))
			continue;
		add_entry(issuer, record->serial, 0);
		end_entry(t, g_hash_table_lookup(issuer->entries, &record->serial),
			  &record->answer);
	}
	return true;
}

bool ticket_owns(const struct ticket_table *t, uint64_t incarnation)
{
	const struct issuer *issuer = find_issuer(t, incarnation);

	return issuer && !issuer->released;
}

GArray *ticket_owned_incarnations(const struct ticket_table *t)
{
	GArray *owned = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer value;

	if (ticket_owns(t, t->incarnation))
		g_array_append_val(owned, t->incarnation);
	g_hash_table_iter_init(&iter, t->issuers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct issuer *issuer = value;
		if (!issuer->released && issuer->incarnation != t->incarnation)
			g_array_append_val(owned, issuer->incarnation);
	}
	return owned;
}
