/*
 * The asker's side of chains: finds the owner, asks, and asks the next one when it falls silent.
 * Pieces may be worked on again, so a lost owner costs time and nothing else; what stood is passed
 * on to the next.
 */
#include "srv_chain_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

#define TAKEN_MS 350	/* for the owner's word that it has the chain */
#define ASK_AGAIN_MAX 6 /* owners asked for one chain */

/* A chain that this node has asked for. */
struct srv_ask {
	uint64_t id;
	struct srv *s;
	char owner[FLE_NAME_BYTES];
	uint64_t owner_incarnation;
	struct chn_stage_doc *stages;
	uint32_t n_stages;
	char *attempt;
	char *key;
	char **regions;
	char *data_centre; /* where its results are wanted */
	int64_t aim_at_ms;
	int64_t deadline_at_ms;
	int32_t rank;
	int64_t began_ms;
	int64_t sent_ms;
	GArray *done; /* struct chn_done: results that stand, as the owner told; for the next one */
	bool taken;
	bool answered;
	uint32_t times;
	srv_chain_fn fn;
	void *arg;
};

static void clear_done(gpointer data)
{
	struct chn_done *done = data;

	g_free(done->upstream);
	g_free(done->handle);
}

static void free_ask(gpointer data)
{
	struct srv_ask *ask = data;

	for (uint32_t i = 0; i < ask->n_stages; i++)
		g_free(ask->stages[i].service);
	g_free(ask->stages);
	g_free(ask->attempt);
	g_free(ask->key);
	g_free(ask->data_centre);
	g_strfreev(ask->regions);
	g_array_unref(ask->done);
	g_free(ask);
}

GHashTable *srv_chain_asks_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_ask);
}

static void fill_job(const struct srv_ask *ask, struct chn_job_doc *doc)
{
	*doc = (struct chn_job_doc){
		.id = ask->id,
		.asker = chain_self(ask->s),
		.attempt = ask->attempt,
		.key = ask->key,
		.stages = ask->stages,
		.n_stages = ask->n_stages,
		.aim_at_ms = ask->aim_at_ms,
		.deadline_at_ms = ask->deadline_at_ms,
		.rank = ask->rank,
		.data_centre = ask->data_centre,
		.regions = ask->regions,
	};
}

static const struct chn_done *done_of(const struct srv_ask *ask)
{
	return (const struct chn_done *)(void *)ask->done->data;
}

static void submit_here(struct srv_ask *ask)
{
	struct srv *s = ask->s;
	struct chn_job_doc doc;
	GArray *out = chn_out_new();

	fill_job(ask, &doc);
	ask->taken = true;
	chn_submit(s->chains, &doc, done_of(ask), ask->done->len, clock_now_ms(), out);
	chain_carry_out(s, out);
}

static void submit_there(const struct srv_ask *ask, int64_t now_ms)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	struct chn_job_doc doc;
	struct wire_ask wire;

	fill_job(ask, &doc);
	chain_fill_wire(&wire, &doc, done_of(ask), ask->done->len, now_ms);
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_ASK;
	message.chain_ask = &wire.ask;
	srv_mesh_send(ask->s, ask->owner, &message);
	chain_clear_wire(&wire);
}

/* except: the owner that fell silent; NULL for the first. */
static void submit(struct srv_ask *ask, const char *except, int64_t now_ms)
{
	const struct fle_member *owner = fle_owner(ask->s->fleet, except, now_ms);

	g_strlcpy(ask->owner, owner->record.peer_address, sizeof(ask->owner));
	ask->owner_incarnation = owner->record.incarnation;
	ask->sent_ms = now_ms;
	ask->taken = false;
	ask->times++;
	if (strcmp(ask->owner, chain_self(ask->s)) == 0)
		submit_here(ask);
	else
		submit_there(ask, now_ms);
}

uint64_t srv_chain_ask(struct srv *s, const struct chn_job_doc *doc, srv_chain_fn fn, void *arg)
{
	struct srv_ask *ask = g_new0(struct srv_ask, 1);
	uint64_t id = s->next_chain++;

	ask->id = id;
	ask->s = s;
	ask->n_stages = doc->n_stages;
	ask->stages = g_new0(struct chn_stage_doc, doc->n_stages + 1);
	for (uint32_t i = 0; i < doc->n_stages; i++) {
		ask->stages[i] = doc->stages[i];
		ask->stages[i].service = g_strdup(doc->stages[i].service);
	}
	ask->attempt = g_strdup(doc->attempt);
	ask->key = g_strdup(doc->key);
	ask->data_centre = g_strdup(doc->data_centre);
	ask->regions = g_strdupv((char **)doc->regions);
	ask->done = g_array_new(FALSE, FALSE, sizeof(struct chn_done));
	g_array_set_clear_func(ask->done, clear_done);
	ask->aim_at_ms = doc->aim_at_ms;
	ask->deadline_at_ms = doc->deadline_at_ms;
	ask->rank = doc->rank;
	ask->began_ms = clock_now_ms();
	ask->fn = fn;
	ask->arg = arg;
	g_hash_table_insert(s->asks, &ask->id, ask);
	srv_count(s, SRV_CHAINS);
	submit(ask, NULL, ask->began_ms);
	return id;
}

static void send_end(struct srv *s, const char *owner, uint64_t id, bool fetched)
{
	Peer__ChainEnd wire = PEER__CHAIN_END__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	wire.id = id;
	wire.fetched = fetched;
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_END;
	message.chain_end = &wire;
	if (strcmp(owner, chain_self(s)) == 0)
		chain_take_end(s, &wire);
	else
		srv_mesh_send(s, owner, &message);
}

