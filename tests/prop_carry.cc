// A pipeline with two non-idempotent stages ("book") in the middle. Whatever fails, and however
// often the request is repeated with its ticket, each of the two stages runs at most once and the
// stages after it get its result. Drives the decision core without a network.
#include "decide/core.h"

#include <cstring>
#include <deque>
#include <rapidcheck.h>
#include <string>

namespace
{

const char *const document = R"(
places: {revision: 1, data_centres: [{name: a, region: x}]}
services:
  revision: 1
  items:
    - {name: enc, kind: pool, cold_limit: 4, warm_limit: 4}
    - {name: bk, kind: plain, cold_limit: 4, warm_limit: 4, calls: [{name: book, idempotent: false}]}
upstreams:
  revision: 1
  items:
    - {name: e1, service: enc, address: "127.0.0.1:1", vm: u1, data_centre: a}
    - {name: e2, service: enc, address: "127.0.0.1:2", vm: u1, data_centre: a}
    - {name: b1, service: bk, address: "127.0.0.1:3", vm: u1, data_centre: a}
    - {name: b2, service: bk, address: "127.0.0.1:4", vm: u1, data_centre: a}
pipelines:
  revision: 1
  items:
    - name: trip
      deadline_ms: 400
      stages:
        - {name: s, service: enc}
        - {name: t, service: bk, call: book}
        - {name: u, service: enc}
        - {name: v, service: bk, call: book}
        - {name: w, service: enc}
accounts:
  revision: 1
  classes: [{name: high, rank: 0}]
  items:
    - {name: h, class: high, key_sha256: "4df59a3bb86935e086ed3abc2b3a48b00ec767bc477e01262365e9e9d635f475"}
routing: {revision: 1, policy: adaptive, retry_budget_pct: 50, hedge_budget_pct: 50}
capacity: {revision: 1}
)";

const char *const list_text = R"({"version": 1, "vms": [
	{"id": "n1", "role": "entry", "state": "live", "data_centre": "a"},
	{"id": "u1", "role": "upstream", "state": "live", "data_centre": "a"}]})";

const uint32_t stages = 5;
const std::string booking_result = "booked";

struct harness {
	struct core_state *d = core_new("n1", "a", 7, 1, 1000);
	struct core_out out;
	struct ticket_id ticket;
	int64_t now_ms = 1000;
	uint64_t id = 0;
	std::deque<struct core_cmd> sends;
	uint32_t open = 0;	   // number of requests without a final answer
	int bookings[stages] = {}; // by stage: attempts that may have run
	bool done[stages] = {};	   // by stage: a result was accepted
	uint32_t complete = 0;
	uint32_t resumed = 0;

	harness()
	{
		struct core_event ev = {CORE_EV_CONFIG, {}};
		GPtrArray *faults = schema_faults_new();

		core_out_init(&out);
		ev.u.cfg = cfg_parse(document, strlen(document), faults);
		RC_ASSERT(faults->len == 0u);
		handle(ev);
		cfg_unref(ev.u.cfg);
		g_ptr_array_unref(faults);
		d->policy.slots = &slot_ops_unlimited;
		ev.type = CORE_EV_LIST;
		ev.u.list = vmlist_parse(list_text, strlen(list_text), nullptr);
		handle(ev);
		RC_ASSERT(ticket_issue(d->tickets, 1, 1000, &ticket));
	}
	~harness()
	{
		core_out_free(&out);
		core_free(d);
	}
	void handle(const struct core_event &ev)
	{
		core_handle(d, now_ms, &ev, &out);
		for (guint i = 0; i < out.cmds->len; i++)
			take(g_array_index(out.cmds, struct core_cmd, i));
		core_out_clear(&out);
	}
	void take(const struct core_cmd &cmd)
	{
		if (cmd.type == CORE_CMD_SEND) {
			sends.push_back(cmd);
		} else if (cmd.type == CORE_CMD_INPUT) {
			gsize len = 0;
			const auto *data =
				static_cast<const char *>(g_bytes_get_data(cmd.body, &len));
			RC_ASSERT(std::string(data, len) == booking_result);
			RC_ASSERT(cmd.stage == (done[3] ? 4u : 2u) && done[1]);
			resumed++;
		} else if (cmd.type == CORE_CMD_REFUSE) {
			RC_ASSERT(cmd.outcome != ERR_OUTCOME_NOT_RUN || bookings[1] == 0);
			RC_ASSERT((cmd.code == ERR_PARTLY_DONE) ==
				  (done[1] && (done[3] || bookings[3] == 0)));
			open--;
		} else if (cmd.type == CORE_CMD_FINISH || cmd.type == CORE_CMD_REPLAY) {
			RC_ASSERT(done[1] && done[3]);
			complete++;
			open--;
		}
	}
	void send_request()
	{
		struct core_event ev = {CORE_EV_REQUEST, {}};

		open++;
		ev.u.request.id = ++id;
		ev.u.request.service = -1;
		ev.u.request.has_ticket = true;
		ev.u.request.ticket = ticket;
		ev.u.request.now_wall_ms = 1000;
		handle(ev);
	}
	void end_attempt(size_t nth, int how);
};

