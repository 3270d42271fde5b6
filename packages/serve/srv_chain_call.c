/* Batch calls of pieces to pool upstreams, and calls that free results there. */
#include "srv_chain_int.h"
#include "srv_gate.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/dedup.h"

#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_FACTOR 8 /* timeout as a multiple of the expected duration */
#define CALL_TIMEOUT_MIN_MS 4000
#define CONNECT_TIMEOUT_MS 700
#define STATUS_OK 200
#define STATUS_MISDIRECTED 421 /* another upstream has the address */
#define REPLY_BYTES_MAX (1024 * 1024)

/* An active call to a pool upstream: pieces to run, or results to free. */
struct pool_call {
	struct srv *s;
	struct srv_upstream *upstream;
	struct http_client_call *call;
	uint64_t id;	 /* id in the chain scheduler; 0: a call that frees results */
	uint32_t n;	 /* number of pieces */
	int64_t born_ms; /* of the upstream's run, as published when the call was sent */
	int64_t sent_ms;
	int64_t expect_ms;
	int32_t pace_pct;     /* believed when the call was sent */
	int64_t pace_age_ms;  /* of the report behind it; -1: the upstream reports none */
	int32_t reported_pct; /* pace that the answer reports; 0: none */
	int status;
	bool not_run;
	uint32_t others; /* number of calls running or waiting there, from the answer */
	uint32_t n_by_status[ADAPTER_PIECE_STATUSES]; /* number of pieces with each status */
	GByteArray *body;
	struct adapter_piece_result *wire;  /* n of them, once the response has been read */
	struct chain_piece_result *results; /* the same; NULL: the response is malformed */
	bool is_repeated;		    /* it is a second response to an earlier call */
	uv_timer_t timer;
};

static void on_timer_closed(uv_handle_t *handle)
{
	struct pool_call *pc = handle->data;

	srv_upstream_unref(pc->upstream);
	g_free(pc);
}

static void free_call(struct pool_call *pc)
{
	pc->upstream->in_flight--;
	srv_gate_note_use(pc->s, pc->upstream->id);
	for (uint32_t i = 0; pc->wire && i < pc->n; i++)
		g_free(pc->wire[i].handle);
	g_free(pc->wire);
	g_free(pc->results);
	g_byte_array_unref(pc->body);
	uv_timer_stop(&pc->timer);
	pc->timer.data = pc;
	uv_close((uv_handle_t *)&pc->timer, on_timer_closed);
}

static void log_call(const struct pool_call *pc, const char *outcome, int64_t now_ms)
{
	log_info("pool_call",
		 "{s:I, s:s, s:s, s:i, s:I, s:I, s:i, s:s, s:i, s:i, s:i, s:i, s:i, s:I, s:i}",
		 "call", (json_int_t)pc->id, "upstream", pc->upstream->id, "address",
		 pc->upstream->address, "pieces", (int)pc->n, "expect_ms",
		 (json_int_t)pc->expect_ms, "took_ms", (json_int_t)(now_ms - pc->sent_ms), "status",
		 pc->status, "outcome", outcome, "late", (int)pc->n_by_status[ADAPTER_PIECE_LATE],
		 "gone", (int)pc->n_by_status[ADAPTER_PIECE_INPUT_LOST], "no_room",
		 (int)pc->n_by_status[ADAPTER_PIECE_NO_ROOM], "errors",
		 (int)pc->n_by_status[ADAPTER_PIECE_ERROR], "pace_pct", (int)pc->pace_pct,
		 "pace_age_ms", (json_int_t)pc->pace_age_ms, "reported_pct", (int)pc->reported_pct);
}

static void fail_call(struct pool_call *pc, enum chain_call_error error, const char *outcome)
{
	struct srv *s = pc->s;
	int64_t now_ms = clock_now_ms();
	GArray *out;

	if (pc->id == 0) {
		free_call(pc);
		return;
	}
	log_call(pc, outcome, now_ms);
	out = chain_cmd_list_new();
	chain_fail_call(s->chains, pc->id, error, now_ms, out);
	free_call(pc);
	srv_chain_execute(s, out);
}

static void note_pace(struct pool_call *pc, const struct adapter_answer *answer)
{
	if (answer->pace == ADAPTER_ADVICE_MALFORMED)
		srv_count(pc->s, SRV_PACE_IGNORED);
	if (answer->pace != ADAPTER_ADVICE_GIVEN)
		return;
	pc->reported_pct = answer->pace_pct;
	chain_note_pace(pc->s->chains, pc->upstream->id, pc->born_ms, answer->pace_pct,
			clock_now_ms());
}

