/* Holds the chain scheduler back from upstreams to which the gate is closed. */
#include "srv_chain_int.h"
#include "srv_gate.h"

void srv_gate_update_pool(struct srv *s, const char *id, int64_t now_ms)
{
	struct gate_run run = srv_gate_run_of(s, id);
	struct gate_verdict verdict;
	struct chain_hold hold;

	gate_check(s->gate, run, true, now_ms, &verdict);
	if (verdict.state == GATE_UNPERMITTED && chain_needs_upstream(s->chains, id)) {
		srv_gate_ask(s, run, 1, true);
		gate_check(s->gate, run, true, now_ms, &verdict);
	}
	hold = (struct chain_hold){
		.is_held = verdict.state != GATE_OPEN,
		.open_at_ms = MAX(verdict.until_ms, now_ms + GATE_ASK_TIMEOUT_MS),
		.limit_per_s = verdict.per_s,
	};
	chain_hold_upstream(s->chains, id, &hold);
}

struct pool_update {
	struct srv *s;
	int64_t now_ms;
};

static void update_if_pool(void *arg, const struct gate_notice *notice)
{
	const struct pool_update *update = arg;

	if (chain_has_upstream(update->s->chains, notice->run.id))
		srv_gate_update_pool(update->s, notice->run.id, update->now_ms);
}

void srv_gate_update_pools(struct srv *s, int64_t now_ms)
{
	struct pool_update update = {s, now_ms};

	gate_foreach(s->gate, update_if_pool, &update);
}
