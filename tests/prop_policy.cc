// Properties of admission and load balancing over random states.
#include "decide/core.h"

#include <rapidcheck.h>

extern "C" {
#include "policy_doc.h"
}

namespace
{

constexpr int64_t now_ms = 100000;
constexpr uint32_t ranks = 3;

struct policy_doc make_doc(uint32_t data_centres, uint32_t engines)
{
	struct policy_doc doc = {};

	doc.policy = "adaptive";
	doc.data_centres = data_centres;
	doc.services = 1;
	doc.engines = engines;
	doc.warm_limit = 4;
	doc.pipelines = 1;
	doc.accounts = ranks;
	doc.deadline_ms = 1000;
	doc.out = -1;
	return doc;
}

// A request may start whenever one of a worse rank may, and any request may start on an idle
// service.
bool never_inverts()
{
	return rc::check("a request may start whenever one of a worse rank may", [] {
		const auto uses = *rc::gen::container<std::vector<std::pair<int, int>>>(
			ranks, rc::gen::pair(rc::gen::inRange(0, 30), rc::gen::inRange(0, 40)));
		const auto workers = *rc::gen::inRange(0, 20);
		const struct policy_doc doc = make_doc(2, *rc::gen::inRange<uint32_t>(1, 12));
		struct core_state *d = policy_doc_start(&doc, 1, now_ms);
		struct bb_service *service = bb_service(&d->bb, "s0");
		bool previous = true;

		d->bb.stage_workers = workers;
		service->capacity = static_cast<int32_t>(doc.engines * doc.warm_limit);
		for (uint32_t i = 0; i < ranks; i++) {
			service->uses[i].in_flight = uses[i].first;
			service->uses[i].peak = std::max(uses[i].first, uses[i].second);
			service->in_flight += uses[i].first;
		}
		for (uint32_t i = 0; i < ranks; i++) {
			struct req req = {};
			req.rank = i;
			req.n_stages = 1;
			req.stages[0].service = service;
			const bool may = admit_priority.may_start(&d->bb, &req);
			RC_ASSERT(previous || !may);
			RC_ASSERT(may || service->in_flight > 0);
			previous = may;
		}
		core_free(d);
	});
}

// A selected upstream is eligible, has free capacity and was not tried for the request.
bool picks_what_may_take()
{
	return rc::check("a selected upstream can take the attempt", [] {
		const struct policy_doc doc = make_doc(*rc::gen::inRange<uint32_t>(1, 5),
						       *rc::gen::inRange<uint32_t>(1, 40));
		struct core_state *d =
			policy_doc_start(&doc, *rc::gen::arbitrary<uint64_t>(), now_ms);
		struct route_request request = {};

		request.service = bb_service(&d->bb, "s0");
		request.left_ms = *rc::gen::inRange(1, 1000);
		request.prefix_hash = *rc::gen::inRange(0, 5);
		request.n_tried = *rc::gen::inRange(0, 3);
		for (uint32_t i = 0; i < request.n_tried; i++)
			request.tried[i] = *rc::gen::inRange<uint32_t>(0, doc.engines);
		for (uint32_t i = 0; i < doc.engines; i++) {
			struct bb_upstream *up = bb_upstream(&d->bb, i);
			up->in_flight = *rc::gen::inRange(0, 6);
			up->leaving = *rc::gen::inRange(0, 4) == 0;
			up->latency_us = *rc::gen::inRange(0, 100000);
			if (*rc::gen::inRange(0, 4) == 0)
				up->ejected_until_ms = now_ms + 1;
		}
		const struct bb_upstream *up =
			route_score.pick(&d->bb, &slot_ops_unlimited, &request, now_ms);
		if (up) {
			RC_ASSERT(up->in_flight < static_cast<int32_t>(doc.warm_limit));
			RC_ASSERT(!up->leaving);
			RC_ASSERT(up->ejected_until_ms <= now_ms);
			for (uint32_t i = 0; i < request.n_tried; i++)
				RC_ASSERT(request.tried[i] != up->id);
		}
		core_free(d);
	});
}

} // namespace

int main()
{
	const bool first = never_inverts();
	const bool second = picks_what_may_take();

	return first && second ? 0 : 1;
}
