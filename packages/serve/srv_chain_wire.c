/* Encodes and decodes chains for peer messages. */
#include "srv_chain_int.h"

#include "decide/spread.h"

/* Bounds that let figures of other nodes be added to the clock and to each other. */
#define TIME_MAX_MS 86400000 /* a day */
#define RANK_MAX 1000
#define RESULT_MAX_BYTES 1000000000000

void srv_chain_encode_results(struct srv_chain_wire *w, const struct chain_stored_result *done,
			      uint32_t n)
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

void srv_chain_wire_clear(struct srv_chain_wire *w)
{
	g_free(w->done);
	g_free(w->done_list);
}

void srv_chain_encode(struct srv_chain_wire *w, const struct chain_job_spec *doc,
		      const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms)
{
	peer__chain_ask__init(&w->ask);
	srv_chain_encode_results(w, done, n_done);
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
	w->ask.account = (char *)(doc->account ? doc->account : "");
	w->ask.regions = (char **)doc->regions;
	w->ask.n_regions = doc->regions ? g_strv_length((char **)doc->regions) : 0;
	w->ask.session = doc->prompt.session;
	w->ask.work_us = doc->prompt.work_us;
	w->ask.session_us = doc->prompt.session_us;
	w->ask.engine_service = (char *)(doc->prompt.service ? doc->prompt.service : "");
}

void srv_chain_decode(const Peer__ChainAsk *wire, const char *asker,
		      struct chain_stage_spec *stages, struct chain_job_spec *doc, int64_t now_ms)
{
	char **regions = NULL;

	for (size_t i = 0; i < wire->n_stages && i < PUB_STAGES_MAX; i++)
		stages[i] = (struct chain_stage_spec){
			.service = wire->stages[i]->service,
			.after = wire->stages[i]->after,
			.pieces = wire->stages[i]->pieces,
			.result_bytes = CLAMP(wire->stages[i]->result_bytes, 0, RESULT_MAX_BYTES),
		};
	if (wire->n_regions > 0) {
		regions = g_new0(char *, wire->n_regions + 1);
		for (size_t i = 0; i < wire->n_regions; i++)
			regions[i] = wire->regions[i];
	}
	*doc = (struct chain_job_spec){
		.id = wire->id,
		.asker = asker,
		.account = wire->account,
		.attempt = wire->attempt,
		.key = wire->key,
		.stages = stages,
		.n_stages = (uint32_t)MIN(wire->n_stages, PUB_STAGES_MAX),
		.aim_at_ms = now_ms + CLAMP(wire->aim_ms, -TIME_MAX_MS, TIME_MAX_MS),
		.deadline_at_ms = now_ms + CLAMP(wire->deadline_ms, -TIME_MAX_MS, TIME_MAX_MS),
		.rank = CLAMP(wire->rank, -RANK_MAX, RANK_MAX),
		.data_centre = wire->data_centre,
		.regions = regions,
		.prompt =
			{
				.session = wire->session,
				.work_us = MIN(wire->work_us, SPREAD_WORK_MAX_US),
				.session_us = MIN(wire->session_us, SPREAD_WORK_MAX_US),
				.service = wire->engine_service,
			},
	};
}

struct chain_stored_result *srv_chain_decode_results(Peer__ChainDone *const *wire, size_t n)
{
	struct chain_stored_result *done = g_new0(struct chain_stored_result, n + 1);

	for (size_t i = 0; i < n; i++)
		done[i] = (struct chain_stored_result){wire[i]->stage, wire[i]->index,
						       wire[i]->upstream, wire[i]->handle};
	return done;
}
