// Account limits over a fleet: with messages lost, delayed or duplicated and nodes killed, frozen,
// replaced or partitioned, admitted requests stay within the limit plus a stated burst, and leases
// follow demand.
#include "small_fleet.h"

#include <rapidcheck.h>

namespace
{

constexpr int64_t limit_per_s = SMALL_LIMIT_PER_S;
constexpr size_t n_nodes = 7;
constexpr int64_t max_delay_ms = QUOTA_MESSAGE_TTL_MS;

// How long a node that doesn't know yet of a larger fleet may use its old, larger floor.
constexpr int64_t propagation_ms = SMALL_LIST_LAG_MS + SMALL_VIEW_AGE_MS;

double floor_of(const struct quota_ops *ops)
{
	double whole = (double)limit_per_s / n_nodes;

	return ops == &quota_ops_lease ? whole * QUOTA_FLOOR_PCT / 100 : whole;
}

struct Delayed {
	int64_t at_ms;
	small::QuotaMessage demand;
};

struct Admission {
	int64_t at_ms;
	size_t node;
};

class Share
{
      public:
	Share(uint64_t seed, const struct quota_ops *ops) : fleet(sizes, (int)n_nodes, seed)
	{
		fleet.load_pct = 0;
		rnd_.state = seed + 1;
		ops_ = ops;
	}

	small::Fleet fleet;
	std::vector<double> per_s;	 // arrival rate at each node
	std::vector<Admission> admitted; // in order of time
	uint64_t lost_pct = 0, duplicated_pct = 0, delayed_pct = 0;

	void run(int64_t ms)
	{
		for (int64_t end = fleet.now_ms + ms; fleet.now_ms < end;) {
			arrive();
			fleet.step();
			set_ops();
			send();
			deliver();
			check_rates();
		}
	}

	double rate_since(int64_t from_ms, size_t node) const
	{
		double n = 0;

		for (const auto &admission : admitted)
			n += admission.at_ms >= from_ms &&
			     (node == n_nodes || admission.node == node);
		return n * 1000 / (double)(fleet.now_ms - from_ms);
	}

	// Returns the largest excess of admitted requests over the limit in any interval.
	double max_excess(double limit) const
	{
		double most = 0;
		double level = 0;
		int64_t last_ms = 0;

		for (const auto &admission : admitted) {
			level = std::max(0.0, level - limit * (double)(admission.at_ms - last_ms) /
							      1000);
			level += 1;
			most = std::max(most, level);
			last_ms = admission.at_ms;
		}
		return most;
	}

      private:
	static constexpr struct small_sizes sizes = {3, 1, 1, 16};
	struct prng rnd_;
	const struct quota_ops *ops_;
	std::vector<double> arrivals_due_;
	std::vector<Delayed> delayed_;

	// At any time the sum of all nodes' rates stays within the limit plus the floors of nodes
	// that left the VM list and may not know it yet.
	void check_rates()
	{
		double sum = 0;
		double most = (double)limit_per_s;

		for (size_t i = 0; i < fleet.nodes.size(); i++) {
			const struct core_state *core = fleet.nodes[i].core;
			if (!core || !core->bb.cfg || !core->bb.list)
				continue;
			sum += quota_rate(core->shares, &core->bb, &core->bb.cfg->accounts.items[0],
					  fleet.now_ms);
			if (!fleet.is_listed(i))
				most += floor_of(ops_);
		}
		RC_ASSERT(sum <= most + 1e-6);
	}

	bool happens(uint64_t pct)
	{
		return prng_below(&rnd_, 100) < pct;
	}

	void set_ops()
	{
		for (auto &node : fleet.nodes) {
			if (node.core)
				quota_set_ops(node.core->shares, ops_);
		}
	}

	void arrive()
	{
		arrivals_due_.resize(fleet.nodes.size(), 0);
		per_s.resize(fleet.nodes.size(), 0);
		for (size_t i = 0; i < fleet.nodes.size(); i++) {
			small::Node &node = fleet.nodes[i];

			arrivals_due_[i] += per_s[i] * (double)small::step_ms / 1000;
			for (; arrivals_due_[i] >= 1; arrivals_due_[i] -= 1)
				request(node, i);
		}
	}

	void request(small::Node &node, size_t i)
	{
		int64_t retry_ms = 0;

		if (!node.core || node.frozen || !node.core->bb.cfg || !node.core->bb.list)
			return;
		const struct cfg_account *account = &node.core->bb.cfg->accounts.items[0];
		if (quota_take(node.core->shares, &node.core->bb, account, fleet.now_ms, &retry_ms))
			admitted.push_back({fleet.now_ms, i});
		else
			RC_ASSERT(retry_ms > 0);
	}

	void send()
	{
		for (const auto &demand : fleet.quota_messages) {
			int copies = happens(lost_pct) ? 0 : happens(duplicated_pct) ? 2 : 1;

			for (; copies > 0; copies--) {
				int64_t ms =
					happens(delayed_pct) ? prng_below(&rnd_, max_delay_ms) : 20;
				delayed_.push_back({fleet.now_ms + ms, demand});
			}
		}
		fleet.quota_messages.clear();
	}

	void deliver()
	{
		std::vector<Delayed> due;
		auto is_due = [this](const Delayed &l) { return l.at_ms <= fleet.now_ms; };

		std::copy_if(delayed_.begin(), delayed_.end(), std::back_inserter(due), is_due);
		delayed_.erase(std::remove_if(delayed_.begin(), delayed_.end(), is_due),
			       delayed_.end());
		for (const auto &one : due)
			deliver_to(one.demand);
	}

