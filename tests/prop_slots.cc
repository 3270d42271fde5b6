// Slots under random faults: with nodes killed, frozen, replaced or partitioned, a cold upstream
// never exceeds its limit, and upstreams keep getting work.
#include "small_fleet.h"

#include <rapidcheck.h>

namespace
{

enum Fault {
	KILL,
	START,
	REPLACE_KILLED,
	REPLACE_RUNNING,
	FREEZE,
	THAW,
	CUT,
	HEAL,
	WATCH,
	ISOLATE,
	LOAD,
	FAULTS
};

struct Step {
	int fault;
	size_t node;
	int64_t wait_ms;
};

rc::Gen<Step> gen_step()
{
	return rc::gen::build<Step>(
		rc::gen::set(&Step::fault, rc::gen::inRange(0, (int)FAULTS)),
		rc::gen::set(&Step::node, rc::gen::inRange<size_t>(0, 10)),
		rc::gen::set(&Step::wait_ms, rc::gen::inRange<int64_t>(0, 6000)));
}

// Applies a fault. If partitions is set, the fleet may be split into groups, and only isolated
// nodes lose their watch; otherwise any node may lose it. The two faults aren't combined: see
// "Limits" in docs/design/slots.md.
void apply(small::Fleet &fleet, const Step &step, bool partitions)
{
	size_t i = step.node % fleet.nodes.size();
	small::Node &node = fleet.nodes[i];

	switch (step.fault) {
	case KILL:
		fleet.kill_node(i);
		break;
	case START:
		if (fleet.is_listed(i))
			fleet.start_node(i);
		break;
	case REPLACE_KILLED:
	case REPLACE_RUNNING:
		if (fleet.is_listed(i))
			fleet.replace_node(i, step.fault == REPLACE_KILLED);
		break;
	case FREEZE:
		node.frozen = node.core != nullptr;
		break;
	case THAW:
		node.frozen = false;
		break;
	case CUT:
		if (!partitions)
			break;
		node.partition = 1 + (int)(step.wait_ms % 2);
		node.watch_blocked = false;
		break;
	case HEAL:
		node.partition = 0;
		node.watch_blocked = false;
		break;
	case ISOLATE:
		node.partition = 100 + (int)i;
		node.watch_blocked = true;
		break;
	case LOAD:
		fleet.load_pct = step.wait_ms % 3 == 0 ? 100 : step.wait_ms % 3 == 1 ? 20 : 3;
		break;
	case WATCH:
		node.watch_blocked = !partitions;
		break;
	}
}

void heal(small::Fleet &fleet)
{
	fleet.load_pct = 100;
	for (size_t i = 0; i < fleet.nodes.size(); i++) {
		fleet.nodes[i].partition = 0;
		fleet.nodes[i].watch_blocked = false;
		fleet.nodes[i].frozen = false;
		if (fleet.is_listed(i))
			fleet.start_node(i);
	}
}

bool never_above_the_cold_limit()
{
	return rc::check("a cold upstream never exceeds its limit, and work continues", [] {
		const auto seed = *rc::gen::arbitrary<uint64_t>();
		const auto cold = *rc::gen::inRange(1, 4);
		const auto partitions = *rc::gen::arbitrary<bool>();
		const auto steps = *rc::gen::container<std::vector<Step>>(gen_step());
		const struct small_sizes sizes = {3, 3, cold, 16};
		small::Fleet fleet(sizes, 7, seed);

		fleet.load_pct = 10;
		fleet.run(1000);
		for (const auto &step : steps) {
			apply(fleet, step, partitions);
			fleet.run(step.wait_ms);
		}
		RC_ASSERT(fleet.n_above_limit == 0);
		// Without faults and after a hold-off, every upstream gets work again.
		heal(fleet);
		fleet.run(12000);
		int64_t healed_ms = fleet.now_ms;
		fleet.run(6000);
		RC_ASSERT(fleet.n_above_limit == 0);
		for (const auto &up : fleet.upstreams)
			RC_ASSERT(up.last_arrival_ms >= healed_ms);
	});
}

// Nodes that start together don't wait for the hold-off.
bool starts_at_once()
{
	return rc::check("a fresh fleet uses every cold upstream within 3 s", [] {
		const auto seed = *rc::gen::arbitrary<uint64_t>();
		const auto n_nodes = *rc::gen::inRange(1, 8);
		const struct small_sizes sizes = {3, 6, 1, 16};
		small::Fleet fleet(sizes, n_nodes, seed);

		fleet.run(3000);
		RC_ASSERT(fleet.n_above_limit == 0);
		for (const auto &up : fleet.upstreams)
			RC_ASSERT(up.last_arrival_ms > 0);
	});
}

// Warm upstreams get work from every node, within their limit.
bool warm_limit_is_kept()
{
	return rc::check("warm upstreams are used by all nodes, within their limit", [] {
		const auto seed = *rc::gen::arbitrary<uint64_t>();
		const auto n_nodes = *rc::gen::inRange(1, 9);
		const struct small_sizes sizes = {3, 3, 1, 16};
		small::Fleet fleet(sizes, n_nodes, seed);

		for (auto &up : fleet.upstreams) {
			up.warm_after = 0;
			up.limit = sizes.warm_limit;
		}
		fleet.run(10000);
		RC_ASSERT(fleet.n_above_limit == 0);
		for (const auto &node : fleet.nodes)
			RC_ASSERT(node.sent_ms >= fleet.now_ms - 3000);
	});
}

} // namespace

int main()
{
	setenv("RC_PARAMS", "seed=20261203 max_success=60", 0);
	bool ok = never_above_the_cold_limit();

	ok = starts_at_once() && ok;
	ok = warm_limit_is_kept() && ok;
	return ok ? 0 : 1;
}