static bool on_head(void *arg, const struct http_client_head *head)
{
	struct pool_call *pc = arg;
	struct adapter_answer answer;

	pc->s->adapter->upstream->read_answer(&head->headers, &answer);
	pc->status = head->status;
	pc->not_run = answer.not_run;
	if (head->status != STATUS_MISDIRECTED)
		srv_gate_note_answer(pc->s, (struct gate_run){pc->upstream->id, pc->born_ms},
				     pc->sent_ms, head->status, &answer, "");
	if (head->status != STATUS_MISDIRECTED)
		note_pace(pc, &answer);
	pc->others = answer.has_load ? (uint32_t)MAX(answer.running + answer.waiting, 0) : 0;
	return true;
}

static bool on_data(void *arg, const void *data, size_t len)
{
	struct pool_call *pc = arg;

	g_byte_array_append(pc->body, data, (guint)len);
	return pc->body->len <= REPLY_BYTES_MAX;
}

static enum chain_piece_status map_piece_status(enum adapter_piece_status status)
{
	static const enum chain_piece_status map[] = {
		[ADAPTER_PIECE_OK] = CHAIN_PIECE_OK,
		[ADAPTER_PIECE_LATE] = CHAIN_PIECE_EXPIRED,
		[ADAPTER_PIECE_INPUT_LOST] = CHAIN_PIECE_INPUT_LOST,
		[ADAPTER_PIECE_NO_ROOM] = CHAIN_PIECE_NO_ROOM,
		[ADAPTER_PIECE_ERROR] = CHAIN_PIECE_FAILED,
	};

	return map[status];
}

/* Reads the results of the pieces. */
static void read_results(struct pool_call *pc)
{
	pc->wire = g_new0(struct adapter_piece_result, pc->n);
	if (!pc->s->adapter->upstream->run_reply((const char *)pc->body->data, pc->body->len,
						 pc->wire, pc->n))
		return;
	pc->results = g_new0(struct chain_piece_result, pc->n);
	for (uint32_t i = 0; i < pc->n; i++) {
		pc->results[i] = (struct chain_piece_result){map_piece_status(pc->wire[i].fault),
							     pc->wire[i].handle};
		pc->n_by_status[pc->wire[i].fault]++;
	}
}

/* Returns whether none of the handles was received before on the call's connection. */
static bool take_handles(struct pool_call *pc)
{
	struct dedup *dedup = http_client_get_data(pc->call);
	const char **handles = g_new(const char *, pc->n);
	uint32_t n = 0;
	bool is_new;

	if (!dedup) {
		dedup = dedup_new();
		http_client_set_data(pc->call, dedup, (GDestroyNotify)dedup_free);
	}
	for (uint32_t i = 0; i < pc->n; i++) {
		if (pc->wire[i].handle)
			handles[n++] = pc->wire[i].handle;
	}
	is_new = dedup_take(dedup, handles, n);
	g_free(handles);
	return is_new;
}

/*
 * Returns why the connection of a complete response isn't to be reused: a late duplicate of it
 * couldn't be recognised, or it is one itself. SRV_COUNTERS_N: it may be reused.
 */
static enum srv_counter closing_reason(struct pool_call *pc)
{
	if (pc->status == STATUS_MISDIRECTED || pc->not_run)
		return SRV_CLOSED_REFUSAL;
	if (pc->id == 0) /* a duplicate of a release's own response is no answer for pieces */
		return pc->s->adapter->upstream->is_run_reply((const char *)pc->body->data,
							      pc->body->len)
			       ? SRV_CLOSED_REPEATED
			       : SRV_COUNTERS_N;
	if (!pc->results) /* an error, or malformed */
		return SRV_CLOSED_REASON;
	pc->is_repeated = !take_handles(pc) ||
			  !chain_accepts_results(pc->s->chains, pc->id, pc->results, pc->n);
	if (pc->is_repeated)
		return SRV_CLOSED_REPEATED;
	return pc->n_by_status[ADAPTER_PIECE_OK] < pc->n ? SRV_CLOSED_REASON : SRV_COUNTERS_N;
}

static bool on_complete(void *arg)
{
	struct pool_call *pc = arg;
	enum srv_counter reason;

	if (pc->id != 0 && pc->status == STATUS_OK && !pc->not_run)
		read_results(pc);
	if (!srv_has_policy(pc->s, POLICY_SECOND_ANSWERS))
		return true;
	reason = closing_reason(pc);
	if (reason != SRV_COUNTERS_N)
		srv_upstream_note_closed(pc->upstream, reason);
	return reason == SRV_COUNTERS_N;
}

