/*
 * Runs a fleet whose callers resume streams at any node, while versions are rolled out and back,
 * upstreams and nodes come and go, all nodes are killed at once, versions are full, links are cut
 * and messages are lost. No stream may ever have events of two versions. Of the resumptions that
 * could succeed (two upstreams of the version serve, the nodes have been in touch, at most one was
 * lost) at least half must. An upstream that restarts has a new id here; the cases left out are in
 * docs/design/stream-versions.md, what remains.
 */
#include "decide/gossip.h"
#include "decide/stream_origin.h"

#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <stdio.h>
#include <string.h>
#include <string>
#include <vector>

namespace
{

constexpr int64_t tick_ms = 100;
constexpr int64_t heartbeat_ms = 1200;
constexpr int64_t in_touch_ms = 4000;
constexpr int64_t lapse_ms = VIEW_LAPSE_HEARTBEATS * heartbeat_ms;
constexpr int64_t stream_ms = 30000;   // longest stream
constexpr int64_t patience_ms = 20000; // of callers whose stream broke off
constexpr size_t nodes_min = 3;	       // fewer can't keep a record elsewhere when one is lost
constexpr uint64_t resumptions_min = 12;
constexpr int steps = 400;
constexpr char service[] = "s";

struct Upstream {
	std::string version;
	bool serves = true;
	int64_t gone_at_ms = 0; // when its entry goes; 0: it stays
};

struct Change {
	std::string id;
	std::string version; // empty: deleted
	bool leaving;
};

struct Node {
	std::string address;
	gossip *fleet = nullptr; // null: not running
	stream_origin *origin = nullptr;
	view_state *view = nullptr;
	size_t read = 0; // number of changes applied
	int64_t read_at_ms = 0;
	int64_t beat_at_ms = 0;
	int64_t calm_since_ms = 0; // last start, cut or return of a link
	bool has_source = true;
	int side = 0;
};

enum class State { running, broken, over };

struct Stream {
	uint64_t id;
	int64_t began_ms;
	std::set<std::string> versions;
	State state = State::running;
	size_t node = 0;
	std::string upstream;
	int64_t broken_ms = 0;
	bool was_counted = false; // among the resumptions since it last broke off
};

class World
{
      public:
	World(size_t n, uint64_t seed, uint64_t loss_pct) : loss_pct_(loss_pct)
	{
		rnd_.state = seed;
		nodes_.resize(n);
		for (int version : {0, 0, 1, 1})
			start_upstream(version);
		for (size_t i = 0; i < n; i++) {
			nodes_[i].address = "10.0.0." + std::to_string(i) + ":1";
			start_node(i);
		}
		advance(2000);
	}

	~World()
	{
		for (size_t i = 0; i < nodes_.size(); i++)
			kill_node(i);
	}

	uint64_t could = 0; // resumptions that could have succeeded
	uint64_t did = 0;   // those of them that did

	void advance(int64_t ms)
	{
		for (int64_t end = now_ + ms; now_ < end;) {
			now_ += tick_ms;
			remove_gone();
			end_streams();
			for (size_t i = 0; i < nodes_.size(); i++) {
				if (nodes_[i].fleet)
					tick(i);
			}
		}
	}

	void step()
	{
		switch (*rc::gen::weightedElement<int>({{24, 0},
							{10, 1},
							{20, 2},
							{4, 3},
							{12, 4},
							{1, 5},
							{1, 6},
							{3, 7},
							{2, 8},
							{1, 9},
							{1, 10},
							{3, 11},
							{1, 12},
							{2, 13},
							{1, 14}})) {
		case 0:
			return begin(pick(nodes_.size()));
		case 1:
			return break_off();
		case 2:
			return resume_some();
		case 3:
			return go_on_within_answer();
		case 4:
			return start_node(pick(nodes_.size()));
		case 5:
			return lose_busy_node();
		case 6:
			return lose_node(true);
		case 7:
			return start_upstream((int)pick(3));
		case 8:
			return end_upstream(*rc::gen::arbitrary<bool>());
		case 9:
			return toggle_source(pick(nodes_.size()));
		case 10:
			return split(pick(nodes_.size()));
		case 12:
			return restart_fleet();
		case 13:
			full_ = "v" + std::to_string(pick(4));
			return;
		case 14:
			return replace_version((int)pick(3));
		default:
			return heal();
		}
	}

