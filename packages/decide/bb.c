#include "decide/bb.h"

#include "decide/slot.h"

#include <string.h>

static void free_upstream(gpointer data)
{
	struct bb_upstream *up = data;

	g_free(up->name);
	g_free(up->vm);
	g_free(up);
}

static void clear_data_centres(struct bb_service *service)
{
	for (uint32_t i = 0; service->by_dc && i < service->n_dcs; i++)
		g_ptr_array_unref(service->by_dc[i]);
	g_free(service->by_dc);
	service->by_dc = NULL;
	service->n_dcs = 0;
}

static void set_data_centres(struct bb_service *service, uint32_t n)
{
	clear_data_centres(service);
	service->by_dc = g_new0(GPtrArray *, n);
	service->n_dcs = n;
	for (uint32_t i = 0; i < n; i++)
		service->by_dc[i] = g_ptr_array_new();
}

static void free_service(gpointer data)
{
	struct bb_service *service = data;

	clear_data_centres(service);

	g_free(service->name);
	g_ptr_array_unref(service->upstreams);
	g_sequence_free(service->waiting);
	g_free(service);
}

static void free_node(gpointer data)
{
	struct bb_node *node = data;

	g_free(node->vm);
	g_free(node->data_centre);
	g_free(node);
}

void bb_init(struct bb *bb, const char *vm, const char *data_centre, uint64_t incarnation,
	     uint64_t seed, int64_t now_ms)
{
	memset(bb, 0, sizeof(*bb));
	bb->prng.state = seed;
	bb->self_vm = g_strdup(vm);
	bb->self_dc = g_strdup(data_centre);
	bb->incarnation = incarnation;
	bb->started_ms = now_ms;
	bb->cfg_confirmed_ms = BB_NEVER;
	bb->places_peer_confirmed_ms = BB_NEVER;
	bb->list_at_ms = BB_NEVER;
	bb->view_ms = BB_NEVER;
	bb->list_peer_confirmed_ms = BB_NEVER;
	bb->list_near_peer_confirmed_ms = BB_NEVER;
	bb->newer_since_ms = BB_NEVER;
	bb->converged_ms = BB_NEVER;
	bb->recompute_at_ms = BB_NEVER;
	bb->others = g_ptr_array_new();
	bb->near = g_ptr_array_new();
	bb->polled = g_ptr_array_new();
	bb->last_tick_ms = now_ms;
	bb->resumed_at_ms = BB_NEVER;
	bb->upstreams = g_ptr_array_new_with_free_func(free_upstream);
	bb->upstream_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	bb->services = g_ptr_array_new_with_free_func(free_service);
	bb->service_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	bb->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_node);
}

void bb_clear(struct bb *bb)
{
	slot_map_free(bb->map);
	g_hash_table_destroy(bb->upstream_by_name);
	g_hash_table_destroy(bb->service_by_name);
	g_hash_table_destroy(bb->nodes);
	g_ptr_array_unref(bb->others);
	g_ptr_array_unref(bb->near);
	g_ptr_array_unref(bb->polled);
	g_ptr_array_unref(bb->upstreams);
	g_ptr_array_unref(bb->services);
	cfg_unref(bb->cfg);
	vmlist_free(bb->list);
	g_free(bb->links);
	g_free(bb->self_vm);
	g_free(bb->self_dc);
}

uint32_t bb_rank_index(int64_t rank)
{
	return rank < BB_RANKS ? (uint32_t)rank : BB_RANKS - 1;
}

void bb_count_attempt(struct bb_upstream *up, struct bb_service *service, uint32_t rank, int32_t n)
{
	struct bb_rank_use *use = &service->uses[rank];

	up->in_flight += n;
	service->in_flight += n;
	use->in_flight += n;
	use->peak = MAX(use->peak, use->in_flight);
}

struct bb_upstream *bb_upstream(const struct bb *bb, uint32_t id)
{
	if (id >= bb->upstreams->len)
		return NULL;
	return g_ptr_array_index(bb->upstreams, id);
}

struct bb_service *bb_service(const struct bb *bb, const char *name)
{
	return g_hash_table_lookup(bb->service_by_name, name);
}

