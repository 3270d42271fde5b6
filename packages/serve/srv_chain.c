/*
 * Chains that this node owns: executes the commands of the chain scheduler. Also dispatches all
 * peer messages about chains, including those to this node as the requesting node ("asker").
 */
#include "srv_chain_int.h"
#include "srv_gate.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

/* engine: that is proposed; NULL: none. */
static void send_reply(struct srv *s, const struct chain_cmd *cmd, const char *engine,
		       Peer__ChainState state)
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
	wire.engine = (char *)(engine ? engine : "");
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_REPLY;
	message.chain_reply = &wire;
	srv_peer_send_when_open(s, cmd->asker, &message);
}

static void reply(struct srv *s, const struct chain_cmd *cmd, const char *engine)
{
	bool ready = cmd->kind == CHAIN_CMD_READY;
	const struct srv_chain_result result = {
		.ready = ready,
		.handles = (const char *const *)cmd->handles,
		.data_centre = cmd->data_centre,
		.retry_after_ms = cmd->retry_after_ms,
		.reason = cmd->reason,
		.engine = engine,
	};

	if (strcmp(cmd->asker, srv_chain_self(s)) == 0)
		srv_chain_deliver(s, cmd->job, srv_chain_self(s), &result);
	else
		send_reply(s, cmd, engine,
			   ready ? PEER__CHAIN_STATE__CHAIN_READY
				 : PEER__CHAIN_STATE__CHAIN_REFUSED);
}

static void log_refusal(struct srv *s, const struct chain_cmd *cmd)
{
	log_info("chain_refused", "{s:s, s:s, s:s, s:f, s:s, s:I, s:i, s:o, s:o}", "request",
		 cmd->attempt, "asker", cmd->asker, "account", cmd->account, "lead_calls",
		 cmd->lead_calls, "reason", cmd->reason, "retry_after_ms",
		 (json_int_t)cmd->retry_after_ms, "chains", (int)chain_count_jobs(s->chains),
		 "pools", srv_pools_json(s), "bound", srv_bound_json(&cmd->bound));
}

static void log_admission(const struct chain_cmd *cmd)
{
	log_info("chain_admitted", "{s:s, s:s, s:s, s:f, s:b, s:I, s:I, s:o}", "request",
		 cmd->attempt, "asker", cmd->asker, "account", cmd->account, "lead_calls",
		 cmd->lead_calls, "late", (int)cmd->late, "expect_in_ms",
		 (json_int_t)cmd->expect_in_ms, "aim_in_ms", (json_int_t)cmd->aim_in_ms, "bound",
		 srv_bound_json(&cmd->bound));
}

static void log_ready(const struct chain_cmd *cmd, const struct spread_choice *engine)
{
	log_info("chain_ready", "{s:s, s:s, s:b, s:I, s:I, s:s, s:s, s:b, s:b, s:f, s:I, s:I, s:I}",
		 "request", cmd->attempt, "asker", cmd->asker, "late", (int)cmd->late,
		 "expect_in_ms", (json_int_t)cmd->expect_in_ms, "aim_in_ms",
		 (json_int_t)cmd->aim_in_ms, "results_at", cmd->data_centre ? cmd->data_centre : "",
		 "engine", engine->id ? engine->id : "", "engine_first", (int)engine->is_first,
		 "engine_stays", (int)engine->is_own, "engine_cost_ms", engine->cost_ms,
		 "engine_backlog_us", (json_int_t)engine->backlog_us, "engine_mean_us",
		 (json_int_t)engine->mean_us, "engine_input_age_ms",
		 (json_int_t)engine->input_age_ms);
}

static void deliver(struct srv *s, const struct chain_cmd *cmd)
{
	struct spread_choice engine = {0};

	srv_spread_choose(s, cmd, clock_now_ms(), &engine);
	log_ready(cmd, &engine);
	reply(s, cmd, engine.id);
}

