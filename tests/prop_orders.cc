// Placement orders under random VM lists, pauses, restarts and publications: no engine applies an
// order older than an earlier one, and each ends with the newest configuration's placement. The
// simulation takes a node's steps: update the claims, query an engine, check again, send the order.
#include "decide/placement.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <cstring>
#include <map>
#include <string>

namespace
{

constexpr int NODES = 5;
constexpr int DATA_CENTRES = 2;
constexpr int ENGINES = 4; // every second one ignores fencing numbers
constexpr int64_t STEP_MS = 250;
constexpr int64_t LIST_LAG_MS = 1000;
constexpr int64_t LOAD_MS = 1500;
constexpr int64_t ANSWER_MAX_MS = 3000;
constexpr int64_t SETTLE_MS = 40000;

struct cfg *make_cfg(int revision)
{
	std::string text = "places:\n  revision: 1\n  data_centres:\n"
			   "    - {name: dc-0, region: r}\n    - {name: dc-1, region: r}\n"
			   "services:\n  revision: 1\n  items:\n"
			   "    - {name: s0, kind: engine, cold_limit: 1, warm_limit: 4, "
			   "checks_fencing: true}\n"
			   "    - {name: s1, kind: engine, cold_limit: 1, warm_limit: 4}\n"
			   "upstreams:\n  revision: 1\n  items:\n";
	for (int i = 0; i < ENGINES; i++) {
		std::string n = std::to_string(i);
		text += "    - {name: up-" + n + ", service: s" + std::to_string(i % 2) +
			", address: \"127.0.0.1:" + std::to_string(i + 1) + "\", vm: u-" + n +
			", data_centre: dc-" + std::to_string(i / 2 % DATA_CENTRES) + "}\n";
	}
	text += "models:\n  revision: " + std::to_string(revision) +
		"\n  items: [{name: m, version: v" + std::to_string(revision) +
		", role: mixed, upstreams: [up-0, up-1, up-2, up-3]}]\n"
		"pipelines: {revision: 1, items: []}\n"
		"accounts: {revision: 1, classes: [{name: c, rank: 0}], items: []}\n"
		"routing: {revision: 1}\n"
		"capacity: {revision: 1, list_lag_ms: 1000, view_age_ms: 3000, longest_ms: 2000}\n";
	GPtrArray *faults = schema_faults_new();
	struct cfg *cfg = cfg_parse(text.c_str(), text.size(), faults);
	if (!cfg)
		abort();
	g_ptr_array_unref(faults);
	return cfg;
}

struct Engine {
	int64_t fence = 0;
	int64_t highest_fence = 0;
	int64_t loading_until_ms = 0;
	std::string version;
};

struct Node {
	struct bb bb = {};
	bool running = false;
	bool frozen = false;
	bool watch_blocked = false;
	bool cfg_blocked = false; // receives no newer configuration
	int revision = 0;
	std::map<std::string, placement_claim> claims; // by engine
	bool has_order = false;
	placement_order order = {};
	int64_t response_at_ms = 0; // when the engine answers the query of its state
};

// A version of the platform's VM list.
struct ListVersion {
	int64_t from_ms;
	unsigned mask;
};

struct World {
	int64_t now_ms = 100000;
	struct prng prng = {};
	Node nodes[NODES];
	std::map<std::string, Engine> engines;
	std::map<int, struct cfg *> cfgs;
	std::vector<ListVersion> lists;
	int published = 0;
	int stale_orders = 0;

	explicit World(uint64_t seed)
	{
		prng.state = seed;
		lists.push_back({0, (1u << NODES) - 1});
		publish();
		for (int i = 0; i < NODES; i++)
			start(i);
	}

	~World()
	{
		for (int i = 0; i < NODES; i++)
			stop(i);
		for (auto &cfg : cfgs)
			cfg_unref(cfg.second);
	}

	void publish()
	{
		published++;
		cfgs[published] = make_cfg(published);
	}

	void start(int i)
	{
		Node &node = nodes[i];

		stop(i);
		std::string vm = "n" + std::to_string(i);
		std::string dc = "dc-" + std::to_string(i % DATA_CENTRES);
		bb_init(&node.bb, vm.c_str(), dc.c_str(), 1, 1, now_ms);
		node.running = true;
		node.frozen = false;
		take_cfg(node);
	}

	void stop(int i)
	{
		Node &node = nodes[i];

		if (node.running)
			bb_clear(&node.bb);
		node.claims.clear();
		node.has_order = false;
		node.running = false;
		node.revision = 0;
	}

	void take_cfg(Node &node)
	{
		if (node.revision == published)
			return;
		node.revision = published;
		bb_set_config(&node.bb, cfgs[published], now_ms);
		for (auto &claim : node.claims)
			claim.second.list_version = 0;
	}

	void read_list(Node &node)
	{
		int64_t at_ms = now_ms - (int64_t)prng_below(&prng, LIST_LAG_MS);
		size_t nth = 0;

		while (nth + 1 < lists.size() && lists[nth + 1].from_ms <= at_ms)
			nth++;
		int64_t version = (int64_t)nth + 1;
		if (node.bb.list && node.bb.list->version == version) {
			bb_confirm_list(&node.bb, now_ms);
			return;
		}
		std::string text = "{\"version\":" + std::to_string(version) + ",\"vms\":[";
		const char *comma = "";
		for (int i = 0; i < NODES; i++) {
			if (!(lists[nth].mask & (1u << i)))
				continue;
			text += std::string(comma) + "{\"id\":\"n" + std::to_string(i) +
				"\",\"role\":\"entry\",\"state\":\"live\",\"data_centre\":\"dc-" +
				std::to_string(i % DATA_CENTRES) + "\"}";
			comma = ",";
		}
		text += "]}";
		bb_set_list(&node.bb, vmlist_parse(text.c_str(), text.size(), nullptr), now_ms,
			    now_ms);
	}

