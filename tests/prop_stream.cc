// Engines cut streams at random offsets. The caller gets each stream complete, in order and without
// duplicates, or the request is refused. Drives the decision core with simulated engines.
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
  items: [{name: gen, kind: engine, cold_limit: 4, warm_limit: 4}]
upstreams:
  revision: 1
  items:
    - {name: g1, service: gen, address: "127.0.0.1:1", vm: u1, data_centre: a}
    - {name: g2, service: gen, address: "127.0.0.1:2", vm: u1, data_centre: a}
    - {name: g3, service: gen, address: "127.0.0.1:3", vm: u1, data_centre: a}
pipelines:
  revision: 1
  items: [{name: ask, deadline_ms: 4000, stages: [{name: t, service: gen, stream: true}]}]
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

const std::string full_text = "0123456789abcdefghijklmnopqrstuvwxyz";

struct harness {
	struct core_state *d = core_new("n1", "a", 7, 1, 1000);
	struct core_out out;
	int64_t now_ms = 1000;
	uint64_t id = 0;
	std::deque<struct core_cmd> sends;
	std::string received; // bytes that the caller received
	bool open = false;
	uint32_t streamed = 0;
	int finished = 0;
	int refused = 0;
	uint32_t resumes = 0;

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
			RC_ASSERT(cmd.resume == open);
			RC_ASSERT(!open || (cmd.offset == received.size() && !cmd.hedge));
			if (open)
				streamed = cmd.attempt;
			resumes += open;
			sends.push_back(cmd);
		} else if (cmd.type == CORE_CMD_STREAM) {
			RC_ASSERT(!open);
			open = true;
			streamed = cmd.attempt;
		} else if (cmd.type == CORE_CMD_ACCEPT) {
			RC_ASSERT(!open || cmd.attempt == streamed);
		}
		finished += cmd.type == CORE_CMD_FINISH;
		refused += cmd.type == CORE_CMD_REFUSE;
	}
	void wait(int64_t ms)
	{
		const struct core_event tick = {CORE_EV_TICK, {}};

		now_ms += ms;
		handle(tick);
	}
	void send_request()
	{
		struct core_event ev = {CORE_EV_REQUEST, {}};

		id++;
		received.clear();
		open = false;
		finished = refused = 0;
		ev.u.request.id = id;
		ev.u.request.service = -1;
		handle(ev);
	}
	void end(const struct core_cmd &cmd, size_t bytes, int code, bool sent)
	{
		struct core_event ev = {CORE_EV_RESULT, {}};
		struct core_ev_attempt &a = ev.u.attempt;

		a.req = cmd.req;
		a.attempt = cmd.attempt;
		a.code = code;
		a.sent = sent;
		a.bytes = bytes;
		a.latency_us = 20000;
		handle(ev);
	}
	void produce(size_t cut, int64_t pause_ms);
};

// Ends the oldest attempt in flight, after at most cut bytes of its stream.
void harness::produce(size_t cut, int64_t pause_ms)
{
	const struct core_cmd cmd = sends.front();
	struct core_event ev = {CORE_EV_FIRST_BYTE, {}};

	sends.pop_front();
	if (!core_may_send(d, now_ms, cmd.req, cmd.stage, cmd.attempt)) {
		end(cmd, 0, ERR_OVERLOADED, false);
		return;
	}
	const std::string part = full_text.substr(cmd.offset, cut);
	const bool is_end = cmd.offset + cut > full_text.size();
	ev.u.attempt.req = cmd.req;
	ev.u.attempt.attempt = cmd.attempt;
	if (!part.empty())
		handle(ev);
	wait(pause_ms);
	if (open && cmd.req == id && cmd.attempt == streamed)
		received += part;
	end(cmd, part.size(), is_end ? ERR_NONE : ERR_STREAM_CUT, true);
}

bool streams_whole()
{
	uint32_t resumes = 0;
	const bool ok = rc::check("a stream is complete and in order, or refused", [&] {
		const auto cuts = *rc::gen::container<std::vector<std::pair<size_t, int>>>(
			rc::gen::pair(rc::gen::inRange<size_t>(0, 80), rc::gen::inRange(0, 60)));
		harness w;

		for (const auto &[cut, pause] : cuts) {
			if (w.sends.empty()) {
				w.send_request();
				w.wait(pause);
			}
			w.produce(cut, pause);
			RC_ASSERT(w.finished + w.refused <= 1);
			RC_ASSERT(full_text.compare(0, w.received.size(), w.received) == 0);
			RC_ASSERT(!w.finished || !w.open || w.received == full_text);
		}
		resumes += w.resumes;
	});
	printf("resumes: %u\n", resumes);
	return ok && resumes > 0;
}

} // namespace

int main()
{
	setenv("RC_PARAMS", "seed=20261203 max_success=1000", 0);
	return streams_whole() ? 0 : 1;
}