void chain_take_end(struct srv *s, const Peer__ChainEnd *end)
{
	GArray *out = chn_out_new();

	(end->fetched ? chn_fetched : chn_end)(s->chains, end->id, clock_now_ms(), out);
	chain_carry_out(s, out);
}

void chain_send_end(struct srv *s, const char *owner, uint64_t id)
{
	send_end(s, owner, id, false);
}

void srv_chain_fetched(struct srv *s, uint64_t id)
{
	const struct srv_ask *ask = g_hash_table_lookup(s->asks, &id);

	if (ask)
		send_end(s, ask->owner, id, true);
}

void srv_chain_end(struct srv *s, uint64_t id)
{
	struct srv_ask *ask = g_hash_table_lookup(s->asks, &id);
	char owner[FLE_NAME_BYTES];

	if (!ask)
		return;
	g_strlcpy(owner, ask->owner, sizeof(owner));
	g_hash_table_remove(s->asks, &id);
	chain_send_end(s, owner, id);
}

/* The answer to an ask; a refusal ends it. */
void chain_answer(struct srv *s, uint64_t id, const char *from,
		  const struct srv_chain_result *result)
{
	struct srv_ask *ask = g_hash_table_lookup(s->asks, &id);
	srv_chain_fn fn;
	void *arg;

	if (!ask || ask->answered || strcmp(from, ask->owner) != 0) {
		/* of an owner that was given up: what it holds for us is of no use */
		if (result->ready)
			chain_send_end(s, from, id);
		return;
	}
	ask->answered = true;
	srv_observe(&s->chain_time, clock_now_ms() - ask->began_ms);
	fn = ask->fn;
	arg = ask->arg;
	if (!result->ready)
		g_hash_table_remove(s->asks, &id);
	fn(arg, result);
}

/* False when the chain has ended meanwhile. moved: another node owns it now. */
bool chain_set_owner(struct srv *s, uint64_t id, const char *address, bool moved)
{
	struct srv_ask *ask = g_hash_table_lookup(s->asks, &id);
	const struct fle_member *owner = fle_find(s->fleet, address);

	if (!ask)
		return false;
	if (!moved && strcmp(address, ask->owner) != 0)
		return true; /* the word of one that was given up */
	g_strlcpy(ask->owner, address, sizeof(ask->owner));
	ask->owner_incarnation = owner ? owner->record.incarnation : 0;
	ask->taken = true;
	return true;
}

void chain_expect_owner(struct srv *s, uint64_t id, const char *from, const char *address)
{
	struct srv_ask *ask = g_hash_table_lookup(s->asks, &id);

	if (!ask || strcmp(from, ask->owner) != 0)
		return; /* the new owner's own word was quicker */
	chain_set_owner(s, id, address, true);
	ask->taken = false;
	ask->sent_ms = clock_now_ms();
}

static bool is_lost(const struct srv_ask *ask, int64_t now_ms)
{
	const struct fle_member *owner = fle_find(ask->s->fleet, ask->owner);

	if (strcmp(ask->owner, chain_self(ask->s)) == 0)
		return !chn_has(ask->s->chains, ask->id);

	if (!owner || !fle_is_alive(ask->s->fleet, owner, now_ms))
		return true;
	if (ask->owner_incarnation != 0 && owner->record.incarnation != ask->owner_incarnation)
		return true;
	return !ask->taken && now_ms - ask->sent_ms > TAKEN_MS;
}

static void ask_again(struct srv_ask *ask, int64_t now_ms)
{
	char owner[FLE_NAME_BYTES];

	g_strlcpy(owner, ask->owner, sizeof(owner));
	if (!ask->taken) /* the chains that follow need not wait for it too */
		fle_doubt(ask->s->fleet, owner, now_ms);
	srv_count(ask->s, SRV_CHAINS_AGAIN);
	log_info("chain_owner_lost", "{s:s, s:s, s:b, s:I}", "request", ask->attempt, "owner",
		 owner, "taken", (int)ask->taken, "waited_ms", (json_int_t)(now_ms - ask->sent_ms));
	submit(ask, ask->taken ? NULL : owner, now_ms);
}

void srv_chain_tick(struct srv *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *lost = g_ptr_array_new();

	g_hash_table_iter_init(&iter, s->asks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct srv_ask *ask = value;
		if (!ask->answered && ask->times < ASK_AGAIN_MAX && is_lost(ask, now_ms))
			g_ptr_array_add(lost, ask);
	}
	for (guint i = 0; i < lost->len; i++)
		ask_again(g_ptr_array_index(lost, i), now_ms);
	g_ptr_array_unref(lost);
}

static void put_done(GArray *list, const struct chn_done *done)
{
	const struct chn_done copy = {done->stage, done->index, g_strdup(done->upstream),
				      g_strdup(done->handle)};

	for (guint i = 0; i < list->len; i++) {
		struct chn_done *old = &g_array_index(list, struct chn_done, i);
		if (old->stage != done->stage || old->index != done->index)
			continue;
		clear_done(old);
		*old = copy;
		return;
	}
	g_array_append_val(list, copy);
}

void chain_keep_progress(struct srv *s, uint64_t id, const struct chn_done *done, uint32_t n)
{
	struct srv_ask *ask = g_hash_table_lookup(s->asks, &id);

	for (uint32_t i = 0; ask && i < n; i++)
		put_done(ask->done, &done[i]);
}
