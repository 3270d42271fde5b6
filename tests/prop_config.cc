// Configuration acceptance under random deliveries to several nodes.
#include "decide/cfgrev.h"

#include <algorithm>
#include <array>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

constexpr int n_nodes = 4;
using version = std::pair<int64_t, uint64_t>;
using versions = std::array<version, CFG_SECTIONS>;

// Published content of a section, which holds or refers to one or two items.
struct content {
	int64_t revision = 1;
	int choice = 0; // 0: with the second item; 1: without it; 2: does not parse
};

struct document {
	std::array<content, CFG_SECTIONS> sections;
};

std::string section_text(int id, const content &c)
{
	const std::string head = std::string(cfg_section_name((cfg_section_id)id)) +
				 ":\n  revision: " + std::to_string(c.revision) + "\n";
	const bool both = c.choice == 0;

	if (c.choice == 2)
		return head + "  items: [\n";
	switch (id) {
	case CFG_PLACES:
		return head + "  data_centres:\n    - {name: a, region: r}\n" +
		       (both ? "    - {name: b, region: r}\n" : "");
	case CFG_SERVICES:
		return head + "  items:\n    - {name: s, kind: pool}\n" +
		       (both ? "    - {name: t, kind: pool}\n" : "");
	case CFG_UPSTREAMS:
		return head +
		       "  items:\n    - {name: u, service: s, address: x, vm: v, data_centre: "
		       "a}\n" +
		       (both ? "    - {name: w, service: t, address: x, vm: v, data_centre: b}\n"
			     : "");
	case CFG_MODELS:
		return head + "  items:\n    - {name: m, version: \"1\", upstreams: [" +
		       (both ? "u, w" : "u") + "]}\n";
	case CFG_PIPELINES:
		return head + "  items:\n    - {name: p, stages: [{name: x, service: " +
		       (both ? "t" : "s") + "}]}\n";
	case CFG_ACCOUNTS:
		return head + "  classes: []\n  items: []\n";
	case CFG_ROUTING:
		return head + "  eject_failures: " + (both ? "3" : "4") + "\n";
	default:
		return head + "  max_in_flight: " + (both ? "10" : "20") + "\n";
	}
}

std::string document_text(const document &d)
{
	std::string text;

	for (int id = 0; id < CFG_SECTIONS; id++)
		text += section_text(id, d.sections[id]);
	return text;
}

struct node {
	struct cfgrev *cfgrev = cfgrev_new();
	versions seen{};
};

versions in_force(const node &n)
{
	versions v;

	for (int id = 0; id < CFG_SECTIONS; id++) {
		const struct cfgrev_section *s = cfgrev_section(n.cfgrev, (cfg_section_id)id);
		v[id] = {s->revision, s->hash};
	}
	return v;
}

// Names of the items left in a configuration after those with failing references are omitted.
std::string summary(const node &n)
{
	const struct cfg *cfg = cfgrev_current(n.cfgrev);
	std::string text;

	if (!cfg)
		return "none";
	for (uint32_t i = 0; i < cfg->upstreams.n_items; i++)
		text += std::string(cfg->upstreams.items[i].name) + " ";
	for (uint32_t i = 0; i < cfg->pipelines.n_items; i++)
		text += std::string(cfg->pipelines.items[i].name) + " ";
	for (uint32_t i = 0; i < cfg->models.n_items; i++)
		text += std::to_string(cfg->models.items[i].n_upstreams);
	return text;
}

void check_no_revert(node &n)
{
	const versions now = in_force(n);

	for (int id = 0; id < CFG_SECTIONS; id++)
		RC_ASSERT(now[id] >= n.seen[id]);
	n.seen = now;
}

void read_service(node &n, const document &d)
{
	const std::string text = document_text(d);
	struct cfgrev_result result;

	cfgrev_offer_document(n.cfgrev, text.data(), text.size(), &result);
	RC_ASSERT(result.cfg == nullptr || result.cfg == cfgrev_current(n.cfgrev));
	cfgrev_result_clear(&result);
	check_no_revert(n);
}