      private:
	std::vector<Node> nodes_;
	std::map<std::string, Upstream> upstreams_;
	std::vector<Change> changes_;
	std::vector<Stream> streams_;
	std::vector<int64_t> lost_ms_; // when nodes were lost
	struct prng rnd_;
	uint64_t loss_pct_;
	std::string full_;   // version whose upstreams take no new work
	int64_t cut_ms_ = 0; // when links were last cut or repaired
	int64_t now_ = 1000000;
	uint64_t next_id_ = 1;

	static size_t pick(size_t n)
	{
		return *rc::gen::inRange<size_t>(0, n);
	}

	bool arrives(size_t from, size_t to)
	{
		return nodes_[to].fleet && nodes_[from].side == nodes_[to].side &&
		       prng_below(&rnd_, 100) >= loss_pct_;
	}

	size_t index_of(const char *address) const
	{
		for (size_t i = 0; i < nodes_.size(); i++) {
			if (nodes_[i].address == address)
				return i;
		}
		abort();
	}

	void start_node(size_t i)
	{
		Node &n = nodes_[i];
		gossip_record self = {};

		if (n.fleet)
			return;
		g_strlcpy(self.peer_address, n.address.c_str(), sizeof(self.peer_address));
		self.incarnation = (uint64_t)now_;
		self.ready = true;
		n.fleet = gossip_new(&self, now_);
		n.origin = stream_origin_new();
		n.view = view_new(heartbeat_ms);
		n.read = 0;
		n.read_at_ms = now_;
		n.beat_at_ms = now_;
		n.calm_since_ms = now_;
	}

	void kill_node(size_t i)
	{
		Node &n = nodes_[i];

		if (!n.fleet)
			return;
		gossip_free(n.fleet);
		stream_origin_free(n.origin);
		view_free(n.view);
		n.fleet = nullptr;
		for (auto &s : streams_) {
			if (s.state == State::running && s.node == i)
				set_broken(s);
		}
	}

	void lose_node(bool is_planned)
	{
		size_t i = pick(nodes_.size());

		if (!nodes_[i].fleet)
			return;
		if (is_planned)
			stream_origin_foreach(nodes_[i].origin, tell_fn, new_teller(i), now_);
		lost_ms_.push_back(now_);
		kill_node(i);
	}

	void restart_fleet()
	{
		for (size_t i = 0; i < nodes_.size(); i++) {
			lost_ms_.push_back(now_);
			kill_node(i);
		}
		advance((int64_t)pick(3000));
		for (size_t i = 0; i < nodes_.size(); i++)
			start_node(i);
	}

	// Kills a node, and the callers of its streams resume them.
	void lose_busy_node()
	{
		Stream *s = some(State::running);
		size_t lost;

		if (!s)
			return lose_node(false);
		lost = s->node;
		lost_ms_.push_back(now_);
		kill_node(lost);
		for (auto &stream : streams_) {
			if (stream.state == State::broken && stream.node == lost)
				resume_at(&stream, pick(nodes_.size()));
		}
	}

	void start_upstream(int version)
	{
		std::string id = "u" + std::to_string(next_id_++);

		upstreams_[id] = {"v" + std::to_string(version)};
		changes_.push_back({id, upstreams_[id].version, false});
	}

	// Starts an upstream of another version; all that serve this one leave.
	void replace_version(int version)
	{
		start_upstream((version + 1) % 3);
		for (const auto &entry : upstreams_) {
			if (entry.second.version == "v" + std::to_string(version))
				leave(entry.first);
		}
	}

	void leave(const std::string &id)
	{
		Upstream &u = upstreams_[id];

		if (u.gone_at_ms > 0)
			return;
		u.gone_at_ms = now_ + lapse_ms;
		changes_.push_back({id, u.version, true});
	}

	// Ends an upstream, whose entry lapses, or lets it leave, whose entry is there until its
	// end.
	void end_upstream(bool leaves)
	{
		auto it = upstreams_.begin();

		if (upstreams_.empty())
			return;
		std::advance(it, pick(upstreams_.size()));
		if (it->second.gone_at_ms > 0)
			return;
		if (leaves)
			return leave(it->first);
		it->second.gone_at_ms = now_ + lapse_ms;
		stop_serving(it->first);
	}

