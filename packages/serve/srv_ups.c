/* Upstreams as this node's own calls show them, and which of them gets the next request. */
#include "srv_int.h"

#include "base/clk.h"
#include "base/log.h"

#include <math.h>
#include <string.h>

#define BLOCK_MS 1000	  /* after silence; doubles with each in a row */
#define BLOCK_MAX_MS 8000 /* an entry lapses after three heartbeats, some 4 s */
#define FULL_MS 150	  /* some requests of a full upstream have ended by then */
#define FAILED_GAIN 0.3	  /* of one failure in the recent share */
#define FAILED_HALF_MS 3000.0
#define FORGET_MS 20000	    /* not published for so long */
#define BUDGET_HEADROOM 0.7 /* requests of others age out of the window at other moments */
#define CONNECTIONS_MIN 2
#define MS_PER_S 1000.0

static void free_upstream(struct srv_upstream *u)
{
	htc_origin_free(u->origin);
	g_free(u->id);
	g_free(u->address);
	g_free(u);
}

struct srv_upstream *srv_ups_get(struct srv *s, const char *id, const char *address)
{
	struct srv_upstream *u = g_hash_table_lookup(s->upstreams, id);

	if (u && strcmp(u->address, address) == 0)
		return u;
	if (u && u->in_flight > 0)
		return u; /* calls under way keep it; the next sweep lets it go */
	if (u) {
		g_hash_table_steal(s->upstreams, id);
		free_upstream(u);
	}
	u = g_new0(struct srv_upstream, 1);
	u->id = g_strdup(id);
	u->address = g_strdup(address);
	u->origin = htc_origin_new(&s->loop, address);
	u->seen_ms = clk_now_ms();
	if (!u->origin) {
		log_warn("upstream_address", "{s:s, s:s}", "upstream", id, "address", address);
		free_upstream(u);
		return NULL;
	}
	g_hash_table_insert(s->upstreams, u->id, u);
	return u;
}

double srv_ups_failed(const struct srv_upstream *u, int64_t now_ms)
{
	return u->failed * exp2(-(double)(now_ms - u->failed_ms) / FAILED_HALF_MS);
}

static void set_failed(struct srv_upstream *u, double outcome, int64_t now_ms)
{
	double was = srv_ups_failed(u, now_ms);

	u->failed = was + FAILED_GAIN * (outcome - was);
	u->failed_ms = now_ms;
}

void srv_ups_note_good(struct srv_upstream *u, int64_t now_ms)
{
	u->fails = 0;
	u->blocked_until_ms = 0;
	u->told = false;
	set_failed(u, 0, now_ms);
}

void srv_ups_note_bad(struct srv *s, struct srv_upstream *u, enum srv_trouble trouble,
		      int64_t now_ms)
{
	if (trouble == SRV_TROUBLE_FULL) {
		u->blocked_until_ms = MAX(u->blocked_until_ms, now_ms + FULL_MS);
		return;
	}
	set_failed(u, 1, now_ms);
	if (trouble == SRV_TROUBLE_BROKEN)
		return;
	u->blocked_until_ms = now_ms + MIN(BLOCK_MS << MIN(u->fails, 4), BLOCK_MAX_MS);
	u->fails++;
	u->told = false;
	log_info("upstream_blocked", "{s:s, s:s, s:i, s:I}", "upstream", u->id, "address",
		 u->address, "fails", (int)u->fails, "wait_ms",
		 (json_int_t)(u->blocked_until_ms - now_ms));
}

void srv_ups_take_word(struct srv *s, const char *id, int64_t wait_ms, int64_t now_ms)
{
	struct srv_upstream *u = g_hash_table_lookup(s->upstreams, id);

	if (!u || u->blocked_until_ms > now_ms)
		return;
	u->blocked_until_ms = now_ms + MIN(wait_ms, BLOCK_MAX_MS);
	u->told = true;
}

struct bud *srv_ups_budget(struct srv *s, const char *service)
{
	struct bud *b = g_hash_table_lookup(s->budgets, service);

	if (!b) {
		b = g_new0(struct bud, 1);
		bud_init(b, (int64_t)(sst_num(s->set->retry_window_s) * MS_PER_S));
		g_hash_table_insert(s->budgets, g_strdup(service), b);
	}
	return b;
}

/* Members that share in what the fleet may send; no fewer than the addresses it was started with.
 */
static struct fle_share share_of(const struct srv *s, const char *task, int64_t now_ms)
{
	struct fle_share share = fle_share_of(s->fleet, task, now_ms);

	share.sharers = MAX(share.sharers, s->set->n_seeds);
	return share;
}

