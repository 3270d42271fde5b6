#include "decide/member.h"

#include "decide/eligible.h"
#include "decide/load_report.h"
#include "decide/slot.h"

#include <string.h>

#define MS_PER_S 1000
#define NEAR_INTERVAL 3 /* each third digest goes to a near node, the others to all in turn */
#define REPORT_AGE_MAX_MS 2000 /* older load reports are not relayed */

/* True when a node has the present VM list, or was removed from it at least a hold-off ago. */
static bool knows_list(const struct bb *bb, const struct bb_node *node, int64_t now_ms)
{
	if (strcmp(node->vm, bb->self_vm) == 0 || node->list_version >= bb->list->version)
		return true;
	return !node->in_list && now_ms - node->delisted_ms >= slot_hold_off_ms(bb);
}

void member_update_converged(struct bb *bb, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (!bb->list || !bb->cfg)
		return;
	g_hash_table_iter_init(&iter, bb->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!knows_list(bb, value, now_ms)) {
			bb->converged_ms = BB_NEVER;
			return;
		}
	}
	if (bb->converged_ms == BB_NEVER)
		bb->converged_ms = now_ms;
}

static void fill_reports(struct bb *bb, struct member_digest *digest, int64_t now_ms)
{
	for (guint i = 0; i < bb->polled->len && digest->n_reports < MEMBER_REPORTS_MAX; i++) {
		const struct bb_upstream *up =
			g_ptr_array_index(bb->polled, bb->next_report_index++ % bb->polled->len);
		struct member_report *relayed = &digest->reports[digest->n_reports];

		if (up->report_at_ms == BB_NEVER || now_ms - up->report_at_ms > REPORT_AGE_MAX_MS)
			continue;
		digest->n_reports++;
		g_strlcpy(relayed->name, up->name, sizeof(relayed->name));
		relayed->incarnation = up->incarnation;
		relayed->warm = up->report_warm;
		relayed->running = up->report_running;
		relayed->queued = up->report_queued;
		relayed->age_ms = now_ms - up->report_at_ms;
	}
}

static void fill_departed(const struct bb *bb, struct member_digest *digest, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (!bb->cfg)
		return;
	g_hash_table_iter_init(&iter, bb->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bb_node *node = value;

		if (!knows_list(bb, node, now_ms) && !node->in_list &&
		    digest->n_departed < MEMBER_DEPARTED_MAX)
			g_strlcpy(digest->departed[digest->n_departed++], node->vm, BB_NAME_BYTES);
	}
}

void member_fill_digest(struct bb *bb, struct member_digest *digest, int64_t now_ms)
{
	memset(digest, 0, sizeof(*digest));
	g_strlcpy(digest->vm, bb->self_vm, sizeof(digest->vm));
	digest->incarnation = bb->incarnation;
	digest->draining = bb->draining;
	digest->list_age_ms = -1;
	/* Keeps nodes that were paused together from confirming each other. */
	digest->sure = eligible_is_confirmed(bb, now_ms);
	digest->places_revision = bb->cfg ? cfg_revision(bb->cfg, CFG_PLACES) : -1;
	if (!bb->list)
		return;
	digest->list_version = bb->list->version;
	if (bb->view_ms != BB_NEVER)
		digest->list_age_ms = now_ms - bb->view_ms;
	fill_reports(bb, digest, now_ms);
	fill_departed(bb, digest, now_ms);
}

/*
 * Adds a departed node that was never on this node's VM list. It may still use the slots that it
 * owned, so it is tracked until its hold-off ends.
 */
static void add_departed(struct bb *bb, const char *vm, int64_t now_ms)
{
	struct bb_node *node;

	if (bb_node(bb, vm))
		return;
	node = g_new0(struct bb_node, 1);
	node->vm = g_strdup(vm);
	node->data_centre = g_strdup("");
	node->last_seen_ms = BB_NEVER;
	node->delisted_ms = now_ms;
	g_hash_table_insert(bb->nodes, node->vm, node);
}

static bool is_near(const struct bb *bb, const struct bb_node *node)
{
	return g_ptr_array_find(bb->near, node, NULL);
}

static void apply_list_version(struct bb *bb, const struct member_digest *digest,
			       const struct bb_node *from, int64_t now_ms)
{
	int64_t view_ms = now_ms - digest->list_age_ms;

	if (!bb->list)
		return;
	if (digest->list_version > bb->newest_list_version)
		bb->newest_list_version = digest->list_version;
	if (digest->list_version > bb->list->version && bb->newer_since_ms == BB_NEVER)
		bb->newer_since_ms = now_ms;
	if (digest->list_version != bb->list->version || !digest->sure)
		return;
	bb->list_peer_confirmed_ms = now_ms;
	if (is_near(bb, from))
		bb->list_near_peer_confirmed_ms = now_ms;
	if (digest->list_age_ms >= 0 && view_ms > bb->view_ms)
		bb->view_ms = view_ms;
}

static void apply_report(struct bb *bb, const struct member_report *relayed, int64_t now_ms)
{
	struct bb_upstream *up = g_hash_table_lookup(bb->upstream_by_name, relayed->name);
	const struct load_report_sample report = {
		.incarnation = relayed->incarnation,
		.warm = relayed->warm,
		.running = relayed->running,
		.queued = relayed->queued,
		.taken_ms = now_ms - relayed->age_ms,
	};

	if (up)
		load_report_apply(bb, up, &report, now_ms);
}

struct bb_node *member_handle_digest(struct bb *bb, const struct member_digest *digest,
				     int64_t now_ms)
{
	struct bb_node *from = bb_node(bb, digest->vm);

	if (!from)
		return NULL;
	from->last_seen_ms = now_ms;
	/* A new incarnation may not have the list of the previous one. */
	if (from->incarnation != digest->incarnation || digest->list_version > from->list_version)
		from->list_version = digest->list_version;
	from->incarnation = digest->incarnation;
	if (bb->cfg && digest->sure && digest->places_revision == cfg_revision(bb->cfg, CFG_PLACES))
		bb->places_peer_confirmed_ms = now_ms;
	for (uint32_t i = 0; i < digest->n_departed; i++)
		add_departed(bb, digest->departed[i], now_ms);
	apply_list_version(bb, digest, from, now_ms);
	member_update_converged(bb, now_ms);
	for (uint32_t i = 0; i < digest->n_reports; i++)
		apply_report(bb, &digest->reports[i], now_ms);
	return from;
}

bool member_wants_list(struct bb *bb, const struct member_digest *digest, int64_t now_ms)
{
	if (!bb->list || digest->list_version <= bb->list->version)
		return false;
	if (now_ms < bb->next_list_fetch_ms ||
	    now_ms - bb->newer_since_ms < MEMBER_NEWER_LIST_WAIT_MS)
		return false;
	bb->next_list_fetch_ms = now_ms + MEMBER_LIST_REQUEST_INTERVAL_MS;
	return true;
}

struct bb_node *member_next_target(struct bb *bb, int64_t now_ms)
{
	uint32_t n = bb->probes;

	if (now_ms < bb->probe_at_ms || bb->others->len == 0)
		return NULL;
	bb->probe_at_ms = now_ms + MS_PER_S / MEMBER_DIGESTS_PER_S;
	bb->probes++;
	if (n % NEAR_INTERVAL == 0)
		return g_ptr_array_index(bb->near, n / NEAR_INTERVAL % bb->near->len);
	return g_ptr_array_index(bb->others, (n - n / NEAR_INTERVAL - 1) % bb->others->len);
}
