/*
 * Benchmarks by fleet size: a gossip round, the choice of an upstream, and the submission of a
 * chain to the scheduler. Run by hand; docs/CAPACITY.md lists the results.
 */
#include "base/clock.h"
#include "decide/chain.h"
#include "decide/gossip.h"
#include "decide/lb.h"
#include "peer/peer.pb-c.h"

#include <stdio.h>
#include <string.h>

#define ROUNDS 200

static double elapsed_us(int64_t began_us, int n)
{
	return (double)(clock_now_us() - began_us) / n;
}

static size_t packed_bytes(const struct gossip_record *records, uint32_t n,
			   const struct gossip_beat *beats, uint32_t n_beats)
{
	uint32_t beat_members[GOSSIP_BEATS_MAX];
	uint64_t beat_states[GOSSIP_BEATS_MAX];
	uint32_t beat_ages[GOSSIP_BEATS_MAX];
	Peer__Member members[GOSSIP_RECORDS_MAX];
	Peer__Member *list[GOSSIP_RECORDS_MAX];
	Peer__Beat beat = PEER__BEAT__INIT;

	for (uint32_t i = 0; i < n; i++) {
		peer__member__init(&members[i]);
		members[i].peer_address = (char *)records[i].peer_address;
		members[i].caller_address = (char *)records[i].caller_address;
		members[i].data_centre = (char *)records[i].data_centre;
		members[i].region = (char *)records[i].region;
		members[i].incarnation = records[i].incarnation;
		members[i].beat = records[i].beat;
		members[i].ready = true;
		members[i].reads_beats = true;
		members[i].cpu_millis = records[i].cpu_millis;
		members[i].age_ms = 1000;
		list[i] = &members[i];
	}
	for (uint32_t i = 0; i < n_beats; i++) {
		beat_members[i] = beats[i].member;
		beat_states[i] = beats[i].beat << 3 | beats[i].ready;
		beat_ages[i] = 1000;
	}
	beat.members = list;
	beat.n_members = n;
	beat.beat_members = beat_members;
	beat.beats = beat_states;
	beat.beat_ages = beat_ages;
	beat.n_beat_members = beat.n_beats = beat.n_beat_ages = n_beats;
	return peer__beat__get_packed_size(&beat);
}

static struct gossip_record record(uint32_t i)
{
	struct gossip_record r = {.incarnation = 1791053166295 + i,
				  .beat = 1000 + i,
				  .ready = true,
				  .reads_beats = true,
				  .cpu_millis = 120};

	g_snprintf(r.peer_address, sizeof(r.peer_address), "10.%u.%u.%u:7120", i / 200, i % 7,
		   i % 200);
	g_snprintf(r.caller_address, sizeof(r.caller_address), "10.%u.%u.%u:8460", i / 200, i % 7,
		   i % 200);
	g_strlcpy(r.data_centre, "zapad-trnava", sizeof(r.data_centre));
	g_strlcpy(r.region, "zapad", sizeof(r.region));
	return r;
}

static void bench_gossip(uint32_t nodes)
{
	struct gossip_record self = record(0);
	struct gossip *f = gossip_new(&self, 1000);
	struct gossip_record out[GOSSIP_RECORDS_MAX];
	char targets[8][GOSSIP_NAME_BYTES];
	struct prng prng = {1};
	struct gossip_beat beats[GOSSIP_BEATS_MAX];
	const int64_t now_ms = 1000 + GOSSIP_SETTLED_MS; /* nothing has changed lately */
	char receiver[GOSSIP_NAME_BYTES] = "";
	uint32_t n = 0;
	uint32_t n_beats = 0;
	uint32_t n_targets = 0;
	int64_t began_us;

	for (uint32_t i = 1; i < nodes; i++) {
		struct gossip_record r = record(i);
		for (int64_t at_ms = 1000; at_ms <= now_ms; at_ms += 1000, r.beat++)
			gossip_merge(f, &r, 1, at_ms);
		g_strlcpy(receiver, r.peer_address, sizeof(receiver));
	}
	began_us = clock_now_us();
	for (int i = 0; i < ROUNDS; i++) {
		gossip_begin_round(f, now_ms);
		n_targets += gossip_pick_targets(f, NULL, 0, &prng, targets, 8, now_ms);
		n = gossip_fill_records(f, receiver, out, GOSSIP_RECORDS_MAX, &prng, now_ms);
		n_beats = gossip_fill_beats(f, beats, GOSSIP_BEATS_MAX, &prng, now_ms);
	}
	printf("gossip, %u nodes: %.1f us a round, %zu bytes a message, %.2f messages a round\n",
	       nodes, elapsed_us(began_us, ROUNDS), packed_bytes(out, n, beats, n_beats),
	       (double)n_targets / ROUNDS);
	gossip_free(f);
}

