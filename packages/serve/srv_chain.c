/*
 * The owner's side of chains: carries out what decide/chn.h commands, and takes what other nodes
 * say of chains.
 */
#include "srv_chain_int.h"

#include "base/clk.h"
#include "base/log.h"

#include <string.h>

#define HAND_OVER_FRESH_MS 900 /* three rounds of gossip */
#define HAND_OVER_MS 300       /* another owner has been known for so long */

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

	if (strcmp(cmd->asker, chain_self(s)) == 0)
		chain_answer(s, cmd->job, chain_self(s), &result);
	else
		reply_there(s, cmd,
			    ready ? PEER__CHAIN_STATE__CHAIN_READY
				  : PEER__CHAIN_STATE__CHAIN_REFUSED);
}

static void log_refusal(struct srv *s, const struct chn_cmd *cmd)
{
	log_info("chain_refused", "{s:s, s:s, s:s, s:I, s:i, s:o}", "request", cmd->attempt,
		 "asker", cmd->asker, "reason", cmd->reason, "retry_after_ms",
		 (json_int_t)cmd->retry_after_ms, "chains", (int)chn_count_jobs(s->chains), "pools",
		 srv_put_pools(s));
}

static void log_chain(const struct chn_cmd *cmd, const char *event)
{
	log_info(event, "{s:s, s:s, s:b, s:I, s:I}", "request", cmd->attempt, "asker", cmd->asker,
		 "late", (int)cmd->late, "expect_in_ms", (json_int_t)cmd->expect_in_ms, "aim_in_ms",
		 (json_int_t)cmd->aim_in_ms);
}

static void hand_over(struct srv *s, const struct chn_cmd *cmd)
{
	int64_t now_ms = clk_now_ms();
	const struct fle_member *owner = fle_owner(s->fleet, chain_self(s), now_ms);
	const struct chn_cmd given = {
		.job = cmd->job,
		.asker = cmd->asker,
		.reason = owner->record.peer_address,
	};
	Peer__ChainHand hand = PEER__CHAIN_HAND__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	struct wire_ask wire;

	chain_fill_wire(&wire, &cmd->doc, cmd->done, cmd->n_done, now_ms);
	hand.ask = &wire.ask;
	hand.asker = cmd->asker;
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_HAND;
	message.chain_hand = &hand;
	log_info("chain_handed_over", "{s:s, s:s, s:s, s:i}", "request", cmd->attempt, "asker",
		 cmd->asker, "owner", owner->record.peer_address, "results", (int)cmd->n_done);
	srv_mesh_send(s, owner->record.peer_address, &message);
	chain_clear_wire(&wire);
	/* the message may be lost: the asker asks the next one unless the new owner speaks up */
	if (strcmp(cmd->asker, chain_self(s)) == 0)
		chain_expect_owner(s, cmd->job, chain_self(s), owner->record.peer_address);
	else
		reply_there(s, &given, PEER__CHAIN_STATE__CHAIN_GIVEN);
}

static void tell_progress(struct srv *s, const struct chn_cmd *cmd)
{
	Peer__ChainProgress progress = PEER__CHAIN_PROGRESS__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	struct wire_ask wire;

	log_info("chain_stage_done", "{s:s, s:i, s:i, s:s}", "request", cmd->attempt, "stage",
		 cmd->n_done > 0 ? (int)cmd->done[0].stage : -1, "pieces", (int)cmd->n_done,
		 "upstream", cmd->n_done > 0 ? cmd->done[0].upstream : "");
	if (strcmp(cmd->asker, chain_self(s)) == 0)
		return; /* it dies with the owner */
	peer__chain_ask__init(&wire.ask);
	chain_fill_done(&wire, cmd->done, cmd->n_done);
	progress.id = cmd->job;
	progress.done = wire.done_list;
	progress.n_done = cmd->n_done;
	message.kind_case = PEER__MESSAGE__KIND_CHAIN_PROGRESS;
	message.chain_progress = &progress;
	srv_mesh_send(s, cmd->asker, &message);
	chain_clear_wire(&wire);
}