	void take(const placement_order &order)
	{
		Engine &engine = engines[order.engine];

		if (order.checks_fencing && order.fence < engine.fence)
			return;
		stale_orders += order.fence < engine.highest_fence;
		engine.fence = order.fence;
		engine.highest_fence = std::max(engine.highest_fence, order.fence);
		engine.version = order.version;
		engine.loading_until_ms = now_ms + LOAD_MS;
	}

	void send(Node &node)
	{
		placement_claim &claim = node.claims[node.order.engine];

		node.has_order = false;
		if (placement_may_send(&node.bb, &node.order, &claim, now_ms))
			take(node.order);
	}

	void query_engine(Node &node, const placement_order &wanted)
	{
		placement_claim &claim = node.claims[wanted.engine];
		const Engine &engine = engines[wanted.engine];

		placement_update_claim(&node.bb, &wanted, &claim, now_ms);
		if (node.has_order || !placement_is_due(&claim, wanted.checks_fencing, now_ms))
			return;
		placement_order order = wanted;
		order.engine_queried_ms = now_ms;
		if (!placement_may_send(&node.bb, &order, &claim, now_ms) ||
		    engine.loading_until_ms > now_ms || engine.fence > order.fence ||
		    engine.version == order.version)
			return;
		node.order = order;
		node.has_order = true;
		node.response_at_ms = now_ms + (int64_t)prng_below(&prng, ANSWER_MAX_MS);
	}

	void step_node(Node &node, bool prompt)
	{
		if (node.has_order && now_ms >= node.response_at_ms)
			send(node);
		if (!node.watch_blocked)
			read_list(node);
		if (!node.cfg_blocked && (prompt || prng_below(&prng, 4) == 0))
			take_cfg(node);
		GArray *orders = placement_wanted_orders(node.bb.cfg);
		for (guint i = 0; i < orders->len; i++) {
			const placement_order *order = &g_array_index(orders, placement_order, i);
			auto at = node.claims.find(order->engine);
			if (at == node.claims.end())
				node.claims[order->engine].first_ms = BB_NEVER;
			query_engine(node, *order);
		}
		g_array_unref(orders);
	}

	void run(int64_t for_ms, bool prompt)
	{
		for (int64_t until_ms = now_ms + for_ms; now_ms < until_ms; now_ms += STEP_MS) {
			for (Node &node : nodes) {
				if (node.running && !node.frozen)
					step_node(node, prompt);
			}
		}
	}

	int frozen_candidate(int fallback) const
	{
		for (int i = 0; i < NODES; i++) {
			if (nodes[i].has_order && !nodes[i].order.checks_fencing)
				return i;
		}
		return fallback;
	}

	int64_t random_ms()
	{
		return (int64_t)prng_below(&prng, prng_below(&prng, 2) ? 1000 : 10000);
	}

	void heal()
	{
		for (int i = 0; i < NODES; i++) {
			nodes[i].frozen = false;
			nodes[i].watch_blocked = false;
			nodes[i].cfg_blocked = false;
			if (!nodes[i].running)
				start(i);
		}
		lists.push_back({now_ms, (1u << NODES) - 1});
	}
};

void apply(World &world, int fault, int i)
{
	switch (fault) {
	case 0:
		world.publish();
		break;
	case 1: // freezes a node, preferably with a pending unfenced order, and may delist its VM
		i = world.frozen_candidate(i);
		world.nodes[i].frozen = world.nodes[i].running;
		if (prng_below(&world.prng, 2) == 0)
			world.lists.push_back({world.now_ms, world.lists.back().mask & ~(1u << i)});
		break;
	case 2:
		world.nodes[i].frozen = false;
		break;
	case 3:
		world.start(i);
		break;
	case 4:
		world.stop(i);
		break;
	case 5:
		world.nodes[i].watch_blocked = !world.nodes[i].watch_blocked;
		break;
	case 6:
		world.nodes[i].cfg_blocked = !world.nodes[i].cfg_blocked;
		break;
	default: // adds the node to the VM list or removes it
		world.lists.push_back({world.now_ms, world.lists.back().mask ^ (1u << i)});
	}
}

bool no_stale_order()
{
	return rc::check("no engine gets an older order, and all end as published", [] {
		const auto seed = *rc::gen::arbitrary<uint64_t>();
		const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
			rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, NODES)));
		World world(seed);

		world.run(10000, true);
		for (const auto &[fault, i] : steps) {
			apply(world, fault, i);
			world.run(world.random_ms(), false);
		}
		world.heal();
		world.run(SETTLE_MS, true);
		RC_ASSERT(world.stale_orders == 0);
		RC_ASSERT(world.engines.size() == (size_t)ENGINES);
		for (const auto &engine : world.engines)
			RC_ASSERT(engine.second.version == "v" + std::to_string(world.published));
	});
}

} // namespace

int main()
{
	setenv("RC_PARAMS", "seed=20261203 max_success=400", 0);
	return no_stale_order() ? 0 : 1;
}