struct bb_node *bb_node(const struct bb *bb, const char *vm)
{
	return g_hash_table_lookup(bb->nodes, vm);
}

const char *bb_region(const struct bb *bb, const char *data_centre)
{
	int dc = bb->cfg ? cfg_find_data_centre(bb->cfg, data_centre) : -1;

	return dc < 0 ? "" : bb->cfg->places.data_centres[dc].region;
}

const char *bb_upstream_region(const struct bb *bb, const struct bb_upstream *up)
{
	return up->in_config ? bb->cfg->places.data_centres[up->dc].region : "";
}

static void copy_address(char *to, const char *from)
{
	g_strlcpy(to, from, BB_ADDRESS_BYTES);
}

static struct bb_service *ensure_service(struct bb *bb, const char *name)
{
	struct bb_service *service = bb_service(bb, name);

	if (service)
		return service;
	service = g_new0(struct bb_service, 1);
	service->id = bb->services->len;
	service->name = g_strdup(name);
	service->upstreams = g_ptr_array_new();
	service->waiting = g_sequence_new(NULL);
	g_ptr_array_add(bb->services, service);
	g_hash_table_insert(bb->service_by_name, service->name, service);
	return service;
}

static void set_service(struct bb *bb, const struct cfg_service *from)
{
	struct bb_service *service = ensure_service(bb, from->name);

	if (!service->by_dc)
		set_data_centres(service, bb->cfg->places.n_data_centres);
	service->kind = from->kind;
	service->checks_fencing = from->checks_fencing;
	service->cold_limit = (int32_t)from->cold_limit;
	service->warm_limit = (int32_t)from->warm_limit;
	service->cost_cents_per_k = from->cost_cents_per_k;
}

static struct bb_upstream *ensure_upstream(struct bb *bb, const char *name)
{
	struct bb_upstream *up = g_hash_table_lookup(bb->upstream_by_name, name);

	if (up)
		return up;
	up = g_new0(struct bb_upstream, 1);
	up->id = bb->upstreams->len;
	up->name = g_strdup(name);
	up->report_at_ms = BB_NEVER;
	up->ejected_until_ms = BB_NEVER;
	up->window_at_ms = BB_NEVER;
	up->idle_at_ms = BB_NEVER;
	up->last_success_ms = BB_NEVER;
	up->unresolved_until_ms = BB_NEVER;
	for (int k = 0; k < BB_COLD_SLOTS_MAX; k++)
		up->slot_since_ms[k] = BB_NEVER;
	g_ptr_array_add(bb->upstreams, up);
	g_hash_table_insert(bb->upstream_by_name, up->name, up);
	return up;
}

static void set_upstream(struct bb *bb, const struct cfg_upstream *from)
{
	struct bb_upstream *up = ensure_upstream(bb, from->name);

	g_free(up->vm);
	up->vm = g_strdup(from->vm);
	copy_address(up->address, from->address);
	up->service = bb_service(bb, from->service);
	up->dc = from->dc;
	up->in_config = true;
	if (up->window == 0)
		up->window = 1;
	g_ptr_array_add(up->service->upstreams, up);
	g_ptr_array_add(up->service->by_dc[up->dc], up);
}

/* Updates each upstream from the state of its VM in the list. */
static void apply_list(struct bb *bb)
{
	GHashTable *vms;

	if (!bb->list)
		return;
	vms = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = 0; i < bb->list->n_vms; i++)
		g_hash_table_insert(vms, bb->list->vms[i].id, &bb->list->vms[i]);
	for (uint32_t i = 0; i < bb->upstreams->len; i++) {
		struct bb_upstream *up = g_ptr_array_index(bb->upstreams, i);
		const struct vmlist_vm *vm = g_hash_table_lookup(vms, up->vm);

		up->in_list = vm != NULL;
		up->leaving = vm && vm->leaving;
	}
	g_hash_table_destroy(vms);
}

static bool connects(const struct cfg_link *link, const char *a, const char *b)
{
	return (strcmp(link->from, a) == 0 && strcmp(link->to, b) == 0) ||
	       (strcmp(link->from, b) == 0 && strcmp(link->to, a) == 0);
}

