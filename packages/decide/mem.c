#include "decide/mem.h"

#include "decide/elg.h"
#include "decide/rep.h"
#include "decide/slt.h"

#include <string.h>

#define MS_PER_S 1000
#define NEAR_EVERY                                                                                 \
	3 /* each third digest goes to a nearest node, the others walk the whole fleet             \
	   */
#define NEWS_AGE_MAX_MS 2000 /* older reports are not relayed */

static bool knows_list(const struct bb *bb, const struct bb_node *node, int64_t now_ms)
{
	if (strcmp(node->vm, bb->self_vm) == 0 || node->list_version >= bb->list->version)
		return true;
	return !node->in_list && now_ms - node->delisted_ms >= slt_hold_off_ms(bb);
}

void mem_update_agreed(struct bb *bb, int64_t now_ms)
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

static void fill_news(struct bb *bb, struct mem_digest *digest, int64_t now_ms)
{
	for (guint i = 0; i < bb->polled->len && digest->n_news < MEM_NEWS_MAX; i++) {
		const struct bb_upstream *up =
			g_ptr_array_index(bb->polled, bb->next_report_index++ % bb->polled->len);
		struct mem_news *news = &digest->news[digest->n_news];

		if (up->report_at_ms == BB_NEVER || now_ms - up->report_at_ms > NEWS_AGE_MAX_MS)
			continue;
		digest->n_news++;
		g_strlcpy(news->name, up->name, sizeof(news->name));
		news->incarnation = up->incarnation;
		news->warm = up->report_warm;
		news->running = up->report_running;
		news->queued = up->report_queued;
		news->age_ms = now_ms - up->report_at_ms;
	}
}

static void fill_departed(const struct bb *bb, struct mem_digest *digest, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (!bb->cfg)
		return;
	g_hash_table_iter_init(&iter, bb->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bb_node *node = value;

		if (!knows_list(bb, node, now_ms) && !node->in_list &&
		    digest->n_departed < MEM_DEPARTED_MAX)
			g_strlcpy(digest->departed[digest->n_departed++], node->vm, BB_NAME_BYTES);
	}
}

void mem_fill(struct bb *bb, struct mem_digest *digest, int64_t now_ms)
{
	memset(digest, 0, sizeof(*digest));
	g_strlcpy(digest->vm, bb->self_vm, sizeof(digest->vm));
	digest->incarnation = bb->incarnation;
	digest->draining = bb->draining;
	digest->list_age_ms = -1;
	/* nodes that were paused together must not confirm each other */
	digest->sure = elg_is_sure(bb, now_ms);
	digest->places_revision = bb->cfg ? cfg_revision(bb->cfg, CFG_PLACES) : -1;
	if (!bb->list)
		return;
	digest->list_version = bb->list->version;
	if (bb->view_ms != BB_NEVER)
		digest->list_age_ms = now_ms - bb->view_ms;
	fill_news(bb, digest, now_ms);
	fill_departed(bb, digest, now_ms);
}

/* A node that this one never saw may still work on what it held: it counts until its hold-off. */
static void take_departed(struct bb *bb, const char *vm, int64_t now_ms)
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

static void take_list_news(struct bb *bb, const struct mem_digest *digest,
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
	bb->view_peer_ms = now_ms;
	if (is_near(bb, from))
		bb->view_near_peer_ms = now_ms;
	if (digest->list_age_ms >= 0 && view_ms > bb->view_ms)
		bb->view_ms = view_ms;
}

static void take_news(struct bb *bb, const struct mem_news *news, int64_t now_ms)
{
	struct bb_upstream *up = g_hash_table_lookup(bb->upstream_by_name, news->name);
	const struct rep_report report = {
		.incarnation = news->incarnation,
		.warm = news->warm,
		.running = news->running,
		.queued = news->queued,
		.taken_ms = now_ms - news->age_ms,
	};

	if (up)
		rep_take(bb, up, &report, now_ms);
}

struct bb_node *mem_take(struct bb *bb, const struct mem_digest *digest, int64_t now_ms)
{
	struct bb_node *from = bb_node(bb, digest->vm);

	if (!from)
		return NULL;
	from->last_seen_ms = now_ms;
	/* what a past incarnation knew, the present one may not know */
	if (from->incarnation != digest->incarnation || digest->list_version > from->list_version)
		from->list_version = digest->list_version;
	from->incarnation = digest->incarnation;
	if (bb->cfg && digest->sure && digest->places_revision == cfg_revision(bb->cfg, CFG_PLACES))
		bb->cfg_peer_ms = now_ms;
	for (uint32_t i = 0; i < digest->n_departed; i++)
		take_departed(bb, digest->departed[i], now_ms);
	take_list_news(bb, digest, from, now_ms);
	mem_update_agreed(bb, now_ms);
	for (uint32_t i = 0; i < digest->n_news; i++)
		take_news(bb, &digest->news[i], now_ms);
	return from;
}

bool mem_wants_list(struct bb *bb, const struct mem_digest *digest, int64_t now_ms)
{
	if (!bb->list || digest->list_version <= bb->list->version)
		return false;
	if (now_ms < bb->next_list_fetch_ms || now_ms - bb->newer_since_ms < MEM_NEWER_WAIT_MS)
		return false;
	bb->next_list_fetch_ms = now_ms + MEM_ASK_LIST_MS;
	return true;
}

struct bb_node *mem_probe(struct bb *bb, int64_t now_ms)
{
	uint32_t n = bb->probes;

	if (now_ms < bb->probe_at_ms || bb->others->len == 0)
		return NULL;
	bb->probe_at_ms = now_ms + MS_PER_S / MEM_PROBES_PER_S;
	bb->probes++;
	if (n % NEAR_EVERY == 0)
		return g_ptr_array_index(bb->near, n / NEAR_EVERY % bb->near->len);
	return g_ptr_array_index(bb->others, (n - n / NEAR_EVERY - 1) % bb->others->len);
}
