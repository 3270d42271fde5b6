/*
 * Ownership of regions. The owner of a region schedules the chains that are placed there. Nodes can
 * disagree about it for as long as gossip takes; two owners cost time, never correctness.
 */
#include "srv_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

/* A node that isn't stopping loses a region only to an owner heard within three gossip rounds. */
#define HEARTBEAT_AGE_MAX_MS 900
/* A region is lost once another node has been its owner for this long. */
#define HANDOFF_DELAY_MS 300
/* An owner that was greeted and hasn't answered for this long is greeted again. */
#define GREET_AGAIN_MS 2000
/* An owner that was asked for a heartbeat and hasn't sent one for this long is suspect. */
#define ASKED_OWNER_MS 600
/* Unfinished pieces of a pool in another owner's message; this node adds pieces to the number. */
#define PENDING_MAX 100000000U

static struct srv_region *find_region(const GPtrArray *regions, const char *name)
{
	for (guint i = 0; i < regions->len; i++) {
		struct srv_region *region = g_ptr_array_index(regions, i);
		if (strcmp(region->name, name) == 0)
			return region;
	}
	return NULL;
}

const char *srv_region_of(const struct srv *s, const char *data_centre)
{
	const char *name = srvconf_region_of(s->set, data_centre);

	return find_region(s->regions, name) ? name : s->set->region;
}

static void add_region(GPtrArray *regions, const char *name)
{
	struct srv_region *region;

	if (find_region(regions, name))
		return;
	region = g_new0(struct srv_region, 1);
	region->name = g_strdup(name);
	g_ptr_array_add(regions, region);
}

static void free_region(gpointer data)
{
	struct srv_region *region = data;

	g_free(region->name);
	g_free(region);
}

GPtrArray *srv_regions_new(void)
{
	return g_ptr_array_new_with_free_func(free_region);
}

void srv_regions_configure(GPtrArray *regions, const struct srvconf *set)
{
	add_region(regions, set->region);
	for (uint32_t i = 0; i < set->n_data_centres; i++)
		add_region(regions, set->data_centres[i].region);
}

const struct gossip_member *srv_region_owner(const struct srv *s, const char *region,
					     const char *except, int64_t now_ms)
{
	return gossip_owner(s->fleet, s->is_split ? region : "", except, now_ms);
}

/*
 * Asks the region's next owner for a heartbeat, as the newest may be seconds old in a large fleet,
 * and passes over an owner that doesn't answer.
 */
static void ask_owner(struct srv *s, struct srv_region *region, const struct gossip_member *owner,
		      int64_t now_ms)
{
	if (region->asked_ms == 0) {
		region->asked_ms = now_ms;
		srv_peer_ask(s, owner, now_ms);
	} else if (now_ms - region->asked_ms > ASKED_OWNER_MS) {
		region->asked_ms = 0;
		gossip_suspect(s->fleet, owner->record.peer_address, now_ms);
	}
}

/*
 * A node that is about to lose a region to an owner without a recent heartbeat asks for one. Builds
 * that don't read heartbeats answer isolated nodes alone, to which no other node may be known.
 */
static bool should_ask_owner(const struct srv *s, const struct gossip_member *owner, int64_t now_ms)
{
	if (now_ms - owner->heard_ms < HEARTBEAT_AGE_MAX_MS)
		return false;
	return srv_reach_is_isolated(s) ? !owner->record.isolated : owner->record.reads_beats;
}

static bool is_greeted(const struct srv_region *region, const struct gossip_record *owner)
{
	return region->greeted_incarnation == owner->incarnation &&
	       strcmp(region->greeted, owner->peer_address) == 0;
}

/*
 * Exchanges a message with each new owner, so that the connections in both directions exist before
 * the first chain needs them: after a start of hundreds of nodes, opening them would take longer
 * than a chain waits for its owner.
 */
static void greet_owner(struct srv *s, struct srv_region *region, const struct gossip_member *owner,
			int64_t now_ms)
{
	const struct gossip_record *r = &owner->record;

	if (is_greeted(region, r) && !region->is_linked &&
	    owner->contact_ms >= region->greeted_ms) {
		region->is_linked = true;
		log_info("owner_linked", "{s:s, s:s, s:I}", "region", region->name, "owner",
			 r->peer_address, "took_ms",
			 (json_int_t)(owner->contact_ms - region->greeted_ms));
	}
	if (is_greeted(region, r) &&
	    (region->is_linked || now_ms - region->greeted_ms < GREET_AGAIN_MS))
		return;
	if (!srv_peer_ask(s, owner, now_ms))
		return; /* the first send only opens the link; the next tick tries again */
	g_strlcpy(region->greeted, r->peer_address, sizeof(region->greeted));
	region->greeted_incarnation = r->incarnation;
	region->greeted_ms = now_ms;
	region->is_linked = false;
}