static void hand_off(struct srv *s, const struct chain_cmd *cmd)
{
	int64_t now_ms = clock_now_ms();
	const struct gossip_member *owner =
		srv_region_owner(s, cmd->doc.region, srv_chain_self(s), now_ms);
	const struct chain_cmd handed_off = {
		.job = cmd->job,
		.asker = cmd->asker,
		.reason = owner->record.peer_address,
	};
	Peer__ChainHand hand = PEER__CHAIN_HAND__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	struct srv_chain_wire wire;

	srv_chain_encode(&wire, &cmd->doc, cmd->done, cmd->n_done, now_ms);
	hand.ask = &wire.ask;
	hand.asker = cmd->asker;
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_HAND;
	message.chain_hand = &hand;
	log_info("chain_handed_over", "{s:s, s:s, s:s, s:s, s:i}", "request", cmd->attempt, "asker",
		 cmd->asker, "owner", owner->record.peer_address, "region", cmd->doc.region,
		 "results", (int)cmd->n_done);
	srv_peer_send_when_open(s, owner->record.peer_address, &message);
	srv_chain_wire_clear(&wire);
	/* the message may be lost: the asker resubmits unless the new owner confirms */
	if (strcmp(cmd->asker, srv_chain_self(s)) == 0)
		srv_chain_expect_owner(s, cmd->job, srv_chain_self(s), owner->record.peer_address);
	else
		send_reply(s, &handed_off, NULL, PEER__CHAIN_STATE__CHAIN_GIVEN);
}

static void send_progress(struct srv *s, const struct chain_cmd *cmd)
{
	Peer__ChainProgress progress = PEER__CHAIN_PROGRESS__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	struct srv_chain_wire wire;

	log_info("chain_stage_done", "{s:s, s:i, s:i, s:s}", "request", cmd->attempt, "stage",
		 cmd->n_done > 0 ? (int)cmd->done[0].stage : -1, "pieces", (int)cmd->n_done,
		 "upstream", cmd->n_done > 0 ? cmd->done[0].upstream : "");
	if (strcmp(cmd->asker, srv_chain_self(s)) == 0)
		return; /* a copy on this node would be lost together with the chain */
	peer__chain_ask__init(&wire.ask);
	srv_chain_encode_results(&wire, cmd->done, cmd->n_done);
	progress.id = cmd->job;
	progress.done = wire.done_list;
	progress.n_done = cmd->n_done;
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_PROGRESS;
	message.chain_progress = &progress;
	srv_peer_send_when_open(s, cmd->asker, &message);
	srv_chain_wire_clear(&wire);
}

static void on_chain_tick(uv_timer_t *timer);

/* Recursive: executing a command can produce further commands. */
void srv_chain_execute(struct srv *s, GArray *out)
{
	for (guint i = 0; i < out->len; i++) {
		struct chain_cmd *cmd = &g_array_index(out, struct chain_cmd, i);
		switch (cmd->kind) {
		case CHAIN_CMD_CALL:
			srv_chain_call_pieces(s, cmd);
			break;
		case CHAIN_CMD_FREE:
			srv_chain_free_results(s, cmd);
			break;
		case CHAIN_CMD_REFUSE:
			log_refusal(s, cmd);
			reply(s, cmd, NULL);
			break;
		case CHAIN_CMD_READY:
			deliver(s, cmd);
			break;
		case CHAIN_CMD_PROGRESS:
			send_progress(s, cmd);
			break;
		case CHAIN_CMD_HANDOFF:
			hand_off(s, cmd);
			break;
		case CHAIN_CMD_ADMIT:
			log_admission(cmd);
			break;
		}
	}
	g_array_unref(out);
	if (!uv_is_active((uv_handle_t *)&s->chain_timer) && chain_count_jobs(s->chains) > 0)
		uv_timer_start(&s->chain_timer, on_chain_tick, CHAIN_TICK_MS, CHAIN_TICK_MS);
}

static void on_chain_tick(uv_timer_t *timer)
{
	struct srv *s = timer->data;
	GArray *out = chain_cmd_list_new();

	srv_gate_update_pools(s, clock_now_ms());
	chain_run_timers(s->chains, clock_now_ms(), out);
	if (chain_count_jobs(s->chains) == 0)
		uv_timer_stop(timer);
	srv_chain_execute(s, out);
}

static void handle_ask(struct srv *s, const char *asker, const Peer__ChainAsk *wire, bool is_moved)
{
	struct chain_stage_spec stages[PUB_STAGES_MAX];
	struct chain_stored_result *done = srv_chain_decode_results(wire->done, wire->n_done);
	struct chain_job_spec doc;
	int64_t now_ms = clock_now_ms();
	GArray *out = chain_cmd_list_new();

	srv_chain_decode(wire, asker, stages, &doc, now_ms);
	doc.region = srv_region_of(s, doc.data_centre);
	doc.is_moved = is_moved;
	srv_regions_claim(s, doc.region, now_ms);
	chain_submit(s->chains, &doc, done, (uint32_t)wire->n_done, now_ms, out);
	g_free((void *)doc.regions);
	g_free(done);
	srv_chain_execute(s, out);
}

