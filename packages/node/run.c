/* Executes the commands of the decision core. */
#include "node/node.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "node/demand.h"
#include "node/fwd.h"
#include "node/handoff.h"

#define RUN_POOL_QUEUED 4096

/* Returns the worker pool of a service, created on first use; NULL if the node is stopping. */
static struct workpool *get_pool(struct node_server *n, const char *service)
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

static struct upstream_call_attempt *make_attempt(struct node_server *n, struct httpreq *httpreq,
						  const struct core_cmd *cmd)
{
	struct upstream_call_attempt *att = g_new0(struct upstream_call_attempt, 1);

	att->node = n;
	att->httpreq = httpreq_ref(httpreq);
	att->cmd = *cmd;
	return att;
}

static void free_attempt(struct upstream_call_attempt *att)
{
	httpreq_unref(att->httpreq);
	g_free(att);
}

static void report_not_sent(struct node_server *n, const struct core_cmd *cmd)
{
	const struct core_event ev = {
		.type = CORE_EV_RESULT,
		.u.attempt = {.req = cmd->req,
			      .stage = cmd->stage,
			      .attempt = cmd->attempt,
			      .code = ERR_OVERLOADED},
	};

	node_handle_event(n, &ev);
}

static void run_send(struct node_server *n, struct httpreq *httpreq, const struct core_cmd *cmd)
{
	struct upstream_call_attempt *att = make_attempt(n, httpreq, cmd);

	counter_add(COUNTER_SENDS, 1);
	if (cmd->hedge)
		counter_add(COUNTER_HEDGES, 1);
	else if (cmd->attempt > 0)
		counter_add(COUNTER_RETRIES, 1);
	if (cmd->resume)
		httpreq_resume_stream(httpreq, cmd->stage, cmd->attempt);
	struct workpool *pool = get_pool(n, cmd->service);
	if (!pool || !workpool_submit(pool, upstream_call_send, att)) {
		free_attempt(att);
		report_not_sent(n, cmd);
	}
}

static void run_cancel(struct node_server *n, struct httpreq *httpreq, const struct core_cmd *cmd)
{
	struct upstream_call_attempt *att = make_attempt(n, httpreq, cmd);

	if (!workpool_submit(n->background, upstream_call_cancel, att))
		free_attempt(att);
}

/* Makes the accepted result the input of the next stage, or the answer. */
static void run_accept(struct httpreq *httpreq, const struct core_cmd *cmd)
{
	GBytes *result = NULL;

	pthread_mutex_lock(&httpreq->lock);
	struct httpreq_attempt *record = httpreq_attempt(httpreq, cmd->stage, cmd->attempt);
	if (record == httpreq->streamed) {
		httpreq->stream_end = true;
		httpreq_wake(httpreq);
	} else {
		result = g_bytes_new(record->out->data, record->out->len);
		g_byte_array_set_size(record->out, 0);
	}
	pthread_mutex_unlock(&httpreq->lock);
	if (!result)
		return;
	httpreq_set_input(httpreq, cmd->stage + 1, result);
	g_bytes_unref(result);
}