static void note_gained(struct srv *s, const struct srv_region *region)
{
	/* loads are sent for the node's own region alone */
	if (strcmp(region->name, s->set->region) == 0)
		srv_spread_region_gained(s);
}

/* Updates whether the node owns the region; returns whether that changed. */
static bool update_region(struct srv *s, struct srv_region *region, int64_t now_ms)
{
	const struct gossip_member *owner = srv_region_owner(s, region->name, NULL, now_ms);
	bool is_self = strcmp(owner->record.peer_address, s->set->peer_address) == 0;
	bool was_owned = region->is_owned;

	if (!is_self && owner->record.reads_beats)
		greet_owner(s, region, owner, now_ms);
	if (!is_self && was_owned && should_ask_owner(s, owner, now_ms))
		ask_owner(s, region, owner, now_ms);
	else
		region->asked_ms = 0;
	/* an owner without a recent heartbeat may be dead, and would lose chains handed to it */
	if (is_self) {
		region->other_since_ms = 0;
		/*
		 * A node that joins the fleet gains nothing yet. Nor does a stopping one to which
		 * no other is known, but it keeps what it has.
		 */
		region->is_owned =
			was_owned || (s->stop_began_ms == 0 && !srv_is_joining(s, now_ms));
	} else if (s->stop_began_ms > 0 || now_ms - owner->heard_ms < HEARTBEAT_AGE_MAX_MS) {
		if (region->other_since_ms == 0)
			region->other_since_ms = now_ms;
		region->is_owned = was_owned && now_ms - region->other_since_ms < HANDOFF_DELAY_MS;
	}
	if (was_owned != region->is_owned)
		log_info(region->is_owned ? "region_gained" : "region_lost", "{s:s, s:s, s:I}",
			 "region", region->name, "owner", owner->record.peer_address, "heard_ms",
			 (json_int_t)(now_ms - owner->heard_ms));
	if (!was_owned && region->is_owned)
		note_gained(s, region);
	return was_owned != region->is_owned;
}

static void set_regions(struct srv *s)
{
	const char **owned = g_new0(const char *, s->regions->len + 1);
	uint32_t n = 0;

	for (guint i = 0; i < s->regions->len; i++) {
		const struct srv_region *region = g_ptr_array_index(s->regions, i);
		if (region->is_owned)
			owned[n++] = region->name;
	}
	chain_set_regions(s->chains, owned, n);
	g_free(owned);
}

void srv_regions_update(struct srv *s, int64_t now_ms)
{
	bool changed = false;

	for (guint i = 0; i < s->regions->len; i++)
		changed = update_region(s, g_ptr_array_index(s->regions, i), now_ms) || changed;
	if (changed)
		set_regions(s);
}

void srv_regions_view_changed(struct srv *s, int64_t now_ms)
{
	bool is_split = chain_should_split(s->chains, s->regions->len, s->is_split);

	if (is_split == s->is_split)
		return;
	s->is_split = is_split;
	log_info("owners_changed", "{s:s, s:i}", "owners", is_split ? "regions" : "fleet",
		 "regions", (int)s->regions->len);
	srv_regions_update(s, now_ms);
}

void srv_regions_claim(struct srv *s, const char *name, int64_t now_ms)
{
	struct srv_region *region = find_region(s->regions, name);

	if (!region || region->is_owned)
		return;
	region->is_owned = true;
	region->other_since_ms = now_ms;
	note_gained(s, region);
	set_regions(s);
}

json_t *srv_regions_json(const struct srv *s, int64_t now_ms)
{
	json_t *list = json_array();

	for (guint i = 0; i < s->regions->len; i++) {
		const struct srv_region *region = g_ptr_array_index(s->regions, i);
		const struct gossip_member *owner = srv_region_owner(s, region->name, NULL, now_ms);
		json_array_append_new(
			list, json_pack("{s:s, s:s, s:b, s:b}", "region", region->name, "owner",
					owner->record.peer_address, "owned_here",
					(int)region->is_owned, "linked", (int)region->is_linked));
	}
	return list;
}

/* Sends a message once to each other node that owns a region. */
static void send_to_owners(struct srv *s, Peer__Message *message, int64_t now_ms)
{
	GHashTable *sent = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < s->regions->len; i++) {
		const struct srv_region *region = g_ptr_array_index(s->regions, i);
		const struct gossip_member *owner = srv_region_owner(s, region->name, NULL, now_ms);
		char *address = (char *)owner->record.peer_address;
		if (strcmp(address, s->set->peer_address) != 0 && g_hash_table_add(sent, address))
			srv_peer_send(s, address, message);
	}
	g_hash_table_destroy(sent);
}

