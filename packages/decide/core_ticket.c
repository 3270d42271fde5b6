/* Ends requests and their tickets, and handles repeats, which join, replay or resume a request. */
#include "core_int.h"

#include <string.h>

void core_push_refusal(struct core_out *out, uint64_t req, int code, enum err_outcome outcome,
		       int64_t retry_after_ms)
{
	struct core_cmd *cmd = core_push(out, CORE_CMD_REFUSE, req);

	cmd->code = code;
	cmd->outcome = outcome;
	cmd->retry_after_ms = retry_after_ms;
}

static void push_answer(struct core_out *out, uint64_t req, const struct ticket_answer *answer)
{
	if (answer->outcome != ERR_OUTCOME_COMPLETE) {
		core_push_refusal(out, req, answer->code, answer->outcome, 0);
		return;
	}
	struct core_cmd *cmd = core_push(out, CORE_CMD_REPLAY, req);
	cmd->body = answer->body ? g_bytes_ref(answer->body) : NULL;
}

/* Ends the ticket of a request, if any, and answers the waiters that joined the request. */
static void end_ticket(struct core_state *d, const struct req *req,
		       const struct ticket_answer *answer, struct core_out *out)
{
	GArray *waiting_list = g_hash_table_lookup(d->waiters, &req->id);

	if (req->has_ticket)
		ticket_finish(d->tickets, &req->ticket, answer);
	if (!waiting_list)
		return;
	for (uint32_t i = 0; i < waiting_list->len; i++)
		push_answer(out, g_array_index(waiting_list, struct core_waiter, i).id, answer);
	g_hash_table_remove(d->waiters, &req->id);
}

static bool may_have_run(const struct req *req)
{
	bool ran = req->ran;

	for (uint32_t i = 0; i < req->n_attempts; i++)
		ran = ran || req->attempts[i].may_have_run;
	return ran;
}

/* True when there is a checkpoint and no non-idempotent attempt may have run since. */
static bool can_resume(const struct req *req)
{
	bool ran = false;

	for (uint32_t i = 0; i < req->n_attempts; i++)
		ran = ran || req->attempts[i].may_have_run;
	return req->checkpoint && (!ran || req->stages[req->stage].idempotent);
}

static uint32_t hash_plan(const struct req *req)
{
	uint32_t plan = req->n_stages;

	for (uint32_t i = 0; i < req->n_stages; i++) {
		const struct req_stage *stage = &req->stages[i];
		plan = plan * 31 + g_str_hash(stage->service->name);
		plan = plan * 31 + g_str_hash(stage->call);
		plan = plan * 31 + stage->idempotent;
	}
	return plan;
}

void core_refuse(struct core_state *d, struct req *req, int code, int64_t retry_after_ms,
		 int64_t now_ms, struct core_out *out)
{
	struct ticket_answer answer = {.outcome = ERR_OUTCOME_NOT_RUN, .code = code};

	if (may_have_run(req))
		answer.outcome = ERR_OUTCOME_UNKNOWN;
	if (can_resume(req)) {
		answer.code = ERR_PARTLY_DONE;
		answer.body = req->checkpoint;
		answer.next_stage = req->checkpoint_stage;
		answer.plan = hash_plan(req);
	}
	core_cancel_attempts(d, req, REQ_ATTEMPTS_MAX, now_ms, out);
	core_push_refusal(out, req->id, answer.code, answer.outcome, retry_after_ms);
	end_ticket(d, req, &answer, out);
	g_hash_table_remove(d->reqs, &req->id);
}

void core_finish(struct core_state *d, struct req *req, GBytes *body, struct core_out *out)
{
	const struct ticket_answer answer = {.outcome = ERR_OUTCOME_COMPLETE, .body = body};

	core_push(out, CORE_CMD_FINISH, req->id);
	end_ticket(d, req, &answer, out);
	g_hash_table_remove(d->reqs, &req->id);
}