void read_peer(node &to, const node &from, int id)
{
	const struct cfgrev_section *s = cfgrev_section(from.cfgrev, (cfg_section_id)id);
	struct cfg_section_text texts[CFG_SECTIONS] = {};
	struct cfgrev_result result;

	if (!s->text || !cfgrev_is_newer(to.cfgrev, (cfg_section_id)id, s->revision, s->hash))
		return;
	texts[id] = {s->text, s->len, 1};
	cfgrev_offer(to.cfgrev, texts, CFGREV_PEER, &result);
	cfgrev_result_clear(&result);
	check_no_revert(to);
	RC_ASSERT(in_force(to)[id] >= version(s->revision, s->hash));
}

void exchange(std::vector<node> &nodes)
{
	for (auto &to : nodes) {
		for (auto &from : nodes) {
			for (int id = 0; id < CFG_SECTIONS; id++)
				read_peer(to, from, id);
		}
	}
}

struct run {
	std::vector<node> nodes = std::vector<node>(n_nodes);
	std::vector<document> published = std::vector<document>(1);

	~run()
	{
		for (auto &n : nodes)
			cfgrev_free(n.cfgrev);
	}
};

using step = std::tuple<int, int, int, int>;

void publish(run &r, int id, int revision, int choice)
{
	document d = r.published.back();

	d.sections[id] = {revision, choice};
	r.published.push_back(d);
}

void restart(node &n)
{
	cfgrev_free(n.cfgrev);
	n.cfgrev = cfgrev_new();
	n.seen = {};
}

void apply_step(run &r, const step &s)
{
	const auto [kind, a, b, c] = s;
	node &n = r.nodes[a % n_nodes];

	if (kind < 3)
		publish(r, a % CFG_SECTIONS, 1 + b % 5, c % 3);
	else if (kind < 6)
		read_service(n, r.published.back());
	else if (kind == 6) // a stale reply
		read_service(n, r.published[b % r.published.size()]);
	else if (kind < 9)
		read_peer(n, r.nodes[b % n_nodes], c % CFG_SECTIONS);
	else
		restart(n);
}

rc::Gen<std::vector<step>> steps()
{
	const auto number = rc::gen::inRange(0, 120);

	return rc::gen::container<std::vector<step>>(
		rc::gen::tuple(rc::gen::inRange(0, 10), number, number, number));
}

// In any order of deliveries, no node reverts to an earlier section, and once all nodes have
// exchanged sections they have the same ones in force and derive the same configuration.
bool converges()
{
	return rc::check("no node reverts, and all converge on the highest revisions", [] {
		run r;
		versions highest{};

		for (const auto &s : *steps())
			apply_step(r, s);
		for (const auto &n : r.nodes) {
			for (int id = 0; id < CFG_SECTIONS; id++)
				highest[id] = std::max(highest[id], in_force(n)[id]);
		}
		// A pending section may come into force during the exchange.
		for (int i = 0; i <= CFG_SECTIONS; i++)
			exchange(r.nodes);
		for (const auto &n : r.nodes) {
			RC_ASSERT(in_force(n) == in_force(r.nodes[0]));
			RC_ASSERT(summary(n) == summary(r.nodes[0]));
			for (int id = 0; id < CFG_SECTIONS; id++)
				RC_ASSERT(in_force(n)[id] >= highest[id]);
		}
	});
}

bool is_deterministic()
{
	return rc::check("the same deliveries give the same state", [] {
		const auto list = *steps();
		run a;
		run b;

		for (const auto &s : list) {
			apply_step(a, s);
			apply_step(b, s);
		}
		for (int i = 0; i < n_nodes; i++) {
			RC_ASSERT(in_force(a.nodes[i]) == in_force(b.nodes[i]));
			RC_ASSERT(summary(a.nodes[i]) == summary(b.nodes[i]));
		}
	});
}

// A complete valid document of higher revisions comes into force at each node that reads it.
bool accepts_valid()
{
	return rc::check("each node accepts a valid document with higher revisions", [] {
		run r;
		document d;

		for (const auto &s : *steps())
			apply_step(r, s);
		for (auto &section : d.sections)
			section = {9, 0};
		for (auto &n : r.nodes) {
			read_service(n, d);
			for (const auto &v : in_force(n))
				RC_ASSERT(v.first == 9);
			RC_ASSERT(summary(n) == "u w p 2");
		}
	});
}

} // namespace

int main()
{
	bool ok = converges();

	ok = is_deterministic() && ok;
	return accepts_valid() && ok ? 0 : 1;
}
