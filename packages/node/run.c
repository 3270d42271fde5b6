/* Carries out the commands of the decisions. */
#include "node/nod.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "node/dmd.h"
#include "node/fwd.h"
#include "node/hnd.h"

#define RUN_POOL_QUEUED 4096

/* NULL when the node stops. */
static struct workpool *pool_of(struct nod *n, const char *service)
{
	struct workpool *pool;

	pthread_mutex_lock(&n->table_lock);
	pool = g_hash_table_lookup(n->pools, service);
	if (!pool && !g_atomic_int_get(&n->stopping)) {
		pool = workpool_new((uint32_t)n->set->service_threads, RUN_POOL_QUEUED);
		g_hash_table_insert(n->pools, g_strdup(service), pool);
	}
	pthread_mutex_unlock(&n->table_lock);
	return pool;
}

static struct ups_attempt *make_attempt(struct nod *n, struct hrq *hrq, const struct dec_cmd *cmd)
{
	struct ups_attempt *att = g_new0(struct ups_attempt, 1);

	att->node = n;
	att->hrq = hrq_ref(hrq);
	att->cmd = *cmd;
	return att;
}

static void free_attempt(struct ups_attempt *att)
{
	hrq_unref(att->hrq);
	g_free(att);
}

static void report_not_sent(struct nod *n, const struct dec_cmd *cmd)
{
	const struct dec_event ev = {
		.type = DEC_EV_RESULT,
		.u.attempt = {.req = cmd->req,
			      .stage = cmd->stage,
			      .attempt = cmd->attempt,
			      .code = ERR_OVERLOADED},
	};

	nod_event(n, &ev);
}

static void run_send(struct nod *n, struct hrq *hrq, const struct dec_cmd *cmd)
{
	struct ups_attempt *att = make_attempt(n, hrq, cmd);

	counter_add(COUNTER_SENDS, 1);
	if (cmd->hedge)
		counter_add(COUNTER_HEDGES, 1);
	else if (cmd->attempt > 0)
		counter_add(COUNTER_RETRIES, 1);
	if (cmd->resume)
		hrq_resume_stream(hrq, cmd->stage, cmd->attempt);
	struct workpool *pool = pool_of(n, cmd->service);
	if (!pool || !workpool_submit(pool, ups_send, att)) {
		free_attempt(att);
		report_not_sent(n, cmd);
	}
}

static void run_cancel(struct nod *n, struct hrq *hrq, const struct dec_cmd *cmd)
{
	struct ups_attempt *att = make_attempt(n, hrq, cmd);

	if (!workpool_submit(n->side, ups_cancel, att))
		free_attempt(att);
}

/* The accepted result becomes the next stage's input, or the answer. */
static void run_accept(struct hrq *hrq, const struct dec_cmd *cmd)
{
	GBytes *result = NULL;

	pthread_mutex_lock(&hrq->lock);
	struct hrq_attempt *record = hrq_attempt(hrq, cmd->stage, cmd->attempt);
	if (record == hrq->streamed) {
		hrq->stream_end = true;
		hrq_wake(hrq);
	} else {
		result = g_bytes_new(record->out->data, record->out->len);
		g_byte_array_set_size(record->out, 0);
	}
	pthread_mutex_unlock(&hrq->lock);
	if (!result)
		return;
	hrq_set_input(hrq, cmd->stage + 1, result);
	g_bytes_unref(result);
}

static void run_stream(struct hrq *hrq, const struct dec_cmd *cmd)
{
	pthread_mutex_lock(&hrq->lock);
	if (hrq->state == HRQ_RUNNING) {
		hrq->streamed = hrq_attempt(hrq, cmd->stage, cmd->attempt);
		hrq->state = HRQ_STREAM;
		hrq_wake(hrq);
	}
	pthread_mutex_unlock(&hrq->lock);
}

static enum counter_id outcome_counter(enum err_outcome outcome)
{
	static const enum counter_id ids[] = {
		[ERR_OUTCOME_COMPLETE] = COUNTER_COMPLETE,
		[ERR_OUTCOME_NOT_RUN] = COUNTER_NOT_RUN,
		[ERR_OUTCOME_UNKNOWN] = COUNTER_UNKNOWN,
	};

	return ids[outcome];
}

/* The answer is final: whoever waits for it is told. */
static void end_request(struct nod *n, struct hrq *hrq, enum err_outcome outcome)
{
	bool call_back = false;

	counter_add(outcome_counter(outcome), 1);
	hrq_set_over(hrq);
	hrq_ref(hrq);
	/* what a caller can have the answer of is held no more; a stop waits for callers, but for
	 * those of other nodes only while their requests stand in the table */
	if (!hrq->on_done)
		nod_remove_req(n, hrq->id);
	pthread_mutex_lock(&hrq->lock);
	if (hrq->state != HRQ_DONE)
		hrq->outcome = outcome;
	if (hrq->state == HRQ_STREAM) {
		hrq->stream_cut = !hrq->stream_end;
		pthread_cond_broadcast(&hrq->room);
	} else if (hrq->state == HRQ_RUNNING) {
		hrq->state = HRQ_DONE;
		call_back = hrq->on_done != NULL;
	}
	hrq_wake(hrq);
	pthread_mutex_unlock(&hrq->lock);
	if (call_back)
		hrq->on_done(hrq, hrq->on_done_arg);
	if (hrq->on_done)
		nod_remove_req(n, hrq->id);
	hrq_unref(hrq);
}

