// A ticket has at most one owner while three nodes stop, restart and adopt tickets and the messages
// between them are lost, duplicated and delayed.
#include "decide/ticket.h"

#include <cstdlib>
#include <map>
#include <rapidcheck.h>
#include <string>

namespace
{

constexpr int64_t now_ms = 1000;
constexpr int nodes = 3;

struct node {
	std::string vm;
	uint64_t incarnation;
	ticket_table *table;
};

struct offer {
	int to;
	uint64_t to_incarnation;
	struct ticket_release release;
};

struct fleet {
	std::vector<node> members;
	std::vector<ticket_id> tickets;
	std::vector<offer> messages; // never removed: each may be delivered any number of times
	std::map<std::pair<uint64_t, uint64_t>, int> runs;
	uint64_t incarnations = 0;

	fleet()
	{
		for (int i = 0; i < nodes; i++) {
			members.push_back({"node-" + std::to_string(i), 0, nullptr});
			restart(i);
		}
	}

	~fleet()
	{
		for (auto &member : members)
			ticket_free(member.table);
		for (auto &message : messages)
			ticket_release_clear(&message.release);
	}

	void restart(int i)
	{
		ticket_id first;

		if (members[i].table)
			ticket_free(members[i].table);
		members[i].incarnation = ++incarnations;
		members[i].table = ticket_new(members[i].vm.c_str(), incarnations);
		ticket_issue(members[i].table, 2, now_ms, &first);
		tickets.push_back(first);
		first.serial++;
		tickets.push_back(first);
	}

	void claim(int i, const ticket_id &id, bool finish)
	{
		uint64_t running = 0;
		const struct ticket_answer answer = {ERR_OUTCOME_COMPLETE, ERR_NONE, nullptr};

		if (ticket_claim(members[i].table, &id, 1, now_ms, &running) == TICKET_RUN)
			runs[{id.incarnation, id.serial}]++;
		if (finish)
			ticket_finish(members[i].table, &id, &answer);
	}

	// Releases all tickets of a node, to the present incarnation of the successor only.
	void release(int i, int to)
	{
		GArray *owned = ticket_owned_incarnations(members[i].table);

		for (guint k = 0; k < owned->len; k++) {
			offer message = {to, members[to].incarnation, {}};
			if (ticket_release(members[i].table, g_array_index(owned, uint64_t, k),
					   &message.release))
				messages.push_back(message);
		}
		g_array_unref(owned);
	}

	void deliver(const offer &message)
	{
		node &to = members[message.to];

		if (to.incarnation == message.to_incarnation)
			ticket_adopt(to.table, &message.release, now_ms);
	}

	int owners(uint64_t incarnation) const
	{
		int count = 0;

		for (const auto &member : members)
			count += ticket_owns(member.table, incarnation);
		return count;
	}
};

void step(fleet &f, int kind, unsigned a, unsigned b)
{
	const int i = a % nodes;

	if (kind == 0)
		f.restart(i);
	else if (kind == 1 && i != static_cast<int>(b % nodes))
		f.release(i, b % nodes);
	else if (kind <= 3 && !f.messages.empty())
		f.deliver(f.messages[b % f.messages.size()]);
	else
		f.claim(i, f.tickets[b % f.tickets.size()], kind % 2);
}

bool owned_once_and_run_once()
{
	return rc::check("a ticket has at most one owner and runs at most once", [] {
		const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
			rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 1000),
				       rc::gen::inRange(0, 1000)));
		fleet f;

		for (const auto &[kind, a, b] : steps) {
			step(f, kind, a, b);
			for (uint64_t k = 1; k <= f.incarnations; k++)
				RC_ASSERT(f.owners(k) <= 1);
		}
		for (const auto &run : f.runs)
			RC_ASSERT(run.second <= 1);
	});
}

} // namespace

int main()
{
	setenv("RC_PARAMS", "seed=20261203 max_success=1000", 0);
	return owned_once_and_run_once() ? 0 : 1;
}