static void add_waiter(struct core_state *d, uint64_t running, const struct core_waiter *waiter)
{
	GArray *waiting_list = g_hash_table_lookup(d->waiters, &running);

	if (!waiting_list) {
		waiting_list = g_array_new(FALSE, FALSE, sizeof(struct core_waiter));
		g_hash_table_insert(d->waiters, g_memdup2(&running, sizeof(running)), waiting_list);
	}
	g_array_append_vals(waiting_list, waiter, 1);
	d->waiters_wake_ms = MIN(d->waiters_wake_ms, waiter->deadline_at_ms);
}

/* Refuses waiters past their deadlines; the request that they joined continues. */
static void expire_waiters(struct core_state *d, GArray *waiting_list, int64_t now_ms,
			   struct core_out *out)
{
	for (guint i = waiting_list->len; i-- > 0;) {
		const struct core_waiter entry = g_array_index(waiting_list, struct core_waiter, i);

		if (now_ms < entry.deadline_at_ms) {
			d->waiters_wake_ms = MIN(d->waiters_wake_ms, entry.deadline_at_ms);
			continue;
		}
		g_array_remove_index_fast(waiting_list, i);
		core_push_refusal(out, entry.id, ERR_DEADLINE_EXPIRED, ERR_OUTCOME_UNKNOWN, 0);
	}
}

void core_tick_waiters(struct core_state *d, int64_t now_ms, struct core_out *out)
{
	GHashTableIter iter;
	gpointer waiting_list;

	if (now_ms < d->waiters_wake_ms)
		return;
	d->waiters_wake_ms = INT64_MAX;
	g_hash_table_iter_init(&iter, d->waiters);
	while (g_hash_table_iter_next(&iter, NULL, &waiting_list)) {
		expire_waiters(d, waiting_list, now_ms, out);
		if (((GArray *)waiting_list)->len == 0)
			g_hash_table_iter_remove(&iter);
	}
}

/* Resumes a repeat from the checkpoint stored with its ticket; false when that is not possible. */
static bool resume(struct core_state *d, struct req *req, struct core_out *out)
{
	const struct ticket_answer *answer = ticket_answer(d->tickets, &req->ticket);
	uint32_t stage = answer->next_stage;
	struct core_cmd *cmd;

	if (stage == 0 || stage >= req->n_stages || answer->plan != hash_plan(req))
		return false;
	req->checkpoint = ticket_reopen(d->tickets, &req->ticket, req->id);
	if (!req->checkpoint)
		return false;
	req->checkpoint_stage = stage;
	req->stage = stage;
	req->ran = true;
	req->body_bytes = g_bytes_get_size(req->checkpoint);
	cmd = core_push(out, CORE_CMD_INPUT, req->id);
	cmd->stage = stage;
	cmd->body = g_bytes_ref(req->checkpoint);
	return true;
}

bool core_claim_ticket(struct core_state *d, struct req *req, int64_t now_ms,
		       const struct core_ev_request *ev, struct core_out *out)
{
	uint64_t running = 0;
	struct core_cmd *cmd;

	switch (ticket_claim(d->tickets, &ev->ticket, ev->id, ev->now_wall_ms, &running)) {
	case TICKET_RUN:
		return true;
	case TICKET_JOIN:
		add_waiter(d, running, &(struct core_waiter){ev->id, req->deadline_at_ms});
		break;
	case TICKET_REPLAY:
		if (resume(d, req, out))
			return true;
		push_answer(out, ev->id, ticket_answer(d->tickets, &ev->ticket));
		break;
	case TICKET_NOT_RUN:
		push_answer(out, ev->id, ticket_answer(d->tickets, &ev->ticket));
		break;
	case TICKET_FORWARD:
		if (ev->forwarded) {
			core_push_refusal(out, ev->id, ERR_OWNER_UNREACHABLE, ERR_OUTCOME_UNKNOWN,
					  0);
			break;
		}
		cmd = core_push(out, CORE_CMD_FORWARD, ev->id);
		g_strlcpy(cmd->vm, ev->ticket.vm, sizeof(cmd->vm));
		cmd->ticket = ev->ticket;
		cmd->timeout_ms = req->deadline_at_ms - now_ms;
		break;
	case TICKET_UNKNOWN:
		core_push_refusal(out, ev->id, ERR_TICKET_UNKNOWN, ERR_OUTCOME_UNKNOWN, 0);
		break;
	}
	return false;
}
