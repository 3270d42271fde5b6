/* The fleet over random kills, restarts, cuts, lost messages and pauses: it agrees again once calm.
 */
#include "decide/fle.h"

#include <cstring>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

constexpr int kNodes = 9;
constexpr int kCalmRounds = 40;

struct World {
	std::vector<fle *> nodes = std::vector<fle *>(kNodes, nullptr);
	std::vector<bool> up = std::vector<bool>(kNodes, false);
	std::vector<bool> cut = std::vector<bool>(kNodes, false); /* on the far side of a cut */
	std::vector<uint64_t> born = std::vector<uint64_t>(kNodes, 0);
	rnd random = {7};
	int64_t now = 100000;
	uint64_t next_born = 1000;
	int loss_pct = 0;

	~World()
	{
		for (fle *f : nodes)
			fle_free(f);
	}
};

std::string address(int i)
{
	return "10.0.0." + std::to_string(i) + ":1";
}

void start_node(World &w, int i)
{
	fle_record r = {};

	g_strlcpy(r.peer_address, address(i).c_str(), sizeof(r.peer_address));
	r.incarnation = w.next_born++;
	w.born[i] = r.incarnation;
	fle_free(w.nodes[i]);
	w.nodes[i] = fle_new(&r, w.now);
	fle_set_self(w.nodes[i], true, false);
	w.up[i] = true;
}

void round_of_gossip(World &w)
{
	const char *const seeds[] = {"10.0.0.0:1", "10.0.0.3:1", "10.0.0.6:1"};

	w.now += FLE_BEAT_MS;
	for (int i = 0; i < kNodes; i++) {
		char targets[8][FLE_NAME_BYTES];
		fle_record records[FLE_RECORDS_MAX];
		if (!w.up[i])
			continue;
		fle_round(w.nodes[i], w.now);
		uint32_t n = fle_targets(w.nodes[i], seeds, 3, &w.random, targets, 8, w.now);
		uint32_t n_records =
			fle_fill(w.nodes[i], records, FLE_RECORDS_MAX, &w.random, w.now);
		for (uint32_t k = 0; k < n; k++) {
			int to = std::atoi(targets[k] + strlen("10.0.0."));
			if (!w.up[to] || w.cut[i] != w.cut[to] ||
			    rnd_below(&w.random, 100) < (uint64_t)w.loss_pct)
				continue;
			fle_heard(w.nodes[to], address(i).c_str(), w.now);
			fle_take(w.nodes[to], records, n_records, w.now);
		}
	}
}

void step(World &w)
{
	int i = *rc::gen::inRange(0, kNodes);
	int rounds = *rc::gen::inRange(1, 10);

	switch (*rc::gen::inRange(0, 5)) {
	case 0:
		w.up[i] = false;
		break;
	case 1:
		start_node(w, i);
		break;
	case 2:
		for (int k = 0; k < kNodes; k++)
			w.cut[k] = *rc::gen::arbitrary<bool>();
		break;
	case 3:
		w.loss_pct = *rc::gen::element(0, 10, 40);
		break;
	default: /* one node is suspended while the others go on */
		if (!w.up[i])
			break;
		w.up[i] = false;
		for (int k = 0; k < rounds; k++)
			round_of_gossip(w);
		w.up[i] = true;
		fle_excuse_gap(w.nodes[i], rounds * FLE_BEAT_MS);
	}
	for (int k = 0; k < rounds; k++)
		round_of_gossip(w);
}

/* Once calm, all that run see just each other, and the longest-running one owns. */
void check(World &w)
{
	uint32_t alive = 0;
	int owner = -1;

	w.cut.assign(kNodes, false);
	w.loss_pct = 0;
	for (int k = 0; k < kCalmRounds; k++)
		round_of_gossip(w);
	for (int i = 0; i < kNodes; i++) {
		alive += w.up[i];
		if (w.up[i] && (owner < 0 || w.born[i] < w.born[owner]))
			owner = i;
	}
	for (int i = 0; i < kNodes; i++) {
		if (!w.up[i])
			continue;
		RC_ASSERT(fle_count_alive(w.nodes[i], w.now) == alive);
		RC_ASSERT(std::string(fle_owner(w.nodes[i], nullptr, w.now)->record.peer_address) ==
			  address(owner));
	}
}

} // namespace

int main()
{
	bool good = rc::check("a fleet agrees once it is calm", [] {
		World w;
		int steps = *rc::gen::inRange(1, 12);

		for (int i = 0; i < kNodes; i++)
			start_node(w, i);
		for (int i = 0; i < steps; i++)
			step(w);
		/* a seed that runs is what a node without any other member needs */
		for (int i = 0; i < kNodes; i += 3) {
			if (!w.up[i])
				start_node(w, i);
		}
		check(w);
	});
	return good ? 0 : 1;
}