static void bench_pick(uint32_t engines)
{
	struct lb_candidate *list = g_new0(struct lb_candidate, engines);
	struct lb_request request = {
		.is_generation = true, .prefix = 1, .prefix_ms = 65, .session_ms = 98};
	int64_t began_us;
	int sum = 0;

	for (uint32_t i = 0; i < engines; i++)
		list[i].id = g_strdup_printf("i-%08x", i * 2654435761U);
	began_us = clock_now_us();
	for (int i = 0; i < ROUNDS; i++) {
		request.session = (uint64_t)i + 1;
		sum += lb_pick(&request, list, engines);
	}
	printf("pick, %u engines: %.1f us per request (%d)\n", engines,
	       elapsed_us(began_us, ROUNDS), sum > 0);
	for (uint32_t i = 0; i < engines; i++)
		g_free((char *)list[i].id);
	g_free(list);
}

static struct pub_doc *pools(void)
{
	static const char *const names[] = {"a", "b", "c"};
	struct pub_doc *doc = pub_doc_new();

	doc->n_services = 3;
	doc->services = g_new0(struct pub_service, 3);
	for (int i = 0; i < 3; i++) {
		doc->services[i].name = g_strdup(names[i]);
		doc->services[i].pool = (struct pub_pool){.present = true,
							  .slots = 1,
							  .batch_size = 8,
							  .call_ms = 200,
							  .piece_ms = 20,
							  .room_bytes = 100000000,
							  .handle_ms = 4000};
	}
	pub_doc_build_index(doc);
	return doc;
}

/* Measures the time to submit a chain while earlier ones wait in the owner's queues. */
static void bench_owner(uint32_t engines, uint32_t chains)
{
	static const char *const names[] = {"a", "b", "c"};
	struct chain_upstream_info *docs = g_new0(struct chain_upstream_info, engines);
	struct pub_doc *doc = pools();
	struct chain_sched *c = chain_sched_new();
	struct chain_stage_spec stages[] = {
		{(char *)"a", 0, 1, 8000}, {(char *)"b", 1, 4, 60000}, {(char *)"c", 2, 10, 6000}};
	int64_t began_us;

	for (uint32_t i = 0; i < engines; i++)
		docs[i] = (struct chain_upstream_info){.id = g_strdup_printf("u%u", i),
						       .service = names[i % 3],
						       .address = "10.0.0.1:1",
						       .data_centre = "x",
						       .region = "r",
						       .usable = true};
	chain_set_pools(c, doc);
	chain_set_upstreams(c, docs, engines, 1000);
	began_us = clock_now_us();
	for (uint32_t i = 0; i < chains; i++) {
		const struct chain_job_spec job = {.id = i,
						   .asker = "n",
						   .attempt = "x",
						   .key = "k",
						   .stages = stages,
						   .n_stages = 3,
						   .aim_at_ms = 1000000,
						   .deadline_at_ms = 2000000,
						   .data_centre = "x"};
		GArray *out = chain_cmd_list_new();
		chain_submit(c, &job, NULL, 0, 1000, out);
		g_array_unref(out);
	}
	printf("owner, %u pool engines: %.1f us per chain submitted, %u waiting at the end\n",
	       engines, elapsed_us(began_us, (int)chains), chain_count_jobs(c));
	chain_sched_free(c);
	pub_doc_unref(doc);
	for (uint32_t i = 0; i < engines; i++)
		g_free((char *)docs[i].id);
	g_free(docs);
}

int main(void)
{
	static const uint32_t nodes[] = {7, 70, 410};
	static const uint32_t engines[] = {9, 140, 1600, 6100};

	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++)
		bench_gossip(nodes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(engines); i++)
		bench_pick(engines[i]);
	bench_owner(13, 30);
	bench_owner(51, 300);
	bench_owner(300, 1000);
	return 0;
}