bool srv_ups_may_repeat(struct srv *s, const char *service, int64_t now_ms)
{
	const struct bud_limit limit = {
		.ratio = sst_num(s->set->retry_ratio),
		.slack = sst_num(s->set->retry_slack),
		.nodes = share_of(s, service, now_ms).sharers,
		.headroom = BUDGET_HEADROOM,
		.started_ms = s->started_ms,
	};

	return bud_allows(srv_ups_budget(s, service), &limit, 1, now_ms);
}

void srv_ups_sweep(struct srv *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct srv_upstream *u = value;
		htc_sweep(u->origin, now_ms);
		if (g_hash_table_contains(s->view->upstreams, u->id)) {
			u->seen_ms = now_ms;
		} else if (u->in_flight == 0 && now_ms - u->seen_ms > FORGET_MS) {
			g_hash_table_iter_remove(&iter);
			free_upstream(u);
		}
	}
}

static bool is_tried(const char *const *tried, const char *id)
{
	for (; *tried; tried++) {
		if (strcmp(*tried, id) == 0)
			return true;
	}
	return false;
}

static enum sel_distance distance_to(const struct srv *s, const char *data_centre)
{
	if (strcmp(s->set->data_centre, data_centre) == 0)
		return SEL_SAME_CENTRE;
	if (strcmp(s->set->region, sst_region_of(s->set, data_centre)) == 0)
		return SEL_SAME_REGION;
	return SEL_OTHER_REGION;
}

static uint32_t connection_share(const struct srv *s, const struct pub_service *service,
				 int64_t now_ms)
{
	uint32_t nodes = fle_count_alive(s->fleet, now_ms);

	if (!service || service->max_connections <= 0)
		return UINT32_MAX;
	return MAX((uint32_t)service->max_connections / nodes, CONNECTIONS_MIN);
}

static bool cold_share_is_spent(struct srv *s, const struct pvw_upstream *entry,
				struct srv_upstream *u, const struct pub_service *service,
				int64_t now_ms)
{
	struct fle_share share = share_of(s, entry->doc->id, now_ms);
	const struct bud_cold cold = {
		.per_s = service->cold_per_s,
		.burst = sst_num(s->set->cold_slack) +
			 service->cold_per_s * (sst_num(s->set->cold_factor) - 1),
		.sharers = share.sharers,
		.recent = share.recent,
		.rank = share.rank,
		.started_ms = s->started_ms,
	};

	return !bud_take_cold(&u->cold, &cold, now_ms);
}

static bool fill(struct srv *s, const struct srv_want *want, const struct pvw_upstream *entry,
		 struct sel_candidate *c, struct srv_upstream **u, int64_t now_ms)
{
	const struct pub_upstream *doc = entry->doc;
	const char *region = sst_region_of(s->set, doc->data_centre);

	if (strcmp(doc->service, want->service_name) != 0 || !pvw_is_usable(s->view, entry))
		return false;
	if (!pub_allows_region(want->regions, region))
		return false;
	*u = srv_ups_get(s, doc->id, doc->address);
	if (!*u)
		return false;
	*c = (struct sel_candidate){
		.id = doc->id,
		.distance = distance_to(s, doc->data_centre),
		.beside_inputs =
			want->data_centre && strcmp(want->data_centre, doc->data_centre) == 0,
		.in_flight = (*u)->in_flight,
		.tried = is_tried(want->tried, doc->id),
		.blocked = (*u)->blocked_until_ms > now_ms,
		.full = (*u)->in_flight >= connection_share(s, want->service, now_ms),
		.failed = srv_ups_failed(*u, now_ms),
	};
	return true;
}

struct srv_upstream *srv_ups_pick(struct srv *s, const struct srv_want *want, int64_t now_ms)
{
	guint room = g_hash_table_size(s->view->upstreams);
	struct sel_candidate *candidates = g_new0(struct sel_candidate, room + 1);
	struct srv_upstream **ups = g_new0(struct srv_upstream *, room + 1);
	const struct pvw_upstream **entries = g_new0(const struct pvw_upstream *, room + 1);
	struct srv_upstream *picked = NULL;
	GHashTableIter iter;
	gpointer value;
	uint32_t n = 0;
	int best;

	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		entries[n] = value;
		n += fill(s, want, value, &candidates[n], &ups[n], now_ms);
	}
	/* a cold one is asked for its share only once it is chosen */
	while ((best = sel_pick(&want->select, candidates, n)) >= 0) {
		picked = ups[best];
		if (!want->service || want->service->cold_per_s <= 0 ||
		    !pvw_is_cold(entries[best], now_ms) ||
		    !cold_share_is_spent(s, entries[best], picked, want->service, now_ms))
			break;
		candidates[best].cold = true;
		picked = NULL;
	}
	g_free(candidates);
	g_free(ups);
	g_free(entries);
	return picked;
}