/* Accounts of the pools of a load message, which borrows from this. */
struct accounts_wire {
	Peer__AccountWork work[POOLS_MAX][CHAIN_ACCOUNT_WORK_MAX];
	Peer__AccountWork *list[POOLS_MAX][CHAIN_ACCOUNT_WORK_MAX];
};

static void encode_accounts(struct srv *s, struct accounts_wire *wire, Peer__PoolLoad *pools,
			    uint32_t n)
{
	struct chain_account_work work[CHAIN_ACCOUNT_WORK_MAX];

	for (uint32_t i = 0; i < n; i++) {
		pools[i].n_accounts = chain_take_account_work(s->chains, pools[i].service, work,
							      CHAIN_ACCOUNT_WORK_MAX);
		pools[i].accounts = wire->list[i];
		for (size_t k = 0; k < pools[i].n_accounts; k++) {
			peer__account_work__init(&wire->work[i][k]);
			wire->work[i][k].account = (char *)work[k].account;
			wire->work[i][k].given_ms = work[k].given_ms;
			wire->list[i][k] = &wire->work[i][k];
		}
	}
}

void srv_region_send_load(struct srv *s, int64_t now_ms)
{
	const struct srv_region *own = find_region(s->regions, s->set->region);
	struct chain_pool_load loads[POOLS_MAX];
	struct srv_spread_wire engines;
	struct accounts_wire *accounts;
	Peer__PoolLoad wire[POOLS_MAX];
	Peer__PoolLoad *list[POOLS_MAX];
	Peer__RegionLoad region = PEER__REGION_LOAD__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	uint32_t n;

	if (!own->is_owned || s->regions->len < 2)
		return;
	n = chain_get_pool_loads(s->chains, loads, POOLS_MAX, now_ms);
	for (uint32_t i = 0; i < n; i++) {
		peer__pool_load__init(&wire[i]);
		wire[i].service = (char *)loads[i].service;
		wire[i].pending = loads[i].pending;
		wire[i].piece_us = loads[i].piece_us;
		list[i] = &wire[i];
	}
	accounts = g_new(struct accounts_wire, 1);
	if (s->is_split)
		encode_accounts(s, accounts, wire, n);
	region.region = s->set->region;
	region.pools = list;
	region.n_pools = n;
	srv_spread_encode(s, &engines, &region, now_ms);
	message.kind_case = PEER__MESSAGE__KIND_REGION_LOAD;
	message.region_load = &region;
	send_to_owners(s, &message, now_ms);
	g_free(accounts);
}

uint32_t srv_region_decode_load(const GPtrArray *regions, const Peer__RegionLoad *load,
				struct chain_pool_load *pools)
{
	uint32_t n = 0;

	if (!find_region(regions, load->region))
		return 0;
	for (; n < load->n_pools && n < POOLS_MAX; n++)
		pools[n] = (struct chain_pool_load){
			.service = load->pools[n]->service,
			.pending = MIN(load->pools[n]->pending, PENDING_MAX),
			.piece_us = load->pools[n]->piece_us,
		};
	return n;
}

uint32_t srv_region_decode_accounts(const Peer__PoolLoad *pool, struct chain_account_work *work)
{
	uint32_t n = 0;

	for (size_t i = 0; i < MIN(pool->n_accounts, CHAIN_ACCOUNT_WORK_MAX); i++) {
		const Peer__AccountWork *at = pool->accounts[i];
		size_t bytes = strlen(at->account);
		if (bytes > 0 && bytes <= CHAIN_ACCOUNT_BYTES_MAX)
			work[n++] = (struct chain_account_work){at->account, at->given_ms};
	}
	return n;
}

static void note_accounts(struct srv *s, const struct chain_owner *from,
			  const Peer__RegionLoad *load)
{
	struct chain_account_work work[CHAIN_ACCOUNT_WORK_MAX];

	for (size_t i = 0; i < MIN(load->n_pools, POOLS_MAX); i++) {
		uint32_t n = srv_region_decode_accounts(load->pools[i], work);
		chain_note_account_work(s->chains, from, load->pools[i]->service, work, n,
					clock_now_ms());
	}
}

void srv_region_handle_load(struct srv *s, const char *from, uint64_t incarnation,
			    const Peer__RegionLoad *load)
{
	const struct chain_owner owner = {from, incarnation};
	struct chain_pool_load pools[POOLS_MAX];
	int64_t now_ms = clock_now_ms();
	uint32_t n;

	if (load->former) {
		srv_spread_inherit(s, from, load->former, now_ms);
		return;
	}
	n = srv_region_decode_load(s->regions, load, pools);
	srv_spread_decode(s, from, load, now_ms);
	if (!find_region(s->regions, load->region))
		return;
	chain_set_region_load(s->chains, load->region, pools, n, now_ms);
	if (s->is_split)
		note_accounts(s, &owner, load);
	if (load->asks_former)
		srv_spread_send_former(s, from, load->region, now_ms);
}
