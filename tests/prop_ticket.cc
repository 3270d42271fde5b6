// Properties of tickets over random sequences of claims, answers and restarts.
#include "decide/ticket.h"

#include <cstdlib>
#include <map>
#include <rapidcheck.h>

namespace
{

constexpr int64_t now_ms = 1000;

// A ticket runs at most once in any interleaving of claims, answers and restarts of the node.
bool runs_at_most_once()
{
	return rc::check("a ticket runs at most once", [] {
		const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
			rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 8)));
		uint64_t incarnation = 1;
		ticket_table *table = ticket_new("node-1", incarnation);
		std::vector<ticket_id> ids(8);
		std::map<int, int> runs;
		ticket_id first;

		ticket_issue(table, 8, now_ms, &first);
		for (int i = 0; i < 8; i++) {
			ids[i] = first;
			ids[i].serial += i;
		}
		for (const auto &[kind, i] : steps) {
			uint64_t running = 0;
			const struct ticket_answer answer = {ERR_OUTCOME_COMPLETE, ERR_NONE,
							     nullptr};

			if (kind == 0) {
				runs[i] += ticket_claim(table, &ids[i], 1, now_ms, &running) ==
					   TICKET_RUN;
			} else if (kind == 1) {
				ticket_finish(table, &ids[i], &answer);
			} else {
				ticket_free(table);
				table = ticket_new("node-1", ++incarnation);
				ticket_issue(table, 8, now_ms, &first);
			}
		}
		ticket_free(table);
		for (const auto &run : runs)
			RC_ASSERT(run.second <= 1);
	});
}

} // namespace

int main()
{
	setenv("RC_PARAMS", "seed=20261203 max_success=1000", 0);
	return runs_at_most_once() ? 0 : 1;
}