	void stop_serving(const std::string &id)
	{
		upstreams_[id].serves = false;
		for (auto &s : streams_) {
			if (s.state == State::running && s.upstream == id)
				set_broken(s);
		}
	}

	void remove_gone()
	{
		for (auto it = upstreams_.begin(); it != upstreams_.end();) {
			if (it->second.gone_at_ms == 0 || it->second.gone_at_ms > now_) {
				++it;
				continue;
			}
			stop_serving(it->first);
			changes_.push_back({it->first, "", false});
			it = upstreams_.erase(it);
		}
	}

	void end_streams()
	{
		for (auto &s : streams_) {
			if (now_ - s.began_ms > stream_ms)
				s.state = State::over;
		}
	}

	void set_broken(Stream &s)
	{
		s.state = State::broken;
		s.broken_ms = now_;
		s.was_counted = false;
	}

	void toggle_source(size_t i)
	{
		nodes_[i].has_source = !nodes_[i].has_source;
		nodes_[i].calm_since_ms = now_;
		cut_ms_ = now_;
	}

	void split(size_t i)
	{
		nodes_[i].side = 1 - nodes_[i].side;
		cut_ms_ = now_;
		for (auto &n : nodes_)
			n.calm_since_ms = now_;
	}

	void heal()
	{
		for (auto &n : nodes_) {
			if (!n.has_source || n.side != 0)
				n.calm_since_ms = cut_ms_ = now_;
			n.has_source = true;
			n.side = 0;
		}
	}

	void apply(Node &n, const Change &change, int64_t revision)
	{
		pub_upstream *u;

		if (change.version.empty()) {
			view_remove_upstream(n.view, change.id.c_str(), {1, revision}, now_);
			return;
		}
		u = g_new0(pub_upstream, 1);
		u->id = g_strdup(change.id.c_str());
		u->service = g_strdup(service);
		u->address = g_strdup(change.id.c_str());
		u->data_centre = g_strdup("dc");
		u->version = g_strdup(change.version.c_str());
		u->leaving = change.leaving;
		stream_origin_note_version(n.origin, service, u->version, now_);
		view_put_upstream(n.view, u, {1, revision}, now_);
	}

	// Whether the change is the last one of an entry that is there.
	bool is_current(size_t i) const
	{
		for (size_t k = i + 1; k < changes_.size(); k++) {
			if (changes_[k].id == changes_[i].id)
				return false;
		}
		return !changes_[i].version.empty();
	}

	// Reads what the source has now, or every change since the last answer.
	void read_source(Node &n)
	{
		bool is_first = n.read == 0;

		for (size_t i = n.read; i < changes_.size(); i++) {
			if (!is_first || is_current(i))
				apply(n, changes_[i], (int64_t)i + 1);
		}
		n.read = changes_.size();
		stream_origin_note_upstreams(n.origin, n.view, now_);
		stream_origin_note_view(n.origin, now_, !is_first);
		if (!is_first)
			stream_origin_note_read(n.origin, now_);
		n.read_at_ms = now_ + 400 + (int64_t)prng_below(&rnd_, 600);
	}

	void send_beat(size_t from)
	{
		gossip_record records[GOSSIP_RECORDS_MAX];
		uint32_t n = gossip_fill_records(nodes_[from].fleet, "", records,
						 GOSSIP_RECORDS_MAX, &rnd_, now_);

		for (size_t to = 0; to < nodes_.size(); to++) {
			if (to != from && arrives(from, to))
				gossip_merge(nodes_[to].fleet, records, n, now_);
		}
	}

	struct Teller {
		World *world;
		size_t from;
	};
	std::vector<std::unique_ptr<Teller>> tellers_;

	Teller *new_teller(size_t from)
	{
		tellers_.push_back(std::make_unique<Teller>(Teller{this, from}));
		return tellers_.back().get();
	}