static void run_finish(struct nod *n, struct hrq *hrq)
{
	pthread_mutex_lock(&hrq->lock);
	if (hrq->input && !hrq->streamed)
		hrq->answer = g_bytes_ref(hrq->input);
	pthread_mutex_unlock(&hrq->lock);
	end_request(n, hrq, ERR_OUTCOME_COMPLETE);
}

void run_answer(struct nod *n, struct hrq *hrq, GBytes *body)
{
	pthread_mutex_lock(&hrq->lock);
	if (hrq->state == HRQ_RUNNING)
		hrq->answer = body ? g_bytes_ref(body) : NULL;
	pthread_mutex_unlock(&hrq->lock);
	end_request(n, hrq, ERR_OUTCOME_COMPLETE);
}

void run_fresh_ticket(struct nod *n, char text[TKT_TEXT_BYTES])
{
	struct tkt_id id;
	bool ok;

	pthread_mutex_lock(&n->lock);
	ok = tkt_issue(n->dec->tickets, 1, clock_wall_ms(), &id);
	pthread_mutex_unlock(&n->lock);
	text[0] = '\0';
	if (!ok)
		return;
	counter_add(COUNTER_TICKETS_ISSUED, 1);
	tkt_format(&id, text);
}

void run_refusal(struct nod *n, struct hrq *hrq, int code, enum err_outcome outcome,
		 int64_t retry_after_ms)
{
	char ticket[TKT_TEXT_BYTES] = "";

	/*
	 * A ticket that was refused is used up; so may be one of unknown fate. One that is partly
	 * done is to be sent again, and with another one it would run a second time.
	 */
	if (code == ERR_TICKET_REQUIRED || (hrq->given_ticket[0] && code != ERR_PARTLY_DONE))
		run_fresh_ticket(n, ticket);
	pthread_mutex_lock(&hrq->lock);
	g_strlcpy(hrq->ticket, ticket, sizeof(hrq->ticket));
	hrq->code = code;
	hrq->retry_after_ms = retry_after_ms;
	pthread_mutex_unlock(&hrq->lock);
	log_info("refused", "{s:s, s:s, s:s}", "request", hrq->text_id, "code",
		 err_info(code)->name, "outcome", err_outcome_name(outcome));
	end_request(n, hrq, outcome);
}

static void run_cmd(struct nod *n, struct hrq *hrq, const struct dec_cmd *cmd)
{
	switch (cmd->type) {
	case DEC_CMD_SEND:
		run_send(n, hrq, cmd);
		break;
	case DEC_CMD_CANCEL:
		run_cancel(n, hrq, cmd);
		break;
	case DEC_CMD_INPUT:
		counter_add(COUNTER_RESUMED, 1);
		hrq_set_input(hrq, cmd->stage, cmd->body);
		break;
	case DEC_CMD_ACCEPT:
		run_accept(hrq, cmd);
		break;
	case DEC_CMD_DROP:
		counter_add(COUNTER_LATE_RESULTS, 1);
		break;
	case DEC_CMD_STREAM:
		run_stream(hrq, cmd);
		break;
	case DEC_CMD_FINISH:
		run_finish(n, hrq);
		break;
	case DEC_CMD_REFUSE:
		run_refusal(n, hrq, cmd->code, cmd->outcome, cmd->retry_after_ms);
		break;
	case DEC_CMD_REPLAY:
		run_answer(n, hrq, cmd->body);
		break;
	case DEC_CMD_FORWARD:
		fwd_request(n->fwd, hrq, cmd);
		break;
	case DEC_CMD_HAND:
		hnd_ask(n->hnd, hrq, cmd);
		break;
	case DEC_CMD_POLL:
	case DEC_CMD_PROBE:
	case DEC_CMD_ASK_LIST:
	case DEC_CMD_DEMAND:
		break;
	}
}

/* Commands that belong to no request; false when it is none of them. */
static bool run_node_cmd(struct nod *n, const struct dec_cmd *cmd)
{
	switch (cmd->type) {
	case DEC_CMD_POLL:
		rpt_poll(n, cmd);
		return true;
	case DEC_CMD_PROBE:
		msg_send_digest(n, cmd);
		return true;
	case DEC_CMD_ASK_LIST:
		msg_ask_list(n, cmd);
		return true;
	case DEC_CMD_DEMAND:
		dmd_send(n, cmd);
		return true;
	default:
		return false;
	}
}

void run_cmds(struct nod *n, struct dec_out *out)
{
	for (guint i = 0; i < out->cmds->len; i++) {
		const struct dec_cmd *cmd = &g_array_index(out->cmds, struct dec_cmd, i);
		if (run_node_cmd(n, cmd))
			continue;
		struct hrq *hrq = nod_find_req(n, cmd->req);

		if (!hrq)
			continue;
		run_cmd(n, hrq, cmd);
		hrq_unref(hrq);
	}
}
