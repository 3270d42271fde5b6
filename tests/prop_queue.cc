// Properties of the decision core over random sequences of events.
#include "decide/core.h"

#include <cstring>
#include <map>
#include <rapidcheck.h>
#include <string>

namespace
{

const char *const document = R"(
places:
  revision: 1
  data_centres: [{name: a, region: x}, {name: b, region: y}]
  links: [{from: x, to: y, latency_ms: 10, price_per_gb_cents: 100}]
services:
  revision: 1
  items:
    - {name: enc, kind: pool, cold_limit: 1, warm_limit: 2}
    - {name: gen, kind: engine, cold_limit: 1, warm_limit: 2}
    - {name: bk, kind: plain, cold_limit: 1, warm_limit: 2, calls: [{name: book, idempotent: false}]}
upstreams:
  revision: 1
  items:
    - {name: e1, service: enc, address: "127.0.0.1:1", vm: u1, data_centre: a}
    - {name: e2, service: enc, address: "127.0.0.1:2", vm: u2, data_centre: b}
    - {name: g1, service: gen, address: "127.0.0.1:3", vm: u1, data_centre: a}
    - {name: g2, service: gen, address: "127.0.0.1:4", vm: u2, data_centre: b}
    - {name: b1, service: bk, address: "127.0.0.1:5", vm: u1, data_centre: a}
    - {name: b2, service: bk, address: "127.0.0.1:6", vm: u2, data_centre: b}
pipelines:
  revision: 1
  items:
    - {name: ask, deadline_ms: 400, stages: [{name: s, service: enc}, {name: t, service: gen, stream: true}]}
    - {name: order, deadline_ms: 400, stages: [{name: s, service: enc}, {name: t, service: bk, call: book}]}
accounts:
  revision: 1
  classes: [{name: high, rank: 0, reserved_pct: 40}, {name: low, rank: 1, reserved_pct: 0}]
  items:
    - {name: h, class: high, key_sha256: "4df59a3bb86935e086ed3abc2b3a48b00ec767bc477e01262365e9e9d635f475"}
    - {name: l, class: low, key_sha256: "465f0e088f90b99a911a0296556c6976c5be7032f6060c2888a66e184defedcf"}
routing: {revision: 1, policy: POLICY, eject_failures: 3, retry_budget_pct: 50, hedge_budget_pct: 50}
capacity: {revision: 1, longest_ms: 400, max_in_flight: 12}
)";

struct attempt_state {
	bool allowed = false;
	bool ended = false;
	bool was_sent = false;
};

using attempt_key = std::tuple<uint64_t, uint32_t, uint32_t>;

// A decision core with a simulated node and simulated upstreams. Checks the commands of the core.
struct harness {
	struct core_state *d;
	struct core_out out;
	int64_t now_ms = 1000;
	uint64_t next_id = 1;
	std::map<attempt_key, attempt_state> attempts;
	std::map<uint64_t, bool> non_idempotent; // request id -> its second stage is non-idempotent
	std::map<uint64_t, int> finals;
	std::map<uint64_t, int> streams;
	std::map<uint64_t, uint32_t> streamed;
	std::map<uint64_t, uint64_t> relayed; // request id -> bytes of the stream that were relayed
	std::map<uint64_t, int64_t> deadlines;
	std::vector<struct ticket_id> tickets;