	void deliver_to(const small::QuotaMessage &demand)
	{
		const small::Node &from = fleet.nodes[demand.from];
		struct quota_message message = demand.message;
		struct core_event ev = {};
		struct core_out out;

		for (size_t to = 0; to < fleet.nodes.size(); to++) {
			small::Node &node = fleet.nodes[to];
			if (node.vm != demand.to || !node.core || node.frozen ||
			    node.partition != from.partition || !from.core)
				continue;
			if (message.incarnation && message.incarnation != node.core->bb.incarnation)
				continue;
			g_strlcpy(message.vm, from.vm.c_str(), sizeof(message.vm));
			message.incarnation = from.core->bb.incarnation;
			ev.type = CORE_EV_DEMAND;
			ev.u.demand = &message;
			core_out_init(&out);
			core_handle(node.core, fleet.now_ms, &ev, &out);
			for (guint k = 0; k < out.cmds->len; k++) {
				const auto *cmd = &g_array_index(out.cmds, struct core_cmd, k);
				if (cmd->type == CORE_CMD_DEMAND)
					delayed_.push_back(
						{fleet.now_ms + 20, {to, cmd->vm, *cmd->demand}});
			}
			core_out_free(&out);
		}
	}
};

enum Fault { KILL, START, REPLACE, FREEZE, THAW, CUT, HEAL, LOSE, MOVE, FAULTS };

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

void apply(Share &share, const Step &step)
{
	small::Fleet &fleet = share.fleet;
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
	case REPLACE:
		if (fleet.is_listed(i))
			fleet.replace_node(i, step.wait_ms % 2 == 0);
		share.per_s.resize(fleet.nodes.size(), 100);
		break;
	case FREEZE:
		node.frozen = node.core != nullptr;
		break;
	case THAW:
		node.frozen = false;
		break;
	case CUT:
		node.partition = 1 + (int)(step.wait_ms % 2);
		break;
	case HEAL:
		node.partition = 0;
		break;
	case LOSE:
		share.lost_pct = (uint64_t)step.wait_ms % 100;
		share.duplicated_pct = (uint64_t)step.wait_ms / 7 % 100;
		share.delayed_pct = (uint64_t)step.wait_ms / 13 % 100;
		break;
	case MOVE:
		share.per_s[i] = (double)(step.wait_ms % 200);
		break;
	}
}

// Returns the allowed excess over the limit. Each node may hold one burst; while a VM list change
// propagates, both the removed node and its replacement may have a floor.
double burst_of(double limit, double floor, size_t listed, size_t changes)
{
	double buckets = limit * QUOTA_BURST_MS / 1000 + (double)(listed + changes);

	return buckets + (double)changes * floor * (double)(propagation_ms + QUOTA_BURST_MS) / 1000;
}

bool never_above_the_limit(const char *name, const struct quota_ops *ops)
{
	return rc::check(name, [ops] {
		const auto seed = *rc::gen::arbitrary<uint64_t>();
		const auto steps = *rc::gen::container<std::vector<Step>>(gen_step());
		Share share(seed, ops);
		size_t changes = 0;

		share.per_s.assign(n_nodes, 100);
		share.run(1000);
		for (const auto &step : steps) {
			apply(share, step);
			changes += step.fault == REPLACE;
			share.run(step.wait_ms);
		}
		RC_ASSERT(share.max_excess((double)limit_per_s) <=
			  burst_of((double)limit_per_s, floor_of(ops), n_nodes, changes));
	});
}

// When the demand moves to one node, leases give it the limit less the other nodes' floors.
bool follows_demand()
{
	return rc::check("a node that gets all the demand admits at least 60% of the limit", [] {
		const auto seed = *rc::gen::arbitrary<uint64_t>();
		const auto lost = *rc::gen::inRange<uint64_t>(0, 20);
		const auto from = *rc::gen::inRange<size_t>(0, n_nodes);
		const auto to = *rc::gen::inRange<size_t>(0, n_nodes);
		Share share(seed, &quota_ops_lease);

		share.lost_pct = lost;
		share.duplicated_pct = lost;
		share.per_s.assign(n_nodes, 0);
		share.per_s[from] = 200;
		share.run(15000);
		share.per_s[from] = 0;
		share.per_s[to] = 200;
		share.run(5000);
		int64_t since_ms = share.fleet.now_ms;
		share.run(10000);
		double rate = share.rate_since(since_ms, to);
		RC_LOG() << "rate " << rate << std::endl;
		RC_ASSERT(rate >= limit_per_s * 0.6);
	});
}

// Without faults, a fleet whose demand exceeds the limit uses at least 80% of it.
bool uses_the_limit()
{
	return rc::check("at least 80% of the limit is used when all nodes have demand", [] {
		const auto seed = *rc::gen::arbitrary<uint64_t>();
		Share share(seed, &quota_ops_lease);

		share.per_s.assign(n_nodes, 30);
		share.run(10000);
		int64_t since_ms = share.fleet.now_ms;
		share.run(10000);
		double rate = share.rate_since(since_ms, n_nodes);
		RC_LOG() << "rate " << rate << std::endl;
		RC_ASSERT(rate >= limit_per_s * 0.8);
	});
}

} // namespace

int main()
{
	setenv("RC_PARAMS", "seed=20261203 max_success=20", 0);
	bool ok = never_above_the_limit("leases stay within the limit", &quota_ops_lease);

	ok = never_above_the_limit("equal shares stay within the limit", &quota_ops_equal) && ok;
	ok = follows_demand() && ok;
	ok = uses_the_limit() && ok;
	return ok ? 0 : 1;
}
