/*
 * Runs the view with random changes, outages, full reads and restores of the source. An older entry
 * or configuration must never replace a newer one, a leaving upstream must stay unusable until it
 * restarts, deleted entries must be removed after the grace period, and nothing that an old copy
 * brings back may be used. In the end the view must equal that of a node that starts then.
 */
#include "decide/view.h"

#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace
{

constexpr int64_t heartbeat_ms = 1200;
constexpr int64_t lapse_ms = VIEW_LAPSE_HEARTBEATS * heartbeat_ms;
constexpr size_t copies_max = 8;

/* Entry as it is stored at the source. */
struct Entry {
	bool leaving;
	int64_t born_ms;
	int64_t revision = 0; /* of its last change */
};

/* Copy of the source, from which it may be restored. */
struct Copy {
	std::map<std::string, Entry> source;
	int64_t revision;
};

struct World {
	view_state *view = view_new(heartbeat_ms);
	int64_t epoch = 1;
	std::map<std::string, Entry> truth;	// what the upstreams themselves know
	std::map<std::string, int64_t> rewrite; // id -> when its entry is written again
	std::map<std::string, int64_t> lapse;	// id -> when its entry lapses, as nobody writes it
	std::vector<Copy> copies;
	std::map<std::string, int64_t> removed; // id -> born_ms of the entry that the view removed
	int64_t now = 100000;
	int64_t revision = 1;
	int64_t version = 1;
	int64_t next_born = 1000;
	bool down = false;
	int64_t recovered = 0;
	std::map<std::string, Entry> source;
	std::map<std::string, int64_t>
		left; /* id -> born_ms of the last leaving entry that the view received */

	~World()
	{
		view_free(view);
	}
};

pub_upstream *to_entry(const std::string &id, const Entry &e)
{
	pub_upstream *u = g_new0(pub_upstream, 1);

	u->id = g_strdup(id.c_str());
	u->service = g_strdup("s");
	u->address = g_strdup("127.0.0.1:1");
	u->data_centre = g_strdup("a");
	u->leaving = e.leaving;
	u->born_ms = e.born_ms;
	return u;
}

std::string any_id()
{
	return "u" + std::to_string(*rc::gen::inRange(0, 5));
}

view_revision revision_of(const World &w)
{
	return {w.epoch, w.revision};
}

void keep_copy(World &w)
{
	w.copies.push_back({w.source, w.revision});
	if (w.copies.size() > copies_max)
		w.copies.erase(w.copies.begin());
}

bool has_noticed(const World &w)
{
	return w.view->epoch == w.epoch;
}

void apply_entry(World &w, const std::string &id)
{
	const Entry &e = w.source.at(id);

	view_put_upstream(w.view, to_entry(id, e), {w.epoch, e.revision}, w.now);
	if (e.leaving)
		w.left[id] = e.born_ms;
}

/* A full read. The first answer of a higher epoch tells that the source was restored. */
void read_all(World &w)
{
	if (w.down)
		return;
	if (view_raise_epoch(w.view, w.epoch, w.revision, w.now))
		w.recovered = w.now;
	view_begin_read(w.view);
	for (const auto &entry : w.source)
		apply_entry(w, entry.first);
	view_end_read(w.view, revision_of(w), w.now);
}

/* Stores a change. A watch answers with it, or reveals that the source was restored. */
void store(World &w, const std::string &id, const Entry *e)
{
	auto *u = (view_upstream *)g_hash_table_lookup(w.view->upstreams, id.c_str());
	int64_t born_ms = u ? u->doc->born_ms : 0;

	w.revision++;
	if (e)
		w.source[id] = {e->leaving, e->born_ms, w.revision};
	else
		w.source.erase(id);
	w.lapse.erase(id);
	w.rewrite.erase(id);
	keep_copy(w);
	if (w.down)
		return;
	if (!has_noticed(w))
		return read_all(w);
	if (e)
		return apply_entry(w, id);
	if (view_remove_upstream(w.view, id.c_str(), revision_of(w), w.now))
		w.removed[id] = born_ms;
}

void write(World &w)
{
	std::string id = any_id();
	bool known = w.truth.count(id) > 0;
	Entry e = {*rc::gen::inRange(0, 4) == 0,
		   w.next_born++}; /* each start has its own born_ms */

	if (known && *rc::gen::inRange(0, 3) > 0)
		e.born_ms = w.truth[id].born_ms; /* not restarted */
	if (known && w.truth[id].leaving && w.truth[id].born_ms == e.born_ms)
		e.leaving = true; /* a leaving upstream stays so until it restarts */
	w.truth[id] = e;
	store(w, id, &e);
}

void remove(World &w)
{
	std::string id = any_id();

	if (w.truth.erase(id) > 0)
		store(w, id, nullptr);
}

/* Restores the source from a copy. Living upstreams write their entries again; others lapse. */
void restore(World &w)
{
	Copy copy = w.copies[*rc::gen::inRange<size_t>(0, w.copies.size())];

	w.source = copy.source;
	w.revision = copy.revision;
	w.epoch++;
	w.rewrite.clear();
	w.lapse.clear();
	for (const auto &entry : w.truth)
		w.rewrite[entry.first] = w.now + *rc::gen::inRange<int64_t>(0, 1500);
	for (const auto &entry : w.source) {
		if (w.truth.count(entry.first) == 0)
			w.lapse[entry.first] = w.now + lapse_ms;
	}
	if (*rc::gen::arbitrary<bool>())
		read_all(w);
}

/* Lets the writers and the source's own expiry catch up, up to now. */
void catch_up(World &w)
{
	auto rewrite = w.rewrite;
	auto lapse = w.lapse;

	for (const auto &due : rewrite) {
		if (due.second > w.now)
			continue;
		Entry e = w.truth.at(due.first);
		store(w, due.first, &e);
	}
	for (const auto &due : lapse) {
		if (due.second <= w.now)
			store(w, due.first, nullptr);
	}
}

void advance(World &w, int64_t ms)
{
	for (int64_t end = w.now + ms; w.now < end;) {
		w.now = std::min(end, w.now + 100);
		catch_up(w);
		view_expire(w.view, w.now);
	}
}

void set_down(World &w, bool down)
{
	if (w.down && !down) {
		w.recovered = w.now;
		view_set_source_down(w.view, false, w.now);
		w.down = false;
		read_all(w); /* after an outage the source is read in full */
		return;
	}
	w.down = down;
	view_set_source_down(w.view, down, w.now);
}

void publish(World &w, bool newer)
{
	pub_doc *doc = pub_doc_new();
	int64_t before = w.view->doc ? w.view->doc->version : 0;

	doc->version = newer ? ++w.version : *rc::gen::inRange<int64_t>(0, w.version + 1);
	pub_doc_build_index(doc);
	view_set_config(w.view, doc);
	RC_ASSERT(w.view->doc->version >= before);
	RC_ASSERT(!newer || w.view->doc->version == w.version);
}

/* Applies an entry that is older than the one in the view, as if another node sent it late. */
void apply_outdated_entry(World &w)
{
	std::string id = any_id();
	auto *u = (view_upstream *)g_hash_table_lookup(w.view->upstreams, id.c_str());

	if (u && u->revision.number > 1)
		view_put_upstream(w.view, to_entry(id, {false, 1}),
				  {u->revision.epoch, u->revision.number - 1}, w.now);
	/* a node that hasn't noticed the restore sends what it holds */
	if (u && u->revision.epoch > 1)
		view_put_upstream(w.view, to_entry(id, {false, u->doc->born_ms}),
				  {u->revision.epoch - 1, u->revision.number + 50}, w.now);
}

void check(World &w)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, w.view->upstreams);
	while (g_hash_table_iter_next(&iter, nullptr, &value)) {
		auto *u = (view_upstream *)value;
		auto left = w.left.find(u->doc->id);
		if (left != w.left.end() && left->second == u->doc->born_ms)
			RC_ASSERT(!view_is_usable(w.view, u));
		auto removed = w.removed.find(u->doc->id);
		if (removed != w.removed.end() && u->doc->born_ms <= removed->second)
			RC_ASSERT(!view_is_usable(w.view, u));
		/* While the source answers, deleted entries stay only for the grace period. */
		if (!w.down && has_noticed(w) && w.source.count(u->doc->id) == 0)
			RC_ASSERT(w.now - w.recovered <= VIEW_RETURN_GRACE_MS);
	}
	if (w.down || !has_noticed(w))
		return;
	for (const auto &entry : w.truth) {
		if (w.rewrite.count(entry.first) > 0)
			continue;
		auto *u = (view_upstream *)g_hash_table_lookup(w.view->upstreams,
							       entry.first.c_str());
		RC_ASSERT(u != nullptr);
		RC_ASSERT(view_is_usable(w.view, u) == !entry.second.leaving);
	}
}

