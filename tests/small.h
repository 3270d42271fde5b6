/* Generated configurations and VM lists of a small fleet, for tests without I/O. */
#ifndef TESTS_SMALL_H
#define TESTS_SMALL_H

#include "decide/core.h"

#include <stdlib.h>
#include <string.h>

#define SMALL_LIST_LAG_MS 1000
#define SMALL_VIEW_AGE_MS 3000
#define SMALL_LONGEST_MS 2000
#define SMALL_LIMIT_PER_S 50 /* limit of the only account */

struct small_sizes {
	int data_centres; /* dc-0, dc-1 and so on, two per region */
	int upstreams; /* up-0, up-1 and so on, on VMs u-0, u-1, round robin over the data centres
			*/
	int cold_limit;
	int warm_limit;
};

static inline struct cfg *small_cfg(const struct small_sizes *sizes)
{
	GString *text = g_string_new("places:\n  revision: 1\n  data_centres:\n");
	GPtrArray *faults = schema_faults_new();

	for (int i = 0; i < sizes->data_centres; i++)
		g_string_append_printf(text, "    - {name: dc-%d, region: region-%d}\n", i, i / 2);
	g_string_append_printf(text,
			       "services:\n  revision: 1\n  items:\n"
			       "    - {name: s, kind: pool, cold_limit: %d, warm_limit: %d}\n"
			       "upstreams:\n  revision: 1\n  items:\n",
			       sizes->cold_limit, sizes->warm_limit);
	for (int i = 0; i < sizes->upstreams; i++)
		g_string_append_printf(text,
				       "    - {name: up-%d, service: s, address: \"127.0.0.1:%d\", "
				       "vm: u-%d, data_centre: dc-%d}\n",
				       i, i + 1, i, i % sizes->data_centres);
	g_string_append_printf(text,
			       "models: {revision: 1, items: []}\n"
			       "pipelines: {revision: 1, items: []}\n"
			       "accounts:\n  revision: 1\n"
			       "  classes: [{name: c, rank: 0}]\n"
			       "  items: [{name: a, class: c, limit_per_s: %d, "
			       "key_sha256: \"%064d\"}]\n"
			       "routing: {revision: 1}\n"
			       "capacity: {revision: 1, list_lag_ms: %d, view_age_ms: %d, "
			       "longest_ms: %d}\n",
			       SMALL_LIMIT_PER_S, 0, SMALL_LIST_LAG_MS, SMALL_VIEW_AGE_MS,
			       SMALL_LONGEST_MS);
	struct cfg *cfg = cfg_parse(text->str, text->len, faults);
	if (!cfg) {
		struct schema_fault *fault = (struct schema_fault *)g_ptr_array_index(faults, 0);
		g_printerr("%s: %s: %s\n", fault->section, fault->key, fault->reason);
		abort();
	}
	g_ptr_array_unref(faults);
	g_string_free(text, TRUE);
	return cfg;
}

static inline void small_add_vm(struct vmlist *list, const char *id, int dc, bool entry,
				bool leaving)
{
	struct vmlist_vm *vm;

	list->vms = g_renew(struct vmlist_vm, list->vms, list->n_vms + 1);
	vm = &list->vms[list->n_vms++];
	vm->id = g_strdup(id);
	vm->data_centre = g_strdup_printf("dc-%d", dc);
	vm->entry = entry;
	vm->leaving = leaving;
	vm->caller_address = g_strdup("");
	vm->peer_address = g_strdup("");
}

/* The VMs of the upstreams; entry VMs are added by the test. */
static inline struct vmlist *small_list(int64_t version, int upstreams)
{
	struct vmlist *list = g_new0(struct vmlist, 1);

	list->version = version;
	for (int i = 0; i < upstreams; i++) {
		char id[16];

		g_snprintf(id, sizeof(id), "u-%d", i);
		small_add_vm(list, id, 0, false, false);
	}
	return list;
}

/* Handles one event and drops the commands. */
static inline void small_event(struct core_state *d, int64_t now_ms, const struct core_event *ev)
{
	struct core_out out;

	core_out_init(&out);
	core_handle(d, now_ms, ev, &out);
	core_out_free(&out);
}

static inline void small_tick(struct core_state *d, int64_t now_ms)
{
	struct core_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.type = CORE_EV_TICK;
	small_event(d, now_ms, &ev);
}

/* Takes ownership of the list. */
static inline void small_give_list(struct core_state *d, int64_t now_ms, struct vmlist *list)
{
	struct core_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.type = CORE_EV_LIST;
	ev.u.list = list;
	small_event(d, now_ms, &ev);
}

static inline void small_give_cfg(struct core_state *d, int64_t now_ms, struct cfg *cfg)
{
	struct core_event ev;

	memset(&ev, 0, sizeof(ev));
	ev.type = CORE_EV_CONFIG;
	ev.u.cfg = cfg;
	small_event(d, now_ms, &ev);
}

#endif