	static bool tell_fn(void *arg, const stream_origin_record *record)
	{
		auto *t = (Teller *)arg;
		char told[STREAM_ORIGIN_TOLD][GOSSIP_NAME_BYTES];
		World *w = t->world;
		uint32_t n = gossip_rank(w->nodes_[t->from].fleet, record->stream, told,
					 STREAM_ORIGIN_TOLD, w->now_);

		for (uint32_t i = 0; i < n; i++) {
			size_t to = w->index_of(told[i]);
			stream_origin_record copy = *record;
			copy.source = STREAM_ORIGIN_NOTED;
			if (w->arrives(t->from, to))
				stream_origin_learn(w->nodes_[to].origin, &copy, w->now_);
		}
		return n > 0;
	}

	void tell(size_t i)
	{
		Teller teller = {this, i};

		stream_origin_tell(nodes_[i].origin, false, tell_fn, &teller, now_);
	}

	void tick(size_t i)
	{
		Node &n = nodes_[i];

		if (n.has_source && now_ >= n.read_at_ms)
			read_source(n);
		if (now_ >= n.beat_at_ms) {
			gossip_begin_round(n.fleet, now_);
			send_beat(i);
			n.beat_at_ms = now_ + GOSSIP_INTERVAL_MS;
		}
		stream_origin_expire(n.origin, now_);
		tell(i);
	}

	// Returns the usable upstreams in the node's view that serve; version NULL: of any version.
	std::vector<std::string> candidates(const Node &n, const char *version)
	{
		std::vector<std::string> ids;

		for (const auto &[id, upstream] : upstreams_) {
			auto *u =
				(view_upstream *)g_hash_table_lookup(n.view->upstreams, id.c_str());
			if (upstream.serves && upstream.version != full_ && u &&
			    view_is_usable(n.view, u) &&
			    (!version || strcmp(u->doc->version, version) == 0))
				ids.push_back(id);
		}
		return ids;
	}

	// The stream's next events come from one of the upstreams. Returns false if there is none.
	bool run_at(Stream &s, size_t node, const std::vector<std::string> &ids)
	{
		if (ids.empty())
			return false;
		s.upstream = ids[prng_below(&rnd_, ids.size())];
		s.node = node;
		s.state = State::running;
		s.versions.insert(upstreams_[s.upstream].version);
		RC_ASSERT(s.versions.size() == 1U);
		stream_origin_begin(nodes_[node].origin, s.id, service,
				    upstreams_[s.upstream].version.c_str(), s.upstream.c_str(),
				    now_);
		tell(node);
		return true;
	}

	std::vector<std::string> settled_candidates(const Node &n)
	{
		std::vector<std::string> all = candidates(n, nullptr);
		std::vector<std::string> ids;

		for (const auto &id : all) {
			if (stream_origin_is_settled(n.origin, service,
						     upstreams_[id].version.c_str(), now_))
				ids.push_back(id);
		}
		return ids.empty() ? all : ids;
	}

	void begin(size_t node)
	{
		Node &n = nodes_[node];
		Stream s = {next_id_++ * 0x9e3779b97f4a7c15ULL, now_, {}};

		if (n.fleet && run_at(s, node, settled_candidates(n)))
			streams_.push_back(s);
	}

	Stream *some(State state)
	{
		std::vector<Stream *> list;

		for (auto &s : streams_) {
			if (s.state == state)
				list.push_back(&s);
		}
		return list.empty() ? nullptr : list[pick(list.size())];
	}

	void break_off()
	{
		if (Stream *s = some(State::running))
			set_broken(*s);
	}

	// The upstream breaks off, and the node itself goes on with the stream.
	void go_on_within_answer()
	{
		Stream *s = some(State::running);
		const stream_origin_record *record;

		if (!s)
			return;
		record = stream_origin_find(nodes_[s->node].origin, s->id, now_);
		set_broken(*s);
		if (record && record->version)
			run_at(*s, s->node, candidates(nodes_[s->node], record->version));
	}

