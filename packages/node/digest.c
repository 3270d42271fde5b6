#include "node/digest.h"

#include <string.h>

static void upstream_to_message(const struct member_report *from, Peer__Upstream *to)
{
	peer__upstream__init(to);
	to->name = (char *)from->name;
	to->incarnation = from->incarnation;
	to->warm = from->warm;
	to->running = from->running;
	to->queued = from->queued;
	to->age_ms = from->age_ms;
}

void digest_to_message(const struct member_digest *from, struct digest_message *to)
{
	peer__view__init(&to->view);
	to->view.list_version = from->list_version;
	to->view.list_age_ms = from->list_age_ms;
	to->view.draining = from->draining;
	to->view.sure = from->sure;
	to->view.places_revision = from->places_revision;
	for (uint32_t i = 0; i < from->n_reports; i++) {
		upstream_to_message(&from->reports[i], &to->upstreams[i]);
		to->upstream_at[i] = &to->upstreams[i];
	}
	to->view.upstreams = to->upstream_at;
	to->view.n_upstreams = from->n_reports;
	for (uint32_t i = 0; i < from->n_departed; i++)
		to->departed_at[i] = (char *)from->departed[i];
	to->view.departed = to->departed_at;
	to->view.n_departed = from->n_departed;
}

static void upstream_from_message(const Peer__Upstream *from, struct member_report *to)
{
	g_strlcpy(to->name, from->name, sizeof(to->name));
	to->incarnation = from->incarnation;
	to->warm = from->warm;
	to->running = CLAMP(from->running, 0, DIGEST_LOAD_MAX);
	to->queued = CLAMP(from->queued, 0, DIGEST_LOAD_MAX);
	to->age_ms = CLAMP(from->age_ms, 0, DIGEST_TIME_MAX_MS);
}

void digest_from_message(const Peer__View *from, const char *vm, uint64_t incarnation,
			 struct member_digest *to)
{
	memset(to, 0, sizeof(*to));
	g_strlcpy(to->vm, vm, sizeof(to->vm));
	to->incarnation = incarnation;
	to->list_version = from->list_version;
	to->list_age_ms = CLAMP(from->list_age_ms, -1, DIGEST_TIME_MAX_MS);
	to->draining = from->draining;
	to->sure = from->sure;
	to->places_revision = from->places_revision;
	for (size_t i = 0; i < from->n_upstreams && to->n_reports < MEMBER_REPORTS_MAX; i++)
		upstream_from_message(from->upstreams[i], &to->reports[to->n_reports++]);
	for (size_t i = 0; i < from->n_departed && to->n_departed < MEMBER_DEPARTED_MAX; i++)
		g_strlcpy(to->departed[to->n_departed++], from->departed[i], BB_NAME_BYTES);
}

static Peer__ListVm *vm_to_message(const struct vmlist_vm *from)
{
	Peer__ListVm *to = g_new0(Peer__ListVm, 1);

	peer__list_vm__init(to);
	to->id = from->id;
	to->data_centre = from->data_centre;
	to->entry = from->entry;
	to->leaving = from->leaving;
	to->caller_address = from->caller_address;
	to->peer_address = from->peer_address;
	return to;
}

Peer__ListReply *digest_list_to_message(const struct vmlist *list, int64_t age_ms)
{
	Peer__ListReply *reply = g_new0(Peer__ListReply, 1);

	peer__list_reply__init(reply);
	reply->version = list->version;
	reply->age_ms = age_ms;
	reply->n_vms = list->n_vms;
	reply->vms = g_new0(Peer__ListVm *, list->n_vms + 1);
	for (uint32_t i = 0; i < list->n_vms; i++)
		reply->vms[i] = vm_to_message(&list->vms[i]);
	return reply;
}

void digest_free_list(Peer__ListReply *reply)
{
	for (size_t i = 0; i < reply->n_vms; i++)
		g_free(reply->vms[i]);
	g_free(reply->vms);
	g_free(reply);
}

struct vmlist *digest_list_from_message(const Peer__ListReply *reply)
{
	struct vmlist *list = g_new0(struct vmlist, 1);

	list->version = reply->version;
	list->n_vms = (uint32_t)reply->n_vms;
	list->vms = g_new0(struct vmlist_vm, reply->n_vms + 1);
	for (size_t i = 0; i < reply->n_vms; i++) {
		const Peer__ListVm *from = reply->vms[i];

		list->vms[i] = (struct vmlist_vm){
			.id = g_strdup(from->id),
			.data_centre = g_strdup(from->data_centre),
			.entry = from->entry,
			.leaving = from->leaving,
			.caller_address = g_strdup(from->caller_address),
			.peer_address = g_strdup(from->peer_address),
		};
	}
	return list;
}