static void send_taken(struct srv *s, uint64_t id, const char *asker)
{
	const struct chain_cmd taken = {.job = id, .asker = (char *)asker};

	send_reply(s, &taken, NULL, PEER__CHAIN_STATE__CHAIN_TAKEN);
}

/* Announces this node as the chain's new owner: the asker then reports the chain's end to it. */
static void send_moved(struct srv *s, uint64_t id, const char *asker)
{
	struct chain_cmd moved = {.job = id, .asker = (char *)asker};

	if (strcmp(asker, srv_chain_self(s)) == 0)
		srv_chain_set_owner(s, id, srv_chain_self(s), true);
	else
		send_reply(s, &moved, NULL, PEER__CHAIN_STATE__CHAIN_MOVED);
}

static void handle_progress(struct srv *s, const Peer__ChainProgress *wire)
{
	struct chain_stored_result *done = srv_chain_decode_results(wire->done, wire->n_done);

	srv_chain_save_progress(s, wire->id, done, (uint32_t)wire->n_done);
	g_free(done);
}

static void handle_reply(struct srv *s, const char *from, const Peer__ChainReply *wire)
{
	char **handles;

	if (wire->state == PEER__CHAIN_STATE__CHAIN_TAKEN) {
		srv_chain_set_owner(s, wire->id, from, false);
		return;
	}
	if (wire->state == PEER__CHAIN_STATE__CHAIN_MOVED) {
		if (!srv_chain_set_owner(s, wire->id, from, true))
			srv_chain_send_end(s, from, wire->id);
		return;
	}
	if (wire->state == PEER__CHAIN_STATE__CHAIN_GIVEN) {
		srv_chain_expect_owner(s, wire->id, from, wire->reason);
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
		.engine = wire->engine[0] ? wire->engine : NULL,
	};
	srv_chain_deliver(s, wire->id, from, &result);
	g_free(handles);
}

void srv_chain_message(struct srv *s, const Peer__Message *message)
{
	switch (message->kind_case) {
	case PEER__MESSAGE__KIND_CHAIN_ASK:
		send_taken(s, message->chain_ask->id, message->from_vm);
		handle_ask(s, message->from_vm, message->chain_ask, false);
		break;
	case PEER__MESSAGE__KIND_CHAIN_REPLY:
		handle_reply(s, message->from_vm, message->chain_reply);
		break;
	case PEER__MESSAGE__KIND_CHAIN_HAND:
		send_moved(s, message->chain_hand->ask->id, message->chain_hand->asker);
		handle_ask(s, message->chain_hand->asker, message->chain_hand->ask, true);
		break;
	case PEER__MESSAGE__KIND_CHAIN_PROGRESS:
		handle_progress(s, message->chain_progress);
		break;
	case PEER__MESSAGE__KIND_CHAIN_END:
		srv_chain_handle_end(s, message->chain_end);
		break;
	case PEER__MESSAGE__KIND_REGION_LOAD:
		srv_region_handle_load(s, message->from_vm, message->from_incarnation,
				       message->region_load);
		break;
	default:
		log_warn("message_unknown", "{s:s, s:i}", "from", message->from_vm, "kind",
			 (int)message->kind_case);
	}
}

/* Updates the scheduler's pools and upstreams, on every node: any may be the next owner. */
void srv_chain_view_changed(struct srv *s)
{
	GArray *docs = g_array_new(FALSE, FALSE, sizeof(struct chain_upstream_info));
	GArray *out = chain_cmd_list_new();
	int64_t now_ms = clock_now_ms();
	GHashTableIter iter;
	gpointer value;

	if (s->view->doc)
		chain_set_pools(s->chains, s->view->doc);
	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (s->view->doc && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct view_upstream *u = value;
		const struct pub_service *service = pub_find_service(s->view->doc, u->doc->service);
		if (!service || !service->pool.present)
			continue;
		const struct chain_upstream_info doc = {
			.id = u->doc->id,
			.service = u->doc->service,
			.address = u->doc->address,
			.data_centre = u->doc->data_centre,
			.region = srvconf_region_of(s->set, u->doc->data_centre),
			.usable = view_is_usable(s->view, u) && !srv_gate_is_leaving(s, u),
			.born_ms = u->doc->born_ms,
		};
		g_array_append_val(docs, doc);
	}
	chain_set_upstreams(s->chains, (const struct chain_upstream_info *)(void *)docs->data,
			    docs->len, now_ms);
	srv_gate_update_pools(s, now_ms);
	srv_regions_view_changed(s, now_ms);
	srv_spread_view_changed(s);
	chain_run_timers(s->chains, now_ms, out);
	srv_chain_execute(s, out);
	g_array_unref(docs);
}
