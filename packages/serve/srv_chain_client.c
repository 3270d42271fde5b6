/*
 * Chains that this node requests (as the "asker"): submits a chain to its owner, and to the next
 * owner if the first one fails. Pieces are idempotent, so the loss of an owner only costs time; the
 * next owner receives the results that the former one has reported.
 */
#include "srv_chain_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

#define ACK_TIMEOUT_MS 350   /* time for the owner to confirm a chain before it counts as lost */
#define OWNER_ATTEMPTS_MAX 6 /* most submissions of one chain */
/*
 * Time for the link to an owner that this node never heard from to open: a machine that was down
 * when the link was first tried is reached by one of the next attempts.
 */
#define LINK_TIMEOUT_MS 1000
/* Interval at which chains whose owner couldn't be reached are sent again. */
#define UNSENT_RETRY_MS 20
/* A chain requested by this node. */
struct srv_chain_request {
	uint64_t id;
	struct srv *s;
	char owner[GOSSIP_NAME_BYTES];
	uint64_t owner_incarnation;
	struct chain_stage_spec *stages;
	uint32_t n_stages;
	char *account; /* client account of the request; NULL: none */
	char *attempt;
	char *key;
	char **regions;
	struct chain_prompt prompt; /* owns the service */
	char *data_centre;	    /* preferred data centre for the chain's results */
	int64_t aim_at_ms;
	int64_t deadline_at_ms;
	int32_t rank;
	int64_t began_ms;
	int64_t chosen_ms; /* when the owner was chosen; 0: not yet */
	int64_t sent_ms;
	bool is_sent;
	GArray *done; /* struct chain_stored_result: results reported by the owner so far */
	bool is_acked;
	bool is_answered;
	uint32_t attempts; /* number of submissions */
	srv_chain_fn fn;
	void *arg;
};

static void clear_done(gpointer data)
{
	struct chain_stored_result *done = data;

	g_free(done->upstream);
	g_free(done->handle);
}

static void free_request(gpointer data)
{
	struct srv_chain_request *request = data;

	for (uint32_t i = 0; i < request->n_stages; i++)
		g_free(request->stages[i].service);
	g_free(request->stages);
	g_free(request->account);
	g_free(request->attempt);
	g_free(request->key);
	g_free(request->data_centre);
	g_free((void *)request->prompt.service);
	g_strfreev(request->regions);
	g_array_unref(request->done);
	g_free(request);
}

GHashTable *srv_chain_requests_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
}

static void fill_job(const struct srv_chain_request *request, struct chain_job_spec *doc)
{
	*doc = (struct chain_job_spec){
		.id = request->id,
		.asker = srv_chain_self(request->s),
		.account = request->account,
		.attempt = request->attempt,
		.key = request->key,
		.stages = request->stages,
		.n_stages = request->n_stages,
		.aim_at_ms = request->aim_at_ms,
		.deadline_at_ms = request->deadline_at_ms,
		.rank = request->rank,
		.data_centre = request->data_centre,
		.region = srv_region_of(request->s, request->data_centre),
		.regions = request->regions,
		.prompt = request->prompt,
	};
}

static const struct chain_stored_result *results_of(const struct srv_chain_request *request)
{
	return (const struct chain_stored_result *)(void *)request->done->data;
}

static void submit_local(struct srv_chain_request *request)
{
	struct srv *s = request->s;
	struct chain_job_spec doc;
	GArray *out = chain_cmd_list_new();

	fill_job(request, &doc);
	request->is_sent = true;
	request->is_acked = true;
	srv_regions_claim(s, doc.region, clock_now_ms());
	chain_submit(s->chains, &doc, results_of(request), request->done->len, clock_now_ms(), out);
	srv_chain_execute(s, out);
}

static void submit_remote(struct srv_chain_request *request, int64_t now_ms)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	struct chain_job_spec doc;
	struct srv_chain_wire wire;

	fill_job(request, &doc);
	srv_chain_encode(&wire, &doc, results_of(request), request->done->len, now_ms);
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_ASK;
	message.chain_ask = &wire.ask;
	request->is_sent = srv_peer_send(request->s, request->owner, &message);
	request->sent_ms = now_ms;
	srv_chain_wire_clear(&wire);
}

static void retry_unsent(uv_timer_t *timer);

static void retry_later(struct srv *s)
{
	if (!uv_is_active((uv_handle_t *)&s->unsent_timer))
		uv_timer_start(&s->unsent_timer, retry_unsent, UNSENT_RETRY_MS, UNSENT_RETRY_MS);
}

/*
 * except: a node to skip because it didn't confirm in time; NULL: none. A chain that this node owns
 * may be refused at once, which frees the request.
 */
static void submit(struct srv_chain_request *request, const char *except, int64_t now_ms)
{
	struct srv *s = request->s;
	const char *region = srv_region_of(s, request->data_centre);
	const struct gossip_member *owner = srv_region_owner(s, region, except, now_ms);

	request->is_sent = false;
	request->is_acked = false;
	if (srv_is_joining(s, now_ms)) {
		retry_later(s);
		return;
	}
	g_strlcpy(request->owner, owner->record.peer_address, sizeof(request->owner));
	request->owner_incarnation = owner->record.incarnation;
	request->chosen_ms = now_ms;
	request->sent_ms = now_ms;
	request->attempts++;
	if (strcmp(request->owner, srv_chain_self(s)) == 0) {
		submit_local(request);
		return;
	}
	submit_remote(request, now_ms);
	if (!request->is_sent)
		retry_later(s);
}

