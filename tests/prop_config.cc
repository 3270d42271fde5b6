// Properties of configuration acceptance over random deliveries to several nodes.
#include "decide/cfr.h"

#include <algorithm>
#include <array>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

constexpr int n_nodes = 4;
using version = std::pair<int64_t, uint64_t>;
using vector_of = std::array<version, CFG_SECTIONS>;

// What a team publishes: which of the data centres or services its section has or names.
struct content {
	int64_t revision = 1;
	int choice = 0; // 0: both; 1: only the first; 2: does not parse
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
	struct cfr *cfr = cfr_new();
	vector_of seen{};
};

vector_of in_force(const node &n)
{
	vector_of v;

	for (int id = 0; id < CFG_SECTIONS; id++) {
		const struct cfr_section *s = cfr_section(n.cfr, (cfg_section_id)id);
		v[id] = {s->revision, s->hash};
	}
	return v;
}

// Names of what a configuration has after items with failing references were left out.
std::string summary(const node &n)
{
	const struct cfg *cfg = cfr_cfg(n.cfr);
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

void check_forward(node &n)
{
	const vector_of now = in_force(n);

	for (int id = 0; id < CFG_SECTIONS; id++)
		RC_ASSERT(now[id] >= n.seen[id]);
	n.seen = now;
}

void read_service(node &n, const document &d)
{
	const std::string text = document_text(d);
	struct cfr_result result;

	cfr_offer_document(n.cfr, text.data(), text.size(), &result);
	RC_ASSERT(result.cfg == nullptr || result.cfg == cfr_cfg(n.cfr));
	cfr_result_clear(&result);
	check_forward(n);
}

void read_peer(node &to, const node &from, int id)
{
	const struct cfr_section *s = cfr_section(from.cfr, (cfg_section_id)id);
	struct cfg_section_text texts[CFG_SECTIONS] = {};
	struct cfr_result result;

	if (!s->text || !cfr_wants(to.cfr, (cfg_section_id)id, s->revision, s->hash))
		return;
	texts[id] = {s->text, s->len, 1};
	cfr_offer(to.cfr, texts, CFR_PEER, &result);
	cfr_result_clear(&result);
	check_forward(to);
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
			cfr_free(n.cfr);
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
	cfr_free(n.cfr);
	n.cfr = cfr_new();
	n.seen = {};
}

void take(run &r, const step &s)
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

// Whatever is delivered in whatever order, no node goes back, and once all hear of each other
// they have the same sections in force and read the same from them.
bool converges()
{
	return rc::check("never reverts, and converges on the highest accepted", [] {
		run r;
		vector_of highest{};

		for (const auto &s : *steps())
			take(r, s);
		for (const auto &n : r.nodes) {
			for (int id = 0; id < CFG_SECTIONS; id++)
				highest[id] = std::max(highest[id], in_force(n)[id]);
		}
		// a section that was held back may come into force while they exchange
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

// The same deliveries give the same state.
bool is_deterministic()
{
	return rc::check("the same deliveries give the same state", [] {
		const auto list = *steps();
		run a;
		run b;

		for (const auto &s : list) {
			take(a, s);
			take(b, s);
		}
		for (int i = 0; i < n_nodes; i++) {
			RC_ASSERT(in_force(a.nodes[i]) == in_force(b.nodes[i]));
			RC_ASSERT(summary(a.nodes[i]) == summary(b.nodes[i]));
		}
	});
}

// What is published whole and sound is in force wherever it is read, whatever came before.
bool accepts_sound()
{
	return rc::check("a sound document of higher revisions is in force at once", [] {
		run r;
		document d;

		for (const auto &s : *steps())
			take(r, s);
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
	return accepts_sound() && ok ? 0 : 1;
}