// Ends an outstanding attempt. how: 0 to 2 complete, 3 and 4 failed, higher refused by the
// upstream.
void harness::end_attempt(size_t nth, int how)
{
	if (sends.empty())
		return;
	const auto at = sends.begin() + static_cast<std::ptrdiff_t>(nth % sends.size());
	const struct core_cmd cmd = *at;
	const bool booking = !cmd.idempotent;
	struct core_event ev = {CORE_EV_RESULT, {}};
	struct core_ev_attempt &a = ev.u.attempt;

	sends.erase(at);
	a.req = cmd.req;
	a.stage = cmd.stage;
	a.attempt = cmd.attempt;
	a.code = ERR_OVERLOADED;
	a.latency_us = 20000;
	if (core_may_send(d, now_ms, cmd.req, cmd.stage, cmd.attempt)) {
		a.code = how < 3 ? ERR_NONE : how < 5 ? ERR_UPSTREAM_BROKEN : ERR_UPSTREAM_REFUSED;
		a.sent = how < 5;
	}
	bookings[cmd.stage] += booking && a.sent;
	RC_ASSERT(bookings[cmd.stage] <= 1);
	GBytes *body = g_bytes_new(booking_result.data(), booking_result.size());
	if (a.code == ERR_NONE && cmd.keep_body)
		a.body = body;
	// the result counts only while the request is open
	if (booking && a.code == ERR_NONE && g_hash_table_contains(d->reqs, &cmd.req))
		done[cmd.stage] = true;
	handle(ev);
	g_bytes_unref(body);
}

bool runs_once()
{
	uint32_t complete = 0;
	uint32_t resumed = 0;
	const bool ok = rc::check("each booking in the middle runs at most once", [&] {
		const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
			rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 6)));
		const struct core_event tick = {CORE_EV_TICK, {}};
		harness w;

		for (const auto &[kind, how] : steps) {
			if (kind < 2 && w.open < 3) {
				w.send_request();
			} else if (kind < 7) {
				w.end_attempt(static_cast<size_t>(kind), how);
			} else {
				w.now_ms += how * 20;
				w.handle(tick);
			}
		}
		while (!w.sends.empty())
			w.end_attempt(0, 4);
		w.now_ms += 1000;
		w.handle(tick);
		RC_ASSERT(w.open == 0u);
		RC_ASSERT(ticket_body_bytes(w.d->tickets) <= booking_result.size());
		complete += w.complete;
		resumed += w.resumed;
	});
	printf("complete: %u, resumed: %u\n", complete, resumed);
	return ok && complete > 0 && resumed > 0;
}

} // namespace

int main()
{
	setenv("RC_PARAMS", "seed=20261203 max_success=1000", 0);
	return runs_once() ? 0 : 1;
}