uint64_t srv_chain_submit(struct srv *s, const struct chain_job_spec *doc, srv_chain_fn fn,
			  void *arg)
{
	struct srv_chain_request *request = g_new0(struct srv_chain_request, 1);
	uint64_t id = s->next_chain++;

	request->id = id;
	request->s = s;
	request->n_stages = doc->n_stages;
	request->stages = g_new0(struct chain_stage_spec, doc->n_stages + 1);
	for (uint32_t i = 0; i < doc->n_stages; i++) {
		request->stages[i] = doc->stages[i];
		request->stages[i].service = g_strdup(doc->stages[i].service);
	}
	request->account = g_strdup(doc->account);
	request->attempt = g_strdup(doc->attempt);
	request->key = g_strdup(doc->key);
	request->data_centre = g_strdup(doc->data_centre);
	request->regions = g_strdupv((char **)doc->regions);
	request->prompt = doc->prompt;
	request->prompt.service = g_strdup(doc->prompt.service);
	request->done = g_array_new(FALSE, FALSE, sizeof(struct chain_stored_result));
	g_array_set_clear_func(request->done, clear_done);
	request->aim_at_ms = doc->aim_at_ms;
	request->deadline_at_ms = doc->deadline_at_ms;
	request->rank = doc->rank;
	request->began_ms = clock_now_ms();
	request->fn = fn;
	request->arg = arg;
	g_hash_table_insert(s->chain_requests, &request->id, request);
	srv_count(s, SRV_CHAINS);
	submit(request, NULL, request->began_ms);
	return id;
}

static void send_end_message(struct srv *s, const char *owner, uint64_t id, bool fetched)
{
	Peer__ChainEnd wire = PEER__CHAIN_END__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	wire.id = id;
	wire.fetched = fetched;
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_END;
	message.chain_end = &wire;
	if (strcmp(owner, srv_chain_self(s)) == 0)
		srv_chain_handle_end(s, &wire);
	else
		srv_peer_send_when_open(s, owner, &message);
}

void srv_chain_handle_end(struct srv *s, const Peer__ChainEnd *end)
{
	GArray *out = chain_cmd_list_new();

	(end->fetched ? chain_mark_fetched : chain_release)(s->chains, end->id, clock_now_ms(),
							    out);
	srv_chain_execute(s, out);
}

void srv_chain_send_end(struct srv *s, const char *owner, uint64_t id)
{
	send_end_message(s, owner, id, false);
}

void srv_chain_note_fetched(struct srv *s, uint64_t id)
{
	const struct srv_chain_request *request = g_hash_table_lookup(s->chain_requests, &id);

	if (request)
		send_end_message(s, request->owner, id, true);
}

void srv_chain_release(struct srv *s, uint64_t id)
{
	struct srv_chain_request *request = g_hash_table_lookup(s->chain_requests, &id);
	char owner[GOSSIP_NAME_BYTES];

	if (!request)
		return;
	g_strlcpy(owner, request->owner, sizeof(owner));
	g_hash_table_remove(s->chain_requests, &id);
	srv_chain_send_end(s, owner, id);
}

bool srv_chain_get_status(const struct srv *s, uint64_t id, struct srv_chain_status *status)
{
	const struct srv_chain_request *request = g_hash_table_lookup(s->chain_requests, &id);

	if (!request)
		return false;
	*status = (struct srv_chain_status){
		.owner = request->owner,
		.is_acked = request->is_acked,
		.is_answered = request->is_answered,
		.attempts = request->attempts,
		.n_results = request->done->len,
		.submitted_ms = request->sent_ms,
	};
	return true;
}

void srv_chain_deliver(struct srv *s, uint64_t id, const char *from,
		       const struct srv_chain_result *result)
{
	struct srv_chain_request *request = g_hash_table_lookup(s->chain_requests, &id);
	srv_chain_fn fn;
	void *arg;

	if (!request || request->is_answered || strcmp(from, request->owner) != 0) {
		/* from a former owner or after the end: tell the sender to free the results */
		if (result->ready)
			srv_chain_send_end(s, from, id);
		return;
	}
	request->is_answered = true;
	srv_histogram_observe(&s->chain_time, clock_now_ms() - request->began_ms);
	fn = request->fn;
	arg = request->arg;
	if (!result->ready)
		g_hash_table_remove(s->chain_requests, &id);
	fn(arg, result);
}

