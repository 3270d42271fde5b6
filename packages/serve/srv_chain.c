/*
 * Chains of stages on the wire. The asker's side finds the owner, asks, and asks the next one
 * when it falls silent: pieces may be worked on again, so a lost owner costs time and nothing
 * else. The owner's side carries out what decide/chn.h commands.
 */
#include "srv_int.h"

#include "base/clk.h"
#include "base/log.h"

#include <string.h>

#define HAND_OVER_MS 300 /* another owner has been known for so long */
#define TAKEN_MS 350	 /* for the owner's word that it has the chain */
#define ASK_AGAIN_MAX 6	 /* owners asked for one chain */
#define CALL_FACTOR 8	 /* times the expected time, after which a call is dropped */
#define CALL_MIN_MS 4000
#define CONNECT_MS 700
#define REPLY_BYTES_MAX (1024 * 1024)

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

/* A call of pieces or a giving up of results that this node, as owner, has under way. */
struct pool_call {
	struct srv *s;
	struct srv_upstream *upstream;
	struct htc_call *call;
	uint64_t id; /* 0: results are given up */
	uint32_t n;
	int64_t sent_ms;
	int64_t expect_ms;
	int status;
	bool not_run;
	uint32_t others; /* calls that the upstream had besides this one, as its answer says */
	uint32_t faults[ADP_PIECE_FAULTS]; /* pieces by what came of them */
	GByteArray *body;
	uv_timer_t timer;
};

static void carry_out(struct srv *s, GArray *out);
static void hand_over(struct srv *s, const struct chn_cmd *cmd);
static void tell_progress(struct srv *s, const struct chn_cmd *cmd);

static const char *self_address(const struct srv *s)
{
	return s->set->peer_address;
}

/* ---- the asker's side ---- */

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
		.asker = self_address(ask->s),
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
	chn_submit(s->chains, &doc, done_of(ask), ask->done->len, clk_now_ms(), out);
	carry_out(s, out);
}

/* A chain as it travels; borrows from doc. */
struct wire_ask {
	Peer__ChainAsk ask;
	Peer__ChainStage stages[PUB_STAGES_MAX];
	Peer__ChainStage *list[PUB_STAGES_MAX];
	Peer__ChainDone *done;
	Peer__ChainDone **done_list;
};

static void fill_done(struct wire_ask *w, const struct chn_done *done, uint32_t n)
{
	w->done = g_new0(Peer__ChainDone, n + 1);
	w->done_list = g_new0(Peer__ChainDone *, n + 1);
	for (uint32_t i = 0; i < n; i++) {
		peer__chain_done__init(&w->done[i]);
		w->done[i].stage = done[i].stage;
		w->done[i].index = done[i].index;
		w->done[i].upstream = done[i].upstream;
		w->done[i].handle = done[i].handle;
		w->done_list[i] = &w->done[i];
	}
	w->ask.done = w->done_list;
	w->ask.n_done = n;
}

static void clear_wire(struct wire_ask *w)
{
	g_free(w->done);
	g_free(w->done_list);
}

static void fill_wire(struct wire_ask *w, const struct chn_job_doc *doc,
		      const struct chn_done *done, uint32_t n_done, int64_t now_ms)
{
	peer__chain_ask__init(&w->ask);
	fill_done(w, done, n_done);
	w->ask.n_stages = MIN(doc->n_stages, PUB_STAGES_MAX);
	for (size_t i = 0; i < w->ask.n_stages; i++) {
		peer__chain_stage__init(&w->stages[i]);
		w->stages[i].service = doc->stages[i].service;
		w->stages[i].after = doc->stages[i].after;
		w->stages[i].pieces = doc->stages[i].pieces;
		w->stages[i].result_bytes = doc->stages[i].result_bytes;
		w->list[i] = &w->stages[i];
	}
	w->ask.id = doc->id;
	w->ask.attempt = (char *)doc->attempt;
	w->ask.key = (char *)(doc->key ? doc->key : "");
	w->ask.stages = w->list;
	w->ask.aim_ms = doc->aim_at_ms - now_ms;
	w->ask.deadline_ms = doc->deadline_at_ms - now_ms;
	w->ask.rank = doc->rank;
	w->ask.data_centre = (char *)doc->data_centre;
	w->ask.regions = (char **)doc->regions;
	w->ask.n_regions = doc->regions ? g_strv_length((char **)doc->regions) : 0;
}

