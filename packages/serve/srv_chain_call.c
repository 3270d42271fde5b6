/* Calls of pieces, and givings up of results, at upstreams. */
#include "srv_chain_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define CALL_FACTOR 8 /* times the expected time, after which a call is dropped */
#define CALL_MIN_MS 4000
#define CONNECT_MS 700
#define REPLY_BYTES_MAX (1024 * 1024)

/* A call of pieces or a giving up of results that this node, as owner, has under way. */
struct pool_call {
	struct srv *s;
	struct srv_upstream *upstream;
	struct http_client_call *call;
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
	int64_t now_ms = clock_now_ms();
	GArray *out;

	if (pc->id == 0) {
		free_call(pc);
		return;
	}
	log_call(pc, outcome, now_ms);
	out = chn_out_new();
	chn_call_failed(s->chains, pc->id, fault, now_ms, out);
	free_call(pc);
	chain_carry_out(s, out);
}

static bool on_head(void *arg, const struct http_client_head *head)
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
	int64_t now_ms = clock_now_ms();
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
		chain_carry_out(s, out);
	}
	for (uint32_t i = 0; i < n; i++)
		g_free(wire[i].handle);
	g_free(wire);
	g_free(results);
}

static void on_end(void *arg, enum http_client_result end)
{
	struct pool_call *pc = arg;

	pc->call = NULL;
	if (end != HTTP_CLIENT_DONE)
		end_failed(pc, CHN_CALL_FAILED,
			   end == HTTP_CLIENT_NOT_SENT ? "no connection" : "connection broken");
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

static const struct http_client_ops pool_ops = {
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

static void on_call_timeout(uv_timer_t *timer)
{
	struct pool_call *pc = timer->data;

	http_client_cancel(pc->call);
	pc->call = NULL;
	end_failed(pc, CHN_CALL_FAILED, "no answer in time");
}

/* body is freed. id 0: results are given up, and nobody waits for the answer. */
static void chain_post(struct srv *s, const struct chn_cmd *cmd, const char *target, char *body)
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
	pc->sent_ms = clock_now_ms();
	pc->expect_ms = cmd->expect_ms;
	pc->body = g_byte_array_new();
	u->in_flight++;
	s->adp->upstream->run_headers(cmd->address, cmd->call ? cmd->upstream : NULL, &headers);
	const struct http_client_request request = {
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
	pc->call = http_client_start(u->origin, &request, &pool_ops, pc);
	hdr_clear(&headers);
	free(body);
	if (!pc->call)
		end_failed(pc, CHN_CALL_FAILED, "no socket");
}

void chain_send_pieces(struct srv *s, const struct chn_cmd *cmd)
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
	chain_post(s, cmd, s->adp->upstream->run_target,
		   s->adp->upstream->run_body(pieces, cmd->n_pieces));
	g_free(pieces);
}

void chain_send_free(struct srv *s, const struct chn_cmd *cmd)
{
	chain_post(s, cmd, s->adp->upstream->free_target,
		   s->adp->upstream->free_body((const char *const *)cmd->handles,
					       g_strv_length(cmd->handles)));
}