void step(World &w)
{
	switch (*rc::gen::weightedElement<int>(
		{{6, 0}, {3, 1}, {1, 2}, {1, 3}, {2, 4}, {2, 5}, {2, 6}, {6, 7}, {2, 8}})) {
	case 0:
		return write(w);
	case 1:
		return remove(w);
	case 2:
		return read_all(w);
	case 3:
		return set_down(w, true);
	case 4:
		return set_down(w, false);
	case 5:
		return publish(w, *rc::gen::arbitrary<bool>());
	case 6:
		return apply_outdated_entry(w);
	case 8:
		return restore(w);
	default:
		advance(w, *rc::gen::element<int64_t>(1, 100, 700, 1500, 2500));
	}
}

/* Compares the view with that of a node that reads the source for the first time now. */
void check_against_newcomer(World &w)
{
	view_state *fresh = view_new(heartbeat_ms);

	set_down(w, false);
	read_all(w);
	advance(w, lapse_ms + 2 * VIEW_RETURN_GRACE_MS);
	std::swap(w.view, fresh);
	read_all(w);
	std::swap(w.view, fresh);
	RC_ASSERT(g_hash_table_size(fresh->upstreams) == g_hash_table_size(w.view->upstreams));
	for (const auto &entry : w.source) {
		auto *theirs =
			(view_upstream *)g_hash_table_lookup(fresh->upstreams, entry.first.c_str());
		auto *ours = (view_upstream *)g_hash_table_lookup(w.view->upstreams,
								  entry.first.c_str());
		RC_ASSERT(ours != nullptr);
		RC_ASSERT(ours->doc->born_ms == theirs->doc->born_ms);
		RC_ASSERT(view_is_usable(w.view, ours) == view_is_usable(fresh, theirs));
	}
	view_free(fresh);
}

} // namespace

int main()
{
	bool good = rc::check("the view follows the source and ignores outdated entries", [] {
		World w;
		int steps = *rc::gen::inRange(5, 150);

		keep_copy(w);
		publish(w, true);
		read_all(w);
		for (int i = 0; i < steps; i++) {
			step(w);
			view_expire(w.view, w.now);
			check(w);
		}
		check_against_newcomer(w);
	});
	return good ? 0 : 1;
}
