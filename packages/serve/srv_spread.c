/* Engines that owners of chains propose for the chains' requests, and what becomes of proposals. */
#include "srv_gate.h"
#include "srv_req_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

#define US_PER_MS 1000.0

void srv_spread_view_changed(struct srv *s)
{
	GArray *engines = g_array_new(FALSE, FALSE, sizeof(struct spread_engine));
	double share = srvconf_number(s->set->engine_share);
	GHashTableIter iter;
	gpointer value;

	spread_set_share(s->spread, share > 0 ? share : SPREAD_SHARE);
	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (s->view->doc && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct view_upstream *u = value;
		const struct pub_service *service = pub_find_service(s->view->doc, u->doc->service);
		if (service && service->pool.present)
			continue;
		const struct spread_engine engine = {
			.id = u->doc->id,
			.service = u->doc->service,
			.data_centre = u->doc->data_centre,
			.region = srvconf_region_of(s->set, u->doc->data_centre),
			.is_usable = view_is_usable(s->view, u) && !srv_gate_is_leaving(s, u),
			.cold_until_ms = u->cold_until_ms,
		};
		g_array_append_val(engines, engine);
	}
	spread_set_engines(s->spread, (const struct spread_engine *)(void *)engines->data,
			   engines->len);
	g_array_unref(engines);
}

/* Returns whether requests may be sent to the engine, as far as this node knows. */
static bool may_use(void *arg, const char *id)
{
	struct srv *s = arg;
	const struct view_upstream *entry = g_hash_table_lookup(s->view->upstreams, id);
	const struct srv_upstream *u = g_hash_table_lookup(s->upstreams, id);
	int64_t now_ms = clock_now_ms();
	struct gate_verdict verdict;

	if (!entry || !view_is_usable(s->view, entry) || view_is_cold(entry, now_ms) ||
	    (u && u->blocked_until_ms > now_ms))
		return false;
	gate_check(s->gate, (struct gate_run){id, entry->doc->born_ms}, true, now_ms, &verdict);
	return verdict.state == GATE_OPEN;
}

void srv_spread_choose(struct srv *s, const struct chain_cmd *ready, int64_t now_ms,
		       struct spread_choice *choice)
{
	const struct chain_job_spec *doc = &ready->doc;
	const struct gossip_member *asker = gossip_find(s->fleet, ready->asker);
	const struct spread_request request = {
		.service = doc->prompt.service,
		.session = doc->prompt.session,
		.work_us = doc->prompt.work_us,
		.session_us = doc->prompt.session_us,
		.is_by_cost = srv_has_policy(s, POLICY_EVEN_LOAD_COST),
		.results_at = srv_has_policy(s, POLICY_NEAR_INPUTS) ? ready->data_centre : NULL,
		.asker_at = asker ? asker->record.data_centre : NULL,
		.asker_region = asker ? asker->record.region : NULL,
		.regions = doc->regions,
		.may_use = may_use,
		.arg = s,
	};

	*choice = (struct spread_choice){0};
	if (!s->is_split || !srv_has_policy(s, POLICY_EVEN_LOAD) || !doc->prompt.service)
		return;
	if (spread_choose(s->spread, &request, now_ms, choice))
		srv_count(s, SRV_ENGINES_PROPOSED);
}

static bool inherits(const struct srv *s)
{
	return s->is_split && srv_has_policy(s, POLICY_EVEN_LOAD) &&
	       srv_has_policy(s, POLICY_INHERITED);
}

void srv_spread_region_gained(struct srv *s)
{
	if (inherits(s))
		spread_begin_succession(s->spread);
}

static void encode_loads(struct srv_spread_wire *wire, const struct spread_load *loads, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		peer__engine_load__init(&wire->engines[i]);
		wire->engines[i].id = (char *)loads[i].id;
		wire->engines[i].backlog_us = loads[i].backlog_us;
		wire->engines[i].placed_us = loads[i].placed_us;
		wire->list[i] = &wire->engines[i];
	}
}

void srv_spread_encode(struct srv *s, struct srv_spread_wire *wire, Peer__RegionLoad *load,
		       int64_t now_ms)
{
	struct spread_load loads[SPREAD_LOADS_MAX];
	uint32_t n = 0;

	if (s->is_split && srv_has_policy(s, POLICY_EVEN_LOAD))
		n = spread_get_loads(s->spread, loads, SPREAD_LOADS_MAX, now_ms);
	encode_loads(wire, loads, n);
	load->engines = wire->list;
	load->n_engines = n;
	load->asks_former = inherits(s) && spread_should_ask_former(s->spread, now_ms);
}