static void submit_there(const struct srv_ask *ask, int64_t now_ms)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	struct chn_job_doc doc;
	struct wire_ask wire;

	fill_job(ask, &doc);
	fill_wire(&wire, &doc, done_of(ask), ask->done->len, now_ms);
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_ASK;
	message.chain_ask = &wire.ask;
	srv_mesh_send(ask->s, ask->owner, &message);
	clear_wire(&wire);
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
	if (strcmp(ask->owner, self_address(ask->s)) == 0)
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
	ask->began_ms = clk_now_ms();
	ask->fn = fn;
	ask->arg = arg;
	g_hash_table_insert(s->asks, &ask->id, ask);
	srv_count(s, SRV_CHAINS);
	submit(ask, NULL, ask->began_ms);
	return id;
}

static void send_end(struct srv *s, const char *owner, uint64_t id)
{
	Peer__ChainEnd wire = PEER__CHAIN_END__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	GArray *out;

	if (strcmp(owner, self_address(s)) == 0) {
		out = chn_out_new();
		chn_end(s->chains, id, clk_now_ms(), out);
		carry_out(s, out);
		return;
	}
	wire.id = id;
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_END;
	message.chain_end = &wire;
	srv_mesh_send(s, owner, &message);
}

void srv_chain_end(struct srv *s, uint64_t id)
{
	struct srv_ask *ask = g_hash_table_lookup(s->asks, &id);
	char owner[FLE_NAME_BYTES];

	if (!ask)
		return;
	g_strlcpy(owner, ask->owner, sizeof(owner));
	g_hash_table_remove(s->asks, &id);
	send_end(s, owner, id);
}

/* The answer to an ask; a refusal ends it. */
static void answer(struct srv *s, uint64_t id, const char *from,
		   const struct srv_chain_result *result)
{
	struct srv_ask *ask = g_hash_table_lookup(s->asks, &id);
	srv_chain_fn fn;
	void *arg;

	if (!ask || ask->answered || strcmp(from, ask->owner) != 0) {
		/* of an owner that was given up: what it holds for us is of no use */
		if (result->ready)
			send_end(s, from, id);
		return;
	}
	ask->answered = true;
	srv_observe(&s->chain_time, clk_now_ms() - ask->began_ms);
	fn = ask->fn;
	arg = ask->arg;
	if (!result->ready)
		g_hash_table_remove(s->asks, &id);
	fn(arg, result);
}

static void set_owner(struct srv_ask *ask, const char *address)
{
	const struct fle_member *owner = fle_find(ask->s->fleet, address);

	g_strlcpy(ask->owner, address, sizeof(ask->owner));
	ask->owner_incarnation = owner ? owner->record.incarnation : 0;
	ask->taken = true;
}

