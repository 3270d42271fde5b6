/* VM list of the platform: which VMs are live and which are leaving. It may be outdated. */
#ifndef MODEL_VMLIST_H
#define MODEL_VMLIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct vmlist_vm {
	char *id;
	char *data_centre;
	bool entry; /* runs a node of this system; false: runs upstreams */
	bool leaving;
	char *caller_address; /* host:port for callers; "" when absent */
	char *peer_address;   /* host:port for other nodes; "" when absent */
};

struct vmlist {
	int64_t version; /* increases with every change */
	struct vmlist_vm *vms;
	uint32_t n_vms;
};

/* Returns NULL with *error set when text is not a VM list. Free with vmlist_free(). */
struct vmlist *vmlist_parse(const char *text, size_t len, GError **error);
void vmlist_free(struct vmlist *list);

/* Returns NULL when the VM is not on the list. */
const struct vmlist_vm *vmlist_find(const struct vmlist *list, const char *id);

#ifdef __cplusplus
}
#endif

#endif
