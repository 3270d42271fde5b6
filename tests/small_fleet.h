// Simulated fleet of decision cores under a fake clock. The platform's VM list lags, links are cut,
// processes are killed, frozen and replaced, and upstreams count their own running requests.
#ifndef TESTS_SMALL_FLEET_H
#define TESTS_SMALL_FLEET_H

#include "small.h"

#include "decide/eligible.h"
#include "decide/load_report.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace small
{

constexpr int64_t step_ms = 20;
constexpr int64_t list_period_ms = 500;
constexpr int64_t message_ms = 20;
constexpr int64_t start_ms = 1000000;

struct Job {
	int64_t end_ms;
};

struct Upstream {
	int limit;
	std::vector<Job> running;
	int max_running = 0;
	uint64_t incarnation = 1;
	int64_t done = 0;
	int64_t last_arrival_ms = 0;
	int64_t warm_after = INT64_MAX; // number of completions
	bool warm() const
	{
		return done >= warm_after;
	}
};

// An attempt, from the view of the node that sent it.
struct Attempt {
	uint32_t upstream;
	int64_t sent_ms;
	int64_t known_end_ms; // when the node learns that the attempt ended
	bool healthy;
};

struct Node {
	std::string vm;
	int dc;
	struct core_state *core = nullptr; // null: the process is dead
	bool frozen = false;
	bool watch_blocked = false;
	int partition = 0; // nodes of different partitions exchange no messages
	int64_t read_at_ms = 0;
	std::vector<Attempt> attempts;
	int64_t sent_ms = 0; // when it sent its last attempt
};

struct Message {
	int64_t at_ms;
	size_t to;
	struct member_digest digest;
};

// A quota message on its way to the node on VM to.
struct QuotaMessage {
	size_t from;
	std::string to;
	struct quota_message message;
};

// A version of the platform's VM list.
struct Version {
	int64_t at_ms;
	int64_t version;
	std::vector<std::pair<std::string, int>> nodes;
	std::vector<bool> leaving; // by index of the upstream: whether its VM is leaving
};

class Fleet
{
      public:
	Fleet(const struct small_sizes &sizes, int n_nodes, uint64_t seed) : sizes_(sizes)
	{
		rnd_.state = seed;
		cfg_ = small_cfg(&sizes);
		for (int i = 0; i < sizes.upstreams; i++) {
			upstreams.emplace_back();
			upstreams.back().limit = sizes.cold_limit;
		}
		leaving_.assign(sizes.upstreams, false);
		for (int i = 0; i < n_nodes; i++)
			add_node();
		publish();
	}

	~Fleet()
	{
		for (auto &node : nodes) {
			if (node.core)
				core_free(node.core);
		}
		cfg_unref(cfg_);
	}

	std::vector<Node> nodes;
	std::vector<Upstream> upstreams;
	std::vector<QuotaMessage> quota_messages; // delivered by the test
	int64_t now_ms = start_ms;
	int64_t starts = 0;
	int64_t n_above_limit = 0; // arrivals above an upstream's limit
	const struct slot_ops *slots = &slot_ops_rendezvous;
	uint64_t load_pct = 100; // probability that a node has work for an upstream in a step

	void kill_node(size_t i)
	{
		if (nodes[i].core)
			core_free(nodes[i].core);
		nodes[i].core = nullptr;
		nodes[i].attempts.clear();
		nodes[i].frozen = false;
	}

	void start_node(size_t i)
	{
		Node &node = nodes[i];

		if (node.core)
			return;
		node.core = core_new(node.vm.c_str(), ("dc-" + std::to_string(node.dc)).c_str(),
				     ++incarnation_, prng_next(&rnd_), now_ms);
		small_give_cfg(node.core, now_ms, cfg_);
		node.read_at_ms = now_ms;
	}

	// Replaces a VM of the list with a new one in the same data centre.
	void replace_node(size_t i, bool kill)
	{
		int dc = nodes[i].dc;

		if (kill)
			kill_node(i);
		listed_.erase(std::find(listed_.begin(), listed_.end(), i));
		add_node(dc);
		publish();
	}

	bool is_listed(size_t i) const
	{
		return std::find(listed_.begin(), listed_.end(), i) != listed_.end();
	}

	void set_leaving(size_t upstream)
	{
		leaving_[upstream] = true;
		publish();
	}

	void restart_upstream(size_t i)
	{
		upstreams[i].incarnation++;
		upstreams[i].done = 0;
	}

	// Advances the clock by step_ms. Every node sends up to per_node attempts per upstream.
	void step(int per_node = 2)
	{
		now_ms += step_ms;
		end_jobs();
		deliver();
		for (size_t i = 0; i < nodes.size(); i++) {
			if (!nodes[i].core || nodes[i].frozen)
				continue;
			// A resumed process may send before it notices the pause.
			send_work(nodes[i], per_node);
			read_list(nodes[i]);
			finish_attempts(nodes[i]);
			tick(i);
		}
	}

	void run(int64_t ms, int per_node = 2)
	{
		for (int64_t end = now_ms + ms; now_ms < end;)
			step(per_node);
	}

      private:
	struct small_sizes sizes_;
	struct cfg *cfg_;
	struct prng rnd_;
	uint64_t incarnation_ = 0;
	std::vector<size_t> listed_;
	std::vector<bool> leaving_;
	std::vector<Version> versions_;
	std::deque<Message> messages_;

	void add_node(int dc = -1)
	{
		Node node;

		node.vm = "node-" + std::to_string(nodes.size());
		node.dc = dc >= 0 ? dc : (int)nodes.size() % sizes_.data_centres;
		nodes.push_back(node);
		listed_.push_back(nodes.size() - 1);
		start_node(nodes.size() - 1);
	}

	void publish()
	{
		Version version = {now_ms, (int64_t)versions_.size() + 1, {}, leaving_};

		for (size_t i : listed_)
			version.nodes.emplace_back(nodes[i].vm, nodes[i].dc);
		versions_.push_back(version);
	}

	// Returns the list as it was a random time ago, within the platform's lag.
	const Version &lagging()
	{
		int64_t lag_ms = (int64_t)prng_below(&rnd_, SMALL_LIST_LAG_MS);
		size_t i = versions_.size() - 1;

		while (i > 0 && versions_[i].at_ms > now_ms - lag_ms)
			i--;
		return versions_[i];
	}

	void read_list(Node &node)
	{
		if (node.watch_blocked || now_ms < node.read_at_ms)
			return;
		node.read_at_ms = now_ms + list_period_ms;
		const Version &version = lagging();
		struct vmlist *list = small_list(version.version, 0);
		for (size_t i = 0; i < upstreams.size(); i++)
			small_add_vm(list, ("u-" + std::to_string(i)).c_str(), 0, false,
				     version.leaving[i]);
		for (const auto &[vm, dc] : version.nodes)
			small_add_vm(list, vm.c_str(), dc, true, false);
		small_give_list(node.core, now_ms, list);
		confirm_cfg(node);
	}

	void confirm_cfg(Node &node)
	{
		struct core_event ev = {};

		ev.type = CORE_EV_CONFIG_CONFIRMED;
		ev.at_ms = now_ms;
		small_event(node.core, now_ms, &ev);
	}

	void end_jobs()
	{
		for (auto &up : upstreams) {
			auto ended = [this](const Job &job) { return job.end_ms <= now_ms; };
			auto rest = std::remove_if(up.running.begin(), up.running.end(), ended);

			up.done += up.running.end() - rest;
			up.running.erase(rest, up.running.end());
		}
	}

	void deliver()
	{
		std::deque<Message> later;

		for (auto &message : messages_) {
			Node &node = nodes[message.to];

			if (message.at_ms > now_ms || node.frozen) {
				later.push_back(message);
			} else if (node.core && now_ms - message.at_ms <= MEMBER_DIGEST_TTL_MS) {
				struct core_event ev = {};
				ev.type = CORE_EV_DIGEST;
				ev.u.digest = &message.digest;
				small_event(node.core, now_ms, &ev);
			}
		}
		messages_.swap(later);
	}

	void send_digest(size_t from, const char *vm)
	{
		for (size_t to = 0; to < nodes.size(); to++) {
			if (nodes[to].vm != vm || nodes[to].partition != nodes[from].partition)
				continue;
			Message message = {now_ms + message_ms, to, {}};
			member_fill_digest(&nodes[from].core->bb, &message.digest, now_ms);
			messages_.push_back(message);
		}
	}

	void copy_list(Node &node, const char *vm)
	{
		for (auto &peer : nodes) {
			if (peer.vm != vm || !peer.core || peer.frozen ||
			    peer.partition != node.partition || !peer.core->bb.list)
				continue;
			const struct vmlist *from = peer.core->bb.list;
			struct vmlist *list = small_list(from->version, 0);
			for (uint32_t i = 0; i < from->n_vms; i++) {
				const struct vmlist_vm *vm_of = &from->vms[i];
				small_add_vm(list, vm_of->id, atoi(vm_of->data_centre + 3),
					     vm_of->entry, vm_of->leaving);
			}
			struct core_event ev = {};
			ev.type = CORE_EV_LIST;
			ev.at_ms = peer.core->bb.view_ms;
			ev.u.list = list;
			small_event(node.core, now_ms, &ev);
		}
	}

	void give_report(Node &node, uint32_t upstream)
	{
		const Upstream &up = upstreams[upstream];
		struct core_event ev = {};

		ev.type = CORE_EV_REPORT;
		ev.u.report.upstream = upstream;
		ev.u.report.incarnation = up.incarnation;
		ev.u.report.warm = up.warm();
		ev.u.report.running = (int32_t)up.running.size();
		small_event(node.core, now_ms, &ev);
	}

	void tick(size_t i)
	{
		struct core_event ev = {};
		struct core_out out;

		ev.type = CORE_EV_TICK;
		core_out_init(&out);
		core_handle(nodes[i].core, now_ms, &ev, &out);
		for (guint k = 0; k < out.cmds->len; k++) {
			const struct core_cmd *cmd = &g_array_index(out.cmds, struct core_cmd, k);

			if (cmd->type == CORE_CMD_PROBE)
				send_digest(i, cmd->vm);
			else if (cmd->type == CORE_CMD_DEMAND)
				quota_messages.push_back({i, cmd->vm, *cmd->demand});
			else if (cmd->type == CORE_CMD_POLL)
				give_report(nodes[i], cmd->upstream);
		}
		core_out_free(&out);
		request_list(i);
	}

	// Requests a newer list that a digest has announced.
	void request_list(size_t i)
	{
		struct bb *bb = &nodes[i].core->bb;

		if (!bb->list || bb->newest_list_version <= bb->list->version)
			return;
		if (now_ms - bb->newer_since_ms < MEMBER_NEWER_LIST_WAIT_MS)
			return;
		for (auto &peer : nodes) {
			if (peer.core && peer.core->bb.list &&
			    peer.core->bb.list->version > bb->list->version)
				copy_list(nodes[i], peer.vm.c_str());
			if (bb->list->version == bb->newest_list_version)
				return;
		}
	}

	void finish_attempts(Node &node)
	{
		for (size_t i = 0; i < node.attempts.size();) {
			const Attempt attempt = node.attempts[i];

			if (attempt.known_end_ms > now_ms) {
				i++;
				continue;
			}
			struct bb_upstream *up = bb_upstream(&node.core->bb, attempt.upstream);
			struct slot_outcome end = {attempt.healthy, 1000};
			up->in_flight--;
			if (!attempt.healthy)
				slot_mark_unresolved(&node.core->bb, up, now_ms);
			slots->ended(&node.core->bb, up, &end, now_ms);
			node.attempts.erase(node.attempts.begin() + i);
		}
	}

	void send_one(Node &node, struct bb_upstream *up)
	{
		Upstream &to = upstreams[up->id];
		int64_t took_ms = 1 + (int64_t)prng_below(&rnd_, SMALL_LONGEST_MS);
		// The upstream continues, but the node gets no response.
		bool cut = prng_below(&rnd_, 8) == 0;
		int64_t known_after_ms = cut ? took_ms / 4 : took_ms;

		up->in_flight++;
		node.sent_ms = now_ms;
		node.attempts.push_back({up->id, now_ms, now_ms + known_after_ms, !cut});
		to.running.push_back({now_ms + took_ms});
		to.last_arrival_ms = now_ms;
		to.max_running = std::max(to.max_running, (int)to.running.size());
		n_above_limit += (int)to.running.size() > to.limit;
		starts++;
	}

	void send_work(Node &node, int per_node)
	{
		struct bb *bb = &node.core->bb;

		for (uint32_t i = 0; i < bb->upstreams->len; i++) {
			struct bb_upstream *up = bb_upstream(bb, i);

			if (prng_below(&rnd_, 100) >= load_pct)
				continue;
			for (int n = 0; n < per_node; n++) {
				if (eligible_check(bb, up, now_ms) == ELIGIBLE_OK &&
				    up->in_flight < slots->limit(bb, up, now_ms))
					send_one(node, up);
			}
		}
	}
};

} // namespace small

#endif