	harness()
	{
		d = core_new("n1", "a", 7, 1, now_ms);
		core_out_init(&out);
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
	void take(const struct core_cmd &cmd);
	void config(bool baseline, const char *without);
	void list(bool leaving);
	void request(int pipeline, int account, int64_t wait_ms, size_t repeat = 0);
	void result(size_t nth, int how);
	void allow(size_t nth);
	void first_byte(size_t nth);
	void step(int kind, int arg);
};

void harness::take(const struct core_cmd &cmd)
{
	switch (cmd.type) {
	case CORE_CMD_SEND:
		RC_ASSERT(finals[cmd.req] == 0);
		for (const auto &[key, state] : attempts) {
			if (std::get<0>(key) == cmd.req && std::get<1>(key) == cmd.stage &&
			    non_idempotent[cmd.req] && cmd.stage == 1)
				RC_ASSERT(state.ended && !state.was_sent);
		}
		RC_ASSERT(attempts.count({cmd.req, cmd.stage, cmd.attempt}) == 0u);
		attempts[{cmd.req, cmd.stage, cmd.attempt}] = {};
		// an attempt that resumes a stream starts after its relayed bytes and is no hedge
		RC_ASSERT(cmd.resume == (streams[cmd.req] == 1));
		RC_ASSERT(cmd.offset == relayed[cmd.req]);
		RC_ASSERT(!cmd.resume || !cmd.hedge);
		if (cmd.resume)
			streamed[cmd.req] = cmd.attempt;
		break;
	case CORE_CMD_STREAM:
		RC_ASSERT(++streams[cmd.req] == 1);
		streamed[cmd.req] = cmd.attempt;
		break;
	case CORE_CMD_ACCEPT:
		RC_ASSERT(finals[cmd.req] == 0);
		if (cmd.stage == 1 && streams[cmd.req])
			RC_ASSERT(streamed[cmd.req] == cmd.attempt);
		break;
	case CORE_CMD_REFUSE:
		if (cmd.outcome == ERR_OUTCOME_NOT_RUN) {
			for (const auto &[key, state] : attempts)
				RC_ASSERT(std::get<0>(key) != cmd.req || !state.allowed ||
					  (state.ended && !state.was_sent));
		}
		[[fallthrough]];
	case CORE_CMD_FINISH:
	case CORE_CMD_REPLAY:
		RC_ASSERT(++finals[cmd.req] == 1);
		break;
	default:
		break;
	}
}

void harness::config(bool baseline, const char *without)
{
	std::string text = document;
	std::string kept;
	GPtrArray *faults = schema_faults_new();

	text.replace(text.find("POLICY"), 6, baseline ? "baseline" : "adaptive");
	const std::string moved = "name: e2, service: enc";
	if (strcmp(without, "moved") == 0)
		text.replace(text.find(moved), moved.size(), "name: e2, service: gen");
	for (size_t at = 0; at < text.size();) {
		const size_t end = text.find('\n', at) + 1;
		const std::string line = text.substr(at, end - at);
		if (!*without || line.find(without) == std::string::npos)
			kept += line;
		at = end;
	}
	struct cfg *cfg = cfg_parse(kept.c_str(), kept.size(), faults);
	for (guint i = 0; i < faults->len; i++) {
		const auto *fault = static_cast<const schema_fault *>(g_ptr_array_index(faults, i));
		RC_FAIL(std::string(fault->section) + ": " + fault->key + ": " + fault->reason);
	}
	g_ptr_array_unref(faults);
	struct core_event ev = {CORE_EV_CONFIG, {}};
	ev.u.cfg = cfg;
	handle(ev);
	cfg_unref(cfg);
}

void harness::list(bool leaving)
{
	const std::string text = std::string(R"({"version": 1, "vms": [
		{"id": "n1", "role": "entry", "state": "live", "data_centre": "a"},
		{"id": "u1", "role": "upstream", "state": "live", "data_centre": "a"},
		{"id": "u2", "role": "upstream", "data_centre": "b", "state": ")") +
				 (leaving ? "leaving" : "live") + "\"}]}";
	GError *error = nullptr;
	struct core_event ev = {CORE_EV_LIST, {}};

	ev.u.list = vmlist_parse(text.c_str(), text.size(), &error);
	if (error)
		RC_FAIL(std::string(error->message));
	handle(ev);
}

// repeat: 0 for a new ticket; n reuses the ticket of the n-th latest request with a ticket.
void harness::request(int pipeline, int account, int64_t wait_ms, size_t repeat)
{
	struct core_event ev = {CORE_EV_REQUEST, {}};
	struct core_ev_request &r = ev.u.request;

	r.id = next_id++;
	r.pipeline = pipeline;
	r.service = -1;
	r.account = account;
	r.wait_ms = wait_ms;
	r.body_bytes = 1000;
	r.prefix_hash = static_cast<uint64_t>(account) + 1;
	r.now_wall_ms = 1000;
	r.has_ticket = pipeline == 1;
	ticket_issue(d->tickets, 1, r.now_wall_ms, &r.ticket);
	if (repeat > 0 && r.has_ticket && repeat <= tickets.size())
		r.ticket = tickets[tickets.size() - repeat];
	if (r.has_ticket)
		tickets.push_back(r.ticket);
	deadlines[r.id] = now_ms + (wait_ms ? wait_ms : 400);
	non_idempotent[r.id] = pipeline == 1;
	finals[r.id] = 0;
	handle(ev);
}

void harness::result(size_t nth, int how)
{
	for (auto &[key, state] : attempts) {
		if (state.ended || nth-- > 0)
			continue;
		struct core_event ev = {CORE_EV_RESULT, {}};
		struct core_ev_attempt &a = ev.u.attempt;
		std::tie(a.req, a.stage, a.attempt) = key;
		a.code = state.allowed && how % 3 != 0 ? ERR_NONE : ERR_UPSTREAM_BROKEN;
		a.sent = state.allowed && how % 5 != 0;
		if (a.code == ERR_NONE)
			a.sent = true;
		a.latency_us = 20000;
		a.bytes = static_cast<uint64_t>(how % 20);
		if (a.stage == 1 && streams[a.req] && streamed[a.req] == a.attempt)
			relayed[a.req] += a.bytes;
		state.ended = true;
		state.was_sent = a.sent;
		handle(ev);
		return;
	}
}

void harness::allow(size_t nth)
{
	for (auto &[key, state] : attempts) {
		if (state.ended || state.allowed || nth-- > 0)
			continue;
		state.allowed = core_may_send(d, now_ms, std::get<0>(key), std::get<1>(key),
					      std::get<2>(key));
		if (state.allowed)
			RC_ASSERT(finals[std::get<0>(key)] == 0);
		return;
	}
}

void harness::first_byte(size_t nth)
{
	for (auto &[key, state] : attempts) {
		if (!state.allowed || nth-- > 0)
			continue;
		struct core_event ev = {CORE_EV_FIRST_BYTE, {}};
		struct core_ev_attempt &a = ev.u.attempt;
		std::tie(a.req, a.stage, a.attempt) = key;
		handle(ev);
		return;
	}
}

void harness::step(int kind, int arg)
{
	static const char *const without[] = {"", "service: gen, address", "name: b1", "name: e2",
					      "moved"};
	struct core_event ev = {CORE_EV_TICK, {}};

	if (kind < 5) {
		request(arg % 2, arg / 2 % 2, arg % 7 == 0 ? 30 : 0,
			static_cast<size_t>(arg / 4 % 4));
	} else if (kind < 12) {
		allow(static_cast<size_t>(arg % 4));
	} else if (kind < 16) {
		result(static_cast<size_t>(arg % 4), arg);
	} else if (kind < 18) {
		first_byte(static_cast<size_t>(arg % 6));
	} else if (kind < 22) {
		now_ms += arg % 60;
		handle(ev);
		// each request gets its answer by its own deadline, also one that joined another
		for (const auto &[id, at_ms] : deadlines)
			RC_ASSERT(finals[id] == 1 || now_ms < at_ms);
	} else if (kind == 22) {
		ev.type = CORE_EV_DISCONNECT;
		ev.u.req = next_id > 1 ? static_cast<uint64_t>(arg) % next_id : 0;
		// a disconnected caller gets no answer, but the core still emits one final command
		handle(ev);
	} else if (kind == 23) {
		config(arg % 3 == 0, without[arg % 5]);
	} else {
		list(arg % 2 == 0);
	}
}

void settle(harness &w)
{
	const struct core_event tick = {CORE_EV_TICK, {}};

	w.now_ms += 1000;
	w.handle(tick);
	for (size_t n = w.attempts.size(); n > 0; n--)
		w.result(0, 3);
	w.now_ms += 1000;
	w.handle(tick);
}

bool answers_once()
{
	return rc::check("each request gets one final answer and all its state is freed", [] {
		const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
			rc::gen::pair(rc::gen::inRange(0, 25), rc::gen::inRange(0, 1000)));
		harness w;

		w.config(false, "");
		w.list(false);
		for (const auto &[kind, arg] : steps)
			w.step(kind, arg);
		settle(w);
		for (const auto &[id, n] : w.finals)
			RC_ASSERT(n == 1);
		RC_ASSERT(g_hash_table_size(w.d->reqs) == 0u);
		RC_ASSERT(g_hash_table_size(w.d->inflight_attempts) == 0u);
		RC_ASSERT(g_sequence_get_length(w.d->wake_queue) == 0);
		for (guint i = 0; i < w.d->bb.services->len; i++) {
			const auto *service = static_cast<const struct bb_service *>(
				g_ptr_array_index(w.d->bb.services, i));
			RC_ASSERT(service->in_flight == 0);
			RC_ASSERT(g_sequence_get_length(service->waiting) == 0);
		}
		for (guint i = 0; i < w.d->bb.upstreams->len; i++) {
			const auto *up = static_cast<const struct bb_upstream *>(
				g_ptr_array_index(w.d->bb.upstreams, i));
			RC_ASSERT(up->in_flight == 0);
		}
	});
}

} // namespace

int main()
{
	setenv("RC_PARAMS", "seed=20261203 max_success=1000", 0);
	return answers_once() ? 0 : 1;
}