bool srv_chain_set_owner(struct srv *s, uint64_t id, const char *address, bool moved)
{
	struct srv_chain_request *request = g_hash_table_lookup(s->chain_requests, &id);
	const struct gossip_member *owner = gossip_find(s->fleet, address);

	if (!request)
		return false;
	if (!moved && strcmp(address, request->owner) != 0)
		return true; /* from a former owner */
	if (!request->is_acked)
		srv_histogram_observe(&s->chain_ack, clock_now_ms() - request->sent_ms);
	g_strlcpy(request->owner, address, sizeof(request->owner));
	request->owner_incarnation = owner ? owner->record.incarnation : 0;
	request->is_acked = true;
	return true;
}

void srv_chain_expect_owner(struct srv *s, uint64_t id, const char *from, const char *address)
{
	struct srv_chain_request *request = g_hash_table_lookup(s->chain_requests, &id);

	if (!request || strcmp(from, request->owner) != 0)
		return; /* the new owner has already confirmed */
	srv_chain_set_owner(s, id, address, true);
	request->is_acked = false;
	request->is_sent = true; /* by the former owner */
	request->sent_ms = clock_now_ms();
}

/* Returns whether the owner of a chain that couldn't be sent so far is to be given up. */
static bool is_unreachable(const struct srv_chain_request *request,
			   const struct gossip_member *owner, int64_t now_ms)
{
	/* the link to an owner that was heard from has been open, and has broken since */
	int64_t limit_ms = owner->contact_ms > 0 ? ACK_TIMEOUT_MS : LINK_TIMEOUT_MS;

	return now_ms - request->chosen_ms > limit_ms;
}

static bool is_lost(const struct srv_chain_request *request, int64_t now_ms)
{
	const struct gossip_member *owner = gossip_find(request->s->fleet, request->owner);

	if (strcmp(request->owner, srv_chain_self(request->s)) == 0)
		return !chain_contains(request->s->chains, request->id);
	if (request->chosen_ms == 0)
		return false;
	if (!owner || !gossip_is_alive(request->s->fleet, owner, now_ms))
		return true;
	if (request->owner_incarnation != 0 &&
	    owner->record.incarnation != request->owner_incarnation)
		return true;
	if (!request->is_sent)
		return is_unreachable(request, owner, now_ms);
	return !request->is_acked && now_ms - request->sent_ms > ACK_TIMEOUT_MS;
}

static void resubmit(struct srv_chain_request *request, int64_t now_ms)
{
	char owner[GOSSIP_NAME_BYTES];

	g_strlcpy(owner, request->owner, sizeof(owner));
	if (!request->is_acked) /* so that later chains don't wait for this owner too */
		gossip_suspect(request->s->fleet, owner, now_ms);
	srv_count(request->s, SRV_CHAIN_RETRIES);
	log_info("chain_owner_lost", "{s:s, s:s, s:b, s:b, s:I}", "request", request->attempt,
		 "owner", owner, "sent", (int)request->is_sent, "taken", (int)request->is_acked,
		 "waited_ms", (json_int_t)(now_ms - request->chosen_ms));
	submit(request, request->is_acked ? NULL : owner, now_ms);
}

/*
 * Sends chains again whose owner wasn't chosen yet or whose link to the owner wasn't open. One that
 * can't be reached for too long is replaced by srv_chain_tick().
 */
static void retry_unsent(uv_timer_t *timer)
{
	struct srv *s = timer->data;
	int64_t now_ms = clock_now_ms();
	GPtrArray *unsent = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->chain_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct srv_chain_request *request = value;
		if (!request->is_sent && !request->is_answered)
			g_ptr_array_add(unsent, request);
	}
	if (unsent->len == 0)
		uv_timer_stop(timer);
	/* submitting on this node may answer, and so free, the request alone */
	for (guint i = 0; i < unsent->len; i++) {
		struct srv_chain_request *request = g_ptr_array_index(unsent, i);
		if (request->chosen_ms == 0)
			submit(request, NULL, now_ms);
		else
			submit_remote(request, now_ms);
	}
	g_ptr_array_unref(unsent);
}

void srv_chain_tick(struct srv *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *lost = g_ptr_array_new();

	g_hash_table_iter_init(&iter, s->chain_requests);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct srv_chain_request *request = value;
		if (!request->is_answered && request->attempts < OWNER_ATTEMPTS_MAX &&
		    is_lost(request, now_ms))
			g_ptr_array_add(lost, request);
	}
	for (guint i = 0; i < lost->len; i++)
		resubmit(g_ptr_array_index(lost, i), now_ms);
	g_ptr_array_unref(lost);
}

static void save_result(GArray *list, const struct chain_stored_result *done)
{
	const struct chain_stored_result copy = {done->stage, done->index, g_strdup(done->upstream),
						 g_strdup(done->handle)};

	for (guint i = 0; i < list->len; i++) {
		struct chain_stored_result *old =
			&g_array_index(list, struct chain_stored_result, i);
		if (old->stage != done->stage || old->index != done->index)
			continue;
		clear_done(old);
		*old = copy;
		return;
	}
	g_array_append_val(list, copy);
}

void srv_chain_save_progress(struct srv *s, uint64_t id, const struct chain_stored_result *done,
			     uint32_t n)
{
	struct srv_chain_request *request = g_hash_table_lookup(s->chain_requests, &id);

	for (uint32_t i = 0; request && i < n; i++)
		save_result(request->done, &done[i]);
}