/* Reads at most SPREAD_LOADS_MAX engines, which borrow from the message. */
static uint32_t decode_loads(struct spread_load *loads, Peer__EngineLoad *const *engines, size_t n)
{
	uint32_t count = (uint32_t)MIN(n, SPREAD_LOADS_MAX);

	for (uint32_t i = 0; i < count; i++)
		loads[i] = (struct spread_load){
			.id = engines[i]->id,
			.backlog_us = engines[i]->backlog_us,
			.placed_us = engines[i]->placed_us,
		};
	return count;
}

void srv_spread_decode(struct srv *s, const char *from, const Peer__RegionLoad *load,
		       int64_t now_ms)
{
	struct spread_load loads[SPREAD_LOADS_MAX];
	uint32_t n = decode_loads(loads, load->engines, load->n_engines);

	spread_note_loads(s->spread, from, loads, n, now_ms);
	spread_set_owner_region(s->spread, from, load->region);
}

void srv_spread_send_former(struct srv *s, const char *successor, const char *region,
			    int64_t now_ms)
{
	struct spread_load loads[SPREAD_LOADS_MAX];
	struct srv_spread_wire wire;
	Peer__FormerLoad former = PEER__FORMER_LOAD__INIT;
	Peer__RegionLoad load = PEER__REGION_LOAD__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	const char *owner;
	uint32_t n;

	if (!inherits(s))
		return;
	n = spread_get_former(s->spread, region, successor, loads, SPREAD_LOADS_MAX, now_ms,
			      &owner);
	if (n == 0)
		return;
	encode_loads(&wire, loads, n);
	former.owner = (char *)owner;
	former.engines = wire.list;
	former.n_engines = n;
	load.region = (char *)region;
	load.former = &former;
	message.kind_case = PEER__MESSAGE__KIND_REGION_LOAD;
	message.region_load = &load;
	srv_peer_send(s, successor, &message);
}

void srv_spread_inherit(struct srv *s, const char *from, const Peer__FormerLoad *former,
			int64_t now_ms)
{
	struct spread_load loads[SPREAD_LOADS_MAX];
	uint32_t n = decode_loads(loads, former->engines, former->n_engines);

	if (!inherits(s) || !spread_inherit(s->spread, former->owner, loads, n, now_ms))
		return;
	srv_count(s, SRV_PLACEMENTS_INHERITED);
	log_info("placements_inherited", "{s:s, s:s, s:i}", "region", s->set->region, "from", from,
		 "engines", (int)n);
}

json_t *srv_spread_json(const struct srv *s, int64_t now_ms)
{
	struct spread_stats stats;

	spread_get_stats(s->spread, now_ms, &stats);
	return json_pack("{s:b, s:i, s:i, s:i, s:i, s:s, s:i, s:I, s:I, s:I, s:I, s:I}", "on",
			 s->is_split && srv_has_policy(s, POLICY_EVEN_LOAD), "engines",
			 (int)stats.engines, "loaded", (int)stats.loaded, "mean_us",
			 (int)stats.mean_us, "largest_us", (int)stats.largest_us, "largest",
			 stats.largest ? stats.largest : "", "other_owners", (int)stats.owners,
			 "input_age_ms", (json_int_t)stats.input_age_ms, "proposed",
			 (json_int_t)s->counters[SRV_ENGINES_PROPOSED], "taken",
			 (json_int_t)s->counters[SRV_PROPOSALS_TAKEN], "left",
			 (json_int_t)s->counters[SRV_PROPOSALS_LEFT], "unusable",
			 (json_int_t)s->counters[SRV_PROPOSALS_UNUSABLE]);
}

/* Returns the time that an engine needs to read a part of a prompt. */
static uint32_t read_time_us(int64_t tokens)
{
	return (uint32_t)CLAMP((double)tokens / PROMPT_TOKENS_PER_MS * US_PER_MS, 0,
			       SPREAD_WORK_MAX_US);
}

void srv_spread_fill_prompt(const struct srv_req *r, struct chain_prompt *prompt)
{
	uint32_t n = r->meta.n_parts;

	if (!r->s->is_split || !r->select.session || !srv_has_policy(r->s, POLICY_EVEN_LOAD))
		return;
	*prompt = (struct chain_prompt){
		.session = r->select.session,
		.work_us = read_time_us(r->meta.parts[n - 1].tokens),
		.session_us = read_time_us(r->meta.parts[n - 2].tokens),
		.service = r->service_name,
	};
}

void srv_spread_note_proposal(struct srv_req *r, const struct srv_upstream *u)
{
	if (!r->proposed || r->proposal)
		return;
	if (strcmp(u->id, r->proposed) == 0) {
		r->proposal = "taken";
		srv_count(r->s, SRV_PROPOSALS_TAKEN);
	} else if (r->pick.is_proposal_usable) {
		r->proposal = "left";
		srv_count(r->s, SRV_PROPOSALS_LEFT);
	} else {
		r->proposal = "unusable";
		srv_count(r->s, SRV_PROPOSALS_UNUSABLE);
	}
}