static void run_stream(struct httpreq *httpreq, const struct core_cmd *cmd)
{
	pthread_mutex_lock(&httpreq->lock);
	if (httpreq->state == HTTPREQ_RUNNING) {
		httpreq->streamed = httpreq_attempt(httpreq, cmd->stage, cmd->attempt);
		httpreq->state = HTTPREQ_STREAMING;
		httpreq_wake(httpreq);
	}
	pthread_mutex_unlock(&httpreq->lock);
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

/* Completes the request and wakes its connection or calls its callback. */
static void end_request(struct node_server *n, struct httpreq *httpreq, enum err_outcome outcome)
{
	bool call_back = false;

	counter_add(outcome_counter(outcome), 1);
	httpreq_set_ended(httpreq);
	httpreq_ref(httpreq);
	/*
	 * A planned stop waits until n->callers is 0 and the table is empty. A caller's request is
	 * counted in n->callers until its answer is sent, so it is removed from the table before
	 * its answer is published. A request of another node is not counted there, so it is removed
	 * only after its callback has run.
	 */
	if (!httpreq->on_done)
		node_remove_request(n, httpreq->id);
	pthread_mutex_lock(&httpreq->lock);
	if (httpreq->state != HTTPREQ_DONE)
		httpreq->outcome = outcome;
	if (httpreq->state == HTTPREQ_STREAMING) {
		httpreq->stream_cut = !httpreq->stream_end;
		pthread_cond_broadcast(&httpreq->changed);
	} else if (httpreq->state == HTTPREQ_RUNNING) {
		httpreq->state = HTTPREQ_DONE;
		call_back = httpreq->on_done != NULL;
	}
	httpreq_wake(httpreq);
	pthread_mutex_unlock(&httpreq->lock);
	if (call_back)
		httpreq->on_done(httpreq, httpreq->on_done_arg);
	if (httpreq->on_done)
		node_remove_request(n, httpreq->id);
	httpreq_unref(httpreq);
}

static void run_finish(struct node_server *n, struct httpreq *httpreq)
{
	pthread_mutex_lock(&httpreq->lock);
	if (httpreq->input && !httpreq->streamed)
		httpreq->answer = g_bytes_ref(httpreq->input);
	pthread_mutex_unlock(&httpreq->lock);
	end_request(n, httpreq, ERR_OUTCOME_COMPLETE);
}

void run_answer(struct node_server *n, struct httpreq *httpreq, GBytes *body)
{
	pthread_mutex_lock(&httpreq->lock);
	if (httpreq->state == HTTPREQ_RUNNING)
		httpreq->answer = body ? g_bytes_ref(body) : NULL;
	pthread_mutex_unlock(&httpreq->lock);
	end_request(n, httpreq, ERR_OUTCOME_COMPLETE);
}

void run_fresh_ticket(struct node_server *n, char text[TICKET_TEXT_BYTES])
{
	struct ticket_id id;
	bool ok;

	pthread_mutex_lock(&n->lock);
	ok = ticket_issue(n->core_state->tickets, 1, clock_wall_ms(), &id);
	pthread_mutex_unlock(&n->lock);
	text[0] = '\0';
	if (!ok)
		return;
	counter_add(COUNTER_TICKETS_ISSUED, 1);
	ticket_format(&id, text);
}

void run_refuse(struct node_server *n, struct httpreq *httpreq, int code, enum err_outcome outcome,
		int64_t retry_after_ms)
{
	char ticket[TICKET_TEXT_BYTES] = "";

	/*
	 * The caller needs a new ticket, since a refused ticket can't be used again, and one whose
	 * outcome is unknown might be refused too. A partly executed request has to be repeated
	 * with its own ticket: with a new one it would run a second time.
	 */
	if (code == ERR_TICKET_REQUIRED || (httpreq->given_ticket[0] && code != ERR_PARTLY_DONE))
		run_fresh_ticket(n, ticket);
	pthread_mutex_lock(&httpreq->lock);
	g_strlcpy(httpreq->ticket, ticket, sizeof(httpreq->ticket));
	httpreq->code = code;
	httpreq->retry_after_ms = retry_after_ms;
	pthread_mutex_unlock(&httpreq->lock);
	log_info("refused", "{s:s, s:s, s:s}", "request", httpreq->text_id, "code",
		 err_info(code)->name, "outcome", err_outcome_name(outcome));
	end_request(n, httpreq, outcome);
}

static void run_cmd(struct node_server *n, struct httpreq *httpreq, const struct core_cmd *cmd)
{
	switch (cmd->type) {
	case CORE_CMD_SEND:
		run_send(n, httpreq, cmd);
		break;
	case CORE_CMD_CANCEL:
		run_cancel(n, httpreq, cmd);
		break;
	case CORE_CMD_INPUT:
		counter_add(COUNTER_RESUMED, 1);
		httpreq_set_input(httpreq, cmd->stage, cmd->body);
		break;
	case CORE_CMD_ACCEPT:
		run_accept(httpreq, cmd);
		break;
	case CORE_CMD_DISCARD:
		counter_add(COUNTER_LATE_RESULTS, 1);
		break;
	case CORE_CMD_STREAM:
		run_stream(httpreq, cmd);
		break;
	case CORE_CMD_FINISH:
		run_finish(n, httpreq);
		break;
	case CORE_CMD_REFUSE:
		run_refuse(n, httpreq, cmd->code, cmd->outcome, cmd->retry_after_ms);
		break;
	case CORE_CMD_REPLAY:
		run_answer(n, httpreq, cmd->body);
		break;
	case CORE_CMD_FORWARD:
		fwd_request(n->fwd, httpreq, cmd);
		break;
	case CORE_CMD_HANDOFF:
		handoff_request(n->handoff, httpreq, cmd);
		break;
	case CORE_CMD_POLL:
	case CORE_CMD_PROBE:
	case CORE_CMD_FETCH_LIST:
	case CORE_CMD_DEMAND:
		break;
	}
}

/* Executes a command that belongs to no request; false if the command belongs to one. */
static bool run_node_cmd(struct node_server *n, const struct core_cmd *cmd)
{
	switch (cmd->type) {
	case CORE_CMD_POLL:
		reportpoll_submit(n, cmd);
		return true;
	case CORE_CMD_PROBE:
		msg_send_digest(n, cmd);
		return true;
	case CORE_CMD_FETCH_LIST:
		msg_request_list(n, cmd);
		return true;
	case CORE_CMD_DEMAND:
		demand_send(n, cmd);
		return true;
	default:
		return false;
	}
}

void run_cmds(struct node_server *n, struct core_out *out)
{
	for (guint i = 0; i < out->cmds->len; i++) {
		const struct core_cmd *cmd = &g_array_index(out->cmds, struct core_cmd, i);
		if (run_node_cmd(n, cmd))
			continue;
		struct httpreq *httpreq = node_find_request(n, cmd->req);

		if (!httpreq)
			continue;
		run_cmd(n, httpreq, cmd);
		httpreq_unref(httpreq);
	}
}