	void ask(size_t node, stream_resumption &r)
	{
		char asked[STREAM_ORIGIN_ASKED][GOSSIP_NAME_BYTES];

		r.asked =
			gossip_rank(nodes_[node].fleet, r.stream, asked, STREAM_ORIGIN_ASKED, now_);
		r.asked_ms = now_;
		for (uint32_t i = 0; i < r.asked; i++) {
			size_t to = index_of(asked[i]);
			if (!arrives(node, to) || !arrives(to, node))
				continue;
			const stream_origin *there = nodes_[to].origin;
			const stream_origin_record *known =
				stream_origin_find(there, r.stream, now_);
			stream_origin_record copy = known ? *known : stream_origin_record{};
			copy.source = STREAM_ORIGIN_REPLY;
			const char *seen[STREAM_ORIGIN_VERSIONS_MAX];
			stream_origin_answer answer = {};
			answer.record = known ? &copy : nullptr;
			answer.versions = (char *const *)seen;
			answer.n_versions = stream_origin_list_versions(
				there, service, seen, STREAM_ORIGIN_VERSIONS_MAX, now_);
			answer.followed_ms = stream_origin_followed_ms(there, now_);
			answer.view_age_ms = now_ - stream_origin_as_of_ms(there);
			stream_origin_apply_answer(nodes_[node].origin, &r, &answer, now_);
		}
	}

	bool could_go_on(const Stream &s, size_t node) const
	{
		size_t n = 0;
		size_t lost = 0;

		for (const auto &entry : upstreams_)
			n += entry.second.serves && entry.second.gone_at_ms == 0 &&
			     entry.second.version != full_ &&
			     s.versions.count(entry.second.version) > 0;
		for (int64_t at_ms : lost_ms_)
			lost += at_ms > s.began_ms - in_touch_ms;
		for (const auto &other : nodes_) {
			bool is_cut = !other.has_source || other.side != nodes_[node].side;
			if (is_cut || (other.fleet && now_ - other.calm_since_ms < in_touch_ms))
				return false;
		}
		return cut_ms_ < s.began_ms - in_touch_ms && n >= 2 && lost <= 1 &&
		       loss_pct_ == 0 && nodes_.size() >= nodes_min;
	}

	bool resume(Stream &s, size_t node)
	{
		stream_resumption r = {};
		stream_origin_decision d;

		r.stream = s.id;
		r.service = service;
		r.came_ms = now_;
		d = stream_origin_decide(nodes_[node].origin, &r, nodes_[node].view, now_);
		if (d.verdict == STREAM_ORIGIN_ASK) {
			ask(node, r);
			d = stream_origin_decide(nodes_[node].origin, &r, nodes_[node].view, now_);
		}
		if (d.verdict == STREAM_ORIGIN_WAIT)
			d = stream_origin_decide(nodes_[node].origin, &r, nodes_[node].view,
						 now_ + STREAM_ORIGIN_ASK_MS);
		if (d.verdict == STREAM_ORIGIN_READ && nodes_[node].has_source) {
			read_source(nodes_[node]);
			d = stream_origin_decide(nodes_[node].origin, &r, nodes_[node].view, now_);
		}
		if (d.verdict != STREAM_ORIGIN_GO_ON)
			return false;
		return run_at(s, node, candidates(nodes_[node], d.version));
	}

	void resume_some()
	{
		Stream *s = some(State::broken);

		if (s)
			resume_at(s, pick(nodes_.size()));
	}

	void resume_at(Stream *s, size_t node)
	{
		if (!nodes_[node].fleet)
			return;
		if (now_ - s->broken_ms > patience_ms) {
			s->state = State::over;
			return;
		}
		bool counts = could_go_on(*s, node);
		bool went_on = resume(*s, node);
		counts = counts && !s->was_counted;
		s->was_counted = s->was_counted || counts;
		could += counts;
		did += counts && went_on;
	}
};

} // namespace

int main()
{
	uint64_t could = 0;
	uint64_t did = 0;
	bool good = rc::check("a stream has one version, and goes on if it can", [&] {
		World w(*rc::gen::inRange<size_t>(1, 8), *rc::gen::arbitrary<uint64_t>(),
			*rc::gen::element<uint64_t>(0, 0, 10, 50));

		for (int i = 0; i < steps; i++) {
			w.step();
			w.advance(*rc::gen::weightedElement<int64_t>(
				{{20, 0}, {10, 100}, {6, 300}, {3, 1000}, {1, 5000}, {1, 20000}}));
		}
		could += w.could;
		did += w.did;
		if (w.could >= resumptions_min)
			RC_ASSERT(w.did * 2 >= w.could);
	});

	printf("%lu of %lu resumptions that could succeed did\n", (unsigned long)did,
	       (unsigned long)could);
	return good && did * 2 >= could && could >= resumptions_min ? 0 : 1;
}