static void on_chain_tick(uv_timer_t *timer);

/* Carries out and frees commands; they may lead to further ones. */
void chain_carry_out(struct srv *s, GArray *out)
{
	for (guint i = 0; i < out->len; i++) {
		struct chn_cmd *cmd = &g_array_index(out, struct chn_cmd, i);
		switch (cmd->kind) {
		case CHN_CMD_CALL:
			chain_send_pieces(s, cmd);
			break;
		case CHN_CMD_FREE:
			chain_send_free(s, cmd);
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

static void on_chain_tick(uv_timer_t *timer)
{
	struct srv *s = timer->data;
	GArray *out = chn_out_new();

	chn_tick(s->chains, clk_now_ms(), out);
	if (chn_count_jobs(s->chains) == 0)
		uv_timer_stop(timer);
	chain_carry_out(s, out);
}

static void take_ask(struct srv *s, const char *asker, const Peer__ChainAsk *wire)
{
	struct chn_stage_doc stages[PUB_STAGES_MAX];
	struct chn_done *done = chain_read_done(wire->done, wire->n_done);
	struct chn_job_doc doc;
	int64_t now_ms = clk_now_ms();
	GArray *out = chn_out_new();

	chain_read_wire(wire, asker, stages, &doc, now_ms);
	chn_submit(s->chains, &doc, done, (uint32_t)wire->n_done, now_ms, out);
	g_free((void *)doc.regions);
	g_free(done);
	chain_carry_out(s, out);
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

	if (strcmp(asker, chain_self(s)) == 0)
		chain_set_owner(s, id, chain_self(s), true);
	else
		reply_there(s, &moved, PEER__CHAIN_STATE__CHAIN_MOVED);
}

static void take_progress(struct srv *s, const Peer__ChainProgress *wire)
{
	struct chn_done *done = chain_read_done(wire->done, wire->n_done);

	chain_keep_progress(s, wire->id, done, (uint32_t)wire->n_done);
	g_free(done);
}

void srv_chain_check_owner(struct srv *s, int64_t now_ms)
{
	const struct fle_member *owner = fle_owner(s->fleet, NULL, now_ms);
	/* one that was not heard of lately may be dead: what it took over would be lost with it */
	bool other = strcmp(owner->record.peer_address, chain_self(s)) != 0 &&
		     (s->stop_began_ms > 0 || now_ms - owner->heard_ms < HAND_OVER_FRESH_MS);

	if (!other)
		s->not_owner_since_ms = 0;
	else if (s->not_owner_since_ms == 0)
		s->not_owner_since_ms = now_ms;
	chn_set_handing(s->chains, other && now_ms - s->not_owner_since_ms >= HAND_OVER_MS);
}

static void take_reply(struct srv *s, const char *from, const Peer__ChainReply *wire)
{
	char **handles;

	if (wire->state == PEER__CHAIN_STATE__CHAIN_TAKEN) {
		chain_set_owner(s, wire->id, from, false);
		return;
	}
	if (wire->state == PEER__CHAIN_STATE__CHAIN_MOVED) {
		if (!chain_set_owner(s, wire->id, from, true))
			chain_send_end(s, from, wire->id);
		return;
	}
	if (wire->state == PEER__CHAIN_STATE__CHAIN_GIVEN) {
		chain_expect_owner(s, wire->id, from, wire->reason);
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
	chain_answer(s, wire->id, from, &result);
	g_free(handles);
}

void srv_chain_message(struct srv *s, const Peer__Message *message)
{

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
		chain_take_end(s, message->chain_end);
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
		const struct pub_service *service = pub_find_service(s->view->doc, u->doc->service);
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
	chain_carry_out(s, out);
	g_array_unref(docs);
}