static void complete_call(struct pool_call *pc)
{
	struct srv *s = pc->s;
	int64_t now_ms = clock_now_ms();
	GArray *out;

	if (!pc->results || pc->is_repeated) {
		fail_call(pc, CHAIN_CALL_FAILED,
			  pc->is_repeated ? "response to an earlier call" : "malformed");
		return;
	}
	log_call(pc, pc->n_by_status[ADAPTER_PIECE_OK] < pc->n ? "some pieces failed" : "done",
		 now_ms);
	out = chain_cmd_list_new();
	chain_complete_call(s->chains, pc->id, pc->results, pc->n, pc->others, now_ms, out);
	free_call(pc);
	srv_chain_execute(s, out);
}

static void on_end(void *arg, enum http_client_result end)
{
	struct pool_call *pc = arg;

	pc->call = NULL;
	if (end != HTTP_CLIENT_DONE)
		fail_call(pc, CHAIN_CALL_FAILED,
			  end == HTTP_CLIENT_NOT_SENT	 ? "no connection"
			  : end == HTTP_CLIENT_MALFORMED ? "malformed or endless"
							 : "connection broken");
	else if (pc->status == STATUS_MISDIRECTED)
		fail_call(pc, CHAIN_CALL_WRONG_UPSTREAM, "address belongs to another upstream");
	else if (pc->not_run)
		fail_call(pc, CHAIN_CALL_REJECTED, "refused by the upstream, not run");
	else if (pc->status != STATUS_OK)
		fail_call(pc, CHAIN_CALL_FAILED, "failed");
	else if (pc->id == 0)
		free_call(pc);
	else
		complete_call(pc);
}

static const struct http_client_ops pool_ops = {
	.on_head = on_head,
	.on_data = on_data,
	.on_complete = on_complete,
	.on_end = on_end,
};

static void on_call_timeout(uv_timer_t *timer)
{
	struct pool_call *pc = timer->data;

	http_client_cancel(pc->call);
	pc->call = NULL;
	fail_call(pc, CHAIN_CALL_FAILED, "no answer in time");
}

/* Takes ownership of body. A call with id 0 frees results, and its outcome is ignored. */
static void post_call(struct srv *s, const struct chain_cmd *cmd, const char *target, char *body)
{
	struct srv_upstream *u = srv_upstream_get(s, cmd->upstream, cmd->address);
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
	pc->born_ms = srv_gate_run_of(s, u->id).born_ms;
	pc->sent_ms = clock_now_ms();
	pc->expect_ms = cmd->expect_ms;
	pc->pace_pct = cmd->pace_pct;
	pc->pace_age_ms = cmd->pace_age_ms;
	pc->body = g_byte_array_new();
	u->in_flight++;
	srv_upstream_ref(u);
	srv_gate_note_use(s, u->id);
	s->adapter->upstream->run_headers(cmd->address, cmd->call ? cmd->upstream : NULL, &headers);
	const struct http_client_request request = {
		.method = "POST",
		.target = target,
		.headers = &headers,
		.body = body,
		.len = strlen(body),
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
	};
	uv_timer_init(&s->loop, &pc->timer);
	pc->timer.data = pc;
	uv_timer_start(&pc->timer, on_call_timeout,
		       (uint64_t)MAX(CALL_TIMEOUT_FACTOR * cmd->expect_ms, CALL_TIMEOUT_MIN_MS), 0);
	pc->call = srv_gate_call(s, u, true, &request, &pool_ops, pc);
	hdr_clear(&headers);
	free(body);
	if (!pc->call)
		fail_call(pc, CHAIN_CALL_REJECTED, "held back, or no socket");
	srv_gate_update_pools(s, clock_now_ms());
}

void srv_chain_call_pieces(struct srv *s, const struct chain_cmd *cmd)
{
	struct adapter_piece *pieces = g_new0(struct adapter_piece, cmd->n_pieces);

	for (uint32_t i = 0; i < cmd->n_pieces; i++) {
		const struct chain_piece *p = &cmd->pieces[i];
		pieces[i] = (struct adapter_piece){
			.attempt = p->attempt,
			.stage = p->stage,
			.index = p->index,
			.left_ms = p->left_ms,
			.key = p->key,
			.inputs = (const char *const *)p->inputs,
		};
	}
	srv_count(s, SRV_POOL_CALLS);
	s->counters[SRV_POOL_PIECES] += cmd->n_pieces;
	post_call(s, cmd, s->adapter->upstream->run_target,
		  s->adapter->upstream->run_body(pieces, cmd->n_pieces));
	g_free(pieces);
}

void srv_chain_free_results(struct srv *s, const struct chain_cmd *cmd)
{
	post_call(s, cmd, s->adapter->upstream->free_target,
		  s->adapter->upstream->free_body((const char *const *)cmd->handles,
						  g_strv_length(cmd->handles)));
}