static bool is_lost(const struct srv_ask *ask, int64_t now_ms)
{
	const struct fle_member *owner = fle_find(ask->s->fleet, ask->owner);

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

/* ---- the owner's side ---- */

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void free_call(struct pool_call *pc)
{
	pc->upstream->in_flight--;
	g_byte_array_unref(pc->body);
	uv_timer_stop(&pc->timer);
	pc->timer.data = pc;
	uv_close((uv_handle_t *)&pc->timer, on_timer_closed);
}

static void log_call(const struct pool_call *pc, const char *outcome, int64_t now_ms)
{
	log_info("pool_call", "{s:I, s:s, s:s, s:i, s:I, s:I, s:i, s:s, s:i, s:i, s:i, s:i}",
		 "call", (json_int_t)pc->id, "upstream", pc->upstream->id, "address",
		 pc->upstream->address, "pieces", (int)pc->n, "expect_ms",
		 (json_int_t)pc->expect_ms, "took_ms", (json_int_t)(now_ms - pc->sent_ms), "status",
		 pc->status, "outcome", outcome, "late", (int)pc->faults[ADP_PIECE_LATE], "gone",
		 (int)pc->faults[ADP_PIECE_GONE], "no_room", (int)pc->faults[ADP_PIECE_ROOM],
		 "errors", (int)pc->faults[ADP_PIECE_ERROR]);
}

static void end_failed(struct pool_call *pc, enum chn_call_fault fault, const char *outcome)
{
	struct srv *s = pc->s;
	int64_t now_ms = clk_now_ms();
	GArray *out;

	if (pc->id == 0) {
		free_call(pc);
		return;
	}
	log_call(pc, outcome, now_ms);
	out = chn_out_new();
	chn_call_failed(s->chains, pc->id, fault, now_ms, out);
	free_call(pc);
	carry_out(s, out);
}

static bool on_head(void *arg, const struct htc_head *head)
{
	struct pool_call *pc = arg;
	struct adp_answer answer;

	pc->s->adp->upstream->read_answer(&head->headers, &answer);
	pc->status = head->status;
	pc->not_run = answer.not_run;
	pc->others = answer.has_load ? (uint32_t)MAX(answer.running + answer.waiting, 0) : 0;
	return true;
}

static void on_data(void *arg, const void *data, size_t len)
{
	struct pool_call *pc = arg;

	if (pc->body->len + len <= REPLY_BYTES_MAX)
		g_byte_array_append(pc->body, data, (guint)len);
}

static enum chn_fault to_fault(enum adp_piece_fault fault)
{
	static const enum chn_fault faults[] = {
		[ADP_PIECE_OK] = CHN_OK,       [ADP_PIECE_LATE] = CHN_LATE,
		[ADP_PIECE_GONE] = CHN_GONE,   [ADP_PIECE_ROOM] = CHN_ROOM,
		[ADP_PIECE_ERROR] = CHN_ERROR,
	};

	return faults[fault];
}

static void end_done(struct pool_call *pc)
{
	struct srv *s = pc->s;
	struct adp_result *wire = g_new0(struct adp_result, pc->n);
	struct chn_result *results = g_new0(struct chn_result, pc->n);
	int64_t now_ms = clk_now_ms();
	uint32_t n = pc->n;
	GArray *out;

	if (!s->adp->upstream->run_reply((const char *)pc->body->data, pc->body->len, wire, n)) {
		end_failed(pc, CHN_CALL_FAILED, "malformed");
	} else {
		for (uint32_t i = 0; i < n; i++) {
			results[i] = (struct chn_result){to_fault(wire[i].fault), wire[i].handle};
			pc->faults[wire[i].fault]++;
		}
		log_call(pc, pc->faults[ADP_PIECE_OK] < n ? "some pieces failed" : "done", now_ms);
		out = chn_out_new();
		chn_call_done(s->chains, pc->id, results, n, pc->others, now_ms, out);
		free_call(pc);
		carry_out(s, out);
	}
	for (uint32_t i = 0; i < n; i++)
		g_free(wire[i].handle);
	g_free(wire);
	g_free(results);
}

static void on_end(void *arg, enum htc_end end)
{
	struct pool_call *pc = arg;

	pc->call = NULL;
	if (end != HTC_DONE)
		end_failed(pc, CHN_CALL_FAILED,
			   end == HTC_NOT_SENT ? "no connection" : "connection broken");
	else if (pc->status == 421)
		end_failed(pc, CHN_CALL_WRONG, "another upstream has the address");
	else if (pc->not_run)
		end_failed(pc, CHN_CALL_FULL, "refused as full");
	else if (pc->status != 200)
		end_failed(pc, CHN_CALL_FAILED, "failed");
	else if (pc->id == 0)
		free_call(pc);
	else
		end_done(pc);
}

static const struct htc_ops pool_ops = {
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

static void on_call_timeout(uv_timer_t *timer)
{
	struct pool_call *pc = timer->data;

	htc_cancel(pc->call);
	pc->call = NULL;
	end_failed(pc, CHN_CALL_FAILED, "no answer in time");
}

/* body is freed. id 0: results are given up, and nobody waits for the answer. */
static void post(struct srv *s, const struct chn_cmd *cmd, const char *target, char *body)
{
	struct srv_upstream *u = srv_ups_get(s, cmd->upstream, cmd->address);
	struct hdr_list headers = {0};
	struct pool_call *pc;

	if (!u) {
		free(body);
		return;
	}
	pc = g_new0(struct pool_call, 1);
	pc->s = s;
	pc->upstream = u;
	pc->id = cmd->call;
	pc->n = cmd->n_pieces;
	pc->sent_ms = clk_now_ms();
	pc->expect_ms = cmd->expect_ms;
	pc->body = g_byte_array_new();
	u->in_flight++;
	s->adp->upstream->run_headers(cmd->address, cmd->call ? cmd->upstream : NULL, &headers);
	const struct htc_request request = {
		.method = "POST",
		.target = target,
		.headers = &headers,
		.body = body,
		.len = strlen(body),
		.connect_timeout_ms = CONNECT_MS,
	};
	uv_timer_init(&s->loop, &pc->timer);
	pc->timer.data = pc;
	uv_timer_start(&pc->timer, on_call_timeout,
		       (uint64_t)MAX(CALL_FACTOR * cmd->expect_ms, CALL_MIN_MS), 0);
	pc->call = htc_start(u->origin, &request, &pool_ops, pc);
	hdr_clear(&headers);
	free(body);
	if (!pc->call)
		end_failed(pc, CHN_CALL_FAILED, "no socket");
}

static void send_pieces(struct srv *s, const struct chn_cmd *cmd)
{
	struct adp_piece *pieces = g_new0(struct adp_piece, cmd->n_pieces);

	for (uint32_t i = 0; i < cmd->n_pieces; i++) {
		const struct chn_piece *p = &cmd->pieces[i];
		pieces[i] = (struct adp_piece){
			.request = p->attempt,
			.stage = p->stage,
			.index = p->index,
			.left_ms = p->left_ms,
			.key = p->key,
			.inputs = (const char *const *)p->inputs,
		};
	}
	srv_count(s, SRV_CALLS);
	s->counters[SRV_PIECES] += cmd->n_pieces;
	post(s, cmd, s->adp->upstream->run_target,
	     s->adp->upstream->run_body(pieces, cmd->n_pieces));
	g_free(pieces);
}

static void send_free(struct srv *s, const struct chn_cmd *cmd)
{
	post(s, cmd, s->adp->upstream->free_target,
	     s->adp->upstream->free_body((const char *const *)cmd->handles,
					 g_strv_length(cmd->handles)));
}

static void reply_there(struct srv *s, const struct chn_cmd *cmd, Peer__ChainState state)
{
	Peer__ChainReply wire = PEER__CHAIN_REPLY__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	wire.id = cmd->job;
	wire.state = state;
	wire.handles = cmd->handles;
	wire.n_handles = cmd->handles ? g_strv_length(cmd->handles) : 0;
	wire.data_centre = cmd->data_centre ? cmd->data_centre : "";
	wire.retry_after_ms = cmd->retry_after_ms;
	wire.reason = (char *)(cmd->reason ? cmd->reason : "");
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_REPLY;
	message.chain_reply = &wire;
	srv_mesh_send(s, cmd->asker, &message);
}

static void reply(struct srv *s, const struct chn_cmd *cmd)
{
	bool ready = cmd->kind == CHN_CMD_READY;
	const struct srv_chain_result result = {
		.ready = ready,
		.handles = (const char *const *)cmd->handles,
		.data_centre = cmd->data_centre,
		.retry_after_ms = cmd->retry_after_ms,
		.reason = cmd->reason,
	};

	if (strcmp(cmd->asker, self_address(s)) == 0)
		answer(s, cmd->job, self_address(s), &result);
	else
		reply_there(s, cmd,
			    ready ? PEER__CHAIN_STATE__CHAIN_READY
				  : PEER__CHAIN_STATE__CHAIN_REFUSED);
}

static void log_refusal(struct srv *s, const struct chn_cmd *cmd)
{
	struct chn_pool_state pools[8];
	uint32_t n = chn_pool_states(s->chains, pools, G_N_ELEMENTS(pools));
	json_t *list = json_array();

	for (uint32_t i = 0; i < n; i++)
		json_array_append_new(
			list, json_pack("{s:s, s:i, s:i, s:i, s:i, s:I}", "pool", pools[i].service,
					"upstreams", (int)pools[i].upstreams, "busy",
					(int)pools[i].busy, "waiting", (int)pools[i].waiting,
					"pending", (int)pools[i].pending, "backlog_ms",
					(json_int_t)pools[i].backlog_ms));
	log_info("chain_refused", "{s:I, s:s, s:s, s:I, s:i, s:o}", "chain", (json_int_t)cmd->job,
		 "asker", cmd->asker, "reason", cmd->reason, "retry_after_ms",
		 (json_int_t)cmd->retry_after_ms, "chains", (int)chn_count_jobs(s->chains), "pools",
		 list);
}

static void log_chain(const struct chn_cmd *cmd, const char *event)
{
	log_info(event, "{s:I, s:s, s:b, s:I, s:I}", "chain", (json_int_t)cmd->job, "asker",
		 cmd->asker, "late", (int)cmd->late, "expect_in_ms", (json_int_t)cmd->expect_in_ms,
		 "aim_in_ms", (json_int_t)cmd->aim_in_ms);
}

static void on_chain_tick(uv_timer_t *timer)
{
	struct srv *s = timer->data;
	GArray *out = chn_out_new();

	chn_tick(s->chains, clk_now_ms(), out);
	if (chn_count_jobs(s->chains) == 0)
		uv_timer_stop(timer);
	carry_out(s, out);
}

/* Carries out and frees commands; they may lead to further ones. */
static void carry_out(struct srv *s, GArray *out)
{
	for (guint i = 0; i < out->len; i++) {
		struct chn_cmd *cmd = &g_array_index(out, struct chn_cmd, i);
		switch (cmd->kind) {
		case CHN_CMD_CALL:
			send_pieces(s, cmd);
			break;
		case CHN_CMD_FREE:
			send_free(s, cmd);
			break;
		case CHN_CMD_REFUSE:
			log_refusal(s, cmd);
			reply(s, cmd);
			break;
		case CHN_CMD_READY:
			log_chain(cmd, "chain_ready");
			reply(s, cmd);
			break;
		case CHN_CMD_PROGRESS:
			tell_progress(s, cmd);
			break;
		case CHN_CMD_HAND:
			hand_over(s, cmd);
			break;
		case CHN_CMD_ADMIT:
			log_chain(cmd, "chain_admitted");
			break;
		}
	}
	g_array_unref(out);
	if (!uv_is_active((uv_handle_t *)&s->chain_tick) && chn_count_jobs(s->chains) > 0)
		uv_timer_start(&s->chain_tick, on_chain_tick, CHN_TICK_MS, CHN_TICK_MS);
}

/* The same the other way; borrows from the message. Free regions with g_free(). */
static void read_wire(const Peer__ChainAsk *wire, const char *asker, struct chn_stage_doc *stages,
		      struct chn_job_doc *doc, int64_t now_ms)
{
	char **regions = NULL;

	for (size_t i = 0; i < wire->n_stages && i < PUB_STAGES_MAX; i++)
		stages[i] = (struct chn_stage_doc){
			.service = wire->stages[i]->service,
			.after = wire->stages[i]->after,
			.pieces = wire->stages[i]->pieces,
			.result_bytes = wire->stages[i]->result_bytes,
		};
	if (wire->n_regions > 0) {
		regions = g_new0(char *, wire->n_regions + 1);
		for (size_t i = 0; i < wire->n_regions; i++)
			regions[i] = wire->regions[i];
	}
	*doc = (struct chn_job_doc){
		.id = wire->id,
		.asker = asker,
		.attempt = wire->attempt,
		.key = wire->key,
		.stages = stages,
		.n_stages = (uint32_t)MIN(wire->n_stages, PUB_STAGES_MAX),
		.aim_at_ms = now_ms + wire->aim_ms,
		.deadline_at_ms = now_ms + wire->deadline_ms,
		.rank = wire->rank,
		.data_centre = wire->data_centre,
		.regions = regions,
	};
}

/* Free with g_free(). */
static struct chn_done *read_done(Peer__ChainDone *const *wire, size_t n)
{
	struct chn_done *done = g_new0(struct chn_done, n + 1);

	for (size_t i = 0; i < n; i++)
		done[i] = (struct chn_done){wire[i]->stage, wire[i]->index, wire[i]->upstream,
					    wire[i]->handle};
	return done;
}

static void take_ask(struct srv *s, const char *asker, const Peer__ChainAsk *wire)
{
	struct chn_stage_doc stages[PUB_STAGES_MAX];
	struct chn_done *done = read_done(wire->done, wire->n_done);
	struct chn_job_doc doc;
	int64_t now_ms = clk_now_ms();
	GArray *out = chn_out_new();

	read_wire(wire, asker, stages, &doc, now_ms);
	chn_submit(s->chains, &doc, done, (uint32_t)wire->n_done, now_ms, out);
	g_free((void *)doc.regions);
	g_free(done);
	carry_out(s, out);
}

static void say_taken(struct srv *s, uint64_t id, const char *asker)
{
	const struct chn_cmd taken = {.job = id, .asker = (char *)asker};

	reply_there(s, &taken, PEER__CHAIN_STATE__CHAIN_TAKEN);
}

/* This node owns the chain now, and its asker has to know whom to tell of its end. */
static void tell_moved(struct srv *s, uint64_t id, const char *asker)
{
	struct chn_cmd moved = {.job = id, .asker = (char *)asker};
	struct srv_ask *ask;

	if (strcmp(asker, self_address(s)) != 0) {
		reply_there(s, &moved, PEER__CHAIN_STATE__CHAIN_MOVED);
		return;
	}
	ask = g_hash_table_lookup(s->asks, &id);
	if (ask)
		set_owner(ask, self_address(s));
}

static void hand_over(struct srv *s, const struct chn_cmd *cmd)
{
	int64_t now_ms = clk_now_ms();
	const struct fle_member *owner = fle_owner(s->fleet, self_address(s), now_ms);
	Peer__ChainHand hand = PEER__CHAIN_HAND__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	struct wire_ask wire;

	fill_wire(&wire, &cmd->doc, cmd->done, cmd->n_done, now_ms);
	hand.ask = &wire.ask;
	hand.asker = cmd->asker;
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_HAND;
	message.chain_hand = &hand;
	log_info("chain_handed_over", "{s:I, s:s, s:s, s:i}", "chain", (json_int_t)cmd->job,
		 "asker", cmd->asker, "owner", owner->record.peer_address, "results",
		 (int)cmd->n_done);
	srv_mesh_send(s, owner->record.peer_address, &message);
	clear_wire(&wire);
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

static void keep_progress(struct srv *s, uint64_t id, const struct chn_done *done, uint32_t n)
{
	struct srv_ask *ask = g_hash_table_lookup(s->asks, &id);

	for (uint32_t i = 0; ask && i < n; i++)
		put_done(ask->done, &done[i]);
}

static void tell_progress(struct srv *s, const struct chn_cmd *cmd)
{
	Peer__ChainProgress progress = PEER__CHAIN_PROGRESS__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	struct wire_ask wire;

	if (strcmp(cmd->asker, self_address(s)) == 0)
		return; /* it dies with the owner */
	peer__chain_ask__init(&wire.ask);
	fill_done(&wire, cmd->done, cmd->n_done);
	progress.id = cmd->job;
	progress.done = wire.done_list;
	progress.n_done = cmd->n_done;
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_PROGRESS;
	message.chain_progress = &progress;
	srv_mesh_send(s, cmd->asker, &message);
	clear_wire(&wire);
}

static void take_progress(struct srv *s, const Peer__ChainProgress *wire)
{
	struct chn_done *done = read_done(wire->done, wire->n_done);

	keep_progress(s, wire->id, done, (uint32_t)wire->n_done);
	g_free(done);
}

void srv_chain_check_owner(struct srv *s, int64_t now_ms)
{
	const struct fle_member *owner = fle_owner(s->fleet, NULL, now_ms);
	bool other = strcmp(owner->record.peer_address, self_address(s)) != 0;

	if (!other)
		s->not_owner_since_ms = 0;
	else if (s->not_owner_since_ms == 0)
		s->not_owner_since_ms = now_ms;
	chn_set_handing(s->chains, other && now_ms - s->not_owner_since_ms >= HAND_OVER_MS);
}

static void take_reply(struct srv *s, const char *from, const Peer__ChainReply *wire)
{
	struct srv_ask *ask = g_hash_table_lookup(s->asks, &wire->id);
	char **handles;

	if (wire->state == PEER__CHAIN_STATE__CHAIN_TAKEN) {
		if (ask && strcmp(from, ask->owner) == 0)
			ask->taken = true;
		return;
	}
	if (wire->state == PEER__CHAIN_STATE__CHAIN_MOVED) {
		if (ask)
			set_owner(ask, from);
		else /* it has ended meanwhile */
			send_end(s, from, wire->id);
		return;
	}
	handles = g_new0(char *, wire->n_handles + 1);
	for (size_t i = 0; i < wire->n_handles; i++)
		handles[i] = wire->handles[i];
	const struct srv_chain_result result = {
		.ready = wire->state == PEER__CHAIN_STATE__CHAIN_READY,
		.handles = (const char *const *)handles,
		.data_centre = wire->data_centre[0] ? wire->data_centre : NULL,
		.retry_after_ms = wire->retry_after_ms,
		.reason = wire->reason,
	};
	answer(s, wire->id, from, &result);
	g_free(handles);
}

void srv_chain_message(struct srv *s, const Peer__Message *message)
{
	GArray *out;

	switch (message->kind_case) {
	case PEER__MESSAGE__KIND_CHAIN_ASK:
		say_taken(s, message->chain_ask->id, message->from_vm);
		take_ask(s, message->from_vm, message->chain_ask);
		break;
	case PEER__MESSAGE__KIND_CHAIN_REPLY:
		take_reply(s, message->from_vm, message->chain_reply);
		break;
	case PEER__MESSAGE__KIND_CHAIN_HAND:
		tell_moved(s, message->chain_hand->ask->id, message->chain_hand->asker);
		take_ask(s, message->chain_hand->asker, message->chain_hand->ask);
		break;
	case PEER__MESSAGE__KIND_CHAIN_PROGRESS:
		take_progress(s, message->chain_progress);
		break;
	case PEER__MESSAGE__KIND_CHAIN_END:
		out = chn_out_new();
		chn_end(s->chains, message->chain_end->id, clk_now_ms(), out);
		carry_out(s, out);
		break;
	default:
		log_warn("message_unknown", "{s:s, s:i}", "from", message->from_vm, "kind",
			 (int)message->kind_case);
	}
}

/* The owner's brain learns of pools and upstreams on every node: any may own the chains next. */
void srv_chain_view_changed(struct srv *s)
{
	GArray *docs = g_array_new(FALSE, FALSE, sizeof(struct chn_upstream_doc));
	GArray *out = chn_out_new();
	int64_t now_ms = clk_now_ms();
	GHashTableIter iter;
	gpointer value;

	if (s->view->doc)
		chn_set_pools(s->chains, s->view->doc);
	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (s->view->doc && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pvw_upstream *u = value;
		const struct pub_service *service = pub_service_of(s->view->doc, u->doc->service);
		if (!service || !service->pool.present)
			continue;
		const struct chn_upstream_doc doc = {
			.id = u->doc->id,
			.service = u->doc->service,
			.address = u->doc->address,
			.data_centre = u->doc->data_centre,
			.region = sst_region_of(s->set, u->doc->data_centre),
			.usable = pvw_is_usable(s->view, u),
		};
		g_array_append_val(docs, doc);
	}
	chn_set_upstreams(s->chains, (const struct chn_upstream_doc *)(void *)docs->data, docs->len,
			  now_ms);
	chn_tick(s->chains, now_ms, out);
	carry_out(s, out);
	g_array_unref(docs);
}
