/*
 * Runs the view with random changes, outages and full reads of the source. An older entry or
 * configuration must never replace a newer one, a leaving upstream must stay unusable until it
 * restarts, and deleted entries must be removed after the grace period.
 */
#include "decide/view.h"

#include <map>
#include <rapidcheck.h>
#include <string>

namespace
{

/* Entry as it is stored at the source. */
struct Entry {
	bool leaving;
	int64_t born_ms;
};

struct World {
	view_state *view = view_new();
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

void apply_entry(World &w, const std::string &id)
{
	const Entry &e = w.source.at(id);

	view_put_upstream(w.view, to_entry(id, e), w.revision, w.now);
	if (e.leaving)
		w.left[id] = e.born_ms;
}

void write(World &w)
{
	std::string id = any_id();
	bool known = w.source.count(id) > 0;
	Entry e = {*rc::gen::inRange(0, 4) == 0,
		   w.next_born++}; /* each start has its own born_ms */

	if (known && *rc::gen::inRange(0, 3) > 0)
		e.born_ms = w.source[id].born_ms; /* not restarted */
	if (known && w.source[id].leaving && w.source[id].born_ms == e.born_ms)
		e.leaving = true; /* a leaving upstream stays so until it restarts */
	w.source[id] = e;
	w.revision++;
	if (!w.down)
		apply_entry(w, id);
}

void remove(World &w)
{
	std::string id = any_id();

	if (w.source.erase(id) == 0)
		return;
	w.revision++;
	if (!w.down)
		view_remove_upstream(w.view, id.c_str(), w.revision, w.now);
}

void read_all(World &w)
{
	if (w.down)
		return;
	view_begin_read(w.view);
	for (const auto &entry : w.source)
		apply_entry(w, entry.first);
	view_end_read(w.view, w.revision, w.now);
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

	if (u && u->revision > 1)
		view_put_upstream(w.view, to_entry(id, {false, 1}), u->revision - 1, w.now);
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
		/* While the source answers, deleted entries stay only for the grace period. */
		if (!w.down && w.source.count(u->doc->id) == 0)
			RC_ASSERT(w.now - w.recovered <= VIEW_RETURN_GRACE_MS);
	}
	if (w.down)
		return;
	for (const auto &entry : w.source) {
		auto *u = (view_upstream *)g_hash_table_lookup(w.view->upstreams,
							       entry.first.c_str());
		RC_ASSERT(u != nullptr);
		RC_ASSERT(view_is_usable(w.view, u) == !entry.second.leaving);
	}
}

void step(World &w)
{
	switch (*rc::gen::weightedElement<int>(
		{{6, 0}, {3, 1}, {1, 2}, {1, 3}, {2, 4}, {2, 5}, {2, 6}, {6, 7}})) {
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
	default:
		w.now += *rc::gen::element<int64_t>(1, 100, 700, 1500, 2500);
		view_expire(w.view, w.now);
	}
}

} // namespace

int main()
{
	bool good = rc::check("the view follows the source and ignores outdated entries", [] {
		World w;
		int steps = *rc::gen::inRange(5, 150);

		publish(w, true);
		read_all(w);
		for (int i = 0; i < steps; i++) {
			step(w);
			view_expire(w.view, w.now);
			check(w);
		}
	});
	return good ? 0 : 1;
}
