/* Benchmark of VM list changes and digest size by fleet size. Not part of the test suite. */
#include "base/clock.h"
#include "node/digest.h"
#include "small.h"

#include <stdio.h>

#define ROUNDS 5
#define START_MS 100000

static const struct {
	int nodes;
	int upstreams;
	int data_centres;
} sizes[] = {{7, 21, 3}, {50, 750, 4}, {410, 6100, 8}};

static struct vmlist *make_list(int64_t version, size_t i)
{
	struct vmlist *list = small_list(version, sizes[i].upstreams);

	for (int k = 0; k < sizes[i].nodes; k++) {
		char vm[16];
		g_snprintf(vm, sizeof(vm), "node-%d", k);
		small_add_vm(list, vm, k % sizes[i].data_centres, true, false);
	}
	return list;
}

/* Size of a full digest, with a report of every polled upstream. */
static size_t view_bytes(struct core_state *d)
{
	Peer__Message message = PEER__MESSAGE__INIT;
	struct member_digest digest;
	struct digest_message out;

	for (guint k = 0; k < d->bb.polled->len; k++) {
		struct bb_upstream *up = g_ptr_array_index(d->bb.polled, k);
		up->report_at_ms = START_MS;
		up->incarnation = UINT64_MAX;
	}
	member_fill_digest(&d->bb, &digest, START_MS + 500);
	digest_to_message(&digest, &out);
	message.from_vm = message.to_vm = (char *)"node-000";
	message.from_incarnation = UINT64_MAX;
	message.sent_wall_ms = INT64_MAX;
	message.ttl_ms = MEMBER_DIGEST_TTL_MS;
	message.kind_case = PEER__MESSAGE__KIND_VIEW;
	message.view = &out.view;
	return peer__message__get_packed_size(&message);
}

int main(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		const struct small_sizes fleet = {sizes[i].data_centres, sizes[i].upstreams, 2, 16};
		struct cfg *cfg = small_cfg(&fleet);
		struct core_state *d = core_new("node-0", "dc-0", 1, 1, START_MS);
		int64_t took_us = 0;

		small_give_cfg(d, START_MS, cfg);
		for (int round = 0; round < ROUNDS; round++) {
			struct vmlist *list = make_list(round + 1, i);
			int64_t start_us = clock_now_us();
			small_give_list(d, START_MS, list);
			took_us += clock_now_us() - start_us;
		}
		size_t bytes = view_bytes(d);
		printf("%d nodes, %d upstreams: list change %.2f ms, %u polled, view %zu B, "
		       "%zu B/s sent\n",
		       sizes[i].nodes, sizes[i].upstreams, (double)took_us / ROUNDS / 1000,
		       d->bb.polled->len, bytes, bytes * MEMBER_DIGESTS_PER_S);
		core_free(d);
		cfg_unref(cfg);
	}
	return 0;
}