static void set_links(struct bb *bb)
{
	const struct cfg_places *places = &bb->cfg->places;
	const char *own = bb_region(bb, bb->self_dc);

	g_free(bb->links);
	bb->links = g_new0(struct bb_link, places->n_data_centres);
	for (uint32_t dc = 0; dc < places->n_data_centres; dc++) {
		for (uint32_t i = 0; i < places->n_links; i++) {
			const struct cfg_link *link = &places->links[i];
			if (!connects(link, own, places->data_centres[dc].region))
				continue;
			bb->links[dc].latency_ms = link->latency_ms;
			bb->links[dc].price_per_gb_cents = link->price_per_gb_cents;
		}
	}
}

void bb_set_config(struct bb *bb, struct cfg *cfg, int64_t now_ms)
{
	struct cfg *old = bb->cfg;

	for (uint32_t i = 0; i < bb->services->len; i++) {
		struct bb_service *service = g_ptr_array_index(bb->services, i);
		g_ptr_array_set_size(service->upstreams, 0);
		set_data_centres(service, cfg->places.n_data_centres);
		service->capacity = 0;
	}
	for (uint32_t i = 0; i < bb->upstreams->len; i++) {
		struct bb_upstream *up = g_ptr_array_index(bb->upstreams, i);
		up->in_config = false;
		up->counted_limit = 0;
	}
	bb->cfg = cfg_ref(cfg);
	/*
	 * Only the first configuration counts as confirmed on arrival. A later one may have waited
	 * in a socket buffer during a pause of the process, so it may be outdated.
	 */
	if (!old)
		bb->cfg_confirmed_ms = now_ms;
	set_links(bb);
	for (uint32_t i = 0; i < cfg->services.n_items; i++)
		set_service(bb, &cfg->services.items[i]);
	for (uint32_t i = 0; i < cfg->upstreams.n_items; i++)
		set_upstream(bb, &cfg->upstreams.items[i]);
	apply_list(bb);
	cfg_unref(old);
}

static void set_node(struct bb *bb, const struct vmlist_vm *vm)
{
	struct bb_node *node = bb_node(bb, vm->id);

	if (!node) {
		node = g_new0(struct bb_node, 1);
		node->vm = g_strdup(vm->id);
		node->last_seen_ms = BB_NEVER;
		g_hash_table_insert(bb->nodes, node->vm, node);
	}
	g_free(node->data_centre);
	node->data_centre = g_strdup(vm->data_centre);
	copy_address(node->peer_address, vm->peer_address);
	copy_address(node->caller_address, vm->caller_address);
	node->in_list = true;
	node->delisted_ms = BB_NEVER;
	node->leaving = vm->leaving;
}

static void mark_delisted(struct bb *bb, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bb->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bb_node *node = value;

		if (node->in_list)
			node->delisted_ms = now_ms;
		node->in_list = false;
	}
}

bool bb_set_list(struct bb *bb, struct vmlist *list, int64_t view_ms, int64_t now_ms)
{
	int64_t version = bb->list ? bb->list->version : INT64_MIN;

	if (list->version >= version && view_ms > bb->view_ms)
		bb->view_ms = view_ms;
	if (list->version <= version) {
		vmlist_free(list);
		return false;
	}
	vmlist_free(bb->list);
	bb->list = list;
	bb->list_at_ms = now_ms;
	if (list->version >= bb->newest_list_version) {
		bb->newest_list_version = list->version;
		bb->newer_since_ms = BB_NEVER;
	}
	mark_delisted(bb, now_ms);
	for (uint32_t i = 0; i < list->n_vms; i++) {
		if (list->vms[i].entry)
			set_node(bb, &list->vms[i]);
	}
	apply_list(bb);
	return true;
}

void bb_confirm_list(struct bb *bb, int64_t asked_ms)
{
	if (bb->list && asked_ms > bb->list_at_ms)
		bb->list_at_ms = asked_ms;
	if (bb->list && asked_ms > bb->view_ms)
		bb->view_ms = asked_ms;
}
